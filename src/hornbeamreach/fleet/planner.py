"""Selection of the runs to start next, from the state of the fleet alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable

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
from hornbeamreach.tables.workload import StepJob, StepSpec, task_key

# Limits one log append to about 100 KB of entries.
MAX_STARTS_PER_PLAN = 400
# The order of two steps changes with time only when one of them becomes late, so sort keys are
# computed as at the beginning of a period. Computing them for a long queue in each pass took half
# of the pass.
SORT_KEY_PERIOD_MS = 100


def _never() -> bool:
    return False


@define(kw_only=True, eq=False)
class QueuedStep:
    """Hold a ready step in the queue of its pool."""

    key: tuple
    standing: Standing
    step: ReadyStep
    job: StepJob
    # It starts beyond what its team is due, in room that other teams leave free.
    borrowed: bool = False

    @property
    def spec(self) -> StepSpec:
        """Return the step's specification."""
        return self.job.spec.steps[self.step.step]


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
class DescribedSteps:
    """Hold the sort keys of a job's ready steps, and what they are computed from."""

    steps: list[ReadyStep]
    # The steps as at wall time 0.
    descriptions: list[PendingStep]
    keys: list[tuple[tuple, Standing]] = field(factory=list)
    keys_wall_ms: int = -1


@define(kw_only=True)
class PoolQueue:
    """Hold the steps of one pool that a planning pass has not tried yet."""

    ready: list[tuple[StepJob, list[ReadyStep]]] = field(factory=list)
    # Set once the pool's steps are sorted and its suspects were tried, and the wall time then.
    began: bool = False
    wall_ms: int = 0
    suspects: list[QueuedStep] = field(factory=list)
    others: list[QueuedStep] = field(factory=list)
    position: int = 0
    # Whether the order follows the shares of teams. Of the teams whose steps find no room within
    # their share, what the first one needs on one minion, and the minions kept free for these.
    shared: bool = False
    passed_over: dict[str, Resources] = field(factory=dict)
    kept: set[str] | None = None


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
    # Pools that the present pass has still to plan.
    pending: dict[str, PoolQueue] = field(factory=dict)
    described: dict[str, DescribedSteps] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.turns = SuspectTurns(fleet=self.fleet, policy=self.placement, metrics=self.metrics)
        self.near_waits = NearWaits(
            fleet=self.fleet, remote_factor=self.remote_factor, metrics=self.metrics
        )

    def plan(self, now_ms: int, wall_ms: int) -> list[ReservedRun]:
        """Reserve the runs that can start now in any pool and return them."""
        self.fleet.all_pools_changed = True
        self.begin_pass(now_ms, wall_ms)
        return self.plan_slice(now_ms, wall_ms)

    def begin_pass(self, now_ms: int, wall_ms: int) -> None:
        """Queue the ready steps of the pools in which something has changed."""
        fleet = self.fleet
        fleet.refresh_ready(wall_ms)
        self.turns.begin_pass()
        workload = fleet.proposed.workload
        self.cold_starts = ColdStarts(restored=recently_restored(workload.restored, wall_ms))
        self.near_waits.begin_pass(now_ms, wall_ms)
        changed = fleet.take_changed_pools()
        self.pending = {}
        for job_id, steps in fleet.ready.items():
            job = fleet.job(job_id)
            if job is None:
                continue
            pool = fleet.pool_of(job)
            if changed is not None and pool not in changed:
                continue
            queue = self.pending.get(pool)
            if queue is None:
                queue = self.pending[pool] = PoolQueue()
            queue.ready.append((job, steps))
        if changed is None:
            ready = fleet.ready
            self.described = {job: item for job, item in self.described.items() if job in ready}

    def plan_slice(
        self, now_ms: int, wall_ms: int, is_over: Callable[[], bool] = _never
    ) -> list[ReservedRun]:
        """Reserve runs of the present pass until it ends or `is_over` returns True.

        At least one step is tried, so that a pass ends.
        """
        fleet = self.fleet
        fleet.refresh_ready(wall_ms)
        evacuated = fleet.proposed.workload.evacuated
        members: dict[str, list[Minion]] = {pool: [] for pool in self.pending}
        for minion in fleet.minions.values():
            if minion.report.pool in members:
                members[minion.report.pool].append(minion)
        starts: list[ReservedRun] = []
        for pool, queue in list(self.pending.items()):
            row = fleet.proposed.state.table.pools.get(pool)
            if not queue.began:
                self.turns.release_pool(members[pool])
                queue.wall_ms = wall_ms
            usable = [
                minion
                for minion in usable_minions(members[pool], now_ms, evacuated=evacuated)
                if may_rely_on_capacity(minion, row, now_ms)
            ]
            plan = PoolPlan(pool=pool, members=members[pool], minions=usable)
            if usable and not self._plan_pool(plan, queue, starts, now_ms, is_over):
                break
            del self.pending[pool]
            if is_over():
                break
        return starts

    def _queue_steps(
        self, queue: PoolQueue, usable: list[Minion]
    ) -> tuple[list[QueuedStep], list[QueuedStep]]:
        """Return a pool's ready steps in order, and apart those too large for any free room."""
        free = [minion.free() for minion in usable]
        room = Resources(
            cpu_millis=max(amounts.cpu_millis for amounts in free),
            memory_mb=max(amounts.memory_mb for amounts in free),
            accelerators=max(amounts.accelerators for amounts in free),
        )
        suspects, queues = self.fleet.suspect_tasks, self.fleet.proposed.state.table.queues
        queued: list[QueuedStep] = []
        blocked: list[QueuedStep] = []
        for job, steps in queue.ready:
            row = queues.get(job.queue)
            # Suspects hold minions and tickets are requested while there is no room.
            waits_actively = job.job_id in suspects or (row is not None and row.advice_valid_ms)
            keys = self._sort_keys(job, steps, queue.wall_ms)
            specs = job.spec.steps
            for (key, level), step in zip(keys, steps, strict=True):
                item = QueuedStep(key=key, standing=level, step=step, job=job)
                fits = waits_actively or specs[step.step].needs.fits_in(room)
                (queued if fits else blocked).append(item)
        queued.sort(key=lambda item: item.key)
        return queued, blocked

    def _order_by_share(
        self, plan: PoolPlan, queue: PoolQueue, blocked: list[QueuedStep], now_ms: int
    ) -> None:
        """In a full pool, put the steps within their team's share first."""
        shares = self.fleet.shares
        waiting = [*queue.others, *blocked]
        if not shares.begin(plan.pool, {item.job.team for item in waiting}, now_ms):
            return
        waiting.sort(key=lambda item: item.key)
        requests = [_share_request(item) for item in waiting]
        rows = self.fleet.proposed.state.table.teams
        turns = shares.order(plan.pool, plan.members, plan.minions, requests, rows)
        if turns is None:
            return
        queue.shared, queue.others = True, []
        without_room = set(map(id, blocked))
        for turn in turns:
            item, request = waiting[turn.position], requests[turn.position]
            if id(item) in without_room:
                if not turn.borrowed:
                    needs = request.needs.times(request.tasks) if request.gang else request.needs
                    queue.passed_over.setdefault(request.team, needs)
                continue
            step = item.step
            if turn.end - turn.first < len(step.indexes):
                step = attrs.evolve(step, indexes=step.indexes[turn.first : turn.end])
            queue.others.append(attrs.evolve(item, step=step, borrowed=turn.borrowed))

    def _sort_keys(
        self, job: StepJob, steps: list[ReadyStep], wall_ms: int
    ) -> list[tuple[tuple, Standing]]:
        known = self.described.get(job.job_id)
        if known is None or known.steps is not steps:
            descriptions = [self.describe_step(job, step, 0) for step in steps]
            known = DescribedSteps(steps=steps, descriptions=descriptions)
            self.described[job.job_id] = known
        # Keys of all jobs are as at the same time, or they couldn't be compared.
        as_at_ms = wall_ms - wall_ms % SORT_KEY_PERIOD_MS
        if known.keys_wall_ms != as_at_ms:
            described = [_described_at(step, as_at_ms) for step in known.descriptions]
            known.keys = [(self.ordering(step), standing(step)) for step in described]
            known.keys_wall_ms = as_at_ms
        return known.keys

    def _plan_pool(
        self,
        plan: PoolPlan,
        queue: PoolQueue,
        starts: list[ReservedRun],
        now_ms: int,
        is_over: Callable[[], bool],
    ) -> bool:
        """Start suspects first, within their limit, then all else, then more suspects.

        Return whether all steps were tried; if not, the next slice goes on behind the last one.
        """
        usable = plan.minions
        resumed = queue.began
        if not queue.began:
            queue.began = True
            queued, blocked = self._queue_steps(queue, usable)
            queue.suspects, queue.others = self._split_suspects(queued, usable)
            if queue.suspects:
                self.turns.begin_pool(usable)
                self._start_suspects(plan, queue.suspects, starts, now_ms)
        held = self.fleet.held_minions
        plan.minions = [m for m in usable if m.minion_id not in held] if held else usable
        plan.suspect_jobs = {job_id for minion in usable for job_id in minion.suspects}
        if not resumed and queue.others:
            self._order_by_share(plan, queue, blocked, now_ms)
        if not self._start_in_order(plan, queue, starts, now_ms, is_over, resumed=resumed):
            return False
        plan.minions = usable
        if queue.suspects and not all(minion.runs for minion in usable):
            self.turns.begin_pool(usable)
            self._start_suspects(plan, queue.suspects, starts, now_ms, idle=True)
        if queue.shared:
            self.fleet.shares.finish(plan.pool)
        return True

    def _start_in_order(
        self,
        plan: PoolPlan,
        queue: PoolQueue,
        starts: list[ReservedRun],
        now_ms: int,
        is_over: Callable[[], bool],
        *,
        resumed: bool,
    ) -> bool:
        """Start the queue's steps in their order; return whether all were tried."""
        plan.racks = PoolRacks(
            minions=plan.minions, queued=queue.others[queue.position :], too_large=plan.too_large
        )
        borrowing: PoolPlan | None = None
        while queue.position < len(queue.others):
            if len(starts) >= MAX_STARTS_PER_PLAN:
                return False
            item = queue.others[queue.position]
            queue.position += 1
            used_plan = plan
            if item.borrowed:
                borrowing = borrowing or self._without_kept(plan, queue)
                used_plan = borrowing
            spec = item.spec
            needs = spec.needs
            may_share = item.job.job_id in plan.suspect_jobs
            if may_share or not used_plan.is_known_not_to_fit(needs):
                step = self._still_ready(item.step) if resumed else item.step
                if step is not None:
                    found = self._start_step(used_plan, item.job, step, now_ms, self.placement)
                    starts += found
                    if spec.gang and not found and not item.borrowed:
                        needed = needs.times(len(step.indexes))
                        queue.passed_over.setdefault(item.job.team, needed)
            if not item.borrowed and not spec.gang and plan.is_known_not_to_fit(needs):
                queue.passed_over.setdefault(item.job.team, needs)
            if is_over() and queue.position < len(queue.others):
                return False
        return True

    def _without_kept(self, plan: PoolPlan, queue: PoolQueue) -> PoolPlan:
        """Return the plan for borrowers, without the minions kept for steps passed over."""
        if queue.kept is None:
            queue.kept = keep_minions(list(queue.passed_over.values()), plan.minions)
        kept = queue.kept
        return attrs.evolve(
            plan,
            minions=[m for m in plan.minions if m.minion_id not in kept],
            too_large=list(plan.too_large),
        )

    def _still_ready(self, step: ReadyStep) -> ReadyStep | None:
        """Return the tasks of a step that are still ready in a later slice."""
        for current in self.fleet.ready.get(step.job_id, ()):
            if (current.occurrence, current.step) == (step.occurrence, step.step):
                if current.indexes == step.indexes:
                    return step
                left = tuple(index for index in step.indexes if index in current.indexes)
                return attrs.evolve(step, indexes=left) if left else None
        return None

    def _split_suspects(
        self, queued: list[QueuedStep], usable: list[Minion]
    ) -> tuple[list[QueuedStep], list[QueuedStep]]:
        """Split the queue into suspect tasks and others, jobs without an own minion first."""
        if not self.fleet.suspect_tasks:
            return [], queued
        suspects, others = [], []
        for item in queued:
            step, job = item.step, item.job
            keys = self.fleet.suspect_tasks.get(job.job_id, ())
            found = [
                index
                for index in step.indexes
                if task_key(step.occurrence, step.step, index) in keys
            ]
            if found and job.spec.steps[step.step].gang:
                found = list(step.indexes)
            if found:
                own = attrs.evolve(step, indexes=tuple(found))
                suspects.append(attrs.evolve(item, step=own))
            if len(found) < len(step.indexes):
                left = tuple(index for index in step.indexes if index not in found)
                others.append(attrs.evolve(item, step=attrs.evolve(step, indexes=left)))
        served = {job_id for minion in usable for job_id in minion.suspects}
        suspects.sort(key=lambda item: item.job.job_id in served)
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
        for item in suspects:
            step, job = item.step, item.job
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


def _share_request(item: QueuedStep) -> ShareRequest:
    spec = item.spec
    return ShareRequest(
        team=item.job.team,
        standing=item.standing,
        needs=spec.needs,
        tasks=len(item.step.indexes),
        gang=spec.gang,
    )


def _described_at(step: PendingStep, wall_ms: int) -> PendingStep:
    """Return the description at a wall time of a step that was described as at 0."""
    return PendingStep(
        rank=step.rank,
        lasting=step.lasting,
        filler=step.filler,
        begun=step.begun,
        slack_ms=step.slack_ms - wall_ms,
        useful_ms=step.useful_ms - wall_ms,
        waited_ms=step.waited_ms + wall_ms,
        work_core_ms=step.work_core_ms,
    )
