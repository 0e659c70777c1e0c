"""Jobs, workers and tasks, as the scheduling process of a data centre sees them."""

from __future__ import annotations

import enum
from collections import deque

from attrs import define, field

from hornbeamreach.tables.control_state import VmPhase
from hornbeamreach.tables.reports import JobSpec
from hornbeamreach.tables.resources import NOTHING, Resources


class JobState(enum.Enum):
    """Name the state of a job."""

    QUEUED = "queued"
    STARTED = "started"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"


# How a job says that it waits for capacity, and not for a permit.
WAITS_FOR_CAPACITY = "capacity"
FINAL_JOB_STATES = frozenset(
    {JobState.DONE, JobState.FAILED, JobState.CANCELLED, JobState.QUARANTINED}
)


def declared_resources(spec: JobSpec) -> Resources:
    """Return what a job's caller declared."""
    return Resources(
        cpu_millis=spec.cpu_millis, memory_mb=spec.memory_mb, accelerators=spec.accelerators
    )


@define(kw_only=True)
class JobRow:
    """Hold one unfinished job."""

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
    reserved: Resources = NOTHING
    used: Resources = NOTHING
    has_permit: bool = False
    heard_ms: int = 0
    failed_on: list[str] = field(factory=list)
    stopping: bool = False
    # A step of the job is being recorded or sent; no other may begin.
    busy: bool = False
    waits_for: str = ""

    def task_id(self) -> str:
        """Return the id of the present attempt's task."""
        return f"{self.id}.{self.attempt}"


@define(kw_only=True)
class WorkerRow:
    """Hold what is known of one worker."""

    vm: str
    pool: str
    rack: str
    capacity: Resources
    phase: VmPhase = VmPhase.IN_SERVICE
    phase_since_ms: int = 0
    up: bool = False
    boot_operation: str = ""
    reserved: Resources = NOTHING
    # Times and teams of recent failures on this worker, for telling whose fault they are.
    failures: deque[tuple[int, str]] = field(factory=deque)
    successes_ms: int = -1
    suspect_until_ms: int = 0
    suspicions: int = 0

    def free(self) -> Resources:
        """Return what is not reserved."""
        return self.capacity.minus(self.reserved)


@define(kw_only=True)
class JobTables:
    """Hold the jobs and workers of one data centre."""

    jobs: dict[str, JobRow] = field(factory=dict)
    # Those of the jobs that have been started; most of a long queue has not.
    started: dict[str, JobRow] = field(factory=dict)
    workers: dict[str, WorkerRow] = field(factory=dict)
    # queue -> team -> ids of the jobs that wait, oldest first
    waiting: dict[str, dict[str, deque[str]]] = field(factory=dict)
    # (pool, team) -> share milliseconds that the team had less than its entitlement
    deficits: dict[tuple[str, str], float] = field(factory=dict)
    deficits_settled_ms: int | None = None

    def enqueue(self, job: JobRow, *, first: bool = False) -> None:
        """Let a job wait in its queue."""
        self.jobs[job.id] = job
        self.started.pop(job.id, None)
        job.state = JobState.QUEUED
        line = self.waiting.setdefault(job.queue, {}).setdefault(job.team, deque())
        if first:
            line.appendleft(job.id)
        else:
            line.append(job.id)

    def leave_queue(self, job: JobRow) -> None:
        """Take a job out of the line of those that wait."""
        line = self.waiting.get(job.queue, {}).get(job.team)
        if line is not None and job.id in line:
            line.remove(job.id)

    def add_started(self, job: JobRow) -> None:
        """Count a job among the started ones."""
        job.state = JobState.STARTED
        self.jobs[job.id] = job
        self.started[job.id] = job

    def forget(self, job: JobRow) -> None:
        """Drop a job that has ended."""
        self.jobs.pop(job.id, None)
        self.started.pop(job.id, None)

    def reserve(self, job: JobRow, worker: WorkerRow, amount: Resources) -> None:
        """Reserve a worker's resources for a job."""
        job.worker, job.reserved = worker.vm, amount
        worker.reserved = worker.reserved.plus(amount)

    def release(self, job: JobRow) -> None:
        """Free what is reserved for a job."""
        worker = self.workers.get(job.worker)
        if worker is not None:
            worker.reserved = worker.reserved.minus(job.reserved)
        job.reserved, job.used = NOTHING, NOTHING
