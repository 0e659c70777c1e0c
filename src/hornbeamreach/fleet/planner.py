"""Selection of the runs to start next, from the state of the fleet alone."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
from attrs import define, field

from hornbeamreach.fleet.fleet_state import FleetState, build_run
from hornbeamreach.fleet.near_waits import NearTurn, NearWaits, PoolRacks
from hornbeamreach.fleet.suspect_turns import SuspectTurns
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.evacuation import ColdStarts, recently_restored
from hornbeamreach.systems.job_progress import (
    USEFUL_DURATION_FACTOR,
    ReadyStep,
    objective_ms,
    queued_since_ms,
    remaining_critical_path_ms,
    work_core_ms,
)
from hornbeamreach.systems.share_order import ShareRequest, keep_minions
from hornbeamreach.systems.task_order import (
    OrderingPolicy,
    PendingStep,
    Standing,
    ordering_policies,
    standing,
)
from hornbeamreach.systems.task_placement import (
    PlacementPolicy,
    PlacementRequest,
    may_rely_on_capacity,
    placement_policies,
    usable_minions,
)
from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJob, task_key

QueuedStep = tuple[tuple, ReadyStep, StepJob, Standing]

# Limits one log append to about 100 KB of entries.
MAX_STARTS_PER_PLAN = 400


@define(kw_only=True)
class PoolPlan:
    """Hold one pool's minions while its starts are selected."""

    pool: str
    # All minions of the pool, and those that starts may use.
    members: list[Minion]
    minions: list[Minion]
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
class Planner:
    """Select runs to start by an ordering and a placement policy."""

    fleet: FleetState
    ordering: OrderingPolicy = field(factory=lambda: ordering_policies.get("useful_first"))
    placement: PlacementPolicy = field(factory=lambda: placement_policies.get("best_fit"))
    metrics: Metrics | None = None
    remote_factor: float = 1.0
    near_waits: NearWaits = field(init=False)
    turns: SuspectTurns = field(init=False)
    # Tickets of the admission service by (job, occurrence, step) and minion.
    tickets: dict[tuple[str, int, int], dict[str, str]] = field(factory=dict)
    missing_tickets: set[tuple[str, int, int]] = field(factory=set)
    cold_starts: ColdStarts = field(factory=ColdStarts)

    def __attrs_post_init__(self) -> None:
        self.turns = SuspectTurns(fleet=self.fleet, policy=self.placement, metrics=self.metrics)
        self.near_waits = NearWaits(
            fleet=self.fleet, remote_factor=self.remote_factor, metrics=self.metrics
        )

    def plan(self, now_ms: int, wall_ms: int) -> list[ReservedRun]:
        """Reserve the runs that can start now and return them."""
        fleet = self.fleet
        fleet.refresh_ready(wall_ms)
        self.turns.begin_pass()
        workload = fleet.proposed.workload
        self.cold_starts = ColdStarts(restored=recently_restored(workload.restored, wall_ms))
        self.near_waits.begin_pass(now_ms, wall_ms)
        by_pool: dict[str, list[QueuedStep]] = {}
        for job_id, steps in fleet.ready.items():
            job = fleet.job(job_id)
            if job is None:
                continue
            pool = fleet.pool_of(job)
            for step in steps:
                pending = self.describe_step(job, step, wall_ms)
                queued_step = (self.ordering(pending), step, job, standing(pending))
                by_pool.setdefault(pool, []).append(queued_step)
        members: dict[str, list[Minion]] = {pool: [] for pool in by_pool}
        for minion in fleet.minions.values():
            if minion.report.pool in members:
                members[minion.report.pool].append(minion)
        starts: list[ReservedRun] = []
        for pool, queued in by_pool.items():
            row = fleet.proposed.state.table.pools.get(pool)
            usable = [
                minion
                for minion in usable_minions(members[pool], now_ms, evacuated=workload.evacuated)
                if may_rely_on_capacity(minion, row, now_ms)
            ]
            if usable:
                queued.sort(key=lambda item: item[0])
                plan = PoolPlan(pool=pool, members=members[pool], minions=usable)
                self._plan_pool(plan, queued, starts, now_ms)
        return starts

    def _plan_pool(
        self, plan: PoolPlan, queued: list[QueuedStep], starts: list[ReservedRun], now_ms: int
    ) -> None:
        """Start suspects first, within their limit, then all else, then more suspects."""
        usable = plan.minions
        suspects, others = self._split_suspects(queued, usable)
        if suspects:
            self.turns.begin_pool(usable)
            self._start_suspects(plan, suspects, starts, now_ms)
        held = self.fleet.held_minions
        plan.minions = [m for m in usable if m.minion_id not in held] if held else usable
        plan.suspect_jobs = {job_id for minion in usable for job_id in minion.suspects}
        plan.racks = PoolRacks(minions=plan.minions, queued=others, too_large=plan.too_large)
        self._start_by_share(plan, others, starts, now_ms)
        plan.minions = usable
        if suspects and not all(minion.runs for minion in usable):
            self._start_suspects(plan, suspects, starts, now_ms, idle=True)
        self.fleet.shares.finish(plan.pool)

    def _start_by_share(
        self, plan: PoolPlan, queued: list[QueuedStep], starts: list[ReservedRun], now_ms: int
    ) -> None:
        """Start steps in their order; in a full pool, those within their team's share first."""
        shares, requests, turns = self.fleet.shares, [], None
        if shares.begin(plan.pool, {job.team for _, _, job, _ in queued}, now_ms):
            requests = [_share_request(step, job, level) for _, step, job, level in queued]
            rows = self.fleet.proposed.state.table.teams
            turns = shares.order(plan.pool, plan.members, plan.minions, requests, rows)
        if turns is None:
            for _, step, job, _ in queued:
                if len(starts) >= MAX_STARTS_PER_PLAN:
                    break
                starts += self._start_step(plan, job, step, now_ms, self.placement)
            return
        # What the first step of each team that found no room within its share needs on one minion.
        passed_over: dict[str, Resources] = {}
        borrowing: PoolPlan | None = None
        for turn in turns:
            if len(starts) >= MAX_STARTS_PER_PLAN:
                break
            _, step, job, _ = queued[turn.position]
            request = requests[turn.position]
            if turn.end - turn.first < len(step.indexes):
                step = attrs.evolve(step, indexes=step.indexes[turn.first : turn.end])
            if turn.borrowed and borrowing is None:
                kept = keep_minions(list(passed_over.values()), plan.minions)
                borrowing = attrs.evolve(
                    plan,
                    minions=[m for m in plan.minions if m.minion_id not in kept],
                    too_large=list(plan.too_large),
                )
            used_plan = borrowing if turn.borrowed and borrowing is not None else plan
            found = self._start_step(used_plan, job, step, now_ms, self.placement)
            starts += found
            if turn.borrowed:
                continue
            if request.gang and not found:
                passed_over.setdefault(job.team, request.needs.times(request.tasks))
            elif job.team not in passed_over and plan.is_known_not_to_fit(request.needs):
                passed_over[job.team] = request.needs

    def _split_suspects(
        self, queued: list[QueuedStep], usable: list[Minion]
    ) -> tuple[list[QueuedStep], list[QueuedStep]]:
        """Split the queue into suspect tasks and others, jobs without an own minion first."""
        if not self.fleet.suspect_tasks:
            return [], queued
        suspects, others = [], []
        for sort_key, step, job, level in queued:
            keys = self.fleet.suspect_tasks.get(job.job_id, ())
            found = [
                index
                for index in step.indexes
                if task_key(step.occurrence, step.step, index) in keys
            ]
            if found and job.spec.steps[step.step].gang:
                found = list(step.indexes)
            if found:
                suspects.append((sort_key, attrs.evolve(step, indexes=tuple(found)), job, level))
            if len(found) < len(step.indexes):
                left = tuple(index for index in step.indexes if index not in found)
                others.append((sort_key, attrs.evolve(step, indexes=left), job, level))
        served = {job_id for minion in usable for job_id in minion.suspects}
        suspects.sort(key=lambda item: item[2].job_id in served)
        return suspects, others

    def _start_suspects(
        self,
        plan: PoolPlan,
        suspects: list[QueuedStep],
        starts: list[ReservedRun],
        now_ms: int,
        *,
        idle: bool = False,
    ) -> None:
        for _, step, job, _ in suspects:
            if len(starts) >= MAX_STARTS_PER_PLAN:
                break
            turn = self.turns.turn(job, step, now_ms, idle=idle)
            turn.lacks_tickets = self._admitted_minions(job, step) == frozenset()
            found = self._start_step(plan, job, step, now_ms, turn, suspect=True)
            self.turns.finish(turn, job, step, found, plan.minions, now_ms)
            starts += found

    def describe_step(self, job: StepJob, step: ReadyStep, wall_ms: int) -> PendingStep:
        """Describe a ready step for the ordering policy."""
        spec = job.spec.steps[step.step]
        queue = self.fleet.proposed.state.table.queues.get(job.queue)
        since_ms = queued_since_ms(job, step.occurrence)
        target_ms = objective_ms(job.spec, queue)
        remaining_ms = remaining_critical_path_ms(job, step.occurrence)
        return PendingStep(
            rank=queue.rank if queue else 0,
            lasting=spec.lasting,
            filler=spec.filler,
            begun=bool(job.tasks),
            slack_ms=since_ms + target_ms - wall_ms - remaining_ms,
            useful_ms=since_ms + USEFUL_DURATION_FACTOR * target_ms - wall_ms - remaining_ms,
            waited_ms=wall_ms - since_ms,
            work_core_ms=work_core_ms(job.spec),
        )

    def _start_step(
        self,
        plan: PoolPlan,
        job: StepJob,
        step: ReadyStep,
        now_ms: int,
        placement: PlacementPolicy,
        *,
        suspect: bool = False,
    ) -> list[ReservedRun]:
        spec = job.spec.steps[step.step]
        needs = spec.needs
        may_share = suspect or job.job_id in plan.suspect_jobs
        if not may_share and plan.is_known_not_to_fit(needs):
            return []
        admitted = self._admitted_minions(job, step)
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
                racks=self._racks_of(siblings),
                admitted=admitted,
                avoided=frozenset((*failed_on, *crashed_on)),
                avoided_racks=self._racks_of(crashed_on),
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

    def _admitted_minions(self, job: StepJob, step: ReadyStep) -> frozenset[str] | None:
        queue = self.fleet.proposed.state.table.queues.get(job.queue)
        if queue is None or not queue.advice_valid_ms:
            return None
        step_name = (job.job_id, step.occurrence, step.step)
        if step_name not in self.tickets:
            self.missing_tickets.add(step_name)
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
            minion = placement(request, self.cold_starts.candidates(plan.minions))
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
        row = fleet.proposed.state.table.teams.get(job.team)
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


def _share_request(step: ReadyStep, job: StepJob, level: Standing) -> ShareRequest:
    spec = job.spec.steps[step.step]
    return ShareRequest(
        team=job.team,
        standing=level,
        needs=spec.needs,
        tasks=len(step.indexes),
        gang=spec.gang,
    )
