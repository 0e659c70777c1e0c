"""Clients of the platform's VM service and admission service."""

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
from hornbeamreach.platform import fields
from hornbeamreach.platform.http_client import PlatformHttpClient, Response

CALL_TIMEOUT_MS = 1_500
HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429
OUTCOME_BY_CONFLICT_REASON = {
    "fence": VmOrderAnswer.FENCED,
    "busy": VmOrderAnswer.BUSY,
    "wave": VmOrderAnswer.NOT_IN_WAVE,
}


@define(kw_only=True, eq=False)
class PlatformVmPort:
    """Implement the scheduler's port to VMs."""

    http: PlatformHttpClient
    address: str

    async def list_vms(self) -> list[PlatformVm]:
        """Return all VMs, from every page of the list."""
        found: dict[str, PlatformVm] = {}
        page = ""
        while True:
            path = f"/machines?page-token={quote(page)}" if page else "/machines"
            body = _decode(
                await self.http.send(self.address, "GET", path, timeout_ms=CALL_TIMEOUT_MS)
            )
            for vm in filter(None, map(_decode_vm, _vm_rows(body))):
                # A row that can be read comes before one of the same VM that can't.
                if vm.name not in found or vm.state is not PlatformVmState.UNKNOWN:
                    found[vm.name] = vm
            page = _next_page(body, page)
            if not page:
                return list(found.values())

    async def start_maintenance(
        self, vm: str, *, wave: int, holder: str, token: int
    ) -> VmOrderAnswer:
        """Begin the maintenance of a VM."""
        return await self._send_order(
            "/machine-upkeep", {"machine": vm, "wave": wave}, holder, token
        )

    async def move(self, vm: str, *, pool: str, holder: str, token: int) -> VmOrderAnswer:
        """Move a VM to another pool."""
        return await self._send_order("/machine-move", {"machine": vm, "pool": pool}, holder, token)

    async def _send_order(
        self, path: str, body: dict[str, Any], holder: str, token: int
    ) -> VmOrderAnswer:
        response = await self.http.send(
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
        if response.status == HTTP_OK:
            return VmOrderAnswer.ORDERED
        if response.status == HTTP_BAD_REQUEST:
            return VmOrderAnswer.MALFORMED
        if response.status == HTTP_TOO_MANY_REQUESTS:
            return VmOrderAnswer.TOO_MANY
        reason = _decode(response).get("reason") if response.status == HTTP_CONFLICT else None
        if isinstance(reason, str) and reason in OUTCOME_BY_CONFLICT_REASON:
            return OUTCOME_BY_CONFLICT_REASON[reason]
        raise UnknownOutcomeError(f"unexpected status {response.status}: {response.body[:200]!r}")


def _decode(response: Response) -> dict[str, Any]:
    if response.status not in (HTTP_OK, HTTP_CONFLICT):
        raise UnknownOutcomeError(f"unexpected status {response.status}")
    try:
        return fields.decode_rows(response.body)
    except InvalidInputError as exc:
        raise UnknownOutcomeError(f"malformed response: {exc}") from None


def _next_page(body: dict[str, Any], page: str) -> str:
    """Return the token of the next page, empty after the last one."""
    token = body.get("next-token") or ""
    if not isinstance(token, (str, int)) or (token and str(token) == page):
        raise UnknownOutcomeError("malformed VM list: no token of another page")
    return str(token)


def _vm_rows(body: dict[str, Any]) -> list[Any]:
    try:
        return fields.items(body, "machines", required=True)
    except InvalidInputError as exc:
        raise UnknownOutcomeError(f"malformed VM list: {exc}") from None


def _decode_vm(row: Any) -> PlatformVm | None:
    """Decode one row; return None if it names no VM."""
    if not isinstance(row, dict):
        return None
    try:
        name = fields.string(row, "machine")
    except InvalidInputError:
        return None
    try:
        return PlatformVm(
            name=name,
            pool=fields.string(row, "pool"),
            state=PlatformVmState(fields.string(row, "state")),
            minion=fields.string(row, "id", ""),
            data_center=fields.string(row, "zone", ""),
        )
    except (InvalidInputError, ValueError):
        # The VM exists; nothing is done with it by this row.
        return PlatformVm(name=name, pool="", state=PlatformVmState.UNKNOWN)


@define(kw_only=True, eq=False)
class PlatformAdmissionPort:
    """Implement the scheduler's port to the admission service."""

    http: PlatformHttpClient
    address: str

    async def request_tickets(self, step: str, minions: list[str]) -> dict[str, str]:
        """Return the tickets of the admitted minions, by minion."""
        body = orjson.dumps({"step": step, "workers": minions})
        response = await self.http.send(
            self.address, "POST", "/advise", body=body, timeout_ms=CALL_TIMEOUT_MS
        )
        rows = _decode(response).get("admitted")
        if not isinstance(rows, list):
            raise UnknownOutcomeError("malformed response: no list of admitted minions")
        return {row[0]: row[1] for row in rows if _is_admission(row)}


def _is_admission(row: Any) -> bool:
    """Return whether a row names a minion and its ticket."""
    is_pair = isinstance(row, list) and len(row) >= 2
    return is_pair and isinstance(row[0], str) and isinstance(row[1], str)
