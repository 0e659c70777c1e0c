"""Correct the declared run times of a queue's tasks by what its ended runs took.

Load pattern: declared run times are off by half and more, mostly in one direction for a queue. A
forecast of the work that arrives, and so the VMs that a pool gets in a busy period, is off as much.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from attrs import define, field

from hornbeamreach.registry import Registry

# Fewer ended runs than this tell little about a queue.
MIN_RUNS = 20
# Older runs count half as much each time that this many have ended.
HALVING_RUNS = 400
# Run times of a few stragglers or failures must not change a pool's size without limit. Declared
# run times that are 90 % too short call for a factor of ten: with at most 2.0 a twentieth of the
# jobs were late that are not with ten.
MIN_FACTOR = 0.4
MAX_FACTOR = 10.0
# Spread of a task's run time around its expected one while too few runs have ended to tell.
UNKNOWN_SPREAD = 0.5


@define(kw_only=True)
class RunTimeTotals:
    """Hold the ended runs of a queue, with their declared and actual work in core ms."""

    runs: int = 0
    declared_core_ms: float = 0.0
    taken_core_ms: float = 0.0
    # Sums of the ratio between actual and declared work, and of its square.
    ratios: float = 0.0
    squared_ratios: float = 0.0

    def record(self, *, declared_core_ms: float, taken_core_ms: float) -> None:
        """Record a run that ended as done."""
        if self.runs >= HALVING_RUNS:
            self.runs //= 2
            self.declared_core_ms /= 2
            self.taken_core_ms /= 2
            self.ratios /= 2
            self.squared_ratios /= 2
        self.runs += 1
        self.declared_core_ms += declared_core_ms
        self.taken_core_ms += taken_core_ms
        ratio = taken_core_ms / declared_core_ms if declared_core_ms > 0 else 1.0
        self.ratios += ratio
        self.squared_ratios += ratio * ratio

    def spread(self) -> float:
        """Return the standard deviation of that ratio, relative to its mean."""
        if self.runs < MIN_RUNS or self.ratios <= 0:
            return UNKNOWN_SPREAD
        mean = self.ratios / self.runs
        return math.sqrt(max(0.0, self.squared_ratios / self.runs - mean * mean)) / mean


# Host and path prefix of a queue.
Address = tuple[str, str]
RunTimeEstimator = Callable[[RunTimeTotals], float]
run_time_estimators: Registry[RunTimeEstimator] = Registry("run time estimate")


@run_time_estimators.register("declared")
def declared(totals: RunTimeTotals) -> float:
    """Trust the declared run times, as a baseline."""
    return 1.0


@run_time_estimators.register("learnt")
def learnt(totals: RunTimeTotals) -> float:
    """Return the factor between actual and declared work, 1.0 while too few runs have ended."""
    if totals.runs < MIN_RUNS or totals.declared_core_ms <= 0:
        return 1.0
    return min(max(totals.taken_core_ms / totals.declared_core_ms, MIN_FACTOR), MAX_FACTOR)


@define(kw_only=True)
class RunTimeHistory:
    """Record the run times of each queue's tasks."""

    estimator: RunTimeEstimator = field(factory=lambda: run_time_estimators.get("learnt"))
    by_queue: dict[str, RunTimeTotals] = field(factory=dict)

    def record(self, queue: str, *, declared_core_ms: float, taken_core_ms: float) -> None:
        """Record a run of a queue's task that ended as done."""
        totals = self.by_queue.setdefault(queue, RunTimeTotals())
        totals.record(declared_core_ms=declared_core_ms, taken_core_ms=taken_core_ms)

    def follow(self, before: dict[Address, str], after: dict[Address, str]) -> None:
        """Let each queue of a new table go on with the run times known for its address.

        `before` and `after` hold the names of the queues by host and path prefix. A queue whose
        name was another's starts anew; one that is removed keeps its own for its accepted jobs.
        """
        addresses_before = {name: address for address, name in before.items()}
        known = {name: self.by_queue[name] for name in self.by_queue.keys() - set(after.values())}
        for address, name in after.items():
            source = before.get(address)
            if source is None and addresses_before.get(name) not in after:
                source = name
            if source in self.by_queue:
                known[name] = self.by_queue[source]
        self.by_queue = known

    def factor(self, queue: str) -> float:
        """Return what a queue's declared work must be multiplied by."""
        totals = self.by_queue.get(queue)
        return self.estimator(totals) if totals is not None else 1.0

    def spread(self, queue: str) -> float:
        """Return the relative spread of a queue's run times around the expected ones."""
        totals = self.by_queue.get(queue)
        return totals.spread() if totals is not None else UNKNOWN_SPREAD
