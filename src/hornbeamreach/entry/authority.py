"""Whether this entry process may act for a team now."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.sessions import PEER_SESSION_TIMEOUT_MS, SESSION_TIMEOUT_MS


@define(frozen=True, kw_only=True)
class PeerContact:
    """Hold when a peer that answered was asked, and what it knew."""

    asked_ms: int
    applied_index: int


@define(kw_only=True)
class Authority:
    """Hold this process's session with control and its contacts with its peers.

    All times are those at which the question was sent, so that nobody who counts from
    the answer believes the authority to end earlier than it does.
    """

    entry_id: str
    incarnation: str
    peer_count: int
    renewed_ms: int | None = None
    contacts: dict[str, PeerContact] = field(factory=dict)

    def renew(self, sent_ms: int) -> None:
        """Note a renewal that control answered."""
        self.renewed_ms = sent_ms

    def in_session(self, now_ms: int) -> bool:
        """Tell whether control answered a moment ago."""
        return self.renewed_ms is not None and now_ms - self.renewed_ms < SESSION_TIMEOUT_MS

    def in_touch_with_majority(self, applied_index: int, now_ms: int) -> bool:
        """Tell whether a majority of the data centre knows nothing newer."""
        in_touch = sum(
            1
            for contact in self.contacts.values()
            if now_ms - contact.asked_ms < PEER_SESSION_TIMEOUT_MS
            and contact.applied_index <= applied_index
        )
        return in_touch + 1 >= self.peer_count // 2 + 1

    def is_suspended(self, state: ControlState) -> bool:
        """Tell whether control has called this incarnation back."""
        grant = state.grants.get(self.entry_id, {}).get(self.incarnation)
        return grant is not None and grant.suspended_index > 0

    def may_act(self, state: ControlState, team: str, now_ms: int) -> bool:
        """Tell whether work may be started for a team under the known table."""
        row = state.table.teams.get(team)
        if row is None or self.renewed_ms is None or self.is_suspended(state):
            return False
        if self.in_session(now_ms):
            return True
        if not self.in_touch_with_majority(state.applied_index, now_ms):
            return False
        # A prepared change may be in force elsewhere already: its rows are let go of.
        for prepared in state.prepared.values():
            if team in prepared.teams or prepared.shared_rows:
                return False
        return now_ms - self.renewed_ms < row.cut_off_ms
