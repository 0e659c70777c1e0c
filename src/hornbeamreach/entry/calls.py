"""Serving calls: from a caller's request to an endpoint's whole answer."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio
from attrs import define, evolve, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.attempts import Attempt, Race
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
from hornbeamreach.tables.calls import CallRow, CallTables, EndpointRow, LingeringCall
from hornbeamreach.tables.declared import URGENT
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("calls")

CALL_TICK_MS = 20
IDLE_TICK_MS = 250
# An attempt that nobody waits for may run on until its deadline and this much longer.
LINGER_MS = 1_000
RETRY_AFTER_MS = 1_000
# How often a waiting call looks for a second endpoint that is free.
HEDGE_RETRY_MS = 100


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


def _refusal(call: CallRow, reason: Reason, detail: str, verdict: Verdict) -> RefusedError:
    """Build a refusal that is true of every attempt of the call."""
    if call.may_have_run and verdict is Verdict.NOT_RUN:
        verdict = Verdict.MAY_HAVE_RUN
    return RefusedError(reason, detail, verdict=verdict)


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
                with trio.move_on_after(seconds(self._tick_ms())):
                    await self.work.wait()
                self.work = trio.Event()
                for action in self.tick():
                    self._carry_out(action, nursery)

    def _tick_ms(self) -> int:
        """Return how long to wait for an event; without calls only endpoints age."""
        return CALL_TICK_MS if self.tables.calls or self.tables.lingering else IDLE_TICK_MS

    def tick(self) -> list[CallAction]:
        """Run the systems over the tables once."""
        return dispatch(self.tables, self.permits, self._context())

    def _context(self) -> DispatchContext:
        now_ms = self.clock.now_ms()
        return DispatchContext(
            state=self.view.state,
            may_act=lambda team: self.authority.may_act(self.view.state, team, now_ms),
            routing=self.routing,
            rng=self.rng,
            now_ms=now_ms,
        )

    def _carry_out(self, action: CallAction, nursery: trio.Nursery) -> None:
        if isinstance(action, StartCall):
            nursery.start_soon(self._attempt, action.call, action.endpoint)
            return
        waiter = self.waiters.get(action.call.id)
        if waiter is not None:
            waiter.settle(_refusal(action.call, action.reason, action.detail, Verdict.NOT_RUN))

    # Attempts

    async def _attempt(self, call: CallRow, row: EndpointRow) -> None:
        waiter = self.waiters.get(call.id)
        if waiter is None:
            self._abandon(call, row)
            return
        request = waiter.request
        try:
            if request.idempotency_key:
                await self.records.start(request, row.id)
        except RefusedError as exc:
            self._abandon(call, row)
            waiter.settle(exc)
            return
        race = Race(attempts=[self._new_attempt(call, row)])
        left_ms = max(1, call.deadline_ms - self.clock.now_ms())
        with trio.move_on_after(seconds(left_ms)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._exchange, race, race.attempts[0], call, request)
                nursery.start_soon(self._watch_silence, nursery, race, call, request)
                await race.done.wait()
                nursery.cancel_scope.cancel()
        await self._settle(race, call, waiter)

    def _new_attempt(self, call: CallRow, row: EndpointRow) -> Attempt:
        self._note(call, f"attempt {call.attempts} sent to {row.id}")
        return Attempt(row=row, number=call.attempts, started_ms=self.clock.now_ms())

    async def _exchange(
        self, race: Race, attempt: Attempt, call: CallRow, request: CallRequest
    ) -> None:
        left_ms = max(1, call.deadline_ms - self.clock.now_ms())
        try:
            answer = await self._client(attempt.row).send(
                service=call.service,
                request_id=f"{call.id}.{attempt.number}",
                team=call.team,
                content_type=request.content_type,
                body=request.body,
                deadline_ms=left_ms,
                silent_ms=left_ms,
                max_answer_bytes=self.max_answer_bytes,
            )
            attempt.answer = evolve(answer, endpoint=attempt.row.id)
        except AttemptError as exc:
            attempt.failed = exc.failed
        race.check()

    async def _watch_silence(
        self, nursery: trio.Nursery, race: Race, call: CallRow, request: CallRequest
    ) -> None:
        """Let others avoid an endpoint that stays silent, and hedge an idempotent call."""
        left_ms = max(1, call.deadline_ms - self.clock.now_ms())
        await trio.sleep(seconds(hedge_delay_ms(self.tables, call.service, left_ms)))
        race.attempts[0].mark_overdue()
        if call.idempotent:
            await self._hedge(nursery, race, call, request)

    async def _hedge(
        self, nursery: trio.Nursery, race: Race, call: CallRow, request: CallRequest
    ) -> None:
        """Send the call to a second endpoint, as soon as one may be used for it.

        The first attempt goes on: a service that has only become slow still answers.
        """
        while (
            row := acquire_hedge_endpoint(self.tables, self.permits, self._context(), call)
        ) is None:
            await trio.sleep(seconds(HEDGE_RETRY_MS))
        self.metrics.retried("call", Reason.CONNECTION_SILENT)
        attempt = self._new_attempt(call, row)
        race.attempts.append(attempt)
        nursery.start_soon(self._exchange, race, attempt, call, request)

    async def _settle(self, race: Race, call: CallRow, waiter: Waiter) -> None:
        """Give back what the attempts held, and answer or retry."""
        winner = race.winner()
        for attempt in race.attempts:
            attempt.clear_overdue()
            if attempt is not winner:
                await self._learn_failure(attempt, call)
            self._release(call, attempt.row, linger=attempt.may_be_running())
        if winner is not None:
            await self._on_answered(call, winner, waiter)
        else:
            await self._on_failed(call, race.failure(), waiter)
        self.wake()

    async def _learn_failure(self, attempt: Attempt, call: CallRow) -> None:
        row, failed = attempt.row, attempt.failed
        why = failed.reason if failed else Reason.CONNECTION_SILENT
        detail = failed.detail if failed else "no answer yet"
        self._note(call, f"attempt {attempt.number} on {row.id} failed: {why.value}, {detail}")
        if why is Reason.ENDPOINT_BUSY:
            return
        if record_failure(self.tables, row, self.clock.now_ms()):
            self.metrics.event("endpoint_ejected")
            log.warning("ejected endpoint {}: {}", row.id, detail)
        if why is Reason.CONNECTION_SILENT:
            await self._client(row).drop_connections()

    def _client(self, row: EndpointRow) -> EndpointClient:
        client = self.clients.get(row.id)
        if client is None or client.address != row.address:
            client = self.new_client(address=row.address, connections=row.connections)
            self.clients[row.id] = client
        return client

    async def _on_answered(self, call: CallRow, winner: Attempt, waiter: Waiter) -> None:
        assert winner.answer is not None
        latency_ms = self.clock.now_ms() - winner.started_ms
        record_success(winner.row, latency_ms)
        record_latency(self.tables, call.service, latency_ms)
        team = self.view.state.table.teams.get(call.team)
        earn_retry(self.tables, call, team.retry_percent if team else 0.0)
        self.tables.calls.pop(call.id, None)
        self._note(call, f"ran on {winner.row.id} with status {winner.answer.status}")
        if waiter.request.idempotency_key:
            await self.records.finish(waiter.request, winner.answer)
        waiter.settle(winner.answer)

    async def _on_failed(self, call: CallRow, failed: FailedAttempt, waiter: Waiter) -> None:
        not_run = failed.verdict is Verdict.NOT_RUN
        call.may_have_run = call.may_have_run or not not_run
        if waiter.request.idempotency_key and not_run:
            await self.records.withdraw(waiter.request)
        now_ms = self.clock.now_ms()
        against = retry_refusal(self.tables, call, failed, now_ms)
        if against is None:
            self.metrics.retried("call", failed.reason)
            call.not_before_ms = now_ms + backoff_ms(call.attempts)
            self.tables.requeue(call)
            return
        self.tables.calls.pop(call.id, None)
        waiter.settle(_refusal(call, against, failed.detail, failed.verdict))

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

    def _abandon(self, call: CallRow, row: EndpointRow) -> None:
        """Forget a call of which nothing was sent."""
        self.tables.calls.pop(call.id, None)
        self._release(call, row, linger=False)
        self.wake()

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
