"""HTTP clients for the command line and the demo."""

from __future__ import annotations

import time
from typing import Any

import httpcore
import orjson
from attrs import define

from hornbeamreach.clock import seconds
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.verdict import Reason, Verdict

DEFAULT_TIMEOUT_MS = 40_000
CONNECT_TIMEOUT_MS = 2_000
# An election takes up to 1.4 s, or twice as long if its first round has no winner.
LEADER_TIMEOUT_MS = 5_000
RETRY_DELAY_MS = 300
MIN_ERROR_STATUS = 400


@define(frozen=True, kw_only=True)
class HttpResponse:
    """Hold an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded as JSON."""
        return orjson.loads(self.body)

    def verdict(self) -> Verdict:
        """Return the verdict header, or MAY_HAVE_RUN without one."""
        return Verdict(self.headers.get("hornbeamreach-verdict", Verdict.MAY_HAVE_RUN.value))

    def reason(self) -> str:
        """Return the reason of a refusal, or an empty string."""
        return self.headers.get("hornbeamreach-reason", "")


def _encode_headers(bearer: str | None, extra: dict[str, str]) -> list[tuple[bytes, bytes]]:
    headers = [(name.encode(), value.encode()) for name, value in extra.items()]
    if bearer is not None:
        headers.append((b"authorization", f"Bearer {bearer}".encode()))
    return headers


def _decode_response(response: httpcore.Response) -> HttpResponse:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in response.headers
    }
    return HttpResponse(status=response.status, headers=headers, body=response.content)


def _timeouts(timeout_ms: int) -> dict[str, float]:
    limits = {name: seconds(timeout_ms) for name in ("read", "write", "pool")}
    return {**limits, "connect": seconds(CONNECT_TIMEOUT_MS)}


class AsyncHttpClient:
    """Send HTTP requests from trio."""

    def __init__(self, *, max_connections: int = 64) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, max_keepalive_connections=max_connections
        )

    async def send(
        self,
        method: str,
        url: str,
        *,
        bearer: str | None = None,
        headers: dict[str, str] | None = None,
        body: bytes | dict[str, Any] | None = None,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> HttpResponse:
        """Send a request and return the whole response."""
        content = orjson.dumps(body) if isinstance(body, dict) else body
        response = await self.pool.request(
            method,
            url,
            headers=_encode_headers(bearer, headers or {}),
            content=content,
            extensions={"timeout": _timeouts(timeout_ms)},
        )
        return _decode_response(response)


class OperatorClient:
    """Send operators' requests to the leading control replica."""

    def __init__(self, *, addresses: list[str], credential: str) -> None:
        self.addresses = list(addresses)
        self.credential = credential
        self.pool = httpcore.ConnectionPool()

    def send(self, method: str, path: str, body: dict[str, Any] | None = None) -> Any:
        """Send a request to the leader, waiting for an election; raise RefusedError if refused."""
        deadline = time.monotonic() + seconds(LEADER_TIMEOUT_MS)
        while True:
            try:
                return self._try_replicas(method, path, body)
            except RefusedError as refusal:
                can_retry = refusal.reason is Reason.NO_LEADER and time.monotonic() < deadline
                if not can_retry or refusal.verdict is not Verdict.NOT_RUN:
                    raise
            time.sleep(seconds(RETRY_DELAY_MS))

    def _try_replicas(self, method: str, path: str, body: dict[str, Any] | None) -> Any:
        """Try each replica once; raise a refusal as not run only if no replica may have run it."""
        refusal = RefusedError(Reason.NO_LEADER, "no control replica can be reached")
        unknown_outcome: RefusedError | None = None
        for address in self.addresses:
            try:
                response = self._send_to(address, method, path, body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                continue
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                detail = f"{address} did not answer; send the operation again under its id"
                unknown_outcome = RefusedError(
                    Reason.NO_LEADER, detail, verdict=Verdict.MAY_HAVE_RUN
                )
                continue
            if response.status < MIN_ERROR_STATUS:
                return response.json()
            refusal = decode_refusal(response)
            if refusal.reason is not Reason.NO_LEADER:
                raise refusal
            if refusal.verdict is not Verdict.NOT_RUN:
                unknown_outcome = refusal
        raise unknown_outcome or refusal

    def _send_to(
        self, address: str, method: str, path: str, body: dict[str, Any] | None
    ) -> HttpResponse:
        response = self.pool.request(
            method,
            f"http://{address}{path}",
            headers=_encode_headers(self.credential, {"content-type": "application/json"}),
            content=None if body is None else orjson.dumps(body),
            extensions={"timeout": _timeouts(DEFAULT_TIMEOUT_MS)},
        )
        return _decode_response(response)


def decode_refusal(response: HttpResponse) -> RefusedError:
    """Decode a refusal from the problem details of a response."""
    try:
        problem = response.json()
        reason = Reason(problem["reason"])
        verdict = Verdict(problem["verdict"])
        return RefusedError(reason, problem["detail"], verdict=verdict)
    except (orjson.JSONDecodeError, KeyError, ValueError, TypeError):
        detail = f"unexpected answer {response.status}: {response.body[:200]!r}"
        return RefusedError(Reason.MALFORMED, detail, verdict=Verdict.MAY_HAVE_RUN)
