"""Link over WebSockets with CBOR messages and one outgoing connection to each peer."""

from __future__ import annotations

import itertools
from typing import Any

import trio
from websockets.exceptions import InvalidState, WebSocketException
from websockets.protocol import State

from hornbeamreach.clock import seconds
from hornbeamreach.exceptions import PeerTimeoutError, PeerUnreachableError
from hornbeamreach.link.codec import DecodeError, from_tagged
from hornbeamreach.link.connection import (
    MAX_MESSAGE_BYTES,
    OPEN_TIMEOUT_MS,
    Connection,
    accept,
    connect,
)
from hornbeamreach.link.dispatch import Dispatcher
from hornbeamreach.link.frames import NOTIFY, REPLY, REQUEST, decode_frame, encode_frame
from hornbeamreach.link.interface import HandlerTable, unwrap_reply
from hornbeamreach.link.pending_reply import PendingReply, ReplyLostError, current_timer
from hornbeamreach.link.socket_stream import SocketStream, current_flusher
from hornbeamreach.logs import part_logger
from hornbeamreach.web.connection_pool import ConnectionLimits, ConnectionPool

__all__ = [
    "NOTIFY",
    "REPLY",
    "REQUEST",
    "LinkServer",
    "PeerConnection",
    "WebSocketLink",
    "decode_frame",
]

log = part_logger("link")

RECONNECT_DELAY_MS = 200
# Notifications are dropped while the peer has not taken this many frames, or as many bytes as the
# largest message has.
MAX_QUEUED_FRAMES = 1_024
MAX_QUEUED_BYTES = MAX_MESSAGE_BYTES


class PeerConnection:
    """Keep a connection to a peer open, and match replies to requests."""

    def __init__(self, *, address: str, secret: str) -> None:
        self.address = address
        self.secret = secret
        self.socket: Connection | None = None
        self.pending_replies: dict[int, PendingReply] = {}
        self.request_numbers = itertools.count(1)
        # Set once the attempt to connect has succeeded or failed.
        self.connect_ended = trio.Event()
        self.was_open = False

    async def run(self) -> None:
        """Connect, and reconnect after a delay, until cancelled."""
        while True:
            if self.connect_ended.is_set():
                self.connect_ended = trio.Event()
            self.was_open = False
            try:
                await self._run_connection()
            except* (OSError, WebSocketException, TimeoutError, EOFError) as group:
                log.debug(
                    "connection to {} failed or lost, will reconnect: {!r}", self.address, group
                )
            except* Exception as group:
                # One connection's error must not end the process.
                log.bind(peer=self.address).error(
                    "unexpected error on a connection, will reconnect: {!r}", group
                )
            if not self.was_open:
                # Requests that wait for this connection can be sent to another peer.
                self.connect_ended.set()
            await trio.sleep(seconds(RECONNECT_DELAY_MS))

    async def _run_connection(self) -> None:
        socket = await connect(f"ws://{self.address}/link", secret=self.secret)
        try:
            self.socket = socket
            self.was_open = True
            self.connect_ended.set()
            log.bind(peer=self.address).info("connected to peer")
            try:
                async with trio.open_nursery() as nursery:
                    socket.start(nursery)
                    await self._receive(socket)
                    nursery.cancel_scope.cancel()
            finally:
                log.bind(peer=self.address, waiting=len(self.pending_replies)).info(
                    "connection to peer closed"
                )
                self._reset()
        finally:
            socket.close()

    def _reset(self) -> None:
        self.socket = None
        self.connect_ended = trio.Event()
        for reply in self.pending_replies.values():
            reply.settle(None, ReplyLostError)
        self.pending_replies.clear()

    async def _receive(self, socket: Connection) -> None:
        while (messages := await socket.receive()) is not None:
            for data in messages:
                try:
                    kind, number, tagged = decode_frame(data)
                except DecodeError as exc:
                    log.bind(peer=self.address).warning("malformed frame ignored: {}", exc)
                    continue
                reply = self.pending_replies.pop(number, None) if kind == REPLY else None
                if reply is not None:
                    reply.settle(tagged)

    async def request(self, message: Any, timeout_ms: int) -> Any:
        """Send a request and return its reply, which may be a Refusal or Redirect."""
        now_s = trio.current_time()
        deadline_s = now_s + seconds(timeout_ms)
        if not self.connect_ended.is_set():
            with trio.move_on_at(min(deadline_s, now_s + seconds(OPEN_TIMEOUT_MS))):
                await self.connect_ended.wait()
        # On a socket that is closing nothing would be written.
        if self.socket is None or self.socket.state is not State.OPEN:
            raise PeerUnreachableError(f"no connection to {self.address}")
        try:
            return await self._exchange(self.socket, message, deadline_s)
        except trio.TooSlowError:
            raise PeerTimeoutError(f"{self.address} did not answer in {timeout_ms} ms") from None
        except (ReplyLostError, InvalidState):
            raise PeerTimeoutError(f"the connection to {self.address} was lost") from None

    async def _exchange(self, socket: Connection, message: Any, deadline_s: float) -> Any:
        number = next(self.request_numbers)
        reply = PendingReply()
        self.pending_replies[number] = reply
        try:
            data = encode_frame(REQUEST, number, message)
            if socket.is_congested:
                with trio.fail_at(deadline_s):
                    await socket.send(data)
            else:
                await socket.send(data)
            current_timer().add(deadline_s, reply)
            tagged = await reply.wait()
        finally:
            self.pending_replies.pop(number, None)
        return from_tagged(tagged)

    def notify(self, message: Any) -> None:
        """Queue a message; drop it if the peer is unreachable or the queue is full."""
        socket = self.socket
        if socket is None or socket.state is not State.OPEN:
            return
        if socket.queued_frames >= MAX_QUEUED_FRAMES or socket.queued_bytes >= MAX_QUEUED_BYTES:
            log.warning("message to {} dropped: its notification queue is full", self.address)
            return
        socket.send_nowait(encode_frame(NOTIFY, 0, message))


