"""Selection of starts in a full pool, as during the busiest queue's peak."""

from __future__ import annotations

import random

import attrs

from hornbeamreach.control.workload_commands import AcceptJob, CancelJob
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.systems.task_placement import PlacementRequest, best_fit
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepSpec

from . import builders

NOW_MS = 1_000
MINIONS = 3


class CountingPlacement:
    """Apply the default placement policy and count its calls."""

    def __init__(self) -> None:
        self.calls = 0

    def __call__(self, request, minions):
        self.calls += 1
        return best_fit(request, minions)


def make_planner(*steps: StepSpec, cores: int = 4) -> Planner:
    """Return the planner of a pool with one queued job per step."""
    proposed = ProposedState.of(ControlState(table=builders.step_table()))
    fleet = FleetState(proposed=proposed)
    for number in range(MINIONS):
        minion = builders.minion(
            f"i-{number}", capacity=Resources(cpu_millis=cores * 1_000, memory_mb=32_768)
        )
        minion.last_report_ms = NOW_MS
        fleet.minions[f"i-{number}"] = minion
    for number, step in enumerate(steps):
        job_id = f"{number:016x}"
        proposed.apply(
            AcceptJob(
                job_id=job_id,
                queue="queue-a",
                pool="pool-a",
                team="",
                spec=builders.step_job(step),
                at_ms=number,
            )
        )
        fleet.stale_jobs.add(job_id)
    return Planner(fleet=fleet, placement=CountingPlacement())


def plan_starts(planner: Planner) -> list[str]:
    """Plan once and return the last digit of each started run's job id."""
    return sorted(run.job_id[-1] for run in planner.plan(NOW_MS, NOW_MS))


class TestFullPool:
    def test_needs_that_do_not_fit_are_searched_for_once(self):
        large_steps = [builders.step(40, cpu_millis=2_000) for _ in range(30)]
        planner = make_planner(*large_steps)
        assert len(plan_starts(planner)) == MINIONS * 2
        # Six tasks fit, and one more search finds no minion for a seventh.
        assert planner.placement.calls == MINIONS * 2 + 1

    def test_a_small_task_starts_beside_a_large_one_that_does_not_fit(self):
        planner = make_planner(
            builders.step(1, cpu_millis=5_000), builders.step(2, cpu_millis=1_000)
        )
        assert plan_starts(planner) == ["1", "1"]

    def test_a_gang_that_does_not_fit_reserves_nothing(self):
        gang = builders.step(4, cpu_millis=3_000, gang=True)
        planner = make_planner(gang, builders.step(3, cpu_millis=3_000))
        assert plan_starts(planner) == ["1", "1", "1"]

    def test_tasks_with_anti_affinity_do_not_block_other_tasks(self):
        spread_step = builders.step(5, cpu_millis=1_000, max_per_minion=1)
        planner = make_planner(spread_step, builders.step(9, cpu_millis=1_000))
        assert plan_starts(planner) == ["0"] * 3 + ["1"] * 9


class TestPlacementDuringWaves:
    def test_a_long_running_task_avoids_vms_that_a_wave_takes_later(self):
        planner = make_planner(builders.step(2, lasting=True))
        for name in ("i-0", "i-1"):
            planner.fleet.minions[name].awaits_maintenance = True
        assert {run.minion for run in planner.plan(NOW_MS, NOW_MS)} == {"i-2"}

    def test_a_short_task_may_run_on_a_vm_that_a_wave_takes_later(self):
        planner = make_planner(builders.step(2))
        for name in ("i-1", "i-2"):
            planner.fleet.minions[name].awaits_maintenance = True
        assert {run.minion for run in planner.plan(NOW_MS, NOW_MS)} == {"i-0"}


class TestSlices:
    """A pass that isn't divided blocks heartbeats, polls and answers for its whole length."""

    def test_a_pass_goes_on_behind_the_step_that_ended_the_slice(self):
        planner = make_planner(*(builders.step(1, cpu_millis=1_000) for _ in range(5)))
        planner.fleet.all_pools_changed = True
        planner.begin_pass(NOW_MS, NOW_MS)
        slices = []
        while planner.pending:
            slices.append(planner.plan_slice(NOW_MS, NOW_MS, lambda: True))
        assert [len(starts) for starts in slices] == [1] * 5
        assert len({run.job_id for starts in slices for run in starts}) == 5

    def test_a_job_that_is_cancelled_between_slices_is_not_started(self):
        planner = make_planner(builders.step(1), builders.step(1))
        planner.fleet.all_pools_changed = True
        planner.begin_pass(NOW_MS, NOW_MS)
        planner.plan_slice(NOW_MS, NOW_MS, lambda: True)
        job_id = f"{1:016x}"
        planner.fleet.proposed.apply(CancelJob(job_id=job_id, at_ms=NOW_MS))
        planner.fleet.stale_jobs.add(job_id)
        assert planner.plan_slice(NOW_MS, NOW_MS) == []

    def test_a_pool_in_which_nothing_has_changed_is_not_planned(self):
        planner = make_planner(builders.step(40, cpu_millis=2_000))
        plan_starts(planner)
        planner.begin_pass(NOW_MS, NOW_MS)
        assert not planner.pending
        planner.fleet.changed_pools.add("pool-a")
        planner.begin_pass(NOW_MS, NOW_MS)
        assert planner.pending


def test_the_short_search_for_a_minion_agrees_with_the_full_one():
    """The planner would place tasks differently if the two forms of best fit diverged."""
    rng = random.Random(5)
    for _ in range(300):
        minions = []
        for number in range(6):
            minion = builders.minion(f"i-{number}", capacity=Resources(cpu_millis=8_000))
            minion.used = Resources(cpu_millis=rng.randrange(0, 9_000, 500))
            minion.failing_jobs = set(rng.sample("abc", rng.choice((0, 0, 1, 2))))
            minion.report = attrs.evolve(minion.report, cold_ms=rng.choice((0, 0, 500)))
            minions.append(minion)
        step = builders.step(1, cpu_millis=1_500, memory_mb=0)
        request = PlacementRequest(step=step, needs=step.needs, job_id="j")
        # A rack without minions makes the request take the full search and changes no cost.
        full = attrs.evolve(request, avoided_racks=frozenset({"elsewhere"}))
        assert best_fit(request, minions) is best_fit(full, minions)
