"""The replicated state: declared rows, keys, grants and VM phases."""

from __future__ import annotations

import enum
from typing import Any

from attrs import define, field

from hornbeamreach.tables.declared import DeclaredTable, RowEdit
from hornbeamreach.tables.workload import Workload
from hornbeamreach.verdict import Reason


class VmPhase(enum.Enum):
    """Name the step of maintenance that a VM is in."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    PROBATION = "probation"
    OUT = "out"


class OrderAction(enum.Enum):
    """Name what an operator or the planner wants done with a VM."""

    REBOOT = "reboot"
    KEEP_OUT = "keep_out"
    RETURN = "return"


@define(frozen=True, kw_only=True)
class VmState:
    """Hold a VM's phase; the epoch rises with every transition."""

    phase: VmPhase = VmPhase.IN_SERVICE
    epoch: int = 0
    # Log index of the transition; whoever applied it knows the phase.
    index: int = 0
    since_ms: int = 0
    maintained_ms: int = 0


@define(frozen=True, kw_only=True)
class MaintenanceOrder:
    """Hold an accepted order that has not been carried out yet."""

    action: OrderAction
    ordered_ms: int
    planned: bool = False


@define(frozen=True, kw_only=True)
class KeyRow:
    """Hold what a granted key stands for; the key itself is not kept."""

    team: str
    key_id: str


@define(frozen=True, kw_only=True)
class KeyEdit:
    """Grant or withdraw a key by its hash."""

    key_hash: str
    team: str = ""
    key_id: str = ""
    withdraw: bool = False


@define(frozen=True, kw_only=True)
class Change:
    """Carry what one operator's operation changes."""

    edits: list[RowEdit] = field(factory=list)
    key_edits: list[KeyEdit] = field(factory=list)

    def rows(self) -> set[str]:
        """Return the paths of the rows and keys that the change touches."""
        rows = {f"{edit.kind}.{edit.name}" for edit in self.edits}
        return rows | {f"keys.{edit.key_hash}" for edit in self.key_edits}


@define(frozen=True, kw_only=True)
class PreparedChange:
    """Hold a tightening change until every holder of authority has let go."""

    change: Change
    digest: str
    prepared_index: int
    prepared_ms: int
    teams: list[str]
    shared_rows: list[str]


@define(frozen=True, kw_only=True)
class OperationAnswer:
    """Hold the answer to an operation, for its resends."""

    digest: str
    accepted: bool
    version: int
    index: int
    answered_ms: int
    reason: Reason | None = None
    detail: str = ""


@define(kw_only=True)
class EntryGrant:
    """Hold the slices of teams' limits that one entry process may use."""

    data_center: str
    address: str
    # Entry processes that the data centre is set up with, for majorities.
    peer_count: int = 1
    # Log index of the suspension; a suspended incarnation must not act any more.
    suspended_index: int = 0
    slices: dict[str, int] = field(factory=dict)
    # Log index of each slice's latest change; an older promise to come down is void.
    slice_indexes: dict[str, int] = field(factory=dict)


@define(kw_only=True)
class ControlState:
    """Hold everything that the replicated log decides."""

    applied_index: int = 0
    version: int = 0
    table: DeclaredTable = field(factory=DeclaredTable)
    row_versions: dict[str, dict[str, int]] = field(factory=dict)
    keys: dict[str, KeyRow] = field(factory=dict)
    prepared: dict[str, PreparedChange] = field(factory=dict)
    answers: dict[str, OperationAnswer] = field(factory=dict)
    # entry id -> incarnation -> grant; an older incarnation's grant is held until
    # nothing that it started can still run.
    grants: dict[str, dict[str, EntryGrant]] = field(factory=dict)
    vm_states: dict[str, VmState] = field(factory=dict)
    orders: dict[str, MaintenanceOrder] = field(factory=dict)
    # VMs that serve another pool than their declared one, and which.
    loans: dict[str, str] = field(factory=dict)
    workload: Workload = field(factory=Workload)

    def pool_of(self, vm: str) -> str:
        """Return the one pool that a VM serves now."""
        return self.loans.get(vm) or self.table.vms[vm].pool

    def row_version(self, kind: str, name: str) -> int:
        """Return a row's version; 0 for a row that never was."""
        return self.row_versions.get(kind, {}).get(name, 0)

    def granted(self, team: str) -> int:
        """Return the sum of a team's slices over all entry processes."""
        return sum(
            grant.slices.get(team, 0)
            for incarnations in self.grants.values()
            for grant in incarnations.values()
        )

    def lowest_limit(self, team: str) -> int:
        """Return the limit that grants must fit, counting prepared changes."""
        row = self.table.teams.get(team)
        limits = [row.max_running if row else 0]
        for prepared in self.prepared.values():
            limits += [_edited_limit(edit) for edit in _team_edits(prepared, team)]
        return min(limits)

    def vm_state(self, vm: str) -> VmState:
        """Return a VM's state; a VM that was never touched is in service."""
        return self.vm_states.get(vm, VmState())


def _team_edits(prepared: PreparedChange, team: str) -> list[RowEdit]:
    return [edit for edit in prepared.change.edits if edit.kind == "teams" and edit.name == team]


def _edited_limit(edit: RowEdit) -> int:
    columns: dict[str, Any] | None = edit.columns
    return 0 if columns is None else columns["max_running"]
