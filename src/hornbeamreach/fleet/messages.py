"""Messages between entries and the scheduler, and between control replicas about minions."""

from __future__ import annotations

import enum

from attrs import define

from hornbeamreach.link.codec import wire_type
from hornbeamreach.tables.declared import DeclaredTable
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.tables.workload import StepJobSpec
from hornbeamreach.verdict import Reason


class QueueAction(enum.Enum):
    """Name what a caller wants of a queue."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"
    COUNT = "count"


@wire_type("queue_call")
@define(frozen=True, kw_only=True)
class QueueCall:
    """Carry a caller's call, for the queue that its host and path select."""

    action: QueueAction
    host: str
    path: str
    # SHA-256 of the caller's key; empty without one.
    key_hash: str = ""
    spec: StepJobSpec | None = None


class Served(enum.Enum):
    """Name how a call was served."""

    ACCEPTED = "accepted"
    STATE = "state"
    CANCELLED = "cancelled"
    COUNT = "count"
    REFUSED = "refused"


@wire_type("queue_answer")
@define(frozen=True, kw_only=True)
class QueueAnswer:
    """Answer a caller's call; a refusal says that nothing was and will be run."""

    served: Served
    state: str = ""
    count: int = 0
    reason: Reason | None = None
    detail: str = ""
    retry_after_ms: int = 0


@wire_type("minion_heard")
@define(frozen=True, kw_only=True)
class MinionHeard:
    """Pass on what a minion announced."""

    report: MinionReport


@wire_type("minion_left")
@define(frozen=True, kw_only=True)
class MinionLeft:
    """Pass on that a minion ends on purpose."""

    minion: str
    born_ms: int = 0


@wire_type("heard")
@define(frozen=True, kw_only=True)
class Heard:
    """Acknowledge a report, with the leader's address for later ones."""

    leader: str = ""


@wire_type("declare")
@define(frozen=True, kw_only=True)
class Declare:
    """Ask for a whole declaration to be put in force."""

    version: int
    text: bytes
    table: DeclaredTable
    keys: dict[str, str]


@wire_type("declared")
@define(frozen=True, kw_only=True)
class Declared:
    """Tell the declaration in force, after a declaration or a read."""

    version: int
    text: bytes


@wire_type("read_declaration")
@define(frozen=True, kw_only=True)
class ReadDeclaration:
    """Ask for the newest declaration."""


@wire_type("start_wave")
@define(frozen=True, kw_only=True)
class StartWave:
    """Ask for the upkeep of machines within a time."""

    number: int
    machines: list[str]
    duration_ms: int
    max_down: int


@wire_type("read_wave")
@define(frozen=True, kw_only=True)
class ReadWave:
    """Ask how far a wave has come."""

    number: int


@wire_type("wave_state")
@define(frozen=True, kw_only=True)
class WaveState:
    """Tell how far a wave has come."""

    known: bool
    completed: bool


@wire_type("ask_status")
@define(frozen=True, kw_only=True)
class AskStatus:
    """Ask who leads; sent by entries and by replicas that are no members yet."""

    # Link address and data centre of a replica that wants to join; empty for entries.
    joiner: str = ""
    joiner_id: str = ""
    data_center: str = ""


@wire_type("status_told")
@define(frozen=True, kw_only=True)
class StatusTold:
    """Tell the leader's link address and those of all known replicas."""

    leader: str
    leader_id: str
    replicas: list[str]
    # Link addresses of the members by id.
    members: dict[str, str]
    declared_version: int = 0
