"""Choose when callers come again that an entry refuses because it reaches no leader.

Load pattern: the leader is killed in a burst. All callers of an outage that are told the same time
come back together, with those that the leader had told to wait, and reach a new leader at once.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from hornbeamreach.registry import Registry

MIN_RETRY_MS = 1_000
MAX_RETRY_MS = 10_000
MS_PER_S = 1_000
# Callers of an outage are spread over this many seconds.
SPREAD = 3
MAX_REPORTS = 1_024


@define(frozen=True, kw_only=True)
class OutageCall:
    """Describe a call that reached no leader."""

    # Refusals of this outage so far.
    number: int
    # How long the leader's last refusal for load asked callers of the queue to wait, and its age.
    reported_ms: int = 0
    report_age_ms: int = 0


RetryPolicy = Callable[[OutageCall], int]
outage_retries: Registry[RetryPolicy] = Registry("retry after an outage")


@outage_retries.register("fixed")
def fixed(call: OutageCall) -> int:
    """Let all callers come again after the same time, as a baseline."""
    return MIN_RETRY_MS


@outage_retries.register("reported")
def reported(call: OutageCall) -> int:
    """Spread the callers over some seconds, from when the last report lets expect room."""
    left_ms = max(0, call.reported_ms - call.report_age_ms)
    after_ms = max(MIN_RETRY_MS, left_ms) + call.number % SPREAD * MS_PER_S
    return min(after_ms, MAX_RETRY_MS)


@define(kw_only=True)
class LoadReports:
    """Hold the leader's last refusal for load of each queue, for a bounded number of queues."""

    # Queue -> Retry-After and the time of the report.
    by_queue: dict[str, tuple[int, int]] = field(factory=dict)
    number: int = 0

    def note(self, queue: str, retry_after_ms: int, now_ms: int) -> None:
        """Record a report; the oldest one makes room."""
        self.by_queue.pop(queue, None)
        if retry_after_ms:
            if len(self.by_queue) >= MAX_REPORTS:
                del self.by_queue[next(iter(self.by_queue))]
            self.by_queue[queue] = (retry_after_ms, now_ms)

    def describe(self, queue: str, now_ms: int) -> OutageCall:
        """Describe the next call of a queue that reached no leader."""
        self.number += 1
        reported_ms, at_ms = self.by_queue.get(queue, (0, now_ms))
        return OutageCall(number=self.number, reported_ms=reported_ms, report_age_ms=now_ms - at_ms)
