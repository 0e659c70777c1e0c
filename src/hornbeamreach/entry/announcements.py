"""Announcements of endpoints, shared among a data centre's entry processes."""

from __future__ import annotations

from typing import Any

from hornbeamreach import validators
from hornbeamreach.converters import structure
from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.link.messages import EndpointUpdate
from hornbeamreach.tables.announcement import Announcement
from hornbeamreach.tables.calls import CallTables, EndpointHealth, EndpointRow
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.verdict import Reason

MAX_SLOTS = 10_000


def parse_announcement(
    content: dict[str, Any], state: ControlState, data_center: str
) -> Announcement:
    """Parse an announcement and check it against the declared table."""
    announcement = structure(content, Announcement, error=InvalidInputError)
    validators.name(None, None, announcement.endpoint)
    validators.address(None, None, announcement.address)
    validators.in_range(1, MAX_SLOTS)(None, None, announcement.slots)
    validators.in_range(1, MAX_SLOTS)(None, None, announcement.connections)
    service = state.table.services.get(announcement.service)
    if service is None:
        raise RefusedError(
            Reason.UNKNOWN_SERVICE, f"no service {announcement.service!r} is declared"
        )
    vm = state.table.vms.get(announcement.vm)
    if vm is None or vm.data_center != data_center:
        raise RefusedError(
            Reason.UNKNOWN_ROW, f"no VM {announcement.vm!r} is declared in {data_center}"
        )
    return announcement


def apply_announcement(tables: CallTables, announcement: Announcement, received_ms: int) -> bool:
    """Apply an announcement received here or by a peer; return whether it is new."""
    row = tables.endpoints.get(announcement.endpoint)
    if row is None:
        tables.endpoints[announcement.endpoint] = _new_endpoint(announcement, received_ms)
        return True
    if row.instance == announcement.instance:
        if announcement.sequence <= row.sequence:
            return False
    elif received_ms < row.last_announcement_ms:
        return False
    else:
        _replace_instance(row, announcement)
    row.sequence = announcement.sequence
    row.last_announcement_ms = max(row.last_announcement_ms, received_ms)
    row.slots, row.connections = announcement.slots, announcement.connections
    row.leaving = announcement.leaving
    return True


def _new_endpoint(announcement: Announcement, received_ms: int) -> EndpointRow:
    return EndpointRow(
        id=announcement.endpoint,
        service=announcement.service,
        address=announcement.address,
        vm=announcement.vm,
        slots=announcement.slots,
        connections=announcement.connections,
        instance=announcement.instance,
        sequence=announcement.sequence,
        last_announcement_ms=received_ms,
        leaving=announcement.leaving,
    )


def _replace_instance(row: EndpointRow, announcement: Announcement) -> None:
    """Reset what was measured for an endpoint's earlier instance."""
    row.instance = announcement.instance
    row.service, row.address, row.vm = announcement.service, announcement.address, announcement.vm
    row.latency_ms, row.consecutive_failures = 0.0, 0
    row.health, row.ejections = EndpointHealth.HEALTHY, 0


def add_local_announcement(tables: CallTables, announcement: Announcement, now_ms: int) -> bool:
    """Apply an announcement received by this process, and keep it for the peers."""
    is_new = apply_announcement(tables, announcement, now_ms)
    if is_new:
        row = tables.endpoints[announcement.endpoint]
        row.direct_announcement, row.direct_announcement_ms = announcement, now_ms
    return is_new


def endpoint_updates(tables: CallTables, since_ms: int, now_ms: int) -> list[EndpointUpdate]:
    """Return the announcements that endpoints have sent to this process since a time."""
    return [
        EndpointUpdate(
            announcement=row.direct_announcement, age_ms=now_ms - row.direct_announcement_ms
        )
        for row in tables.endpoints.values()
        if row.direct_announcement is not None and row.direct_announcement_ms >= since_ms
    ]


def apply_endpoint_updates(tables: CallTables, updates: list[EndpointUpdate], now_ms: int) -> None:
    """Apply announcements that a peer has received."""
    for update in updates:
        apply_announcement(tables, update.announcement, now_ms - update.age_ms)
