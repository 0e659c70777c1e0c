"""Choosing a worker for a job."""

from __future__ import annotations

from collections.abc import Callable

from hornbeamreach.registry import Registry
from hornbeamreach.tables.control_state import VmPhase
from hornbeamreach.tables.jobs import JobRow, JobTables, Resources, WorkerRow

Placement = Callable[[JobTables, JobRow, Resources, list[WorkerRow]], WorkerRow]
placements: Registry[Placement] = Registry("placement policy")


def can_take(worker: WorkerRow, now_ms: int) -> bool:
    """Tell whether a worker may be given new tasks."""
    return worker.up and worker.phase is VmPhase.IN_SERVICE and worker.suspect_until_ms <= now_ms


def hold_worker(
    tables: JobTables, pool: str, amount: Resources, now_ms: int, held: set[str]
) -> None:
    """Hold the worker that lacks least for a job, so that its room can grow."""
    candidates = [
        worker
        for worker in tables.workers.values()
        if worker.pool == pool
        and worker.vm not in held
        and can_take(worker, now_ms)
        and amount.fits_in(worker.capacity)
    ]
    if candidates:
        best = max(candidates, key=lambda w: (w.free().dominant_fraction(w.capacity), w.vm))
        held.add(best.vm)


def fitting_workers(
    tables: JobTables, pool: str, amount: Resources, job: JobRow, now_ms: int, held: set[str]
) -> list[WorkerRow]:
    """List a pool's workers with room for a job, but those held for jobs before it."""
    fitting = [
        worker
        for worker in tables.workers.values()
        if worker.pool == pool
        and worker.vm not in held
        and can_take(worker, now_ms)
        and amount.fits_in(worker.free())
    ]
    fresh = [worker for worker in fitting if worker.vm not in job.failed_workers]
    return fresh or fitting


def could_ever_fit(tables: JobTables, pool: str, amount: Resources) -> bool:
    """Tell whether any worker of a pool is large enough, were it empty."""
    return any(
        amount.fits_in(worker.capacity) for worker in tables.workers.values() if worker.pool == pool
    )


@placements.register("rack_spread")
def rack_spread(
    tables: JobTables, job: JobRow, amount: Resources, workers: list[WorkerRow]
) -> WorkerRow:
    """Take the rack with the fewest tasks of the team, and in it the tightest fit."""
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


@placements.register("first_fit")
def first_fit(
    tables: JobTables, job: JobRow, amount: Resources, workers: list[WorkerRow]
) -> WorkerRow:
    """Take the first worker by name, as a baseline."""
    return min(workers, key=lambda worker: worker.vm)
