"""Orders to minions: starts and stops, and what their answers mean."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import (
    FencedError,
    MinionPort,
    NoAnswerError,
    OtherLifeError,
    StartAnswer,
    StartOrder,
    StartReply,
)
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.filler_pacing import PacingInput, pacers, worst_latency_ratio
from hornbeamreach.tables.minions import BookedRun, Minion, RunPhase
from hornbeamreach.tables.workload import RunEnd, parse_task_key

if TYPE_CHECKING:
    from hornbeamreach.fleet.scheduler import Scheduler

log = part_logger("orders")

NEVER_MS = 1 << 62
UNKNOWN_PACE = -1


class Orders:
    """Give one scheduler's orders."""

    def __init__(self, *, scheduler: Scheduler, port: MinionPort) -> None:
        self.scheduler = scheduler
        self.port = port

    def _minion_of(self, run: BookedRun) -> Minion | None:
        minion = self.scheduler.books.minions.get(run.minion)
        if minion is None or minion.report.born_ms != run.born_ms:
            return None
        return minion

    # Starts

    def send_start(self, run: BookedRun) -> None:
        """Send the start of a run that is recorded."""
        scheduler = self.scheduler
        if scheduler.books.find(run.job_id, run.key) is not run:
            return
        minion = self._minion_of(run)
        job = scheduler.books.job(run.job_id)
        stopped = run.phase is not RunPhase.BOOKED or job is None or job.ended
        if stopped or minion is None or minion.report.draining or minion.report.leaving:
            self._end_unsent(run)
            return
        if scheduler.is_current() and scheduler.nursery is not None:
            run.phase = RunPhase.SENT
            # From now on the run may begin, so its lease counts from now on as well.
            scheduler.lease_for(minion)
            scheduler.nursery.start_soon(self._start, run, minion)

    def _end_unsent(self, run: BookedRun) -> None:
        self.scheduler.books.end(run, RunEnd.LOST)
        self.scheduler.notify()

    def _build_order(self, run: BookedRun, minion: Minion) -> StartOrder:
        scheduler = self.scheduler
        job = scheduler.books.job(run.job_id)
        assert job is not None
        occurrence, step, _ = parse_task_key(run.key)
        tickets = scheduler.planner.tickets.get((run.job_id, occurrence, step), {})
        return StartOrder(
            task=run.name,
            run=run.run,
            payload=job.spec.payload,
            lease_until_ms=scheduler.lease_for(minion) or 0,
            token=scheduler.token(minion),
            checkpoint=run.checkpoint,
            ticket=tickets.get(run.minion, ""),
        )

    async def _start(self, run: BookedRun, minion: Minion) -> None:
        scheduler = self.scheduler
        try:
            order = self._build_order(run, minion)
            reply = await self.port.start(minion.report, order)
        except NoAnswerError as exc:
            self._start_unanswered(run, minion, str(exc))
            return
        self._read_clock(minion, reply)
        if scheduler.books.find(run.job_id, run.key) is not run:
            return
        if reply.answer is StartAnswer.STARTED:
            self._started(run, minion)
        else:
            self._rejected(run, minion, reply.answer)

    def _read_clock(self, minion: Minion, reply: StartReply) -> None:
        if reply.clock_ms:
            minion.clock_read_ms = reply.clock_ms
            minion.clock_arrived_ms = self.scheduler.clock.now_ms()

    def _started(self, run: BookedRun, minion: Minion) -> None:
        now_ms = self.scheduler.clock.now_ms()
        run.settled_ms = run.started_ms = run.progressed_ms = now_ms
        if run.phase is RunPhase.SENT:
            run.phase = RunPhase.RUNNING
        elif run.phase is RunPhase.STOPPING:
            self.stop(run, run.stop_reason, again=True)
        self.scheduler.watches[minion.minion_id].notify()

    def _rejected(self, run: BookedRun, minion: Minion, answer: StartAnswer) -> None:
        scheduler = self.scheduler
        scheduler.metrics.event(f"start_{answer.value}")
        log.bind(request=run.job_id, task=run.key, run=run.run, minion=run.minion).info(
            "start rejected: {}", answer.value
        )
        if answer is StartAnswer.OTHER_LIFE:
            scheduler.end_of_life(minion, "replaced")
            return
        if answer in (StartAnswer.UNHEALTHY, StartAnswer.NO_ROOM, StartAnswer.FENCED):
            minion.suspect_until_ms = scheduler.clock.now_ms() + scheduler.timing.suspect_ms
        if answer is StartAnswer.BAD_TICKET:
            occurrence, step, _ = parse_task_key(run.key)
            scheduler.planner.tickets.pop((run.job_id, occurrence, step), None)
            scheduler.advised.discard((run.job_id, occurrence, step))
        scheduler.books.end(run, RunEnd.LOST)
        scheduler.notify()

    def _start_unanswered(self, run: BookedRun, minion: Minion, why: str) -> None:
        scheduler = self.scheduler
        log.bind(request=run.job_id, task=run.key, run=run.run, minion=run.minion).warning(
            "start unanswered, it may run or begin late: {}", why
        )
        scheduler.metrics.event("start_unanswered")
        if run.phase is RunPhase.SENT:
            run.phase = RunPhase.UNKNOWN
        self.fence(minion)
        run.settled_ms = scheduler.clock.now_ms()

    def fence(self, minion: Minion) -> None:
        """Raise the minion's token, so that earlier orders that arrive late do nothing."""
        minion.token_step += 1
        minion.failed_calls += 1
        watch = self.scheduler.watches.get(minion.minion_id)
        if watch is not None:
            watch.look_now()

    # Stops

    def stop(self, run: BookedRun, reason: str, *, again: bool = False) -> None:
        """Stop a run; its end shows in a later look."""
        if run.phase is RunPhase.BOOKED:
            run.phase = RunPhase.STOPPING
            run.stop_reason = reason
            return
        if run.phase is RunPhase.STOPPING and not again:
            return
        if run.phase is RunPhase.SENT:
            # Its start may still arrive: only the answer to the stop settles it.
            run.settled_ms = NEVER_MS
        run.phase = RunPhase.STOPPING
        run.stop_reason = reason
        if self.scheduler.nursery is not None:
            self.scheduler.nursery.start_soon(self._stop, run)

    async def _stop(self, run: BookedRun) -> None:
        scheduler = self.scheduler
        while scheduler.books.find(run.job_id, run.key) is run and scheduler.is_current():
            minion = self._minion_of(run)
            if minion is None:
                # Not heard of in this term: the first look or the lapse of its lease decides.
                await trio.sleep(seconds(scheduler.timing.retry_ms))
                continue
            try:
                token = scheduler.token(minion)
                await self.port.stop(minion.report, task=run.name, run=run.run, token=token)
            except OtherLifeError:
                scheduler.end_of_life(minion, "replaced")
                return
            except (NoAnswerError, FencedError) as exc:
                log.bind(request=run.job_id, task=run.key, minion=run.minion).info(
                    "stop unanswered, it is sent again: {}", exc
                )
                scheduler.metrics.event("stop_unanswered")
                await trio.sleep(seconds(scheduler.timing.retry_ms))
                continue
            run.settled_ms = scheduler.clock.now_ms()
            scheduler.watches[minion.minion_id].look_now()
            return

    # Pace

    def pace_fillers(self, minion: Minion) -> None:
        """Set the pace of a minion's fillers by what its serving tasks' tails show."""
        fillers = [run for run in minion.runs.values() if run.filler]
        if not fillers:
            return
        now_ms = self.scheduler.clock.now_ms()
        facts = PacingInput(
            pace=minion.filler_pace,
            worst_ratio=worst_latency_ratio(minion.runs.values()),
            since_change_ms=now_ms - minion.paced_ms,
        )
        pace = pacers.get("back_off")(facts)
        if pace != minion.filler_pace:
            log.bind(minion=minion.minion_id, worst=facts.worst_ratio, before=facts.pace).info(
                "fillers work at {} percent", pace
            )
            minion.filler_pace, minion.paced_ms = pace, now_ms
        for run in fillers:
            if run.pace != pace and run.phase is RunPhase.RUNNING and self.scheduler.nursery:
                run.pace = pace
                self.scheduler.nursery.start_soon(self._pace, minion, run, pace)

    async def _pace(self, minion: Minion, run: BookedRun, percent: int) -> None:
        token = self.scheduler.token(minion)
        try:
            await self.port.pace(
                minion.report, task=run.name, run=run.run, percent=percent, token=token
            )
        except (NoAnswerError, OtherLifeError, FencedError) as exc:
            log.bind(task=run.name, minion=run.minion).info("pace not set: {}", exc)
            # The next look sets it again.
            run.pace = UNKNOWN_PACE

    def stop_stray(self, minion: Minion, task: str, run: int) -> None:
        """Stop a run that a minion lists and that is not booked there."""
        if self.scheduler.nursery is not None:
            self.scheduler.nursery.start_soon(self._stop_stray, minion, task, run)

    async def _stop_stray(self, minion: Minion, task: str, run: int) -> None:
        token = self.scheduler.token(minion)
        log.bind(task=task, run=run, minion=minion.minion_id).warning("stops a run nobody booked")
        try:
            await self.port.stop(minion.report, task=task, run=run, token=token)
        except (NoAnswerError, OtherLifeError, FencedError) as exc:
            log.bind(task=task, minion=minion.minion_id).info("stray run not stopped: {}", exc)
