"""Malformed frames and failing handlers end neither a process nor the requests beside them."""

from __future__ import annotations

import functools

import cbor2
import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st
from websockets.protocol import State
from websockets.trio.server import serve

from hornbeamreach.clock import Clock
from hornbeamreach.exceptions import PeerTimeoutError, PeerUnreachableError
from hornbeamreach.fleet.messages import MinionLeft, ReadWave, ReportReply, WaveState
from hornbeamreach.fleet.report_forwarder import ReportForwarder
from hornbeamreach.link.codec import DecodeError
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.leader_finder import LeaderFinder
from hornbeamreach.link.websocket import (
    NOTIFY,
    REPLY,
    REQUEST,
    LinkServer,
    PeerConnection,
    WebSocketLink,
    decode_frame,
)
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.operator_app import OperatorApp
from hornbeamreach.platform.settings import decode_settings

from . import builders

SECRET = "secret"
MALFORMED_FRAMES = [
    b"",
    b"\xff\xff",
    cbor2.dumps(7),
    cbor2.dumps([REPLY, 1]),
    cbor2.dumps([REPLY, [1], ["wave_state", {}]]),
    cbor2.dumps(["reply", 1, None]),
    cbor2.dumps([REQUEST, 1, None]),
    cbor2.dumps([NOTIFY, 0, ["unknown", {}]]),
    cbor2.dumps([NOTIFY, 0, ["minion_left", {"minion": []}]]),
]


class TestDecodeFrame:
    @given(st.binary(max_size=40) | st.text(max_size=5))
    def test_noise_is_a_frame_or_a_decode_error(self, data):
        try:
            kind, number, _ = decode_frame(data)
        except DecodeError:
            return
        assert isinstance(kind, int)
        assert isinstance(number, int)


