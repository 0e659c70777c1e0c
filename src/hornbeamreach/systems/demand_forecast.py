"""Forecast the processor demand of pools from the arrivals of their jobs.

Load pattern: a queue's arrivals rise within some seconds from a twentieth of their mean to five
times it, and a VM that is moved to its pool can work only two seconds later. By then the tasks
that run and wait no longer tell how much is needed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field

from hornbeamreach.registry import Registry

# Long enough for some jobs of a small pool, shorter than a busy period.
RECENT_MS = 1_000
WINDOW_MS = 2_500
# The highest total rate of all pools is remembered this long.
PEAK_MEMORY_MS = 20_000
# Fewer jobs than this tell nothing about a rate.
MIN_JOBS = 2
# Arrivals rise if they exceed what came before by this many standard deviations, and one job.
RISE_DEVIATIONS = 2.0
# While arrivals rise they at most double until a moved VM can work, as far as the highest total
# rate, with this margin, allows it.
RISE_FACTOR = 2.0
PEAK_MARGIN = 1.2


@define(frozen=True, kw_only=True)
class ArrivalRates:
    """Hold the arrivals at one pool of late; rates are in 1/1000 core of work per unit of time."""

    recent_jobs: int = 0
    window_jobs: int = 0
    recent_cpu_millis: int = 0
    window_cpu_millis: int = 0

    @property
    def highest_cpu_millis(self) -> int:
        """Return the higher of the two rates."""
        return max(self.recent_cpu_millis, self.window_cpu_millis)

    def is_rising(self) -> bool:
        """Return whether more jobs came recently than the time before lets expect."""
        earlier_share = RECENT_MS / (WINDOW_MS - RECENT_MS)
        expected = (self.window_jobs - self.recent_jobs) * earlier_share
        return self.recent_jobs > expected + RISE_DEVIATIONS * math.sqrt(expected) + 1


Forecaster = Callable[[ArrivalRates, int], int]
forecasters: Registry[Forecaster] = Registry("demand forecast")


@forecasters.register("none")
def no_forecast(rates: ArrivalRates, peak_cpu_millis: int) -> int:
    """Expect nothing beyond what runs and waits, as a baseline."""
    return 0


@forecasters.register("arrival_rate")
def arrival_rate(rates: ArrivalRates, peak_cpu_millis: int) -> int:
    """Expect the present rate of arriving work to last, and a rising one to rise further.

    `peak_cpu_millis` is the highest total rate of all pools, which limits what a rise can reach.
    """
    if rates.window_jobs < MIN_JOBS:
        return 0
    present = rates.highest_cpu_millis
    if not rates.is_rising():
        return present
    limit = max(present, int(peak_cpu_millis * PEAK_MARGIN))
    return min(int(present * RISE_FACTOR), limit)


@define(kw_only=True)
class ArrivalHistory:
    """Record the arrivals at pools, and the highest total rate."""

    # Arrival time, declared work in core ms and queue, by pool, the oldest first.
    by_pool: dict[str, deque[tuple[int, int, str]]] = field(factory=dict)
    # Time and total rate of all pools.
    totals: deque[tuple[int, int]] = field(factory=deque)

    def record(self, pool: str, at_ms: int, work_core_ms: int, queue: str = "") -> None:
        """Record a job's arrival at a pool, with its declared work."""
        self.by_pool.setdefault(pool, deque()).append((at_ms, work_core_ms, queue))

    def measure(
        self, now_ms: int, factor: Callable[[str], float] = lambda queue: 1.0
    ) -> dict[str, ArrivalRates]:
        """Return the rates by pool, and remember their total.

        `factor` returns what a queue's declared work is multiplied by, from its ended runs.
        """
        queues = {queue for arrivals in self.by_pool.values() for _, _, queue in arrivals}
        factors = {queue: factor(queue) for queue in queues}
        rates = {}
        for pool, arrivals in self.by_pool.items():
            while arrivals and arrivals[0][0] <= now_ms - WINDOW_MS:
                arrivals.popleft()
            rates[pool] = _rates_of(arrivals, now_ms, factors)
        total = sum(rate.window_cpu_millis for rate in rates.values())
        # Only totals that no later one exceeds can still become the peak.
        while self.totals and self.totals[-1][1] <= total:
            self.totals.pop()
        self.totals.append((now_ms, total))
        while self.totals[0][0] < now_ms - PEAK_MEMORY_MS:
            self.totals.popleft()
        return rates

    @property
    def peak_cpu_millis(self) -> int:
        """Return the highest total rate remembered."""
        return self.totals[0][1] if self.totals else 0


def _rates_of(
    arrivals: Iterable[tuple[int, int, str]], now_ms: int, factors: dict[str, float]
) -> ArrivalRates:
    recent_jobs = window_jobs = recent_core_ms = window_core_ms = 0
    for at_ms, declared_core_ms, queue in arrivals:
        work_core_ms = round(declared_core_ms * factors[queue])
        window_jobs += 1
        window_core_ms += work_core_ms
        if at_ms > now_ms - RECENT_MS:
            recent_jobs += 1
            recent_core_ms += work_core_ms
    return ArrivalRates(
        recent_jobs=recent_jobs,
        window_jobs=window_jobs,
        recent_cpu_millis=recent_core_ms * 1_000 // RECENT_MS,
        window_cpu_millis=window_core_ms * 1_000 // WINDOW_MS,
    )
