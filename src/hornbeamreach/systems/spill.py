"""Choosing the data centre that takes a job, so that surges meet what others leave idle."""

from __future__ import annotations

import random

from hornbeamreach.tables.reports import JobSpec, PoolLoad

# Rooms are told in these parts of a VM, so that small changes are no news.
STEPS_PER_VM = 4


def free_capacity(load: PoolLoad) -> int:
    """Return idle processors less waiting work, rounded down to a part of a VM."""
    free = load.capacity_cpu_millis - load.used_cpu_millis - load.waiting_cpu_millis
    step = max(1, load.vm_cpu_millis // STEPS_PER_VM)
    return free // step * step


def choose_data_center(
    here: str,
    pool: str,
    spec: JobSpec,
    free_capacity: dict[str, int],
    sent_millis: dict[str, int],
    rng: random.Random,
) -> str:
    """Return where a job should be recorded and run.

    A job stays where it arrived unless it would wait there and another data centre has
    idle room. Among several the choice is random by their room, since every process
    decides for itself on the same figures. `sent_millis` is what this process has sent to
    each data centre since the figures were made.
    """
    own = free_capacity.get(f"{here}/{pool}")
    if own is None or own - sent_millis.get(here, 0) >= spec.cpu_millis:
        return here
    found: dict[str, int] = {}
    for path, idle in sorted(free_capacity.items()):
        data_center, _, name = path.partition("/")
        left = idle - sent_millis.get(data_center, 0)
        if name == pool and data_center != here and left >= spec.cpu_millis:
            found[data_center] = left
    if not found:
        return here
    return rng.choices(list(found), list(found.values()))[0]
