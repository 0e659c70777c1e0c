"""The authority of an entry process to act for a team."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.sessions import PEER_SESSION_TIMEOUT_MS, SESSION_TIMEOUT_MS


@define(frozen=True, kw_only=True)
class PeerContact:
    """Store the applied index in a peer's last reply, and when its request was sent."""

    sent_ms: int
    applied_index: int


@define(kw_only=True)
class Authority:
    """Track this process's session with control and its contacts with its peers.

    Times are those at which a request was sent. Control and the peers count from their
    replies, so the authority ends no later than they expect.
    """

    entry_id: str
    incarnation: str
    peer_count: int
    renewed_ms: int | None = None
    contacts: dict[str, PeerContact] = field(factory=dict)

    def renew(self, sent_ms: int) -> None:
        """Apply a renewal that control confirmed; `sent_ms` is when it was requested."""
        self.renewed_ms = sent_ms

    def in_session(self, now_ms: int) -> bool:
        """Return whether the session with control is current."""
        return self.renewed_ms is not None and now_ms - self.renewed_ms < SESSION_TIMEOUT_MS

    def majority_is_not_newer(self, applied_index: int, now_ms: int) -> bool:
        """Return whether a majority of the data centre recently had no newer state."""
        confirming = sum(
            1
            for contact in self.contacts.values()
            if now_ms - contact.sent_ms < PEER_SESSION_TIMEOUT_MS
            and contact.applied_index <= applied_index
        )
        return confirming + 1 >= self.peer_count // 2 + 1

    def is_suspended(self, state: ControlState) -> bool:
        """Return whether control has suspended this incarnation."""
        grant = state.grants.get(self.entry_id, {}).get(self.incarnation)
        return grant is not None and grant.suspended_index > 0

    def may_act(self, state: ControlState, team: str, now_ms: int) -> bool:
        """Return whether work may be started for a team under the replayed table."""
        row = state.table.teams.get(team)
        if row is None or self.renewed_ms is None or self.is_suspended(state):
            return False
        if self.in_session(now_ms):
            return True
        if not self.majority_is_not_newer(state.applied_index, now_ms):
            return False
        # A prepared change may already be in force elsewhere, so its rows can't be relied on.
        for prepared in state.prepared.values():
            if team in prepared.teams or prepared.shared_rows:
                return False
        return now_ms - self.renewed_ms < row.cut_off_ms
