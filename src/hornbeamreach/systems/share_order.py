"""Order the waiting steps of a full pool by what each team is due.

Load pattern: one or two teams send 4.7 to 7.5 times their usual load for some seconds, while the
declared weights of teams differ by a factor of more than ten. Ordered by urgency alone, the team
that sends most gets most.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Generic, TypeVar

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.systems.fair_share import TeamUsage, max_min_shares
from hornbeamreach.systems.task_order import Standing
from hornbeamreach.tables.minions import Minion
from hornbeamreach.tables.resources import NO_RESOURCES, Resources

# At most this fraction of a pool's minions is kept for steps that were passed over, as what they
# keep free does no work meanwhile.
MAX_KEPT_FRACTION = 0.1
# Shares are sums of floats, so their last digits depend on the order of the terms. Less room than
# this is none: otherwise the rounding error let a whole step begin within its team's share.
ROUNDING = 1e-9


@define(kw_only=True, eq=False)
class ShareRequest:
    """Hold what a waiting step asks of its team's share."""

    team: str
    standing: Standing
    # Needs of one task, and the number of tasks that may start.
    needs: Resources
    tasks: int
    # The tasks start together or not at all.
    gang: bool = False


Request = TypeVar("Request", bound=ShareRequest)


@define(kw_only=True, eq=False)
class TeamRequests(Generic[Request]):
    """Hold what a team's waiting steps ask for, in the order of the task ordering."""

    requests: Iterable[Request] = field(factory=list)
    # Number of its long-running steps.
    lasting: int = 0
    # Number of tasks by their needs, and whether they are still of use to their callers.
    tasks: dict[tuple[Resources, bool], int] = field(factory=dict)

    def count(self, request: Request, tasks: int) -> None:
        """Count a request's tasks; a negative number takes them back."""
        name = (request.needs, request.standing is not Standing.USELESS)
        left = self.tasks.get(name, 0) + tasks
        if left:
            self.tasks[name] = left
        else:
            del self.tasks[name]
        if request.standing is Standing.LASTING:
            self.lasting += 1 if tasks > 0 else -1


# Requests of one team that begin within its due share, with the number of tasks that do.
WithinDue = list[tuple[Request, int]]
# Takes the requests of each team with the due shares of all teams. Returns for each team which
# requests take their turn first; None if the order stays as it is.
ShareOrder = Callable[
    [Mapping[str, TeamRequests[Any]], TeamUsage, Mapping[str, float]],
    "dict[str, WithinDue[Any]] | None",
]
share_orders: Registry[ShareOrder] = Registry("share order")


@share_orders.register("by_urgency")
def by_urgency(
    teams: Mapping[str, TeamRequests[Request]], usage: TeamUsage, due: Mapping[str, float]
) -> dict[str, WithinDue[Request]] | None:
    """Keep the order of the steps whatever their teams are due, as a baseline."""
    return None


@share_orders.register("due_first")
def due_first(
    teams: Mapping[str, TeamRequests[Request]], usage: TeamUsage, due: Mapping[str, float]
) -> dict[str, WithinDue[Request]] | None:
    """Put useful steps within their team's due share first, then what teams borrow.

    Long-running steps stay first. Work of no more use comes last, since it helps no caller. A
    step that reaches beyond its team's share is divided there, unless it is a gang.
    """
    return {
        team: _within_due(
            requests, due.get(team, 0.0), usage.deficit_adjusted_share(team), usage.total
        )
        for team, requests in teams.items()
    }


def _within_due(
    team: TeamRequests[Request], due: float, share: float, total: Resources
) -> WithinDue[Request]:
    """Return the team's first requests, up to its due share; a long queue is not read further."""
    found: WithinDue[Request] = []
    lasting_left = team.lasting
    for request in team.requests:
        if due - share <= ROUNDING and not lasting_left:
            break
        each = request.needs.dominant_fraction(total)
        within = _tasks_within(request, due - share, each)
        share += within * each
        if within:
            found.append((request, within))
        if request.standing is Standing.LASTING:
            lasting_left -= 1
    return found


def _tasks_within(request: ShareRequest, room: float, each: float) -> int:
    """Return how many tasks of a step begin before its team's room is used up."""
    if request.standing is Standing.LASTING:
        return request.tasks
    if room <= ROUNDING:
        return 0
    if request.gang or each * request.tasks <= room:
        return request.tasks
    return min(request.tasks, math.ceil((room - ROUNDING) / each))


@define(kw_only=True)
class TeamDemand:
    """Hold what one team uses of a pool and what it waits for, as shares of the pool."""

    used: float = 0.0
    # Used by long-running tasks, which are not stopped for others.
    lasting: float = 0.0
    # Waiting work that is still of use to its callers, and all waiting work.
    useful: float = 0.0
    waiting: float = 0.0


def due_shares(
    weights: Mapping[str, float], demands: Mapping[str, TeamDemand]
) -> tuple[dict[str, float], set[str]]:
    """Return the share that each team is due, and the teams that wait for a part of it.

    What is left once useful work is served goes to work of no more use.
    """
    kept = {team: demand.lasting for team, demand in demands.items()}
    wanted = {team: demand.used + demand.useful for team, demand in demands.items()}
    due = max_min_shares(weights, wanted, kept)
    waiting = {team for team, demand in demands.items() if demand.useful}
    if sum(due.values()) < 1.0 - ROUNDING:
        wanted = {team: demand.used + demand.waiting for team, demand in demands.items()}
        due = max_min_shares(weights, wanted, due)
        waiting = {team for team, demand in demands.items() if demand.waiting}
    return due, waiting


def keep_minions(passed_over: Sequence[Resources], minions: Sequence[Minion]) -> set[str]:
    """Choose minions that borrowers may not use, one for each of the needs that were passed over.

    Otherwise small tasks of teams beyond their share would take all capacity that becomes free,
    and no minion would ever have enough for a large one.
    """
    limit = math.ceil(len(minions) * MAX_KEPT_FRACTION)
    # The minions with the most free capacity: while they are kept they only gain.
    emptiest = sorted(minions, key=_used_fraction) if passed_over else []
    kept: set[str] = set()
    for needs in passed_over[:limit]:
        for minion in emptiest:
            if minion.minion_id not in kept and needs.fits_in(minion.report.capacity):
                kept.add(minion.minion_id)
                break
    return kept


def _used_fraction(minion: Minion) -> tuple[float, str]:
    return minion.used.dominant_fraction(minion.report.capacity), minion.minion_id


def exceeds(amounts: Sequence[Resources], total: Resources) -> bool:
    """Return whether the amounts together exceed the total of any resource."""
    together = NO_RESOURCES
    for amount in amounts:
        together = together.plus(amount)
    return not together.fits_in(total)
