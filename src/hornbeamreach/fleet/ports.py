"""What the scheduler needs of minions, machines and the admission service."""

from __future__ import annotations

import enum
from typing import Protocol

from attrs import define, field

from hornbeamreach.exceptions import HornbeamreachError
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.tables.workload import RunEnd


class NoAnswerError(HornbeamreachError):
    """Report a call without an answer: it may have been, or may yet be, carried out."""


class FencedError(HornbeamreachError):
    """Report that another scheduler has used a higher fencing token."""


class OtherLifeError(HornbeamreachError):
    """Report that another minion, or another life of it, answered."""


class StartAnswer(enum.Enum):
    """Name a minion's answer to an order to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    # The run number is not above one that ended there.
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"


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
    """Describe an end that a minion lists."""

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


@define(frozen=True, kw_only=True)
class Look:
    """Hold a minion's lists of runs."""

    born_ms: int
    clock_ms: int
    running: list[RunningTask] = field(factory=list)
    ended: list[EndedTask] = field(factory=list)


@define(frozen=True, kw_only=True)
class StartOrder:
    """Order one run of a task."""

    task: str
    run: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


@define(frozen=True, kw_only=True)
class StartReply:
    """Hold a minion's answer to a start, with its clock; 0 if it told none."""

    answer: StartAnswer
    clock_ms: int = 0
    born_ms: int = 0


class MinionPort(Protocol):
    """Give orders to minions; each call raises NoAnswerError if its fate is unknown."""

    async def look(
        self,
        report: MinionReport,
        *,
        token: int,
        recorded_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> Look:
        """Return a minion's lists, after an end or `wait_ms`; extend its lease if one is given."""

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        """Start a run."""

    async def stop(self, report: MinionReport, *, task: str, run: int, token: int) -> None:
        """Stop a run, now or whenever its start arrives."""

    async def pace(
        self, report: MinionReport, *, task: str, run: int, percent: int, token: int
    ) -> None:
        """Let a run work at a share of its speed."""

    def forget(self, minion: str) -> None:
        """Close the connections to a minion that is gone."""


class MachineState(enum.Enum):
    """Name the state of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@define(frozen=True, kw_only=True)
class Machine:
    """Describe a machine and the minion that is its present life."""

    machine: str
    pool: str
    state: MachineState
    minion: str = ""
    data_center: str = ""


class MachineAnswer(enum.Enum):
    """Name the answer to an order for a machine."""

    ORDERED = "ordered"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    MALFORMED = "malformed"
    TOO_MANY = "too_many"


class MachinePort(Protocol):
    """Read machines and order their upkeep and moves."""

    async def list_machines(self) -> list[Machine]:
        """Return all machines; raise NoAnswerError if the list is not whole."""

    async def upkeep(self, machine: str, *, wave: int, holder: str, token: int) -> MachineAnswer:
        """Begin a machine's upkeep; everything on it ends."""

    async def move(self, machine: str, *, pool: str, holder: str, token: int) -> MachineAnswer:
        """Move a machine to another pool; everything on it ends."""


class AdvicePort(Protocol):
    """Ask the admission service which minions may run a step."""

    async def admitted(self, step: str, minions: list[str]) -> dict[str, str]:
        """Return a ticket for each admitted minion; raise NoAnswerError without an answer."""
