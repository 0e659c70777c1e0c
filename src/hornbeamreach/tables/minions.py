"""Minions as the scheduler sees them: what they announced, and the runs booked on them."""

from __future__ import annotations

import enum

from attrs import define, field

from hornbeamreach.tables.resources import Resources

# A minion's clock may run this much slower than ours.
CLOCK_DRIFT = 0.02
# A minion that missed three heartbeats, 1.5 s each, or two looks in a row is taken for gone
# where it is counted on; what runs there waits for its lease.
SILENT_MS = 4_500
SILENT_CALLS = 2


@define(frozen=True, kw_only=True)
class MinionReport:
    """Hold what a minion announced about itself."""

    minion: str
    # Time of the minion's start in ms since 1970; a later one is a new life.
    born_ms: int
    pool: str
    address: str
    data_center: str
    sequence: int
    draining: bool = False
    leaving: bool = False
    # While it drains: the least time that is left.
    remaining_ms: int = 0
    # How much longer the minion stays slow after its start.
    cold_ms: int = 0
    capacity: Resources = Resources()
    kind: str = ""
    rack: str = ""
    labels: tuple[str, ...] = ()
    clock_ms: int = 0
    machine: str = ""


class RunPhase(enum.Enum):
    """Name how far the order for a booked run has come."""

    # Booked in the log, which is not committed yet or not sent yet.
    BOOKED = "booked"
    SENT = "sent"
    # No answer came, or an earlier scheduler sent it: it may run or begin late.
    UNKNOWN = "unknown"
    RUNNING = "running"
    STOPPING = "stopping"


@define(kw_only=True, eq=False)
class BookedRun:
    """Hold one run that may take capacity of a minion."""

    job_id: str
    key: str
    run: int
    team: str
    minion: str
    born_ms: int
    # What the run takes of its minion, and what counts against its team's limits.
    needs: Resources
    charged: Resources
    lasting: bool = False
    filler: bool = False
    latency_target_ms: int = 0
    phase: RunPhase = RunPhase.BOOKED
    # When the order's outcome became known; only a later look shows that the run is gone.
    settled_ms: int = 0
    started_ms: int = 0
    percent: int = 0
    progressed_ms: int = 0
    # When the latest look that listed it had come.
    listed_ms: int = 0
    # Latest rough figure: tail latency in ms for a task that serves, else processor use.
    figure: int = 0
    pace: int = 100
    checkpoint: str = ""
    stop_reason: str = ""
    expected_ms: int = 0

    @property
    def name(self) -> str:
        """Return the task's full name."""
        return f"{self.job_id}.{self.key}"


@define(kw_only=True, eq=False)
class Minion:
    """Hold one life of a minion."""

    report: MinionReport
    heard_ms: int
    # The part of the fencing token that rises within one scheduler's term.
    token_step: int = 0
    # Runs by task name.
    runs: dict[str, BookedRun] = field(factory=dict)
    used: Resources = Resources()
    # When the latest answered look was sent; -1 before the first one of this term.
    looked_ms: int = -1
    # Ends up to this number are recorded and may be forgotten by the minion.
    recorded_end: int = 0
    listed_end: int = 0
    # The number that the latest answered look carried.
    covered_end: int = 0
    # A reading of the minion's clock and when it had arrived here.
    clock_read_ms: int = 0
    clock_arrived_ms: int = 0
    # The latest lease granted, on the minion's clock.
    lease_until_ms: int = 0
    suspect_until_ms: int = 0
    failed_calls: int = 0
    # Failed runs in a row, of which jobs.
    failing_jobs: set[str] = field(factory=set)
    cordoned: bool = False
    # Share of their speed at which the minion's fillers should work, and since when.
    filler_pace: int = 100
    paced_ms: int = 0
    # Known to have ended; a late report of this life changes nothing.
    gone: bool = False

    @property
    def minion_id(self) -> str:
        """Return the minion's id."""
        return self.report.minion

    def clock_at_least(self, now_ms: int) -> int:
        """Return what the minion's clock shows at least."""
        passed = max(0, now_ms - self.clock_arrived_ms)
        return self.clock_read_ms + int(passed * (1 - CLOCK_DRIFT))

    def is_silent(self, now_ms: int) -> bool:
        """Tell whether neither a report nor the answer to a look came for a while."""
        return self.failed_calls >= SILENT_CALLS or (
            now_ms - max(self.heard_ms, self.clock_arrived_ms) > SILENT_MS
        )

    def free(self) -> Resources:
        """Return the capacity that no booked run takes."""
        return self.report.capacity.minus(self.used)

    def has_room(self, needs: Resources) -> bool:
        """Tell whether the needs are free."""
        # Asked for every minion and waiting task: no object is built for the difference.
        capacity, used = self.report.capacity, self.used
        return (
            needs.cpu_millis <= capacity.cpu_millis - used.cpu_millis
            and needs.memory_mb <= capacity.memory_mb - used.memory_mb
            and needs.accelerators <= capacity.accelerators - used.accelerators
        )

    def book(self, run: BookedRun) -> None:
        """Take a run's needs."""
        self.runs[run.name] = run
        self.used = self.used.plus(run.needs)

    def release(self, name: str) -> BookedRun | None:
        """Give a run's needs back."""
        run = self.runs.pop(name, None)
        if run is not None:
            self.used = self.used.minus(run.needs)
        return run
