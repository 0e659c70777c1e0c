"""Room outside the evacuated data centres for long-running tasks that are to move."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field

from hornbeamreach.systems.task_placement import (
    PlacementRequest,
    fits,
    may_rely_on_capacity,
)
from hornbeamreach.tables.minions import Minion, ReservedRun
from hornbeamreach.tables.resources import NO_RESOURCES, Resources
from hornbeamreach.tables.workload import parse_task_key

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler


@define(kw_only=True, eq=False)
class EvacuationRoom:
    """Claim room on minions that may get work, during one evaluation.

    A claim reserves nothing: it keeps two tasks from being stopped for the same room.
    """

    scheduler: StepScheduler
    now_ms: int
    usable_by_pool: dict[str, list[Minion]] = field(factory=dict)
    claimed: dict[str, Resources] = field(factory=dict)
    # Claims by job, occurrence and step, and by minion.
    siblings: dict[tuple[str, int, int], Counter[str]] = field(factory=dict)

    def claim(self, run: ReservedRun) -> bool:
        """Claim room for a task; return whether there is any."""
        fleet = self.scheduler.fleet
        job = fleet.job(run.job_id)
        if job is None or job.ended:
            return False
        occurrence, number, _ = parse_task_key(run.key)
        siblings = Counter(fleet.count_siblings(job, occurrence, number))
        if fleet.find_run(run.job_id, run.key) is run:
            siblings[run.minion] -= 1
        claims = self.siblings.setdefault((run.job_id, occurrence, number), Counter())
        siblings.update(claims)
        step = job.spec.steps[number]
        request = PlacementRequest(
            step=step,
            needs=step.needs,
            siblings=siblings,
            job_id=run.job_id,
            key=run.key,
            suspect=run.suspect,
        )
        for minion in self._usable(fleet.pool_of(job)):
            taken = self.claimed.get(minion.minion_id, NO_RESOURCES).plus(step.needs)
            if fits(request, minion) and minion.can_fit(taken):
                self.claimed[minion.minion_id] = taken
                claims[minion.minion_id] += 1
                return True
        return False

    def _usable(self, pool: str) -> list[Minion]:
        if pool not in self.usable_by_pool:
            fleet = self.scheduler.fleet
            state = fleet.proposed.state
            members = [m for m in fleet.minions.values() if m.report.pool == pool]
            self.usable_by_pool[pool] = [
                minion
                for minion in fleet.usable_minions(members, self.now_ms)
                if minion.minion_id not in fleet.held_minions
                and may_rely_on_capacity(minion, state.table.pools.get(pool), self.now_ms)
            ]
        return self.usable_by_pool[pool]
