"""Estimate the memory that jobs take in the replicated state, and when no further one is accepted.

Load pattern: jobs of many steps or tasks come faster than they end. What a job takes depends on its
tasks and on its payload, so a limit on the number of jobs bounds nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define

from hornbeamreach.registry import Registry
from hornbeamreach.tables.workload import StepJob, StepJobSpec

# Objects with their entries in dictionaries, in a 64-bit process.
JOB_BYTES = 2_000
STEP_BYTES = 700
TASK_BYTES = 400
# Room frees as jobs end, and ended ones are forgotten minutes later.
FULL_STATE_RETRY_MS = 3_000


def spec_bytes(spec: StepJobSpec) -> int:
    """Return about how many bytes a job takes once all of its tasks were started."""
    tasks = sum(step.count for step in spec.steps) * spec.occurrences
    steps = len(spec.steps) * STEP_BYTES
    return JOB_BYTES + len(spec.payload) + steps + tasks * TASK_BYTES


def job_bytes(job: StepJob) -> int:
    """Return about how many bytes a stored job takes or will take."""
    if not job.ended:
        return spec_bytes(job.spec)
    return JOB_BYTES + len(job.spec.steps) * STEP_BYTES + len(job.tasks) * TASK_BYTES


def jobs_bytes(jobs: Iterable[StepJob]) -> int:
    """Return about how many bytes stored jobs take or will take."""
    return sum(job_bytes(job) for job in jobs)


@define(frozen=True, kw_only=True)
class StateRoom:
    """Describe a new job beside what the state holds."""

    stored_bytes: int
    job_bytes: int
    limit_bytes: int


RoomPolicy = Callable[[StateRoom], bool]
room_policies: Registry[RoomPolicy] = Registry("state room policy")


@room_policies.register("unlimited")
def has_room_always(room: StateRoom) -> bool:
    """Return that there is room for any job: the plain baseline."""
    return True


@room_policies.register("bytes")
def has_room_in_bytes(room: StateRoom) -> bool:
    """Return whether a job fits beside the stored ones, or is the only one.

    A job within the limits of one job is never refused for good.
    """
    return not room.stored_bytes or room.stored_bytes + room.job_bytes <= room.limit_bytes
