"""Messages between control replicas."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.link.codec import wire_type


@define(frozen=True, kw_only=True)
class LogEntry:
    """Hold one entry of the replicated log; `members` is set on membership changes."""

    index: int
    term: int
    data: bytes = b""
    members: dict[str, str] | None = None


@define(frozen=True, kw_only=True)
class Snapshot:
    """Hold the state up to an index, with the members as of that index."""

    index: int
    term: int
    members: dict[str, str]
    data: bytes


@define(frozen=True, kw_only=True)
class RaftMessage:
    """Hold the fields common to all messages between replicas."""

    source: str
    target: str
    term: int


@wire_type("vote_request")
@define(frozen=True, kw_only=True)
class VoteRequest(RaftMessage):
    """Request a vote, or with `pre_vote` ask whether it would be granted."""

    last_index: int
    last_term: int
    pre_vote: bool
    # The leader itself requested this election, so its lease does not prevent votes.
    transfer: bool = False


@wire_type("vote_reply")
@define(frozen=True, kw_only=True)
class VoteReply(RaftMessage):
    """Grant or deny a vote."""

    granted: bool
    pre_vote: bool


@wire_type("append_request")
@define(frozen=True, kw_only=True)
class AppendRequest(RaftMessage):
    """Replicate the entries after a known position; without entries it is a heartbeat."""

    previous_index: int
    previous_term: int
    commit_index: int
    sent_ms: int
    entries: list[LogEntry] = field(factory=list)


@wire_type("append_reply")
@define(frozen=True, kw_only=True)
class AppendReply(RaftMessage):
    """Return the index up to which the log matches, or after which to resend."""

    success: bool
    match_index: int
    sent_ms: int
    # Duration of the follower's latest disk sync, 0 if unknown.
    sync_ms: int = 0


@wire_type("snapshot_request")
@define(frozen=True, kw_only=True)
class SnapshotRequest(RaftMessage):
    """Send a whole snapshot to a replica whose next entry has been compacted."""

    snapshot: Snapshot
    sent_ms: int


@wire_type("snapshot_chunk")
@define(frozen=True, kw_only=True)
class SnapshotChunk(RaftMessage):
    """Send a part of a snapshot that is too large for one message."""

    index: int
    snapshot_term: int
    members: dict[str, str]
    # Of the whole snapshot, in bytes.
    size: int
    offset: int
    data: bytes
    sent_ms: int


@wire_type("snapshot_chunk_reply")
@define(frozen=True, kw_only=True)
class SnapshotChunkReply(RaftMessage):
    """Return the offset at which the next part of a snapshot is expected."""

    index: int
    offset: int
    sent_ms: int


@wire_type("timeout_now")
@define(frozen=True, kw_only=True)
class TimeoutNow(RaftMessage):
    """Ask an up-to-date replica to start an election at once."""
