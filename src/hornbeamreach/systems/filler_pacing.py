"""Set the pace of fillers that share a minion with serving tasks.

Load pattern: fillers raise the tail latency of serving tasks by amounts that change within
seconds, and so does the load of the serving tasks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define

from hornbeamreach.registry import Registry
from hornbeamreach.tables.minions import ReservedRun, RunPhase

FULL_PACE_PERCENT = 100
# Fillers slow down before tail latency reaches its target: figures are half a second old.
SLOW_DOWN_RATIO = 0.85
# Fillers speed up again below this ratio of tail latency to target.
SPEED_UP_RATIO = 0.6
# The pace changes in steps, no sooner than this after the last change, so that its effect has
# been measured: a figure covers 500 ms and takes effect 100 ms later.
SPEED_UP_STEP_PERCENT = 25
PACE_INTERVAL_MS = 1_000


@define(frozen=True, kw_only=True)
class PacingInput:
    """Hold the inputs for the pace of one minion's fillers."""

    # Current pace, in percent of full speed.
    pace: int
    # Highest ratio of a serving task's tail latency to its target.
    worst_ratio: float
    since_change_ms: int


Pacer = Callable[[PacingInput], int]
pacers: Registry[Pacer] = Registry("pacer")


@pacers.register("full")
def full(pacing: PacingInput) -> int:
    """Let fillers work at full speed, as a baseline."""
    return FULL_PACE_PERCENT


@pacers.register("back_off")
def back_off(pacing: PacingInput) -> int:
    """Halve the pace near the latency target, stop fillers above it, and speed up in steps."""
    if pacing.worst_ratio >= 1:
        return 0
    if pacing.worst_ratio >= SLOW_DOWN_RATIO:
        return pacing.pace // 2 if pacing.since_change_ms >= PACE_INTERVAL_MS else pacing.pace
    if pacing.worst_ratio < SPEED_UP_RATIO and pacing.since_change_ms >= PACE_INTERVAL_MS:
        return min(FULL_PACE_PERCENT, pacing.pace + SPEED_UP_STEP_PERCENT)
    return pacing.pace


def worst_latency_ratio(runs: Iterable[ReservedRun]) -> float:
    """Return the highest ratio of a serving task's tail latency to its target, or 0."""
    return max(
        (
            run.load_metric / run.latency_target_ms
            for run in runs
            if run.latency_target_ms and not run.filler and run.phase is RunPhase.RUNNING
        ),
        default=0.0,
    )
