"""Records of jobs and the transitions between their states."""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve

from hornbeamreach.link.messages import JobReply
from hornbeamreach.records.messages import Record
from hornbeamreach.records.store import RecordStore
from hornbeamreach.tables.jobs import FINAL_JOB_STATES, JobState
from hornbeamreach.tables.reports import JobSpec
from hornbeamreach.verdict import Reason, Verdict

JOB_PREFIX = "job/"
FINAL_STATE_NAMES = frozenset(state.value for state in FINAL_JOB_STATES)


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOB_PREFIX + job_id


def new_job_record(*, team: str, queue: str, spec: JobSpec, digest: str, at_ms: int) -> Record:
    """Return the record of a job that is being accepted."""
    return Record(
        kind="job",
        state=JobState.QUEUED.value,
        team=team,
        queue=queue,
        spec=spec,
        digest=digest,
        at_ms=at_ms,
        submitted_ms=at_ms,
        verdict=Verdict.NOT_RUN.value,
    )


def job_reply(job_id: str, record: Record) -> JobReply:
    """Return the reply to a caller for a job's record."""
    return JobReply(
        job_id=job_id,
        team=record.team,
        queue=record.queue,
        state=record.state,
        verdict=record.verdict,
        reason=record.reason,
        detail=record.detail,
        attempts=record.attempt,
        worker=record.target,
        result=record.body.decode("utf-8", "replace"),
        submitted_ms=record.submitted_ms,
        finished_ms=record.at_ms if record.state in FINAL_STATE_NAMES else 0,
    )


class TransitionRefusedError(Exception):
    """Report that a job's record does not allow a transition."""

    def __init__(self, record: Record | None) -> None:
        self.record = record
        super().__init__("no record" if record is None else record.state)


Transition = Callable[[Record], Record]


class JobRecords:
    """Record a job's transitions, each only from the states that allow it.

    Methods raise TransitionRefusedError if the record doesn't allow the transition, and
    RefusedError if no majority stores it.
    """

    def __init__(self, store: RecordStore) -> None:
        self.store = store

    async def _apply(
        self, job_id: str, allowed: Callable[[Record], bool], transition: Transition
    ) -> Record:
        def change(record: Record | None) -> Record:
            if record is None or not allowed(record):
                raise TransitionRefusedError(record)
            return transition(record)

        record = await self.store.change(job_key(job_id), change)
        assert record is not None
        return record

    async def start(self, job_id: str, *, attempt: int, worker: str, holder: str) -> Record:
        """Record that an attempt starts; a retry of the same start succeeds."""

        def allowed(record: Record) -> bool:
            is_same_attempt = record.attempt == attempt and record.holder == holder
            already_started = record.state == JobState.STARTED.value and is_same_attempt
            return already_started or (
                record.state == JobState.QUEUED.value and record.attempt == attempt - 1
            )

        def transition(record: Record) -> Record:
            return evolve(
                record,
                state=JobState.STARTED.value,
                attempt=attempt,
                target=worker,
                holder=holder,
                verdict=Verdict.MAY_HAVE_RUN.value,
                reason="",
                detail="",
                at_ms=self.store.clock.wall_ms(),
            )

        return await self._apply(job_id, allowed, transition)

    async def requeue(
        self, job_id: str, *, attempt: int, reason: Reason, detail: str, checkpoint: str
    ) -> Record:
        """Record that an attempt is over and another may follow."""

        def transition(record: Record) -> Record:
            return evolve(
                record,
                state=JobState.QUEUED.value,
                reason=reason.value,
                detail=detail,
                checkpoint=checkpoint or record.checkpoint,
                at_ms=self.store.clock.wall_ms(),
            )

        return await self._apply(
            job_id, lambda record: _is_running_attempt(record, attempt), transition
        )

    async def end(
        self,
        job_id: str,
        *,
        attempt: int,
        state: JobState,
        verdict: Verdict,
        reason: Reason | None = None,
        detail: str = "",
        result: str = "",
    ) -> Record:
        """Record how a job ended."""

        def transition(record: Record) -> Record:
            return evolve(
                record,
                state=state.value,
                verdict=verdict.value,
                reason=reason.value if reason else "",
                detail=detail,
                body=result.encode(),
                at_ms=self.store.clock.wall_ms(),
            )

        return await self._apply(job_id, lambda record: _may_end(record, attempt), transition)

    async def cancel_queued(self, job_id: str) -> Record:
        """Record a cancellation if the job is queued; return the record, changed or not."""

        def change(record: Record | None) -> Record:
            if record is None:
                raise TransitionRefusedError(None)
            if record.state != JobState.QUEUED.value:
                return record
            return evolve(
                record,
                state=JobState.CANCELLED.value,
                verdict=Verdict.MAY_HAVE_RUN.value if record.attempt else record.verdict,
                reason=Reason.CANCELLED.value,
                at_ms=self.store.clock.wall_ms(),
            )

        record = await self.store.change(job_key(job_id), change)
        assert record is not None
        return record


def _is_running_attempt(record: Record, attempt: int) -> bool:
    return record.state == JobState.STARTED.value and record.attempt == attempt


def _may_end(record: Record, attempt: int) -> bool:
    queued = record.state == JobState.QUEUED.value and record.attempt == attempt
    return queued or _is_running_attempt(record, attempt)
