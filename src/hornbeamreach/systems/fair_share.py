"""Share a pool by weighted max-min fairness over the dominant resource.

Both job paths use the entitlements and deficits here: the jobs of entries, which are chosen one
at a time (`max_min`), and step jobs, whose queue is ordered once a pass (`systems/share_order`).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import TeamRow
from hornbeamreach.tables.jobs import NO_RESOURCES, JobRow, JobTables, Resources

# A deferrable job that has waited this long gets the priority of an urgent one.
DEFERRABLE_AGE_MS = 60_000
# A deficit is repaid over this time, and is at most twice the team's whole share over it, so
# that a team with a long shortage does not displace the others.
DEFICIT_WINDOW_MS = 2_000
MAX_DEFICIT_FACTOR = 2.0
DEFAULT_WEIGHT = 1.0


@define(kw_only=True)
class TeamUsage:
    """Hold the resources that each team's jobs have reserved in one pool."""

    total: Resources
    by_team: dict[str, Resources] = field(factory=dict)
    # Each team's accumulated shortfall from its entitlement, in share ms.
    deficits: dict[str, float] = field(factory=dict)

    def dominant_share(self, team: str) -> float:
        """Return a team's largest reserved share of any of the pool's resources."""
        return self.by_team.get(team, NO_RESOURCES).dominant_fraction(self.total)

    def deficit_adjusted_share(self, team: str) -> float:
        """Return a team's current share, less its deficit.

        Tasks are few and large compared with a share, so no current share is exact. Deficits
        make the shares exact over time.
        """
        return self.dominant_share(team) - self.deficits.get(team, 0.0) / DEFICIT_WINDOW_MS

    def add(self, team: str, amount: Resources) -> None:
        """Add resources that a team reserves."""
        self.by_team[team] = self.by_team.get(team, NO_RESOURCES).plus(amount)

    def remove(self, team: str, amount: Resources) -> None:
        """Remove resources that a team no longer reserves, and a team that reserves none."""
        left = self.by_team.get(team, NO_RESOURCES).minus(amount)
        if left == NO_RESOURCES:
            self.by_team.pop(team, None)
        else:
            self.by_team[team] = left


def pool_usage(tables: JobTables, pool: str) -> TeamUsage:
    """Return a pool's capacity, and each team's reservations and deficit."""
    total = NO_RESOURCES
    for worker in tables.workers.values():
        if worker.pool == pool:
            total = total.plus(worker.capacity)
    usage = TeamUsage(total=total, deficits=dict(tables.deficits.get(pool, {})))
    for job in tables.started.values():
        worker = tables.workers.get(job.worker)
        if worker is not None and worker.pool == pool:
            usage.add(job.team, job.reserved)
    return usage


@define(frozen=True, kw_only=True)
class Candidate:
    """Hold the first ready job of one team in one queue."""

    job: JobRow
    weight: float
    aged: bool


SharePolicy = Callable[[list[Candidate], TeamUsage], Candidate]
share_policies: Registry[SharePolicy] = Registry("share policy")


@share_policies.register("max_min")
def max_min(candidates: list[Candidate], usage: TeamUsage) -> Candidate:
    """Choose the job of the team with the lowest weighted dominant share, urgent jobs first.

    Source: Ghodsi et al., "Dominant Resource Fairness".
    """
    return min(
        candidates,
        key=lambda candidate: (
            not (candidate.job.urgent or candidate.aged),
            usage.deficit_adjusted_share(candidate.job.team) / candidate.weight,
            candidate.job.enqueued_ms,
            candidate.job.id,
        ),
    )


@share_policies.register("first_come")
def first_come(candidates: list[Candidate], usage: TeamUsage) -> Candidate:
    """Choose the job that has waited longest, as a baseline."""
    return min(candidates, key=lambda candidate: (candidate.job.enqueued_ms, candidate.job.id))


def pool_candidates(
    tables: JobTables, state: ControlState, pool: str, now_ms: int, blocked: set[tuple[str, str]]
) -> list[Candidate]:
    """List the first ready job of each team in each queue of a pool."""
    found = []
    for queue, by_team in tables.queued.items():
        row = state.table.queues.get(queue)
        if row is None or row.pool != pool:
            continue
        for team, job_ids in by_team.items():
            job = None if (queue, team) in blocked else _first_ready(tables, job_ids, now_ms)
            if job is not None:
                aged = now_ms - job.enqueued_ms >= DEFERRABLE_AGE_MS
                weight = team_weight(state.table.teams.get(team))
                found.append(Candidate(job=job, weight=weight, aged=aged))
    return found


