"""Serve calls, from a caller's request to an endpoint's complete response."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio
from attrs import define, evolve, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.attempts import Attempt, AttemptGroup
from hornbeamreach.entry.authority import Authority
from hornbeamreach.entry.call_records import CallRecords
from hornbeamreach.entry.endpoint_client import AttemptError, EndpointClient
from hornbeamreach.entry.history import History
from hornbeamreach.entry.replayed_state import ReplayedState
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.link.messages import CallReply
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.dispatch import (
    CallAction,
    DispatchContext,
    StartCall,
    acquire_hedge_endpoint,
    dispatch,
)
from hornbeamreach.systems.endpoint_health import record_failure, record_success
from hornbeamreach.systems.hedging import hedge_delay_ms, record_latency
from hornbeamreach.systems.retries import (
    FailedAttempt,
    backoff_ms,
    earn_retry,
    retry_refusal,
)
from hornbeamreach.systems.routing import RoutingPolicy
from hornbeamreach.tables.calls import AbandonedAttempt, CallRow, CallTables, EndpointRow
from hornbeamreach.tables.declared import URGENT
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("calls")

CALL_TICK_MS = 20
IDLE_TICK_MS = 250
# An abandoned attempt may still run, so it keeps its permit until its deadline plus this margin.
LINGER_MS = 1_000
RETRY_AFTER_MS = 1_000
# Interval at which a call to be hedged checks for a free second endpoint.
HEDGE_RETRY_INTERVAL_MS = 100


@define(frozen=True, kw_only=True)
class CallRequest:
    """Describe a call as its caller sent it."""

    request_id: str
    team: str
    key_hash: str
    service: str
    content_type: str
    body: bytes
    deadline_ms: int
    idempotency_key: str = ""


@define(kw_only=True)
class PendingCall:
    """Represent a request whose caller waits, with its outcome once it is known."""

    request: CallRequest
    done: trio.Event = field(factory=trio.Event)
    reply: CallReply | None = None
    refusal: RefusedError | None = None

    def resolve(self, outcome: CallReply | RefusedError) -> None:
        """Set the outcome and wake the caller; only the first outcome counts."""
        if self.done.is_set():
            return
        if isinstance(outcome, RefusedError):
            self.refusal = outcome
        else:
            self.reply = outcome
        self.done.set()


def _refusal(call: CallRow, reason: Reason, detail: str, verdict: Verdict) -> RefusedError:
    """Return a refusal whose verdict holds for every attempt of the call."""
    return RefusedError(reason, detail, verdict=_verdict_of_all(call, verdict))


def _verdict_of_all(call: CallRow, verdict: Verdict) -> Verdict:
    """Return a verdict that holds for the earlier attempts of the call too."""
    if call.may_have_run and verdict is Verdict.NOT_RUN:
        return Verdict.MAY_HAVE_RUN
    return verdict


class CallService:
    """Queue calls, run the dispatch and execute its actions."""

    def __init__(
        self,
        *,
        tables: CallTables,
        permits: PermitTable,
        replayed_state: ReplayedState,
        authority: Authority,
        records: CallRecords,
        routing: RoutingPolicy,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        history: History,
        max_answer_bytes: int,
        new_client: Callable[..., EndpointClient] = EndpointClient,
    ) -> None:
        self.tables = tables
        self.permits = permits
        self.replayed_state = replayed_state
        self.authority = authority
        self.records = records
        self.routing = routing
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.history = history
        self.max_answer_bytes = max_answer_bytes
        self.new_client = new_client
        self.clients: dict[str, EndpointClient] = {}
        self.pending_calls: dict[str, PendingCall] = {}
        self.work_available = trio.Event()
        self.stopping = False

    # Callers

    async def call(self, request: CallRequest) -> CallReply:
        """Serve one call; raise RefusedError with a verdict on whether it may have run."""
        if self.stopping:
            detail = "this entry VM is shutting down"
            raise RefusedError(Reason.SHUTTING_DOWN, detail, retry_after_ms=RETRY_AFTER_MS)
        service = self.replayed_state.state.table.services.get(request.service)
        if service is None:
            raise RefusedError(Reason.UNKNOWN_SERVICE, f"no service {request.service!r}")
        if request.idempotency_key:
            replayed = await self.records.replay(request)
            if replayed is not None:
                return replayed
        if self.tables.queued_count(request.service) >= service.max_queued:
            detail = f"{service.max_queued} calls wait for {request.service} already"
            raise RefusedError(Reason.QUEUE_FULL, detail, retry_after_ms=RETRY_AFTER_MS)
        call = self._new_call(request, service.priority == URGENT, service.idempotent)
        return await self._enqueue_and_wait(call, request)

    def _new_call(self, request: CallRequest, urgent: bool, idempotent: bool) -> CallRow:
        now_ms = self.clock.now_ms()
        return CallRow(
            id=request.request_id,
            team=request.team,
            key_hash=request.key_hash,
            service=request.service,
            urgent=urgent,
            arrived_ms=now_ms,
            deadline_ms=now_ms + request.deadline_ms,
            idempotent=idempotent,
        )

    async def _enqueue_and_wait(self, call: CallRow, request: CallRequest) -> CallReply:
        pending = PendingCall(request=request)
        self.pending_calls[call.id] = pending
        self.tables.enqueue(call)
        self.wake()
        try:
            await pending.done.wait()
        finally:
            self.pending_calls.pop(call.id, None)
            if call.id in self.tables.calls and not call.running:
                # The caller disconnected before the call started.
                self.tables.remove(call.id)
        if pending.refusal is not None:
            raise pending.refusal
        assert pending.reply is not None
        return pending.reply

    def wake(self) -> None:
        """Trigger a run of the dispatch."""
        self.work_available.set()

    # Dispatch

    async def run(self) -> None:
        """Run the dispatch on every event, and at least once per tick, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(seconds(self._tick_ms())):
                    await self.work_available.wait()
                self.work_available = trio.Event()
                for action in self.tick():
                    self._execute(action, nursery)

    def _tick_ms(self) -> int:
        """Return the longest wait for an event; without calls, only endpoint states change."""
        return CALL_TICK_MS if self.tables.calls or self.tables.abandoned_attempts else IDLE_TICK_MS

    def tick(self) -> list[CallAction]:
        """Run the systems over the tables once."""
        return dispatch(self.tables, self.permits, self._context())

    def _context(self) -> DispatchContext:
        now_ms = self.clock.now_ms()
        return DispatchContext(
            state=self.replayed_state.state,
            may_act=lambda team: self.authority.may_act(self.replayed_state.state, team, now_ms),
            routing=self.routing,
            rng=self.rng,
            now_ms=now_ms,
        )

    def _execute(self, action: CallAction, nursery: trio.Nursery) -> None:
        if isinstance(action, StartCall):
            nursery.start_soon(self._attempt, action.call, action.endpoint)
            return
        pending = self.pending_calls.get(action.call.id)
        if pending is not None:
            pending.resolve(_refusal(action.call, action.reason, action.detail, Verdict.NOT_RUN))

    # Attempts

    async def _attempt(self, call: CallRow, row: EndpointRow) -> None:
        pending = self.pending_calls.get(call.id)
        if pending is None:
            self._discard_unsent(call, row)
            return
        request = pending.request
        try:
            if request.idempotency_key:
                await self.records.start(request, row.id)
        except RefusedError as exc:
            self._discard_unsent(call, row)
            pending.resolve(
                RefusedError(
                    exc.reason,
                    exc.detail,
                    verdict=_verdict_of_all(call, exc.verdict),
                    retry_after_ms=exc.retry_after_ms,
                )
            )
            return
        group = AttemptGroup(attempts=[self._new_attempt(call, row)])
        left_ms = max(1, call.deadline_ms - self.clock.now_ms())
        with trio.move_on_after(seconds(left_ms)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._exchange, group, group.attempts[0], call, request)
                nursery.start_soon(self._hedge_after_delay, nursery, group, call, request)
                await group.done.wait()
                nursery.cancel_scope.cancel()
        await self._finish_attempts(group, call, pending)

    def _new_attempt(self, call: CallRow, row: EndpointRow) -> Attempt:
        self._add_history(call, f"attempt {call.attempts} sent to {row.id}")
        return Attempt(row=row, number=call.attempts, started_ms=self.clock.now_ms())

    async def _exchange(
        self, group: AttemptGroup, attempt: Attempt, call: CallRow, request: CallRequest
    ) -> None:
        left_ms = max(1, call.deadline_ms - self.clock.now_ms())
        try:
            reply = await self._client(attempt.row).send(
                service=call.service,
                request_id=f"{call.id}.{attempt.number}",
                team=call.team,
                content_type=request.content_type,
                body=request.body,
                deadline_ms=left_ms,
                io_timeout_ms=left_ms,
                max_answer_bytes=self.max_answer_bytes,
            )
            attempt.reply = evolve(reply, endpoint=attempt.row.id)
        except AttemptError as exc:
            attempt.failure = exc.failure
        group.update_done()

    async def _hedge_after_delay(
        self, nursery: trio.Nursery, group: AttemptGroup, call: CallRow, request: CallRequest
    ) -> None:
        """Mark a silent attempt, so that other calls avoid its endpoint; hedge idempotent calls."""
        left_ms = max(1, call.deadline_ms - self.clock.now_ms())
        await trio.sleep(seconds(hedge_delay_ms(self.tables, call.service, left_ms)))
        group.attempts[0].mark_overdue()
        if call.idempotent:
            await self._send_hedge(nursery, group, call, request)

    async def _send_hedge(
        self, nursery: trio.Nursery, group: AttemptGroup, call: CallRow, request: CallRequest
    ) -> None:
        """Send the call to a second endpoint as soon as one is available.

        The first attempt continues: a service that has only become slow still responds.
        """
        while (
            row := acquire_hedge_endpoint(self.tables, self.permits, self._context(), call)
        ) is None:
            await trio.sleep(seconds(HEDGE_RETRY_INTERVAL_MS))
        self.metrics.retried("call", Reason.CONNECTION_SILENT)
        attempt = self._new_attempt(call, row)
        group.attempts.append(attempt)
        nursery.start_soon(self._exchange, group, attempt, call, request)

    async def _finish_attempts(
        self, group: AttemptGroup, call: CallRow, pending: PendingCall
    ) -> None:
        """Release what the attempts hold, then return the response or retry."""
        answered_attempt = group.answered_attempt()
        for attempt in group.attempts:
            attempt.clear_overdue()
            if attempt is not answered_attempt:
                await self._on_attempt_failed(attempt, call)
            self._release(call, attempt.row, linger=attempt.may_be_running())
        if answered_attempt is not None:
            await self._on_call_answered(call, answered_attempt, pending)
        else:
            await self._on_call_failed(call, group.combined_failure(), pending)
        self.wake()

    async def _on_attempt_failed(self, attempt: Attempt, call: CallRow) -> None:
        row, failure = attempt.row, attempt.failure
        failure_reason = failure.reason if failure else Reason.CONNECTION_SILENT
        detail = failure.detail if failure else "no answer yet"
        self._add_history(
            call, f"attempt {attempt.number} on {row.id} failed: {failure_reason.value}, {detail}"
        )
        if failure_reason is Reason.ENDPOINT_BUSY:
            return
        if failure_reason is Reason.CONNECTION_LOST:
            call.connections_lost += 1
            log.bind(
                request=call.id, endpoint=row.id, lost=call.connections_lost, attempts=call.attempts
            ).warning("connection lost while the endpoint had the call: {}", detail)
        if record_failure(self.tables, row, self.clock.now_ms()):
            self.metrics.event("endpoint_ejected")
            log.warning("endpoint {} ejected until its probation, last failure: {}", row.id, detail)
        if failure_reason is Reason.CONNECTION_SILENT:
            await self._client(row).drop_connections()

    def _client(self, row: EndpointRow) -> EndpointClient:
        client = self.clients.get(row.id)
        if client is None or client.address != row.address:
            client = self.new_client(address=row.address, connections=row.connections)
            self.clients[row.id] = client
        return client

    async def _on_call_answered(
        self, call: CallRow, answered_attempt: Attempt, pending: PendingCall
    ) -> None:
        assert answered_attempt.reply is not None
        latency_ms = self.clock.now_ms() - answered_attempt.started_ms
        record_success(answered_attempt.row, latency_ms)
        record_latency(self.tables, call.service, latency_ms)
        team = self.replayed_state.state.table.teams.get(call.team)
        earn_retry(self.tables, call, team.retry_percent if team else 0.0)
        self.tables.calls.pop(call.id, None)
        self._add_history(
            call, f"ran on {answered_attempt.row.id} with status {answered_attempt.reply.status}"
        )
        if pending.request.idempotency_key:
            await self.records.finish(pending.request, answered_attempt.reply)
        pending.resolve(answered_attempt.reply)

    async def _on_call_failed(
        self, call: CallRow, failure: FailedAttempt, pending: PendingCall
    ) -> None:
        not_run = failure.verdict is Verdict.NOT_RUN
        call.may_have_run = call.may_have_run or not not_run
        if pending.request.idempotency_key and not call.may_have_run:
            await self.records.withdraw(pending.request)
        now_ms = self.clock.now_ms()
        refusal_reason = retry_refusal(self.tables, call, failure, now_ms)
        if refusal_reason is None:
            self.metrics.retried("call", failure.reason)
            call.not_before_ms = now_ms + backoff_ms(call.attempts)
            self.tables.requeue(call)
            return
        self.tables.calls.pop(call.id, None)
        pending.resolve(_refusal(call, refusal_reason, failure.detail, failure.verdict))

    def _release(self, call: CallRow, row: EndpointRow, *, linger: bool) -> None:
        """Release the permit and credit, after the deadline if the attempt may still be running."""
        self.tables.adjust_running(call.team, -1)
        if linger:
            release_ms = call.deadline_ms + LINGER_MS
            self.tables.abandoned_attempts.append(
                AbandonedAttempt(team=call.team, endpoint=row.id, release_ms=release_ms)
            )
            return
        row.running -= 1
        self.permits.release(call.team)

    def _discard_unsent(self, call: CallRow, row: EndpointRow) -> None:
        """Drop a call of which nothing was sent."""
        self.tables.calls.pop(call.id, None)
        self._release(call, row, linger=False)
        self.wake()

    def _add_history(self, call: CallRow, line: str) -> None:
        self.history.add(call.id, self.clock.wall_ms(), line)

    # Shutdown

    async def drain(self) -> None:
        """Refuse new calls, and return once every call in flight has its outcome."""
        self.stopping = True
        while self.pending_calls or self.tables.calls:
            await trio.sleep(seconds(CALL_TICK_MS))

    async def close(self) -> None:
        """Close the connections to endpoints."""
        for client in self.clients.values():
            await client.close()
