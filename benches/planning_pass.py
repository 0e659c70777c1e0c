"""Measure the processor time of planning passes and of the VM moves' demand in long queues.

All pools are full and some hundred or thousand jobs wait. Time is virtual: every 10 ms some runs
end, and a pass starts what fits then. Also prints a digest of all starts, which is equal for two
builds that make the same decisions if both run with the same `PYTHONHASHSEED`. Run it with
`python -m benches.planning_pass [WAITING_JOBS] [TEAMS] [MINIONS] [POOLS]` from the root of the
repository.
"""

from __future__ import annotations

import hashlib
import heapq
import random
import sys
import time
from types import SimpleNamespace

from attrs import define, field

from hornbeamreach.control.workload_commands import AcceptJob, RecordRuns
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.vm_inventory import VmInventory
from hornbeamreach.fleet.vm_moves import VmMoves
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import DeclaredTable, PoolRow, QueueRow, TeamRow
from hornbeamreach.tables.minions import Minion, MinionReport, ReservedRun
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import RunEnd, StepJobSpec, StepSpec

# Waiting jobs, teams, minions and pools.
DEFAULTS = (500, 8, 70, 1)
PASS_INTERVAL_MS = 10
# As long as a scheduler's tick, which plans all pools, and as two ticks of the VM moves.
TICK_PASSES = 10
MOVES_PASSES = 20
WARM_UP_PASSES = 100
MEASURED_PASSES = 300
VM_CAPACITY = Resources(cpu_millis=16_000, memory_mb=64_000)
TASK_CPU_MILLIS = (1_500, 2_000, 2_500, 3_100, 4_200, 6_200)
TASKS_PER_STEP = 8
NS_PER_MS = 1_000_000


