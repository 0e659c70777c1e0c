"""The replicated state: declared rows, keys, grants and VM phases."""

from __future__ import annotations

import enum
from typing import Any

from attrs import define, field

from hornbeamreach.tables.declared import DeclaredTable, RowEdit
from hornbeamreach.tables.workload import Workload
from hornbeamreach.verdict import Reason


class VmPhase(enum.Enum):
    """List the phases of VM maintenance."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    PROBATION = "probation"
    OUT = "out"


class OrderAction(enum.Enum):
    """List the maintenance actions that an operator or the planner may order."""

    REBOOT = "reboot"
    KEEP_OUT = "keep_out"
    RETURN = "return"


@define(frozen=True, kw_only=True)
class VmState:
    """Hold a VM's maintenance state; `epoch` increases when its phase or pool changes."""

    phase: VmPhase = VmPhase.IN_SERVICE
    epoch: int = 0
    # Log index of the latest such change; a process that has applied it knows the phase.
    index: int = 0
    since_ms: int = 0
    maintained_ms: int = 0


@define(frozen=True, kw_only=True)
class MaintenanceOrder:
    """Describe an accepted maintenance order that has not been carried out yet."""

    action: OrderAction
    ordered_ms: int
    planned: bool = False


@define(frozen=True, kw_only=True)
class KeyRow:
    """Identify the team and id of a granted key; the key itself is not stored."""

    team: str
    key_id: str


@define(frozen=True, kw_only=True)
class KeyEdit:
    """Grant or revoke the key with a given hash."""

    key_hash: str
    team: str = ""
    key_id: str = ""
    withdraw: bool = False


@define(frozen=True, kw_only=True)
class Change:
    """Describe the edits of one operator operation."""

    edits: list[RowEdit] = field(factory=list)
    key_edits: list[KeyEdit] = field(factory=list)

    def rows(self) -> set[str]:
        """Return the paths of the rows and keys that the change modifies."""
        rows = {f"{edit.kind}.{edit.name}" for edit in self.edits}
        return rows | {f"keys.{edit.key_hash}" for edit in self.key_edits}


@define(frozen=True, kw_only=True)
class PreparedChange:
    """Hold a tightening change until no holder may act on the old values any more."""

    change: Change
    digest: str
    prepared_index: int
    prepared_ms: int
    teams: list[str]
    shared_rows: list[str]


@define(frozen=True, kw_only=True)
class OperationResult:
    """Hold the result of an operation, to be returned again if the operation is resent."""

    digest: str
    accepted: bool
    version: int
    index: int
    answered_ms: int
    reason: Reason | None = None
    detail: str = ""


@define(kw_only=True)
class EntryGrant:
    """Hold the slices of the team limits granted to one incarnation of an entry process."""

    data_center: str
    address: str
    # Configured number of entry processes in the data centre; majorities are counted from it.
    peer_count: int = 1
    # Log index of the suspension, or 0; a suspended incarnation must not act any more.
    suspended_index: int = 0
    slices: dict[str, int] = field(factory=dict)
    # Log index of each slice's latest change; ceilings promised at an older index are void.
    slice_indexes: dict[str, int] = field(factory=dict)


@define(kw_only=True)
class ControlState:
    """Hold the state that the replicated log determines."""

    applied_index: int = 0
    version: int = 0
    table: DeclaredTable = field(factory=DeclaredTable)
    row_versions: dict[str, dict[str, int]] = field(factory=dict)
    keys: dict[str, KeyRow] = field(factory=dict)
    prepared: dict[str, PreparedChange] = field(factory=dict)
    answers: dict[str, OperationResult] = field(factory=dict)
    # entry id -> incarnation -> grant; the grant of an older incarnation is kept until
    # nothing that it started can still be running.
    grants: dict[str, dict[str, EntryGrant]] = field(factory=dict)
    vm_states: dict[str, VmState] = field(factory=dict)
    orders: dict[str, MaintenanceOrder] = field(factory=dict)
    # VM -> pool, for VMs that serve another pool than their declared one.
    loans: dict[str, str] = field(factory=dict)
    workload: Workload = field(factory=Workload)

    def pool_of(self, vm: str) -> str:
        """Return the pool that a VM currently serves."""
        return self.loans.get(vm) or self.table.vms[vm].pool

    def row_version(self, kind: str, name: str) -> int:
        """Return a row's version, or 0 if the row never existed."""
        return self.row_versions.get(kind, {}).get(name, 0)

    def granted_total(self, team: str) -> int:
        """Return the sum of a team's slices over all incarnations of all entry processes."""
        return sum(
            grant.slices.get(team, 0)
            for incarnations in self.grants.values()
            for grant in incarnations.values()
        )

    def lowest_limit(self, team: str) -> int:
        """Return the limit for a team's grants: the lowest of the current and prepared ones."""
        row = self.table.teams.get(team)
        limits = [row.max_running if row else 0]
        for prepared in self.prepared.values():
            limits += [_edited_limit(edit) for edit in _team_edits(prepared, team)]
        return min(limits)

    def vm_state(self, vm: str) -> VmState:
        """Return a VM's maintenance state; a VM without one is in service."""
        return self.vm_states.get(vm, VmState())


def _team_edits(prepared: PreparedChange, team: str) -> list[RowEdit]:
    return [edit for edit in prepared.change.edits if edit.kind == "teams" and edit.name == team]


def _edited_limit(edit: RowEdit) -> int:
    columns: dict[str, Any] | None = edit.columns
    return 0 if columns is None else columns["max_running"]
