"""Step jobs, their tasks and maintenance waves: the workload part of the replicated state."""

from __future__ import annotations

import enum
import functools
from collections.abc import Iterator

from attrs import define, field

from hornbeamreach.tables.declared import QueueRow, TeamRow
from hornbeamreach.tables.resources import Resources


@define(frozen=True, kw_only=True)
class StepSpec:
    """Specify one step: `count` tasks with the same needs."""

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    # Numbers of the earlier steps whose tasks must all be done before this one starts.
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    # Maximum tasks of one occurrence of the step on one minion; 0 for no limit.
    max_per_minion: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    # Tail latency bound of a long-running task that serves its own users; 0 for none.
    latency_target_ms: int = 0
    # A filler uses the processor time that other tasks leave, so its processor needs are not
    # counted against the capacity.
    filler: bool = False
    # Maximum long-running tasks of the step that the scheduler itself may make unavailable at once;
    # 0 for no limit.
    may_miss: int = 0

    @functools.cached_property
    def needs(self) -> Resources:
        """Return the capacity that one task takes on a minion."""
        return Resources(
            cpu_millis=0 if self.filler else self.cpu_millis,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )


@define(frozen=True, kw_only=True)
class StepJobSpec:
    """Specify a job: its steps and, if they repeat, their due times."""

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return the number of times that the steps run."""
        return max(1, self.repetitions)

    @property
    def timed(self) -> bool:
        """Return whether the steps run at due times."""
        return self.repetitions > 0

    @functools.cached_property
    def lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    @functools.cached_property
    def critical_path_ms(self) -> int:
        """Return the estimated length of the longest chain of dependent steps, in ms."""
        lengths: list[int] = []
        for step in self.steps:
            before = max((lengths[number] for number in step.after), default=0)
            lengths.append(before + step.estimate_ms)
        return max(lengths, default=0)

    @functools.cached_property
    def work_core_ms(self) -> int:
        """Return the estimated processor time of one occurrence, in core ms."""
        return sum(step.count * step.cpu_millis * step.estimate_ms // 1_000 for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return the wall time at which an occurrence is due; 0 if it has no due time."""
        return self.first_due_ms + occurrence * self.interval_ms if self.timed else 0


class StepJobState(enum.Enum):
    """List the states of a step job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunEnd(enum.Enum):
    """List the ways in which a run of a task ends."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lapsed"
    # Another member of the gang ended.
    GANG_BROKEN = "broken"
    # The other members of the gang did not start in time.
    GANG_INCOMPLETE = "alone"
    # The run never began, or it ended with its minion for another reason than a crash.
    LOST = "lost"
    # The minion crashed while the run was there or may have been.
    CRASHED = "crashed"


def task_key(occurrence: int, step: int, index: int) -> str:
    """Return the key of a task within its job."""
    return f"{occurrence}.{step}.{index}"


def parse_task_key(key: str) -> tuple[int, int, int]:
    """Return the occurrence, step and index in a task key."""
    occurrence, step, index = key.split(".")
    return int(occurrence), int(step), int(index)


def step_key(occurrence: int, step: int) -> str:
    """Return the key of one occurrence of a step within its job."""
    return f"{occurrence}.{step}"


@define(frozen=True, kw_only=True)
class LapsedRun:
    """Record the latest run of a task whose lease lapsed; its minion may have crashed."""

    run: int
    minion: str
    born_ms: int
    vm: str
    # Wall times of the start and of the recorded lapse.
    started_ms: int
    at_ms: int


@define(kw_only=True)
class TaskRecord:
    """Record the durable state of a task that was started at least once."""

    run: int = 0
    # Minion and incarnation of the current run; empty while no run may exist.
    minion: str = ""
    born_ms: int = 0
    failures: int = 0
    # Minions that crashed under the task since it was last cleared of having caused a crash.
    crashes: int = 0
    # How many of them while the run was known to have begun.
    begun_crashes: int = 0
    # Latest run under which a crash was counted; each run counts at most once.
    crashed_run: int = 0
    # The incarnations of those crashes.
    crashed_incarnations: list[str] = field(factory=list)
    # VM of the minion and wall time of the start of the latest run.
    vm: str = ""
    started_ms: int = 0
    # Number of the latest start; 0 if it was recorded by an earlier build.
    start_number: int = 0
    lapsed: LapsedRun | None = None
    done: bool = False
    checkpoint: str = ""


@define(frozen=True, kw_only=True)
class AcceptedQueue:
    """Describe a queue to its accepted jobs, which may outlive its row in the table."""

    # Name, host and path prefix at the acceptance of its jobs; callers know only the latter two.
    name: str
    host: str
    path_prefix: str
    # Its latest row.
    row: QueueRow
    # Whether the table still has that row.
    declared: bool = True

    @property
    def address(self) -> tuple[str, str]:
        """Return the host and path prefix under which callers know its jobs."""
        return self.host, self.path_prefix


