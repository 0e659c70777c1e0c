"""HTTP/1.1 server for plain ASGI applications, with httptools (llhttp) on trio.

For daemons that start often and serve many small requests to clients that nobody controls: it
bounds the connections and the memory that they hold, and loads no HTTP/2 and no WebSockets.
"""

from __future__ import annotations

import enum
import functools
import math
import socket
from contextlib import suppress
from typing import Any
from urllib.parse import unquote

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.logs import part_logger
from hornbeamreach.web.connection_pool import ConnectionLimits, ConnectionPool, PooledConnection
from hornbeamreach.web.http_messages import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Headers,
    InvalidHeadError,
    MalformedMessageError,
    encode_header,
)
from hornbeamreach.web.request_reader import END_OF_REQUEST, Request, RequestReader
from hornbeamreach.web.tcp_stream import Data, TcpStream

log = part_logger("http")

BACKLOG = 1_024
# Time for requests in flight once the server stops.
GRACEFUL_TIMEOUT_MS = 35_000
# A connection on which nothing arrives for this long is closed.
IDLE_TIMEOUT_MS = 60_000
READ_BYTES = 16_384
# A response that the client does not read for this long is given up.
SEND_TIMEOUT_MS = 30_000
INTERNAL_ERROR = 500
TOO_LARGE = 413
UNAVAILABLE = 503
# The crowd that used up the memory has been closed by then.
RETRY_AFTER_S = b"1"
MIN_STATUS = 200
MAX_STATUS = 999
STATUSES_WITHOUT_BODY = (204, 304)
CACHED_HEADS = 512
CONTINUE = b"HTTP/1.1 100 \r\n\r\n"
CLOSE = encode_header(b"Connection", b"close")
LAST_CHUNK = b"0\r\n\r\n"
# What the scopes of all requests have in common.
SCOPE = {"type": "http", "asgi": {"version": "3.0"}, "scheme": "http", "root_path": ""}
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


