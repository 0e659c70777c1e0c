"""Measure the leader's processor time for a call to a minion, directly and through followers.

The real HTTP client, link and relay run over loopback; followers and minions run in another thread
and answer at once. Run it with `python -m benches.minion_calls` from the root of the repository.
"""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Awaitable, Callable

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.fleet.order_relay import OrderRelay
from hornbeamreach.fleet.ports import StartAnswer, StartOrder, StartReply
from hornbeamreach.fleet.relayed_minion_port import RelayedMinionPort
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.websocket import LinkServer, WebSocketLink
from hornbeamreach.logs import configure_logs
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.http_client import PlatformHttpClient
from hornbeamreach.platform.minion_port import PlatformMinionPort
from hornbeamreach.systems.relay_choice import Follower
from hornbeamreach.tables.minions import MinionReport

MINIONS = 62
FOLLOWERS = 5
SECRET = "bench"
WARM_UP_CALLS = 300
CALLS = 3_000
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + b'{"clock-ms":1}'
NS_PER_MS = 1_000_000


class InstantPort:
    """Answer each start at once."""

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        """Start a run."""
        return StartReply(answer=StartAnswer.STARTED, clock_ms=1)


def _free_address() -> str:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


async def _serve_minion(stream: trio.SocketStream) -> None:
    data = b""
    async for chunk in stream:
        data += chunk
        while (end := data.find(b"\r\n\r\n")) >= 0:
            head = data[:end].lower()
            size = int(head.partition(b"content-length:")[2].split(b"\r\n")[0])
            if len(data) < end + 4 + size:
                break
            data = data[end + 4 + size :]
            await stream.send_all(RESPONSE)


async def _run_others(
    leader: str, minion: str, followers: list[str], stop: threading.Event
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_tcp, _serve_minion, int(minion.split(":")[1]))
        for address in followers:
            handlers = HandlerTable()
            link = WebSocketLink(nursery=nursery, secret=SECRET)
            relay = OrderRelay(port=InstantPort(), link=link, handlers=handlers, metrics=Metrics())
            nursery.start_soon(relay.run)
            # Results are dropped until the connection is open.
            link.peer(leader)
            await nursery.start(LinkServer(address=address, secret=SECRET, handlers=handlers).run)
        while not stop.is_set():
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()


async def _time_calls(
    start: Callable[[MinionReport, StartOrder], Awaitable[StartReply]], minion: str, rate: int
) -> tuple[float, float]:
    """Return the thread's time for each call and the median time until its answer, in ms."""
    took_s: list[float] = []

    async def call(number: int) -> None:
        report = MinionReport(
            minion=f"i-{number % MINIONS}",
            address=minion,
            born_ms=1,
            pool="a",
            data_center="a",
            sequence=1,
        )
        order = StartOrder(
            task=f"job-{number}.0.0.1", run=1, payload="x" * 200, lease_until_ms=1, token=1
        )
        began_s = trio.current_time()
        reply = await start(report, order)
        assert reply.answer is StartAnswer.STARTED
        took_s.append(trio.current_time() - began_s)

    async def run(calls: int) -> None:
        async with trio.open_nursery() as nursery:
            began_s = trio.current_time()
            for number in range(calls):
                nursery.start_soon(call, number)
                await trio.sleep_until(began_s + number / rate)

    await run(WARM_UP_CALLS)
    took_s.clear()
    began_ns = time.thread_time_ns()
    await run(CALLS)
    per_call_ms = (time.thread_time_ns() - began_ns) / NS_PER_MS / CALLS
    return per_call_ms, 1_000 * sorted(took_s)[CALLS // 2]


async def main() -> None:
    """Measure both ways at several rates and spans, and print the results."""
    configure_logs(level="ERROR")
    minion, own, *followers = (_free_address() for _ in range(FOLLOWERS + 2))
    stop = threading.Event()
    others = threading.Thread(target=trio.run, args=(_run_others, own, minion, followers, stop))
    others.start()
    await trio.sleep(1)
    async with trio.open_nursery() as nursery:
        handlers = HandlerTable()
        port = RelayedMinionPort(
            port=PlatformMinionPort(http=PlatformHttpClient()),
            link=WebSocketLink(nursery=nursery, secret=SECRET),
            handlers=handlers,
            address=own,
            clock=Clock(),
            metrics=Metrics(),
            response_timeout_ms=2_000,
            followers=lambda: [Follower(address=a, silent_ms=0) for a in followers],
            rng=random.Random(1),
            max_direct_minions=MINIONS,
        )
        nursery.start_soon(port.run)
        await nursery.start(LinkServer(address=own, secret=SECRET, handlers=handlers).run)
        for address in followers:
            port.link.peer(address)
        await trio.sleep(seconds(2_000))
        for rate in (200, 1_000):
            for name, limit, span_ms in (
                ("direct", MINIONS, 0),
                ("relayed, 2 ms", 0, 0),
                ("relayed, 20 ms", 0, 20),
                ("relayed, 60 ms", 0, 60),
            ):
                port.max_direct_minions = limit
                port.batch_pause_ms = lambda span_ms=span_ms: span_ms
                cost_ms, wait_ms = await _time_calls(port.start, minion, rate)
                print(
                    f"{rate:5} calls/s {name:14} {cost_ms:.3f} ms a call,"
                    f" {wait_ms:.1f} ms until its answer"
                )
        stop.set()
        nursery.cancel_scope.cancel()
    others.join()


if __name__ == "__main__":
    trio.run(main)
