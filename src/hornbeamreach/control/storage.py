"""Durable state of a control replica: votes, log entries and the snapshot."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.control.disk import Disk
from hornbeamreach.control.frames import encode_frame, load_frames
from hornbeamreach.control.raft import Ready
from hornbeamreach.control.raft_log import RaftLog
from hornbeamreach.control.raft_messages import LogEntry, Snapshot
from hornbeamreach.exceptions import CorruptLogError, StorageError
from hornbeamreach.link.codec import wire_converter

LOG_NAME = "control.log"
SNAPSHOT_NAME = "control.snapshot"
FORMAT_VERSION = 1


@define(kw_only=True)
class StoredState:
    """Hold what a replica read from its disk."""

    log: RaftLog
    term: int = 0
    voted_for: str | None = None


@define(kw_only=True)
class RaftStorage:
    """Write what must be durable before a replica answers."""

    disk: Disk
    failed: StorageError | None = field(default=None)

    def load(self, initial_members: dict[str, str]) -> StoredState:
        """Read the replica's state; a torn tail is cut, damage raises CorruptLogError."""
        stored = StoredState(log=RaftLog(initial_members=initial_members))
        stored.log.snapshot = self._load_snapshot()
        for batch in load_frames(self.disk, LOG_NAME):
            for record in batch:
                _replay(stored, record)
        return stored

    def _load_snapshot(self) -> Snapshot | None:
        frames = load_frames(self.disk, SNAPSHOT_NAME)
        if not frames:
            if self.disk.read(SNAPSHOT_NAME):
                raise CorruptLogError(f"{SNAPSHOT_NAME} is damaged; replace this replica")
            return None
        return wire_converter.structure(frames[0], Snapshot)

    def save(self, ready: Ready, term: int, voted_for: str | None) -> None:
        """Make durable what a replica's next messages depend on.

        After a failed write or sync the storage refuses everything: what reached the disk
        is unknown, and a second sync may report success for lost data.
        """
        if self.failed is not None:
            raise self.failed
        try:
            self._save(ready, term, voted_for)
        except OSError as exc:
            self.failed = StorageError(f"can't write the data folder: {exc.strerror or exc}")
            raise self.failed from exc

    def _save(self, ready: Ready, term: int, voted_for: str | None) -> None:
        if ready.installed_snapshot is not None:
            self._save_snapshot(ready.installed_snapshot, [], term, voted_for)
        records = _records(ready)
        if records:
            # One frame a batch: a torn batch is cut as a whole and was never acknowledged.
            self.disk.append(LOG_NAME, encode_frame(records))
            self.disk.sync(LOG_NAME)

    def save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry], term: int, voted_for: str | None
    ) -> None:
        """Store a snapshot and the log entries behind it."""
        if self.failed is not None:
            raise self.failed
        try:
            self._save_snapshot(snapshot, entries, term, voted_for)
        except OSError as exc:
            self.failed = StorageError(f"can't write the data folder: {exc.strerror or exc}")
            raise self.failed from exc

    def _save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry], term: int, voted_for: str | None
    ) -> None:
        # The snapshot first: a log that begins behind a missing snapshot could not be read.
        self.disk.replace(SNAPSHOT_NAME, encode_frame(wire_converter.unstructure(snapshot)))
        records = [["format", FORMAT_VERSION], ["hard", term, voted_for]]
        records += [_entry_record(entry) for entry in entries]
        self.disk.replace(LOG_NAME, encode_frame(records))


def _records(ready: Ready) -> list[list]:
    records: list[list] = []
    if ready.hard_state is not None:
        records.append(["hard", *ready.hard_state])
    if ready.cut_from is not None:
        records.append(["cut", ready.cut_from])
    records += [_entry_record(entry) for entry in ready.entries]
    return records


def _entry_record(entry: LogEntry) -> list:
    return ["entry", entry.index, entry.term, entry.data, entry.members]


def _replay(stored: StoredState, record: list) -> None:
    kind, *fields = record
    if kind == "format":
        if fields[0] != FORMAT_VERSION:
            raise CorruptLogError(f"{LOG_NAME} has format {fields[0]}, not {FORMAT_VERSION}")
    elif kind == "hard":
        stored.term, stored.voted_for = fields
    elif kind == "cut":
        stored.log.cut_from(fields[0])
    elif kind == "entry":
        _replay_entry(stored.log, LogEntry(**dict(zip(ENTRY_FIELDS, fields, strict=True))))
    else:
        raise CorruptLogError(f"{LOG_NAME} has an unknown record {kind!r}")


ENTRY_FIELDS = ("index", "term", "data", "members")


def _replay_entry(log: RaftLog, entry: LogEntry) -> None:
    if entry.index <= log.base_index:
        return
    if entry.index != log.last_index + 1:
        raise CorruptLogError(
            f"{LOG_NAME} goes from entry {log.last_index} to {entry.index}; replace this replica"
        )
    log.append(entry)
