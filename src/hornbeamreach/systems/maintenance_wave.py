"""Choose the next VMs of a maintenance wave, and the long-running tasks to move away first.

Load pattern: a wave takes a third to half of all VMs within a few peaks of demand, so each
pool's VMs are taken while the pool is idle.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define

from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.workload import MaintenanceWave

FULL_SPEED_PERCENT = 100
# A minion is polled once a second, and may be gone after two polls without a response.
LISTING_MAX_AGE_MS = 2_500


@define(frozen=True, kw_only=True)
class WaveCandidate:
    """Hold a VM that a wave may take next."""

    vm: str
    minion: Minion
    # Free share of its pool's CPU, 0 to 1.
    pool_free: float


def vms_to_keep_free(waves: Iterable[MaintenanceWave]) -> set[str]:
    """Return the VMs whose maintenance is ordered, by any scheduler, and may begin at any time."""
    return {
        vm
        for wave in waves
        for vm, confirmed in wave.ordered.items()
        if not (confirmed or vm in wave.finished)
    }


def available_vm_slots(wave: MaintenanceWave, selected: set[str]) -> int:
    """Return how many more VMs may be taken besides those that are down or selected."""
    down = wave.ordered.keys() - wave.finished - wave.gone
    return max(0, wave.max_down - len(down | selected))


def next_vms(
    wave: MaintenanceWave, candidates: Iterable[WaveCandidate], selected: set[str]
) -> list[WaveCandidate]:
    """Choose the VMs to drain now, so that at most `max_down` are selected or down."""
    eligible = [
        candidate
        for candidate in candidates
        if candidate.vm not in selected and candidate.vm not in wave.ordered
    ]
    eligible.sort(key=lambda c: (len(c.minion.runs) > 0, -c.pool_free, len(c.minion.runs)))
    return eligible[: available_vm_slots(wave, selected)]


def is_at_full_speed(run: ReservedRun, now_ms: int) -> bool:
    """Return whether a run was recently listed as working at full speed."""
    fresh = now_ms - run.last_listed_ms <= LISTING_MAX_AGE_MS
    return run.phase is RunPhase.RUNNING and run.percent >= FULL_SPEED_PERCENT and fresh


def unavailable_tasks(runs: dict[str, ReservedRun], keys: Iterable[str], now_ms: int) -> list[str]:
    """Return the keys of the tasks that are not known to work at full speed."""
    return [key for key in keys if key not in runs or not is_at_full_speed(runs[key], now_ms)]


def may_stop(run: ReservedRun, unavailable: int, may_miss: int, *, now_ms: int) -> bool:
    """Return whether a long-running task may stop within its step's `may_miss`; 0 is no limit."""
    others_unavailable = unavailable - int(not is_at_full_speed(run, now_ms))
    return may_miss == 0 or others_unavailable < may_miss
