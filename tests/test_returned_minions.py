"""A minion that starts again under its id carries out calls meant for its earlier incarnation."""

from __future__ import annotations

import pytest
import trio

from hornbeamreach.standins.step_minions import SimulatedRun
from hornbeamreach.systems.lease_bounds import IncarnationHistory, lease_bounds
from hornbeamreach.systems.task_placement import PlacementRequest, placement_policies
from hornbeamreach.tables.workload import RunEnd

from . import builders
from .builders import step, step_job
from .fakes import run_virtual
from .step_fleet import StepFleet
from .test_step_jobs import job_id, run_scenario

JOB = job_id(1)
# The earlier incarnation's clock is further ahead than any lease lasts.
EARLIER_LIFE_S = 20
# Longer than the leases of a scheduler, shorter than the longest lease of a minion.
LONG_TASK_MS = 8_000
LONGEST_MS = 10_600
SHORT_TASK_MS = 600


def cut_off(fleet: StepFleet, minion: str) -> None:
    """Cut a minion off from all replicas; it runs on."""
    fleet.silenced.add(minion)
    fleet.minions.partitions |= {(address, minion) for address in fleet.addresses}


async def start_on_a_returned_minion(
    fleet: StepFleet, work_ms: int, *, answered: bool = True
) -> SimulatedRun:
    """Let idle minions return unnoticed and one of them start a task; return its run."""
    await trio.sleep(EARLIER_LIFE_S)
    for name in fleet.minions.minions:
        fleet.silenced.add(name)
        fleet.minions.restart(name)
    if not answered:
        fleet.minions.lost_response_fraction = 1
    await fleet.submit(JOB, step_job(step(1)), work_ms=work_ms)
    with trio.fail_after(5):
        while not fleet.minions.history:
            await trio.sleep(0.001)
    run = fleet.minions.history[0]
    assert run.born_ms == 2
    fleet.silenced &= {run.minion}
    return run


async def wait_until_polled(fleet: StepFleet, run: SimulatedRun) -> None:
    """Wait until the leader has polled the incarnation that a run is on."""
    fleet.silenced.clear()
    with trio.fail_after(5):
        while True:
            scheduler = await fleet.wait_for_scheduler()
            minion = scheduler.fleet.minions.get(run.minion)
            if minion is not None and minion.report.born_ms == 2 and minion.polled_ms >= 0:
                return
            await trio.sleep(0.001)


async def wait_until_recorded(fleet: StepFleet, run: SimulatedRun) -> None:
    """Wait until the log says that the minion of a run has returned."""
    with trio.fail_after(5):
        while run.minion not in (await fleet.wait_for_scheduler()).replica.state.workload.returns:
            await trio.sleep(0.001)


def second_run(fleet: StepFleet) -> SimulatedRun:
    """Return the second run of the task, which began elsewhere after the first had ended."""
    first, second = fleet.minions.history[:2]
    assert second.minion != first.minion
    assert first.ended_ms is not None
    assert second.began_ms > first.ended_ms
    return second


class TestPolicies:
    # Calls for the earlier incarnation may have arrived in the first two cases and, as far as a new
    # leader knows, in the third.
    @pytest.mark.parametrize(
        ("known", "expected"),
        [
            ({"has_earlier": True}, LONGEST_MS),
            ({"returned_ms": 95_000}, LONGEST_MS),
            ({"born_ms": 95_000}, LONGEST_MS),
            ({"born_ms": 95_000, "led_ms": 60_000}, 0),
            ({"born_ms": 99_500, "led_ms": 1_000}, 0),
            ({"born_ms": 95_000, "has_predecessor": False}, 0),
            ({"returned_ms": 60_000, "born_ms": 59_000}, 0),
            ({"born_ms": 0}, 0),
        ],
    )
    def test_the_longest_lease_counts_where_an_earlier_incarnation_was_called(
        self, known, expected
    ):
        history = IncarnationHistory(
            **{"born_ms": 5_000, "wall_ms": 100_000, "led_ms": 1_000, **known}
        )
        assert lease_bounds.get("any_incarnation")(history, LONGEST_MS) == expected
        assert lease_bounds.get("same_incarnation")(history, LONGEST_MS) == 0


