"""Preempt tasks for urgent jobs that wait although their team is below its share."""

from __future__ import annotations

from hornbeamreach.systems.fair_share import TeamUsage, entitled_shares, pool_usage
from hornbeamreach.systems.worker_placement import accepts_tasks
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.jobs import JobRow, JobTables, Resources, WorkerRow

# Long enough for capacity to become free by itself, shorter than the wait that users allow.
PREEMPT_AFTER_MS = 600
# A new task is not preempted for this long, so that two teams don't preempt each other in turn.
MIN_RUN_MS = 2_000


def select_victims(
    tables: JobTables, state: ControlState, pool: str, pending: list[JobRow], now_ms: int
) -> list[JobRow]:
    """Choose started jobs to checkpoint, to make room for urgent jobs that wait."""
    urgent = [job for job in pending if _is_overdue(job, now_ms)]
    if not urgent:
        return []
    usage = pool_usage(tables, pool)
    active = set(usage.by_team) | {job.team for job in pending}
    entitled = entitled_shares(state, active)
    chosen: list[JobRow] = []
    for job in urgent:
        if usage.dominant_share(job.team) >= entitled.get(job.team, 0.0):
            continue
        found = _victims_for(tables, pool, job, usage, entitled, chosen, now_ms)
        chosen += found
    return chosen


def _is_overdue(job: JobRow, now_ms: int) -> bool:
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
    """Choose the fewest tasks on one worker that make enough room for a job."""
    amount = Resources(
        cpu_millis=job.spec.cpu_millis,
        memory_mb=job.spec.memory_mb,
        accelerators=job.spec.accelerators,
    )
    best: list[JobRow] | None = None
    for worker in tables.workers.values():
        if worker.pool != pool or not accepts_tasks(worker, now_ms):
            continue
        candidates = [
            other
            for other in tables.started.values()
            if other.worker == worker.vm
            and other not in chosen
            and _may_be_stopped(other, job, usage, entitled, now_ms)
        ]
        enough = _fewest_victims(worker, amount, candidates, chosen)
        if enough is not None and (best is None or len(enough) < len(best)):
            best = enough
    return best or []


def _may_be_stopped(
    other: JobRow, job: JobRow, usage: TeamUsage, entitled: dict[str, float], now_ms: int
) -> bool:
    if other.in_transition or other.stopping or now_ms - other.started_ms < MIN_RUN_MS:
        return False
    over_share = usage.dominant_share(other.team) > entitled.get(other.team, 0.0)
    return not other.urgent or (over_share and other.team != job.team)


def _fewest_victims(
    worker: WorkerRow, amount: Resources, candidates: list[JobRow], chosen: list[JobRow]
) -> list[JobRow] | None:
    """Return the candidates to stop until a job fits, deferrable then youngest first, or None."""
    free = worker.free()
    for job in chosen:
        if job.worker == worker.vm:
            free = free.plus(job.reserved)
    if any(job.worker == worker.vm for job in chosen) and amount.fits_in(free):
        return []
    victims: list[JobRow] = []
    for other in sorted(candidates, key=lambda other: (other.urgent, -other.started_ms)):
        victims.append(other)
        free = free.plus(other.reserved)
        if amount.fits_in(free):
            return victims
    return None
