"""Choose the control replica that relays a minion's orders.

Load pattern: at a few hundred starts per second, HTTP requests to minions take about half of the
leader's CPU time, while the other replicas idle.
"""

from __future__ import annotations

import zlib

from attrs import define, field

# For up to this many minions, the leader sends all orders itself, so that no other replica can
# delay them. Two starts per second for each minion of 16 cores take little of its CPU time.
MAX_DIRECT_MINIONS = 64
# A follower that the leader has not reached for three heartbeats relays no orders.
FOLLOWER_SILENT_MS = 450
# After an order with an unknown outcome, the leader sends that minion's orders itself for this
# long. A follower that returned no result relays no orders for as long. The leader and the
# follower may reach different minions.
BACKOFF_MS = 3_000
# With more than MAX_DIRECT_MINIONS, a poll is delayed by this after one that returned ended
# tasks, so that it returns more of them: at a queue's peak, a minion of 16 cores ends about 20
# tasks per second.
POLL_PAUSE_MS = 40


@define(frozen=True, kw_only=True)
class Follower:
    """Hold what the leader knows of another replica."""

    address: str
    silent_ms: int


@define(kw_only=True)
class RelayBackoff:
    """Track the minions and followers for which relaying is suspended, and until when."""

    until_ms: dict[str, int] = field(factory=dict)

    def back_off(self, name: str, now_ms: int) -> None:
        """Suspend relaying to a minion, or through a follower, for BACKOFF_MS."""
        self.until_ms[name] = now_ms + BACKOFF_MS

    def is_backing_off(self, name: str, now_ms: int) -> bool:
        """Return whether relaying to a minion, or through a follower, is suspended."""
        until_ms = self.until_ms.get(name)
        if until_ms is None:
            return False
        if until_ms > now_ms:
            return True
        del self.until_ms[name]
        return False


def poll_pause_ms(minions: int) -> int:
    """Return the delay in ms after a poll that returned ended tasks."""
    return POLL_PAUSE_MS if minions > MAX_DIRECT_MINIONS else 0


def choose_relay(
    minion: str,
    followers: list[Follower],
    backoff: RelayBackoff,
    *,
    minions: int,
    now_ms: int,
    max_direct_minions: int = MAX_DIRECT_MINIONS,
) -> str | None:
    """Return the address of the follower that relays a minion's orders, or None for the leader."""
    if minions <= max_direct_minions or backoff.is_backing_off(minion, now_ms):
        return None
    ready = sorted(
        follower.address
        for follower in followers
        if follower.silent_ms <= FOLLOWER_SILENT_MS
        and not backoff.is_backing_off(follower.address, now_ms)
    )
    return ready[zlib.crc32(minion.encode()) % len(ready)] if ready else None
