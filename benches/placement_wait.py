"""Replay a burst of jobs for one rack in virtual time, with the real planner.

Prints for each decision on waiting the credit, the shares of late and useless jobs, the core
seconds that tasks took, the tasks that ran near, and the waits. Run it with
`python -m benches.placement_wait`.
"""

from __future__ import annotations

import heapq
import random
import statistics

import attrs
from attrs import define, field
from loguru import logger

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
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.systems.job_progress import USEFUL_DURATION_FACTOR
from hornbeamreach.systems.placement_wait import wait_policies
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import DeclaredTable, PoolRow, QueueRow
from hornbeamreach.tables.minions import Minion, MinionReport, ReservedRun, RunPhase
from hornbeamreach.tables.workload import RunEnd, parse_task_key

SHORT = JobProfile(
    steps=1.6,
    width=8,
    max_width=24,
    work_ms=740,
    cpu=2_500,
    estimate_error=0.5,
    slack=1.6,
    target_latency_ms=600,
    per_s=8.0,
)
BURST_MS = 5_500
BURST_FROM_MS = 2_000
DAY_MS = 10_000
RACKS = 4
MINIONS_PER_RACK = 5
HOT_RACK = "r1-0"
# Share of the burst's jobs that ask for the rack, and of those that ask by `same_rack` or a gang.
HOT_SHARE = 0.6
# Polls list the progress of runs about this often.
POLL_MS = 600
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7


@define(frozen=True, kw_only=True)
class Replay:
    """Describe one replay."""

    policy: str
    factor: float = 2.0
    load: float = 1.0
    seed: int = 0
    error: float = 0.5
    # How the jobs of the burst ask for a rack: data, group or gang.
    kind: str = "data"


@define(frozen=True, kw_only=True)
class ReplayResult:
    """Hold what a replay earned and cost."""

    credit: float
    late: float
    useless: float
    core_s: float
    # Share of the tasks with a rack that ran in it, and the mean wait of a task that waited.
    near: float
    waits: int
    ended_near: int
    mean_wait_ms: float


