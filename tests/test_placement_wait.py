"""Tasks wait for the rack that they ask for while that lets them end earlier, and no longer."""

from __future__ import annotations

import attrs
import pytest
import trio
from loguru import logger

from benches.placement_wait import Replay, replay_mean
from hornbeamreach.control.workload_commands import AcceptJob
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.systems.near_places import RackForecast, remaining_ms
from hornbeamreach.systems.placement_wait import (
    DECISION_INTERVAL_MS,
    MARGIN,
    NearWait,
    expected_gain,
    rent_or_buy,
)
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.minions import RunPhase
from hornbeamreach.tables.resources import Resources

from . import builders
from .step_fleet import StepFleet
from .test_step_jobs import job_id, run_scenario

NOW_MS = 10_000
HOT, OTHER = "r1-1", "r1-2"
CORE = Resources(cpu_millis=1_000)


def near_wait(**fields) -> NearWait:
    """Return the decision of a job with much slack, for a rack that saves 1 s."""
    columns = {
        "near_ms": 1_000,
        "far_ms": 2_000,
        "expected_ms": 300,
        "waited_ms": 0,
        "slack_ms": 10_000,
        "room_is_used": True,
        **fields,
    }
    return NearWait(**columns)


class TestDecision:
    @pytest.mark.parametrize(
        ("fields", "waits"),
        [
            ({}, True),
            # The wait would take longer than the rack saves, now or together with what passed.
            ({"expected_ms": 1_000}, False),
            ({"waited_ms": 700}, False),
            # Nothing else uses the room, so that only a wait that surely pays is worth it.
            ({"expected_ms": 600}, True),
            ({"expected_ms": 600, "room_is_used": False}, False),
            # On time elsewhere, but not after the wait.
            ({"slack_ms": 1_000 + 300}, False),
            ({"slack_ms": 1_000 + 400}, True),
            # Late elsewhere, on time in the rack.
            ({"slack_ms": 900, "expected_ms": 900, "room_is_used": False}, True),
            # Late in any case: a wait that may fail would make it later.
            ({"slack_ms": -1}, True),
            ({"slack_ms": -1, "expected_ms": 600}, False),
        ],
    )
    def test_a_task_waits_only_if_it_gains(self, fields, waits):
        assert expected_gain(near_wait(**fields)) is waits

    @pytest.mark.parametrize(
        ("fields", "waits"),
        [({}, True), ({"waited_ms": 1_000}, False), ({"slack_ms": 1_100}, False)],
    )
    def test_without_expected_ends_the_saved_time_bounds_the_wait(self, fields, waits):
        wait = near_wait(expected_ms=None, **fields)
        assert rent_or_buy(wait) is expected_gain(wait) is waits

    @pytest.mark.parametrize("expected_ms", [0, 200, 500, 790])
    @pytest.mark.parametrize("slack_ms", [1_200, 1_500, 2_500])
    def test_a_wait_that_fails_makes_no_job_late(self, expected_ms, slack_ms):
        # The place never becomes free, and each pass expects it after the same time again.
        waited_ms = 0
        while expected_gain(
            near_wait(expected_ms=expected_ms, waited_ms=waited_ms, slack_ms=slack_ms - waited_ms)
        ):
            waited_ms += DECISION_INTERVAL_MS
        assert waited_ms + 1_000 <= max(slack_ms, 1_000)
        assert waited_ms <= 1_000 - expected_ms * MARGIN + DECISION_INTERVAL_MS


