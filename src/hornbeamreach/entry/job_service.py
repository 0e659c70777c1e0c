"""Accept, describe and cancel jobs on any entry process of their data centre."""

from __future__ import annotations

import hashlib
import random

import orjson

from hornbeamreach import validators
from hornbeamreach.clock import Clock
from hornbeamreach.converters import to_plain
from hornbeamreach.entry.identifiers import (
    check_idempotency_key,
    derive_job_id,
    new_job_id,
    parse_job_id,
)
from hornbeamreach.entry.job_records import (
    JOB_PREFIX,
    JobRecords,
    TransitionRefusedError,
    job_key,
    job_reply,
    new_job_record,
)
from hornbeamreach.entry.replayed_state import ReplayedState
from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.link.interface import Link
from hornbeamreach.link.messages import (
    BulkCancelReply,
    ForwardBulkCancel,
    ForwardJob,
    ForwardSubmit,
    JobReply,
    SubmitReply,
    WakeScheduler,
)
from hornbeamreach.records.messages import Record
from hornbeamreach.records.store import RecordStore
from hornbeamreach.tables.jobs import JobState, declared_resources
from hornbeamreach.tables.reports import JobSpec
from hornbeamreach.verdict import Reason, Verdict

RETRY_AFTER_MS = 1_000
MAX_COUNT_AGE_MS = 500
MAX_EXPECTED_MS = 7 * 24 * 3_600_000


def check_spec(spec: JobSpec) -> None:
    """Raise InvalidInputError if a job's specification has invalid values."""
    checks = (
        ("cpu_millis", validators.in_range(1, 10_000_000), spec.cpu_millis),
        ("memory_mb", validators.in_range(1, 100_000_000), spec.memory_mb),
        ("accelerators", validators.in_range(0, 10_000), spec.accelerators),
        ("expected_ms", validators.in_range(1, MAX_EXPECTED_MS), spec.expected_ms),
        ("kind", validators.name, spec.kind),
    )
    for name, validate, value in checks:
        try:
            validate(None, None, value)
        except ValueError as exc:
            raise InvalidInputError(str(exc), path=name) from None


