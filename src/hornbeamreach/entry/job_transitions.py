"""Recorded transitions of jobs: ended, queued again or lost."""

from __future__ import annotations

import contextlib
import random

from attrs import define

from hornbeamreach.clock import Clock
from hornbeamreach.entry.history import History
from hornbeamreach.entry.job_records import JobRecords, TransitionRefusedError
from hornbeamreach.entry.replayed_state import ReplayedState
from hornbeamreach.entry.worker_platform import TaskReport
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.failure_attribution import (
    count_unsuspected_failed_workers,
    record_task_failure,
    record_task_success,
)
from hornbeamreach.systems.job_sizing import SizeTable, record_usage
from hornbeamreach.systems.schedule import EndJob
from hornbeamreach.tables.declared import QueueRow
from hornbeamreach.tables.jobs import JobRow, JobState, JobTables
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("jobs")

BASE_BACKOFF_MS = 200
MAX_BACKOFF_MS = 30_000
QUARANTINE_AFTER_WORKERS = 2


@define(frozen=True, kw_only=True)
class JobEnd:
    """Describe how a job ends."""

    state: JobState
    verdict: Verdict
    reason: Reason | None = None
    detail: str = ""
    result: str = ""


class JobTransitions:
    """Record the transitions of one scheduling term's jobs, and update the tables."""

    def __init__(
        self,
        *,
        tables: JobTables,
        sizes: SizeTable,
        permits: PermitTable,
        records: JobRecords,
        replayed_state: ReplayedState,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        history: History,
    ) -> None:
        self.tables = tables
        self.sizes = sizes
        self.permits = permits
        self.records = records
        self.replayed_state = replayed_state
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.history = history

    async def on_task_ended(self, job: JobRow, task: TaskReport, now_ms: int) -> None:
        """End or requeue a job according to how its task ended."""
        if task.state == "done":
            record_usage(self.sizes, job, task.peak, task.run_ms)
            record_task_success(self.tables, job, now_ms)
            end = JobEnd(state=JobState.DONE, verdict=Verdict.RAN, result=task.result)
            await self._end_started(job, end)
        elif task.state == "checkpointed" and not job.cancelled:
            await self.requeue(job, Reason.WORKER_DRAINED, task.detail, task.checkpoint)
        elif task.state == "failed":
            await self._on_task_failed(job, task, now_ms)
        elif job.cancelled:
            end = JobEnd(
                state=JobState.CANCELLED,
                verdict=Verdict.MAY_HAVE_RUN,
                reason=Reason.CANCELLED,
                detail="stopped while it ran",
            )
            await self._end_started(job, end)
        else:
            await self.on_task_lost(job, task.detail or f"the task was {task.state}")

    async def _on_task_failed(self, job: JobRow, task: TaskReport, now_ms: int) -> None:
        if record_task_failure(self.tables, job, now_ms):
            self.metrics.event("worker_suspected")
            log.warning(
                "worker {} is suspected after task failures, no tasks are placed on it", job.worker
            )
        job_at_fault = (
            count_unsuspected_failed_workers(job, self.tables, now_ms) >= QUARANTINE_AFTER_WORKERS
        )
        exhausted = job.attempt >= self._queue_row(job).max_attempts
        if job.spec.idempotent and not job_at_fault and not exhausted and not job.cancelled:
            self.metrics.retried("job", Reason.TASK_FAILED)
            await self.requeue(job, Reason.TASK_FAILED, task.detail, "")
            return
        quarantined = job.spec.idempotent and (job_at_fault or exhausted)
        end = JobEnd(
            state=JobState.QUARANTINED if quarantined else JobState.FAILED,
            verdict=Verdict.RAN,
            reason=Reason.QUARANTINED if quarantined else Reason.TASK_FAILED,
            detail=f"failed on {', '.join(job.failed_workers)}: {task.detail}",
        )
        await self._end_started(job, end)

    async def on_task_lost(self, job: JobRow, detail: str) -> None:
        """Requeue or fail a job whose task was stopped, has lapsed or is no longer reported."""
        if job.spec.idempotent and job.attempt < self._queue_row(job).max_attempts:
            self.metrics.retried("job", Reason.TASK_LEASE_LAPSED)
            await self.requeue(job, Reason.TASK_LEASE_LAPSED, detail, "")
            return
        end = JobEnd(
            state=JobState.FAILED,
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.TASK_LEASE_LAPSED,
            detail=detail,
        )
        await self._end_started(job, end)

    def _queue_row(self, job: JobRow) -> QueueRow:
        queue = self.replayed_state.state.table.queues.get(job.queue)
        return queue if queue is not None else QueueRow(pool="none")

    async def _end_started(self, job: JobRow, end: JobEnd) -> None:
        """Record the end of a started job, and release what it holds."""
        try:
            await self.records.end(
                job.id,
                attempt=job.attempt,
                state=end.state,
                verdict=end.verdict,
                reason=end.reason,
                detail=end.detail,
                result=end.result,
            )
        except TransitionRefusedError as exc:
            log.warning("job {}: end not recorded, state of its record: {}", job.id, exc)
        self.release_resources(job)
        self.tables.remove(job)
        self.metrics.finished("job", end.verdict.value)
        self.add_history(job, f"{end.state.value} on {job.worker}: {end.detail}".rstrip(": "))

    async def requeue(self, job: JobRow, reason: Reason, detail: str, checkpoint: str) -> None:
        """Record that an attempt is over, and queue the job again."""
        try:
            record = await self.records.requeue(
                job.id,
                attempt=job.attempt,
                reason=reason,
                detail=detail,
                checkpoint=checkpoint,
            )
        except TransitionRefusedError as exc:
            log.warning("job {}: not requeued, state of its record: {}", job.id, exc)
            self.release_resources(job)
            self.tables.remove(job)
            return
        self.release_resources(job)
        job.checkpoint = record.checkpoint
        job.stopping = False
        job.not_before_ms = self.clock.now_ms() + self._backoff_ms(job, reason)
        self.tables.enqueue(job, first=True)
        self.add_history(job, f"waits again after {reason.value}: {detail}")

    def _backoff_ms(self, job: JobRow, reason: Reason) -> int:
        if reason is Reason.WORKER_DRAINED:
            return 0
        max_delay_ms = min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2**job.attempt)
        return self.rng.randint(max_delay_ms // 2, max_delay_ms)

    def release_resources(self, job: JobRow) -> None:
        """Release a job's resources and permit."""
        self.tables.release(job)
        if job.has_permit:
            job.has_permit = False
            self.permits.release(job.team)

    async def end_queued(self, action: EndJob) -> None:
        """Record that a queued job ends without running."""
        job = action.job
        verdict = Verdict.MAY_HAVE_RUN if job.attempt else Verdict.NOT_RUN
        with contextlib.suppress(TransitionRefusedError):
            await self.records.end(
                job.id,
                attempt=job.attempt,
                state=action.state,
                verdict=verdict,
                reason=action.reason,
                detail=action.detail,
            )
        self.tables.remove(job)
        self.metrics.finished("job", verdict.value)
        self.add_history(job, f"{action.state.value} without running: {action.detail}")

    def add_history(self, job: JobRow, line: str) -> None:
        """Add a line to a job's history."""
        self.history.add(job.id, self.clock.wall_ms(), line)
