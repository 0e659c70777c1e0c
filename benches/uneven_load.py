"""Compare VM movers and drain policies on uneven loads, with a bound by demand known ahead.

Prints for each load, mover and drain policy the credit, the share of late jobs and of jobs whose
first start waits, the VM seconds in pools, the moves, and the net credit: VM seconds cost 0.17 of
the credit of a day under `follow_forecast`, and a move costs as much as a VM second. Run it with
`python -m benches.uneven_load [small|large] [SEEDS] [LOADS]`; `size` prints the cost of a tick.
"""

from __future__ import annotations

import math
import statistics
import sys
import time
from collections.abc import Callable

import attrs
from attrs import define, field

from benches.step_load import VM_CAPACITY, SimulatedJob
from benches.turn_load import (
    FLEETS,
    MOVE_MS,
    MOVER_INTERVAL_MS,
    DayResult,
    FleetProfile,
    Surge,
    TurnSimulation,
    generate_day,
)
from hornbeamreach.fleet.ports import PlatformVm, PlatformVmState
from hornbeamreach.systems.pool_moves import PoolDemands, VmMove, _assign_vms, pool_movers
from hornbeamreach.systems.vm_drains import drain_policies
from hornbeamreach.tables.minions import ReservedRun
from hornbeamreach.tables.workload import RunEnd

KNOWN_AHEAD = "known_ahead"
# VM seconds cost this share of the credit of a day on which pools follow the forecast.
VM_COST_SHARE = 0.17
CURVE_STEP_MS = 100
# A VM that is needed again within two moves and the time that they are worth stays.
KEEP_AHEAD_MS = 2 * MOVE_MS + 1_000
# Share of the cores that tasks of a few cores can fill on a VM.
FILLED_SHARE = 0.85
RACK_MODULUS = 6
RACK_DARK_MS = 8_000
RUN_LEASE_MS = 3_000
SLOW_PAUSE_MS = 400


@define(kw_only=True)
class UnevenSimulation(TurnSimulation):
    """Simulate a day on which a rack may be dark for some time."""

    dark_at_ms: int | None = None
    # Pause between two planning passes, which also record ends: a leader that is short of
    # processor time.
    pause_ms: int = 0
    dark: set[str] = field(factory=set)
    dark_minions: set[str] = field(factory=set)
    # Processor time of the planning of moves, for each tick.
    tick_s: list[float] = field(factory=list)

    def _end_run(self, run: ReservedRun) -> None:
        if run.minion not in self.dark_minions:
            super()._end_run(run)

    def _record_and_plan(self, by_id: dict[str, SimulatedJob]) -> None:
        if not self.pause_ms or self.now_ms % self.pause_ms == 0:
            super()._record_and_plan(by_id)

    def _move_vms(self) -> None:
        if self.dark_at_ms is not None:
            self._change_rack(self.now_ms - self.dark_at_ms)
        heard_ms = {m: self.fleet.minions[m].last_report_ms for m in self._silent()}
        began_s = time.process_time()
        super()._move_vms()
        self.tick_s.append(time.process_time() - began_s)
        for minion_id, at_ms in heard_ms.items():
            if minion_id in self.fleet.minions:
                self.fleet.minions[minion_id].last_report_ms = at_ms

    def _silent(self) -> set[str]:
        return self.dark_minions & self.fleet.minions.keys()

    def _change_rack(self, since_ms: int) -> None:
        if since_ms == 0:
            self.dark = {vm for vm in self.pools if int(vm[2:]) % RACK_MODULUS == 0}
            self.dark_minions = {
                minion.minion_id
                for minion in self.fleet.minions.values()
                if minion.report.machine in self.dark
            }
        elif since_ms == RUN_LEASE_MS:
            for minion_id in self._silent():
                minion = self.fleet.minions[minion_id]
                for run in list(minion.runs.values()):
                    self.fleet.end_run(run, RunEnd.LOST)
                del self.fleet.minions[minion_id]
        elif since_ms == RACK_DARK_MS:
            for vm in self.dark:
                if self.pools[vm].startswith("pool-"):
                    self._add_minion(vm, self.pools[vm])
            self.dark = set()


