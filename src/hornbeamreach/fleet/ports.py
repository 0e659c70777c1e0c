"""Interfaces of the scheduler to minions, VMs and the admission service."""

from __future__ import annotations

import enum
from typing import Protocol

from attrs import define, field

from hornbeamreach.exceptions import HornbeamreachError
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.tables.workload import RunEnd


class Delivery(enum.Enum):
    """Name who can have received a call that got no response."""

    # No connection was opened, so nobody has received it or will.
    NOBODY = "nobody"
    # The known incarnation or a later one may have received it.
    ANY_INCARNATION = "any"


class UnknownOutcomeError(HornbeamreachError):
    """Report that a call got no response: it may have taken effect or may still do so."""

    def __init__(self, detail: str, delivery: Delivery = Delivery.ANY_INCARNATION) -> None:
        super().__init__(detail)
        self.delivery = delivery


class FencedError(HornbeamreachError):
    """Report that another scheduler has used a higher fencing token."""


class WrongIncarnationError(HornbeamreachError):
    """Report that another minion, or another incarnation of it, responded."""


class StartAnswer(enum.Enum):
    """Name a minion's response to an order to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    # The run number is not higher than that of a run which ended there.
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    WRONG_INCARNATION = "other_life"


@define(frozen=True, kw_only=True)
class RunningTask:
    """Describe a run that a minion lists as running."""

    task: str
    run: int
    checkpoint: str
    percent: int
    figure: int


@define(frozen=True, kw_only=True)
class EndedTask:
    """Describe the end of a run that a minion lists."""

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


@define(frozen=True, kw_only=True)
class PollResult:
    """Hold a minion's lists of running and ended runs, with its clock."""

    born_ms: int
    clock_ms: int
    running: list[RunningTask] = field(factory=list)
    ended: list[EndedTask] = field(factory=list)
    # Tasks of rows of `running` that could not be read: another writer may have left them.
    unread: list[str] = field(factory=list)


@define(frozen=True, kw_only=True)
class StartOrder:
    """Carry an order to start one run of a task."""

    task: str
    run: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


@define(frozen=True, kw_only=True)
class StartReply:
    """Hold a minion's response to a start, and its clock in ms, or 0 if it sent none."""

    answer: StartAnswer
    clock_ms: int = 0
    born_ms: int = 0


class MinionPort(Protocol):
    """Poll minions and give them orders.

    Each call raises UnknownOutcomeError if no usable response came. `poll`, `stop` and `pace`
    also raise FencedError and WrongIncarnationError.
    """

    async def poll(
        self,
        report: MinionReport,
        *,
        token: int,
        recorded_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> PollResult:
        """Return a minion's lists once a run ends or after `wait_ms`.

        Extends the minion's lease if `lease_until_ms` is given, and acknowledges ends up to
        `recorded_end`.
        """

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        """Start a run."""

    async def stop(self, report: MinionReport, *, task: str, run: int, token: int) -> None:
        """Stop a run, also one whose start arrives later."""

    async def pace(
        self, report: MinionReport, *, task: str, run: int, percent: int, token: int
    ) -> None:
        """Limit a run to `percent` of its full speed."""

    def forget(self, minion: str) -> None:
        """Close the connections to a minion that is gone."""


class PlatformVmState(enum.Enum):
    """Name the state of a VM in the platform's list."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"
    # The rest of the VM's row can't be read.
    UNKNOWN = "unknown"


@define(frozen=True, kw_only=True)
class PlatformVm:
    """Describe a VM and the minion that runs on it."""

    name: str
    pool: str
    state: PlatformVmState
    minion: str = ""
    data_center: str = ""


class VmOrderAnswer(enum.Enum):
    """Name the platform's response to an order for a VM."""

    ORDERED = "ordered"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    MALFORMED = "malformed"
    TOO_MANY = "too_many"


class VmPort(Protocol):
    """List VMs and order their maintenance and moves."""

    async def list_vms(self) -> list[PlatformVm]:
        """Return all VMs; raise UnknownOutcomeError if the list is incomplete."""

    async def start_maintenance(
        self, vm: str, *, wave: int, holder: str, token: int
    ) -> VmOrderAnswer:
        """Start a VM's maintenance, which ends everything on it."""

    async def move(self, vm: str, *, pool: str, holder: str, token: int) -> VmOrderAnswer:
        """Move a VM to another pool, which ends everything on it."""


class AdmissionPort(Protocol):
    """Ask the admission service which minions may run a step's tasks."""

    async def request_tickets(self, step: str, minions: list[str]) -> dict[str, str]:
        """Return tickets by admitted minion; raise UnknownOutcomeError if no response came."""
