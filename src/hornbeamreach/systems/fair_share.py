"""Choose the next job by weighted max-min fairness over the dominant resource."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.jobs import NO_RESOURCES, JobRow, JobTables, Resources

# A deferrable job that has waited this long gets the priority of an urgent one.
DEFERRABLE_AGE_MS = 60_000
# A deficit is repaid over this time, and is at most twice the team's whole share over it, so
# that a team with a long shortage does not displace the others.
DEFICIT_WINDOW_MS = 2_000
MAX_DEFICIT_FACTOR = 2.0


@define(kw_only=True)
class TeamUsage:
    """Hold the resources that each team's started jobs have reserved in one pool."""

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


def pool_usage(tables: JobTables, pool: str) -> TeamUsage:
    """Return a pool's capacity, and each team's reservations and deficit."""
    total = NO_RESOURCES
    for worker in tables.workers.values():
        if worker.pool == pool:
            total = total.plus(worker.capacity)
    deficits = {team: deficit for (name, team), deficit in tables.deficits.items() if name == pool}
    usage = TeamUsage(total=total, deficits=deficits)
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
                team_row = state.table.teams.get(team)
                aged = now_ms - job.enqueued_ms >= DEFERRABLE_AGE_MS
                weight = team_row.weight if team_row else 1.0
                found.append(Candidate(job=job, weight=weight, aged=aged))
    return found


def _first_ready(tables: JobTables, job_ids: deque[str], now_ms: int) -> JobRow | None:
    for job_id in job_ids:
        job = tables.jobs[job_id]
        if job.not_before_ms <= now_ms and not job.cancelled and not job.in_transition:
            return job
    return None


def entitled_shares(state: ControlState, active: set[str]) -> dict[str, float]:
    """Return the shares of a pool that active teams are entitled to by weight."""
    rows = state.table.teams
    known = sorted(team for team in active if team in rows)
    total = sum(rows[team].weight for team in known)
    return {team: rows[team].weight / total for team in known}


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
    entitlements = entitled_shares(state, queued_teams | set(usage.by_team))
    for key in [key for key in tables.deficits if key[0] == pool and key[1] not in entitlements]:
        del tables.deficits[key]
    if not queued_teams:
        # Without queued jobs, no team is short of capacity.
        for team in entitlements:
            tables.deficits.pop((pool, team), None)
        return
    for team, entitlement in entitlements.items():
        deficit = tables.deficits.get((pool, team), 0.0)
        deficit += (entitlement - usage.dominant_share(team)) * elapsed_ms
        max_deficit = entitlement * DEFICIT_WINDOW_MS * MAX_DEFICIT_FACTOR
        # A team without queued jobs has all that it needs.
        upper_bound = max_deficit if team in queued_teams else 0.0
        tables.deficits[(pool, team)] = max(-max_deficit, min(upper_bound, deficit))
