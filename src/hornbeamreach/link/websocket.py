"""Link over WebSockets with CBOR messages and one outgoing connection to each peer."""

from __future__ import annotations

import hmac
import itertools
from typing import Any

import cbor2
import trio
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.trio.client import connect
from websockets.trio.server import ServerConnection, serve

from hornbeamreach.clock import seconds
from hornbeamreach.exceptions import PeerTimeoutError, PeerUnreachableError
from hornbeamreach.link.codec import DecodeError, from_tagged, to_tagged
from hornbeamreach.link.interface import HandlerTable, unwrap_reply
from hornbeamreach.logs import part_logger

log = part_logger("link")

NOTIFY, REQUEST, REPLY = 0, 1, 2
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# A dead connection is detected within the sum of both, below the 3 s within which a VM must
# stay connected. The library waits for the interval less the latest round trip and stops its pings
# with an error if that is negative, so the interval is the longer one.
PING_INTERVAL_MS = 1_200
PING_TIMEOUT_MS = 1_000
OPEN_TIMEOUT_MS = 1_200
CLOSE_TIMEOUT_MS = 500
RECONNECT_DELAY_MS = 200
NOTIFY_QUEUE_LENGTH = 1_024
MAX_CONCURRENT_REQUESTS = 4_096
HTTP_UNAUTHORIZED = 401


def decode_frame(data: Any) -> tuple[int, int, list[Any]]:
    """Return a frame's kind, request number and tagged message; raise DecodeError if malformed."""
    try:
        kind, number, tagged = cbor2.loads(data)
    except Exception as exc:
        raise DecodeError(f"not a frame: {exc!r}") from exc
    if not isinstance(kind, int) or not isinstance(number, int):
        raise DecodeError("the frame's kind or number is no integer")
    return kind, number, tagged


class PeerConnection:
    """Keep a connection to a peer open, and match replies to requests."""

    def __init__(self, *, address: str, secret: str) -> None:
        self.address = address
        self.secret = secret
        self.socket: Any = None
        self.pending_replies: dict[int, trio.MemorySendChannel] = {}
        self.request_numbers = itertools.count(1)
        # Set once the attempt to connect has succeeded or failed.
        self.connect_ended = trio.Event()
        self.was_open = False
        sender, receiver = trio.open_memory_channel(NOTIFY_QUEUE_LENGTH)
        self.notifications: trio.MemorySendChannel = sender
        self.queued_notifications: trio.MemoryReceiveChannel = receiver

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
        options = {
            "compression": None,
            "proxy": None,
            "max_size": MAX_MESSAGE_BYTES,
            "open_timeout": seconds(OPEN_TIMEOUT_MS),
            "close_timeout": seconds(CLOSE_TIMEOUT_MS),
            "ping_interval": seconds(PING_INTERVAL_MS),
            "ping_timeout": seconds(PING_TIMEOUT_MS),
            "additional_headers": {"Authorization": f"Bearer {self.secret}"},
        }
        async with connect(f"ws://{self.address}/link", **options) as socket:
            self.socket = socket
            self.was_open = True
            self.connect_ended.set()
            log.bind(peer=self.address).info("connected to peer")
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_notifications, socket)
                    await self._receive(socket)
                    nursery.cancel_scope.cancel()
            finally:
                log.bind(peer=self.address, waiting=len(self.pending_replies)).info(
                    "connection to peer closed"
                )
                self._reset()

    def _reset(self) -> None:
        self.socket = None
        self.connect_ended = trio.Event()
        for channel in self.pending_replies.values():
            channel.close()
        self.pending_replies.clear()

    async def _send_notifications(self, socket: Any) -> None:
        try:
            async for frame in self.queued_notifications:
                await socket.send(frame)
        except ConnectionClosed:
            return

    async def _receive(self, socket: Any) -> None:
        try:
            async for data in socket:
                try:
                    kind, number, tagged = decode_frame(data)
                except DecodeError as exc:
                    log.bind(peer=self.address).warning("malformed frame ignored: {}", exc)
                    continue
                channel = self.pending_replies.pop(number, None) if kind == REPLY else None
                if channel is not None:
                    channel.send_nowait(tagged)
        except ConnectionClosed:
            return

    async def request(self, message: Any, timeout_ms: int) -> Any:
        """Send a request and return its reply, which may be a Refusal or Redirect."""
        may_be_sent = False
        with trio.move_on_after(seconds(timeout_ms)) as scope:
            with trio.move_on_after(seconds(OPEN_TIMEOUT_MS)):
                await self.connect_ended.wait()
            # On a socket that is closing nothing would be written.
            if self.socket is None or self.socket.state is not State.OPEN:
                raise PeerUnreachableError(f"no connection to {self.address}")
            may_be_sent = True
            return await self._exchange(message)
        assert scope.cancelled_caught
        if not may_be_sent:
            raise PeerUnreachableError(f"no connection to {self.address}")
        raise PeerTimeoutError(f"{self.address} did not answer in {timeout_ms} ms")

    async def _exchange(self, message: Any) -> Any:
        number = next(self.request_numbers)
        sender, receiver = trio.open_memory_channel(1)
        self.pending_replies[number] = sender
        try:
            await self.socket.send(cbor2.dumps([REQUEST, number, to_tagged(message)]))
            tagged = await receiver.receive()
        except (trio.EndOfChannel, ConnectionClosed):
            raise PeerTimeoutError(f"the connection to {self.address} was lost") from None
        finally:
            self.pending_replies.pop(number, None)
        return from_tagged(tagged)

    def notify(self, message: Any) -> None:
        """Queue a message; drop it if the peer is unreachable or the queue is full."""
        if self.socket is None:
            return
        try:
            self.notifications.send_nowait(cbor2.dumps([NOTIFY, 0, to_tagged(message)]))
        except trio.WouldBlock:
            log.warning("message to {} dropped: its notification queue is full", self.address)


