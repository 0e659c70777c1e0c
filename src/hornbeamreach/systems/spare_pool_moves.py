"""Move VMs between the spare pool and the pools that lack capacity."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.systems.availability_budget import unavailable_vms
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.reports import PoolLoad

# A shortfall of one VM for SHORTFALL_PAYBACK_MS outweighs a move of cost 1. At a buffer cost
# of 1, one idle VM on loan for IDLE_PAYBACK_MS outweighs the move back.
SHORTFALL_PAYBACK_MS = 4_000
IDLE_PAYBACK_MS = 20_000
# A pool below this utilization returns VMs on loan.
IDLE_UTILIZATION = 0.5
# An accumulated imbalance is divided by this in each tick with the opposite imbalance.
DECAY_DIVISOR = 2


@define(frozen=True, order=True)
class PoolLocation:
    """Identify the part of a pool in one data centre."""

    pool: str
    data_center: str


@define(frozen=True, kw_only=True)
class SpareVmMove:
    """Move one VM to another pool."""

    vm: str
    expected_epoch: int
    pool: str


@define(kw_only=True)
class Imbalance:
    """Hold a pool's accumulated shortfall and idle capacity, in VM ms."""

    shortfall_vm_ms: float = 0.0
    idle_vm_ms: float = 0.0


@define(kw_only=True)
class MoverState:
    """Hold the mover's state between ticks."""

    imbalances: dict[PoolLocation, Imbalance] = field(factory=dict)
    last_tick_ms: int | None = None


Mover = Callable[
    [ControlState, dict[PoolLocation, PoolLoad], MoverState, frozenset[str], int], list[SpareVmMove]
]
movers: Registry[Mover] = Registry("mover")


@movers.register("none")
def no_moves(
    state: ControlState,
    loads: dict[PoolLocation, PoolLoad],
    mover_state: MoverState,
    down: frozenset[str],
    now_ms: int,
) -> list[SpareVmMove]:
    """Move no VMs, as a baseline."""
    return []


@movers.register("at_once")
def at_once(
    state: ControlState,
    loads: dict[PoolLocation, PoolLoad],
    mover_state: MoverState,
    down: frozenset[str],
    now_ms: int,
) -> list[SpareVmMove]:
    """Move VMs at every shortfall or idle loan, as a baseline without hysteresis."""
    moves = _lend_spare_vms(
        state, {target: _shortfall_vms(load) for target, load in loads.items()}, down
    )
    idle = {location for location, load in loads.items() if _idle_vms(load) > 0}
    return moves + _return_loans(state, idle)


@movers.register("payback")
def payback(
    state: ControlState,
    loads: dict[PoolLocation, PoolLoad],
    mover_state: MoverState,
    down: frozenset[str],
    now_ms: int,
) -> list[SpareVmMove]:
    """Move VMs once a shortfall or an idle loan has cost more than a move."""
    elapsed_ms = 0 if mover_state.last_tick_ms is None else now_ms - mover_state.last_tick_ms
    mover_state.last_tick_ms = now_ms
    shortfalls: dict[PoolLocation, int] = {}
    idle: set[PoolLocation] = set()
    for location, load in loads.items():
        pool = state.table.pools.get(location.pool)
        if pool is None:
            continue
        imbalance = mover_state.imbalances.setdefault(location, Imbalance())
        _accumulate(imbalance, load, elapsed_ms)
        if imbalance.shortfall_vm_ms >= pool.move_cost * SHORTFALL_PAYBACK_MS:
            shortfalls[location] = _shortfall_vms(load)
        if imbalance.idle_vm_ms * pool.buffer_cost >= pool.move_cost * IDLE_PAYBACK_MS:
            idle.add(location)
    moves = _lend_spare_vms(state, shortfalls, down) + _return_loans(state, idle)
    for move in moves:
        location = PoolLocation(move.pool, state.table.vms[move.vm].data_center)
        mover_state.imbalances.pop(location, None)
        source = PoolLocation(state.pool_of(move.vm), location.data_center)
        mover_state.imbalances.pop(source, None)
    return moves


def _accumulate(imbalance: Imbalance, load: PoolLoad, elapsed_ms: int) -> None:
    shortfall, idle = _shortfall_vms(load), _idle_vms(load)
    if shortfall:
        imbalance.shortfall_vm_ms += shortfall * elapsed_ms
        imbalance.idle_vm_ms /= DECAY_DIVISOR
    elif idle:
        imbalance.idle_vm_ms += idle * elapsed_ms
        imbalance.shortfall_vm_ms /= DECAY_DIVISOR


def _shortfall_vms(load: PoolLoad) -> int:
    """Return how many more VMs the queued work needs beyond free capacity."""
    if not load.vm_cpu_millis:
        return 1 if load.waiting_cpu_millis else 0
    free_cpu_millis = max(0, load.capacity_cpu_millis - load.used_cpu_millis)
    missing_cpu_millis = load.waiting_cpu_millis - free_cpu_millis
    return max(0, -(-missing_cpu_millis // load.vm_cpu_millis)) if missing_cpu_millis > 0 else 0


def _idle_vms(load: PoolLoad) -> int:
    """Return how many VMs a pool does not need."""
    if not load.vm_cpu_millis or load.waiting_cpu_millis:
        return 0
    needed_cpu_millis = load.used_cpu_millis / IDLE_UTILIZATION
    return max(0, int((load.capacity_cpu_millis - needed_cpu_millis) // load.vm_cpu_millis))


def _lend_spare_vms(
    state: ControlState, shortfalls: dict[PoolLocation, int], down: frozenset[str]
) -> list[SpareVmMove]:
    """Lend spare VMs within a data centre, to the largest shortfalls first."""
    unavailable = unavailable_vms(state, down)
    moves = []
    lent: set[str] = set()
    for location, count in sorted(shortfalls.items(), key=lambda item: (-item[1], item[0])):
        row = state.table.pools.get(location.pool)
        if row is None or row.spare or count <= 0:
            continue
        candidates = [
            vm
            for vm, vm_row in sorted(state.table.vms.items())
            if vm_row.data_center == location.data_center
            and state.table.pools[state.pool_of(vm)].spare
            and vm not in unavailable
            and vm not in lent
            and vm not in state.orders
        ]
        for vm in candidates[:count]:
            lent.add(vm)
            epoch = state.vm_state(vm).epoch
            moves.append(SpareVmMove(vm=vm, expected_epoch=epoch, pool=location.pool))
    return moves


def _return_loans(state: ControlState, idle: set[PoolLocation]) -> list[SpareVmMove]:
    """Return one VM on loan from each idle location."""
    moves = []
    for location in sorted(idle):
        on_loan = [
            vm
            for vm in sorted(state.loans)
            if state.loans[vm] == location.pool
            and state.table.vms[vm].data_center == location.data_center
        ]
        if on_loan:
            vm = on_loan[0]
            home = state.table.vms[vm].pool
            epoch = state.vm_state(vm).epoch
            moves.append(SpareVmMove(vm=vm, expected_epoch=epoch, pool=home))
    return moves
