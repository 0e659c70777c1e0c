"""CPU that runs, waits and lasts in each pool, from the scheduler's state."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define

from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.tables.minions import Minion
from hornbeamreach.tables.workload import StepJob


@define(kw_only=True)
class LastingNeeds:
    """Hold what the long-running jobs of a pool need."""

    cpu_millis: int = 0
    # Distinct minions for the job that is spread most.
    minions: int = 0


def running_cpu(fleet: FleetState) -> dict[str, int]:
    """Sum the CPU that is not free for other jobs by pool, in 1/1000 cores."""
    running: dict[str, int] = {}
    evacuated = fleet.proposed.workload.evacuated
    for minion in fleet.minions.values():
        pool = minion.report.pool
        if minion.report.data_center in evacuated:
            # Its runs end or move, and what moves waits in the pool's queue then.
            continue
        is_closed = minion.suspects or minion.minion_id in fleet.held_minions
        taken = minion.report.capacity if is_closed else minion.used
        running[pool] = running.get(pool, 0) + taken.cpu_millis
    for runs in fleet.unattached_runs.values():
        # A new scheduler has not heard from their minions yet, but counts their VMs.
        for run in runs.values():
            job = fleet.job(run.job_id)
            if job is not None:
                pool = fleet.pool_of(job)
                running[pool] = running.get(pool, 0) + run.needs.cpu_millis
    return running


def largest_minions(minions: Iterable[Minion]) -> dict[str, int]:
    """Return the CPU of the largest minion by pool, in 1/1000 cores."""
    largest: dict[str, int] = {}
    for minion in minions:
        pool, capacity = minion.report.pool, minion.report.capacity
        largest[pool] = max(largest.get(pool, 0), capacity.cpu_millis)
    return largest


@define(kw_only=True)
class QueuedCpu:
    """Hold the CPU of a pool's tasks that may start, in 1/1000 cores."""

    total: int = 0
    # Of that, tasks of jobs whose results come too late to be of use.
    late: int = 0


def queued_cpu(fleet: FleetState, wall_ms: int) -> dict[str, QueuedCpu]:
    """Sum the CPU of tasks that may start by pool."""
    fleet.waiting.update(fleet, wall_ms)
    queued: dict[str, QueuedCpu] = {}
    for pool, steps in fleet.waiting.pools.items():
        sums = queued[pool] = QueuedCpu()
        for step in steps:
            cpu_millis = step.needs.cpu_millis * step.tasks
            sums.total += cpu_millis
            if step.useful_until_ms < wall_ms:
                sums.late += cpu_millis
    return queued


def pools_with_tasks_in_need(fleet: FleetState, wall_ms: int) -> set[str]:
    """Return the pools in which long-running tasks or suspects of a crash may start.

    A suspect needs a minion without other jobs, which its pool may not have.
    """
    waiting = fleet.waiting
    waiting.update(fleet, wall_ms)
    found = {
        pool
        for pool, steps in waiting.pools.items()
        if any(team.lasting for team in steps.teams.values())
    }
    return found | {
        waiting.jobs[job_id].pool for job_id in fleet.suspect_tasks if job_id in waiting.jobs
    }


def lasting_needs(fleet: FleetState) -> dict[str, LastingNeeds]:
    """Return what unended long-running jobs need by pool."""
    needs: dict[str, LastingNeeds] = {}
    for job in fleet.proposed.workload.jobs.values():
        # Few jobs last, so this is the first question for each of them.
        if job.spec.lasting and not job.ended:
            pool_needs = needs.setdefault(fleet.pool_of(job), LastingNeeds())
            pool_needs.cpu_millis += sum(s.count * s.needs.cpu_millis for s in job.spec.steps)
            pool_needs.minions = max(pool_needs.minions, _distinct_minions(job))
    return needs


def _distinct_minions(job: StepJob) -> int:
    counts = [
        -(-step.count // step.max_per_minion)
        for step in job.spec.steps
        if step.lasting and step.max_per_minion
    ]
    return max(counts, default=1)
