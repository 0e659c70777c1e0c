"""Helpers for plain ASGI: requests and responses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import orjson

JSON_TYPE = (b"content-type", b"application/json")

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class BodyTooLargeError(Exception):
    """Report a request body over the limit."""


class ClientDisconnectedError(Exception):
    """Report a connection that closed before the request was complete."""


def headers_by_name(scope: Scope) -> dict[bytes, bytes]:
    """Return the headers by lower-case name."""
    return dict(scope["headers"])


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Return the whole body of a request; raise BodyTooLargeError over `max_bytes`."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnectedError
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > max_bytes:
            raise BodyTooLargeError
        if not message.get("more_body"):
            return b"".join(parts)


async def send_response(
    send: Send,
    status: int,
    body: Any = None,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Send a JSON response; a body of bytes is sent unchanged."""
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
