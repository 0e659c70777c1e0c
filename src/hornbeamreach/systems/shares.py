"""Choosing the next job: weighted max-min fairness over the dominant resource."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.jobs import NO_RESOURCES, JobRow, JobTables, Resources

# A deferrable job that has waited this long goes among the urgent ones.
DEFERRABLE_AGE_MS = 60_000
# A deficit counts as if it were paid back over this time, and never exceeds twice that of the
# team's whole share, so that a team that was short for long does not push out the others.
DEFICIT_WINDOW_MS = 2_000
MAX_DEFICIT_FACTOR = 2.0


@define(kw_only=True)
class TeamUsage:
    """Hold what each team's started jobs have reserved in one pool."""

    total: Resources
    by_team: dict[str, Resources] = field(factory=dict)
    # Share milliseconds that each team had less than its entitlement.
    deficits: dict[str, float] = field(factory=dict)

    def dominant_share(self, team: str) -> float:
        """Return the largest part of the pool that a team has reserved."""
        return self.by_team.get(team, NO_RESOURCES).dominant_fraction(self.total)

    def balanced_share(self, team: str) -> float:
        """Return a team's present share, less its deficit.

        Tasks are few and large beside a share, so that no present share is exact; over
        time the deficits make it so.
        """
        return self.dominant_share(team) - self.deficits.get(team, 0.0) / DEFICIT_WINDOW_MS

    def add(self, team: str, amount: Resources) -> None:
        """Count resources that a team takes."""
        self.by_team[team] = self.by_team.get(team, NO_RESOURCES).plus(amount)


def pool_usage(tables: JobTables, pool: str) -> TeamUsage:
    """Collect a pool's capacity and what each team has reserved of it."""
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
    """Hold the first waiting job of one team in one queue."""

    job: JobRow
    weight: float
    aged: bool


Share = Callable[[list[Candidate], TeamUsage], Candidate]
shares: Registry[Share] = Registry("share policy")


@shares.register("max_min")
def max_min(candidates: list[Candidate], usage: TeamUsage) -> Candidate:
    """Take the team with the lowest weighted dominant share, urgent jobs first.

    Source: Ghodsi et al., "Dominant Resource Fairness".
    """
    return min(
        candidates,
        key=lambda candidate: (
            not (candidate.job.urgent or candidate.aged),
            usage.balanced_share(candidate.job.team) / candidate.weight,
            candidate.job.enqueued_ms,
            candidate.job.id,
        ),
    )


@shares.register("first_come")
def first_come(candidates: list[Candidate], usage: TeamUsage) -> Candidate:
    """Take the job that has waited longest, as a baseline."""
    return min(candidates, key=lambda candidate: (candidate.job.enqueued_ms, candidate.job.id))


def candidates_of(
    tables: JobTables, state: ControlState, pool: str, now_ms: int, blocked: set[tuple[str, str]]
) -> list[Candidate]:
    """List the first ready job of each team in each queue of a pool."""
    found = []
    for queue, by_team in tables.queued.items():
        row = state.table.queues.get(queue)
        if row is None or row.pool != pool:
            continue
        for team, line in by_team.items():
            job = None if (queue, team) in blocked else _first_ready(tables, line, now_ms)
            if job is not None:
                team_row = state.table.teams.get(team)
                aged = now_ms - job.enqueued_ms >= DEFERRABLE_AGE_MS
                weight = team_row.weight if team_row else 1.0
                found.append(Candidate(job=job, weight=weight, aged=aged))
    return found


def _first_ready(tables: JobTables, line: deque[str], now_ms: int) -> JobRow | None:
    for job_id in line:
        job = tables.jobs[job_id]
        if job.not_before_ms <= now_ms and not job.cancelled and not job.in_transition:
            return job
    return None


def entitled_parts(state: ControlState, active: set[str]) -> dict[str, float]:
    """Return the parts of a pool that active teams are entitled to by their weights."""
    rows = state.table.teams
    known = sorted(team for team in active if team in rows)
    total = sum(rows[team].weight for team in known)
    return {team: rows[team].weight / total for team in known}


def settle_deficits(tables: JobTables, state: ControlState, now_ms: int) -> None:
    """Count what each team had beside what it was entitled to since the last tick."""
    since_ms = tables.deficits_updated_ms if tables.deficits_updated_ms is not None else now_ms
    tables.deficits_updated_ms = now_ms
    elapsed_ms = now_ms - since_ms
    for pool in sorted({row.pool for row in state.table.queues.values()}):
        _settle_pool(tables, state, pool, elapsed_ms)


def _settle_pool(tables: JobTables, state: ControlState, pool: str, elapsed_ms: int) -> None:
    waiting = {
        team
        for queue, by_team in tables.queued.items()
        if queue in state.table.queues and state.table.queues[queue].pool == pool
        for team, line in by_team.items()
        if line
    }
    usage = pool_usage(tables, pool)
    parts = entitled_parts(state, waiting | set(usage.by_team))
    for key in [key for key in tables.deficits if key[0] == pool and key[1] not in parts]:
        del tables.deficits[key]
    if not waiting:
        # Nobody was short of anything, so nobody has a deficit.
        for team in parts:
            tables.deficits.pop((pool, team), None)
        return
    for team, part in parts.items():
        deficit = tables.deficits.get((pool, team), 0.0)
        deficit += (part - usage.dominant_share(team)) * elapsed_ms
        most = part * DEFICIT_WINDOW_MS * MAX_DEFICIT_FACTOR
        # A team without waiting jobs took all that it wanted.
        highest = most if team in waiting else 0.0
        tables.deficits[(pool, team)] = max(-most, min(highest, deficit))
