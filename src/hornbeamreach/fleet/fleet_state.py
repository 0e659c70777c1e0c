"""State of the fleet in one scheduler: minions, reserved runs, ready steps and use by team."""

from __future__ import annotations

from collections import ChainMap
from collections.abc import Iterable, Mapping

from attrs import define, field

from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.team_shares import TeamShares
from hornbeamreach.fleet.unsettled_starts import UnsettledStarts
from hornbeamreach.fleet.waiting_steps import WaitingSteps
from hornbeamreach.systems.accepted_queues import (
    names_by_address,
    pool_of,
    queue_row,
    team_row,
)
from hornbeamreach.systems.demand_forecast import ArrivalHistory
from hornbeamreach.systems.inherited_leases import InheritedLease, InheritedStart
from hornbeamreach.systems.job_progress import (
    ReadyStep,
    objective_ms,
    ready_steps,
    work_core_ms,
)
from hornbeamreach.systems.maintenance_wave import vms_to_keep_free
from hornbeamreach.systems.queued_work import JobWork, QueuedWork
from hornbeamreach.systems.run_times import RunTimeHistory
from hornbeamreach.systems.stragglers import record_run_failure
from hornbeamreach.systems.suspect_isolation import is_suspect, suspect_tasks
from hornbeamreach.systems.task_placement import usable_minions
from hornbeamreach.systems.team_limits import TeamResourceUse, has_limits
from hornbeamreach.tables.declared import DeclaredTable, QueueRow, TeamRow
from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import (
    RunEnd,
    StepJob,
    StepSpec,
    TaskRecord,
    parse_task_key,
    step_key,
    task_key,
)


@define(frozen=True, kw_only=True)
class UnrecordedEnd:
    """Represent a run's end that is not in the log yet."""

    job_id: str
    key: str
    run: int
    end: RunEnd
    checkpoint: str = ""


