"""The callers' interface of an entry: jobs over HTTP, forwarded to the leader."""

from __future__ import annotations

import re
from collections.abc import Callable

from attrs import define, field

from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.fleet.messages import QueueAction, QueueAnswer, QueueCall, QueueOutcome
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform import web
from hornbeamreach.platform.decoding import decode_job, hash_key
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("callers")

# Bound of what a caller may send; the platform's configurations name 256 KiB.
MAX_BODY_BYTES = 256 * 1024
JOB_ID = re.compile(r"^[0-9a-fA-F]{16}$")
ID_LENGTH = 16
DEFAULT_DEADLINE_MS = 3_000
# Kept from a caller's deadline for the way back: client, entry and leader.
RETURN_MS = 150
# While no control replica leads: an election takes up to 2 s, and a caller who is told so
# sooner can try elsewhere.
LEADERLESS_WAIT_MS = 2_200
RETRY_AFTER = b"retry-after"
MS_PER_S = 1_000
STATUS_OF_REASON = {
    Reason.UNKNOWN_QUEUE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.NO_KEY: 401,
    Reason.UNKNOWN_JOB: 410,
    Reason.MALFORMED: 400,
    Reason.QUEUE_FULL: 429,
    Reason.TEAM_AT_LIMIT: 429,
    Reason.CANCELLED: 429,
    Reason.FOREIGN_JOB: 429,
    Reason.DEADLINE_PASSED: 429,
}
HTTP_UNAVAILABLE = 503
HTTP_NO_ANSWER = 504


@define(kw_only=True, eq=False)
class CallersFace:
    """Translate callers' HTTP into calls of queues."""

    finder: LeaderFinder
    metrics: Metrics
    closing: bool = field(default=False)

    async def __call__(self, scope: web.Scope, receive: web.Receive, send: web.Send) -> None:
        """Serve one request."""
        try:
            body = await web.read_body(receive, MAX_BODY_BYTES)
        except web.BodyTooLargeError:
            await self._send(send, 413, {"reason": Reason.BODY_TOO_LARGE.value})
            return
        except web.CallerGoneError:
            log.bind(request=scope["path"]).info("the caller left before its request had come")
            return
        headers = web.headers_of(scope)
        try:
            call = _call(scope, headers, body)
        except InvalidInputError as exc:
            self.metrics.refused("call", Reason.MALFORMED)
            await self._send(send, 400, {"reason": Reason.MALFORMED.value, "detail": str(exc)})
            return
        if call is None:
            await self._send(send, 404, {"reason": Reason.UNKNOWN_PATH.value})
            return
        await self._forward(call, _deadline_ms(headers), send)

    async def _forward(self, call: QueueCall, deadline_ms: int, send: web.Send) -> None:
        timeout_ms = max(1, min(deadline_ms - RETURN_MS, LEADERLESS_WAIT_MS))
        try:
            found = await self.finder.send_request(call, timeout_ms=timeout_ms)
        except NoLeaderError as exc:
            await self._unanswered(call, exc, send)
            return
        except RefusedError as exc:
            self.metrics.refused(f"call_{call.action.value}", exc.reason)
            log.bind(request=call.path).info("call refused: {}", exc)
            await self._send(send, HTTP_UNAVAILABLE, {"reason": exc.reason.value}, 1_000)
            return
        reply: QueueAnswer = found.reply
        if reply.served is QueueOutcome.REFUSED and found.repeated and call.spec is not None:
            # An earlier attempt may have been taken: "not accepted" can't be said.
            await self._send(send, HTTP_NO_ANSWER, {"reason": Reason.NO_LEADER.value})
            return
        await self._answer(call, reply, send)

    async def _unanswered(self, call: QueueCall, exc: NoLeaderError, send: web.Send) -> None:
        self.metrics.refused(f"call_{call.action.value}", Reason.NO_LEADER)
        log.bind(request=call.path, action=call.action.value, verdict=exc.verdict.value).warning(
            "no leader answered: {}", exc
        )
        body = {"reason": Reason.NO_LEADER.value}
        if exc.verdict is Verdict.NOT_RUN:
            await self._send(send, HTTP_UNAVAILABLE, body, 1_000)
        else:
            await self._send(send, HTTP_NO_ANSWER, body)

    async def _answer(self, call: QueueCall, reply: QueueAnswer, send: web.Send) -> None:
        if reply.served is QueueOutcome.STATE:
            await self._send(send, 200, {"state": reply.state})
        elif reply.served is QueueOutcome.COUNT:
            await self._send(send, 200, {"pending": reply.count})
        elif reply.served is QueueOutcome.REFUSED:
            reason = reply.reason or Reason.NOT_READY
            status = STATUS_OF_REASON.get(reason, HTTP_UNAVAILABLE)
            body = {"reason": reason.value, "detail": reply.detail}
            await self._send(send, status, body, reply.retry_after_ms)
        else:
            await self._send(send, 200, {})

    async def _send(
        self, send: web.Send, status: int, body: dict[str, str | int], retry_after_ms: int = 0
    ) -> None:
        headers: list[tuple[bytes, bytes]] = []
        if retry_after_ms:
            after_s = -(-retry_after_ms // MS_PER_S)
            headers.append((RETRY_AFTER, str(after_s).encode()))
        if self.closing:
            headers.append((b"connection", b"close"))
        await web.answer(send, status, body, tuple(headers))


def _deadline_ms(headers: dict[bytes, bytes]) -> int:
    value = headers.get(b"deadline-ms", b"")
    return int(value) if value.isdigit() else DEFAULT_DEADLINE_MS


def _call(scope: web.Scope, headers: dict[bytes, bytes], body: bytes) -> QueueCall | None:
    """Decode a call; None stands for a path or method that no queue has."""
    path = scope["path"]
    host = headers.get(b"host", b"").decode("latin-1").lower()
    key = headers.get(b"credential", b"").decode("latin-1")
    last = path.rpartition("/")[2]
    names_job = bool(JOB_ID.match(last))
    method = scope["method"]
    spec = None
    if method == "POST" and names_job:
        action = QueueAction.SUBMIT
        spec = decode_job(body)
    elif method == "GET":
        action = QueueAction.READ if names_job else QueueAction.COUNT
    elif method == "DELETE" and names_job:
        action = QueueAction.CANCEL
    else:
        return None
    return QueueCall(
        action=action, host=host, path=path, key_hash=hash_key(key) if key else "", spec=spec
    )


@define(kw_only=True, eq=False)
class ReadinessFace:
    """Tell the balancer whether this entry takes new connections."""

    is_ready: Callable[[], bool]

    async def __call__(self, scope: web.Scope, receive: web.Receive, send: web.Send) -> None:
        """Serve one request."""
        ready = self.is_ready()
        await web.answer(send, 200 if ready else HTTP_UNAVAILABLE, {"ready": ready})
