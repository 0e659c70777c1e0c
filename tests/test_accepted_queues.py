"""Accepted jobs whose queue is renamed, moved or removed by a later version."""

from __future__ import annotations

import pytest
import trio

from hornbeamreach.control.snapshots import decode_state, encode_state
from hornbeamreach.control.state_machine import apply_command
from hornbeamreach.control.workload_commands import ApplyDeclaration, RecordRuns
from hornbeamreach.fleet.messages import QueueAction
from hornbeamreach.systems.accepted_queues import (
    names_by_address,
    pool_of,
    queue_row,
    team_row,
)
from hornbeamreach.systems.run_times import RunTimeHistory
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.workload import RunEnd, StepJobSpec, StepJobState
from hornbeamreach.verdict import Reason

from . import builders
from .builders import queue_table
from .fakes import PolicyAdmission, run_virtual
from .step_fleet import StepFleet

JOB = "00000000000000a6"
# Longer than the scenarios.
WORK_MS = 60_000


def run_scenario(scenario, **options) -> StepFleet:
    fleet_box: list[StepFleet] = []

    async def main() -> None:
        fleet = StepFleet(**options)
        fleet_box.append(fleet)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await fleet.wait_for_scheduler()
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(main)
    return fleet_box[0]


async def submit(fleet: StepFleet, spec: StepJobSpec | None = None, **fields) -> None:
    fleet.specs[JOB] = spec or builders.step_job(builders.step(2))
    fleet.work_ms_by_job[JOB] = WORK_MS
    reply = await fleet.call(QueueAction.SUBMIT, JOB, spec=fleet.specs[JOB], **fields)
    assert reply.reason is None


async def assert_reachable(fleet: StepFleet, **fields) -> None:
    """Check that the job can be read, submitted again and cancelled, and is cancelled then."""
    assert (await fleet.call(QueueAction.READ, JOB, **fields)).state == "running"
    reply = await fleet.call(QueueAction.SUBMIT, JOB, spec=fleet.specs[JOB], **fields)
    assert reply.reason is None
    assert (await fleet.call(QueueAction.CANCEL, JOB, **fields)).reason is None
    await trio.sleep(3)
    assert (await fleet.call(QueueAction.READ, JOB, **fields)).state == "cancelled"
    assert not [run for run in fleet.minions.history if run.ended_ms is None]
    assert len(fleet.minions.history) == 2


