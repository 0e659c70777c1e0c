"""Estimate the resources that jobs need from delayed usage reports."""

from __future__ import annotations

from collections import deque

from attrs import define, field

from hornbeamreach.tables.jobs import JobRow, Resources, declared_resources

HISTORY_LENGTH = 32
MIN_SAMPLES = 3
QUANTILE = 0.9
MEMORY_MARGIN = 1.2
CPU_MARGIN = 1.1


@define(kw_only=True)
class KindHistory:
    """Hold the peak use and run times of one team's finished tasks of one kind."""

    cpu_millis: deque[int] = field(factory=lambda: deque(maxlen=HISTORY_LENGTH))
    memory_mb: deque[int] = field(factory=lambda: deque(maxlen=HISTORY_LENGTH))
    run_ms: deque[int] = field(factory=lambda: deque(maxlen=HISTORY_LENGTH))


@define(kw_only=True)
class SizeTable:
    """Hold the histories by team and kind of job."""

    kinds: dict[tuple[str, str], KindHistory] = field(factory=dict)


def record_usage(sizes: SizeTable, job: JobRow, peak: Resources, run_ms: int) -> None:
    """Record a finished task: its run time, and its peak use if it was reported."""
    history = sizes.kinds.setdefault((job.team, job.spec.kind), KindHistory())
    history.run_ms.append(run_ms)
    if peak.memory_mb:
        history.cpu_millis.append(peak.cpu_millis)
        history.memory_mb.append(peak.memory_mb)


def estimate_resources(sizes: SizeTable, job: JobRow) -> Resources:
    """Return the resources to reserve, as estimated from the history or as declared."""
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
    """Add a margin to the usual peak, up to the declared amount unless the peak exceeds it."""
    peak = quantile(peaks)
    padded = max(1, round(peak * margin))
    return min(padded, declared) if peak <= declared else padded


def expected_run_ms(sizes: SizeTable, job: JobRow) -> int:
    """Return the expected run time of a job in ms."""
    history = sizes.kinds.get((job.team, job.spec.kind))
    if history is None or len(history.run_ms) < MIN_SAMPLES:
        return job.spec.expected_ms
    return quantile(history.run_ms)


def quantile(values: deque[int]) -> int:
    """Return the value at the QUANTILE of the sorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * QUANTILE))]
