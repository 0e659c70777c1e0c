"""Run one tick of job scheduling: choose the jobs that start, stop, move or end."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from hornbeamreach.systems.fair_share import (
    SharePolicy,
    TeamUsage,
    pool_candidates,
    pool_usage,
    update_deficits,
)
from hornbeamreach.systems.job_sizing import SizeTable, estimate_resources, expected_run_ms
from hornbeamreach.systems.preemption import select_victims
from hornbeamreach.systems.worker_placement import (
    WorkerPlacementPolicy,
    accepts_tasks,
    could_ever_fit,
    fitting_workers,
    hold_worker,
)
from hornbeamreach.tables.control_state import ControlState, VmPhase
from hornbeamreach.tables.jobs import (
    WAITING_FOR_CAPACITY,
    JobRow,
    JobState,
    JobTables,
    Resources,
    WorkerRow,
    declared_resources,
)
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.verdict import Reason

# A task is lost if no report has named it for this long. Its lease is renewed only
# while reports name it, and lapses sooner.
TASK_LOST_AFTER_MS = 15_000


@define(frozen=True, kw_only=True)
class StartTask:
    """Start a job on a worker; its permit and resources are already acquired."""

    job: JobRow


@define(frozen=True, kw_only=True)
class StopTask:
    """Stop a job's task, with a checkpoint if it is to continue on another worker."""

    job: JobRow
    checkpoint: bool
    reason: Reason


@define(frozen=True, kw_only=True)
class EndJob:
    """Record that a queued job ends without running."""

    job: JobRow
    state: JobState
    reason: Reason
    detail: str


@define(frozen=True, kw_only=True)
class MarkTaskLost:
    """Mark a job's task as lost, because no report has named it for too long."""

    job: JobRow


@define(frozen=True, kw_only=True)
class ThrottleTask:
    """Limit the CPU use of a task."""

    job: JobRow
    cpu_millis: int


JobAction = StartTask | StopTask | EndJob | MarkTaskLost | ThrottleTask


@define(frozen=True, kw_only=True)
class ScheduleContext:
    """Hold the inputs of scheduling other than its tables."""

    state: ControlState
    may_act: Callable[[str], bool]
    share: SharePolicy
    placement: WorkerPlacementPolicy
    sizes: SizeTable
    now_ms: int
    # Nothing may start in this data centre.
    evacuated: bool = False


def schedule(tables: JobTables, permits: PermitTable, context: ScheduleContext) -> list[JobAction]:
    """Run one tick of all systems in a fixed order."""
    actions: list[JobAction] = []
    actions += cancel_jobs(tables)
    actions += find_lost_tasks(tables, context.now_ms)
    actions += relieve_overloaded_workers(tables)
    actions += drain_workers(tables, context)
    update_deficits(tables, context.state, context.now_ms)
    actions += start_jobs(tables, permits, context)
    actions += preempt(tables, context)
    return actions


def cancel_jobs(tables: JobTables) -> list[JobAction]:
    """End cancelled jobs that are queued, and stop those that run."""
    actions: list[JobAction] = []
    for job in list(tables.jobs.values()):
        if not job.cancelled or job.in_transition:
            continue
        if job.state is JobState.QUEUED:
            tables.dequeue(job)
            job.in_transition = True
            actions.append(_end(job, JobState.CANCELLED, Reason.CANCELLED, "cancelled"))
        elif not job.stopping:
            actions.append(_stop(job, checkpoint=False, reason=Reason.CANCELLED))
    return actions


def _end(job: JobRow, state: JobState, reason: Reason, detail: str) -> EndJob:
    return EndJob(job=job, state=state, reason=reason, detail=detail)


def _stop(job: JobRow, *, checkpoint: bool, reason: Reason) -> StopTask:
    job.stopping = True
    return StopTask(job=job, checkpoint=checkpoint, reason=reason)


def find_lost_tasks(tables: JobTables, now_ms: int) -> list[JobAction]:
    """List the tasks that no report has named for too long."""
    return [
        MarkTaskLost(job=job)
        for job in list(tables.started.values())
        if not job.in_transition
        and now_ms - max(job.last_report_ms, job.started_ms) >= TASK_LOST_AFTER_MS
    ]


def relieve_overloaded_workers(tables: JobTables) -> list[JobAction]:
    """Relieve workers whose tasks use more than the worker's capacity.

    Memory can't be throttled, so the youngest task is moved, deferrable tasks first. CPU use
    above a task's reservation is throttled.
    """
    actions: list[JobAction] = []
    by_worker: dict[str, list[JobRow]] = {}
    for job in tables.started.values():
        if not job.stopping:
            by_worker.setdefault(job.worker, []).append(job)
    for vm, jobs in by_worker.items():
        worker = tables.workers.get(vm)
        if worker is not None:
            actions += _relieve_worker(worker, jobs)
    return actions


def _relieve_worker(worker: WorkerRow, jobs: list[JobRow]) -> list[JobAction]:
    used = Resources()
    for job in jobs:
        used = used.plus(job.used)
    if used.memory_mb > worker.capacity.memory_mb:
        job_to_stop = max(jobs, key=lambda job: (not job.urgent, job.started_ms, job.id))
        return [_stop(job_to_stop, checkpoint=True, reason=Reason.NEVER_FITS)]
    if used.cpu_millis <= worker.capacity.cpu_millis:
        return []
    return [
        ThrottleTask(job=job, cpu_millis=job.reserved.cpu_millis)
        for job in jobs
        if job.used.cpu_millis > job.reserved.cpu_millis
    ]


