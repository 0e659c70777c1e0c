"""Splitting an endpoint's slots among the entry processes of its data centre."""

from __future__ import annotations

import zlib

from hornbeamreach.tables.calls import CallTables


def slot_credits(endpoint: str, slots: int, entries: list[str], entry_id: str) -> int:
    """Return one entry process's part of an endpoint's slots.

    The parts add up to the slots. The remainder goes to other processes for other
    endpoints, so that every process gets about the same in all.
    """
    if entry_id not in entries:
        return 0
    even, extra = divmod(slots, len(entries))
    turn = zlib.crc32(endpoint.encode()) % len(entries)
    rank = (sorted(entries).index(entry_id) - turn) % len(entries)
    return even + (1 if rank < extra else 0)


def assign_credits(tables: CallTables, entries: list[str], entry_id: str) -> None:
    """Set this process's credits on every endpoint."""
    for row in tables.endpoints.values():
        row.credits = slot_credits(row.id, row.slots, entries, entry_id)
