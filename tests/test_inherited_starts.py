"""Starts that were under way when a leader ended: what its successors assume of them."""

from __future__ import annotations

import attrs
import pytest
import trio

from hornbeamreach.control.snapshots import decode_state, encode_state
from hornbeamreach.control.workload_commands import RecordRuns
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.unsettled_starts import RECORD_DELAY_MS, UnsettledStarts
from hornbeamreach.systems.inherited_leases import InheritedStart, inherited_leases
from hornbeamreach.tables.control_state import ControlState

from . import builders
from .builders import step, step_job
from .step_fleet import StepFleet
from .test_returned_minions import (
    EARLIER_LIFE_S,
    JOB,
    LONG_TASK_MS,
    LONGEST_MS,
    cut_off,
    second_run,
    start_on_a_returned_minion,
)
from .test_step_jobs import run_scenario

# Longer than a scheduler's leases, an election and a start take.
ORDINARY_TAKEOVER_S = 7


async def replace_leader(fleet: StepFleet, leader: str) -> None:
    fleet.kill_control(leader)
    await fleet.wait_for_scheduler()
    fleet.start_control(leader)


class TestUnsettledStarts:
    # TWICE: the next leader took the lease of a start that only an incarnation which nobody had
    # heard of had carried out for one on the earlier clock.
    @pytest.mark.parametrize("cut_after_s", [0, 0.7])
    @pytest.mark.parametrize("killed_after_ms", [0, 1, 2, 5, 10, 20, 50, 200, 1_000])
    def test_a_leader_that_ends_around_a_start(self, killed_after_ms, cut_after_s):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS)
            await trio.sleep(killed_after_ms / 1_000)
            fleet.kill_control(await fleet.wait_for_leader())
            await trio.sleep(cut_after_s)
            cut_off(fleet, run.minion)
            await trio.sleep(20)

        second_run(run_scenario(scenario, minion_count=2))

    # It goes on calling the minion until its lease has ended.
    @pytest.mark.parametrize("cut_after_ms", [0, 1, 5, 20, 100])
    def test_a_leader_that_is_cut_off_from_the_other_replicas(self, cut_after_ms):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS)
            await trio.sleep(cut_after_ms / 1_000)
            leader = await fleet.wait_for_leader()
            fleet.network.cut_off({leader})
            fleet.silenced.add(run.minion)
            others = set(fleet.addresses) - {leader}
            fleet.minions.partitions |= {(address, run.minion) for address in others}
            await trio.sleep(1)
            cut_off(fleet, run.minion)
            await trio.sleep(20)

        second_run(run_scenario(scenario, minion_count=2))

    def test_a_leader_that_ends_before_a_lost_answer_is_missed(self):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS, answered=False)
            fleet.kill_control(await fleet.wait_for_leader())
            fleet.minions.lost_response_fraction = 0
            cut_off(fleet, run.minion)
            await trio.sleep(20)

        second_run(run_scenario(scenario, minion_count=2))

    # A stale report of the earlier incarnation shows the next leader nothing.
    def test_a_next_leader_that_hears_of_the_earlier_incarnation_only(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(EARLIER_LIFE_S)
            stale = {name: minion.report() for name, minion in fleet.minions.minions.items()}
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS)
            fleet.kill_control(await fleet.wait_for_leader())
            cut_off(fleet, run.minion)
            scheduler = await fleet.wait_for_scheduler()
            scheduler.on_report(attrs.evolve(stale[run.minion], sequence=99))
            await trio.sleep(20)

        second_run(run_scenario(scenario, minion_count=2))

    @pytest.mark.parametrize("killed_after_s", [0, 0.3, 1, 2.5, 4, 6])
    def test_the_successors_successor(self, killed_after_s):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS)
            leader = await fleet.wait_for_leader()
            cut_off(fleet, run.minion)
            await replace_leader(fleet, leader)
            await trio.sleep(killed_after_s)
            await replace_leader(fleet, await fleet.wait_for_leader())
            await trio.sleep(25)

        second_run(run_scenario(scenario, minion_count=2))


