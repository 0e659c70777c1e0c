"""Eject endpoints that fail, and probe them again later."""

from __future__ import annotations

from hornbeamreach.tables.calls import CallTables, EndpointHealth, EndpointRow

ANNOUNCE_TTL_MS = 3_000
EXPIRE_AFTER_MS = 30_000
FAILURES_TO_EJECT = 3
BASE_EJECTION_MS = 2_000
MAX_EJECTION_MS = 60_000
PROBES_TO_RECOVER = 3
# At most 1/MAX_EJECTED_DIVISOR of a service's endpoints are ejected at a time.
MAX_EJECTED_DIVISOR = 2
LATENCY_EWMA_WEIGHT = 0.2
# A peer's suspicion is valid for long enough that its next heartbeats can repeat it.
PEER_SUSPICION_MS = 1_500


def is_usable(row: EndpointRow, now_ms: int) -> bool:
    """Return whether an endpoint may get new calls."""
    announced = now_ms - row.last_announcement_ms <= ANNOUNCE_TTL_MS
    return announced and not row.leaving and row.health is not EndpointHealth.EJECTED


def is_suspect(row: EndpointRow) -> bool:
    """Return whether an endpoint is silent towards this process or ejected by it."""
    return row.overdue_calls > 0 or row.health is EndpointHealth.EJECTED


def is_silent(row: EndpointRow, now_ms: int) -> bool:
    """Return whether an endpoint is silent towards this process or towards a peer."""
    suspected_ms = row.peer_suspected_ms
    return row.overdue_calls > 0 or (
        suspected_ms is not None and now_ms - suspected_ms < PEER_SUSPICION_MS
    )


def record_success(row: EndpointRow, latency_ms: float) -> None:
    """Record that an endpoint answered a call."""
    if row.latency_ms:
        row.latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - row.latency_ms)
    else:
        row.latency_ms = latency_ms
    row.consecutive_failures = 0
    if row.health is EndpointHealth.PROBATION:
        row.probes_left -= 1
        if row.probes_left <= 0:
            row.health = EndpointHealth.HEALTHY
            row.ejections = 0


def record_failure(tables: CallTables, row: EndpointRow, now_ms: int) -> bool:
    """Record that a call failed on an endpoint, and return whether the endpoint is now ejected."""
    row.consecutive_failures += 1
    suspect = (
        row.health is EndpointHealth.PROBATION or row.consecutive_failures >= FAILURES_TO_EJECT
    )
    if not suspect or row.health is EndpointHealth.EJECTED or not _may_eject(tables, row):
        return False
    row.health = EndpointHealth.EJECTED
    row.ejections += 1
    wait_ms = min(BASE_EJECTION_MS * 2 ** (row.ejections - 1), MAX_EJECTION_MS)
    row.ejected_until_ms = now_ms + wait_ms
    return True


def _may_eject(tables: CallTables, row: EndpointRow) -> bool:
    rows = tables.service_endpoints(row.service)
    ejected = sum(1 for other in rows if other.health is EndpointHealth.EJECTED)
    return ejected + 1 <= len(rows) // MAX_EJECTED_DIVISOR


def refresh_endpoints(tables: CallTables, now_ms: int) -> None:
    """Put ejected endpoints on probation when due, and delete those that no longer announce."""
    for row in list(tables.endpoints.values()):
        if row.health is EndpointHealth.EJECTED and row.ejected_until_ms <= now_ms:
            row.health = EndpointHealth.PROBATION
            row.probes_left = PROBES_TO_RECOVER
            row.consecutive_failures = 0
        if now_ms - row.last_announcement_ms > EXPIRE_AFTER_MS and not row.running:
            del tables.endpoints[row.id]
