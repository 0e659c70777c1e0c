"""Choose the data centre for a job, so that surges use idle capacity elsewhere."""

from __future__ import annotations

import random

from hornbeamreach.tables.reports import JobSpec, PoolLoad

# Free capacity is rounded to a fraction of a VM, so that small changes are not reported.
ROUNDING_STEPS_PER_VM = 4


def free_capacity(load: PoolLoad) -> int:
    """Return unused CPU less queued work in 1/1000 core, rounded down to a fraction of a VM."""
    free = load.capacity_cpu_millis - load.used_cpu_millis - load.waiting_cpu_millis
    step = max(1, load.vm_cpu_millis // ROUNDING_STEPS_PER_VM)
    return free // step * step


def choose_data_center(
    local: str,
    pool: str,
    spec: JobSpec,
    free_by_location: dict[str, int],
    sent_cpu_millis: dict[str, int],
    rng: random.Random,
) -> str:
    """Return where a job should be recorded and run.

    A job stays where it arrived unless it would wait there and another data centre has free
    capacity. The choice among several is random, weighted by free capacity, since every process
    decides on its own from the same figures. `sent_cpu_millis` is what this process has sent
    to each data centre since the figures were reported. Keys of `free_by_location` have the
    form `data_center/pool`.
    """
    own = free_by_location.get(f"{local}/{pool}")
    if own is None or own - sent_cpu_millis.get(local, 0) >= spec.cpu_millis:
        return local
    found: dict[str, int] = {}
    for location, free in sorted(free_by_location.items()):
        data_center, _, name = location.partition("/")
        left = free - sent_cpu_millis.get(data_center, 0)
        if name == pool and data_center != local and left >= spec.cpu_millis:
            found[data_center] = left
    if not found:
        return local
    return rng.choices(list(found), list(found.values()))[0]
