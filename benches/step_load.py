"""The users' queues taking turns, played in virtual time over the planner and the mover.

Prints the credit of each order of work beside its baseline, and a bound that no order can
pass. Run it with `python -m benches.step_load`.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable

from attrs import define, field

from hornbeamreach.control.workload_commands import AcceptJob, RecordRuns
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.systems.task_order import ordering_policies
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import DeclaredTable, PoolRow, QueueRow
from hornbeamreach.tables.minions import Minion, MinionReport, ReservedRun
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import RunEnd, StepJobSpec, StepSpec, parse_task_key

# Users' sheets: a turn lasts a quarter of the day, at about four times the mean.
TURN_MS = 8_000
DAY_MS = 34_000
MACHINE = Resources(cpu_millis=16_000, memory_mb=32_768)
# From an end to the next start: a commit and an order.
OVERHEAD_MS = 30
PLAN_EVERY_MS = 10
LATE_SHARE = 0.07
FIXED_SHARE = 0.3
MAX_VALUE = 4.0


@define(frozen=True, kw_only=True)
class JobKind:
    """Describe a kind of request of the users' sheets."""

    steps: float
    width: float
    widest: int
    work_ms: float
    cpu: float
    estimate_error: float
    slack: float
    aim_ms: int
    per_s: float


QUOTE = JobKind(
    steps=1.6,
    width=6,
    widest=24,
    work_ms=640,
    cpu=880,
    estimate_error=0.5,
    slack=1.6,
    aim_ms=600,
    per_s=5.2,
)
BOOKING = JobKind(
    steps=2.0,
    width=8,
    widest=32,
    work_ms=1_300,
    cpu=1_900,
    estimate_error=0.9,
    slack=1.6,
    aim_ms=600,
    per_s=0.8,
)


@define(kw_only=True)
class PlayedJob:
    """Hold one generated job and how it went."""

    job_id: str
    at_ms: int
    spec: StepJobSpec
    lengths: list[list[int]]
    work: float
    due_ms: float
    done_ms: int | None = None


@define(frozen=True, kw_only=True)
class Credit:
    """Hold shares of the value that was owed."""

    whole: float
    largest_tenth: float
    next_fifth: float
    worst_window: float


def generate(kind: JobKind, seed: int, load: float) -> list[PlayedJob]:
    """Draw one queue's turn and its tail."""
    rng = random.Random(seed)
    jobs = []
    at_ms = 0.0
    while at_ms < TURN_MS:
        at_ms += rng.expovariate(kind.per_s * 4 * load / 1_000)
        jobs.append(_job(kind, rng, int(at_ms), len(jobs)))
    return jobs


def _spread(rng: random.Random, mean: float, spread: float, most: float) -> float:
    return min(most, max(mean * 0.1, mean * rng.lognormvariate(-(spread**2) / 2, spread)))


def _job(kind: JobKind, rng: random.Random, at_ms: int, number: int) -> PlayedJob:
    count = max(1, min(4, round(rng.gauss(kind.steps, 0.6))))
    steps, lengths = [], []
    for position in range(count):
        width = max(1, round(_spread(rng, kind.width, 0.6, kind.widest)))
        base = _spread(rng, kind.work_ms, 0.5, kind.work_ms * 2.5)
        lengths.append([max(20, int(base * rng.uniform(0.85, 1.15))) for _ in range(width)])
        error = rng.uniform(1 - kind.estimate_error, 1 + kind.estimate_error)
        steps.append(
            StepSpec(
                count=width,
                cpu_millis=int(_spread(rng, kind.cpu, 0.45, kind.cpu * 3)),
                memory_mb=100,
                estimate_ms=max(1, int(base * error)),
                after=(position - 1,) if position else (),
            )
        )
    chain = sum(max(step) for step in lengths)
    work = sum(sum(row) * step.cpu_millis for row, step in zip(lengths, steps, strict=True))
    return PlayedJob(
        job_id=f"{number:016x}",
        at_ms=at_ms,
        spec=StepJobSpec(payload="", steps=tuple(steps)),
        lengths=lengths,
        work=work / 1_000_000,
        due_ms=at_ms + kind.slack * chain + kind.aim_ms,
    )


