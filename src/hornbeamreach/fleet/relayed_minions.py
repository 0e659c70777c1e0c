"""The scheduler's port to minions, which shares the calls out among the other replicas."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.fleet.ports import (
    FencedError,
    Look,
    MinionPort,
    NoAnswerError,
    OtherLifeError,
    StartAnswer,
    StartOrder,
    StartReply,
)
from hornbeamreach.fleet.relay_messages import (
    RelayBatch,
    RelayedLook,
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

# Calls of this span go to a follower in one message.
GATHER_MS = 2
# Time for a relayed call beyond the minion's own: two messages between replicas, and a batch
# that waits its turn on a busy processor.
RELAY_MS = 400
# Far above the calls of a process's life, and whole in CBOR with all that follow.
FIRST_NUMBER_BITS = 60


@define(kw_only=True)
class WaitingCall:
    """Wait for the result of one relayed call."""

    done: trio.Event = field(factory=trio.Event)
    result: RelayResult | None = None


@define(kw_only=True, eq=False)
class RelayedMinions:
    """Send starts and looks through followers that answer, and the rest directly.

    A call whose follower falls silent counts as unanswered, like one whose minion does.
    """

    port: MinionPort
    link: Link
    handlers: HandlerTable
    address: str
    clock: Clock
    metrics: Metrics
    # Time that the port itself gives a minion's answer.
    answer_ms: int
    followers: Callable[[], list[Follower]]
    rng: random.Random
    direct_minions: int = MAX_DIRECT_MINIONS
    rests: RelayBackoff = field(factory=RelayBackoff, init=False)
    numbers: itertools.count = field(init=False)
    waiting: dict[int, WaitingCall] = field(factory=dict, init=False)
    batches: dict[str, RelayBatch] = field(factory=dict, init=False)
    # When each minion was called last, to tell how many there are.
    called_ms: dict[str, int] = field(factory=dict, init=False)
    wake: trio.Event = field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        # A result for an earlier process at this address must not match a call of this one.
        self.numbers = itertools.count(self.rng.getrandbits(FIRST_NUMBER_BITS))
        self.handlers.on(RelayResults, self.on_results)

    async def on_results(self, message: RelayResults) -> None:
        """Hand results to the calls that wait for them."""
        for result in message.results:
            call = self.waiting.get(result.number)
            if call is not None:
                call.result = result
                call.done.set()

    async def run(self) -> None:
        """Send what was gathered until cancelled."""
        while True:
            await self.wake.wait()
            await trio.sleep(seconds(GATHER_MS))
            self.wake = trio.Event()
            gathered, self.batches = self.batches, {}
            for address, batch in gathered.items():
                self.link.notify(address, batch)

    # Port

    async def look(
        self,
        report: MinionReport,
        *,
        token: int,
        recorded_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> Look:
        """Return a minion's lists, after an end or `wait_ms`."""
        relay = self._relay_for(report.minion)
        if relay is None:
            return await self.port.look(
                report,
                token=token,
                recorded_end=recorded_end,
                lease_until_ms=lease_until_ms,
                wait_ms=wait_ms,
            )
        call = RelayedLook(
            number=next(self.numbers),
            minion=report.minion,
            address=report.address,
            token=token,
            recorded_end=recorded_end,
            lease_until_ms=lease_until_ms,
            wait_ms=wait_ms,
        )
        self._batch(relay).looks.append(call)
        result = await self._result_of(relay, call, wait_ms)
        if result.look is None:
            raise NoAnswerError("the replica returned no lists")
        return result.look

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        """Start a run."""
        relay = self._relay_for(report.minion)
        if relay is None:
            return await self.port.start(report, order)
        call = RelayedStart(
            number=next(self.numbers), minion=report.minion, address=report.address, order=order
        )
        self._batch(relay).starts.append(call)
        try:
            result = await self._result_of(relay, call, 0)
        except OtherLifeError:
            return StartReply(answer=StartAnswer.OTHER_LIFE)
        if result.start is None:
            raise NoAnswerError("the replica returned no answer")
        return result.start

    async def stop(self, report: MinionReport, *, task: str, run: int, token: int) -> None:
        """Stop a run, now or whenever its start arrives."""
        await self.port.stop(report, task=task, run=run, token=token)

    async def pace(
        self, report: MinionReport, *, task: str, run: int, percent: int, token: int
    ) -> None:
        """Let a run work at a share of its speed."""
        await self.port.pace(report, task=task, run=run, percent=percent, token=token)

    def forget(self, minion: str) -> None:
        """Close the connections to a minion that is gone."""
        self.called_ms.pop(minion, None)
        self.port.forget(minion)

    # Relaying

    def _relay_for(self, minion: str) -> str | None:
        now_ms = self.clock.now_ms()
        self.called_ms[minion] = now_ms
        return choose_relay(
            minion,
            self.followers(),
            self.rests,
            minions=len(self.called_ms),
            now_ms=now_ms,
            max_direct_minions=self.direct_minions,
        )

    def _batch(self, relay: str) -> RelayBatch:
        self.wake.set()
        return self.batches.setdefault(relay, RelayBatch(source=self.address))

    async def _result_of(
        self, relay: str, call: RelayedStart | RelayedLook, wait_ms: int
    ) -> RelayResult:
        waiting = self.waiting[call.number] = WaitingCall()
        try:
            with trio.move_on_after(seconds(wait_ms + self.answer_ms + RELAY_MS)):
                await waiting.done.wait()
        finally:
            del self.waiting[call.number]
            if waiting.result is None:
                self._batch(relay).given_up.append(call.number)
        result = waiting.result
        if result is None:
            self._rest(relay, call.minion, "relay_silent")
            raise NoAnswerError(f"no result through {relay}")
        if result.outcome is RelayOutcome.NO_ANSWER:
            self._rest(None, call.minion, "relay_unanswered")
            raise NoAnswerError(result.detail)
        if result.outcome is RelayOutcome.FENCED:
            raise FencedError(result.detail)
        if result.outcome is RelayOutcome.OTHER_LIFE:
            raise OtherLifeError(result.detail)
        return result

    def _rest(self, relay: str | None, minion: str, event: str) -> None:
        now_ms = self.clock.now_ms()
        self.metrics.event(event)
        self.rests.back_off(minion, now_ms)
        if relay is not None:
            if not self.rests.is_backing_off(relay, now_ms):
                log.bind(replica=relay, minion=minion).warning(
                    "replica returned no result in time, orders go around it"
                )
            self.rests.back_off(relay, now_ms)
