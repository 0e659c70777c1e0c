"""CPU that runs, waits and lasts in each pool, from the scheduler's state."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define

from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.systems.job_progress import USEFUL_DURATION_FACTOR, objective_ms
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
    for minion in fleet.minions.values():
        pool = minion.report.pool
        if minion.report.data_center in fleet.proposed.workload.evacuated:
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
    queued: dict[str, QueuedCpu] = {}
    queues = fleet.proposed.state.table.queues
    for job_id, steps in fleet.ready.items():
        job = fleet.job(job_id)
        if job is None:
            continue
        sums = queued.setdefault(fleet.pool_of(job), QueuedCpu())
        target_ms = objective_ms(job.spec, queues.get(job.queue))
        for step in steps:
            spec = job.spec.steps[step.step]
            amount = spec.needs.cpu_millis * len(step.indexes)
            since_ms = job.spec.due_ms(step.occurrence) if job.spec.timed else job.accepted_ms
            sums.total += amount
            if not spec.lasting and wall_ms - since_ms > USEFUL_DURATION_FACTOR * target_ms:
                sums.late += amount
    return queued


def lasting_needs(fleet: FleetState) -> dict[str, LastingNeeds]:
    """Return what unended long-running jobs need by pool."""
    needs: dict[str, LastingNeeds] = {}
    for job in fleet.proposed.workload.jobs.values():
        if not job.ended and job.spec.lasting:
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
