"""The link's own connections interoperate with `websockets.trio`, and keep order and limits."""

from __future__ import annotations

import functools
import socket
import weakref
from contextlib import asynccontextmanager

import cbor2
import pytest
import trio
from websockets.exceptions import ConnectionClosedError, InvalidStatus
from websockets.frames import Frame, Opcode
from websockets.server import ServerProtocol
from websockets.trio.client import connect as library_connect
from websockets.trio.server import serve as library_serve

from hornbeamreach.exceptions import PeerTimeoutError, PeerUnreachableError
from hornbeamreach.fleet.messages import MinionLeft, ReadWave, WaveState
from hornbeamreach.link import connection, dispatch
from hornbeamreach.link.frames import NOTIFY, REPLY, REQUEST, decode_frame, encode_frame
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.pending_reply import PendingReply, current_timer
from hornbeamreach.link.socket_stream import SocketStream
from hornbeamreach.link.websocket import LinkServer, WebSocketLink

SECRET = "secret"
HEADERS = {"Authorization": f"Bearer {SECRET}"}
STATE = WaveState(known=True, completed=False)
# More than the socket buffers of both ends take at once.
LARGE = "x" * 20_000_000
# Of 64 KiB each, read within some 2 s.
QUEUED_MESSAGES = 150


class Recorder:
    """Record the messages handled; a wave's number is the time that its handler waits in ms."""

    def __init__(self) -> None:
        self.seen: list[str] = []
        self.release = trio.Event()
        self.handlers = HandlerTable()
        self.handlers.on(ReadWave, self._on_read_wave)
        self.handlers.on(MinionLeft, self._on_minion_left)

    async def _on_read_wave(self, message: ReadWave) -> WaveState:
        self.seen.append(f"request {message.number}")
        if message.number:
            await trio.sleep(message.number / 1_000)
        return STATE

    async def _on_minion_left(self, message: MinionLeft) -> None:
        if message.minion == "waits":
            await self.release.wait()
        self.seen.append(message.minion)


@asynccontextmanager
async def run_server(recorder: Recorder):
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await listeners[0].aclose()
        server = LinkServer(address=address, secret=SECRET, handlers=recorder.handlers)
        await nursery.start(server.run)
        with trio.fail_after(20):
            yield address, WebSocketLink(nursery=nursery, secret=SECRET)
        nursery.cancel_scope.cancel()


def library_client(address: str, **options):
    """Connect as the builds did that used `websockets.trio`."""
    options = {"compression": None, "proxy": None, "additional_headers": HEADERS} | options
    return library_connect(f"ws://{address}/link", **options)


def left(minion: str) -> MinionLeft:
    return MinionLeft(minion=minion, born_ms=1)


async def wait_until(condition) -> None:
    while not condition():
        await trio.sleep(0.005)


