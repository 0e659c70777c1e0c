"""Decide how much optional work the scheduler does while its event loop is late.

Load pattern: queues take turns in peaking at five times their mean, and at the same time a leader
takes over and polls all minions. Polls, planning and moves of VMs then take longer than there is
processor time, and heartbeats, answers to callers and renewals of leases wait behind them.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from attrs import define

from hornbeamreach.registry import Registry

# Delays an answer by about as much as coalescing and a disk sync do.
SLICE_MS = 20
SHORT_SLICE_MS = 10
# Timers are this late by collections of garbage and by other processes, without any backlog.
TOLERATED_LAG_MS = 50
# Two heartbeats of control: above it answers to callers are late, so what can wait is left out.
URGENT_ONLY_LAG_MS = 300
# Below it messages wait for a few ms at most.
TOLERATED_BUSY_SHARE = 0.7
# About half of a short task: ends that are noticed later leave their capacity unused for longer.
MAX_BUSY_PAUSE_MS = 300
# Two passes of a loop that is busy with some hundred tasks.
MAX_RELAY_PAUSE_MS = 60
# Twice the span within which ends share a log append. With 60 ms, starts and ends were later for no
# less processor time (benches/leader_load).
SHORT_RELAY_PAUSE_MS = 20
# Above it a relayed call shares its messages with others: it takes 0.2 ms less of the leader than
# an HTTP call, and is answered 35 ms later (benches/minion_calls).
RELAY_ALL_BUSY_SHARE = 0.85
# Above it the demand that moves follow is out of date. Below, moves are what ends a backlog.
NO_MOVES_LAG_MS = 2_000


@define(frozen=True, kw_only=True)
class Effort:
    """Hold how much optional work the scheduler does."""

    # Pause between two polls of a minion.
    poll_pause_ms: int = 0
    # Polls only renew leases and settle unknown outcomes.
    urgent_polls_only: bool = False
    slice_ms: int = SLICE_MS
    # Whether VMs are moved between pools.
    moves: bool = True
    # Span within which relayed calls and results share one message; 0 for the shortest one.
    relay_pause_ms: int = 0
    # Whether calls go through followers in a fleet of any size.
    relays_all: bool = False

    @property
    def delays_polls(self) -> bool:
        """Return whether any poll may have to wait."""
        return self.urgent_polls_only or self.poll_pause_ms > 0


@define(frozen=True, kw_only=True)
class PollState:
    """Hold what decides how long a minion's next poll may wait."""

    # The minion is not known yet, doesn't answer, leaves, or has a run with an unknown outcome.
    unsettled: bool
    # Remaining lease of the minion's runs; None if it has none.
    lease_left_ms: int | None
    lease_ms: int
    lag_ms: int
    waited_ms: int = 0


# Called with the loop's lag in ms and the part of the last second in which it was busy.
OverloadPolicy = Callable[[int, float], Effort]
overload_policies: Registry[OverloadPolicy] = Registry("overload policy")


@overload_policies.register("none")
def none(lag_ms: int, busy_share: float = 0.0) -> Effort:
    """Do all work whatever the lag is, as a baseline."""
    return Effort()


@overload_policies.register("by_lag")
def by_lag(lag_ms: int, busy_share: float = 0.0) -> Effort:
    """Pause polls by the lag and shorten slices, and above 300 ms leave out what can wait."""
    if lag_ms <= TOLERATED_LAG_MS:
        return Effort()
    urgent = lag_ms > URGENT_ONLY_LAG_MS
    return Effort(
        poll_pause_ms=min(lag_ms, URGENT_ONLY_LAG_MS),
        urgent_polls_only=urgent,
        slice_ms=SHORT_SLICE_MS,
        moves=lag_ms <= NO_MOVES_LAG_MS,
    )


@overload_policies.register("by_load")
def by_load(lag_ms: int, busy_share: float = 0.0) -> Effort:
    """Leave out work by the lag, and pause polls longer the less the loop waits for events.

    A busy loop whose timers are in time has its messages queued in sockets. A poll after a pause
    returns more ended runs, for about the same processor time, and relayed calls and results share
    messages: each connection is read once in a pass of the loop, whatever a message holds.
    """
    effort = by_lag(lag_ms)
    busy = max(0.0, (busy_share - TOLERATED_BUSY_SHARE) / (1 - TOLERATED_BUSY_SHARE))
    return attrs.evolve(
        effort,
        poll_pause_ms=max(effort.poll_pause_ms, round(busy * MAX_BUSY_PAUSE_MS)),
        relay_pause_ms=round(busy * MAX_RELAY_PAUSE_MS),
    )


@overload_policies.register("share_messages")
def share_messages(lag_ms: int, busy_share: float = 0.0) -> Effort:
    """Leave out work by the lag, and let relayed calls share messages while the loop is busy.

    A poll that waits for an end takes no processor time, and after each poll the ends of the time
    until the next one are gathered anyway: a busy loop comes to it later. A pause by the busy share
    therefore saves little, while the room of each end stays unused for its length.
    """
    busy = max(0.0, (busy_share - TOLERATED_BUSY_SHARE) / (1 - TOLERATED_BUSY_SHARE))
    return attrs.evolve(
        by_lag(lag_ms),
        relay_pause_ms=round(busy * SHORT_RELAY_PAUSE_MS),
        relays_all=busy_share >= RELAY_ALL_BUSY_SHARE,
    )


def poll_delay_ms(effort: Effort, state: PollState) -> int:
    """Return how much longer a minion's next poll waits.

    It never waits once the lease lapses within half of its term: a timer may fire late by the
    lag, so that is added.
    """
    if state.unsettled:
        return 0
    left_ms = state.lease_ms if state.lease_left_ms is None else state.lease_left_ms
    until_renewal_ms = max(0, left_ms - state.lease_ms // 2 - state.lag_ms)
    if effort.urgent_polls_only:
        return until_renewal_ms
    return max(0, min(until_renewal_ms, effort.poll_pause_ms - state.waited_ms))
