"""Observations of VMs and pools, merged from the sessions of entry processes."""

from __future__ import annotations

from hornbeamreach.systems.authority import holders
from hornbeamreach.systems.maintenance import VmObservation
from hornbeamreach.systems.spare_pool_moves import PoolLocation
from hornbeamreach.tables.control_state import ControlState, VmPhase
from hornbeamreach.tables.reports import PoolLoad, VmReport
from hornbeamreach.tables.sessions import MAX_ORPHANED_WORK_MS, SESSION_TIMEOUT_MS, SessionTable


def observe_vms(state: ControlState, session_table: SessionTable, now_ms: int) -> VmObservation:
    """Merge the reports of live sessions; a VM that none of them reports counts as down."""
    reports = _merge_reports(state, session_table, now_ms)
    up = {vm for vm, report in reports.items() if report.up}
    work_left: dict[str, int] = {}
    for holder, _ in holders(state):
        for vm, count in session_table.get(holder).busy_vms.items():
            work_left[vm] = work_left.get(vm, 0) + count
    return VmObservation(
        down=frozenset(state.table.vms.keys() - up),
        reported=frozenset(reports),
        boots={vm: report.boot_operation for vm, report in reports.items() if report.up},
        idle=frozenset(
            vm for vm in _draining_vms(state) if _is_idle(state, session_table, vm, now_ms)
        ),
        work_left=work_left,
    )


def _draining_vms(state: ControlState) -> list[str]:
    return [vm for vm, vm_state in state.vm_states.items() if vm_state.phase is VmPhase.DRAINING]


def _merge_reports(
    state: ControlState, session_table: SessionTable, now_ms: int
) -> dict[str, VmReport]:
    merged: dict[str, VmReport] = {}
    for holder, _ in holders(state):
        session = session_table.get(holder)
        if not session.is_live(now_ms):
            continue
        for vm, report in session.vm_reports.items():
            # If two entry processes disagree, the report that the VM is down takes precedence.
            if vm not in merged or not report.up:
                merged[vm] = report
    return merged


def _is_idle(state: ControlState, session_table: SessionTable, vm: str, now_ms: int) -> bool:
    """Return whether no calls and no tasks are left on a draining VM.

    Every process that could send calls there must have none in flight. The scheduling process
    must report that no task is left after all processes have applied the drain: before that,
    another process could have taken over scheduling and started a task.
    """
    index = state.vm_state(vm).index
    drain_known_ms = -1
    sessions = []
    for holder, grant in holders(state):
        if grant.data_center != state.table.vms[vm].data_center:
            continue
        session = session_table.get(holder)
        if not session.is_live(now_ms):
            if now_ms - session.renewed_ms < SESSION_TIMEOUT_MS + MAX_ORPHANED_WORK_MS:
                return False
            continue
        acked_ms = session.acked_ms(index)
        if acked_ms is None or session.busy_vms.get(vm, 0):
            return False
        drain_known_ms = max(drain_known_ms, acked_ms)
        sessions.append(session)
    return any(vm in s.idle_vms and s.reported_ms >= drain_known_ms for s in sessions)


def pool_loads(
    state: ControlState, session_table: SessionTable, now_ms: int
) -> dict[PoolLocation, PoolLoad]:
    """Return the loads that the scheduling processes report for their pools."""
    loads: dict[PoolLocation, PoolLoad] = {}
    for holder, grant in holders(state):
        session = session_table.get(holder)
        if session.is_live(now_ms):
            for pool, load in session.pool_loads.items():
                loads[PoolLocation(pool, grant.data_center)] = load
    return loads
