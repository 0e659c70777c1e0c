"""Availability budgets of pools, racks and data centres."""

from __future__ import annotations

from collections.abc import Set

from hornbeamreach.tables.control_state import ControlState, VmPhase


def unavailable_vms(state: ControlState, also_down: Set[str]) -> set[str]:
    """Return the VMs that count against the budgets of their pools."""
    by_phase = {
        vm for vm, vm_state in state.vm_states.items() if vm_state.phase is not VmPhase.IN_SERVICE
    }
    return (by_phase | also_down) & state.table.vms.keys()


def exceeded_budget(state: ControlState, vm: str, also_down: Set[str]) -> str | None:
    """Return the budget that taking a VM out of service would exceed, or None."""
    row = state.table.vms[vm]
    name = state.pool_of(vm)
    pool = state.table.pools[name]
    down = unavailable_vms(state, also_down) | {vm}
    rows = [state.table.vms[other] for other in down if state.pool_of(other) == name]
    in_data_center = [other for other in rows if other.data_center == row.data_center]
    in_rack = [other for other in in_data_center if other.rack == row.rack]
    if len(rows) > pool.max_down:
        return f"pool {name}: max_down {pool.max_down}"
    if len(in_data_center) > pool.max_down_per_data_center:
        return f"pool {name}: max_down_per_data_center {pool.max_down_per_data_center}"
    if len(in_rack) > pool.max_down_per_rack:
        return f"pool {name}: max_down_per_rack {pool.max_down_per_rack}"
    return None
