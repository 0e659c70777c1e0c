"""Decide when a task is given up because minions crash under it, and when it is cleared.

Load pattern: a task crashes each minion that starts it, within moments of the start, along with
the runs of other jobs there. Minions also crash for other reasons, a few at a time, so a run that
was on a crashed minion is a suspect at most; only a crash of a minion that ran nothing of other
jobs is evidence against its job alone. A job that is given up explains all crashes it was in, so
the tasks that crashed only beside it need no minion for themselves any more.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from attrs import define

from hornbeamreach.registry import Registry
from hornbeamreach.tables.minions import ReservedRun, RunPhase
from hornbeamreach.tables.workload import StepJob, TaskRecord

# A task may be given up once this many minions have crashed under runs known to have begun.
CRASHES_TO_GIVE_UP = 2
# The same for a long-running task: it is there for every crash of its minions, whatever the cause.
LASTING_CRASHES_TO_GIVE_UP = 3
# The same for runs ordered there, some of which may not have begun. All but the first were ordered
# to minions that had just answered, as one that was down already shows nothing.
ORDERED_CRASHES_TO_GIVE_UP = 4
# A task that crashed more often is not cleared by another job's end: it may be the cause too, and
# its count would begin anew.
MAX_EXPLAINED_CRASHES = 2
# A long-running task that was at work for this long before the crash did not cause it.
SETTLED_MS = 5_000
# A long-running suspect is cleared after this time at work, doubled for each earlier crash.
CLEARED_AFTER_MS = SETTLED_MS
MAX_CLEARING_DOUBLINGS = 5
FULL_PERCENT = 100


@define(frozen=True, kw_only=True)
class CrashHistory:
    """Hold the crashes counted under a task."""

    crashes: int
    # How many of them while the task's run was known to have begun.
    begun_crashes: int
    # Whether only runs of the task's own job were on the minion of the latest crash.
    latest_solo: bool
    # Whether the task is long-running.
    lasting: bool = False


GivingUpPolicy = Callable[[CrashHistory], bool]

giving_up_policies: Registry[GivingUpPolicy] = Registry("giving up policy")


@giving_up_policies.register("count")
def is_given_up_by_count(history: CrashHistory) -> bool:
    """Return whether enough minions crashed, whatever else ran there: the plain baseline.

    Load pattern: every task of the fleet is alone on its minion.
    """
    return history.crashes >= CRASHES_TO_GIVE_UP


@giving_up_policies.register("solo")
def is_given_up_after_solo_crash(history: CrashHistory) -> bool:
    """Return whether enough minions crashed, the latest one with runs of the job alone.

    Load pattern: a task that crashes its minions shares them with tasks that must not be given up,
    and other tasks are ordered to minions that are down already.
    """
    needed = LASTING_CRASHES_TO_GIVE_UP if history.lasting else CRASHES_TO_GIVE_UP
    enough = history.begun_crashes >= needed or history.crashes >= ORDERED_CRASHES_TO_GIVE_UP
    return enough and history.latest_solo


def is_settled(run: ReservedRun) -> bool:
    """Return whether a run is long-running and was at work for too long to have caused a crash."""
    listed_ms = max(0, run.last_listed_ms - run.started_ms)
    return run.lasting and run.earlier_ms + listed_ms >= SETTLED_MS


def clearing_ms(crashes: int) -> int:
    """Return the time at work in ms that clears a long-running suspect."""
    return CLEARED_AFTER_MS << min(max(0, crashes - 1), MAX_CLEARING_DOUBLINGS)


def is_cleared(run: ReservedRun, crashes: int, now_ms: int) -> bool:
    """Return whether a long-running suspect has been at work for long enough."""
    at_work = run.phase is RunPhase.RUNNING and run.percent == FULL_PERCENT
    return run.lasting and at_work and now_ms - run.last_progress_ms >= clearing_ms(crashes)


def clear_task(task: TaskRecord) -> None:
    """Clear a task of having caused a crash."""
    task.crashes = task.begun_crashes = 0
    task.crashed_incarnations = []


def clear_bystanders(jobs: Collection[StepJob]) -> None:
    """Clear the tasks that crashed only beside jobs that were given up for their crashes."""
    explained = {
        incarnation
        for job in jobs
        if job.failure_reason
        for task in job.tasks.values()
        for incarnation in task.crashed_incarnations
        if incarnation
    }
    if not explained:
        return
    for job in jobs:
        if job.ended:
            continue
        for task in job.tasks.values():
            few = 0 < task.crashes <= MAX_EXPLAINED_CRASHES
            if few and explained.issuperset(task.crashed_incarnations):
                clear_task(task)
