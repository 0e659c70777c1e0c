"""Queue of a pool: the steps that a planning pass tries, in order."""

from __future__ import annotations

import bisect
import heapq
import itertools
import operator
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

import attrs
from attrs import define, field

from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.waiting_steps import PoolSteps, WaitingStep, sort_key_of
from hornbeamreach.systems.job_progress import ReadyStep
from hornbeamreach.systems.share_order import TeamRequests, keep_minions
from hornbeamreach.systems.task_order import Standing
from hornbeamreach.tables.minions import Minion
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJob, StepSpec

# Returns whether tasks with these needs, in their turn or borrowed, surely find no minion.
HopelessTest = Callable[[Resources, bool], bool]


def _none_hopeless(needs: Resources, borrowed: bool) -> bool:
    return False


@define(kw_only=True, eq=False)
class QueuedStep:
    """Hold a ready step, or some of its tasks, in the queue of its pool."""

    step: ReadyStep
    job: StepJob
    spec: StepSpec
    # It starts beyond what its team is due, in room that other teams leave free.
    borrowed: bool = False

    @classmethod
    def of(cls, item: WaitingStep, tasks: slice, *, borrowed: bool) -> QueuedStep:
        """Queue some of a waiting step's tasks."""
        step = item.step
        indexes = step.indexes[tasks]
        if len(indexes) < len(step.indexes):
            step = attrs.evolve(step, indexes=indexes)
        return cls(step=step, job=item.job, spec=item.spec, borrowed=borrowed)


@define(kw_only=True, eq=False)
class StepMerge:
    """Merge sorted lists of steps, each of steps with the same needs.

    The lists are those of the index, so a pass costs in proportion to the steps that it tries: a
    list is set aside as soon as its needs are known to find no minion.
    """

    # For each list the sort key of its next step, that step's position, and the list.
    heap: list[tuple[tuple, int, Sequence[WaitingStep]]]
    borrowed: bool = False
    # By identity of a step, how many of its first tasks are in their team's share.
    within_due: Mapping[int, int] = field(factory=dict)
    # Lists set aside, with the position of their next step.
    hopeless: list[tuple[int, Sequence[WaitingStep]]] = field(factory=list)
    last_key: tuple = ()

    @classmethod
    def of(
        cls,
        lists: Iterable[Sequence[WaitingStep]],
        *,
        borrowed: bool = False,
        within_due: Mapping[int, int] | None = None,
    ) -> StepMerge:
        """Merge some lists."""
        heap = [(items[0].sort_key, 0, items) for items in lists if items]
        heapq.heapify(heap)
        return cls(heap=heap, borrowed=borrowed, within_due=within_due or {})

    def pop(self, is_hopeless: HopelessTest) -> QueuedStep | None:
        """Remove the next step that may start."""
        heap = self.heap
        while heap:
            key, position, items = heap[0]
            item = items[position]
            first = self.within_due.get(id(item), 0)
            if first < item.tasks and is_hopeless(item.needs, self.borrowed):
                heapq.heappop(heap)
                self.hopeless.append((position, items))
                continue
            self.last_key = key
            if position + 1 < len(items):
                following = (items[position + 1].sort_key, position + 1, items)
                heapq.heapreplace(heap, following)
            else:
                heapq.heappop(heap)
            if first < item.tasks:
                return QueuedStep.of(item, slice(first, None), borrowed=self.borrowed)
        return None

    def has_more(self) -> bool:
        """Return whether steps are left, with those that are known to find no minion now."""
        return any(
            self.within_due.get(id(item), 0) < item.tasks
            for items in self._rest()
            for item in items
        )

    def copy(self) -> StepMerge:
        """Return a merge of copies of the lists, from the next step on."""
        return StepMerge.of(self._rest(), borrowed=self.borrowed, within_due=self.within_due)

    def _rest(self) -> Iterator[Sequence[WaitingStep]]:
        for _, position, items in self.heap:
            yield items[position:]
        for position, items in self.hopeless:
            # What was passed while the list was set aside isn't tried again.
            yield items[bisect.bisect_right(items, self.last_key, lo=position, key=sort_key_of) :]


