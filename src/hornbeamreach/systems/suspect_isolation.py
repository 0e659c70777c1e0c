"""Choose the minions on which the suspects of a crash run without harm to other jobs.

Load pattern: a task crashes each minion that starts it, about 10 ms after its start, and the minion
is back 4 s later. About 15 runs of two to four other jobs were beside it, and any of them may have
caused the crash. At a queue's peak no minion of the pool becomes empty by itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.systems.task_placement import PlacementRequest, allows, fits
from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJob, StepSpec, parse_task_key, step_key

# After this, twice the time in which a pool gets another VM, a suspect for which no minion can
# become empty is placed beside runs of other jobs, and others may hold any minion of their pool.
SUSPECT_MAX_WAIT_MS = 8_000
# A task under which this many minions have crashed starts on a minion for itself or not at all.
MAX_CRASHES_IN_COMPANY = 3
# A step that waited this long may hold more minions while other work waits.
WIDEN_AFTER_MS = 4_000
# For this long a suspect waits for another minion than those that crashed under it.
AVOID_CRASHED_MS = 3_000
# Divisors of a pool's usable minions: how many are held or exclusive for suspects while other work
# waits, how many for a step that waited, and how many stay open to new work where nothing else
# waits. With half of an idle pool for suspects, they waited while most of it was empty.
HELD_DIVISOR = 4
WIDENED_DIVISOR = 2
OPEN_DIVISOR = 4
# A minion that was held in the last pass is held again unless another is empty this much sooner.
HOLD_AGAIN_MS = 300
FULL_PERCENT = 100
MIN_MEASURED_PERCENT = 3


def is_suspect(job: StepJob, key: str) -> bool:
    """Return whether a minion crashed under a task, or under a member of its gang."""
    occurrence, step, _ = parse_task_key(key)
    if job.spec.steps[step].gang:
        prefix = f"{step_key(occurrence, step)}."
        return any(t.crashes for k, t in job.tasks.items() if k.startswith(prefix))
    task = job.tasks.get(key)
    return task is not None and task.crashes > 0


def suspect_tasks(job: StepJob) -> frozenset[str]:
    """Return the keys of a job's waiting tasks under which minions crashed."""
    return frozenset(
        key for key, task in job.tasks.items() if task.crashes and not task.done and not task.minion
    )


def max_held(usable: int) -> int:
    """Return how many of a pool's usable minions may be held or exclusive for suspects."""
    return max(1, usable // HELD_DIVISOR)


def max_widened(usable: int) -> int:
    """Return how many minions may be held or exclusive for a step that has waited."""
    return max(1, usable // WIDENED_DIVISOR)


def max_idle(usable: int) -> int:
    """Return how many minions may be exclusive once all other work is placed."""
    return max(1, usable - max(1, usable // OPEN_DIVISOR))


def minions_needed(step: StepSpec, minions: Iterable[Minion]) -> int:
    """Return how many empty minions a whole gang fills; one for other steps."""
    if not step.gang:
        return 1
    per_minion = max((_tasks_per_minion(step, m.report.capacity) for m in minions), default=1)
    return -(-step.count // max(1, per_minion))


def _tasks_per_minion(step: StepSpec, capacity: Resources) -> int:
    needs = step.needs
    pairs = (
        (needs.cpu_millis, capacity.cpu_millis),
        (needs.memory_mb, capacity.memory_mb),
        (needs.accelerators, capacity.accelerators),
    )
    fitting = min((whole // amount for amount, whole in pairs if amount), default=step.count)
    return min(fitting, step.max_per_minion) if step.max_per_minion else fitting


@define(frozen=True, kw_only=True)
class HoldRequest:
    """Describe the suspect that finds no minion."""

    placement: PlacementRequest
    now_ms: int
    # Minions that were held for the job in the last pass.
    held_before: frozenset[str] = frozenset()
    # Known results of `empty_in_ms` at this time, by minion.
    empty_in: dict[str, int] = field(factory=dict)


HoldPolicy = Callable[[HoldRequest, list[Minion]], list[Minion]]
hold_policies: Registry[HoldPolicy] = Registry("minion hold")


@hold_policies.register("hold_none")
def hold_none(request: HoldRequest, minions: list[Minion]) -> list[Minion]:
    """Hold no minion, as a baseline: a suspect waits until one becomes empty by itself."""
    return []


@hold_policies.register("soonest_empty")
def soonest_empty(request: HoldRequest, minions: list[Minion]) -> list[Minion]:
    """Order the minions that become empty by how soon they do."""
    suitable = [m for m in minions if becomes_empty(request.placement, m)]

    def cost(minion: Minion) -> tuple:
        name = minion.minion_id
        left_ms = request.empty_in.get(name)
        if left_ms is None:
            left_ms = request.empty_in[name] = empty_in_ms(minion, request.now_ms)
        if name in request.held_before:
            left_ms -= HOLD_AGAIN_MS
        return (left_ms, len(minion.runs), name)

    return sorted(suitable, key=cost)


def becomes_empty(request: PlacementRequest, minion: Minion) -> bool:
    """Return whether a suspect fits on the minion once the runs of other jobs have ended."""
    job_id = request.job_id
    if not allows(request, minion):
        return False
    others_last = any(run.lasting and run.job_id != job_id for run in minion.runs.values())
    return not others_last and request.needs.fits_in(_room_without_others(job_id, minion))


def _room_without_others(job_id: str, minion: Minion) -> Resources:
    room = minion.report.capacity
    if job_id in minion.run_counts:
        for run in minion.runs.values():
            if run.job_id == job_id:
                room = room.minus(run.needs)
    return room


def empty_in_ms(minion: Minion, now_ms: int) -> int:
    """Estimate when the last of the minion's runs ends, in ms from now."""
    return max((_remaining_ms(run, now_ms) for run in minion.runs.values()), default=0)


def _remaining_ms(run: ReservedRun, now_ms: int) -> int:
    elapsed_ms = now_ms - run.started_ms
    if run.phase is RunPhase.RUNNING and run.percent >= MIN_MEASURED_PERCENT:
        length_ms = (run.last_listed_ms - run.started_ms) * FULL_PERCENT // run.percent
        return max(0, length_ms - elapsed_ms)
    return max(0, run.expected_ms - elapsed_ms)


def least_company(request: PlacementRequest, minions: list[Minion]) -> Minion | None:
    """Choose the minion with the fewest runs of other jobs, without long-running ones if any."""
    suitable = [m for m in minions if fits(request, m, alone=False)]
    return min(suitable, key=lambda minion: _harm(request, minion), default=None)


def _harm(request: PlacementRequest, minion: Minion) -> tuple:
    others = [run for run in minion.runs.values() if run.job_id != request.job_id]
    return (
        any(run.lasting for run in others),
        len(others),
        minion.minion_id in request.avoided,
        minion.minion_id,
    )
