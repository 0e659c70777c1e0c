"""The scheduler's port to minions, which spreads the calls over the other replicas."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import attrs
import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.fleet.ports import (
    FencedError,
    MinionPort,
    PollResult,
    StartAnswer,
    StartOrder,
    StartReply,
    UnknownOutcomeError,
    WrongIncarnationError,
)
from hornbeamreach.fleet.relay_messages import (
    RelayBatch,
    RelayedPoll,
    RelayedStart,
    RelayOutcome,
    RelayResult,
    RelayResults,
)
from hornbeamreach.link.interface import HandlerTable, Link
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.relay_choice import (
    MAX_DIRECT_MINIONS,
    Follower,
    RelayBackoff,
    choose_relay,
)
from hornbeamreach.tables.minions import MinionReport

log = part_logger("relay")

# Calls within this span go to a follower in one message.
BATCH_MS = 2
# A start carries its job's payload, so that a message stays within about 1 MiB.
MAX_STARTS = 256
# Added to the minion's response timeout for a relayed call: two messages between replicas, and
# the delay of a batch on a busy processor.
RELAY_TIMEOUT_MS = 400
# One timer ends all relayed calls that are due: a scope for each call costs more than sending it.
# A call ends late by this at most, a twentieth of its time limit.
EXPIRY_INTERVAL_MS = 50
# Range of the random first number: far above the calls of one process, while all the numbers that
# follow stay integers in CBOR.
FIRST_CALL_NUMBER_BITS = 60


@define(kw_only=True)
class PendingCall:
    """Hold a relayed call until its result arrives."""

    # After this the outcome counts as unknown.
    due_ms: int
    done: trio.Event = field(factory=trio.Event)
    result: RelayResult | None = None


@define(kw_only=True, eq=False)
class RelayedMinionPort:
    """Send starts and polls through responsive followers, and everything else directly.

    A call whose follower doesn't respond has an unknown outcome, as if its minion hadn't.
    """

    port: MinionPort
    link: Link
    handlers: HandlerTable
    address: str
    clock: Clock
    metrics: Metrics
    # Time that the wrapped port waits for a minion's response.
    response_timeout_ms: int
    followers: Callable[[], list[Follower]]
    rng: random.Random
    max_direct_minions: int = MAX_DIRECT_MINIONS
    # Returns the span within which the calls, and the results, of a follower share one message.
    batch_pause_ms: Callable[[], int] = lambda: BATCH_MS
    # Returns whether calls are relayed in a fleet of any size.
    relays_all: Callable[[], bool] = lambda: False
    backoff: RelayBackoff = field(factory=RelayBackoff, init=False)
    call_numbers: itertools.count = field(init=False)
    pending: dict[int, PendingCall] = field(factory=dict, init=False)
    batches: dict[str, RelayBatch] = field(factory=dict, init=False)
    # When each minion was last called; its size counts the minions in use.
    last_call_ms: dict[str, int] = field(factory=dict, init=False)
    wake: trio.Event = field(factory=trio.Event, init=False)
    has_pending: trio.Event = field(factory=trio.Event, init=False)
    # The followers, and up to how many minions no call is relayed, as of a time: the calls of a
    # burst share one look at them.
    known_followers: list[Follower] = field(factory=list, init=False)
    direct_limit: int = field(default=0, init=False)
    followers_ms: int = field(default=-1, init=False)

    def __attrs_post_init__(self) -> None:
        # A result for an earlier process at this address must not match a call of this process.
        self.call_numbers = itertools.count(self.rng.getrandbits(FIRST_CALL_NUMBER_BITS))
        self.handlers.on(RelayResults, self.on_results)

    async def on_results(self, message: RelayResults) -> None:
        """Pass results to their pending calls."""
        for result in message.results:
            call = self.pending.get(result.number)
            if call is not None:
                call.result = result
                call.done.set()

    async def run(self) -> None:
        """Send the batched calls, and end those that are due, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_calls)
            await self._send_batches()

    async def _expire_calls(self) -> None:
        while True:
            if not self.pending:
                await self.has_pending.wait()
            self.has_pending = trio.Event()
            await trio.sleep(seconds(EXPIRY_INTERVAL_MS))
            now_ms = self.clock.now_ms()
            for call in self.pending.values():
                if call.due_ms <= now_ms:
                    call.done.set()

    def _send_batch(self, relay: str, batch: RelayBatch) -> None:
        pause_ms = self.batch_pause_ms()
        if pause_ms > BATCH_MS:
            batch = attrs.evolve(batch, results_pause_ms=pause_ms)
        self.link.notify(relay, batch)

    async def _send_batches(self) -> None:
        while True:
            await self.wake.wait()
            pause_ms = max(BATCH_MS, self.batch_pause_ms())
            await trio.sleep(seconds(pause_ms))
            self.wake = trio.Event()
            batches, self.batches = self.batches, {}
            for address, batch in batches.items():
                self._send_batch(address, batch)

    # Port

    async def poll(
        self,
        report: MinionReport,
        *,
        token: int,
        recorded_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> PollResult:
        """Return a minion's lists once a run ends or after `wait_ms`."""
        relay = self._relay_for(report.minion)
        if relay is None:
            return await self.port.poll(
                report,
                token=token,
                recorded_end=recorded_end,
                lease_until_ms=lease_until_ms,
                wait_ms=wait_ms,
            )
        call = RelayedPoll(
            number=next(self.call_numbers),
            minion=report.minion,
            address=report.address,
            token=token,
            recorded_end=recorded_end,
            lease_until_ms=lease_until_ms,
            wait_ms=wait_ms,
        )
        self._batch_for(relay).looks.append(call)
        result = await self._result_of(relay, call, wait_ms)
        if result.look is None:
            raise UnknownOutcomeError("the replica returned no lists")
        return result.look

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        """Start a run."""
        relay = self._relay_for(report.minion)
        if relay is None:
            return await self.port.start(report, order)
        call = RelayedStart(
            number=next(self.call_numbers),
            minion=report.minion,
            address=report.address,
            order=order,
        )
        batch = self._batch_for(relay)
        batch.starts.append(call)
        if len(batch.starts) >= MAX_STARTS:
            self._send_batch(relay, self.batches.pop(relay))
        try:
            result = await self._result_of(relay, call, 0)
        except WrongIncarnationError:
            return StartReply(answer=StartAnswer.WRONG_INCARNATION)
        if result.start is None:
            raise UnknownOutcomeError("the replica returned no reply")
        return result.start

    async def stop(self, report: MinionReport, *, task: str, run: int, token: int) -> None:
        """Stop a run, also one whose start arrives later."""
        await self.port.stop(report, task=task, run=run, token=token)

    async def pace(
        self, report: MinionReport, *, task: str, run: int, percent: int, token: int
    ) -> None:
        """Limit a run to `percent` of its full speed."""
        await self.port.pace(report, task=task, run=run, percent=percent, token=token)

    def forget(self, minion: str) -> None:
        """Close the connections to a minion that is gone."""
        self.last_call_ms.pop(minion, None)
        self.port.forget(minion)

    # Relaying

    def _relay_for(self, minion: str) -> str | None:
        now_ms = self.clock.now_ms()
        self.last_call_ms[minion] = now_ms
        if now_ms != self.followers_ms:
            self.known_followers, self.followers_ms = self.followers(), now_ms
            self.direct_limit = 0 if self.relays_all() else self.max_direct_minions
        return choose_relay(
            minion,
            self.known_followers,
            self.backoff,
            minions=len(self.last_call_ms),
            now_ms=now_ms,
            max_direct_minions=self.direct_limit,
        )

    def _batch_for(self, relay: str) -> RelayBatch:
        self.wake.set()
        return self.batches.setdefault(relay, RelayBatch(source=self.address))

    async def _result_of(
        self, relay: str, call: RelayedStart | RelayedPoll, wait_ms: int
    ) -> RelayResult:
        timeout_ms = wait_ms + self.response_timeout_ms + RELAY_TIMEOUT_MS
        pending_call = PendingCall(due_ms=self.clock.now_ms() + timeout_ms)
        self.pending[call.number] = pending_call
        self.has_pending.set()
        try:
            await pending_call.done.wait()
        finally:
            del self.pending[call.number]
            if pending_call.result is None:
                self._batch_for(relay).given_up.append(call.number)
        result = pending_call.result
        if result is None:
            self._back_off(relay, call.minion, "relay_silent")
            raise UnknownOutcomeError(f"no result through {relay}")
        if result.outcome is RelayOutcome.UNKNOWN_OUTCOME:
            self._back_off(None, call.minion, "relay_unanswered")
            raise UnknownOutcomeError(result.detail, result.delivery)
        if result.outcome is RelayOutcome.FENCED:
            raise FencedError(result.detail)
        if result.outcome is RelayOutcome.WRONG_INCARNATION:
            raise WrongIncarnationError(result.detail)
        return result

    def _back_off(self, relay: str | None, minion: str, event: str) -> None:
        now_ms = self.clock.now_ms()
        self.metrics.event(event)
        self.backoff.back_off(minion, now_ms)
        if relay is not None:
            if not self.backoff.is_backing_off(relay, now_ms):
                log.bind(replica=relay, minion=minion).warning(
                    "replica returned no result in time, orders go around it"
                )
            self.backoff.back_off(relay, now_ms)