class TestExpectedEnds:
    def forecast(self, *runs) -> RackForecast:
        minion = builders.minion(capacity=Resources(cpu_millis=2_000, memory_mb=1_000))
        for index, columns in enumerate(runs):
            minion.reserve(builders.run(f"0.0.{index}", started_ms=NOW_MS - 400, **columns))
        return RackForecast.of([minion], NOW_MS, lambda run: 1.0)

    def test_ends_follow_from_progress_then_from_run_times(self):
        listed = builders.run(
            started_ms=NOW_MS - 400, last_listed_ms=NOW_MS - 100, percent=30, expected_ms=5_000
        )
        assert remaining_ms(listed, NOW_MS, 1.0) == 600
        unlisted = builders.run(started_ms=NOW_MS - 400, expected_ms=1_000)
        assert remaining_ms(unlisted, NOW_MS, 2.0) == 1_600
        assert remaining_ms(unlisted, NOW_MS, 0.4) == 100
        assert remaining_ms(attrs.evolve(unlisted, expected_ms=0), NOW_MS, 1.0) is None
        # An earlier scheduler started it, so that its speed is not known here.
        recovered = attrs.evolve(listed, recovered=True, phase=RunPhase.RUNNING)
        assert remaining_ms(recovered, NOW_MS, 1.0) == 3_400

    def test_each_waiting_task_takes_the_next_place(self):
        forecast = self.forecast({"expected_ms": 600}, {"expected_ms": 900})
        found = []
        for _ in range(3):
            claim = forecast.find(CORE, 1_000, 1, lambda minion: 1)
            found.append(claim.expected_ms)
            forecast.take(claim, 1)
        assert found == [200, 500, 1_200]

    def test_a_gang_needs_all_places_at_once(self):
        forecast = self.forecast({"expected_ms": 600}, {"expected_ms": 900})
        assert forecast.find(CORE, 1_000, 2, lambda minion: 2).expected_ms == 500
        assert forecast.find(CORE, 1_000, 2, lambda minion: 1) is None

    def test_lasting_runs_and_unknown_ends(self):
        lasting = self.forecast({"lasting": True}, {"lasting": True})
        assert lasting.find(CORE, 1_000, 1, lambda minion: 1) is None
        unknown = self.forecast({}, {"lasting": True})
        claim = unknown.find(CORE, 1_000, 1, lambda minion: 1)
        assert claim.expected_ms is None
        unknown.take(claim, 1)
        assert unknown.find(CORE, 1_000, 1, lambda minion: 1) is None


def make_planner(*steps, left_ms: int = 300, factor: float = 2.0) -> Planner:
    """Return the planner of two racks of 4 cores; the runs of the first end in `left_ms`."""
    proposed = ProposedState.of(ControlState(table=builders.step_table(slack_factor=4.0)))
    fleet = FleetState(proposed=proposed)
    for rack in (HOT, OTHER):
        capacity = Resources(cpu_millis=4_000, memory_mb=1_000)
        minion = builders.minion(rack, rack=rack, capacity=capacity)
        minion.last_report_ms = NOW_MS
        fleet.minions[rack] = minion
    for index in range(4):
        run = builders.run(f"0.0.{index}", minion=HOT, started_ms=NOW_MS, expected_ms=left_ms)
        fleet.reserve(run)
    for number, step in enumerate(steps):
        accept = AcceptJob(
            job_id=job_id(number + 1),
            queue="queue-a",
            pool="pool-a",
            team="",
            spec=builders.step_job(step),
            at_ms=NOW_MS,
        )
        proposed.apply(accept)
        fleet.stale_jobs.add(accept.job_id)
    return Planner(fleet=fleet, remote_factor=factor)


def near_step(count: int = 1, **fields):
    return builders.step(count, **{"data_rack": HOT, "estimate_ms": 1_000, **fields})


class TestPlanner:
    def test_a_waiting_step_blocks_no_other_of_the_same_needs(self):
        planner = make_planner(near_step(), builders.step(4, estimate_ms=2_000))
        starts = planner.plan(NOW_MS, NOW_MS)
        assert {run.job_id for run in starts} == {job_id(2)}
        assert len(starts) == 4
        assert planner.near_waits.begun == 1

    @pytest.mark.parametrize("columns", [{"factor": 1.0}, {"left_ms": 5_000}])
    def test_nothing_waits_where_it_does_not_pay(self, columns):
        planner = make_planner(near_step(), **columns)
        assert [run.minion for run in planner.plan(NOW_MS, NOW_MS)] == [OTHER]

    def test_only_as_many_wait_as_get_a_place_in_time(self):
        # Four runs end in 300 ms, and the next four places are free 1 s later.
        planner = make_planner(near_step(7))
        assert [run.minion for run in planner.plan(NOW_MS, NOW_MS)] == [OTHER] * 3
        assert len(planner.near_waits.steps[(job_id(1), 0, 0)].since_ms) == 4

    @pytest.mark.parametrize("gang", [True, False])
    def test_a_gang_or_rack_local_step_waits_as_a_whole(self, gang):
        step = near_step(4, gang=gang, same_rack=not gang)
        assert make_planner(step).plan(NOW_MS, NOW_MS) == []
        starts = make_planner(step, left_ms=5_000).plan(NOW_MS, NOW_MS)
        assert [run.minion for run in starts] == [OTHER] * 4

    def test_a_rack_local_step_takes_the_rack_that_holds_all_of_it(self):
        planner = make_planner(near_step(4, same_rack=True, data_rack=""), left_ms=5_000)
        planner.fleet.minions[HOT].release(f"{'0' * 16}.0.0.0")
        assert [run.minion for run in planner.plan(NOW_MS, NOW_MS)] == [OTHER] * 4

    def test_a_rack_without_usable_minions_is_not_waited_for(self):
        planner = make_planner(near_step())
        assert planner.plan(NOW_MS, NOW_MS) == []
        planner.fleet.minions[HOT].cordoned = True
        assert [run.minion for run in planner.plan(NOW_MS + 100, NOW_MS + 100)] == [OTHER]
        waits = planner.near_waits
        assert (waits.ended_near, waits.ended_far, waits.waited_ms) == (0, 1, 100)
        assert waits.steps == {}

    def test_one_line_tells_of_the_begin_and_one_of_the_end(self):
        # Each pass decides anew; a line for each decision would be ten a second for each step.
        lines = []
        handle = logger.add(lambda line: lines.append(line.record), level="INFO")
        planner = make_planner(near_step(2))
        for at_ms in (NOW_MS, NOW_MS + 100, NOW_MS + 200):
            planner.plan(at_ms, at_ms)
        for run in list(planner.fleet.minions[HOT].runs.values()):
            planner.fleet.minions[HOT].release(run.name)
        planner.plan(NOW_MS + 300, NOW_MS + 300)
        logger.remove(handle)
        begin, end = (line["extra"] for line in lines)
        assert begin.items() >= {"expected_ms": 300, "near_ms": 1_000, "far_ms": 2_000}.items()
        assert end.items() >= {"near": 2, "far": 0, "lasted_ms": 300, "waited_ms": 600}.items()

    def test_the_wait_of_a_cancelled_job_ends(self):
        planner = make_planner(near_step())
        planner.plan(NOW_MS, NOW_MS)
        planner.fleet.ready.clear()
        planner.plan(NOW_MS + 100, NOW_MS + 100)
        assert planner.near_waits.steps == {}
        assert planner.near_waits.ended_far == 0


