"""Running totals of the work that waits for a pool, by rank and team.

Load pattern: in a burst hundreds of jobs arrive within a second, and each decision on one of them
needs the work of all others.
"""

from __future__ import annotations

import heapq

from attrs import define, field


@define(frozen=True, kw_only=True)
class JobWork:
    """Hold what a job still has queued, in core ms, and until when it counts."""

    pool: str
    team: str
    rank: int
    core_ms: float
    until_ms: int


@define(kw_only=True, eq=False)
class QueuedWork:
    """Sum queued work by pool, rank and team."""

    jobs: dict[str, JobWork] = field(factory=dict)
    # pool -> rank -> team -> core ms
    totals: dict[str, dict[int, dict[str, float]]] = field(factory=dict)
    # Until when jobs count, and their ids, the earliest first. An entry whose time is no longer
    # that of its job has no effect.
    ends: list[tuple[int, str]] = field(factory=list)

    def update(self, job_id: str, work: JobWork | None, now_ms: int) -> None:
        """Replace what a job has queued."""
        earlier = self.jobs.pop(job_id, None)
        if earlier is not None:
            self._add(earlier, -earlier.core_ms)
        if work is None or work.core_ms <= 0 or work.until_ms <= now_ms:
            return
        self.jobs[job_id] = work
        self._add(work, work.core_ms)
        if earlier is None or earlier.until_ms != work.until_ms:
            heapq.heappush(self.ends, (work.until_ms, job_id))

    def ahead(self, pool: str, rank: int, now_ms: int) -> dict[str, float]:
        """Return the work by team that a pool serves before a new job of a rank."""
        while self.ends and self.ends[0][0] <= now_ms:
            until_ms, job_id = heapq.heappop(self.ends)
            job = self.jobs.get(job_id)
            if job is not None and job.until_ms == until_ms:
                self.update(job_id, None, now_ms)
        found: dict[str, float] = {}
        for other_rank, teams in self.totals.get(pool, {}).items():
            if other_rank <= rank:
                for team, core_ms in teams.items():
                    found[team] = found.get(team, 0.0) + core_ms
        return found

    def _add(self, work: JobWork, core_ms: float) -> None:
        teams = self.totals.setdefault(work.pool, {}).setdefault(work.rank, {})
        teams[work.team] = teams.get(work.team, 0.0) + core_ms
        # Sums of floats leave a remainder of rounding.
        if teams[work.team] < 1:
            del teams[work.team]
