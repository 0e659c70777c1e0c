"""Measure the duration of one tick of the systems by the number of queued jobs and calls."""

from __future__ import annotations

import random

from benches.measure import fit_line, median_seconds
from hornbeamreach.systems.dispatch import DispatchContext, dispatch
from hornbeamreach.systems.fair_share import share_policies
from hornbeamreach.systems.job_sizing import SizeTable
from hornbeamreach.systems.routing import routing_policies
from hornbeamreach.systems.schedule import ScheduleContext, schedule
from hornbeamreach.systems.worker_placement import worker_placement_policies
from hornbeamreach.tables.calls import CallTables
from hornbeamreach.tables.jobs import JobTables
from hornbeamreach.tables.permits import PermitTable
from tests import builders

SIZES = (1_000, 2_000, 4_000, 8_000)
REPEATS = 15
MS_PER_SECOND = 1_000


def ample_permits(size: int) -> PermitTable:
    """Return a permit table with `size` permits for each of two teams."""
    teams = ("red", "blue")
    return PermitTable(slices=dict.fromkeys(teams, size), slice_indexes={})


def build_job_tables(count: int) -> JobTables:
    """Return tables with queued jobs of two teams and 36 idle workers."""
    tables = JobTables()
    for number in range(36):
        row = builders.worker(f"w{number:02d}", rack=f"r{number // 4}")
        tables.workers[row.vm] = row
    for number in range(count):
        job = builders.job(f"dc1.1000000000000.{number:08d}", team=("red", "blue")[number % 2])
        tables.enqueue(job)
    return tables


def measure_jobs(count: int) -> tuple[float, float]:
    """Return the ms of a first tick, which starts jobs, and of a later one, on full workers."""
    state = builders.ControlBuilder(builders.table()).state
    context = ScheduleContext(
        state=state,
        may_act=lambda team: True,
        share=share_policies.get("max_min"),
        placement=worker_placement_policies.get("rack_spread"),
        sizes=SizeTable(),
        now_ms=0,
    )
    first, later = [], []
    for _ in range(3):
        tables, permits = build_job_tables(count), ample_permits(count)
        first.append(median_seconds(lambda t=tables, p=permits: schedule(t, p, context), 1))
        later.append(median_seconds(lambda t=tables, p=permits: schedule(t, p, context), REPEATS))
    return sorted(first)[1] * MS_PER_SECOND, sorted(later)[1] * MS_PER_SECOND


def measure_calls(count: int) -> float:
    """Return the ms of a dispatch while no endpoint has credits."""
    tables, permits = CallTables(), ample_permits(count)
    for number in range(12):
        row = builders.endpoint(f"q{number}", credits=0)
        tables.endpoints[row.id] = row
    for number in range(count):
        tables.enqueue(builders.call(f"c{number}", team=("red", "blue")[number % 2]))
    builder = builders.ControlBuilder(builders.table())
    keys = [
        builders.KeyEdit(key_hash=builders.sha256("red"), team="red", key_id="r"),
    ]
    builder.change(key_edits=keys)
    for call in tables.calls.values():
        call.team = "red"
    context = DispatchContext(
        state=builder.state,
        may_act=lambda team: True,
        routing=routing_policies.get("least_loaded_of_two"),
        rng=random.Random(1),
        now_ms=0,
    )
    return median_seconds(lambda: dispatch(tables, permits, context), REPEATS) * MS_PER_SECOND


def main() -> None:
    """Print the durations and their slopes."""
    first_points, full_points, call_points = [], [], []
    print("queued   jobs: first tick ms   jobs: full tick ms   calls: full tick ms")
    for size in SIZES:
        first, full = measure_jobs(size)
        calls = measure_calls(size)
        first_points.append((size, first))
        full_points.append((size, full))
        call_points.append((size, calls))
        print(f"{size:6d}   {first:19.2f}   {full:18.2f}   {calls:19.2f}")
    for name, points in (
        ("jobs: first tick", first_points),
        ("jobs: full tick", full_points),
        ("calls: full tick", call_points),
    ):
        gradient, base = fit_line(points)
        print(f"{name}: {gradient * 1_000:.2f} ms per 1,000 queued + {base:.2f} ms")


if __name__ == "__main__":
    main()