class TestServerWithLibraryClient:
    def test_requests_notifications_fragments_and_large_messages_are_served(self):
        async def main() -> None:
            recorder = Recorder()
            async with run_server(recorder) as (address, _), library_client(address) as socket:
                await socket.send(encode_frame(NOTIFY, 0, left(LARGE)))
                data = encode_frame(REQUEST, 7, ReadWave(number=0))
                await socket.send([data[:3], data[3:5], data[5:]])
                assert decode_frame(await socket.recv())[:2] == (REPLY, 7)
                assert recorder.seen == [LARGE, "request 0"]
                await (await socket.ping()).wait()

        trio.run(main)

    def test_a_client_without_the_secret_is_refused(self):
        async def main() -> None:
            async with run_server(Recorder()) as (address, _):
                wrong = {"Authorization": "Bearer other"}
                for headers in [wrong, {}]:
                    with pytest.raises(InvalidStatus, match="401"):
                        async with library_client(address, additional_headers=headers):
                            pass

        trio.run(main)

    @pytest.mark.parametrize(
        ("request_head", "answer"),
        [
            (f"GET /link HTTP/1.1\r\nAuthorization: Bearer {SECRET}", b"HTTP/1.1 426"),
            ("GET /link HTTP/1.1", b"HTTP/1.1 401"),
            ("GET /link HTTP/1.1\r\nno header", b""),
        ],
    )
    def test_a_peer_that_speaks_no_websocket_is_refused(self, request_head, answer):
        async def main() -> None:
            async with run_server(Recorder()) as (address, link):
                host, _, port = address.partition(":")
                async with await trio.open_tcp_stream(host, int(port)) as stream:
                    await stream.send_all(request_head.encode() + b"\r\n\r\n")
                    assert (await stream.receive_some())[: len(answer) or None] == answer
                assert await link.request(address, ReadWave(number=0), timeout_ms=2_000) == STATE

        trio.run(main)

    @pytest.mark.parametrize(("size", "code"), [(1_000, 1009), (None, 1002)])
    def test_a_message_that_breaks_the_protocol_closes_only_its_connection(
        self, monkeypatch, size, code
    ):
        monkeypatch.setattr(connection, "MAX_MESSAGE_BYTES", 100)

        async def main() -> None:
            async with run_server(Recorder()) as (address, link):
                async with library_client(address) as socket:
                    if size is None:
                        frame = Frame(Opcode.BINARY, b"x", rsv1=True)
                        frame.check = lambda: None
                        await socket.stream.send_all(frame.serialize(mask=True))
                    else:
                        await socket.send(b"x" * size)
                    with pytest.raises(ConnectionClosedError) as caught:
                        await socket.recv()
                    assert caught.value.rcvd.code == code
                assert await link.request(address, ReadWave(number=0), timeout_ms=2_000) == STATE

        trio.run(main)


class TestClientWithLibraryServer:
    def test_requests_notifications_and_large_replies_are_exchanged(self):
        seen = []

        async def serve_peer(socket) -> None:
            async for data in socket:
                kind, number, tagged = cbor2.loads(data)
                seen.append((kind, tagged[0]))
                if kind == REQUEST:
                    await socket.send(encode_frame(NOTIFY, 0, left(LARGE)))
                    await socket.send(encode_frame(REPLY, number, STATE))

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                options = {"host": "127.0.0.1", "compression": None, "max_size": None}
                start = functools.partial(library_serve, serve_peer, 0, **options)
                server = await nursery.start(start)
                address = f"127.0.0.1:{server.listeners[0].socket.getsockname()[1]}"
                link = WebSocketLink(nursery=nursery, secret=SECRET)
                wave = ReadWave(number=0)
                assert await link.request(address, wave, timeout_ms=5_000) == STATE
                link.notify(address, left(LARGE))
                link.notify(address, left("i-1"))
                assert await link.request(address, wave, timeout_ms=5_000) == STATE
                kinds = [kind for kind, _ in seen]
                assert kinds == [REQUEST, NOTIFY, NOTIFY, REQUEST]
                await server.aclose()
                await wait_until(lambda: link.peer(address).socket is None)
                with pytest.raises(PeerUnreachableError):
                    await link.request(address, wave, timeout_ms=500)
                nursery.cancel_scope.cancel()

        trio.run(main)


