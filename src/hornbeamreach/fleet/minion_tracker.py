"""Reports of minions: which incarnations are known, and which of them are gone."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from attrs import define, field

from hornbeamreach.clock import Clock
from hornbeamreach.fleet.crash_recorder import REPLACED, CrashRecorder
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.minion_poller import MinionPoller
from hornbeamreach.fleet.ports import MinionPort
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.lease_bounds import IncarnationHistory, LeaseBound, lease_bounds
from hornbeamreach.tables.minions import (
    MAX_CAPACITY_AGE_MS,
    Minion,
    MinionReport,
    RunPhase,
)
from hornbeamreach.tables.workload import RunEnd

log = part_logger("scheduler")

# Reports that a network partition delayed arrive seconds late; this is far above a partition of
# one minute.
GONE_MINION_RETENTION_MS = 120_000
MAX_LOGGED_RUNS = 20
# Clocks of VMs differ by seconds.
MAX_CLOCK_STEP_MS = 3_600_000
# Reports of a minion that runs for ten years.
MAX_SEQUENCE_STEP = 1_000_000_000


@define(kw_only=True, eq=False)
class MinionTracker:
    """Track the minions of one scheduler by their reports."""

    fleet: FleetState
    clock: Clock
    metrics: Metrics
    crashes: CrashRecorder
    port: MinionPort
    timing: FleetTiming
    # When the scheduler began, and whether an earlier one may have called minions.
    began_ms: int
    has_predecessor: bool
    pollers: dict[str, MinionPoller]
    # Adds a minion's poller to `pollers` and starts it.
    start_poller: Callable[[str], None]
    # Schedules a planning pass of all pools, and one of the pools that have changed.
    notify: Callable[[], None]
    notify_of_changes: Callable[[], None]
    # Drops the tickets for an incarnation that is over.
    forget_tickets: Callable[[str], None]
    lease_bound: LeaseBound = field(factory=lambda: lease_bounds.get("any_incarnation"))

    def on_leave(self, minion_id: str, born_ms: int) -> None:
        """Stop assigning work to a minion that shuts down; `born_ms` 0 means any incarnation."""
        minion = self.fleet.minions.get(minion_id)
        if minion is not None and born_ms in (0, minion.report.born_ms):
            minion.report = _as_leaving(minion.report)
            self.pollers[minion_id].poll_now()

    def on_report(self, report: MinionReport) -> None:
        """Record a minion's report, unless a newer one is known."""
        minion = self.fleet.minions.get(report.minion)
        if minion is not None and _is_older(report, minion):
            return
        implausible = implausible_number(report, minion, self.clock.wall_ms())
        if implausible:
            self.metrics.event("report_ignored")
            log.bind(
                minion=report.minion, born_ms=report.born_ms, sequence=report.sequence
            ).warning("report ignored: {}", implausible)
            return
        now_ms = self.clock.now_ms()
        if minion is None or _may_serve_more(minion, report, now_ms):
            self.fleet.changed_pools.add(report.pool)
        if minion is None or minion.report.born_ms != report.born_ms:
            minion = self._add_incarnation(report, minion, now_ms)
        elif report.draining and not minion.report.draining:
            log.bind(minion=report.minion, left_ms=report.remaining_ms).info("minion is draining")
        if report.capacity != minion.report.capacity:
            _log_capacity(minion, report)
        minion.report = report
        minion.last_report_ms = now_ms
        minion.note_report_clock(report.clock_ms, now_ms)
        if not minion.clock_received_ms and report.clock_ms:
            minion.minion_clock_ms, minion.clock_received_ms = report.clock_ms, now_ms
        self.notify_of_changes()

    def _add_incarnation(self, report: MinionReport, earlier: Minion | None, now_ms: int) -> Minion:
        minion = Minion(report=report, last_report_ms=now_ms, heard_ms=now_ms)
        log.bind(
            minion=report.minion,
            pool=report.pool,
            born_ms=report.born_ms,
            earlier_born_ms=earlier.report.born_ms if earlier is not None else None,
        ).info("minion heard")
        if earlier is not None:
            minion.token_step = earlier.token_step + 1
            self._retire_incarnation(earlier)
            self.forget_tickets(report.minion)
        self.crashes.on_report(report, is_first=earlier is None)
        self.fleet.minions[report.minion] = minion
        inherited = list(self.fleet.unattached_runs.pop(report.minion, {}).values())
        has_returned = earlier is not None or any(r.born_ms != report.born_ms for r in inherited)
        if has_returned:
            self.fleet.unrecorded_returns.add(report.minion)
        minion.carried_lease_ms = self._carried_lease_ms(
            report.minion, born_ms=report.born_ms, has_earlier=has_returned
        )
        minion.wait_for_carried_lease(now_ms)
        for run in inherited:
            # Its order may still reach the new incarnation: the first poll there decides.
            run.born_ms = report.born_ms
            minion.reserve(run)
        if report.minion not in self.pollers:
            self.start_poller(report.minion)
        self.pollers[report.minion].notify()
        return minion

    def _carried_lease_ms(self, minion_id: str, *, born_ms: int, has_earlier: bool = False) -> int:
        """Return how long a minion may hold a lease from a call for an earlier incarnation."""
        history = IncarnationHistory(
            born_ms=born_ms,
            wall_ms=self.clock.wall_ms(),
            led_ms=self.clock.now_ms() - self.began_ms,
            has_predecessor=self.has_predecessor,
            has_earlier=has_earlier,
            returned_ms=self.fleet.proposed.workload.returns.get(minion_id, 0),
        )
        return self.lease_bound(history, self.timing.carried_lease_ms)

    def unheard_lease_ms(self, minion_id: str) -> int:
        """Return how long leases last, from the start of the term, on a minion not heard of."""
        carried_ms = self._carried_lease_ms(minion_id, born_ms=0)
        return max(carried_ms, self.timing.recovered_lease_ms)

    def _retire_incarnation(self, minion: Minion) -> None:
        """Detach the runs of an incarnation, for the next one under the same id.

        A start may have reached either incarnation, whatever the response was, unless the earlier
        one has listed the run. The first poll of the next one shows which of them are there.
        """
        self.crashes.on_incarnation_over(minion, REPLACED)
        for run in list(minion.runs.values()):
            if run.last_listed_ms:
                self.fleet.end_run(run, RunEnd.LOST)
                continue
            minion.release(run.name)
            if run.phase is not RunPhase.RESERVED:
                run.phase = RunPhase.UNKNOWN
            run.outcome_known_ms = self.clock.now_ms()
            self.fleet.unattached_runs.setdefault(run.minion, {})[run.name] = run

    def mark_gone(self, minion: Minion, reason: str) -> None:
        """Mark a minion as gone and end all its runs, as crashed if there is evidence."""
        log.bind(
            minion=minion.minion_id,
            born_ms=minion.report.born_ms,
            runs=len(minion.runs),
            names=list(minion.runs)[:MAX_LOGGED_RUNS],
        ).info("minion is gone: {}", reason)
        self.metrics.event(f"minion_gone_{reason}")
        self.crashes.on_incarnation_over(minion, reason)
        for run in list(minion.runs.values()):
            self.fleet.end_run(run, RunEnd.LOST)
        self.notify()
        minion.report = _as_leaving(minion.report)
        minion.gone = True
        self.port.forget(minion.minion_id)

    def forget_old(self, now_ms: int) -> None:
        """Drop incarnations that ended too long ago for a late report to arrive."""
        for minion in list(self.fleet.minions.values()):
            silent_ms = now_ms - max(minion.last_report_ms, minion.clock_received_ms)
            if minion.gone and not minion.runs and silent_ms > GONE_MINION_RETENTION_MS:
                del self.fleet.minions[minion.minion_id]
                self.pollers.pop(minion.minion_id).stop()


