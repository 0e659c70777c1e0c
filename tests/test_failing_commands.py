"""A committed command that can't be applied ends no replica, and all replicas stay equal."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from hornbeamreach.control import state_machine
from hornbeamreach.control.raft_messages import LogEntry, Snapshot, SnapshotRequest
from hornbeamreach.control.snapshots import encode_state, state_digest
from hornbeamreach.control.workload_commands import CancelJob
from hornbeamreach.entry.replayed_state import ReplayedState
from hornbeamreach.exceptions import RefusedError, StorageError
from hornbeamreach.link.codec import encode
from hornbeamreach.link.interface import Redirect
from hornbeamreach.link.messages import LogItem
from hornbeamreach.verdict import Reason

from .builders import step, step_job
from .fakes import run_virtual
from .step_fleet import StepFleet

DEADLY = "f" * 16
LOCALLY_DEADLY = "e" * 16


@pytest.fixture(autouse=True)
def failing_cancel(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the cancels of two jobs fail after they have changed the state."""
    apply_cancel = state_machine.appliers.entries["CancelJob"]

    def apply(state: Any, command: CancelJob) -> Any:
        outcome = apply_cancel(state, command)
        if command.job_id == DEADLY:
            state.version += 1
            raise KeyError("deadly")
        if command.job_id == LOCALLY_DEADLY:
            raise MemoryError
        return outcome

    monkeypatch.setitem(state_machine.appliers.entries, "CancelJob", apply)


async def commit_deadly(fleet: StepFleet) -> Any:
    leader = fleet.control[await fleet.wait_for_leader()].replica
    return await leader.propose(CancelJob(job_id=DEADLY, at_ms=1))


async def cancel(fleet: StepFleet, number: int) -> None:
    leader = fleet.control[await fleet.wait_for_leader()].replica
    await leader.propose(CancelJob(job_id=f"{number:016x}", at_ms=1))


def assert_equal(fleet: StepFleet) -> None:
    states = [process.replica.state for process in fleet.control.values()]
    assert len({state_digest(s) for s in states if s.applied_index == states[0].applied_index}) == 1
    for state in states:
        assert DEADLY not in state.workload.tombstones
        assert state.version == 1


def run_fleet(scenario: Any) -> None:
    fleet = StepFleet()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)


class TestFailingCommand:
    def test_it_is_refused_and_changes_nothing_on_any_replica(self):
        async def scenario(fleet: StepFleet) -> None:
            outcome = await commit_deadly(fleet)
            assert (outcome.accepted, outcome.reason) == (False, Reason.MALFORMED)
            await fleet.submit("0" * 16, step_job(step(3)))
            await fleet.wait_for_state("0" * 16, "completed")
            assert len(fleet.control) == 3
            assert_equal(fleet)

        run_fleet(scenario)

    def test_it_ends_no_replica_after_a_restart_or_a_snapshot(self):
        async def scenario(fleet: StepFleet) -> None:
            await commit_deadly(fleet)
            for address in list(fleet.addresses):
                fleet.kill_control(address, power_loss=True)
            for address in fleet.addresses:
                fleet.start_control(address)
            await fleet.wait_for_scheduler()
            await commit_deadly(fleet)
            for number in range(400):
                await cancel(fleet, number)
            assert any(p.replica.core.log.base_index for p in fleet.control.values())
            await commit_deadly(fleet)
            await trio.sleep(1)
            assert_equal(fleet)

        run_fleet(scenario)

    def test_it_ends_no_entry_that_replays_the_log(self):
        async def scenario(fleet: StepFleet) -> None:
            await commit_deadly(fleet)
            await cancel(fleet, 1)
            replica = fleet.control[await fleet.wait_for_leader()].replica
            replayed = ReplayedState()
            entries = replica.core.log.slice_from(1, replica.state.applied_index)
            items = [LogItem(index=e.index, data=replica.applied_data(e)) for e in entries]
            replayed.apply(items, None)
            assert replayed.state.applied_index == replica.state.applied_index
            assert state_digest(replayed.state) == state_digest(replica.state)

        run_fleet(scenario)


class TestErrorsOfOneReplica:
    def test_a_lack_of_memory_ends_the_process_and_skips_nothing(self):
        async def scenario(fleet: StepFleet) -> None:
            replica = fleet.control[await fleet.wait_for_leader()].replica
            index = replica.state.applied_index
            data = encode(CancelJob(job_id=LOCALLY_DEADLY, at_ms=1))
            with pytest.raises(MemoryError):
                replica._apply(LogEntry(index=index + 1, term=replica.core.term, data=data))
            assert not replica.skipped

        run_fleet(scenario)

    @pytest.mark.parametrize("data", [b"\x82\x68unknown_\xa0", encode(Redirect(leader=None))])
    def test_a_command_of_another_version_is_not_skipped(self, data):
        async def scenario(fleet: StepFleet) -> None:
            replica = fleet.control[await fleet.wait_for_leader()].replica
            entry = LogEntry(index=replica.state.applied_index + 1, term=1, data=data)
            with pytest.raises(StorageError):
                replica._apply(entry)

        run_fleet(scenario)


class TestProposal:
    @pytest.mark.parametrize(
        "command", [CancelJob(job_id="0" * 16, at_ms="soon"), Redirect(leader=None)]
    )
    def test_a_command_that_no_replica_could_read_is_refused(self, command):
        async def scenario(fleet: StepFleet) -> None:
            replica = fleet.control[await fleet.wait_for_leader()].replica
            last_index = replica.core.log.last_index
            with pytest.raises(RefusedError):
                replica.submit(command)
            assert replica.core.log.last_index == last_index
            await fleet.submit("0" * 16, step_job(step(1)))

        run_fleet(scenario)


class TestSnapshots:
    def test_an_unreadable_snapshot_ends_no_follower_and_stays_off_its_disk(self):
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            address = next(a for a in fleet.addresses if a != leader)
            replica, core = fleet.control[address].replica, fleet.control[leader].replica.core
            for data in (b"", b"\x01", encode_state(replica.state)[:-9]):
                snapshot = Snapshot(
                    index=core.commit_index + 50, term=core.term, members=core.members(), data=data
                )
                message = SnapshotRequest(
                    source=core.node_id,
                    target=replica.node_id,
                    term=core.term,
                    snapshot=snapshot,
                    sent_ms=0,
                )
                await fleet.network.handlers[address].handle(message)
                await trio.sleep(0.5)
            fleet.kill_control(address)
            fleet.start_control(address)
            await fleet.submit("0" * 16, step_job(step(3)))
            await fleet.wait_for_state("0" * 16, "completed")
            await trio.sleep(1)
            assert_equal(fleet)

        run_fleet(scenario)
