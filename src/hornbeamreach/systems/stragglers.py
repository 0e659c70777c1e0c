"""Runs that stand still or work far too slowly, and minions that fail what they start.

Load pattern: a tenth of a pool's minions stall, slow down five times or fail everything for
some seconds, while their health looks good and the other minions work on.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

from attrs import define

from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase

FULL = 100
# A minion lists progress by the percent: a run of 3 s that works six times too slowly still
# moves every 200 ms.
STALLED_MS = 700
# Lengths within a step differ by half; a run this many times longer than others is slow.
SLOW_FACTOR = 3.0
# A run is started anew only if that saves this share of its length, and the stop's time.
RERUN_MARGIN = 1.3
RERUN_COST_MS = 400
# Too little of a run shows nothing of its speed.
LEAST_PERCENT = 3
LEAST_SINCE_MS = 500
# A minion that failed this many jobs in a row gets no work for a while: one may be a job
# that can never succeed.
FAILING_JOBS = 2
FAILING_PAUSE_MS = 3_000
STRAGGLER_PAUSE_MS = 4_000


class Lag(enum.Enum):
    """Name why a run should start anew elsewhere."""

    STALLED = "stalled"
    SLOW = "slow"


@define(frozen=True, kw_only=True)
class RunFacts:
    """Hold what is known of one run's progress."""

    percent: int
    since_start_ms: int
    since_progress_ms: int
    # Length of a run of its step on a sound minion; 0 if unknown.
    typical_ms: int = 0


def shows_speed(facts: RunFacts) -> bool:
    """Tell whether enough of a run is done to judge its speed."""
    return LEAST_PERCENT <= facts.percent < FULL and facts.since_start_ms >= LEAST_SINCE_MS


def lag_of(facts: RunFacts) -> Lag | None:
    """Tell whether a run should be stopped and started anew elsewhere."""
    if facts.percent >= FULL:
        return None
    if facts.since_progress_ms >= STALLED_MS and facts.since_start_ms >= STALLED_MS:
        return Lag.STALLED
    if not shows_speed(facts):
        return None
    length_ms = facts.since_start_ms * FULL / facts.percent
    left_ms = length_ms - facts.since_start_ms
    rerun_ms = facts.typical_ms * RERUN_MARGIN + RERUN_COST_MS
    slow = facts.typical_ms and length_ms > SLOW_FACTOR * facts.typical_ms
    return Lag.SLOW if slow and left_ms > rerun_ms else None


def typical_ms(runs: Iterable[ReservedRun], beside: ReservedRun, now_ms: int) -> int:
    """Return the middle of the lengths that the step's other runs on other minions show."""
    lengths = sorted(
        (now_ms - run.started_ms) * FULL // run.percent
        for run in runs
        if run is not beside
        and run.minion != beside.minion
        and run.phase is RunPhase.RUNNING
        and run.percent >= LEAST_PERCENT
    )
    return lengths[len(lengths) // 2] if lengths else 0


def note_failure(minion: Minion, job_id: str, now_ms: int) -> bool:
    """Remember a failed run; tell whether its minion is now to be avoided."""
    minion.failing_jobs.add(job_id)
    over = len(minion.failing_jobs) - FAILING_JOBS
    if over < 0:
        return False
    pause_ms = FAILING_PAUSE_MS * (over + 1)
    minion.suspect_until_ms = max(minion.suspect_until_ms, now_ms + pause_ms)
    return True
