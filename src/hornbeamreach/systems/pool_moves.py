"""Moves of machines between pools, to the pool whose turn it is.

Load pattern: one queue after the other asks about five times its mean for some seconds, more
than its pool holds, while the others idle; a move takes some seconds and ends what runs.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hornbeamreach.registry import Registry

# A pool gets machines until its demand takes at most this share of it: tasks of a few cores
# leave gaps on every machine.
TARGET_USE = 0.65
# A pool gives machines only while its demand stays below this share of the rest.
SURPLUS_USE = 0.5
# A machine costs as much in a pool for about 1 s as a move; parking it and fetching it back
# pays after twice that, and after the time that the moves themselves take.
PARK_AFTER_MS = 3_000


@define(frozen=True, kw_only=True)
class PoolLoad:
    """Hold what a pool has and is asked for."""

    pool: str
    standby: bool = False
    machines: int = 0
    arriving: int = 0
    # Processors of one machine, and what running and waiting tasks take, in 1/1000 core.
    machine_millis: int = 0
    demand_millis: int = 0
    # Machines that the pool keeps whatever its demand is.
    least: int = 0
    # Machines without any run, the longest idle first, with how long they have been idle.
    idle: tuple[tuple[str, int], ...] = ()

    @property
    def wanted(self) -> int:
        """Return how many more machines the demand asks for."""
        if not self.machine_millis:
            return 0
        needed = -(-int(self.demand_millis / TARGET_USE) // self.machine_millis)
        return max(needed, self.least) - self.machines - self.arriving

    @property
    def spare(self) -> int:
        """Return how many machines the pool can do without."""
        if self.standby:
            return self.machines
        if not self.machine_millis:
            return 0
        needed = -(-int(self.demand_millis / SURPLUS_USE) // self.machine_millis)
        return max(0, self.machines - max(needed, self.least))


@define(frozen=True, kw_only=True)
class MachineMove:
    """Name a machine and the pool that it should go to."""

    machine: str
    source: str
    pool: str


@define(frozen=True, kw_only=True)
class PoolLoads:
    """Hold the loads of all pools, by name."""

    loads: dict[str, PoolLoad] = field(factory=dict)


Mover = Callable[[PoolLoads], list[MachineMove]]
pool_movers: Registry[Mover] = Registry("pool mover")


@pool_movers.register("fixed")
def fixed(loads: PoolLoads) -> list[MachineMove]:
    """Move nothing; the baseline."""
    return []


@pool_movers.register("follow_turns")
def follow_turns(loads: PoolLoads) -> list[MachineMove]:
    """Bring idle machines to the pools that lack most, and park what nobody needs."""
    moves: list[MachineMove] = []
    givers = sorted(loads.loads.values(), key=lambda load: (not load.standby, -load.spare))
    offers = [
        (giver.pool, machine, idle_ms)
        for giver in givers
        for machine, idle_ms in giver.idle[: giver.spare]
    ]
    takers = [load for load in loads.loads.values() if not load.standby and load.wanted > 0]
    for taker in sorted(takers, key=lambda load: -load.wanted):
        for _ in range(taker.wanted):
            offer = next((o for o in offers if o[0] != taker.pool), None)
            if offer is None:
                break
            offers.remove(offer)
            moves.append(MachineMove(machine=offer[1], source=offer[0], pool=taker.pool))
    return moves + _park(loads, offers)


def _park(loads: PoolLoads, offers: list[tuple[str, str, int]]) -> list[MachineMove]:
    standby = next((load.pool for load in loads.loads.values() if load.standby), None)
    if standby is None:
        return []
    return [
        MachineMove(machine=machine, source=pool, pool=standby)
        for pool, machine, idle_ms in offers
        if pool != standby and idle_ms >= PARK_AFTER_MS
    ]