def drain_workers(tables: JobTables, context: ScheduleContext) -> list[JobAction]:
    """Checkpoint tasks on workers that changed pools, and tasks that would outlast a drain."""
    actions: list[JobAction] = []
    for job in list(tables.started.values()):
        worker = tables.workers.get(job.worker)
        if job.stopping or job.in_transition or worker is None:
            continue
        moved = worker.pool != _pool_of(context.state, job)
        if worker.phase is not VmPhase.DRAINING and not moved:
            continue
        if moved or _exceeds_drain_time(job, worker, context):
            actions.append(_stop(job, checkpoint=True, reason=Reason.WORKER_DRAINED))
    return actions


def _exceeds_drain_time(job: JobRow, worker: WorkerRow, context: ScheduleContext) -> bool:
    pool = context.state.table.pools.get(worker.pool)
    drain_ms = pool.drain_ms if pool else 0
    drain_end_ms = worker.phase_since_ms + drain_ms
    if context.now_ms >= drain_end_ms:
        return True
    return job.started_ms + expected_run_ms(context.sizes, job) > drain_end_ms


def _pool_of(state: ControlState, job: JobRow) -> str:
    queue = state.table.queues.get(job.queue)
    return queue.pool if queue else ""


def preempt(tables: JobTables, context: ScheduleContext) -> list[JobAction]:
    """Checkpoint tasks for urgent jobs of teams below their share that wait for capacity."""
    actions: list[JobAction] = []
    for pool in sorted({row.pool for row in context.state.table.queues.values()}):
        candidates = pool_candidates(tables, context.state, pool, context.now_ms, set())
        pending = [c.job for c in candidates if c.job.waiting_for.startswith(WAITING_FOR_CAPACITY)]
        for job in select_victims(tables, context.state, pool, pending, context.now_ms):
            actions.append(_stop(job, checkpoint=True, reason=Reason.PREEMPTED))
    return actions


def start_jobs(
    tables: JobTables, permits: PermitTable, context: ScheduleContext
) -> list[JobAction]:
    """Start queued jobs pool by pool, in the order of the share policy."""
    permit_demand: dict[str, int] = {}
    actions: list[JobAction] = []
    if context.evacuated:
        for job in tables.jobs.values():
            if job.state is JobState.QUEUED:
                job.waiting_for = "the end of the data centre's evacuation"
        permits.set_shortfall("jobs", permit_demand)
        return actions
    for pool in sorted({row.pool for row in context.state.table.queues.values()}):
        actions += _start_in_pool(tables, permits, context, pool, permit_demand)
    permits.set_shortfall("jobs", permit_demand)
    return actions


def _start_in_pool(
    tables: JobTables,
    permits: PermitTable,
    context: ScheduleContext,
    pool: str,
    permit_demand: dict[str, int],
) -> list[JobAction]:
    if not any(
        w.pool == pool and accepts_tasks(w, context.now_ms) for w in tables.workers.values()
    ):
        return []
    actions: list[JobAction] = []
    blocked: set[tuple[str, str]] = set()
    held: set[str] = set()
    usage: TeamUsage | None = None
    while candidates := pool_candidates(tables, context.state, pool, context.now_ms, blocked):
        usage = usage or pool_usage(tables, pool)
        job = context.share(candidates, usage).job
        action = _try_start(tables, permits, context, pool, job, permit_demand, held)
        if isinstance(action, StartTask):
            usage.add(job.team, job.reserved)
        if action is None:
            blocked.add((job.queue, job.team))
        else:
            actions.append(action)
    return actions


def _try_start(
    tables: JobTables,
    permits: PermitTable,
    context: ScheduleContext,
    pool: str,
    job: JobRow,
    permit_demand: dict[str, int],
    held: set[str],
) -> StartTask | EndJob | None:
    """Start a job, end it if it can never run, or set what it waits for.

    A job that is first by its share but fits nowhere holds one worker until enough of it is
    free. Otherwise smaller jobs of other teams would take all capacity that becomes free.
    """
    amount = estimate_resources(context.sizes, job)
    if not could_ever_fit(tables, pool, amount):
        amount = declared_resources(job.spec)
    if not could_ever_fit(tables, pool, amount):
        tables.dequeue(job)
        job.in_transition = True
        detail = f"no worker of pool {pool} in this data centre is large enough"
        return _end(job, JobState.QUARANTINED, Reason.NEVER_FITS, detail)
    if not context.may_act(job.team):
        job.waiting_for = "authority to act while cut off"
        return None
    workers = fitting_workers(tables, pool, amount, job, context.now_ms, held)
    if not workers:
        hold_worker(tables, pool, amount, context.now_ms, held)
        job.waiting_for = f"{WAITING_FOR_CAPACITY} on a worker of pool {pool}"
        return None
    if not permits.acquire(job.team):
        job.waiting_for = f"a permit of team {job.team}"
        permit_demand[job.team] = permit_demand.get(job.team, 0) + len(
            tables.queued[job.queue][job.team]
        )
        return None
    worker = context.placement(tables, job, amount, workers)
    return _start(tables, job, worker, amount, context.now_ms)


def _start(
    tables: JobTables, job: JobRow, worker: WorkerRow, amount: Resources, now_ms: int
) -> StartTask:
    tables.dequeue(job)
    tables.reserve(job, worker, amount)
    tables.add_started(job)
    job.has_permit = True
    job.in_transition = True
    job.attempt += 1
    job.started_ms = now_ms
    job.last_report_ms = now_ms
    job.waiting_for = ""
    return StartTask(job=job)
