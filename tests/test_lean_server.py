"""The HTTP server of the platform daemons: a malformed request ends only its connection."""

from __future__ import annotations

import functools
import math
import random
import re
from typing import Any

import h11
import pytest
import trio
import trio.testing

from hornbeamreach.platform import asgi
from hornbeamreach.web import lean_server
from hornbeamreach.web.http_messages import MalformedMessageError
from hornbeamreach.web.lean_server import ConnectionServer
from hornbeamreach.web.request_reader import END_OF_REQUEST, Request, RequestReader

MAX_BODY_BYTES = 1_000
GET = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s"
TIMEOUT_S = 5


async def echo(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
    """Answer with the method, path and body; fail, wait or ignore the body on some paths."""
    if scope["path"] == "/fail":
        raise ValueError("a defect of the application")
    if scope["path"] == "/twice":
        await asgi.send_response(send, 200, b"first")
    if scope["path"] == "/slow":
        await trio.sleep(0.2)
    body = b""
    if scope["path"] != "/ignore":
        body = await asgi.read_body(receive, MAX_BODY_BYTES)
    content = b" ".join((scope["method"].encode(), scope["path"].encode(), body))
    await asgi.send_response(send, 200, content)


async def answer_oddly(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
    """Answer in the way that the path names."""
    path = scope["path"]
    start = {"type": "http.response.start", "status": 200, "headers": []}
    if path == "/parts":
        await send(start)
        await send({"type": "http.response.body", "body": b"abc", "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": True})
        await send({"type": "http.response.body", "body": b"defghijklmn"})
    elif path == "/inject":
        await asgi.send_response(send, 200, b"x", ((b"x-a", b"1\r\nx-b: 2"),))
    elif path == "/inject-name":
        await asgi.send_response(send, 200, b"x", ((b"x-a: 1\r\nx-b", b"2"),))
    elif path == "/long":
        await send({**start, "headers": [(b"content-length", b"3")]})
        await send({"type": "http.response.body", "body": b"abcdef"})
    elif path == "/short":
        await send({**start, "headers": [(b"content-length", b"9")]})
        await send({"type": "http.response.body", "body": b"abc"})
    elif path == "/empty":
        await asgi.send_response(send, 204)
    elif path == "/headers":
        names = b",".join(name for name, _ in scope["headers"])
        await asgi.read_body(receive, MAX_BODY_BYTES)
        await asgi.send_response(send, 200, names)
    elif path == "/late":
        await trio.sleep(lean_server.IDLE_TIMEOUT_MS / 1_000 * 3)
        await asgi.send_response(send, 200, b"late")
    else:
        await echo(scope, receive, send)


class Connection:
    """Talk to a connection server over a stream in memory."""

    def __init__(self, nursery: trio.Nursery, app: Any = answer_oddly) -> None:
        self.client, server = trio.testing.memory_stream_pair()
        self.stop = trio.Event()
        self.idle_reads: set[trio.CancelScope] = set()
        self.server = ConnectionServer(
            app=app, stream=server, stop=self.stop, idle_reads=self.idle_reads
        )
        nursery.start_soon(self.server.run)

    def stop_serving(self) -> None:
        self.stop.set()
        for scope in self.idle_reads:
            scope.cancel()

    async def receive_until(self, end: bytes) -> bytes:
        received = b""
        while end not in received:
            part = bytes(await self.client.receive_some())
            assert part, received
            received += part
        return received

    async def receive_all(self) -> bytes:
        received = b""
        while part := await self.client.receive_some():
            received += part
        return received


def in_trio(test):
    """Run an asynchronous test with a connection, within a time limit."""

    @functools.wraps(test)
    def run(self):
        async def main() -> None:
            with trio.fail_after(TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    await test(self, Connection(nursery))
                    nursery.cancel_scope.cancel()

        trio.run(main)

    # pytest would take the connection for a fixture.
    del run.__wrapped__
    return run


def exchange(data: bytes, step: int = 0) -> bytes:
    """Send data, in pieces of `step` bytes, and return all that the server answers."""
    received = b""

    async def main() -> None:
        nonlocal received
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                connection = Connection(nursery)
                for begin in range(0, len(data), step or len(data)):
                    await connection.client.send_all(data[begin : begin + (step or len(data))])
                    await trio.testing.wait_all_tasks_blocked()
                await connection.client.send_eof()
                received = await connection.receive_all()

    trio.run(main)
    return received


def serve_for(app: Any, talk: Any) -> None:
    """Serve an application on a socket while `talk` runs with its port."""

    async def main() -> None:
        stop = trio.Event()
        with trio.fail_after(TIMEOUT_S * 2):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                await listeners[0].aclose()
                serve = functools.partial(
                    lean_server.serve_requests, app, f"127.0.0.1:{port}", stop=stop
                )
                await nursery.start(lambda task_status: serve(task_status=task_status))
                await talk(port)
                stop.set()

    trio.run(main)


class TestRequests:
    @in_trio
    async def test_requests_follow_one_another_on_a_connection(self, connection):
        for number in (b"1", b"2"):
            await connection.client.send_all(POST % (number, 3, b"abc"))
            answer = await connection.receive_until(b"abc")
            assert answer.startswith(b"HTTP/1.1 200") and b"POST /" + number in answer

    @in_trio
    async def test_pipelined_requests_are_answered_in_order(self, connection):
        await connection.client.send_all(GET % b"1" + GET % b"2")
        answer = await connection.receive_until(b"GET /2")
        assert answer.index(b"GET /1") < answer.index(b"GET /2")

    def test_other_tasks_run_between_pipelined_requests(self):
        # Hundreds of small requests arrive with one read, and no answer waits for its client.
        turns = 0
        served_at: list[int] = []

        async def record(scope: Any, receive: Any, send: Any) -> None:
            served_at.append(turns)
            await asgi.send_response(send, 200)

        async def talk(port: int) -> None:
            nonlocal turns
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.send_all, GET % b"x" * 200)
                while len(served_at) < 200:
                    turns += 1
                    await trio.lowlevel.checkpoint()
            await stream.aclose()

        serve_for(record, talk)
        # Tasks run in random order within a pass of the event loop.
        assert len(set(served_at)) > 100

    @in_trio
    async def test_a_body_that_the_application_ignores_is_skipped(self, connection):
        await connection.client.send_all(POST % (b"ignore", 3, b"abc") + GET % b"next")
        await connection.receive_until(b"GET /next")

    @in_trio
    async def test_a_body_may_come_in_chunks_after_the_go_ahead(self, connection):
        head = b"Host: a\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n"
        await connection.client.send_all(b"POST /x HTTP/1.1\r\n" + head)
        await connection.receive_until(b"HTTP/1.1 100")
        await connection.client.send_all(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        await connection.receive_until(b"POST /x abcde")

    @in_trio
    async def test_a_client_of_http_1_0_gets_its_answer_and_the_end(self, connection):
        await connection.client.send_all(b"GET /old HTTP/1.0\r\n\r\n")
        assert b"GET /old" in await connection.receive_all()

    @in_trio
    async def test_an_unfinished_request_gets_no_answer(self, connection):
        await connection.client.send_all(POST % (b"x", 10, b"abc"))
        await connection.client.send_eof()
        assert b"200" not in await connection.receive_all()


class TestFaults:
    @in_trio
    async def test_a_malformed_request_is_rejected(self, connection):
        await connection.client.send_all(b"\x00\x01 nonsense\r\n\r\n")
        assert (await connection.receive_all()).startswith(b"HTTP/1.1 400")

    @in_trio
    async def test_an_error_of_the_application_ends_only_the_connection(self, connection):
        await connection.client.send_all(GET % b"fail" + GET % b"next")
        answer = await connection.receive_all()
        assert answer.startswith(b"HTTP/1.1 500") and b"next" not in answer

    @in_trio
    async def test_a_second_response_ends_only_the_connection(self, connection):
        await connection.client.send_all(GET % b"twice")
        answer = await connection.receive_all()
        assert answer.count(b"HTTP/1.1") == 1 and answer.endswith(b"first")

    @in_trio
    async def test_a_client_that_left_ends_only_the_connection(self, connection):
        await connection.client.send_all(GET % b"slow")
        await trio.testing.wait_all_tasks_blocked()
        await connection.client.aclose()

    @in_trio
    async def test_escaped_characters_of_a_path_are_decoded(self, connection):
        await connection.client.send_all(GET % b"a%2Db")
        await connection.receive_until(b"GET /a-b")

    @in_trio
    async def test_a_head_without_an_end_is_rejected(self, connection):
        async with trio.open_nursery() as nursery:

            async def flood() -> None:
                with pytest.raises(trio.BrokenResourceError):
                    await connection.client.send_all(b"GET / HTTP/1.1\r\n")
                    while True:
                        await connection.client.send_all(b"X: " + b"y" * 60_000 + b"\r\n")
                        await trio.lowlevel.checkpoint()

            nursery.start_soon(flood)
            assert (await connection.receive_all()).startswith(b"HTTP/1.1 431")

    @in_trio
    async def test_a_malformed_request_behind_another_is_rejected_after_its_answer(
        self, connection
    ):
        await connection.client.send_all(GET % b"1" + b"nonsense\r\n\r\n")
        answer = await connection.receive_all()
        assert answer.startswith(b"HTTP/1.1 200") and b"GET /1" in answer
        assert answer.count(b"HTTP/1.1 400") == 1

    @pytest.mark.parametrize(
        ("head", "status"),
        [
            (b"Content-Length: 3\r\nTransfer-Encoding: chunked", 400),
            (b"Transfer-Encoding: chunked\r\nContent-Length: 3", 400),
            (b"Content-Length: 3\r\nContent-Length: 4", 400),
            (b"Content-Length: 3\r\nContent-Length: 3", 400),
            (b"Content-Length: 3, 4", 400),
            (b"Content-Length: +3", 400),
            (b"Content-Length: -3", 400),
            (b"Content-Length: 0x3", 400),
            (b"Content-Length: 3 4", 400),
            (b"Content-Length:", 400),
            (b"Content-Length: 99999999999999999999999", 400),
            (b"Transfer-Encoding: gzip, chunked", 501),
            (b"Transfer-Encoding: xchunked", 501),
            (b"Transfer-Encoding: identity", 501),
            (b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", 400),
            (b"Content-Length : 3", 400),
            (b"X: a\r\n Content-Length: 3", 400),
            (b" X: a", 400),
            (b"X: a\x00b", 400),
            (b"X: a\rY: b", 400),
            (b"no-colon", 400),
            (b": no name", 400),
            (b"Host: b", 400),
        ],
    )
    def test_a_head_that_others_may_read_differently_is_rejected(self, head, status):
        # A proxy that takes another length for the body would pass a second request in it.
        answer = exchange(b"POST / HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n\r\nabc" + GET % b"2")
        assert answer.startswith(b"HTTP/1.1 %d" % status)
        assert answer.count(b"HTTP/1.1") == 1

    @pytest.mark.parametrize(
        "line",
        [
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
            b"GET / HTTP/0.9\r\nHost: a\r\n\r\n",
            b"GET /\r\n\r\n",
            b"GET /\xc3\xbc HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET /?\xc3\xbc HTTP/1.1\r\nHost: a\r\n\r\n",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        ],
    )
    def test_a_request_line_that_is_not_http_1_is_rejected(self, line):
        answer = exchange(line)
        assert answer.startswith(b"HTTP/1.1 400") and answer.count(b"HTTP/1.1") == 1

    @pytest.mark.parametrize(
        "body",
        [
            b"0x3\r\nabc\r\n0\r\n\r\n",
            b"-3\r\nabc\r\n0\r\n\r\n",
            b"\r\nabc\r\n0\r\n\r\n",
            b"3\nabc\r\n0\r\n\r\n",
            b"3\r\nabcd\r\n0\r\n\r\n",
            b"3\r\nabc0\r\n\r\n",
            b"3\r\nabc\n0\r\n\r\n",
            b"fffffffffffffffff\r\nabc\r\n0\r\n\r\n",
            b"3\r\nabc\r\n0\r\nX : a\r\n\r\n",
        ],
    )
    def test_a_malformed_chunk_is_rejected(self, body):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer = exchange(head + body + GET % b"2")
        assert answer.startswith(b"HTTP/1.1 400") and answer.count(b"HTTP/1.1") == 1

    @in_trio
    async def test_headers_after_a_chunked_body_are_not_those_of_the_request(self, connection):
        # The credential of a request must not come from behind its body.
        head = b"POST /headers HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        await connection.client.send_all(head + b"1\r\na\r\n0\r\nCredential: b\r\n\r\n")
        answer = await connection.receive_until(b"host,transfer-encoding")
        assert b"credential" not in answer

    @in_trio
    async def test_a_chunk_header_without_an_end_is_rejected(self, connection):
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a="
        async with trio.open_nursery() as nursery:

            async def flood() -> None:
                with pytest.raises(trio.BrokenResourceError):
                    await connection.client.send_all(head)
                    while True:
                        await connection.client.send_all(b"y" * 60_000)
                        await trio.lowlevel.checkpoint()

            nursery.start_soon(flood)
            assert (await connection.receive_all()).startswith(b"HTTP/1.1 431")


class TestResponses:
    @in_trio
    async def test_a_body_of_unknown_length_is_sent_in_chunks(self, connection):
        await connection.client.send_all(GET % b"parts" + GET % b"next")
        answer = await connection.receive_until(b"GET /next")
        assert b"Transfer-Encoding: chunked\r\n" in answer
        assert b"\r\n\r\n3\r\nabc\r\nb\r\ndefghijklmn\r\n0\r\n\r\n" in answer

    @in_trio
    async def test_a_body_of_unknown_length_ends_with_a_connection_of_http_1_0(self, connection):
        await connection.client.send_all(b"GET /parts HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        answer = await connection.receive_all()
        assert b"chunked" not in answer and answer.endswith(b"\r\n\r\nabcdefghijklmn")

    @in_trio
    async def test_the_answer_to_head_has_the_length_but_no_body(self, connection):
        await connection.client.send_all(b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n" + GET % b"2")
        answer = await connection.receive_until(b"GET /2")
        assert b"content-length: 8\r\n" in answer and b"HEAD /x" not in answer

    @in_trio
    async def test_an_answer_without_content_has_no_body(self, connection):
        await connection.client.send_all(GET % b"empty" + GET % b"2")
        answer = await connection.receive_until(b"GET /2")
        assert answer.startswith(b"HTTP/1.1 204") and b"chunked" not in answer

    @pytest.mark.parametrize("path", [b"inject", b"inject-name"])
    def test_a_line_end_in_a_header_is_not_sent(self, path):
        answer = exchange(GET % path)
        assert answer.startswith(b"HTTP/1.1 500") and b"x-b" not in answer

    @pytest.mark.parametrize("path", [b"long", b"short"])
    def test_a_body_of_another_length_than_announced_is_not_sent(self, path):
        assert b"abc" not in exchange(GET % path + GET % b"next")

    @in_trio
    async def test_the_end_of_the_connection_is_announced_when_the_client_asks_for_it(
        self, connection
    ):
        close = b"GET /1 HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n"
        await connection.client.send_all(close + GET % b"2")
        answer = await connection.receive_all()
        assert b"Connection: close\r\n" in answer and answer.endswith(b"GET /1 ")


class TestUpgrade:
    """llhttp takes what follows the head of an upgrade for another protocol."""

    HEAD = b"Host: a\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"

    @pytest.mark.parametrize(
        "body",
        [
            b"Content-Length: 3\r\n\r\nabc",
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        ],
    )
    @pytest.mark.parametrize("step", [1, 7, 10_000])
    def test_a_request_that_offers_an_upgrade_is_served_as_any_other(self, body, step):
        request = b"POST /up HTTP/1.1\r\n" + self.HEAD + body
        answer = exchange(request * 2 + GET % b"next", step=step)
        assert answer.count(b"POST /up abc") == 2 and answer.count(b"HTTP/1.1 200") == 3
        assert answer.endswith(b"GET /next ")

    def test_a_request_for_a_tunnel_is_answered(self):
        answer = exchange(b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n" + GET % b"next")
        assert answer.count(b"HTTP/1.1 200") == 2 and b"CONNECT a:80" in answer


class TestReader:
    def test_whatever_is_accepted_is_read_as_by_another_parser(self):
        # Guards against leniency of llhttp by which a proxy and this server read other requests.
        randomness = random.Random(5)
        accepted = 0
        for _ in range(4_000):
            data = mutate(randomness)
            ours = read_first(data)
            if ours is None:
                continue
            theirs = read_first_with_h11(data)
            if theirs is None:
                # Empty lines before a request and several spaces within its first line.
                assert re.match(rb"[\r\n]+|\S+ +\S+ +HTTP", data), data
                continue
            assert ours == theirs, data
            accepted += 1
        assert accepted > 500

    def test_a_request_is_read_the_same_in_any_pieces(self):
        data = POST % (b"x", 3, b"abc") + GET % b"2"
        whole = RequestReader()
        whole.feed(data)
        for size in (1, 2, 5, 17):
            reader = RequestReader()
            for begin in range(0, len(data), size):
                reader.feed(data[begin : begin + size])
            while reader.unparsed:
                reader.resume()
            found = [e.headers for e in reader.events if isinstance(e, Request)]
            assert found == [e.headers for e in whole.events if isinstance(e, Request)]
            assert b"".join(e for e in reader.events if isinstance(e, bytes)) == b"abc"
            assert reader.events[-1] is END_OF_REQUEST


SEEDS = (
    b"GET /a?b=c HTTP/1.1\r\nHost: a\r\nX-Y: z\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n3;e=1\r\nabc\r\n0\r\nT: v\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
    b"Content-Length: 5\r\n\r\nhello",
    b"GET / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
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
    *(b"x", b";", b"chunked", b"Host: b\r\n", b"Content-Length: 5\r\n", b"Connection: close\r\n"),
    *(b"Transfer-Encoding: chunked\r\n", b"Upgrade: a\r\n", b"Connection: upgrade\r\n"),
)


def mutate(randomness: random.Random) -> bytes:
    """Return a request with up to three changes."""
    data = bytearray(randomness.choice(SEEDS))
    for _ in range(randomness.randint(0, 3)):
        place = randomness.randrange(len(data) + 1)
        removed = randomness.choice((0, 0, 1, 3))
        data[place : place + removed] = randomness.choice((b"", *INSERTED))
    return bytes(data)


def read_first(data: bytes) -> tuple[Any, ...] | None:
    """Return the first request if it is complete and well-formed."""
    reader = RequestReader()
    reader.feed(data)
    events = list(reader.events)
    if END_OF_REQUEST not in events:
        return None
    events = events[: events.index(END_OF_REQUEST)]
    assert not any(isinstance(event, MalformedMessageError) for event in events)
    request = events[0]
    body = b"".join(events[1:])
    return request.method, request.target, request.headers, body, request.keep_alive


def read_first_with_h11(data: bytes) -> tuple[Any, ...] | None:
    """Return the first request as h11 reads it."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    body = b""
    try:
        request = connection.next_event()
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                return None
            body += event.data
    except h11.RemoteProtocolError:
        return None
    connection.send(h11.Response(status_code=200, headers=[(b"content-length", b"0")]))
    connection.send(h11.EndOfMessage())
    keep_alive = connection.our_state is h11.DONE
    return request.method.decode(), request.target, list(request.headers), body, keep_alive


class TestTimeouts:
    def test_a_silent_connection_is_closed_and_a_slow_application_is_not(self):
        idle_s = lean_server.IDLE_TIMEOUT_MS / 1_000

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                connection = Connection(nursery)
                for _ in range(3):
                    # Each read has the whole time.
                    await trio.sleep(idle_s * 0.9)
                    await connection.client.send_all((GET % b"late")[:9])
                    await trio.sleep(idle_s * 0.9)
                    await connection.client.send_all((GET % b"late")[9:])
                    await connection.receive_until(b"late")
                begin = trio.current_time()
                assert await connection.receive_all() == b""
                assert math.isclose(trio.current_time() - begin, idle_s, rel_tol=0.01)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_body_that_stops_arriving_is_given_up(self):
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                connection = Connection(nursery)
                await connection.client.send_all(POST % (b"x", 10, b"abc"))
                begin = trio.current_time()
                assert b"200" not in await connection.receive_all()
                waited_ms = (trio.current_time() - begin) * 1_000
                assert math.isclose(waited_ms, lean_server.IDLE_TIMEOUT_MS, rel_tol=0.01)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_an_answer_that_is_not_read_is_given_up(self, monkeypatch):
        monkeypatch.setattr(lean_server, "SEND_TIMEOUT_MS", 200)

        async def answer_at_length(scope: Any, receive: Any, send: Any) -> None:
            await asgi.send_response(send, 200, b"x" * 50_000_000)

        async def talk(port: int) -> None:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(GET % b"1")
            await trio.sleep(0.6)
            received = 0
            with pytest.raises(trio.BrokenResourceError):
                while part := await stream.receive_some():
                    received += len(part)
                raise trio.BrokenResourceError
            assert received < 50_000_000

        serve_for(answer_at_length, talk)

    def test_a_long_answer_reaches_a_client_that_reads_it(self):
        async def answer_at_length(scope: Any, receive: Any, send: Any) -> None:
            await asgi.send_response(send, 200, b"x" * 50_000_000)

        async def talk(port: int) -> None:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(b"GET / HTTP/1.0\r\n\r\n")
            received = bytearray()
            async for part in stream:
                received += part
            assert received.endswith(b"\r\n\r\n" + b"x" * 50_000_000)

        serve_for(answer_at_length, talk)


class TestStop:
    @in_trio
    async def test_a_request_that_arrives_just_as_the_server_stops_is_answered(self, connection):
        await trio.testing.wait_all_tasks_blocked()
        deliver = connection.client.send_stream.send_all_hook

        async def deliver_and_stop() -> None:
            # The reader is woken but has not run yet when its scope is cancelled.
            await deliver()
            connection.stop_serving()

        connection.client.send_stream.send_all_hook = deliver_and_stop
        await connection.client.send_all(GET % b"slow")
        assert b"GET /slow" in await connection.receive_all()

    @in_trio
    async def test_part_of_a_request_as_the_server_stops_is_awaited(self, connection):
        await trio.testing.wait_all_tasks_blocked()
        deliver = connection.client.send_stream.send_all_hook

        async def deliver_and_stop() -> None:
            await deliver()
            connection.stop_serving()

        connection.client.send_stream.send_all_hook = deliver_and_stop
        await connection.client.send_all((GET % b"slow")[:10])
        connection.client.send_stream.send_all_hook = deliver
        await trio.testing.wait_all_tasks_blocked()
        await connection.client.send_all((GET % b"slow")[10:])
        assert b"GET /slow" in await connection.receive_all()

    @in_trio
    async def test_an_idle_connection_is_closed(self, connection):
        await trio.testing.wait_all_tasks_blocked()
        connection.stop_serving()
        assert await connection.receive_all() == b""

    @in_trio
    async def test_a_request_in_flight_is_answered_and_ends_the_connection(self, connection):
        await connection.client.send_all(GET % b"slow")
        await trio.testing.wait_all_tasks_blocked()
        connection.stop_serving()
        answer = await connection.receive_all()
        assert b"GET /slow" in answer and b"connection: close" in answer.lower()


class TestListener:
    def test_the_server_ends_once_the_requests_in_flight_are_answered(self, monkeypatch):
        monkeypatch.setattr(lean_server, "GRACEFUL_TIMEOUT_MS", 2_000)

        async def main() -> None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            for listener in listeners:
                await listener.aclose()
            stop = trio.Event()
            with trio.fail_after(TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    address = f"127.0.0.1:{port}"
                    serve = functools.partial(lean_server.serve_requests, echo, address, stop=stop)
                    await nursery.start(lambda task_status: serve(task_status=task_status))
                    idle = await trio.open_tcp_stream("127.0.0.1", port)
                    busy = await trio.open_tcp_stream("127.0.0.1", port)
                    await busy.send_all(GET % b"slow")
                    await trio.sleep(0.1)
                    stop.set()
                    assert await idle.receive_some() == b""
                    assert b"GET /slow" in await busy.receive_some()

        trio.run(main)