class TestSettledStarts:
    # The price of a wait for all runs: tasks that a leader had seen at work were off for 10 s.
    @pytest.mark.parametrize("killed_after_s", [0.5, 3])
    def test_a_task_that_was_known_to_be_at_work_begins_elsewhere_soon(self, killed_after_s):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(EARLIER_LIFE_S)
            await fleet.submit(JOB, step_job(step(1)), work_ms=30_000)
            while not fleet.minions.history:
                await trio.sleep(0.01)
            await trio.sleep(killed_after_s)
            fleet.kill_control(await fleet.wait_for_leader())
            fleet.minions.crash(fleet.minions.history[0].minion)
            await trio.sleep(ORDINARY_TAKEOVER_S)
            assert len(fleet.minions.history) == 2

        run_scenario(scenario, minion_count=2)

    def test_an_unsettled_start_whose_minion_is_reached_is_settled_at_once(self):
        async def scenario(fleet: StepFleet) -> None:
            run = await start_on_a_returned_minion(fleet, LONG_TASK_MS)
            fleet.silenced.clear()
            fleet.kill_control(await fleet.wait_for_leader())
            scheduler = await fleet.wait_for_scheduler()
            await trio.sleep(2)
            assert scheduler.fleet.starts.settled_through == 1
            assert scheduler.replica.state.workload.settled_through == 1
            await trio.sleep(15)
            assert fleet.minions.history == [run]

        run_scenario(scenario, minion_count=2)

    def test_settled_starts_are_recorded_without_other_changes(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(JOB, step_job(step(5)), work_ms=60_000)
            while len(fleet.minions.history) < 5:
                await trio.sleep(0.01)
            await trio.sleep(1)
            for process in fleet.control.values():
                workload = process.replica.state.workload
                assert (workload.last_start_number, workload.settled_through) == (5, 5)
            index = (await fleet.wait_for_scheduler()).replica.state.applied_index
            await trio.sleep(5)
            assert (await fleet.wait_for_scheduler()).replica.state.applied_index == index

        run_scenario(scenario, minion_count=2)


class TestInheritedLeases:
    @pytest.mark.parametrize(
        ("number", "settled_through", "expected"),
        [(5, 5, 0), (5, 9, 0), (5, 4, LONGEST_MS), (0, 9, LONGEST_MS)],
    )
    def test_only_an_unsettled_start_is_waited_for(self, number, settled_through, expected):
        start = InheritedStart(number=number, settled_through=settled_through)
        assert inherited_leases.get("unsettled_start")(start, LONGEST_MS) == expected
        assert inherited_leases.get("every_start")(start, LONGEST_MS) == LONGEST_MS
        assert inherited_leases.get("known_clock")(start, LONGEST_MS) == 0


class TestNumbers:
    def test_starts_are_settled_up_to_the_first_that_is_not(self):
        starts = UnsettledStarts(last_number=7)
        runs = [builders.run(key=f"0.0.{n}") for n in range(3)]
        assert starts.settled_through == 7
        assert starts.add(runs) == 8
        starts.settle(runs[1])
        assert starts.settled_through == 7
        starts.settle(runs[0])
        assert starts.settled_through == 9
        starts.settle(runs[2])
        assert starts.settled_through == 10

    def test_an_inherited_start_holds_the_number_back(self):
        starts = UnsettledStarts(last_number=7)
        inherited = builders.run()
        inherited.start_number = 4
        starts.inherit([inherited])
        starts.add([builders.run(key="0.0.1")])
        assert starts.settled_through == 3
        starts.settle(inherited)
        assert starts.settled_through == 7

    def test_settled_starts_are_due_after_a_delay(self):
        starts = UnsettledStarts(last_number=0)
        run = builders.run()
        starts.add([run])
        assert not starts.is_due(1_000)
        starts.settle(run)
        assert not starts.is_due(1_000)
        assert starts.is_due(1_000 + RECORD_DELAY_MS)
        starts.recorded_through = 1
        assert not starts.is_due(1_000 + 2 * RECORD_DELAY_MS)


class TestRecords:
    @pytest.mark.parametrize(
        ("first_number", "settled_through", "carried"),
        [(3, 3, [False, True]), (3, 4, [False, False]), (0, 9, [True, True])],
    )
    def test_a_snapshot_keeps_what_is_settled(self, first_number, settled_through, carried):
        state = ControlState(table=builders.step_table())
        proposed = ProposedState.of(state)
        proposed.apply(builders.accept_job(JOB, spec=step_job(step(2))))
        runs = [(JOB, f"0.0.{n}", 1, "i-1", 1) for n in range(2)]
        proposed.apply(RecordRuns(starts=runs, first_number=first_number))
        proposed.apply(RecordRuns(settled_through=settled_through))
        proposed.apply(RecordRuns(settled_through=1))
        restored = decode_state(encode_state(proposed.state))
        fleet = FleetState(proposed=ProposedState.of(restored))
        fleet.recover_runs(0)
        fleet.keep_unsettled_runs(inherited_leases.get("unsettled_start"), LONGEST_MS, 0)
        found = [fleet.find_run(JOB, f"0.0.{n}").carried_until_ms > 0 for n in range(2)]
        assert found == carried
        assert fleet.starts.last_number == (4 if first_number else 0)
