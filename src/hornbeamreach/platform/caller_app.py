"""ASGI applications of an entry: job calls, forwarded to the leader, and readiness."""

from __future__ import annotations

import re
from collections.abc import Callable

from attrs import define, field

from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.fleet.messages import QueueAction, QueueAnswer, QueueCall, QueueOutcome
from hornbeamreach.link.interface import ANY_TERM, NO_TERM
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform import asgi
from hornbeamreach.platform.decoding import decode_job, hash_key
from hornbeamreach.systems.outage_retry import LoadReports, RetryPolicy, outage_retries
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("callers")

# The platform's configurations set this limit to 256 KiB.
MAX_BODY_BYTES = 256 * 1024
JOB_ID_PATTERN = re.compile(r"^[0-9a-fA-F]{16}$")
ID_LENGTH = 16
DEFAULT_DEADLINE_MS = 3_000
MAX_DEADLINE_DIGITS = 15
# Part of a caller's deadline reserved for the response's way back: leader, entry and client.
RESPONSE_MARGIN_MS = 150
# A job that was accepted and has ended is forgotten after 130 s; a repeated submission must come
# well before, or it would be taken for a new one.
MAX_WAIT_MS = 30_000
RETRY_AFTER = b"retry-after"
MS_PER_S = 1_000
STATUS_BY_REASON = {
    Reason.UNKNOWN_QUEUE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.NO_KEY: 401,
    Reason.UNKNOWN_JOB: 410,
    Reason.MALFORMED: 400,
    Reason.QUEUE_FULL: 429,
    Reason.OVERLOADED: 429,
    Reason.TEAM_AT_LIMIT: 429,
    Reason.CANCELLED: 429,
    Reason.FOREIGN_JOB: 429,
    Reason.DEADLINE_PASSED: 429,
}
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504


