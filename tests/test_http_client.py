"""The client of the platform's services: whatever isn't a whole response is an unknown outcome."""

from __future__ import annotations

import random
import re
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import pytest
import trio

from hornbeamreach.fleet.ports import Delivery, UnknownOutcomeError
from hornbeamreach.platform import http_client
from hornbeamreach.platform.http_client import (
    MAX_HEADER_BYTES,
    PlatformHttpClient,
    Response,
    ResponseReader,
)
from hornbeamreach.web.http_messages import MalformedMessageError

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TIMEOUT_S = 10
CALL_TIMEOUT_MS = 2_000
Exchange = Callable[[PlatformHttpClient, str], Awaitable[Any]]


class Server:
    """Answer each request with the next answer; stay silent without one."""

    def __init__(self, *answers: bytes, closes: bool = False) -> None:
        self.answers = list(answers)
        # Whether each answer is followed by the end of its connection.
        self.closes = closes
        self.connections = 0
        self.open_connections = 0
        self.requests: list[bytes] = []

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        self.open_connections += 1
        try:
            async with stream:
                while data := await stream.receive_some():
                    self.requests.append(bytes(data))
                    if self.answers:
                        await stream.send_all(self.answers.pop(0))
                        if self.closes:
                            return
        except trio.BrokenResourceError:
            pass
        finally:
            self.open_connections -= 1


def run(server: Server, exchange: Exchange) -> Any:
    """Run `exchange` with a client and the address of a server."""

    async def main() -> Any:
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                nursery.start_soon(trio.serve_listeners, server.serve, listeners)
                result = await exchange(PlatformHttpClient(), address)
                nursery.cancel_scope.cancel()
                return result

    return trio.run(main)


async def send(client: PlatformHttpClient, address: str, **options: Any) -> Response | str:
    """Return the response, or the error of an unknown outcome."""
    options = {"timeout_ms": CALL_TIMEOUT_MS, "body": b"{}", **options}
    method, path = options.pop("method", "POST"), options.pop("path", "/x")
    try:
        return await client.send(address, method, path, **options)
    except UnknownOutcomeError as exc:
        return str(exc)


async def send_twice(client: PlatformHttpClient, address: str) -> list[Response | str]:
    return [await send(client, address), await send(client, address)]


async def wait_until(condition: Callable[[], Any]) -> None:
    while not condition():
        await trio.sleep(0.005)


def response(body: bytes = b"{}", status: int = 200) -> Response:
    return Response(status=status, body=body)


class TestResponses:
    @pytest.mark.parametrize(
        ("answer", "expected"),
        [
            (CHUNKED + b"1\r\n{\r\n1;a=b\r\n}\r\n0\r\nT: v\r\n\r\n", response()),
            (CHUNKED + b"2  \r\n{}\r\n0\r\n\r\n", response()),
            (b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nA: b\r\n\r\n" + OK, response()),
            (b"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}", response()),
            (b"HTTP/1.1 200 OK\nContent-Length: 2\n\n{}", response()),
            (b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}", response()),
            (b"HTTP/1.1 204 X\r\n\r\n", response(b"", 204)),
            (b"HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n", response(b"", 304)),
            (b"HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n", response(b"", 999)),
            (OK + OK.replace(b"{}", b"[]"), response()),
            (OK + b"garbage", response()),
            # The parser reports an upgrade by an error of another kind than malformed data.
            (
                OK + b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
                response(),
            ),
        ],
    )
    def test_a_whole_response_is_returned(self, answer, expected):
        assert run(Server(answer), send) == expected

    def test_a_response_without_a_length_ends_with_its_connection(self):
        server = Server(b"HTTP/1.1 200 OK\r\n\r\n{}", closes=True)
        assert run(server, send) == response()

    def test_a_response_without_a_length_is_awaited_until_its_connection_ends(self):
        server = Server(b"HTTP/1.1 200 OK\r\n\r\n{}")
        assert "no answer" in run(server, lambda *to: send(*to, timeout_ms=200))

    def test_the_response_to_head_has_no_body(self):
        server = Server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
        assert run(server, lambda *to: send(*to, method="HEAD", body=b"")) == response(b"")

    def test_a_long_request_and_response_are_sent_and_received_whole(self):
        body = b"y" * 3_000_000
        server = Server(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        assert run(server, lambda *to: send(*to, body=b"x" * 3_000_000)) == response(body)

    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
            CHUNKED + b"2\r\n{}\r\n",
            CHUNKED + b"2\r\n{",
            b"HTTP/1.1 100 C\r\n\r\n",
        ],
    )
    def test_a_truncated_response_is_an_unknown_outcome(self, answer):
        assert "MalformedMessageError" in run(Server(answer, closes=True), send)

    @pytest.mark.parametrize(
        "answer",
        [
            b"nonsense\r\n\r\n",
            b"\r\n" + OK,
            b"RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/2 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\n{}",
            b"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n" + OK,
            b"HTTP/1.1 101 S\r\n\r\n" + OK,
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            CHUNKED + b"0x2\r\n{}\r\n0\r\n\r\n",
            CHUNKED + b"2\n{}\n0\n\n",
            CHUNKED + b"2\n{}\r\n0\r\n\r\n",
            CHUNKED + b"2\r\n{}2\r\n",
            b"HTTP/1.1 200 OK\r\nA: " + b"b" * (MAX_HEADER_BYTES * 8),
        ],
    )
    def test_a_malformed_response_is_an_unknown_outcome_and_ends_its_connection(self, answer):
        async def exchange(client: PlatformHttpClient, address: str) -> Any:
            first = await send(client, address)
            return first, await send(client, address)

        server = Server(answer, OK)
        failure, success = run(server, exchange)
        assert "MalformedMessageError" in failure
        assert success == response() and server.connections == 2

    def test_a_response_is_read_the_same_as_by_another_parser(self):
        # Guards against leniency of llhttp: a malformed response must not become a success.
        randomness = random.Random(7)
        accepted = 0
        for _ in range(4_000):
            data = mutate(randomness)
            ours = read(data)
            if ours is None:
                continue
            theirs = read_with_h11(data)
            if theirs is None:
                # Spaces before the extension of a chunk, and empty lines between responses.
                assert re.search(rb"3 +;|100 .*\n[\r\n]{3}", data, re.DOTALL), data
                continue
            assert ours == theirs, data
            accepted += 1
        assert accepted > 500


