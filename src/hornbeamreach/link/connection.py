"""WebSocket connection that drives the library's Sans-I/O protocol on a socket stream."""

from __future__ import annotations

import hmac
import os
from typing import Any

import trio
from websockets.client import ClientProtocol
from websockets.frames import CloseCode, Frame, Opcode
from websockets.http11 import SERVER, USER_AGENT, Request
from websockets.protocol import SEND_EOF, Protocol, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from hornbeamreach.clock import seconds
from hornbeamreach.link.socket_stream import SocketStream

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# Above this, a task that sends waits until the peer has taken what is buffered.
MAX_BUFFERED_BYTES = 256 * 1024
# A dead connection is detected within the sum of interval, timeout and close timeout, below the
# 3 s within which a VM must stay connected. A ping is sent an interval less the latest round trip
# after the one before.
PING_INTERVAL_MS = 1_200
PING_TIMEOUT_MS = 1_000
OPEN_TIMEOUT_MS = 1_200
CLOSE_TIMEOUT_MS = 500
PING_BYTES = 4
# First bytes of ping and pong frames, which are always sent whole (FIN is set).
PING_OR_PONG = (0x80 | Opcode.PING, 0x80 | Opcode.PONG)
HTTP_UNAUTHORIZED = 401
# Of the opening handshake, which takes some 300 bytes.
MAX_HANDSHAKE_BYTES = 16 * 1024


class Connection:
    """Exchange messages with a peer until one side closes the connection or it is lost."""

    def __init__(self, stream: SocketStream, protocol: Protocol) -> None:
        self.stream = stream
        self.protocol = protocol
        # Parts of a message that comes in several frames, None between messages.
        self.fragments: bytearray | None = None
        self.fragments_are_text = False
        self.received: list[bytes | str] = []
        self.closing = trio.Event()
        self.ping_payload = b""
        self.pong_received = trio.Event()

    @property
    def state(self) -> State:
        """Return the state of the connection; nothing is sent unless it is open."""
        return self.protocol.state

    @property
    def queued_frames(self) -> int:
        """Return how many frames the peer's socket has not taken yet."""
        return len(self.stream.chunks)

    @property
    def queued_bytes(self) -> int:
        """Return how many bytes the peer's socket has not taken yet."""
        return self.stream.buffered_bytes

    @property
    def is_congested(self) -> bool:
        """Return whether the peer is slow to take what is sent."""
        return self.stream.buffered_bytes > MAX_BUFFERED_BYTES

    def send_nowait(self, data: bytes) -> None:
        """Queue a message whatever is buffered; raise InvalidState if not open."""
        self.protocol.send_binary(data)
        for frame in self.protocol.data_to_send():
            self.stream.write(frame)

    async def send(self, data: bytes) -> None:
        """Queue a message once the peer has taken most of what is buffered.

        Cancelled while it waits, it has sent nothing. Raises InvalidState if the connection is not
        open.
        """
        while self.is_congested and self.protocol.state is State.OPEN:
            await self.stream.wait_drained()
        self.send_nowait(data)

    async def receive(self) -> list[bytes | str] | None:
        """Return the messages that come next, None once the connection has ended."""
        while not self.received:
            data = await self.stream.receive()
            if not data:
                self.protocol.receive_eof()
                self._write()
                self._set_closing()
                return None
            self.protocol.receive_data(data)
            self._process_events()
        messages, self.received = self.received, []
        return messages

    def _process_events(self) -> None:
        for event in self.protocol.events_received():
            assert isinstance(event, Frame)
            if event.opcode is Opcode.BINARY and event.fin:
                self.received.append(event.data)
            elif event.opcode is Opcode.PONG:
                if bytes(event.data) == self.ping_payload:
                    self.pong_received.set()
            elif event.opcode in (Opcode.TEXT, Opcode.BINARY, Opcode.CONT):
                self._add_fragment(event)
        self._write()

    def _add_fragment(self, frame: Frame) -> None:
        if self.fragments is None:
            self.fragments = bytearray()
            self.fragments_are_text = frame.opcode is Opcode.TEXT
        self.fragments += frame.data
        if not frame.fin:
            return
        data, self.fragments = bytes(self.fragments), None
        if not self.fragments_are_text:
            self.received.append(data)
            return
        try:
            self.received.append(data.decode())
        except UnicodeDecodeError as exc:
            self.protocol.fail(CloseCode.INVALID_DATA, f"{exc.reason} at position {exc.start}")

    def _write(self) -> None:
        for data in self.protocol.data_to_send():
            if data == SEND_EOF:
                self.stream.write_eof()
            elif data[0] in PING_OR_PONG:
                # Behind megabytes of messages, a peer that reads slowly would get it too late.
                self.stream.write_ahead(data)
            else:
                self.stream.write(data)
        if self.protocol.close_expected():
            self._set_closing()

    def _set_closing(self) -> None:
        self.closing.set()
        self.pong_received.set()

    def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks that the connection needs while it is open."""
        nursery.start_soon(self.stream.run_writer)
        nursery.start_soon(self._keep_alive)

    async def _keep_alive(self) -> None:
        """Ping the peer; end the connection when a pong or the end of a closing one is late."""
        latency_s = 0.0
        while True:
            with trio.move_on_after(max(seconds(PING_INTERVAL_MS) - latency_s, 0)):
                await self.closing.wait()
            if self.closing.is_set():
                break
            self.ping_payload = os.urandom(PING_BYTES)
            self.pong_received = trio.Event()
            sent_s = trio.current_time()
            self.protocol.send_ping(self.ping_payload)
            self._write()
            with trio.move_on_after(seconds(PING_TIMEOUT_MS)) as scope:
                await self.pong_received.wait()
                latency_s = trio.current_time() - sent_s
            if scope.cancelled_caught:
                self.protocol.fail(CloseCode.INTERNAL_ERROR, "keepalive ping timeout")
                self._write()
        await trio.sleep(seconds(CLOSE_TIMEOUT_MS))
        self.stream.abort()

    def close(self) -> None:
        """Close the socket without a closing handshake."""
        self.stream.close()


async def _handshake_event(connection: Connection) -> Any:
    """Return the peer's request or response, None if there was none before the end."""
    protocol = connection.protocol
    received_bytes = 0
    while not protocol.events:
        data = await connection.stream.receive()
        received_bytes += len(data)
        if received_bytes > MAX_HANDSHAKE_BYTES and isinstance(protocol, ServerProtocol):
            return None
        if data:
            protocol.receive_data(data)
        else:
            protocol.receive_eof()
        connection._write()
        if not data or protocol.handshake_exc is not None:
            break
    # Frames may have come with it.
    event = protocol.events.pop(0) if protocol.events else None
    if protocol.handshake_exc is None:
        connection._process_events()
    return event


