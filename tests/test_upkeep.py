"""Upkeep waves: how many machines go at once, and which lasting tasks may be stopped."""

from __future__ import annotations

from hornbeamreach.systems.maintenance_wave import (
    WaveCandidate,
    available_vm_slots,
    may_stop,
    next_vms,
    unavailable_tasks,
)
from hornbeamreach.tables.minions import RunPhase

from . import builders


def machines(names: list[str], **fields) -> list[WaveCandidate]:
    return [
        WaveCandidate(vm=name, minion=builders.minion(name), pool_free=fields.get(name, 1.0))
        for name in names
    ]


class TestNextMachines:
    def test_no_more_than_the_bound_are_down_or_chosen(self):
        wave = builders.wave([f"m-{n}" for n in range(9)], max_down=3)
        wave.ordered["m-0"] = True
        chosen = next_vms(wave, machines([f"m-{n}" for n in range(9)]), {"m-1"})
        assert [found.vm for found in chosen] == ["m-2"]

    def test_a_machine_whose_order_is_under_way_counts_once(self):
        wave = builders.wave(["m-0", "m-1", "m-2"], max_down=2)
        wave.ordered["m-0"] = False
        assert available_vm_slots(wave, {"m-0"}) == 1
        assert available_vm_slots(wave, {"m-0", "m-1"}) == 0

    def test_machines_that_are_back_make_room(self):
        wave = builders.wave(["m-0", "m-1"], max_down=1)
        wave.ordered["m-0"] = True
        assert available_vm_slots(wave, set()) == 0
        wave.finished.add("m-0")
        assert available_vm_slots(wave, set()) == 1

    def test_the_emptiest_pool_gives_first(self):
        wave = builders.wave(["m-0", "m-1"], max_down=1)
        found = next_vms(wave, machines(["m-0", "m-1"], **{"m-0": 0.2, "m-1": 0.9}), set())
        assert [machine.vm for machine in found] == ["m-1"]


class TestMayStop:
    def test_a_task_at_work_stops_only_while_the_others_are(self):
        runs = {f"0.0.{n}": builders.run(key=f"0.0.{n}", percent=100) for n in range(5)}
        assert may_stop(
            runs["0.0.0"], unavailable_tasks(runs, "0.0.", 5, 500), may_miss=1, now_ms=500
        )
        runs["0.0.4"].phase = RunPhase.STOPPING
        assert not may_stop(
            runs["0.0.0"], unavailable_tasks(runs, "0.0.", 5, 500), may_miss=1, now_ms=500
        )
        assert may_stop(
            runs["0.0.0"], unavailable_tasks(runs, "0.0.", 5, 500), may_miss=2, now_ms=500
        )

    def test_a_task_that_still_starts_is_away_itself(self):
        runs = {f"0.0.{n}": builders.run(key=f"0.0.{n}", percent=100) for n in range(5)}
        runs["0.0.0"].percent = 40
        assert may_stop(
            runs["0.0.0"], unavailable_tasks(runs, "0.0.", 5, 500), may_miss=1, now_ms=500
        )
        assert not may_stop(
            runs["0.0.1"], unavailable_tasks(runs, "0.0.", 5, 500), may_miss=1, now_ms=500
        )

    def test_a_task_of_a_minion_that_has_fallen_silent_is_away(self):
        runs = {f"0.0.{n}": builders.run(key=f"0.0.{n}", percent=100) for n in range(5)}
        for run in list(runs.values())[:4]:
            run.last_listed_ms = 9_000
        assert unavailable_tasks(runs, "0.0.", 5, 10_000) == 1
        assert not may_stop(runs["0.0.0"], 1, may_miss=1, now_ms=10_000)
