"""Waits of tasks for a place in the rack that they ask for; each planning pass decides them anew.

The waits are kept in this scheduler's memory only: the next one decides again from the jobs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
from attrs import define, field

from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.pool_queue import QueuedStep
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.job_progress import (
    ReadyStep,
    objective_ms,
    queued_since_ms,
    remaining_critical_path_ms,
)
from hornbeamreach.systems.near_places import Claim, RackForecast
from hornbeamreach.systems.placement_wait import NearWait, WaitPolicy, wait_policies
from hornbeamreach.systems.task_placement import PlacementRequest, allows
from hornbeamreach.tables.minions import Minion, ReservedRun
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJob, StepSpec, task_key

log = part_logger("near_waits")

StepName = tuple[str, int, int]
# The members of a gang run together, so no member takes the place that another one leaves.
NEVER_MS = 1 << 40


@define(kw_only=True)
class StepWait:
    """Record the tasks of a step that wait for a rack, and how their waits ended."""

    rack: str
    began_ms: int
    # Start of the wait by task key.
    since_ms: dict[str, int] = field(factory=dict)
    near: int = 0
    far: int = 0
    waited_ms: int = 0


@define(kw_only=True)
class PoolRacks:
    """Hold a pool's queue and the estimates for its racks within a planning pass."""

    minions: list[Minion] = field(factory=list)
    # Yields the steps that were queued when the slice began; few decisions need them.
    queued: Callable[[], Iterable[QueuedStep]] = tuple
    # Needs that fit on no minion of the pool.
    too_large: list[Resources] = field(factory=list)
    forecasts: dict[str, RackForecast] = field(factory=dict)
    # What all tasks need that may start in this pass, and what is free for them; None before a
    # decision needs them.
    waiting_cpu: int | None = None
    free_cpu: int = 0
    # Room that tasks which wait leave to others.
    left_cpu: int = 0

    def room_is_used(self, needs: Resources, left_cpu: int, fleet: FleetState) -> bool:
        """Return whether work that doesn't wait for a rack takes the room that is left to it."""
        if self.waiting_cpu is None:
            self.free_cpu = sum(minion.free().cpu_millis for minion in self.minions)
            self.waiting_cpu = self._sum_waiting(fleet)
        others_cpu = self.waiting_cpu - left_cpu
        return others_cpu >= max(needs.cpu_millis, self.free_cpu - left_cpu)

    def _sum_waiting(self, fleet: FleetState) -> int:
        """Sum up what the waiting tasks need that may fit, up to the whole pool."""
        enough = sum(minion.report.capacity.cpu_millis for minion in self.minions)
        total = 0
        for item in self.queued():
            step, job = item.step, item.job
            needs = job.spec.steps[step.step].needs
            if any(needs_too_large.fits_in(needs) for needs_too_large in self.too_large):
                continue
            runs = fleet.runs_by_job.get(job.job_id, {})
            keys = (task_key(step.occurrence, step.step, index) for index in step.indexes)
            total += needs.cpu_millis * sum(key not in runs for key in keys)
            if total >= enough:
                break
        return total


