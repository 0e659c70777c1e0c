"""Records of calls with idempotency keys: at most one run, and a response that is replayed."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import trio

from hornbeamreach.clock import Clock
from hornbeamreach.entry.identifiers import check_idempotency_key
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.link.messages import CallReply
from hornbeamreach.records.messages import Record
from hornbeamreach.records.store import RecordStore
from hornbeamreach.verdict import Reason, Verdict

if TYPE_CHECKING:
    from hornbeamreach.entry.call_service import CallRequest

STARTED = "call_started"
FINISHED = "call_finished"
WITHDRAWN = "call_withdrawn"
# A started call whose process has died is never finished; its record must expire as well.
FINAL_CALL_STATES = frozenset({STARTED, FINISHED, WITHDRAWN})
RETRY_AFTER_MS = 1_000


def record_key(request: CallRequest) -> str:
    """Return the key of a call's record; each team has its own idempotency keys."""
    return f"call/{request.team}/{request.idempotency_key}"


def request_digest(request: CallRequest) -> str:
    """Return a digest that identifies a resend of the same call."""
    digest = hashlib.sha256()
    for part in (request.service.encode(), request.content_type.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


class CallRecords:
    """Record the start of a call before it is sent, and its response before it is returned."""

    def __init__(self, *, store: RecordStore, clock: Clock, retention_ms: int) -> None:
        self.store = store
        self.clock = clock
        self.retention_ms = retention_ms

    async def replay(self, request: CallRequest) -> CallReply | None:
        """Return the recorded response of an earlier call, or None if none may have run.

        Raises RefusedError if the key is malformed, too old or used for another call, if the
        records are unavailable, or if an earlier call may have run without a recorded response.
        """
        issued_ms = check_idempotency_key(
            request.idempotency_key, self.clock.wall_ms(), self.retention_ms
        )
        read = await self.store.read(record_key(request))
        if read.record is None:
            self._refuse_if_lost(issued_ms, read.lost_before_ms)
            return None
        if read.record.state == WITHDRAWN:
            return None
        return _reply_from(read.record, request)

    def _refuse_if_lost(self, issued_ms: int, lost_before_ms: int) -> None:
        if issued_ms < lost_before_ms:
            detail = "the records of that time were lost with their VMs"
            raise RefusedError(Reason.RECORDS_UNAVAILABLE, detail, verdict=Verdict.MAY_HAVE_RUN)

    async def start(self, request: CallRequest, endpoint: str) -> None:
        """Record that an attempt starts, unless another one has started.

        Raises RefusedError if another attempt is recorded, or if no majority stores this
        one; the attempt must then not be sent.
        """
        digest = request_digest(request)

        def begin(record: Record | None) -> Record:
            if record is not None and record.state != WITHDRAWN:
                raise _AlreadyStartedError(record)
            return Record(
                kind="call",
                state=STARTED,
                team=request.team,
                digest=digest,
                holder=request.request_id,
                target=endpoint,
                at_ms=self.clock.wall_ms(),
            )

        try:
            await self.store.change(record_key(request), begin)
        except _AlreadyStartedError as exc:
            if exc.record.state == STARTED and exc.record.holder == request.request_id:
                # Another process completed our own proposal: the start is recorded.
                return
            _reply_from(exc.record, request)
            raise RefusedError(
                Reason.IN_PROGRESS,
                "another attempt finished meanwhile; send again for its answer",
                verdict=Verdict.RAN,
                retry_after_ms=RETRY_AFTER_MS,
            ) from None

    async def finish(self, request: CallRequest, reply: CallReply) -> None:
        """Record a response, if a majority can store it."""

        def complete(record: Record | None) -> Record:
            return Record(
                kind="call",
                state=FINISHED,
                team=request.team,
                digest=request_digest(request),
                holder=request.request_id,
                target=reply.endpoint,
                at_ms=self.clock.wall_ms(),
                verdict=Verdict.RAN.value,
                status=reply.status,
                content_type=reply.content_type,
                body=reply.body,
            )

        # A response that no majority stores is still valid: the caller gets it, and a resend
        # is refused with the verdict that the call may have run.
        with trio.CancelScope(shield=True):
            try:
                await self.store.change(record_key(request), complete)
            except RefusedError as exc:
                self.store.metrics.refused("record", exc.reason)

    async def withdraw(self, request: CallRequest) -> None:
        """Record that the attempt certainly did not run, so that another one may start."""

        def withdraw_own(record: Record | None) -> Record | None:
            if record is None or record.holder != request.request_id:
                return record
            return Record(
                kind="call",
                state=WITHDRAWN,
                team=request.team,
                digest=record.digest,
                holder=request.request_id,
                at_ms=self.clock.wall_ms(),
            )

        try:
            await self.store.change(record_key(request), withdraw_own)
        except RefusedError as exc:
            # The record still says that the call started, and a resend is refused accordingly.
            self.store.metrics.refused("record", exc.reason)


class _AlreadyStartedError(Exception):
    def __init__(self, record: Record) -> None:
        self.record = record
        super().__init__(record.state)


def _reply_from(record: Record, request: CallRequest) -> CallReply:
    """Return a recorded response, or raise RefusedError with the recorded state."""
    if record.digest != request_digest(request):
        detail = "the Idempotency-Key was used for a call with other content"
        raise RefusedError(Reason.IDEMPOTENCY_KEY_REUSED, detail)
    if record.state == FINISHED:
        return CallReply(
            status=record.status,
            content_type=record.content_type,
            body=record.body,
            endpoint=record.target,
            replayed=True,
        )
    raise RefusedError(
        Reason.IN_PROGRESS,
        f"an attempt was started on {record.target} and its answer is not known",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_ms=RETRY_AFTER_MS,
    )
