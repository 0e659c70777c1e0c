"""HTTP client for the platform's services, with a connection pool for each address."""

from __future__ import annotations

import socket
from typing import Any

import httptools
import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import Delivery, UnknownOutcomeError
from hornbeamreach.web.http_messages import (
    CONTENT_LENGTH,
    SUPPORTED_VERSIONS,
    TRANSFER_ENCODING,
    InvalidHeadError,
    MalformedMessageError,
    check_transfer_encoding,
    encode_header,
)
from hornbeamreach.web.tcp_stream import TcpStream

# Limit for each address. A plan starts up to about this many tasks on a minion at once, and a
# minion accepts 64 connections from all clients together.
MAX_IDLE_CONNECTIONS = 10
# A connection idle for longer is not reused: the peer may have closed it.
MAX_IDLE_MS = 10_000
# Limit for the part of a response that arrived without completing its head or a chunk.
MAX_HEADER_BYTES = 16 * 1024
READ_BYTES = 65_536
# Limit for the body of a response. Lists of 500 ends take some 50 KB.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Raised for an address that no connection can be opened to.
ADDRESS_ERRORS = (ValueError, OverflowError)
JSON_HEADER = (b"Content-Type", b"application/json")
PROTOCOL_NAME = b"HTTP/"
# Characters of a reason phrase: all but control characters other than tabs.
REASON_CHARACTERS = bytes([0x09, *range(0x20, 0x7F), *range(0x80, 0x100)])
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200


@define(frozen=True, kw_only=True)
class Response:
    """Hold an HTTP response."""

    status: int
    body: bytes


@define(eq=False)
class ResponseReader:
    """Parse the responses of one connection, one after another."""

    parser: Any = None
    status: int = 0
    parts: list[bytes] = field(factory=list)
    head_complete: bool = False
    complete: bool = False
    keep_alive: bool = False
    # Whether the response has a length or chunks; else the end of the connection ends it.
    framed: bool = False
    without_body: bool = False
    # Whether something follows the response, to which no request belongs.
    surplus: bool = False
    # Bytes that arrived since the last progress.
    pending_bytes: int = 0
    body_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        # Some servers pad the sizes of chunks or end the lines of a head with LF alone.
        self.parser.set_dangerous_leniencies(
            lenient_spaces_after_chunk_size=True, lenient_optional_cr_before_lf=True
        )

    def expect(self, method: str) -> None:
        """Prepare for the response to a request."""
        self.parts = []
        self.status = self.pending_bytes = self.body_bytes = 0
        self.head_complete = self.complete = False
        self.without_body = method == "HEAD"

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raise MalformedMessageError if they are no response."""
        # llhttp skips empty lines and accepts RTSP and ICE.
        if not self.pending_bytes and not self.status and data[:5] != PROTOCOL_NAME[: len(data)]:
            raise MalformedMessageError("not HTTP")
        self.pending_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # What follows a complete response only ends the connection.
            self.surplus = True
            if not self.complete:
                cause = exc.__context__
                if isinstance(cause, MalformedMessageError):
                    raise cause from None
                raise MalformedMessageError(str(exc)) from None
        if self.pending_bytes > MAX_HEADER_BYTES:
            raise MalformedMessageError("headers too large")

    def feed_eof(self) -> None:
        """End the response with the connection; raise MalformedMessageError if it isn't whole."""
        if not self.head_complete or self.framed or self.status < FIRST_FINAL_STATUS:
            raise MalformedMessageError("closed before the response was complete")
        self.keep_alive = False
        self.complete = True

    def close(self) -> None:
        """Break the reference cycle with the parser."""
        self.parser = None

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a response."""
        self.surplus = self.complete
        self.head_complete = self.framed = False

    def on_status(self, part: bytes) -> None:
        """Check a part of the reason phrase, in which llhttp accepts any character."""
        if part.translate(None, REASON_CHARACTERS):
            raise MalformedMessageError("invalid reason phrase")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check a header that delimits the response."""
        if not self.head_complete and len(name) in (14, 17):
            lowered = name.lower()
            if lowered == TRANSFER_ENCODING:
                check_transfer_encoding(value)
                self.framed = True
                # The lines of a chunked body end with CR and LF.
                self.parser.set_dangerous_leniencies(lenient_optional_cr_before_lf=False)
            elif lowered == CONTENT_LENGTH:
                self.framed = True

    def on_headers_complete(self) -> None:
        """Take the status; a response without a body is complete."""
        self.head_complete = True
        if self.complete:
            return
        self.pending_bytes = 0
        version = self.parser.get_http_version()
        if version not in SUPPORTED_VERSIONS:
            raise MalformedMessageError(f"unsupported version {version}")
        self.status = self.parser.get_status_code()
        if self.status < FIRST_STATUS or self.parser.should_upgrade():
            raise MalformedMessageError(f"unexpected status {self.status}")
        self.keep_alive = version == "1.1" and self.parser.should_keep_alive()
        if self.without_body and self.status >= FIRST_FINAL_STATUS:
            # llhttp would wait for the announced body.
            self.complete = True
            self.keep_alive = False

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self.pending_bytes = 0
        if self.complete:
            return
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            raise MalformedMessageError("body too large")
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Complete the response, unless it only announces another."""
        self.pending_bytes = 0
        if self.status >= FIRST_FINAL_STATUS:
            self.complete = True


@define(kw_only=True, eq=False)
class HttpConnection:
    """Send requests on one connection, one after another."""

    stream: trio.abc.Stream
    reader: ResponseReader = field(factory=ResponseReader)
    idle_since: float = 0.0

    async def exchange(
        self, method: str, path: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> Response:
        """Send a request and return the whole response."""
        request = encode_request(method, path, headers, body)
        reader = self.reader
        reader.expect(method)
        await self.stream.send_all(request)
        while not reader.complete:
            data = await self.stream.receive_some(READ_BYTES)
            if data:
                reader.feed(data)
            else:
                reader.feed_eof()
        parts = reader.parts
        return Response(status=reader.status, body=parts[0] if len(parts) == 1 else b"".join(parts))

    def is_reusable(self) -> bool:
        """Return whether both sides keep the connection open after the last response."""
        reader = self.reader
        return reader.complete and reader.keep_alive and not reader.surplus

    def has_unread_data(self) -> bool:
        """Return whether data has arrived that isn't read yet."""
        assert isinstance(self.stream, TcpStream)
        return self.stream.has_unread_data()

    def close(self) -> None:
        """Close a connection of this client at once."""
        self.reader.close()
        assert isinstance(self.stream, TcpStream)
        self.stream.close()


