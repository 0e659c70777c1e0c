"""Orders to minions: start, stop and pace runs, and handle the responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import (
    Delivery,
    FencedError,
    MinionPort,
    StartAnswer,
    StartOrder,
    StartReply,
    UnknownOutcomeError,
    WrongIncarnationError,
)
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.filler_pacing import PacingInput, pacers, worst_latency_ratio
from hornbeamreach.systems.maintenance_wave import (
    FULL_SPEED_PERCENT,
    may_stop,
    unavailable_tasks,
)
from hornbeamreach.systems.task_placement import may_rely_on_capacity
from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.workload import RunEnd, StepJob, parse_task_key

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

log = part_logger("orders")

NEVER_MS = 1 << 62
UNKNOWN_PACE_PERCENT = -1


class MinionOrders:
    """Send one scheduler's orders to minions."""

    def __init__(self, *, scheduler: StepScheduler, port: MinionPort) -> None:
        self.scheduler = scheduler
        self.port = port

    def _current_minion(self, run: ReservedRun) -> Minion | None:
        minion = self.scheduler.fleet.minions.get(run.minion)
        if minion is None or minion.report.born_ms != run.born_ms:
            return None
        return minion

    # Starts

    def send_starts(self, runs: list[ReservedRun]) -> None:
        """Send the orders of runs whose starts are committed; those of a gang all or none."""
        for members in self._split_by_gang(runs):
            if any(run.suspect for run in members) and self.scheduler.nursery is not None:
                self.scheduler.nursery.start_soon(self._send_checked, members)
            else:
                self._send_all(members)

    def _send_all(self, members: list[ReservedRun]) -> None:
        unsendable = [run for run in members if not self._can_send(run, members)]
        for run in members:
            if unsendable:
                self._drop_unsent_run(run)
            else:
                self._send_start(run)

    async def _send_checked(self, members: list[ReservedRun]) -> None:
        """Send the orders of suspects once their minions have answered.

        Only then is a crash before the answer to the order evidence that the run began: the minion
        may have been down before.
        """
        minions = {run.minion: self._current_minion(run) for run in members}
        async with trio.open_nursery() as nursery:
            for minion in minions.values():
                if minion is not None:
                    nursery.start_soon(self._check_minion, minion)
        if any(minion is None or minion.failed_calls for minion in minions.values()):
            for run in members:
                self._drop_unsent_run(run)
        else:
            for run in members:
                run.minion_checked = True
            self._send_all(members)

    async def _check_minion(self, minion: Minion) -> None:
        """Count a failed call unless the known incarnation of the minion answers."""
        scheduler = self.scheduler
        try:
            result = await self.port.poll(
                minion.report,
                token=scheduler.fencing_token(minion),
                recorded_end=0,
                lease_until_ms=None,
                wait_ms=0,
            )
        except WrongIncarnationError:
            scheduler.mark_minion_gone(minion, "replaced")
            return
        except (UnknownOutcomeError, FencedError) as exc:
            detail = str(exc)
        else:
            if result.born_ms == minion.report.born_ms:
                return
            detail = "a later incarnation has not reported yet"
        log.bind(minion=minion.minion_id).info("suspects are not started here: {}", detail)
        scheduler.metrics.event("suspect_not_started")
        # The poll that follows decides what became of the minion.
        minion.failed_calls += 1
        self._poll_now(minion)

    def _split_by_gang(self, runs: list[ReservedRun]) -> list[list[ReservedRun]]:
        groups: dict[tuple, list[ReservedRun]] = {}
        for run in runs:
            step = self.scheduler.fleet.step_of(run)
            occurrence, number, index = parse_task_key(run.key)
            member = None if step is not None and step.gang else index
            groups.setdefault((run.job_id, occurrence, number, member), []).append(run)
        return list(groups.values())

    def _can_send(self, run: ReservedRun, members: list[ReservedRun]) -> bool:
        """Return whether a run may still start, together with the other members of its gang."""
        fleet = self.scheduler.fleet
        minion = self._current_minion(run)
        job = fleet.job(run.job_id)
        reserved = fleet.find_run(run.job_id, run.key) is run and run.phase is RunPhase.RESERVED
        if not reserved or job is None or job.ended or minion is None:
            return False
        if minion.report.draining or minion.report.leaving:
            return False
        if minion.report.data_center in fleet.proposed.workload.evacuated:
            self.scheduler.evacuations.log_given_back(run, minion)
            return False
        here = [other for other in members if other.minion == run.minion]
        pool = fleet.proposed.state.table.pools.get(minion.report.pool)
        now_ms = self.scheduler.clock.now_ms()
        if minion.can_send(here) and may_rely_on_capacity(minion, pool, now_ms):
            return True
        # It has shrunk, or may have, since the start was planned.
        self._log_given_back(run, minion)
        return False

    def _send_start(self, run: ReservedRun) -> None:
        scheduler = self.scheduler
        minion = self._current_minion(run)
        if minion is not None and scheduler.is_current() and scheduler.nursery is not None:
            run.phase = RunPhase.SENT
            run.ordered = run.awaits_answer = True
            # The run may begin from now on, so its lease must be valid from now on.
            scheduler.extend_lease(minion)
            scheduler.nursery.start_soon(self._start, run, minion)

    def _log_given_back(self, run: ReservedRun, minion: Minion) -> None:
        self.scheduler.metrics.event("start_given_back")
        log.bind(
            request=run.job_id,
            task=run.key,
            run=run.run,
            minion=run.minion,
            needs=run.needs.amounts(),
            used=minion.used.amounts(),
            capacity=minion.report.capacity.amounts(),
            sequence=minion.report.sequence,
            age_ms=minion.capacity_age_ms(self.scheduler.clock.now_ms()),
        ).info("start given back: the minion's capacity doesn't surely hold it")

    def _drop_unsent_run(self, run: ReservedRun) -> None:
        self.scheduler.fleet.end_run(run, RunEnd.LOST)
        self.scheduler.notify()

    def _build_order(self, run: ReservedRun, job: StepJob, minion: Minion) -> StartOrder:
        scheduler = self.scheduler
        occurrence, step, _ = parse_task_key(run.key)
        tickets = scheduler.planner.tickets.get((run.job_id, occurrence, step), {})
        return StartOrder(
            task=run.name,
            run=run.run,
            payload=job.spec.payload,
            lease_until_ms=scheduler.extend_lease(minion) or 0,
            token=scheduler.fencing_token(minion),
            checkpoint=run.checkpoint,
            ticket=tickets.get(run.minion, ""),
        )

    async def _start(self, run: ReservedRun, minion: Minion) -> None:
        try:
            await self._order_start(run, minion)
        finally:
            run.awaits_answer = False

    async def _order_start(self, run: ReservedRun, minion: Minion) -> None:
        scheduler = self.scheduler
        if not scheduler.is_current():
            # The process was suspended since the start was released for sending.
            return
        job = scheduler.fleet.job(run.job_id)
        if job is None or job.ended:
            # It ended since the start was released for sending.
            run.ordered = run.awaits_answer = False
            self._drop_unsent_run(run)
            return
        if scheduler.evacuations.is_evacuated(minion):
            # The evacuation was requested after the start was released for sending.
            run.ordered = run.awaits_answer = False
            scheduler.evacuations.log_given_back(run, minion)
            self._drop_unsent_run(run)
            return
        clock_ms = minion.min_clock_ms(scheduler.clock.now_ms())
        try:
            order = self._build_order(run, job, minion)
            reply = await self.port.start(minion.report, order)
        except UnknownOutcomeError as exc:
            run.awaits_answer = False
            if exc.delivery is Delivery.NOBODY:
                self._on_undelivered(run, minion, exc)
            else:
                self._on_unknown_outcome(run, minion, exc)
                scheduler.crashes.on_order_outcome(run)
            return
        run.awaits_answer = False
        if reply.answer is not StartAnswer.STARTED:
            # The run did not begin, so its minion's crash is no evidence against its task.
            run.ordered, run.crash = False, None
        is_known = self._is_of_known_incarnation(run, minion, reply, clock_ms)
        if is_known and reply.clock_ms:
            scheduler.fleet.starts.settle(run)
        if scheduler.fleet.find_run(run.job_id, run.key) is not run:
            scheduler.crashes.on_order_outcome(run, begun=True)
            return
        if reply.answer is StartAnswer.STARTED:
            if is_known:
                minion.renewed_until_ms = max(minion.renewed_until_ms, order.lease_until_ms)
            else:
                self._await_poll(run, minion)
            self._on_started(run, minion)
        else:
            self._on_rejected(run, minion, reply.answer)

    def _is_of_known_incarnation(
        self, run: ReservedRun, minion: Minion, reply: StartReply, clock_ms: int
    ) -> bool:
        """Record a reply's clock, and return False if it shows another incarnation.

        A reply doesn't name its incarnation. `clock_ms` is a lower bound of the known one's clock
        at the call. If the clock of another one is ahead of it, its lease ends sooner than that of
        the known one would.
        """
        if not reply.clock_ms:
            return True
        if reply.clock_ms < clock_ms:
            log.bind(
                request=run.job_id,
                task=run.key,
                run=run.run,
                minion=run.minion,
                answer=reply.answer.value,
                expected_born_ms=minion.report.born_ms,
                clock_ms=reply.clock_ms,
                expected_clock_ms=clock_ms,
            ).info("another incarnation has answered a start: its clock is behind")
            return False
        minion.minion_clock_ms = reply.clock_ms
        minion.clock_received_ms = self.scheduler.clock.now_ms()
        return True

    def _await_poll(self, run: ReservedRun, minion: Minion) -> None:
        """Keep a run until a poll settles it or its lease has lapsed in any incarnation."""
        if run.phase is RunPhase.SENT:
            run.phase = RunPhase.UNKNOWN
        scheduler = self.scheduler
        run.carried_until_ms = scheduler.clock.now_ms() + scheduler.timing.carried_lease_ms
        # The next leader has to wait as long.
        scheduler.fleet.unrecorded_returns.add(minion.minion_id)
        scheduler.fleet.starts.settle(run)
        scheduler.notify_of_changes()
        self.fence(minion)

    def _on_started(self, run: ReservedRun, minion: Minion) -> None:
        now_ms = self.scheduler.clock.now_ms()
        run.outcome_known_ms = run.started_ms = run.last_progress_ms = now_ms
        if run.phase is RunPhase.SENT:
            run.phase = RunPhase.RUNNING
        elif run.phase is RunPhase.STOPPING:
            self.stop(run, run.stop_reason, resend=True)
        self.scheduler.pollers[minion.minion_id].notify()

    def _on_rejected(self, run: ReservedRun, minion: Minion, answer: StartAnswer) -> None:
        scheduler = self.scheduler
        scheduler.metrics.event(f"start_{answer.value}")
        log.bind(request=run.job_id, task=run.key, run=run.run, minion=run.minion).info(
            "start rejected: {}", answer.value
        )
        if answer is StartAnswer.WRONG_INCARNATION:
            scheduler.mark_minion_gone(minion, "replaced")
            return
        if answer in (StartAnswer.UNHEALTHY, StartAnswer.NO_ROOM):
            minion.suspect_until_ms = scheduler.clock.now_ms() + scheduler.timing.suspect_ms
        if answer is StartAnswer.FENCED:
            minion.fenced = True
            self.fence(minion)
        if answer is StartAnswer.BAD_TICKET:
            occurrence, step, _ = parse_task_key(run.key)
            scheduler.ticket_requests.take_back((run.job_id, occurrence, step))
        scheduler.fleet.end_run(run, RunEnd.LOST)
        scheduler.notify()

    def _on_undelivered(self, run: ReservedRun, minion: Minion, error: UnknownOutcomeError) -> None:
        """End a run whose start no minion has received; it can begin elsewhere at once."""
        scheduler = self.scheduler
        log.bind(request=run.job_id, task=run.key, run=run.run, minion=run.minion).info(
            "start not delivered, the run has not begun: {}", error
        )
        scheduler.metrics.event("start_undelivered")
        run.ordered, run.crash = False, None
        # It may answer polls on connections that are open.
        minion.suspect_until_ms = scheduler.clock.now_ms() + scheduler.timing.suspect_ms
        minion.failed_calls += 1
        self._poll_now(minion)
        scheduler.fleet.end_run(run, RunEnd.LOST)
        scheduler.notify()

    def _on_unknown_outcome(
        self, run: ReservedRun, minion: Minion, error: UnknownOutcomeError
    ) -> None:
        scheduler = self.scheduler
        log.bind(request=run.job_id, task=run.key, run=run.run, minion=run.minion).warning(
            "start unanswered, it may run or begin late: {}", error
        )
        scheduler.metrics.event("start_unanswered")
        self._await_poll(run, minion)
        run.outcome_known_ms = scheduler.clock.now_ms()

    def fence(self, minion: Minion) -> None:
        """Raise the minion's fencing token, so that late orders are refused, and poll it now."""
        minion.token_step += 1
        minion.failed_calls += 1
        self._poll_now(minion)

    def _poll_now(self, minion: Minion) -> None:
        poller = self.scheduler.pollers.get(minion.minion_id)
        if poller is not None:
            poller.poll_now()

    # Stops

    def stop(self, run: ReservedRun, reason: str, *, resend: bool = False) -> None:
        """Stop a run; a later poll shows its end."""
        if run.phase is RunPhase.RESERVED:
            run.phase = RunPhase.STOPPING
            run.stop_reason = reason
            return
        if run.phase is RunPhase.STOPPING and not resend:
            return
        if run.phase is RunPhase.SENT:
            # Its start may still arrive: only the response to the stop settles the outcome.
            run.outcome_known_ms = NEVER_MS
        run.phase = RunPhase.STOPPING
        run.stop_reason = reason
        if self.scheduler.nursery is not None:
            self.scheduler.nursery.start_soon(self._stop, run)

    async def _stop(self, run: ReservedRun) -> None:
        scheduler = self.scheduler
        is_delayed = False
        while scheduler.fleet.find_run(run.job_id, run.key) is run and scheduler.is_current():
            minion = self._current_minion(run)
            # A minion that hasn't reported in this term is decided about by its first poll or the
            # lapse of its lease. A repeat must not end a task whose siblings are away by now.
            if minion is None or (is_delayed and not self._is_within_budget(run)):
                is_delayed = True
                await trio.sleep(seconds(scheduler.timing.retry_ms))
                continue
            try:
                token = scheduler.fencing_token(minion)
                await self.port.stop(minion.report, task=run.name, run=run.run, token=token)
            except WrongIncarnationError:
                scheduler.mark_minion_gone(minion, "replaced")
                return
            except (UnknownOutcomeError, FencedError) as exc:
                log.bind(request=run.job_id, task=run.key, minion=run.minion).info(
                    "stop is not confirmed and is repeated: {}", exc
                )
                scheduler.metrics.event("stop_unanswered")
                is_delayed = True
                await trio.sleep(seconds(scheduler.timing.retry_ms))
                continue
            run.outcome_known_ms = scheduler.clock.now_ms()
            scheduler.pollers[minion.minion_id].poll_now()
            return

    def _is_within_budget(self, run: ReservedRun) -> bool:
        """Return whether a stop leaves enough tasks of its step at work, as of now."""
        fleet = self.scheduler.fleet
        job = fleet.job(run.job_id)
        if job is None or job.ended or not run.lasting or run.percent < FULL_SPEED_PERCENT:
            return True
        step = job.spec.steps[parse_task_key(run.key)[1]]
        now_ms = self.scheduler.clock.now_ms()
        unavailable = unavailable_tasks(*fleet.step_tasks(job, run), now_ms)
        return may_stop(run, len(unavailable), step.may_miss, now_ms=now_ms)

    # Pace

    def pace_fillers(self, minion: Minion) -> None:
        """Set the pace of a minion's fillers by the tail latency of its serving tasks."""
        fillers = [run for run in minion.runs.values() if run.filler]
        if not fillers:
            return
        now_ms = self.scheduler.clock.now_ms()
        pacing_input = PacingInput(
            pace=minion.filler_pace,
            worst_ratio=worst_latency_ratio(minion.runs.values()),
            since_change_ms=now_ms - minion.pace_changed_ms,
        )
        pace = pacers.get("back_off")(pacing_input)
        if pace != minion.filler_pace:
            log.bind(
                minion=minion.minion_id, worst=pacing_input.worst_ratio, before=pacing_input.pace
            ).info("pace of fillers set to {} percent", pace)
            minion.filler_pace, minion.pace_changed_ms = pace, now_ms
        for run in fillers:
            if run.pace != pace and run.phase is RunPhase.RUNNING and self.scheduler.nursery:
                run.pace = pace
                self.scheduler.nursery.start_soon(self._pace, minion, run, pace)

    async def _pace(self, minion: Minion, run: ReservedRun, percent: int) -> None:
        token = self.scheduler.fencing_token(minion)
        try:
            await self.port.pace(
                minion.report, task=run.name, run=run.run, percent=percent, token=token
            )
        except (UnknownOutcomeError, WrongIncarnationError, FencedError) as exc:
            log.bind(task=run.name, minion=run.minion).info("pace not set: {}", exc)
            # The next poll sets it again.
            run.pace = UNKNOWN_PACE_PERCENT

    def stop_unknown_run(self, minion: Minion, task: str, run: int) -> None:
        """Stop a run that a minion lists but that isn't reserved there."""
        if self.scheduler.nursery is not None:
            self.scheduler.nursery.start_soon(self._stop_unknown_run, minion, task, run)

    async def _stop_unknown_run(self, minion: Minion, task: str, run: int) -> None:
        token = self.scheduler.fencing_token(minion)
        log.bind(task=task, run=run, minion=minion.minion_id).warning("stopping an unknown run")
        try:
            await self.port.stop(minion.report, task=task, run=run, token=token)
        except (UnknownOutcomeError, WrongIncarnationError, FencedError) as exc:
            log.bind(task=task, minion=minion.minion_id).info("unknown run not stopped: {}", exc)