class WebSocketLink:
    """Send messages over the outgoing connections of one process."""

    def __init__(self, *, nursery: trio.Nursery, secret: str) -> None:
        # Before the instrument that measures how busy the loop is.
        current_flusher()
        self.nursery = nursery
        self.secret = secret
        self.peers: dict[str, PeerConnection] = {}

    def peer(self, address: str) -> PeerConnection:
        """Return the connection to an address; open it at first use."""
        if address not in self.peers:
            connection = PeerConnection(address=address, secret=self.secret)
            self.peers[address] = connection
            self.nursery.start_soon(connection.run)
        return self.peers[address]

    async def request(self, address: str, message: Any, *, timeout_ms: int) -> Any:
        """Send a request and return its reply."""
        return unwrap_reply(await self.peer(address).request(message, timeout_ms))

    def notify(self, address: str, message: Any) -> None:
        """Send a message without a reply; drop it if the peer is unreachable."""
        self.peer(address).notify(message)


class LinkServer:
    """Serve the requests and notifications of other processes over WebSockets."""

    def __init__(
        self,
        *,
        address: str,
        secret: str,
        handlers: HandlerTable,
        limits: ConnectionLimits | None = None,
    ) -> None:
        self.address = address
        self.secret = secret
        self.handlers = handlers
        # Connections on which no peer has proved to know the secret.
        self.unknown_peers = ConnectionPool(limits=limits or ConnectionLimits())

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled."""
        host, port = self.address.split(":")
        await trio.serve_tcp(self._serve_connection, int(port), host=host, task_status=task_status)

    async def _serve_connection(self, tcp_stream: trio.SocketStream) -> None:
        """Serve one peer; its errors end neither the server nor other connections."""
        try:
            stream = SocketStream(tcp_stream)
            try:
                connection = await self._accept(stream)
                if connection is not None:
                    await Dispatcher(connection, self.handlers).run()
                    log.debug("connection of a peer to {} closed", self.address)
            finally:
                stream.close()
        except OSError as exc:
            log.debug("connection of a peer to {} lost: {!r}", self.address, exc)
        except Exception as exc:
            log.error("unexpected error on a connection of a peer: {!r}", exc)

    async def _accept(self, stream: SocketStream) -> Connection | None:
        place = self.unknown_peers.open()
        if place is None:
            return None
        try:
            with place.scope, trio.move_on_after(seconds(OPEN_TIMEOUT_MS)):
                return await accept(stream, secret=self.secret)
        finally:
            place.close()
        return None