@define(kw_only=True)
class RackReplay:
    """Run the jobs of a replay on a pool of several racks."""

    replay: Replay
    jobs: list[SimulatedJob] = field(factory=list)
    hot: set[str] = field(factory=set)
    ends: list[tuple[int, int, ReservedRun]] = field(factory=list)
    durations_ms: dict[int, int] = field(factory=dict)
    rng: random.Random = field(init=False)
    fleet: FleetState = field(init=False)
    planner: Planner = field(init=False)
    core_ms: float = 0.0
    near: int = 0
    far: int = 0
    group_rack: dict[tuple[str, int], str] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        replay = self.replay
        self.rng = random.Random(replay.seed)
        queue = QueueRow(pool="pool", slack_factor=SHORT.slack, target_latency_ms=600)
        table = DeclaredTable(pools={"pool": PoolRow(max_down=0)}, queues={"queue": queue})
        self.fleet = FleetState(proposed=ProposedState.of(ControlState(table=table)))
        # Without waits the planner has no use for the factor, as on a deployment that names none.
        factor = replay.factor if replay.policy != "never" else 1.0
        self.planner = Planner(fleet=self.fleet, remote_factor=factor)
        self.planner.near_waits.policy = wait_policies.get(replay.policy)
        for number in range(RACKS * MINIONS_PER_RACK):
            report = MinionReport(
                minion=f"i-{number}",
                born_ms=1,
                pool="pool",
                address="",
                data_center="dc1",
                sequence=1,
                capacity=VM_CAPACITY,
                rack=f"r1-{number % RACKS}",
            )
            self.fleet.minions[report.minion] = Minion(report=report, last_report_ms=0, polled_ms=0)
        self._generate()

    def _generate(self) -> None:
        at_ms, replay = 0.0, self.replay
        profile = attrs.evolve(SHORT, estimate_error=replay.error)
        while at_ms < DAY_MS:
            at_ms += self.rng.expovariate(profile.per_s * replay.load / 1_000)
            job = generate_job(profile, self.rng, int(at_ms), len(self.jobs))
            in_burst = BURST_FROM_MS <= at_ms < BURST_FROM_MS + BURST_MS
            if in_burst and self.rng.random() < HOT_SHARE:
                columns = {
                    "data": {"data_rack": HOT_RACK},
                    "group": {"same_rack": True},
                    "gang": {"data_rack": HOT_RACK, "gang": True},
                }[replay.kind]
                steps = tuple(attrs.evolve(step, **columns) for step in job.spec.steps)
                job.spec = attrs.evolve(job.spec, steps=steps)
                self.hot.add(job.job_id)
            for row in job.durations_ms:
                for index, duration_ms in enumerate(row):
                    if self.rng.random() < STRAGGLER_SHARE:
                        row[index] = duration_ms * STRAGGLER_FACTOR
            self.jobs.append(job)

    def run(self) -> ReplayResult:
        """Replay until every job is done."""
        by_id = {job.job_id: job for job in self.jobs}
        pending = list(reversed(self.jobs))
        now_ms = 0
        while any(job.done_ms is None for job in self.jobs) and now_ms < 4 * DAY_MS:
            for minion in self.fleet.minions.values():
                minion.last_report_ms = now_ms
            while pending and pending[-1].at_ms <= now_ms:
                self._accept(pending.pop())
            while self.ends and self.ends[0][0] <= now_ms:
                _, _, run = heapq.heappop(self.ends)
                self.fleet.end_run(run, RunEnd.DONE, now_ms=now_ms)
            if now_ms % POLL_MS == 0:
                self._poll(now_ms)
            self._record_and_plan(now_ms, by_id)
            now_ms += PLAN_INTERVAL_MS
        return self._result()

    def _accept(self, job: SimulatedJob) -> None:
        command = AcceptJob(
            job_id=job.job_id, queue="queue", pool="pool", team="", spec=job.spec, at_ms=job.at_ms
        )
        self.fleet.proposed.apply(command)
        self.fleet.stale_jobs.add(job.job_id)

    def _poll(self, now_ms: int) -> None:
        for _, number, run in self.ends:
            elapsed_ms = now_ms - run.started_ms
            if elapsed_ms > 0:
                run.percent = min(99, 100 * elapsed_ms // self.durations_ms[number])
                run.last_listed_ms = now_ms

    def _record_and_plan(self, now_ms: int, by_id: dict[str, SimulatedJob]) -> None:
        fleet = self.fleet
        ended, fleet.unrecorded_ends = fleet.unrecorded_ends, []
        end_rows = [(e.job_id, e.key, e.run, e.end.value, "") for e in ended]
        fleet.proposed.apply(RecordRuns(ends=end_rows, at_ms=now_ms))
        for end in ended:
            fleet.stale_jobs.add(end.job_id)
            job = fleet.job(end.job_id)
            if job is not None and job.ended:
                by_id[end.job_id].done_ms = now_ms
        starts = self.planner.plan(now_ms, now_ms)
        rows = [(r.job_id, r.key, r.run, r.minion, r.born_ms) for r in starts]
        fleet.proposed.apply(RecordRuns(starts=rows, at_ms=now_ms))
        slow = self._split_gangs(starts)
        for run in starts:
            _, step, index = parse_task_key(run.key)
            duration_ms = by_id[run.job_id].durations_ms[step][index]
            if run.job_id in self.hot:
                is_far = run.job_id in slow or self._is_far(run, step)
                self.near, self.far = self.near + (not is_far), self.far + is_far
                duration_ms = int(duration_ms * (self.replay.factor if is_far else 1))
            self.core_ms += duration_ms * run.needs.cpu_millis / 1_000
            run.phase, run.started_ms = RunPhase.RUNNING, now_ms + START_DELAY_MS
            self.durations_ms[id(run)] = duration_ms
            heapq.heappush(self.ends, (run.started_ms + duration_ms, id(run), run))

    def _split_gangs(self, starts: list[ReservedRun]) -> set[str]:
        """Return the jobs with a gang of which a member is far: all of its members are slow."""
        if self.replay.kind != "gang":
            return set()
        return {r.job_id for r in starts if r.job_id in self.hot and self._is_far(r, 0)}

    def _is_far(self, run: ReservedRun, step: int) -> bool:
        rack = self.fleet.minions[run.minion].report.rack
        if self.replay.kind == "group":
            return self.group_rack.setdefault((run.job_id, step), rack) != rack
        return rack != HOT_RACK

    def _result(self) -> ReplayResult:
        mean = statistics.fmean(job.work for job in self.jobs)
        owed = sum(job_value(job, mean) for job in self.jobs)
        earned, late, useless = 0.0, 0, 0
        for job in self.jobs:
            on_time = job.done_ms is not None and job.done_ms <= job.due_ms
            useful_ms = job.at_ms + USEFUL_DURATION_FACTOR * (job.due_ms - job.at_ms)
            is_useless = job.done_ms is None or job.done_ms > useful_ms
            late, useless = late + (not on_time), useless + is_useless
            value = 1 if on_time else 0 if is_useless else LATE_VALUE_FRACTION
            earned += value * job_value(job, mean)
        waits = self.planner.near_waits
        return ReplayResult(
            credit=earned / owed,
            late=late / len(self.jobs),
            useless=useless / len(self.jobs),
            core_s=self.core_ms / 1_000,
            near=self.near / max(1, self.near + self.far),
            waits=waits.begun,
            ended_near=waits.ended_near,
            mean_wait_ms=waits.waited_ms / max(1, waits.begun),
        )


def replay_mean(replay: Replay, seeds: int = 4) -> dict[str, float]:
    """Return the mean results of a replay over several seeds."""
    results = [
        attrs.asdict(RackReplay(replay=attrs.evolve(replay, seed=seed)).run())
        for seed in range(seeds)
    ]
    return {name: statistics.fmean(result[name] for result in results) for name in results[0]}


CASES = (
    *(Replay(policy="", factor=factor, load=load) for factor in (1.5, 2, 3) for load in (0.7, 1)),
    Replay(policy="", factor=3, error=0.9),
    Replay(policy="", kind="group"),
    Replay(policy="", kind="gang"),
)


def main() -> None:
    """Print the results of every decision in every case."""
    logger.disable("hornbeamreach")
    print(
        "kind  factor load error decision       credit   late useless core s  near  waits mean ms"
    )
    for case in CASES:
        for policy in ("never", "always", "rent_or_buy", "expected_gain"):
            mean = replay_mean(attrs.evolve(case, policy=policy))
            print(
                f"{case.kind:6}{case.factor:6.1f}{case.load:5.1f}{case.error:6.1f} {policy:14}"
                f"{mean['credit']:7.3f}{mean['late']:7.3f}{mean['useless']:7.3f}"
                f"{mean['core_s']:8.0f}{mean['near']:6.2f}{mean['waits']:7.0f}"
                f"{mean['mean_wait_ms']:8.0f}"
            )


if __name__ == "__main__":
    main()