@define(kw_only=True, eq=False)
class StepList:
    """Hold the steps of one standing that begin within the shares of their teams."""

    items: list[QueuedStep]
    position: int = 0

    def pop(self, is_hopeless: HopelessTest) -> QueuedStep | None:
        """Remove the next step; it is noted where one finds no room within its team's share."""
        if self.position == len(self.items):
            return None
        self.position += 1
        return self.items[self.position - 1]

    def has_more(self) -> bool:
        """Return whether steps are left."""
        return self.position < len(self.items)

    def copy(self) -> StepList:
        """Return a list of the steps that are left."""
        return StepList(items=self.items[self.position :])


@define(kw_only=True, eq=False)
class StepOrder:
    """Yield the steps of one pool in the order in which a pass tries them."""

    # Each part comes behind the one before.
    parts: list[StepMerge | StepList] = field(factory=list)
    position: int = 0
    # The steps tried in the present slice.
    tried: list[QueuedStep] = field(factory=list)

    def pop(self, is_hopeless: HopelessTest = _none_hopeless) -> QueuedStep | None:
        """Remove the next step that may start; None at the end."""
        while self.position < len(self.parts):
            item = self.parts[self.position].pop(is_hopeless)
            if item is not None:
                self.tried.append(item)
                return item
            self.position += 1
        return None

    def has_more(self) -> bool:
        """Return whether steps are left for another slice."""
        return any(part.has_more() for part in self.parts[self.position :])

    def end_slice(self) -> None:
        """Copy what is left, since the index may change before the next slice."""
        self.parts = [part.copy() for part in self.parts[self.position :]]
        self.position, self.tried = 0, []

    def all_of_slice(self) -> Iterator[QueuedStep]:
        """Yield the steps that were left when the slice began."""
        yield from list(self.tried)
        rest = StepOrder(parts=[part.copy() for part in self.parts[self.position :]])
        while (item := rest.pop()) is not None:
            yield item


@define(kw_only=True)
class PoolQueue:
    """Hold the steps of one pool that a planning pass has not tried yet."""

    # Set once the pool's suspects were tried and its other steps queued.
    began: bool = False
    suspects: list[QueuedStep] = field(factory=list)
    others: StepOrder = field(factory=StepOrder)
    # Whether the order follows the shares of teams. Of the teams whose steps find no room within
    # their share, what the first one needs on one minion, and the minions kept free for these.
    shared: bool = False
    passed_over: dict[str, Resources] = field(factory=dict)
    kept: set[str] | None = None
    # The least processor amount that any of the steps needs.
    least_cpu_millis: int = 0

    def minions_to_keep(self, minions: list[Minion]) -> set[str]:
        """Return the ids of the minions kept free for the steps passed over."""
        if self.kept is None:
            self.kept = keep_minions(list(self.passed_over.values()), minions)
        return self.kept


def largest_room(minions: Iterable[Minion]) -> Resources:
    """Return the largest free amount of each resource on any of the minions."""
    # Called with all minions of a pool in each pass, so it builds no object for a minion.
    cpu_millis = memory_mb = accelerators = 0
    for minion in minions:
        capacity, used = minion.report.capacity, minion.used
        if capacity.cpu_millis - used.cpu_millis > cpu_millis:
            cpu_millis = capacity.cpu_millis - used.cpu_millis
        if capacity.memory_mb - used.memory_mb > memory_mb:
            memory_mb = capacity.memory_mb - used.memory_mb
        if capacity.accelerators - used.accelerators > accelerators:
            accelerators = capacity.accelerators - used.accelerators
    return Resources(cpu_millis=cpu_millis, memory_mb=memory_mb, accelerators=accelerators)


def queue_suspects(steps: PoolSteps, usable: list[Minion]) -> list[QueuedStep]:
    """Return the pool's suspect tasks, jobs without an own minion first."""
    served = {job_id for minion in usable for job_id in minion.suspects}
    items = sorted(steps.suspects, key=lambda item: item.job.job_id in served)
    return [QueuedStep.of(item, slice(None), borrowed=False) for item in items]


