"""Choose a worker for a job."""

from __future__ import annotations

from collections.abc import Callable

from hornbeamreach.registry import Registry
from hornbeamreach.tables.control_state import VmPhase
from hornbeamreach.tables.jobs import JobRow, JobTables, Resources, WorkerRow

WorkerPlacementPolicy = Callable[[JobTables, JobRow, Resources, list[WorkerRow]], WorkerRow]
worker_placement_policies: Registry[WorkerPlacementPolicy] = Registry("placement policy")


def accepts_tasks(worker: WorkerRow, now_ms: int) -> bool:
    """Return whether a worker may get new tasks."""
    return worker.up and worker.phase is VmPhase.IN_SERVICE and worker.suspect_until_ms <= now_ms


def hold_worker(
    tables: JobTables, pool: str, amount: Resources, now_ms: int, held: set[str]
) -> None:
    """Hold the worker with the most free capacity for a job until enough is free."""
    candidates = [
        worker
        for worker in tables.workers.values()
        if worker.pool == pool
        and worker.vm not in held
        and accepts_tasks(worker, now_ms)
        and amount.fits_in(worker.capacity)
    ]
    if candidates:
        best = max(candidates, key=lambda w: (w.free().dominant_fraction(w.capacity), w.vm))
        held.add(best.vm)


def fitting_workers(
    tables: JobTables, pool: str, amount: Resources, job: JobRow, now_ms: int, held: set[str]
) -> list[WorkerRow]:
    """List a pool's workers with room for a job, except those held for earlier jobs.

    Workers on which the job has failed are listed only if there are no others.
    """
    fitting = [
        worker
        for worker in tables.workers.values()
        if worker.pool == pool
        and worker.vm not in held
        and accepts_tasks(worker, now_ms)
        and amount.fits_in(worker.free())
    ]
    untried = [worker for worker in fitting if worker.vm not in job.failed_workers]
    return untried or fitting


def could_ever_fit(tables: JobTables, pool: str, amount: Resources) -> bool:
    """Return whether any worker of a pool would be large enough if empty."""
    return any(
        amount.fits_in(worker.capacity) for worker in tables.workers.values() if worker.pool == pool
    )


@worker_placement_policies.register("rack_spread")
def rack_spread(
    tables: JobTables, job: JobRow, amount: Resources, workers: list[WorkerRow]
) -> WorkerRow:
    """Choose the rack with the fewest tasks of the team, then the tightest fit in it."""
    in_rack: dict[str, int] = {}
    for other in tables.started.values():
        worker = tables.workers.get(other.worker)
        if other.team == job.team and worker is not None:
            in_rack[worker.rack] = in_rack.get(worker.rack, 0) + 1
    return min(
        workers,
        key=lambda worker: (
            in_rack.get(worker.rack, 0),
            worker.free().minus(amount).dominant_fraction(worker.capacity),
            worker.vm,
        ),
    )


@worker_placement_policies.register("first_fit")
def first_fit(
    tables: JobTables, job: JobRow, amount: Resources, workers: list[WorkerRow]
) -> WorkerRow:
    """Choose the first worker by name, as a baseline."""
    return min(workers, key=lambda worker: worker.vm)
