"""Calls that wait or run at one entry process, and the endpoints they go to."""

from __future__ import annotations

import enum
from collections import deque

from attrs import define, field

from hornbeamreach.tables.announcement import Announcement


class EndpointHealth(enum.Enum):
    """Name how far an endpoint is trusted."""

    HEALTHY = "healthy"
    PROBATION = "probation"
    EJECTED = "ejected"


@define(kw_only=True)
class CallRow:
    """Hold one call from its arrival to its answer."""

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
    waits_for: str = ""
    # An attempt that failed may have run, so no later refusal may say otherwise.
    may_have_run: bool = False


@define(kw_only=True)
class EndpointRow:
    """Hold what this process knows of one endpoint."""

    id: str
    service: str
    address: str
    vm: str
    slots: int
    connections: int
    instance: str
    sequence: int
    heard_ms: int
    leaving: bool = False
    # The latest announcement that came to this process itself, for its peers.
    announced_here: Announcement | None = None
    announced_here_ms: int = 0
    # This process's part of the endpoint's slots.
    credits: int = 0
    running: int = 0
    last_sent: int = 0
    latency_ms: float = 0.0
    failures_in_row: int = 0
    # Calls in flight that have been silent for longer than the service's patience.
    overdue: int = 0
    # When a peer last told that the endpoint is silent towards it.
    peer_suspects_ms: int | None = None
    health: EndpointHealth = EndpointHealth.HEALTHY
    ejected_until_ms: int = 0
    ejections: int = 0
    probes_left: int = 0

    def free_credits(self) -> int:
        """Return how many more calls this process may send now."""
        allowed = min(self.credits, 1) if self.health is EndpointHealth.PROBATION else self.credits
        return max(0, allowed - self.running)


@define(kw_only=True)
class LingeringCall:
    """Hold the permit of an attempt that nobody waits for but that may still run."""

    team: str
    endpoint: str
    release_ms: int


@define(kw_only=True)
class RetryBudget:
    """Hold the retries that earlier successes allow."""

    tokens: float


@define(kw_only=True)
class CallTables:
    """Hold the calls and endpoints of one entry process."""

    calls: dict[str, CallRow] = field(factory=dict)
    queued: dict[str, dict[str, deque[str]]] = field(factory=dict)
    endpoints: dict[str, EndpointRow] = field(factory=dict)
    lingering: list[LingeringCall] = field(factory=list)
    running_by_team: dict[str, int] = field(factory=dict)
    retry_budgets: dict[tuple[str, str], RetryBudget] = field(factory=dict)
    # Second runs that the successes of all teams allow this process.
    second_runs: float = 0.0
    # By service, about the longest that an endpoint took to answer lately.
    slowest_ms: dict[str, float] = field(factory=dict)

    def enqueue(self, call: CallRow) -> None:
        """Let a call wait for its service."""
        self.calls[call.id] = call
        by_team = self.queued.setdefault(call.service, {})
        by_team.setdefault(call.team, deque()).append(call.id)

    def requeue(self, call: CallRow) -> None:
        """Let a call that was tried wait again, before its team's others."""
        call.running = False
        by_team = self.queued.setdefault(call.service, {})
        by_team.setdefault(call.team, deque()).appendleft(call.id)

    def drop(self, call_id: str) -> CallRow | None:
        """Forget a call, wherever it stands."""
        call = self.calls.pop(call_id, None)
        if call is not None and not call.running:
            waiting = self.queued.get(call.service, {}).get(call.team)
            if waiting is not None and call_id in waiting:
                waiting.remove(call_id)
        return call

    def queued_count(self, service: str) -> int:
        """Return how many calls wait for a service."""
        return sum(len(waiting) for waiting in self.queued.get(service, {}).values())

    def service_endpoints(self, service: str) -> list[EndpointRow]:
        """Return a service's endpoints, sorted by id."""
        rows = [row for row in self.endpoints.values() if row.service == service]
        return sorted(rows, key=lambda row: row.id)

    def count_running(self, team: str, change: int) -> None:
        """Count a team's running calls."""
        left = self.running_by_team.get(team, 0) + change
        if left:
            self.running_by_team[team] = left
        else:
            self.running_by_team.pop(team, None)
