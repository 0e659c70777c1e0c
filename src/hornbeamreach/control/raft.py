"""Raft without I/O: elections, replication, membership changes and leader leases.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", with
pre-vote, check-quorum and leadership transfer from Ongaro's dissertation.
"""

from __future__ import annotations

import enum
import random

from attrs import define, field

from hornbeamreach.control.election_timer import (
    ELECTION_TIMEOUT_MAX_MS,
    ELECTION_TIMEOUT_MIN_MS,
    ElectionTimer,
)
from hornbeamreach.control.liveness import Liveness
from hornbeamreach.control.raft_log import RaftLog
from hornbeamreach.control.raft_messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    RaftMessage,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkReply,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from hornbeamreach.control.snapshot_transfer import IncomingSnapshot, OutgoingSnapshot
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.verdict import Reason

HEARTBEAT_INTERVAL_MS = 150
# Shorter than any election timeout, so that a lease ends before another leader is elected.
LEADER_LEASE_MS = 600
MAX_ENTRIES_PER_APPEND = 256
# A larger entry goes alone. A request has to pass the link within a few heartbeats, and the leader
# holds one for each peer.
MAX_APPEND_BYTES = 1024 * 1024
SNAPSHOT_RESEND_INTERVAL_MS = 2_000
# Saving a vote delays the next candidacy by at most this, however long the disk took.
MAX_VOTE_SAVING_EXTENSION_MS = 1_000
# A leader that no majority has answered over the link for this long can't commit anything, so its
# loop counts as blocked although datagrams still get through.
MAX_LINK_SILENCE_MS = 2_000


