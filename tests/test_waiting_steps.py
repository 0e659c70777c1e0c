"""The index of waiting steps, against a planner that sorts and sums up all steps in each pass.

The index would start other tasks, or none, if a change of a job didn't reach it, if a key was not
computed again in time, or if a step was left out that could start.
"""

from __future__ import annotations

import random

import attrs
import pytest

from hornbeamreach.control.workload_commands import AcceptJob, CancelJob, RecordRuns
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.near_waits import PoolRacks
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.pool_needs import QueuedCpu, queued_cpu
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.step_start import PoolPlan
from hornbeamreach.systems import job_progress
from hornbeamreach.systems.fair_share import team_weights
from hornbeamreach.systems.share_order import (
    ROUNDING,
    TeamDemand,
    due_shares,
    exceeds,
    keep_minions,
)
from hornbeamreach.systems.task_order import PendingStep, Standing, ordering_policies, standing
from hornbeamreach.systems.task_placement import best_fit
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import DeclaredTable, PoolRow, QueueRow, TeamRow
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import RunEnd, StepSpec

from . import builders

PERIOD_MS = 100


def describe(fleet, job, step, wall_ms):
    queue = fleet.proposed.state.table.queues[job.queue]
    since_ms = job_progress.queued_since_ms(job, step.occurrence)
    target_ms = job_progress.objective_ms(job.spec, queue)
    path_ms = job_progress.remaining_critical_path_ms(job, step.occurrence)
    return PendingStep(
        rank=queue.rank,
        lasting=job.spec.steps[step.step].lasting,
        filler=False,
        begun=bool(job.tasks),
        slack_ms=since_ms + target_ms - path_ms - wall_ms,
        useful_ms=since_ms + 3 * target_ms - path_ms - wall_ms,
        waited_ms=wall_ms - since_ms,
        work_core_ms=job_progress.work_core_ms(job.spec),
    )


class PlainPool:
    """Plan one pool as the design describes it, step by step."""

    def __init__(self, planner, pool, entries, now_ms):
        self.planner, self.fleet, self.pool, self.now_ms = planner, planner.fleet, pool, now_ms
        self.members = [m for m in self.fleet.minions.values() if m.report.pool == pool]
        free = [minion.free() for minion in self.members]
        self.room = Resources(
            cpu_millis=max(amounts.cpu_millis for amounts in free),
            memory_mb=max(amounts.memory_mb for amounts in free),
            accelerators=max(amounts.accelerators for amounts in free),
        )
        self.entries = sorted(entries, key=lambda e: (planner.ordering(e[0]), not self.fits(e)))
        self.passed_over = {}

    def spec(self, entry) -> StepSpec:
        return entry[1].spec.steps[entry[2].step]

    def fits(self, entry) -> bool:
        return self.spec(entry).needs.fits_in(self.room)

    def turns(self):
        """Return (entry, first task, end, borrowed) in the order of the turns."""
        fleet, entries = self.fleet, self.entries
        plain = [(entry, 0, len(entry[2].indexes), False) for entry in entries]
        teams = {entry[1].team for entry in entries}
        if not any(map(self.fits, entries)) or not fleet.shares.begin(
            self.pool, teams, self.now_ms
        ):
            return plain
        shares = fleet.shares.pools[self.pool]
        shares.set_total(self.members, self.members)
        usage, total = shares.usage, shares.usage.total
        names = teams | usage.by_team.keys()
        demands = {
            team: TeamDemand(
                used=usage.dominant_share(team), lasting=shares.lasting.dominant_share(team)
            )
            for team in names
        }
        asked = []
        for entry in entries:
            needs, count = self.spec(entry).needs, len(entry[2].indexes)
            asked.append(needs.times(count))
            demand = demands[entry[1].team]
            demand.waiting += needs.dominant_fraction(total) * count
            if standing(entry[0]) is not Standing.USELESS:
                demand.useful += needs.dominant_fraction(total) * count
        if not exceeds([*asked, *usage.by_team.values()], total):
            usage.deficits.clear()
            return plain
        shares.weights = team_weights(fleet.proposed.state.table.teams, demands)
        shares.due, shares.waiting = due_shares(shares.weights, demands)
        return self.by_share(usage, shares.due)

    def by_share(self, usage, due):
        held = {team: usage.deficit_adjusted_share(team) for team in due}
        found = []
        for entry in self.entries:
            spec, team, count = self.spec(entry), entry[1].team, len(entry[2].indexes)
            within = 0
            for _ in range(count):
                has_room = due[team] - held[team] > ROUNDING or (spec.gang and within)
                if standing(entry[0]) is Standing.LASTING or has_room:
                    within += 1
                    held[team] += spec.needs.dominant_fraction(usage.total)
            found += [(entry, 0, within, False)] if within else []
            found += [(entry, within, count, True)] if within < count else []
        return sorted(found, key=lambda turn: (standing(turn[0][0]), turn[3]))

    def plan(self):
        turns, starts, borrowing = self.turns(), [], None
        for entry, _, _, borrowed in turns:
            spec = self.spec(entry)
            if not self.fits(entry) and not borrowed:
                needs = spec.needs.times(len(entry[2].indexes)) if spec.gang else spec.needs
                self.passed_over.setdefault(entry[1].team, needs)
        plan = self.new_plan(self.members, [])
        for entry, first, end, borrowed in turns:
            job, step, spec = entry[1], entry[2], self.spec(entry)
            if not self.fits(entry):
                continue
            if borrowed and borrowing is None:
                kept = keep_minions(list(self.passed_over.values()), self.members)
                others = [m for m in self.members if m.minion_id not in kept]
                borrowing = self.new_plan(others, list(plan.too_large))
            found = self.planner.starter.start(
                borrowing if borrowed else plan,
                job,
                attrs.evolve(step, indexes=step.indexes[first:end]),
                self.now_ms,
                best_fit,
            )
            starts += found
            if not borrowed and spec.gang and not found:
                self.passed_over.setdefault(job.team, spec.needs.times(end - first))
            if not borrowed and not spec.gang and plan.is_known_not_to_fit(spec.needs):
                self.passed_over.setdefault(job.team, spec.needs)
        if self.pool in self.fleet.shares.pools:
            self.fleet.shares.finish(self.pool)
        return starts

    def new_plan(self, minions, too_large):
        return PoolPlan(
            pool=self.pool,
            members=self.members,
            minions=minions,
            candidates=minions,
            too_large=too_large,
            racks=PoolRacks(minions=minions),
        )


