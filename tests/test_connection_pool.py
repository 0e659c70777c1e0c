"""Connections of clients that hold places and memory make room for ordinary callers."""

from __future__ import annotations

from typing import Any

import attrs
import pytest
import trio

from hornbeamreach.platform import asgi
from hornbeamreach.systems.connection_eviction import ConnectionLoad, eviction_policies
from hornbeamreach.web.connection_pool import (
    ConnectionLimits,
    ConnectionPool,
    connection_limits,
)
from hornbeamreach.web.lean_server import serve_requests
from hornbeamreach.web.request_reader import RequestReader

ADDRESS = ("127.0.46.17", 18_461)
ORDINARY = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
ANNOUNCED = b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
LIMITS = ConnectionLimits(max_connections=8, max_bytes=40_000, max_head_bytes=4_096)


async def echo_length(scope: Any, receive: Any, send: Any) -> None:
    body = await asgi.read_body(receive, 1_000_000)
    await asgi.send_response(send, 200, {"length": len(body)})


def with_server(client, limits: ConnectionLimits = LIMITS) -> None:
    """Run a client beside a server with few places and little memory."""

    async def main() -> None:
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:

                async def serve(task_status=trio.TASK_STATUS_IGNORED) -> None:
                    await serve_requests(
                        echo_length,
                        f"{ADDRESS[0]}:{ADDRESS[1]}",
                        stop=trio.Event(),
                        limits=limits,
                        task_status=task_status,
                    )

                await nursery.start(serve)
                await client()
                nursery.cancel_scope.cancel()

    trio.run(main)


async def send(data: bytes) -> trio.SocketStream:
    stream = await trio.open_tcp_stream(*ADDRESS)
    await stream.send_all(data)
    return stream


async def receive(stream: trio.SocketStream) -> bytes:
    """Return what arrives until the answer is whole or the connection ends."""
    received = b""
    try:
        while b"\r\n\r\n" not in received and (part := await stream.receive_some()):
            received += part
    except trio.BrokenResourceError:
        pass
    return received


class TestPolicies:
    LOADS = [
        ConnectionLoad(held_bytes=50_000, is_serving=True),
        ConnectionLoad(held_bytes=30_000),
        ConnectionLoad(held_bytes=1_000),
        ConnectionLoad(held_bytes=40_000),
        ConnectionLoad(held_bytes=0),
    ]

    def test_callers_with_small_requests_are_spared(self):
        assert eviction_policies.get("largest")(self.LOADS, 100_000) == [3, 1]
        assert eviction_policies.get("latest")(self.LOADS, 100_000) == [4]

    def test_a_request_that_is_being_served_is_not_closed(self):
        assert eviction_policies.get("largest")(self.LOADS, 0) == [3, 1, 2]

    def test_small_ones_are_not_closed_for_those_being_served(self):
        loads = [ConnectionLoad(held_bytes=90_000, is_serving=True)]
        loads += [ConnectionLoad(held_bytes=2_000) for _ in range(6)]
        assert len(eviction_policies.get("largest")(loads, 100_000)) == 1


class TestLimits:
    def test_the_connections_of_a_listener_stay_within_its_share(self):
        limits = connection_limits(
            memory_mb=300, memory_share=0.5, max_descriptors=4_100, share=0.8
        )
        assert limits.max_connections <= 4_100 * 0.8
        assert limits.max_bytes <= 300 * 1024 * 1024 * 0.5 * 0.8

    def test_a_small_process_keeps_places(self):
        limits = connection_limits(memory_mb=1, memory_share=0.1, max_descriptors=10)
        assert limits.max_connections >= 8


class TestPlaces:
    def test_the_longest_silent_connection_makes_room(self):
        async def client() -> None:
            silent = [await send(b"") for _ in range(LIMITS.max_connections)]
            await trio.sleep(0.05)
            served = await send(ORDINARY)
            assert (await receive(served)).startswith(b"HTTP/1.1 200")
            assert await receive(silent[0]) == b""
            await silent[-1].send_all(ORDINARY)
            assert (await receive(silent[-1])).startswith(b"HTTP/1.1 200")

        with_server(client)

    def test_a_connection_that_is_served_keeps_its_place(self):
        async def check() -> None:
            pool = ConnectionPool(limits=ConnectionLimits(max_connections=1))
            first = pool.open()
            assert first is not None
            first.begin_serving()
            assert pool.open() is None
            first.begin_waiting()
            assert pool.open() is not None
            assert first.evicted

        trio.run(check)

    # An evicted connection whose task had data to read was counted on, as the longest waiting one.
    def test_an_evicted_connection_is_counted_no_more(self):
        async def check() -> None:
            pool = ConnectionPool(limits=ConnectionLimits(max_connections=1))
            first = pool.open()
            second = pool.open()
            assert first is not None
            assert second is not None
            assert not first.hold(5_000)
            first.begin_waiting()
            assert list(pool.waiting) == [second]
            assert pool.held_bytes == 0
            first.close()
            assert pool.open() is not None
            assert second.evicted

        trio.run(check)


class TestMemory:
    def test_a_later_request_on_a_connection_is_refused_too(self):
        async def client() -> None:
            stream = await send(ORDINARY)
            while not (await stream.receive_some()).endswith(b"}"):
                pass
            await stream.send_all(ANNOUNCED + b"x" * 60_000)
            assert b" 413 " in (await receive(stream)).splitlines()[0]

        with_server(client)

    # Bodies that a crowd announces and sends in part.
    def test_a_small_request_is_served_beside_large_ones(self):
        async def client() -> None:
            crowd = [await send(ANNOUNCED + b"x" * 30_000) for _ in range(4)]
            await trio.sleep(0.1)
            served = await send(ORDINARY)
            assert (await receive(served)).startswith(b"HTTP/1.1 200")
            refused = [await receive(stream) for stream in crowd[:2]]
            assert all(b" 503 " in answer.splitlines()[0] for answer in refused)
            assert all(b"Retry-After: 1" in answer for answer in refused)

        with_server(client)

    def test_a_request_over_what_all_may_hold_is_refused_for_good(self):
        async def client() -> None:
            stream = await send(ANNOUNCED + b"x" * 60_000)
            assert b" 413 " in (await receive(stream)).splitlines()[0]

        with_server(client)

    # They took 150 bytes each, some 30 times what was sent.
    def test_headers_that_no_application_reads_take_no_memory(self):
        reader = RequestReader(kept_headers=frozenset((b"credential",)))
        reader.feed(b"GET / HTTP/1.1\r\nHost: a\r\nCredential: k\r\n" + b"a:b\r\n" * 3_000)
        reader.feed(b"\r\n")
        request = reader.events[0]
        assert request.headers == [(b"host", b"a"), (b"credential", b"k")]
        assert reader.held_bytes < 2_000

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 1_000,
            b"GET / HTTP/1.1\r\na: " + b"b" * 5_000,
            b"\r\n" * 5_000,
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
            + b"a:b\r\n" * 1_000,
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"a" * 5_000,
        ],
    )
    def test_what_never_completes_a_request_is_refused(self, data):
        async def client() -> None:
            stream = await send(data)
            assert b" 431 " in (await receive(stream)).splitlines()[0]

        with_server(client, attrs.evolve(LIMITS, max_bytes=1_000_000))

    def test_requests_that_arrive_together_are_parsed_one_by_one(self):
        reader = RequestReader()
        reader.feed(ORDINARY * 1_000)
        assert len(reader.events) < 100
        served = 0
        while reader.events or reader.resume():
            served += reader.events.popleft().__class__.__name__ == "Request"
        assert served == 1_000
