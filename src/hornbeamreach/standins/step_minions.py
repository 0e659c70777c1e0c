"""A stand-in for minions that run step tasks by orders: leases, tokens, ends, late orders."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import (
    EndedTask,
    FencedError,
    PollResult,
    RunningTask,
    StartAnswer,
    StartOrder,
    StartReply,
    UnknownOutcomeError,
    WrongIncarnationError,
)
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import RunEnd

# What the users' minions do: the longest lease, and how long a stop takes.
MAX_LEASE_MS = 10_000
STOP_MS = 200
LINK_DELAY_MS = 1.4
LATE_MIN_MS = 2_000
LATE_MAX_MS = 12_000
FULL = 100
# Work above this stands for a task that lasts.
LASTING_MS = 1_000_000


@define(kw_only=True, eq=False)
class StandInRun:
    """Hold one run, at work or ended; times are the simulation's own."""

    task: str
    run: int
    minion: str
    born_ms: int
    began_ms: float
    work_ms: float
    needs: Resources
    end: RunEnd | None = None
    ended_ms: float | None = None
    # Whether a look has covered its end.
    covered: bool = False
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    stalled: bool = False

    def percent(self) -> int:
        """Return the progress; a task that lasts is at work from the beginning."""
        if self.work_ms >= LASTING_MS:
            return FULL
        passed_ms = 0 if self.stalled else trio.current_time() * 1_000 - self.began_ms
        return min(FULL - 1, int(passed_ms * FULL / self.work_ms))


@define(kw_only=True, eq=False)
class StandInMinion:
    """Stand for one machine's minion, life after life."""

    minion: str
    pool: str
    data_center: str = "dc1"
    rack: str = "r1-1"
    capacity: Resources = Resources(cpu_millis=16_000, memory_mb=32_768)
    born_ms: int = 1
    up: bool = True
    draining: bool = False
    sequence: int = 0
    # How long ago the clock was read that a report tells, as if it had been on its way.
    report_lag_ms: int = 0
    # The minion's clock: 2 % slow at most, and new in each life.
    clock_rate: float = 1.0
    clock_from_ms: float = 0.0
    token: int = 0
    lease_until_ms: float = 0.0
    running: dict[str, StandInRun] = field(factory=dict)
    ends: list[tuple[int, StandInRun]] = field(factory=list)
    next_end: int = 1
    # The highest run that ended or was stopped here, by task.
    closed_runs: dict[str, int] = field(factory=dict)
    fails: bool = False
    stalls: bool = False
    slowness: float = 1.0
    ended_event: trio.Event = field(factory=trio.Event)

    def clock_ms(self) -> float:
        """Return what the minion's clock shows."""
        return (trio.current_time() * 1_000 - self.clock_from_ms) * self.clock_rate

    def report(self) -> MinionReport:
        """Return the minion's next announcement."""
        self.sequence += 1
        return MinionReport(
            minion=self.minion,
            born_ms=self.born_ms,
            pool=self.pool,
            address=f"10.9.0.1:{self.minion}",
            data_center=self.data_center,
            sequence=self.sequence,
            draining=self.draining,
            capacity=self.capacity,
            kind="a",
            rack=self.rack,
            labels=("a", self.rack),
            clock_ms=max(1, int(self.clock_ms()) - self.report_lag_ms),
            machine=f"m-{self.minion}",
        )

    def used(self) -> Resources:
        """Return what the running tasks take."""
        total = Resources()
        for run in self.running.values():
            total = total.plus(run.needs)
        return total


