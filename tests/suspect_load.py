"""A pool that is kept full while some tasks crash each minion that starts them.

Replays crashes with the real planner, in virtual time.
"""

from __future__ import annotations

import heapq
import random

from attrs import define, field

from hornbeamreach.control.workload_commands import AcceptJob, RecordRuns
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.systems.crash_evidence import clear_bystanders
from hornbeamreach.systems.suspect_isolation import is_suspect
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.minions import ReservedRun, RunPhase
from hornbeamreach.tables.workload import RunEnd, StepJobSpec, StepJobState, StepSpec

from . import builders

PASS_MS = 20
START_DELAY_MS = 10
CRASH_DELAY_MS = 10
DOWNTIME_MS = 4_000
# A run ends after its estimate times a factor in this range.
WORK_FACTORS = (0.5, 1.8)
ARRIVALS_PER_PASS = 3


@define(kw_only=True)
class Crash:
    """Hold one crash of a minion."""

    at_ms: int
    minion: str
    job_ids: list[str]
    deadly_job: str


@define(kw_only=True)
class SuspectLoad:
    """Run jobs on the minions of one pool, and crash those that start a deadly job's tasks."""

    minion_count: int = 8
    seed: int = 1
    # Whether the ends of crashed runs make their tasks suspects, or nothing is known of crashes.
    counts_crashes: bool = True
    checks_isolation: bool = True
    measures_room: bool = False
    # Whether the conviction of a job clears the tasks that crashed beside it only.
    clears_neighbours: bool = False
    # A job is given up after a crash that only its own runs were in, or after this many.
    max_crashes: int = 40
    deadly_jobs: set[str] = field(factory=set)
    now_ms: int = 1_000
    fleet: FleetState = field(init=False)
    planner: Planner = field(init=False)
    rng: random.Random = field(init=False)
    # Time, order number and run of the ends to come.
    ends: list[tuple[int, int, ReservedRun]] = field(factory=list)
    # Time of return, minion and runs of the minions that crashed.
    down: list[tuple[int, str, list[ReservedRun]]] = field(factory=list)
    crashes: list[Crash] = field(factory=list)
    started: int = 0
    done_runs: int = 0
    accepted: int = 0
    # How long each task that crashed waited from the return of its minion to its next start.
    waits_ms: list[int] = field(factory=list)
    crashed_ms: dict[str, int] = field(factory=dict)
    failed_ms: dict[str, int] = field(factory=dict)
    # Minion ms in which minions were exclusive or held, and their free core ms in that time.
    closed_minion_ms: int = 0
    unused_core_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        proposed = ProposedState.of(ControlState(table=builders.step_table()))
        self.fleet = FleetState(proposed=proposed)
        for number in range(self.minion_count):
            self._add_minion(f"i-{number}")
        self.planner = Planner(fleet=self.fleet)

    def _add_minion(self, name: str) -> None:
        number = int(name.partition("-")[2])
        minion = builders.minion(name, born_ms=self.now_ms, rack=f"r-{number % 3}")
        minion.last_report_ms = minion.polled_ms = self.now_ms
        self.fleet.minions[name] = minion

    def accept(self, *steps: StepSpec, **fields: object) -> str:
        """Accept a job and return its id."""
        self.accepted += 1
        job_id = f"{self.accepted:016x}"
        spec: StepJobSpec = builders.step_job(*steps, **fields)
        self.fleet.proposed.apply(
            AcceptJob(
                job_id=job_id,
                queue="queue-a",
                pool="pool-a",
                team="",
                spec=spec,
                at_ms=self.now_ms,
            )
        )
        self.fleet.stale_jobs.add(job_id)
        return job_id

    def make_suspect(self, job_id: str, key: str = "0.0.0", minion: str = "i-gone") -> None:
        """Record that a minion crashed under a task that waits."""
        job = self.fleet.job(job_id)
        assert job is not None
        self.fleet.proposed.apply(
            RecordRuns(starts=[(job_id, key, 1, minion, 1)], at_ms=self.now_ms)
        )
        job.tasks[key].minion = ""
        job.tasks[key].crashes = 1
        self.fleet.stale_jobs.add(job_id)

    def fill(self) -> None:
        """Accept small jobs until more waits than fits."""
        waiting = sum(len(s.indexes) for steps in self.fleet.ready.values() for s in steps)
        for _ in range(ARRIVALS_PER_PASS if waiting < 10 * self.minion_count else 0):
            self.accept(
                builders.step(
                    self.rng.randint(2, 8),
                    cpu_millis=self.rng.choice((1_000, 2_000)),
                    estimate_ms=self.rng.randint(500, 2_000),
                )
            )

    def run(self, duration_ms: int, *, keep_full: bool = True) -> None:
        """Let time pass."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            if keep_full:
                self.fill()
            self.step()

    def step(self) -> list[ReservedRun]:
        """Let one planning pass happen, and return its starts."""
        while self.down and self.down[0][0] <= self.now_ms:
            _, name, runs = heapq.heappop(self.down)
            self._return_minion(name, runs)
        while self.ends and self.ends[0][0] <= self.now_ms:
            _, _, run = heapq.heappop(self.ends)
            self._end(run)
        for minion in self.fleet.minions.values():
            minion.last_report_ms = self.now_ms
        starts = self.planner.plan(self.now_ms, self.now_ms)
        self.fleet.proposed.apply(
            RecordRuns(
                starts=[(r.job_id, r.key, r.run, r.minion, r.born_ms) for r in starts],
                at_ms=self.now_ms,
            )
        )
        for run in starts:
            self._start(run)
        if self.checks_isolation:
            self.check_isolation()
        if self.measures_room:
            self._measure()
        self.now_ms += PASS_MS
        return starts

    def _start(self, run: ReservedRun) -> None:
        crashed_ms = self.crashed_ms.pop(run.name, None)
        if crashed_ms is not None:
            self.waits_ms.append(self.now_ms - crashed_ms)
        run.phase, run.started_ms = RunPhase.RUNNING, self.now_ms + START_DELAY_MS
        self.fleet.stale_jobs.add(run.job_id)
        if run.job_id in self.deadly_jobs:
            after_ms = START_DELAY_MS + CRASH_DELAY_MS
        elif run.lasting:
            return
        else:
            after_ms = START_DELAY_MS + int(run.expected_ms * self.rng.uniform(*WORK_FACTORS))
        self.started += 1
        heapq.heappush(self.ends, (self.now_ms + after_ms, self.started, run))

    def _end(self, run: ReservedRun) -> None:
        is_there = self.fleet.find_run(run.job_id, run.key) is run
        if not is_there or self.fleet.minions[run.minion].gone:
            return
        if run.job_id in self.deadly_jobs:
            self._crash(run)
            return
        self.done_runs += 1
        self._record(run, RunEnd.DONE)

    def _crash(self, run: ReservedRun) -> None:
        minion = self.fleet.minions[run.minion]
        runs = list(minion.runs.values())
        job_ids = sorted({r.job_id for r in runs})
        self.crashes.append(
            Crash(at_ms=self.now_ms, minion=run.minion, job_ids=job_ids, deadly_job=run.job_id)
        )
        # It answers no poll until it is back, and its runs are kept until then.
        minion.gone, minion.failed_calls = True, 1
        heapq.heappush(self.down, (self.now_ms + DOWNTIME_MS, run.minion, runs))

    def _return_minion(self, name: str, runs: list[ReservedRun]) -> None:
        for run in runs:
            if self.fleet.find_run(run.job_id, run.key) is not run:
                continue
            self._record(run, RunEnd.CRASHED)
            self.crashed_ms[run.name] = self.now_ms
        self._give_up(name)
        self._add_minion(name)

    def _record(self, run: ReservedRun, end: RunEnd) -> None:
        self.fleet.end_run(run, end, now_ms=self.now_ms)
        self.fleet.unrecorded_ends.clear()
        job = self.fleet.job(run.job_id)
        assert job is not None
        task = job.tasks[run.key]
        if end is RunEnd.DONE:
            self.fleet.proposed.apply(
                RecordRuns(ends=[(run.job_id, run.key, run.run, "done", "")], at_ms=self.now_ms)
            )
            task.crashes = 0
        else:
            task.minion = ""
            task.crashes += int(self.counts_crashes)
            crashes = sum(crash.minion == run.minion for crash in self.crashes)
            task.crashed_incarnations.append(f"{run.minion}@{crashes}")
        self.fleet.stale_jobs.add(run.job_id)

    def _give_up(self, name: str) -> None:
        crash = next(c for c in reversed(self.crashes) if c.minion == name)
        of_job = [c for c in self.crashes if crash.deadly_job in c.job_ids]
        is_solo = self.counts_crashes and crash.job_ids == [crash.deadly_job]
        if is_solo or len(of_job) >= self.max_crashes:
            self.failed_ms[crash.deadly_job] = self.now_ms
            self.end_job(crash.deadly_job, StepJobState.FAILED)
            self.fleet.proposed.workload.jobs[crash.deadly_job].failure_reason = "crashes"
            if self.clears_neighbours:
                self._clear_neighbours()

    def _clear_neighbours(self) -> None:
        """Clear the tasks of jobs that crashed only beside jobs that are given up."""
        jobs = self.fleet.proposed.workload.jobs.values()
        clear_bystanders(jobs)
        for job in jobs:
            for key in job.tasks:
                run = self.fleet.find_run(job.job_id, key)
                if run is not None and not is_suspect(job, key):
                    self.fleet.clear_suspect(run)
            self.fleet.stale_jobs.add(job.job_id)

    def end_job(self, job_id: str, state: StepJobState) -> None:
        """End a job and its runs."""
        job = self.fleet.job(job_id)
        assert job is not None
        job.state = state
        for run in list(self.fleet.runs_by_job.get(job_id, {}).values()):
            self.fleet.end_run(run, RunEnd.STOPPED)
        self.fleet.unrecorded_ends.clear()
        self.fleet.stale_jobs.add(job_id)

    def is_suspect(self, run: ReservedRun) -> bool:
        """Return whether a minion crashed under the run's task and it is not cleared."""
        job = self.fleet.job(run.job_id)
        return job is not None and run.key in job.tasks and job.tasks[run.key].crashes > 0

    def check_isolation(self) -> None:
        """Assert that no suspect shares a minion with another job."""
        for minion in self.fleet.minions.values():
            if minion.gone:
                continue
            job_ids = {run.job_id for run in minion.runs.values()}
            suspects = [run.name for run in minion.runs.values() if self.is_suspect(run)]
            assert not suspects or len(job_ids) == 1, (minion.minion_id, job_ids, suspects)

    def _measure(self) -> None:
        for minion in self.fleet.minions.values():
            if not minion.gone and (minion.suspects or minion.minion_id in self.fleet.held_minions):
                self.closed_minion_ms += PASS_MS
                self.unused_core_ms += PASS_MS * minion.free().cpu_millis // 1_000

    def neighbours_hit(self) -> int:
        """Count how often another job was in a crash of a deadly job."""
        return sum(len(set(c.job_ids) - self.deadly_jobs) for c in self.crashes)

    def held(self) -> dict[str, str]:
        """Return the job that each held minion is held for."""
        return self.fleet.held_minions

    def runs_on(self, minion: str) -> set[str]:
        """Return the jobs with runs on a minion."""
        return {run.job_id for run in self.fleet.minions[minion].runs.values()}

    def minions_of(self, job_id: str) -> set[str]:
        """Return the minions with runs of a job."""
        return {run.minion for run in self.fleet.runs_by_job.get(job_id, {}).values()}