class JobService:
    """Accept, describe and cancel jobs recorded in this data centre."""

    def __init__(
        self,
        *,
        data_center: str,
        peers: dict[str, str],
        replayed_state: ReplayedState,
        store: RecordStore,
        link: Link,
        clock: Clock,
        rng: random.Random,
        retention_ms: int,
    ) -> None:
        self.data_center = data_center
        self.peers = peers
        self.replayed_state = replayed_state
        self.store = store
        self.records = JobRecords(store)
        self.link = link
        self.clock = clock
        self.rng = rng
        self.retention_ms = retention_ms
        self.counted_ms = -MAX_COUNT_AGE_MS
        self.unfinished_counts: dict[str, int] = {}

    # Submission

    async def submit(self, message: ForwardSubmit) -> SubmitReply:
        """Accept a job; on return, a majority of the data centre has stored it."""
        self._check_queue(message)
        job_id, issued_ms = self._job_id(message)
        digest = _spec_digest(message.spec)
        existing: list[Record] = []

        def accept(record: Record | None) -> Record:
            existing[:] = [record] if record is not None else []
            return record or new_job_record(
                team=message.team,
                queue=message.queue,
                spec=message.spec,
                digest=digest,
                at_ms=self.clock.wall_ms(),
            )

        await self._refuse_if_lost(job_id, issued_ms, message.idempotency_key)
        await self.store.change(job_key(job_id), accept)
        if existing and existing[0].digest != digest:
            detail = "the Idempotency-Key was used for a job with other content"
            raise RefusedError(Reason.IDEMPOTENCY_KEY_REUSED, detail)
        self._wake_schedulers(WakeScheduler(job_ids=[job_id]))
        return SubmitReply(job_id=job_id, replayed=bool(existing))

    def _check_queue(self, message: ForwardSubmit) -> None:
        queue = self.replayed_state.state.table.queues.get(message.queue)
        if queue is None:
            raise RefusedError(Reason.UNKNOWN_QUEUE, f"no queue {message.queue!r}")
        if self._unfinished_count(message.queue) >= queue.max_queued:
            detail = f"queue {message.queue} has {queue.max_queued} unfinished jobs already"
            raise RefusedError(Reason.QUEUE_FULL, detail, retry_after_ms=RETRY_AFTER_MS)
        self._check_fits(queue.pool, message.spec)

    def _unfinished_count(self, queue: str) -> int:
        """Return a queue's number of unfinished jobs, and add one for this submission.

        The records are counted again once the count is MAX_COUNT_AGE_MS old.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.counted_ms >= MAX_COUNT_AGE_MS:
            self.counted_ms = now_ms
            self.unfinished_counts = self._count_unfinished()
        count = self.unfinished_counts.get(queue, 0)
        self.unfinished_counts[queue] = count + 1
        return count

    def _count_unfinished(self) -> dict[str, int]:
        unfinished_states = (JobState.QUEUED.value, JobState.STARTED.value)
        counts: dict[str, int] = {}
        for stored in self.store.acceptor.scan(JOB_PREFIX).values():
            record = stored.record
            if record is not None and record.state in unfinished_states:
                counts[record.queue] = counts.get(record.queue, 0) + 1
        return counts

    def _check_fits(self, pool: str, spec: JobSpec) -> None:
        required = declared_resources(spec)
        vms = [row for row in self.replayed_state.state.table.vms.values() if row.pool == pool]
        local = [row for row in vms if row.data_center == self.data_center]
        fits = any(
            required.cpu_millis <= row.cpu_millis
            and required.memory_mb <= row.memory_mb
            and required.accelerators <= row.accelerators
            for row in local
        )
        if not fits:
            detail = f"no worker of pool {pool} in {self.data_center} is large enough"
            raise RefusedError(Reason.NEVER_FITS, detail)

    def _job_id(self, message: ForwardSubmit) -> tuple[str, int]:
        wall_ms = self.clock.wall_ms()
        if not message.idempotency_key:
            return new_job_id(self.data_center, wall_ms, self.rng), wall_ms
        issued_ms = check_idempotency_key(message.idempotency_key, wall_ms, self.retention_ms)
        job_id = derive_job_id(
            self.data_center, message.team, message.queue, message.idempotency_key
        )
        return job_id, issued_ms

    async def _refuse_if_lost(self, job_id: str, issued_ms: int, idempotency_key: str) -> None:
        if not idempotency_key:
            return
        read = await self.store.read(job_key(job_id))
        if read.record is None and issued_ms < read.lost_before_ms:
            detail = "the records of that time were lost with their VMs"
            raise RefusedError(Reason.RECORDS_UNAVAILABLE, detail, verdict=Verdict.MAY_HAVE_RUN)

    def _wake_schedulers(self, message: WakeScheduler) -> None:
        for address in self.peers.values():
            self.link.notify(address, message)

    # Lookup and cancellation

    async def describe(self, message: ForwardJob, open_teams: set[str]) -> JobReply:
        """Return the state of a team's job, after cancelling it if requested.

        Without a team, the job must belong to a team that has an open queue.
        """
        record = await self._read_authorized(message.job_id, message.team, open_teams)
        if message.cancel:
            record = await self._cancel(message.job_id)
        return job_reply(message.job_id, record)

    async def _read_authorized(self, job_id: str, team: str, open_teams: set[str]) -> Record:
        issued_ms = parse_job_id(job_id).issued_ms
        read = await self.store.read(job_key(job_id))
        if read.record is None:
            if issued_ms < self.clock.wall_ms() - self.retention_ms:
                detail = f"jobs are kept for {self.retention_ms} ms"
                raise RefusedError(Reason.TOO_OLD, detail)
            raise RefusedError(Reason.UNKNOWN_JOB, f"no job {job_id}")
        is_own = read.record.team == team
        if not is_own and (team or read.record.team not in open_teams):
            raise RefusedError(Reason.FOREIGN_JOB, "the job belongs to another team")
        return read.record

    async def _cancel(self, job_id: str) -> Record:
        try:
            record = await self.records.cancel_queued(job_id)
        except TransitionRefusedError:
            raise RefusedError(Reason.UNKNOWN_JOB, f"no job {job_id}") from None
        self._wake_schedulers(WakeScheduler(job_ids=[job_id], cancel=True))
        return record

    async def bulk_cancel(self, message: ForwardBulkCancel) -> BulkCancelReply:
        """Cancel all unfinished jobs of a team in a queue."""
        unfinished_states = (JobState.QUEUED.value, JobState.STARTED.value)
        cancelled = []
        for key, record in (await self.store.scan(JOB_PREFIX)).items():
            is_match = record.team == message.team and record.queue == message.queue
            if is_match and record.state in unfinished_states:
                job_id = key.removeprefix(JOB_PREFIX)
                await self.records.cancel_queued(job_id)
                cancelled.append(job_id)
        if cancelled:
            self._wake_schedulers(WakeScheduler(job_ids=cancelled, cancel=True))
        return BulkCancelReply(cancelled=len(cancelled))


def _spec_digest(spec: JobSpec) -> str:
    content = orjson.dumps(to_plain(spec), option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(content).hexdigest()