def plan_plainly(planner, now_ms):
    fleet = planner.fleet
    fleet.refresh_ready(now_ms)
    planner.near_waits.begin_pass(now_ms, now_ms)
    by_pool: dict[str, list] = {}
    for job_id, steps in fleet.ready.items():
        job = fleet.job(job_id)
        entries = by_pool.setdefault(fleet.pool_of(job), [])
        as_at_ms = now_ms - now_ms % PERIOD_MS
        entries += [(describe(fleet, job, step, as_at_ms), job, step) for step in steps]
    pools = [PlainPool(planner, pool, entries, now_ms) for pool, entries in by_pool.items()]
    return [run for pool in pools for run in pool.plan()]


def sum_plainly(fleet, wall_ms):
    sums: dict[str, QueuedCpu] = {}
    for job_id, steps in fleet.ready.items():
        job = fleet.job(job_id)
        found = sums.setdefault(fleet.pool_of(job), QueuedCpu())
        for step in steps:
            spec = job.spec.steps[step.step]
            described = describe(fleet, job, step, wall_ms)
            path_ms = job_progress.remaining_critical_path_ms(job, step.occurrence)
            is_late = not spec.lasting and described.useful_ms + path_ms < 0
            found.total += spec.needs.cpu_millis * len(step.indexes)
            found.late += spec.needs.cpu_millis * len(step.indexes) * is_late
    return sums


