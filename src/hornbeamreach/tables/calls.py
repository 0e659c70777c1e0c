"""Queued and running calls of one entry process, and the endpoints that serve them."""

from __future__ import annotations

import enum
from collections import deque

from attrs import define, field

from hornbeamreach.tables.announcement import Announcement


class EndpointHealth(enum.Enum):
    """List the health states of an endpoint."""

    HEALTHY = "healthy"
    PROBATION = "probation"
    EJECTED = "ejected"


@define(kw_only=True)
class CallRow:
    """Represent one call from its arrival to its reply."""

    id: str
    team: str
    key_hash: str
    service: str
    urgent: bool
    arrived_ms: int
    deadline_ms: int
    idempotent: bool
    attempts: int = 0
    running: bool = False
    endpoint: str = ""
    started_ms: int = 0
    tried: set[str] = field(factory=set)
    not_before_ms: int = 0
    waiting_for: str = ""
    # A failed attempt may have run, so a later refusal must not say that the call did not run.
    may_have_run: bool = False
    # Attempts whose connection was lost before the answer: the call may have ended the endpoint.
    connections_lost: int = 0


@define(kw_only=True)
class EndpointRow:
    """Represent one endpoint as this process knows it."""

    id: str
    service: str
    address: str
    vm: str
    slots: int
    connections: int
    instance: str
    sequence: int
    last_announcement_ms: int
    leaving: bool = False
    # Latest announcement received directly from the endpoint; it is forwarded to the peers.
    direct_announcement: Announcement | None = None
    direct_announcement_ms: int = 0
    # This process's share of the endpoint's slots.
    credits: int = 0
    running: int = 0
    last_sent_ms: int = 0
    latency_ms: float = 0.0
    consecutive_failures: int = 0
    # Calls in flight without a response for longer than the service's hedging delay.
    overdue_calls: int = 0
    # When a peer last reported that the endpoint is silent.
    peer_suspected_ms: int | None = None
    health: EndpointHealth = EndpointHealth.HEALTHY
    ejected_until_ms: int = 0
    ejections: int = 0
    probes_left: int = 0

    def free_credits(self) -> int:
        """Return how many more calls this process may send now."""
        allowed = min(self.credits, 1) if self.health is EndpointHealth.PROBATION else self.credits
        return max(0, allowed - self.running)


@define(kw_only=True)
class AbandonedAttempt:
    """Hold the permit of an attempt that is no longer awaited but may still be running."""

    team: str
    endpoint: str
    release_ms: int


@define(kw_only=True)
class RetryBudget:
    """Hold the retry tokens earned by successful calls."""

    tokens: float


@define(kw_only=True)
class CallTables:
    """Hold the calls and endpoints of one entry process."""

    calls: dict[str, CallRow] = field(factory=dict)
    queued: dict[str, dict[str, deque[str]]] = field(factory=dict)
    endpoints: dict[str, EndpointRow] = field(factory=dict)
    abandoned_attempts: list[AbandonedAttempt] = field(factory=list)
    running_by_team: dict[str, int] = field(factory=dict)
    retry_budgets: dict[tuple[str, str], RetryBudget] = field(factory=dict)
    # Tokens earned by the successes of all teams; a retry that may run a call twice takes one.
    rerun_tokens: float = 0.0
    # Approximate recent maximum latency by service.
    peak_latency_ms: dict[str, float] = field(factory=dict)

    def enqueue(self, call: CallRow) -> None:
        """Append a call to the queue of its team and service."""
        self.calls[call.id] = call
        by_team = self.queued.setdefault(call.service, {})
        by_team.setdefault(call.team, deque()).append(call.id)

    def requeue(self, call: CallRow) -> None:
        """Put a call back at the head of its queue after a failed attempt."""
        call.running = False
        by_team = self.queued.setdefault(call.service, {})
        by_team.setdefault(call.team, deque()).appendleft(call.id)

    def remove(self, call_id: str) -> CallRow | None:
        """Remove a call, queued or running, and return it."""
        call = self.calls.pop(call_id, None)
        if call is not None and not call.running:
            call_ids = self.queued.get(call.service, {}).get(call.team)
            if call_ids is not None and call_id in call_ids:
                call_ids.remove(call_id)
        return call

    def queued_count(self, service: str) -> int:
        """Return the number of calls queued for a service."""
        return sum(len(call_ids) for call_ids in self.queued.get(service, {}).values())

    def service_endpoints(self, service: str) -> list[EndpointRow]:
        """Return a service's endpoints, sorted by id."""
        rows = [row for row in self.endpoints.values() if row.service == service]
        return sorted(rows, key=lambda row: row.id)

    def adjust_running(self, team: str, change: int) -> None:
        """Add a change to the count of a team's running calls."""
        count = self.running_by_team.get(team, 0) + change
        if count:
            self.running_by_team[team] = count
        else:
            self.running_by_team.pop(team, None)
