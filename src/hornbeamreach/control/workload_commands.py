"""Commands that change the workload of step jobs and maintenance, and how they are applied."""

from __future__ import annotations

from typing import Any

import attrs
from attrs import define, field

from hornbeamreach.control.state_machine import Outcome, appliers
from hornbeamreach.link.codec import wire_type
from hornbeamreach.systems.accepted_queues import follow_table, number_queue, queue_row
from hornbeamreach.systems.crash_evidence import (
    CrashHistory,
    clear_bystanders,
    clear_task,
    giving_up_policies,
)
from hornbeamreach.tables.control_state import ControlState, KeyRow
from hornbeamreach.tables.declared import DeclaredTable, QueueRow
from hornbeamreach.tables.workload import (
    EvacuationRequests,
    LapsedRun,
    MaintenanceWave,
    PendingMove,
    RunEnd,
    StepJob,
    StepJobSpec,
    StepJobState,
    TaskRecord,
    parse_task_key,
    step_key,
)

GIVING_UP_POLICY = "solo"
# For jobs of earlier builds whose queue was removed before their first table here.
DEFAULT_MAX_ATTEMPTS = attrs.fields(QueueRow).max_attempts.default
# A repeat arrives within seconds of its request, and operators send few requests in that time.
MAX_EVACUATION_REQUEST_IDS = 32
# Far above the longest lease and the differences between wall clocks.
RETURN_RETENTION_MS = 120_000


@wire_type("apply_declaration")
@define(frozen=True, kw_only=True)
class ApplyDeclaration:
    """Apply a whole declaration if its version is the highest so far."""

    version: int
    text: bytes
    table: DeclaredTable
    # Team by the hash of each of its keys.
    keys: dict[str, str] = field(factory=dict)


@wire_type("accept_job")
@define(frozen=True, kw_only=True)
class AcceptJob:
    """Store a job, unless one of the same id is stored or cancelled already."""

    job_id: str
    queue: str
    pool: str
    team: str
    spec: StepJobSpec
    at_ms: int
    # SHA-256 of the caller's key; empty without one.
    key_hash: str = ""


@wire_type("cancel_job")
@define(frozen=True, kw_only=True)
class CancelJob:
    """Cancel a job, or leave a tombstone so that none of this id is accepted later."""

    job_id: str
    at_ms: int


@wire_type("record_runs")
@define(frozen=True, kw_only=True)
class RecordRuns:
    """Record ends of runs, then crashes under them, then cleared tasks, then starts.

    `ends` holds (job, task key, run, end, checkpoint); `starts` holds (job, task key, run,
    minion, born_ms); `crashes` holds (job, task key, run, whether only runs of the job were on
    the minion, whether the run was known to have begun); `cleared` holds (job, task key, run).
    `incarnations` names the incarnation of each crash in `crashes`, in the same order. `vms` maps
    the minions of the starts to their VMs. `returned` names minions that have started again under
    their ids. `first_number` is the number of the first start; the others follow. Every start up
    to `settled_through` is settled. Items that no longer match the state are skipped.
    """

    ends: list[tuple[str, str, int, str, str]] = field(factory=list)
    starts: list[tuple[str, str, int, str, int]] = field(factory=list)
    at_ms: int = 0
    crashes: list[tuple[str, str, int, bool, bool]] = field(factory=list)
    cleared: list[tuple[str, str, int]] = field(factory=list)
    vms: dict[str, str] = field(factory=dict)
    incarnations: list[str] = field(factory=list)
    returned: list[str] = field(factory=list)
    first_number: int = 0
    settled_through: int = 0


@wire_type("forget_jobs")
@define(frozen=True, kw_only=True)
class ForgetJobs:
    """Drop ended jobs and tombstones that are no longer queried."""

    job_ids: list[str]


@wire_type("order_wave")
@define(frozen=True, kw_only=True)
class OrderWave:
    """Store a maintenance wave, unless one of the same number is stored already."""

    number: int
    machines: list[str]
    max_down: int
    at_ms: int
    due_ms: int


@wire_type("note_machine_orders")
@define(frozen=True, kw_only=True)
class NoteMachineOrders:
    """Record that orders for VMs are about to be sent, and which earlier moves are settled.

    `moves` maps the VMs that are to be moved to their target pools.
    """

    machines: list[str]
    at_ms: int
    moves: dict[str, str] = field(factory=dict)
    settled: list[str] = field(factory=list)


