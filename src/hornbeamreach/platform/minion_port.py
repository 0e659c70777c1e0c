"""Client of the platform's minions: polls and orders."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any, TypeVar

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
from hornbeamreach.platform import fields
from hornbeamreach.platform.http_client import PlatformHttpClient, Response
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.tables.workload import RunEnd

# Time to connect and get a response. Each of them may lose a packet, which is first resent after
# 200 ms.
ORDER_TIMEOUT_MS = 700
HTTP_OK = 200
HTTP_CONFLICT = 409
# The minion that responded is another incarnation than the expected one.
HTTP_MISDIRECTED = 421
UNHEALTHY_STATUSES = (429, 503)
START_ANSWER_BY_CONFLICT_REASON = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.OUTDATED,
    "late": StartAnswer.LATE,
    "room": StartAnswer.NO_ROOM,
    "ticket": StartAnswer.BAD_TICKET,
}
RUN_ENDS = {end.value: end for end in RunEnd}
# The tasks of a step start together and share the job's spec, which may have 256 KiB.
CACHED_SPECS = 32
# Raised for a row of another form.
ROW_ERRORS = (ValueError, TypeError, LookupError)
T = TypeVar("T")


@define(kw_only=True, eq=False)
class PlatformMinionPort:
    """Implement the scheduler's port to minions."""

    http: PlatformHttpClient
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
        """Return a minion's lists of runs as soon as a run ends, or after `wait_ms`."""
        body: dict[str, Any] = {"fencing-token": token, "last-seen": recorded_end}
        if lease_until_ms is not None:
            body["deadline-ms"] = lease_until_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        response = await self._send(report, "/hold", body, timeout_ms=wait_ms + ORDER_TIMEOUT_MS)
        self._check_status(response)
        return decode_poll_result(_decode(response))

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        """Start a run."""
        body = {
            "task": order.task,
            "run": order.run,
            "spec": _encode_spec(order.payload),
            "deadline-ms": order.lease_until_ms,
            "fencing-token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        response = await self._send(report, "/run-start", body, timeout_ms=ORDER_TIMEOUT_MS)
        return _decode_start_reply(response)

    async def stop(self, report: MinionReport, *, task: str, run: int, token: int) -> None:
        """Stop a run, at once or as soon as its delayed start order arrives."""
        body = {"task": task, "run": run, "fencing-token": token}
        self._check_status(await self._send(report, "/run-stop", body, timeout_ms=ORDER_TIMEOUT_MS))

    async def pace(
        self, report: MinionReport, *, task: str, run: int, percent: int, token: int
    ) -> None:
        """Limit a run to a percentage of its speed."""
        body = {"task": task, "run": run, "percent": percent, "fencing-token": token}
        self._check_status(await self._send(report, "/pace", body, timeout_ms=ORDER_TIMEOUT_MS))

    def forget(self, minion: str) -> None:
        """Drop the idle connections to a minion that is gone."""
        address = self.addresses.pop(minion, None)
        if address is not None:
            self.http.drop_idle(address)

    async def _send(
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

    def _check_status(self, response: Response) -> None:
        if response.status == HTTP_OK:
            return
        if response.status == HTTP_MISDIRECTED:
            raise WrongIncarnationError("another incarnation answered")
        if response.status == HTTP_CONFLICT and _reason(response) == "fence":
            raise FencedError("a higher fencing token was used")
        raise UnknownOutcomeError(f"answered {response.status}: {response.body[:200]!r}")


@functools.lru_cache(CACHED_SPECS)
def _encode_spec(payload: str) -> orjson.Fragment:
    return orjson.Fragment(orjson.dumps(payload))


def _decode(response: Response) -> dict[str, Any]:
    try:
        return fields.decode_rows(response.body)
    except InvalidInputError as exc:
        raise UnknownOutcomeError(f"unreadable answer: {exc}") from None


def _reason(response: Response) -> str:
    reason = _decode(response).get("reason")
    return reason if isinstance(reason, str) else ""


def _decode_start_reply(response: Response) -> StartReply:
    if response.status == HTTP_MISDIRECTED:
        return StartReply(answer=StartAnswer.WRONG_INCARNATION)
    if response.status in UNHEALTHY_STATUSES:
        return StartReply(answer=StartAnswer.UNHEALTHY)
    body = _decode(response) if response.body else {}
    try:
        clock_ms = fields.integer(body, "clock-ms", 0)
    except InvalidInputError as exc:
        raise UnknownOutcomeError(f"unreadable answer: {exc}") from None
    if response.status == HTTP_OK:
        return StartReply(answer=StartAnswer.STARTED, clock_ms=clock_ms)
    if response.status == HTTP_CONFLICT:
        known = START_ANSWER_BY_CONFLICT_REASON.get(_reason(response))
        if known is not None:
            return StartReply(answer=known, clock_ms=clock_ms)
    if response.status == 400:
        return StartReply(answer=StartAnswer.MALFORMED, clock_ms=clock_ms)
    raise UnknownOutcomeError(f"answered {response.status}: {response.body[:200]!r}")


def decode_poll_result(body: dict[str, Any]) -> PollResult:
    """Decode a minion's lists of runs, without the rows that can't be read.

    Raise UnknownOutcomeError if there are no lists or no clock.
    """
    unread: list[str] = []
    try:
        return PollResult(
            born_ms=fields.integer(body, "born", 0),
            clock_ms=fields.integer(body, "clock-ms"),
            running=_decode_rows(fields.items(body, "running"), _decode_running_task, unread),
            ended=_decode_rows(fields.items(body, "finished"), _decode_ended_task, []),
            unread=unread,
        )
    except InvalidInputError as exc:
        raise UnknownOutcomeError(f"unreadable lists: {exc}") from None


def _decode_rows(rows: list[Any], decode: Callable[[Any], T], unread: list[str]) -> list[T]:
    """Decode what can be decoded; add the task of each other row to `unread`, if it has one."""
    found = []
    for row in rows:
        try:
            found.append(decode(row))
        except ROW_ERRORS:
            task = row[0] if isinstance(row, list) and row else None
            if isinstance(task, str):
                unread.append(task)
    return found


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("not a text")
    return value


def _count(value: Any) -> int:
    """Return a number in a row; raise ValueError for one that no order can carry back."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int or not 0 <= value <= fields.MAX_NUMBER:
        raise ValueError("not a whole number in range")
    return value


def _decode_running_task(row: list[Any]) -> RunningTask:
    # Rows are positional: task, run, checkpoint, percent and, where tasks share, a load figure.
    task, run, checkpoint, percent = row[:4]
    figure = row[4] if len(row) > 4 else 0
    return RunningTask(
        task=_text(task),
        run=_count(run),
        checkpoint=_text(checkpoint),
        percent=_count(percent),
        figure=_count(figure),
    )


def _decode_ended_task(row: list[Any]) -> EndedTask:
    number, task, run, end = row[:4]
    checkpoint = row[4] if len(row) > 4 else ""
    return EndedTask(
        number=_count(number),
        task=_text(task),
        run=_count(run),
        end=RUN_ENDS[_text(end)],
        # The end counts without it too: the next run begins anew.
        checkpoint=checkpoint if isinstance(checkpoint, str) else "",
    )
