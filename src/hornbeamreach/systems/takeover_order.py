"""Order in which a new scheduler first polls the minions.

Load pattern: a leader is lost at a queue's peak. Its successor hears of all minions within two
seconds, and each first poll reads runs whose leases lapse unless they are renewed. Polled all at
once they block the loop for as long as a term lasts under load.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry

# First polls in turn at once: some hundred polls at once would delay every other message by the
# time that the loop takes for all of them.
MAX_FIRST_POLLS = 32


@define(frozen=True, kw_only=True)
class RecoveredMinion:
    """Hold what decides how soon a minion is polled for the first time."""

    # Number of runs that earlier schedulers reserved there, long-running ones included.
    runs: int = 0
    lasting_runs: int = 0
    # Lowest rank of their queues, and least time left until an objective of their jobs.
    rank: int = 0
    slack_ms: int = 0


TakeoverOrder = Callable[[RecoveredMinion], tuple]
takeover_orders: Registry[TakeoverOrder] = Registry("takeover order")


@takeover_orders.register("as_heard")
def as_heard(minion: RecoveredMinion) -> tuple:
    """Poll the minions in the order of their reports, as a baseline."""
    return ()


@takeover_orders.register("urgent_first")
def urgent_first(minion: RecoveredMinion) -> tuple:
    """Poll minions with long-running tasks first, then by rank and slack, then empty ones.

    A long-running task that is killed loses the most, and an empty minion loses nothing.
    """
    return (not minion.lasting_runs, not minion.runs, minion.rank, minion.slack_ms)
