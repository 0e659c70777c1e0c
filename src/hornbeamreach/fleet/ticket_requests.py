"""Requests for tickets of the admission service, for steps that may start only with one."""

from __future__ import annotations

from collections.abc import Callable

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.ports import AdmissionPort, UnknownOutcomeError
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics

log = part_logger("scheduler")

# The admission service accepts a list of at most this many minions.
MAX_TICKET_MINIONS = 30


@define(kw_only=True, eq=False)
class TicketRequests:
    """Request the tickets that a planner lacks, and drop them when they are to be renewed."""

    fleet: FleetState
    port: AdmissionPort | None
    metrics: Metrics
    timing: FleetTiming
    # Schedules a planning pass.
    notify: Callable[[], None]
    requested: set[tuple[str, int, int]] = field(factory=set)

    def request_missing(self, planner: Planner, nursery: trio.Nursery) -> None:
        """Request tickets for the steps that lacked them in the latest slice."""
        missing = planner.missing_tickets - self.requested
        planner.missing_tickets.clear()
        for step_name in missing:
            self.requested.add(step_name)
            nursery.start_soon(self._request, planner, step_name)

    async def _request(self, planner: Planner, step_name: tuple[str, int, int]) -> None:
        job = self.fleet.job(step_name[0])
        if job is None or self.port is None:
            return
        pool = self.fleet.pool_of(job)
        evacuated = self.fleet.proposed.workload.evacuated
        members = [
            minion
            for minion in self.fleet.minions.values()
            if minion.report.pool == pool and minion.report.data_center not in evacuated
        ]
        members.sort(key=lambda minion: -minion.free().cpu_millis)
        minion_ids = [minion.minion_id for minion in members[:MAX_TICKET_MINIONS]]
        try:
            tickets = await self.port.request_tickets(
                f"{step_name[0]}.{step_name[1]}.{step_name[2]}", minion_ids
            )
        except UnknownOutcomeError as exc:
            log.bind(request=step_name[0]).warning("no tickets from the admission service: {}", exc)
            self.metrics.event("advice_unanswered")
            await trio.sleep(seconds(self.timing.retry_ms))
            self.requested.discard(step_name)
            self.notify()
            return
        planner.tickets[step_name] = tickets
        self.notify()
        queue = self.fleet.proposed.state.table.queues.get(job.queue)
        valid_ms = queue.advice_valid_ms if queue else 0
        await trio.sleep(seconds(valid_ms * self.timing.ticket_refresh_share))
        planner.tickets.pop(step_name, None)
        self.requested.discard(step_name)