@wire_type("record_upkeep")
@define(frozen=True, kw_only=True)
class RecordUpkeep:
    """Record what became of the VMs of a wave."""

    number: int
    ordered: list[str] = field(factory=list)
    confirmed: list[str] = field(factory=list)
    finished: list[str] = field(factory=list)
    at_ms: int = 0
    # VMs that no longer exist, and such that exist again.
    gone: list[str] = field(factory=list)
    found: list[str] = field(factory=list)


@wire_type("begin_evacuation")
@define(frozen=True, kw_only=True)
class BeginEvacuation:
    """Let nothing start in a data centre any more, unless that is so already.

    The leader proposes no late request or repeat, as replicas of earlier builds, which ignore
    `request_id`, would carry it out.
    """

    data_center: str
    at_ms: int
    # Id of the request; empty if its sender gave none.
    request_id: str = ""


@wire_type("end_evacuation")
@define(frozen=True, kw_only=True)
class EndEvacuation:
    """Let work start in a data centre again, unless it is not evacuated."""

    data_center: str
    at_ms: int
    # Id of the request; empty if its sender gave none.
    request_id: str = ""


def _accepted(state: ControlState) -> Outcome:
    return Outcome(accepted=True, version=state.version, index=state.applied_index)


@appliers.register("ApplyDeclaration")
def _apply_declaration(state: ControlState, command: ApplyDeclaration) -> Outcome:
    workload = state.workload
    if command.version > workload.declared_version:
        workload.declared_version = command.version
        workload.declared_text = command.text
        follow_table(workload, state.table, command.table)
        state.table = command.table
        state.keys = {
            key_hash: KeyRow(team=team, key_id=key_hash[:8])
            for key_hash, team in command.keys.items()
        }
        state.version += 1
    return _accepted(state)


@appliers.register("AcceptJob")
def _apply_accept(state: ControlState, command: AcceptJob) -> Outcome:
    workload = state.workload
    known = command.job_id in workload.jobs or command.job_id in workload.tombstones
    if not known:
        workload.jobs[command.job_id] = StepJob(
            job_id=command.job_id,
            queue=command.queue,
            pool=command.pool,
            team=command.team,
            spec=command.spec,
            accepted_ms=command.at_ms,
            queue_number=number_queue(workload, state.table, command.queue),
            key_hash=command.key_hash,
        )
    return _accepted(state)


@appliers.register("CancelJob")
def _apply_cancel(state: ControlState, command: CancelJob) -> Outcome:
    workload = state.workload
    job = workload.jobs.get(command.job_id)
    if job is None:
        workload.tombstones.setdefault(command.job_id, command.at_ms)
    elif not job.ended:
        _end_job(job, StepJobState.CANCELLED, command.at_ms)
    return _accepted(state)


def _end_job(job: StepJob, job_state: StepJobState, at_ms: int) -> None:
    """End a job, and drop what only starts need: it stays known for minutes."""
    job.state = job_state
    job.ended_ms = at_ms
    job.spec = attrs.evolve(job.spec, payload="")
    job.tasks = {key: task for key, task in job.tasks.items() if _is_needed_after_end(task)}


def _is_needed_after_end(task: TaskRecord) -> bool:
    """Return whether a run is still to be stopped, or a crash still explains others."""
    return bool(task.minion or task.crashed_incarnations)


@appliers.register("RecordRuns")
def _apply_runs(state: ControlState, command: RecordRuns) -> Outcome:
    jobs = state.workload.jobs
    for job_id, task_key, run, end, checkpoint in command.ends:
        job = jobs.get(job_id)
        if job is not None:
            _end_run(state, job, task_key, run, RunEnd(end), checkpoint, command.at_ms)
    for number, (job_id, task_key, run, solo, begun) in enumerate(command.crashes):
        job = jobs.get(job_id)
        if job is None:
            continue
        # Entries of earlier builds name no incarnations; their crashes are never cleared here.
        incarnation = command.incarnations[number] if command.incarnations else ""
        _count_crash(job, task_key, run, command.at_ms, incarnation, solo=solo, begun=begun)
    if command.crashes:
        clear_bystanders(jobs.values())
    for job_id, task_key, run in command.cleared:
        job = jobs.get(job_id)
        task = job.tasks.get(task_key) if job is not None else None
        if task is not None and task.run == run and task.minion:
            clear_task(task)
    for position, (job_id, task_key, run, minion, born_ms) in enumerate(command.starts):
        job = jobs.get(job_id)
        if job is not None and not job.ended:
            task = _record_start(job, task_key, run, minion, born_ms)
            task.vm = command.vms.get(minion, "")
            task.started_ms = command.at_ms
            # Entries of earlier builds number no starts.
            task.start_number = command.first_number and command.first_number + position
    if command.returned:
        _record_returns(state.workload.returns, command)
    if command.first_number:
        state.workload.last_start_number = command.first_number + len(command.starts) - 1
    state.workload.settled_through = max(state.workload.settled_through, command.settled_through)
    return _accepted(state)


