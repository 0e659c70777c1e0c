"""An entry process's copy of control's replicated state; its index never decreases."""

from __future__ import annotations

from collections import deque

import trio

from hornbeamreach.control.snapshots import decode_state, encode_state
from hornbeamreach.control.state_machine import apply_command
from hornbeamreach.control.workload_commands import BeginEvacuation, EndEvacuation
from hornbeamreach.link.codec import decode
from hornbeamreach.link.messages import LogItem, LogPage
from hornbeamreach.tables.control_state import ControlState

MAX_KEPT_ITEMS = 2_000
# Importing the module registers these classes, which decoding requires.
REGISTERED_COMMANDS = (BeginEvacuation, EndEvacuation)


class ReplayedState:
    """Replay control's committed log in order."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.items: deque[LogItem] = deque(maxlen=MAX_KEPT_ITEMS)
        self.changed = trio.Event()

    def index(self) -> int:
        """Return the index up to which the log has been replayed."""
        return self.state.applied_index

    def apply(self, items: list[LogItem], state: bytes | None) -> bool:
        """Apply a snapshot and log items; return whether the state advanced.

        Old items and items that leave a gap are ignored.
        """
        before = self.index()
        if state is not None:
            self._apply_snapshot(state)
        for item in items:
            self._apply_item(item)
        if self.index() == before:
            return False
        self.changed.set()
        self.changed = trio.Event()
        return True

    def _apply_snapshot(self, encoded: bytes) -> None:
        state = decode_state(encoded)
        if state.applied_index > self.index():
            self.state = state
            self.items.clear()

    def _apply_item(self, item: LogItem) -> None:
        if item.index != self.index() + 1:
            return
        if item.data:
            apply_command(self.state, item.index, decode(item.data))
        else:
            self.state.applied_index = item.index
        self.items.append(item)

    def page_from(self, from_index: int) -> LogPage:
        """Return the items after an index, or a snapshot if they are no longer kept."""
        if from_index >= self.index():
            return LogPage()
        if self.items and self.items[0].index <= from_index + 1:
            return LogPage(items=[item for item in self.items if item.index > from_index])
        return LogPage(state=encode_state(self.state))
