"""Heartbeats between replicas, apart from the loop that decides.

Load pattern: under load an iteration of the process's event loop takes hundreds of ms. Heartbeats
that wait for it let a leader's lease lapse although its process works, and each change of the
leader adds more work than it takes over.
"""

from __future__ import annotations

import threading

from attrs import define, field

# A leader whose loop has made no progress for this long sends no more heartbeats, so that another
# replica takes over.
MAX_LOOP_BLOCK_MS = 2_000


@define(frozen=True, kw_only=True)
class Heartbeat:
    """Announce the leader of a term, or with `is_reply` that its sender follows that leader."""

    source: str
    target: str
    term: int
    # When the leader sent the heartbeat, on its own clock.
    sent_ms: int
    is_reply: bool = False


@define(kw_only=True, eq=False)
class Liveness:
    """Share a replica's role with the thread that exchanges its heartbeats.

    The Raft core changes its term, vote or leader only while it holds `lock`, and so does
    `receive`. A replica that has voted in a newer term therefore answers no heartbeat of an
    earlier leader, and one that answers it is in contact with that leader before it votes.
    """

    node_id: str
    lock: threading.RLock = field(factory=threading.RLock)
    term: int = 0
    # Whom this replica follows; itself if it leads, None without a leader.
    leader: str | None = None
    # Members that this leader sends heartbeats to.
    members: tuple[str, ...] = ()
    # When the leader's latest heartbeat of this term arrived, -1 for never.
    contact_ms: int = -1
    # When the latest answered heartbeat was sent, by member.
    answered_sent_ms: dict[str, int] = field(factory=dict)
    loop_progress_ms: int = 0

    def publish(self, *, term: int, leader: str | None, members: tuple[str, ...]) -> None:
        """Record the role of the replica; what was heard under another one no longer counts."""
        with self.lock:
            if (term, leader) != (self.term, self.leader):
                self.term, self.leader = term, leader
                self.contact_ms = -1
                self.answered_sent_ms = {}
            self.members = members

    def heartbeats(self, now_ms: int) -> list[Heartbeat]:
        """Return the heartbeats to send, none unless this replica leads and its loop runs."""
        with self.lock:
            is_blocked = now_ms - self.loop_progress_ms > MAX_LOOP_BLOCK_MS
            if self.leader != self.node_id or is_blocked:
                return []
            return [
                Heartbeat(source=self.node_id, target=member, term=self.term, sent_ms=now_ms)
                for member in self.members
            ]

    def receive(self, message: Heartbeat, now_ms: int) -> Heartbeat | None:
        """Record a heartbeat or a reply, and return the reply to send, if any."""
        with self.lock:
            if message.target != self.node_id or message.term != self.term:
                return None
            if message.is_reply:
                if self.leader == self.node_id and message.source in self.members:
                    latest = max(self.answered_sent_ms.get(message.source, -1), message.sent_ms)
                    self.answered_sent_ms[message.source] = latest
                return None
            if message.source != self.leader or self.leader == self.node_id:
                return None
            self.contact_ms = now_ms
            return Heartbeat(
                source=self.node_id,
                target=message.source,
                term=self.term,
                sent_ms=message.sent_ms,
                is_reply=True,
            )

    def answered(self) -> dict[str, int]:
        """Return when the latest answered heartbeat was sent, by member."""
        with self.lock:
            return dict(self.answered_sent_ms)