@define(kw_only=True)
class StepJob:
    """Represent an accepted job."""

    job_id: str
    queue: str
    pool: str
    team: str
    spec: StepJobSpec
    accepted_ms: int
    # Number of its `AcceptedQueue`; 0 in the state of earlier builds, until a table is applied.
    queue_number: int = 0
    # SHA-256 of the key that it was submitted with; empty without one and from earlier builds.
    key_hash: str = ""
    state: StepJobState = StepJobState.QUEUED
    ended_ms: int = 0
    # Why the scheduler gave the job up; empty otherwise.
    failure_reason: str = ""
    # task key -> record, for tasks that were started at least once
    tasks: dict[str, TaskRecord] = field(factory=dict)
    # step key -> number of tasks done
    done_counts: dict[str, int] = field(factory=dict)
    # step key -> run number of the gang's latest failure, which counts once for all members
    gang_failed_runs: dict[str, int] = field(factory=dict)

    @property
    def ended(self) -> bool:
        """Return whether the job's state is final."""
        return self.state not in (StepJobState.QUEUED, StepJobState.RUNNING)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return self.done_counts.get(step_key(occurrence, step), 0) >= self.spec.steps[step].count

    def ready_steps(self, occurrence: int) -> Iterator[int]:
        """Yield the unfinished steps of an occurrence whose predecessors are done."""
        for number, step in enumerate(self.spec.steps):
            if self.is_step_done(occurrence, number):
                continue
            if all(self.is_step_done(occurrence, earlier) for earlier in step.after):
                yield number

    def all_done(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.spec.occurrences)
            for step in range(len(self.spec.steps))
        )


@define(kw_only=True)
class MaintenanceWave:
    """Represent a wave of VM maintenance that takes at most `max_down` VMs out at once."""

    number: int
    machines: tuple[str, ...]
    max_down: int
    ordered_ms: int
    due_ms: int
    # VMs whose maintenance was ordered -> whether the order was confirmed
    ordered: dict[str, bool] = field(factory=dict)
    # VMs that returned to service, or that the platform refuses for this wave.
    finished: set[str] = field(factory=set)
    # VMs that are gone, until they are found again.
    gone: set[str] = field(factory=set)

    @property
    def completed(self) -> bool:
        """Return whether every VM of the wave is finished or gone."""
        return self.finished | self.gone >= set(self.machines)


@define(frozen=True, kw_only=True)
class EvacuationRequests:
    """Hold the latest requests to evacuate or restore one data centre that were carried out."""

    # Wall time of the latest one, later than that of any before it. It identifies the request.
    latest_ms: int = 0
    # Whether the latest one began the evacuation.
    begins: bool = False
    # Ids of the latest ones, to recognize repeats.
    request_ids: tuple[str, ...] = ()


@define(frozen=True, kw_only=True)
class PendingMove:
    """Represent the move of a VM that may not have taken effect yet."""

    pool: str
    # Wall time just before the order was sent.
    at_ms: int


@define(kw_only=True)
class Workload:
    """Hold the step jobs, the maintenance waves and the declaration in force."""

    # Version, as numbered by its author, and text of the declaration in force.
    declared_version: int = 0
    declared_text: bytes = b""
    jobs: dict[str, StepJob] = field(factory=dict)
    # Queues of the stored jobs, by number.
    queues: dict[int, AcceptedQueue] = field(factory=dict)
    last_queue_number: int = 0
    # Latest rows of teams that have jobs and are not declared any more.
    former_teams: dict[str, TeamRow] = field(factory=dict)
    # Job id -> time, for ids cancelled before a job of that id was accepted.
    tombstones: dict[str, int] = field(factory=dict)
    waves: dict[int, MaintenanceWave] = field(factory=dict)
    # VM -> wall time of its latest order, by any scheduler.
    machine_orders: dict[str, int] = field(factory=dict)
    # VM -> its latest move, until a scheduler knows that it can take no more effect.
    pending_moves: dict[str, PendingMove] = field(factory=dict)
    # Minion -> wall time at which a scheduler knew that it had started again under its id, or that
    # it may have.
    returns: dict[str, int] = field(factory=dict)
    # Number of the latest start of a run, and the number up to which every start was settled: its
    # leader knew which incarnation has the run, or recorded that its minion may have returned.
    last_start_number: int = 0
    settled_through: int = 0
    # Data centre -> wall time since which nothing may start there.
    evacuated: dict[str, int] = field(factory=dict)
    # Data centre -> wall time of the latest withdrawal of an evacuation.
    restored: dict[str, int] = field(factory=dict)
    # Latest requests by data centre, also those that changed nothing.
    evacuation_requests: dict[str, EvacuationRequests] = field(factory=dict)

    def latest_evacuation_ms(self, data_center: str) -> int:
        """Return the wall time that identifies the data centre's latest request, 0 without one."""
        requests = self.evacuation_requests.get(data_center)
        return requests.latest_ms if requests is not None else 0
