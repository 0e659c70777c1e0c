"""Simulated minions that run step tasks, with leases, fencing tokens and delayed orders."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import (
    Delivery,
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

# Longest lease, and longest time to stop a run, of the users' minions.
MAX_LEASE_MS = 10_000
STOP_MAX_MS = 200
LINK_DELAY_MS = 1.4
LATE_DELAY_MIN_MS = 2_000
LATE_DELAY_MAX_MS = 12_000
FULL_PERCENT = 100
# A capacity that has shrunk is known to the scheduler after this: the longest time without contact,
# 3 s, and one heartbeat.
SHRINK_GRACE_MS = 3_000 + 1_500
# A deadly task crashes its minion this long after its start.
DEADLY_DELAY_MS = 10
# Work of this length or more represents a long-running task.
LONG_RUNNING_WORK_MS = 1_000_000


@define(kw_only=True, eq=False)
class SimulatedRun:
    """Represent one run, running or ended, with times of the simulation's clock."""

    task: str
    run: int
    minion: str
    born_ms: int
    began_ms: float
    work_ms: float
    needs: Resources
    end: RunEnd | None = None
    ended_ms: float | None = None
    # Whether a poll has acknowledged the end, and whether the lease had lapsed before: such an end
    # need not be respected.
    acknowledged: bool = False
    lapsed_before_acknowledged: bool = False
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    stalled: bool = False

    def percent(self) -> int:
        """Return the progress, which is 100 % from the start for a long-running task."""
        if self.work_ms >= LONG_RUNNING_WORK_MS:
            return FULL_PERCENT
        elapsed_ms = 0 if self.stalled else trio.current_time() * 1_000 - self.began_ms
        return min(FULL_PERCENT - 1, int(elapsed_ms * FULL_PERCENT / self.work_ms))


@define(kw_only=True, eq=False)
class SimulatedMinion:
    """Represent one VM's minion through its incarnations."""

    minion: str
    pool: str
    data_center: str = "dc1"
    rack: str = "r1-1"
    capacity: Resources = Resources(cpu_millis=16_000, memory_mb=32_768)
    # Whether a start that does not fit is rejected.
    rejects_overload: bool = True
    # Earlier capacities of this incarnation, with the time of the simulation until which they held.
    earlier_capacities: list[tuple[float, Resources]] = field(factory=list)
    born_ms: int = 1
    up: bool = True
    draining: bool = False
    sequence: int = 0
    # Age of the clock reading in a report, as if the report had been delayed in transit.
    report_lag_ms: int = 0
    # The clock is at most 2 % slow and starts anew in each incarnation.
    clock_rate: float = 1.0
    clock_origin_ms: float = 0.0
    token: int = 0
    lease_until_ms: float = 0.0
    running: dict[str, SimulatedRun] = field(factory=dict)
    ends: list[tuple[int, SimulatedRun]] = field(factory=list)
    next_end_number: int = 1
    # The highest run number that has ended or was stopped here, by task.
    highest_closed_runs: dict[str, int] = field(factory=dict)
    fails: bool = False
    stalls: bool = False
    # VM; by default one of its own.
    machine: str = ""
    # The VM is back under another id, so calls to this one reach the wrong incarnation.
    replaced: bool = False
    slowdown: float = 1.0
    ended_event: trio.Event = field(factory=trio.Event)

    def clock_ms(self) -> float:
        """Return the time of the minion's clock in ms."""
        return (trio.current_time() * 1_000 - self.clock_origin_ms) * self.clock_rate

    def report(self) -> MinionReport:
        """Return the minion's next report."""
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
            machine=self.machine or f"m-{self.minion}",
        )

    def resize(self, capacity: Resources) -> None:
        """Change the capacity, which the next report shows."""
        self.earlier_capacities.append((trio.current_time() * 1_000, self.capacity))
        self.capacity = capacity

    def allowed_capacities(self, *, since_ms: float) -> list[Resources]:
        """Return the capacities that held at any time since the given one."""
        earlier = [held for until_ms, held in self.earlier_capacities if until_ms > since_ms]
        return [*earlier, self.capacity]

    def used(self) -> Resources:
        """Return the resources that the running tasks use, those being stopped included."""
        total = Resources()
        for run in self.running.values():
            total = total.plus(run.needs)
        return total


