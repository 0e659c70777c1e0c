"""Pace of fillers beside tasks that serve their own users.

Load pattern: fillers disturb the tail latency of serving tasks by amounts that change within
seconds; the serving tasks' own load does the same.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define

from hornbeamreach.registry import Registry
from hornbeamreach.tables.minions import ReservedRun, RunPhase

FULL_PACE = 100
# Above this share of its target a tail is about to pass it: figures are half a second old.
SLOW_DOWN_AT = 0.85
# Below this share fillers may work faster again.
SPEED_UP_AT = 0.6
# Fillers speed up by this many percent at a time, and no sooner than after this: a figure
# covers half a second and takes effect in another tenth.
SPEED_UP_STEP = 25
SPEED_UP_AFTER_MS = 1_000


@define(frozen=True, kw_only=True)
class PaceFacts:
    """Hold what the pace of one minion's fillers depends on."""

    pace: int
    # The worst tail of a serving task against its target.
    worst: float
    since_change_ms: int


Pacer = Callable[[PaceFacts], int]
pacers: Registry[Pacer] = Registry("pacer")


@pacers.register("full")
def full(facts: PaceFacts) -> int:
    """Let fillers work at full speed; the baseline."""
    return FULL_PACE


@pacers.register("back_off")
def back_off(facts: PaceFacts) -> int:
    """Stop fillers at once where a tail nears its target, and speed them up step by step."""
    if facts.worst >= 1:
        return 0
    if facts.worst >= SLOW_DOWN_AT:
        return facts.pace // 2 if facts.since_change_ms >= SPEED_UP_AFTER_MS else facts.pace
    if facts.worst < SPEED_UP_AT and facts.since_change_ms >= SPEED_UP_AFTER_MS:
        return min(FULL_PACE, facts.pace + SPEED_UP_STEP)
    return facts.pace


def worst_tail(runs: Iterable[ReservedRun]) -> float:
    """Return the worst tail of the serving tasks against its target; 0 if none serves."""
    return max(
        (
            run.load_metric / run.latency_target_ms
            for run in runs
            if run.latency_target_ms and not run.filler and run.phase is RunPhase.RUNNING
        ),
        default=0.0,
    )