@define(kw_only=True)
class Play:
    """Play jobs on a pool whose size may change."""

    kind: JobKind
    order: str
    jobs: list[PlayedJob]
    # Machines of the pool at a time in ms.
    machines_at: Callable[[int], int]
    fleet: FleetState = field(init=False)
    planner: Planner = field(init=False)
    ends: list[tuple[int, int, ReservedRun]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        table = DeclaredTable(
            pools={"pool": PoolRow(max_down=0)},
            queues={
                "queue": QueueRow(
                    pool="pool",
                    slack_factor=self.kind.slack,
                    target_latency_ms=self.kind.aim_ms,
                )
            },
        )
        self.fleet = FleetState(proposed=ProposedState.of(ControlState(table=table)))
        self.planner = Planner(fleet=self.fleet, ordering=ordering_policies.get(self.order))

    def run(self) -> None:
        """Play until every job is done."""
        waiting = list(self.jobs)
        by_id = {job.job_id: job for job in self.jobs}
        now_ms = 0
        while any(job.done_ms is None for job in self.jobs) and now_ms < 10 * DAY_MS:
            self._set_machines(now_ms)
            while waiting and waiting[0].at_ms <= now_ms:
                self._accept(waiting.pop(0))
            while self.ends and self.ends[0][0] <= now_ms:
                _, _, run = heapq.heappop(self.ends)
                self.fleet.end_run(run, RunEnd.DONE)
            self._record(now_ms, by_id)
            now_ms += PLAN_EVERY_MS

    def _set_machines(self, now_ms: int) -> None:
        for minion in self.fleet.minions.values():
            minion.last_report_ms = now_ms
        for number in range(len(self.fleet.minions), self.machines_at(now_ms)):
            name = f"i-{number}"
            report = MinionReport(
                minion=name,
                born_ms=1,
                pool="pool",
                address="",
                data_center="dc1",
                sequence=1,
                capacity=MACHINE,
            )
            self.fleet.minions[name] = Minion(report=report, last_report_ms=0, polled_ms=0)

    def _accept(self, job: PlayedJob) -> None:
        self.fleet.proposed.apply(
            AcceptJob(
                job_id=job.job_id,
                queue="queue",
                pool="pool",
                team="",
                spec=job.spec,
                at_ms=job.at_ms,
            )
        )
        self.fleet.stale_jobs.add(job.job_id)

    def _record(self, now_ms: int, by_id: dict[str, PlayedJob]) -> None:
        fleet = self.fleet
        ended, fleet.unrecorded_ends = fleet.unrecorded_ends, []
        rows = [(e.job_id, e.key, e.run, e.end.value, "") for e in ended]
        fleet.proposed.apply(RecordRuns(ends=rows, at_ms=now_ms))
        for end in ended:
            fleet.stale_jobs.add(end.job_id)
            job = fleet.job(end.job_id)
            if job is not None and job.ended:
                by_id[end.job_id].done_ms = now_ms
        starts = self.planner.plan(now_ms, now_ms)
        booked = [(r.job_id, r.key, r.run, r.minion, r.born_ms) for r in starts]
        fleet.proposed.apply(RecordRuns(starts=booked, at_ms=now_ms))
        for run in starts:
            _, step, index = parse_task_key(run.key)
            length = by_id[run.job_id].lengths[step][index]
            heapq.heappush(self.ends, (now_ms + OVERHEAD_MS + length, id(run), run))


def value(job: PlayedJob, mean: float) -> float:
    """Return what a job is worth against the mean of its kind."""
    return min(MAX_VALUE, FIXED_SHARE + (1 - FIXED_SHARE) * job.work / mean)


def credit(jobs: list[PlayedJob]) -> Credit:
    """Return the credit that the jobs earned."""
    mean = statistics.fmean(job.work for job in jobs)
    ranked = sorted(jobs, key=lambda job: -job.work)
    tenth = max(1, len(jobs) // 10)
    windows = [
        _share([j for j in jobs if at <= j.at_ms < at + 2_000], mean)
        for at in range(0, TURN_MS, 2_000)
    ]
    return Credit(
        whole=_share(jobs, mean),
        largest_tenth=_share(ranked[:tenth], mean),
        next_fifth=_share(ranked[tenth : 3 * tenth], mean),
        worst_window=min(windows),
    )


def _share(jobs: list[PlayedJob], mean: float) -> float:
    owed = sum(value(job, mean) for job in jobs)
    earned = sum(
        value(job, mean)
        * (1 if job.done_ms is not None and job.done_ms <= job.due_ms else LATE_SHARE)
        for job in jobs
    )
    return earned / owed if owed else 1.0


def reactive(now_ms: int) -> int:
    """Return the machines of a pool that gets the spare ones 2 s into its turn."""
    return 6 if now_ms < 2_000 else 12


def fixed_pool(now_ms: int) -> int:
    """Return the machines of a pool that gets none."""
    return 6


def play(kind: JobKind, order: str, machines: Callable[[int], int], seed: int, load: float = 1.0):
    """Play one turn and return its credit."""
    game = Play(kind=kind, order=order, jobs=generate(kind, seed, load), machines_at=machines)
    game.run()
    return credit(game.jobs)


def main() -> None:
    """Print the credit of every order of work."""
    for name, kind in (("quote", QUOTE), ("booking", BOOKING)):
        for label, machines in (("6 machines", fixed_pool), ("6 then 12", reactive)):
            for order in ordering_policies:
                found = [play(kind, order, machines, seed) for seed in range(4)]
                cells = [
                    statistics.fmean(getattr(item, column) for item in found)
                    for column in ("whole", "largest_tenth", "next_fifth", "worst_window")
                ]
                print(f"{name:8} {label:11} {order:16}", *(f"{cell:.3f}" for cell in cells))


if __name__ == "__main__":
    main()