@define(kw_only=True)
class SimulatedMinions:
    """Run simulated minions and record every run for later checks."""

    rng: random.Random
    # Resources and duration by task name; a real minion reads them from the payload.
    needs_of: Callable[[str], Resources]
    work_ms_of: Callable[[str], float]
    minions: dict[str, SimulatedMinion] = field(factory=dict)
    history: list[SimulatedRun] = field(factory=list)
    # Starts that brought a minion over its capacity.
    overloads: list[str] = field(factory=list)
    nursery: trio.Nursery | None = None
    # Fraction of orders that get no response and take effect seconds later.
    late_order_fraction: float = 0.0
    # Fraction of orders that take effect immediately and whose response is lost.
    lost_response_fraction: float = 0.0
    # Tasks that crash each minion that starts them, which is back after `crash_downtime_ms`.
    deadly_tasks: set[str] = field(factory=set)
    crash_downtime_ms: int = 3_000
    # Called with the next incarnation's minion when VMs come back from a crash under new ids.
    on_new_id: Callable[[SimulatedMinion], None] | None = None
    # Bounds of the time that a minion takes to stop a run.
    stop_duration_ms: tuple[int, int] = (0, STOP_MAX_MS)
    # Minions that refuse connections, or only those for starts, and how many were refused.
    refusing: set[str] = field(factory=set)
    refusing_starts: set[str] = field(factory=set)
    refused_starts: int = 0
    # (caller, minion) pairs without a connection.
    partitions: set[tuple[str, str]] = field(factory=set)
    poll_count: int = 0

    def add(self, minion: SimulatedMinion) -> None:
        """Add a minion."""
        self.minions[minion.minion] = minion

    def port_for(self, caller: str) -> SimulatedMinionPort:
        """Return the port through which one scheduler calls the minions."""
        return SimulatedMinionPort(fleet=self, caller=caller)

    def crash(self, name: str) -> None:
        """End a minion's incarnation; its runs are lost and their ends are not listed."""
        minion = self.minions[name]
        minion.up = False
        for run in list(minion.running.values()):
            run.end, run.ended_ms = RunEnd.LOST, trio.current_time() * 1_000
            run.scope.cancel()
        minion.running.clear()

    def restart(self, name: str) -> None:
        """Start a new incarnation under the same id, without the state of the previous one."""
        minion = self.minions[name]
        if minion.up:
            self.crash(name)
        minion.up = True
        minion.born_ms += 1
        minion.token = 0
        minion.lease_until_ms = 0.0
        minion.clock_origin_ms = trio.current_time() * 1_000
        minion.ends.clear()
        minion.next_end_number = 1
        minion.highest_closed_runs.clear()
        minion.sequence = 0
        minion.draining = False
        minion.earlier_capacities.clear()

    # Behaviour of the minions

    def start(
        self, minion: SimulatedMinion, order: StartOrder, *, late: bool = False
    ) -> StartReply:
        """Start a run as ordered and return the minion's reply; `late` orders were delayed."""
        answer = self._check_order(minion, order)
        known = minion.running.get(order.task)
        if answer is StartAnswer.STARTED and (known is None or known.run != order.run):
            self._start_run(minion, order)
            self._check_capacity(minion, order, late=late)
        if answer in (StartAnswer.STARTED, StartAnswer.OUTDATED, StartAnswer.NO_ROOM):
            self.extend_lease(minion, order.lease_until_ms)
        return StartReply(answer=answer, clock_ms=int(minion.clock_ms()), born_ms=minion.born_ms)

    def _check_order(self, minion: SimulatedMinion, order: StartOrder) -> StartAnswer:
        if order.token < minion.token:
            return StartAnswer.FENCED
        minion.token = order.token
        known = minion.running.get(order.task)
        if known is not None and known.run == order.run:
            return StartAnswer.STARTED
        if order.run <= minion.highest_closed_runs.get(order.task, 0):
            return StartAnswer.OUTDATED
        if order.lease_until_ms <= minion.clock_ms():
            return StartAnswer.LATE
        fits = self.needs_of(order.task).fits_in(minion.capacity.minus(minion.used()))
        if minion.rejects_overload and not fits:
            return StartAnswer.NO_ROOM
        return StartAnswer.STARTED

    def _check_capacity(self, minion: SimulatedMinion, order: StartOrder, *, late: bool) -> None:
        """Record a start that exceeds each capacity that its sender may still have relied on."""
        now_ms, used = trio.current_time() * 1_000, minion.used()
        grace_ms = SHRINK_GRACE_MS + (LATE_DELAY_MAX_MS if late else 0)
        allowed = minion.allowed_capacities(since_ms=now_ms - grace_ms)
        if not any(used.fits_in(capacity) for capacity in allowed):
            self.overloads.append(
                f"{order.task}: run {order.run} brought {minion.minion} over its capacity at "
                f"{now_ms:.0f} ms: {used} of {minion.capacity}"
            )

    def _start_run(self, minion: SimulatedMinion, order: StartOrder) -> None:
        run = SimulatedRun(
            task=order.task,
            run=order.run,
            minion=minion.minion,
            born_ms=minion.born_ms,
            began_ms=trio.current_time() * 1_000,
            work_ms=self.work_ms_of(order.task) * minion.slowdown,
            needs=self.needs_of(order.task),
        )
        minion.running[order.task] = run
        self.history.append(run)
        assert self.nursery is not None
        self.nursery.start_soon(self._run_task, minion, run)

    async def _run_task(self, minion: SimulatedMinion, run: SimulatedRun) -> None:
        if run.task in self.deadly_tasks:
            await trio.sleep(seconds(DEADLY_DELAY_MS))
            await self._crash_and_restart(minion, run)
            return
        with run.scope:
            if minion.stalls:
                run.stalled = True
                await trio.sleep_forever()
            await trio.sleep(seconds(run.work_ms))
            self.end(minion, run, RunEnd.FAILED if minion.fails else RunEnd.DONE)

    async def _crash_and_restart(self, minion: SimulatedMinion, run: SimulatedRun) -> None:
        if minion.running.get(run.task) is not run:
            return
        self.crash(minion.minion)
        await trio.sleep(seconds(self.crash_downtime_ms))
        if minion.up or minion.replaced:
            return
        if self.on_new_id is None:
            self.restart(minion.minion)
        else:
            self.replace(minion.minion)

    def replace(self, name: str) -> SimulatedMinion:
        """Start a new incarnation under a new id on the VM of a crashed one."""
        earlier = self.minions[name]
        earlier.replaced = True
        base = name.partition("+")[0]
        minion = SimulatedMinion(
            minion=f"{base}+{earlier.born_ms}",
            pool=earlier.pool,
            data_center=earlier.data_center,
            rack=earlier.rack,
            capacity=earlier.capacity,
            born_ms=earlier.born_ms + 1,
            clock_rate=earlier.clock_rate,
            clock_origin_ms=trio.current_time() * 1_000,
            machine=earlier.machine or f"m-{name}",
        )
        self.add(minion)
        if self.on_new_id is not None:
            self.on_new_id(minion)
        return minion

    def end(self, minion: SimulatedMinion, run: SimulatedRun, reason: RunEnd) -> None:
        """End a run and add it to the minion's list of ends."""
        if minion.running.get(run.task) is not run:
            return
        del minion.running[run.task]
        run.end, run.ended_ms = reason, trio.current_time() * 1_000
        minion.highest_closed_runs[run.task] = max(
            minion.highest_closed_runs.get(run.task, 0), run.run
        )
        minion.ends.append((minion.next_end_number, run))
        minion.next_end_number += 1
        minion.ended_event.set()
        minion.ended_event = trio.Event()
        run.scope.cancel()

    def extend_lease(self, minion: SimulatedMinion, until_ms: int | None) -> None:
        """Renew the lease of all runs of a minion; never shorten it."""
        if minion.clock_ms() > minion.lease_until_ms:
            for _, run in minion.ends:
                run.lapsed_before_acknowledged = not run.acknowledged
        if until_ms is None:
            return
        limit_ms = minion.clock_ms() + MAX_LEASE_MS
        minion.lease_until_ms = max(minion.lease_until_ms, min(until_ms, limit_ms))

    async def run(self) -> None:
        """End runs whose lease has lapsed, until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await trio.sleep(0.02)
                for minion in self.minions.values():
                    if minion.running and minion.clock_ms() > minion.lease_until_ms:
                        for run in list(minion.running.values()):
                            self.end(minion, run, RunEnd.LEASE_LAPSED)


@define(kw_only=True)
class SimulatedMinionPort:
    """Call simulated minions on behalf of one caller."""

    fleet: SimulatedMinions
    caller: str

    async def _connect(self, report: MinionReport) -> SimulatedMinion:
        await trio.sleep(seconds(LINK_DELAY_MS))
        minion = self.fleet.minions[report.minion]
        if minion.replaced:
            raise WrongIncarnationError("another incarnation of the minion responded")
        if report.minion in self.fleet.refusing:
            raise UnknownOutcomeError("connection refused", Delivery.NOBODY)
        if not minion.up or (self.caller, report.minion) in self.fleet.partitions:
            await trio.sleep(0.7)
            raise UnknownOutcomeError(
                "no response within 700 ms; the minion is down or unreachable"
            )
        return minion

    async def _deliver_response(self) -> None:
        await trio.sleep(seconds(LINK_DELAY_MS))
        if self.fleet.rng.random() < self.fleet.lost_response_fraction:
            await trio.sleep(0.7)
            raise UnknownOutcomeError("no response within 700 ms; the call has taken effect")

    async def _maybe_delay_order(self, apply_order: Callable[[], object]) -> None:
        fleet = self.fleet
        if fleet.rng.random() >= fleet.late_order_fraction:
            return
        assert fleet.nursery is not None
        delay_ms = fleet.rng.uniform(LATE_DELAY_MIN_MS, LATE_DELAY_MAX_MS)
        fleet.nursery.start_soon(self._apply_after, apply_order, delay_ms)
        await trio.sleep(0.7)
        raise UnknownOutcomeError("no response within 700 ms; the order will take effect later")

    async def _apply_after(self, apply_order: Callable[[], object], delay_ms: float) -> None:
        await trio.sleep(seconds(delay_ms))
        apply_order()

    async def poll(
        self,
        report: MinionReport,
        *,
        token: int,
        recorded_end: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> PollResult:
        """Return the minion's lists of runs, after an end or `wait_ms`."""
        self.fleet.poll_count += 1
        minion = await self._connect(report)
        if token < minion.token:
            raise FencedError("a higher fencing token was used")
        born_ms = minion.born_ms
        minion.token = token
        self.fleet.extend_lease(minion, lease_until_ms)
        for number, run in minion.ends:
            run.acknowledged = run.acknowledged or number <= recorded_end
        minion.ends = [item for item in minion.ends if item[0] > recorded_end]
        if wait_ms and not minion.ends:
            with trio.move_on_after(seconds(wait_ms)):
                await minion.ended_event.wait()
        if not minion.up or minion.born_ms != born_ms:
            raise UnknownOutcomeError("the minion's incarnation ended during the poll")
        result = self._list_runs(minion)
        await self._deliver_response()
        return result

    def _list_runs(self, minion: SimulatedMinion) -> PollResult:
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
        if report.minion in self.fleet.refusing_starts:
            self.fleet.refused_starts += 1
            raise UnknownOutcomeError("connection refused", Delivery.NOBODY)
        try:
            minion = await self._connect(report)
        except WrongIncarnationError:
            return StartReply(answer=StartAnswer.WRONG_INCARNATION, clock_ms=0, born_ms=0)
        await self._maybe_delay_order(
            lambda: minion.up and self.fleet.start(minion, order, late=True)
        )
        reply = self.fleet.start(minion, order)
        await self._deliver_response()
        return reply

    async def stop(self, report: MinionReport, *, task: str, run: int, token: int) -> None:
        """Stop a run."""
        minion = await self._connect(report)
        if token < minion.token:
            raise FencedError("a higher fencing token was used")
        minion.token = token
        known = minion.running.get(task)
        if known is not None and known.run == run:
            assert self.fleet.nursery is not None
            self.fleet.nursery.start_soon(self._stop_later, minion, known)
        minion.highest_closed_runs[task] = max(minion.highest_closed_runs.get(task, 0), run)
        await self._deliver_response()

    async def _stop_later(self, minion: SimulatedMinion, run: SimulatedRun) -> None:
        await trio.sleep(seconds(self.fleet.rng.uniform(*self.fleet.stop_duration_ms)))
        self.fleet.end(minion, run, RunEnd.STOPPED)

    async def pace(
        self, report: MinionReport, *, task: str, run: int, percent: int, token: int
    ) -> None:
        """Accept an order to pace a run; simulated tasks keep their speed."""
        minion = await self._connect(report)
        if minion.born_ms != report.born_ms:
            raise WrongIncarnationError("another incarnation of the minion responded")
        await self._deliver_response()

    def forget(self, minion: str) -> None:
        """Ignore that a minion is gone; there is no connection to close."""
