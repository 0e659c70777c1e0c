"""Queue of a pool: the ready steps in the order in which a planning pass tries them."""

from __future__ import annotations

from collections.abc import Container

import attrs
from attrs import define, field

from hornbeamreach.fleet.fleet_state import FleetState
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
from hornbeamreach.tables.minions import Minion
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJob, StepSpec, task_key

# The order of two steps changes with time only when one of them becomes late, so sort keys are
# computed as at the beginning of a period. Computing them for a long queue in each pass took half
# of the pass.
SORT_KEY_PERIOD_MS = 100


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

    def minions_to_keep(self, minions: list[Minion]) -> set[str]:
        """Return the ids of the minions kept free for the steps passed over."""
        if self.kept is None:
            self.kept = keep_minions(list(self.passed_over.values()), minions)
        return self.kept


@define(kw_only=True)
class StepSorter:
    """Sort the ready steps of a pool by an ordering policy."""

    ordering: OrderingPolicy = field(factory=lambda: ordering_policies.get("useful_first"))
    described: dict[str, DescribedSteps] = field(factory=dict)

    def forget_others(self, ready: Container[str]) -> None:
        """Forget the sort keys of jobs without ready steps."""
        self.described = {job: item for job, item in self.described.items() if job in ready}

    def sort(
        self, fleet: FleetState, queue: PoolQueue, usable: list[Minion]
    ) -> tuple[list[QueuedStep], list[QueuedStep]]:
        """Return a pool's ready steps in order, and apart those too large for any free room."""
        free = [minion.free() for minion in usable]
        room = Resources(
            cpu_millis=max(amounts.cpu_millis for amounts in free),
            memory_mb=max(amounts.memory_mb for amounts in free),
            accelerators=max(amounts.accelerators for amounts in free),
        )
        suspects, queues = fleet.suspect_tasks, fleet.proposed.state.table.queues
        queued: list[QueuedStep] = []
        blocked: list[QueuedStep] = []
        for job, steps in queue.ready:
            row = queues.get(job.queue)
            # Suspects hold minions and tickets are requested while there is no room.
            waits_actively = job.job_id in suspects or (row is not None and row.advice_valid_ms)
            keys = self._sort_keys(fleet, job, steps, queue.wall_ms)
            specs = job.spec.steps
            for (key, level), step in zip(keys, steps, strict=True):
                item = QueuedStep(key=key, standing=level, step=step, job=job)
                fits = waits_actively or specs[step.step].needs.fits_in(room)
                (queued if fits else blocked).append(item)
        queued.sort(key=lambda item: item.key)
        return queued, blocked

    def _sort_keys(
        self, fleet: FleetState, job: StepJob, steps: list[ReadyStep], wall_ms: int
    ) -> list[tuple[tuple, Standing]]:
        known = self.described.get(job.job_id)
        if known is None or known.steps is not steps:
            descriptions = [_describe_step(fleet, job, step) for step in steps]
            known = DescribedSteps(steps=steps, descriptions=descriptions)
            self.described[job.job_id] = known
        # Keys of all jobs are as at the same time, or they couldn't be compared.
        as_at_ms = wall_ms - wall_ms % SORT_KEY_PERIOD_MS
        if known.keys_wall_ms != as_at_ms:
            described = [_described_at(step, as_at_ms) for step in known.descriptions]
            known.keys = [(self.ordering(step), standing(step)) for step in described]
            known.keys_wall_ms = as_at_ms
        return known.keys


def order_by_share(
    fleet: FleetState,
    queue: PoolQueue,
    blocked: list[QueuedStep],
    *,
    pool: str,
    members: list[Minion],
    usable: list[Minion],
    now_ms: int,
) -> None:
    """In a full pool, put the steps within their team's share first."""
    shares = fleet.shares
    waiting = [*queue.others, *blocked]
    if not shares.begin(pool, {item.job.team for item in waiting}, now_ms):
        return
    waiting.sort(key=lambda item: item.key)
    requests = [_share_request(item) for item in waiting]
    rows = fleet.proposed.state.table.teams
    turns = shares.order(pool, members, usable, requests, rows)
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


def split_suspects(
    fleet: FleetState, queued: list[QueuedStep], usable: list[Minion]
) -> tuple[list[QueuedStep], list[QueuedStep]]:
    """Split the queue into suspect tasks and others, jobs without an own minion first."""
    if not fleet.suspect_tasks:
        return [], queued
    suspects, others = [], []
    for item in queued:
        step, job = item.step, item.job
        keys = fleet.suspect_tasks.get(job.job_id, ())
        found = [
            index for index in step.indexes if task_key(step.occurrence, step.step, index) in keys
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


def still_ready(fleet: FleetState, step: ReadyStep) -> ReadyStep | None:
    """Return the tasks of a step that are still ready in a later slice."""
    for current in fleet.ready.get(step.job_id, ()):
        if (current.occurrence, current.step) == (step.occurrence, step.step):
            if current.indexes == step.indexes:
                return step
            left = tuple(index for index in step.indexes if index in current.indexes)
            return attrs.evolve(step, indexes=left) if left else None
    return None


def _describe_step(fleet: FleetState, job: StepJob, step: ReadyStep) -> PendingStep:
    """Describe a ready step for the ordering policy, as at wall time 0."""
    spec = job.spec.steps[step.step]
    queue = fleet.proposed.state.table.queues.get(job.queue)
    since_ms = queued_since_ms(job, step.occurrence)
    target_ms = objective_ms(job.spec, queue)
    remaining_ms = remaining_critical_path_ms(job, step.occurrence)
    return PendingStep(
        rank=queue.rank if queue else 0,
        lasting=spec.lasting,
        filler=spec.filler,
        begun=bool(job.tasks),
        slack_ms=since_ms + target_ms - remaining_ms,
        useful_ms=since_ms + USEFUL_DURATION_FACTOR * target_ms - remaining_ms,
        waited_ms=-since_ms,
        work_core_ms=work_core_ms(job.spec),
    )


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
