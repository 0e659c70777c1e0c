"""Groups of entry processes that replicate records.

Each data centre has one group: its entry processes and, if there are only two, a witness in
another data centre, so that a majority survives the loss of one process.
"""

from __future__ import annotations

from hornbeamreach.exceptions import RefusedError
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.records.messages import (
    RecordAccept,
    RecordAccepted,
    RecordDump,
    RecordPrepare,
    RecordPromise,
    RecordRecover,
    RecordScan,
)
from hornbeamreach.records.store import RecordStore
from hornbeamreach.verdict import Reason


class RecordGroups:
    """Dispatch record messages to the stores of their groups."""

    def __init__(self, *, handlers: HandlerTable) -> None:
        self.stores: dict[str, RecordStore] = {}
        handlers.on(RecordPrepare, self._on_prepare)
        handlers.on(RecordAccept, self._on_accept)
        handlers.on(RecordRecover, self._on_recover)
        handlers.on(RecordScan, self._on_scan)

    def add(self, store: RecordStore) -> None:
        """Register the store that serves a group's messages."""
        self.stores[store.group] = store

    def _store(self, group: str) -> RecordStore:
        store = self.stores.get(group)
        if store is None:
            detail = f"this process keeps no records of {group}"
            raise RefusedError(Reason.RECORDS_UNAVAILABLE, detail)
        return store

    async def _on_prepare(self, message: RecordPrepare) -> RecordPromise:
        return self._store(message.group).prepare(message)

    async def _on_accept(self, message: RecordAccept) -> RecordAccepted:
        return self._store(message.group).accept(message)

    async def _on_recover(self, message: RecordRecover) -> RecordDump:
        return self._store(message.group).dump(message)

    async def _on_scan(self, message: RecordScan) -> RecordDump:
        return self._store(message.group).dump_matching(message)
