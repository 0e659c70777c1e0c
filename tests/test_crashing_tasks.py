"""A task that crashes the minions that start it is given up; its neighbours are not."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace

import attrs
import cbor2
import pytest
import trio
from attrs import define, field

from hornbeamreach.control.snapshots import decode_state, encode_state
from hornbeamreach.control.state_machine import apply_command
from hornbeamreach.control.workload_commands import AcceptJob, NoteMachineOrders, RecordRuns
from hornbeamreach.fleet.crash_recorder import REPLACED, CrashRecorder
from hornbeamreach.fleet.messages import QueueAction
from hornbeamreach.fleet.ports import StartAnswer, StartOrder, StartReply, UnknownOutcomeError
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.link.codec import decode, encode
from hornbeamreach.metrics import Metrics
from hornbeamreach.standins.step_minions import SimulatedRun
from hornbeamreach.systems.crash_evidence import (
    CLEARED_AFTER_MS,
    CRASHES_TO_GIVE_UP,
    LASTING_CRASHES_TO_GIVE_UP,
    SETTLED_MS,
    CrashHistory,
    clearing_ms,
    giving_up_policies,
    is_cleared,
    is_settled,
)
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.minions import CrashMark, MinionReport, RunPhase
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import LapsedRun, RunEnd, StepJobState, TaskRecord

from . import builders
from .builders import step, step_job
from .step_fleet import StepFleet
from .test_step_jobs import job_id, run_scenario

DEADLY_JOB = job_id(1)
DEADLY_TASK = f"{DEADLY_JOB}.0.0.0"
# At most two more starts may be on their way when the third crash is known.
MAX_STARTS = 5


def starts(fleet: StepFleet, task: str = DEADLY_TASK) -> list[SimulatedRun]:
    return [run for run in fleet.minions.history if run.task == task]


async def workload(fleet: StepFleet):
    return (await fleet.wait_for_scheduler()).replica.state.workload


async def counted(fleet: StepFleet) -> dict[str, int]:
    """Return the latest run under which a crash was counted, by task."""
    return {
        f"{job.job_id}.{key}": task.crashed_run
        for job in (await workload(fleet)).jobs.values()
        for key, task in job.tasks.items()
        if task.crashed_run
    }


async def wait_for_starts(fleet: StepFleet, count: int, task: str = DEADLY_TASK) -> SimulatedRun:
    """Wait until a task was started `count` times and the last of these runs has ended."""
    with trio.fail_after(60):
        while len(starts(fleet, task)) < count or starts(fleet, task)[count - 1].end is None:
            await trio.sleep(0.005)
    return starts(fleet, task)[count - 1]


async def wait_for_starts_begun(fleet: StepFleet, count: int) -> None:
    with trio.fail_after(60):
        while len(starts(fleet)) < count:
            await trio.sleep(0.005)


@define(kw_only=True)
class DelayedAnswer:
    """Answer starts once released; no answer for None."""

    answer: StartAnswer | None
    release: trio.Event = field(factory=trio.Event)

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        await self.release.wait()
        if self.answer is None:
            raise UnknownOutcomeError("no response")
        return StartReply(answer=self.answer)


async def break_gang(fleet: StepFleet) -> None:
    """End the other members of the gang whenever the deadly member has crashed its minion."""
    while True:
        await trio.sleep(0.1)
        crashed = {run.run for run in starts(fleet) if run.end is RunEnd.LOST}
        for minion in fleet.minions.minions.values():
            for run in list(minion.running.values()):
                if run.run in crashed:
                    fleet.minions.end(minion, run, RunEnd.GANG_BROKEN)


def history(crashes: int, *, solo: bool) -> CrashHistory:
    return CrashHistory(crashes=crashes, begun_crashes=crashes, latest_solo=solo)


class TestPolicies:
    def test_a_task_is_given_up_only_after_two_crashes_the_latest_of_them_solo(self):
        is_given_up = giving_up_policies.get("solo")
        assert is_given_up(history(2, solo=True))
        assert not is_given_up(history(1, solo=True))
        assert not is_given_up(history(9, solo=False))

    @pytest.mark.parametrize(
        ("crashes", "begun", "expected"), [(2, 1, False), (3, 1, False), (2, 2, True), (4, 0, True)]
    )
    def test_runs_not_known_to_have_begun_need_more_crashes(self, crashes, begun, expected):
        is_given_up = giving_up_policies.get("solo")
        crash_history = CrashHistory(crashes=crashes, begun_crashes=begun, latest_solo=True)
        assert is_given_up(crash_history) is expected

    def test_no_crash_between_clearing_and_settling_goes_uncounted(self):
        # A long-running task that crashes its minion in between would be started without end.
        assert CLEARED_AFTER_MS >= SETTLED_MS

    def test_a_long_running_task_is_not_given_up_after_two_crashes(self):
        # Two crashes by other causes within seconds failed a job that could run.
        is_given_up = giving_up_policies.get("solo")
        for crashes, expected in ((2, False), (3, True)):
            found = CrashHistory(
                crashes=crashes, begun_crashes=crashes, latest_solo=True, lasting=True
            )
            assert is_given_up(found) is expected

    def test_the_baseline_gives_up_neighbours_too(self):
        assert giving_up_policies.get("count")(history(2, solo=False))

    def test_a_long_running_task_is_settled_by_time_at_work(self):
        run = builders.run(lasting=True, started_ms=1_000, last_listed_ms=1_000 + SETTLED_MS)
        assert is_settled(run)
        run.last_listed_ms -= 1
        assert not is_settled(run)
        run.earlier_ms = 1
        assert is_settled(run)
        run.lasting = False
        assert not is_settled(run)

    def test_each_earlier_crash_doubles_the_time_at_work_that_clears(self):
        assert clearing_ms(1) == CLEARED_AFTER_MS
        assert clearing_ms(3) == 4 * CLEARED_AFTER_MS
        assert clearing_ms(1_000) < 1_000_000
        run = builders.run(lasting=True, percent=100, last_progress_ms=0)
        assert is_cleared(run, 1, CLEARED_AFTER_MS)
        assert not is_cleared(run, 2, CLEARED_AFTER_MS)


@pytest.fixture
def state() -> ControlState:
    """Return a state with a job of three tasks, of which the first was started once."""
    state = ControlState(table=builders.step_table())
    spec = step_job(step(3))
    apply_command(
        state,
        1,
        AcceptJob(
            job_id=DEADLY_JOB, queue="queue-a", pool="pool-a", team="team-a", spec=spec, at_ms=0
        ),
    )
    start(state, 1)
    return state


def start(state: ControlState, run: int) -> None:
    command = RecordRuns(
        starts=[(DEADLY_JOB, "0.0.0", run, "i-1", run)], vms={"i-1": "m-1"}, at_ms=100 * run
    )
    apply_command(state, state.applied_index + 1, command)


def crash(state: ControlState, run: int, *, solo: bool = True, begun: bool = True) -> None:
    command = RecordRuns(
        ends=[(DEADLY_JOB, "0.0.0", run, "crashed", "saved-1")],
        crashes=[(DEADLY_JOB, "0.0.0", run, solo, begun)],
        incarnations=[f"i-1@{run}"],
        at_ms=9_000,
    )
    apply_command(state, state.applied_index + 1, command)


class TestReplicatedState:
    def test_the_second_crash_fails_the_job_and_keeps_the_reason(self, state):
        crash(state, 1)
        job = state.workload.jobs[DEADLY_JOB]
        assert (job.tasks["0.0.0"].crashes, job.state) == (1, StepJobState.RUNNING)
        assert job.tasks["0.0.0"].checkpoint == "saved-1"
        start(state, 2)
        crash(state, 2)
        assert (job.state, job.ended_ms) == (StepJobState.FAILED, 9_000)
        assert job.failure_reason == "task 0.0.0 crashed 2 minions"

    def test_a_proposed_crash_leaves_the_committed_state_as_it_is(self, state):
        # The leader's committed state named an incarnation that the other replicas' didn't.
        proposed = ProposedState.of(state)
        crash(proposed.state, 1)
        assert state.workload.jobs[DEADLY_JOB].tasks["0.0.0"].crashed_incarnations == []
        crash(state, 1)
        assert state.workload.jobs == proposed.workload.jobs

    @pytest.mark.parametrize("begun", [(False, True, True), (True, False, True), (False,) * 4])
    def test_a_job_fails_only_after_two_crashes_of_runs_that_had_begun(self, state, begun):
        # Orders to minions that were down already look alike; four of them count as two.
        job = state.workload.jobs[DEADLY_JOB]
        for run, has_begun in enumerate(begun, start=1):
            assert job.state is StepJobState.RUNNING or run == 1
            start(state, run)
            crash(state, run, begun=has_begun)
        assert job.state is StepJobState.FAILED

    def test_crashes_in_company_never_fail_the_job(self, state):
        for run in range(1, 10):
            start(state, run)
            crash(state, run, solo=False)
        job = state.workload.jobs[DEADLY_JOB]
        assert (job.tasks["0.0.0"].crashes, job.state) == (9, StepJobState.RUNNING)

    def test_a_crash_is_counted_once_even_after_the_next_start(self, state):
        # A lease lapses before the new incarnation is heard, so the count comes after the end.
        apply_command(state, 3, RecordRuns(ends=[(DEADLY_JOB, "0.0.0", 1, "lapsed", "")]))
        start(state, 2)
        for _ in range(3):
            crash(state, 1)
        task = state.workload.jobs[DEADLY_JOB].tasks["0.0.0"]
        assert (task.crashes, task.minion) == (1, "i-1")

    @pytest.mark.parametrize("end", ["done", "failed"])
    def test_an_end_listed_by_a_live_minion_clears_the_task(self, state, end):
        crash(state, 1)
        start(state, 2)
        command = RecordRuns(ends=[(DEADLY_JOB, "0.0.0", 2, end, "")])
        apply_command(state, state.applied_index + 1, command)
        assert state.workload.jobs[DEADLY_JOB].tasks["0.0.0"].crashes == 0

    def test_only_the_run_at_work_clears_its_task(self, state):
        crash(state, 1)
        start(state, 2)
        task = state.workload.jobs[DEADLY_JOB].tasks["0.0.0"]
        for run, crashes in ((1, 1), (2, 0)):
            command = RecordRuns(cleared=[(DEADLY_JOB, "0.0.0", run)])
            apply_command(state, state.applied_index + 1, command)
            assert task.crashes == crashes

    def test_a_cancelled_job_stays_cancelled(self, state):
        job = state.workload.jobs[DEADLY_JOB]
        crash(state, 1)
        start(state, 2)
        job.state = StepJobState.CANCELLED
        crash(state, 2)
        assert (job.state, job.failure_reason) == (StepJobState.CANCELLED, "")


class TestBystanders:
    # Tasks that crashed only beside a job that was given up waited for minions of their own.
    @pytest.mark.parametrize(
        ("incarnations", "cleared"),
        [(["i-1@1"], True), (["i-1@1", "i-1@2"], True), (["i-9@5"], False), (["i-1@1"] * 3, False)],
    )
    def test_tasks_that_crashed_only_beside_a_given_up_job_are_cleared(
        self, state, incarnations, cleared
    ):
        accept = AcceptJob(
            job_id=job_id(2),
            queue="queue-a",
            pool="pool-a",
            team="team-a",
            spec=step_job(),
            at_ms=0,
        )
        apply_command(state, state.applied_index + 1, accept)
        bystander = state.workload.jobs[job_id(2)]
        bystander.tasks["0.0.0"] = TaskRecord(
            run=1, crashes=len(incarnations), crashed_incarnations=list(incarnations)
        )
        for run in (1, 2):
            start(state, run)
            crash(state, run)
        assert state.workload.jobs[DEADLY_JOB].state is StepJobState.FAILED
        assert (bystander.tasks["0.0.0"].crashes == 0) is cleared


class TestStoredForms:
    def test_a_snapshot_without_the_fields_of_crashes_decodes(self, state):
        plain = cbor2.loads(encode_state(state))
        job = plain["state"]["workload"]["jobs"][DEADLY_JOB]
        del job["failure_reason"]
        for name in ("crashes", "crashed_run", "vm", "started_ms", "lapsed"):
            del job["tasks"]["0.0.0"][name]
        decoded = decode_state(cbor2.dumps(plain)).workload.jobs[DEADLY_JOB]
        assert decoded.tasks["0.0.0"] == TaskRecord(run=1, minion="i-1", born_ms=1)

    def test_a_snapshot_keeps_lapses_and_crashes(self, state):
        apply_command(state, 3, RecordRuns(ends=[(DEADLY_JOB, "0.0.0", 1, "lapsed", "")], at_ms=5))
        task = state.workload.jobs[DEADLY_JOB].tasks["0.0.0"]
        assert task.lapsed == LapsedRun(
            run=1, minion="i-1", born_ms=1, vm="m-1", started_ms=100, at_ms=5
        )
        assert decode_state(encode_state(state)) == state
        crash(state, 1)
        assert task.lapsed is None

    def test_a_log_entry_without_the_fields_of_crashes_decodes(self):
        entry = cbor2.loads(encode(RecordRuns(starts=[("a", "0.0.0", 1, "i-1", 1)])))
        for name in ("crashes", "cleared", "vms"):
            del entry[1][name]
        assert decode(cbor2.dumps(entry)) == RecordRuns(starts=[("a", "0.0.0", 1, "i-1", 1)])

    def test_a_log_entry_with_crashes_survives_encoding(self):
        command = RecordRuns(crashes=[("a", "0.0.0", 1, True, False)], cleared=[("a", "0.0.1", 2)])
        assert decode(encode(command)) == command


@pytest.mark.parametrize("new_ids", [False, True])
class TestDeadlyTask:
    """Minions come back under the same id, or under a new one at the same address."""

    def run(self, scenario, *, new_ids: bool, **options) -> StepFleet:
        async def prepared(fleet: StepFleet) -> None:
            if new_ids:
                fleet.return_under_new_ids()
            fleet.minions.deadly_tasks.add(DEADLY_TASK)
            await scenario(fleet)

        fleet = run_scenario(prepared, **options)
        assert 2 <= len(starts(fleet)) <= MAX_STARTS
        return fleet

    # Between 3.7 and 4.3 s the lease may lapse before the next incarnation is heard.
    @pytest.mark.parametrize("downtime_ms", [50, 3_000, 3_700, 4_200, 6_000])
    def test_it_is_given_up_and_its_job_fails(self, new_ids, downtime_ms):
        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.crash_downtime_ms = downtime_ms
            await fleet.submit(DEADLY_JOB, step_job(step(), step(2, after=(0,))))
            await fleet.wait_for_state(DEADLY_JOB, "failed")
            job = (await workload(fleet)).jobs[DEADLY_JOB]
            assert job.failure_reason.startswith("task 0.0.0 crashed ")
            await trio.sleep(10)

        fleet = self.run(scenario, new_ids=new_ids)
        assert len(fleet.minions.history) == len(starts(fleet))

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("crash_number", [1, 2])
    def test_a_crash_is_not_lost_with_the_leader(self, new_ids, seed, crash_number):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(DEADLY_JOB, step_job())
            await wait_for_starts(fleet, crash_number)
            await trio.sleep(fleet.rng.uniform(0, 3))
            leader = await fleet.wait_for_leader()
            fleet.kill_control(leader)
            await trio.sleep(1)
            fleet.start_control(leader)
            await fleet.wait_for_state(DEADLY_JOB, "failed")
            await trio.sleep(10)

        self.run(scenario, new_ids=new_ids, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_it_is_given_up_while_the_leader_is_cut_off_from_the_others(self, new_ids, seed):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(DEADLY_JOB, step_job())
            await wait_for_starts(fleet, 1)
            leader = await fleet.wait_for_leader()
            fleet.network.cut_off({leader})
            fleet.minions.partitions |= {(leader, name) for name in fleet.minions.minions}
            await trio.sleep(5)
            fleet.network.heal()
            fleet.minions.partitions.clear()
            await fleet.wait_for_state(DEADLY_JOB, "failed")
            await trio.sleep(10)

        self.run(scenario, new_ids=new_ids, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_it_is_given_up_while_answers_are_lost(self, new_ids, seed):
        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.lost_response_fraction = 0.5
            await fleet.submit(DEADLY_JOB, step_job())
            await fleet.wait_for_state(DEADLY_JOB, "failed")
            await trio.sleep(10)

        self.run(scenario, new_ids=new_ids, seed=seed)

    def test_a_long_running_one_is_given_up(self, new_ids):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(DEADLY_JOB, step_job(step(lasting=True)))
            await fleet.wait_for_state(DEADLY_JOB, "failed")
            await trio.sleep(10)

        self.run(scenario, new_ids=new_ids)

    def test_one_member_of_a_gang_fails_the_job(self, new_ids):
        async def scenario(fleet: StepFleet) -> None:
            assert fleet.nursery is not None
            fleet.nursery.start_soon(break_gang, fleet)
            spec = step_job(step(3, gang=True, max_per_minion=1))
            await fleet.submit(DEADLY_JOB, spec, work_ms=30_000)
            await fleet.wait_for_state(DEADLY_JOB, "failed")
            await trio.sleep(10)
            assert set(await counted(fleet)) == {DEADLY_TASK}
            assert not any(minion.running for minion in fleet.minions.minions.values())

        self.run(scenario, new_ids=new_ids)

    def test_a_cancelled_job_stays_cancelled_after_a_crash(self, new_ids):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(DEADLY_JOB, step_job())
            await wait_for_starts(fleet, 2)
            await fleet.call(QueueAction.CANCEL, DEADLY_JOB)
            await trio.sleep(10)
            assert await fleet.job_state(DEADLY_JOB) == "cancelled"

        self.run(scenario, new_ids=new_ids)


class TestOccurrences:
    def test_a_deadly_occurrence_fails_its_job(self):
        task = f"{DEADLY_JOB}.1.0.0"

        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.deadly_tasks.add(task)
            due_ms = fleet.clock.wall_ms() + 500
            spec = step_job(step(), repetitions=3, first_due_ms=due_ms, interval_ms=1_500)
            await fleet.submit(DEADLY_JOB, spec)
            await fleet.wait_for_state(DEADLY_JOB, "failed")
            job = (await workload(fleet)).jobs[DEADLY_JOB]
            assert job.failure_reason == "task 1.0.0 crashed 2 minions"
            await trio.sleep(10)

        fleet = run_scenario(scenario)
        assert len(starts(fleet, task)) <= MAX_STARTS
        assert [run.end for run in starts(fleet)] == [RunEnd.DONE]


class TestNeighbours:
    def test_a_neighbour_on_the_only_minion_is_not_failed(self):
        # Both jobs fit on the only minion; the suspect is let run there alone.
        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.deadly_tasks.add(DEADLY_TASK)
            await fleet.submit(job_id(2), step_job(step(2, lasting=True)))
            await fleet.submit(DEADLY_JOB, step_job())
            await fleet.wait_for_state(DEADLY_JOB, "failed")
            await trio.sleep(10)
            assert await fleet.job_state(job_id(2)) == "running"
            assert len(fleet.minions.minions["i-1"].running) == 2

        assert len(starts(run_scenario(scenario, minion_count=1))) <= MAX_STARTS

    @pytest.mark.parametrize("seed", range(3))
    def test_jobs_beside_a_deadly_task_complete(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.deadly_tasks.add(DEADLY_TASK)
            await fleet.submit(DEADLY_JOB, step_job())
            for number in range(2, 8):
                await fleet.submit(job_id(number), step_job(step(8)), work_ms=1_500)
            for number in range(2, 8):
                await fleet.wait_for_state(job_id(number), "completed")
            await fleet.wait_for_state(DEADLY_JOB, "failed")

        assert len(starts(run_scenario(scenario, seed=seed))) <= MAX_STARTS

    @pytest.mark.parametrize("seed", range(3))
    def test_no_job_without_a_deadly_task_fails(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            for number in (1, 2):
                for index in range(2):
                    fleet.minions.deadly_tasks.add(f"{job_id(number)}.0.0.{index}")
                await fleet.submit(job_id(number), step_job(step(3)))
            for number in range(3, 9):
                await fleet.submit(job_id(number), step_job(step(6)), work_ms=1_500)
            for number in range(3, 9):
                await fleet.wait_for_state(job_id(number), "completed")
            for number in (1, 2):
                await fleet.wait_for_state(job_id(number), "failed")

        fleet = run_scenario(scenario, seed=seed)
        for task in fleet.minions.deadly_tasks:
            assert len(starts(fleet, task)) <= MAX_STARTS

    def test_a_long_running_neighbour_long_at_work_is_no_suspect(self):
        lasting = f"{job_id(2)}.0.0"

        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(2), step_job(step(6, lasting=True, max_per_minion=1)))
            await trio.sleep(SETTLED_MS / 1_000 + 3)
            fleet.minions.deadly_tasks.add(DEADLY_TASK)
            await fleet.submit(DEADLY_JOB, step_job())
            await wait_for_starts(fleet, 1)
            await trio.sleep(4)
            assert any(run.end is RunEnd.LOST for run in starts(fleet, f"{lasting}.0"))
            assert set(await counted(fleet)) == {DEADLY_TASK}

        run_scenario(scenario, minion_count=1)

    @pytest.mark.parametrize("listed_ms", [SETTLED_MS, SETTLED_MS - 1])
    def test_a_crash_beside_settled_tasks_only_is_evidence_against_the_job(self, listed_ms):
        # A task beside long-running ones crashed three minions and more, and was never given up.
        scheduler = SimpleNamespace(
            proposed=ProposedState.of(ControlState()),
            clock=SimpleNamespace(now_ms=lambda: 9_000, wall_ms=lambda: 9_000),
            metrics=Metrics(),
        )
        lasting = builders.run(job_id=job_id(2), lasting=True, last_listed_ms=listed_ms)
        runs = [lasting, builders.run(job_id=DEADLY_JOB, last_listed_ms=1)]
        for run in runs:
            run.ordered = True
        marked = CrashRecorder(scheduler)._mark(runs, builders.minion(born_ms=2).report)
        is_settled_beside = listed_ms == SETTLED_MS
        assert [run.crash.solo for run in marked] == ([True] if is_settled_beside else [False] * 2)

    def test_it_is_no_suspect_after_a_change_of_the_leader_either(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(2), step_job(step(1, lasting=True)))
            await trio.sleep(30)
            fleet.minions.crash("i-1")
            fleet.kill_control(await fleet.wait_for_leader())
            await trio.sleep(2)
            fleet.minions.restart("i-1")
            await trio.sleep(8)
            assert len(fleet.minions.history) == 2
            assert await counted(fleet) == {}

        run_scenario(scenario, minion_count=1)

    def test_a_long_running_suspect_at_work_is_cleared(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(2), step_job(step(1, lasting=True)))
            await trio.sleep(2)
            fleet.minions.restart("i-1")
            await trio.sleep(3)
            task = (await workload(fleet)).jobs[job_id(2)].tasks["0.0.0"]
            run = (await fleet.wait_for_scheduler()).fleet.find_run(job_id(2), "0.0.0")
            assert run is not None
            assert (task.crashes, run.suspect) == (1, True)
            await trio.sleep(CLEARED_AFTER_MS / 1_000 + 1)
            assert (task.crashes, run.suspect) == (0, False)

        run_scenario(scenario, minion_count=1)


class TestNoEvidence:
    """None of these is a crash, so none is counted."""

    def check(self, disturb, **options) -> None:
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(6, lasting=True)))
            await fleet.submit(job_id(2), step_job(step(12)), work_ms=30_000)
            await trio.sleep(0.8)
            await disturb(fleet)
            await trio.sleep(8)
            assert await counted(fleet) == {}

        run_scenario(scenario, **options)

    # Beyond 4.3 s the leases lapse.
    @pytest.mark.parametrize("length_s", [2, 7])
    def test_a_partition_from_the_minions(self, length_s):
        async def disturb(fleet: StepFleet) -> None:
            pairs = {(a, f"i-{n}") for a in fleet.addresses for n in range(1, 4)}
            fleet.minions.partitions |= pairs
            await trio.sleep(length_s)
            fleet.minions.partitions -= pairs

        self.check(disturb)

    def test_a_partition_across_a_change_of_the_leader(self):
        async def disturb(fleet: StepFleet) -> None:
            pairs = {(a, f"i-{n}") for a in fleet.addresses for n in range(1, 4)}
            fleet.minions.partitions |= pairs
            fleet.kill_control(await fleet.wait_for_leader())
            await trio.sleep(9)
            fleet.minions.partitions -= pairs

        self.check(disturb)

    def test_a_drained_minion(self):
        async def disturb(fleet: StepFleet) -> None:
            name = fleet.minions.history[0].minion
            minion = fleet.minions.minions[name]
            minion.draining = True
            await trio.sleep(2)
            assert minion.running
            fleet.minions.restart(name)

        self.check(disturb)

    def test_lost_answers_to_starts(self):
        async def disturb(fleet: StepFleet) -> None:
            fleet.minions.lost_response_fraction = 0.3
            await fleet.submit(job_id(3), step_job(step(20)))
            await trio.sleep(5)
            fleet.minions.lost_response_fraction = 0

        self.check(disturb)

    @pytest.mark.parametrize("known", [True, False])
    def test_a_move_ordered_here(self, known):
        # The next incarnation may be heard before the platform's answer to the order.
        async def disturb(fleet: StepFleet) -> None:
            fleet.return_under_new_ids()
            scheduler = await fleet.wait_for_scheduler()
            name = fleet.minions.history[0].minion
            await scheduler.commit(
                NoteMachineOrders(machines=[f"m-{name}"], at_ms=fleet.clock.wall_ms())
            )
            if known:
                scheduler.mark_minion_gone(scheduler.fleet.minions[name], "moved")
            fleet.minions.crash(name)
            await trio.sleep(1)
            fleet.minions.replace(name)

        self.check(disturb)

    def test_a_restart_long_after_the_minion_answered_again(self):
        # The leases lapsed in a partition; the runs have long been elsewhere.
        async def disturb(fleet: StepFleet) -> None:
            name = fleet.minions.history[0].minion
            pairs = {(address, name) for address in fleet.addresses}
            fleet.minions.partitions |= pairs
            await trio.sleep(7)
            assert any(run.end is RunEnd.LEASE_LAPSED for run in fleet.minions.history)
            minion = fleet.minions.minions[name]
            minion.capacity = Resources()
            fleet.minions.partitions -= pairs
            await trio.sleep(3)
            assert not minion.running
            fleet.minions.restart(name)

        self.check(disturb)

    def test_a_start_rejected_by_the_next_incarnation(self):
        async def scenario(fleet: StepFleet) -> None:
            fleet.return_under_new_ids()
            await trio.sleep(2)
            fleet.minions.crash("i-1")
            fleet.minions.replace("i-1")
            await fleet.submit(DEADLY_JOB, step_job())
            await fleet.wait_for_state(DEADLY_JOB, "completed")
            assert await counted(fleet) == {}

        run_scenario(scenario, minion_count=1)

    def test_the_report_of_an_incarnation_whose_leases_lapsed(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(2)
            recorder = (await fleet.wait_for_scheduler()).crashes
            recorder.on_lapse("i-9", [builders.run(minion="i-9", born_ms=2, ordered=True)])
            crashed = recorder.scheduler.fleet.unrecorded_crashes
            report = builders.minion("i-9", born_ms=2).report
            recorder.on_report(report, is_first=True)
            assert crashed == []
            recorder.on_report(attrs.evolve(report, born_ms=3), is_first=True)
            assert [run.minion for run in crashed] == ["i-9"]

        run_scenario(scenario)

    @pytest.mark.parametrize("listed", ["running", "ended"])
    def test_a_run_that_the_next_incarnation_lists(self, listed):
        # Its order arrived there late.
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(DEADLY_JOB, step_job(step(1, lasting=True)))
            await trio.sleep(2)
            scheduler = await fleet.wait_for_scheduler()
            run = scheduler.fleet.find_run(DEADLY_JOB, "0.0.0")
            assert run is not None
            run.crash = CrashMark(born_ms=1, phase=RunPhase.SENT, solo=True, begun=True, age_ms=0)
            if listed == "ended":
                minion = fleet.minions.minions[run.minion]
                fleet.minions.end(minion, minion.running[run.name], RunEnd.LEASE_LAPSED)
            await trio.sleep(2)
            assert run.crash is None
            assert await counted(fleet) == {}

        run_scenario(scenario)


class TestUnansweredStarts:
    def test_an_order_to_a_minion_that_was_down_already_is_not_known_to_have_begun(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(2)
            scheduler = await fleet.wait_for_scheduler()
            fleet.minions.crash("i-1")
            await fleet.submit(DEADLY_JOB, step_job(), work_ms=5_000)
            await trio.sleep(1)
            run = scheduler.fleet.find_run(DEADLY_JOB, "0.0.0")
            assert run is not None
            fleet.minions.restart("i-1")
            await trio.sleep(2)
            assert run.crash is not None
            assert (run.crash.solo, run.crash.begun) == (True, False)
            await fleet.wait_for_state(DEADLY_JOB, "completed")

        run_scenario(scenario, minion_count=1)

    # A job that never began was shown as failed after orders to minions that had crashed before.
    @pytest.mark.parametrize("relayed", [False, True])
    def test_orders_that_later_incarnations_reject_together_count_no_crash(self, relayed):
        async def scenario(fleet: StepFleet) -> None:
            fleet.return_under_new_ids()
            await trio.sleep(2)
            for number in range(1, 5):
                fleet.minions.crash(f"i-{number}")
            for number in range(1, 5):
                fleet.minions.replace(f"i-{number}")
            await fleet.submit(DEADLY_JOB, step_job(step(24)))
            await fleet.wait_for_state(DEADLY_JOB, "completed")
            assert await counted(fleet) == {}

        run_scenario(scenario, minion_count=4, relayed=relayed)

    # A sound job was shown as failed after four orders to minions that were down before.
    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("lasting", [False, True])
    def test_no_job_fails_unless_minions_crashed_under_its_runs(self, seed, lasting):
        async def crash(fleet: StepFleet, name: str) -> None:
            fleet.minions.crash(name)
            await trio.sleep(1)
            fleet.minions.replace(name)

        async def scenario(fleet: StepFleet) -> None:
            fleet.return_under_new_ids()
            await trio.sleep(2)
            assert fleet.nursery is not None
            jobs = [job_id(number) for number in range(1, 41)]
            for job in jobs:
                up = [name for name, m in fleet.minions.minions.items() if m.up]
                for name in fleet.rng.sample(up, min(4, len(up))):
                    fleet.nursery.start_soon(crash, fleet, name)
                await fleet.submit(job, step_job(step(4, lasting=lasting)), work_ms=300)
                await trio.sleep(0.8)
            await trio.sleep(10)
            failed = [job for job in jobs if await fleet.job_state(job) == "failed"]
            crashed = Counter(run.task for run in fleet.minions.history if run.end is RunEnd.LOST)
            needed = LASTING_CRASHES_TO_GIVE_UP if lasting else CRASHES_TO_GIVE_UP
            for job in failed:
                assert max(crashed[f"{job}.0.0.{index}"] for index in range(4)) >= needed

        run_scenario(scenario, seed=seed, minion_count=7)

    # The check before an order was passed by a later incarnation, which the scheduler didn't know.
    def test_a_later_incarnation_does_not_pass_the_check_before_an_order(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(2)
            scheduler = await fleet.wait_for_scheduler()
            minion = scheduler.fleet.minions["i-1"]
            await scheduler.orders._check_minion(minion)
            assert minion.failed_calls == 0
            fleet.silenced.add("i-1")
            fleet.minions.restart("i-1")
            await scheduler.orders._check_minion(minion)
            assert minion.failed_calls == 1

        run_scenario(scenario, minion_count=1)

    # A start that a later incarnation under the same id carried out was taken for lapsed while a
    # poll of the earlier one still waited, and was started again beside it.
    def test_a_start_that_reached_a_later_incarnation_is_kept_until_that_is_polled(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(8)
            scheduler = await fleet.wait_for_scheduler()
            fleet.silenced.add("i-1")
            await fleet.submit(DEADLY_JOB, step_job(step(1, lasting=True)))
            await wait_for_starts_begun(fleet, 1)
            scheduler.pollers["i-1"].stop()
            report = scheduler.fleet.minions["i-1"].report
            scheduler.on_report(attrs.evolve(report, born_ms=2, clock_ms=5_000, sequence=1))
            await trio.sleep(10)
            run = scheduler.fleet.find_run(DEADLY_JOB, "0.0.0")
            assert run is not None
            assert (run.run, run.born_ms) == (1, 2)
            await trio.sleep(1)
            assert scheduler.fleet.find_run(DEADLY_JOB, "0.0.0") is not run

        run_scenario(scenario, minion_count=1)

    # Orders that several dark minions left unanswered counted as a crash each once they were back.
    @pytest.mark.parametrize(("known", "expected"), [(False, 1), (True, 4)])
    def test_unanswered_orders_to_several_dark_minions_count_one_crash(self, known, expected):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(DEADLY_JOB, step_job())
            await trio.sleep(2)
            recorder = (await fleet.wait_for_scheduler()).crashes
            crashed = recorder.scheduler.fleet.unrecorded_crashes
            for number in range(1, 5):
                name = f"i-{90 + number}"
                run = builders.run(
                    job_id=DEADLY_JOB,
                    run=number,
                    minion=name,
                    born_ms=2,
                    ordered=True,
                    phase=RunPhase.RUNNING if known else RunPhase.UNKNOWN,
                )
                recorder.on_lapse(name, [run])
                recorder.on_report(builders.minion(name, born_ms=3).report, is_first=True)
            assert len(crashed) == expected

        run_scenario(scenario)

    # An order that is not answered is no evidence if the minion was silent before it.
    def test_a_suspect_is_ordered_only_to_a_minion_that_answers(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(2)
            scheduler = await fleet.wait_for_scheduler()
            await fleet.submit(DEADLY_JOB, step_job(), work_ms=60_000)
            await wait_for_starts_begun(fleet, 1)
            await trio.sleep(0.1)
            for name in fleet.minions.minions:
                fleet.minions.crash(name)
            first = starts(fleet)[0].minion
            scheduler.mark_minion_gone(scheduler.fleet.minions[first], REPLACED)
            for _ in range(60):
                await trio.sleep(0.05)
                run = scheduler.fleet.find_run(DEADLY_JOB, "0.0.0")
                assert run is None or (run.suspect and not run.ordered)

        run_scenario(scenario, minion_count=4)

    @pytest.mark.parametrize(
        ("answer", "expected"),
        [
            (StartAnswer.STARTED, {DEADLY_TASK: 1}),
            (StartAnswer.WRONG_INCARNATION, {}),
            (StartAnswer.NO_ROOM, {}),
            (None, {DEADLY_TASK: 1}),
        ],
    )
    def test_a_crash_known_before_the_answer_counts_by_the_answer(self, answer, expected):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(2)
            scheduler = await fleet.wait_for_scheduler()
            port = DelayedAnswer(answer=answer)
            scheduler.orders.port = port
            await fleet.submit(DEADLY_JOB, step_job())
            await trio.sleep(0.3)
            run = scheduler.fleet.find_run(DEADLY_JOB, "0.0.0")
            assert run is not None
            assert run.awaits_answer
            scheduler.orders.port = fleet.control[fleet.leader()].minion_port
            scheduler.mark_minion_gone(scheduler.fleet.minions[run.minion], REPLACED)
            port.release.set()
            await trio.sleep(0.3)
            assert await counted(fleet) == expected
            assert run.crash is None or run.crash.begun == (answer is StartAnswer.STARTED)

        run_scenario(scenario, minion_count=2)


class TestForeignRuns:
    def test_a_crash_beside_a_run_that_is_only_listed_is_not_solo(self):
        # The minion runs something that this scheduler did not reserve and has not stopped yet.
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(2)
            scheduler = await fleet.wait_for_scheduler()
            await fleet.submit(DEADLY_JOB, step_job(), work_ms=5_000)
            await trio.sleep(1)
            minion = scheduler.fleet.minions["i-1"]
            minion.set_foreign_runs({(f"{job_id(9)}.0.0.0", 1): None})
            assert minion.has_other_jobs(DEADLY_JOB)
            scheduler.crashes.on_incarnation_over(minion, REPLACED)
            run = scheduler.fleet.find_run(DEADLY_JOB, "0.0.0")
            assert run is not None
            assert run.crash is not None
            assert not run.crash.solo

        run_scenario(scenario, minion_count=1)


class TestLateEvidence:
    @pytest.mark.parametrize("new_ids", [False, True])
    @pytest.mark.parametrize("silence_s", [1, 3.7, 7, 20])
    def test_a_minion_heard_again_long_after_its_leases_lapsed_counts_one_crash(
        self, new_ids, silence_s
    ):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(DEADLY_JOB, step_job(step(1, lasting=True)))
            await trio.sleep(2)
            if new_ids:
                fleet.return_under_new_ids()
            name = fleet.minions.history[0].minion
            fleet.minions.crash(name)
            await trio.sleep(silence_s)
            if new_ids:
                fleet.minions.replace(name)
            else:
                fleet.minions.restart(name)
            await trio.sleep(3)
            assert await counted(fleet) == {DEADLY_TASK: 1}

        run_scenario(scenario)

    @pytest.mark.parametrize("new_ids", [False, True])
    def test_it_is_counted_after_a_change_of_the_leader_too(self, new_ids):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(DEADLY_JOB, step_job(step(1, lasting=True)))
            await fleet.submit(job_id(2), step_job(step(1)), work_ms=100)
            await trio.sleep(2)
            if new_ids:
                fleet.return_under_new_ids()
            name = fleet.minions.history[0].minion
            fleet.minions.crash(name)
            await wait_for_starts_begun(fleet, 2)
            fleet.kill_control(await fleet.wait_for_leader())
            await trio.sleep(3)
            if new_ids:
                fleet.minions.replace(name)
            else:
                fleet.minions.restart(name)
            await trio.sleep(3)
            assert await counted(fleet) == {DEADLY_TASK: 1}

        run_scenario(scenario)
