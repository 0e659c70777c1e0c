"""The in-memory log of a replica, with its compacted beginning."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.control.raft_messages import LogEntry, Snapshot


@define(kw_only=True)
class RaftLog:
    """Hold the entries behind the latest snapshot."""

    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(factory=list)
    # The entries that set the members: asking for the members must not search the log.
    member_entries: list[LogEntry] = field(factory=list, init=False)
    initial_members: dict[str, str] = field(factory=dict)

    @property
    def base_index(self) -> int:
        """Return the index up to which the snapshot reaches."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.term_at(self.last_index) or 0

    def term_at(self, index: int) -> int | None:
        """Return the term of an index, or None if it is compacted or not there."""
        if index == self.base_index:
            return self.snapshot.term if self.snapshot else 0
        entry = self.get(index)
        return entry.term if entry else None

    def get(self, index: int) -> LogEntry | None:
        """Return the entry of an index, or None."""
        position = index - self.base_index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position]
        return None

    def slice_from(self, index: int, limit: int) -> list[LogEntry]:
        """Return up to `limit` entries from an index on."""
        start = max(0, index - self.base_index - 1)
        return self.entries[start : start + limit]

    def append(self, entry: LogEntry) -> None:
        """Add an entry behind the last one."""
        self.entries.append(entry)
        if entry.members is not None:
            self.member_entries.append(entry)

    def cut_from(self, index: int) -> None:
        """Drop the entries from an index on."""
        self.member_entries = [entry for entry in self.member_entries if entry.index < index]
        del self.entries[max(0, index - self.base_index - 1) :]

    def members(self) -> dict[str, str]:
        """Return the members by the latest entry that sets them, committed or not."""
        if self.member_entries:
            return self.member_entries[-1].members or {}
        return self.snapshot.members if self.snapshot else self.initial_members

    def members_index(self) -> int:
        """Return the index of the latest membership change in the log, or the base."""
        return self.member_entries[-1].index if self.member_entries else self.base_index

    def members_at(self, index: int) -> dict[str, str]:
        """Return the members as of an index."""
        for entry in reversed(self.member_entries):
            if entry.index <= index:
                return entry.members or {}
        return self.snapshot.members if self.snapshot else self.initial_members

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries that a snapshot covers."""
        if self.term_at(snapshot.index) == snapshot.term:
            del self.entries[: snapshot.index - self.base_index]
        else:
            self.entries = []
        self.snapshot = snapshot
        self.member_entries = [entry for entry in self.entries if entry.members is not None]
