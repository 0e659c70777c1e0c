"""Simulate the busy period of the users' queues in virtual time, with the real planner.

Prints the credit of each task ordering, on a pool of fixed size and on one that receives the
spare VMs, and the shares and credit of teams with each share order. Run it with
`python -m benches.step_load`.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable

import attrs
from attrs import define, field

from hornbeamreach.control.workload_commands import AcceptJob, RecordRuns
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.systems.share_order import share_orders
from hornbeamreach.systems.task_order import ordering_policies
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import DeclaredTable, PoolRow, QueueRow, TeamRow
from hornbeamreach.tables.minions import Minion, MinionReport, ReservedRun
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import RunEnd, StepJobSpec, StepSpec, parse_task_key

# By the users' specifications each queue is busy for a quarter of the (simulated) day, at about
# four times its mean rate.
BUSY_PERIOD_MS = 8_000
DAY_MS = 34_000
VM_CAPACITY = Resources(cpu_millis=16_000, memory_mb=32_768)
# Time from an end to the next start: one commit and one order.
START_DELAY_MS = 30
PLAN_INTERVAL_MS = 10
LATE_VALUE_FRACTION = 0.07
FIXED_VALUE = 0.3
MAX_VALUE = 4.0


@define(frozen=True, kw_only=True)
class JobProfile:
    """Describe the distribution of one kind of job in the users' specifications."""

    steps: float
    width: float
    max_width: int
    work_ms: float
    cpu: float
    estimate_error: float
    slack: float
    target_latency_ms: int
    per_s: float
    # Declared run times as a multiple of the actual ones, before `estimate_error`.
    declared_factor: float = 1.0


QUOTE = JobProfile(
    steps=1.6,
    width=6,
    max_width=24,
    work_ms=640,
    cpu=880,
    estimate_error=0.5,
    slack=1.6,
    target_latency_ms=600,
    per_s=5.2,
)
BOOKING = JobProfile(
    steps=2.0,
    width=8,
    max_width=32,
    work_ms=1_300,
    cpu=1_900,
    estimate_error=0.9,
    slack=1.6,
    target_latency_ms=600,
    per_s=0.8,
)


@define(kw_only=True)
class SimulatedJob:
    """Represent one generated job, with its due time and its end."""

    job_id: str
    at_ms: int
    spec: StepJobSpec
    durations_ms: list[list[int]]
    work: float
    due_ms: float
    team: str = ""
    started_ms: int | None = None
    done_ms: int | None = None


@define(frozen=True, kw_only=True)
class Credit:
    """Hold the earned fractions of the owed value, by group of jobs."""

    whole: float
    largest_tenth: float
    next_fifth: float
    worst_window: float


def generate_jobs(profile: JobProfile, seed: int, load: float) -> list[SimulatedJob]:
    """Generate the jobs of one queue's busy period."""
    rng = random.Random(seed)
    jobs = []
    at_ms = 0.0
    while at_ms < BUSY_PERIOD_MS:
        at_ms += rng.expovariate(profile.per_s * 4 * load / 1_000)
        jobs.append(generate_job(profile, rng, int(at_ms), len(jobs)))
    return jobs


def _draw_lognormal(rng: random.Random, mean: float, spread: float, maximum: float) -> float:
    return min(maximum, max(mean * 0.1, mean * rng.lognormvariate(-(spread**2) / 2, spread)))


def generate_job(profile: JobProfile, rng: random.Random, at_ms: int, number: int) -> SimulatedJob:
    """Generate one job of a profile."""
    count = max(1, min(4, round(rng.gauss(profile.steps, 0.6))))
    steps, durations_ms = [], []
    for position in range(count):
        width = max(1, round(_draw_lognormal(rng, profile.width, 0.6, profile.max_width)))
        base = _draw_lognormal(rng, profile.work_ms, 0.5, profile.work_ms * 2.5)
        durations_ms.append([max(20, int(base * rng.uniform(0.85, 1.15))) for _ in range(width)])
        error = rng.uniform(1 - profile.estimate_error, 1 + profile.estimate_error)
        steps.append(
            StepSpec(
                count=width,
                cpu_millis=int(_draw_lognormal(rng, profile.cpu, 0.45, profile.cpu * 3)),
                memory_mb=100,
                estimate_ms=max(1, int(base * error * profile.declared_factor)),
                after=(position - 1,) if position else (),
            )
        )
    chain_ms = sum(max(step) for step in durations_ms)
    work = sum(sum(row) * step.cpu_millis for row, step in zip(durations_ms, steps, strict=True))
    return SimulatedJob(
        job_id=f"{number:016x}",
        at_ms=at_ms,
        spec=StepJobSpec(payload="", steps=tuple(steps)),
        durations_ms=durations_ms,
        work=work / 1_000_000,
        due_ms=at_ms + profile.slack * chain_ms + profile.target_latency_ms,
    )


