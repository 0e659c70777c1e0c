"""Carrying the leader's orders to minions, on the replicas that do not lead."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import FencedError, MinionPort, NoAnswerError, OtherLifeError
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
from hornbeamreach.tables.minions import MinionReport

log = part_logger("relay")

# Results of this span go back in one message: a tenth of what the leader itself waits for.
GATHER_MS = 3
# A leader that lets more calls wait at one replica has lost sight of it.
MAX_CALLS = 4_096


def _addressed(call: RelayedStart | RelayedLook) -> MinionReport:
    """Describe a minion as far as a call needs it."""
    return MinionReport(
        minion=call.minion,
        address=call.address,
        born_ms=0,
        pool="",
        data_center="",
        sequence=0,
    )


@define(kw_only=True, eq=False)
class OrderRelay:
    """Carry out the calls of whichever replica leads.

    An order that comes late does no harm: the leader has raised the fencing token by then.
    """

    port: MinionPort
    link: Link
    handlers: HandlerTable
    metrics: Metrics
    nursery: trio.Nursery | None = field(default=None, init=False)
    calls: dict[tuple[str, int], trio.CancelScope] = field(factory=dict, init=False)
    results: dict[str, list[RelayResult]] = field(factory=dict, init=False)
    wake: trio.Event = field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        self.handlers.on(RelayBatch, self.on_batch)

    async def on_batch(self, batch: RelayBatch) -> None:
        """Begin the calls of a batch."""
        for number in batch.given_up:
            scope = self.calls.get((batch.source, number))
            if scope is not None:
                scope.cancel()
        if self.nursery is None or len(self.calls) > MAX_CALLS:
            log.bind(source=batch.source, calls=len(self.calls)).warning("calls not carried out")
            self.metrics.event("relay_overrun")
            return
        for start in batch.starts:
            self.nursery.start_soon(self._carry_out, batch.source, start, self._start)
        for look in batch.looks:
            self.nursery.start_soon(self._carry_out, batch.source, look, self._look)

    async def run(self) -> None:
        """Carry out calls and return their results until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await self.wake.wait()
                await trio.sleep(seconds(GATHER_MS))
                self.wake = trio.Event()
                gathered, self.results = self.results, {}
                for address, results in gathered.items():
                    self.link.notify(address, RelayResults(results=results))

    async def _carry_out(
        self,
        source: str,
        call: RelayedStart | RelayedLook,
        send: Callable[..., Awaitable[RelayResult]],
    ) -> None:
        name = (source, call.number)
        with trio.CancelScope() as scope:
            self.calls[name] = scope
            try:
                result = await send(call)
            except NoAnswerError as exc:
                result = _failed(call, RelayOutcome.NO_ANSWER, exc)
            except FencedError as exc:
                result = _failed(call, RelayOutcome.FENCED, exc)
            except OtherLifeError as exc:
                result = _failed(call, RelayOutcome.OTHER_LIFE, exc)
            finally:
                del self.calls[name]
            self.results.setdefault(source, []).append(result)
            self.wake.set()

    async def _start(self, call: RelayedStart) -> RelayResult:
        reply = await self.port.start(_addressed(call), call.order)
        return RelayResult(number=call.number, outcome=RelayOutcome.ANSWERED, start=reply)

    async def _look(self, call: RelayedLook) -> RelayResult:
        look = await self.port.look(
            _addressed(call),
            token=call.token,
            recorded_end=call.recorded_end,
            lease_until_ms=call.lease_until_ms,
            wait_ms=call.wait_ms,
        )
        return RelayResult(number=call.number, outcome=RelayOutcome.ANSWERED, look=look)


def _failed(
    call: RelayedStart | RelayedLook, outcome: RelayOutcome, error: Exception
) -> RelayResult:
    return RelayResult(number=call.number, outcome=outcome, detail=str(error))
