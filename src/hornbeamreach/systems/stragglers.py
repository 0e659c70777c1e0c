"""Detect runs that stall or are too slow, and minions that fail the runs they start.

Load pattern: a tenth of a pool's minions stall, slow down by a factor of five or fail every run
for some seconds, while they report good health and the other minions keep working.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from attrs import define

from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase

FULL_PERCENT = 100
# Progress is listed in whole percent: a run of 3 s at a sixth of its speed still progresses
# every 200 ms.
STALL_TIMEOUT_MS = 700
# Run times within a step differ by half. A run this many times as long as others is slow.
SLOW_FACTOR = 3.0
# A run is restarted only if its remaining time exceeds RERUN_MARGIN times a typical run, plus
# the time that stopping it takes.
RERUN_MARGIN = 1.3
RERUN_COST_MS = 400
# Below these, too little of a run is done to measure its speed.
MIN_MEASURED_PERCENT = 3
MIN_MEASURED_MS = 500
# A minion that failed this many jobs in a row gets no work for a while. A single failure may
# be due to a job that can never succeed.
FAILED_JOBS_TO_PAUSE = 2
FAILING_PAUSE_MS = 3_000
STRAGGLER_PAUSE_MS = 4_000


class StragglerKind(enum.Enum):
    """Describe why a run should be restarted on another minion."""

    STALLED = "stalled"
    SLOW = "slow"


@define(frozen=True, kw_only=True)
class RunObservation:
    """Hold what is known about one run's progress."""

    percent: int
    since_start_ms: int
    since_progress_ms: int
    # Typical length of the step's runs on other minions; 0 if unknown.
    typical_ms: int = 0


def has_measurable_speed(observation: RunObservation) -> bool:
    """Return whether enough of a run is done to measure its speed."""
    return (
        MIN_MEASURED_PERCENT <= observation.percent < FULL_PERCENT
        and observation.since_start_ms >= MIN_MEASURED_MS
    )


def may_be_straggler(since_start_ms: int, percent: int) -> bool:
    """Return whether a run is old enough to be called a straggler, and not done."""
    return since_start_ms >= min(STALL_TIMEOUT_MS, MIN_MEASURED_MS) and percent < FULL_PERCENT


def straggler_kind(observation: RunObservation) -> StragglerKind | None:
    """Return why a run should be restarted on another minion, or None."""
    if observation.percent >= FULL_PERCENT:
        return None
    if (
        observation.since_progress_ms >= STALL_TIMEOUT_MS
        and observation.since_start_ms >= STALL_TIMEOUT_MS
    ):
        return StragglerKind.STALLED
    if not has_measurable_speed(observation):
        return None
    length_ms = observation.since_start_ms * FULL_PERCENT / observation.percent
    left_ms = length_ms - observation.since_start_ms
    rerun_ms = observation.typical_ms * RERUN_MARGIN + RERUN_COST_MS
    slow = observation.typical_ms and length_ms > SLOW_FACTOR * observation.typical_ms
    return StragglerKind.SLOW if slow and left_ms > rerun_ms else None


def typical_run_ms(runs: Iterable[ReservedRun], observed: ReservedRun, now_ms: int) -> int:
    """Return the median projected length in ms of the step's runs on other minions, or 0."""
    lengths = sorted(
        (now_ms - run.started_ms) * FULL_PERCENT // run.percent
        for run in runs
        if run is not observed
        and run.minion != observed.minion
        and run.phase is RunPhase.RUNNING
        and run.percent >= MIN_MEASURED_PERCENT
    )
    return lengths[len(lengths) // 2] if lengths else 0


def record_run_failure(minion: Minion, job_id: str, now_ms: int) -> bool:
    """Record a failed run, and return whether its minion should now be avoided."""
    minion.failing_jobs.add(job_id)
    excess = len(minion.failing_jobs) - FAILED_JOBS_TO_PAUSE
    if excess < 0:
        return False
    pause_ms = FAILING_PAUSE_MS * (excess + 1)
    minion.suspect_until_ms = max(minion.suspect_until_ms, now_ms + pause_ms)
    return True
