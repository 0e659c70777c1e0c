"""Choose busy VMs that take no new work so that another pool gets them.

Load pattern: a peak above what the fleet holds leaves a backlog that comes too late to be of use,
while the demand of another queue rises. Only an empty VM may move, and the backlog would refill
each VM for as long as it lasts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define

from hornbeamreach.registry import Registry
from hornbeamreach.systems.pool_moves import PoolDemands, useful_shortfall, vms_for_useful_work


@define(frozen=True, kw_only=True)
class DrainCandidate:
    """Describe a busy VM without long-running tasks."""

    vm: str
    pool: str
    # When the last of its runs ends, as far as that is known.
    empty_in_ms: int


DrainPolicy = Callable[[PoolDemands, Iterable[DrainCandidate]], list[str]]
drain_policies: Registry[DrainPolicy] = Registry("VM drain")


@drain_policies.register("none")
def drain_none(demands: PoolDemands, candidates: Iterable[DrainCandidate]) -> list[str]:
    """Drain no VM, as a baseline: pools give away what becomes idle by itself."""
    return []


@drain_policies.register("late_work_yields")
def late_work_yields(demands: PoolDemands, candidates: Iterable[DrainCandidate]) -> list[str]:
    """Drain VMs of pools that have late work only, as many as useful work elsewhere lacks."""
    wanted = sum(useful_shortfall(demand) for demand in demands.by_pool.values())
    idle = sum(len(demand.idle) for demand in demands.by_pool.values())
    wanted -= idle
    spare = {
        pool: demand.vms - vms_for_useful_work(demand) - len(demand.idle)
        for pool, demand in demands.by_pool.items()
        if demand.late_cpu_millis and not useful_shortfall(demand)
    }
    chosen = []
    for candidate in sorted(candidates, key=lambda item: (item.empty_in_ms, item.vm)):
        if len(chosen) >= wanted:
            break
        if spare.get(candidate.pool, 0) > 0:
            spare[candidate.pool] -= 1
            chosen.append(candidate.vm)
    return chosen