class WebSocketLink:
    """Send messages over the outgoing connections of one process."""

    def __init__(self, *, nursery: trio.Nursery, secret: str) -> None:
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

    def __init__(self, *, address: str, secret: str, handlers: HandlerTable) -> None:
        self.address = address
        self.secret = secret
        self.handlers = handlers

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled."""
        host, port = self.address.split(":")
        await serve(
            self._serve_connection,
            int(port),
            host=host,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            process_request=self._check_secret,
            open_timeout=seconds(OPEN_TIMEOUT_MS),
            close_timeout=seconds(CLOSE_TIMEOUT_MS),
            ping_interval=seconds(PING_INTERVAL_MS),
            ping_timeout=seconds(PING_TIMEOUT_MS),
            task_status=task_status,
        )

    def _check_secret(self, connection: ServerConnection, request: Request) -> Response | None:
        expected = f"Bearer {self.secret}".encode()
        provided = request.headers.get("Authorization", "").encode()
        if hmac.compare_digest(provided, expected):
            return None
        return connection.respond(HTTP_UNAUTHORIZED, "wrong link secret\n")

    async def _serve_connection(self, socket: ServerConnection) -> None:
        limit = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)
        try:
            async with trio.open_nursery() as nursery:
                async for data in socket:
                    try:
                        kind, number, tagged = decode_frame(data)
                    except DecodeError as exc:
                        log.warning("malformed frame ignored: {}", exc)
                        continue
                    if kind == NOTIFY:
                        # Handled in order: a later message must not overtake an earlier one.
                        await self._handle_notification(tagged)
                    else:
                        nursery.start_soon(self._serve_request, socket, number, tagged, limit)
                nursery.cancel_scope.cancel()
        except* ConnectionClosed:
            log.debug("connection of a peer to {} closed", self.address)

    async def _handle_notification(self, tagged: list[Any]) -> None:
        try:
            await self.handlers.handle(from_tagged(tagged))
        except DecodeError as exc:
            log.warning("undecodable message ignored: {}", exc)
        except Exception as exc:
            log.bind(message=tagged[0]).error("message not handled: {!r}", exc)

    async def _serve_request(
        self, socket: Any, number: int, tagged: list[Any], limit: trio.CapacityLimiter
    ) -> None:
        async with limit:
            try:
                reply = await self.handlers.handle(from_tagged(tagged))
            except DecodeError as exc:
                log.warning("undecodable request ignored: {}", exc)
                return
            except Exception as exc:
                # Without a reply the sender takes the request as one that may have run.
                log.bind(message=tagged[0]).error("request not handled: {!r}", exc)
                return
            try:
                await socket.send(cbor2.dumps([REPLY, number, to_tagged(reply)]))
            except ConnectionClosed:
                return
