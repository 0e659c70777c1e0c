"""The platform's machines and its admission service."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import orjson
from attrs import define

from hornbeamreach.exceptions import InvalidInputError
from hornbeamreach.fleet.ports import (
    PlatformVm,
    PlatformVmState,
    UnknownOutcomeError,
    VmOrderAnswer,
)
from hornbeamreach.platform import plain
from hornbeamreach.platform.http import PlatformHttp, Response

CALL_TIMEOUT_MS = 1_500
HTTP_OK = 200
HTTP_BAD = 400
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429
CONFLICTS = {
    "fence": VmOrderAnswer.FENCED,
    "busy": VmOrderAnswer.BUSY,
    "wave": VmOrderAnswer.NOT_IN_WAVE,
}


@define(kw_only=True, eq=False)
class PlatformMachines:
    """Implement the scheduler's port to machines."""

    http: PlatformHttp
    address: str

    async def list_vms(self) -> list[PlatformVm]:
        """Return all machines."""
        found: list[PlatformVm] = []
        page = ""
        while True:
            path = f"/machines?page-token={quote(page)}" if page else "/machines"
            body = _decode(
                await self.http.send(self.address, "GET", path, timeout_ms=CALL_TIMEOUT_MS)
            )
            found += [machine for row in _rows(body) if (machine := _machine(row)) is not None]
            page = str(body.get("next-token") or "")
            if not page:
                return found

    async def start_maintenance(
        self, vm: str, *, wave: int, holder: str, token: int
    ) -> VmOrderAnswer:
        """Begin a machine's upkeep."""
        return await self._order("/machine-upkeep", {"machine": vm, "wave": wave}, holder, token)

    async def move(self, vm: str, *, pool: str, holder: str, token: int) -> VmOrderAnswer:
        """Move a machine to another pool."""
        return await self._order("/machine-move", {"machine": vm, "pool": pool}, holder, token)

    async def _order(
        self, path: str, body: dict[str, Any], holder: str, token: int
    ) -> VmOrderAnswer:
        answer = await self.http.send(
            self.address,
            "POST",
            path,
            body=orjson.dumps(body),
            headers=(
                (b"Duty-Holder", holder.encode()),
                (b"Fencing-Token", str(token).encode()),
            ),
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if answer.status == HTTP_OK:
            return VmOrderAnswer.ORDERED
        if answer.status == HTTP_BAD:
            return VmOrderAnswer.MALFORMED
        if answer.status == HTTP_TOO_MANY:
            return VmOrderAnswer.TOO_MANY
        reason = _decode(answer).get("reason") if answer.status == HTTP_CONFLICT else None
        if reason in CONFLICTS:
            return CONFLICTS[reason]
        raise UnknownOutcomeError(f"answered {answer.status}: {answer.body[:200]!r}")


def _decode(answer: Response) -> dict[str, Any]:
    if answer.status not in (HTTP_OK, HTTP_CONFLICT):
        raise UnknownOutcomeError(f"answered {answer.status}")
    try:
        return plain.decode_json(answer.body)
    except InvalidInputError as exc:
        raise UnknownOutcomeError(f"unreadable answer: {exc}") from None


def _rows(body: dict[str, Any]) -> list[Any]:
    try:
        return plain.items(body, "machines", required=True)
    except InvalidInputError as exc:
        raise UnknownOutcomeError(f"unreadable list: {exc}") from None


def _machine(row: Any) -> PlatformVm | None:
    """Decode one entry; an entry that can't be read names no machine."""
    try:
        return PlatformVm(
            name=plain.text(row, "machine"),
            pool=plain.text(row, "pool"),
            state=PlatformVmState(row.get("state")),
            minion=plain.text(row, "id", ""),
            data_center=plain.text(row, "zone", ""),
        )
    except (InvalidInputError, ValueError, AttributeError):
        return None


@define(kw_only=True, eq=False)
class PlatformAdvice:
    """Implement the scheduler's port to the admission service."""

    http: PlatformHttp
    address: str

    async def request_tickets(self, step: str, minions: list[str]) -> dict[str, str]:
        """Return a ticket for each admitted minion."""
        body = orjson.dumps({"step": step, "workers": minions})
        answer = await self.http.send(
            self.address, "POST", "/advise", body=body, timeout_ms=CALL_TIMEOUT_MS
        )
        rows = _decode(answer).get("admitted")
        if not isinstance(rows, list):
            raise UnknownOutcomeError("unreadable advice")
        try:
            return {str(row[0]): str(row[1]) for row in rows}
        except (TypeError, IndexError, KeyError) as exc:
            raise UnknownOutcomeError(f"unreadable advice: {exc!r}") from None
