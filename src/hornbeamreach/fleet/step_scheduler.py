"""Scheduling of step jobs in one term: propose ends and starts, then send the orders."""

from __future__ import annotations

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.replica import PendingProposal, Replica
from hornbeamreach.control.state_machine import Outcome
from hornbeamreach.control.workload_commands import (
    AcceptJob,
    CancelJob,
    ForgetJobs,
    WorkloadCommand,
)
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.fleet.crash_recorder import CrashRecorder
from hornbeamreach.fleet.evacuations import Evacuations
from hornbeamreach.fleet.first_polls import FirstPolls
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.job_admission import JobAdmission
from hornbeamreach.fleet.loop_lag import LoopIdleTime, LoopLag
from hornbeamreach.fleet.minion_orders import MinionOrders
from hornbeamreach.fleet.minion_poller import MinionPoller
from hornbeamreach.fleet.minion_tracker import MinionTracker
from hornbeamreach.fleet.operator_requests import OperatorRequests
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.ports import AdmissionPort, MinionPort
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.run_recorder import RunRecorder
from hornbeamreach.fleet.share_report import ShareReport
from hornbeamreach.fleet.ticket_requests import TicketRequests
from hornbeamreach.fleet.timed_jobs import TimedJobs
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.fleet.waiting_jobs import WaitingJobs
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.inherited_leases import inherited_leases
from hornbeamreach.systems.overload import Effort, overload_policies
from hornbeamreach.tables.minions import (
    Minion,
    MinionReport,
    ReservedRun,
    RunPhase,
)
from hornbeamreach.tables.workload import RunEnd
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("scheduler")

# Ends and starts within this span share one log append: about the time of a sync and a round
# trip, and a hundredth of a task.
COALESCE_MS = 10
# Pause between two slices of a planning pass. A message takes several steps of the event loop, so
# a single one between slices would delay it by as many slices.
SLICE_PAUSE_MS = 2
TICK_MS = 100
FORGET_INTERVAL_MS = 10_000
MAX_FORGOTTEN_JOBS = 500
MAX_LOGGED_RUNS = 20
# A fencing token consists of the term, the number of the scheduler in this process, and a counter
# for each minion; together they stay below 2^53, the largest whole number that JSON can hold.
TOKEN_STEP_BITS = 16
GENERATION_BITS = 12


