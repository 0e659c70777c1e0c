"""Split an endpoint's slots among the entry processes of its data centre."""

from __future__ import annotations

import zlib

from hornbeamreach.tables.calls import CallTables


def slot_credits(endpoint: str, slots: int, entries: list[str], entry_id: str) -> int:
    """Return one entry process's share of an endpoint's slots.

    The shares add up to the slots. The endpoint's id determines which processes get the
    remainder, so that all processes get about the same total over many endpoints.
    """
    if entry_id not in entries:
        return 0
    base, remainder = divmod(slots, len(entries))
    offset = zlib.crc32(endpoint.encode()) % len(entries)
    rank = (sorted(entries).index(entry_id) - offset) % len(entries)
    return base + (1 if rank < remainder else 0)


def assign_credits(tables: CallTables, entries: list[str], entry_id: str) -> None:
    """Set this process's credits for every endpoint."""
    for row in tables.endpoints.values():
        row.credits = slot_credits(row.id, row.slots, entries, entry_id)