@define(kw_only=True)
class NearTurn:
    """Decide for the tasks of one step whether they wait for their rack."""

    waits: NearWaits
    racks: PoolRacks
    job: StepJob
    step: ReadyStep
    spec: StepSpec
    rack: str
    near_ms: int
    far_ms: int
    slack_ms: int
    # A rack-local step is decided as a whole; None before its first task that finds no near place.
    whole: bool | None = None
    # The decision for a task holds for those behind it, which have the same needs.
    refused: bool = False
    # The latest task that waits, and the minion on which it would have started.
    held: PlacementRequest | None = None
    held_minion: Minion | None = None

    @property
    def name(self) -> StepName:
        """Return the step's name."""
        return (self.job.job_id, self.step.occurrence, self.step.step)

    def is_near(self, minion_id: str) -> bool:
        """Return whether a minion is in the rack."""
        return self.waits.fleet.minions[minion_id].report.rack == self.rack

    def holds_back(self, request: PlacementRequest, minion: Minion) -> bool:
        """Return whether a task waits instead of starting on the minion."""
        if self.spec.gang or minion.report.rack == self.rack:
            return False
        if self.spec.same_rack:
            if self.whole is None:
                self.whole = self._decide(request, self._waiting_keys())
            held = self.whole
        else:
            held = not self.refused and self._decide(request, [request.key])
        self.refused = not held
        self.held, self.held_minion = (request, minion) if held else (None, None)
        return held

    def is_held(self, key: str) -> bool:
        """Return whether the task that was decided on last waits."""
        return self.held is not None and self.held.key == key

    def same_minion(self, request: PlacementRequest) -> Minion | None:
        """Return the minion found for the task before if it waits, as nothing has changed since."""
        held = self.held
        if held is None or held.avoided != request.avoided:
            return None
        return self.held_minion if held.avoided_racks == request.avoided_racks else None

    def holds_gang(self, starts: list[ReservedRun], request: PlacementRequest) -> bool:
        """Return whether a gang waits whose members would start on these minions."""
        if not self.spec.gang or all(self.is_near(run.minion) for run in starts):
            return False
        for run in starts:
            # The gang's own reservations are released if it waits.
            self.waits.fleet.minions[run.minion].release(run.name)
        request = attrs.evolve(request, siblings={})
        held = self._decide(request, [run.key for run in starts])
        for run in starts:
            self.waits.fleet.minions[run.minion].reserve(run)
        return held

    def _waiting_keys(self) -> list[str]:
        keys = (task_key(*self.name[1:], index) for index in self.step.indexes)
        return [key for key in keys if self.waits.fleet.find_run(self.job.job_id, key) is None]

    def find(
        self, request: PlacementRequest, rack: str, count: int, horizon_ms: int | None = None
    ) -> Claim | None:
        """Find the next places in a rack for a number of the step's tasks."""

        def places(minion: Minion) -> int:
            if minion.minion_id in request.avoided or not allows(request, minion):
                return 0
            if minion.suspects and minion.has_other_suspects(request.job_id):
                return 0
            if not self.spec.max_per_minion:
                return count
            return self.spec.max_per_minion - request.siblings.get(minion.minion_id, 0)

        run_ms = NEVER_MS if self.spec.gang else self.near_ms
        return self.waits.forecast(self.racks, rack).find(
            self.spec.needs, run_ms, count, places, horizon_ms
        )

    def _decide(self, request: PlacementRequest, keys: list[str]) -> bool:
        """Decide whether tasks wait, and note their places and the start of their waits."""
        claim = self.find(request, self.rack, len(keys))
        if claim is None:
            return False
        left_cpu = self.racks.left_cpu + len(keys) * self.spec.needs.cpu_millis
        known = self.waits.steps.get(self.name)
        now_ms = self.waits.now_ms
        since = known.since_ms if known is not None else {}
        since_ms = min(since.get(key, now_ms) for key in keys)
        wait = NearWait(
            near_ms=self.near_ms,
            far_ms=self.far_ms,
            expected_ms=claim.expected_ms,
            waited_ms=now_ms - since_ms,
            slack_ms=self.slack_ms,
            room_is_used=self.racks.room_is_used(self.spec.needs, left_cpu, self.waits.fleet),
        )
        if not self.waits.policy(wait):
            return False
        forecast = self.waits.forecast(self.racks, self.rack)
        self.waits.begin(self, wait, keys, ahead=forecast.waiting)
        forecast.take(claim, len(keys))
        self.racks.left_cpu = left_cpu
        return True