@define(kw_only=True, eq=False)
class CallerApp:
    """Translate callers' HTTP requests into queue calls."""

    finder: LeaderFinder
    metrics: Metrics
    closing: bool = field(default=False)
    reports: LoadReports = field(factory=LoadReports)
    retry_policy: RetryPolicy = field(factory=lambda: outage_retries.get("reported"))

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one request."""
        try:
            body = await asgi.read_body(receive, MAX_BODY_BYTES)
        except asgi.BodyTooLargeError:
            await self._send_response(send, 413, {"reason": Reason.BODY_TOO_LARGE.value})
            return
        except asgi.ClientDisconnectedError:
            log.bind(request=scope["path"]).info(
                "client disconnected before its request was complete"
            )
            return
        headers = asgi.headers_by_name(scope)
        try:
            call = _decode_call(scope, headers, body)
        except InvalidInputError as exc:
            self.metrics.refused("call", Reason.MALFORMED)
            await self._send_response(
                send, 400, {"reason": Reason.MALFORMED.value, "detail": str(exc)}
            )
            return
        if call is None:
            await self._send_response(send, 404, {"reason": Reason.UNKNOWN_PATH.value})
            return
        await self._forward(call, _deadline_ms(headers), send)

    async def _forward(self, call: QueueCall, deadline_ms: int, send: asgi.Send) -> None:
        timeout_ms = max(1, min(deadline_ms - RESPONSE_MARGIN_MS, MAX_WAIT_MS))
        try:
            found = await self.finder.send_request(call, timeout_ms=timeout_ms)
        except NoLeaderError as exc:
            await self._send_no_leader(call, exc, send)
            return
        except RefusedError as exc:
            self.metrics.refused(f"call_{call.action.value}", exc.reason)
            log.bind(request=call.path, verdict=exc.verdict.value).info("call refused: {}", exc)
            await self._send_unserved(call, send, exc.reason, exc.verdict)
            return
        reply: QueueAnswer = found.reply
        if call.action is QueueAction.SUBMIT:
            overloaded_ms = reply.retry_after_ms if reply.reason is Reason.OVERLOADED else 0
            self.reports.note(_queue_of(call), overloaded_ms, self.finder.clock.now_ms())
        if reply.served is QueueOutcome.REFUSED and found.repeated and call.spec is not None:
            # An attempt that was not answered may have been accepted in the term of this refusal.
            await self._send_response(
                send, HTTP_GATEWAY_TIMEOUT, {"reason": Reason.NO_LEADER.value}
            )
            return
        await self._send_reply(call, reply, send)

    async def _send_no_leader(self, call: QueueCall, exc: NoLeaderError, send: asgi.Send) -> None:
        self.metrics.refused(f"call_{call.action.value}", Reason.NO_LEADER)
        log.bind(request=call.path, action=call.action.value, verdict=exc.verdict.value).warning(
            "no leader answered: {}", exc
        )
        await self._send_unserved(call, send, Reason.NO_LEADER, exc.verdict)

    async def _send_unserved(
        self, call: QueueCall, send: asgi.Send, reason: Reason, verdict: Verdict
    ) -> None:
        """Send 503 for a call that certainly did not run, and 504 for any other."""
        body = {"reason": reason.value}
        if verdict is Verdict.NOT_RUN:
            refused = self.reports.describe(_queue_of(call), self.finder.clock.now_ms())
            await self._send_response(send, HTTP_UNAVAILABLE, body, self.retry_policy(refused))
        else:
            await self._send_response(send, HTTP_GATEWAY_TIMEOUT, body)

    async def _send_reply(self, call: QueueCall, reply: QueueAnswer, send: asgi.Send) -> None:
        if reply.served is QueueOutcome.STATE:
            await self._send_response(send, 200, {"state": reply.state})
        elif reply.served is QueueOutcome.COUNT:
            await self._send_response(send, 200, {"pending": reply.count})
        elif reply.served is QueueOutcome.REFUSED:
            reason = reply.reason or Reason.NOT_READY
            status = STATUS_BY_REASON.get(reason, HTTP_UNAVAILABLE)
            body = {"reason": reason.value, "detail": reply.detail}
            await self._send_response(send, status, body, reply.retry_after_ms)
        else:
            await self._send_response(send, 200, {})

    async def _send_response(
        self, send: asgi.Send, status: int, body: dict[str, str | int], retry_after_ms: int = 0
    ) -> None:
        headers: list[tuple[bytes, bytes]] = []
        if retry_after_ms:
            after_s = -(-retry_after_ms // MS_PER_S)
            headers.append((RETRY_AFTER, str(after_s).encode()))
        if self.closing:
            headers.append((b"connection", b"close"))
        await asgi.send_response(send, status, body, tuple(headers))


def _queue_of(call: QueueCall) -> str:
    """Return the host and the path without the job's id, which select the queue."""
    return call.host + call.path.rpartition("/")[0]


def _deadline_ms(headers: dict[bytes, bytes]) -> int:
    value = headers.get(b"deadline-ms", b"")
    is_number = value.isdigit() and len(value) <= MAX_DEADLINE_DIGITS
    return int(value) if is_number else DEFAULT_DEADLINE_MS


def _decode_call(scope: asgi.Scope, headers: dict[bytes, bytes], body: bytes) -> QueueCall | None:
    """Decode a queue call; return None if no queue serves the path or method."""
    path = scope["path"]
    host = headers.get(b"host", b"").decode("latin-1").lower()
    key = headers.get(b"credential", b"").decode("latin-1")
    last_part = path.rpartition("/")[2]
    has_job_id = bool(JOB_ID_PATTERN.match(last_part))
    method = scope["method"]
    spec = None
    if method == "POST" and has_job_id:
        action = QueueAction.SUBMIT
        spec = decode_job(body)
    elif method == "GET":
        action = QueueAction.READ if has_job_id else QueueAction.COUNT
    elif method == "DELETE" and has_job_id:
        action = QueueAction.CANCEL
    else:
        return None
    changes_jobs = action in (QueueAction.SUBMIT, QueueAction.CANCEL)
    return QueueCall(
        action=action,
        host=host,
        path=path,
        key_hash=hash_key(key) if key else "",
        spec=spec,
        leader_term=NO_TERM if changes_jobs else ANY_TERM,
    )


@define(kw_only=True, eq=False)
class ReadinessApp:
    """Report to the load balancer whether this entry accepts new connections."""

    is_ready: Callable[[], bool]

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one request."""
        ready = self.is_ready()
        await asgi.send_response(send, 200 if ready else HTTP_UNAVAILABLE, {"ready": ready})