@define(kw_only=True, eq=False)
class FleetState:
    """Track minions, runs and ready steps, from the proposed state, reports and polls."""

    proposed: ProposedState
    minions: dict[str, Minion] = field(factory=dict)
    # Runs reserved on minions that have not reported to this scheduler, by minion and task.
    unattached_runs: dict[str, dict[str, ReservedRun]] = field(factory=dict)
    ready: dict[str, list[ReadyStep]] = field(factory=dict)
    # Ready jobs are numbered in the order in which they became ready.
    ready_numbers: dict[str, int] = field(factory=dict)
    last_ready_number: int = 0
    # Jobs whose ready steps were computed again since they were indexed in `waiting`.
    refreshed_jobs: set[str] = field(factory=set)
    # The ready steps in order; the planner sets the ordering.
    waiting: WaitingSteps = field(factory=WaitingSteps)
    team_use: TeamResourceUse = field(factory=TeamResourceUse)
    # Use and deficits of teams by pool in this term.
    shares: TeamShares = field(factory=TeamShares)
    # Runs by job and task key, to stop a job's runs and to count the runs of a step.
    runs_by_job: dict[str, dict[str, ReservedRun]] = field(factory=dict)
    # Jobs whose ready steps must be computed again.
    stale_jobs: set[str] = field(factory=set)
    # Pools in which a start may have become possible since they were last planned.
    changed_pools: set[str] = field(factory=set)
    all_pools_changed: bool = False
    unrecorded_ends: list[UnrecordedEnd] = field(factory=list)
    # Ended runs under which a crash is to be counted, and runs whose tasks are cleared.
    unrecorded_crashes: list[ReservedRun] = field(factory=list)
    unrecorded_clearings: list[ReservedRun] = field(factory=list)
    # Minions that have started again under their ids, or may have.
    unrecorded_returns: set[str] = field(factory=set)
    starts: UnsettledStarts = field()
    # VMs that a move of an earlier scheduler may still end everything on.
    inherited_moves: set[str] = field(factory=set)
    # Minions where a run failed or was a straggler, by task name.
    failed_on: dict[str, set[str]] = field(factory=dict)
    # Minions that crashed under a task, by job and task key.
    crashed_on: dict[str, dict[str, set[str]]] = field(factory=dict)
    # Keys of waiting suspects, by job; of a gang, only the members under which minions crashed.
    suspect_tasks: dict[str, frozenset[str]] = field(factory=dict)
    # Job for whose suspects a minion is held, by minion; each planning pass decides it anew.
    held_minions: dict[str, str] = field(factory=dict)
    # Arrivals of jobs in this term.
    arrivals: ArrivalHistory = field(factory=ArrivalHistory)
    # Run times of tasks that ended in this term.
    run_times: RunTimeHistory = field(factory=RunTimeHistory)
    # The table that `run_times` follow.
    table: DeclaredTable = field(factory=DeclaredTable)
    # Work of short jobs that no run has begun yet.
    queued_work: QueuedWork = field(factory=QueuedWork)

    @starts.default
    def _default_starts(self) -> UnsettledStarts:
        workload = self.proposed.workload
        return UnsettledStarts(
            last_number=workload.last_start_number, recorded_through=workload.settled_through
        )

    def record_arrival(self, job: StepJob, now_ms: int) -> None:
        """Record the work of a newly accepted job that may start at once."""
        if not job.spec.lasting and not job.spec.timed:
            # Its queue's run times may be known better when the arrival is used for a forecast.
            work = round(work_core_ms(job.spec))
            self.arrivals.record(self.pool_of(job), now_ms, work, job.queue)
            self._update_queued_work(job.job_id, job, job.accepted_ms)

    def job(self, job_id: str) -> StepJob | None:
        """Return a job of the proposed state."""
        return self.proposed.workload.jobs.get(job_id)

    def step_of(self, run: ReservedRun) -> StepSpec | None:
        """Return the step that a run belongs to."""
        job = self.job(run.job_id)
        return job.spec.steps[parse_task_key(run.key)[1]] if job else None

    def task_needs(self, name: str) -> Resources | None:
        """Return the capacity that a task takes by its full name, or None if that is not known."""
        job_id, _, key = name.partition(".")
        job = self.job(job_id)
        try:
            return job.spec.steps[parse_task_key(key)[1]].needs if job else None
        except (ValueError, IndexError):
            return None

    def pool_of(self, job: StepJob) -> str:
        """Return the pool in which a job runs."""
        return pool_of(self.proposed.state, job)

    def queue_of(self, job: StepJob) -> QueueRow | None:
        """Return the row by which a job runs."""
        return queue_row(self.proposed.state, job)

    def team_of(self, team: str) -> TeamRow | None:
        """Return the row by which a team's jobs run."""
        return team_row(self.proposed.state, team)

    def team_rows(self) -> Mapping[str, TeamRow]:
        """Return the rows of all teams, also of removed ones that have jobs."""
        state = self.proposed.state
        return ChainMap(state.table.teams, state.workload.former_teams)

    # Minions

    def vms_kept_free(self) -> set[str]:
        """Return the VMs that get no work, for orders that may be carried out at any time."""
        return vms_to_keep_free(self.proposed.workload.waves.values()) | self.inherited_moves

    def usable_minions(
        self, minions: Iterable[Minion], now_ms: int, kept_free: set[str] | None = None
    ) -> list[Minion]:
        """List the minions that may get new work now.

        `kept_free` is the result of `vms_kept_free`, for callers with many pools.
        """
        if kept_free is None:
            kept_free = self.vms_kept_free()
        evacuated = self.proposed.workload.evacuated
        return usable_minions(minions, now_ms, evacuated=evacuated, kept_free=kept_free)

    def lasting_runs_on(self, vm: str) -> list[ReservedRun]:
        """Return the long-running tasks' runs on a VM, also on minions not heard of yet."""
        found = [
            run
            for minion in self.minions.values()
            if minion.vm == vm and not minion.gone
            for run in minion.runs.values()
        ]
        for runs in self.unattached_runs.values():
            found += [run for run in runs.values() if run.vm == vm]
        return [run for run in found if run.lasting]

    # Reservations

    def reserve(self, run: ReservedRun) -> None:
        """Reserve a run's resources on its minion and count it for its team and job."""
        minion = self.minions.get(run.minion)
        if minion is not None and minion.report.born_ms == run.born_ms:
            minion.reserve(run)
            run.vm = minion.report.machine
        else:
            self.unattached_runs.setdefault(run.minion, {})[run.name] = run
        self.team_use.add(run.team, run.charged)
        job = self.job(run.job_id)
        run.pool = self.pool_of(job) if job else ""
        self.shares.add(run)
        self.runs_by_job.setdefault(run.job_id, {})[run.key] = run

    def find_run(self, job_id: str, key: str) -> ReservedRun | None:
        """Return the reserved run of a task."""
        return self.runs_by_job.get(job_id, {}).get(key)

    def end_run(
        self, run: ReservedRun, end: RunEnd, *, checkpoint: str = "", now_ms: int = 0
    ) -> None:
        """Release a run's resources and keep its end for the log."""
        if self.find_run(run.job_id, run.key) is not run:
            return
        self.starts.settle(run)
        minion = self.minions.get(run.minion)
        if minion is not None:
            minion.release(run.name)
            self.changed_pools.add(minion.report.pool)
            self._record_outcome(minion, run, end, now_ms)
        self.unattached_runs.get(run.minion, {}).pop(run.name, None)
        self.team_use.remove(run.team, run.charged)
        self.shares.remove(run)
        if has_limits(self.team_of(run.team)):
            # The team's jobs may wait in any pool.
            self.all_pools_changed = True
        runs = self.runs_by_job[run.job_id]
        del runs[run.key]
        if not runs:
            del self.runs_by_job[run.job_id]
        is_crash = run.crash is not None and not run.awaits_answer
        if is_crash and end in (RunEnd.LOST, RunEnd.LEASE_LAPSED):
            end = RunEnd.CRASHED
            self.record_crash(run)
        self.unrecorded_ends.append(
            UnrecordedEnd(
                job_id=run.job_id, key=run.key, run=run.run, end=end, checkpoint=checkpoint
            )
        )

    def record_crash(self, run: ReservedRun) -> None:
        """Keep the crash under an ended run for the log, unless it is no further evidence.

        A minion that did not answer an order may have been down before. One such crash makes the
        task a suspect, whose next orders go to minions that have just answered.
        """
        assert run.crash is not None
        is_evidence = run.crash.begun or run.minion_checked or run.recovered
        if is_evidence or not self._has_counted_crash(run):
            self.unrecorded_crashes.append(run)

    def _has_counted_crash(self, run: ReservedRun) -> bool:
        job = self.job(run.job_id)
        task = job.tasks.get(run.key) if job else None
        if task is not None and task.crashes:
            return True
        return any(other.name == run.name for other in self.unrecorded_crashes)

    def _record_outcome(self, minion: Minion, run: ReservedRun, end: RunEnd, now_ms: int) -> None:
        if end in (RunEnd.DONE, RunEnd.FAILED):
            self.crashed_on.get(run.job_id, {}).pop(run.key, None)
        if end is RunEnd.DONE:
            minion.failing_jobs.clear()
            self.failed_on.pop(run.name, None)
            self._record_run_time(run, now_ms)
        elif end is RunEnd.FAILED and not run.lasting:
            record_run_failure(minion, run.job_id, now_ms)
            self.failed_on.setdefault(run.name, set()).add(run.minion)
        elif end is RunEnd.CRASHED:
            crashed_on = self.crashed_on.setdefault(run.job_id, {})
            crashed_on.setdefault(run.key, set()).add(run.minion)

    def _record_run_time(self, run: ReservedRun, now_ms: int) -> None:
        job = self.job(run.job_id)
        # A run that resumed from a checkpoint did only a part of its task, and one that an earlier
        # scheduler started began before `started_ms`.
        is_whole = run.phase is RunPhase.RUNNING and not run.checkpoint and not run.recovered
        if job is None or run.lasting or not run.expected_ms or not is_whole:
            return
        cores = run.needs.cpu_millis / 1_000
        self.run_times.record(
            job.queue,
            declared_core_ms=cores * run.expected_ms,
            taken_core_ms=cores * (now_ms - run.started_ms),
        )

    def mark_suspect(self, run: ReservedRun) -> None:
        """Keep further runs of other jobs from a reserved run's minion."""
        minion = self.minions.get(run.minion)
        if minion is not None and minion.runs.get(run.name) is run:
            minion.mark_suspect(run)
        else:
            run.suspect = True

    def clear_suspect(self, run: ReservedRun) -> None:
        """Let runs of other jobs share a reserved run's minion again."""
        minion = self.minions.get(run.minion)
        if minion is not None and minion.runs.get(run.name) is run:
            minion.clear_suspect(run)
        else:
            run.suspect = False

    def count_siblings(self, job: StepJob, occurrence: int, step: int) -> dict[str, int]:
        """Count the reserved runs of one occurrence of a step, by minion."""
        counts: dict[str, int] = {}
        prefix = f"{step_key(occurrence, step)}."
        for key, run in self.runs_by_job.get(job.job_id, {}).items():
            if key.startswith(prefix):
                counts[run.minion] = counts.get(run.minion, 0) + 1
        return counts

    def step_runs(self, run: ReservedRun) -> list[ReservedRun]:
        """Return the reserved runs of a run's step and occurrence, itself included."""
        occurrence, step, _ = parse_task_key(run.key)
        prefix = f"{step_key(occurrence, step)}."
        runs = self.runs_by_job.get(run.job_id, {})
        return [other for key, other in runs.items() if key.startswith(prefix)]

    def step_tasks(
        self, job: StepJob, run: ReservedRun
    ) -> tuple[dict[str, ReservedRun], list[str]]:
        """Return the job's runs, and the keys of all tasks of the run's step."""
        occurrence, number, _ = parse_task_key(run.key)
        keys = [task_key(occurrence, number, n) for n in range(job.spec.steps[number].count)]
        return self.runs_by_job.get(run.job_id, {}), keys

    # Ready steps

    def take_changed_pools(self) -> set[str] | None:
        """Return the pools in which a start may have become possible, None for all."""
        changed = None if self.all_pools_changed else self.changed_pools
        self.all_pools_changed, self.changed_pools = False, set()
        return changed

    def refresh_ready(self, wall_ms: int) -> None:
        """Recompute the ready steps of stale jobs."""
        table = self.proposed.state.table
        if table is not self.table:
            self.run_times.follow(names_by_address(self.table), names_by_address(table))
            self.table = table
        for job_id in self.stale_jobs:
            job = self.job(job_id)
            if job is None or job.ended:
                self.crashed_on.pop(job_id, None)
            self._update_queued_work(job_id, job, wall_ms)
            steps = ready_steps(job, wall_ms) if job else []
            suspects = suspect_tasks(job) if job and steps else None
            if suspects:
                self.suspect_tasks[job_id] = suspects
            else:
                self.suspect_tasks.pop(job_id, None)
            self._set_ready(job_id, steps)
        self.refreshed_jobs |= self.stale_jobs
        self.stale_jobs.clear()

    def _set_ready(self, job_id: str, steps: list[ReadyStep]) -> None:
        if not steps:
            self.ready.pop(job_id, None)
            self.ready_numbers.pop(job_id, None)
            return
        if job_id not in self.ready:
            self.last_ready_number += 1
            self.ready_numbers[job_id] = self.last_ready_number
        self.ready[job_id] = steps

    def _update_queued_work(self, job_id: str, job: StepJob | None, wall_ms: int) -> None:
        if job is None or job.ended or job.spec.lasting or job.spec.timed:
            self.queued_work.update(job_id, None, wall_ms)
            return
        counts = [
            step.count - job.done_counts.get(step_key(0, number), 0)
            for number, step in enumerate(job.spec.steps)
        ]
        for key in self.runs_by_job.get(job_id, ()):
            counts[parse_task_key(key)[1]] -= 1
        core_ms = sum(
            count * step.needs.cpu_millis * step.estimate_ms / 1_000
            for count, step in zip(counts, job.spec.steps, strict=True)
        )
        queue = self.queue_of(job)
        work = JobWork(
            pool=self.pool_of(job),
            team=job.team,
            rank=queue.rank if queue else 0,
            core_ms=core_ms * self.run_times.factor(job.queue),
            # A new job goes ahead of late ones.
            until_ms=job.accepted_ms + objective_ms(job.spec, queue),
        )
        self.queued_work.update(job_id, work, wall_ms)

    # Start of a term

    def recover_runs(self, now_ms: int) -> None:
        """Reserve the runs of earlier schedulers, as UNKNOWN until their minions are polled."""
        for job in self.proposed.workload.jobs.values():
            self.stale_jobs.add(job.job_id)
            for key, task in job.tasks.items():
                if task.minion:
                    self.reserve(self._recovered_run(job, key, task, now_ms))

    def keep_unsettled_runs(
        self, inherited_lease: InheritedLease, longest_lease_ms: int, now_ms: int
    ) -> None:
        """Keep recovered runs for as long as their minions may hold them, as the log tells."""
        settled_through = self.proposed.workload.settled_through
        unsettled = []
        for runs in self.runs_by_job.values():
            for run in runs.values():
                start = InheritedStart(number=run.start_number, settled_through=settled_through)
                lease_ms = inherited_lease(start, longest_lease_ms)
                if lease_ms:
                    run.carried_until_ms = now_ms + lease_ms
                    unsettled.append(run)
        self.starts.inherit(unsettled)

    def _recovered_run(self, job: StepJob, key: str, task: TaskRecord, now_ms: int) -> ReservedRun:
        run = build_run(
            job,
            key,
            task.run,
            minion=task.minion,
            born_ms=task.born_ms,
            phase=RunPhase.UNKNOWN,
            now_ms=now_ms,
        )
        run.recovered = True
        run.ordered = True
        run.vm = task.vm
        run.start_number = task.start_number
        return run


def build_run(
    job: StepJob,
    key: str,
    run: int,
    *,
    minion: str,
    born_ms: int,
    phase: RunPhase,
    now_ms: int,
) -> ReservedRun:
    """Build the reservation of a run from its job's specification."""
    step = job.spec.steps[parse_task_key(key)[1]]
    return ReservedRun(
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
        suspect=is_suspect(job, key),
        latency_target_ms=step.latency_target_ms,
        phase=phase,
        outcome_known_ms=now_ms,
        started_ms=now_ms,
        last_progress_ms=now_ms,
        expected_ms=step.estimate_ms,
    )
