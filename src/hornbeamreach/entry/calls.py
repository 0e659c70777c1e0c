"""Serving calls: from a caller's request to an endpoint's whole answer."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio
from attrs import define, evolve, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.authority import Authority
from hornbeamreach.entry.call_records import CallRecords
from hornbeamreach.entry.endpoint_client import AttemptError, EndpointClient
from hornbeamreach.entry.history import History
from hornbeamreach.entry.view import ControlView
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.link.messages import CallAnswer
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.dispatch import (
    CallAction,
    DispatchContext,
    StartCall,
    dispatch,
)
from hornbeamreach.systems.endpoint_health import record_failure, record_success
from hornbeamreach.systems.patience import learn_latency, patience_ms
from hornbeamreach.systems.retries import FailedAttempt, backoff_ms, earn_retry, may_retry
from hornbeamreach.systems.routing import Routing
from hornbeamreach.tables.calls import CallRow, CallTables, EndpointRow, LingeringCall
from hornbeamreach.tables.declared import URGENT
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("calls")

CALL_TICK_MS = 20
# An attempt that nobody waits for may run on until its deadline and this much longer.
LINGER_MS = 1_000
RETRY_AFTER_MS = 1_000


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
class Waiter:
    """Hold what a waiting caller will be told."""

    request: CallRequest
    done: trio.Event = field(factory=trio.Event)
    answer: CallAnswer | None = None
    refusal: RefusedError | None = None

    def settle(self, outcome: CallAnswer | RefusedError) -> None:
        """Tell the caller; the first outcome stands."""
        if self.done.is_set():
            return
        if isinstance(outcome, RefusedError):
            self.refusal = outcome
        else:
            self.answer = outcome
        self.done.set()


class CallService:
    """Queue calls, run the dispatch and carry out its actions."""

    def __init__(
        self,
        *,
        tables: CallTables,
        permits: PermitTable,
        view: ControlView,
        authority: Authority,
        records: CallRecords,
        routing: Routing,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        history: History,
        max_answer_bytes: int,
        new_client: Callable[..., EndpointClient] = EndpointClient,
    ) -> None:
        self.tables = tables
        self.permits = permits
        self.view = view
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
        self.waiters: dict[str, Waiter] = {}
        self.work = trio.Event()
        self.stopping = False

    # Callers

    async def call(self, request: CallRequest) -> CallAnswer:
        """Serve one call, or raise RefusedError with a true verdict."""
        if self.stopping:
            detail = "this entry VM is shutting down"
            raise RefusedError(Reason.SHUTTING_DOWN, detail, retry_after_ms=RETRY_AFTER_MS)
        service = self.view.state.table.services.get(request.service)
        if service is None:
            raise RefusedError(Reason.UNKNOWN_SERVICE, f"no service {request.service!r}")
        if request.idempotency_key:
            replayed = await self.records.replay(request)
            if replayed is not None:
                return replayed
        if self.tables.queued_count(request.service) >= service.max_queued:
            detail = f"{service.max_queued} calls wait for {request.service} already"
            raise RefusedError(Reason.QUEUE_FULL, detail, retry_after_ms=RETRY_AFTER_MS)
        call = self._new_row(request, service.priority == URGENT, service.idempotent)
        return await self._wait(call, request)

    def _new_row(self, request: CallRequest, urgent: bool, idempotent: bool) -> CallRow:
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

    async def _wait(self, call: CallRow, request: CallRequest) -> CallAnswer:
        waiter = Waiter(request=request)
        self.waiters[call.id] = waiter
        self.tables.enqueue(call)
        self.wake()
        try:
            await waiter.done.wait()
        finally:
            self.waiters.pop(call.id, None)
            if call.id in self.tables.calls and not call.running:
                # The caller hung up before the call started.
                self.tables.drop(call.id)
        if waiter.refusal is not None:
            raise waiter.refusal
        assert waiter.answer is not None
        return waiter.answer

    def wake(self) -> None:
        """Run the dispatch soon."""
        self.work.set()

    # Dispatch

    async def run(self) -> None:
        """Run the dispatch at every event, and at least each tick, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(seconds(CALL_TICK_MS)):
                    await self.work.wait()
                self.work = trio.Event()
                for action in self.tick():
                    self._carry_out(action, nursery)

    def tick(self) -> list[CallAction]:
        """Run the systems over the tables once."""
        now_ms = self.clock.now_ms()
        context = DispatchContext(
            state=self.view.state,
            may_act=lambda team: self.authority.may_act(self.view.state, team, now_ms),
            routing=self.routing,
            rng=self.rng,
            now_ms=now_ms,
        )
        return dispatch(self.tables, self.permits, context)

    def _carry_out(self, action: CallAction, nursery: trio.Nursery) -> None:
        if isinstance(action, StartCall):
            nursery.start_soon(self._attempt, action.call, action.endpoint)
            return
        waiter = self.waiters.get(action.call.id)
        if waiter is not None:
            refusal = RefusedError(action.reason, action.detail, verdict=Verdict.NOT_RUN)
            waiter.settle(refusal)

    # Attempts

    async def _attempt(self, call: CallRow, row: EndpointRow) -> None:
        waiter = self.waiters.get(call.id)
        if waiter is None:
            self._finish(call, row, linger=False)
            return
        request = waiter.request
        try:
            if request.idempotency_key:
                await self.records.start(request, row.id)
        except RefusedError as exc:
            self._finish(call, row, linger=False)
            waiter.settle(exc)
            return
        self._note(call, f"attempt {call.attempts} sent to {row.id}")
        try:
            answer = await self._send(call, row, request)
        except AttemptError as exc:
            await self._on_failed(call, row, waiter, exc.failed)
        else:
            await self._on_answered(call, row, waiter, evolve(answer, endpoint=row.id))

    async def _send(self, call: CallRow, row: EndpointRow, request: CallRequest) -> CallAnswer:
        left_ms = max(1, call.deadline_ms - self.clock.now_ms())
        silent_ms = left_ms
        if call.idempotent:
            silent_ms = patience_ms(self.tables, call.service, left_ms)
        with trio.move_on_after(seconds(left_ms)):
            return await self._client(row).send(
                service=call.service,
                request_id=f"{call.id}.{call.attempts}",
                team=call.team,
                content_type=request.content_type,
                body=request.body,
                deadline_ms=left_ms,
                silent_ms=silent_ms,
                max_answer_bytes=self.max_answer_bytes,
            )
        raise AttemptError(
            FailedAttempt(
                reason=Reason.DEADLINE_PASSED,
                verdict=Verdict.MAY_HAVE_RUN,
                detail=f"{row.id} did not finish its answer before the deadline",
            )
        )

    def _client(self, row: EndpointRow) -> EndpointClient:
        client = self.clients.get(row.id)
        if client is None or client.address != row.address:
            client = self.new_client(address=row.address, connections=row.connections)
            self.clients[row.id] = client
        return client

    async def _on_answered(
        self, call: CallRow, row: EndpointRow, waiter: Waiter, answer: CallAnswer
    ) -> None:
        latency_ms = self.clock.now_ms() - call.started_ms
        record_success(row, latency_ms)
        learn_latency(self.tables, call.service, latency_ms)
        team = self.view.state.table.teams.get(call.team)
        earn_retry(self.tables, call, team.retry_percent if team else 0.0)
        self._finish(call, row, linger=False)
        self._note(call, f"ran on {row.id} with status {answer.status}")
        if waiter.request.idempotency_key:
            await self.records.finish(waiter.request, answer)
        waiter.settle(answer)

    async def _on_failed(
        self, call: CallRow, row: EndpointRow, waiter: Waiter, failed: FailedAttempt
    ) -> None:
        now_ms = self.clock.now_ms()
        self._note(call, f"attempt on {row.id} failed: {failed.reason.value}, {failed.detail}")
        if failed.reason is not Reason.ENDPOINT_BUSY and record_failure(self.tables, row, now_ms):
            self.metrics.event("endpoint_ejected")
            log.warning("ejected endpoint {}: {}", row.id, failed.detail)
        if failed.reason in (Reason.CONNECTION_SILENT, Reason.DEADLINE_PASSED):
            await self._client(row).drop_connections()
        against = may_retry(self.tables, call, failed, now_ms)
        may_be_running = failed.verdict is Verdict.MAY_HAVE_RUN
        if against is None:
            await self._retry(call, row, waiter, failed, linger=may_be_running)
            return
        self._finish(call, row, linger=may_be_running)
        if waiter.request.idempotency_key and failed.verdict is Verdict.NOT_RUN:
            await self.records.withdraw(waiter.request)
        waiter.settle(RefusedError(against, failed.detail, verdict=failed.verdict))

    async def _retry(
        self,
        call: CallRow,
        row: EndpointRow,
        waiter: Waiter,
        failed: FailedAttempt,
        *,
        linger: bool,
    ) -> None:
        self.metrics.retried("call", failed.reason)
        if waiter.request.idempotency_key:
            await self.records.withdraw(waiter.request)
        self._release(call, row, linger=linger)
        call.not_before_ms = self.clock.now_ms() + backoff_ms(call.attempts)
        self.tables.requeue(call)
        self.wake()

    def _finish(self, call: CallRow, row: EndpointRow, *, linger: bool) -> None:
        self.tables.calls.pop(call.id, None)
        self._release(call, row, linger=linger)
        self.wake()

    def _release(self, call: CallRow, row: EndpointRow, *, linger: bool) -> None:
        """Give permit and credit back, unless the attempt may still be running."""
        self.tables.count_running(call.team, -1)
        if linger:
            release_ms = call.deadline_ms + LINGER_MS
            self.tables.lingering.append(
                LingeringCall(team=call.team, endpoint=row.id, release_ms=release_ms)
            )
            return
        row.running -= 1
        self.permits.release(call.team)

    def _note(self, call: CallRow, line: str) -> None:
        self.history.note(call.id, self.clock.wall_ms(), line)

    # Shutdown

    async def drain(self) -> None:
        """Take no more calls, and return once every call in flight has its answer."""
        self.stopping = True
        while self.waiters or self.tables.calls:
            await trio.sleep(seconds(CALL_TICK_MS))

    async def close(self) -> None:
        """Close the connections to endpoints."""
        for client in self.clients.values():
            await client.close()