@define(kw_only=True)
class Simulation:
    """Simulate jobs on a pool whose size may change."""

    profile: JobProfile
    ordering: str
    jobs: list[SimulatedJob]
    # Number of VMs in the pool at a time in ms.
    vm_count_at: Callable[[int], int]
    # Weights of the teams, of which each has a queue of its name.
    weights: dict[str, float] = field(factory=dict)
    share_order: str = "due_first"
    fleet: FleetState = field(init=False)
    planner: Planner = field(init=False)
    ends: list[tuple[int, int, ReservedRun]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        queue = QueueRow(
            pool="pool",
            slack_factor=self.profile.slack,
            target_latency_ms=self.profile.target_latency_ms,
        )
        table = DeclaredTable(
            teams={
                team: TeamRow(weight=weight, max_running=1_000_000, home="dc1")
                for team, weight in self.weights.items()
            },
            pools={"pool": PoolRow(max_down=0)},
            queues={name: queue for name in self.weights or ("queue",)},
        )
        self.fleet = FleetState(proposed=ProposedState.of(ControlState(table=table)))
        self.fleet.shares.policy = share_orders.get(self.share_order)
        self.planner = Planner(fleet=self.fleet, ordering=ordering_policies.get(self.ordering))

    def run(self) -> None:
        """Simulate until every job is done, for ten simulated days at most."""
        pending = list(self.jobs)
        by_id = {job.job_id: job for job in self.jobs}
        now_ms = 0
        while any(job.done_ms is None for job in self.jobs) and now_ms < 10 * DAY_MS:
            self._update_minions(now_ms)
            while pending and pending[0].at_ms <= now_ms:
                self._accept_job(pending.pop(0))
            while self.ends and self.ends[0][0] <= now_ms:
                _, _, run = heapq.heappop(self.ends)
                self.fleet.end_run(run, RunEnd.DONE)
            self._record_and_plan(now_ms, by_id)
            self.on_pass(now_ms)
            now_ms += PLAN_INTERVAL_MS

    def on_pass(self, now_ms: int) -> None:
        """Observe the fleet after a planning pass."""

    def _update_minions(self, now_ms: int) -> None:
        for minion in self.fleet.minions.values():
            minion.last_report_ms = now_ms
        for number in range(len(self.fleet.minions), self.vm_count_at(now_ms)):
            name = f"i-{number}"
            report = MinionReport(
                minion=name,
                born_ms=1,
                pool="pool",
                address="",
                data_center="dc1",
                sequence=1,
                capacity=VM_CAPACITY,
            )
            self.fleet.minions[name] = Minion(report=report, last_report_ms=0, polled_ms=0)

    def _accept_job(self, job: SimulatedJob) -> None:
        self.fleet.proposed.apply(
            AcceptJob(
                job_id=job.job_id,
                queue=job.team or "queue",
                pool="pool",
                team=job.team,
                spec=job.spec,
                at_ms=job.at_ms,
            )
        )
        self.fleet.stale_jobs.add(job.job_id)

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
        start_rows = [(r.job_id, r.key, r.run, r.minion, r.born_ms) for r in starts]
        fleet.proposed.apply(RecordRuns(starts=start_rows, at_ms=now_ms))
        for run in starts:
            _, step, index = parse_task_key(run.key)
            duration_ms = by_id[run.job_id].durations_ms[step][index]
            heapq.heappush(self.ends, (now_ms + START_DELAY_MS + duration_ms, id(run), run))


def job_value(job: SimulatedJob, mean: float) -> float:
    """Return a job's value, given the mean work of the jobs of its kind."""
    return min(MAX_VALUE, FIXED_VALUE + (1 - FIXED_VALUE) * job.work / mean)


def earned_credit(jobs: list[SimulatedJob]) -> Credit:
    """Return the credit that the jobs have earned."""
    mean = statistics.fmean(job.work for job in jobs)
    ranked = sorted(jobs, key=lambda job: -job.work)
    tenth = max(1, len(jobs) // 10)
    windows = [
        _earned_fraction([j for j in jobs if at <= j.at_ms < at + 2_000], mean)
        for at in range(0, BUSY_PERIOD_MS, 2_000)
    ]
    return Credit(
        whole=_earned_fraction(jobs, mean),
        largest_tenth=_earned_fraction(ranked[:tenth], mean),
        next_fifth=_earned_fraction(ranked[tenth : 3 * tenth], mean),
        worst_window=min(windows),
    )


def _earned_fraction(jobs: list[SimulatedJob], mean: float) -> float:
    owed = sum(job_value(job, mean) for job in jobs)
    earned = sum(
        job_value(job, mean)
        * (1 if job.done_ms is not None and job.done_ms <= job.due_ms else LATE_VALUE_FRACTION)
        for job in jobs
    )
    return earned / owed if owed else 1.0


def pool_with_spares(now_ms: int) -> int:
    """Return the VMs of a pool that receives the spare ones 2 s into its busy period."""
    return 6 if now_ms < 2_000 else 12


def fixed_pool(now_ms: int) -> int:
    """Return the VMs of a pool that receives no spare ones."""
    return 6


def simulate(
    profile: JobProfile,
    ordering: str,
    vm_count_at: Callable[[int], int],
    seed: int,
    load: float = 1.0,
):
    """Simulate one busy period and return its credit."""
    simulation = Simulation(
        profile=profile,
        ordering=ordering,
        jobs=generate_jobs(profile, seed, load),
        vm_count_at=vm_count_at,
    )
    simulation.run()
    return earned_credit(simulation.jobs)


# Shares of teams


@define(frozen=True, kw_only=True)
class TeamLoad:
    """Describe what one team sends while teams compete for a pool."""

    weight: float
    # Multiple of the profile's busy rate, and its factor between the two times in ms.
    load: float
    peak: float = 1.0
    peak_ms: tuple[int, int] = (1_000, 7_000)


# The light team sends seven times its usual load of about its share, or one of twenty does.
TEAM_CASES = {
    "ten to one": {
        "heavy": TeamLoad(weight=10, load=0.65),
        "light": TeamLoad(weight=1, load=0.08, peak=7),
    },
    "twenty": {
        f"team-{number}": TeamLoad(
            weight=1 + number % 5 * 3,
            load=0.007 * (1 + number % 5 * 3),
            peak=7 if not number else 1,
        )
        for number in range(20)
    },
    "equal": {name: TeamLoad(weight=1, load=0.5) for name in ("one", "two")},
}


@define(kw_only=True)
class TeamSimulation(Simulation):
    """Simulate teams, and note what they used and were due during the busy period."""

    share_error: float = 0.0

    def on_pass(self, now_ms: int) -> None:
        """Note which part of what teams were due others used."""
        if now_ms == BUSY_PERIOD_MS:
            totals = self.fleet.shares.attainment.totals(now_ms).values()
            due = sum(item.due_core_ms for item in totals)
            lacking = sum(max(0.0, item.due_core_ms - item.used_core_ms) for item in totals)
            self.share_error = lacking / due if due else 0.0


@define(frozen=True, kw_only=True)
class TeamResult:
    """Hold how the teams of one case fared."""

    share_error: float
    # Credit, and share of jobs that are late or of no use, by team.
    credit: dict[str, float]
    late: dict[str, float]
    whole: Credit


def generate_team_jobs(
    profile: JobProfile, teams: dict[str, TeamLoad], seed: int
) -> list[SimulatedJob]:
    """Generate the jobs of several teams in one busy period."""
    jobs: list[SimulatedJob] = []
    for place, (team, load) in enumerate(teams.items()):
        rng = random.Random(f"{seed}-{place}")
        at_ms = 0.0
        while at_ms < BUSY_PERIOD_MS:
            in_peak = load.peak_ms[0] <= at_ms < load.peak_ms[1]
            rate = profile.per_s * 4 * load.load * (load.peak if in_peak else 1.0)
            at_ms += rng.expovariate(rate / 1_000)
            jobs.append(attrs.evolve(generate_job(profile, rng, int(at_ms), 0), team=team))
    jobs.sort(key=lambda job: job.at_ms)
    return [attrs.evolve(job, job_id=f"{number:016x}") for number, job in enumerate(jobs)]


def simulate_teams(
    profile: JobProfile,
    teams: dict[str, TeamLoad],
    share_order: str,
    seed: int,
    *,
    only: str = "",
    ordering: str = "useful_first",
) -> TeamResult:
    """Simulate a busy period of several teams, or of the jobs of only one of them."""
    jobs = generate_team_jobs(profile, teams, seed)
    simulation = TeamSimulation(
        profile=profile,
        ordering=ordering,
        jobs=[job for job in jobs if only in ("", job.team)],
        vm_count_at=fixed_pool,
        weights={team: load.weight for team, load in teams.items()},
        share_order=share_order,
    )
    simulation.run()
    by_team = {
        team: [job for job in simulation.jobs if job.team == team] for team in [only] if only
    } or {team: [job for job in simulation.jobs if job.team == team] for team in teams}
    return TeamResult(
        share_error=simulation.share_error,
        credit={
            team: _earned_fraction(found, statistics.fmean(job.work for job in jobs))
            for team, found in by_team.items()
        },
        late={
            team: sum(job.done_ms is None or job.done_ms > job.due_ms for job in found)
            / max(1, len(found))
            for team, found in by_team.items()
        },
        whole=earned_credit(simulation.jobs),
    )


def _mean_by_team(rows: list[dict[str, float]]) -> dict[str, float]:
    return {team: statistics.fmean(row[team] for row in rows) for team in rows[0]}


def print_teams(seeds: int = 3) -> None:
    """Print share error, credit and late jobs of each share order, for the first two teams.

    The row `alone` shows each team with the pool to itself, an upper bound of what it can get.
    """
    for name, teams in TEAM_CASES.items():
        shown = list(teams)[:2]
        for share_order in (*share_orders, "alone"):
            if share_order == "alone":
                results = [
                    simulate_teams(QUOTE, teams, "by_urgency", seed, only=team)
                    for seed in range(seeds)
                    for team in shown
                ]
                credit = _merge_alone([result.credit for result in results])
                late = _merge_alone([result.late for result in results])
                head = "- - - -"
            else:
                results = [simulate_teams(QUOTE, teams, share_order, seed) for seed in range(seeds)]
                credit = _mean_by_team([result.credit for result in results])
                late = _mean_by_team([result.late for result in results])
                error = statistics.fmean(result.share_error for result in results)
                whole, largest, fifth = (
                    statistics.fmean(getattr(result.whole, column) for result in results)
                    for column in ("whole", "largest_tenth", "next_fifth")
                )
                head = f"{error:.3f} {whole:.3f} {largest:.3f} {fifth:.3f}"
            cells = [f"{team} {credit[team]:.3f} late {late[team]:.3f}" for team in shown]
            print(f"{name:10} {share_order:10} {head:23}", *cells)


def _merge_alone(rows: list[dict[str, float]]) -> dict[str, float]:
    """Return the means of rows that hold one team each."""
    values: dict[str, list[float]] = {}
    for row in rows:
        for team, value in row.items():
            values.setdefault(team, []).append(value)
    return {team: statistics.fmean(found) for team, found in values.items()}


def main() -> None:
    """Print the credit of every task ordering and share order."""
    print_teams()
    for name, profile in (("quote", QUOTE), ("booking", BOOKING)):
        for label, vm_count_at in (("6 machines", fixed_pool), ("6 then 12", pool_with_spares)):
            for ordering in ordering_policies:
                results = [simulate(profile, ordering, vm_count_at, seed) for seed in range(4)]
                cells = [
                    statistics.fmean(getattr(item, column) for item in results)
                    for column in ("whole", "largest_tenth", "next_fifth", "worst_window")
                ]
                print(f"{name:8} {label:11} {ordering:16}", *(f"{cell:.3f}" for cell in cells))


if __name__ == "__main__":
    main()