async def serve_requests(
    app: Any,
    address: str,
    *,
    stop: trio.Event,
    limits: ConnectionLimits | None = None,
    kept_headers: frozenset[bytes] | None = None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until `stop` is set, then finish the requests in flight.

    Requests keep only the headers that `kept_headers` names in lower case, None for all.
    """
    pool = ConnectionPool(limits=limits or ConnectionLimits())
    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
    # Scopes of the connections that wait for a next request.
    idle_reads: set[trio.CancelScope] = set()

    async def serve_connection(accepted: trio.SocketStream) -> None:
        sock = socket.socket(fileno=accepted.socket.detach())
        sock.setblocking(False)
        stream = TcpStream(sock)
        place = pool.open()
        if place is None:
            stream.close()
            return
        reader = RequestReader(pool.limits.max_head_bytes, kept_headers)
        await ConnectionServer(
            app=app, stream=stream, stop=stop, idle_reads=idle_reads, place=place, reader=reader
        ).run()

    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                functools.partial(
                    trio.serve_listeners, serve_connection, listeners, handler_nursery=connections
                )
            )
            task_status.started()
            await stop.wait()
            accepting.cancel_scope.cancel()
        for scope in idle_reads:
            scope.cancel()
        connections.cancel_scope.deadline = trio.current_time() + seconds(GRACEFUL_TIMEOUT_MS)


class OverloadedError(MalformedMessageError):
    """Report that there is no memory for a request now."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, UNAVAILABLE)


class ResponseError(Exception):
    """Report a response that contradicts itself or that comes twice."""


class ResponsePhase(enum.Enum):
    """List how far the response to a request is."""

    NOT_BEGUN = enum.auto()
    BODY = enum.auto()
    COMPLETE = enum.auto()


@define(frozen=True, eq=False)
class ResponseHead:
    """Hold an encoded head without its end, and what it says about the body."""

    encoded: bytes
    length: int | None
    closes: bool
    has_body: bool


@functools.lru_cache(CACHED_HEADS)
def encode_response_head(status: int, headers: Headers) -> ResponseHead:
    """Encode the head of a response; raise InvalidHeadError for one that isn't valid."""
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise InvalidHeadError(f"invalid status {status}")
    lines = [b"HTTP/1.1 %d \r\n" % status]
    length = None
    closes = False
    for name, value in headers:
        lowered = name.lower()
        if lowered == CONTENT_LENGTH:
            if length is not None or not value.isdigit():
                raise InvalidHeadError(f"invalid length {value!r}")
            length = int(value)
        elif lowered == b"connection":
            # The server states itself whether it closes the connection.
            closes = closes or b"close" in value.lower()
            continue
        elif lowered == TRANSFER_ENCODING:
            raise InvalidHeadError("the server chooses the transfer coding")
        lines.append(encode_header(name, value))
    return ResponseHead(b"".join(lines), length, closes, status not in STATUSES_WITHOUT_BODY)


@define(kw_only=True, eq=False)
class ConnectionServer:
    """Serve the requests of one connection, one after another."""

    app: Any
    stream: trio.abc.Stream
    stop: trio.Event
    idle_reads: set[trio.CancelScope]
    reader: RequestReader = field(factory=RequestReader)
    place: PooledConnection = field(factory=lambda: PooledConnection(pool=ConnectionPool()))
    # Part of an answer that the client has not taken yet.
    unsent_bytes: int = 0
    # One scope for all reads of a connection's heads: a scope for each read costs several times as
    # much as to move its deadline.
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    request: Request | None = None
    body_complete: bool = True
    phase: ResponsePhase = ResponsePhase.NOT_BEGUN
    sends_continue: bool = False
    # The head of a response, sent together with its body.
    pending: bytes = b""
    has_body: bool = True
    chunked: bool = False
    # Bytes of the body that the announced length leaves, or None without a length.
    left: int | None = None
    closes: bool = False

    async def run(self) -> None:
        """Serve until the connection is closed; no error of a request leaves this method."""
        try:
            with self.place.scope:
                while await self._serve_until_cancelled():
                    self.scope = trio.CancelScope()
            if self.place.evicted:
                self._refuse_now()
        except CONNECTION_ERRORS as exc:
            log.debug("connection lost: {!r}", exc)
        except MalformedMessageError as exc:
            log.info("malformed request: {}", exc)
            await self._reject(exc.status)
        except Exception:
            log.exception("request failed")
            await self._reject(INTERNAL_ERROR)
        finally:
            self.place.close()
            self.reader.close()
            if isinstance(self.stream, TcpStream):
                self.stream.close()
            else:
                await trio.aclose_forcefully(self.stream)

    async def _serve_until_cancelled(self) -> bool:
        """Serve requests; return True if data arrived just as the scope was cancelled.

        What that data begins is still served, in another scope.
        """
        with self.scope:
            while await self._receive_request():
                if self.scope.cancel_called:
                    return True
                if not await self._serve_request(self._take_request()):
                    return False
        return False

    async def _receive_request(self) -> bool:
        """Wait for a request; return whether there is data that may begin one.

        Return False once the connection is closed, or if it is idle as the server stops.
        """
        reader = self.reader
        self.phase = ResponsePhase.NOT_BEGUN
        self.place.begin_waiting()
        if not reader.events:
            reader.resume()
        # A response doesn't wait if the kernel accepts it: requests that arrived together would
        # be served in one step of the event loop.
        if reader.events:
            await trio.lowlevel.checkpoint()
        while not reader.events and not self.scope.cancel_called:
            if not reader.begun:
                if self.stop.is_set():
                    return False
                self.idle_reads.add(self.scope)
            self.scope.deadline = trio.current_time() + seconds(IDLE_TIMEOUT_MS)
            try:
                data = await self.stream.receive_some(READ_BYTES)
            finally:
                self.idle_reads.discard(self.scope)
            self.scope.deadline = math.inf
            if not data:
                return False
            self._feed(data)
        return True

    def _feed(self, data: bytes) -> None:
        """Parse received data; raise OverloadedError if there is no memory for it now."""
        self.reader.feed(data)
        self._count_memory()

    def _count_memory(self) -> None:
        held_bytes = self.reader.held_bytes + self.unsent_bytes
        if held_bytes > self.place.pool.limits.max_bytes:
            raise MalformedMessageError("takes more memory than all requests may", TOO_LARGE)
        if not self.place.hold(held_bytes):
            raise OverloadedError("no memory for the request")

    def _take_request(self) -> Request:
        event = self.reader.events.popleft()
        # Before anything is raised: the response to a malformed request is still due.
        self.phase = ResponsePhase.NOT_BEGUN
        if isinstance(event, MalformedMessageError):
            raise event
        assert isinstance(event, Request)
        self.request = event
        return event

    async def _serve_request(self, request: Request) -> bool:
        """Serve a request; return whether another may follow."""
        self.body_complete = False
        self.sends_continue = request.expects_continue
        if self.reader.events and self.reader.events[0] is END_OF_REQUEST:
            self.place.begin_serving()
        path, _, query = request.target.partition(b"?")
        scope = {
            **SCOPE,
            "http_version": "1.1" if request.is_http_1_1 else "1.0",
            "method": request.method,
            "path": unquote(path.decode("ascii")),
            "raw_path": path,
            "query_string": query,
            "headers": request.headers,
        }
        await self.app(scope, self._receive, self._send)
        while not self.body_complete:
            if await self._next_part() is None:
                return False
        self.reader.release_request()
        self.place.hold(self.reader.held_bytes)
        return self.phase is ResponsePhase.COMPLETE and not self.closes

    async def _receive(self) -> dict[str, Any]:
        if not self.body_complete:
            body = await self._next_part()
            if body is not None:
                return {
                    "type": "http.request",
                    "body": body,
                    "more_body": not self.body_complete,
                }
        return {"type": "http.disconnect"}

    async def _next_part(self) -> bytes | None:
        """Return the next part of the request's body, or None if none arrives in time."""
        events = self.reader.events
        while not events and not self.reader.resume():
            if self.sends_continue:
                self.sends_continue = False
                await self._send_bytes(CONTINUE)
            with trio.move_on_after(seconds(IDLE_TIMEOUT_MS)) as scope:
                data = await self.stream.receive_some(READ_BYTES)
            if scope.cancelled_caught:
                return None
            if not data:
                raise MalformedMessageError("closed before the request was complete")
            self._feed(data)
        event = events.popleft()
        if isinstance(event, MalformedMessageError):
            raise event
        self.sends_continue = False
        if event is END_OF_REQUEST:
            self._complete_body()
            return b""
        assert isinstance(event, bytes)
        if events and events[0] is END_OF_REQUEST:
            events.popleft()
            self._complete_body()
        return event

    def _complete_body(self) -> None:
        self.body_complete = True
        self.place.begin_serving()

    async def _send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            self._begin_response(message["status"], tuple(message["headers"]))
            return
        if self.phase is not ResponsePhase.BODY:
            raise ResponseError("a body without a response")
        body = message.get("body", b"")
        more = message.get("more_body", False)
        data = self.pending + (self._encode_body(body, more) if self.has_body else b"")
        self.pending = b""
        if not more:
            self.phase = ResponsePhase.COMPLETE
        await self._send_bytes(data)

    def _begin_response(self, status: int, headers: Headers) -> None:
        if self.phase is not ResponsePhase.NOT_BEGUN:
            raise ResponseError("a second response")
        assert self.request is not None
        head = encode_response_head(status, headers)
        self.phase = ResponsePhase.BODY
        self.sends_continue = False
        self.left = head.length
        self.has_body = head.has_body and self.request.method != "HEAD"
        self.closes = head.closes or not self.request.keep_alive or self.stop.is_set()
        self.chunked = head.has_body and head.length is None and self.request.is_http_1_1
        # Without a length, the end of the connection ends a response to HTTP/1.0.
        self.pending = b"%s%s%s\r\n" % (
            head.encoded,
            b"Transfer-Encoding: chunked\r\n" if self.chunked else b"",
            CLOSE if self.closes else b"",
        )

    def _encode_body(self, body: bytes, more: bool) -> bytes:
        if self.left is not None:
            self.left -= len(body)
            if self.left < 0 or (self.left and not more):
                raise ResponseError("a body of another length than announced")
            return body
        if not self.chunked:
            return body
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return chunk if more else chunk + LAST_CHUNK

    async def _send_bytes(self, data: Data) -> None:
        if isinstance(self.stream, TcpStream):
            data = self.stream.send_now(data)
        if data:
            self.place.begin_waiting()
            self.unsent_bytes = len(data)
            self._count_memory()
            with trio.fail_after(seconds(SEND_TIMEOUT_MS)):
                await self.stream.send_all(data)
            self.unsent_bytes = 0
            self.place.begin_serving()

    async def _reject(self, status: int) -> None:
        """Answer with an empty response, unless another one has begun."""
        if self.phase is not ResponsePhase.NOT_BEGUN:
            return
        with trio.move_on_after(seconds(SEND_TIMEOUT_MS)), suppress(*CONNECTION_ERRORS):
            await self.stream.send_all(encode_refusal(status))

    def _refuse_now(self) -> None:
        """Tell a client whose request has not been served that it may come back, if it reads."""
        has_begun = self.reader.begun or bool(self.reader.events)
        is_due = self.phase is ResponsePhase.NOT_BEGUN and has_begun
        if is_due and isinstance(self.stream, TcpStream):
            self.stream.send_now(encode_refusal(UNAVAILABLE))


def encode_refusal(status: int) -> bytes:
    """Encode an empty response that closes the connection."""
    headers = ((CONTENT_LENGTH, b"0"),)
    if status == UNAVAILABLE:
        headers += ((b"Retry-After", RETRY_AFTER_S),)
    head = encode_response_head(status, headers)
    return b"%s%s\r\n" % (head.encoded, CLOSE)
