"""The books of one scheduler: minions, booked runs, ready steps and teams' use."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.fleet.state import AheadState
from hornbeamreach.systems.job_progress import ReadyStep, ready_steps
from hornbeamreach.systems.stragglers import record_run_failure
from hornbeamreach.systems.team_limits import TeamResourceUse
from hornbeamreach.tables.minions import BookedRun, Minion, RunPhase
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import (
    RunEnd,
    StepJob,
    StepSpec,
    TaskEntry,
    parse_task_key,
    step_key,
)


@define(frozen=True, kw_only=True)
class SeenEnd:
    """Hold an end that is known but not recorded yet."""

    job_id: str
    key: str
    run: int
    end: RunEnd
    checkpoint: str = ""


@define(kw_only=True, eq=False)
class Books:
    """Keep what follows from the view and from what minions said."""

    ahead: AheadState
    minions: dict[str, Minion] = field(factory=dict)
    # Runs booked on minions that this scheduler has not heard of, by minion.
    orphans: dict[str, dict[str, BookedRun]] = field(factory=dict)
    ready: dict[str, list[ReadyStep]] = field(factory=dict)
    use: TeamResourceUse = field(factory=TeamResourceUse)
    # Runs of each job, for cancels and siblings.
    runs_of: dict[str, dict[str, BookedRun]] = field(factory=dict)
    # Jobs whose ready steps must be worked out again.
    stale_jobs: set[str] = field(factory=set)
    seen_ends: list[SeenEnd] = field(factory=list)
    # Minions where a task failed, by task name.
    failed_on: dict[str, set[str]] = field(factory=dict)

    def job(self, job_id: str) -> StepJob | None:
        """Return a job of the view."""
        return self.ahead.workload.jobs.get(job_id)

    def step_of(self, run: BookedRun) -> StepSpec | None:
        """Return the step that a run belongs to."""
        job = self.job(run.job_id)
        return job.spec.steps[parse_task_key(run.key)[1]] if job else None

    def pool_of(self, job: StepJob) -> str:
        """Return the pool that a job's tasks go to now."""
        queue = self.ahead.state.table.queues.get(job.queue)
        return queue.pool if queue else job.pool

    # Booking

    def book(self, run: BookedRun) -> None:
        """Count a run on its minion, its team and its job."""
        minion = self.minions.get(run.minion)
        if minion is not None and minion.report.born_ms == run.born_ms:
            minion.book(run)
        else:
            self.orphans.setdefault(run.minion, {})[run.name] = run
        self.use.add(run.team, run.charged)
        self.runs_of.setdefault(run.job_id, {})[run.key] = run

    def find(self, job_id: str, key: str) -> BookedRun | None:
        """Return the booked run of a task."""
        return self.runs_of.get(job_id, {}).get(key)

    def end(self, run: BookedRun, end: RunEnd, *, checkpoint: str = "", now_ms: int = 0) -> None:
        """Give back what a run took and remember its end for the log."""
        if self.find(run.job_id, run.key) is not run:
            return
        minion = self.minions.get(run.minion)
        if minion is not None:
            minion.release(run.name)
            self._note_outcome(minion, run, end, now_ms)
        self.orphans.get(run.minion, {}).pop(run.name, None)
        self.use.remove(run.team, run.charged)
        runs = self.runs_of[run.job_id]
        del runs[run.key]
        if not runs:
            del self.runs_of[run.job_id]
        self.seen_ends.append(
            SeenEnd(job_id=run.job_id, key=run.key, run=run.run, end=end, checkpoint=checkpoint)
        )

    def _note_outcome(self, minion: Minion, run: BookedRun, end: RunEnd, now_ms: int) -> None:
        if end is RunEnd.DONE:
            minion.failing_jobs.clear()
            self.failed_on.pop(run.name, None)
        elif end is RunEnd.FAILED and not run.lasting:
            record_run_failure(minion, run.job_id, now_ms)
            self.failed_on.setdefault(run.name, set()).add(run.minion)

    def siblings(self, job: StepJob, occurrence: int, step: int) -> dict[str, int]:
        """Count the booked tasks of an occurrence of a step by minion."""
        counts: dict[str, int] = {}
        prefix = f"{step_key(occurrence, step)}."
        for key, run in self.runs_of.get(job.job_id, {}).items():
            if key.startswith(prefix):
                counts[run.minion] = counts.get(run.minion, 0) + 1
        return counts

    def step_runs(self, run: BookedRun) -> list[BookedRun]:
        """List the booked runs of the same occurrence of a run's step."""
        occurrence, step, _ = parse_task_key(run.key)
        prefix = f"{step_key(occurrence, step)}."
        runs = self.runs_of.get(run.job_id, {})
        return [other for key, other in runs.items() if key.startswith(prefix)]

    # Ready steps

    def refresh_ready(self, wall_ms: int) -> None:
        """Work out the ready steps of jobs that changed."""
        for job_id in self.stale_jobs:
            job = self.job(job_id)
            steps = ready_steps(job, wall_ms) if job else []
            if steps:
                self.ready[job_id] = steps
            else:
                self.ready.pop(job_id, None)
        self.stale_jobs.clear()

    # Start of a term

    def inherit(self, now_ms: int) -> None:
        """Book the runs that earlier schedulers left; their minions are asked first."""
        for job in self.ahead.workload.jobs.values():
            self.stale_jobs.add(job.job_id)
            for key, task in job.tasks.items():
                if task.minion:
                    self.book(self._inherited(job, key, task, now_ms))

    def _inherited(self, job: StepJob, key: str, task: TaskEntry, now_ms: int) -> BookedRun:
        return make_run(
            job,
            key,
            task.run,
            minion=task.minion,
            born_ms=task.born_ms,
            phase=RunPhase.UNKNOWN,
            now_ms=now_ms,
        )


def make_run(
    job: StepJob,
    key: str,
    run: int,
    *,
    minion: str,
    born_ms: int,
    phase: RunPhase,
    now_ms: int,
) -> BookedRun:
    """Build the booking of a run."""
    step = job.spec.steps[parse_task_key(key)[1]]
    return BookedRun(
        job_id=job.job_id,
        key=key,
        run=run,
        team=job.team,
        minion=minion,
        born_ms=born_ms,
        needs=step.needs,
        charged=Resources(
            cpu_millis=step.cpu_millis,
            memory_mb=step.memory_mb,
            accelerators=step.accelerators,
        ),
        lasting=step.lasting,
        filler=step.filler,
        latency_target_ms=step.latency_target_ms,
        phase=phase,
        settled_ms=now_ms,
        started_ms=now_ms,
        progressed_ms=now_ms,
        expected_ms=step.estimate_ms,
    )
