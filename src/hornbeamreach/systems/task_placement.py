"""Choice of a minion for a task of a step job.

Load pattern: tasks of one to three cores on minions of about sixteen, more than fit at a
queue's turn; racks fail together and some minions are slow or fail what they start.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.tables.minions import Minion
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepSpec


@define(frozen=True, kw_only=True)
class Wish:
    """Describe a task that wants a minion."""

    step: StepSpec
    needs: Resources
    # Tasks of the same occurrence of the step, by minion.
    siblings: dict[str, int] = field(factory=dict)
    # Racks that run members of the same gang or step.
    racks: frozenset[str] = frozenset()
    # Minions that the admission service allows; None if it is not asked.
    admitted: frozenset[str] | None = None
    # Minions where the task failed before.
    avoided: frozenset[str] = frozenset()

    @property
    def constrained(self) -> bool:
        """Tell whether more than the room of its pool decides if the task can start."""
        step = self.step
        bound = step.required_label or step.max_per_minion or step.gang
        return bool(bound) or self.admitted is not None


Place = Callable[[Wish, list[Minion]], "Minion | None"]
task_placements: Registry[Place] = Registry("task placement")


def fits(wish: Wish, minion: Minion) -> bool:
    """Tell whether the minion may and can take the task now."""
    step = wish.step
    if step.required_label and step.required_label not in minion.report.labels:
        return False
    if step.max_per_minion and wish.siblings.get(minion.minion_id, 0) >= step.max_per_minion:
        return False
    if wish.admitted is not None and minion.minion_id not in wish.admitted:
        return False
    return minion.can_fit(wish.needs)


@task_placements.register("first_fit")
def first_fit(wish: Wish, minions: list[Minion]) -> Minion | None:
    """Take the first minion that fits; the baseline."""
    return next((minion for minion in minions if fits(wish, minion)), None)


@task_placements.register("best_fit")
def best_fit(wish: Wish, minions: list[Minion]) -> Minion | None:
    """Take the fullest minion that fits, near the data and away from known trouble."""
    suitable = [minion for minion in minions if fits(wish, minion)]
    return min(suitable, key=lambda minion: _cost(wish, minion), default=None)


def _cost(wish: Wish, minion: Minion) -> tuple:
    step = wish.step
    far = bool(step.data_rack) and minion.report.rack != step.data_rack
    split = step.same_rack and bool(wish.racks) and minion.report.rack not in wish.racks
    return (
        int(minion.minion_id in wish.avoided),
        int(far) + int(split),
        int(_disturbs(step, minion)),
        len(minion.failing_jobs),
        int(minion.report.cold_ms > 0),
        minion.report.capacity.cpu_millis - minion.used.cpu_millis,
    )


def _disturbs(step: StepSpec, minion: Minion) -> bool:
    """Tell whether a filler would share the minion with a task that serves."""
    return step.filler and any(run.lasting and not run.filler for run in minion.runs.values())


def usable(minions: Iterable[Minion], now_ms: int) -> list[Minion]:
    """List the minions that may get new work."""
    return [
        minion
        for minion in minions
        if not minion.report.draining
        and not minion.report.leaving
        and not minion.cordoned
        and minion.polled_ms >= 0
        and minion.failed_calls == 0
        and not minion.is_silent(now_ms)
        and minion.suspect_until_ms <= now_ms
    ]