async def start_server(nursery: trio.Nursery, handlers: HandlerTable) -> str:
    """Start a link server on a free loopback port and return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    address = f"127.0.0.1:{port}"
    await nursery.start(LinkServer(address=address, secret=SECRET, handlers=handlers).run)
    return address


class TestServer:
    @pytest.mark.parametrize("frame", MALFORMED_FRAMES)
    def test_a_malformed_frame_leaves_the_connection_in_use(self, frame):
        async def main() -> None:
            handlers = HandlerTable()

            async def on_read_wave(message: ReadWave) -> WaveState:
                return WaveState(known=True, completed=False)

            handlers.on(ReadWave, on_read_wave)
            async with trio.open_nursery() as nursery:
                address = await start_server(nursery, handlers)
                link = WebSocketLink(nursery=nursery, secret=SECRET)
                await link.request(address, ReadWave(number=1), timeout_ms=2_000)
                socket = link.peer(address).socket
                await socket.send(frame)
                reply = await link.request(address, ReadWave(number=1), timeout_ms=2_000)
                assert reply == WaveState(known=True, completed=False)
                assert link.peer(address).socket is socket
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_an_unexpected_error_of_one_handler_leaves_the_other_requests_running(self):
        async def main() -> None:
            handlers = HandlerTable()
            release = trio.Event()

            async def on_read_wave(message: ReadWave) -> WaveState:
                await release.wait()
                return WaveState(known=True, completed=True)

            async def on_minion_left(message: MinionLeft) -> ReportReply:
                raise KeyError(message.minion)

            handlers.on(ReadWave, on_read_wave)
            handlers.on(MinionLeft, on_minion_left)
            replies = []
            async with trio.open_nursery() as nursery:
                address = await start_server(nursery, handlers)
                link = WebSocketLink(nursery=nursery, secret=SECRET)

                async def read_wave() -> None:
                    replies.append(
                        await link.request(address, ReadWave(number=1), timeout_ms=3_000)
                    )

                async with trio.open_nursery() as requests:
                    requests.start_soon(read_wave)
                    await trio.testing.wait_all_tasks_blocked(0.1)
                    left = MinionLeft(minion="i-1", born_ms=1)
                    with pytest.raises(PeerTimeoutError):
                        await link.request(address, left, timeout_ms=200)
                    link.notify(address, left)
                    release.set()
                nursery.cancel_scope.cancel()
            assert replies == [WaveState(known=True, completed=True)]

        trio.run(main)


class TestClient:
    @pytest.mark.parametrize("frame", MALFORMED_FRAMES)
    def test_a_malformed_reply_ends_neither_the_process_nor_the_connection(self, frame):
        async def main() -> None:
            async def reply_twice(socket) -> None:
                async for data in socket:
                    _, number, _ = cbor2.loads(data)
                    await socket.send(frame)
                    fields = {"known": True, "completed": False}
                    await socket.send(cbor2.dumps([REPLY, number, ["wave_state", fields]]))

            async with trio.open_nursery() as nursery:
                start = functools.partial(serve, reply_twice, 0, host="127.0.0.1")
                server = await nursery.start(start)
                port = server.listeners[0].socket.getsockname()[1]
                link = WebSocketLink(nursery=nursery, secret=SECRET)
                for _ in range(2):
                    reply = await link.request(
                        f"127.0.0.1:{port}", ReadWave(number=1), timeout_ms=2_000
                    )
                    assert reply == WaveState(known=True, completed=False)
                nursery.cancel_scope.cancel()

        trio.run(main)


class TestVerdict:
    def test_a_request_whose_connection_is_lost_at_its_timeout_may_have_run(self):
        connection = PeerConnection(address="127.0.0.1:1", secret=SECRET)

        class LostSocket:
            state = State.OPEN
            is_congested = False

            async def send(self, data: bytes) -> None:
                # The reset is noticed before the task that sent the request runs again.
                connection.socket = None

        async def main() -> None:
            connection.socket = LostSocket()
            connection.connect_ended.set()
            with pytest.raises(PeerTimeoutError):
                await connection.request(ReadWave(number=1), 20)

        trio.run(main)

    def test_a_connection_that_is_refused_ends_the_request_at_once(self):
        # A killed leader must not cost its callers the whole time-out of an attempt.
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                link = WebSocketLink(nursery=nursery, secret=SECRET)
                for _ in range(2):
                    with trio.fail_after(1), pytest.raises(PeerUnreachableError):
                        await link.request("127.0.0.1:1", ReadWave(number=1), timeout_ms=5_000)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_request_on_a_closing_connection_is_not_sent(self):
        connection = PeerConnection(address="127.0.0.1:1", secret=SECRET)

        class ClosingSocket:
            state = State.CLOSING

        async def main() -> None:
            connection.socket = ClosingSocket()
            connection.connect_ended.set()
            with pytest.raises(PeerUnreachableError):
                await connection.request(ReadWave(number=1), 20)

        trio.run(main)


# The server reads some 30 messages of a connection in one pass of the loop, and an operator's
# request takes some eight passes of the one process in which the test runs both ends.
REPORTS = 2_000


class TestOperators:
    def test_an_operators_request_does_not_wait_behind_reports(self):
        # On the connection of the reports it was answered after all of them, hundreds of ms later.
        async def main() -> None:
            handlers, reports = HandlerTable(), []

            async def on_minion_left(message: MinionLeft) -> ReportReply:
                reports.append(message)
                return ReportReply()

            async def on_read_wave(message: ReadWave) -> WaveState:
                return WaveState(known=True, completed=False)

            handlers.on(MinionLeft, on_minion_left)
            handlers.on(ReadWave, on_read_wave)
            async with trio.open_nursery() as nursery:
                address = await start_server(nursery, handlers)
                finders = [
                    LeaderFinder(
                        link=WebSocketLink(nursery=nursery, secret=SECRET),
                        clock=Clock(),
                        replicas=[address],
                    )
                    for _ in range(2)
                ]
                app = OperatorApp(
                    settings=decode_settings(builders.platform_settings()),
                    finder=finders[0],
                    operator_finder=finders[1],
                    metrics=Metrics(),
                    reports=ReportForwarder(finder=finders[0], clock=Clock()),
                )
                await app._route("GET", "/wave-get/1", b"")
                await app._route("POST", "/instances/i-1/deregister", b"")
                for _ in range(REPORTS):
                    nursery.start_soon(app._route, "POST", "/instances/i-1/deregister", b"")
                while len(reports) < 10:
                    await trio.sleep(0)
                assert (await app._route("GET", "/wave-get/1", b""))[0] == 200
                assert len(reports) < REPORTS // 2
                nursery.cancel_scope.cancel()

        trio.run(main)
