"""One term of scheduling: proposes ends and starts, and gives the orders they allow."""

from __future__ import annotations

import attrs
import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.replica import PendingProposal, Replica
from hornbeamreach.control.state_machine import Outcome
from hornbeamreach.control.workload_commands import ForgetJobs, RecordRuns, WorkloadCommand
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.fleet.books import Books
from hornbeamreach.fleet.orders import Orders
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.ports import AdvicePort, MinionPort, NoAnswerError
from hornbeamreach.fleet.state import AheadState
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.fleet.watch import MinionWatch
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.job_progress import next_due_ms
from hornbeamreach.tables.minions import Minion, MinionReport, ReservedRun, RunPhase
from hornbeamreach.tables.workload import RunEnd
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("scheduler")

# Ends and starts of this span go into one append of the log: about what a sync and a round
# trip take, and a hundredth of a task.
COALESCE_MS = 10
TICK_MS = 100
FORGET_INTERVAL_MS = 10_000
MAX_FORGOTTEN_AT_ONCE = 500
# Reports that a cut held up come some seconds late; this is far above a minute's cut.
KEEP_GONE_MS = 120_000
# Without an occurrence to come, the jobs are looked through again after this.
NEVER_DUE_MS = 60_000
# A fencing token is the term, the number of the scheduler in this process, and a number that
# rises for each minion; together they stay below 2^53, the largest whole number of JSON.
TOKEN_STEP_BITS = 16
GENERATION_BITS = 12
# The admission service takes a list of at most this many minions.
MAX_ADVISED_MINIONS = 30


