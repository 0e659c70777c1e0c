"""Moving VMs between the spare pool and the pools that lack capacity."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.systems.budget import unavailable_vms
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.reports import PoolLoad

# A lack of one VM for this long is worth a move of cost 1, and an idle loan of one VM for
# this long and buffer cost 1 is worth the move back.
LACK_PAYBACK_MS = 4_000
IDLE_PAYBACK_MS = 20_000
# A pool with less than this part of its capacity in use has a VM to give back.
IDLE_PART = 0.5
# An imbalance fades when it turns into its opposite.
FADE_DIVISOR = 2


@define(frozen=True, order=True)
class Place:
    """Name the part of a pool in one data centre."""

    pool: str
    data_center: str


@define(frozen=True, kw_only=True)
class Move:
    """Move one VM to another pool."""

    vm: str
    expected_epoch: int
    pool: str


@define(kw_only=True)
class Imbalance:
    """Hold how long and how much a place has lacked or idled, in VM milliseconds."""

    lack_ms: float = 0.0
    idle_ms: float = 0.0


@define(kw_only=True)
class MoverTable:
    """Hold what the mover remembers between its ticks."""

    imbalances: dict[Place, Imbalance] = field(factory=dict)
    ticked_ms: int | None = None


Mover = Callable[[ControlState, dict[Place, PoolLoad], MoverTable, frozenset[str], int], list[Move]]
movers: Registry[Mover] = Registry("mover")


@movers.register("none")
def never(
    state: ControlState,
    loads: dict[Place, PoolLoad],
    table: MoverTable,
    down: frozenset[str],
    now_ms: int,
) -> list[Move]:
    """Move nothing, as a baseline."""
    return []


@movers.register("at_once")
def at_once(
    state: ControlState,
    loads: dict[Place, PoolLoad],
    table: MoverTable,
    down: frozenset[str],
    now_ms: int,
) -> list[Move]:
    """Move at every lack and back at every idleness, as a baseline without hysteresis."""
    moves = _lend(state, {p: _lacking_vms(load) for p, load in loads.items()}, down)
    idle = {place for place, load in loads.items() if _idle_vms(load) > 0}
    return moves + _give_back(state, idle)


@movers.register("payback")
def payback(
    state: ControlState,
    loads: dict[Place, PoolLoad],
    table: MoverTable,
    down: frozenset[str],
    now_ms: int,
) -> list[Move]:
    """Move once a lack, or the cost of an idle loan, has outweighed the cost of a move."""
    elapsed_ms = 0 if table.ticked_ms is None else now_ms - table.ticked_ms
    table.ticked_ms = now_ms
    lacking: dict[Place, int] = {}
    idle: set[Place] = set()
    for place, load in loads.items():
        pool = state.table.pools.get(place.pool)
        if pool is None:
            continue
        imbalance = table.imbalances.setdefault(place, Imbalance())
        _accumulate(imbalance, load, elapsed_ms)
        if imbalance.lack_ms >= pool.move_cost * LACK_PAYBACK_MS:
            lacking[place] = _lacking_vms(load)
        if imbalance.idle_ms * pool.buffer_cost >= pool.move_cost * IDLE_PAYBACK_MS:
            idle.add(place)
    moves = _lend(state, lacking, down) + _give_back(state, idle)
    for move in moves:
        place = Place(move.pool, state.table.vms[move.vm].data_center)
        table.imbalances.pop(place, None)
        source = Place(state.pool_of(move.vm), place.data_center)
        table.imbalances.pop(source, None)
    return moves


def _accumulate(imbalance: Imbalance, load: PoolLoad, elapsed_ms: int) -> None:
    lack, idle = _lacking_vms(load), _idle_vms(load)
    if lack:
        imbalance.lack_ms += lack * elapsed_ms
        imbalance.idle_ms /= FADE_DIVISOR
    elif idle:
        imbalance.idle_ms += idle * elapsed_ms
        imbalance.lack_ms /= FADE_DIVISOR


def _lacking_vms(load: PoolLoad) -> int:
    """Return how many VMs the waiting work would fill beyond what is free."""
    if not load.vm_cpu_millis:
        return 1 if load.waiting_cpu_millis else 0
    free = max(0, load.capacity_cpu_millis - load.used_cpu_millis)
    beyond = load.waiting_cpu_millis - free
    return max(0, -(-beyond // load.vm_cpu_millis)) if beyond > 0 else 0


def _idle_vms(load: PoolLoad) -> int:
    """Return how many VMs a pool could do without."""
    if not load.vm_cpu_millis or load.waiting_cpu_millis:
        return 0
    needed = load.used_cpu_millis / IDLE_PART
    return max(0, int((load.capacity_cpu_millis - needed) // load.vm_cpu_millis))


def _lend(state: ControlState, lacking: dict[Place, int], down: frozenset[str]) -> list[Move]:
    """Lend spare VMs to the places that lack most, within their data centre."""
    out = unavailable_vms(state, down)
    moves = []
    lent: set[str] = set()
    for place, count in sorted(lacking.items(), key=lambda item: (-item[1], item[0])):
        row = state.table.pools.get(place.pool)
        if row is None or row.spare or count <= 0:
            continue
        free = [
            vm
            for vm, vm_row in sorted(state.table.vms.items())
            if vm_row.data_center == place.data_center
            and state.table.pools[state.pool_of(vm)].spare
            and vm not in out
            and vm not in lent
            and vm not in state.orders
        ]
        for vm in free[:count]:
            lent.add(vm)
            epoch = state.vm_state(vm).epoch
            moves.append(Move(vm=vm, expected_epoch=epoch, pool=place.pool))
    return moves


def _give_back(state: ControlState, idle: set[Place]) -> list[Move]:
    """Give one VM on loan back from each idle place."""
    moves = []
    for place in sorted(idle):
        on_loan = [
            vm
            for vm in sorted(state.loans)
            if state.loans[vm] == place.pool
            and state.table.vms[vm].data_center == place.data_center
        ]
        if on_loan:
            vm = on_loan[0]
            home = state.table.vms[vm].pool
            epoch = state.vm_state(vm).epoch
            moves.append(Move(vm=vm, expected_epoch=epoch, pool=home))
    return moves
