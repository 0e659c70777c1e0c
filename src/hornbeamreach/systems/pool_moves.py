"""Move VMs between pools as their demand changes.

Load pattern: in turn, each queue's demand rises to about five times its mean for some seconds.
That is more than its pool holds, while the other pools idle. A move takes some seconds and
ends the runs on the VM. A peak above what the whole fleet holds leaves a backlog that comes too
late to be of use; it must not keep VMs from the queue whose demand rises next.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs
from attrs import define, field

from hornbeamreach.registry import Registry

# A pool gets VMs until its demand is at most this share of its capacity: tasks of a few cores
# leave some cores of each VM unused.
TARGET_UTILIZATION = 0.65
# A pool gives VMs away while its demand is at most this share of the remaining capacity.
SURPLUS_UTILIZATION = 0.5
# About 1 s of a VM in a pool costs as much as one move. Moving an idle VM to standby and back
# therefore pays off after two such periods and the time that the moves take.
STANDBY_AFTER_IDLE_MS = 3_000
# With a forecast, idle VMs of a pool move to standby sooner, and soonest where no jobs arrive.
STANDBY_AFTER_IDLE_FORECAST_MS = 2_000
STANDBY_AFTER_IDLE_QUIET_MS = 800
# Headroom in VMs, as a multiple of the square root of the VMs that the demand fills: relative
# fluctuations of many small demands shrink with their number.
HEADROOM_FACTOR = 1.5
# Share of the queued tasks that must start at once; the others follow as running ones end.
QUEUED_SHARE = 0.5
# A pool gives VMs away while it keeps this many times the VMs that it needs.
KEEP_FACTOR = 1.1


@define(frozen=True, kw_only=True)
class PoolDemand:
    """Hold a pool's VMs and its demand."""

    pool: str
    standby: bool = False
    vms: int = 0
    arriving: int = 0
    # CPU of one VM, and the demand of running and queued tasks, in 1/1000 core.
    vm_cpu_millis: int = 0
    demand_cpu_millis: int = 0
    # Of that demand, what runs already and what runs until it is cancelled.
    running_cpu_millis: int = 0
    lasting_cpu_millis: int = 0
    # Of what is queued, tasks of jobs whose results come too late to be of use.
    late_cpu_millis: int = 0
    # Forecast demand of arriving jobs when a VM that is moved now can work; 0 for no forecast.
    forecast_cpu_millis: int = 0
    # Minimum number of VMs, whatever the demand.
    minimum: int = 0
    # VMs without runs and their idle times in ms, the longest first.
    idle: tuple[tuple[str, int], ...] = ()

    @property
    def shortfall(self) -> int:
        """Return how many more VMs the demand needs."""
        if not self.vm_cpu_millis:
            return 0
        needed = -(-int(self.demand_cpu_millis / TARGET_UTILIZATION) // self.vm_cpu_millis)
        return max(needed, self.minimum) - self.vms - self.arriving

    @property
    def surplus(self) -> int:
        """Return how many VMs the pool does not need."""
        if self.standby:
            return self.vms
        if not self.vm_cpu_millis:
            return 0
        needed = -(-int(self.demand_cpu_millis / SURPLUS_UTILIZATION) // self.vm_cpu_millis)
        return max(0, self.vms - max(needed, self.minimum))


def vms_for_demand(demand: PoolDemand) -> int:
    """Return how many VMs the demand on a pool fills once a VM that is moved now can work."""
    if not demand.vm_cpu_millis:
        return 0
    queued = demand.demand_cpu_millis - demand.running_cpu_millis
    expected = max(
        demand.running_cpu_millis + QUEUED_SHARE * queued,
        demand.forecast_cpu_millis + demand.lasting_cpu_millis,
    )
    filled = expected / demand.vm_cpu_millis
    return math.ceil(filled + HEADROOM_FACTOR * math.sqrt(filled))


def without_late_work(demand: PoolDemand) -> PoolDemand:
    """Return a pool's demand once its short tasks have ended, without its late work.

    A pool with late work runs mostly tasks of late jobs, as useful ones start first.
    """
    if not demand.late_cpu_millis:
        return demand
    queued = demand.demand_cpu_millis - demand.running_cpu_millis - demand.late_cpu_millis
    return attrs.evolve(
        demand,
        demand_cpu_millis=demand.lasting_cpu_millis + queued,
        running_cpu_millis=demand.lasting_cpu_millis,
        late_cpu_millis=0,
    )


def vms_for_useful_work(demand: PoolDemand) -> int:
    """Return how many VMs a pool needs for work that is of use."""
    return max(demand.minimum, vms_for_demand(without_late_work(demand)))


def useful_shortfall(demand: PoolDemand) -> int:
    """Return how many more VMs a pool needs for work that is of use."""
    if demand.standby:
        return 0
    return max(0, vms_for_useful_work(demand) - demand.vms - demand.arriving)


@define(frozen=True, kw_only=True)
class VmMove:
    """Move a VM to another pool."""

    vm: str
    source: str
    pool: str


@define(frozen=True, kw_only=True)
class PoolDemands:
    """Hold the demands of all pools, by name."""

    by_pool: dict[str, PoolDemand] = field(factory=dict)


PoolMover = Callable[[PoolDemands], list[VmMove]]
pool_movers: Registry[PoolMover] = Registry("pool mover")


@pool_movers.register("fixed")
def fixed(demands: PoolDemands) -> list[VmMove]:
    """Move no VMs, as a baseline."""
    return []


@pool_movers.register("follow_turns")
def follow_turns(demands: PoolDemands) -> list[VmMove]:
    """Move idle VMs to the largest shortfalls first, and unneeded VMs to standby."""
    return _assign_vms(
        demands,
        {pool: demand.shortfall for pool, demand in demands.by_pool.items()},
        {pool: demand.surplus for pool, demand in demands.by_pool.items()},
        {pool: STANDBY_AFTER_IDLE_MS for pool in demands.by_pool},
    )


@pool_movers.register("follow_forecast")
def follow_forecast(demands: PoolDemands) -> list[VmMove]:
    """Move idle VMs to where they are needed soon, and release them sooner elsewhere."""
    shortfalls, surpluses, standby_after_ms = {}, {}, {}
    for pool, demand in demands.by_pool.items():
        for_demand = vms_for_demand(demand)
        needed = max(demand.minimum, for_demand)
        shortfalls[pool] = needed - demand.vms - demand.arriving
        kept = max(demand.minimum, math.ceil(for_demand * KEEP_FACTOR))
        surpluses[pool] = demand.vms if demand.standby else max(0, demand.vms - kept)
        standby_after_ms[pool] = (
            STANDBY_AFTER_IDLE_FORECAST_MS
            if demand.forecast_cpu_millis
            else STANDBY_AFTER_IDLE_QUIET_MS
        )
    return _assign_vms(demands, shortfalls, surpluses, standby_after_ms)


@pool_movers.register("useful_first")
def useful_first(demands: PoolDemands) -> list[VmMove]:
    """Follow the forecast, but serve late work only with VMs that no useful work needs."""
    has_late_work = any(demand.late_cpu_millis for demand in demands.by_pool.values())
    if not has_late_work or not any(map(useful_shortfall, demands.by_pool.values())):
        return follow_forecast(demands)
    by_pool = {pool: without_late_work(demand) for pool, demand in demands.by_pool.items()}
    moves = follow_forecast(PoolDemands(by_pool=by_pool))
    moved = {move.vm for move in moves}
    rest = {
        pool: attrs.evolve(
            demand,
            idle=tuple(item for item in demand.idle if item[0] not in moved),
            arriving=demand.arriving + sum(move.pool == pool for move in moves),
            vms=demand.vms - sum(move.source == pool for move in moves),
        )
        for pool, demand in demands.by_pool.items()
    }
    if any(map(useful_shortfall, rest.values())):
        return moves
    return moves + follow_forecast(PoolDemands(by_pool=rest))


def _assign_vms(
    demands: PoolDemands,
    shortfalls: dict[str, int],
    surpluses: dict[str, int],
    standby_after_ms: dict[str, int],
) -> list[VmMove]:
    """Move surplus VMs to the largest shortfalls first, the rest to standby once idle long."""
    moves: list[VmMove] = []
    sources = sorted(
        demands.by_pool.values(), key=lambda demand: (not demand.standby, -surpluses[demand.pool])
    )
    offers = [
        (source.pool, vm, idle_ms)
        for source in sources
        for vm, idle_ms in source.idle[: surpluses[source.pool]]
    ]
    targets = [
        demand.pool
        for demand in demands.by_pool.values()
        if not demand.standby and shortfalls[demand.pool] > 0
    ]
    for target in sorted(targets, key=lambda pool: -shortfalls[pool]):
        for _ in range(shortfalls[target]):
            offer = next((o for o in offers if o[0] != target), None)
            if offer is None:
                break
            offers.remove(offer)
            moves.append(VmMove(vm=offer[1], source=offer[0], pool=target))
    standby = next((demand.pool for demand in demands.by_pool.values() if demand.standby), None)
    if standby is not None:
        moves += [
            VmMove(vm=vm, source=pool, pool=standby)
            for pool, vm, idle_ms in offers
            if pool != standby and idle_ms >= standby_after_ms[pool]
        ]
    return moves
