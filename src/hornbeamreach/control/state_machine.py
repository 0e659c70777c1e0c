"""Deterministic application of commands to the control state."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

import attrs
from attrs import define

from hornbeamreach.control import commands
from hornbeamreach.exceptions import TableError
from hornbeamreach.registry import Registry
from hornbeamreach.systems.accepted_queues import follow_table
from hornbeamreach.systems.availability_budget import exceeded_budget
from hornbeamreach.systems.change_effect import change_effect
from hornbeamreach.tables.control_state import (
    Change,
    ControlState,
    EntryGrant,
    KeyEdit,
    KeyRow,
    MaintenanceOrder,
    OperationResult,
    OrderAction,
    PreparedChange,
    VmPhase,
    VmState,
)
from hornbeamreach.tables.declared import DeclaredTable, RowEdit
from hornbeamreach.tables.table_file import check_consistency, row_from_dict
from hornbeamreach.verdict import Reason

ANSWER_RETENTION_MS = 3 * 24 * 3_600_000
MAX_ANSWERS = 50_000
INITIAL_SPREAD_STEPS = 10_000
# Each new VM counts as maintained some time ago, at most this share of its interval, so that
# none is due at once.
INITIAL_SPREAD_PERCENT = 80


@define(frozen=True, kw_only=True)
class Outcome:
    """Hold the result of applying a command."""

    accepted: bool
    version: int = 0
    index: int = 0
    prepared: bool = False
    reason: Reason | None = None
    detail: str = ""


Applier = Callable[[ControlState, Any], Outcome]
appliers: Registry[Applier] = Registry("command")


def apply_command(state: ControlState, index: int, command: commands.Command) -> Outcome:
    """Apply one committed command and return its outcome."""
    state.applied_index = index
    return appliers.get(type(command).__name__)(state, command)


def _accept(state: ControlState, **fields: Any) -> Outcome:
    return Outcome(accepted=True, version=state.version, index=state.applied_index, **fields)


def _refuse(state: ControlState, reason: Reason, detail: str) -> Outcome:
    return Outcome(
        accepted=False,
        version=state.version,
        index=state.applied_index,
        reason=reason,
        detail=detail,
    )


@appliers.register("NoOp")
def _apply_no_op(state: ControlState, command: commands.NoOp) -> Outcome:
    return _accept(state)


# Changes of the table and of keys


@appliers.register("PrepareChange")
def _apply_prepare(state: ControlState, command: commands.PrepareChange) -> Outcome:
    previous = find_outcome(state, command.operation_id, command.digest)
    if previous is not None:
        return previous
    conflict = _pending_conflict(state, command)
    if conflict is not None:
        return conflict
    refusal = _check_change(state, command.change)
    if refusal is not None:
        return _record_answer(state, command.operation_id, command.digest, refusal, command.at_ms)
    effect = change_effect(state, command.change.edits, command.change.key_edits)
    if effect.tightens():
        state.prepared[command.operation_id] = PreparedChange(
            change=command.change,
            digest=command.digest,
            prepared_index=state.applied_index,
            prepared_ms=command.at_ms,
            teams=sorted(effect.teams),
            shared_rows=sorted(effect.shared_rows),
        )
        return _accept(state, prepared=True)
    _activate_change(state, command.change, command.at_ms)
    return _record_answer(
        state, command.operation_id, command.digest, _accept(state), command.at_ms
    )


def find_outcome(state: ControlState, operation_id: str, digest: str) -> Outcome | None:
    """Return the outcome already given to an operation, or None."""
    prepared = state.prepared.get(operation_id)
    answer = state.answers.get(operation_id)
    recorded = prepared or answer
    if recorded is None:
        return None
    if recorded.digest != digest:
        return _refuse(state, Reason.OPERATION_REUSED, "the operation id has other content")
    if answer is None:
        return _accept(state, prepared=True)
    return Outcome(
        accepted=answer.accepted,
        version=answer.version,
        index=answer.index,
        reason=answer.reason,
        detail=answer.detail,
    )


def _pending_conflict(state: ControlState, command: commands.PrepareChange) -> Outcome | None:
    rows = command.change.rows()
    for operation_id, prepared in state.prepared.items():
        common = rows & prepared.change.rows()
        if common:
            detail = f"{sorted(common)[0]} is being changed by operation {operation_id}"
            return _refuse(state, Reason.CHANGE_PENDING, detail)
    return None


def _check_change(state: ControlState, change: Change) -> Outcome | None:
    for edit in change.edits:
        version = state.row_version(edit.kind, edit.name)
        if version != edit.expected_version:
            detail = (
                f"{edit.kind}.{edit.name} has version {version}, "
                f"the edit expects {edit.expected_version}"
            )
            return _refuse(state, Reason.VERSION_CONFLICT, detail)
    try:
        check_consistency(edited_table(state.table, change.edits))
        _check_key_edits(state, change)
    except TableError as exc:
        return _refuse(state, Reason.INCONSISTENT_TABLE, str(exc))
    return _check_maintenance_budget(state, change)


def _check_maintenance_budget(state: ControlState, change: Change) -> Outcome | None:
    """Refuse a budget smaller than the number of VMs already out for maintenance."""
    table = edited_table(state.table, change.edits)
    for pool in sorted({edit.name for edit in change.edits if edit.kind == "pools"}):
        unavailable = [
            vm
            for vm, vm_state in state.vm_states.items()
            if vm_state.phase is not VmPhase.IN_SERVICE
            and vm in table.vms
            and state.loans.get(vm, table.vms[vm].pool) == pool
        ]
        if pool in table.pools and len(unavailable) > table.pools[pool].max_down:
            detail = f"{len(unavailable)} VMs of pool {pool} are out for maintenance"
            return _refuse(state, Reason.BUDGET_SPENT, detail)
    return None


def _check_key_edits(state: ControlState, change: Change) -> None:
    table = edited_table(state.table, change.edits)
    for key in change.key_edits:
        if key.withdraw and key.key_hash not in state.keys:
            raise TableError("no such key is granted", path="keys")
        if not key.withdraw and key.team not in table.teams:
            raise TableError(f"{key.team!r} is not a declared team", path="keys")
        if not key.withdraw and key.key_hash in state.keys:
            raise TableError("the key is granted already", path="keys")


def edited_table(table: DeclaredTable, edits: list[RowEdit]) -> DeclaredTable:
    """Return a copy of the table with the edits applied."""
    edited = table.copy()
    for edit in edits:
        rows = edited.rows(edit.kind)
        if edit.columns is None:
            rows.pop(edit.name, None)
        else:
            rows[edit.name] = row_from_dict(edit.kind, edit.name, edit.columns)
    return edited


def _activate_change(state: ControlState, change: Change, at_ms: int) -> None:
    state.version += 1
    before = state.table
    state.table = edited_table(before, change.edits)
    follow_table(state.workload, before, state.table)
    for edit in change.edits:
        state.row_versions.setdefault(edit.kind, {})[edit.name] = state.version
        if edit.kind == "vms" and edit.columns is not None:
            _update_vm_state(state, edit.name, before, at_ms)
    for key in change.key_edits:
        _apply_key_edit(state, key)
    _drop_removed_rows(state)


def _update_vm_state(state: ControlState, vm: str, before: DeclaredTable, at_ms: int) -> None:
    old_row, new_row = before.vms.get(vm), state.table.vms[vm]
    vm_state = state.vm_state(vm)
    if old_row is None:
        # Spread the first maintenance of VMs that are added together.
        interval_ms = state.table.pools[new_row.pool].maintenance_interval_ms
        spread_step = zlib.crc32(vm.encode()) % INITIAL_SPREAD_STEPS
        maintained_ms = (
            at_ms
            - interval_ms * spread_step // INITIAL_SPREAD_STEPS * INITIAL_SPREAD_PERCENT // 100
        )
        state.vm_states[vm] = VmState(since_ms=at_ms, maintained_ms=maintained_ms)
    elif old_row.pool != new_row.pool:
        # Declaring another pool for a VM ends its loan.
        state.loans.pop(vm, None)
        state.vm_states[vm] = attrs.evolve(
            vm_state, epoch=vm_state.epoch + 1, index=state.applied_index
        )


def _apply_key_edit(state: ControlState, key: KeyEdit) -> None:
    if key.withdraw:
        state.keys.pop(key.key_hash, None)
    else:
        state.keys[key.key_hash] = KeyRow(team=key.team, key_id=key.key_id)


def _drop_removed_rows(state: ControlState) -> None:
    table = state.table
    for key_hash in [key for key, row in state.keys.items() if row.team not in table.teams]:
        del state.keys[key_hash]
    for rows in (state.vm_states, state.orders):
        for vm in [vm for vm in rows if vm not in table.vms]:
            del rows[vm]
    for vm, pool in list(state.loans.items()):
        if vm not in table.vms or pool not in table.pools:
            del state.loans[vm]


@appliers.register("CommitChange")
def _apply_commit(state: ControlState, command: commands.CommitChange) -> Outcome:
    prepared = state.prepared.get(command.operation_id)
    if prepared is None:
        return _refuse(state, Reason.UNKNOWN_ROW, "the operation is not prepared")
    outcome = check_granted_limits(state, prepared.change) or _check_change(state, prepared.change)
    del state.prepared[command.operation_id]
    if outcome is None:
        _activate_change(state, prepared.change, command.at_ms)
        outcome = _accept(state)
    return _record_answer(state, command.operation_id, prepared.digest, outcome, command.at_ms)


def check_granted_limits(state: ControlState, change: Change) -> Outcome | None:
    """Return a refusal if more is granted than the change would allow, else None."""
    for edit in change.edits:
        if edit.kind != "teams":
            continue
        granted, limit = state.granted_total(edit.name), state.lowest_limit(edit.name)
        if granted > limit:
            detail = f"{granted} of team {edit.name} may be running, above {limit}"
            return _refuse(state, Reason.TEAM_AT_LIMIT, detail)
    return None


@appliers.register("AbortChange")
def _apply_abort(state: ControlState, command: commands.AbortChange) -> Outcome:
    prepared = state.prepared.pop(command.operation_id, None)
    if prepared is None:
        return _refuse(state, Reason.UNKNOWN_ROW, "the operation is not prepared")
    refusal = _refuse(state, command.reason, command.detail)
    return _record_answer(state, command.operation_id, prepared.digest, refusal, command.at_ms)


def _record_answer(
    state: ControlState, operation_id: str, digest: str, outcome: Outcome, at_ms: int
) -> Outcome:
    state.answers[operation_id] = OperationResult(
        digest=digest,
        accepted=outcome.accepted,
        version=outcome.version,
        index=outcome.index,
        answered_ms=at_ms,
        reason=outcome.reason,
        detail=outcome.detail,
    )
    _expire_answers(state, at_ms)
    return outcome


def _expire_answers(state: ControlState, at_ms: int) -> None:
    # Answers are stored in the order in which they were given, oldest first.
    for operation_id in list(state.answers):
        expired = state.answers[operation_id].answered_ms < at_ms - ANSWER_RETENTION_MS
        if not expired and len(state.answers) <= MAX_ANSWERS:
            return
        del state.answers[operation_id]


# Entry processes and their slices


@appliers.register("RegisterEntry")
def _apply_register(state: ControlState, command: commands.RegisterEntry) -> Outcome:
    incarnations = state.grants.setdefault(command.entry_id, {})
    if command.incarnation not in incarnations:
        incarnations[command.incarnation] = EntryGrant(
            data_center=command.data_center,
            address=command.address,
            peer_count=command.peer_count,
        )
    return _accept(state)


@appliers.register("SuspendIncarnation")
def _apply_suspend(state: ControlState, command: commands.SuspendIncarnation) -> Outcome:
    grant = state.grants.get(command.entry_id, {}).get(command.incarnation)
    if grant is not None and not grant.suspended_index:
        grant.suspended_index = state.applied_index
    return _accept(state)


@appliers.register("ForgetIncarnation")
def _apply_forget(state: ControlState, command: commands.ForgetIncarnation) -> Outcome:
    incarnations = state.grants.get(command.entry_id, {})
    incarnations.pop(command.incarnation, None)
    if not incarnations:
        state.grants.pop(command.entry_id, None)
    return _accept(state)


@appliers.register("SetSlices")
def _apply_set_slices(state: ControlState, command: commands.SetSlices) -> Outcome:
    for change in command.changes:
        _set_slice(state, change)
    return _accept(state)


def _set_slice(state: ControlState, change: commands.SliceChange) -> None:
    grant = state.grants.get(change.entry_id, {}).get(change.incarnation)
    if grant is None:
        return
    current_size = grant.slices.get(change.team, 0)
    increase = change.size - current_size
    if increase > 0 and state.granted_total(change.team) + increase > state.lowest_limit(
        change.team
    ):
        return
    if increase < 0 and grant.slice_indexes.get(change.team, 0) > change.promised_index:
        return
    grant.slices[change.team] = change.size
    grant.slice_indexes[change.team] = state.applied_index


# Maintenance


@appliers.register("OrderMaintenance")
def _apply_order(state: ControlState, command: commands.OrderMaintenance) -> Outcome:
    previous = find_outcome(state, command.operation_id, command.digest)
    if previous is not None:
        return previous
    if command.vm not in state.table.vms:
        refusal = _refuse(state, Reason.UNKNOWN_ROW, f"no VM {command.vm} is declared")
        return _record_answer(state, command.operation_id, command.digest, refusal, command.at_ms)
    state.orders[command.vm] = MaintenanceOrder(
        action=command.action, ordered_ms=command.at_ms, planned=command.planned
    )
    return _record_answer(
        state, command.operation_id, command.digest, _accept(state), command.at_ms
    )


NEXT_PHASES = {
    VmPhase.IN_SERVICE: {VmPhase.DRAINING},
    VmPhase.DRAINING: {VmPhase.REBOOTING, VmPhase.OUT, VmPhase.IN_SERVICE},
    VmPhase.REBOOTING: {VmPhase.PROBATION},
    VmPhase.PROBATION: {VmPhase.IN_SERVICE, VmPhase.REBOOTING},
    VmPhase.OUT: {VmPhase.PROBATION},
}


@appliers.register("SetVmPhase")
def _apply_vm_phase(state: ControlState, command: commands.SetVmPhase) -> Outcome:
    if command.vm not in state.table.vms:
        return _refuse(state, Reason.UNKNOWN_ROW, f"no VM {command.vm} is declared")
    vm_state = state.vm_state(command.vm)
    if vm_state.epoch != command.expected_epoch:
        return _refuse(state, Reason.VERSION_CONFLICT, f"epoch is {vm_state.epoch}")
    if command.phase not in NEXT_PHASES[vm_state.phase]:
        detail = f"{vm_state.phase.value} is not followed by {command.phase.value}"
        return _refuse(state, Reason.VERSION_CONFLICT, detail)
    if command.phase is VmPhase.DRAINING:
        exceeded = exceeded_budget(state, command.vm, set(command.also_down))
        if exceeded is not None:
            return _refuse(state, Reason.BUDGET_SPENT, exceeded)
    _set_vm_phase(state, command, vm_state)
    return _accept(state)


def _set_vm_phase(state: ControlState, command: commands.SetVmPhase, vm_state: VmState) -> None:
    in_service = command.phase is VmPhase.IN_SERVICE
    from_probation = vm_state.phase is VmPhase.PROBATION
    state.vm_states[command.vm] = VmState(
        phase=command.phase,
        epoch=vm_state.epoch + 1,
        index=state.applied_index,
        since_ms=command.at_ms,
        maintained_ms=command.at_ms if in_service and from_probation else vm_state.maintained_ms,
    )
    order = state.orders.get(command.vm)
    finished = in_service or command.phase is VmPhase.OUT
    if finished and order is not None and order.ordered_ms <= command.at_ms:
        kept_out = order.action is OrderAction.KEEP_OUT
        if in_service or kept_out:
            del state.orders[command.vm]


@appliers.register("MoveVm")
def _apply_move(state: ControlState, command: commands.MoveVm) -> Outcome:
    if command.vm not in state.table.vms or command.pool not in state.table.pools:
        return _refuse(state, Reason.UNKNOWN_ROW, f"no VM {command.vm} or pool {command.pool}")
    vm_state = state.vm_state(command.vm)
    if vm_state.epoch != command.expected_epoch:
        return _refuse(state, Reason.VERSION_CONFLICT, f"epoch is {vm_state.epoch}")
    if vm_state.phase is not VmPhase.IN_SERVICE:
        return _refuse(state, Reason.VERSION_CONFLICT, f"the VM is {vm_state.phase.value}")
    if state.table.vms[command.vm].pool == command.pool:
        state.loans.pop(command.vm, None)
    else:
        state.loans[command.vm] = command.pool
    state.vm_states[command.vm] = attrs.evolve(
        vm_state, epoch=vm_state.epoch + 1, index=state.applied_index
    )
    return _accept(state)
