"""Facts about VMs, gathered from the sessions of entry processes."""

from __future__ import annotations

from hornbeamreach.systems.authority import holders
from hornbeamreach.systems.maintenance import VmObservation
from hornbeamreach.systems.spare_pool_moves import PoolLocation
from hornbeamreach.tables.control_state import ControlState, VmPhase
from hornbeamreach.tables.reports import PoolLoad, VmReport
from hornbeamreach.tables.sessions import HOLD_MS, SESSION_MS, SessionTable


def vm_facts(state: ControlState, table: SessionTable, now_ms: int) -> VmObservation:
    """Merge what live sessions report; a VM that nobody reports counts as down."""
    reports = _merged_reports(state, table, now_ms)
    up = {vm for vm, report in reports.items() if report.up}
    work_left: dict[str, int] = {}
    for holder, _ in holders(state):
        for vm, count in table.get(holder).busy_vms.items():
            work_left[vm] = work_left.get(vm, 0) + count
    return VmObservation(
        down=frozenset(state.table.vms.keys() - up),
        reported=frozenset(reports),
        boots={vm: report.boot_operation for vm, report in reports.items() if report.up},
        idle=frozenset(vm for vm in _draining(state) if _is_idle(state, table, vm, now_ms)),
        work_left=work_left,
    )


def _draining(state: ControlState) -> list[str]:
    return [vm for vm, vm_state in state.vm_states.items() if vm_state.phase is VmPhase.DRAINING]


def _merged_reports(state: ControlState, table: SessionTable, now_ms: int) -> dict[str, VmReport]:
    merged: dict[str, VmReport] = {}
    for holder, _ in holders(state):
        session = table.get(holder)
        if not session.is_live(now_ms):
            continue
        for vm, report in session.vm_reports.items():
            # Of two entry processes that disagree, the one that sees the VM down counts.
            if vm not in merged or not report.up:
                merged[vm] = report
    return merged


def _is_idle(state: ControlState, table: SessionTable, vm: str, now_ms: int) -> bool:
    """Tell whether nothing is left on a draining VM.

    Every process that could send calls there must have none, and the process that
    schedules must say that no task is left after all have learnt of the drain: before
    that another one could have taken over and started a task.
    """
    index = state.vm_state(vm).index
    learnt_ms = -1
    sessions = []
    for holder, grant in holders(state):
        if grant.data_center != state.table.vms[vm].data_center:
            continue
        session = table.get(holder)
        if not session.is_live(now_ms):
            if now_ms - session.renewed_ms < SESSION_MS + HOLD_MS:
                return False
            continue
        acked_ms = session.acked_ms(index)
        if acked_ms is None or session.busy_vms.get(vm, 0):
            return False
        learnt_ms = max(learnt_ms, acked_ms)
        sessions.append(session)
    return any(vm in s.idle_vms and s.reported_ms >= learnt_ms for s in sessions)


def pool_loads(
    state: ControlState, table: SessionTable, now_ms: int
) -> dict[PoolLocation, PoolLoad]:
    """Return what the scheduling processes report of their pools."""
    loads: dict[PoolLocation, PoolLoad] = {}
    for holder, grant in holders(state):
        session = table.get(holder)
        if session.is_live(now_ms):
            for pool, load in session.pool_loads.items():
                loads[PoolLocation(pool, grant.data_center)] = load
    return loads
