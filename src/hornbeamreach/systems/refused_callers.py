"""Remember the jobs that were refused for load, so that their callers keep their place.

Load pattern: in a burst, callers that were refused return together with new ones. If their time
began anew with each request, they would go behind all that came meanwhile. Work that is only
expected holds no capacity back: the jobs of callers that come meanwhile may still be useful, while
most refused ones are late when they return.
"""

from __future__ import annotations

from collections import Counter

from attrs import define, field

MAX_ENTRIES = 4_096
RETENTION_MS = 30_000


@define(kw_only=True)
class RefusedCallers:
    """Hold the first refusals by job id, the oldest first; their number and age are bounded."""

    first_ms: dict[str, int] = field(factory=dict)
    pools: dict[str, str] = field(factory=dict)
    by_pool: Counter[str] = field(factory=Counter)

    def add(self, job_id: str, now_ms: int, pool: str = "") -> None:
        """Record a refusal; a known job keeps its place."""
        if job_id not in self.first_ms:
            if len(self.first_ms) >= MAX_ENTRIES:
                self.remove(next(iter(self.first_ms)))
            self.first_ms[job_id] = now_ms
            self.pools[job_id] = pool
            self.by_pool[pool] += 1

    def before(self, job_id: str, pool: str) -> int:
        """Return how many of a pool's jobs were refused before a new one; 0 for a known job."""
        return 0 if job_id in self.first_ms else self.by_pool[pool]

    def waited_ms(self, job_id: str, now_ms: int) -> int:
        """Return how long ago a job was first refused, 0 if it wasn't."""
        return now_ms - self.first_ms.get(job_id, now_ms)

    def remove(self, job_id: str) -> bool:
        """Forget a job; return whether it was refused before."""
        if self.first_ms.pop(job_id, None) is None:
            return False
        pool = self.pools.pop(job_id)
        self.by_pool[pool] -= 1
        if not self.by_pool[pool]:
            del self.by_pool[pool]
        return True

    def expire(self, now_ms: int) -> None:
        """Forget the jobs that were refused first too long ago."""
        while self.first_ms:
            job_id, first_ms = next(iter(self.first_ms.items()))
            if now_ms - first_ms < RETENTION_MS:
                return
            self.remove(job_id)