@define(kw_only=True)
class PassLoad:
    """Keep a number of jobs waiting in full pools, and time what the leader does for them."""

    waiting_jobs: int
    teams: int
    pools: int
    rng: random.Random = field(factory=lambda: random.Random(7))
    now_ms: int = 10_000
    jobs: int = 0
    digest: str = ""
    starts: int = 0
    took_ns: dict[str, int] = field(factory=dict)
    ends: list[tuple[int, str, ReservedRun]] = field(factory=list)
    fleet: FleetState = field(init=False)
    planner: Planner = field(init=False)
    vm_moves: VmMoves = field(init=False)

    def __attrs_post_init__(self) -> None:
        table = DeclaredTable(
            teams={
                f"team-{n}": TeamRow(weight=1 + n, max_running=1_000_000, home="dc1")
                for n in range(self.teams)
            },
            pools={f"pool-{n}": PoolRow(max_down=0) for n in range(self.pools)},
            queues={f"queue-{n}": QueueRow(pool=f"pool-{n}", rank=1) for n in range(self.pools)},
        )
        self.fleet = FleetState(proposed=ProposedState.of(ControlState(table=table)))
        self.planner = Planner(fleet=self.fleet)
        scheduler = SimpleNamespace(
            proposed=self.fleet.proposed,
            fleet=self.fleet,
            began_ms=-10_000,
            clock=SimpleNamespace(now_ms=lambda: self.now_ms, wall_ms=lambda: self.now_ms),
        )
        inventory = VmInventory(scheduler=scheduler, port=None)
        self.vm_moves = VmMoves(scheduler=scheduler, inventory=inventory)

    def add_minion(self, number: int) -> None:
        """Add a minion to one of the pools."""
        report = MinionReport(
            minion=f"i-{number}",
            born_ms=1,
            pool=f"pool-{number % self.pools}",
            address="",
            data_center="dc1",
            rack=f"r-{number % 5}",
            sequence=1,
            capacity=VM_CAPACITY,
            machine=f"m-{number}",
        )
        self.fleet.minions[report.minion] = Minion(report=report, last_report_ms=0, polled_ms=0)

    def accept(self) -> None:
        """Accept one job of two steps."""
        pool = self.rng.randrange(self.pools)
        steps = tuple(
            StepSpec(
                count=TASKS_PER_STEP,
                cpu_millis=self.rng.choice(TASK_CPU_MILLIS),
                memory_mb=500,
                estimate_ms=self.rng.randrange(600, 900),
                after=after,
            )
            for after in ((), (0,))
        )
        job_id = f"job-{self.jobs}"
        self.jobs += 1
        self.fleet.proposed.apply(
            AcceptJob(
                job_id=job_id,
                queue=f"queue-{pool}",
                pool=f"pool-{pool}",
                team=f"team-{self.rng.randrange(self.teams)}",
                spec=StepJobSpec(payload="", steps=steps),
                at_ms=self.now_ms,
            )
        )
        job = self.fleet.job(job_id)
        assert job is not None
        self.fleet.record_arrival(job, self.now_ms)
        self.fleet.stale_jobs.add(job_id)
        self.fleet.changed_pools.add(f"pool-{pool}")

    def end_runs(self) -> None:
        """End the runs that are due, and record them."""
        rows = []
        while self.ends and self.ends[0][0] <= self.now_ms:
            run = heapq.heappop(self.ends)[2]
            self.fleet.end_run(run, RunEnd.DONE, now_ms=self.now_ms)
            self.fleet.stale_jobs.add(run.job_id)
            rows.append((run.job_id, run.key, run.run, RunEnd.DONE.value, ""))
        self.fleet.unrecorded_ends.clear()
        if rows:
            self.fleet.proposed.apply(RecordRuns(ends=rows, at_ms=self.now_ms))

    def plan(self) -> None:
        """Plan once, and record the starts."""
        self.planner.begin_pass(self.now_ms, self.now_ms)
        starts = self.planner.plan_slice(self.now_ms, self.now_ms)
        while self.planner.pending:
            starts += self.planner.plan_slice(self.now_ms, self.now_ms)
        self._record(starts)

    def _record(self, starts: list[ReservedRun]) -> None:
        began_ns = time.thread_time_ns()
        rows = [(r.job_id, r.key, r.run, r.minion, r.born_ms) for r in starts]
        self.fleet.proposed.apply(RecordRuns(starts=rows, at_ms=self.now_ms))
        for run in starts:
            end_ms = self.now_ms + self.rng.randrange(600, 900)
            heapq.heappush(self.ends, (end_ms, run.name, run))
        names = ",".join(f"{run.name}@{run.minion}" for run in starts)
        self.digest = hashlib.sha256((self.digest + names).encode()).hexdigest()
        self.starts += len(starts)
        self._add("record", began_ns)
        # Not a part of the pass.
        self.took_ns["pass"] = self.took_ns.get("pass", 0) - time.thread_time_ns() + began_ns

    def _add(self, name: str, began_ns: int) -> None:
        self.took_ns[name] = self.took_ns.get(name, 0) + time.thread_time_ns() - began_ns

    def step(self, number: int) -> None:
        """Let some time pass and do what the leader does in it."""
        self.now_ms += PASS_INTERVAL_MS
        for minion in self.fleet.minions.values():
            minion.last_report_ms = self.now_ms
        self.end_runs()
        while len(self.fleet.ready) + len(self.fleet.stale_jobs) < self.waiting_jobs:
            self.accept()
        if number % TICK_PASSES == 0:
            self.fleet.all_pools_changed = True
        began_ns = time.thread_time_ns()
        self.plan()
        self._add("pass", began_ns)
        if number % MOVES_PASSES == 0:
            began_ns = time.thread_time_ns()
            minions = self.vm_moves.inventory.current_minions()
            self.vm_moves.pool_demands(minions, self.now_ms)
            self._add("moves", began_ns)


def measure(waiting_jobs: int, teams: int, minions: int, pools: int) -> None:
    """Run the load and print the times."""
    load = PassLoad(waiting_jobs=waiting_jobs, teams=teams, pools=pools)
    for number in range(minions):
        load.add_minion(number)
    for number in range(WARM_UP_PASSES):
        load.step(number)
    load.took_ns.clear()
    load.starts = 0
    for number in range(MEASURED_PASSES):
        load.step(number)
    pass_ms = load.took_ns["pass"] / NS_PER_MS
    moves_ms = load.took_ns["moves"] / NS_PER_MS * MOVES_PASSES
    print(
        f"{waiting_jobs} waiting jobs, {teams} teams, {minions} minions, {pools} pools:"
        f" {pass_ms / MEASURED_PASSES:.3f} ms a pass, {pass_ms / load.starts:.3f} ms a start,"
        f" {moves_ms / MEASURED_PASSES:.3f} ms for the demand of pools,"
        f" {load.starts} starts, digest {load.digest[:12]}"
    )


if __name__ == "__main__":
    sizes = [int(argument) for argument in sys.argv[1:]]
    measure(*sizes, *DEFAULTS[len(sizes) :])