class StepScheduler:
    """Schedule the tasks of all pools while this replica leads in one term."""

    def __init__(
        self,
        *,
        replica: Replica,
        minion_port: MinionPort,
        admission_port: AdmissionPort | None,
        clock: Clock,
        metrics: Metrics,
        timing: FleetTiming,
        generation: int = 0,
        loop_idle: LoopIdleTime | None = None,
    ) -> None:
        self.replica = replica
        self.generation = generation
        self.deposed = False
        self.clock = clock
        self.metrics = metrics
        self.timing = timing
        self.term = replica.core.term
        self.began_ms = clock.now_ms()
        self.proposed = ProposedState.of(replica.state)
        self.fleet = FleetState(proposed=self.proposed)
        self.fleet.recover_runs(self.began_ms)
        self.fleet.keep_unsettled_runs(
            inherited_leases.get("unsettled_start"), timing.carried_lease_ms, self.began_ms
        )
        self.crashes = CrashRecorder(self)
        self.crashes.recover()
        self.planner = Planner(
            fleet=self.fleet, metrics=metrics, remote_factor=timing.remote_factor
        )
        self.loop_lag = LoopLag(clock=clock, metrics=metrics, idle=loop_idle)
        self.overload = overload_policies.get("share_messages")
        self.last_effort = Effort()
        self.operator_requests = OperatorRequests()
        self.orders = MinionOrders(scheduler=self, port=minion_port)
        self.minion_port = minion_port
        self.pollers: dict[str, MinionPoller] = {}
        self.tracker = MinionTracker(
            fleet=self.fleet,
            clock=clock,
            metrics=metrics,
            crashes=self.crashes,
            port=minion_port,
            timing=timing,
            began_ms=self.began_ms,
            has_predecessor=bool(replica.state.workload.declared_version),
            pollers=self.pollers,
            start_poller=self._start_poller,
            notify=self.notify,
            notify_of_changes=self.notify_of_changes,
            forget_tickets=lambda minion_id: self.ticket_requests.forget_minion(minion_id),
        )
        self.recorder = RunRecorder(
            fleet=self.fleet, replica=replica, crashes=self.crashes, pollers=self.pollers
        )
        self.first_polls = FirstPolls(scheduler=self)
        self.wake = trio.Event()
        self.nursery: trio.Nursery | None = None
        self.last_cleanup_ms = self.began_ms
        self.timed_jobs = TimedJobs(fleet=self.fleet)
        self.uncommitted_proposals = 0
        self.uncommitted_jobs: dict[str, PendingProposal] = {}
        self.ticket_requests = TicketRequests(
            fleet=self.fleet,
            port=admission_port,
            metrics=metrics,
            timing=timing,
            clock=clock,
            planner=self.planner,
            notify=self.notify,
        )
        self.waiting_jobs = WaitingJobs(scheduler=self)
        self.evacuations = Evacuations(scheduler=self)
        self.job_admission = JobAdmission(scheduler=self)
        self.share_report = ShareReport(scheduler=self)

    # State

    def is_current(self) -> bool:
        """Return whether this replica has led without a break since this scheduler began.

        After a break the scheduler stays deposed, because it may have skipped orders.
        """
        leads = self.replica.is_leader() and self.replica.core.term == self.term
        self.deposed = self.deposed or not leads
        return not self.deposed

    def fencing_token(self, minion: Minion) -> int:
        """Return the fencing token for orders to a minion."""
        part = (self.term << GENERATION_BITS) + self.generation
        return (part << TOKEN_STEP_BITS) + minion.token_step

    def extend_lease(self, minion: Minion) -> int | None:
        """Extend a minion's lease and return its end in ms on the minion's clock.

        Return None before the minion's clock was read.
        """
        if not minion.clock_received_ms:
            return None
        until_ms = minion.min_clock_ms(self.clock.now_ms()) + self.timing.lease_ms
        minion.lease_until_ms = max(minion.lease_until_ms, until_ms)
        return minion.lease_until_ms

    def effort(self) -> Effort:
        """Return how much optional work the loop has time for."""
        return self.operator_requests.limit(self._measured_effort())

    def _measured_effort(self) -> Effort:
        return self.overload(self.loop_lag.lag_ms, self.loop_lag.busy_share)

    # Proposals

    def propose(self, command: WorkloadCommand) -> PendingProposal:
        """Propose a command and apply it to the proposed state.

        Raise NotLeaderError if this replica no longer leads in this term.
        """
        if not self.is_current():
            raise NotLeaderError(self.replica.leader_address(), term=self.replica.core.term)
        proposal = self.replica.submit(command)
        self.proposed.apply(command)
        return proposal

    async def commit(self, command: WorkloadCommand) -> Outcome:
        """Propose a command and wait until it is committed.

        Raise NotLeaderError like `propose`, and RefusedError if leadership changes before the
        outcome is known.
        """
        return await self._wait_for_commit(self.propose(command))

    async def _wait_for_commit(self, proposal: PendingProposal) -> Outcome:
        try:
            return await self.replica.wait_for_outcome(proposal)
        except NotLeaderError:
            detail = "the leader changed before the outcome was known"
            raise RefusedError(Reason.NO_LEADER, detail, verdict=Verdict.MAY_HAVE_RUN) from None

    # Run

    async def run(self) -> None:
        """Schedule until this replica no longer leads in this term."""
        log.bind(
            term=self.term,
            jobs=len(self.proposed.workload.jobs),
            runs=sum(len(runs) for runs in self.fleet.runs_by_job.values()),
            unsettled_starts=len(self.fleet.starts.unsettled),
        ).info("scheduling begins")
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._plan_forever)
            nursery.start_soon(self.loop_lag.run)
            while self.is_current():
                self._tick()
                await trio.sleep(seconds(TICK_MS))
            nursery.cancel_scope.cancel()
        self.nursery = None
        log.bind(term=self.term).info("scheduling ends: this replica no longer leads")

    def notify(self) -> None:
        """Schedule a planning pass of all pools, which batches changes for `COALESCE_MS`."""
        self.fleet.all_pools_changed = True
        self.wake.set()

    def notify_of_changes(self) -> None:
        """Schedule a planning pass if there is something to record or pools have changed."""
        fleet = self.fleet
        if (
            fleet.unrecorded_ends
            or fleet.unrecorded_returns
            or fleet.changed_pools
            or fleet.all_pools_changed
        ):
            self.wake.set()

    async def _plan_forever(self) -> None:
        while True:
            await self.wake.wait()
            await trio.sleep(seconds(COALESCE_MS))
            await self.operator_requests.wait_until_served(self._measured_effort())
            self.wake = trio.Event()
            self._plan_slice(begins=True)
            while self.planner.pending and self.is_current():
                await trio.sleep(seconds(SLICE_PAUSE_MS))
                self._plan_slice(begins=False)

    def _plan_slice(self, *, begins: bool) -> None:
        """Record what has ended, and start the runs of one slice of the planning pass."""
        if not self.is_current():
            return
        began_ms, slice_ms = self.clock.now_ms(), self.effort().slice_ms
        now_ms, wall_ms = self.clock.now_ms(), self.clock.wall_ms()
        changes = self.recorder.take_changes(wall_ms)
        if begins:
            self.planner.begin_pass(now_ms, wall_ms)
        starts = self.planner.plan_slice(
            now_ms, wall_ms, lambda: self.clock.now_ms() - began_ms >= slice_ms
        )
        assert self.nursery is not None
        self.ticket_requests.request_missing(self.nursery)
        has_settled = self.fleet.starts.is_due(now_ms)
        if not (changes.jobs or starts or changes.command.returned or has_settled):
            if not self.uncommitted_proposals:
                self.recorder.mark_ends_recorded(changes.listed_ends)
            return
        self.uncommitted_proposals += 1
        proposal = self.recorder.propose(changes, starts, wall_ms)
        for job_id in changes.jobs:
            self._stop_job_if_ended(job_id)
        self.nursery.start_soon(self._after_commit, proposal, changes.listed_ends, starts)

    async def _after_commit(
        self,
        proposal: PendingProposal,
        listed_ends: list[tuple[Minion, int]],
        starts: list[ReservedRun],
    ) -> None:
        try:
            await self.replica.wait_for_outcome(proposal)
        except NotLeaderError as exc:
            log.bind(term=self.term, starts=len(starts)).info(
                "ends and starts of runs not recorded: {}", exc
            )
            return
        finally:
            self.uncommitted_proposals -= 1
        self.recorder.mark_ends_recorded(listed_ends)
        self.orders.send_starts(starts)

    def _stop_job_if_ended(self, job_id: str) -> None:
        job = self.fleet.job(job_id)
        if job is None or not job.ended:
            return
        reason = {"reason": job.failure_reason} if job.failure_reason else {}
        log.bind(request=job_id, state=job.state.value, term=self.term, **reason).info("job ended")
        self.stop_job(job_id, "job_ended")

    # Jobs and declarations

    def stop_job(self, job_id: str, reason: str) -> None:
        """Stop every run of a job."""
        self.fleet.stale_jobs.add(job_id)
        for run in list(self.fleet.runs_by_job.get(job_id, {}).values()):
            self.orders.stop(run, reason)
        self.notify()

    async def accept_job(self, command: AcceptJob) -> None:
        """Propose a job and wait until it is committed; raise errors like `commit`.

        The job is planned even if the waiting task is cancelled, as it is when the connection
        that the call came over is lost. A repeat adds nothing to the log: callers repeat most when
        the leader has the least time for it.
        """
        if command.job_id in self.replica.state.workload.jobs and self.is_current():
            return
        proposal = self.uncommitted_jobs.get(command.job_id)
        if proposal is None:
            proposal = self.uncommitted_jobs[command.job_id] = self._propose_job(command)
        try:
            await self._wait_for_commit(proposal)
        finally:
            self.uncommitted_jobs.pop(command.job_id, None)

    def _propose_job(self, command: AcceptJob) -> PendingProposal:
        is_new = self.fleet.job(command.job_id) is None
        proposal = self.propose(command)
        job = self.fleet.job(command.job_id)
        if is_new and job is not None:
            self.fleet.record_arrival(job, self.clock.now_ms())
        self.fleet.stale_jobs.add(command.job_id)
        if command.spec.timed:
            self.timed_jobs.check_soon()
        if job is not None:
            self.fleet.changed_pools.add(self.fleet.pool_of(job))
        self.notify_of_changes()
        return proposal

    async def cancel_job(self, command: CancelJob) -> None:
        """Propose a cancellation and wait until it is committed; raise errors like `commit`.

        The job's runs are stopped even if the waiting task is cancelled.
        """
        proposal = self.propose(command)
        assert self.nursery is not None
        self.nursery.start_soon(self._stop_cancelled_job, command.job_id, proposal)
        await self._wait_for_commit(proposal)

    async def _stop_cancelled_job(self, job_id: str, proposal: PendingProposal) -> None:
        try:
            await self.replica.wait_for_outcome(proposal)
        except NotLeaderError as exc:
            log.bind(request=job_id, term=self.term).info("cancellation not recorded: {}", exc)
            return
        self.stop_job(job_id, "cancelled")

    def on_declaration(self) -> None:
        """Plan all jobs again under a new declaration."""
        self.fleet.stale_jobs.update(self.proposed.workload.jobs)
        self.notify()

    # Minions

    def on_leave(self, minion_id: str, born_ms: int) -> None:
        """Stop assigning work to a minion that shuts down; `born_ms` 0 means any incarnation."""
        self.tracker.on_leave(minion_id, born_ms)

    def on_report(self, report: MinionReport) -> None:
        """Record a minion's report, unless a newer one is known."""
        self.tracker.on_report(report)

    def mark_minion_gone(self, minion: Minion, reason: str) -> None:
        """Mark a minion as gone and end all its runs, as crashed if there is evidence."""
        self.tracker.mark_gone(minion, reason)

    def _start_poller(self, minion_id: str) -> None:
        poller = MinionPoller(scheduler=self, minion_id=minion_id, port=self.minion_port)
        self.pollers[minion_id] = poller
        assert self.nursery is not None
        self.nursery.start_soon(poller.run)

    # Timers

    def _tick(self) -> None:
        now_ms, wall_ms = self.clock.now_ms(), self.clock.wall_ms()
        self._log_effort()
        for minion in list(self.fleet.minions.values()):
            minion.may_hold_carried_lease = now_ms <= minion.carried_until_ms
            if not minion.runs or not self._lease_lapsed(minion, now_ms):
                continue
            # A run whose order isn't sent yet extends the lease when the order is sent.
            ordered = [
                run
                for run in minion.runs.values()
                if run.phase is not RunPhase.RESERVED and now_ms > run.carried_until_ms
            ]
            if ordered:
                self._log_lapse(minion, ordered, now_ms)
                self._end_lapsed_runs(ordered, minion.minion_id)
        if now_ms - self.began_ms > self.timing.recovered_lease_ms:
            for minion_id, runs in list(self.fleet.unattached_runs.items()):
                lapsed = [run for run in runs.values() if now_ms > run.carried_until_ms]
                if lapsed and now_ms - self.began_ms > self.tracker.unheard_lease_ms(minion_id):
                    log.bind(
                        minion=minion_id,
                        runs=[run.name for run in lapsed][:MAX_LOGGED_RUNS],
                        since_takeover_ms=now_ms - self.began_ms,
                    ).warning("leases have lapsed: the minion was not heard of in this term")
                    self._end_lapsed_runs(lapsed, minion_id)
        if self.timed_jobs.check(wall_ms):
            self.notify()
        self._forget_old(now_ms, wall_ms)
        self.waiting_jobs.tick(now_ms, wall_ms)
        self.evacuations.tick(now_ms)
        self.share_report.tick(now_ms)
        if self.fleet.starts.is_due(now_ms):
            self.wake.set()
        unrecorded = any(m.listed_end > m.recorded_end for m in self.fleet.minions.values())
        if self.fleet.ready or self.fleet.unrecorded_ends or unrecorded:
            self.notify()

    def _log_effort(self) -> None:
        effort, before = self._measured_effort(), self.last_effort
        if effort.urgent_polls_only != before.urgent_polls_only:
            self.last_effort = effort
            self.metrics.event("urgent_polls_only" if effort.urgent_polls_only else "all_polls")
            log.bind(
                term=self.term,
                lag_ms=self.loop_lag.lag_ms,
                busy_share=round(self.loop_lag.busy_share, 2),
                minions=len(self.fleet.minions),
                ready_jobs=len(self.fleet.ready),
                pause_ms=effort.poll_pause_ms,
                slice_ms=effort.slice_ms,
                moves=effort.moves,
            ).info(
                "event loop is late, only urgent polls are sent"
                if effort.urgent_polls_only
                else "event loop is in time, all polls are sent"
            )

    def _lease_lapsed(self, minion: Minion, now_ms: int) -> bool:
        if now_ms <= minion.carried_until_ms:
            return False
        if minion.polled_ms < 0 and now_ms - self.began_ms < self.timing.recovered_lease_ms:
            # An earlier scheduler may have granted a lease that is unknown here.
            return False
        if not minion.clock_received_ms:
            return now_ms - minion.last_report_ms > self.timing.recovered_lease_ms
        return minion.min_clock_ms(now_ms) > minion.lease_until_ms + self.timing.lapse_margin_ms

    def _log_lapse(self, minion: Minion, runs: list[ReservedRun], now_ms: int) -> None:
        log.bind(
            minion=minion.minion_id,
            runs=[run.name for run in runs][:MAX_LOGGED_RUNS],
            born_ms=minion.report.born_ms,
            heard_ago_ms=now_ms - minion.heard_ms,
            polled_ago_ms=now_ms - minion.polled_ms if minion.polled_ms >= 0 else None,
            clock_ms=minion.min_clock_ms(now_ms),
            lease_until_ms=minion.lease_until_ms,
            failed_calls=minion.failed_calls,
        ).warning("leases have lapsed: the minion was not reached in time")

    def _end_lapsed_runs(self, runs: list[ReservedRun], minion: str) -> None:
        self.crashes.on_lapse(minion, runs)
        for run in runs:
            self.fleet.end_run(run, RunEnd.LEASE_LAPSED)

    def _forget_old(self, now_ms: int, wall_ms: int) -> None:
        if now_ms - self.last_cleanup_ms < FORGET_INTERVAL_MS:
            return
        self.last_cleanup_ms = now_ms
        self.tracker.forget_old(now_ms)
        self.crashes.forget_old(now_ms)
        ended_before_ms = wall_ms - self.timing.ended_job_retention_ms
        workload = self.proposed.workload
        old = [
            job.job_id
            for job in workload.jobs.values()
            if job.ended and job.ended_ms < ended_before_ms
        ]
        old += [job_id for job_id, at_ms in workload.tombstones.items() if at_ms < ended_before_ms]
        old = [job_id for job_id in old if job_id not in self.fleet.runs_by_job]
        if old:
            self.propose(ForgetJobs(job_ids=old[:MAX_FORGOTTEN_JOBS]))
