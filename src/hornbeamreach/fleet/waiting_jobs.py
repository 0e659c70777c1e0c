"""Jobs that wait: log why a job does not start, and plan again what no event has planned."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from attrs import define, field

from hornbeamreach.logs import part_logger
from hornbeamreach.systems.job_progress import ReadyStep, ready_steps
from hornbeamreach.systems.task_placement import PlacementRequest
from hornbeamreach.systems.wait_obstacles import count_obstacles
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJob

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

log = part_logger("waiting")

REPORT_INTERVAL_MS = 1_000
# A job is logged when it has had nothing running for this long, and again after twice the time.
LONG_WAIT_MS = 3_000
MAX_LINES_PER_REPORT = 5
# Jobs looked at in one tick, and jobs among them whose steps are computed again.
MAX_JOBS_PER_CHECK = 500
MAX_STEPS_CHECKS = 10


@define(kw_only=True, eq=False)
class WaitingJobs:
    """Watch the jobs of one scheduler that could have something running and don't."""

    scheduler: StepScheduler
    # When each job was first seen to wait, and the wait after which it is logged next.
    since_ms: dict[str, int] = field(factory=dict)
    log_after_ms: dict[str, int] = field(factory=dict)
    last_report_ms: int = 0
    unchecked: Iterator[str] = field(factory=lambda: iter(()))

    def tick(self, now_ms: int, wall_ms: int) -> None:
        """Check some jobs for steps that no event has planned, and log long waits."""
        self._check_jobs(wall_ms)
        if now_ms - self.last_report_ms >= REPORT_INTERVAL_MS:
            self.last_report_ms = now_ms
            self._report(now_ms)

    # Planning must not depend on one event.

    def _check_jobs(self, wall_ms: int) -> None:
        fleet = self.scheduler.fleet
        step_checks = 0
        for _ in range(MAX_JOBS_PER_CHECK):
            job_id = next(self.unchecked, None)
            if job_id is None:
                self.unchecked = iter(list(self.scheduler.proposed.workload.jobs))
                return
            job = fleet.job(job_id)
            if job is None or job.ended or job_id in fleet.ready or job_id in fleet.stale_jobs:
                continue
            if ready_steps(job, wall_ms):
                log.bind(request=job_id, queue=job.queue, state=job.state.value).warning(
                    "a job with steps that may start was not planned, it is planned now"
                )
                self.scheduler.metrics.event("job_not_planned")
                fleet.stale_jobs.add(job_id)
                self.scheduler.notify()
            step_checks += 1
            if step_checks >= MAX_STEPS_CHECKS:
                return

    # Log

    def _report(self, now_ms: int) -> None:
        waiting = {job.job_id: (job, step) for job, step in self._waiting_jobs()}
        self.since_ms = {job_id: self.since_ms.get(job_id, now_ms) for job_id in waiting}
        self.log_after_ms = {
            job_id: self.log_after_ms.get(job_id, LONG_WAIT_MS) for job_id in waiting
        }
        due = [
            job_id
            for job_id, since_ms in self.since_ms.items()
            if now_ms - since_ms >= self.log_after_ms[job_id]
        ]
        due.sort(key=lambda job_id: self.since_ms[job_id])
        for job_id in due[:MAX_LINES_PER_REPORT]:
            waited_ms = now_ms - self.since_ms[job_id]
            self.log_after_ms[job_id] = 2 * waited_ms
            job, step = waiting[job_id]
            self._log_wait(job, step, waited_ms=waited_ms, now_ms=now_ms)
        if len(due) > MAX_LINES_PER_REPORT:
            log.bind(jobs=len(due) - MAX_LINES_PER_REPORT).info("more jobs wait to start")
        self.scheduler.metrics.gauge("waiting_jobs", len(waiting))

    def _waiting_jobs(self) -> Iterator[tuple[StepJob, ReadyStep]]:
        """Yield the jobs with nothing running, and those with a long-running task to start."""
        fleet = self.scheduler.fleet
        for job_id, steps in fleet.ready.items():
            job = fleet.job(job_id)
            if job is None or job.ended:
                continue
            found = steps
            if fleet.runs_by_job.get(job_id):
                found = [step for step in steps if job.spec.steps[step.step].lasting]
            if found:
                yield job, found[0]

    def _log_wait(self, job: StepJob, step: ReadyStep, *, waited_ms: int, now_ms: int) -> None:
        fleet = self.scheduler.fleet
        pool = fleet.pool_of(job)
        request = self._placement_request(job, step)
        members = [m for m in fleet.minions.values() if m.report.pool == pool and not m.gone]
        spec = job.spec.steps[step.step]
        charged = Resources(
            cpu_millis=spec.cpu_millis,
            memory_mb=spec.memory_mb,
            accelerators=spec.accelerators,
        )
        team = fleet.team_of(job.team)
        log.bind(
            request=job.job_id,
            queue=job.queue,
            team=job.team,
            step=f"{step.occurrence}.{step.step}",
            tasks=len(step.indexes),
            waited_ms=waited_ms,
            needs=[request.needs.cpu_millis, request.needs.memory_mb, request.needs.accelerators],
            within_team_limits=fleet.team_use.allows(job.team, team, charged),
            pool=pool,
            minions=count_obstacles(
                request, members, now_ms, evacuated=fleet.proposed.workload.evacuated
            ),
        ).info("job waits to start")

    def _placement_request(self, job: StepJob, step: ReadyStep) -> PlacementRequest:
        fleet = self.scheduler.fleet
        queue = fleet.queue_of(job)
        admitted = None
        if queue is not None and queue.advice_valid_ms:
            step_name = (job.job_id, step.occurrence, step.step)
            admitted = frozenset(self.scheduler.planner.tickets.get(step_name, {}))
        spec = job.spec.steps[step.step]
        return PlacementRequest(
            step=spec,
            needs=spec.needs,
            siblings=fleet.count_siblings(job, step.occurrence, step.step),
            admitted=admitted,
        )
