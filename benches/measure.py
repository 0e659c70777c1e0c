"""Statistics and process figures for measurements."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable

from attrs import define

PERCENT = 100


@define(frozen=True, kw_only=True)
class Summary:
    """Hold the median and the 99th percentile of a sample."""

    median: float
    p99: float
    count: int


def summarize(values: list[float]) -> Summary:
    """Return the summary of a sample."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, len(ordered) * 99 // PERCENT)]
    return Summary(median=statistics.median(ordered), p99=p99, count=len(ordered))


def median_seconds(function: Callable[[], object], repeats: int) -> float:
    """Return the median duration of a function call in seconds."""
    times = []
    for _ in range(repeats):
        start = time.perf_counter()
        function()
        times.append(time.perf_counter() - start)
    return statistics.median(times)


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and intercept of the least-squares line through points."""
    mean_x = statistics.fmean(x for x, _ in points)
    mean_y = statistics.fmean(y for _, y in points)
    squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / squares_x
    return gradient, mean_y - gradient * mean_x


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in MiB, or 0 if it is not reported."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100
