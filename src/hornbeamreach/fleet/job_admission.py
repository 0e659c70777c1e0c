"""Admission of new short jobs at the leader, as decided by the configured policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from attrs import define, field

from hornbeamreach.fleet.vm_moves import FIRST_REPORTS_MS
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.admission import (
    AdmissionPolicy,
    JobDecision,
    JobRequest,
    admission_policies,
)
from hornbeamreach.systems.job_progress import (
    USEFUL_DURATION_FACTOR,
    critical_path_ms,
    objective_ms,
    work_core_ms,
)
from hornbeamreach.systems.queued_work import JobWork
from hornbeamreach.systems.refused_callers import RefusedCallers
from hornbeamreach.systems.state_size import (
    FULL_STATE_RETRY_MS,
    RoomPolicy,
    StateRoom,
    jobs_bytes,
    room_policies,
    spec_bytes,
)
from hornbeamreach.tables.declared import QueueRow
from hornbeamreach.tables.workload import StepJobSpec

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

log = part_logger("admission")

# Reports come every 1.5 s and a move takes as long; a pass over 2,400 minions takes some ms.
CAPACITY_INTERVAL_MS = 500
# Share of its expected time that a job's longest chain of steps takes at least.
MIN_PATH_SHARE = 0.4
# A pool that has refused no job for this long accepts jobs again, for the log.
RECOVERED_AFTER_MS = 5_000


@define(kw_only=True)
class PoolCapacity:
    """Hold the processor capacity that a pool has for short jobs, in 1/1000 cores."""

    cpu_millis: int = 0
    idle_cpu_millis: int = 0
    vm_cpu_millis: int = 0


@define(kw_only=True)
class Overload:
    """Count a pool's refusals since it began to refuse jobs."""

    refusals: int = 0
    last_ms: int = 0


