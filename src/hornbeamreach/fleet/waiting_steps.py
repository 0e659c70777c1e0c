"""Index of the ready steps: by pool, needs and team, each in the order of the task ordering.

Load pattern: queues take turns in peaking at five times their mean, so some hundred jobs wait while
their pools are full. A planning pass then starts a few tasks in the room that has become free.
Describing, sorting and summing up all waiting steps in each pass took most of the pass, so the
index is kept between passes:

- A job's steps are indexed again after `FleetState.refresh_ready` has computed them again, which it
  does for each job that is marked stale. Once in a period all jobs are compared with the index, so
  that a change that isn't announced is missed for one period at most.
- A sort key is computed again once the step becomes late, useless or aged.
- All is computed again under a new declaration, which may change pools, ranks and objectives, or if
  the wall clock was set back.
"""

from __future__ import annotations

import bisect
import math
import operator
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

import attrs
from attrs import define, field

from hornbeamreach.systems.job_progress import (
    USEFUL_DURATION_FACTOR,
    ReadyStep,
    objective_ms,
    queued_since_ms,
    remaining_critical_path_ms,
    work_core_ms,
)
from hornbeamreach.systems.share_order import ShareRequest, TeamRequests
from hornbeamreach.systems.task_order import (
    OrderingPolicy,
    PendingStep,
    Standing,
    changes_at_ms,
    ordering_policies,
    standing,
)
from hornbeamreach.tables.declared import DeclaredTable, QueueRow
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJob, StepSpec, task_key

if TYPE_CHECKING:
    from hornbeamreach.fleet.fleet_state import FleetState

# The order of two steps changes with time only when one of them becomes late, so sort keys are
# computed as at the beginning of a period.
SORT_KEY_PERIOD_MS = 100

sort_key_of = operator.attrgetter("sort_key")


@define(kw_only=True, eq=False)
class WaitingStep(ShareRequest):
    """Hold a ready step with its place in the order, computed once for many passes."""

    step: ReadyStep
    job: StepJob
    spec: StepSpec
    # The step as at wall time 0, and the wall time from which its key may be another one.
    described: PendingStep
    changes_at_ms: float
    # Key by the ordering policy; then jobs that have been ready for longer come first.
    key: tuple
    sort_key: tuple
    # It is tried even if no minion has room: a suspect holds minions, and tickets are requested.
    waits_actively: bool = False
    # Minions have crashed under its tasks.
    suspect: bool = False
    # Wall time after which its result is of no use to the caller.
    useful_until_ms: float = 0.0


@define(kw_only=True, eq=False)
class TeamSteps(TeamRequests[WaitingStep]):
    """Hold a team's waiting steps in one pool, in order."""

    requests: list[WaitingStep] = field(factory=list)


@define(kw_only=True)
class JobSteps:
    """Hold the waiting steps of a job, and the list of ready steps that they were made from."""

    steps: list[ReadyStep]
    pool: str
    # Jobs are numbered in the order in which they became ready.
    number: int
    items: list[WaitingStep]


@define(kw_only=True)
class StepGroup:
    """Hold steps of one standing whose tasks have the same needs, in order."""

    needs: Resources
    standing: Standing
    items: list[WaitingStep] = field(factory=list)


