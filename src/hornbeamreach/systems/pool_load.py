"""Collect the load of one data centre's pools, for control."""

from __future__ import annotations

from hornbeamreach.tables.control_state import ControlState, VmPhase
from hornbeamreach.tables.jobs import WAITING_FOR_CAPACITY, JobTables
from hornbeamreach.tables.reports import PoolLoad

ROUNDING_STEPS_PER_VM = 8


def collect_pool_loads(
    tables: JobTables, state: ControlState, *, evacuated: bool = False
) -> dict[str, PoolLoad]:
    """Sum capacity, reservations and queued work by pool; without capacity while evacuated."""
    capacity: dict[str, int] = {}
    used: dict[str, int] = {}
    largest: dict[str, int] = {}
    for worker in tables.workers.values():
        largest[worker.pool] = max(worker.capacity.cpu_millis, largest.get(worker.pool, 0))
        if worker.up and worker.phase is VmPhase.IN_SERVICE and not evacuated:
            capacity[worker.pool] = capacity.get(worker.pool, 0) + worker.capacity.cpu_millis
            used[worker.pool] = used.get(worker.pool, 0) + worker.reserved.cpu_millis
    queued = _queued_cpu_millis(tables, state)
    return {
        pool: PoolLoad(
            capacity_cpu_millis=capacity.get(pool, 0),
            used_cpu_millis=_round_up(used.get(pool, 0), largest.get(pool, 0)),
            waiting_cpu_millis=_round_up(queued.get(pool, 0), largest.get(pool, 0)),
            vm_cpu_millis=largest.get(pool, 0),
        )
        for pool in state.table.pools
    }


def _round_up(amount: int, vm_cpu_millis: int) -> int:
    """Round up to a fraction of a VM, so that small changes are not reported."""
    step = max(1, vm_cpu_millis // ROUNDING_STEPS_PER_VM)
    return -(-amount // step) * step


def _queued_cpu_millis(tables: JobTables, state: ControlState) -> dict[str, int]:
    """Sum the declared CPU of queued jobs that lack capacity, by pool."""
    queued: dict[str, int] = {}
    for queue, by_team in tables.queued.items():
        row = state.table.queues.get(queue)
        if row is None:
            continue
        for job_ids in by_team.values():
            for job_id in job_ids:
                job = tables.jobs[job_id]
                # A job without a permit is limited by its team's limit, not by capacity.
                if job.waiting_for.startswith(WAITING_FOR_CAPACITY):
                    amount = job.spec.cpu_millis
                    queued[row.pool] = queued.get(row.pool, 0) + amount
    return queued
