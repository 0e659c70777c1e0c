"""Polling of one minion: read its lists of runs, renew its lease and act on the result."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import (
    EndedTask,
    FencedError,
    MinionPort,
    PollResult,
    RunningTask,
    UnknownOutcomeError,
    WrongIncarnationError,
)
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.filler_pacing import FULL_PACE_PERCENT
from hornbeamreach.systems.overload import PollState, poll_delay_ms
from hornbeamreach.systems.relay_choice import poll_pause_ms
from hornbeamreach.systems.stragglers import (
    STRAGGLER_PAUSE_MS,
    RunObservation,
    StragglerKind,
    has_measurable_speed,
    may_be_straggler,
    straggler_kind,
    typical_run_ms,
)
from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import RunEnd

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

log = part_logger("minion")

# Upper limit of the growing pause between polls of a silent minion: its lease, 4 s
# by default, must be renewed soon after a network partition heals.
MAX_POLL_PAUSE_MS = 600
# Recording an end takes tens of ms; after this the lease is renewed without waiting for it.
MAX_RECORD_WAIT_MS = 1_000
# A poll that waits for the event loop checks its lag again after this.
LAG_CHECK_INTERVAL_MS = 100
MAX_LOGGED_RUNS = 20
MAX_LOGGED_CHARACTERS = 100
UNKNOWN_OUTCOME_PHASES = frozenset({RunPhase.UNKNOWN, RunPhase.STOPPING})


class MinionPoller:
    """Poll one minion once, and again while it has runs, unacknowledged ends or failed calls."""

    def __init__(self, *, scheduler: StepScheduler, minion_id: str, port: MinionPort) -> None:
        self.scheduler = scheduler
        self.minion_id = minion_id
        self.port = port
        self.wake = trio.Event()
        self.poll_scope: trio.CancelScope | None = None
        self.stopped = False

    def notify(self) -> None:
        """Wake the poller, which polls if there is a reason to."""
        self.wake.set()

    def poll_now(self) -> None:
        """Cancel a poll that waits for a run to end, and poll again."""
        if self.poll_scope is not None:
            self.poll_scope.cancel()
        self.wake.set()

    def stop(self) -> None:
        """Stop polling for good."""
        self.stopped = True
        self.wake.set()

    async def run(self) -> None:
        """Poll while there is a reason to, until stopped."""
        while not self.stopped:
            minion = self.scheduler.fleet.minions.get(self.minion_id)
            if minion is None or not self._needs_poll(minion):
                await self.wake.wait()
                self.wake = trio.Event()
                continue
            self.wake = trio.Event()
            if minion.listed_end > minion.recorded_end:
                pause_ms = poll_pause_ms(len(self.scheduler.fleet.minions))
                if pause_ms:
                    await trio.sleep(seconds(pause_ms))
                # The minion would list the same ends again until they are recorded.
                if minion.listed_end > minion.recorded_end:
                    with trio.move_on_after(seconds(MAX_RECORD_WAIT_MS)):
                        while minion.listed_end > minion.recorded_end:
                            await self.wake.wait()
                            self.wake = trio.Event()
            await self._wait_for_time(minion)
            if self.scheduler.fleet.minions.get(self.minion_id) is not minion:
                continue
            if minion.polled_ms < 0 and not minion.failed_calls:
                turn = await self.scheduler.first_polls.begin(minion)
                # A later incarnation may have been heard of meanwhile.
                if self.scheduler.fleet.minions.get(self.minion_id) is minion:
                    await self._poll(minion)
                turn.set()
            else:
                await self._poll(minion)

    async def _wait_for_time(self, minion: Minion) -> None:
        """Wait while the event loop is late and the minion's poll can wait."""
        scheduler = self.scheduler
        began_ms = scheduler.clock.now_ms()
        while not self.stopped and scheduler.fleet.minions.get(self.minion_id) is minion:
            effort = scheduler.effort()
            if not effort.delays_polls:
                return
            lag_ms = scheduler.loop_lag.lag_ms
            state = self._poll_state(minion, lag_ms, scheduler.clock.now_ms() - began_ms)
            delay_ms = poll_delay_ms(effort, state)
            if not delay_ms:
                return
            with trio.move_on_after(seconds(min(delay_ms, LAG_CHECK_INTERVAL_MS))):
                await self.wake.wait()
            self.wake = trio.Event()

    def _poll_state(self, minion: Minion, lag_ms: int, waited_ms: int) -> PollState:
        runs = minion.runs.values()
        left_ms = minion.renewed_until_ms - minion.min_clock_ms(self.scheduler.clock.now_ms())
        return PollState(
            unsettled=minion.polled_ms < 0
            or minion.failed_calls > 0
            or minion.fenced
            or minion.report.leaving
            or any(run.phase in UNKNOWN_OUTCOME_PHASES for run in runs),
            lease_left_ms=left_ms if minion.runs or minion.foreign_runs else None,
            lease_ms=self.scheduler.timing.lease_ms,
            lag_ms=lag_ms,
            waited_ms=waited_ms,
        )

    def _needs_poll(self, minion: Minion) -> bool:
        if minion.report.leaving and not minion.runs:
            return False
        unacknowledged = minion.acknowledged_end < minion.recorded_end
        has_runs = bool(minion.runs or minion.foreign_runs)
        unsettled = minion.polled_ms < 0 or minion.failed_calls > 0 or minion.fenced
        return has_runs or unsettled or unacknowledged

    def _wait_ms(self, minion: Minion) -> int:
        if minion.polled_ms < 0 or minion.failed_calls:
            return 0
        timing = self.scheduler.timing
        # The response to a start settles its outcome; only a poll settles these phases.
        if any(run.phase in UNKNOWN_OUTCOME_PHASES for run in minion.runs.values()):
            return timing.unknown_poll_wait_ms
        has_short_runs = any(not run.lasting for run in minion.runs.values())
        return timing.busy_poll_wait_ms if has_short_runs else timing.poll_wait_ms

    async def _poll(self, minion: Minion) -> None:
        scheduler = self.scheduler
        sent_ms = scheduler.clock.now_ms()
        token = scheduler.fencing_token(minion)
        recorded_end = minion.end_to_acknowledge()
        with trio.CancelScope() as scope:
            wait_ms = self._wait_ms(minion)
            # Granting leases to a silent minion would delay their lapse forever.
            lease_until_ms = None if minion.failed_calls else scheduler.extend_lease(minion)
            self.poll_scope = scope if wait_ms else None
            try:
                result = await self.port.poll(
                    minion.report,
                    token=token,
                    recorded_end=recorded_end,
                    lease_until_ms=lease_until_ms,
                    wait_ms=wait_ms,
                )
            except UnknownOutcomeError as exc:
                await self._on_unknown_outcome(minion, exc)
                return
            except WrongIncarnationError:
                if minion.runs or not minion.report.leaving:
                    scheduler.mark_minion_gone(minion, "replaced")
                await trio.sleep(seconds(scheduler.timing.retry_ms))
                return
            except FencedError:
                await self._on_fenced(minion, token)
                return
            finally:
                self.poll_scope = None
        if not scope.cancelled_caught:
            minion.acknowledged_end = max(minion.acknowledged_end, recorded_end)
            minion.renewed_until_ms = max(minion.renewed_until_ms, lease_until_ms or 0)
            self._on_result(minion, result, sent_ms, token)
            is_other = result.born_ms != minion.report.born_ms
            if is_other and scheduler.fleet.minions.get(self.minion_id) is minion:
                # Its reports are taken for older or implausible ones.
                await trio.sleep(seconds(scheduler.timing.retry_ms))

    async def _on_unknown_outcome(self, minion: Minion, exc: UnknownOutcomeError) -> None:
        minion.failed_calls += 1
        if minion.failed_calls == 1:
            log.bind(minion=minion.minion_id, runs=len(minion.runs)).warning(
                "minion does not answer: {}", exc
            )
        self.scheduler.metrics.event("look_unanswered")
        pause_ms = min(self.scheduler.timing.retry_ms * minion.failed_calls, MAX_POLL_PAUSE_MS)
        with trio.move_on_after(seconds(pause_ms)):
            await self.wake.wait()

    async def _on_fenced(self, minion: Minion, token: int) -> None:
        if token == self.scheduler.fencing_token(minion):
            log.bind(minion=minion.minion_id, token=token).warning(
                "minion has seen a higher fencing token and gets no work until it accepts ours"
            )
            minion.fenced = True
            # Exceeds what an earlier scheduler of this term has sent; a later term's tokens stay
            # higher, whatever the step.
            minion.token_step += 1
            await trio.sleep(seconds(MAX_POLL_PAUSE_MS))

    # Results

    def _on_result(self, minion: Minion, result: PollResult, sent_ms: int, token: int) -> None:
        scheduler = self.scheduler
        now_ms = scheduler.clock.now_ms()
        if scheduler.fleet.minions.get(self.minion_id) is not minion:
            return
        if result.born_ms != minion.report.born_ms:
            log.bind(
                minion=minion.minion_id,
                born_ms=result.born_ms,
                expected_born_ms=minion.report.born_ms,
                clock_ms=result.clock_ms,
                lease_until_ms=minion.lease_until_ms,
                runs=len(minion.runs),
            ).info("another incarnation has answered a poll")
            if result.born_ms > minion.report.born_ms:
                # The report of the new incarnation has not arrived yet.
                scheduler.on_report(
                    attrs.evolve(
                        minion.report,
                        born_ms=result.born_ms,
                        sequence=0,
                        # It may be of a smaller kind.
                        capacity=Resources(),
                        clock_ms=result.clock_ms,
                    )
                )
            return
        if minion.failed_calls or minion.fenced or minion.polled_ms < 0:
            # It may get work again.
            scheduler.fleet.changed_pools.add(minion.report.pool)
        if minion.failed_calls:
            log.bind(minion=minion.minion_id, tries=minion.failed_calls).info(
                "minion answers again"
            )
        minion.failed_calls = 0
        minion.fenced = False
        scheduler.crashes.on_answer(minion)
        if minion.polled_ms < 0:
            minion.wait_for_carried_lease(now_ms)
            # An upper bound of any lease that an earlier scheduler can have granted to it.
            lease_bound_ms = result.clock_ms + scheduler.timing.lease_ms
            minion.lease_until_ms = max(minion.lease_until_ms, lease_bound_ms)
        minion.polled_ms = sent_ms
        minion.minion_clock_ms, minion.clock_received_ms = result.clock_ms, now_ms
        for ended in result.ended:
            self._record_end(minion, ended, now_ms)
        running = {(task.task, task.run): task for task in result.running}
        self._record_running(minion, running, now_ms)
        self._note_unread(minion, result)
        self._end_missing_runs(minion, running, sent_ms, token)
        scheduler.orders.pace_fillers(minion)
        self._stop_stragglers(minion, now_ms)
        scheduler.notify_of_changes()

    def _record_end(self, minion: Minion, ended: EndedTask, now_ms: int) -> None:
        if ended.number <= minion.listed_end:
            return
        minion.listed_end = ended.number
        run = minion.runs.get(ended.task)
        if run is None or run.run != ended.run:
            return
        scheduler = self.scheduler
        # It began in the incarnation that lists it.
        run.crash = None
        if ended.end is RunEnd.FAILED:
            log.bind(request=run.job_id, task=run.key, run=run.run, minion=run.minion).info(
                "run failed"
            )
            scheduler.metrics.event("run_failed")
        scheduler.fleet.end_run(run, ended.end, checkpoint=ended.checkpoint, now_ms=now_ms)

    def _record_running(
        self, minion: Minion, running: dict[tuple[str, int], RunningTask], now_ms: int
    ) -> None:
        foreign: dict[tuple[str, int], Resources | None] = {}
        for (name, number), task in running.items():
            run = minion.runs.get(name)
            if run is None or run.run != number:
                foreign[name, number] = self.scheduler.fleet.task_needs(name)
                self.scheduler.orders.stop_unknown_run(minion, name, number)
                continue
            if run.phase in (RunPhase.SENT, RunPhase.UNKNOWN):
                self._mark_running(run)
            if task.percent != run.percent:
                run.last_progress_ms = now_ms
            run.percent, run.load_metric = task.percent, task.figure
            run.last_listed_ms = now_ms
            run.carried_until_ms = 0
            run.crash = None
            self.scheduler.fleet.starts.settle(run)
            if run.suspect and run.lasting:
                self.scheduler.crashes.clear_if_at_work(run, now_ms)
        if foreign or minion.foreign_runs:
            self.scheduler.fleet.changed_pools.add(minion.report.pool)
            minion.set_foreign_runs(foreign)

    def _mark_running(self, run: ReservedRun) -> None:
        job = self.scheduler.fleet.job(run.job_id)
        run.phase = RunPhase.RUNNING
        if job is None or job.ended:
            self.scheduler.orders.stop(run, "job_ended")

    def _stop_stragglers(self, minion: Minion, now_ms: int) -> None:
        fleet = self.scheduler.fleet
        for run in list(minion.runs.values()):
            if run.lasting or run.phase is not RunPhase.RUNNING or run.pace != FULL_PACE_PERCENT:
                continue
            if run.name in minion.unread_tasks:
                # Its progress is not known.
                continue
            if not may_be_straggler(now_ms - run.started_ms, run.percent):
                continue
            observation = RunObservation(
                percent=run.percent,
                since_start_ms=now_ms - run.started_ms,
                since_progress_ms=now_ms - run.last_progress_ms,
            )
            if has_measurable_speed(observation):
                typical = typical_run_ms(fleet.step_runs(run), run, now_ms)
                observation = attrs.evolve(observation, typical_ms=typical)
            kind = straggler_kind(observation)
            step = fleet.step_of(run)
            if kind is None or step is None or step.gang:
                continue
            if kind is StragglerKind.SLOW and run.name in fleet.failed_on:
                # It failed or was a straggler elsewhere too, so the task itself is probably long.
                continue
            log.bind(
                request=run.job_id,
                task=run.key,
                minion=run.minion,
                percent=run.percent,
                since_ms=observation.since_start_ms,
                typical_ms=observation.typical_ms,
            ).info("straggler is stopped and restarted on another minion: {}", kind.value)
            self.scheduler.metrics.event(f"run_{kind.value}")
            minion.suspect_until_ms = max(minion.suspect_until_ms, now_ms + STRAGGLER_PAUSE_MS)
            fleet.failed_on.setdefault(run.name, set()).add(run.minion)
            self.scheduler.orders.stop(run, kind.value)

    def _note_unread(self, minion: Minion, result: PollResult) -> None:
        """Log rows that could not be read, once until there are others."""
        unread = frozenset(result.unread)
        if unread and unread != minion.unread_tasks:
            self.scheduler.metrics.event("rows_unread")
            log.bind(
                minion=minion.minion_id,
                count=len(result.unread),
                tasks=[task[:MAX_LOGGED_CHARACTERS] for task in result.unread[:MAX_LOGGED_RUNS]],
            ).warning("rows of the minion's lists can't be read; their runs are kept")
        minion.unread_tasks = unread

    def _end_missing_runs(
        self,
        minion: Minion,
        running: dict[tuple[str, int], RunningTask],
        sent_ms: int,
        token: int,
    ) -> None:
        """End runs that are missing from a poll sent after their outcome was known."""
        if token != self.scheduler.fencing_token(minion):
            return
        missing = [
            run
            for run in minion.runs.values()
            if (run.name, run.run) not in running
            and run.name not in minion.unread_tasks
            and self._outcome_known_before(run, sent_ms)
        ]
        if not missing:
            return
        log.bind(
            minion=minion.minion_id,
            count=len(missing),
            recovered=sum(run.recovered for run in missing),
            runs=[[run.name, run.run, run.phase.value] for run in missing[:MAX_LOGGED_RUNS]],
        ).info("runs are not there")
        for run in missing:
            self.scheduler.fleet.end_run(run, RunEnd.LOST)

    def _outcome_known_before(self, run: ReservedRun, sent_ms: int) -> bool:
        if run.phase in (RunPhase.RESERVED, RunPhase.SENT):
            return False
        # Within the same millisecond the poll may have been sent first.
        return run.outcome_known_ms < sent_ms