class TestReplay:
    def test_a_burst_for_one_rack_earns_more_with_less_processor_time(self):
        # 0.6 of the jobs ask for one of four racks for 5.5 s; elsewhere they take three times as
        # long. The baseline starts them there at once, and the room is missing for all.
        waiting = replay_mean(Replay(policy="expected_gain", factor=3.0), seeds=2)
        baseline = replay_mean(Replay(policy="never", factor=3.0), seeds=2)
        assert waiting["credit"] > baseline["credit"] + 0.02
        assert waiting["late"] < baseline["late"]
        assert waiting["core_s"] < 0.95 * baseline["core_s"]


class TestFailures:
    """The rack is full for 2.9 s when the job arrives, and elsewhere it would take 6 s longer."""

    OPTIONS = {
        "timing": FleetTiming(remote_factor=2.0),
        "table": builders.step_table(slack_factor=6.0),
    }

    async def wait_for_rack(self, fleet: StepFleet):
        full = builders.step_job(near_step(32, estimate_ms=2_900))
        await fleet.submit(job_id(1), full, work_ms=2_900)
        await trio.sleep(0.5)
        await fleet.submit(job_id(2), builders.step_job(near_step(2, estimate_ms=6_000)))
        await trio.sleep(0.3)
        scheduler = await fleet.wait_for_scheduler()
        assert list(scheduler.planner.near_waits.steps) == [(job_id(2), 0, 0)]

    def racks_of(self, fleet: StepFleet, job: str) -> set[str]:
        runs = [run for run in fleet.minions.history if run.task.startswith(job)]
        assert len(runs) == 2
        return {fleet.minions.minions[run.minion].rack for run in runs}

    def test_the_next_scheduler_decides_anew(self):
        async def scenario(fleet: StepFleet) -> None:
            await self.wait_for_rack(fleet)
            fleet.kill_control(fleet.leader())
            await fleet.wait_for_state(job_id(2), "completed")
            scheduler = await fleet.wait_for_scheduler()
            assert scheduler.planner.near_waits.ended_near == 2

        fleet = run_scenario(scenario, **self.OPTIONS)
        assert self.racks_of(fleet, job_id(2)) == {HOT}

    def test_a_rack_that_loses_power_is_not_waited_for(self):
        async def scenario(fleet: StepFleet) -> None:
            await self.wait_for_rack(fleet)
            for name, minion in fleet.minions.minions.items():
                if minion.rack == HOT:
                    fleet.minions.crash(name)
            await fleet.wait_for_state(job_id(2), "completed", timeout_s=3)
            scheduler = await fleet.wait_for_scheduler()
            assert scheduler.planner.near_waits.ended_far == 2

        fleet = run_scenario(scenario, **self.OPTIONS)
        assert HOT not in self.racks_of(fleet, job_id(2))
