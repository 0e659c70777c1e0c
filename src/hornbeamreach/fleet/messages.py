"""Messages between entries and the scheduler, and between control replicas about minions."""

from __future__ import annotations

import enum
from typing import Any

from attrs import define, field

from hornbeamreach.link.codec import wire_type
from hornbeamreach.link.interface import ANY_TERM
from hornbeamreach.tables.declared import DeclaredTable
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.tables.workload import StepJobSpec
from hornbeamreach.verdict import Reason

ANY_REQUEST = -1


class QueueAction(enum.Enum):
    """Name the action that a queue call requests."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"
    COUNT = "count"


@wire_type("queue_call")
@define(frozen=True, kw_only=True)
class QueueCall:
    """Carry a caller's call to the queue that its host and path select."""

    action: QueueAction
    host: str
    path: str
    # SHA-256 of the caller's key; empty without one.
    key_hash: str = ""
    spec: StepJobSpec | None = None
    # The only term in which a leader may carry out the call, so that an attempt that is delivered
    # late has no effect.
    leader_term: int = ANY_TERM


class QueueOutcome(enum.Enum):
    """Name the outcome of a queue call."""

    ACCEPTED = "accepted"
    STATE = "state"
    CANCELLED = "cancelled"
    COUNT = "count"
    REFUSED = "refused"


@wire_type("queue_answer")
@define(frozen=True, kw_only=True)
class QueueAnswer:
    """Answer a queue call; a refused call is not and will not be carried out."""

    served: QueueOutcome
    state: str = ""
    count: int = 0
    reason: Reason | None = None
    detail: str = ""
    retry_after_ms: int = 0
    # Term of the leader that answered. A refusal names it only if the leader knows no job with the
    # call's id; then no attempt of an earlier term has been or will be accepted.
    term: int = 0

    @property
    def refused(self) -> bool:
        """Return whether the call was refused."""
        return self.served is QueueOutcome.REFUSED


@wire_type("minion_heard")
@define(frozen=True, kw_only=True)
class ForwardedReport:
    """Forward a minion's report to the leader."""

    report: MinionReport


@wire_type("minions_heard")
@define(frozen=True, kw_only=True)
class ForwardedReports:
    """Forward the reports of several minions to a leader that takes batches.

    Each is decoded by itself, so that a malformed one doesn't affect the others.
    """

    reports: list[Any]


@wire_type("minion_left")
@define(frozen=True, kw_only=True)
class MinionLeft:
    """Notify the leader that a minion shuts down; `born_ms` 0 means any incarnation."""

    minion: str
    born_ms: int = 0


@wire_type("heard")
@define(frozen=True, kw_only=True)
class ReportReply:
    """Acknowledge a report, with the leader's address for later reports."""

    leader: str = ""
    # Whether the leader reads `ForwardedReports`; a leader of an earlier build doesn't say so.
    takes_batches: bool = False
    # Positions in a batch of the reports that could not be read.
    refused: list[int] = field(factory=list)


@wire_type("declare")
@define(frozen=True, kw_only=True)
class DeclareRequest:
    """Request to put a whole declaration in force."""

    version: int
    text: bytes
    table: DeclaredTable
    keys: dict[str, str]


@wire_type("declared")
@define(frozen=True, kw_only=True)
class DeclarationReply:
    """Return the declaration in force, in reply to a declaration or a read."""

    version: int
    text: bytes


@wire_type("read_declaration")
@define(frozen=True, kw_only=True)
class ReadDeclaration:
    """Request the newest declaration."""


@wire_type("start_wave")
@define(frozen=True, kw_only=True)
class StartWave:
    """Request the maintenance of VMs within `duration_ms`."""

    number: int
    machines: list[str]
    duration_ms: int
    max_down: int


@wire_type("read_wave")
@define(frozen=True, kw_only=True)
class ReadWave:
    """Request the progress of a maintenance wave."""

    number: int


@wire_type("wave_state")
@define(frozen=True, kw_only=True)
class WaveState:
    """Return the progress of a maintenance wave."""

    known: bool
    completed: bool


@wire_type("change_evacuation")
@define(frozen=True, kw_only=True)
class ChangeEvacuation:
    """Request that nothing starts in a data centre any more, or withdraw that request."""

    data_center: str
    begin: bool
    # The same for all attempts; empty from senders of earlier builds.
    request_id: str = ""
    # Identifies the data centre's latest request that the sender knew of (0: none), so that a
    # message that is delivered after a newer request has no effect. ANY_REQUEST: carried out
    # whatever was requested before, as from senders of earlier builds.
    after_ms: int = ANY_REQUEST


@wire_type("evacuation_changed")
@define(frozen=True, kw_only=True)
class EvacuationReply:
    """Acknowledge a committed request, or refuse one that is late or names an unknown data centre.

    A request is late if its sender did not know of the latest one, which asked for the opposite.
    """

    known: bool
    late: bool = False
    # For a late request, the `after_ms` that names the latest one, and how long ago at least that
    # was carried out.
    latest_ms: int = 0
    latest_age_ms: int = 0


@wire_type("ask_status")
@define(frozen=True, kw_only=True)
class StatusRequest:
    """Request the leader's address; sent by entries and by replicas that are not yet members."""

    # Link address and data centre of a replica that wants to join; empty for entries.
    joiner: str = ""
    joiner_id: str = ""
    data_center: str = ""


@wire_type("status_told")
@define(frozen=True, kw_only=True)
class StatusReply:
    """Return the link addresses of the leader and of all known replicas."""

    leader: str
    leader_id: str
    replicas: list[str]
    # Link addresses of the members by id.
    members: dict[str, str]
    declared_version: int = 0
    # Term that the replica is in.
    term: int = 0
