"""Choose a minion for a task of a step job.

Load pattern: tasks need one to three cores on minions of about sixteen, and more than fit at a
queue's peak. The minions of a rack fail together, and some minions are slow or fail every run.
A wave takes half of all VMs, and few tasks of a long-running step may be away at once: each of them
moves once if it restarts on a VM that the wave doesn't take later.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from attrs import define, field

from hornbeamreach.registry import Registry
from hornbeamreach.tables.declared import PoolRow
from hornbeamreach.tables.minions import MAX_CAPACITY_AGE_MS, Minion
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepSpec


@define(frozen=True, kw_only=True)
class PlacementRequest:
    """Describe what a task asks of a minion."""

    step: StepSpec
    needs: Resources
    # Number of tasks of the same step and occurrence, by minion.
    siblings: dict[str, int] = field(factory=dict)
    # Racks with members of the same gang or step.
    racks: frozenset[str] = frozenset()
    # Minions that the admission service allows; None if it is not used.
    admitted: frozenset[str] | None = None
    # Minions where the task failed or crashed before, and the racks of those that crashed.
    avoided: frozenset[str] = frozenset()
    avoided_racks: frozenset[str] = frozenset()
    job_id: str = ""
    key: str = ""
    # Rack outside of which the task takes longer; empty if the step's columns alone decide.
    near_rack: str = ""
    # Minions have crashed under the task: it may share a minion with its own job only.
    suspect: bool = False

    @property
    def constrained(self) -> bool:
        """Return whether the task needs more of a minion than free capacity."""
        step = self.step
        bound = step.required_label or step.max_per_minion or step.gang
        return bool(bound) or self.admitted is not None or self.suspect


PlacementPolicy = Callable[[PlacementRequest, list[Minion]], "Minion | None"]
placement_policies: Registry[PlacementPolicy] = Registry("task placement")


def allows(request: PlacementRequest, minion: Minion) -> bool:
    """Return whether the minion is allowed for the task, whatever else runs there."""
    step = request.step
    if step.required_label and step.required_label not in minion.report.labels:
        return False
    if step.max_per_minion and request.siblings.get(minion.minion_id, 0) >= step.max_per_minion:
        return False
    return request.admitted is None or minion.minion_id in request.admitted


def fits(request: PlacementRequest, minion: Minion, *, alone: bool = True) -> bool:
    """Return whether the minion is allowed for the task and has enough room now.

    Without `alone` a suspect may join runs of other jobs, but no other suspects.
    """
    if minion.suspects and minion.has_other_suspects(request.job_id):
        return False
    if alone and request.suspect and minion.has_other_jobs(request.job_id):
        return False
    return minion.can_fit(request.needs) and allows(request, minion)


@placement_policies.register("first_fit")
def first_fit(request: PlacementRequest, minions: list[Minion]) -> Minion | None:
    """Choose the first minion that fits, as a baseline."""
    return next((minion for minion in minions if fits(request, minion)), None)


@placement_policies.register("best_fit")
def best_fit(request: PlacementRequest, minions: list[Minion]) -> Minion | None:
    """Choose the fullest minion that fits, near the data and without recent failures."""
    if _is_plain(request):
        return _plain_best_fit(request, minions)
    suitable = [minion for minion in minions if fits(request, minion)]
    return min(suitable, key=lambda minion: _cost(request, minion), default=None)


def _is_plain(request: PlacementRequest) -> bool:
    """Return whether only failures, cold starts and free capacity tell the minions apart."""
    step = request.step
    return not (
        request.constrained
        or request.avoided
        or request.avoided_racks
        or step.data_rack
        or step.same_rack
        or step.lasting
        or step.filler
    )


def _plain_best_fit(request: PlacementRequest, minions: list[Minion]) -> Minion | None:
    """Choose as `_cost` does for a plain request.

    Most tasks are plain, and the costs of all minions were two fifths of the leader's time, so
    this builds no object for a minion.
    """
    needs, job_id = request.needs, request.job_id
    cpu_millis, memory_mb, accelerators = needs.amounts()
    found, lowest = None, (0, 0)
    for minion in minions:
        report, used = minion.report, minion.used
        capacity = report.capacity
        free = capacity.cpu_millis - used.cpu_millis
        if (
            cpu_millis > free
            or memory_mb > capacity.memory_mb - used.memory_mb
            or accelerators > capacity.accelerators - used.accelerators
            or minion.has_unknown_use
            or (minion.suspects and minion.has_other_suspects(job_id))
        ):
            continue
        drawbacks = 2 * len(minion.failing_jobs) + (report.cold_ms > 0)
        if found is None or (free < lowest[1] if drawbacks == lowest[0] else drawbacks < lowest[0]):
            found, lowest = minion, (drawbacks, free)
    return found


def _cost(request: PlacementRequest, minion: Minion) -> tuple:
    step = request.step
    rack = request.near_rack or step.data_rack
    remote = bool(rack) and minion.report.rack != rack
    split = step.same_rack and bool(request.racks) and minion.report.rack not in request.racks
    return (
        int(minion.minion_id in request.avoided),
        int(minion.report.rack in request.avoided_racks),
        int(remote) + int(split),
        int(step.lasting and minion.awaits_maintenance),
        # Cut off or lost there, the task is started again only after the longest lease.
        int(step.lasting and minion.may_hold_carried_lease),
        int(_would_disturb_serving_task(step, minion)),
        len(minion.failing_jobs),
        int(minion.report.cold_ms > 0),
        minion.report.capacity.cpu_millis - minion.used.cpu_millis,
    )


def _would_disturb_serving_task(step: StepSpec, minion: Minion) -> bool:
    """Return whether a filler would share the minion with a long-running task."""
    return step.filler and any(run.lasting and not run.filler for run in minion.runs.values())


def usable_minions(
    minions: Iterable[Minion],
    now_ms: int,
    *,
    evacuated: Container[str] = (),
    kept_free: Container[str] = (),
) -> list[Minion]:
    """List the minions that may get new work, outside the evacuated data centres.

    `kept_free` names the VMs that get none.
    """
    return [
        minion
        for minion in minions
        if not minion.report.draining
        and not minion.report.leaving
        and not minion.cordoned
        and not minion.fenced
        and not minion.yielding
        and minion.polled_ms >= 0
        and minion.failed_calls == 0
        and not minion.is_silent(now_ms)
        and minion.suspect_until_ms <= now_ms
        and minion.report.data_center not in evacuated
        and minion.vm not in kept_free
    ]


def may_rely_on_capacity(minion: Minion, pool: PoolRow | None, now_ms: int) -> bool:
    """Return whether a minion's capacity was reported lately or the minion itself enforces it."""
    rejects_overload = pool is not None and pool.rejects_overload
    return rejects_overload or minion.capacity_age_ms(now_ms) <= MAX_CAPACITY_AGE_MS
