"""Making room for urgent jobs that wait although their team is below its share."""

from __future__ import annotations

from hornbeamreach.systems.placement import can_take
from hornbeamreach.systems.shares import TeamUsage, entitled_parts, pool_usage
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.jobs import JobRow, JobTables, Resources, WorkerRow

# Room is made before the wait that users allow is over, and after what frees itself.
PREEMPT_AFTER_MS = 600
# A task is left alone for its first moments, so that two teams don't push each other out.
MIN_RUN_MS = 2_000


def victims(
    tables: JobTables, state: ControlState, pool: str, waiting: list[JobRow], now_ms: int
) -> list[JobRow]:
    """Choose started jobs to checkpoint, so that waiting urgent jobs find room."""
    urgent = [job for job in waiting if _is_starved(job, now_ms)]
    if not urgent:
        return []
    usage = pool_usage(tables, pool)
    active = set(usage.by_team) | {job.team for job in waiting}
    entitled = entitled_parts(state, active)
    chosen: list[JobRow] = []
    for job in urgent:
        if usage.dominant_share(job.team) >= entitled.get(job.team, 0.0):
            continue
        found = _victims_for(tables, pool, job, usage, entitled, chosen, now_ms)
        chosen += found
    return chosen


def _is_starved(job: JobRow, now_ms: int) -> bool:
    return job.urgent and now_ms - job.enqueued_ms >= PREEMPT_AFTER_MS and not job.cancelled


def _victims_for(
    tables: JobTables,
    pool: str,
    job: JobRow,
    usage: TeamUsage,
    entitled: dict[str, float],
    chosen: list[JobRow],
    now_ms: int,
) -> list[JobRow]:
    """Choose the fewest tasks on one worker whose room is enough for a job."""
    amount = Resources(
        cpu_millis=job.spec.cpu_millis,
        memory_mb=job.spec.memory_mb,
        accelerators=job.spec.accelerators,
    )
    best: list[JobRow] | None = None
    for worker in tables.workers.values():
        if worker.pool != pool or not can_take(worker, now_ms):
            continue
        candidates = [
            other
            for other in tables.started.values()
            if other.worker == worker.vm
            and other not in chosen
            and _may_be_stopped(other, job, usage, entitled, now_ms)
        ]
        enough = _fewest(worker, amount, candidates, chosen)
        if enough is not None and (best is None or len(enough) < len(best)):
            best = enough
    return best or []


def _may_be_stopped(
    other: JobRow, job: JobRow, usage: TeamUsage, entitled: dict[str, float], now_ms: int
) -> bool:
    if other.in_transition or other.stopping or now_ms - other.started_ms < MIN_RUN_MS:
        return False
    over = usage.dominant_share(other.team) > entitled.get(other.team, 0.0)
    return not other.urgent or (over and other.team != job.team)


def _fewest(
    worker: WorkerRow, amount: Resources, candidates: list[JobRow], chosen: list[JobRow]
) -> list[JobRow] | None:
    """Return the fewest candidates that make room, those that ran shortest first."""
    free = worker.free()
    for job in chosen:
        if job.worker == worker.vm:
            free = free.plus(job.reserved)
    if any(job.worker == worker.vm for job in chosen) and amount.fits_in(free):
        return []
    taken: list[JobRow] = []
    for other in sorted(candidates, key=lambda other: (other.urgent, -other.started_ms)):
        taken.append(other)
        free = free.plus(other.reserved)
        if amount.fits_in(free):
            return taken
    return None