class Role(enum.Enum):
    """List the roles of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@define(kw_only=True)
class PeerProgress:
    """Track the replication progress of one peer."""

    next_index: int
    match_index: int = 0
    # When the latest request that the peer acknowledged was sent, on the leader's clock.
    acked_sent_ms: int = -1
    # When the peer's latest reply over the link arrived.
    link_reply_ms: int = -1
    # The latest snapshot sent; None once the peer has it.
    snapshot: OutgoingSnapshot | None = None
    # Last index of the batch in flight, 0 if there is none, and when it was sent.
    in_flight_index: int = 0
    in_flight_sent_ms: int = 0
    # Duration of the peer's latest disk sync, 0 if unknown.
    sync_ms: int = 0


@define(kw_only=True)
class Ready:
    """List what to make durable first, and the messages and commits to process after that."""

    hard_state: tuple[int, str | None] | None = None
    truncate_from: int | None = None
    entries: list[LogEntry] = field(factory=list)
    installed_snapshot: Snapshot | None = None
    messages: list[RaftMessage] = field(factory=list)
    committed: list[LogEntry] = field(factory=list)

    def needs_sync(self) -> bool:
        """Return whether anything must be made durable."""
        return bool(
            self.hard_state or self.entries or self.truncate_from or self.installed_snapshot
        )


class RaftCore:
    """Run the Raft protocol of one replica; the caller does all I/O."""

    def __init__(
        self,
        *,
        node_id: str,
        log: RaftLog,
        term: int,
        voted_for: str | None,
        rng: random.Random,
        now_ms: int,
        started_ms: int | None = None,
    ) -> None:
        """Create the core; `started_ms` is when its process started, None for `now_ms`."""
        self.node_id = node_id
        self.log = log
        self.term = term
        self.voted_for = voted_for
        self.now_ms = now_ms
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit_index = log.base_index
        self.delivered_index = log.base_index
        self.durable_index = log.last_index
        # Before its restart the replica may have extended a leader's lease until its process ended.
        has_history = term > 0
        self.leader_contact_ms = now_ms - ELECTION_TIMEOUT_MAX_MS
        if has_history:
            self.leader_contact_ms = now_ms if started_ms is None else started_ms
        self.election_timer = ElectionTimer(rng=rng)
        self.heartbeat_due_ms = now_ms
        self.votes: set[str] = set()
        self.peers: dict[str, PeerProgress] = {}
        # Term and members of the latest look at the lease, and its `quorum_contact_ms`.
        self.lease_contact: tuple[int, dict[str, str] | None, int] = (-1, None, -1)
        # Non-voting replicas that receive the log: address by id.
        self.learners: dict[str, str] = {}
        self.incoming_snapshot = IncomingSnapshot()
        self.leader_since_ms = 0
        # Whether the latest candidacy here followed a request of the leader to take over.
        self.took_over = False
        # Duration of the latest disk sync here, 0 if unknown.
        self.sync_ms = 0
        self.ready = Ready()
        self.liveness = Liveness(node_id=node_id, loop_progress_ms=now_ms)
        self._reset_election_timer()
        self._publish_role()

    # Queries

    def members(self) -> dict[str, str]:
        """Return the members' addresses by id."""
        return self.log.members()

    def is_leader(self, now_ms: int | None = None) -> bool:
        """Return whether this replica leads and holds its lease, at `now_ms` or the last input."""
        if self.role is not Role.LEADER:
            return False
        now_ms = max(self.now_ms, now_ms or 0)
        members = self.members()
        known_term, known_members, contact_ms = self.lease_contact
        # Called for each order. Contact times never decrease in a term with the same members, so
        # a lease that held by an earlier look still holds; otherwise all replies are read.
        is_same = known_term == self.term and known_members is members
        if is_same and contact_ms + LEADER_LEASE_MS > now_ms:
            return True
        self._take_heartbeat_replies()
        contact_ms = self.quorum_contact_ms()
        self.lease_contact = (self.term, members, contact_ms)
        return contact_ms + LEADER_LEASE_MS > now_ms

    def quorum_contact_ms(self) -> int:
        """Return the latest time at which a majority is known to have followed this leader."""
        members = self.members()
        contact_times = [
            self.now_ms if member == self.node_id else self._peer(member).acked_sent_ms
            for member in members
        ]
        return sorted(contact_times, reverse=True)[len(contact_times) // 2] if contact_times else -1

    def _quorum(self) -> int:
        return len(self.members()) // 2 + 1

    def _peer(self, member: str) -> PeerProgress:
        if member not in self.peers:
            self.peers[member] = PeerProgress(next_index=self.log.last_index + 1)
        return self.peers[member]

    def _other_members(self) -> list[str]:
        return [member for member in self.members() if member != self.node_id]

    def followers(self) -> list[str]:
        """Return the replicas that receive the log: members, then learners."""
        members = self._other_members()
        return members + [learner for learner in self.learners if learner not in members]

    def address_of(self, replica: str) -> str | None:
        """Return the address of a member or learner."""
        return self.members().get(replica) or self.learners.get(replica)

    def is_caught_up(self, replica: str) -> bool:
        """Return whether a follower has all committed entries."""
        peer = self.peers.get(replica)
        return peer is not None and peer.match_index >= self.commit_index

    def silent_ms(self, replica: str) -> int:
        """Return how long ago the latest request that a follower acknowledged was sent."""
        return self.now_ms - self._peer(replica).acked_sent_ms

    # Inputs

    def tick(self, now_ms: int) -> None:
        """Advance the clock: start elections, send heartbeats, step down without a quorum."""
        with self.liveness.lock:
            self._advance_clock(now_ms)
            if self.role is not Role.LEADER or self._has_working_link():
                self.liveness.loop_progress_ms = self.now_ms
            if self.role is Role.LEADER:
                self._tick_leader()
            elif self.now_ms >= self.election_timer.due_ms and self.node_id in self.members():
                self._start_election(pre_vote=True)
            self._publish_role()

    def _has_working_link(self) -> bool:
        """Return whether a majority has answered this leader over the link a short while ago."""
        reached = sum(
            member == self.node_id
            or self.now_ms - self._peer(member).link_reply_ms <= MAX_LINK_SILENCE_MS
            for member in self.members()
        )
        return reached >= self._quorum()

    def _advance_clock(self, now_ms: int) -> None:
        """Advance the clock and take over what the heartbeats have shown since the last input."""
        self.now_ms = max(self.now_ms, now_ms)
        self._take_heartbeat_replies()
        contact_ms = self.liveness.contact_ms
        if self.role is Role.FOLLOWER and contact_ms > self.leader_contact_ms:
            self.leader_contact_ms = contact_ms
            self.election_timer.record_leader()
            self.election_timer.reset(now_ms=contact_ms, lease_end_ms=0)

    def _take_heartbeat_replies(self) -> None:
        if self.role is Role.LEADER:
            for member, sent_ms in self.liveness.answered().items():
                peer = self._peer(member)
                peer.acked_sent_ms = max(peer.acked_sent_ms, sent_ms)

    def _publish_role(self) -> None:
        """Tell the heartbeats whom this replica follows or that it leads."""
        leads = self.role is Role.LEADER
        leader = self.leader if leads or self.role is Role.FOLLOWER else None
        members = tuple(self._other_members()) if leads else ()
        self.liveness.publish(term=self.term, leader=leader, members=members)

    def propose(self, data: bytes) -> int:
        """Append a command and return its index; raise NotLeaderError if not leading."""
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        return self._append(LogEntry(index=self.log.last_index + 1, term=self.term, data=data))

    def propose_members(self, members: dict[str, str]) -> int:
        """Append a membership change and return its index.

        One replica is added or removed at a time, or given a new id at its address. Raises
        NotLeaderError, or RefusedError for a change that is not allowed now.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        self._check_membership_change(members)
        index = self.log.last_index + 1
        return self._append(LogEntry(index=index, term=self.term, members=dict(members)))

    def _check_membership_change(self, members: dict[str, str]) -> None:
        current = self.members()
        changed = current.keys() ^ members.keys()
        if len(changed) > 1 and not self._replaces_identity(current, members):
            detail = "replicas are added and removed one at a time"
            raise RefusedError(Reason.CHANGE_PENDING, detail)
        in_progress = self.log.last_membership_index() > self.commit_index
        if in_progress or self.log.term_at(self.commit_index) != self.term:
            detail = "an earlier membership change is not committed yet"
            raise RefusedError(Reason.CHANGE_PENDING, detail)
        if not members:
            raise RefusedError(Reason.INCONSISTENT_TABLE, "the last replica can't be removed")

    def _replaces_identity(self, current: dict[str, str], members: dict[str, str]) -> bool:
        """Return whether one member is replaced by a new id at the same address.

        No disk holds the old id any more, so it votes in no quorum, and every quorum of the
        other members overlaps every quorum that includes the new one.
        """
        removed = current.keys() - members.keys()
        added = members.keys() - current.keys()
        if len(removed) != 1 or len(added) != 1:
            return False
        return current[next(iter(removed))] == members[next(iter(added))]

    def receive(self, message: RaftMessage, now_ms: int) -> None:
        """Process a message from another replica."""
        with self.liveness.lock:
            self._advance_clock(now_ms)
            self._handle(message)
            self._publish_role()

    def gather(self, message: RaftMessage) -> RaftMessage | None:
        """Return a message to receive now, the whole snapshot for its last part.

        None for an earlier part, to which a reply is sent.
        """
        if not isinstance(message, SnapshotChunk):
            return message
        if message.target != self.node_id or message.term < self.term:
            return None
        result = self.incoming_snapshot.add(message)
        if isinstance(result, SnapshotChunkReply):
            self._send(result)
            return None
        return result

    def _handle(self, message: RaftMessage) -> None:
        if message.target != self.node_id:
            return
        if message.term > self.term and not self._ignores_newer_term(message):
            self._become_follower(message.term, None)
        handler = {
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            AppendRequest: self._on_append_request,
            AppendReply: self._on_append_reply,
            SnapshotRequest: self._on_snapshot_request,
            SnapshotChunkReply: self._on_snapshot_chunk_reply,
            TimeoutNow: self._on_timeout_now,
        }[type(message)]
        handler(message)

    def _ignores_newer_term(self, message: RaftMessage) -> bool:
        # A pre-vote binds no replica to its term, and a replica in contact with a leader grants
        # no vote: a partitioned or removed replica can't depose a working leader.
        if isinstance(message, VoteRequest):
            return message.pre_vote or (self._has_live_leader() and not message.transfer)
        return isinstance(message, VoteReply) and message.pre_vote and message.granted

    def _has_live_leader(self) -> bool:
        if self.role is Role.LEADER:
            return self.quorum_contact_ms() + ELECTION_TIMEOUT_MIN_MS > self.now_ms
        return self.leader_contact_ms + ELECTION_TIMEOUT_MIN_MS > self.now_ms

    def transfer_leadership(self, *, sync_below_ms: float | None = None) -> bool:
        """Ask the most up-to-date peer to take over, and return whether there is one.

        With `sync_below_ms`, only a peer whose latest disk sync is known and took less than that.
        """
        if self.role is not Role.LEADER:
            return False
        up_to_date = [
            member
            for member in self._other_members()
            if self._peer(member).match_index >= self.commit_index
            and (sync_below_ms is None or 0 < self._peer(member).sync_ms < sync_below_ms)
        ]
        if not up_to_date:
            return False
        # Under load no peer has the latest entries; the one that has most of them gets the votes.
        target = max(
            up_to_date,
            key=lambda member: (
                self._peer(member).match_index,
                self._peer(member).acked_sent_ms,
            ),
        )
        self._send(TimeoutNow(source=self.node_id, target=target, term=self.term))
        return True

    # Outputs

    def take_ready(self) -> Ready:
        """Return and clear what to make durable, send and apply."""
        ready, self.ready = self.ready, Ready()
        first = self.delivered_index + 1
        ready.committed = [
            entry
            for entry in self.log.slice_from(first, self.commit_index - self.delivered_index)
            if entry.index > self.delivered_index
        ]
        self.delivered_index = max(self.delivered_index, self.commit_index)
        return ready

    def has_ready(self) -> bool:
        """Return whether take_ready would return anything."""
        return (
            self.ready.needs_sync()
            or bool(self.ready.messages)
            or self.commit_index > self.delivered_index
        )

    def mark_durable(self, entries: list[LogEntry]) -> None:
        """Mark entries as durable here; the leader counts its own copy only from then on."""
        for entry in entries:
            if self.log.term_at(entry.index) == entry.term:
                self.durable_index = max(self.durable_index, entry.index)
        if self.role is Role.LEADER:
            self._advance_commit()

    def mark_hard_state_durable(self, *, took_ms: int) -> None:
        """Extend the election timeout once a term or vote has been saved, which took `took_ms`.

        Votes count only once they are durable, so an election needs the time of a sync here and
        of another one at the voters.
        """
        if self.role in (Role.FOLLOWER, Role.CANDIDATE):
            self.election_timer.due_ms += min(2 * took_ms, MAX_VOTE_SAVING_EXTENSION_MS)

    # Elections

    def _reset_election_timer(self) -> None:
        lease_end_ms = self.leader_contact_ms + ELECTION_TIMEOUT_MIN_MS
        self.election_timer.reset(now_ms=self.now_ms, lease_end_ms=lease_end_ms)

    def _become_follower(self, term: int, leader: str | None) -> None:
        self.learners = {}
        if term > self.term:
            self.term = term
            self.voted_for = None
            self._save_hard_state()
        self.role = Role.FOLLOWER
        self.leader = leader
        self._reset_election_timer()

    def _save_hard_state(self) -> None:
        self.ready.hard_state = (self.term, self.voted_for)

    def _start_election(self, *, pre_vote: bool, transfer: bool = False) -> None:
        self.leader = None
        self.votes = {self.node_id}
        if pre_vote:
            self.role = Role.PRE_CANDIDATE
            self.election_timer.record_silence()
        else:
            self.role = Role.CANDIDATE
            self.took_over = transfer
            self.election_timer.record_candidacy()
            self.term += 1
            self.voted_for = self.node_id
            self._save_hard_state()
        self._reset_election_timer()
        if len(self.votes) >= self._quorum():
            self._on_votes_won()
            return
        for member in self._other_members():
            self._send(
                VoteRequest(
                    source=self.node_id,
                    target=member,
                    term=self.term + 1 if pre_vote else self.term,
                    last_index=self.log.last_index,
                    last_term=self.log.last_term,
                    pre_vote=pre_vote,
                    transfer=transfer,
                )
            )

    def _on_votes_won(self) -> None:
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(pre_vote=False)
        else:
            self._become_leader()

    def _on_vote_request(self, message: VoteRequest) -> None:
        up_to_date = (message.last_term, message.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if message.pre_vote:
            granted = message.term > self.term and up_to_date and not self._has_live_leader()
        else:
            can_vote = self.voted_for in (None, message.source)
            granted = message.term == self.term and can_vote and up_to_date
        if granted and not message.pre_vote:
            self.voted_for = message.source
            self._save_hard_state()
            self._reset_election_timer()
        self._send(
            VoteReply(
                source=self.node_id,
                target=message.source,
                term=message.term if granted and message.pre_vote else self.term,
                granted=granted,
                pre_vote=message.pre_vote,
            )
        )

    def _on_vote_reply(self, message: VoteReply) -> None:
        expected = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        expected_term = self.term + 1 if message.pre_vote else self.term
        if self.role is not expected or not message.granted or message.term != expected_term:
            return
        self.votes.add(message.source)
        if len(self.votes & self.members().keys()) >= self._quorum():
            self._on_votes_won()

    def _on_timeout_now(self, message: TimeoutNow) -> None:
        if message.term == self.term and self.node_id in self.members():
            self._start_election(pre_vote=False, transfer=True)

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.node_id
        self.election_timer.record_leader()
        self.leader_since_ms = self.now_ms
        self.peers = {}
        for member in self._other_members():
            peer = self._peer(member)
            peer.acked_sent_ms = peer.link_reply_ms = self.now_ms
        # Entries of earlier terms are committed only by committing a later one of this term.
        self._append(LogEntry(index=self.log.last_index + 1, term=self.term))

    # Replication

    def _append(self, entry: LogEntry) -> int:
        self.log.append(entry)
        self.ready.entries.append(entry)
        self._broadcast()
        return entry.index

    def _tick_leader(self) -> None:
        if self.quorum_contact_ms() + ELECTION_TIMEOUT_MAX_MS <= self.now_ms:
            self._become_follower(self.term, None)
        elif self.now_ms >= self.heartbeat_due_ms:
            for member in self.followers():
                peer = self._peer(member)
                peer.next_index = min(peer.next_index, self.log.last_index + 1)
            self._broadcast(heartbeat=True)

    def _broadcast(self, *, heartbeat: bool = False) -> None:
        if heartbeat:
            self.heartbeat_due_ms = self.now_ms + HEARTBEAT_INTERVAL_MS
        for member in self.followers():
            self._replicate_to(member, heartbeat=heartbeat)

    def broadcast_heartbeat(self) -> None:
        """Send heartbeats at once, to learn whether the peers still follow."""
        if self.role is Role.LEADER:
            self._broadcast(heartbeat=True)

    def _replicate_to(self, member: str, *, heartbeat: bool) -> None:
        peer = self._peer(member)
        if peer.next_index <= self.log.base_index:
            self._send_snapshot(member, peer, heartbeat=heartbeat)
            return
        # Only one batch is in flight: the reply to a second one would trigger a third, so that
        # the number of batches in flight would grow with each heartbeat.
        entries = []
        if not peer.in_flight_index:
            entries = self.log.slice_from(
                peer.next_index, MAX_ENTRIES_PER_APPEND, max_bytes=MAX_APPEND_BYTES
            )
        if not entries and not heartbeat:
            return
        previous = peer.next_index - 1
        if entries:
            peer.in_flight_index, peer.in_flight_sent_ms = entries[-1].index, self.now_ms
        self._send(
            AppendRequest(
                source=self.node_id,
                target=member,
                term=self.term,
                previous_index=previous,
                previous_term=self.log.term_at(previous) or 0,
                commit_index=self.commit_index,
                sent_ms=self.now_ms,
                entries=entries,
            )
        )

    def _send_snapshot(self, member: str, peer: PeerProgress, *, heartbeat: bool) -> None:
        assert self.log.snapshot is not None
        transfer = peer.snapshot
        # The reply to a batch in flight may show that the peer needs no snapshot.
        waits = peer.in_flight_index >= self.log.base_index or (
            transfer is not None and transfer.sent_ms + SNAPSHOT_RESEND_INTERVAL_MS > self.now_ms
        )
        if waits:
            if heartbeat:
                self._send_empty_heartbeat(member)
            return
        if transfer is None or not transfer.offset:
            # A transfer that has begun is completed, however often the log is compacted meanwhile.
            transfer = OutgoingSnapshot(snapshot=self.log.snapshot, sent_ms=self.now_ms)
            peer.snapshot = transfer
        self._send_next_chunk(member, transfer)

    def _send_next_chunk(self, member: str, transfer: OutgoingSnapshot) -> None:
        self._send(
            transfer.next_message(
                source=self.node_id, target=member, term=self.term, now_ms=self.now_ms
            )
        )

    def _on_snapshot_chunk_reply(self, message: SnapshotChunkReply) -> None:
        if self.role is not Role.LEADER or message.term != self.term:
            return
        peer = self.peers.get(message.source)
        if peer is None:
            return
        peer.acked_sent_ms = max(peer.acked_sent_ms, message.sent_ms)
        peer.link_reply_ms = self.now_ms
        transfer = peer.snapshot
        if transfer is not None and transfer.take_reply(message):
            self._send_next_chunk(message.source, transfer)

    def _send_empty_heartbeat(self, member: str) -> None:
        self._send(
            AppendRequest(
                source=self.node_id,
                target=member,
                term=self.term,
                previous_index=self.log.base_index,
                previous_term=self.log.term_at(self.log.base_index) or 0,
                commit_index=0,
                sent_ms=self.now_ms,
            )
        )

    def _on_append_request(self, message: AppendRequest) -> None:
        if message.term < self.term:
            self._reply_append(message, success=False, match_index=0)
            return
        self._accept_leader(message.source)
        if message.previous_index < self.log.base_index:
            # Entries that the snapshot covers are committed and therefore match.
            self._reply_append(message, success=True, match_index=self.log.base_index)
            return
        if self.log.term_at(message.previous_index) != message.previous_term:
            hint = min(message.previous_index - 1, self.log.last_index)
            self._reply_append(message, success=False, match_index=max(hint, 0))
            return
        self._store_entries(message.entries)
        match_index = message.previous_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit_index, match_index))
        self._reply_append(message, success=True, match_index=match_index)

    def _accept_leader(self, leader: str) -> None:
        self.role = Role.FOLLOWER
        self.leader = leader
        self.leader_contact_ms = self.now_ms
        self.election_timer.record_leader()
        self._reset_election_timer()

    def _store_entries(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            existing_term = self.log.term_at(entry.index)
            if existing_term == entry.term:
                continue
            if existing_term is not None:
                self._truncate_log(entry.index)
            self.log.append(entry)
            self.ready.entries.append(entry)

    def _truncate_log(self, index: int) -> None:
        self.log.truncate_from(index)
        self.durable_index = min(self.durable_index, index - 1)
        self.ready.entries = [entry for entry in self.ready.entries if entry.index < index]
        truncated_from = self.ready.truncate_from
        self.ready.truncate_from = index if truncated_from is None else min(truncated_from, index)

    def _reply_append(
        self, message: AppendRequest | SnapshotRequest, *, success: bool, match_index: int
    ) -> None:
        self._send(
            AppendReply(
                source=self.node_id,
                target=message.source,
                term=self.term,
                success=success,
                match_index=match_index,
                sent_ms=message.sent_ms,
                sync_ms=self.sync_ms,
            )
        )

    def _on_append_reply(self, message: AppendReply) -> None:
        if self.role is not Role.LEADER or message.term != self.term:
            return
        if message.source not in self.members() and message.source not in self.learners:
            return
        peer = self._peer(message.source)
        peer.acked_sent_ms = max(peer.acked_sent_ms, message.sent_ms)
        peer.link_reply_ms = self.now_ms
        peer.sync_ms = message.sync_ms
        # Links keep the order of messages and a follower answers in order, so the reply to a later
        # heartbeat shows that a batch was lost. Resending by time would multiply the work of
        # replicas that are only slow.
        if (
            not message.success
            or message.match_index >= peer.in_flight_index
            or message.sent_ms > peer.in_flight_sent_ms
        ):
            peer.in_flight_index = 0
        if not message.success:
            peer.next_index = max(peer.match_index, min(message.match_index, peer.next_index)) + 1
            peer.next_index = min(peer.next_index, self.log.last_index + 1)
            self._replicate_to(message.source, heartbeat=True)
            return
        if message.match_index > peer.match_index:
            peer.match_index = message.match_index
            peer.snapshot = None
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._advance_commit()
        if peer.next_index <= self.log.last_index:
            self._replicate_to(message.source, heartbeat=False)

    def _advance_commit(self) -> None:
        matches = [
            self.durable_index if member == self.node_id else self._peer(member).match_index
            for member in self.members()
        ]
        index = sorted(matches, reverse=True)[self._quorum() - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self._step_down_if_removed()

    def _step_down_if_removed(self) -> None:
        removed = self.node_id not in self.members()
        if removed and self.log.last_membership_index() <= self.commit_index:
            self._broadcast(heartbeat=True)
            self._become_follower(self.term, None)

    # Snapshots

    def _on_snapshot_request(self, message: SnapshotRequest) -> None:
        if message.term < self.term:
            self._reply_append(message, success=False, match_index=0)
            return
        self._accept_leader(message.source)
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log.compact(snapshot)
            self.commit_index = snapshot.index
            self.delivered_index = snapshot.index
            self.durable_index = max(self.durable_index, snapshot.index)
            self.ready.installed_snapshot = snapshot
            # The stored log is replaced as well, so it gets all entries that this one keeps.
            self.ready.entries = list(self.log.entries)
        self._reply_append(message, success=True, match_index=snapshot.index)

    def compact(self, snapshot: Snapshot) -> None:
        """Drop the entries covered by a snapshot of applied state."""
        self.log.compact(snapshot)

    def _send(self, message: RaftMessage) -> None:
        self.ready.messages.append(message)
