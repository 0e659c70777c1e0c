"""Attribute a task's failure to its job or to its worker."""

from __future__ import annotations

from hornbeamreach.tables.jobs import JobRow, JobTables, WorkerRow

FAILURE_WINDOW_MS = 60_000
FAILURES_TO_SUSPECT = 3
TEAMS_TO_SUSPECT = 2
BASE_SUSPICION_MS = 30_000
MAX_SUSPICION_MS = 30 * 60_000


def record_task_failure(tables: JobTables, job: JobRow, now_ms: int) -> bool:
    """Record a failed task, and return whether its worker is now suspected.

    A worker is suspected if several tasks in a row fail on it and they belong to several
    teams, or to one team that has no failures on other workers.
    """
    job.failed_workers.append(job.worker)
    worker = tables.workers.get(job.worker)
    if worker is None:
        return False
    worker.failures.append((now_ms, job.team))
    while worker.failures and worker.failures[0][0] < now_ms - FAILURE_WINDOW_MS:
        worker.failures.popleft()
    if not _is_suspect(tables, worker):
        return False
    worker.suspicion_count += 1
    wait_ms = min(BASE_SUSPICION_MS * 2 ** (worker.suspicion_count - 1), MAX_SUSPICION_MS)
    worker.suspect_until_ms = now_ms + wait_ms
    worker.failures.clear()
    return True


def record_task_success(tables: JobTables, job: JobRow, now_ms: int) -> None:
    """Record a successful task, and clear its worker's failures."""
    worker = tables.workers.get(job.worker)
    if worker is not None:
        worker.failures.clear()
        worker.last_success_ms = now_ms
        worker.suspicion_count = 0


def _is_suspect(tables: JobTables, worker: WorkerRow) -> bool:
    recent = [team for at_ms, team in worker.failures if at_ms > worker.last_success_ms]
    if len(recent) < FAILURES_TO_SUSPECT:
        return False
    if len(set(recent)) >= TEAMS_TO_SUSPECT:
        return True
    return not _fails_elsewhere(tables, worker, recent[0])


def _fails_elsewhere(tables: JobTables, worker: WorkerRow, team: str) -> bool:
    return any(
        team == failed_team
        for other in tables.workers.values()
        if other.vm != worker.vm
        for _, failed_team in other.failures
    )


def count_unsuspected_failed_workers(job: JobRow, tables: JobTables, now_ms: int) -> int:
    """Count the distinct workers on which a job failed, except suspected ones."""
    return sum(
        1
        for vm in set(job.failed_workers)
        if vm in tables.workers and tables.workers[vm].suspect_until_ms <= now_ms
    )
