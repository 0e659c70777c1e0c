"""An entry process's copy of the replicated state; it never goes back."""

from __future__ import annotations

from collections import deque

import trio

from hornbeamreach.control.snapshots import decode_state, encode_state
from hornbeamreach.control.state_machine import apply_command
from hornbeamreach.link.codec import decode
from hornbeamreach.link.messages import LogItem, LogPage
from hornbeamreach.tables.control_state import ControlState

KEPT_ITEMS = 2_000


class ControlView:
    """Replay what control committed, in order."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.items: deque[LogItem] = deque(maxlen=KEPT_ITEMS)
        self.changed = trio.Event()

    def index(self) -> int:
        """Return the log index up to which the state is known."""
        return self.state.applied_index

    def take(self, items: list[LogItem], state: bytes | None) -> bool:
        """Take news; what is old or leaves a gap is ignored. Return whether any was new."""
        before = self.index()
        if state is not None:
            self._take_state(state)
        for item in items:
            self._take_item(item)
        if self.index() == before:
            return False
        self.changed.set()
        self.changed = trio.Event()
        return True

    def _take_state(self, encoded: bytes) -> None:
        state = decode_state(encoded)
        if state.applied_index > self.index():
            self.state = state
            self.items.clear()

    def _take_item(self, item: LogItem) -> None:
        if item.index != self.index() + 1:
            return
        if item.data:
            apply_command(self.state, item.index, decode(item.data))
        else:
            self.state.applied_index = item.index
        self.items.append(item)

    def page_from(self, from_index: int) -> LogPage:
        """Return what a peer that knows up to an index lacks."""
        if from_index >= self.index():
            return LogPage()
        if self.items and self.items[0].index <= from_index + 1:
            return LogPage(items=[item for item in self.items if item.index > from_index])
        return LogPage(state=encode_state(self.state))