class TestLeases:
    # A run on a minion that returned under its id and was cut off was started again elsewhere
    # while it was still at work.
    def test_a_lease_taken_on_an_earlier_clock_is_waited_for(self):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS)
            await wait_until_polled(fleet, run)
            cut_off(fleet, run.minion)
            await trio.sleep(16)

        second_run(run_scenario(scenario, minion_count=2))

    @pytest.mark.parametrize("heard", [True, False])
    def test_a_new_leader_waits_for_such_a_lease(self, heard):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS)
            await wait_until_polled(fleet, run)
            await wait_until_recorded(fleet, run)
            fleet.kill_control(await fleet.wait_for_leader())
            if heard:
                await wait_until_polled(fleet, run)
            cut_off(fleet, run.minion)
            await trio.sleep(20)

        second_run(run_scenario(scenario, minion_count=2))

    def test_a_leader_that_dies_before_it_records_a_return(self):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS)
            fleet.kill_control(await fleet.wait_for_leader())
            cut_off(fleet, run.minion)
            await trio.sleep(20)

        second_run(run_scenario(scenario, minion_count=2))

    @pytest.mark.parametrize("answered", [True, False])
    def test_a_new_leader_waits_for_a_start_that_the_earlier_one_waited_for(self, answered):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS, answered=answered)
            # The answer is under way.
            await trio.sleep(0.002)
            cut_off(fleet, run.minion)
            fleet.minions.lost_response_fraction = 0
            await trio.sleep(1.2)
            fleet.kill_control(await fleet.wait_for_leader())
            await trio.sleep(20)

        second_run(run_scenario(scenario, minion_count=2))

    def test_a_late_start_that_only_the_next_incarnation_saw_is_waited_for(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(EARLIER_LIFE_S)
            fleet.minions.late_order_fraction = 1
            await fleet.submit(JOB, step_job(step(1)), work_ms=30_000)
            await trio.sleep(0.1)
            fleet.minions.late_order_fraction = 0
            run = (await fleet.wait_for_scheduler()).fleet.find_run(JOB, "0.0.0")
            assert run is not None
            cut_off(fleet, run.minion)
            fleet.minions.restart(run.minion)
            await trio.sleep(30)

        run_scenario(scenario, minion_count=2)

    def test_a_run_of_a_new_leader_on_a_returned_minion_is_waited_for(self):
        # The earlier leader's polls, and none of its starts, have reached the new incarnation.
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(EARLIER_LIFE_S)
            leader = await fleet.wait_for_leader()
            for minion in fleet.minions.minions.values():
                fleet.minions.restart(minion.minion)
                minion.born_ms = fleet.clock.wall_ms()
                fleet.minions.extend_lease(minion, EARLIER_LIFE_S * 2_000)
            fleet.kill_control(leader)
            await fleet.submit(JOB, step_job(step(1)), work_ms=LONG_TASK_MS)
            with trio.fail_after(10):
                while not fleet.minions.history:
                    await trio.sleep(0.001)
            run = fleet.minions.history[0]
            await trio.sleep(0.7)
            cut_off(fleet, run.minion)
            await trio.sleep(16)

        run_scenario(scenario, minion_count=2)

    # The answer to a start doesn't name the incarnation that gives it.
    @pytest.mark.parametrize("answered", [True, False])
    def test_a_start_that_only_the_next_incarnation_saw_is_waited_for(self, answered):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS, answered=answered)
            # The answer is under way.
            await trio.sleep(0.002)
            cut_off(fleet, run.minion)
            fleet.minions.lost_response_fraction = 0
            await trio.sleep(16)

        second_run(run_scenario(scenario, minion_count=2))


