"""Parser of HTTP/1 requests, with llhttp."""

from __future__ import annotations

from collections import deque
from typing import Any

import httptools
from attrs import define, field

from hornbeamreach.web.http_messages import (
    CONTENT_LENGTH,
    HEADERS_TOO_LARGE,
    SUPPORTED_VERSIONS,
    TRANSFER_ENCODING,
    MalformedMessageError,
    check_transfer_encoding,
)

# Limit for the part of a request that arrived without completing its head or a chunk.
MAX_HEAD_BYTES = 64 * 1024
# What is parsed at once where the next request may begin: as many as fit may be held as events.
SLICE_BYTES = 512
# Memory of one header, or one part of a body, besides its characters: a tuple and bytes objects.
OBJECT_BYTES = 160
# Memory that one value of JSON content takes when decoded. The number of values is counted by the
# characters before them.
VALUE_BYTES = 80
VALUE_SEPARATORS = (b",", b"[", b"{")
# Headers that the server itself reads.
SERVER_HEADERS = frozenset(
    (
        b"host",
        b"connection",
        b"content-length",
        b"expect",
        b"transfer-encoding",
        b"upgrade",
    )
)
OWS = b" \t"
UPGRADE = b"upgrade"


@define(frozen=True, eq=False)
class Request:
    """Hold the head of a request, with the names of its headers in lower case."""

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    keep_alive: bool
    # Whether the client understands chunked responses.
    is_http_1_1: bool
    expects_continue: bool


class EndOfRequest:
    """Mark the end of a request's body."""


END_OF_REQUEST = EndOfRequest()


def content_bytes(data: bytes) -> int:
    """Return the memory that a part of a body takes, decoded as JSON, at most."""
    values = sum(data.count(separator) for separator in VALUE_SEPARATORS)
    return len(data) + OBJECT_BYTES + VALUE_BYTES * values


