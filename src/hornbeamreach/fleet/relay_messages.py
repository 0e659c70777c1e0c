"""Messages between the scheduler and the replicas that relay its calls to minions."""

from __future__ import annotations

import enum

from attrs import define, field

from hornbeamreach.fleet.ports import Delivery, PollResult, StartOrder, StartReply
from hornbeamreach.link.codec import wire_type


@define(frozen=True, kw_only=True)
class RelayedStart:
    """Carry an order to start a run on a minion."""

    # Identifies the leader's call; the result carries the same number.
    number: int
    minion: str
    address: str
    order: StartOrder


@define(frozen=True, kw_only=True)
class RelayedPoll:
    """Carry a poll of a minion's lists of runs."""

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
    """Carry calls to minions, and the numbers of calls that are abandoned."""

    # Link address that results are sent to.
    source: str
    starts: list[RelayedStart] = field(factory=list)
    looks: list[RelayedPoll] = field(factory=list)
    given_up: list[int] = field(factory=list)
    # Span within which results share one message, in ms; 0 for the replica's own choice.
    results_pause_ms: int = 0


class RelayOutcome(enum.Enum):
    """Name how a relayed call ended."""

    ANSWERED = "answered"
    UNKNOWN_OUTCOME = "no_answer"
    FENCED = "fenced"
    WRONG_INCARNATION = "other_life"


@define(frozen=True, kw_only=True)
class RelayResult:
    """Hold the outcome of one call; `look` or `start` is set if the minion responded."""

    number: int
    outcome: RelayOutcome
    look: PollResult | None = None
    start: StartReply | None = None
    detail: str = ""
    # Who can have received a call with an unknown outcome.
    delivery: Delivery = Delivery.ANY_INCARNATION


@wire_type("relay_results")
@define(frozen=True, kw_only=True)
class RelayResults:
    """Carry the outcomes of calls back to the scheduler."""

    results: list[RelayResult]
