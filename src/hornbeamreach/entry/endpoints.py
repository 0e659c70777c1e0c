"""Endpoints' announcements, spread between a data centre's entry processes."""

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


def parse_announcement(plain: dict[str, Any], state: ControlState, dc: str) -> Announcement:
    """Check an announcement against the declared table."""
    announcement = structure(plain, Announcement, error=InvalidInputError)
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
    if vm is None or vm.data_center != dc:
        raise RefusedError(Reason.UNKNOWN_ROW, f"no VM {announcement.vm!r} is declared in {dc}")
    return announcement


def take_announcement(tables: CallTables, announcement: Announcement, heard_ms: int) -> bool:
    """Take an announcement heard here or by a peer; return whether it is new."""
    row = tables.endpoints.get(announcement.endpoint)
    if row is None:
        tables.endpoints[announcement.endpoint] = _new_row(announcement, heard_ms)
        return True
    if row.instance == announcement.instance:
        if announcement.sequence <= row.sequence:
            return False
    elif heard_ms < row.last_announcement_ms:
        return False
    else:
        _restart(row, announcement)
    row.sequence = announcement.sequence
    row.last_announcement_ms = max(row.last_announcement_ms, heard_ms)
    row.slots, row.connections = announcement.slots, announcement.connections
    row.leaving = announcement.leaving
    return True


def _new_row(announcement: Announcement, heard_ms: int) -> EndpointRow:
    return EndpointRow(
        id=announcement.endpoint,
        service=announcement.service,
        address=announcement.address,
        vm=announcement.vm,
        slots=announcement.slots,
        connections=announcement.connections,
        instance=announcement.instance,
        sequence=announcement.sequence,
        last_announcement_ms=heard_ms,
        leaving=announcement.leaving,
    )


def _restart(row: EndpointRow, announcement: Announcement) -> None:
    """Forget what was learnt of an endpoint's earlier instance."""
    row.instance = announcement.instance
    row.service, row.address, row.vm = announcement.service, announcement.address, announcement.vm
    row.latency_ms, row.consecutive_failures = 0.0, 0
    row.health, row.ejections = EndpointHealth.HEALTHY, 0


def hear_announcement(tables: CallTables, announcement: Announcement, now_ms: int) -> bool:
    """Take an announcement that came here, so that the peers are told of it."""
    taken = take_announcement(tables, announcement, now_ms)
    if taken:
        row = tables.endpoints[announcement.endpoint]
        row.direct_announcement, row.direct_announcement_ms = announcement, now_ms
    return taken


def endpoint_news(tables: CallTables, since_ms: int, now_ms: int) -> list[EndpointUpdate]:
    """Return the announcements that came here since a peer was told."""
    return [
        EndpointUpdate(
            announcement=row.direct_announcement, age_ms=now_ms - row.direct_announcement_ms
        )
        for row in tables.endpoints.values()
        if row.direct_announcement is not None and row.direct_announcement_ms >= since_ms
    ]


def take_news(tables: CallTables, news: list[EndpointUpdate], now_ms: int) -> None:
    """Take the announcements that a peer has heard."""
    for item in news:
        take_announcement(tables, item.announcement, now_ms - item.age_ms)
