"""How full the pools of one data centre are, for the decisions of control."""

from __future__ import annotations

from hornbeamreach.tables.control_state import ControlState, VmPhase
from hornbeamreach.tables.jobs import WAITING_FOR_CAPACITY, JobTables
from hornbeamreach.tables.reports import PoolLoad

STEPS_PER_VM = 8


def collect_loads(tables: JobTables, state: ControlState) -> dict[str, PoolLoad]:
    """Sum capacity, reservations and waiting work by pool."""
    capacity: dict[str, int] = {}
    used: dict[str, int] = {}
    largest: dict[str, int] = {}
    for worker in tables.workers.values():
        largest[worker.pool] = max(worker.capacity.cpu_millis, largest.get(worker.pool, 0))
        if worker.up and worker.phase is VmPhase.IN_SERVICE:
            capacity[worker.pool] = capacity.get(worker.pool, 0) + worker.capacity.cpu_millis
            used[worker.pool] = used.get(worker.pool, 0) + worker.reserved.cpu_millis
    waiting = _waiting(tables, state)
    return {
        pool: PoolLoad(
            capacity_cpu_millis=capacity.get(pool, 0),
            used_cpu_millis=_rounded(used.get(pool, 0), largest.get(pool, 0)),
            waiting_cpu_millis=_rounded(waiting.get(pool, 0), largest.get(pool, 0)),
            vm_cpu_millis=largest.get(pool, 0),
        )
        for pool in state.table.pools
    }


def _rounded(amount: int, vm_cpu_millis: int) -> int:
    """Round to a part of a VM, so that small changes are no news."""
    step = max(1, vm_cpu_millis // STEPS_PER_VM)
    return -(-amount // step) * step


def _waiting(tables: JobTables, state: ControlState) -> dict[str, int]:
    """Sum the declared processors of waiting jobs that could use another worker."""
    waiting: dict[str, int] = {}
    for queue, by_team in tables.queued.items():
        row = state.table.queues.get(queue)
        if row is None:
            continue
        for line in by_team.values():
            for job_id in line:
                job = tables.jobs[job_id]
                # A job that lacks a permit is held by its team's limit, not by capacity.
                if job.waiting_for.startswith(WAITING_FOR_CAPACITY):
                    amount = job.spec.cpu_millis
                    waiting[row.pool] = waiting.get(row.pool, 0) + amount
    return waiting
