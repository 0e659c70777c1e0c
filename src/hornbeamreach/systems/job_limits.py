"""Limit the size of a job at acceptance, so that planning it can't cost a leader its lease."""

from __future__ import annotations

from hornbeamreach.tables.workload import StepJobSpec

# Over all occurrences. The scheduler goes through all tasks and dependencies of a job in one pass,
# and every scheduler that takes over goes through them again.
MAX_TASKS = 100_000
MAX_DEPENDENCIES = 100_000
# The end of a task is checked against every occurrence.
MAX_REPETITIONS = 10_000


def exceeded_limit(spec: StepJobSpec) -> str | None:
    """Return which limit a job exceeds, or None."""
    if spec.repetitions > MAX_REPETITIONS:
        return f"more than {MAX_REPETITIONS} repetitions"
    if sum(step.count for step in spec.steps) * spec.occurrences > MAX_TASKS:
        return f"more than {MAX_TASKS} tasks in all occurrences together"
    if sum(len(step.after) for step in spec.steps) * spec.occurrences > MAX_DEPENDENCIES:
        return f"more than {MAX_DEPENDENCIES} dependencies in all occurrences together"
    return None