class TestOrder:
    def test_what_follows_a_waiting_notification_waits_and_keeps_its_order(self):
        async def main() -> None:
            recorder = Recorder()
            async with run_server(recorder) as (address, link):
                await link.request(address, ReadWave(number=0), timeout_ms=2_000)
                recorder.seen.clear()
                names = ["waits", *(f"i-{i}" for i in range(100))]
                for name in names:
                    link.notify(address, left(name))
                with pytest.raises(PeerTimeoutError):
                    await link.request(address, ReadWave(number=0), timeout_ms=100)
                assert recorder.seen == []
                recorder.release.set()
                await link.request(address, ReadWave(number=0), timeout_ms=2_000)
                assert recorder.seen == [*names, "request 0", "request 0"]

        trio.run(main)

    @pytest.mark.parametrize("notifies_first", [False, True])
    def test_a_request_that_waits_is_cancelled_when_its_connection_ends(self, notifies_first):
        # After a notification that waited, it ran on and kept the lost connection open.
        async def main() -> None:
            recorder = Recorder()
            ended = trio.Event()

            async def wait_for_cancellation(message: ReadWave) -> WaveState:
                try:
                    await trio.sleep_forever()
                finally:
                    ended.set()

            recorder.handlers = HandlerTable()
            recorder.handlers.on(MinionLeft, recorder._on_minion_left)
            recorder.handlers.on(ReadWave, wait_for_cancellation)
            async with run_server(recorder) as (address, _):
                async with library_client(address) as socket:
                    if notifies_first:
                        await socket.send(encode_frame(NOTIFY, 0, left("waits")))
                    await socket.send(encode_frame(REQUEST, 1, ReadWave(number=1)))
                    await trio.sleep(0.05)
                recorder.release.set()
                with trio.fail_after(1):
                    await ended.wait()

        trio.run(main)

    def test_requests_that_wait_run_side_by_side(self):
        # A handler that waits must not hold up the requests that came with it.
        async def main() -> None:
            recorder = Recorder()
            async with run_server(recorder) as (address, link):
                await link.request(address, ReadWave(number=0), timeout_ms=2_000)
                with trio.fail_after(1):
                    async with trio.open_nursery() as nursery:
                        for _ in range(40):
                            request = functools.partial(link.request, timeout_ms=2_000)
                            nursery.start_soon(request, address, ReadWave(number=100))

        trio.run(main)

    def test_requests_above_the_limit_wait_for_others_to_end(self, monkeypatch):
        monkeypatch.setattr(dispatch, "MAX_CONCURRENT_REQUESTS", 2)

        async def main() -> None:
            recorder = Recorder()
            async with run_server(recorder) as (address, link):
                began_s = trio.current_time()
                async with trio.open_nursery() as nursery:
                    for _ in range(6):
                        request = functools.partial(link.request, timeout_ms=2_000)
                        nursery.start_soon(request, address, ReadWave(number=50))
                assert trio.current_time() - began_s >= 0.15

        trio.run(main)


class TestGathering:
    def test_what_is_sent_within_a_pass_of_the_loop_takes_one_system_call(self, monkeypatch):
        # One call for each frame made up most of the cost of a small message.
        sizes = []
        send = SocketStream._send

        def count_and_send(stream: SocketStream) -> None:
            sizes.append(len(stream.chunks))
            send(stream)

        async def main() -> None:
            recorder = Recorder()
            async with run_server(recorder) as (address, link):
                await link.request(address, ReadWave(number=0), timeout_ms=2_000)
                monkeypatch.setattr(SocketStream, "_send", count_and_send)
                for number in range(50):
                    link.notify(address, left(f"i-{number}"))
                await wait_until(lambda: len(recorder.seen) == 51)
                assert sizes == [50]

        trio.run(main)

    def test_an_error_while_sending_ends_only_its_connection(self):
        # The event loop drops an instrument that raises; then no connection would send any more.
        def fail() -> None:
            raise KeyError("unexpected")

        async def main() -> None:
            async with run_server(Recorder()) as (address, link):
                await link.request(address, ReadWave(number=0), timeout_ms=2_000)
                link.peer(address).socket.stream._send = fail
                with pytest.raises(PeerTimeoutError, match="was lost"):
                    await link.request(address, ReadWave(number=0), timeout_ms=2_000)
                assert await link.request(address, ReadWave(number=0), timeout_ms=2_000) == STATE

        trio.run(main)


class TestPendingReplies:
    def test_a_reply_is_not_kept_until_its_deadline(self):
        # The timer keeps each entry until its deadline, and so kept replies of up to 64 MiB.
        class Reply:
            pass

        async def main() -> None:
            reply, pending = Reply(), PendingReply()
            kept = weakref.ref(reply)
            current_timer().add(trio.current_time() + 60, pending)
            pending.settle(reply)
            assert await pending.wait() is reply
            del reply
            assert kept() is None

        trio.run(main)


