"""Decide which long-running tasks leave an evacuated data centre, and how it fills up again.

Load pattern: an operator empties a data centre with a third or two thirds of all VMs while queues
peak in turn. Room elsewhere is short, and few tasks of a long-running step may be away at once.
When the data centre is restored, its minions are slow at first and stand empty while tasks queue.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.systems.maintenance_wave import is_at_full_speed, may_stop
from hornbeamreach.tables.minions import Minion, ReservedRun

# Share of a pass's starts that minions may get while they are slow after a withdrawal.
MAX_COLD_SHARE = 0.25
# A minion that is slow later than this after the withdrawal has restarted for another reason.
COLD_AFTER_RESTORE_MS = 60_000

# Job, occurrence and step, whose long-running tasks share one budget.
Budget = tuple[str, int, int]


class MoveVerdict(enum.Enum):
    """Name what becomes of a long-running task in an evacuated data centre."""

    MOVE = "move"
    # As many other tasks of the step are unavailable as may be.
    MAY_MISS = "may_miss"
    # Another task of the step is on its way.
    ONE_AT_A_TIME = "one_at_a_time"
    NO_ROOM = "no_room"


@define(frozen=True, kw_only=True)
class LastingStep:
    """Hold one step's long-running tasks in evacuated data centres."""

    budget: Budget
    may_miss: int
    runs: tuple[ReservedRun, ...]
    # Keys of all tasks of the step that don't work at full speed, wherever they are.
    unavailable: tuple[str, ...] = ()
    # Tasks of the step that were stopped for an evacuation and don't work elsewhere yet.
    moving: int = 0
    # All runs of a gang, wherever they are; empty for other steps. None starts again before all of
    # them have ended, so they are stopped together.
    gang: tuple[ReservedRun, ...] = ()


@define(frozen=True, kw_only=True)
class MoveDecision:
    """Decide on the next task of a step."""

    step: LastingStep
    run: ReservedRun
    verdict: MoveVerdict


# Claims room for a run outside the evacuated data centres; returns whether there is any.
RoomClaim = Callable[[ReservedRun], bool]
EvacuationPolicy = Callable[[Iterable[LastingStep], RoomClaim, int], list[MoveDecision]]
evacuation_policies: Registry[EvacuationPolicy] = Registry("evacuation policy")


@evacuation_policies.register("stay")
def stay(steps: Iterable[LastingStep], claim_room: RoomClaim, now_ms: int) -> list[MoveDecision]:
    """Move nothing, as a baseline: long-running tasks stay until they are cancelled."""
    return []


@evacuation_policies.register("at_once")
def at_once(steps: Iterable[LastingStep], claim_room: RoomClaim, now_ms: int) -> list[MoveDecision]:
    """Move everything now, as a baseline without budgets."""
    return [
        MoveDecision(step=step, run=run, verdict=MoveVerdict.MOVE)
        for step in steps
        for run in step.runs
    ]


@evacuation_policies.register("within_budget")
def within_budget(
    steps: Iterable[LastingStep], claim_room: RoomClaim, now_ms: int
) -> list[MoveDecision]:
    """Move one task or gang of each step at a time, within `may_miss` and once there is room."""
    decisions = []
    # A gang that doesn't fit as a whole keeps no room from single tasks.
    for step in sorted(steps, key=lambda step: bool(step.gang)):
        # Moving a task that doesn't work at full speed costs the budget nothing.
        run = min(step.runs, key=lambda run: (is_at_full_speed(run, now_ms), run.key))
        if step.moving:
            verdict = MoveVerdict.ONE_AT_A_TIME
        elif not _is_within_budget(step, run, now_ms):
            verdict = MoveVerdict.MAY_MISS
        elif not all(claim_room(member) for member in (step.runs if step.gang else (run,))):
            verdict = MoveVerdict.NO_ROOM
        else:
            verdict = MoveVerdict.MOVE
        stopped = step.gang if verdict is MoveVerdict.MOVE and step.gang else (run,)
        decisions += [MoveDecision(step=step, run=run, verdict=verdict) for run in stopped]
    return decisions


def _is_within_budget(step: LastingStep, run: ReservedRun, now_ms: int) -> bool:
    if step.gang:
        return step.may_miss == 0 or step.may_miss >= len(step.gang)
    return may_stop(run, len(step.unavailable), step.may_miss, now_ms=now_ms)


# Withdrawal

# Returns whether a pass that has selected so many starts, and so many of them on cold minions, may
# select one more on a cold minion.
ColdStartLimit = Callable[[int, int], bool]
cold_start_limits: Registry[ColdStartLimit] = Registry("cold start limit")


@cold_start_limits.register("unlimited")
def unlimited(starts: int, cold: int) -> bool:
    """Allow any number, as a baseline."""
    return True


@cold_start_limits.register("share")
def within_share(starts: int, cold: int) -> bool:
    """Allow `MAX_COLD_SHARE` of the pass's starts, and always one, so that work never stands."""
    return cold < max(1, int((starts + 1) * MAX_COLD_SHARE))


@define(kw_only=True)
class ColdStarts:
    """Count one planning pass's starts, and those on cold minions of restored data centres."""

    restored: frozenset[str] = frozenset()
    limit: ColdStartLimit = field(factory=lambda: cold_start_limits.get("share"))
    starts: int = 0
    cold: int = 0

    def candidates(self, minions: list[Minion]) -> list[Minion]:
        """Return the minions that the next start may use."""
        if not self.restored or self.limit(self.starts, self.cold):
            return minions
        return [minion for minion in minions if not self.is_cold(minion)]

    def is_cold(self, minion: Minion) -> bool:
        """Return whether a minion is slow after its data centre was restored."""
        return minion.report.cold_ms > 0 and minion.report.data_center in self.restored

    def count(self, minion: Minion, number: int = 1) -> None:
        """Count a start on a minion, or take it back with a negative number."""
        self.starts += number
        if self.is_cold(minion):
            self.cold += number


def recently_restored(restored: dict[str, int], wall_ms: int) -> frozenset[str]:
    """Return the data centres whose evacuation was withdrawn a short while ago."""
    return frozenset(
        data_center
        for data_center, at_ms in restored.items()
        if wall_ms - at_ms < COLD_AFTER_RESTORE_MS
    )