class TestLastingTasks:
    # The first leader of a young fleet waited 10 s for a lease that nobody can have granted.
    def test_nothing_is_waited_for_where_no_leader_has_called_before(self):
        fleet = StepFleet(minion_count=2)

        async def main() -> None:
            for minion in fleet.minions.minions.values():
                minion.born_ms = fleet.clock.wall_ms()
            async with trio.open_nursery() as nursery:
                await fleet.start(nursery)
                await fleet.submit(JOB, step_job(step(1, lasting=True)))
                while not fleet.minions.history:
                    await trio.sleep(0.01)
                await trio.sleep(0.5)
                fleet.minions.crash(fleet.minions.history[0].minion)
                await trio.sleep(6)
                nursery.cancel_scope.cancel()

        run_virtual(main)
        second_run(fleet)

    def test_a_minion_that_may_hold_such_a_lease_is_chosen_last(self):
        fuller = builders.minion("i-1")
        fuller.may_hold_carried_lease = True
        fuller.reserve(builders.run())
        request = PlacementRequest(step=step(lasting=True), needs=step().needs)
        for minions in ([fuller, builders.minion("i-2")], [builders.minion("i-2"), fuller]):
            chosen = placement_policies.get("best_fit")(request, minions)
            assert chosen is not None
            assert chosen.minion_id == "i-2"


class TestClocksSetBack:
    # The next incarnation's wall clock was behind, and it was polled some 300 times a second.
    def test_a_minion_that_seems_to_have_begun_earlier_is_polled_with_pauses(self):
        async def scenario(fleet: StepFleet) -> None:
            minion = fleet.minions.minions["i-1"]
            minion.born_ms = 100
            await trio.sleep(3)
            await fleet.submit(JOB, step_job(step(1, lasting=True)))
            await trio.sleep(1)
            fleet.minions.restart("i-1")
            minion.born_ms = 50
            polls = fleet.minions.poll_count
            await trio.sleep(5)
            assert fleet.minions.poll_count - polls < 60

        run_scenario(scenario, minion_count=1)


class TestListedRuns:
    # Tasks that ended with their minion waited 10 s when its next incarnation was heard of and then
    # cut off before it was polled.
    def test_runs_that_the_earlier_incarnation_listed_begin_elsewhere_at_once(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(JOB, step_job(step(1)), work_ms=LONG_TASK_MS)
            await trio.sleep(3)
            run = fleet.minions.history[0]
            fleet.minions.restart(run.minion)
            cut_off(fleet, run.minion)
            scheduler = await fleet.wait_for_scheduler()
            scheduler.on_report(fleet.minions.minions[run.minion].report())
            await trio.sleep(1)

        second_run(run_scenario(scenario, minion_count=2))


class TestEnds:
    # A task that was done was started again, as a poll meant for the earlier incarnation had let
    # the minion forget the end.
    def test_an_acknowledgement_for_an_earlier_incarnation_takes_no_end_away(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(2), step_job(step(30)))
            await fleet.wait_for_state(job_id(2), "completed")
            fleet.minions.history.clear()
            run = await start_on_a_returned_minion(fleet, SHORT_TASK_MS, answered=False)
            with trio.fail_after(5):
                while run.end is not RunEnd.DONE:
                    await trio.sleep(0.01)
            await trio.sleep(2)
            fleet.minions.lost_response_fraction = 0
            fleet.silenced.clear()
            await fleet.wait_for_state(JOB, "completed")

        fleet = run_scenario(scenario, minion_count=2)
        assert len(fleet.minions.history) == 1


class TestUndeliveredStarts:
    # A start that no minion can have received held its task back for the length of a lease.
    @pytest.mark.parametrize("relayed", [False, True])
    def test_a_start_that_was_not_delivered_is_sent_elsewhere_at_once(self, relayed):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(8)
            fleet.minions.refusing = {"i-1"}
            began = trio.current_time()
            await fleet.submit(JOB, step_job(step(2, cpu_millis=9_000)))
            await fleet.wait_for_state(JOB, "completed")
            assert trio.current_time() - began < 3

        run_scenario(scenario, minion_count=2, relayed=relayed)

    # Some 50 starts a second went to a minion that answered polls and refused new connections.
    def test_starts_that_are_not_delivered_are_not_repeated_at_once(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(8)
            fleet.minions.refusing_starts = {"i-1"}
            await fleet.submit(JOB, step_job(step(1)))
            await trio.sleep(5)
            assert 0 < fleet.minions.refused_starts < 10

        run_scenario(scenario, minion_count=1)
