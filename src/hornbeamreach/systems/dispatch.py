"""Choose which queued call starts next, and on which endpoint."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from attrs import define, field

from hornbeamreach.systems.endpoint_health import is_silent, is_usable, refresh_endpoints
from hornbeamreach.systems.retries import acquire_retry, refund_retry
from hornbeamreach.systems.routing import RoutingPolicy
from hornbeamreach.tables.calls import CallRow, CallTables, EndpointRow
from hornbeamreach.tables.control_state import ControlState, VmPhase
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.verdict import Reason

# A deferrable call that has waited this long gets the priority of an urgent one.
DEFERRABLE_AGE_MS = 5_000


@define(frozen=True, kw_only=True)
class StartCall:
    """Send a call to an endpoint; its permit and credit are already acquired."""

    call: CallRow
    endpoint: EndpointRow


@define(frozen=True, kw_only=True)
class RefuseCall:
    """Refuse a call that did not run."""

    call: CallRow
    reason: Reason
    detail: str


CallAction = StartCall | RefuseCall


@define(frozen=True, kw_only=True)
class DispatchContext:
    """Hold the inputs of dispatch other than its tables."""

    state: ControlState
    may_act: Callable[[str], bool]
    routing: RoutingPolicy
    rng: random.Random
    now_ms: int


@define(kw_only=True)
class ServiceDispatch:
    """Hold one service's usable endpoints and blocked teams during a tick."""

    endpoints: list[EndpointRow]
    blocked_teams: set[str] = field(factory=set)


def dispatch(
    tables: CallTables, permits: PermitTable, context: DispatchContext
) -> list[CallAction]:
    """Run one tick: refresh endpoints, refuse calls that may not run, and start those that can."""
    refresh_endpoints(tables, context.now_ms)
    _release_abandoned_attempts(tables, permits, context.now_ms)
    actions: list[CallAction] = _refuse_queued(tables, context)
    permit_demand: dict[str, int] = {}
    for service in sorted(tables.queued):
        actions += _start_service(tables, permits, context, service, permit_demand)
    permits.set_shortfall("calls", permit_demand)
    return actions


def _release_abandoned_attempts(tables: CallTables, permits: PermitTable, now_ms: int) -> None:
    for attempt in [item for item in tables.abandoned_attempts if item.release_ms <= now_ms]:
        permits.release(attempt.team)
        tables.abandoned_attempts.remove(attempt)
        row = tables.endpoints.get(attempt.endpoint)
        if row is not None:
            row.running -= 1


def _refuse_queued(tables: CallTables, context: DispatchContext) -> list[CallAction]:
    """Refuse queued calls that are past their deadline or no longer allowed to run."""
    refused: list[CallAction] = []
    for call in list(tables.calls.values()):
        refusal = None if call.running else _refusal_of(call, context)
        if refusal is not None:
            tables.remove(call.id)
            refused.append(RefuseCall(call=call, reason=refusal[0], detail=refusal[1]))
    return refused


def _refusal_of(call: CallRow, context: DispatchContext) -> tuple[Reason, str] | None:
    if call.deadline_ms <= context.now_ms:
        waited = f"its deadline passed while it waited for {call.waiting_for or 'its turn'}"
        return Reason.DEADLINE_PASSED, waited
    if call.service not in context.state.table.services:
        return Reason.UNKNOWN_SERVICE, f"service {call.service} was deleted"
    key = context.state.keys.get(call.key_hash)
    if key is None or key.team != call.team:
        return Reason.UNKNOWN_KEY, "the key was withdrawn"
    if not context.may_act(call.team):
        detail = f"this entry VM may not act for team {call.team} while it is cut off"
        return Reason.AUTHORITY_LAPSED, detail
    return None


