"""Learning what jobs really need from lagging reports of use."""

from __future__ import annotations

from collections import deque

from attrs import define, field

from hornbeamreach.tables.jobs import JobRow, Resources, declared_resources

HISTORY = 32
MIN_SAMPLES = 3
QUANTILE = 0.9
MEMORY_MARGIN = 1.2
CPU_MARGIN = 1.1


@define(kw_only=True)
class KindHistory:
    """Hold the peaks and run times of one team's finished tasks of one kind."""

    cpu_millis: deque[int] = field(factory=lambda: deque(maxlen=HISTORY))
    memory_mb: deque[int] = field(factory=lambda: deque(maxlen=HISTORY))
    run_ms: deque[int] = field(factory=lambda: deque(maxlen=HISTORY))


@define(kw_only=True)
class SizeTable:
    """Hold what has been learnt by team and kind of job."""

    kinds: dict[tuple[str, str], KindHistory] = field(factory=dict)


def learn(sizes: SizeTable, job: JobRow, peak: Resources, run_ms: int) -> None:
    """Learn from a finished task; a task that never reported its use teaches its time."""
    history = sizes.kinds.setdefault((job.team, job.spec.kind), KindHistory())
    history.run_ms.append(run_ms)
    if peak.memory_mb:
        history.cpu_millis.append(peak.cpu_millis)
        history.memory_mb.append(peak.memory_mb)


def estimate(sizes: SizeTable, job: JobRow) -> Resources:
    """Return what to reserve: what was learnt, or what the caller declared."""
    declared = declared_resources(job.spec)
    history = sizes.kinds.get((job.team, job.spec.kind))
    if history is None or len(history.memory_mb) < MIN_SAMPLES:
        return declared
    return Resources(
        cpu_millis=_with_margin(history.cpu_millis, CPU_MARGIN, declared.cpu_millis),
        memory_mb=_with_margin(history.memory_mb, MEMORY_MARGIN, declared.memory_mb),
        accelerators=declared.accelerators,
    )


def _with_margin(peaks: deque[int], margin: float, declared: int) -> int:
    """Return a peak with a margin, which alone does not exceed what was declared."""
    peak = quantile(peaks)
    padded = max(1, round(peak * margin))
    return min(padded, declared) if peak <= declared else padded


def expected_run_ms(sizes: SizeTable, job: JobRow) -> int:
    """Return how long a job is expected to run."""
    history = sizes.kinds.get((job.team, job.spec.kind))
    if history is None or len(history.run_ms) < MIN_SAMPLES:
        return job.spec.expected_ms
    return quantile(history.run_ms)


def quantile(values: deque[int]) -> int:
    """Return the value below which most of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * QUANTILE))]
