"""Choose how long an idempotent call waits for an endpoint before another one is tried."""

from __future__ import annotations

from hornbeamreach.tables.calls import CallTables

MIN_HEDGE_DELAY_MS = 1_000
# An endpoint counts as silent after this many times the service's recent peak latency.
HEDGE_DELAY_FACTOR = 3
# Before a service's first reply, a call waits for its remaining time divided by this.
UNKNOWN_LATENCY_DIVISOR = 3
PEAK_DECAY = 0.99


def record_latency(tables: CallTables, service: str, latency_ms: float) -> None:
    """Update a service's peak latency, which decays with each reply."""
    decayed = tables.peak_latency_ms.get(service, 0.0) * PEAK_DECAY
    tables.peak_latency_ms[service] = max(latency_ms, decayed)


def hedge_delay_ms(tables: CallTables, service: str, left_ms: int) -> int:
    """Return how long in ms to wait for an endpoint before another one is tried."""
    peak_ms = tables.peak_latency_ms.get(service)
    if peak_ms is None:
        wait_ms = left_ms // UNKNOWN_LATENCY_DIVISOR
    else:
        wait_ms = round(peak_ms * HEDGE_DELAY_FACTOR)
    return min(left_ms, max(MIN_HEDGE_DELAY_MS, wait_ms))
