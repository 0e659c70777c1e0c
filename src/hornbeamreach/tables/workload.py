"""Step jobs, their tasks and upkeep waves: the part of the replicated state that runs work."""

from __future__ import annotations

import enum
from collections.abc import Iterator

from attrs import define, field

from hornbeamreach.tables.resources import Resources


@define(frozen=True, kw_only=True)
class StepSpec:
    """Describe one step: `count` tasks with the same needs."""

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    # Numbers of earlier steps whose tasks must all be done first.
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    # At most this many tasks of one occurrence of the step on one minion; 0 for any number.
    max_per_minion: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    # Bound of the tail latency of a lasting task that serves its own users; 0 for none.
    latency_target_ms: int = 0
    # A filler gets what the other tasks leave and counts against no processor capacity.
    filler: bool = False
    # Lasting tasks of the step that our own actions may make unavailable at once.
    may_miss: int = 0

    @property
    def needs(self) -> Resources:
        """Return what one task takes of a minion's capacity."""
        return Resources(
            cpu_millis=0 if self.filler else self.cpu_millis,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )


@define(frozen=True, kw_only=True)
class StepJobSpec:
    """Describe a job: steps, and when they are due if they repeat."""

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.repetitions)

    @property
    def timed(self) -> bool:
        """Tell whether the steps run at due times."""
        return self.repetitions > 0

    @property
    def lasting(self) -> bool:
        """Tell whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return the wall time at which an occurrence is due."""
        return self.first_due_ms + occurrence * self.interval_ms if self.timed else 0


class StepJobState(enum.Enum):
    """Name the state of a step job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunEnd(enum.Enum):
    """Name how one run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    # Another member of the gang ended.
    BROKEN = "broken"
    # The other members of the gang did not come in time.
    ALONE = "alone"
    # The run never began, or its minion ended and with it the run.
    LOST = "lost"


def task_key(occurrence: int, step: int, index: int) -> str:
    """Name a task within its job."""
    return f"{occurrence}.{step}.{index}"


def parse_task_key(key: str) -> tuple[int, int, int]:
    """Return the occurrence, step and index that a task's name holds."""
    occurrence, step, index = key.split(".")
    return int(occurrence), int(step), int(index)


def step_key(occurrence: int, step: int) -> str:
    """Name one occurrence of a step within its job."""
    return f"{occurrence}.{step}"


@define(kw_only=True)
class TaskEntry:
    """Hold what must survive about one task that was started at least once."""

    run: int = 0
    # Minion and life that the present run is booked on; empty while no run may exist.
    minion: str = ""
    born_ms: int = 0
    failures: int = 0
    done: bool = False
    checkpoint: str = ""


@define(kw_only=True)
class StepJob:
    """Hold an accepted job."""

    job_id: str
    queue: str
    pool: str
    team: str
    spec: StepJobSpec
    accepted_ms: int
    state: StepJobState = StepJobState.QUEUED
    ended_ms: int = 0
    # Tasks that were started at least once, by task key.
    tasks: dict[str, TaskEntry] = field(factory=dict)
    # Tasks done, by step key.
    done_counts: dict[str, int] = field(factory=dict)
    # The run of a gang that failed last, by step key: its failures count once for all members.
    gang_failed_runs: dict[str, int] = field(factory=dict)

    @property
    def ended(self) -> bool:
        """Tell whether the job's state is final."""
        return self.state not in (StepJobState.QUEUED, StepJobState.RUNNING)

    def step_done(self, occurrence: int, step: int) -> bool:
        """Tell whether all tasks of a step are done."""
        return self.done_counts.get(step_key(occurrence, step), 0) >= self.spec.steps[step].count

    def steps_due(self, occurrence: int) -> Iterator[int]:
        """Yield the unfinished steps of an occurrence whose predecessors are done."""
        for number, step in enumerate(self.spec.steps):
            if self.step_done(occurrence, number):
                continue
            if all(self.step_done(occurrence, earlier) for earlier in step.after):
                yield number

    def all_done(self) -> bool:
        """Tell whether every task of every occurrence is done."""
        return all(
            self.step_done(occurrence, step)
            for occurrence in range(self.spec.occurrences)
            for step in range(len(self.spec.steps))
        )


@define(kw_only=True)
class UpkeepWave:
    """Hold the machines that must have their upkeep, at most `max_down` at once."""

    number: int
    machines: tuple[str, ...]
    max_down: int
    ordered_ms: int
    due_ms: int
    # Machines whose upkeep was ordered; the value tells whether it was confirmed.
    ordered: dict[str, bool] = field(factory=dict)
    # Machines that are back or gone for good.
    finished: set[str] = field(factory=set)

    @property
    def completed(self) -> bool:
        """Tell whether nothing is left to do."""
        return self.finished >= set(self.machines)


@define(kw_only=True)
class Workload:
    """Hold all step jobs, waves, and the declaration as its author wrote it."""

    # Version and text of the declaration in force, by the numbers of its author.
    declared_version: int = 0
    declared_text: bytes = b""
    jobs: dict[str, StepJob] = field(factory=dict)
    # Ids that were cancelled before a job of that id was accepted.
    tombstones: dict[str, int] = field(factory=dict)
    waves: dict[int, UpkeepWave] = field(factory=dict)
    # Wall time of the latest order for each machine, by whichever scheduler.
    machine_orders: dict[str, int] = field(factory=dict)
