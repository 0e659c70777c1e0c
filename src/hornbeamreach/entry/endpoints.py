"""Endpoints' announcements, spread between a data centre's entry processes."""

from __future__ import annotations

from typing import Any

from attrs import define

from hornbeamreach import validators
from hornbeamreach.clock import Clock
from hornbeamreach.converters import structure
from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.link.messages import EndpointNews
from hornbeamreach.tables.calls import CallTables, EndpointHealth, EndpointRow
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.verdict import Reason

MAX_SLOTS = 10_000


@define(frozen=True, kw_only=True)
class Announcement:
    """Hold what an endpoint says of itself; the sequence orders what one instance says."""

    endpoint: str
    service: str
    address: str
    vm: str
    slots: int
    connections: int
    instance: str
    sequence: int
    leaving: bool = False


def parse_announcement(plain: dict[str, Any], state: ControlState, dc: str) -> Announcement:
    """Check an announcement against the declared table."""
    said = structure(plain, Announcement, error=InvalidInputError)
    validators.name(None, None, said.endpoint)
    validators.address(None, None, said.address)
    validators.in_range(1, MAX_SLOTS)(None, None, said.slots)
    validators.in_range(1, MAX_SLOTS)(None, None, said.connections)
    service = state.table.services.get(said.service)
    if service is None:
        raise RefusedError(Reason.UNKNOWN_SERVICE, f"no service {said.service!r} is declared")
    vm = state.table.vms.get(said.vm)
    if vm is None or vm.data_center != dc:
        raise RefusedError(Reason.UNKNOWN_ROW, f"no VM {said.vm!r} is declared in {dc}")
    return said


def take_announcement(tables: CallTables, said: Announcement, heard_ms: int) -> bool:
    """Take an announcement heard here or by a peer; return whether it is new."""
    row = tables.endpoints.get(said.endpoint)
    if row is None:
        tables.endpoints[said.endpoint] = _new_row(said, heard_ms)
        return True
    if row.instance == said.instance:
        if said.sequence <= row.sequence:
            return False
    elif heard_ms < row.heard_ms:
        return False
    else:
        _restart(row, said)
    row.sequence = said.sequence
    row.heard_ms = max(row.heard_ms, heard_ms)
    row.slots, row.connections = said.slots, said.connections
    row.leaving = said.leaving
    return True


def _new_row(said: Announcement, heard_ms: int) -> EndpointRow:
    return EndpointRow(
        id=said.endpoint,
        service=said.service,
        address=said.address,
        vm=said.vm,
        slots=said.slots,
        connections=said.connections,
        instance=said.instance,
        sequence=said.sequence,
        heard_ms=heard_ms,
        leaving=said.leaving,
    )


def _restart(row: EndpointRow, said: Announcement) -> None:
    """Forget what was learnt of an endpoint's earlier instance."""
    row.instance = said.instance
    row.service, row.address, row.vm = said.service, said.address, said.vm
    row.latency_ms, row.failures_in_row = 0.0, 0
    row.health, row.ejections = EndpointHealth.HEALTHY, 0


def endpoint_news(tables: CallTables, clock: Clock, max_age_ms: int) -> list[EndpointNews]:
    """Return recent announcements for a peer."""
    now_ms = clock.now_ms()
    return [
        EndpointNews(
            endpoint=row.id,
            service=row.service,
            address=row.address,
            vm=row.vm,
            slots=row.slots,
            connections=row.connections,
            instance=row.instance,
            sequence=row.sequence,
            leaving=row.leaving,
            age_ms=now_ms - row.heard_ms,
        )
        for row in tables.endpoints.values()
        if now_ms - row.heard_ms <= max_age_ms
    ]


def take_news(tables: CallTables, news: list[EndpointNews], now_ms: int) -> None:
    """Take the announcements that a peer has heard."""
    for item in news:
        said = Announcement(
            endpoint=item.endpoint,
            service=item.service,
            address=item.address,
            vm=item.vm,
            slots=item.slots,
            connections=item.connections,
            instance=item.instance,
            sequence=item.sequence,
            leaving=item.leaving,
        )
        take_announcement(tables, said, now_ms - item.age_ms)