@define(kw_only=True)
class NearWaits:
    """Decide and record which tasks wait for the rack that they ask for."""

    fleet: FleetState
    # How much longer a task takes outside its rack; 1.0 means that waiting never pays.
    remote_factor: float = 1.0
    policy: WaitPolicy = field(factory=lambda: wait_policies.get("expected_gain"))
    metrics: Metrics | None = None
    now_ms: int = 0
    wall_ms: int = 0
    steps: dict[StepName, StepWait] = field(factory=dict)
    begun: int = 0
    ended_near: int = 0
    ended_far: int = 0
    waited_ms: int = 0

    def begin_pass(self, now_ms: int, wall_ms: int) -> None:
        """Note the time, and end the waits of tasks that are no longer ready."""
        self.now_ms, self.wall_ms = now_ms, wall_ms
        for name, wait in list(self.steps.items()):
            ready = self._ready_keys(name)
            for key in wait.since_ms.keys() - ready:
                self._end_task(wait, key)
                self._event("placement_wait_withdrawn")
            self._finish_if_over(name, wait)

    def _ready_keys(self, name: StepName) -> set[str]:
        for step in self.fleet.ready.get(name[0], ()):
            if (step.occurrence, step.step) == name[1:]:
                return {task_key(*name[1:], index) for index in step.indexes}
        return set()

    def turn(
        self,
        racks: PoolRacks,
        job: StepJob,
        step: ReadyStep,
        request: PlacementRequest,
    ) -> NearTurn | None:
        """Return the decision for a step's tasks, or None if no place is nearer than another."""
        spec = job.spec.steps[step.step]
        turn = self._describe(racks, job, step, spec)
        if spec.data_rack:
            turn.rack = spec.data_rack
        elif request.siblings:
            turn.rack = self._rack_of_most(request.siblings)
        else:
            turn.rack = self._soonest_rack(turn, request)
        return turn if turn.rack else None

    def applies(self, spec: StepSpec) -> bool:
        """Return whether the tasks of a step take longer outside some rack."""
        asks = spec.data_rack or spec.same_rack
        return bool(asks) and self.remote_factor > 1 and spec.estimate_ms > 0 and not spec.lasting

    def _describe(
        self, racks: PoolRacks, job: StepJob, step: ReadyStep, spec: StepSpec
    ) -> NearTurn:
        factor = self.fleet.run_times.factor(job.queue)
        queue = self.fleet.queue_of(job)
        left_ms = queued_since_ms(job, step.occurrence) + objective_ms(job.spec, queue)
        left_ms -= self.wall_ms
        near_ms = max(1, int(spec.estimate_ms * factor))
        return NearTurn(
            waits=self,
            racks=racks,
            job=job,
            step=step,
            spec=spec,
            rack="",
            near_ms=near_ms,
            far_ms=int(near_ms * self.remote_factor),
            slack_ms=int(left_ms - remaining_critical_path_ms(job, step.occurrence) * factor),
        )

    def _rack_of_most(self, siblings: dict[str, int]) -> str:
        counts: dict[str, int] = {}
        for minion_id, count in siblings.items():
            minion = self.fleet.minions.get(minion_id)
            if minion is not None:
                rack = minion.report.rack
                counts[rack] = counts.get(rack, 0) + count
        return max(counts, key=lambda rack: (counts[rack], rack), default="")

    def _soonest_rack(self, turn: NearTurn, request: PlacementRequest) -> str:
        """Return the rack that has places for the whole step first, the fullest of several."""
        needs = turn.spec.needs
        if not any(minion.can_fit(needs) for minion in turn.racks.minions):
            return ""
        known = self.steps.get(turn.name)
        free: dict[str, int] = {}
        for minion in turn.racks.minions:
            rack = minion.report.rack
            free[rack] = free.get(rack, 0) + minion.free().cpu_millis
        found = []
        for rack, cpu in free.items():
            if not rack:
                continue
            claim = turn.find(request, rack, len(turn.step.indexes), turn.far_ms - turn.near_ms)
            if claim is not None and claim.expected_ms is not None:
                is_new = known is None or known.rack != rack
                found.append((claim.expected_ms, is_new, cpu, rack))
        return min(found)[-1] if found else ""

    def forecast(self, racks: PoolRacks, rack: str) -> RackForecast:
        """Return the estimate for a rack, computed once in a pass."""
        if rack not in racks.forecasts:
            minions = [m for m in racks.minions if m.report.rack == rack]
            racks.forecasts[rack] = RackForecast.of(minions, self.now_ms, self._factor_of)
        return racks.forecasts[rack]

    def _factor_of(self, run: ReservedRun) -> float:
        job = self.fleet.job(run.job_id)
        return self.fleet.run_times.factor(job.queue) if job else 1.0

    def begin(self, turn: NearTurn, wait: NearWait, keys: list[str], *, ahead: int) -> None:
        """Record that tasks wait, unless they do already."""
        known = self.steps.get(turn.name)
        if known is None:
            known = self.steps[turn.name] = StepWait(rack=turn.rack, began_ms=self.now_ms)
            log.bind(
                request=turn.job.job_id,
                step=f"{turn.step.occurrence}.{turn.step.step}",
                rack=turn.rack,
                ahead=ahead,
                factor=self.remote_factor,
                **attrs.asdict(wait),
            ).info("wait for a near place begins")
        known.rack = turn.rack
        for key in keys:
            if key not in known.since_ms:
                known.since_ms[key] = self.now_ms
                self.begun += 1
                self._event("placement_wait_begun")

    def finish(self, job: StepJob, step: ReadyStep, starts: Iterable[ReservedRun]) -> None:
        """Record the waits that end with these starts."""
        name = (job.job_id, step.occurrence, step.step)
        wait = self.steps.get(name)
        if wait is None:
            return
        for run in starts:
            if run.key not in wait.since_ms:
                continue
            self._end_task(wait, run.key)
            if self.fleet.minions[run.minion].report.rack == wait.rack:
                wait.near += 1
                self.ended_near += 1
                self._event("placement_wait_ended_near")
            else:
                wait.far += 1
                self.ended_far += 1
                self._event("placement_wait_ended_far")
        self._finish_if_over(name, wait)

    def _end_task(self, wait: StepWait, key: str) -> None:
        task_ms = self.now_ms - wait.since_ms.pop(key)
        wait.waited_ms += task_ms
        self.waited_ms += task_ms

    def _finish_if_over(self, name: StepName, wait: StepWait) -> None:
        if wait.since_ms:
            return
        del self.steps[name]
        log.bind(
            request=name[0],
            step=f"{name[1]}.{name[2]}",
            rack=wait.rack,
            near=wait.near,
            far=wait.far,
            lasted_ms=self.now_ms - wait.began_ms,
            waited_ms=wait.waited_ms,
        ).info("wait for a near place ends")
        if self.metrics is not None:
            self.metrics.gauge("placement_waited_ms", self.waited_ms)

    def _event(self, name: str) -> None:
        if self.metrics is not None:
            self.metrics.event(name)