@define(kw_only=True)
class KnownAhead:
    """Move VMs by the demand that jobs would have on a fleet without limits."""

    simulation: TurnSimulation
    # Cores used in each interval of `CURVE_STEP_MS`, by pool.
    curves: dict[str, list[float]]

    @classmethod
    def of(cls, simulation: TurnSimulation) -> KnownAhead:
        """Return the mover for a simulation's jobs."""
        length = 3 * simulation.profile.day_ms // CURVE_STEP_MS
        curves = {f"pool-{n}": [0.0] * length for n in range(len(simulation.profile.queues))}
        for number, job in simulation.jobs:
            curve, at_ms = curves[f"pool-{number}"], job.at_ms
            for step, durations_ms in zip(job.spec.steps, job.durations_ms, strict=True):
                for duration_ms in durations_ms:
                    first = at_ms // CURVE_STEP_MS
                    last = min(length, (at_ms + duration_ms) // CURVE_STEP_MS + 1)
                    for position in range(first, last):
                        curve[position] += step.cpu_millis / 1_000
                at_ms += max(durations_ms)
        return cls(simulation=simulation, curves=curves)

    def __call__(self, demands: PoolDemands) -> list[VmMove]:
        """Return the moves that the demand ahead calls for."""
        shortfalls, surpluses = {}, {}
        now_ms = self.simulation.now_ms
        for pool, demand in demands.by_pool.items():
            if demand.standby:
                shortfalls[pool], surpluses[pool] = 0, demand.vms
                continue
            queued = demand.demand_cpu_millis - demand.running_cpu_millis
            soon = self._vms(pool, demand.lasting_cpu_millis, now_ms, MOVE_MS + MOVER_INTERVAL_MS)
            kept = self._vms(pool, demand.lasting_cpu_millis, now_ms, KEEP_AHEAD_MS)
            backlog = math.ceil(
                (demand.running_cpu_millis + queued / 2) / VM_CAPACITY.cpu_millis / FILLED_SHARE
            )
            shortfalls[pool] = max(soon, backlog, demand.minimum) - demand.vms - demand.arriving
            surpluses[pool] = max(0, demand.vms - max(kept, backlog, demand.minimum))
        return _assign_vms(demands, shortfalls, surpluses, dict.fromkeys(demands.by_pool, 0))

    def _vms(self, pool: str, lasting_cpu_millis: int, now_ms: int, ahead_ms: int) -> int:
        first = now_ms // CURVE_STEP_MS
        curve = self.curves[pool][first : first + ahead_ms // CURVE_STEP_MS + 1]
        cores = max(curve, default=0.0) + lasting_cpu_millis / 1_000
        return math.ceil(cores * 1_000 / VM_CAPACITY.cpu_millis / FILLED_SHARE)


def uneven_loads(profile: FleetProfile) -> dict[str, FleetProfile]:
    """Return a fleet's loads by name."""
    peak_ms = profile.day_ms * 5 // 8

    def burst(factor: float, length_ms: int) -> FleetProfile:
        surge = Surge(begin_ms=peak_ms - 2_000, end_ms=peak_ms - 2_000 + length_ms, factor=factor)
        return attrs.evolve(profile, surges=(attrs.evolve(surge, queue=2),))

    # One team with a fifth of the load of all queues sends seven times as much: 1 + 6 / 5.
    flood = Surge(begin_ms=peak_ms - 3_000, end_ms=peak_ms + 3_000, factor=2.2)
    return {
        "turns": profile,
        "burst-1.6": burst(1.6, 7_000),
        "burst-2.4": burst(2.4, 3_000),
        "team-7": attrs.evolve(profile, surges=(flood,)),
        "times-0.5": profile.with_declared_factor(0.5),
        "times-0.1": profile.with_declared_factor(0.1),
        "times-1.9": profile.with_declared_factor(1.9),
        "rack": profile,
        "slow": profile,
    }


def simulate_load(
    name: str,
    profile: FleetProfile,
    *,
    mover: str,
    drains: str = "none",
    seed: int = 1,
    load: float = 1.0,
    prepare: Callable[[UnevenSimulation], None] = lambda simulation: None,
) -> tuple[DayResult, UnevenSimulation]:
    """Simulate one day of a load and return its result and the simulation."""
    profile = uneven_loads(profile)[name]
    simulation = UnevenSimulation(
        profile=profile,
        mover="fixed" if mover == KNOWN_AHEAD else mover,
        ordering="useful_first",
        estimator="learnt",
        drains=drains,
        jobs=generate_day(profile, seed, load),
        dark_at_ms=profile.day_ms * 5 // 8 // 1_000 * 1_000 if name == "rack" else None,
    )
    simulation.pause_ms = SLOW_PAUSE_MS if name == "slow" else 0
    if mover == KNOWN_AHEAD:
        simulation.vm_moves.mover = KnownAhead.of(simulation)
    prepare(simulation)
    return simulation.run(), simulation


def measure_tick(pools: int, vms_per_pool: int, jobs: int, repeats: int = 20) -> float:
    """Return the median processor time in ms to plan moves for a loaded fleet."""
    queue = FLEETS["large"].queues[0]
    profile = FleetProfile(
        queues=(queue,) * pools,
        pool_vms=(vms_per_pool,) * pools,
        standby_vms=0,
        lasting_tasks=vms_per_pool,
        cycles=0,
    )
    arrived = [(number, job) for number, job in generate_day(profile, 1, 0.05) if job.at_ms < 8_000]
    simulation = UnevenSimulation(
        profile=profile,
        mover="useful_first",
        ordering="useful_first",
        estimator="learnt",
        drains="late_work_yields",
        jobs=arrived[:jobs],
    )
    by_id = {job.job_id: job for _, job in simulation.jobs}
    for number, job in simulation.jobs:
        simulation._accept(job.job_id, f"queue-{number}", f"pool-{number}", job.spec, 0)
    simulation._record_and_plan(by_id)
    simulation.now_ms = MOVER_INTERVAL_MS
    simulation.vm_moves.inventory.vms = {
        vm: PlatformVm(name=vm, pool=pool, state=PlatformVmState.UP)
        for vm, pool in simulation.pools.items()
    }
    taken_s = []
    for _ in range(repeats):
        began_s = time.process_time()
        minions = simulation.vm_moves.inventory.current_minions()
        demands = simulation.vm_moves.pool_demands(minions, simulation.now_ms)
        simulation.vm_moves.mover(demands)
        simulation.vm_moves.drain_vms(minions, demands, simulation.now_ms)
        taken_s.append(time.process_time() - began_s)
    return 1_000 * statistics.median(taken_s)


def main() -> None:
    """Print the results of every mover and drain policy on every load."""
    if sys.argv[1:] == ["size"]:
        for pools in (4, 53, 105, 210):
            print(f"{pools} pools, {pools * 11} VMs: {measure_tick(pools, 11, 6 * pools):.1f} ms")
        return
    fleet = sys.argv[1] if len(sys.argv) > 1 else "small"
    seeds = range(1, 1 + int(sys.argv[2])) if len(sys.argv) > 2 else (1,)
    names = sys.argv[3].split(",") if len(sys.argv) > 3 else list(uneven_loads(FLEETS[fleet]))
    pairs = [(m, d) for m in pool_movers for d in drain_policies if (m, d[:4]) != ("fixed", "late")]
    print("load       mover           drains            net    credit late   wait   p50   p90 VM s")
    for name in names:
        cost = 0.0
        for mover, drains in [("follow_forecast", "none"), *pairs, (KNOWN_AHEAD, "none")]:
            if mover == "fixed" and fleet == "large":
                # Its backlog only grows, and with it the time to simulate.
                continue
            runs = [
                simulate_load(name, FLEETS[fleet], mover=mover, drains=drains, seed=seed)
                for seed in seeds
            ]
            mean = {
                key.name: statistics.fmean(getattr(result, key.name) for result, _ in runs)
                for key in attrs.fields(DayResult)
            }
            if not cost:
                cost = VM_COST_SHARE / mean["vm_seconds"]
                continue
            net = mean["credit"] - cost * (mean["vm_seconds"] + mean["moves"])
            ticks = sorted(tick for _, simulation in runs for tick in simulation.tick_s)
            print(
                f"{name:10} {mover:15} {drains:17} {net:.4f} {mean['credit']:.4f} "
                f"{mean['late']:.4f} {mean['waiting']:.3f} {mean['start_p50_ms']:5.0f} "
                f"{mean['start_p90_ms']:5.0f} {mean['vm_seconds']:5.0f} "
                f"({mean['busy_vm_seconds']:.0f}) {mean['moves']:5.0f} moves, "
                f"tick {1_000 * ticks[len(ticks) // 2]:.2f} ms",
                flush=True,
            )


if __name__ == "__main__":
    main()
