"""Orders to minions over the platform's protocol."""

from __future__ import annotations

from typing import Any

import orjson
from attrs import define, field

from hornbeamreach.exceptions import InvalidInputError
from hornbeamreach.fleet.ports import (
    EndedTask,
    FencedError,
    PollResult,
    RunningTask,
    StartAnswer,
    StartOrder,
    StartReply,
    UnknownOutcomeError,
    WrongIncarnationError,
)
from hornbeamreach.platform import plain
from hornbeamreach.platform.http import PlatformHttp, Response
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.tables.workload import RunEnd

# Time for a connection and an answer: above a lost packet's first resend (200 ms) twice.
ORDER_TIMEOUT_MS = 700
HTTP_OK = 200
HTTP_CONFLICT = 409
# Another incarnation than the expected one answered.
HTTP_MISDIRECTED = 421
HTTP_UNHEALTHY = (429, 503)
START_REFUSALS = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.OUTDATED,
    "late": StartAnswer.LATE,
    "room": StartAnswer.NO_ROOM,
    "ticket": StartAnswer.BAD_TICKET,
}


@define(kw_only=True, eq=False)
class PlatformMinions:
    """Implement the scheduler's port to minions."""

    http: PlatformHttp
    addresses: dict[str, str] = field(factory=dict)

    async def poll(
        self,
        report: MinionReport,
        *,
        token: int,
        recorded_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> PollResult:
        """Return a minion's lists, after an end or `wait_ms`."""
        body: dict[str, Any] = {"fencing-token": token, "last-seen": recorded_end}
        if lease_until_ms is not None:
            body["deadline-ms"] = lease_until_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        answer = await self._call(report, "/hold", body, timeout_ms=wait_ms + ORDER_TIMEOUT_MS)
        self._check(answer)
        return decode_look(_decode(answer))

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        """Start a run."""
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadline-ms": order.lease_until_ms,
            "fencing-token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        answer = await self._call(report, "/run-start", body, timeout_ms=ORDER_TIMEOUT_MS)
        return _start_reply(answer)

    async def stop(self, report: MinionReport, *, task: str, run: int, token: int) -> None:
        """Stop a run, now or whenever its start arrives."""
        body = {"task": task, "run": run, "fencing-token": token}
        self._check(await self._call(report, "/run-stop", body, timeout_ms=ORDER_TIMEOUT_MS))

    async def pace(
        self, report: MinionReport, *, task: str, run: int, percent: int, token: int
    ) -> None:
        """Let a run work at a share of its speed."""
        body = {"task": task, "run": run, "percent": percent, "fencing-token": token}
        self._check(await self._call(report, "/pace", body, timeout_ms=ORDER_TIMEOUT_MS))

    def forget(self, minion: str) -> None:
        """Close the connections to a minion that is gone."""
        address = self.addresses.pop(minion, None)
        if address is not None:
            self.http.forget(address)

    async def _call(
        self, report: MinionReport, path: str, body: dict[str, Any], *, timeout_ms: int
    ) -> Response:
        self.addresses[report.minion] = report.address
        return await self.http.send(
            report.address,
            "POST",
            path,
            body=orjson.dumps(body),
            headers=((b"Expect-Instance", report.minion.encode()),),
            timeout_ms=timeout_ms,
        )

    def _check(self, answer: Response) -> None:
        if answer.status == HTTP_OK:
            return
        if answer.status == HTTP_MISDIRECTED:
            raise WrongIncarnationError("another incarnation answered")
        if answer.status == HTTP_CONFLICT and _reason(answer) == "fence":
            raise FencedError("a higher fencing token was used")
        raise UnknownOutcomeError(f"answered {answer.status}: {answer.body[:200]!r}")


def _decode(answer: Response) -> dict[str, Any]:
    try:
        return plain.decode_json(answer.body)
    except InvalidInputError as exc:
        raise UnknownOutcomeError(f"unreadable answer: {exc}") from None


def _reason(answer: Response) -> str:
    reason = _decode(answer).get("reason")
    return reason if isinstance(reason, str) else ""


def _start_reply(answer: Response) -> StartReply:
    if answer.status == HTTP_MISDIRECTED:
        return StartReply(answer=StartAnswer.WRONG_INCARNATION)
    if answer.status in HTTP_UNHEALTHY:
        return StartReply(answer=StartAnswer.UNHEALTHY)
    body = _decode(answer) if answer.body else {}
    clock_ms = plain.whole(body, "clock-ms", 0) if body else 0
    if answer.status == HTTP_OK:
        return StartReply(answer=StartAnswer.STARTED, clock_ms=clock_ms)
    if answer.status == HTTP_CONFLICT:
        known = START_REFUSALS.get(str(body.get("reason")))
        if known is not None:
            return StartReply(answer=known, clock_ms=clock_ms)
    if answer.status == 400:
        return StartReply(answer=StartAnswer.MALFORMED, clock_ms=clock_ms)
    raise UnknownOutcomeError(f"answered {answer.status}: {answer.body[:200]!r}")


def decode_look(body: dict[str, Any]) -> PollResult:
    """Decode a minion's lists, or raise UnknownOutcomeError."""
    try:
        return PollResult(
            born_ms=plain.whole(body, "born", 0),
            clock_ms=plain.whole(body, "clock-ms"),
            running=[_running(row) for row in plain.items(body, "running")],
            ended=[_ended(row) for row in plain.items(body, "finished")],
        )
    except (InvalidInputError, ValueError, TypeError, IndexError) as exc:
        raise UnknownOutcomeError(f"unreadable lists: {exc!r}") from None


def _running(row: list[Any]) -> RunningTask:
    # Rows are positional: task, run, checkpoint, percent and, where tasks share, a figure.
    task, run, checkpoint, percent = row[:4]
    figure = row[4] if len(row) > 4 else 0
    return RunningTask(
        task=str(task),
        run=int(run),
        checkpoint=str(checkpoint),
        percent=int(percent),
        figure=int(figure),
    )


def _ended(row: list[Any]) -> EndedTask:
    ended, task, run, how, saved = row[:5]
    return EndedTask(
        number=int(ended), task=str(task), run=int(run), end=RunEnd(how), checkpoint=str(saved)
    )
