"""In-memory log of a replica, compacted by snapshots."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.control.raft_messages import LogEntry, Snapshot

# What an entry takes besides its data, on the disk and on the link.
ENTRY_OVERHEAD_BYTES = 64


def entry_bytes(entry: LogEntry) -> int:
    """Return about how many bytes an entry takes, on the disk and on the link."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


@define(kw_only=True)
class RaftLog:
    """Hold the latest snapshot and the entries after it."""

    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(factory=list)
    # Entries that set the members, so that looking up the members does not search the log.
    membership_entries: list[LogEntry] = field(factory=list, init=False)
    initial_members: dict[str, str] = field(factory=dict)
    # About how many bytes the entries take.
    size_bytes: int = field(default=0, init=False)

    @property
    def base_index(self) -> int:
        """Return the last index covered by the snapshot, or 0 without one."""
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
        """Return the term at an index, or None if it is compacted or beyond the end."""
        if index == self.base_index:
            return self.snapshot.term if self.snapshot else 0
        entry = self.get(index)
        return entry.term if entry else None

    def get(self, index: int) -> LogEntry | None:
        """Return the entry at an index, or None."""
        position = index - self.base_index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position]
        return None

    def slice_from(self, index: int, limit: int, *, max_bytes: int | None = None) -> list[LogEntry]:
        """Return up to `limit` entries, starting at an index.

        With `max_bytes`, no more of them than take about that many bytes, but at least one.
        """
        start = max(0, index - self.base_index - 1)
        entries = self.entries[start : start + limit]
        if max_bytes is None:
            return entries
        left_bytes = max_bytes
        for number, entry in enumerate(entries):
            left_bytes -= entry_bytes(entry)
            if left_bytes < 0 and number:
                return entries[:number]
        return entries

    def bytes_after(self, index: int) -> int:
        """Return about how many bytes the entries after an index take."""
        start = max(0, index - self.base_index)
        return sum(entry_bytes(entry) for entry in self.entries[start:])

    def append(self, entry: LogEntry) -> None:
        """Append an entry after the last one."""
        self.entries.append(entry)
        self.size_bytes += entry_bytes(entry)
        if entry.members is not None:
            self.membership_entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entries at an index and after it."""
        self.membership_entries = [
            entry for entry in self.membership_entries if entry.index < index
        ]
        self.size_bytes -= self.bytes_after(index - 1)
        del self.entries[max(0, index - self.base_index - 1) :]

    def members(self) -> dict[str, str]:
        """Return the members set by the latest membership change, committed or not."""
        if self.membership_entries:
            return self.membership_entries[-1].members or {}
        return self.snapshot.members if self.snapshot else self.initial_members

    def last_membership_index(self) -> int:
        """Return the index of the latest membership change in the log, or the base index."""
        return self.membership_entries[-1].index if self.membership_entries else self.base_index

    def members_at(self, index: int) -> dict[str, str]:
        """Return the members as of an index."""
        for entry in reversed(self.membership_entries):
            if entry.index <= index:
                return entry.members or {}
        return self.snapshot.members if self.snapshot else self.initial_members

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries covered by a snapshot, or all if the log does not match it."""
        if self.term_at(snapshot.index) == snapshot.term:
            del self.entries[: snapshot.index - self.base_index]
        else:
            self.entries = []
        self.snapshot = snapshot
        self.size_bytes = sum(entry_bytes(entry) for entry in self.entries)
        self.membership_entries = [entry for entry in self.entries if entry.members is not None]
