"""Remember the jobs that were refused for load, so that their callers keep their place.

Load pattern: in a burst, callers that were refused return together with new ones. If their time
began anew with each request, they would go behind all that came meanwhile. Work that is only
expected holds no capacity back: the jobs of callers that come meanwhile may still be useful, while
most refused ones are late when they return. It only sets when further callers are to return.
"""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.systems.queued_work import JobWork, QueuedWork

MAX_ENTRIES = 4_096
RETENTION_MS = 30_000


@define(kw_only=True)
class RefusedCallers:
    """Hold the first refusals by job id, the oldest first; their number and age are bounded."""

    first_ms: dict[str, int] = field(factory=dict)
    # Work of the refused jobs until their callers return.
    expected: QueuedWork = field(factory=QueuedWork)

    def add(self, job_id: str, work: JobWork, now_ms: int) -> None:
        """Record a refusal whose caller returns at `until_ms`; a known job keeps its place."""
        if job_id not in self.first_ms:
            if len(self.first_ms) >= MAX_ENTRIES:
                self.remove(next(iter(self.first_ms)), now_ms)
            self.first_ms[job_id] = now_ms
        self.expected.update(job_id, work, now_ms)

    def expected_core_ms(self, pool: str, rank: int, now_ms: int) -> float:
        """Return the work of a pool whose callers were refused and have not returned yet."""
        return sum(self.expected.ahead(pool, rank, now_ms).values())

    def waited_ms(self, job_id: str, now_ms: int) -> int:
        """Return how long ago a job was first refused, 0 if it wasn't."""
        return now_ms - self.first_ms.get(job_id, now_ms)

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