def _start_service(
    tables: CallTables,
    permits: PermitTable,
    context: DispatchContext,
    service: str,
    permit_demand: dict[str, int],
) -> list[CallAction]:
    service_dispatch = ServiceDispatch(endpoints=_usable_endpoints(tables, context, service))
    actions: list[CallAction] = []
    while (call := _next_call(tables, context, service, service_dispatch)) is not None:
        free = [row for row in service_dispatch.endpoints if row.free_credits() > 0]
        if not free:
            call.waiting_for = "a free endpoint" if service_dispatch.endpoints else "an endpoint"
            break
        if not permits.acquire(call.team):
            call.waiting_for = f"a permit of team {call.team}"
            permit_demand[call.team] = permit_demand.get(call.team, 0) + len(
                tables.queued[service][call.team]
            )
            service_dispatch.blocked_teams.add(call.team)
            continue
        row = context.routing(_preferred(free, call, context.now_ms), context.rng)
        actions.append(_start(tables, call, row, context.now_ms))
    return actions


def _usable_endpoints(
    tables: CallTables, context: DispatchContext, service: str
) -> list[EndpointRow]:
    state = context.state
    return [
        row
        for row in tables.service_endpoints(service)
        if is_usable(row, context.now_ms)
        and state.vm_state(row.vm).phase in (VmPhase.IN_SERVICE, VmPhase.PROBATION)
    ]


def _preferred(free: list[EndpointRow], call: CallRow, now_ms: int) -> list[EndpointRow]:
    """Prefer untried endpoints, and among them those that are not silent."""
    untried = [row for row in free if row.id not in call.tried] or free
    return [row for row in untried if not is_silent(row, now_ms)] or untried


def acquire_hedge_endpoint(
    tables: CallTables, permits: PermitTable, context: DispatchContext, call: CallRow
) -> EndpointRow | None:
    """Acquire another endpoint for a call whose first one is silent, or return None.

    A call that has lost a connection goes to one endpoint at a time: it may end each of them.
    """
    if call.connections_lost:
        return None
    endpoints = [
        row
        for row in _usable_endpoints(tables, context, call.service)
        if row.free_credits() > 0
        and row.id not in call.tried
        and not is_silent(row, context.now_ms)
    ]
    if not endpoints or acquire_retry(tables, call, context.now_ms, may_run_twice=True) is not None:
        return None
    if not permits.acquire(call.team):
        refund_retry(tables, call)
        return None
    row = context.routing(endpoints, context.rng)
    _assign_endpoint(tables, call, row, context.now_ms)
    return row


def _next_call(
    tables: CallTables, context: DispatchContext, service: str, service_dispatch: ServiceDispatch
) -> CallRow | None:
    """Return the first ready call of the team with the lowest weighted use, urgent calls first."""
    best: tuple[tuple[bool, float, int], CallRow] | None = None
    for team, queued in tables.queued.get(service, {}).items():
        call = _first_ready(tables, queued, context.now_ms)
        if call is None or team in service_dispatch.blocked_teams:
            continue
        row = context.state.table.teams.get(team)
        share = tables.running_by_team.get(team, 0) / (row.weight if row else 1.0)
        aged = context.now_ms - call.arrived_ms >= DEFERRABLE_AGE_MS
        rank = (not (call.urgent or aged), share, call.arrived_ms)
        if best is None or rank < best[0]:
            best = (rank, call)
    return best[1] if best else None


def _first_ready(tables: CallTables, queued: Iterable[str], now_ms: int) -> CallRow | None:
    for call_id in queued:
        call = tables.calls[call_id]
        if call.not_before_ms <= now_ms:
            return call
    return None


def _start(tables: CallTables, call: CallRow, row: EndpointRow, now_ms: int) -> StartCall:
    tables.queued[call.service][call.team].remove(call.id)
    call.running = True
    call.started_ms = now_ms
    call.waiting_for = ""
    _assign_endpoint(tables, call, row, now_ms)
    return StartCall(call=call, endpoint=row)


def _assign_endpoint(tables: CallTables, call: CallRow, row: EndpointRow, now_ms: int) -> None:
    call.attempts += 1
    call.endpoint = row.id
    call.tried.add(row.id)
    row.running += 1
    row.last_sent_ms = now_ms
    tables.adjust_running(call.team, 1)
