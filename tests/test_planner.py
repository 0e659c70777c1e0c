"""Choosing starts for a pool that is full, as in the heaviest queue's turn."""

from __future__ import annotations

from hornbeamreach.control.workload_commands import AcceptJob
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.systems.task_placement import best_fit
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepSpec

from . import builders

NOW_MS = 1_000
MINIONS = 3


class CountingPlace:
    """Place tasks like the default policy, and count how often it was asked."""

    def __init__(self) -> None:
        self.asked = 0

    def __call__(self, wish, minions):
        self.asked += 1
        return best_fit(wish, minions)


def planner(*steps: StepSpec, cores: int = 4) -> Planner:
    """Return the planner of a pool with one waiting job of each step."""
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
    return Planner(fleet=fleet, placement=CountingPlace())


def started(plan: Planner) -> list[str]:
    """Plan once and name the jobs of the starts by their last digit."""
    return sorted(run.job_id[-1] for run in plan.plan(NOW_MS, NOW_MS))


class TestFullPool:
    def test_what_does_not_fit_is_searched_for_once(self):
        wide = [builders.step(40, cpu_millis=2_000) for _ in range(30)]
        plan = planner(*wide)
        assert len(started(plan)) == MINIONS * 2
        # Six places, and the one search that finds no seventh.
        assert plan.placement.asked == MINIONS * 2 + 1

    def test_a_small_task_starts_beside_a_large_one_that_does_not_fit(self):
        plan = planner(builders.step(1, cpu_millis=5_000), builders.step(2, cpu_millis=1_000))
        assert started(plan) == ["1", "1"]

    def test_a_gang_without_room_for_all_takes_none(self):
        gang = builders.step(4, cpu_millis=3_000, gang=True)
        plan = planner(gang, builders.step(3, cpu_millis=3_000))
        assert started(plan) == ["1", "1", "1"]

    def test_tasks_that_keep_apart_do_not_stand_for_others(self):
        apart = builders.step(5, cpu_millis=1_000, max_per_minion=1)
        plan = planner(apart, builders.step(9, cpu_millis=1_000))
        assert started(plan) == ["0"] * 3 + ["1"] * 9