async def connect(uri: str, *, secret: str) -> Connection:
    """Open a connection; raise OSError, TimeoutError or WebSocketException if that fails."""
    target = parse_uri(uri)
    try:
        with trio.fail_after(seconds(OPEN_TIMEOUT_MS)):
            stream = SocketStream(await trio.open_tcp_stream(target.host, target.port))
            try:
                return await _open(
                    stream, ClientProtocol(target, max_size=MAX_MESSAGE_BYTES), secret
                )
            except BaseException:
                stream.close()
                raise
    except trio.TooSlowError:
        raise TimeoutError("timed out during the opening handshake") from None


async def _open(stream: SocketStream, protocol: ClientProtocol, secret: str) -> Connection:
    connection = Connection(stream, protocol)
    request = protocol.connect()
    request.headers["Authorization"] = f"Bearer {secret}"
    request.headers["User-Agent"] = USER_AGENT
    protocol.send_request(request)
    connection._write()
    await _handshake_event(connection)
    if protocol.handshake_exc is not None:
        raise protocol.handshake_exc
    return connection


async def accept(stream: SocketStream, *, secret: str) -> Connection | None:
    """Return the connection that a peer opens, None if it is refused or lost; close nothing."""
    protocol = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    connection = Connection(stream, protocol)
    request = await _handshake_event(connection)
    if not isinstance(request, Request):
        stream.flush()
        return None
    if _has_secret(request, secret):
        response = protocol.accept(request)
    else:
        response = protocol.reject(HTTP_UNAUTHORIZED, "wrong link secret\n")
    response.headers["Server"] = SERVER
    protocol.send_response(response)
    connection._write()
    if protocol.state is not State.OPEN:
        stream.flush()
        return None
    return connection


def _has_secret(request: Request, secret: str) -> bool:
    provided = ",".join(request.headers.get_all("Authorization"))
    expected = f"Bearer {secret}".encode()
    return hmac.compare_digest(provided.encode(errors="surrogateescape"), expected)