class TestAccess:
    # GET and DELETE of an accepted job were 410 while it ran on, and a repeat of its POST 429.
    @pytest.mark.parametrize(
        ("versions", "path"),
        [
            pytest.param([["queue-b"]], "/jobs/", id="renamed"),
            pytest.param([["queue-b"], ["queue-c"]], "/jobs/", id="renamed twice"),
            pytest.param([["queue-x /x/"], ["queue-b"]], "/jobs/", id="removed and added again"),
            pytest.param([["queue-b", "queue-a /x/"]], "/jobs/", id="its name is another's"),
            pytest.param([["queue-a /x/"]], "/x/", id="moved to another prefix"),
            pytest.param([["queue-b /"]], "/jobs/", id="a shorter prefix is left"),
            pytest.param(
                [["queue-a", "queue-b /jobs/00"]], "/jobs/", id="a longer prefix matches its path"
            ),
        ],
    )
    def test_a_job_stays_reachable_where_it_was_accepted(self, versions, path):
        async def scenario(fleet: StepFleet) -> None:
            await submit(fleet)
            for number, names in enumerate(versions):
                await fleet.declare(2 + number, queue_table(*names))
            await trio.sleep(1)
            await assert_reachable(fleet, path=f"{path}{JOB}")

        run_scenario(scenario)

    # The new leader and a replica that starts from a snapshot know no more than the state.
    def test_a_renamed_queue_keeps_its_jobs_after_restarts(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit(fleet)
            await fleet.declare(2, queue_table("queue-b"))
            for address in fleet.addresses:
                fleet.kill_control(address)
            for address in fleet.addresses:
                fleet.start_control(address)
            await trio.sleep(8)
            await assert_reachable(fleet)

        run_scenario(scenario, limits=builders.replica_limits(log_entries=4))

    # The queue of a job that came while the version was committed would be unknown for good.
    def test_a_job_that_comes_while_its_queue_is_removed_is_refused_or_kept(self):
        async def scenario(fleet: StepFleet) -> None:
            fleet.sync_duration_ms = dict.fromkeys(fleet.addresses, 200)
            spec = builders.step_job()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.declare, 2, queue_table("queue-x /x/"))
                await trio.sleep(0.1)
                reply = await fleet.call(QueueAction.SUBMIT, JOB, spec=spec)
            assert (reply.reason, reply.retry_after_ms) == (Reason.NOT_READY, 1_000)
            reply = await fleet.call(QueueAction.SUBMIT, JOB, spec=spec)
            assert reply.reason is Reason.UNKNOWN_QUEUE
            workload = (await fleet.wait_for_scheduler()).proposed.workload
            assert JOB not in workload.jobs

        run_scenario(scenario)

    def test_a_job_that_comes_while_the_limits_of_its_queue_change_is_accepted(self):
        async def scenario(fleet: StepFleet) -> None:
            fleet.sync_duration_ms = dict.fromkeys(fleet.addresses, 200)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.declare, 2, queue_table("queue-a", max_attempts=9))
                await trio.sleep(0.1)
                await submit(fleet)
            scheduler = await fleet.wait_for_scheduler()
            assert scheduler.fleet.queue_of(scheduler.fleet.job(JOB)).max_attempts == 9

        run_scenario(scenario)

    def test_a_removed_queue_serves_no_calls(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit(fleet)
            await fleet.declare(2, queue_table("queue-x /x/"))
            for action in (QueueAction.READ, QueueAction.CANCEL, QueueAction.COUNT):
                reply = await fleet.call(action, JOB)
                assert reply.reason is Reason.UNKNOWN_QUEUE
            # Another queue's path doesn't show it either.
            reply = await fleet.call(QueueAction.READ, JOB, path=f"/x/{JOB}")
            assert reply.reason is Reason.UNKNOWN_JOB

        run_scenario(scenario)

    def test_a_renamed_queue_counts_the_jobs_it_was_given_before(self):
        async def scenario(fleet: StepFleet) -> None:
            spec = builders.step_job(repetitions=1, first_due_ms=fleet.clock.wall_ms() + 10**6)
            for number in range(3):
                await fleet.submit(f"{number:016x}", spec)
            await fleet.declare(2, queue_table("queue-b", "queue-a /x/"))
            assert (await fleet.call(QueueAction.COUNT)).count == 3
            assert (await fleet.call(QueueAction.COUNT, path="/x/")).count == 0

        run_scenario(scenario)


class TestCallers:
    # Its client has the same key as before.
    def test_a_key_reaches_its_jobs_after_its_team_was_renamed(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit(fleet)
            table = queue_table("queue-a", keys_of="team-b")
            await fleet.declare(2, table, keys={"key-1": "team-b"})
            await trio.sleep(1)
            await assert_reachable(fleet)

        run_scenario(scenario)

    # Calls to an open queue carry no key.
    def test_jobs_are_reached_without_a_key_once_their_queue_is_open(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit(fleet)
            await fleet.declare(2, queue_table("queue-a", open=True, open_team="team-a-open"))
            await trio.sleep(1)
            await assert_reachable(fleet, key_hash="")

        run_scenario(scenario)

    def test_jobs_without_a_key_are_reached_with_one_once_their_queue_needs_it(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.declare(2, queue_table("queue-a", open=True, open_team="anonymous"))
            await submit(fleet, key_hash="")
            await fleet.declare(3, queue_table("queue-a", open_team="anonymous"))
            await trio.sleep(1)
            assert (await fleet.call(QueueAction.READ, JOB, key_hash="")).reason is Reason.NO_KEY
            await assert_reachable(fleet)

        run_scenario(scenario)

    def test_another_teams_key_reaches_no_job(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit(fleet)
            await fleet.declare(
                2, queue_table("queue-b"), keys={"key-1": "team-a", "key-2": "team-b"}
            )
            for action in (QueueAction.READ, QueueAction.CANCEL):
                reply = await fleet.call(action, JOB, key_hash="key-2")
                assert reply.reason is Reason.UNKNOWN_JOB
            reply = await fleet.call(
                QueueAction.SUBMIT, JOB, spec=fleet.specs[JOB], key_hash="key-2"
            )
            assert reply.reason is Reason.FOREIGN_JOB
            assert (await fleet.call(QueueAction.READ, JOB)).state == "running"

        run_scenario(scenario)


class TestState:
    @staticmethod
    def state_with_job() -> ControlState:
        state = ControlState(table=builders.step_table())
        apply_command(state, 1, builders.accept_job(JOB))
        return state

    @staticmethod
    def declare(state: ControlState, version: int, table) -> None:
        command = ApplyDeclaration(version=version, text=b"", table=table)
        apply_command(state, state.applied_index + 1, command)

    def test_the_queue_of_a_job_survives_a_snapshot(self):
        state = self.state_with_job()
        self.declare(state, 1, queue_table("queue-b"))
        assert decode_state(encode_state(state)).workload == state.workload
        assert state.workload.queues[1].address == ("a.example", "/jobs/")
        assert not state.workload.queues[1].declared

    # A snapshot of an earlier build holds jobs without numbered queues.
    def test_a_job_of_an_earlier_build_keeps_its_queue_at_the_next_version(self):
        state = self.state_with_job()
        state.workload.queues.clear()
        state.workload.jobs[JOB].queue_number = 0
        self.declare(state, 1, queue_table("queue-b"))
        queue = state.workload.queues[state.workload.jobs[JOB].queue_number]
        assert (queue.name, queue.declared) == ("queue-a", False)

    # Hundreds of versions a day would otherwise fill the state.
    def test_queues_without_jobs_are_dropped_at_the_next_version(self):
        state = self.state_with_job()
        for version in range(1, 20):
            self.declare(state, version, queue_table(f"queue-{version}"))
            apply_command(state, version, builders.accept_job(str(version), f"queue-{version}"))
        assert len(state.workload.queues) == 20
        for name in list(state.workload.jobs)[1:]:
            del state.workload.jobs[name]
        self.declare(state, 20, queue_table("queue-20"))
        assert [queue.name for queue in state.workload.queues.values()] == ["queue-a"]

    def test_a_row_that_reuses_a_removed_name_is_another_queue(self):
        state = self.state_with_job()
        self.declare(state, 1, queue_table("queue-x /x/"))
        self.declare(state, 2, queue_table("queue-a /x/", max_attempts=9))
        queue = state.workload.queues[1]
        assert (queue.declared, queue.row.max_attempts) == (False, 3)
        self.declare(state, 3, queue_table("queue-a", max_attempts=9))
        queue = state.workload.queues[1]
        assert (queue.declared, queue.row.max_attempts) == (True, 9)


class TestTerms:
    # A task that fails at each attempt was started without end once its route was removed.
    @pytest.mark.parametrize(
        "versions",
        [
            pytest.param([["queue-x /x/"]], id="removed"),
            pytest.param([["queue-b"]], id="renamed"),
            pytest.param([["queue-x /x/"], ["queue-a /y/"]], id="its name is another's"),
            pytest.param([["queue-x /x/"], ["queue-b"]], id="its address is another's"),
        ],
    )
    @pytest.mark.parametrize("restarts", [False, True])
    def test_a_job_keeps_its_limit_on_attempts(self, versions, restarts):
        async def scenario(fleet: StepFleet) -> None:
            for minion in fleet.minions.minions.values():
                minion.fails = True
            fleet.specs[JOB] = builders.step_job()
            fleet.work_ms_by_job[JOB] = 1_500
            assert (await fleet.call(QueueAction.SUBMIT, JOB, spec=fleet.specs[JOB])).reason is None
            await trio.sleep(0.5)
            for number, names in enumerate(versions):
                await fleet.declare(2 + number, queue_table(*names, max_attempts=50))
            if restarts:
                for address in fleet.addresses:
                    fleet.kill_control(address)
                for address in fleet.addresses:
                    fleet.start_control(address)
            await trio.sleep(25)
            failed = [run for run in fleet.minions.history if run.end is RunEnd.FAILED]
            assert len(failed) == len(fleet.minions.history) == 3
            workload = (await fleet.wait_for_scheduler()).proposed.workload
            assert workload.jobs[JOB].state is StepJobState.FAILED

        run_scenario(scenario, limits=builders.replica_limits(log_entries=4))

    def test_a_declared_queue_may_change_the_limit_of_its_jobs(self):
        state = TestState.state_with_job()
        TestState.declare(state, 1, queue_table("queue-a", max_attempts=7))
        job = state.workload.jobs[JOB]
        assert queue_row(state, job).max_attempts == 7
        TestState.declare(state, 2, queue_table("queue-b", max_attempts=50))
        assert queue_row(state, job).max_attempts == 7

    def test_the_limit_of_a_queue_that_no_one_knows_any_more_is_that_of_a_new_row(self):
        state = TestState.state_with_job()
        job = state.workload.jobs[JOB]
        job.queue_number, state.workload.queues, state.table.queues = 0, {}, {}
        for run in range(1, 4):
            start = RecordRuns(starts=[(JOB, "0.0.0", run, "i-1", 1)])
            apply_command(state, state.applied_index + 1, start)
            end = RecordRuns(ends=[(JOB, "0.0.0", run, "failed", "")])
            apply_command(state, state.applied_index + 1, end)
        assert job.state is StepJobState.FAILED

    # Starts without a ticket were rejected for ever, as the row named no advice any more.
    def test_a_job_of_a_removed_queue_still_asks_for_tickets(self):
        async def scenario(fleet: StepFleet) -> None:
            fleet.admission.allowed = {"i-5"}
            fleet.silenced = set(fleet.minions.minions)
            await trio.sleep(12)
            spec = fleet.specs[JOB] = builders.step_job()
            await fleet.call(QueueAction.SUBMIT, JOB, spec=spec)
            await fleet.declare(2, queue_table("queue-x /x/"))
            fleet.silenced.clear()
            await trio.sleep(5)
            assert {run.minion for run in fleet.minions.history} == {"i-5"}

        table = builders.step_table(advice_valid_ms=5_000)
        run_scenario(scenario, table=table, admission=PolicyAdmission())

    @pytest.mark.parametrize(
        ("pools", "pool"), [(("pool-a", "pool-b"), "pool-a"), (("pool-b",), "pool-b")]
    )
    def test_a_renamed_queue_leaves_its_jobs_in_their_pool_unless_that_is_gone(self, pools, pool):
        state = TestState.state_with_job()
        table = queue_table("queue-b", pool="pool-b")
        table.pools = dict.fromkeys(pools, builders.pool())
        TestState.declare(state, 1, table)
        assert pool_of(state, state.workload.jobs[JOB]) == pool

    # A removed team's jobs had no limit on what they may have running.
    def test_a_removed_team_keeps_its_limits_while_it_has_jobs(self):
        state = TestState.state_with_job()
        limited = builders.team(max_cpu_millis=4_000)
        state.table.teams["team-a"] = limited
        TestState.declare(state, 1, queue_table("queue-a", keys_of="team-b"))
        assert team_row(state, "team-a") == limited
        TestState.declare(state, 2, queue_table("queue-a", keys_of="team-b"))
        assert team_row(state, "team-a") == limited
        assert decode_state(encode_state(state)).workload == state.workload
        state.workload.jobs.clear()
        TestState.declare(state, 3, queue_table("queue-a", keys_of="team-b"))
        assert team_row(state, "team-a") is None

    def test_a_removed_teams_jobs_run_within_its_limits(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit(fleet, spec=builders.step_job(builders.step(10)))
            await fleet.declare(2, queue_table("queue-a", keys_of="team-b"))
            await trio.sleep(5)
            assert len(fleet.minions.history) == 4

        table = builders.step_table()
        table.teams["team-a"] = builders.team(max_cpu_millis=4_000)
        run_scenario(scenario, table=table)


class TestRunTimes:
    # Run times learnt on a queue were kept by its name, which another queue may have got since.
    @pytest.mark.parametrize(
        ("names", "factors"),
        [
            (["queue-b"], {"queue-b": 2.0}),
            (["queue-a /x/"], {"queue-a": 2.0}),
            (["queue-a /x/", "queue-b"], {"queue-a": 1.0, "queue-b": 2.0}),
            (["queue-b /x/"], {"queue-a": 2.0, "queue-b": 1.0}),
        ],
        ids=["renamed", "moved", "its name is another's", "removed"],
    )
    def test_they_follow_the_address_of_a_queue(self, names, factors):
        history = RunTimeHistory()
        for _ in range(30):
            history.record("queue-a", declared_core_ms=100, taken_core_ms=200)
        before = names_by_address(builders.step_table())
        history.follow(before, names_by_address(queue_table(*names)))
        assert {name: history.factor(name) for name in factors} == factors
