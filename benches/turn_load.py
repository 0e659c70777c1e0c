"""Simulate a fleet whose queues are busy in turn, with the real planner and VM movers.

Prints for each mover the credit that jobs earn, the jobs that end too late to be of use, the VM
seconds in pools and the moves, beside the fluid bound of the VM seconds. Run it with
`python -m benches.turn_load`.
"""

from __future__ import annotations

import heapq
import math
import random
import statistics
from types import SimpleNamespace

import attrs
from attrs import define, field

from benches.step_load import (
    LATE_VALUE_FRACTION,
    PLAN_INTERVAL_MS,
    START_DELAY_MS,
    VM_CAPACITY,
    JobProfile,
    SimulatedJob,
    generate_job,
    job_value,
)
from hornbeamreach.control.workload_commands import AcceptJob, RecordRuns
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.ports import PlatformVm, PlatformVmState
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.vm_inventory import VmInventory
from hornbeamreach.fleet.vm_moves import VmMoves
from hornbeamreach.systems.job_progress import USEFUL_DURATION_FACTOR
from hornbeamreach.systems.pool_moves import pool_movers
from hornbeamreach.systems.run_times import RunTimeHistory, run_time_estimators
from hornbeamreach.systems.task_order import ordering_policies
from hornbeamreach.systems.vm_drains import drain_policies
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import DeclaredTable, PoolRow, QueueRow
from hornbeamreach.tables.minions import Minion, MinionReport, ReservedRun, RunPhase
from hornbeamreach.tables.workload import RunEnd, StepJobSpec, StepSpec, parse_task_key

DAY_MS = 34_000
MOVER_INTERVAL_MS = 200
# A move ends the VM's minion at once; the next one has reported and been polled after this.
MOVE_MS = 1_800
STANDBY = "standby"
LATE_START_MS = 500
LASTING_CPU_MILLIS = 1_500
# Demand between busy periods, and the height and flatness of a busy period, as multiples of the
# mean: the mean of a whole day is 1.
QUIET_RATE = 0.05
BUSY_RATE = 5.2
BUSY_EXPONENT = 0.6


@define(frozen=True, kw_only=True)
class Surge:
    """Multiply the arrivals of a queue, or of all, for some time."""

    begin_ms: int
    end_ms: int
    factor: float
    queue: int | None = None


@define(frozen=True, kw_only=True)
class FleetProfile:
    """Describe a fleet: its queues' jobs, and the VMs of each pool."""

    queues: tuple[JobProfile, ...]
    pool_vms: tuple[int, ...]
    standby_vms: int
    lasting_tasks: int
    tasks_per_minion: int = 3
    day_ms: int = DAY_MS
    # Busy periods of each queue in a day; 0 for steady arrivals.
    cycles: int = 1
    surges: tuple[Surge, ...] = ()

    def with_steady_arrivals(self) -> FleetProfile:
        """Return this fleet with the same work at a steady rate."""
        return attrs.evolve(self, cycles=0)

    def with_declared_factor(self, factor: float) -> FleetProfile:
        """Return this fleet with run times declared as a multiple of the actual ones."""
        queues = tuple(attrs.evolve(queue, declared_factor=factor) for queue in self.queues)
        return attrs.evolve(self, queues=queues)


@define(frozen=True, kw_only=True)
class DayResult:
    """Hold what a simulated day earned and cost."""

    credit: float
    worst_window: float
    largest_tenth: float
    # Shares of the jobs that end after their objective, and too late to be of use.
    late: float
    useless: float
    vm_seconds: float
    moves: int
    busy_vm_seconds: float
    # Share of the jobs whose first task starts 500 ms after their arrival or later, and the
    # median and 90th percentile of that time.
    waiting: float = 0.0
    start_p50_ms: float = 0.0
    start_p90_ms: float = 0.0


