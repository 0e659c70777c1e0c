"""Jobs and workers of a data centre, as its job scheduler tracks them."""

from __future__ import annotations

import enum
from collections import deque

from attrs import define, field

from hornbeamreach.tables.control_state import VmPhase
from hornbeamreach.tables.reports import JobSpec
from hornbeamreach.tables.resources import NO_RESOURCES, Resources


class JobState(enum.Enum):
    """List the states of a job."""

    QUEUED = "queued"
    STARTED = "started"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"


# Prefix of JobRow.waiting_for in jobs that wait for capacity, not for a permit.
WAITING_FOR_CAPACITY = "capacity"
FINAL_JOB_STATES = frozenset(
    {JobState.DONE, JobState.FAILED, JobState.CANCELLED, JobState.QUARANTINED}
)


def declared_resources(spec: JobSpec) -> Resources:
    """Return the resources that the caller declared for a job."""
    return Resources(
        cpu_millis=spec.cpu_millis, memory_mb=spec.memory_mb, accelerators=spec.accelerators
    )


@define(kw_only=True)
class JobRow:
    """Represent one unfinished job."""

    id: str
    team: str
    queue: str
    spec: JobSpec
    urgent: bool
    submitted_ms: int
    enqueued_ms: int
    state: JobState = JobState.QUEUED
    attempt: int = 0
    worker: str = ""
    started_ms: int = 0
    not_before_ms: int = 0
    checkpoint: str = ""
    cancelled: bool = False
    reserved: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    has_permit: bool = False
    last_report_ms: int = 0
    failed_workers: list[str] = field(factory=list)
    stopping: bool = False
    # A state transition of the job is being recorded or sent; no other may begin.
    in_transition: bool = False
    waiting_for: str = ""

    def task_id(self) -> str:
        """Return the task id of the current attempt."""
        return f"{self.id}.{self.attempt}"


@define(kw_only=True)
class WorkerRow:
    """Represent one worker."""

    vm: str
    pool: str
    rack: str
    capacity: Resources
    phase: VmPhase = VmPhase.IN_SERVICE
    phase_since_ms: int = 0
    up: bool = False
    boot_operation: str = ""
    reserved: Resources = NO_RESOURCES
    # Times and teams of recent failures, to attribute them to the worker or to the jobs.
    failures: deque[tuple[int, str]] = field(factory=deque)
    last_success_ms: int = -1
    suspect_until_ms: int = 0
    suspicion_count: int = 0

    def free(self) -> Resources:
        """Return the resources that are not reserved."""
        return self.capacity.minus(self.reserved)


@define(kw_only=True)
class JobTables:
    """Hold the jobs and workers of one data centre."""

    jobs: dict[str, JobRow] = field(factory=dict)
    # The jobs that are started, kept apart because most jobs of a long queue are not.
    started: dict[str, JobRow] = field(factory=dict)
    workers: dict[str, WorkerRow] = field(factory=dict)
    # queue -> team -> ids of queued jobs, oldest first
    queued: dict[str, dict[str, deque[str]]] = field(factory=dict)
    # pool -> team -> how far the team was below its entitled share, integrated over time, in
    # share ms
    deficits: dict[str, dict[str, float]] = field(factory=dict)
    deficits_updated_ms: int | None = None

    def enqueue(self, job: JobRow, *, first: bool = False) -> None:
        """Add a job to its queue, at the head if `first`."""
        self.jobs[job.id] = job
        self.started.pop(job.id, None)
        job.state = JobState.QUEUED
        job_ids = self.queued.setdefault(job.queue, {}).setdefault(job.team, deque())
        if first:
            job_ids.appendleft(job.id)
        else:
            job_ids.append(job.id)

    def dequeue(self, job: JobRow) -> None:
        """Remove a job from its queue."""
        job_ids = self.queued.get(job.queue, {}).get(job.team)
        if job_ids is not None and job.id in job_ids:
            job_ids.remove(job.id)

    def add_started(self, job: JobRow) -> None:
        """Add a job that has been started."""
        job.state = JobState.STARTED
        self.jobs[job.id] = job
        self.started[job.id] = job

    def remove(self, job: JobRow) -> None:
        """Remove a job that has ended."""
        self.jobs.pop(job.id, None)
        self.started.pop(job.id, None)

    def reserve(self, job: JobRow, worker: WorkerRow, amount: Resources) -> None:
        """Reserve a worker's resources for a job."""
        job.worker, job.reserved = worker.vm, amount
        worker.reserved = worker.reserved.plus(amount)

    def release(self, job: JobRow) -> None:
        """Release the resources reserved for a job."""
        worker = self.workers.get(job.worker)
        if worker is not None:
            worker.reserved = worker.reserved.minus(job.reserved)
        job.reserved, job.used = NO_RESOURCES, NO_RESOURCES
