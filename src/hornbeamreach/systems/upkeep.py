"""Choice of the next machines of an upkeep wave, and of the lasting tasks to move away first.

Load pattern: a wave takes a third to half of all machines within a few of the demand's
turns, so each pool's machines go while the pool is idle.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define

from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.workload import MaintenanceWave

FULL_SPEED = 100
# Looks come once a second; a minion that missed two of them may be gone.
FRESH_MS = 2_500


@define(frozen=True, kw_only=True)
class WaveMachine:
    """Hold a machine that a wave may take next."""

    machine: str
    minion: Minion
    # Share of its pool's processors that is free, 0 to 1.
    pool_free: float


def places_left(wave: MaintenanceWave, taken: set[str]) -> int:
    """Return how many more machines may be taken beside those that are down or chosen."""
    down = wave.ordered.keys() - wave.finished
    return max(0, wave.max_down - len(down | taken))


def next_machines(
    wave: MaintenanceWave, candidates: Iterable[WaveMachine], taken: set[str]
) -> list[WaveMachine]:
    """Choose machines to empty now, so that at most `max_down` are chosen or under way."""
    free = [
        candidate
        for candidate in candidates
        if candidate.machine not in taken and candidate.machine not in wave.ordered
    ]
    free.sort(key=lambda c: (len(c.minion.runs) > 0, -c.pool_free, len(c.minion.runs)))
    return free[: places_left(wave, taken)]


def at_work(run: ReservedRun, now_ms: int) -> bool:
    """Tell whether a run was listed a short while ago as working at full speed."""
    fresh = now_ms - run.last_listed_ms <= FRESH_MS
    return run.phase is RunPhase.RUNNING and run.percent >= FULL_SPEED and fresh


def tasks_away(runs: dict[str, ReservedRun], prefix: str, count: int, now_ms: int) -> int:
    """Count the tasks of a step that are not known to be fully at work."""
    working = sum(1 for key, run in runs.items() if key.startswith(prefix) and at_work(run, now_ms))
    return count - working


def may_stop(run: ReservedRun, away: int, may_miss: int, *, now_ms: int) -> bool:
    """Tell whether a lasting task may be stopped without breaking its step's budget."""
    others_away = away - int(not at_work(run, now_ms))
    return may_miss == 0 or others_away < may_miss
