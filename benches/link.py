"""Measure the processor time of the link for each request with its reply, and each notification.

Both ends run in one thread over loopback sockets, so a figure holds the cost of the two of them,
with the encoding and the event loop. Run it with `python -m benches.link [ROUNDS]` from the root
of the repository.
"""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Awaitable, Callable

import trio

from hornbeamreach.control.raft_messages import AppendReply, AppendRequest, LogEntry
from hornbeamreach.fleet.messages import ReadWave, WaveState
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.websocket import LinkServer, WebSocketLink
from hornbeamreach.logs import configure_logs

SECRET = "secret"
ROUNDS = 7
REQUESTS = 2_000
CONCURRENCY = 32
BURST = 32
TIMEOUT_MS = 10_000
NS_PER_US = 1_000
REPLY = AppendReply(source="a", target="b", term=3, success=True, match_index=9, sent_ms=5)
APPEND = AppendRequest(
    source="a",
    target="b",
    term=3,
    previous_index=8,
    previous_term=3,
    commit_index=8,
    sent_ms=5,
    entries=[LogEntry(index=9 + i, term=3, data=b"x" * 200) for i in range(8)],
)


class LinkBench:
    """Send messages from one link to a server of the same process."""

    def __init__(self, link: WebSocketLink, address: str, handlers: HandlerTable) -> None:
        self.link = link
        self.address = address
        self.notified = 0
        handlers.on(ReadWave, self._on_request)
        handlers.on(AppendReply, self._on_notification)
        handlers.on(AppendRequest, self._on_notification)

    async def _on_request(self, message: ReadWave) -> WaveState:
        if message.number:
            await trio.lowlevel.checkpoint()
        return WaveState(known=True, completed=False)

    async def _on_notification(self, message: AppendReply | AppendRequest) -> None:
        self.notified += 1

    async def _request(self, number: int, count: int) -> None:
        for _ in range(count):
            await self.link.request(self.address, ReadWave(number=number), timeout_ms=TIMEOUT_MS)

    async def requests_in_turn(self) -> int:
        """Send requests one after another."""
        await self._request(0, REQUESTS)
        return REQUESTS

    async def _concurrent_requests(self, number: int) -> int:
        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENCY):
                nursery.start_soon(self._request, number, REQUESTS // CONCURRENCY)
        return REQUESTS // CONCURRENCY * CONCURRENCY

    async def concurrent_requests(self) -> int:
        """Send requests from many tasks, to a handler that does not wait."""
        return await self._concurrent_requests(0)

    async def waiting_requests(self) -> int:
        """Send requests from many tasks, to a handler that waits."""
        return await self._concurrent_requests(1)

    async def _notifications(self, message: AppendReply | AppendRequest, burst: int) -> int:
        for _ in range(REQUESTS // burst):
            expected = self.notified + burst
            for _ in range(burst):
                self.link.notify(self.address, message)
            while self.notified < expected:
                await trio.sleep(0.0005)
        return REQUESTS // burst * burst

    async def notifications(self) -> int:
        """Send small notifications in bursts."""
        return await self._notifications(REPLY, BURST)

    async def appends(self) -> int:
        """Send appends of eight entries in bursts."""
        return await self._notifications(APPEND, BURST)


async def median_us(operation: Callable[[], Awaitable[int]], rounds: int) -> float:
    """Return the median thread time of an operation, in µs for each message."""
    times = []
    for _ in range(rounds):
        began_ns = time.thread_time_ns()
        count = await operation()
        times.append((time.thread_time_ns() - began_ns) / count / NS_PER_US)
    return statistics.median(times)


async def main(rounds: int) -> None:
    """Run all measurements and print them."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await listeners[0].aclose()
        handlers = HandlerTable()
        bench = LinkBench(WebSocketLink(nursery=nursery, secret=SECRET), address, handlers)
        await nursery.start(LinkServer(address=address, secret=SECRET, handlers=handlers).run)
        await bench.requests_in_turn()
        for name, operation in [
            ("request, one at a time", bench.requests_in_turn),
            (f"request, {CONCURRENCY} at a time", bench.concurrent_requests),
            (f"request that waits, {CONCURRENCY} at a time", bench.waiting_requests),
            (f"notification, bursts of {BURST}", bench.notifications),
            (f"append of 8 entries, bursts of {BURST}", bench.appends),
        ]:
            print(f"{name:40} {await median_us(operation, rounds):7.1f} us")
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    configure_logs(level="WARNING")
    trio.run(main, int(sys.argv[1]) if len(sys.argv) > 1 else ROUNDS)