class Load:
    """Apply the same random events to a fleet, whichever way it is planned."""

    def __init__(self, seed: int, plan) -> None:
        self.rng, self.plan, self.now_ms, self.jobs = random.Random(seed), plan, 50_000, 0
        self.teams, self.pools = self.rng.choice((1, 2, 6)), self.rng.choice((1, 2))
        proposed = ProposedState.of(ControlState(table=self.table()))
        self.fleet = FleetState(proposed=proposed)
        ordering = self.rng.choice(["useful_first"] * 4 + ["begun_then_oldest", "first_come"])
        self.planner = Planner(fleet=self.fleet, ordering=ordering_policies.get(ordering))
        for number in range(self.rng.randrange(2, 10)):
            capacity = Resources(cpu_millis=self.rng.choice((8_000, 16_000)), memory_mb=16_000)
            pool = f"pool-{number % self.pools}"
            minion = builders.minion(f"i-{number}", capacity=capacity, pool=pool)
            self.fleet.minions[minion.minion_id] = minion

    def table(self) -> DeclaredTable:
        rng = self.rng
        teams = {
            f"team-{n}": TeamRow(
                weight=rng.choice((1, 3, 10)),
                max_running=1_000,
                home="dc1",
                max_cpu_millis=rng.choice((0, 0, 20_000)),
            )
            for n in range(self.teams)
        }
        queues = {
            f"queue-{n}": QueueRow(pool=f"pool-{n % self.pools}", rank=rng.randrange(2))
            for n in range(2 * self.pools)
        }
        pools = {f"pool-{n}": PoolRow(max_down=0) for n in range(self.pools)}
        return DeclaredTable(teams=teams, queues=queues, pools=pools)

    def step(self, after=()) -> StepSpec:
        rng = self.rng
        return StepSpec(
            count=rng.choice((1, 3, 8)),
            cpu_millis=rng.choice((500, 1_500, 2_500, 4_000, 9_000)),
            memory_mb=rng.choice((0, 500, 4_000)),
            estimate_ms=rng.choice((100, 300, 900)),
            after=after,
            gang=rng.random() < 0.15,
            max_per_minion=rng.choice((0, 0, 0, 2)),
            lasting=rng.random() < 0.04,
        )

    def accept(self, ages_ms=(0, 0, 3_000, 20_000)) -> None:
        number = self.rng.randrange(2 * self.pools)
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        after = self.rng.choice(((), (0,)))
        self.fleet.proposed.apply(
            AcceptJob(
                job_id=job_id,
                queue=f"queue-{number}",
                pool="",
                team=f"team-{self.rng.randrange(self.teams)}",
                spec=builders.step_job(self.step(), self.step(after)),
                at_ms=self.now_ms - self.rng.choice(ages_ms),
            )
        )
        self.stale(job_id)

    def stale(self, job_id: str) -> None:
        # One job at a time: the order of a set of several differs from run to run.
        self.fleet.stale_jobs.add(job_id)
        self.fleet.refresh_ready(self.now_ms)

    def end_runs(self) -> None:
        runs = [run for runs in self.fleet.runs_by_job.values() for run in runs.values()]
        runs = [run for run in runs if not run.lasting]
        for run in self.rng.sample(runs, min(len(runs), self.rng.choice((0, 1, 3, 12)))):
            end = self.rng.choice((RunEnd.DONE, RunEnd.DONE, RunEnd.DONE, RunEnd.STOPPED))
            self.fleet.end_run(run, end, now_ms=self.now_ms)
            rows = [(run.job_id, run.key, run.run, end.value, "")]
            self.fleet.proposed.apply(RecordRuns(ends=rows, at_ms=self.now_ms))
            self.stale(run.job_id)

    def change(self) -> None:
        job_id = f"{self.rng.randint(1, self.jobs):016x}"
        if self.rng.random() < 0.2 and job_id not in self.fleet.runs_by_job:
            self.fleet.proposed.apply(CancelJob(job_id=job_id, at_ms=self.now_ms))
            self.stale(job_id)
        if self.rng.random() < 0.05:
            self.fleet.proposed.state.table = self.table()
            for job_id in self.fleet.proposed.workload.jobs:
                self.stale(job_id)

    def pass_once(self) -> list[tuple[str, str]]:
        self.now_ms += self.rng.choice((5, 10, 40, 130, 900))
        for _ in range(self.rng.choice((0, 1, 3, 8)) if self.jobs else 20):
            self.accept()
        self.end_runs()
        self.change()
        for minion in self.fleet.minions.values():
            minion.last_report_ms = self.now_ms
        starts = self.plan(self.planner, self.now_ms)
        rows = [(run.job_id, run.key, run.run, run.minion, run.born_ms) for run in starts]
        self.fleet.proposed.apply(RecordRuns(starts=rows, at_ms=self.now_ms))
        for job_id in dict.fromkeys(run.job_id for run in starts):
            self.stale(job_id)
        return [(run.name, run.minion) for run in starts]


@pytest.mark.parametrize("seed", range(40))
def test_the_index_leads_to_the_same_starts_and_sums_as_sorting_all_steps(seed):
    indexed = Load(seed, lambda planner, now_ms: planner.plan(now_ms, now_ms))
    plain = Load(seed, plan_plainly)
    for _ in range(15):
        assert indexed.pass_once() == plain.pass_once()
        assert queued_cpu(indexed.fleet, indexed.now_ms) == sum_plainly(plain.fleet, plain.now_ms)


def test_a_key_is_renewed_when_the_clock_is_set_back():
    load = Load(1, None)
    load.accept(ages_ms=(0,))
    waiting, fleet = load.fleet.waiting, load.fleet
    waiting.update(fleet, load.now_ms)
    before = [item.sort_key for pool in waiting.pools.values() for item in pool]
    waiting.update(fleet, load.now_ms + 60_000)
    assert [item.sort_key for pool in waiting.pools.values() for item in pool] != before
    waiting.update(fleet, load.now_ms)
    assert [item.sort_key for pool in waiting.pools.values() for item in pool] == before


def test_a_job_that_left_the_ready_ones_unannounced_is_not_started():
    load = Load(1, None)
    load.accept(ages_ms=(0,))
    load.fleet.waiting.update(load.fleet, load.now_ms)
    load.fleet.ready.clear()
    assert load.planner.plan(load.now_ms, load.now_ms) == []


def test_pools_keep_the_order_of_their_oldest_jobs_under_a_new_declaration():
    # A job that became stale in the pass that indexed all jobs again went ahead of older ones, so
    # a pool whose other jobs wait for less long was planned first.
    load = next(load for load in (Load(seed, None) for seed in range(20)) if load.pools == 2)
    fleet, waiting = load.fleet, load.fleet.waiting
    for _ in range(20):
        load.accept(ages_ms=(0,))
    waiting.update(fleet, load.now_ms)
    before = waiting.pools_in_order()
    jobs = {pool: list(waiting.pools[pool].jobs) for pool in before}
    load.stale(jobs[before[0]][-1])
    fleet.proposed.state.table = attrs.evolve(fleet.proposed.state.table)
    waiting.update(fleet, load.now_ms)
    assert waiting.pools_in_order() == before
    assert {pool: list(waiting.pools[pool].jobs) for pool in before} == jobs