@define(eq=False)
class RequestReader:
    """Turn received bytes into events: a request, the parts of its body, its end, or an error.

    What follows a request is parsed once that is taken; nothing follows an error.
    """

    max_head_bytes: int = MAX_HEAD_BYTES
    # Lower-case names of the headers that a request keeps, besides SERVER_HEADERS; None for all.
    kept_headers: frozenset[bytes] | None = None
    events: deque[Request | bytes | EndOfRequest | MalformedMessageError] = field(factory=deque)
    # Whether part of a request has arrived that isn't complete.
    begun: bool = False
    parser: Any = None
    method: str = ""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    in_head: bool = False
    # Bytes that arrived since the last event.
    pending_bytes: int = 0
    # What arrived behind a complete request, and the memory of each request from the first one that
    # isn't released.
    unparsed: bytearray = field(factory=bytearray)
    request_bytes: deque[int] = field(factory=deque)
    # Bytes that the announced length of a body leaves.
    body_left: int = 0
    # A request is complete, so nothing more is parsed until `resume`.
    paused: bool = False
    # A request that asks for an upgrade, parsed again without it.
    refused_upgrade: Request | None = None

    def __attrs_post_init__(self) -> None:
        self._renew_parser()

    def _renew_parser(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        # Some clients pad the sizes of chunks.
        self.parser.set_dangerous_leniencies(lenient_spaces_after_chunk_size=True)

    @property
    def held_bytes(self) -> int:
        """Return the memory that received data takes."""
        return sum(self.request_bytes) + self.pending_bytes + len(self.unparsed)

    def feed(self, data: bytes | bytearray) -> None:
        """Parse received bytes and add their events, up to the end of a request."""
        if self.paused or self.unparsed or len(data) > SLICE_BYTES:
            self.unparsed += data
            self._parse_slices()
        else:
            self._parse_slice(data)

    def resume(self) -> bool:
        """Parse what arrived behind the requests so far; return whether there are events."""
        self.paused = False
        self._parse_slices()
        return bool(self.events)

    def release_request(self) -> None:
        """Stop counting the memory of the earliest request."""
        if self.request_bytes:
            self.request_bytes.popleft()

    def _parse_slices(self) -> None:
        while self.unparsed and not self.paused:
            size = max(SLICE_BYTES, self.body_left)
            data = bytes(self.unparsed[:size])
            del self.unparsed[:size]
            self._parse_slice(data)

    def _parse_slice(self, data: bytes | bytearray) -> None:
        self.pending_bytes += len(data)
        try:
            self._parse(data)
        except MalformedMessageError as exc:
            self._fail(exc)
        if self.pending_bytes > self.max_head_bytes:
            self._fail(MalformedMessageError("headers too large", HEADERS_TOO_LARGE))

    def _fail(self, error: MalformedMessageError) -> None:
        self.events.append(error)
        self.paused = True
        self.unparsed.clear()

    def _parse(self, data: bytes | bytearray) -> None:
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as exc:
                data = data[exc.args[0] :]
                self._skip_upgrade()
            except httptools.HttpParserCallbackError as exc:
                raise exc.__context__ or exc from None
            except httptools.HttpParserError as exc:
                raise MalformedMessageError(str(exc)) from None

    def _skip_upgrade(self) -> None:
        """Parse the head again without its upgrade, which llhttp takes for the end of HTTP."""
        request = self.refused_upgrade
        assert request is not None
        method = "POST" if request.method == "CONNECT" else request.method
        lines = [b"%s: %s\r\n" % header for header in request.headers if header[0] != UPGRADE]
        version = b"1.1" if request.is_http_1_1 else b"1.0"
        self._renew_parser()
        self.parser.feed_data(
            b"%s / HTTP/%s\r\n%s\r\n" % (method.encode("ascii"), version, b"".join(lines))
        )

    def close(self) -> None:
        """Break the reference cycle with the parser."""
        self.parser = None

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.begun = self.in_head = True
        self.target = b""
        self.headers = []
        if self.refused_upgrade is None:
            self.request_bytes.append(OBJECT_BYTES)

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to keep; those that follow a chunked body are ignored."""
        if not self.in_head:
            return
        lowered, kept = name.lower(), self.kept_headers
        if kept is None or lowered in kept or lowered in SERVER_HEADERS:
            self.headers.append((lowered, value.rstrip(OWS)))
            self.request_bytes[-1] += len(name) + len(value) + OBJECT_BYTES

    def on_headers_complete(self) -> None:
        """Check the head and add the request."""
        self.in_head = False
        self.pending_bytes = 0
        self.request_bytes[-1] += len(self.target)
        request = self.refused_upgrade
        if request is None:
            request = self._check_head()
            if self.parser.should_upgrade():
                self.refused_upgrade = request
                return
        self.refused_upgrade = None
        self.events.append(request)

    def _check_head(self) -> Request:
        version = self.parser.get_http_version()
        if version not in SUPPORTED_VERSIONS:
            raise MalformedMessageError(f"unsupported version {version}")
        is_http_1_1 = version == "1.1"
        hosts = 0
        self.body_left = 0
        expects_continue = False
        for name, value in self.headers:
            if name == b"host":
                hosts += 1
            elif name == TRANSFER_ENCODING:
                check_transfer_encoding(value)
            elif name == CONTENT_LENGTH:
                self.body_left = int(value)
            elif name == b"expect":
                expects_continue = is_http_1_1 and b"100-continue" in value.lower()
        if hosts > 1 or (is_http_1_1 and not hosts):
            raise MalformedMessageError("not one Host header")
        return Request(
            self.parser.get_method().decode("ascii"),
            self.target,
            self.headers,
            is_http_1_1 and self.parser.should_keep_alive(),
            is_http_1_1,
            expects_continue,
        )

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self.pending_bytes = 0
        self.body_left -= len(data)
        self.request_bytes[-1] += content_bytes(data)
        self.events.append(data)

    def on_message_complete(self) -> None:
        """Add the end of the request, unless its body is still to be parsed."""
        self.pending_bytes = 0
        if self.refused_upgrade is None:
            self.begun = False
            self.paused = True
            self.body_left = 0
            self.events.append(END_OF_REQUEST)
