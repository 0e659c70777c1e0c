"""Order the steps that wait for minions.

Load pattern: in turn, each queue's demand rises to about five times its mean for some seconds,
which is more than its pool holds. It falls to a twentieth of the mean in between.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry


@define(frozen=True, kw_only=True)
class PendingStep:
    """Hold the inputs for ordering a pending step."""

    rank: int
    lasting: bool
    filler: bool
    # A run of the job is or was running: leaving the job half done would waste its work.
    begun: bool
    # Time left until the job's objective, less its remaining critical path.
    slack_ms: int
    # Time left until a late result is of no use to the caller, less the remaining critical path.
    useful_ms: int = 0
    waited_ms: int
    # Estimated processor time of one occurrence of the job, in core ms.
    work_core_ms: int
    # Wall time as at which the times above are described.
    at_ms: int = 0


class Standing(enum.IntEnum):
    """List what a step is to its caller; whatever team it is of, a lower one goes first."""

    LASTING = 0
    # The job can be on time, or late and still of use.
    USEFUL = 1
    USELESS = 2


def standing(step: PendingStep) -> Standing:
    """Return what a step is to its caller."""
    if step.lasting:
        return Standing.LASTING
    is_useful = step.slack_ms >= 0 or step.useful_ms >= 0
    return Standing.USEFUL if is_useful else Standing.USELESS


# Returns a sort key. Keys of steps that are described as at different times can be compared: a time
# in a key is a wall time, so that it doesn't change while time passes.
OrderingPolicy = Callable[[PendingStep], tuple]
ordering_policies: Registry[OrderingPolicy] = Registry("task order")

# Late jobs that have waited longer than this go before younger late jobs: four demand peaks of
# 4 s each on the users' sites.
AGEING_MS = 16_000


def changes_at_ms(step: PendingStep) -> float:
    """Return the wall time from which the step's sort key or its standing may be another one."""
    if step.lasting:
        return math.inf
    left_ms = [time_ms + 1 for time_ms in (step.slack_ms, step.useful_ms) if time_ms >= 0]
    if step.waited_ms < AGEING_MS:
        left_ms.append(AGEING_MS - step.waited_ms)
    return step.at_ms + min(left_ms, default=math.inf)


@ordering_policies.register("first_come")
def first_come(step: PendingStep) -> tuple:
    """Order by waiting time alone, as a baseline."""
    return (step.at_ms - step.waited_ms,)


@ordering_policies.register("begun_then_oldest")
def begun_then_oldest(step: PendingStep) -> tuple:
    """Put long-running tasks first, then jobs that can be on time: by rank, begun, then oldest.

    Late jobs wait until demand falls: begun jobs first, then aged ones, then the least work.
    """
    if step.lasting:
        return (0, int(step.filler), step.at_ms - step.waited_ms)
    if step.slack_ms >= 0:
        return (1, step.rank, int(not step.begun), step.at_ms - step.waited_ms)
    aged = step.waited_ms >= AGEING_MS
    return (2, int(not step.begun), int(not aged), step.work_core_ms)


@ordering_policies.register("useful_first")
def useful_first(step: PendingStep) -> tuple:
    """Put jobs that can be on time first, then late ones of use, then what is of no more use.

    Of jobs that can be on time the one with the least slack starts first. Of late ones, begun
    jobs come first, then the least work, so that most callers get a result. What is of no more
    use is finished last, aged jobs first.
    """
    if step.lasting:
        return (0, int(step.filler), step.at_ms - step.waited_ms)
    if step.slack_ms >= 0:
        return (1, step.rank, int(not step.begun), step.at_ms + step.slack_ms)
    if step.useful_ms >= 0:
        return (2, int(not step.begun), step.work_core_ms)
    aged = step.waited_ms >= AGEING_MS
    return (3, int(not step.begun), int(not aged), step.work_core_ms)