class TestLiveness:
    def test_a_silent_peer_is_given_up_and_its_requests_may_have_run(self, monkeypatch):
        # The peer accepts the handshake and then answers neither pings nor requests.
        monkeypatch.setattr(connection, "PING_INTERVAL_MS", 50)
        monkeypatch.setattr(connection, "PING_TIMEOUT_MS", 50)
        monkeypatch.setattr(connection, "CLOSE_TIMEOUT_MS", 50)

        async def serve_peer(stream) -> None:
            peer = await connection.accept(SocketStream(stream), secret=SECRET)
            assert peer is not None
            await trio.sleep_forever()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                start = functools.partial(trio.serve_tcp, serve_peer, 0, host="127.0.0.1")
                listeners = await nursery.start(start)
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                link = WebSocketLink(nursery=nursery, secret=SECRET)
                with trio.fail_after(1), pytest.raises(PeerTimeoutError, match="was lost"):
                    await link.request(address, ReadWave(number=0), timeout_ms=5_000)
                nursery.cancel_scope.cancel()

        trio.run(main)

    @pytest.mark.parametrize("pinged_end", ["sender", "reader"])
    def test_a_peer_that_takes_long_for_what_is_queued_is_not_given_up(
        self, pinged_end, monkeypatch
    ):
        # Pings and pongs that waited for all queued messages came too late, which closed the
        # connection and lost the messages.
        monkeypatch.setattr(connection, "PING_INTERVAL_MS", 200)
        monkeypatch.setattr(connection, "PING_TIMEOUT_MS", 300)
        received = []

        async def serve_peer(stream) -> None:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            peer = await connection.accept(SocketStream(stream), secret=SECRET)
            assert peer is not None
            async with trio.open_nursery() as nursery:
                if pinged_end == "sender":
                    peer.start(nursery)
                else:
                    nursery.start_soon(peer.stream.run_writer)
                while (messages := await peer.receive()) is not None:
                    received.extend(messages)
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                start = functools.partial(trio.serve_tcp, serve_peer, 0, host="127.0.0.1")
                listeners = await nursery.start(start)
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                link = WebSocketLink(nursery=nursery, secret=SECRET)
                sender = link.peer(address)
                await sender.connect_ended.wait()
                opened = sender.socket
                opened.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
                for _ in range(QUEUED_MESSAGES):
                    link.notify(address, left("x" * 65_536))
                with trio.fail_after(20):
                    await wait_until(
                        lambda: len(received) == QUEUED_MESSAGES or sender.socket is not opened
                    )
                assert len(received) == QUEUED_MESSAGES
                nursery.cancel_scope.cancel()

        if pinged_end == "sender":
            # Only the reader pings.
            keep_alive = connection.Connection._keep_alive

            async def ping_from_server(opened: connection.Connection) -> None:
                if isinstance(opened.protocol, ServerProtocol):
                    await keep_alive(opened)

            monkeypatch.setattr(connection.Connection, "_keep_alive", ping_from_server)
        trio.run(main)

    def test_a_peer_that_reads_nothing_makes_no_unbounded_queue(self):
        async def serve_peer(stream) -> None:
            peer = await connection.accept(SocketStream(stream), secret=SECRET)
            assert peer is not None
            await trio.sleep_forever()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                start = functools.partial(trio.serve_tcp, serve_peer, 0, host="127.0.0.1")
                listeners = await nursery.start(start)
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                link = WebSocketLink(nursery=nursery, secret=SECRET)
                link.notify(address, left("i"))
                await link.peer(address).connect_ended.wait()
                socket = link.peer(address).socket
                for _ in range(20):
                    link.notify(address, left(LARGE))
                assert socket.queued_bytes < 100_000_000
                with pytest.raises(PeerTimeoutError):
                    await link.request(address, ReadWave(number=0), timeout_ms=50)
                nursery.cancel_scope.cancel()

        trio.run(main)