@define(kw_only=True)
class StandInMinions:
    """Run stand-in minions and remember every run, for checks."""

    rng: random.Random
    # Needs and length of a task by its name: what a real minion reads from the payload.
    needs_of: Callable[[str], Resources]
    work_ms_of: Callable[[str], float]
    minions: dict[str, StandInMinion] = field(factory=dict)
    history: list[StandInRun] = field(factory=list)
    nursery: trio.Nursery | None = None
    # Share of orders that get no answer and are carried out seconds later.
    late_share: float = 0.0
    # Share of orders that are carried out at once and whose answer is lost.
    lost_answer_share: float = 0.0
    # (caller, minion) pairs that can't reach each other.
    cuts: set[tuple[str, str]] = field(factory=set)
    looks: int = 0

    def add(self, minion: StandInMinion) -> None:
        """Put a minion into service."""
        self.minions[minion.minion] = minion

    def port_for(self, caller: str) -> StandInPort:
        """Return the port that one scheduler calls through."""
        return StandInPort(fleet=self, caller=caller)

    def crash(self, name: str) -> None:
        """End a minion's life; what ran there is gone without a trace."""
        minion = self.minions[name]
        minion.up = False
        for run in list(minion.running.values()):
            run.end, run.ended_ms = RunEnd.LOST, trio.current_time() * 1_000
            run.scope.cancel()
        minion.running.clear()

    def restart(self, name: str) -> None:
        """Begin a new life under the same id, which knows nothing of before."""
        minion = self.minions[name]
        if minion.up:
            self.crash(name)
        minion.up = True
        minion.born_ms += 1
        minion.token = 0
        minion.lease_until_ms = 0.0
        minion.clock_from_ms = trio.current_time() * 1_000
        minion.ends.clear()
        minion.next_end = 1
        minion.closed_runs.clear()
        minion.sequence = 0
        minion.draining = False

    # What minions do

    def start(self, minion: StandInMinion, order: StartOrder) -> StartReply:
        """Carry out an order to start."""
        answer = self._judge(minion, order)
        known = minion.running.get(order.task)
        if answer is StartAnswer.STARTED and (known is None or known.run != order.run):
            self._begin(minion, order)
        if answer in (StartAnswer.STARTED, StartAnswer.OUTDATED, StartAnswer.NO_ROOM):
            self.extend(minion, order.lease_until_ms)
        return StartReply(answer=answer, clock_ms=int(minion.clock_ms()), born_ms=minion.born_ms)

    def _judge(self, minion: StandInMinion, order: StartOrder) -> StartAnswer:
        if order.token < minion.token:
            return StartAnswer.FENCED
        minion.token = order.token
        known = minion.running.get(order.task)
        if known is not None and known.run == order.run:
            return StartAnswer.STARTED
        if order.run <= minion.closed_runs.get(order.task, 0):
            return StartAnswer.OUTDATED
        if order.lease_until_ms <= minion.clock_ms():
            return StartAnswer.LATE
        if not self.needs_of(order.task).fits_in(minion.capacity.minus(minion.used())):
            return StartAnswer.NO_ROOM
        return StartAnswer.STARTED

    def _begin(self, minion: StandInMinion, order: StartOrder) -> None:
        run = StandInRun(
            task=order.task,
            run=order.run,
            minion=minion.minion,
            born_ms=minion.born_ms,
            began_ms=trio.current_time() * 1_000,
            work_ms=self.work_ms_of(order.task) * minion.slowness,
            needs=self.needs_of(order.task),
        )
        minion.running[order.task] = run
        self.history.append(run)
        assert self.nursery is not None
        self.nursery.start_soon(self._work, minion, run)

    async def _work(self, minion: StandInMinion, run: StandInRun) -> None:
        with run.scope:
            if minion.stalls:
                run.stalled = True
                await trio.sleep_forever()
            await trio.sleep(seconds(run.work_ms))
            self.end(minion, run, RunEnd.FAILED if minion.fails else RunEnd.DONE)

    def end(self, minion: StandInMinion, run: StandInRun, how: RunEnd) -> None:
        """End a run and list its end."""
        if minion.running.get(run.task) is not run:
            return
        del minion.running[run.task]
        run.end, run.ended_ms = how, trio.current_time() * 1_000
        minion.closed_runs[run.task] = max(minion.closed_runs.get(run.task, 0), run.run)
        minion.ends.append((minion.next_end, run))
        minion.next_end += 1
        minion.ended_event.set()
        minion.ended_event = trio.Event()
        run.scope.cancel()

    def extend(self, minion: StandInMinion, until_ms: int | None) -> None:
        """Extend the lease of everything that runs; it never shortens."""
        if until_ms is None:
            return
        most = minion.clock_ms() + MAX_LEASE_MS
        minion.lease_until_ms = max(minion.lease_until_ms, min(until_ms, most))

    async def run(self) -> None:
        """Kill what outlives its lease, until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await trio.sleep(0.02)
                for minion in self.minions.values():
                    if minion.running and minion.clock_ms() > minion.lease_until_ms:
                        for run in list(minion.running.values()):
                            self.end(minion, run, RunEnd.LEASE_EXPIRED)


@define(kw_only=True)
class StandInPort:
    """Call stand-in minions from one place."""

    fleet: StandInMinions
    caller: str

    async def _reach(self, report: MinionReport) -> StandInMinion:
        await trio.sleep(seconds(LINK_DELAY_MS))
        minion = self.fleet.minions[report.minion]
        if not minion.up or (self.caller, report.minion) in self.fleet.cuts:
            await trio.sleep(0.7)
            raise UnknownOutcomeError("no answer")
        return minion

    async def _answered(self) -> None:
        await trio.sleep(seconds(LINK_DELAY_MS))
        if self.fleet.rng.random() < self.fleet.lost_answer_share:
            await trio.sleep(0.7)
            raise UnknownOutcomeError("the answer was lost")

    async def _maybe_late(self, carry_out: Callable[[], object]) -> None:
        fleet = self.fleet
        if fleet.rng.random() >= fleet.late_share:
            return
        assert fleet.nursery is not None
        delay_ms = fleet.rng.uniform(LATE_MIN_MS, LATE_MAX_MS)
        fleet.nursery.start_soon(self._later, carry_out, delay_ms)
        await trio.sleep(0.7)
        raise UnknownOutcomeError("carried out late")

    async def _later(self, carry_out: Callable[[], object], delay_ms: float) -> None:
        await trio.sleep(seconds(delay_ms))
        carry_out()

    async def poll(
        self,
        report: MinionReport,
        *,
        token: int,
        recorded_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> PollResult:
        """Return the minion's lists."""
        self.fleet.looks += 1
        minion = await self._reach(report)
        if token < minion.token:
            raise FencedError("a higher token was used")
        born_ms = minion.born_ms
        minion.token = token
        self.fleet.extend(minion, lease_until_ms)
        for number, run in minion.ends:
            run.covered = run.covered or number <= recorded_end
        minion.ends = [item for item in minion.ends if item[0] > recorded_end]
        if wait_ms and not minion.ends:
            with trio.move_on_after(seconds(wait_ms)):
                await minion.ended_event.wait()
        if not minion.up or minion.born_ms != born_ms:
            raise UnknownOutcomeError("the minion ended")
        look = self._lists(minion)
        await self._answered()
        return look

    def _lists(self, minion: StandInMinion) -> PollResult:
        return PollResult(
            born_ms=minion.born_ms,
            clock_ms=int(minion.clock_ms()),
            running=[
                RunningTask(task=r.task, run=r.run, checkpoint="", percent=r.percent(), figure=0)
                for r in minion.running.values()
            ],
            ended=[
                EndedTask(number=n, task=r.task, run=r.run, end=r.end or RunEnd.LOST, checkpoint="")
                for n, r in minion.ends
            ],
        )

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        """Start a run."""
        minion = await self._reach(report)
        await self._maybe_late(lambda: minion.up and self.fleet.start(minion, order))
        reply = self.fleet.start(minion, order)
        await self._answered()
        return reply

    async def stop(self, report: MinionReport, *, task: str, run: int, token: int) -> None:
        """Stop a run."""
        minion = await self._reach(report)
        if token < minion.token:
            raise FencedError("a higher token was used")
        minion.token = token
        known = minion.running.get(task)
        if known is not None and known.run == run:
            assert self.fleet.nursery is not None
            self.fleet.nursery.start_soon(self._stop_soon, minion, known)
        minion.closed_runs[task] = max(minion.closed_runs.get(task, 0), run)
        await self._answered()

    async def _stop_soon(self, minion: StandInMinion, run: StandInRun) -> None:
        await trio.sleep(seconds(self.fleet.rng.uniform(0, STOP_MS)))
        self.fleet.end(minion, run, RunEnd.STOPPED)

    async def pace(
        self, report: MinionReport, *, task: str, run: int, percent: int, token: int
    ) -> None:
        """Let a run work at a share of its speed; stand-in tasks keep theirs."""
        minion = await self._reach(report)
        if minion.born_ms != report.born_ms:
            raise WrongIncarnationError("another life answered")
        await self._answered()

    def forget(self, minion: str) -> None:
        """Keep nothing about a minion."""
