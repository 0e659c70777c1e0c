"""Start of one step: choose minions for its tasks and reserve their runs."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
from attrs import define, field

from hornbeamreach.fleet.fleet_state import FleetState, build_run
from hornbeamreach.fleet.near_waits import NearTurn, NearWaits, PoolRacks
from hornbeamreach.systems.evacuation import ColdStarts
from hornbeamreach.systems.job_progress import ReadyStep
from hornbeamreach.systems.task_placement import PlacementPolicy, PlacementRequest
from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJob, task_key


@define(kw_only=True)
class PoolPlan:
    """Hold one pool's minions while its starts are selected."""

    pool: str
    # All minions of the pool, and those that starts may use.
    members: list[Minion]
    minions: list[Minion]
    # Those of them that have room for the smallest task of the queue; all while suspects start.
    candidates: list[Minion]
    # Needs that fit on no minion of the pool; further starts only reduce the free capacity.
    too_large: list[Resources] = field(factory=list)
    # Jobs with suspects in the pool: they may find room that other jobs don't.
    suspect_jobs: set[str] = field(factory=set)
    # What is known of the racks that steps ask for.
    racks: PoolRacks = field(factory=PoolRacks)

    def is_known_not_to_fit(self, needs: Resources) -> bool:
        """Return whether needs that are no larger already failed to fit."""
        return any(needs_too_large.fits_in(needs) for needs_too_large in self.too_large)


@define(kw_only=True)
class StepStarter:
    """Start the steps of one planning pass."""

    fleet: FleetState
    near_waits: NearWaits
    # Tickets of the admission service by (job, occurrence, step) and minion.
    tickets: dict[tuple[str, int, int], dict[str, str]]
    missing_tickets: dict[tuple[str, int, int], None]
    remote_factor: float
    cold_starts: ColdStarts = field(factory=ColdStarts)

    def start(
        self,
        plan: PoolPlan,
        job: StepJob,
        step: ReadyStep,
        now_ms: int,
        placement: PlacementPolicy,
        *,
        suspect: bool = False,
    ) -> list[ReservedRun]:
        """Reserve runs of the step's tasks that find a minion, of a gang all or none."""
        spec = job.spec.steps[step.step]
        needs = spec.needs
        may_share = suspect or job.job_id in plan.suspect_jobs
        if not may_share and plan.is_known_not_to_fit(needs):
            return []
        admitted = self.admitted_minions(job, step)
        if admitted is not None and not admitted:
            return []
        starts: list[ReservedRun] = []
        siblings = self.fleet.count_siblings(job, step.occurrence, step.step)
        asks_for_rack = not suspect and self.near_waits.applies(spec)
        near: NearTurn | None = None
        request: PlacementRequest | None = None
        for index in step.indexes:
            key = task_key(step.occurrence, step.step, index)
            if self.fleet.find_run(job.job_id, key) is not None:
                continue
            failed_on = self.fleet.failed_on.get(f"{job.job_id}.{key}", ())
            crashed_on = self.fleet.crashed_on.get(job.job_id, {}).get(key, ())
            request = PlacementRequest(
                step=spec,
                needs=needs,
                siblings=siblings,
                # Other placements don't depend on them.
                racks=self._racks_of(siblings) if spec.same_rack else frozenset(),
                admitted=admitted,
                avoided=frozenset((*failed_on, *crashed_on)),
                avoided_racks=self._racks_of(crashed_on) if crashed_on else frozenset(),
                job_id=job.job_id,
                key=key,
                suspect=suspect,
            )
            if asks_for_rack:
                if near is None:
                    near = self.near_waits.turn(plan.racks, job, step, request)
                    asks_for_rack = near is not None
                if near is not None:
                    request = attrs.evolve(request, near_rack=near.rack)
            run = self._start_task(plan, job, request, now_ms, placement, near)
            if run is None and near is not None and near.is_held(key):
                continue
            if run is None:
                # The step's other tasks have the same needs.
                if admitted is not None:
                    # Other minions may be admitted, too.
                    self.missing_tickets[job.job_id, step.occurrence, step.step] = None
                break
            starts.append(run)
            siblings[run.minion] = siblings.get(run.minion, 0) + 1
        if spec.gang and (
            len(starts) < len(step.indexes)
            or (near is not None and request is not None and near.holds_gang(starts, request))
        ):
            self._release(starts)
            return []
        if starts:
            self.near_waits.finish(job, step, starts)
            self.fleet.stale_jobs.add(job.job_id)
        if spec.gang:
            self._align_gang(job, step, starts)
        return starts

    def admitted_minions(self, job: StepJob, step: ReadyStep) -> frozenset[str] | None:
        """Return the minions with a ticket for a step; None if its queue needs no tickets."""
        queue = self.fleet.queue_of(job)
        if queue is None or not queue.advice_valid_ms:
            return None
        step_name = (job.job_id, step.occurrence, step.step)
        if step_name not in self.tickets:
            self.missing_tickets[step_name] = None
        return frozenset(self.tickets.get(step_name, {}))

    def _start_task(
        self,
        plan: PoolPlan,
        job: StepJob,
        request: PlacementRequest,
        now_ms: int,
        placement: PlacementPolicy,
        near: NearTurn | None = None,
    ) -> ReservedRun | None:
        fleet, key = self.fleet, request.key
        minion = near.same_minion(request) if near is not None else None
        if minion is None:
            minion = placement(request, self.cold_starts.candidates(plan.candidates))
        if minion is None:
            if not request.constrained:
                plan.too_large.append(request.needs)
            return None
        task = job.tasks.get(key)
        run = build_run(
            job,
            key,
            task.run + 1 if task else 1,
            minion=minion.minion_id,
            born_ms=minion.report.born_ms,
            phase=RunPhase.RESERVED,
            now_ms=now_ms,
        )
        row = fleet.team_of(job.team)
        if not fleet.team_use.allows(job.team, row, run.charged):
            return None
        if near is not None and near.holds_back(request, minion):
            return None
        if near is not None and minion.report.rack != near.rack:
            run.expected_ms = int(run.expected_ms * self.remote_factor)
        run.checkpoint = task.checkpoint if task else ""
        fleet.reserve(run)
        self.cold_starts.count(minion)
        return run

    def _racks_of(self, minion_ids: Iterable[str]) -> frozenset[str]:
        minions = self.fleet.minions
        return frozenset(minions[m].report.rack for m in minion_ids if m in minions)

    def _release(self, runs: list[ReservedRun]) -> None:
        fleet = self.fleet
        for run in runs:
            self.cold_starts.count(fleet.minions[run.minion], -1)
            fleet.minions[run.minion].release(run.name)
            fleet.team_use.remove(run.team, run.charged)
            fleet.shares.remove(run)
            del fleet.runs_by_job[run.job_id][run.key]

    def _align_gang(self, job: StepJob, step: ReadyStep, runs: list[ReservedRun]) -> None:
        if not runs:
            return
        number = max(run.run for run in runs)
        checkpoint = max((run.checkpoint for run in runs), default="")
        for run in runs:
            run.run = number
            run.checkpoint = checkpoint
