"""Find the steps of a job that are ready to start, and compute the time that they need."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define

from hornbeamreach.tables.declared import QueueRow
from hornbeamreach.tables.workload import StepJob, StepJobSpec, task_key

# For jobs of a queue that was removed: the defaults of the table's columns.
DEFAULT_SLACK_FACTOR = 1.5
DEFAULT_TARGET_LATENCY_MS = 1_000
# A result is of use to its caller up to this multiple of the job's target duration.
USEFUL_DURATION_FACTOR = 3


@define(frozen=True, kw_only=True)
class ReadyStep:
    """Hold the tasks of a step in one occurrence that may start now."""

    job_id: str
    occurrence: int
    step: int
    indexes: tuple[int, ...]


def due_occurrences(spec: StepJobSpec, wall_ms: int) -> Iterator[int]:
    """Yield the occurrences that are due."""
    yield from range(_due_count(spec, wall_ms) if spec.timed else 1)


def _due_count(spec: StepJobSpec, wall_ms: int) -> int:
    """Return how many occurrences of a timed job are due."""
    since_first_ms = wall_ms - spec.first_due_ms
    if since_first_ms < 0:
        return 0
    if spec.interval_ms == 0:
        return spec.repetitions
    return min(spec.repetitions, since_first_ms // spec.interval_ms + 1)


def next_due_ms(spec: StepJobSpec, wall_ms: int) -> int | None:
    """Return the wall time at which the next occurrence is due, or None."""
    if not spec.timed:
        return None
    upcoming = _due_count(spec, wall_ms)
    return spec.due_ms(upcoming) if upcoming < spec.repetitions else None


def ready_steps(job: StepJob, wall_ms: int) -> list[ReadyStep]:
    """List the tasks that are neither done nor reserved and whose predecessors are done."""
    if job.ended:
        return []
    found = []
    for occurrence in due_occurrences(job.spec, wall_ms):
        for step in job.ready_steps(occurrence):
            indexes = _startable_indexes(job, occurrence, step)
            if indexes:
                found.append(
                    ReadyStep(job_id=job.job_id, occurrence=occurrence, step=step, indexes=indexes)
                )
    return found


def _startable_indexes(job: StepJob, occurrence: int, step: int) -> tuple[int, ...]:
    spec = job.spec.steps[step]
    found = []
    for index in range(spec.count):
        task = job.tasks.get(task_key(occurrence, step, index))
        if task is None or not (task.done or task.minion):
            found.append(index)
    if spec.gang and len(found) < spec.count:
        # Members of a gang start together, so the remaining runs must end first.
        return ()
    return tuple(found)


def critical_path_ms(spec: StepJobSpec) -> int:
    """Return the estimated length of the longest chain of dependent steps, in ms."""
    return spec.critical_path_ms


def remaining_critical_path_ms(job: StepJob, occurrence: int) -> int:
    """Return the estimated length of the longest chain of steps that are not done, in ms."""
    lengths: list[int] = []
    for number, step in enumerate(job.spec.steps):
        before = max((lengths[earlier] for earlier in step.after), default=0)
        own = 0 if job.is_step_done(occurrence, number) else step.estimate_ms
        lengths.append(before + own)
    return max(lengths, default=0)


def work_core_ms(spec: StepJobSpec) -> int:
    """Return the estimated processor time of one occurrence, in core ms."""
    return spec.work_core_ms


def queued_since_ms(job: StepJob, occurrence: int) -> int:
    """Return the wall time from which the target duration of an occurrence counts."""
    return job.spec.due_ms(occurrence) if job.spec.timed else job.accepted_ms


def objective_ms(spec: StepJobSpec, queue: QueueRow | None) -> int:
    """Return the target duration of a job in ms, from its submission or its due time."""
    slack = queue.slack_factor if queue else DEFAULT_SLACK_FACTOR
    latency = queue.target_latency_ms if queue else DEFAULT_TARGET_LATENCY_MS
    return int(slack * critical_path_ms(spec)) + latency
