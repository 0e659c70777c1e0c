"""Choose the data centre for a job, so that surges use idle capacity of others."""

from __future__ import annotations

import random

from hornbeamreach.tables.reports import JobSpec, PoolLoad

# Free capacity is rounded to a fraction of a VM, so that small changes are not reported.
ROUNDING_STEPS_PER_VM = 4


def free_capacity(load: PoolLoad) -> int:
    """Return unused CPU less queued work, rounded down to a fraction of a VM."""
    free = load.capacity_cpu_millis - load.used_cpu_millis - load.waiting_cpu_millis
    step = max(1, load.vm_cpu_millis // ROUNDING_STEPS_PER_VM)
    return free // step * step


def choose_data_center(
    here: str,
    pool: str,
    spec: JobSpec,
    free_capacity: dict[str, int],
    sent_cpu_millis: dict[str, int],
    rng: random.Random,
) -> str:
    """Return where a job should be recorded and run.

    A job stays where it arrived unless it would wait there and another data centre has free
    capacity. The choice among several is random, weighted by free capacity, since every process
    decides on its own from the same figures. `sent_cpu_millis` is what this process has sent
    to each data centre since the figures were reported.
    """
    own = free_capacity.get(f"{here}/{pool}")
    if own is None or own - sent_cpu_millis.get(here, 0) >= spec.cpu_millis:
        return here
    found: dict[str, int] = {}
    for path, idle in sorted(free_capacity.items()):
        data_center, _, name = path.partition("/")
        left = idle - sent_cpu_millis.get(data_center, 0)
        if name == pool and data_center != here and left >= spec.cpu_millis:
            found[data_center] = left
    if not found:
        return here
    return rng.choices(list(found), list(found.values()))[0]
