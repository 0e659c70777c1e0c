"""Turns of a pool's suspects of a crash, on minions that are empty or held until they are."""

from __future__ import annotations

import attrs
from attrs import define, field

from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.job_progress import ReadyStep
from hornbeamreach.systems.suspect_isolation import (
    AVOID_CRASHED_MS,
    MAX_CRASHES_IN_COMPANY,
    SUSPECT_MAX_WAIT_MS,
    WIDEN_AFTER_MS,
    HoldPolicy,
    HoldRequest,
    becomes_empty,
    hold_policies,
    least_company,
    max_held,
    max_idle,
    max_widened,
    minions_needed,
)
from hornbeamreach.systems.task_placement import PlacementPolicy, PlacementRequest
from hornbeamreach.tables.minions import Minion, ReservedRun
from hornbeamreach.tables.workload import StepJob, StepSpec, parse_task_key

log = part_logger("suspects")

StepName = tuple[str, int, int]


@define(kw_only=True)
class SuspectTurn:
    """Place the suspect tasks of one step; it is a placement policy."""

    turns: SuspectTurns
    policy: PlacementPolicy
    step: StepSpec
    waited_ms: int
    # Once other work is placed, suspects may take more of the empty minions.
    idle: bool = False
    # Its tickets are requested, so its minion is not known yet.
    lacks_tickets: bool = False
    # The request that found no minion, and the ids of minions shared with other jobs.
    refused: PlacementRequest | None = None
    shared: set[str] = field(factory=set)

    def __call__(self, request: PlacementRequest, minions: list[Minion]) -> Minion | None:
        """Choose a minion without other jobs; after a long wait, one with few of their runs."""
        minion = self.policy(request, self._open_minions(request, minions))
        if minion is None and self._waited_in_vain(request, minions):
            minion = least_company(request, self.turns.not_held_for_others(request, minions))
            if minion is not None:
                self.shared.add(minion.minion_id)
        if minion is None:
            self.refused = self._without_members(request)
        else:
            self.turns.exclusive.add(minion.minion_id)
        return minion

    def _without_members(self, request: PlacementRequest) -> PlacementRequest:
        """Return the request as it is once a gang's members chosen so far are released."""
        if not self.step.gang:
            return request
        return attrs.evolve(request, siblings={}, racks=frozenset())

    def _waited_in_vain(self, request: PlacementRequest, minions: list[Minion]) -> bool:
        """Return whether the suspect has waited for long and can't expect a minion for itself.

        After some crashes it is not placed in company any more, as each harms other jobs.
        """
        crashes = self.turns.crashes(request.job_id, request.key)
        if self.waited_ms < SUSPECT_MAX_WAIT_MS or crashes >= MAX_CRASHES_IN_COMPANY:
            return False
        return self.needed(minions) > max_widened(len(minions)) or not any(
            becomes_empty(request, minion) for minion in minions
        )

    def _open_minions(self, request: PlacementRequest, minions: list[Minion]) -> list[Minion]:
        """List the minions that the job's suspects may take within the pool's limit."""
        if self.turns.count_exclusive(request) >= self.limit(minions):
            found = [m for m in minions if request.job_id in m.suspects]
        else:
            found = self.turns.not_held_for_others(request, minions)
        if self.avoids_crashed(request, minions):
            found = [m for m in found if m.minion_id not in request.avoided]
        return found

    def avoids_crashed(self, request: PlacementRequest, minions: list[Minion]) -> bool:
        """Return whether the suspect still waits for a minion that did not crash under it."""
        request = self._without_members(request)
        return self.waited_ms < AVOID_CRASHED_MS and any(
            m.minion_id not in request.avoided and becomes_empty(request, m) for m in minions
        )

    def limit(self, minions: list[Minion]) -> int:
        """Return how many of the minions may be held or exclusive at once."""
        usable = len(minions)
        if self.waited_ms >= SUSPECT_MAX_WAIT_MS:
            return usable
        if self.idle:
            return max_idle(usable)
        if self.waited_ms >= WIDEN_AFTER_MS:
            return max_widened(usable)
        return max(max_held(usable), min(max_widened(usable), self.needed(minions)))

    def needed(self, minions: list[Minion]) -> int:
        """Return how many empty minions the step needs at once."""
        return minions_needed(self.step, minions)