def implausible_number(report: MinionReport, known: Minion | None, wall_ms: int) -> str:
    """Return which number of a report no minion can have sent, or an empty text.

    A later report of the minion itself would seem older than such a one, and be ignored.
    """
    if report.born_ms > wall_ms + MAX_CLOCK_STEP_MS:
        return "it began in the future"
    is_same = known is not None and known.report.born_ms == report.born_ms
    earlier = known.report.sequence if is_same and known is not None else 0
    if report.sequence - earlier > MAX_SEQUENCE_STEP:
        return "it skips too many reports"
    return ""


def _is_older(report: MinionReport, minion: Minion) -> bool:
    known = minion.report
    if report.born_ms != known.born_ms:
        return report.born_ms < known.born_ms
    return minion.gone or report.sequence < known.sequence


def _may_serve_more(minion: Minion, report: MinionReport, now_ms: int) -> bool:
    """Return whether a report may allow starts that the minion's latest one did not allow."""
    known = minion.report
    differs = (
        report.born_ms != known.born_ms
        or report.pool != known.pool
        or report.capacity != known.capacity
        or report.draining != known.draining
        or report.leaving != known.leaving
        or report.cold_ms != known.cold_ms
        or report.labels != known.labels
    )
    return (
        differs or minion.is_silent(now_ms) or minion.capacity_age_ms(now_ms) > MAX_CAPACITY_AGE_MS
    )


def _log_capacity(minion: Minion, report: MinionReport) -> None:
    log.bind(
        minion=report.minion,
        before=minion.report.capacity.amounts(),
        after=report.capacity.amounts(),
        used=minion.used.amounts(),
        sequence=report.sequence,
    ).info("minion's capacity has changed")


def _as_leaving(report: MinionReport) -> MinionReport:
    return attrs.evolve(report, leaving=True)
