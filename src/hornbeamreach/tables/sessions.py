"""Sessions of entry processes, as the control leader tracks them."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.reports import PermitUse, PoolLoad, VmReport

# How long after a renewal an entry process counts as connected to control.
SESSION_TIMEOUT_MS = 4_000
# How long after a heartbeat entry processes of a data centre count each other as connected.
PEER_SESSION_TIMEOUT_MS = 2_000
# Longest time that a call or a task lease can outlive the process that started it.
MAX_ORPHANED_WORK_MS = 32_000
MAX_ACKS = 64
REPORT_NUMBERS_PER_TERM = 2**32


@define(frozen=True, order=True)
class HolderKey:
    """Identify one incarnation of an entry process."""

    entry_id: str
    incarnation: str


@define(kw_only=True)
class Session:
    """Hold the latest report of one incarnation; times are on the leader's clock."""

    renewed_ms: int
    applied_index: int = 0
    acks: list[tuple[int, int]] = field(factory=list)
    uses: dict[str, PermitUse] = field(factory=dict)
    vm_reports: dict[str, VmReport] = field(factory=dict)
    busy_vms: dict[str, int] = field(factory=dict)
    idle_vms: list[str] = field(factory=list)
    pool_loads: dict[str, PoolLoad] = field(factory=dict)
    reported_ms: int = -1
    report_number: int = 0
    # Number and content of the free-capacity report last sent to the process.
    free_capacity_number: int = 0
    free_capacity_sent: dict[str, int] = field(factory=dict)

    def acknowledge(self, index: int, now_ms: int) -> None:
        """Record that the process has applied the log up to an index."""
        if index > self.applied_index:
            self.applied_index = index
            self.acks.append((index, now_ms))
            del self.acks[:-MAX_ACKS]

    def acked_ms(self, index: int) -> int | None:
        """Return when the process was first known to have applied an index, or None."""
        for acked_index, at_ms in self.acks:
            if acked_index >= index:
                return at_ms
        return None

    def is_live(self, now_ms: int) -> bool:
        """Return whether the process may still act under its session."""
        return now_ms - self.renewed_ms < SESSION_TIMEOUT_MS


@define(kw_only=True)
class SessionTable:
    """Hold the sessions of one leader's term."""

    leader_since_ms: int
    term: int = 0
    sessions: dict[HolderKey, Session] = field(factory=dict)

    def get(self, holder: HolderKey) -> Session:
        """Return a holder's session; a new one counts as renewed when the leader's term began."""
        if holder not in self.sessions:
            # Each term numbers its free-capacity reports from another start, so that numbers
            # of different terms never coincide.
            first_number = self.term * REPORT_NUMBERS_PER_TERM
            self.sessions[holder] = Session(
                renewed_ms=self.leader_since_ms, free_capacity_number=first_number
            )
        return self.sessions[holder]
