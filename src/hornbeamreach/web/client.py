"""HTTP requests of the command line and the demo."""

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
# An election takes up to 1.4 s, and twice that if its first round has no winner.
LEADER_WAIT_MS = 5_000
ROUND_PAUSE_MS = 300
HTTP_ERROR = 400


@define(frozen=True, kw_only=True)
class HttpAnswer:
    """Hold an HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return orjson.loads(self.body)

    def verdict(self) -> Verdict:
        """Return the verdict that the answer carries."""
        return Verdict(self.headers.get("hornbeamreach-verdict", Verdict.MAY_HAVE_RUN.value))

    def reason(self) -> str:
        """Return the reason of a refusal, or an empty text."""
        return self.headers.get("hornbeamreach-reason", "")


def _headers(bearer: str | None, extra: dict[str, str]) -> list[tuple[bytes, bytes]]:
    headers = [(name.encode(), value.encode()) for name, value in extra.items()]
    if bearer is not None:
        headers.append((b"authorization", f"Bearer {bearer}".encode()))
    return headers


def _answer(response: httpcore.Response) -> HttpAnswer:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in response.headers
    }
    return HttpAnswer(status=response.status, headers=headers, body=response.content)


def _timeout(timeout_ms: int) -> dict[str, float]:
    limits = {name: seconds(timeout_ms) for name in ("read", "write", "pool")}
    return {**limits, "connect": seconds(CONNECT_TIMEOUT_MS)}


class AsyncHttp:
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
    ) -> HttpAnswer:
        """Send a request and return the whole answer."""
        content = orjson.dumps(body) if isinstance(body, dict) else body
        response = await self.pool.request(
            method,
            url,
            headers=_headers(bearer, headers or {}),
            content=content,
            extensions={"timeout": _timeout(timeout_ms)},
        )
        return _answer(response)


class OperatorClient:
    """Send operators' requests to whichever control replica leads."""

    def __init__(self, *, addresses: list[str], credential: str) -> None:
        self.addresses = list(addresses)
        self.credential = credential
        self.pool = httpcore.ConnectionPool()

    def send(self, method: str, path: str, body: dict[str, Any] | None = None) -> Any:
        """Send a request to the leader, or raise RefusedError; wait while there is none."""
        ends = time.monotonic() + seconds(LEADER_WAIT_MS)
        while True:
            try:
                return self._send_round(method, path, body)
            except RefusedError as refusal:
                may_wait = refusal.reason is Reason.NO_LEADER and time.monotonic() < ends
                if not may_wait or refusal.verdict is not Verdict.NOT_RUN:
                    raise
            time.sleep(seconds(ROUND_PAUSE_MS))

    def _send_round(self, method: str, path: str, body: dict[str, Any] | None) -> Any:
        """Ask each replica once; a refusal says not run only if each of them said so."""
        refusal = RefusedError(Reason.NO_LEADER, "no control replica can be reached")
        unclear: RefusedError | None = None
        for address in self.addresses:
            try:
                answer = self._send_to(address, method, path, body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout):
                continue
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                detail = f"{address} did not answer; send the operation again under its id"
                unclear = RefusedError(Reason.NO_LEADER, detail, verdict=Verdict.MAY_HAVE_RUN)
                continue
            if answer.status < HTTP_ERROR:
                return answer.json()
            refusal = refusal_from(answer)
            if refusal.reason is not Reason.NO_LEADER:
                raise refusal
            if refusal.verdict is not Verdict.NOT_RUN:
                unclear = refusal
        raise unclear or refusal

    def _send_to(
        self, address: str, method: str, path: str, body: dict[str, Any] | None
    ) -> HttpAnswer:
        response = self.pool.request(
            method,
            f"http://{address}{path}",
            headers=_headers(self.credential, {"content-type": "application/json"}),
            content=None if body is None else orjson.dumps(body),
            extensions={"timeout": _timeout(DEFAULT_TIMEOUT_MS)},
        )
        return _answer(response)


def refusal_from(answer: HttpAnswer) -> RefusedError:
    """Build the refusal that an answer's problem details describe."""
    try:
        problem = answer.json()
        reason = Reason(problem["reason"])
        verdict = Verdict(problem["verdict"])
        return RefusedError(reason, problem["detail"], verdict=verdict)
    except (orjson.JSONDecodeError, KeyError, ValueError, TypeError):
        detail = f"unexpected answer {answer.status}: {answer.body[:200]!r}"
        return RefusedError(Reason.MALFORMED, detail, verdict=Verdict.MAY_HAVE_RUN)