@define(kw_only=True)
class SuspectTurns:
    """Let suspects run where no other job is harmed, and hold minions for those that wait."""

    fleet: FleetState
    policy: PlacementPolicy
    hold: HoldPolicy = field(factory=lambda: hold_policies.get("soonest_empty"))
    metrics: Metrics | None = None
    # Since when the suspects of a step have found no minion.
    waiting_since_ms: dict[StepName, int] = field(factory=dict)
    # What was held in the present pool before it was planned.
    held_before: dict[str, str] = field(factory=dict)
    members: set[str] = field(factory=set)
    # Minions with suspects in the present pool, and when minions become empty, in this pass.
    exclusive: set[str] = field(factory=set)
    empty_in: dict[str, int] = field(factory=dict)

    def begin_pass(self) -> None:
        """Release what no suspect waits for, and forget the waits of steps without suspects."""
        held = self.fleet.held_minions
        self.fleet.held_minions = {m: job for m, job in held.items() if self._is_wanted(m, job)}
        self.empty_in.clear()
        if self.waiting_since_ms:
            waiting = {
                (job_id, *parse_task_key(key)[:2])
                for job_id, keys in self.fleet.suspect_tasks.items()
                for key in keys
            }
            for name in self.waiting_since_ms.keys() - waiting:
                del self.waiting_since_ms[name]

    def _is_wanted(self, minion_id: str, job_id: str) -> bool:
        minion, job = self.fleet.minions.get(minion_id), self.fleet.job(job_id)
        if minion is None or job is None or job_id not in self.fleet.suspect_tasks:
            return False
        return self.fleet.pool_of(job) == minion.report.pool

    def release_pool(self, minions: list[Minion]) -> None:
        """Release what is held in a pool that is planned now."""
        held = self.fleet.held_minions
        self.held_before = {
            m.minion_id: held.pop(m.minion_id) for m in minions if m.minion_id in held
        }

    def begin_pool(self, minions: list[Minion]) -> None:
        """Note a pool's minions, and which of them have suspects."""
        self.members = {m.minion_id for m in minions}
        self.exclusive = {m.minion_id for m in minions if m.suspects}

    def turn(self, job: StepJob, step: ReadyStep, now_ms: int, *, idle: bool) -> SuspectTurn:
        """Return the placement of a step's suspect tasks in this pass."""
        since_ms = self.waiting_since_ms.get((job.job_id, step.occurrence, step.step), now_ms)
        return SuspectTurn(
            turns=self,
            policy=self.policy,
            step=job.spec.steps[step.step],
            waited_ms=now_ms - since_ms,
            idle=idle,
        )

    def finish(
        self,
        turn: SuspectTurn,
        job: StepJob,
        step: ReadyStep,
        starts: list[ReservedRun],
        minions: list[Minion],
        now_ms: int,
    ) -> None:
        """Note what a step's suspects found, and hold minions for those that wait."""
        for run in starts:
            if run.minion in turn.shared:
                self._log_shared(turn, run)
        name = (job.job_id, step.occurrence, step.step)
        if starts:
            self.waiting_since_ms.pop(name, None)
        else:
            # What was chosen is released again for a gang that did not fit, or by a team's limit.
            self.begin_pool(minions)
        if turn.idle:
            return
        if turn.refused is not None:
            self.waiting_since_ms.setdefault(name, now_ms)
            self._hold(turn, turn.refused, minions, now_ms)
        elif turn.lacks_tickets:
            self._hold_again(turn, job.job_id, minions)

    def not_held_for_others(self, request: PlacementRequest, minions: list[Minion]) -> list[Minion]:
        """List the minions that are not held for another job."""
        held = self.fleet.held_minions
        return [m for m in minions if held.get(m.minion_id, request.job_id) == request.job_id]

    def count_exclusive(self, request: PlacementRequest) -> int:
        """Count the minions with suspects, and those held for suspects of other jobs."""
        held = self.fleet.held_minions
        others = (
            minion
            for minion, job_id in held.items()
            if job_id != request.job_id and minion in self.members
        )
        return len(self.exclusive) + sum(1 for minion in others if minion not in self.exclusive)

    def _hold(
        self, turn: SuspectTurn, request: PlacementRequest, minions: list[Minion], now_ms: int
    ) -> None:
        """Hold the minions that the suspect needs, or none if it needs more than the limit."""
        job_id, held = request.job_id, self.fleet.held_minions
        needed = turn.needed(minions)
        already = sum(1 for holder in held.values() if holder == job_id)
        room = turn.limit(minions) - self.count_exclusive(request)
        count = needed - already
        if count <= 0 or needed > room:
            return
        before = frozenset(m for m, holder in self.held_before.items() if holder == job_id)
        hold_request = HoldRequest(
            placement=request, now_ms=now_ms, held_before=before, empty_in=self.empty_in
        )
        candidates = [m for m in minions if m.minion_id not in held and not m.suspects]
        if turn.avoids_crashed(request, minions):
            candidates = [m for m in candidates if m.minion_id not in request.avoided]
        for minion in self.hold(hold_request, candidates)[:count]:
            held[minion.minion_id] = job_id
            if not before:
                self._log_held(turn, request, minion)

    def _hold_again(self, turn: SuspectTurn, job_id: str, minions: list[Minion]) -> None:
        """Hold what was held for a job whose tickets are renewed."""
        held = self.fleet.held_minions
        for minion in minions:
            name = minion.minion_id
            held_here = len(self.members & held.keys())
            if self.held_before.get(name) == job_id and held_here < turn.limit(minions):
                held.setdefault(name, job_id)

    def _log_held(self, turn: SuspectTurn, request: PlacementRequest, minion: Minion) -> None:
        log.bind(
            request=request.job_id,
            task=request.key,
            minion=minion.minion_id,
            runs=len(minion.runs),
            crashes=self.crashes(request.job_id, request.key),
            waited_ms=turn.waited_ms,
        ).info("minion is held for a suspect of a crash")
        self._event("suspect_minion_held")

    def _log_shared(self, turn: SuspectTurn, run: ReservedRun) -> None:
        log.bind(
            request=run.job_id,
            task=run.key,
            minion=run.minion,
            runs=len(self.fleet.minions[run.minion].runs),
            crashes=self.crashes(run.job_id, run.key),
            waited_ms=turn.waited_ms,
        ).warning("suspect of a crash waited too long and is placed beside other jobs")
        self._event("suspect_shares_minion")

    def crashes(self, job_id: str, key: str) -> int:
        """Return how many minions have crashed under a task since it was last cleared."""
        job = self.fleet.job(job_id)
        task = job.tasks.get(key) if job else None
        return task.crashes if task else 0

    def _event(self, name: str) -> None:
        if self.metrics is not None:
            self.metrics.event(name)