@define(kw_only=True, eq=False)
class JobAdmission:
    """Decide on new short jobs during one scheduler's term."""

    scheduler: StepScheduler
    policy: AdmissionPolicy = field(factory=lambda: admission_policies.get("while_useful"))
    room_policy: RoomPolicy = field(factory=lambda: room_policies.get("bytes"))
    refused: RefusedCallers = field(factory=RefusedCallers)
    capacities: dict[str, PoolCapacity] = field(factory=dict)
    measured_ms: int = -CAPACITY_INTERVAL_MS
    # VMs that may be moved to any pool; None if no VMs are moved.
    standby_vms: int | None = None
    # What the stored jobs take, as of a time, with the jobs accepted since.
    stored_bytes: int = 0
    stored_ms: int = -CAPACITY_INTERVAL_MS
    overloads: dict[str, Overload] = field(factory=dict)

    def decide(
        self, job_id: str, spec: StepJobSpec, *, queue: str, row: QueueRow, team: str
    ) -> JobDecision:
        """Decide on a job whose id is not known, and remember a refusal."""
        scheduler = self.scheduler
        now_ms, wall_ms = scheduler.clock.now_ms(), scheduler.clock.wall_ms()
        if not self._has_state_room(job_id, spec, now_ms):
            detail = "the stored jobs take all the room there is for them"
            return JobDecision(accepted=False, detail=detail, retry_after_ms=FULL_STATE_RETRY_MS)
        if spec.lasting or spec.timed:
            self.stored_bytes += spec_bytes(spec)
            return JobDecision(accepted=True)
        self.refused.expire(now_ms)
        request = self._describe(job_id, spec, queue, row, team, now_ms, wall_ms)
        decision = self.policy(request)
        if decision.accepted:
            waited_ms = self.refused.waited_ms(job_id, now_ms)
            decision = attrs.evolve(decision, waited_ms=waited_ms)
            self.stored_bytes += spec_bytes(spec)
            if self.refused.remove(job_id, now_ms):
                scheduler.metrics.event("job_accepted_after_refusal")
            self._note_accepted(row.pool, now_ms)
            return decision
        work = JobWork(
            pool=row.pool,
            team=team,
            rank=row.rank,
            core_ms=work_core_ms(spec) * scheduler.fleet.run_times.factor(queue),
            until_ms=now_ms + decision.retry_after_ms,
        )
        self.refused.add(job_id, work, now_ms)
        self._note_refused(job_id, row.pool, request, decision, now_ms)
        return decision

    def _describe(
        self,
        job_id: str,
        spec: StepJobSpec,
        queue: str,
        row: QueueRow,
        team: str,
        now_ms: int,
        wall_ms: int,
    ) -> JobRequest:
        scheduler = self.scheduler
        fleet = scheduler.fleet
        queued = fleet.queued_work.ahead(row.pool, row.rank, wall_ms)
        teams = fleet.team_rows()
        rows = {name: teams[name] for name in queued if name in teams}
        factor, spread = fleet.run_times.factor(queue), fleet.run_times.spread(queue)
        core_ms = work_core_ms(spec) * factor
        task_count = sum(step.count for step in spec.steps)
        loop_lag = getattr(scheduler, "loop_lag", None)
        overload = self.overloads.get(row.pool)
        capacity, lendable = self._capacity(row.pool, now_ms)
        return JobRequest(
            team=team,
            path_ms=critical_path_ms(spec) * factor * max(MIN_PATH_SHARE, 1 - spread),
            useful_ms=USEFUL_DURATION_FACTOR * objective_ms(spec, row)
            - self.refused.waited_ms(job_id, now_ms),
            queued_core_ms=queued,
            weights={name: team_row.weight for name, team_row in rows.items()},
            limits_cpu_millis={
                name: team_row.max_cpu_millis
                for name, team_row in rows.items()
                if team_row.max_cpu_millis
            },
            task_core_ms=core_ms / max(1, task_count),
            spread=spread,
            cpu_millis=capacity,
            lendable_cpu_millis=lendable,
            loop_lag_ms=loop_lag.lag_ms if loop_lag is not None else 0.0,
            refused_core_ms=self.refused.expected_core_ms(row.pool, row.rank, now_ms),
            refusals=overload.refusals if overload is not None else 0,
        )

    # Room in the state

    def _has_state_room(self, job_id: str, spec: StepJobSpec, now_ms: int) -> bool:
        """Return whether the state has room for a job."""
        if now_ms - self.stored_ms >= CAPACITY_INTERVAL_MS:
            jobs = self.scheduler.proposed.workload.jobs.values()
            self.stored_bytes, self.stored_ms = jobs_bytes(jobs), now_ms
        room = StateRoom(
            stored_bytes=self.stored_bytes,
            job_bytes=spec_bytes(spec),
            limit_bytes=self.scheduler.replica.limits.state_bytes,
        )
        if self.room_policy(room):
            return True
        self.scheduler.metrics.event("job_refused_full_state")
        log.bind(
            request=job_id,
            stored_bytes=room.stored_bytes,
            job_bytes=room.job_bytes,
            limit_bytes=room.limit_bytes,
        ).warning("job refused: the stored jobs take all the room")
        return False

    # Capacity

    def _capacity(self, pool: str, now_ms: int) -> tuple[int, int]:
        """Return what a pool has and what it can be lent; 0 while minions are not known yet."""
        if now_ms - self.scheduler.began_ms < FIRST_REPORTS_MS:
            return 0, 0
        if now_ms - self.measured_ms >= CAPACITY_INTERVAL_MS:
            self.capacities, self.measured_ms = self._measure(now_ms), now_ms
        own = self.capacities.get(pool, PoolCapacity())
        if self.standby_vms is None:
            return own.cpu_millis, 0
        idle_cpu_millis = sum(capacity.idle_cpu_millis for capacity in self.capacities.values())
        lendable = idle_cpu_millis - own.idle_cpu_millis + self.standby_vms * own.vm_cpu_millis
        return own.cpu_millis, lendable

    def _measure(self, now_ms: int) -> dict[str, PoolCapacity]:
        capacities: dict[str, PoolCapacity] = {}
        evacuated = self.scheduler.proposed.workload.evacuated
        for minion in self.scheduler.fleet.minions.values():
            report = minion.report
            if minion.gone or report.leaving or report.draining or minion.is_silent(now_ms):
                continue
            if report.data_center in evacuated:
                continue
            capacity = capacities.setdefault(report.pool, PoolCapacity())
            lasting = sum(run.needs.cpu_millis for run in minion.runs.values() if run.lasting)
            capacity.cpu_millis += max(0, report.capacity.cpu_millis - lasting)
            if not minion.runs:
                capacity.idle_cpu_millis += report.capacity.cpu_millis
            capacity.vm_cpu_millis = max(capacity.vm_cpu_millis, report.capacity.cpu_millis)
        return capacities

    # Log

    def _note_refused(
        self, job_id: str, pool: str, request: JobRequest, decision: JobDecision, now_ms: int
    ) -> None:
        if pool not in self.overloads:
            self.overloads[pool] = Overload()
            self._report_overloads()
            log.bind(
                pool=pool,
                request=job_id,
                team=request.team,
                ahead_core_ms=round(decision.ahead_core_ms),
                cpu_millis=request.cpu_millis,
                lendable_cpu_millis=request.lendable_cpu_millis,
                capacity_age_ms=now_ms - self.measured_ms,
                end_ms=round(decision.end_ms),
                useful_ms=round(request.useful_ms),
                loop_lag_ms=round(request.loop_lag_ms),
            ).warning("pool begins to refuse jobs")
        overload = self.overloads[pool]
        overload.refusals += 1
        overload.last_ms = now_ms

    def _note_accepted(self, pool: str, now_ms: int) -> None:
        overload = self.overloads.get(pool)
        if overload is not None and now_ms - overload.last_ms >= RECOVERED_AFTER_MS:
            del self.overloads[pool]
            self._report_overloads()
            log.bind(pool=pool, refused=overload.refusals).info("pool refuses no more jobs")

    def _report_overloads(self) -> None:
        self.scheduler.metrics.gauge("pools_refusing_jobs", len(self.overloads))
