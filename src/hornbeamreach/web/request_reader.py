"""Parser of HTTP/1 requests, with llhttp."""

from __future__ import annotations

from collections import deque
from typing import Any

import httptools
from attrs import define, field

from hornbeamreach.web.http_messages import (
    HEADERS_TOO_LARGE,
    SUPPORTED_VERSIONS,
    TRANSFER_ENCODING,
    MalformedMessageError,
    check_transfer_encoding,
)

# Limit for the part of a request that arrived without completing its head or a chunk.
MAX_HEADER_BYTES = 512 * 1024
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


@define(eq=False)
class RequestReader:
    """Turn received bytes into events: a request, the parts of its body, its end, or an error.

    All requests that arrived together are parsed at once; nothing follows an error.
    """

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
    # A request that asks for an upgrade, parsed again without it.
    refused_upgrade: Request | None = None

    def __attrs_post_init__(self) -> None:
        self._renew_parser()

    def _renew_parser(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        # Some clients pad the sizes of chunks.
        self.parser.set_dangerous_leniencies(lenient_spaces_after_chunk_size=True)

    def feed(self, data: bytes | bytearray) -> None:
        """Parse received bytes and add their events."""
        self.pending_bytes += len(data)
        try:
            self._parse(data)
        except MalformedMessageError as exc:
            self.events.append(exc)
        if self.pending_bytes > MAX_HEADER_BYTES:
            self.events.append(MalformedMessageError("headers too large", HEADERS_TOO_LARGE))

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

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; those that follow a chunked body are ignored."""
        if self.in_head:
            self.headers.append((name.lower(), value.rstrip(OWS)))

    def on_headers_complete(self) -> None:
        """Check the head and add the request."""
        self.in_head = False
        self.pending_bytes = 0
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
        expects_continue = False
        for name, value in self.headers:
            if name == b"host":
                hosts += 1
            elif name == TRANSFER_ENCODING:
                check_transfer_encoding(value)
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
        self.events.append(data)

    def on_message_complete(self) -> None:
        """Add the end of the request, unless its body is still to be parsed."""
        self.pending_bytes = 0
        if self.refused_upgrade is None:
            self.begun = False
            self.events.append(END_OF_REQUEST)
