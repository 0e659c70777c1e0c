"""Sessions of entry processes, as the leader of control sees them."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.reports import PoolLoad, TeamUse, VmReport

# How long a renewal lets an entry process act as being in touch with control.
SESSION_MS = 4_000
# How long a heartbeat lets entry processes of a data centre count on each other.
PEER_SESSION_MS = 2_000
# The longest that a call or a task lease can outlive the process that started it.
HOLD_MS = 32_000
ACK_HISTORY = 64
NUMBERS_PER_TERM = 2**32


@define(frozen=True, order=True)
class HolderKey:
    """Name one incarnation of an entry process."""

    entry_id: str
    incarnation: str


@define(kw_only=True)
class Session:
    """Hold what one incarnation last reported, on the leader's clock."""

    renewed_ms: int
    applied_index: int = 0
    acks: list[tuple[int, int]] = field(factory=list)
    uses: dict[str, TeamUse] = field(factory=dict)
    vm_reports: dict[str, VmReport] = field(factory=dict)
    busy_vms: dict[str, int] = field(factory=dict)
    idle_vms: list[str] = field(factory=list)
    pool_loads: dict[str, PoolLoad] = field(factory=dict)
    reported_ms: int = -1
    report_number: int = 0
    # The free capacity that the process knows, as far as its latest renewal told.
    free_capacity_number: int = 0
    free_capacity_sent: dict[str, int] = field(factory=dict)

    def acknowledge(self, index: int, now_ms: int) -> None:
        """Record that the process has applied an index."""
        if index > self.applied_index:
            self.applied_index = index
            self.acks.append((index, now_ms))
            del self.acks[:-ACK_HISTORY]

    def acked_ms(self, index: int) -> int | None:
        """Return since when the process is known to have applied an index."""
        for acked_index, at_ms in self.acks:
            if acked_index >= index:
                return at_ms
        return None

    def is_live(self, now_ms: int) -> bool:
        """Tell whether the process may still act under its session."""
        return now_ms - self.renewed_ms < SESSION_MS


@define(kw_only=True)
class SessionTable:
    """Hold the sessions known to a leader since it began to lead."""

    leader_since_ms: int
    term: int = 0
    sessions: dict[HolderKey, Session] = field(factory=dict)

    def get(self, holder: HolderKey) -> Session:
        """Return a holder's session; an unheard one counts from the leader's start."""
        if holder not in self.sessions:
            # Numbers of free-capacity reports begin anew with each term, and never coincide.
            first_number = self.term * NUMBERS_PER_TERM
            self.sessions[holder] = Session(
                renewed_ms=self.leader_since_ms, free_capacity_number=first_number
            )
        return self.sessions[holder]
