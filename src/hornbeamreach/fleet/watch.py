"""Watching one minion: looks at its lists, renewal of its lease, and what follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import (
    EndedTask,
    FencedError,
    Look,
    MinionPort,
    NoAnswerError,
    OtherLifeError,
    RunningTask,
)
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.filler_pacing import FULL_PACE_PERCENT
from hornbeamreach.systems.relay_choice import poll_pause_ms
from hornbeamreach.systems.stragglers import (
    STRAGGLER_PAUSE_MS,
    RunObservation,
    StragglerKind,
    has_measurable_speed,
    straggler_kind,
    typical_run_ms,
)
from hornbeamreach.tables.minions import BookedRun, Minion, RunPhase
from hornbeamreach.tables.workload import RunEnd

if TYPE_CHECKING:
    from hornbeamreach.fleet.scheduler import Scheduler

log = part_logger("minion")

# Pauses before a minion that does not answer is asked again grow up to this: a lease of 6 s
# must be renewed soon after a cut heals.
MAX_LOOK_PAUSE_MS = 600
# An end is recorded within tens of ms; after this the lease is renewed all the same.
MAX_RECORDING_MS = 1_000


UNSETTLED = frozenset({RunPhase.UNKNOWN, RunPhase.STOPPING})


class MinionWatch:
    """Look at one minion while runs are booked there."""

    def __init__(self, *, scheduler: Scheduler, minion_id: str, port: MinionPort) -> None:
        self.scheduler = scheduler
        self.minion_id = minion_id
        self.port = port
        self.wake = trio.Event()
        self.waiting: trio.CancelScope | None = None
        self.ended = False

    def notify(self) -> None:
        """Look soon if there is a reason to."""
        self.wake.set()

    def look_now(self) -> None:
        """Look without waiting for an end."""
        if self.waiting is not None:
            self.waiting.cancel()
        self.wake.set()

    def end(self) -> None:
        """Look no more."""
        self.ended = True
        self.wake.set()

    async def run(self) -> None:
        """Look again and again while there is a reason."""
        while not self.ended:
            minion = self.scheduler.books.minions.get(self.minion_id)
            if minion is None or not self._has_reason(minion):
                await self.wake.wait()
                self.wake = trio.Event()
                continue
            self.wake = trio.Event()
            if minion.listed_end > minion.recorded_end:
                await trio.sleep(seconds(poll_pause_ms(len(self.scheduler.books.minions))))
                # The minion would list the same ends again until they are recorded.
                with trio.move_on_after(seconds(MAX_RECORDING_MS)):
                    while minion.listed_end > minion.recorded_end:
                        await self.wake.wait()
                        self.wake = trio.Event()
            await self._look(minion)

    def _has_reason(self, minion: Minion) -> bool:
        if minion.report.leaving and not minion.runs:
            return False
        uncovered = minion.covered_end < minion.recorded_end
        return bool(minion.runs) or minion.looked_ms < 0 or minion.failed_calls > 0 or uncovered

    def _wait_ms(self, minion: Minion) -> int:
        if minion.looked_ms < 0 or minion.failed_calls:
            return 0
        timing = self.scheduler.timing
        # A start that is under way settles by its own answer; these settle by a look alone.
        if any(run.phase in UNSETTLED for run in minion.runs.values()):
            return timing.unsettled_look_wait_ms
        short = any(not run.lasting for run in minion.runs.values())
        return timing.busy_look_wait_ms if short else timing.look_wait_ms

    async def _look(self, minion: Minion) -> None:
        scheduler = self.scheduler
        sent_ms = scheduler.clock.now_ms()
        token = scheduler.token(minion)
        recorded_end = minion.recorded_end
        with trio.CancelScope() as scope:
            wait_ms = self._wait_ms(minion)
            self.waiting = scope if wait_ms else None
            try:
                look = await self.port.look(
                    minion.report,
                    token=token,
                    recorded_end=recorded_end,
                    # Grants that are not answered would put off the lapse without end.
                    lease_until_ms=None if minion.failed_calls else scheduler.lease_for(minion),
                    wait_ms=wait_ms,
                )
            except NoAnswerError as exc:
                await self._unanswered(minion, exc)
                return
            except OtherLifeError:
                if minion.runs or not minion.report.leaving:
                    scheduler.end_of_life(minion, "replaced")
                await trio.sleep(seconds(scheduler.timing.retry_ms))
                return
            except FencedError:
                await self._fenced(minion, token)
                return
            finally:
                self.waiting = None
        if not scope.cancelled_caught:
            minion.covered_end = max(minion.covered_end, recorded_end)
            self._take(minion, look, sent_ms, token)

    async def _unanswered(self, minion: Minion, exc: NoAnswerError) -> None:
        minion.failed_calls += 1
        if minion.failed_calls == 1:
            log.bind(minion=minion.minion_id, runs=len(minion.runs)).warning(
                "minion does not answer: {}", exc
            )
        self.scheduler.metrics.event("look_unanswered")
        pause_ms = min(self.scheduler.timing.retry_ms * minion.failed_calls, MAX_LOOK_PAUSE_MS)
        with trio.move_on_after(seconds(pause_ms)):
            await self.wake.wait()

    async def _fenced(self, minion: Minion, token: int) -> None:
        if token == self.scheduler.token(minion):
            log.bind(minion=minion.minion_id, token=token).warning(
                "another scheduler has used a higher token"
            )
            minion.cordoned = True
            await trio.sleep(seconds(MAX_LOOK_PAUSE_MS))

    # Results

    def _take(self, minion: Minion, look: Look, sent_ms: int, token: int) -> None:
        scheduler = self.scheduler
        now_ms = scheduler.clock.now_ms()
        if scheduler.books.minions.get(self.minion_id) is not minion:
            return
        if look.born_ms != minion.report.born_ms:
            if look.born_ms > minion.report.born_ms:
                # The report of the new life is still on its way.
                scheduler.take_report(
                    attrs.evolve(
                        minion.report,
                        born_ms=look.born_ms,
                        sequence=0,
                        clock_ms=look.clock_ms,
                    )
                )
            return
        if minion.failed_calls:
            log.bind(minion=minion.minion_id, tries=minion.failed_calls).info(
                "minion answers again"
            )
        minion.failed_calls = 0
        if minion.looked_ms < 0:
            # Above any lease that an earlier scheduler can have granted.
            bound_ms = look.clock_ms + scheduler.timing.lease_ms
            minion.lease_until_ms = max(minion.lease_until_ms, bound_ms)
        minion.looked_ms = sent_ms
        minion.clock_read_ms, minion.clock_arrived_ms = look.clock_ms, now_ms
        for ended in look.ended:
            self._take_end(minion, ended, now_ms)
        running = {(task.task, task.run): task for task in look.running}
        self._take_running(minion, running, now_ms)
        self._find_missing(minion, running, sent_ms, token)
        scheduler.orders.pace_fillers(minion)
        self._stop_stragglers(minion, now_ms)
        scheduler.notify()

    def _take_end(self, minion: Minion, ended: EndedTask, now_ms: int) -> None:
        if ended.number <= minion.listed_end:
            return
        minion.listed_end = ended.number
        run = minion.runs.get(ended.task)
        if run is None or run.run != ended.run:
            return
        scheduler = self.scheduler
        if ended.end is RunEnd.FAILED:
            log.bind(request=run.job_id, task=run.key, run=run.run, minion=run.minion).info(
                "run failed"
            )
            scheduler.metrics.event("run_failed")
        scheduler.books.end(run, ended.end, checkpoint=ended.checkpoint, now_ms=now_ms)

    def _take_running(
        self, minion: Minion, running: dict[tuple[str, int], RunningTask], now_ms: int
    ) -> None:
        for (name, number), task in running.items():
            run = minion.runs.get(name)
            if run is None or run.run != number:
                self.scheduler.orders.stop_stray(minion, name, number)
                continue
            if run.phase in (RunPhase.SENT, RunPhase.UNKNOWN):
                self._adopt(run)
            if task.percent != run.percent:
                run.progressed_ms = now_ms
            run.percent, run.figure = task.percent, task.figure
            run.listed_ms = now_ms

    def _adopt(self, run: BookedRun) -> None:
        job = self.scheduler.books.job(run.job_id)
        run.phase = RunPhase.RUNNING
        if job is None or job.ended:
            self.scheduler.orders.stop(run, "job_ended")

    def _stop_stragglers(self, minion: Minion, now_ms: int) -> None:
        books = self.scheduler.books
        for run in list(minion.runs.values()):
            if run.lasting or run.phase is not RunPhase.RUNNING or run.pace != FULL_PACE_PERCENT:
                continue
            facts = RunObservation(
                percent=run.percent,
                since_start_ms=now_ms - run.started_ms,
                since_progress_ms=now_ms - run.progressed_ms,
            )
            if has_measurable_speed(facts):
                typical = typical_run_ms(books.step_runs(run), run, now_ms)
                facts = attrs.evolve(facts, typical_ms=typical)
            lag = straggler_kind(facts)
            step = books.step_of(run)
            if lag is None or step is None or step.gang:
                continue
            if lag is StragglerKind.SLOW and run.name in books.failed_on:
                # It was slow elsewhere too, so it is the task that is long.
                continue
            log.bind(
                request=run.job_id,
                task=run.key,
                minion=run.minion,
                percent=run.percent,
                since_ms=facts.since_start_ms,
                typical_ms=facts.typical_ms,
            ).info("run is started anew elsewhere: {}", lag.value)
            self.scheduler.metrics.event(f"run_{lag.value}")
            minion.suspect_until_ms = max(minion.suspect_until_ms, now_ms + STRAGGLER_PAUSE_MS)
            books.failed_on.setdefault(run.name, set()).add(run.minion)
            self.scheduler.orders.stop(run, lag.value)

    def _find_missing(
        self,
        minion: Minion,
        running: dict[tuple[str, int], RunningTask],
        sent_ms: int,
        token: int,
    ) -> None:
        """End runs that a look sent after their order was settled does not list."""
        if token != self.scheduler.token(minion):
            return
        for run in list(minion.runs.values()):
            if (run.name, run.run) in running or not self._settled(run, sent_ms):
                continue
            log.bind(request=run.job_id, task=run.key, run=run.run, minion=run.minion).info(
                "run is not there, phase {}", run.phase.value
            )
            self.scheduler.books.end(run, RunEnd.LOST)

    def _settled(self, run: BookedRun, sent_ms: int) -> bool:
        if run.phase in (RunPhase.BOOKED, RunPhase.SENT):
            return False
        # Within the same millisecond the look may have gone first.
        return run.settled_ms < sent_ms