def arrival_rate(profile: FleetProfile, queue: int, at_ms: int) -> float:
    """Return a queue's arrival rate as a multiple of its mean."""
    factor = 1.0
    for surge in profile.surges:
        if surge.queue in (None, queue) and surge.begin_ms <= at_ms < surge.end_ms:
            factor *= surge.factor
    return factor * _rate_in_turn(profile, queue, at_ms)


def _rate_in_turn(profile: FleetProfile, queue: int, at_ms: int) -> float:
    if not profile.cycles:
        return 1.0
    turns = len(profile.queues) * profile.cycles
    turn_ms = profile.day_ms / turns
    turn = int(at_ms // turn_ms)
    if turn % len(profile.queues) != queue:
        return QUIET_RATE
    return QUIET_RATE + BUSY_RATE * math.sin(math.pi * (at_ms / turn_ms - turn)) ** BUSY_EXPONENT


def generate_day(profile: FleetProfile, seed: int, load: float) -> list[tuple[int, SimulatedJob]]:
    """Generate a day's jobs, each with the number of its queue, by time."""
    rng = random.Random(seed)
    peak = (QUIET_RATE + BUSY_RATE) * math.prod(surge.factor for surge in profile.surges)
    jobs: list[tuple[int, SimulatedJob]] = []
    for number, queue in enumerate(profile.queues):
        at_ms = 0.0
        while True:
            at_ms += rng.expovariate(queue.per_s * peak * load / 1_000)
            if at_ms >= profile.day_ms:
                break
            if rng.random() * peak < arrival_rate(profile, number, int(at_ms)):
                job = generate_job(queue, rng, int(at_ms), len(jobs))
                jobs.append((number, job))
    return sorted(jobs, key=lambda item: item[1].at_ms)


@define(kw_only=True)
class TurnSimulation:
    """Simulate a day of a fleet."""

    profile: FleetProfile
    mover: str
    ordering: str
    estimator: str
    drains: str = "none"
    jobs: list[tuple[int, SimulatedJob]]
    now_ms: int = 0
    moves: int = 0
    vm_ms: int = 0
    busy_core_ms: float = 0
    fleet: FleetState = field(init=False)
    planner: Planner = field(init=False)
    vm_moves: VmMoves = field(init=False)
    ends: list[tuple[int, int, ReservedRun]] = field(factory=list)
    # Arrival time, VM and target pool of the moves under way.
    arrivals: list[tuple[int, str, str]] = field(factory=list)
    # Pool by VM.
    pools: dict[str, str] = field(factory=dict)
    lives: int = 0

    def __attrs_post_init__(self) -> None:
        names = [f"pool-{number}" for number in range(len(self.profile.queues))]
        table = DeclaredTable(
            pools={
                **{name: PoolRow(max_down=0) for name in names},
                STANDBY: PoolRow(max_down=0, spare=True, standby=True),
            },
            queues={
                f"queue-{number}": QueueRow(
                    pool=names[number],
                    slack_factor=queue.slack,
                    target_latency_ms=queue.target_latency_ms,
                )
                for number, queue in enumerate(self.profile.queues)
            },
        )
        proposed = ProposedState.of(ControlState(table=table))
        run_times = RunTimeHistory(estimator=run_time_estimators.get(self.estimator))
        self.fleet = FleetState(proposed=proposed, run_times=run_times)
        self.planner = Planner(fleet=self.fleet, ordering=ordering_policies.get(self.ordering))
        scheduler = SimpleNamespace(
            proposed=proposed,
            fleet=self.fleet,
            began_ms=-10_000,
            clock=SimpleNamespace(now_ms=lambda: self.now_ms, wall_ms=lambda: self.now_ms),
            metrics=SimpleNamespace(event=lambda name: None),
        )
        inventory = VmInventory(scheduler=scheduler, port=None)
        self.vm_moves = VmMoves(
            scheduler=scheduler,
            inventory=inventory,
            mover=pool_movers.get(self.mover),
            drain_policy=drain_policies.get(self.drains),
        )
        for pool, count in zip(
            [*names, STANDBY], [*self.profile.pool_vms, self.profile.standby_vms], strict=True
        ):
            for _ in range(count):
                vm = f"m-{len(self.pools)}"
                self.pools[vm] = pool
                if pool != STANDBY:
                    self._add_minion(vm, pool)
        for number, name in enumerate(names):
            self._accept(f"lasting-{number}", f"queue-{number}", name, self._lasting_spec(), 0)

    def _lasting_spec(self) -> StepJobSpec:
        step = StepSpec(
            count=self.profile.lasting_tasks,
            cpu_millis=LASTING_CPU_MILLIS,
            memory_mb=4_000,
            max_per_minion=self.profile.tasks_per_minion,
            lasting=True,
        )
        return StepJobSpec(payload="", steps=(step,))

    def _add_minion(self, vm: str, pool: str) -> None:
        self.lives += 1
        report = MinionReport(
            minion=f"i-{self.lives}",
            born_ms=self.now_ms + 1,
            pool=pool,
            address="",
            data_center="dc1",
            sequence=1,
            capacity=VM_CAPACITY,
            machine=vm,
        )
        minion = Minion(report=report, last_report_ms=self.now_ms, polled_ms=0)
        self.fleet.minions[report.minion] = minion

    def _accept(self, job_id: str, queue: str, pool: str, spec: StepJobSpec, at_ms: int) -> None:
        self.fleet.proposed.apply(
            AcceptJob(job_id=job_id, queue=queue, pool=pool, team="", spec=spec, at_ms=at_ms)
        )
        self.fleet.stale_jobs.add(job_id)
        job = self.fleet.job(job_id)
        assert job is not None
        self.fleet.record_arrival(job, at_ms)

    def run(self) -> DayResult:
        """Simulate until the day has ended and every job is done."""
        pending = [(number, job) for number, job in reversed(self.jobs)]
        by_id = {job.job_id: job for _, job in self.jobs}
        end_ms = self.profile.day_ms
        while self.now_ms < end_ms or (
            any(job.done_ms is None for job in by_id.values()) and self.now_ms < 3 * end_ms
        ):
            while pending and pending[-1][1].at_ms <= self.now_ms:
                number, job = pending.pop()
                self._accept(job.job_id, f"queue-{number}", f"pool-{number}", job.spec, job.at_ms)
            while self.ends and self.ends[0][0] <= self.now_ms:
                self._end_run(heapq.heappop(self.ends)[2])
            while self.arrivals and self.arrivals[0][0] <= self.now_ms:
                _, vm, pool = self.arrivals.pop(0)
                self._finish_move(vm, pool)
            if self.now_ms % MOVER_INTERVAL_MS == 0:
                self._move_vms()
            self._record_and_plan(by_id)
            self.now_ms += PLAN_INTERVAL_MS
        return self._result()

    def _end_run(self, run: ReservedRun) -> None:
        self.fleet.end_run(run, RunEnd.DONE, now_ms=self.now_ms)

    def _finish_move(self, vm: str, pool: str) -> None:
        self.pools[vm] = pool
        self.vm_moves.arriving.pop(vm, None)
        self.vm_moves.inventory.end_order(vm)
        if pool != STANDBY:
            self._add_minion(vm, pool)

    def _move_vms(self) -> None:
        for minion in self.fleet.minions.values():
            minion.last_report_ms = self.now_ms
        inventory = self.vm_moves.inventory
        inventory.vms = {
            vm: PlatformVm(name=vm, pool=pool, state=PlatformVmState.UP)
            for vm, pool in self.pools.items()
        }
        inventory.listed_ms = self.now_ms
        minions = inventory.current_minions()
        demands = self.vm_moves.pool_demands(minions, self.now_ms)
        in_pools = sum(d.vms + d.arriving for d in demands.by_pool.values() if not d.standby)
        if self.now_ms < self.profile.day_ms:
            self.vm_ms += in_pools * MOVER_INTERVAL_MS
            used = sum(minion.used.cpu_millis for minion in self.fleet.minions.values())
            self.busy_core_ms += used * MOVER_INTERVAL_MS / VM_CAPACITY.cpu_millis
        moves = self.vm_moves.mover(demands)
        self.vm_moves.drain_vms(minions, demands, self.now_ms)
        for move in moves:
            self.moves += self.now_ms < self.profile.day_ms
            inventory.pending_orders[move.vm] = self.now_ms
            self.vm_moves.arriving[move.vm] = move.pool
            self.pools[move.vm] = ""
            self.arrivals.append((self.now_ms + MOVE_MS, move.vm, move.pool))
            minion = minions.get(move.vm)
            if minion is not None:
                for run in list(minion.runs.values()):
                    self.fleet.end_run(run, RunEnd.LOST)
                del self.fleet.minions[minion.minion_id]

    def _record_and_plan(self, by_id: dict[str, SimulatedJob]) -> None:
        fleet = self.fleet
        ended, fleet.unrecorded_ends = fleet.unrecorded_ends, []
        if not ended and not fleet.stale_jobs and not fleet.ready:
            return
        end_rows = [(e.job_id, e.key, e.run, e.end.value, "") for e in ended]
        fleet.proposed.apply(RecordRuns(ends=end_rows, at_ms=self.now_ms))
        for end in ended:
            fleet.stale_jobs.add(end.job_id)
            job = fleet.job(end.job_id)
            if job is not None and job.ended:
                by_id[end.job_id].done_ms = self.now_ms
        starts = self.planner.plan(self.now_ms, self.now_ms)
        start_rows = [(r.job_id, r.key, r.run, r.minion, r.born_ms) for r in starts]
        fleet.proposed.apply(RecordRuns(starts=start_rows, at_ms=self.now_ms))
        for run in starts:
            if run.lasting:
                continue
            job = by_id[run.job_id]
            if job.started_ms is None:
                job.started_ms = self.now_ms
            run.phase = RunPhase.RUNNING
            run.started_ms = self.now_ms + START_DELAY_MS
            _, step, index = parse_task_key(run.key)
            duration_ms = job.durations_ms[step][index]
            heapq.heappush(self.ends, (self.now_ms + START_DELAY_MS + duration_ms, id(run), run))

    def _result(self) -> DayResult:
        values: dict[str, float] = {}
        for number in range(len(self.profile.queues)):
            own = [job for queue, job in self.jobs if queue == number]
            mean = statistics.fmean(job.work for job in own)
            values.update({job.job_id: job_value(job, mean) for job in own})
        jobs = [job for _, job in self.jobs]
        ranked = sorted(jobs, key=lambda job: -job.work)
        waits = sorted((j.started_ms or 3 * self.profile.day_ms) - j.at_ms for j in jobs)
        window_ms = 2_000
        windows = [
            _earned([j for j in jobs if at <= j.at_ms < at + window_ms], values)
            for at in range(0, self.profile.day_ms, window_ms)
        ]
        return DayResult(
            credit=_earned(jobs, values),
            worst_window=min(windows),
            largest_tenth=_earned(ranked[: max(1, len(ranked) // 10)], values),
            late=sum(_usefulness(job) < 1 for job in jobs) / len(jobs),
            useless=sum(_usefulness(job) == 0 for job in jobs) / len(jobs),
            vm_seconds=self.vm_ms / 1_000,
            moves=self.moves,
            busy_vm_seconds=self.busy_core_ms / 1_000,
            waiting=sum(wait >= LATE_START_MS for wait in waits) / len(waits),
            start_p50_ms=waits[len(waits) // 2],
            start_p90_ms=waits[len(waits) * 9 // 10],
        )


def _usefulness(job: SimulatedJob) -> float:
    objective_ms = job.due_ms - job.at_ms
    if job.done_ms is None or job.done_ms > job.at_ms + USEFUL_DURATION_FACTOR * objective_ms:
        return 0
    return 1 if job.done_ms <= job.due_ms else LATE_VALUE_FRACTION


def _earned(jobs: list[SimulatedJob], values: dict[str, float]) -> float:
    owed = sum(values[job.job_id] for job in jobs)
    earned = sum(values[job.job_id] * _usefulness(job) for job in jobs)
    return earned / owed if owed else 1.0


def _queue(**figures: float) -> JobProfile:
    return JobProfile(
        **figures, max_width=4 * int(figures["width"]), slack=1.6, target_latency_ms=600
    )


SMALL_FLEET = FleetProfile(
    queues=(
        _queue(steps=1.6, width=6, work_ms=1_000, cpu=880, estimate_error=0.2, per_s=2.94),
        _queue(steps=2.0, width=8, work_ms=1_300, cpu=1_900, estimate_error=0.5, per_s=0.71),
        _queue(steps=1.6, width=6, work_ms=1_000, cpu=880, estimate_error=0.2, per_s=3.68),
        _queue(steps=2.0, width=8, work_ms=1_300, cpu=1_900, estimate_error=0.5, per_s=0.865),
    ),
    pool_vms=(6, 6, 6, 6),
    standby_vms=6,
    lasting_tasks=5,
)
LARGE_FLEET = FleetProfile(
    queues=(
        _queue(steps=1.6, width=8, work_ms=800, cpu=2_300, estimate_error=0.5, per_s=11.9),
        _queue(steps=2.0, width=8, work_ms=1_700, cpu=4_900, estimate_error=0.2, per_s=2.36),
        _queue(steps=1.6, width=8, work_ms=800, cpu=2_300, estimate_error=0.5, per_s=14.9),
        _queue(steps=2.0, width=8, work_ms=1_700, cpu=4_900, estimate_error=0.2, per_s=2.88),
    ),
    pool_vms=(50, 55, 60, 66),
    standby_vms=45,
    lasting_tasks=24,
)
FLEETS = {"small": SMALL_FLEET, "large": LARGE_FLEET}


def overloaded_pool() -> FleetProfile:
    """Return one pool whose queue brings more work for some seconds than its VMs can do."""
    queue = attrs.evolve(SMALL_FLEET.queues[0], per_s=1.5 * SMALL_FLEET.queues[0].per_s)
    return attrs.evolve(SMALL_FLEET, queues=(queue,), pool_vms=(6,), standby_vms=0, day_ms=12_000)


def simulate_day(
    profile: FleetProfile,
    *,
    mover: str,
    ordering: str,
    estimator: str = "learnt",
    drains: str = "none",
    seed: int = 1,
    load: float = 1.0,
) -> DayResult:
    """Simulate one day and return its result."""
    jobs = generate_day(profile, seed, load)
    return TurnSimulation(
        profile=profile,
        mover=mover,
        ordering=ordering,
        estimator=estimator,
        drains=drains,
        jobs=jobs,
    ).run()


def main() -> None:
    """Print the results of every mover on every fleet."""
    print("fleet load  mover        credit window largest useless  VM s (bound)  moves")
    for name, profile in FLEETS.items():
        for load in (1.0, 1.3):
            for mover in pool_movers:
                if mover == "fixed" and profile is LARGE_FLEET:
                    # Its backlog only grows, and with it the time to simulate.
                    continue
                result = simulate_day(profile, mover=mover, ordering="useful_first", load=load)
                print(
                    f"{name:6}{load:4.1f} {mover:14} {result.credit:.3f}  "
                    f"{result.worst_window:.3f}  {result.largest_tenth:.3f}  "
                    f"{result.useless:.3f}  {result.vm_seconds:6.0f} "
                    f"({result.busy_vm_seconds:.0f}) {result.moves:6d}"
                )


if __name__ == "__main__":
    main()
