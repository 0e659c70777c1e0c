"""What both HTTP faces share: reading a request and writing an answer as bare ASGI."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import orjson

JSON_TYPE = (b"content-type", b"application/json")

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class BodyTooLargeError(Exception):
    """Report a body above its bound."""


class CallerGoneError(Exception):
    """Report a connection that ended before the whole request had come."""


def headers_of(scope: Scope) -> dict[bytes, bytes]:
    """Return the headers by lower-case name."""
    return dict(scope["headers"])


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Return a request's whole body."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > max_bytes:
            raise BodyTooLargeError
        if not message.get("more_body"):
            return b"".join(parts)


async def answer(
    send: Send,
    status: int,
    body: Any = None,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Send a JSON answer; bytes are sent as they are."""
    content = body if isinstance(body, bytes) else b"" if body is None else orjson.dumps(body)
    length = (b"content-length", str(len(content)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [JSON_TYPE, length, *headers],
        }
    )
    await send({"type": "http.response.body", "body": content})


def http_only(app: App) -> App:
    """Return an ASGI application that answers the server's start and stop by itself."""

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            await app(scope, receive, send)
        elif scope["type"] == "lifespan":
            await _live(receive, send)

    return serve


async def _live(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
