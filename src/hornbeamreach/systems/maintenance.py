"""Plan the maintenance of VMs within the availability budgets."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.systems.availability_budget import exceeded_budget
from hornbeamreach.tables.control_state import (
    ControlState,
    MaintenanceOrder,
    OrderAction,
    VmPhase,
    VmState,
)

# A reboot is planned 1/PLAN_EARLY_DIVISOR of its interval early, to leave time for pending waves.
PLAN_EARLY_DIVISOR = 10


@define(frozen=True, kw_only=True)
class VmObservation:
    """Hold what is known of the VMs beyond the replicated state."""

    down: frozenset[str] = frozenset()
    # VMs that a platform reports on. The return of any other VM could not be observed.
    reported: frozenset[str] = frozenset()
    # The reboot operation after which each healthy VM last came up.
    boots: dict[str, str] = field(factory=dict)
    # VMs without work, as reported by every process that could have used them.
    idle: frozenset[str] = frozenset()
    # Calls and tasks on each VM, for choosing those that drain soonest.
    work_left: dict[str, int] = field(factory=dict)


@define(frozen=True, kw_only=True)
class PhaseTransition:
    """Move a VM to another phase."""

    vm: str
    expected_epoch: int
    phase: VmPhase


def boot_operation(vm: str, epoch: int) -> str:
    """Return the id of a reboot, so that the platform carries it out at most once."""
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
    state: ControlState, vm: str, vm_state: VmState, observation: VmObservation, now_ms: int
) -> VmPhase | None:
    """Return the next phase of a VM that is out of service, or None to wait."""
    order = state.orders.get(vm)
    if vm_state.phase is VmPhase.DRAINING:
        return _after_draining(order, vm in observation.idle)
    if vm_state.phase is VmPhase.REBOOTING:
        rebooted = observation.boots.get(vm) == boot_operation(vm, vm_state.epoch)
        return VmPhase.PROBATION if rebooted else None
    if vm_state.phase is VmPhase.PROBATION:
        probation_ms = state.table.pools[state.pool_of(vm)].probation_ms
        healthy = vm not in observation.down
        probation_over = now_ms - vm_state.since_ms >= probation_ms
        return VmPhase.IN_SERVICE if healthy and probation_over else None
    if vm_state.phase is VmPhase.OUT and order and order.action is OrderAction.RETURN:
        return VmPhase.PROBATION
    return None


def _after_draining(order: MaintenanceOrder | None, idle: bool) -> VmPhase | None:
    if order is None or order.action is OrderAction.RETURN:
        return VmPhase.IN_SERVICE
    if not idle:
        return None
    return VmPhase.OUT if order.action is OrderAction.KEEP_OUT else VmPhase.REBOOTING


def phase_transitions(
    state: ControlState, observation: VmObservation, now_ms: int
) -> list[PhaseTransition]:
    """List the next phases of the VMs that are out of service."""
    actions = []
    for vm in sorted(state.vm_states):
        vm_state = state.vm_states[vm]
        phase = next_phase(state, vm, vm_state, observation, now_ms)
        if phase is not None:
            actions.append(PhaseTransition(vm=vm, expected_epoch=vm_state.epoch, phase=phase))
    return actions


DrainOrderPolicy = Callable[[ControlState, VmObservation, list[str]], list[str]]
drain_order_policies: Registry[DrainOrderPolicy] = Registry("drain order")


@drain_order_policies.register("least_left_first")
def least_left_first(state: ControlState, observation: VmObservation, vms: list[str]) -> list[str]:
    """Put VMs ordered by operators first, then those with the least work left."""
    return sorted(
        vms, key=lambda vm: (state.orders[vm].planned, observation.work_left.get(vm, 0), vm)
    )


@drain_order_policies.register("by_name")
def by_name(state: ControlState, observation: VmObservation, vms: list[str]) -> list[str]:
    """Order VMs by name, as a baseline."""
    return sorted(vms)


def allowed_drains(
    state: ControlState, observation: VmObservation, *, drain_order: str = "least_left_first"
) -> list[PhaseTransition]:
    """List the VMs with orders that may start to drain within every budget."""
    pending = [
        vm
        for vm, order in state.orders.items()
        if order.action is not OrderAction.RETURN
        and vm in observation.reported
        and state.vm_state(vm).phase is VmPhase.IN_SERVICE
    ]
    unavailable = set(observation.down)
    actions = []
    for vm in drain_order_policies.get(drain_order)(state, observation, pending):
        if exceeded_budget(state, vm, unavailable) is None:
            unavailable.add(vm)
            epoch = state.vm_state(vm).epoch
            actions.append(PhaseTransition(vm=vm, expected_epoch=epoch, phase=VmPhase.DRAINING))
    return actions