def _record_returns(returns: dict[str, int], command: RecordRuns) -> None:
    returns.update(dict.fromkeys(command.returned, command.at_ms))
    for minion, at_ms in list(returns.items()):
        if command.at_ms - at_ms > RETURN_RETENTION_MS:
            del returns[minion]


def _record_start(job: StepJob, task_key: str, run: int, minion: str, born_ms: int) -> TaskRecord:
    task = job.tasks.setdefault(task_key, TaskRecord())
    task.run = max(task.run, run)
    task.minion = minion
    task.born_ms = born_ms
    job.state = StepJobState.RUNNING
    return task


def _count_crash(
    job: StepJob,
    task_key: str,
    run: int,
    at_ms: int,
    incarnation: str,
    *,
    solo: bool,
    begun: bool,
) -> None:
    """Count a crash under a task's run, and fail the job if the task is given up."""
    task = job.tasks.get(task_key)
    if task is None or task.done or not task.crashed_run < run <= task.run:
        return
    task.crashed_run = run
    task.lapsed = None
    task.crashes += 1
    task.begun_crashes += begun
    # A new list: the scheduler's copy of the state shares the earlier one.
    task.crashed_incarnations = [*task.crashed_incarnations, incarnation]
    history = CrashHistory(
        crashes=task.crashes,
        begun_crashes=task.begun_crashes,
        latest_solo=solo,
        lasting=job.spec.steps[parse_task_key(task_key)[1]].lasting,
    )
    if not job.ended and giving_up_policies.get(GIVING_UP_POLICY)(history):
        _end_job(job, StepJobState.FAILED, at_ms)
        job.failure_reason = f"task {task_key} crashed {task.crashes} minions"


def _end_run(
    state: ControlState,
    job: StepJob,
    task_key: str,
    run: int,
    end: RunEnd,
    checkpoint: str,
    at_ms: int,
) -> None:
    task = job.tasks.get(task_key)
    if task is None or task.run != run or not task.minion:
        return
    if end is RunEnd.LEASE_LAPSED:
        task.lapsed = LapsedRun(
            run=run,
            minion=task.minion,
            born_ms=task.born_ms,
            vm=task.vm,
            started_ms=task.started_ms,
            at_ms=at_ms,
        )
    task.minion = ""
    if checkpoint:
        task.checkpoint = checkpoint
    if end in (RunEnd.DONE, RunEnd.FAILED):
        # Only a live minion lists these ends, so the run didn't crash it.
        clear_task(task)
        task.lapsed = None
    if end is RunEnd.DONE:
        _record_done(job, task_key, task)
    elif end is RunEnd.FAILED:
        _record_failure(job, task_key, task)
    if job.ended:
        if not _is_needed_after_end(task):
            del job.tasks[task_key]
        return
    if end is RunEnd.DONE and job.all_done():
        _end_job(job, StepJobState.COMPLETED, at_ms)
    elif end is RunEnd.FAILED and _attempts_exhausted(state, job, task_key, task):
        _end_job(job, StepJobState.FAILED, at_ms)


def _record_done(job: StepJob, task_key: str, task: TaskRecord) -> None:
    occurrence, step_index, _ = parse_task_key(task_key)
    step = job.spec.steps[step_index]
    if step.lasting or task.done:
        return
    task.done = True
    step_id = step_key(occurrence, step_index)
    # The members of a gang run and end together, so one end counts for all of them.
    done = step.count if step.gang else job.done_counts.get(step_id, 0) + 1
    job.done_counts[step_id] = done


