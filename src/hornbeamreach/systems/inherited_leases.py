"""Bound on the lease of a run that a new leader inherits and whose minion it doesn't hear of.

Load pattern: a leader ends within ms of a start, and the minion is cut off. A start names the
minion by its id alone, so an incarnation that nobody has heard of may have carried it out, under
a deadline of the earlier clock. The leader knows better once the start is answered; its successor
knows only what was committed.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry


@define(frozen=True, kw_only=True)
class InheritedStart:
    """Hold what the log tells of the start of a run."""

    # Number of the start; 0 if it was recorded by an earlier build.
    number: int
    # Every start up to this number was settled by its leader.
    settled_through: int


# Returns the time in ms, from the beginning of the term, for which the minion may hold the run
# beyond what leases on the known clock allow; 0 for no longer.
InheritedLease = Callable[[InheritedStart, int], int]
inherited_leases: Registry[InheritedLease] = Registry("inherited lease")


@inherited_leases.register("known_clock")
def known_clock(start: InheritedStart, longest_ms: int) -> int:
    """Count on leases by the clock of the known incarnation alone, as a baseline."""
    return 0


@inherited_leases.register("every_start")
def every_start(start: InheritedStart, longest_ms: int) -> int:
    """Wait for the longest lease of every run, to compare what it costs."""
    return longest_ms


@inherited_leases.register("unsettled_start")
def unsettled_start(start: InheritedStart, longest_ms: int) -> int:
    """Wait for the longest lease where the log doesn't show that the start was settled."""
    is_settled = 0 < start.number <= start.settled_through
    return 0 if is_settled else longest_ms
