"""Durable state of a control replica: votes, log entries and the snapshot."""

from __future__ import annotations

import errno
from collections.abc import Sequence

from attrs import define, field

from hornbeamreach.control.disk import Disk
from hornbeamreach.control.frames import encode_frame, load_frames
from hornbeamreach.control.raft import Ready
from hornbeamreach.control.raft_log import RaftLog
from hornbeamreach.control.raft_messages import LogEntry, Snapshot
from hornbeamreach.exceptions import CorruptLogError, DiskFullError, StorageError
from hornbeamreach.link.codec import wire_converter

LOG_FILE_NAME = "control.log"
SNAPSHOT_FILE_NAME = "control.snapshot"
FORMAT_VERSION = 1
DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)


@define(kw_only=True)
class StoredState:
    """Hold the state read from a replica's disk."""

    log: RaftLog
    term: int = 0
    voted_for: str | None = None


@define(frozen=True, kw_only=True)
class UnsavedReady:
    """Hold an output of the core, with the term and vote at that time, until it is durable."""

    ready: Ready
    term: int
    voted_for: str | None


@define(kw_only=True)
class RaftStorage:
    """Write what must be durable before a replica replies."""

    disk: Disk
    failure: StorageError | None = field(default=None)
    # Size of the stored log, which only replacing it reduces.
    log_bytes: int = field(default=0, init=False)

    def load(self, initial_members: dict[str, str]) -> StoredState:
        """Return the stored state, truncating a torn tail; raise CorruptLogError if damaged."""
        stored = StoredState(log=RaftLog(initial_members=initial_members))
        stored.log.snapshot = self._load_snapshot()
        for batch in load_frames(self.disk, LOG_FILE_NAME):
            for record in batch:
                _replay_record(stored, record)
        self.log_bytes = self.disk.size(LOG_FILE_NAME)
        return stored

    def _load_snapshot(self) -> Snapshot | None:
        frames = load_frames(self.disk, SNAPSHOT_FILE_NAME)
        if not frames:
            if self.disk.read(SNAPSHOT_FILE_NAME):
                raise CorruptLogError(f"{SNAPSHOT_FILE_NAME} is damaged; replace this replica")
            return None
        return wire_converter.structure(frames[0], Snapshot)

    def save(self, ready: Ready, term: int, voted_for: str | None) -> None:
        """Make durable what a replica's next messages depend on."""
        self.save_batch([UnsavedReady(ready=ready, term=term, voted_for=voted_for)])

    def save_batch(self, batch: Sequence[UnsavedReady]) -> None:
        """Make several outputs durable, in order, with one sync.

        After a failed write or sync, every later call raises StorageError too: what reached the
        disk is unknown, and a second sync may report success for lost data.
        """
        if self.failure is not None:
            raise self.failure
        try:
            self._save_batch(batch)
        except OSError as exc:
            self.failure = StorageError(f"can't write the data folder: {exc.strerror or exc}")
            raise self.failure from exc

    def _save_batch(self, batch: Sequence[UnsavedReady]) -> None:
        records: list[list] = []
        for item in batch:
            snapshot = item.ready.installed_snapshot
            if snapshot is not None:
                # It replaces what was stored or queued before; the entries are all that follow it.
                self._save_snapshot(snapshot, item.ready.entries, item.term, item.voted_for)
                records = []
            else:
                records += _ready_records(item.ready)
        if records:
            # One frame per batch: a torn batch is truncated as a whole and was never acknowledged.
            frame = encode_frame(records)
            self.disk.append(LOG_FILE_NAME, frame)
            self.disk.sync(LOG_FILE_NAME)
            self.log_bytes += len(frame)

    def save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry], term: int, voted_for: str | None
    ) -> None:
        """Store a snapshot and the log entries after it.

        Raises DiskFullError if there is no room for them beside what is stored.
        """
        if self.failure is not None:
            raise self.failure
        try:
            self._save_snapshot(snapshot, entries, term, voted_for)
        except OSError as exc:
            if exc.errno in DISK_FULL_ERRORS:
                # A replacement leaves the file as it was, and the earlier log continues from
                # either snapshot.
                raise DiskFullError(f"no room for a snapshot: {exc.strerror}") from exc
            self.failure = StorageError(f"can't write the data folder: {exc.strerror or exc}")
            raise self.failure from exc

    def _save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry], term: int, voted_for: str | None
    ) -> None:
        # The snapshot is written first: a log that starts after a missing snapshot is unreadable.
        self.disk.replace(SNAPSHOT_FILE_NAME, encode_frame(wire_converter.unstructure(snapshot)))
        records = [["format", FORMAT_VERSION], ["hard", term, voted_for]]
        records += [_entry_record(entry) for entry in entries]
        frame = encode_frame(records)
        self.disk.replace(LOG_FILE_NAME, frame)
        self.log_bytes = len(frame)


def _ready_records(ready: Ready) -> list[list]:
    records: list[list] = []
    if ready.hard_state is not None:
        records.append(["hard", *ready.hard_state])
    if ready.truncate_from is not None:
        records.append(["cut", ready.truncate_from])
    records += [_entry_record(entry) for entry in ready.entries]
    return records


def _entry_record(entry: LogEntry) -> list:
    return ["entry", entry.index, entry.term, entry.data, entry.members]


def _replay_record(stored: StoredState, record: list) -> None:
    kind, *fields = record
    if kind == "format":
        if fields[0] != FORMAT_VERSION:
            raise CorruptLogError(f"{LOG_FILE_NAME} has format {fields[0]}, not {FORMAT_VERSION}")
    elif kind == "hard":
        stored.term, stored.voted_for = fields
    elif kind == "cut":
        stored.log.truncate_from(fields[0])
    elif kind == "entry":
        _replay_entry(stored.log, LogEntry(**dict(zip(ENTRY_FIELDS, fields, strict=True))))
    else:
        raise CorruptLogError(f"{LOG_FILE_NAME} has an unknown record {kind!r}")


ENTRY_FIELDS = ("index", "term", "data", "members")


def _replay_entry(log: RaftLog, entry: LogEntry) -> None:
    if entry.index <= log.base_index:
        return
    if entry.index != log.last_index + 1:
        raise CorruptLogError(
            f"{LOG_FILE_NAME} goes from entry {log.last_index} to {entry.index}; "
            "replace this replica"
        )
    log.append(entry)