@define(kw_only=True, eq=False)
class PoolSteps:
    """Hold the waiting steps of one pool; all lists are in order."""

    jobs: dict[str, JobSteps] = field(factory=dict)
    suspects: list[WaitingStep] = field(factory=list)
    # Steps other than suspects: by standing and needs, by team, and those that wait actively.
    groups: dict[tuple[Standing, Resources], StepGroup] = field(factory=dict)
    teams: dict[str, TeamSteps] = field(factory=dict)
    active: list[WaitingStep] = field(factory=list)
    # What their tasks need together.
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __iter__(self) -> Iterator[WaitingStep]:
        """Iterate over all steps, in the order in which jobs became ready."""
        for job in self.jobs.values():
            yield from job.items

    def add(self, item: WaitingStep) -> None:
        """Add a step to all lists."""
        if item.suspect:
            _insert(self.suspects, item)
            return
        name = (item.standing, item.needs)
        group = self.groups.get(name)
        if group is None:
            group = self.groups[name] = StepGroup(needs=item.needs, standing=item.standing)
        _insert(group.items, item)
        team = self.teams.get(item.team)
        if team is None:
            team = self.teams[item.team] = TeamSteps()
        _insert(team.requests, item)
        if item.waits_actively:
            _insert(self.active, item)
        self._count(item, item.tasks)

    def remove(self, item: WaitingStep) -> None:
        """Remove a step from all lists."""
        if item.suspect:
            _remove(self.suspects, item)
            return
        group = self.groups[item.standing, item.needs]
        _remove(group.items, item)
        if not group.items:
            del self.groups[item.standing, item.needs]
        team = self.teams[item.team]
        _remove(team.requests, item)
        self._count(item, -item.tasks)
        if not team.requests:
            del self.teams[item.team]
        if item.waits_actively:
            _remove(self.active, item)

    def _count(self, item: WaitingStep, tasks: int) -> None:
        needs = item.needs
        self.cpu_millis += tasks * needs.cpu_millis
        self.memory_mb += tasks * needs.memory_mb
        self.accelerators += tasks * needs.accelerators
        self.teams[item.team].count(item, tasks)

    def total(self) -> Resources:
        """Return what the tasks of all steps but suspects need together."""
        return Resources(
            cpu_millis=self.cpu_millis, memory_mb=self.memory_mb, accelerators=self.accelerators
        )


@define(kw_only=True, eq=False)
class WaitingSteps:
    """Keep the waiting steps of all pools in order."""

    ordering: OrderingPolicy = field(factory=lambda: ordering_policies.get("useful_first"))
    pools: dict[str, PoolSteps] = field(factory=dict)
    jobs: dict[str, JobSteps] = field(factory=dict)
    table: DeclaredTable | None = None
    # Sort keys are as at this wall time.
    as_at_ms: int = 0

    def update(self, fleet: FleetState, wall_ms: int) -> None:
        """Index the ready steps of the fleet as they are now."""
        as_at_ms = wall_ms - wall_ms % SORT_KEY_PERIOD_MS
        table = fleet.proposed.state.table
        is_new_period = as_at_ms != self.as_at_ms
        is_reset = table is not self.table or as_at_ms < self.as_at_ms
        if is_reset:
            self.pools, self.jobs, self.table = {}, {}, table
        elif is_new_period:
            self._renew_keys(as_at_ms)
        self.as_at_ms = as_at_ms
        if is_reset:
            # Before the refreshed jobs, which keep the places that they get here.
            self._index(fleet, fleet.ready)
        refreshed, fleet.refreshed_jobs = fleet.refreshed_jobs, set()
        self._index(fleet, sorted(refreshed, key=lambda job_id: fleet.ready_numbers.get(job_id, 0)))
        if is_new_period or len(self.jobs) != len(fleet.ready):
            self._index(fleet, [*fleet.ready, *(self.jobs.keys() - fleet.ready.keys())])

    def _index(self, fleet: FleetState, job_ids: Iterable[str]) -> None:
        """Index jobs, in the order in which they became ready, unless nothing has changed."""
        for job_id in job_ids:
            known, steps = self.jobs.get(job_id), fleet.ready.get(job_id)
            if steps is None:
                if known is not None:
                    self._remove(job_id, known)
            elif known is None or known.steps is not steps:
                self._replace(fleet, job_id, known, steps)

    def pools_in_order(self) -> list[str]:
        """Return the pools with waiting steps; first the pool of the job that waits longest."""
        return sorted(
            self.pools, key=lambda pool: next(iter(self.pools[pool].jobs.values())).number
        )

    def _replace(
        self, fleet: FleetState, job_id: str, known: JobSteps | None, steps: list[ReadyStep]
    ) -> None:
        job = fleet.job(job_id)
        pool = fleet.pool_of(job) if job is not None else ""
        number = fleet.ready_numbers.get(job_id, 0)
        if known is not None:
            if (known.pool, known.number) == (pool, number) and job is not None:
                # The job keeps its place among the pool's jobs.
                for item in known.items:
                    self.pools[pool].remove(item)
            else:
                self._remove(job_id, known)
        if job is None:
            return
        items = self._items_of(fleet, job, steps, number)
        indexed = JobSteps(steps=steps, pool=pool, number=number, items=items)
        pool_steps = self.pools.get(pool)
        if pool_steps is None:
            pool_steps = self.pools[pool] = PoolSteps()
        self.jobs[job_id] = pool_steps.jobs[job_id] = indexed
        for item in items:
            pool_steps.add(item)

    def _remove(self, job_id: str, known: JobSteps) -> None:
        pool = self.pools[known.pool]
        for item in known.items:
            pool.remove(item)
        del self.jobs[job_id], pool.jobs[job_id]
        if not pool.jobs:
            del self.pools[known.pool]

    def _renew_keys(self, as_at_ms: int) -> None:
        for pool in self.pools.values():
            for job in pool.jobs.values():
                for position, item in enumerate(job.items):
                    if item.changes_at_ms <= as_at_ms:
                        pool.remove(item)
                        # A pass that is divided into slices still holds the earlier item.
                        place = self._place(item.described, as_at_ms, item.sort_key[1:])
                        item = job.items[position] = attrs.evolve(item, **place)
                        pool.add(item)

    def _items_of(
        self, fleet: FleetState, job: StepJob, steps: list[ReadyStep], number: int
    ) -> list[WaitingStep]:
        queue = fleet.queue_of(job)
        suspects = fleet.suspect_tasks.get(job.job_id, frozenset())
        items = []
        for position, step in enumerate(steps):
            spec = job.spec.steps[step.step]
            for part, is_suspect in _split_suspects(step, spec, suspects):
                described = _describe_step(queue, job, part)
                items.append(
                    WaitingStep(
                        team=job.team,
                        needs=spec.needs,
                        tasks=len(part.indexes),
                        gang=spec.gang,
                        step=part,
                        job=job,
                        spec=spec,
                        described=described,
                        waits_actively=bool(
                            suspects or (queue is not None and queue.advice_valid_ms)
                        ),
                        suspect=is_suspect,
                        useful_until_ms=_useful_until_ms(queue, job, part),
                        **self._place(described, self.as_at_ms, (number, position)),
                    )
                )
        return items

    def _place(self, described: PendingStep, as_at_ms: int, behind_key: tuple) -> dict:
        """Return the fields of a step that may be others at another time."""
        now = _described_at(described, as_at_ms)
        key = self.ordering(now)
        return {
            "standing": standing(now),
            "key": key,
            "sort_key": (key, *behind_key),
            "changes_at_ms": changes_at_ms(now),
        }


