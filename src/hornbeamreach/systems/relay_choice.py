"""Choice of the control replica that carries a minion's orders.

Load pattern: at some hundred starts a second, exchanging HTTP with minions takes about half of
the leader's processor, while the other replicas idle.
"""

from __future__ import annotations

import zlib

from attrs import define, field

# Up to this many minions the leader gives all orders itself, and no other replica can delay
# them: two starts a second for each minion's 16 cores are well within its processor.
DIRECT_MINIONS = 64
# A follower that the leader has not reached for this long carries no orders: three heartbeats.
FOLLOWER_SILENT_MS = 450
# After an order without an answer its minion, or its follower, is reached directly for this
# long: what the two can reach may differ.
REST_MS = 3_000
# In a fleet of more than that, a look waits this long after one that found an end, and finds
# more of them: a minion of 16 cores ends some 20 tasks a second at a queue's turn.
LOOK_PAUSE_MS = 40


@define(frozen=True, kw_only=True)
class Follower:
    """Hold what the leader knows of another replica."""

    address: str
    silent_ms: int


@define(kw_only=True)
class RelayRests:
    """Remember which minions and followers are to be left out, and until when."""

    until_ms: dict[str, int] = field(factory=dict)

    def rest(self, name: str, now_ms: int) -> None:
        """Leave a minion or a follower out for a while."""
        self.until_ms[name] = now_ms + REST_MS

    def rests(self, name: str, now_ms: int) -> bool:
        """Tell whether a minion or a follower is left out."""
        until_ms = self.until_ms.get(name)
        if until_ms is None:
            return False
        if until_ms > now_ms:
            return True
        del self.until_ms[name]
        return False


def look_pause_ms(minions: int) -> int:
    """Return how long to wait between two looks that found something."""
    return LOOK_PAUSE_MS if minions > DIRECT_MINIONS else 0


def choose_relay(
    minion: str,
    followers: list[Follower],
    rests: RelayRests,
    *,
    minions: int,
    now_ms: int,
    direct_minions: int = DIRECT_MINIONS,
) -> str | None:
    """Return the address of the follower to carry a minion's orders, or None for the leader."""
    if minions <= direct_minions or rests.rests(minion, now_ms):
        return None
    ready = sorted(
        follower.address
        for follower in followers
        if follower.silent_ms <= FOLLOWER_SILENT_MS and not rests.rests(follower.address, now_ms)
    )
    return ready[zlib.crc32(minion.encode()) % len(ready)] if ready else None
