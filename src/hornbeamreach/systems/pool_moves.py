"""Move VMs between pools as their demand changes.

Load pattern: in turn, each queue's demand rises to about five times its mean for some seconds.
That is more than its pool holds, while the other pools idle. A move takes some seconds and
ends the runs on the VM.
"""

from __future__ import annotations

from collections.abc import Callable

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
    moves: list[VmMove] = []
    sources = sorted(
        demands.by_pool.values(), key=lambda demand: (not demand.standby, -demand.surplus)
    )
    offers = [
        (source.pool, vm, idle_ms)
        for source in sources
        for vm, idle_ms in source.idle[: source.surplus]
    ]
    targets = [
        demand for demand in demands.by_pool.values() if not demand.standby and demand.shortfall > 0
    ]
    for target in sorted(targets, key=lambda demand: -demand.shortfall):
        for _ in range(target.shortfall):
            offer = next((o for o in offers if o[0] != target.pool), None)
            if offer is None:
                break
            offers.remove(offer)
            moves.append(VmMove(vm=offer[1], source=offer[0], pool=target.pool))
    return moves + _return_to_standby(demands, offers)


def _return_to_standby(demands: PoolDemands, offers: list[tuple[str, str, int]]) -> list[VmMove]:
    standby = next((demand.pool for demand in demands.by_pool.values() if demand.standby), None)
    if standby is None:
        return []
    return [
        VmMove(vm=vm, source=pool, pool=standby)
        for pool, vm, idle_ms in offers
        if pool != standby and idle_ms >= STANDBY_AFTER_IDLE_MS
    ]
