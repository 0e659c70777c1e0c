"""Minions as the step scheduler tracks them: their reports and the runs reserved on them."""

from __future__ import annotations

import enum

from attrs import define, field

from hornbeamreach.tables.resources import NO_RESOURCES, Resources

# Share by which a minion's clock may run slower than the local one.
MAX_CLOCK_DRIFT = 0.02
# A minion that missed three heartbeats, 1.5 s each, or two polls in a row is silent: it gets no
# tasks and does not count as available, but its runs are kept until their leases lapse.
SILENT_AFTER_MS = 4_500
SILENT_AFTER_FAILED_CALLS = 2
# A start relies on a reported capacity for this long. A capacity that has shrunk must be respected
# after 3 s without contact and one heartbeat of 1.5 s; an order may take 700 ms, and 400 ms more
# through another replica.
MAX_CAPACITY_AGE_MS = 3_000 + 1_500 - 700 - 400
# A clock reading that is further behind is not that of a delayed report.
MAX_REPORT_DELAY_MS = 60_000


@define(frozen=True, kw_only=True)
class MinionReport:
    """Describe a minion as it reported itself."""

    minion: str
    # Start time of the minion in ms since the Unix epoch: it identifies the incarnation, and a
    # later one is newer.
    born_ms: int
    pool: str
    address: str
    data_center: str
    sequence: int
    draining: bool = False
    leaving: bool = False
    # Minimum time that a draining minion has left.
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
    """List the phases of a reserved run."""

    # The start is not committed to the log yet, or the order is not sent yet.
    RESERVED = "booked"
    SENT = "sent"
    # No response to the order, or an earlier scheduler sent it: the run may be running or
    # begin late.
    UNKNOWN = "unknown"
    RUNNING = "running"
    STOPPING = "stopping"


@define(frozen=True, kw_only=True)
class CrashMark:
    """Describe a run at the crash of its minion."""

    # Incarnation that crashed.
    born_ms: int
    phase: RunPhase
    # Whether only runs of the same job were there.
    solo: bool
    # Whether the run was known to have begun.
    begun: bool
    # Time since the start.
    age_ms: int


@define(kw_only=True, eq=False)
class ReservedRun:
    """Represent a run that may take capacity of a minion."""

    job_id: str
    key: str
    run: int
    team: str
    minion: str
    born_ms: int
    # Capacity taken on the minion, and the amount counted against the team's limits.
    needs: Resources
    charged: Resources
    lasting: bool = False
    filler: bool = False
    # A minion has crashed under the task, which is not cleared of having caused it.
    suspect: bool = False
    latency_target_ms: int = 0
    phase: RunPhase = RunPhase.RESERVED
    # An earlier scheduler started it, at a time that is not known here.
    recovered: bool = False
    # When the order's outcome became known; only a poll sent later shows that the run is gone.
    outcome_known_ms: int = 0
    started_ms: int = 0
    percent: int = 0
    last_progress_ms: int = 0
    # When the result of the latest poll that listed the run arrived.
    last_listed_ms: int = 0
    # Latest approximate load: tail latency in ms of a task that serves users, else processor
    # use.
    load_metric: int = 0
    pace: int = 100
    checkpoint: str = ""
    stop_reason: str = ""
    expected_ms: int = 0
    # Until then, by the local clock, an incarnation that is not known may hold the run: its start
    # was not answered, or not by the known one.
    carried_until_ms: int = 0
    # Number of its start, by which the log tells whether the start is settled.
    start_number: int = 0
    # VM of the minion; empty if unknown.
    vm: str = ""
    # Pool in which the run counts for its team's share.
    pool: str = ""
    # The start order was sent, so the run may have begun.
    ordered: bool = False
    # The start order was sent and is neither answered nor given up.
    awaits_answer: bool = False
    # The minion answered a call just before the start order was sent.
    minion_checked: bool = False
    # Minimum time that the run was at work before this scheduler began.
    earlier_ms: int = 0
    # The minion crashed; unless the run appears on the next incarnation, it ended by that.
    crash: CrashMark | None = None

    @property
    def name(self) -> str:
        """Return the task's full name."""
        return f"{self.job_id}.{self.key}"


