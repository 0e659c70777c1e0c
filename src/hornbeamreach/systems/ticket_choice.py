"""Choose the minions to name in a call for a step's admission tickets.

Load pattern: the policy admits few minions of a pool, and not the emptiest ones. The admission
service takes some time for each minion named and serves one call at a time, so hundreds of waiting
steps must not name every minion again and again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define

from hornbeamreach.registry import Registry

# Most minions that a call may name.
MAX_NAMED_MINIONS = 100
# A step's first call delays it, and one for these minions mostly finds room.
FIRST_NAMED_MINIONS = 30
# Expected duration of the calls that wait at the service together; their time-out is longer.
MAX_OUTSTANDING_MS = 1_000
# The service refuses a call while 32 wait.
MAX_OUTSTANDING_CALLS = 24


@define(frozen=True, kw_only=True)
class TicketCandidate:
    """Describe a minion for which a step has no valid ticket and no recent refusal."""

    minion_id: str
    free_cpu_millis: int
    # Whether a task of the step could start there now, and whether its data is in the same rack.
    has_room: bool = True
    near_data: bool = False
    # Whether the step had a ticket for it before.
    admitted_before: bool = False


@define(frozen=True, kw_only=True)
class TicketDemand:
    """Describe a step whose tickets, if it has any, find no room for all of its tasks."""

    candidates: list[TicketCandidate]
    # Whether the service has answered a call for the step.
    answered: bool = False
    # Whether the policy is known to admit some minion, with a valid ticket or without.
    has_admitted: bool = False
    # Expected duration of a call, without its minions and for each of them.
    decide_ms: int = 0
    each_ms: int = 0


TicketChoice = Callable[[TicketDemand], list[str]]
ticket_choices: Registry[TicketChoice] = Registry("choice of minions for tickets")


def call_ms(decide_ms: int, each_ms: int, minions: int) -> int:
    """Return the expected duration of a call that names some minions."""
    return max(1, decide_ms + each_ms * minions)


def _named_minions(demand: TicketDemand) -> int:
    """Return how many minions a call may name in the time that it may take."""
    limit = MAX_NAMED_MINIONS if demand.answered else FIRST_NAMED_MINIONS
    if demand.each_ms:
        limit = min(limit, (MAX_OUTSTANDING_MS - demand.decide_ms) // demand.each_ms)
    return max(1, limit)


def _in_order(candidates: Iterable[TicketCandidate]) -> list[TicketCandidate]:
    return sorted(candidates, key=lambda c: (not c.has_room, not c.near_data, -c.free_cpu_millis))


@ticket_choices.register("emptiest")
def emptiest(demand: TicketDemand) -> list[str]:
    """Name the emptiest minions, whatever the service answered before, as a baseline."""
    candidates = sorted(demand.candidates, key=lambda c: -c.free_cpu_millis)
    return [c.minion_id for c in candidates[:FIRST_NAMED_MINIONS]]


@ticket_choices.register("unanswered_first")
def unanswered_first(demand: TicketDemand) -> list[str]:
    """Renew the lapsed tickets, else name minions that no answer is known for.

    Once some minion is admitted, minions without room are named only when they have room.
    """
    chosen = [c for c in demand.candidates if c.admitted_before]
    if not chosen:
        chosen = [c for c in demand.candidates if c.has_room or not demand.has_admitted]
    return [c.minion_id for c in _in_order(chosen)[: _named_minions(demand)]]
