"""Execute scheduling decisions: start, stop and throttle tasks, handle lost ones, end jobs."""

from __future__ import annotations

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.job_records import JobRecords, TransitionRefusedError
from hornbeamreach.entry.job_transitions import BASE_BACKOFF_MS, JobTransitions
from hornbeamreach.entry.worker_platform import TaskRequest, WorkerPlatform
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
MAX_START_ATTEMPTS = 3


class ActionExecutor:
    """Send one scheduling term's decisions to the platform, each start recorded first."""

    def __init__(
        self,
        *,
        process: str,
        tables: JobTables,
        transitions: JobTransitions,
        records: JobRecords,
        platform: WorkerPlatform,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.process = process
        self.tables = tables
        self.transitions = transitions
        self.records = records
        self.platform = platform
        self.clock = clock
        self.metrics = metrics

    async def execute(self, action: JobAction) -> None:
        """Execute one action; a failure is counted and retried by a later tick."""
        try:
            if isinstance(action, StartTask):
                await self._start(action.job)
            elif isinstance(action, StopTask):
                await self._stop(action)
            elif isinstance(action, EndJob):
                await self.transitions.end_queued(action)
            elif isinstance(action, MarkTaskLost):
                await self._on_task_lost(action.job)
            elif isinstance(action, ThrottleTask):
                job = action.job
                await self.platform.throttle_task(job.task_id(), action.cpu_millis)
        except PlatformError as exc:
            self.metrics.event("platform_call_failed")
            log.bind(request=action.job.id, action=type(action).__name__).warning(
                "platform call failed, a later tick retries it: {}", exc
            )
        except RefusedError as exc:
            self.metrics.refused("job", exc.reason)

    async def _start(self, job: JobRow) -> None:
        try:
            await self.records.start(
                job.id, attempt=job.attempt, worker=job.worker, holder=self.process
            )
        except TransitionRefusedError as exc:
            self.transitions.release_resources(job)
            self.tables.remove(job)
            self.transitions.add_history(job, f"not started: it was {exc} already")
            return
        except RefusedError:
            # It is unknown whether the start is recorded, but nothing was sent. A later scan
            # of the records adds the job again in the state that its record then has.
            self._drop_until_rescan(job)
            raise
        self.transitions.add_history(job, f"attempt {job.attempt} starts on {job.worker}")
        try:
            started = await self._start_on_platform(job)
            if not started:
                await self.transitions.requeue(
                    job, Reason.CONNECT_FAILED, "the platform refused", ""
                )
        finally:
            job.in_transition = False

    def _drop_until_rescan(self, job: JobRow) -> None:
        self.transitions.release_resources(job)
        job.attempt -= 1
        job.in_transition = False
        job.not_before_ms = self.clock.now_ms() + BASE_BACKOFF_MS
        self.tables.remove(job)

    async def _start_on_platform(self, job: JobRow) -> bool:
        """Request the task's start; return False only if it certainly was not started."""
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
        for _ in range(MAX_START_ATTEMPTS):
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
        self.transitions.add_history(
            action.job, f"stopped on {action.job.worker}: {action.reason.value}"
        )

    async def _on_task_lost(self, job: JobRow) -> None:
        job.in_transition = True
        try:
            await self.transitions.on_task_lost(job, f"worker {job.worker} fell silent")
        finally:
            job.in_transition = False