SEEDS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
    CHUNKED + b"5\r\nhello\r\n3;e=1\r\nabc\r\n0\r\nT: v\r\n\r\n",
    b"HTTP/1.1 204 N\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\nhello",
    b"HTTP/1.1 100 C\r\n\r\n" + OK,
    b"HTTP/1.1 200 OK\nContent-Length: 2\n\n{}",
)
INSERTED = (
    *(
        b"\r",
        b"\n",
        b"\r\n",
        b" ",
        b"\t",
        b":",
        b"0",
        b"5",
        b",",
        b"\x00",
        b"\x0b",
        b"\xff",
        b"-",
        b"+",
    ),
    *(b"x", b";", b"chunked", b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n", OK),
)


def mutate(randomness: random.Random) -> bytes:
    """Return a response with up to three changes."""
    data = bytearray(randomness.choice(SEEDS))
    for _ in range(randomness.randint(0, 3)):
        place = randomness.randrange(len(data) + 1)
        removed = randomness.choice((0, 0, 1, 3))
        data[place : place + removed] = randomness.choice((b"", *INSERTED))
    return bytes(data)


def read(data: bytes) -> tuple[int, bytes] | None:
    """Return a response that is complete at the end of its connection."""
    reader = ResponseReader()
    reader.expect("POST")
    try:
        reader.feed(data)
        if not reader.complete:
            reader.feed_eof()
    except MalformedMessageError:
        return None
    return reader.status, b"".join(reader.parts)


def read_with_h11(data: bytes) -> tuple[int, bytes] | None:
    """Return a response as h11 reads it."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="POST", target="/", headers=[("Host", "a")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    connection.receive_data(b"")
    status, body = 0, b""
    try:
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.ConnectionClosed):
                return None
    except h11.RemoteProtocolError:
        return None
    return status, body


class TestConnections:
    def test_a_connection_is_used_again(self):
        server = Server(OK, OK)
        assert run(server, send_twice) == [response(), response()]
        assert server.connections == 1

    @pytest.mark.parametrize(
        "answer",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
            b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\n{}",
            # Would be taken for the answer to the next request.
            OK + b"HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}",
            OK + b"HTTP/1.1 409 X\r\nContent-Le",
            b"HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\n{}",
            OK + b"garbage",
        ],
    )
    def test_a_connection_that_can_not_carry_another_response_is_closed(self, answer):
        server = Server(answer, OK)
        first, second = run(server, send_twice)
        assert first.status in (200, 204) and second == response()
        assert server.connections == 2

    def test_what_arrives_on_an_idle_connection_answers_no_request(self):
        # It was taken for the answer to the next request, which the server may have refused.
        server = Server(OK, OK)
        serve = server.serve

        async def serve_with_surplus(stream: trio.SocketStream) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve, stream)
                await wait_until(lambda: server.requests)
                await trio.sleep(0.05)
                if server.connections == 1:
                    await stream.send_all(OK.replace(b"{}", b"[]"))

        server.serve = serve_with_surplus

        async def exchange(client: PlatformHttpClient, address: str) -> Any:
            first = await send(client, address)
            await trio.sleep(0.2)
            second = await send(client, address)
            await wait_until(lambda: server.open_connections == 1)
            return first, second

        assert run(server, exchange) == (response(), response())
        assert server.connections == 2

    def test_a_connection_that_the_server_closed_while_idle_is_an_unknown_outcome(self):
        # The request may have arrived: it must not be sent again.
        server = Server(OK, OK, closes=True)

        async def exchange(client: PlatformHttpClient, address: str) -> Any:
            first = await send(client, address)
            await trio.sleep(0.05)
            return first, await send(client, address), await send(client, address)

        first, second, third = run(server, exchange)
        assert first == third == response() and isinstance(second, str)

    def test_a_connection_that_timed_out_is_closed_and_not_used_again(self):
        server = Server()

        async def exchange(client: PlatformHttpClient, address: str) -> Any:
            first = await send(client, address, timeout_ms=100)
            server.answers = [OK]
            second = await send(client, address)
            return first, second, server.open_connections

        first, second, left = run(server, exchange)
        assert "no answer in 100 ms" in first and second == response()
        assert server.connections == 2 and left == 1

    def test_a_cancelled_request_closes_its_connection(self):
        server = Server(OK)

        async def exchange(client: PlatformHttpClient, address: str) -> Any:
            await send(client, address)
            with trio.move_on_after(0.1):
                await send(client, address)
            await trio.sleep(0.05)
            assert server.open_connections == 0
            server.answers = [OK]
            return await send(client, address)

        assert run(server, exchange) == response()
        assert server.connections == 2

    def test_a_request_in_a_cancelled_scope_is_not_sent(self):
        server = Server(OK, OK)

        async def exchange(client: PlatformHttpClient, address: str) -> Any:
            await send(client, address)
            with trio.CancelScope() as scope:
                scope.cancel()
                await send(client, address)
            assert scope.cancelled_caught
            await trio.sleep(0.05)

        run(server, exchange)
        assert len(server.requests) == 1

    def test_a_connection_idle_for_too_long_is_closed_and_not_used_again(self, monkeypatch):
        monkeypatch.setattr(http_client, "MAX_IDLE_MS", 50)
        server = Server(OK, OK)

        async def exchange(client: PlatformHttpClient, address: str) -> Any:
            await send(client, address)
            await trio.sleep(0.1)
            await send(client, address)
            await trio.sleep(0.05)
            return server.open_connections

        assert run(server, exchange) == 1 and server.connections == 2

    def test_dropped_idle_connections_are_closed(self):
        server = Server(OK)

        async def exchange(client: PlatformHttpClient, address: str) -> Any:
            await send(client, address)
            client.drop_idle(address)
            await trio.sleep(0.05)
            return server.open_connections

        assert run(server, exchange) == 0

    def test_a_refused_connection_is_an_unknown_outcome(self):
        async def exchange(client: PlatformHttpClient, address: str) -> Any:
            return await send(client, "127.0.0.1:1")

        assert "ConnectionRefused" in run(Server(), exchange)


class TestRequests:
    # A start whose connection is refused was kept for 4 s, though no minion can have received it.
    def test_a_failure_tells_who_can_have_received_the_request(self):
        async def exchange(client: PlatformHttpClient, address: str) -> list[Delivery]:
            found = []
            with pytest.raises(UnknownOutcomeError) as fresh:
                await client.send(address, "POST", "/a", timeout_ms=50)
            found.append(fresh.value.delivery)
            server.answers.append(OK)
            await client.send(address, "POST", "/a", timeout_ms=CALL_TIMEOUT_MS)
            with pytest.raises(UnknownOutcomeError) as reused:
                await client.send(address, "POST", "/a", timeout_ms=50)
            found.append(reused.value.delivery)
            with pytest.raises(UnknownOutcomeError) as refused:
                await client.send("127.0.0.1:1", "POST", "/a", timeout_ms=CALL_TIMEOUT_MS)
            return [*found, refused.value.delivery]

        server = Server()
        assert run(server, exchange) == [
            Delivery.ANY_INCARNATION,
            Delivery.ANY_INCARNATION,
            Delivery.NOBODY,
        ]

    def test_a_request_has_its_host_length_and_headers(self):
        server = Server(OK)
        run(server, lambda *to: send(*to, headers=((b"Expect-Instance", b"i-1"),)))
        head, _, body = server.requests[0].partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        assert lines[0] == b"POST /x HTTP/1.1" and body == b"{}"
        assert lines[1].startswith(b"Host: 127.0.0.1:")
        assert lines[2:] == [
            b"Content-Type: application/json",
            b"Expect-Instance: i-1",
            b"Content-Length: 2",
        ]

    @pytest.mark.parametrize(
        "options",
        [
            {"path": "/x HTTP/1.1\r\nA: b\r\n\r\n"},
            {"path": "/a b"},
            {"path": "/\u00fc"},
            {"path": "/\x7f"},
            {"path": ""},
            {"method": "POST /y"},
            {"headers": ((b"A", b"b\r\nC: d"),)},
            {"headers": ((b"A", b"b\nC: d"),)},
            {"headers": ((b"A", b"b\x00"),)},
            {"headers": ((b"A", b" b"),)},
            {"headers": ((b"A: b\r\nC", b"d"),)},
            {"headers": ((b"", b"d"),)},
        ],
    )
    def test_a_line_end_or_space_in_a_part_of_the_head_is_not_sent(self, options):
        # A name from a minion's report must not add headers or requests.
        server = Server(OK)
        assert "Error" in run(server, lambda *to: send(*to, **options))
        assert not server.requests
