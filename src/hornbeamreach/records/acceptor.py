"""Paxos acceptor for records, with recovery after a loss of memory.

Each record is a single-decree Paxos register updated by change functions, as in Rystsov,
"CASPaxos: Replicated State Machines without logs".
"""

from __future__ import annotations

from attrs import define, evolve, field

from hornbeamreach.control.disk import Disk
from hornbeamreach.control.frames import encode_frame, load_frames
from hornbeamreach.link.codec import wire_converter
from hornbeamreach.records.messages import (
    Ballot,
    Record,
    RecordAccept,
    RecordAccepted,
    RecordDump,
    RecordPrepare,
    RecordPromise,
    StoredRecord,
)

RECORDS_NAME = "records.log"
# Ballots follow the wall clock. After a loss of memory the floor is set above any ballot
# that clocks differing by this much can have produced.
MAX_CLOCK_SKEW_MS = 2_000
COMPACT_AFTER_APPENDS = 20_000
NO_VOTE = StoredRecord()


@define(kw_only=True)
class Acceptor:
    """Hold the votes of one process; it does not vote before it has recovered."""

    disk: Disk | None = None
    records: dict[str, StoredRecord] = field(factory=dict)
    voting: bool = False
    floor: int = 0
    lost_before_ms: int = 0
    appends: int = 0

    def load(self) -> None:
        """Load the votes that were synced to disk, if there is a disk."""
        if self.disk is None:
            return
        for frame in load_frames(self.disk, RECORDS_NAME):
            key, plain = frame
            if key:
                self.records[key] = wire_converter.structure(plain, StoredRecord)
            else:
                self.floor = plain

    # Votes

    def prepare(self, message: RecordPrepare) -> RecordPromise:
        """Promise to accept no older ballot for a key, unless one at least as new was promised."""
        stored = self.records.get(message.key, NO_VOTE)
        promised_ballot = self._promised_ballot(stored)
        if message.ballot <= promised_ballot:
            return RecordPromise(granted=False, promised=promised_ballot)
        self._store(message.key, evolve(stored, promised=message.ballot))
        return RecordPromise(
            granted=True,
            promised=message.ballot,
            accepted=stored.accepted,
            record=stored.record,
            lost_before_ms=self.lost_before_ms,
        )

    def accept(self, message: RecordAccept) -> RecordAccepted:
        """Accept a proposal unless a newer ballot was promised."""
        stored = self.records.get(message.key, NO_VOTE)
        promised_ballot = self._promised_ballot(stored)
        if message.ballot < promised_ballot:
            return RecordAccepted(granted=False, promised=promised_ballot)
        accepted = StoredRecord(
            promised=message.ballot, accepted=message.ballot, record=message.record
        )
        self._store(message.key, accepted)
        return RecordAccepted(granted=True, promised=message.ballot)

    def _promised_ballot(self, stored: StoredRecord) -> Ballot:
        return max(stored.promised, Ballot(self.floor, ""))

    def _store(self, key: str, stored: StoredRecord) -> None:
        # Synced to disk before memory changes: a vote that is not durable must not be sent.
        self._append(key, wire_converter.unstructure(stored))
        self.records[key] = stored

    def _append(self, key: str, plain: object) -> None:
        if self.disk is None:
            return
        self.disk.append(RECORDS_NAME, encode_frame([key, plain]))
        self.disk.sync(RECORDS_NAME)
        self.appends += 1

    # Recovery

    def dump(self, floor: int) -> RecordDump:
        """Return all votes after raising the floor, so that no lower ballot is accepted."""
        self.raise_floor(floor)
        return RecordDump(
            voting=self.voting,
            floor=self.floor,
            lost_before_ms=self.lost_before_ms,
            records=dict(self.records),
        )

    def raise_floor(self, floor: int) -> None:
        """Reject every ballot below a floor from now on."""
        if floor > self.floor:
            self._append("", floor)
            self.floor = floor

    def try_recover(
        self, dumps: list[RecordDump], *, peer_count: int, floor: int, wall_ms: int
    ) -> bool:
        """Begin to vote if the dumps of the other processes suffice; return whether they do.

        Dumps of voting processes that form a majority of the group contain every chosen record.
        Without such a majority, dumps of all other processes are required, and
        `lost_before_ms` marks the time before which records may be lost. `peer_count` includes
        this process.
        """
        voting = [dump for dump in dumps if dump.voting]
        majority = peer_count // 2 + 1
        complete = len(voting) >= majority
        if not complete and len(dumps) < peer_count - 1:
            return False
        for dump in dumps:
            self._merge(dump)
        self.raise_floor(max([floor] + [dump.floor for dump in dumps]))
        self.lost_before_ms = max([self.lost_before_ms] + [dump.lost_before_ms for dump in dumps])
        if not complete:
            self.lost_before_ms = max(self.lost_before_ms, wall_ms + MAX_CLOCK_SKEW_MS)
        self.voting = True
        return True

    def _merge(self, dump: RecordDump) -> None:
        for key, remote in dump.records.items():
            local = self.records.get(key, NO_VOTE)
            newer = remote if remote.accepted > local.accepted else local
            promised = max(local.promised, remote.promised)
            merged = evolve(newer, promised=promised)
            if merged != local:
                self._store(key, merged)

    # Scans and garbage collection

    def scan(self, prefix: str) -> dict[str, StoredRecord]:
        """Return the votes on keys with a prefix."""
        return {key: stored for key, stored in self.records.items() if key.startswith(prefix)}

    def remove_expired(self, keep_after_ms: int, final_states: frozenset[str]) -> int:
        """Remove final and empty records older than `keep_after_ms`, and return their number."""
        expired = [
            key for key, stored in self.records.items() if _is_expired(stored, keep_after_ms)
        ]
        expired = [
            key
            for key in expired
            if self.records[key].record is None or self.records[key].record.state in final_states
        ]
        for key in expired:
            del self.records[key]
        if self.disk is not None and self.appends > COMPACT_AFTER_APPENDS:
            self._compact()
        return len(expired)

    def _compact(self) -> None:
        assert self.disk is not None
        frames = [encode_frame(["", self.floor])]
        frames += [
            encode_frame([key, wire_converter.unstructure(stored)])
            for key, stored in self.records.items()
        ]
        self.disk.replace(RECORDS_NAME, b"".join(frames))
        self.appends = 0


def _is_expired(stored: StoredRecord, keep_after_ms: int) -> bool:
    record: Record | None = stored.record
    at_ms = record.at_ms if record is not None else stored.promised.counter
    return at_ms < keep_after_ms
