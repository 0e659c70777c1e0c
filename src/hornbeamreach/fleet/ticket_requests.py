"""Requests for tickets of the admission service, for steps that may start only with one."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.ports import AdmissionPort, UnknownOutcomeError
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.ticket_choice import (
    MAX_OUTSTANDING_CALLS,
    MAX_OUTSTANDING_MS,
    TicketCandidate,
    TicketChoice,
    TicketDemand,
    call_ms,
    ticket_choices,
)
from hornbeamreach.tables.declared import QueueRow
from hornbeamreach.tables.minions import Minion
from hornbeamreach.tables.workload import StepJob

log = part_logger("scheduler")

# Job, occurrence and step.
StepName = tuple[str, int, int]
# Steps for which minions are chosen after one slice, so that it doesn't delay the next one.
MAX_STEPS_CHOSEN = 50
FORGET_INTERVAL_MS = 5_000


@define(kw_only=True, eq=False)
class StepAdvice:
    """Hold what the admission service answered for one step."""

    # Time until which a ticket is used, by admitted minion; 0 for one that was taken back.
    admitted: dict[str, int] = field(factory=dict)
    # Time until which a refusal holds, by minion.
    refused: dict[str, int] = field(factory=dict)
    # Time of the latest answer, and of the latest choice of minions; negative before the first.
    answered_ms: int = -1
    chosen_ms: int = -1
    # Whether a call is under way, or a pause after one that got no answer.
    busy: bool = False


@define(kw_only=True, eq=False)
class PoolMembers:
    """Hold the minions of a pool that the service may be asked about."""

    minions: list[Minion]
    usable: set[str]


@define(kw_only=True, eq=False)
class TicketRequests:
    """Request the tickets that a planner lacks, and drop them when they are to be renewed."""

    fleet: FleetState
    port: AdmissionPort | None
    metrics: Metrics
    timing: FleetTiming
    clock: Clock
    planner: Planner
    # Schedules a planning pass.
    notify: Callable[[], None]
    choose: TicketChoice = field(factory=lambda: ticket_choices.get("unanswered_first"))
    steps: dict[StepName, StepAdvice] = field(factory=dict)
    # Calls under way and their expected duration.
    calls: int = 0
    outstanding_ms: int = 0
    forgot_ms: int = 0

    def request_missing(self, nursery: trio.Nursery) -> None:
        """Request tickets for the steps that lacked them in the latest slice."""
        missing = list(self.planner.missing_tickets)
        self.planner.missing_tickets.clear()
        now_ms = self.clock.now_ms()
        self._forget_old(now_ms)
        if self.port is None or not missing:
            return
        waiting = [name for name in missing if name not in self.steps or not self.steps[name].busy]
        # All steps have their turn, and those without an answer go first.
        waiting.sort(key=lambda name: self.steps[name].chosen_ms if name in self.steps else -1)
        members: dict[str, PoolMembers] = {}
        for name in waiting[:MAX_STEPS_CHOSEN]:
            if self.calls >= MAX_OUTSTANDING_CALLS or self.outstanding_ms >= MAX_OUTSTANDING_MS:
                return
            job = self.fleet.job(name[0])
            if job is None:
                continue
            pool = self.fleet.pool_of(job)
            if pool not in members:
                members[pool] = self._members_of(pool, now_ms)
            self._request_for(name, job, members[pool], now_ms, nursery)

    def _members_of(self, pool: str, now_ms: int) -> PoolMembers:
        evacuated = self.fleet.proposed.workload.evacuated
        minions = [
            minion
            for minion in self.fleet.minions.values()
            if minion.report.pool == pool
            and minion.report.data_center not in evacuated
            and not (minion.gone or minion.report.draining or minion.report.leaving)
        ]
        usable = self.fleet.usable_minions(minions, now_ms)
        return PoolMembers(minions=minions, usable={minion.minion_id for minion in usable})

    def _request_for(
        self,
        name: StepName,
        job: StepJob,
        members: PoolMembers,
        now_ms: int,
        nursery: trio.Nursery,
    ) -> None:
        queue = self.fleet.queue_of(job)
        if queue is None:
            return
        advice = self.steps.setdefault(name, StepAdvice())
        demand = TicketDemand(
            candidates=list(self._candidates(name, job, advice, members, now_ms)),
            answered=advice.answered_ms >= 0,
            has_admitted=bool(advice.admitted),
            decide_ms=queue.advice_decide_ms,
            each_ms=queue.advice_each_ms,
        )
        advice.chosen_ms = now_ms
        minion_ids = self.choose(demand)
        if minion_ids:
            expected_ms = call_ms(queue.advice_decide_ms, queue.advice_each_ms, len(minion_ids))
            advice.busy = True
            self.calls += 1
            self.outstanding_ms += expected_ms
            nursery.start_soon(self._request, name, advice, queue, minion_ids, expected_ms)

    def _candidates(
        self,
        name: StepName,
        job: StepJob,
        advice: StepAdvice,
        members: PoolMembers,
        now_ms: int,
    ) -> Iterator[TicketCandidate]:
        step = job.spec.steps[name[2]]
        for minion in members.minions:
            minion_id, report = minion.minion_id, minion.report
            if step.required_label and step.required_label not in report.labels:
                continue
            until_ms = advice.admitted.get(minion_id, advice.refused.get(minion_id, 0))
            if until_ms > now_ms:
                continue
            yield TicketCandidate(
                minion_id=minion_id,
                free_cpu_millis=minion.free().cpu_millis,
                has_room=minion_id in members.usable and minion.can_fit(step.needs),
                near_data=bool(step.data_rack) and report.rack == step.data_rack,
                admitted_before=minion_id in advice.admitted,
            )

    async def _request(
        self,
        name: StepName,
        advice: StepAdvice,
        queue: QueueRow,
        minion_ids: list[str],
        expected_ms: int,
    ) -> None:
        assert self.port is not None
        sent_ms = self.clock.now_ms()
        asked_about = {minion_id: self._born_ms(minion_id) for minion_id in minion_ids}
        try:
            tickets = await self.port.request_tickets(f"{name[0]}.{name[1]}.{name[2]}", minion_ids)
        except UnknownOutcomeError as exc:
            log.bind(request=name[0], step=f"{name[1]}.{name[2]}", asked=len(minion_ids)).warning(
                "no tickets from the admission service: {}", exc
            )
            self.metrics.event("advice_unanswered")
            await trio.sleep(seconds(self.timing.retry_ms))
            return
        finally:
            self.calls -= 1
            self.outstanding_ms -= expected_ms
            advice.busy = False
            self.notify()
        if self.steps.get(name) is not advice:
            # What was known of the step was dropped, and it is asked for anew.
            return
        until_ms = sent_ms + round(queue.advice_valid_ms * self.timing.ticket_refresh_share)
        # A ticket may be for an incarnation that is over by now.
        named = [m for m in minion_ids if self._born_ms(m) == asked_about[m]]
        self._record(name, advice, named, tickets, until_ms)
        await trio.sleep(seconds(max(0, until_ms - self.clock.now_ms())))
        self._drop_lapsed(name, advice)

    def _record(
        self,
        name: StepName,
        advice: StepAdvice,
        minion_ids: list[str],
        tickets: dict[str, str],
        until_ms: int,
    ) -> None:
        now_ms = self.clock.now_ms()
        advice.answered_ms = now_ms
        for minion_id in minion_ids:
            if minion_id in tickets:
                advice.refused.pop(minion_id, None)
                advice.admitted[minion_id] = until_ms
            else:
                advice.admitted.pop(minion_id, None)
                advice.refused[minion_id] = now_ms + self.timing.ticket_refusal_ms
        admitted = {minion: tickets[minion] for minion in minion_ids if minion in tickets}
        if admitted:
            self.planner.tickets.setdefault(name, {}).update(admitted)
        self.metrics.event("advice_answered")
        log.bind(
            request=name[0],
            step=f"{name[1]}.{name[2]}",
            asked=len(minion_ids),
            admitted=len(admitted),
            known_admitted=len(advice.admitted),
            known_refused=len(advice.refused),
        ).info("admission service answered")

    def _drop_lapsed(self, name: StepName, advice: StepAdvice) -> None:
        tickets = self.planner.tickets.get(name)
        if tickets is None or self.steps.get(name) is not advice:
            return
        now_ms = self.clock.now_ms()
        for minion_id in [m for m in tickets if advice.admitted.get(m, 0) <= now_ms]:
            del tickets[minion_id]
        if not tickets:
            del self.planner.tickets[name]

    def _born_ms(self, minion_id: str) -> int:
        minion = self.fleet.minions.get(minion_id)
        return minion.report.born_ms if minion is not None else 0

    def forget_minion(self, minion_id: str) -> None:
        """Drop the tickets for an incarnation that is over; the next one needs its own."""
        for name, advice in self.steps.items():
            if minion_id in advice.admitted:
                advice.admitted[minion_id] = 0
            self.planner.tickets.get(name, {}).pop(minion_id, None)

    def take_back(self, name: StepName) -> None:
        """Let the tickets of a step be renewed, as a minion has rejected one."""
        self.planner.tickets.pop(name, None)
        advice = self.steps.get(name)
        if advice is not None:
            advice.admitted = dict.fromkeys(advice.admitted, 0)

    def forget(self, name: StepName) -> None:
        """Forget what was answered for a step, so that all its minions may be named again."""
        self.planner.tickets.pop(name, None)
        self.steps.pop(name, None)

    def _forget_old(self, now_ms: int) -> None:
        """Forget the steps that no longer wait for tickets."""
        if now_ms - self.forgot_ms < FORGET_INTERVAL_MS:
            return
        self.forgot_ms = now_ms
        kept_ms = 2 * self.timing.ticket_refusal_ms
        for name, advice in list(self.steps.items()):
            is_old = now_ms - advice.chosen_ms > kept_ms and not advice.busy
            if is_old and name not in self.planner.tickets:
                del self.steps[name]
