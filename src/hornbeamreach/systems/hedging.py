"""How long an idempotent call waits for an endpoint before it goes to another one."""

from __future__ import annotations

from hornbeamreach.tables.calls import CallTables

MIN_HEDGE_DELAY_MS = 1_000
# The slowest recent answer may be beaten by this factor before silence is suspected.
SLOWEST_FACTOR = 3
# Without any answer to learn from, this part of the time left is waited.
UNKNOWN_DIVISOR = 3
SLOWEST_DECAY = 0.99


def learn_latency(tables: CallTables, service: str, latency_ms: float) -> None:
    """Learn from an answer how slow a service may be."""
    decayed = tables.peak_latency_ms.get(service, 0.0) * SLOWEST_DECAY
    tables.peak_latency_ms[service] = max(latency_ms, decayed)


def hedge_delay_ms(tables: CallTables, service: str, left_ms: int) -> int:
    """Return how long an endpoint may be silent before another one is tried."""
    slowest_ms = tables.peak_latency_ms.get(service)
    if slowest_ms is None:
        wait_ms = left_ms // UNKNOWN_DIVISOR
    else:
        wait_ms = round(slowest_ms * SLOWEST_FACTOR)
    return min(left_ms, max(MIN_HEDGE_DELAY_MS, wait_ms))
