"""Relay of the leader's calls to minions, on replicas that do not lead."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import (
    Delivery,
    FencedError,
    MinionPort,
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
from hornbeamreach.tables.minions import MinionReport

log = part_logger("relay")

SendCall = Callable[..., Awaitable[RelayResult]]

# Results within this span share one message. It is less than a tenth of POLL_PAUSE_MS, by which
# the leader of a fleet that uses relays delays its polls after ended tasks.
BATCH_MS = 3
# Far below the 400 ms that the leader waits for results beyond a minion's response time.
MAX_PAUSE_MS = 100
# More pending calls mean that the leader no longer receives this replica's results.
MAX_CALLS = 4_096
MAX_LOGGED_TASKS = 20
# Of the results in one message; a larger one goes alone.
MAX_RESULTS_BYTES = 1024 * 1024
# What a result, or a row in its lists, takes besides its texts.
ROW_BYTES = 64


def _target_report(call: RelayedStart | RelayedPoll) -> MinionReport:
    """Build a minion report with only the fields that a call needs."""
    return MinionReport(
        minion=call.minion,
        address=call.address,
        born_ms=0,
        pool="",
        data_center="",
        sequence=0,
    )


def split_results(results: list[RelayResult]) -> list[list[RelayResult]]:
    """Split results into parts that take at most MAX_RESULTS_BYTES each, or are one result."""
    parts: list[list[RelayResult]] = []
    left_bytes = 0
    for result in results:
        size = _result_bytes(result)
        if not parts or size > left_bytes:
            parts.append([])
            left_bytes = MAX_RESULTS_BYTES
        parts[-1].append(result)
        left_bytes -= size
    return parts


def _result_bytes(result: RelayResult) -> int:
    size = ROW_BYTES + len(result.detail)
    if result.look is not None:
        for row in (*result.look.running, *result.look.ended):
            size += ROW_BYTES + len(row.task) + len(row.checkpoint)
    return size


@define(kw_only=True, eq=False)
class OrderRelay:
    """Make calls to minions for whichever replica leads.

    A late order has no effect, because the leader has raised the fencing token by then.
    """

    port: MinionPort
    link: Link
    handlers: HandlerTable
    metrics: Metrics
    nursery: trio.Nursery | None = field(default=None, init=False)
    calls: dict[tuple[str, int], trio.CancelScope] = field(factory=dict, init=False)
    results: dict[str, list[RelayResult]] = field(factory=dict, init=False)
    # As the latest leader asked for.
    results_pause_ms: int = field(default=BATCH_MS, init=False)
    wake: trio.Event = field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        self.handlers.on(RelayBatch, self.on_batch)

    async def on_batch(self, batch: RelayBatch) -> None:
        """Start the calls of a batch and cancel the abandoned ones."""
        self.results_pause_ms = min(max(batch.results_pause_ms, BATCH_MS), MAX_PAUSE_MS)
        for number in batch.given_up:
            scope = self.calls.get((batch.source, number))
            if scope is not None:
                scope.cancel()
        if self.nursery is None or len(self.calls) > MAX_CALLS:
            tasks = [start.order.task for start in batch.starts][:MAX_LOGGED_TASKS]
            log.bind(source=batch.source, calls=len(self.calls), tasks=tasks).warning(
                "starts and polls of the leader not carried out"
            )
            self.metrics.event("relay_overrun")
            return
        for start in batch.starts:
            # A leader that was suspended sends a call together with its end.
            if start.number not in batch.given_up:
                self._begin_call(batch.source, start, self._start)
        for poll in batch.looks:
            self._begin_call(batch.source, poll, self._poll)

    async def run(self) -> None:
        """Make calls and send their results back until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await self.wake.wait()
                await trio.sleep(seconds(self.results_pause_ms))
                self.wake = trio.Event()
                results_by_source, self.results = self.results, {}
                for address, results in results_by_source.items():
                    for part in split_results(results):
                        self.link.notify(address, RelayResults(results=part))

    def _begin_call(self, source: str, call: RelayedStart | RelayedPoll, send: SendCall) -> None:
        # A process that was suspended receives a call together with the message that abandons it.
        scope = self.calls[source, call.number] = trio.CancelScope()
        assert self.nursery is not None
        self.nursery.start_soon(self._run_call, source, call, send, scope)

    async def _run_call(
        self,
        source: str,
        call: RelayedStart | RelayedPoll,
        send: SendCall,
        scope: trio.CancelScope,
    ) -> None:
        call_key = (source, call.number)
        with scope:
            try:
                result = await send(call)
            except UnknownOutcomeError as exc:
                result = _failed_result(call, RelayOutcome.UNKNOWN_OUTCOME, exc)
            except FencedError as exc:
                result = _failed_result(call, RelayOutcome.FENCED, exc)
            except WrongIncarnationError as exc:
                result = _failed_result(call, RelayOutcome.WRONG_INCARNATION, exc)
            except Exception as exc:
                # The leader sends the call again through the next follower: it must not end
                # each of them.
                log.bind(source=source, minion=call.minion, call=type(call).__name__).error(
                    "call not carried out, unexpected error: {!r}", exc
                )
                self.metrics.event("relay_failed")
                result = _failed_result(call, RelayOutcome.UNKNOWN_OUTCOME, exc)
            finally:
                if self.calls.get(call_key) is scope:
                    del self.calls[call_key]
            self.results.setdefault(source, []).append(result)
            self.wake.set()

    async def _start(self, call: RelayedStart) -> RelayResult:
        reply = await self.port.start(_target_report(call), call.order)
        return RelayResult(number=call.number, outcome=RelayOutcome.ANSWERED, start=reply)

    async def _poll(self, call: RelayedPoll) -> RelayResult:
        result = await self.port.poll(
            _target_report(call),
            token=call.token,
            recorded_end=call.recorded_end,
            lease_until_ms=call.lease_until_ms,
            wait_ms=call.wait_ms,
        )
        return RelayResult(number=call.number, outcome=RelayOutcome.ANSWERED, look=result)


def _failed_result(
    call: RelayedStart | RelayedPoll, outcome: RelayOutcome, error: Exception
) -> RelayResult:
    delivery = getattr(error, "delivery", Delivery.ANY_INCARNATION)
    return RelayResult(number=call.number, outcome=outcome, detail=str(error), delivery=delivery)
