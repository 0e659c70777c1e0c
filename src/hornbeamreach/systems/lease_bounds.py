"""Bound on a lease that a minion took from a call for an earlier incarnation.

Load pattern: minions start again under their ids, with a new clock, while calls for their earlier
incarnations are under way, and are cut off soon after. A call names the minion by its id alone, so
the next incarnation carries it out. The call's deadline is a time on the earlier clock and far
ahead of the new one; the minion shortens the lease to the longest that it grants.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry

# Wall clocks of VMs differ by seconds.
MAX_CLOCK_DIFFERENCE_MS = 10_000


@define(frozen=True, kw_only=True)
class IncarnationHistory:
    """Hold what a scheduler knows of a minion's incarnations as it hears of one."""

    # Start of the incarnation by the minion's wall clock, and the local wall time; 0 if nothing was
    # heard of the minion in this term.
    born_ms: int
    wall_ms: int
    # How long this scheduler has led, and whether an earlier one may have called minions.
    led_ms: int
    has_predecessor: bool = True
    # An earlier incarnation is known to this scheduler, or has runs in the log.
    has_earlier: bool = False
    # Wall time at which a scheduler recorded that the minion had started again; 0 if none did.
    returned_ms: int = 0


# Returns the time in ms, from the latest contact, for which the minion may hold such a lease.
LeaseBound = Callable[[IncarnationHistory, int], int]
lease_bounds: Registry[LeaseBound] = Registry("lease bound")


@lease_bounds.register("same_incarnation")
def same_incarnation(history: IncarnationHistory, longest_ms: int) -> int:
    """Count on leases for the known incarnation alone, as a baseline."""
    return 0


@lease_bounds.register("any_incarnation")
def any_incarnation(history: IncarnationHistory, longest_ms: int) -> int:
    """Wait for the longest lease wherever a call for an earlier incarnation may have arrived.

    An earlier scheduler's calls may have reached an incarnation that it never heard of; then only
    the incarnation's age shows that their leases have lapsed, or that there were none.
    """
    recent_ms = longest_ms + MAX_CLOCK_DIFFERENCE_MS
    is_recorded = bool(history.returned_ms) and history.wall_ms - history.returned_ms < recent_ms
    is_young = (
        history.has_predecessor
        and bool(history.born_ms)
        and history.led_ms <= history.wall_ms - history.born_ms < recent_ms
        and history.led_ms < longest_ms
    )
    return longest_ms if history.has_earlier or is_recorded or is_young else 0
