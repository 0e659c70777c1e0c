"""Upkeep waves: how many machines go at once, and which lasting tasks may be stopped."""

from __future__ import annotations

from hornbeamreach.systems.upkeep import (
    WaveMachine,
    may_stop,
    next_machines,
    places_left,
    tasks_away,
)
from hornbeamreach.tables.minions import RunPhase

from . import builders


def machines(names: list[str], **fields) -> list[WaveMachine]:
    return [
        WaveMachine(machine=name, minion=builders.minion(name), pool_free=fields.get(name, 1.0))
        for name in names
    ]


class TestNextMachines:
    def test_no_more_than_the_bound_are_down_or_chosen(self):
        wave = builders.wave([f"m-{n}" for n in range(9)], max_down=3)
        wave.ordered["m-0"] = True
        chosen = next_machines(wave, machines([f"m-{n}" for n in range(9)]), {"m-1"})
        assert [found.machine for found in chosen] == ["m-2"]

    def test_a_machine_whose_order_is_under_way_counts_once(self):
        wave = builders.wave(["m-0", "m-1", "m-2"], max_down=2)
        wave.ordered["m-0"] = False
        assert places_left(wave, {"m-0"}) == 1
        assert places_left(wave, {"m-0", "m-1"}) == 0

    def test_machines_that_are_back_make_room(self):
        wave = builders.wave(["m-0", "m-1"], max_down=1)
        wave.ordered["m-0"] = True
        assert places_left(wave, set()) == 0
        wave.finished.add("m-0")
        assert places_left(wave, set()) == 1

    def test_the_emptiest_pool_gives_first(self):
        wave = builders.wave(["m-0", "m-1"], max_down=1)
        found = next_machines(wave, machines(["m-0", "m-1"], **{"m-0": 0.2, "m-1": 0.9}), set())
        assert [machine.machine for machine in found] == ["m-1"]


class TestMayStop:
    def test_a_task_at_work_stops_only_while_the_others_are(self):
        runs = {f"0.0.{n}": builders.run(key=f"0.0.{n}", percent=100) for n in range(5)}
        assert may_stop(runs["0.0.0"], tasks_away(runs, "0.0.", 5, 500), may_miss=1, now_ms=500)
        runs["0.0.4"].phase = RunPhase.STOPPING
        assert not may_stop(runs["0.0.0"], tasks_away(runs, "0.0.", 5, 500), may_miss=1, now_ms=500)
        assert may_stop(runs["0.0.0"], tasks_away(runs, "0.0.", 5, 500), may_miss=2, now_ms=500)

    def test_a_task_that_still_starts_is_away_itself(self):
        runs = {f"0.0.{n}": builders.run(key=f"0.0.{n}", percent=100) for n in range(5)}
        runs["0.0.0"].percent = 40
        assert may_stop(runs["0.0.0"], tasks_away(runs, "0.0.", 5, 500), may_miss=1, now_ms=500)
        assert not may_stop(runs["0.0.1"], tasks_away(runs, "0.0.", 5, 500), may_miss=1, now_ms=500)

    def test_a_task_of_a_minion_that_has_fallen_silent_is_away(self):
        runs = {f"0.0.{n}": builders.run(key=f"0.0.{n}", percent=100) for n in range(5)}
        for run in list(runs.values())[:4]:
            run.last_listed_ms = 9_000
        assert tasks_away(runs, "0.0.", 5, 10_000) == 1
        assert not may_stop(runs["0.0.0"], 1, may_miss=1, now_ms=10_000)
