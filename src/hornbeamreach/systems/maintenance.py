"""Planning of maintenance and its permits, within the availability budgets."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.systems.budget import exceeded_budget
from hornbeamreach.tables.control_state import (
    ControlState,
    MaintenanceOrder,
    OrderAction,
    VmPhase,
    VmState,
)

# A VM's turn comes this part of its interval early, to leave room for waves that wait.
PLAN_EARLY_DIVISOR = 10


@define(frozen=True, kw_only=True)
class VmFacts:
    """Hold what is known of the VMs apart from the replicated state."""

    down: frozenset[str] = frozenset()
    # VMs that a platform reports on; of the others nobody could tell when they come back.
    reported: frozenset[str] = frozenset()
    # The reboot that each healthy VM last came up from.
    boots: dict[str, str] = field(factory=dict)
    # VMs on which nothing runs, as every process that could have used them reports.
    idle: frozenset[str] = frozenset()
    # Work left on each VM, for choosing those that drain soonest.
    work_left: dict[str, int] = field(factory=dict)


@define(frozen=True, kw_only=True)
class PhaseAction:
    """Move a VM to a phase."""

    vm: str
    expected_epoch: int
    phase: VmPhase


def boot_operation(vm: str, epoch: int) -> str:
    """Return the id under which a reboot is asked of the platform, at most once."""
    return f"{vm}.{epoch}"


def due_vms(state: ControlState, now_ms: int) -> list[str]:
    """List the VMs whose regular reboot is due, the longest overdue first."""
    due = []
    for vm in state.table.vms:
        interval = state.table.pools[state.pool_of(vm)].maintenance_interval_ms
        if not interval or vm in state.orders:
            continue
        vm_state = state.vm_state(vm)
        early_ms = interval - interval // PLAN_EARLY_DIVISOR
        due_ms = vm_state.maintained_ms + early_ms
        if vm_state.phase is VmPhase.IN_SERVICE and due_ms <= now_ms:
            due.append((due_ms, vm))
    return [vm for _, vm in sorted(due)]


def next_phase(
    state: ControlState, vm: str, vm_state: VmState, facts: VmFacts, now_ms: int
) -> VmPhase | None:
    """Return the phase that a VM out of service goes to now, or None to wait."""
    order = state.orders.get(vm)
    if vm_state.phase is VmPhase.DRAINING:
        return _after_draining(order, vm in facts.idle)
    if vm_state.phase is VmPhase.REBOOTING:
        came_up = facts.boots.get(vm) == boot_operation(vm, vm_state.epoch)
        return VmPhase.PROBATION if came_up else None
    if vm_state.phase is VmPhase.PROBATION:
        probation_ms = state.table.pools[state.pool_of(vm)].probation_ms
        healthy = vm not in facts.down
        served = now_ms - vm_state.since_ms >= probation_ms
        return VmPhase.IN_SERVICE if healthy and served else None
    if vm_state.phase is VmPhase.OUT and order and order.action is OrderAction.RETURN:
        return VmPhase.PROBATION
    return None


def _after_draining(order: MaintenanceOrder | None, idle: bool) -> VmPhase | None:
    if order is None or order.action is OrderAction.RETURN:
        return VmPhase.IN_SERVICE
    if not idle:
        return None
    return VmPhase.OUT if order.action is OrderAction.KEEP_OUT else VmPhase.REBOOTING


def progress(state: ControlState, facts: VmFacts, now_ms: int) -> list[PhaseAction]:
    """List the next phases of the VMs that are out of service."""
    actions = []
    for vm in sorted(state.vm_states):
        vm_state = state.vm_states[vm]
        phase = next_phase(state, vm, vm_state, facts, now_ms)
        if phase is not None:
            actions.append(PhaseAction(vm=vm, expected_epoch=vm_state.epoch, phase=phase))
    return actions


DrainOrder = Callable[[ControlState, VmFacts, list[str]], list[str]]
drain_orders: Registry[DrainOrder] = Registry("drain order")


@drain_orders.register("least_left_first")
def least_left_first(state: ControlState, facts: VmFacts, vms: list[str]) -> list[str]:
    """Take operators' orders first, then the VMs with the least work left."""
    return sorted(vms, key=lambda vm: (state.orders[vm].planned, facts.work_left.get(vm, 0), vm))


@drain_orders.register("by_name")
def by_name(state: ControlState, facts: VmFacts, vms: list[str]) -> list[str]:
    """Take VMs by name, as a baseline."""
    return sorted(vms)


def permits(
    state: ControlState, facts: VmFacts, *, drain_order: str = "least_left_first"
) -> list[PhaseAction]:
    """List the ordered VMs that may begin to drain within every budget."""
    waiting = [
        vm
        for vm, order in state.orders.items()
        if order.action is not OrderAction.RETURN
        and vm in facts.reported
        and state.vm_state(vm).phase is VmPhase.IN_SERVICE
    ]
    taken = set(facts.down)
    actions = []
    for vm in drain_orders.get(drain_order)(state, facts, waiting):
        if exceeded_budget(state, vm, taken) is None:
            taken.add(vm)
            epoch = state.vm_state(vm).epoch
            actions.append(PhaseAction(vm=vm, expected_epoch=epoch, phase=VmPhase.DRAINING))
    return actions