class Scheduler:
    """Schedule all pools while this replica leads in one term."""

    def __init__(
        self,
        *,
        replica: Replica,
        minion_port: MinionPort,
        advice_port: AdvicePort | None,
        clock: Clock,
        metrics: Metrics,
        timing: FleetTiming,
        generation: int = 0,
    ) -> None:
        self.replica = replica
        self.generation = generation
        self.over = False
        self.clock = clock
        self.metrics = metrics
        self.timing = timing
        self.advice_port = advice_port
        self.term = replica.core.term
        self.began_ms = clock.now_ms()
        self.ahead = AheadState.of(replica.state)
        self.books = Books(ahead=self.ahead)
        self.books.inherit(self.began_ms)
        self.planner = Planner(books=self.books)
        self.orders = Orders(scheduler=self, port=minion_port)
        self.port = minion_port
        self.watches: dict[str, MinionWatch] = {}
        self.wake = trio.Event()
        self.nursery: trio.Nursery | None = None
        self.forgot_ms = self.began_ms
        self.due_ms: int | None = None
        self.uncommitted = 0
        self.advised: set[tuple[str, int, int]] = set()

    # Questions

    def is_current(self) -> bool:
        """Tell whether this replica has led all the time since this scheduler began.

        Once it has not, orders may have been left out, so the scheduler is over for good.
        """
        leads = self.replica.is_leader() and self.replica.core.term == self.term
        self.over = self.over or not leads
        return not self.over

    def token(self, minion: Minion) -> int:
        """Return the fencing token of orders to a minion."""
        part = (self.term << GENERATION_BITS) + self.generation
        return (part << TOKEN_STEP_BITS) + minion.token_step

    def lease_for(self, minion: Minion) -> int | None:
        """Return a lease to grant on the minion's clock, or None before its clock was read."""
        if not minion.clock_received_ms:
            return None
        until = minion.min_clock_ms(self.clock.now_ms()) + self.timing.lease_ms
        minion.lease_until_ms = max(minion.lease_until_ms, until)
        return minion.lease_until_ms

    # Proposals

    def submit(self, command: WorkloadCommand) -> PendingProposal:
        """Propose a command and let the view run ahead; raise NotLeaderError if deposed."""
        if not self.is_current():
            raise NotLeaderError(self.replica.leader_address())
        proposal = self.replica.submit(command)
        self.ahead.apply(command)
        return proposal

    async def commit(self, command: WorkloadCommand) -> Outcome:
        """Propose a command and wait until it is committed."""
        proposal = self.submit(command)
        try:
            return await self.replica.wait_for_outcome(proposal)
        except NotLeaderError:
            detail = "the leader changed before the outcome was known"
            raise RefusedError(Reason.NO_LEADER, detail, verdict=Verdict.MAY_HAVE_RUN) from None

    # Run

    async def run(self) -> None:
        """Schedule until this replica no longer leads in this term."""
        log.bind(term=self.term, jobs=len(self.ahead.workload.jobs)).info("scheduling begins")
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self._plan_forever)
            while self.is_current():
                self._tick()
                await trio.sleep(seconds(TICK_MS))
            nursery.cancel_scope.cancel()
        self.nursery = None
        log.bind(term=self.term).info("scheduling ends: this replica no longer leads")

    def notify(self) -> None:
        """Plan soon."""
        self.wake.set()

    async def _plan_forever(self) -> None:
        while True:
            await self.wake.wait()
            await trio.sleep(seconds(COALESCE_MS))
            self.wake = trio.Event()
            self._step()

    def _step(self) -> None:
        if not self.is_current():
            return
        now_ms, wall_ms = self.clock.now_ms(), self.clock.wall_ms()
        books = self.books
        ended, books.seen_ends = books.seen_ends, []
        listed = [
            (minion, minion.listed_end)
            for minion in books.minions.values()
            if minion.listed_end > minion.recorded_end
        ]
        ends = [(e.job_id, e.key, e.run, e.end.value, e.checkpoint) for e in ended]
        if ends:
            # The planner looks at the view, which must know the ends first.
            self.ahead.apply(RecordRuns(ends=ends, at_ms=wall_ms))
            books.stale_jobs.update(e.job_id for e in ended)
        starts = self.planner.plan(now_ms, wall_ms)
        self._ask_advice()
        if not ends and not starts:
            if not self.uncommitted:
                self._cover(listed)
            return
        self.uncommitted += 1
        booked = [(r.job_id, r.key, r.run, r.minion, r.born_ms) for r in starts]
        self.ahead.apply(RecordRuns(starts=booked, at_ms=wall_ms))
        proposal = self.replica.submit(RecordRuns(ends=ends, starts=booked, at_ms=wall_ms))
        for job_id in {e.job_id for e in ended}:
            self._stop_if_ended(job_id)
        assert self.nursery is not None
        self.nursery.start_soon(self._after_commit, proposal, listed, starts)

    async def _after_commit(
        self,
        proposal: PendingProposal,
        listed: list[tuple[Minion, int]],
        starts: list[ReservedRun],
    ) -> None:
        try:
            await self.replica.wait_for_outcome(proposal)
        except NotLeaderError as exc:
            log.bind(term=self.term, starts=len(starts)).info("runs not recorded: {}", exc)
            return
        finally:
            self.uncommitted -= 1
        self._cover(listed)
        for run in starts:
            self.orders.send_start(run)

    def _cover(self, listed: list[tuple[Minion, int]]) -> None:
        for minion, number in listed:
            # A later life under the same id numbers its ends anew.
            is_present = self.books.minions.get(minion.minion_id) is minion
            if is_present and number > minion.recorded_end:
                minion.recorded_end = number
                self.watches[minion.minion_id].notify()

    def _stop_if_ended(self, job_id: str) -> None:
        job = self.books.job(job_id)
        if job is None or not job.ended:
            return
        log.bind(request=job_id, state=job.state.value, term=self.term).info("job ended")
        self.stop_job(job_id, "job_ended")

    # Work that must end

    def stop_job(self, job_id: str, reason: str) -> None:
        """Stop every run of a job."""
        self.books.stale_jobs.add(job_id)
        for run in list(self.books.runs_of.get(job_id, {}).values()):
            self.orders.stop(run, reason)
        self.notify()

    def take_job(self, job_id: str) -> None:
        """Plan a job that was accepted."""
        self.books.stale_jobs.add(job_id)
        self.due_ms = None
        self.notify()

    def take_declaration(self) -> None:
        """Plan by a new declaration."""
        self.books.stale_jobs.update(self.ahead.workload.jobs)
        self.notify()

    # Minions

    def take_leave(self, minion_id: str, born_ms: int) -> None:
        """Give no more work to a minion that ends on purpose."""
        minion = self.books.minions.get(minion_id)
        if minion is not None and born_ms in (0, minion.report.born_ms):
            minion.report = _leaving(minion.report)
            self.watches[minion_id].look_now()

    def take_report(self, report: MinionReport) -> None:
        """Learn what a minion announced; what is older than what is known is passed over."""
        minion = self.books.minions.get(report.minion)
        if minion is not None and _is_older(report, minion):
            return
        now_ms = self.clock.now_ms()
        if minion is None or minion.report.born_ms != report.born_ms:
            minion = self._begin_life(report, minion, now_ms)
        elif report.draining and not minion.report.draining:
            log.bind(minion=report.minion, left_ms=report.remaining_ms).info("minion drains")
        minion.report = report
        minion.last_report_ms = now_ms
        if not minion.clock_received_ms and report.clock_ms:
            minion.minion_clock_ms, minion.clock_received_ms = report.clock_ms, now_ms
        self.notify()

    def _begin_life(self, report: MinionReport, earlier: Minion | None, now_ms: int) -> Minion:
        minion = Minion(report=report, last_report_ms=now_ms)
        log.bind(minion=report.minion, pool=report.pool, born_ms=report.born_ms).info(
            "minion heard"
        )
        if earlier is not None:
            minion.token_step = earlier.token_step + 1
            self._end_life(earlier)
        self.books.minions[report.minion] = minion
        for run in list(self.books.orphans.pop(report.minion, {}).values()):
            # Its order may still arrive at the new life: the first look there decides.
            run.born_ms = report.born_ms
            minion.reserve(run)
        if report.minion not in self.watches:
            watch = MinionWatch(scheduler=self, minion_id=report.minion, port=self.port)
            self.watches[report.minion] = watch
            assert self.nursery is not None
            self.nursery.start_soon(watch.run)
        self.watches[report.minion].notify()
        return minion

    def _end_life(self, minion: Minion) -> None:
        """Hand a life's runs to the next one under the same id.

        A start may have reached either of the two, whatever was answered: the first look at
        the next life tells which runs are there.
        """
        for run in list(minion.runs.values()):
            minion.release(run.name)
            if run.phase is not RunPhase.RESERVED:
                run.phase = RunPhase.UNKNOWN
            run.outcome_known_ms = self.clock.now_ms()
            self.books.orphans.setdefault(run.minion, {})[run.name] = run

    def end_of_life(self, minion: Minion, why: str) -> None:
        """Take note that a minion is gone and with it all that ran there."""
        log.bind(minion=minion.minion_id, runs=len(minion.runs)).info("minion is gone: {}", why)
        self.metrics.event(f"minion_gone_{why}")
        for run in list(minion.runs.values()):
            self.books.end(run, RunEnd.LOST)
        self.notify()
        minion.report = _leaving(minion.report)
        minion.gone = True
        self.port.forget(minion.minion_id)

    # Time

    def _tick(self) -> None:
        now_ms, wall_ms = self.clock.now_ms(), self.clock.wall_ms()
        for minion in list(self.books.minions.values()):
            # A run whose order was not sent yet will bring a new lease along.
            ordered = [run for run in minion.runs.values() if run.phase is not RunPhase.RESERVED]
            if ordered and self._lapsed(minion, now_ms):
                self._end_lapsed(ordered, minion.minion_id)
        if now_ms - self.began_ms > self.timing.inherited_lease_ms:
            for name, runs in list(self.books.orphans.items()):
                self._end_lapsed(list(runs.values()), name)
        self._wake_for_due(wall_ms)
        self._forget_old(now_ms, wall_ms)
        unrecorded = any(m.listed_end > m.recorded_end for m in self.books.minions.values())
        if self.books.ready or self.books.seen_ends or unrecorded:
            self.notify()

    def _lapsed(self, minion: Minion, now_ms: int) -> bool:
        if minion.polled_ms < 0 and now_ms - self.began_ms < self.timing.inherited_lease_ms:
            # An earlier scheduler may have granted a lease that is not known here.
            return False
        if not minion.clock_received_ms:
            return now_ms - minion.last_report_ms > self.timing.inherited_lease_ms
        return minion.min_clock_ms(now_ms) > minion.lease_until_ms + self.timing.lapse_margin_ms

    def _end_lapsed(self, runs: list[ReservedRun], minion: str) -> None:
        if not runs:
            return
        log.bind(minion=minion, runs=[run.name for run in runs][:20]).warning(
            "leases have lapsed: the minion was not reached in time"
        )
        for run in runs:
            self.books.end(run, RunEnd.LEASE_EXPIRED)

    def _wake_for_due(self, wall_ms: int) -> None:
        if self.due_ms is not None and self.due_ms > wall_ms:
            return
        coming = [wall_ms + NEVER_DUE_MS]
        for job in self.ahead.workload.jobs.values():
            if job.spec.timed and not job.ended:
                self.books.stale_jobs.add(job.job_id)
                due_ms = next_due_ms(job.spec, wall_ms)
                if due_ms is not None:
                    coming.append(due_ms)
        self.due_ms = min(coming)
        self.notify()

    def _forget_old(self, now_ms: int, wall_ms: int) -> None:
        if now_ms - self.forgot_ms < FORGET_INTERVAL_MS:
            return
        self.forgot_ms = now_ms
        self._forget_minions(now_ms)
        before = wall_ms - self.timing.keep_ended_ms
        workload = self.ahead.workload
        old = [job.job_id for job in workload.jobs.values() if job.ended and job.ended_ms < before]
        old += [job_id for job_id, at_ms in workload.tombstones.items() if at_ms < before]
        old = [job_id for job_id in old if job_id not in self.books.runs_of]
        if old:
            self.submit(ForgetJobs(job_ids=old[:MAX_FORGOTTEN_AT_ONCE]))

    def _forget_minions(self, now_ms: int) -> None:
        """Drop lives that ended so long ago that no late report of theirs can come."""
        for minion in list(self.books.minions.values()):
            silent_ms = now_ms - max(minion.last_report_ms, minion.clock_received_ms)
            if minion.gone and not minion.runs and silent_ms > KEEP_GONE_MS:
                del self.books.minions[minion.minion_id]
                self.watches.pop(minion.minion_id).end()

    # Admission service

    def _ask_advice(self) -> None:
        wanted = self.planner.wanted_tickets - self.advised
        self.planner.wanted_tickets.clear()
        for name in wanted:
            self.advised.add(name)
            assert self.nursery is not None
            self.nursery.start_soon(self._advise, name)

    async def _advise(self, name: tuple[str, int, int]) -> None:
        job = self.books.job(name[0])
        if job is None or self.advice_port is None:
            return
        pool = self.books.pool_of(job)
        members = [m for m in self.books.minions.values() if m.report.pool == pool]
        members.sort(key=lambda minion: -minion.free().cpu_millis)
        names = [minion.minion_id for minion in members[:MAX_ADVISED_MINIONS]]
        try:
            found = await self.advice_port.admitted(f"{name[0]}.{name[1]}.{name[2]}", names)
        except NoAnswerError as exc:
            log.bind(request=name[0]).warning("no advice: {}", exc)
            self.metrics.event("advice_unanswered")
            await trio.sleep(seconds(self.timing.retry_ms))
            self.advised.discard(name)
            self.notify()
            return
        self.planner.tickets[name] = found
        self.notify()
        queue = self.ahead.state.table.queues.get(job.queue)
        valid_ms = queue.advice_valid_ms if queue else 0
        await trio.sleep(seconds(valid_ms * self.timing.ticket_share))
        self.planner.tickets.pop(name, None)
        self.advised.discard(name)


def _is_older(report: MinionReport, minion: Minion) -> bool:
    known = minion.report
    if report.born_ms != known.born_ms:
        return report.born_ms < known.born_ms
    return minion.gone or report.sequence < known.sequence


def _leaving(report: MinionReport) -> MinionReport:
    return attrs.evolve(report, leaving=True)