def _first_ready(tables: JobTables, job_ids: deque[str], now_ms: int) -> JobRow | None:
    for job_id in job_ids:
        job = tables.jobs[job_id]
        if job.not_before_ms <= now_ms and not job.cancelled and not job.in_transition:
            return job
    return None


def team_weight(row: TeamRow | None) -> float:
    """Return a team's weight; a team without a row, or with weight 0, counts as weight 1."""
    return row.weight if row is not None and row.weight > 0 else DEFAULT_WEIGHT


def team_weights(rows: Mapping[str, TeamRow], teams: Iterable[str]) -> dict[str, float]:
    """Return the weights of some teams."""
    return {team: team_weight(rows.get(team)) for team in sorted(teams)}


def max_min_shares(
    weights: Mapping[str, float],
    wanted: Mapping[str, float] | None = None,
    kept: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Divide a pool by weight; no team gets more than it wants or less than it keeps.

    What a team does not want is divided among the others. `wanted` defaults to everything and
    `kept`, what can't be taken back from a team, to nothing.
    """
    least = {team: (kept or {}).get(team, 0.0) for team in weights}
    most = {team: max(least[team], (wanted or {}).get(team, math.inf)) for team in weights}
    if sum(most.values()) <= 1.0:
        return most
    # A team's share is `weight * level` between `least` and `most`. The level is raised, from one
    # of these bounds to the next, until the shares add up to the pool.
    bounds = [(least[team] / weight, weight) for team, weight in weights.items()]
    bounds += [(most[team] / weight, -weight) for team, weight in weights.items()]
    level, slope, divided = 0.0, 0.0, sum(least.values())
    for bound, slope_change in sorted(bounds):
        if slope > 0 and divided + slope * (bound - level) >= 1.0:
            break
        if math.isinf(bound):
            break
        divided += slope * (bound - level)
        level, slope = bound, slope + slope_change
    if slope > 0 and divided < 1.0:
        level += (1.0 - divided) / slope
    return {
        team: min(most[team], max(least[team], weight * level)) for team, weight in weights.items()
    }


def entitled_shares(state: ControlState, active: set[str]) -> dict[str, float]:
    """Return the shares of a pool that active teams are entitled to by weight."""
    return max_min_shares(team_weights(state.table.teams, active))


def accumulate_deficits(
    deficits: dict[str, float],
    entitled: Mapping[str, float],
    held: Mapping[str, float],
    waiting: set[str],
    elapsed_ms: int,
) -> None:
    """Add each team's shortfall, its entitled less its held share, to its deficit.

    Without waiting teams no team is short of capacity, so there are no deficits.
    """
    for team in list(deficits):
        if not waiting or team not in entitled:
            del deficits[team]
    if not waiting:
        return
    for team, entitlement in entitled.items():
        deficit = deficits.get(team, 0.0) + (entitlement - held.get(team, 0.0)) * elapsed_ms
        max_deficit = entitlement * DEFICIT_WINDOW_MS * MAX_DEFICIT_FACTOR
        # A team that doesn't wait has all that it needs.
        upper_bound = max_deficit if team in waiting else 0.0
        deficits[team] = max(-max_deficit, min(upper_bound, deficit))


def update_deficits(tables: JobTables, state: ControlState, now_ms: int) -> None:
    """Add each team's shortfall from its entitlement since the last tick to its deficit."""
    since_ms = tables.deficits_updated_ms if tables.deficits_updated_ms is not None else now_ms
    tables.deficits_updated_ms = now_ms
    elapsed_ms = now_ms - since_ms
    for pool in sorted({row.pool for row in state.table.queues.values()}):
        _update_pool_deficits(tables, state, pool, elapsed_ms)


def _update_pool_deficits(
    tables: JobTables, state: ControlState, pool: str, elapsed_ms: int
) -> None:
    queued_teams = {
        team
        for queue, by_team in tables.queued.items()
        if queue in state.table.queues and state.table.queues[queue].pool == pool
        for team, job_ids in by_team.items()
        if job_ids
    }
    usage = pool_usage(tables, pool)
    entitled = entitled_shares(state, queued_teams | set(usage.by_team))
    held = {team: usage.dominant_share(team) for team in entitled}
    accumulate_deficits(usage.deficits, entitled, held, queued_teams, elapsed_ms)
    tables.deficits[pool] = usage.deficits
