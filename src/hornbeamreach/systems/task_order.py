"""Order in which waiting steps get minions.

Load pattern: queues take turns at about five times their mean, more than their pool holds,
for some seconds, and fall to a twentieth between.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry


@define(frozen=True, kw_only=True)
class WaitingStep:
    """Hold what the order of a waiting step depends on."""

    rank: int
    lasting: bool
    filler: bool
    # Whether a run of the job is at work or was: stopping half way wastes what was done.
    begun: bool
    # Time left until the job's objective, less the chain of work that is left.
    slack_ms: int
    waited_ms: int
    # Estimated processor time that the job still needs.
    work_core_ms: int
    # The team's use against its weighted share; above 1 it has more than its share.
    team_load: float = 0.0


Order = Callable[[WaitingStep], tuple]
task_orders: Registry[Order] = Registry("task order")

# Jobs that wait longer than this go before younger ones that are late as well: 4 turns of
# the demand, which take 4 s each on the users' sites.
AGEING_MS = 16_000


@task_orders.register("first_come")
def first_come(step: WaitingStep) -> tuple:
    """Order by waiting time alone; the baseline."""
    return (-step.waited_ms,)


@task_orders.register("begun_then_oldest")
def begun_then_oldest(step: WaitingStep) -> tuple:
    """Put lasting tasks first, then what can still be in time: begun jobs, then the oldest.

    What is late already waits for the valley, the least work first until it has aged.
    """
    if step.lasting:
        return (0, int(step.filler), -step.waited_ms)
    if step.slack_ms >= 0:
        return (1, step.rank, int(not step.begun), -step.waited_ms)
    aged = step.waited_ms >= AGEING_MS
    return (2, int(not step.begun), int(not aged), step.work_core_ms)
