"""Selection of the runs to start next, from the state of the fleet alone."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from attrs import define, field

from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.near_waits import NearWaits, PoolRacks
from hornbeamreach.fleet.pool_queue import (
    PoolQueue,
    QueuedStep,
    TriedSteps,
    largest_room,
    order_steps,
    queue_suspects,
    still_ready,
)
from hornbeamreach.fleet.step_start import PoolPlan, StepStarter
from hornbeamreach.fleet.suspect_turns import SuspectTurns
from hornbeamreach.fleet.waiting_steps import PoolSteps, WaitingSteps
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.evacuation import ColdStarts, recently_restored
from hornbeamreach.systems.task_order import OrderingPolicy, ordering_policies
from hornbeamreach.systems.task_placement import (
    PlacementPolicy,
    may_rely_on_capacity,
    placement_policies,
)
from hornbeamreach.tables.minions import Minion, ReservedRun
from hornbeamreach.tables.resources import Resources

# Limits one log append to about 100 KB of entries.
MAX_STARTS_PER_PLAN = 400


def _never() -> bool:
    return False


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
    # Steps that lack tickets, in the order in which they were tried.
    missing_tickets: dict[tuple[str, int, int], None] = field(factory=dict)
    # Pools that the present pass has still to plan.
    pending: dict[str, PoolQueue] = field(factory=dict)
    starter: StepStarter = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.turns = SuspectTurns(fleet=self.fleet, policy=self.placement, metrics=self.metrics)
        self.near_waits = NearWaits(
            fleet=self.fleet, remote_factor=self.remote_factor, metrics=self.metrics
        )
        self.fleet.waiting = WaitingSteps(ordering=self.ordering)
        self.starter = self._new_starter(ColdStarts())

    def _new_starter(self, cold_starts: ColdStarts) -> StepStarter:
        return StepStarter(
            fleet=self.fleet,
            near_waits=self.near_waits,
            tickets=self.tickets,
            missing_tickets=self.missing_tickets,
            remote_factor=self.remote_factor,
            cold_starts=cold_starts,
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
        restored = recently_restored(fleet.proposed.workload.restored, wall_ms)
        self.starter = self._new_starter(ColdStarts(restored=restored))
        self.near_waits.begin_pass(now_ms, wall_ms)
        changed = fleet.take_changed_pools()
        fleet.waiting.update(fleet, wall_ms)
        self.pending = {
            pool: PoolQueue()
            for pool in fleet.waiting.pools_in_order()
            if changed is None or pool in changed
        }

    def plan_slice(
        self, now_ms: int, wall_ms: int, is_over: Callable[[], bool] = _never
    ) -> list[ReservedRun]:
        """Reserve runs of the present pass until it ends or `is_over` returns True.

        At least one step is tried, so that a pass ends.
        """
        fleet = self.fleet
        fleet.refresh_ready(wall_ms)
        fleet.waiting.update(fleet, wall_ms)
        members: dict[str, list[Minion]] = {pool: [] for pool in self.pending}
        for minion in fleet.minions.values():
            if minion.report.pool in members:
                members[minion.report.pool].append(minion)
        kept_free = fleet.vms_kept_free()
        starts: list[ReservedRun] = []
        for pool, queue in list(self.pending.items()):
            row = fleet.proposed.state.table.pools.get(pool)
            if not queue.began:
                self.turns.release_pool(members[pool])
            usable = [
                minion
                for minion in fleet.usable_minions(members[pool], now_ms, kept_free)
                if may_rely_on_capacity(minion, row, now_ms)
            ]
            plan = PoolPlan(pool=pool, members=members[pool], minions=usable, candidates=usable)
            if usable and not self._plan_pool(plan, queue, starts, now_ms, is_over):
                break
            del self.pending[pool]
            if is_over():
                break
        return starts

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
        if not resumed:
            self._begin_pool(plan, queue, starts, now_ms)
        held = self.fleet.held_minions
        if held:
            plan.minions = [m for m in usable if m.minion_id not in held]
        least = queue.least_cpu_millis
        plan.candidates = [
            m for m in plan.minions if m.report.capacity.cpu_millis - m.used.cpu_millis >= least
        ]
        plan.suspect_jobs = {job_id for minion in usable for job_id in minion.suspects}
        if not self._start_in_order(plan, queue, starts, now_ms, is_over, resumed=resumed):
            return False
        plan.minions = plan.candidates = usable
        if queue.suspects and not all(minion.runs for minion in usable):
            self.turns.begin_pool(usable)
            self._start_suspects(plan, queue.suspects, starts, now_ms, idle=True)
        if queue.shared:
            self.fleet.shares.finish(plan.pool)
        return True

    def _begin_pool(
        self, plan: PoolPlan, queue: PoolQueue, starts: list[ReservedRun], now_ms: int
    ) -> None:
        """Start suspects, and queue the other steps."""
        queue.began = True
        usable = plan.minions
        # Jobs may have ended since the pass began.
        steps = self.fleet.waiting.pools.get(plan.pool) or PoolSteps()
        tried = TriedSteps.of(steps, largest_room(usable))
        queue.suspects = queue_suspects(steps, usable)
        if queue.suspects:
            self.turns.begin_pool(usable)
            self._start_suspects(plan, queue.suspects, starts, now_ms)
        held = self.fleet.held_minions
        order_steps(
            self.fleet,
            queue,
            steps,
            tried,
            pool=plan.pool,
            members=plan.members,
            usable=[m for m in usable if m.minion_id not in held] if held else usable,
            now_ms=now_ms,
        )

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
        order = queue.others
        plan.racks = PoolRacks(
            minions=plan.minions, queued=order.all_of_slice, too_large=plan.too_large
        )
        turns = PoolTurns(plan=plan, queue=queue)
        while len(starts) < MAX_STARTS_PER_PLAN:
            item = order.pop(turns.is_hopeless)
            if item is None:
                return True
            used_plan = turns.plan_for(item.borrowed)
            spec = item.spec
            needs = spec.needs
            may_share = item.job.job_id in plan.suspect_jobs
            if may_share or not used_plan.is_known_not_to_fit(needs):
                step = still_ready(self.fleet, item.step) if resumed else item.step
                if step is not None:
                    found = self.starter.start(used_plan, item.job, step, now_ms, self.placement)
                    starts += found
                    if spec.gang and not found and not item.borrowed:
                        needed = needs.times(len(step.indexes))
                        queue.passed_over.setdefault(item.job.team, needed)
            if not item.borrowed and not spec.gang and plan.is_known_not_to_fit(needs):
                queue.passed_over.setdefault(item.job.team, needs)
            if is_over():
                break
        if not order.has_more():
            return True
        order.end_slice()
        return False

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
            turn.lacks_tickets = self.starter.admitted_minions(job, step) == frozenset()
            found = self.starter.start(plan, job, step, now_ms, turn, suspect=True)
            self.turns.finish(turn, job, step, found, plan.minions, now_ms)
            starts += found


@define(kw_only=True, eq=False)
class PoolTurns:
    """Hold the plans by which a slice starts the steps of a pool."""

    plan: PoolPlan
    queue: PoolQueue
    # The plan for what teams borrow, without the minions kept for steps that were passed over. It
    # is made when the first such step has its turn.
    borrowing: PoolPlan | None = None

    def plan_for(self, borrowed: bool) -> PoolPlan:
        """Return the plan for a step."""
        if not borrowed:
            return self.plan
        if self.borrowing is None:
            kept = self.queue.minions_to_keep(self.plan.minions)
            self.borrowing = attrs.evolve(
                self.plan,
                minions=[m for m in self.plan.minions if m.minion_id not in kept],
                candidates=[m for m in self.plan.candidates if m.minion_id not in kept],
                too_large=list(self.plan.too_large),
            )
        return self.borrowing

    def is_hopeless(self, needs: Resources, borrowed: bool) -> bool:
        """Return whether all steps with these needs surely find no minion in this slice."""
        # Beside a suspect of its own job a step may find room that others don't.
        return not self.plan.suspect_jobs and self.plan_for(borrowed).is_known_not_to_fit(needs)
