"""Commands of the replicated log."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.link.codec import wire_type
from hornbeamreach.tables.control_state import Change, OrderAction, VmPhase
from hornbeamreach.verdict import Reason


@wire_type("no_op")
@define(frozen=True, kw_only=True)
class NoOp:
    """Change nothing; a new leader commits it to establish the commit index."""


@wire_type("prepare_change")
@define(frozen=True, kw_only=True)
class PrepareChange:
    """Validate a change; apply it if it loosens limits, keep it as prepared if it tightens."""

    operation_id: str
    digest: str
    change: Change
    at_ms: int


@wire_type("commit_change")
@define(frozen=True, kw_only=True)
class CommitChange:
    """Apply a prepared change."""

    operation_id: str
    at_ms: int


@wire_type("abort_change")
@define(frozen=True, kw_only=True)
class AbortChange:
    """Refuse a prepared change without applying any part of it."""

    operation_id: str
    reason: Reason
    detail: str
    at_ms: int


@wire_type("register_entry")
@define(frozen=True, kw_only=True)
class RegisterEntry:
    """Register a new incarnation of an entry process, with empty slices."""

    entry_id: str
    incarnation: str
    data_center: str
    address: str
    peer_count: int


@wire_type("suspend_incarnation")
@define(frozen=True, kw_only=True)
class SuspendIncarnation:
    """Suspend a silent incarnation of an entry process permanently."""

    entry_id: str
    incarnation: str


@wire_type("forget_incarnation")
@define(frozen=True, kw_only=True)
class ForgetIncarnation:
    """Release the slices of a terminated incarnation of an entry process."""

    entry_id: str
    incarnation: str


@define(frozen=True, kw_only=True)
class SliceChange:
    """Set one entry process's slice of one team's limit.

    A decrease relies on the process's promise to keep to the new size. It is skipped if the
    slice has changed since the index at which the promise was given.
    """

    entry_id: str
    incarnation: str
    team: str
    size: int
    promised_index: int = 0


@wire_type("set_slices")
@define(frozen=True, kw_only=True)
class SetSlices:
    """Set slices in order, skipping those that the limit or a promise does not allow."""

    changes: list[SliceChange] = field(factory=list)


@wire_type("order_maintenance")
@define(frozen=True, kw_only=True)
class OrderMaintenance:
    """Order a VM out of service for a reboot or permanently, or back into service."""

    operation_id: str
    digest: str
    vm: str
    action: OrderAction
    at_ms: int
    planned: bool = False


@wire_type("set_vm_phase")
@define(frozen=True, kw_only=True)
class SetVmPhase:
    """Move a VM to its next phase if its epoch is the expected one."""

    vm: str
    expected_epoch: int
    phase: VmPhase
    at_ms: int
    # VMs that the leader counts as unavailable, in addition to those whose phase says so.
    also_down: list[str] = field(factory=list)


@wire_type("move_vm")
@define(frozen=True, kw_only=True)
class MoveVm:
    """Assign a VM to another pool if its epoch is the expected one."""

    vm: str
    expected_epoch: int
    pool: str


Command = (
    NoOp
    | PrepareChange
    | CommitChange
    | AbortChange
    | RegisterEntry
    | SuspendIncarnation
    | ForgetIncarnation
    | SetSlices
    | OrderMaintenance
    | SetVmPhase
    | MoveVm
)