@define(kw_only=True, eq=False)
class Minion:
    """Represent one incarnation of a minion."""

    report: MinionReport
    last_report_ms: int
    # When this scheduler first heard of the incarnation.
    heard_ms: int = 0
    # How long the minion may hold a lease from a call for an earlier incarnation under the same id,
    # and the local time until which it may; 0 if no such call can have arrived.
    carried_lease_ms: int = 0
    carried_until_ms: int = 0
    # Whether that time is still to come, as of the latest tick.
    may_hold_carried_lease: bool = False
    # Part of the fencing token that increases within one term of the scheduler.
    token_step: int = 0
    # Runs by task name.
    runs: dict[str, ReservedRun] = field(factory=dict)
    # Runs, by task name and number, that the latest poll listed and that are not reserved here,
    # with their needs; None if the needs are not known.
    foreign_runs: dict[tuple[str, int], Resources | None] = field(factory=dict)
    # What reserved and foreign runs take.
    used: Resources = Resources()
    # Number of runs by job, and names of the runs of suspects by job.
    run_counts: dict[str, int] = field(factory=dict)
    suspects: dict[str, set[str]] = field(factory=dict)
    # Tasks of rows that the latest poll could not read.
    unread_tasks: frozenset[str] = frozenset()
    # A foreign run's needs are not known, so nothing else may start.
    has_unknown_use: bool = False
    # When the latest answered poll was sent; -1 before the first one of this term.
    polled_ms: int = -1
    # Ends up to this number are in the log, so the minion may forget them; `listed_end` is the
    # highest number that the minion listed.
    recorded_end: int = 0
    listed_end: int = 0
    # Highest number of a recorded end that an answered poll acknowledged to the minion.
    acknowledged_end: int = 0
    # Latest reading of the minion's clock, and the local time when it was received.
    minion_clock_ms: int = 0
    clock_received_ms: int = 0
    # Latest clock reading in a report that was not delayed, and when it arrived. Leases do not rely
    # on it, since only a poll is surely answered by the minion itself.
    report_clock_ms: int = 0
    report_clock_received_ms: int = 0
    # End of the latest lease granted, on the minion's clock.
    lease_until_ms: int = 0
    # End of the latest lease that the minion is known to have received.
    renewed_until_ms: int = 0
    suspect_until_ms: int = 0
    failed_calls: int = 0
    # Jobs whose runs failed here since the last successful run.
    failing_jobs: set[str] = field(factory=set)
    cordoned: bool = False
    # The minion has refused this scheduler's fencing token and accepted none since.
    fenced: bool = False
    # The minion takes no new work, so that its VM can move to another pool.
    yielding: bool = False
    # A maintenance wave is still to take its VM.
    awaits_maintenance: bool = False
    # Percentage of full speed at which the minion's fillers should run, and when it was set.
    filler_pace: int = 100
    pace_changed_ms: int = 0
    # The incarnation is known to have ended; a late report of it is ignored.
    gone: bool = False

    @property
    def minion_id(self) -> str:
        """Return the minion's id."""
        return self.report.minion

    @property
    def vm(self) -> str:
        """Return the VM that the minion runs on."""
        return self.report.machine or self.report.minion

    def min_clock_ms(self, now_ms: int) -> int:
        """Return a lower bound of the minion's clock."""
        elapsed_ms = max(0, now_ms - self.clock_received_ms)
        return self.minion_clock_ms + int(elapsed_ms * (1 - MAX_CLOCK_DRIFT))

    def is_silent(self, now_ms: int) -> bool:
        """Return whether the minion has sent neither reports nor poll results for a while."""
        return self.failed_calls >= SILENT_AFTER_FAILED_CALLS or (
            now_ms - max(self.last_report_ms, self.clock_received_ms) > SILENT_AFTER_MS
        )

    def capacity_age_ms(self, now_ms: int) -> int:
        """Return how long ago the latest report was sent, as far as its clock reading shows."""
        age_ms = now_ms - self.last_report_ms
        clock_ms = self.report.clock_ms
        bounds = [self._min_clock_by_reports(now_ms)]
        if self.clock_received_ms:
            bounds.append(self.min_clock_ms(now_ms))
        for bound_ms in bounds if clock_ms else []:
            if bound_ms - clock_ms <= MAX_REPORT_DELAY_MS:
                age_ms = max(age_ms, bound_ms - clock_ms)
        return age_ms

    def note_report_clock(self, clock_ms: int, now_ms: int) -> None:
        """Keep a report's clock reading unless the report was delayed."""
        behind_ms = self._min_clock_by_reports(now_ms) - clock_ms
        if clock_ms and (behind_ms <= 0 or behind_ms > MAX_REPORT_DELAY_MS):
            self.report_clock_ms, self.report_clock_received_ms = clock_ms, now_ms

    def _min_clock_by_reports(self, now_ms: int) -> int:
        if not self.report_clock_ms:
            return 0
        elapsed_ms = now_ms - self.report_clock_received_ms
        return self.report_clock_ms + int(elapsed_ms * (1 - MAX_CLOCK_DRIFT))

    def free(self) -> Resources:
        """Return the capacity not taken, which is never negative.

        A minion that has shrunk below what runs there has none free.
        """
        free = self.report.capacity.minus(self.used)
        return Resources(
            cpu_millis=max(0, free.cpu_millis),
            memory_mb=max(0, free.memory_mb),
            accelerators=max(0, free.accelerators),
        )

    def can_fit(self, needs: Resources) -> bool:
        """Return whether the needs fit into the free capacity."""
        # Called for every pair of minion and queued task, so it builds no object.
        capacity, used = self.report.capacity, self.used
        return (
            not self.has_unknown_use
            and needs.cpu_millis <= capacity.cpu_millis - used.cpu_millis
            and needs.memory_mb <= capacity.memory_mb - used.memory_mb
            and needs.accelerators <= capacity.accelerators - used.accelerators
        )

    def end_to_acknowledge(self) -> int:
        """Return the number up to which the next poll acknowledges ends, 0 for none.

        A later incarnation under the same id numbers its ends anew and would forget them unseen, so
        ends are acknowledged once, and only after the known incarnation answered the latest call.
        """
        is_due = self.recorded_end > self.acknowledged_end and not self.failed_calls
        return self.recorded_end if is_due else 0

    def has_other_jobs(self, job_id: str) -> bool:
        """Return whether runs of other jobs are reserved or listed."""
        if self.foreign_runs:
            return True
        return len(self.run_counts) > (job_id in self.run_counts)

    def has_other_suspects(self, job_id: str) -> bool:
        """Return whether runs of other jobs' suspects are reserved."""
        return len(self.suspects) > (job_id in self.suspects)

    def wait_for_carried_lease(self, now_ms: int) -> None:
        """Count the lease of a call for an earlier incarnation from now on.

        Later calls have a higher fencing token than any such call, so the last count is made once
        one of them is answered.
        """
        if self.carried_lease_ms:
            self.carried_until_ms = now_ms + self.carried_lease_ms
            self.may_hold_carried_lease = True

    def can_send(self, runs: list[ReservedRun]) -> bool:
        """Return whether starts that are reserved here but not sent fit beside what was sent."""
        if self.has_unknown_use:
            return False
        taken = self.used
        for run in self.runs.values():
            # A start that is not sent either takes nothing yet and is checked when it is sent.
            if run.phase is RunPhase.RESERVED and run not in runs:
                taken = taken.minus(run.needs)
        return taken.fits_in(self.report.capacity)

    def reserve(self, run: ReservedRun) -> None:
        """Reserve the capacity that a run needs."""
        if run.name not in self.runs:
            self.run_counts[run.job_id] = self.run_counts.get(run.job_id, 0) + 1
        self.runs[run.name] = run
        self.used = self.used.plus(run.needs)
        if run.suspect:
            self.mark_suspect(run)

    def set_foreign_runs(self, listed: dict[tuple[str, int], Resources | None]) -> None:
        """Count the runs that the latest poll listed and that are not reserved here."""
        for needs in self.foreign_runs.values():
            self.used = self.used.minus(needs or NO_RESOURCES)
        for needs in listed.values():
            self.used = self.used.plus(needs or NO_RESOURCES)
        self.foreign_runs = listed
        self.has_unknown_use = None in listed.values()

    def release(self, name: str) -> ReservedRun | None:
        """Release the capacity of a run, and return the run."""
        run = self.runs.pop(name, None)
        if run is not None:
            self.used = self.used.minus(run.needs)
            self.run_counts[run.job_id] -= 1
            if not self.run_counts[run.job_id]:
                del self.run_counts[run.job_id]
            self._drop_suspect(run)
        return run

    def mark_suspect(self, run: ReservedRun) -> None:
        """Mark a run here as a suspect of a crash, which keeps further jobs away."""
        run.suspect = True
        self.suspects.setdefault(run.job_id, set()).add(run.name)

    def clear_suspect(self, run: ReservedRun) -> None:
        """Clear a run of suspicion, so that other jobs may share the minion again."""
        run.suspect = False
        self._drop_suspect(run)

    def _drop_suspect(self, run: ReservedRun) -> None:
        names = self.suspects.get(run.job_id)
        if names is not None:
            names.discard(run.name)
            if not names:
                del self.suspects[run.job_id]