def _record_failure(job: StepJob, task_key: str, task: TaskRecord) -> None:
    occurrence, step_index, _ = parse_task_key(task_key)
    step_id = step_key(occurrence, step_index)
    if not job.spec.steps[step_index].gang:
        task.failures += 1
    elif job.gang_failed_runs.get(step_id, 0) < task.run:
        job.gang_failed_runs[step_id] = task.run
        for member, entry in job.tasks.items():
            if member.startswith(f"{step_id}."):
                entry.failures += 1


def _attempts_exhausted(state: ControlState, job: StepJob, task_key: str, task: TaskRecord) -> bool:
    if job.spec.steps[parse_task_key(task_key)[1]].lasting:
        return False
    row = queue_row(state, job)
    return task.failures >= (row.max_attempts if row is not None else DEFAULT_MAX_ATTEMPTS)


@appliers.register("ForgetJobs")
def _apply_forget(state: ControlState, command: ForgetJobs) -> Outcome:
    for job_id in command.job_ids:
        state.workload.tombstones.pop(job_id, None)
        job = state.workload.jobs.get(job_id)
        if job is not None and job.ended:
            del state.workload.jobs[job_id]
    return _accepted(state)


@appliers.register("OrderWave")
def _apply_order_wave(state: ControlState, command: OrderWave) -> Outcome:
    state.workload.waves.setdefault(
        command.number,
        MaintenanceWave(
            number=command.number,
            machines=tuple(command.machines),
            max_down=command.max_down,
            ordered_ms=command.at_ms,
            due_ms=command.due_ms,
        ),
    )
    return _accepted(state)


@appliers.register("RecordUpkeep")
def _apply_upkeep(state: ControlState, command: RecordUpkeep) -> Outcome:
    wave = state.workload.waves.get(command.number)
    if wave is not None:
        for vm in command.ordered:
            wave.ordered.setdefault(vm, False)
            state.workload.machine_orders[vm] = command.at_ms
        for vm in command.confirmed:
            wave.ordered[vm] = True
        wave.finished.update(command.finished)
        wave.gone.update(command.gone)
        wave.gone.difference_update(command.found)
    return _accepted(state)


@appliers.register("NoteMachineOrders")
def _apply_machine_orders(state: ControlState, command: NoteMachineOrders) -> Outcome:
    workload = state.workload
    for vm in command.settled:
        workload.pending_moves.pop(vm, None)
    for vm in command.machines:
        workload.machine_orders[vm] = command.at_ms
    for vm, pool in command.moves.items():
        workload.pending_moves[vm] = PendingMove(pool=pool, at_ms=command.at_ms)
    return _accepted(state)


@appliers.register("BeginEvacuation")
def _apply_begin_evacuation(state: ControlState, command: BeginEvacuation) -> Outcome:
    state.workload.evacuated.setdefault(command.data_center, command.at_ms)
    state.workload.restored.pop(command.data_center, None)
    _record_evacuation_request(state, command, begins=True)
    return _accepted(state)


@appliers.register("EndEvacuation")
def _apply_end_evacuation(state: ControlState, command: EndEvacuation) -> Outcome:
    workload = state.workload
    if workload.evacuated.pop(command.data_center, None) is not None:
        workload.restored[command.data_center] = command.at_ms
    _record_evacuation_request(state, command, begins=False)
    return _accepted(state)


def _record_evacuation_request(
    state: ControlState, command: BeginEvacuation | EndEvacuation, *, begins: bool
) -> None:
    """Record a request that was carried out, by which later ones are found to be late."""
    requests = state.workload.evacuation_requests
    known = requests.get(command.data_center, EvacuationRequests())
    added = (command.request_id,) if command.request_id else ()
    requests[command.data_center] = EvacuationRequests(
        # The clock of a new leader may be behind that of the leader before.
        latest_ms=max(command.at_ms, known.latest_ms + 1),
        begins=begins,
        request_ids=(*known.request_ids, *added)[-MAX_EVACUATION_REQUEST_IDS:],
    )


WORKLOAD_COMMANDS: tuple[type, ...] = (
    ApplyDeclaration,
    AcceptJob,
    CancelJob,
    RecordRuns,
    ForgetJobs,
    OrderWave,
    NoteMachineOrders,
    RecordUpkeep,
    BeginEvacuation,
    EndEvacuation,
)

WorkloadCommand = Any
