"""Transfer of a snapshot in parts: what the leader has sent, and what a follower has received."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.control.raft_messages import (
    Snapshot,
    SnapshotChunk,
    SnapshotChunkReply,
    SnapshotRequest,
)

# Below the time of a heartbeat on a link of 200 Mbit/s. A snapshot up to this size goes in one
# message, which replicas of earlier builds read too.
CHUNK_BYTES = 1024 * 1024


@define(kw_only=True)
class OutgoingSnapshot:
    """Track the transfer of one snapshot to one peer."""

    snapshot: Snapshot
    # The peer has everything before this.
    offset: int = 0
    sent_ms: int

    def take_reply(self, reply: SnapshotChunkReply) -> bool:
        """Take over a reply, and return whether the next part is to be sent."""
        is_expected = reply.index == self.snapshot.index and reply.sent_ms == self.sent_ms
        if not is_expected or not 0 <= reply.offset <= len(self.snapshot.data):
            return False
        self.offset = reply.offset
        return True

    def next_message(
        self, *, source: str, target: str, term: int, now_ms: int
    ) -> SnapshotRequest | SnapshotChunk:
        """Return the message that carries the next part, or the whole of a small snapshot."""
        self.sent_ms = now_ms
        snapshot, size = self.snapshot, len(self.snapshot.data)
        if size <= CHUNK_BYTES:
            return SnapshotRequest(
                source=source, target=target, term=term, snapshot=snapshot, sent_ms=now_ms
            )
        # The last part is repeated until the peer has installed the whole.
        offset = min(self.offset, size - 1)
        return SnapshotChunk(
            source=source,
            target=target,
            term=term,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            members=snapshot.members,
            size=size,
            offset=offset,
            data=snapshot.data[offset : offset + CHUNK_BYTES],
            sent_ms=now_ms,
        )


@define(kw_only=True)
class IncomingSnapshot:
    """Gather the parts of one snapshot from one leader."""

    key: tuple[str, int, int, int] = ("", 0, 0, 0)
    data: bytearray = field(factory=bytearray)

    def add(self, chunk: SnapshotChunk) -> SnapshotRequest | SnapshotChunkReply | None:
        """Add a part; return the request that carries the whole, or a reply for the next part.

        Parts of another snapshot or leader begin anew; None for a part that can't be part of one.
        """
        key = (chunk.source, chunk.term, chunk.index, chunk.size)
        if not chunk.data or chunk.offset + len(chunk.data) > chunk.size:
            return None
        if key != self.key:
            self.key, self.data = key, bytearray()
        if chunk.offset <= len(self.data):
            del self.data[chunk.offset :]
            self.data += chunk.data
        if len(self.data) < chunk.size:
            return SnapshotChunkReply(
                source=chunk.target,
                target=chunk.source,
                term=chunk.term,
                index=chunk.index,
                offset=len(self.data),
                sent_ms=chunk.sent_ms,
            )
        snapshot = Snapshot(
            index=chunk.index,
            term=chunk.snapshot_term,
            members=chunk.members,
            data=bytes(self.data),
        )
        self.key, self.data = IncomingSnapshot().key, bytearray()
        return SnapshotRequest(
            source=chunk.source,
            target=chunk.target,
            term=chunk.term,
            snapshot=snapshot,
            sent_ms=chunk.sent_ms,
        )