def encode_request(
    method: str, path: str, headers: list[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Encode a request; raise InvalidHeadError for a method, path or header that isn't valid."""
    if not method.isalpha() or not path.isprintable() or " " in path or not path:
        raise InvalidHeadError(f"invalid request line {method!r} {path[:100]!r}")
    return b"".join(
        (
            f"{method} {path} HTTP/1.1\r\n".encode("ascii"),
            *[encode_header(name, value) for name, value in headers],
            b"Content-Length: %d\r\n\r\n" % len(body),
            body,
        )
    )


@define(kw_only=True, eq=False)
class PlatformHttpClient:
    """Send requests, one at a time on each connection.

    Built on httptools (llhttp) and a socket instead of httpcore: an order to a minion takes a
    fraction of the CPU time, and a scheduler sends hundreds a second.
    """

    idle_connections: dict[str, list[HttpConnection]] = field(factory=dict)

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout_ms: int,
    ) -> Response:
        """Send a request and return the whole response.

        Raise UnknownOutcomeError if the connection fails or there is no response within
        `timeout_ms`. A connection that failed, timed out or was cancelled is closed.
        """
        connection: HttpConnection | None = None
        completed = False
        delivery = Delivery.NOBODY
        try:
            with trio.CancelScope(deadline=trio.current_time() + seconds(timeout_ms)):
                connection = self._pop_idle(address) or await _connect(address)
                delivery = Delivery.ANY_INCARNATION
                all_headers = [(b"Host", address.encode()), JSON_HEADER, *headers]
                response = await connection.exchange(method, path, all_headers, body)
                completed = True
                return response
        except (
            OSError,
            trio.BrokenResourceError,
            MalformedMessageError,
            *ADDRESS_ERRORS,
        ) as exc:
            raise UnknownOutcomeError(f"{address}{path}: {exc!r}", delivery) from None
        finally:
            if connection is not None and not (completed and self._keep_idle(address, connection)):
                connection.close()
        # Only the deadline ends the block above without a response.
        raise UnknownOutcomeError(f"{address}{path}: no answer in {timeout_ms} ms", delivery)

    def _pop_idle(self, address: str) -> HttpConnection | None:
        connections = self.idle_connections.get(address)
        while connections:
            connection = connections.pop()
            is_recent = trio.current_time() - connection.idle_since < seconds(MAX_IDLE_MS)
            # Data that arrived since would be taken for the response to the next request.
            if is_recent and not connection.has_unread_data():
                return connection
            connection.close()
        return None

    def _keep_idle(self, address: str, connection: HttpConnection) -> bool:
        connections = self.idle_connections.setdefault(address, [])
        if len(connections) >= MAX_IDLE_CONNECTIONS or not connection.is_reusable():
            return False
        connection.idle_since = trio.current_time()
        connections.append(connection)
        return True

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle_connections.pop(address, ()):
            connection.close()


async def _connect(address: str) -> HttpConnection:
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await trio.socket.from_stdlib_socket(sock).connect((host, int(port)))
    except BaseException:
        sock.close()
        raise
    return HttpConnection(stream=TcpStream(sock))