def _insert(items: list, item: WaitingStep) -> None:
    bisect.insort(items, item, key=sort_key_of)


def _remove(items: list, item: WaitingStep) -> None:
    position = bisect.bisect_left(items, item.sort_key, key=sort_key_of)
    assert items[position] is item
    del items[position]


def _split_suspects(
    step: ReadyStep, spec: StepSpec, suspects: frozenset[str]
) -> Iterator[tuple[ReadyStep, bool]]:
    """Yield the part of a step whose tasks are suspects, and the other part."""
    found = (
        [index for index in step.indexes if task_key(step.occurrence, step.step, index) in suspects]
        if suspects
        else []
    )
    if found and spec.gang:
        found = list(step.indexes)
    if not found:
        yield step, False
        return
    yield attrs.evolve(step, indexes=tuple(found)), True
    left = tuple(index for index in step.indexes if index not in found)
    if left:
        yield attrs.evolve(step, indexes=left), False


def _useful_until_ms(queue: QueueRow | None, job: StepJob, step: ReadyStep) -> float:
    if job.spec.steps[step.step].lasting:
        return math.inf
    useful_ms = USEFUL_DURATION_FACTOR * objective_ms(job.spec, queue)
    return queued_since_ms(job, step.occurrence) + useful_ms


def _describe_step(queue: QueueRow | None, job: StepJob, step: ReadyStep) -> PendingStep:
    """Describe a ready step for the ordering policy, as at wall time 0."""
    spec = job.spec.steps[step.step]
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
        at_ms=wall_ms,
    )
