"""Messages between the scheduler and the replicas that carry its orders to minions."""

from __future__ import annotations

import enum

from attrs import define, field

from hornbeamreach.fleet.ports import Look, StartOrder, StartReply
from hornbeamreach.link.codec import wire_type


@define(frozen=True, kw_only=True)
class RelayedStart:
    """Carry an order to start a run."""

    # Numbers the leader's calls; the result carries it back.
    number: int
    minion: str
    address: str
    order: StartOrder


@define(frozen=True, kw_only=True)
class RelayedLook:
    """Carry a look at a minion's lists."""

    number: int
    minion: str
    address: str
    token: int
    recorded_end: int
    lease_until_ms: int | None
    wait_ms: int


@wire_type("relay_batch")
@define(frozen=True, kw_only=True)
class RelayBatch:
    """Carry calls to minions, and the numbers of those that are given up."""

    # Link address that results go to.
    source: str
    starts: list[RelayedStart] = field(factory=list)
    looks: list[RelayedLook] = field(factory=list)
    given_up: list[int] = field(factory=list)


class RelayOutcome(enum.Enum):
    """Name how a relayed call ended."""

    ANSWERED = "answered"
    NO_ANSWER = "no_answer"
    FENCED = "fenced"
    OTHER_LIFE = "other_life"


@define(frozen=True, kw_only=True)
class RelayResult:
    """Hold the end of one call; `look` or `start` is set if the minion answered."""

    number: int
    outcome: RelayOutcome
    look: Look | None = None
    start: StartReply | None = None
    detail: str = ""


@wire_type("relay_results")
@define(frozen=True, kw_only=True)
class RelayResults:
    """Carry the ends of calls back to the scheduler."""

    results: list[RelayResult]
