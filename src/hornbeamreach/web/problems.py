"""Request parsing, JSON responses, and problem details with a verdict and a reason."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from starlette.requests import Request
from starlette.responses import Response

from hornbeamreach.clock import MILLISECONDS_PER_SECOND
from hornbeamreach.converters import to_plain
from hornbeamreach.exceptions import InvalidInputError, NotLeaderError, RefusedError
from hornbeamreach.metrics import Metrics
from hornbeamreach.verdict import Reason, http_status

VERDICT_HEADER = "Hornbeamreach-Verdict"
REASON_HEADER = "Hornbeamreach-Reason"
REQUEST_ID_HEADER = "Hornbeamreach-Request-Id"
PROBLEM_TYPE = "application/problem+json"
HTTP_OK = 200
JSON_OPTIONS = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS

RequestHandler = Callable[[Request], Awaitable[Response]]


def json_response(value: Any, *, status: int = HTTP_OK) -> Response:
    """Build a JSON response from attrs or plain data."""
    content = orjson.dumps(to_plain(value), option=JSON_OPTIONS)
    return Response(content + b"\n", status_code=status, media_type="application/json")


def problem_response(error: RefusedError, *, request_id: str = "") -> Response:
    """Build the problem details response of a refusal (RFC 9457)."""
    status = http_status(error.reason)
    body = {
        "type": f"urn:hornbeamreach:{error.reason.value}",
        "title": error.reason.value.replace("_", " "),
        "status": status,
        "detail": error.detail,
        "verdict": error.verdict.value,
        "reason": error.reason.value,
    }
    headers = {VERDICT_HEADER: error.verdict.value, REASON_HEADER: error.reason.value}
    if request_id:
        body["request_id"] = request_id
        headers[REQUEST_ID_HEADER] = request_id
    if error.retry_after_ms is not None:
        wait_seconds = -(-error.retry_after_ms // MILLISECONDS_PER_SECOND)
        headers["Retry-After"] = str(max(1, wait_seconds))
    content = orjson.dumps(body, option=JSON_OPTIONS) + b"\n"
    return Response(content, status_code=status, media_type=PROBLEM_TYPE, headers=headers)


RefusalCallback = Callable[[str, RefusedError], None]


def handle_refusals(
    kind: str, metrics: Metrics, on_refusal: RefusalCallback | None = None
) -> Callable[[RequestHandler], RequestHandler]:
    """Return a decorator that counts refusals and responds with problem details.

    If the request has an id in its state, `on_refusal` is called with the id and the refusal.
    """

    def decorate(handler: RequestHandler) -> RequestHandler:
        async def wrapped(request: Request) -> Response:
            try:
                return await handler(request)
            except RefusedError as exc:
                refusal = exc
            except NotLeaderError as exc:
                refusal = RefusedError(Reason.NO_LEADER, str(exc))
            except InvalidInputError as exc:
                refusal = RefusedError(Reason.MALFORMED, str(exc))
            metrics.refused(kind, refusal.reason)
            metrics.finished(kind, refusal.verdict.value)
            request_id = getattr(request.state, "request_id", "")
            if on_refusal is not None and request_id:
                on_refusal(request_id, refusal)
            return problem_response(refusal, request_id=request_id)

        return wrapped

    return decorate


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Read the whole body; refuse it as soon as it exceeds `max_bytes`."""
    content_length = request.headers.get("content-length", "0")
    if content_length.isdigit() and int(content_length) > max_bytes:
        raise RefusedError(Reason.BODY_TOO_LARGE, f"the body is over {max_bytes} bytes")
    parts: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > max_bytes:
            raise RefusedError(Reason.BODY_TOO_LARGE, f"the body is over {max_bytes} bytes")
        parts.append(chunk)
    return b"".join(parts)


async def read_json(request: Request, max_bytes: int) -> dict[str, Any]:
    """Read a JSON object; refuse any other body."""
    try:
        value = orjson.loads(await read_body(request, max_bytes))
    except orjson.JSONDecodeError as exc:
        raise RefusedError(Reason.MALFORMED, f"the body is not JSON: {exc}") from None
    if not isinstance(value, dict):
        raise RefusedError(Reason.MALFORMED, "the body is not a JSON object")
    return value


def check_headers(request: Request, max_bytes: int) -> None:
    """Refuse a request whose headers exceed `max_bytes`."""
    size = sum(len(name) + len(value) for name, value in request.headers.raw)
    if size > max_bytes:
        raise RefusedError(Reason.HEADERS_TOO_LARGE, f"the headers are over {max_bytes} bytes")


def bearer_token(request: Request) -> str | None:
    """Return the bearer token of a request, or None if it has none."""
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return None
    return token.strip()
