"""Carrying out what the scheduling decided: starting, stopping and giving up tasks."""

from __future__ import annotations

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.job_records import JobRecords, StepRefusedError
from hornbeamreach.entry.job_steps import BASE_BACKOFF_MS, JobSteps
from hornbeamreach.entry.worker_platform import Platform, TaskRequest
from hornbeamreach.exceptions import PlatformError, RefusedError
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.schedule import (
    EndJob,
    JobAction,
    MarkTaskLost,
    StartTask,
    StopTask,
    ThrottleTask,
)
from hornbeamreach.tables.jobs import JobRow, JobTables
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("jobs")

TASK_LEASE_MS = 10_000
START_ATTEMPTS = 3


class TaskActions:
    """Send one scheduling term's decisions to the platform, each recorded first."""

    def __init__(
        self,
        *,
        process: str,
        tables: JobTables,
        steps: JobSteps,
        records: JobRecords,
        platform: Platform,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.process = process
        self.tables = tables
        self.steps = steps
        self.records = records
        self.platform = platform
        self.clock = clock
        self.metrics = metrics

    async def carry_out(self, action: JobAction) -> None:
        """Carry out one action; a failure is counted and tried again by a later tick."""
        try:
            if isinstance(action, StartTask):
                await self._start(action.job)
            elif isinstance(action, StopTask):
                await self._stop(action)
            elif isinstance(action, EndJob):
                await self.steps.end_waiting(action)
            elif isinstance(action, MarkTaskLost):
                await self._lose(action.job)
            elif isinstance(action, ThrottleTask):
                job = action.job
                await self.platform.throttle_task(job.task_id(), action.cpu_millis)
        except PlatformError as exc:
            self.metrics.event("platform_call_failed")
            log.warning("{}", exc)
        except RefusedError as exc:
            self.metrics.refused("job", exc.reason)

    async def _start(self, job: JobRow) -> None:
        try:
            await self.records.start(
                job.id, attempt=job.attempt, worker=job.worker, holder=self.process
            )
        except StepRefusedError as exc:
            self.steps.free(job)
            self.tables.forget(job)
            self.steps.note(job, f"not started: it was {exc} already")
            return
        except RefusedError:
            # Whether the start is recorded is not known, but nothing was sent. The next
            # attempt takes the record as it finds it.
            self._back_to_queue(job)
            raise
        self.steps.note(job, f"attempt {job.attempt} starts on {job.worker}")
        try:
            started = await self._start_on_platform(job)
            if not started:
                await self.steps.requeue(job, Reason.CONNECT_FAILED, "the platform refused", "")
        finally:
            job.busy = False

    def _back_to_queue(self, job: JobRow) -> None:
        self.steps.free(job)
        job.attempt -= 1
        job.busy = False
        job.not_before_ms = self.clock.now_ms() + BASE_BACKOFF_MS
        self.tables.forget(job)

    async def _start_on_platform(self, job: JobRow) -> bool:
        """Ask for the task; return False only if it certainly was not started."""
        request = TaskRequest(
            task_id=job.task_id(),
            worker=job.worker,
            kind=job.spec.kind,
            payload=job.spec.payload,
            reserved=job.reserved,
            lease_ms=TASK_LEASE_MS,
            checkpoint=job.checkpoint,
        )
        may_have_started = False
        for _ in range(START_ATTEMPTS):
            try:
                await self.platform.start_task(request)
                return True
            except PlatformError as exc:
                may_have_started = may_have_started or exc.verdict is not Verdict.NOT_RUN
                self.metrics.retried("task_start", Reason.CONNECT_FAILED)
                await trio.sleep(seconds(BASE_BACKOFF_MS))
        return may_have_started

    async def _stop(self, action: StopTask) -> None:
        try:
            task_id = action.job.task_id()
            await self.platform.stop_task(task_id, checkpoint=action.checkpoint)
        except PlatformError:
            action.job.stopping = False
            raise
        self.steps.note(action.job, f"stopped on {action.job.worker}: {action.reason.value}")

    async def _lose(self, job: JobRow) -> None:
        job.busy = True
        try:
            await self.steps.lose(job, f"worker {job.worker} fell silent")
        finally:
            job.busy = False
