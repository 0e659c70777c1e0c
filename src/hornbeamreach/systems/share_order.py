"""Order the waiting steps of a full pool by what each team is due.

Load pattern: one or two teams send 4.7 to 7.5 times their usual load for some seconds, while the
declared weights of teams differ by a factor of more than ten. Ordered by urgency alone, the team
that sends most gets most.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

from attrs import define

from hornbeamreach.registry import Registry
from hornbeamreach.systems.fair_share import TeamUsage, max_min_shares
from hornbeamreach.systems.task_order import Standing
from hornbeamreach.tables.minions import Minion
from hornbeamreach.tables.resources import NO_RESOURCES, Resources

# At most this fraction of a pool's minions is kept for steps that were passed over, as what they
# keep free does no work meanwhile.
MAX_KEPT_FRACTION = 0.1


@define(kw_only=True)
class ShareRequest:
    """Hold what a waiting step asks of its team's share."""

    team: str
    standing: Standing
    # Needs of one task, and the number of tasks that may start.
    needs: Resources
    tasks: int
    # The tasks start together or not at all.
    gang: bool = False


@define
class Turn:
    """Let the tasks from `first` to before `end` of a request take their turn."""

    position: int
    first: int
    end: int
    # They start beyond what their team is due, in capacity that others leave free.
    borrowed: bool = False


# Takes the requests in the order of the task ordering, with the due shares of all their teams.
ShareOrder = Callable[[Sequence[ShareRequest], TeamUsage, Mapping[str, float]], list[Turn]]
share_orders: Registry[ShareOrder] = Registry("share order")


@share_orders.register("by_urgency")
def by_urgency(
    requests: Sequence[ShareRequest], usage: TeamUsage, due: Mapping[str, float]
) -> list[Turn]:
    """Keep the order of the steps whatever their teams are due, as a baseline."""
    return [Turn(position, 0, request.tasks) for position, request in enumerate(requests)]


@share_orders.register("due_first")
def due_first(
    requests: Sequence[ShareRequest], usage: TeamUsage, due: Mapping[str, float]
) -> list[Turn]:
    """Put useful steps within their team's due share first, then what teams borrow.

    Long-running steps stay first. Work of no more use comes last, since it helps no caller. A
    step that reaches beyond its team's share is divided there, unless it is a gang.
    """
    shares: dict[str, float] = {}
    # Two lists for each standing: within the team's due share, and beyond it.
    within_due: list[list[Turn]] = [[] for _ in Standing]
    beyond_due: list[list[Turn]] = [[] for _ in Standing]
    for position, request in enumerate(requests):
        team = request.team
        share = shares.get(team)
        if share is None:
            share = usage.deficit_adjusted_share(team)
        each = request.needs.dominant_fraction(usage.total)
        within = _tasks_within(request, due.get(team, 0.0) - share, each)
        shares[team] = share + within * each
        if within:
            within_due[request.standing].append(Turn(position, 0, within))
        if within < request.tasks:
            turn = Turn(position, within, request.tasks, borrowed=True)
            beyond_due[request.standing].append(turn)
    return [turn for s in Standing for turn in (*within_due[s], *beyond_due[s])]


def _tasks_within(request: ShareRequest, room: float, each: float) -> int:
    """Return how many tasks of a step begin before its team's room is used up."""
    if request.standing is Standing.LASTING:
        return request.tasks
    if room <= 0:
        return 0
    if request.gang or each * request.tasks <= room:
        return request.tasks
    return min(request.tasks, math.ceil(room / each))


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
    if sum(due.values()) < 1.0:
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