@define(kw_only=True, eq=False)
class TriedSteps:
    """Hold the steps that a pass tries: those that fit into free room or wait actively."""

    room: Resources
    # Lists of the index by standing; steps that wait actively have lists of their own if others
    # with the same needs are not tried.
    lists: dict[Standing, list[Sequence[WaitingStep]]]
    roomy: set[tuple[Standing, Resources]]

    @classmethod
    def of(cls, steps: PoolSteps, room: Resources) -> TriedSteps:
        """Find the steps to try, by one comparison for all that have the same needs."""
        found = cls(room=room, lists={}, roomy=set())
        for name, group in steps.groups.items():
            if group.needs.fits_in(room):
                found.roomy.add(name)
                found.lists.setdefault(group.standing, []).append(group.items)
        for item in steps.active:
            if (item.standing, item.needs) not in found.roomy:
                found.lists.setdefault(item.standing, []).append([item])
        return found

    def tries(self, item: WaitingStep) -> bool:
        """Return whether the pass tries a step."""
        return item.waits_actively or (item.standing, item.needs) in self.roomy

    def tried_first(self, items: Iterable[WaitingStep]) -> Iterator[WaitingStep]:
        """Yield steps in order, of those with equal keys the ones that are not tried last."""
        for _, tied in itertools.groupby(items, key=operator.attrgetter("key")):
            yield from sorted(tied, key=lambda item: not self.tries(item))


def order_steps(
    fleet: FleetState,
    queue: PoolQueue,
    steps: PoolSteps,
    tried: TriedSteps,
    *,
    pool: str,
    members: list[Minion],
    usable: list[Minion],
    now_ms: int,
) -> None:
    """Queue the steps in order; in a full pool, put those within their team's share first."""
    lists = tried.lists
    if not lists:
        return
    all_lists = list(itertools.chain.from_iterable(lists.values()))
    queue.least_cpu_millis = min(items[0].needs.cpu_millis for items in all_lists)
    queue.others.parts = [StepMerge.of(all_lists)]
    shares = fleet.shares
    if not shares.begin(pool, set(steps.teams), now_ms):
        return
    teams = {
        name: TeamRequests(
            requests=tried.tried_first(team.requests), lasting=team.lasting, tasks=team.tasks
        )
        for name, team in steps.teams.items()
    }
    rows = fleet.team_rows()
    by_team = shares.order(pool, members, usable, teams, steps.total(), rows)
    queue.shared = shares.is_full(pool)
    if by_team is None:
        return
    within_due = [pair for pairs in by_team.values() for pair in pairs]
    within_due.sort(key=lambda pair: (pair[0].key, not tried.tries(pair[0]), pair[0].sort_key))
    counts = {id(item): tasks for item, tasks in within_due}
    queue.others.parts = []
    for level in Standing:
        own = [pair for pair in within_due if pair[0].standing is level]
        queue.others.parts += [
            StepList(items=_queue_within_due(queue, own, tried)),
            StepMerge.of(lists.get(level, ()), borrowed=True, within_due=counts),
        ]


def _queue_within_due(
    queue: PoolQueue, within_due: list[tuple[WaitingStep, int]], tried: TriedSteps
) -> list[QueuedStep]:
    """Queue steps within their team's share, and note the teams whose steps find no room."""
    queued = []
    for item, tasks in within_due:
        if tried.tries(item):
            queued.append(QueuedStep.of(item, slice(0, tasks), borrowed=False))
        else:
            needs = item.needs.times(item.tasks) if item.gang else item.needs
            queue.passed_over.setdefault(item.team, needs)
    return queued


def still_ready(fleet: FleetState, step: ReadyStep) -> ReadyStep | None:
    """Return the tasks of a step that are still ready in a later slice."""
    for current in fleet.ready.get(step.job_id, ()):
        if (current.occurrence, current.step) == (step.occurrence, step.step):
            if current.indexes == step.indexes:
                return step
            left = tuple(index for index in step.indexes if index in current.indexes)
            return attrs.evolve(step, indexes=left) if left else None
    return None
