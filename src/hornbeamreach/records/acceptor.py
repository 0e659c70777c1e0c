"""One process's votes on records, with its recovery after a loss of memory.

Source: single-decree Paxos used as a register that is changed by functions, as in Rystsov,
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
# Ballots follow the wall clock; the floor after a loss of memory lies above any ballot
# that clocks differing by this much can have produced.
MAX_CLOCK_SKEW_MS = 2_000
COMPACT_RECORDS = 20_000
EMPTY = StoredRecord()


@define(kw_only=True)
class Acceptor:
    """Hold the votes of one process; it answers nothing before it has recovered."""

    disk: Disk | None = None
    records: dict[str, StoredRecord] = field(factory=dict)
    voting: bool = False
    floor: int = 0
    lost_before_ms: int = 0
    appended: int = 0

    def load(self) -> None:
        """Read the votes that were synced to disk, if there is a disk."""
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
        """Promise to accept nothing older for a key, unless that is promised already."""
        stored = self.records.get(message.key, EMPTY)
        against = self._against(stored)
        if message.ballot <= against:
            return RecordPromise(granted=False, promised=against)
        self._store(message.key, evolve(stored, promised=message.ballot))
        return RecordPromise(
            granted=True,
            promised=message.ballot,
            accepted=stored.accepted,
            record=stored.record,
            lost_before_ms=self.lost_before_ms,
        )

    def accept(self, message: RecordAccept) -> RecordAccepted:
        """Accept a proposal unless a newer one was promised."""
        stored = self.records.get(message.key, EMPTY)
        against = self._against(stored)
        if message.ballot < against:
            return RecordAccepted(granted=False, promised=against)
        accepted = StoredRecord(
            promised=message.ballot, accepted=message.ballot, record=message.record
        )
        self._store(message.key, accepted)
        return RecordAccepted(granted=True, promised=message.ballot)

    def _against(self, stored: StoredRecord) -> Ballot:
        return max(stored.promised, Ballot(self.floor, ""))

    def _store(self, key: str, stored: StoredRecord) -> None:
        # Memory changes only once the disk has it: an unsynced vote must not be answered.
        self._append(key, wire_converter.unstructure(stored))
        self.records[key] = stored

    def _append(self, key: str, plain: object) -> None:
        if self.disk is None:
            return
        self.disk.append(RECORDS_NAME, encode_frame([key, plain]))
        self.disk.sync(RECORDS_NAME)
        self.appended += 1

    # Recovery

    def dump(self, floor: int) -> RecordDump:
        """Return all votes, having promised nothing below a floor will be accepted."""
        self.raise_floor(floor)
        return RecordDump(
            voting=self.voting,
            floor=self.floor,
            lost_before_ms=self.lost_before_ms,
            records=dict(self.records),
        )

    def raise_floor(self, floor: int) -> None:
        """Accept no ballot below a floor from now on."""
        if floor > self.floor:
            self._append("", floor)
            self.floor = floor

    def try_recover(
        self, dumps: list[RecordDump], *, peer_count: int, floor: int, wall_ms: int
    ) -> bool:
        """Begin to vote if the other processes' records suffice; return whether they do.

        A majority of the whole group among voting others has every record that was chosen.
        Without one, everybody must be there, and what may be lost is remembered by time.
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
        for key, theirs in dump.records.items():
            ours = self.records.get(key, EMPTY)
            newer = theirs if theirs.accepted > ours.accepted else ours
            promised = max(ours.promised, theirs.promised)
            merged = evolve(newer, promised=promised)
            if merged != ours:
                self._store(key, merged)

    # Scans and garbage collection

    def scan(self, prefix: str) -> dict[str, StoredRecord]:
        """Return the votes on the keys that begin with a prefix."""
        return {key: stored for key, stored in self.records.items() if key.startswith(prefix)}

    def collect(self, keep_after_ms: int, final_states: frozenset[str]) -> int:
        """Forget finished records made before a time; return how many."""
        old = [key for key, stored in self.records.items() if _is_old(stored, keep_after_ms)]
        old = [
            key
            for key in old
            if self.records[key].record is None or self.records[key].record.state in final_states
        ]
        for key in old:
            del self.records[key]
        if self.disk is not None and self.appended > COMPACT_RECORDS:
            self._compact()
        return len(old)

    def _compact(self) -> None:
        assert self.disk is not None
        frames = [encode_frame(["", self.floor])]
        frames += [
            encode_frame([key, wire_converter.unstructure(stored)])
            for key, stored in self.records.items()
        ]
        self.disk.replace(RECORDS_NAME, b"".join(frames))
        self.appended = 0


def _is_old(stored: StoredRecord, keep_after_ms: int) -> bool:
    record: Record | None = stored.record
    at_ms = record.at_ms if record is not None else stored.promised.counter
    return at_ms < keep_after_ms
