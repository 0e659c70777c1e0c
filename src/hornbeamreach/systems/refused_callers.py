"""Remember the jobs that were refused for load, so that the longest refused get in first.

Load pattern: in a burst, callers that were refused return together with new ones. Without an order
among them some are refused again and again, while callers that came later are served.
"""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.systems.queued_work import JobWork, QueuedWork

MAX_ENTRIES = 4_096
RETENTION_MS = 30_000
# Retry-After is rounded up to whole seconds, and the caller needs some time itself. A caller that
# has not returned by then holds no place against others.
RETURN_GRACE_MS = 1_500


@define(kw_only=True)
class RefusedCallers:
    """Hold the first refusals by job id, the oldest first; their number and age are bounded."""

    first_ms: dict[str, int] = field(factory=dict)
    # Work of the refused jobs whose callers are expected again.
    expected: QueuedWork = field(factory=QueuedWork)

    def add(self, job_id: str, work: JobWork, now_ms: int) -> None:
        """Record a refusal whose caller returns at `until_ms`; a known job keeps its place."""
        if job_id not in self.first_ms:
            if len(self.first_ms) >= MAX_ENTRIES:
                self.remove(next(iter(self.first_ms)), now_ms)
            self.first_ms[job_id] = now_ms
        self.expected.update(job_id, work, now_ms)

    def remove(self, job_id: str, now_ms: int) -> bool:
        """Forget a job; return whether it was refused before."""
        self.expected.update(job_id, None, now_ms)
        return self.first_ms.pop(job_id, None) is not None

    def expire(self, now_ms: int) -> None:
        """Forget the jobs that were refused first too long ago."""
        while self.first_ms:
            job_id, first_ms = next(iter(self.first_ms.items()))
            if now_ms - first_ms < RETENTION_MS:
                return
            self.remove(job_id, now_ms)

    def waiting_before(self, job_id: str, pool: str, rank: int, now_ms: int) -> dict[str, float]:
        """Sum by team the work of a pool that was refused before a job and is expected again."""
        all_expected = self.expected.ahead(pool, rank, now_ms)
        if job_id not in self.first_ms or not all_expected:
            return all_expected
        work: dict[str, float] = {}
        for other_id in self.first_ms:
            if other_id == job_id:
                break
            other = self.expected.jobs.get(other_id)
            if other is not None and other.pool == pool and other.rank <= rank:
                work[other.team] = work.get(other.team, 0.0) + other.core_ms
        return work
