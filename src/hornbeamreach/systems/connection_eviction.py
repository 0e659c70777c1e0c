"""Choose the connections that a server closes when they hold too much memory together.

Load pattern: clients that nobody controls open as many connections as a process has descriptors.
Each holds a part of a request, or an answer that it doesn't read, for as long as it may. Callers
beside them send small requests at once and read the answers.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry

# After an eviction the connections hold this share of the limit at most: the next choice, which
# looks at all of them, comes only once clients have sent the rest again.
TARGET_SHARE = 0.75
# Below the limit, no connection is closed for less than this.
MIN_EVICTED_BYTES = 16 * 1024


@define(frozen=True, kw_only=True)
class ConnectionLoad:
    """Hold what decides whether a connection is closed."""

    held_bytes: int
    # A complete request is being served: what it holds isn't freed by closing the connection.
    is_serving: bool = False


# Returns the indexes of the connections to close, so that all hold at most the given bytes.
EvictionPolicy = Callable[[list[ConnectionLoad], int], list[int]]
eviction_policies: Registry[EvictionPolicy] = Registry("eviction policy")


@eviction_policies.register("latest")
def evict_latest(loads: list[ConnectionLoad], max_bytes: int) -> list[int]:
    """Close the connection that comes last alone, as a baseline: the crowd stays."""
    return [len(loads) - 1] if loads else []


@eviction_policies.register("largest")
def evict_largest(loads: list[ConnectionLoad], max_bytes: int) -> list[int]:
    """Close those that hold the most, which spares callers with small requests."""
    held_bytes = sum(load.held_bytes for load in loads)
    candidates = [index for index, load in enumerate(loads) if not load.is_serving]
    candidates.sort(key=lambda index: loads[index].held_bytes, reverse=True)
    chosen = []
    for index in candidates:
        size = loads[index].held_bytes
        is_over = held_bytes > max_bytes
        is_worth_it = held_bytes > max_bytes * TARGET_SHARE and size >= MIN_EVICTED_BYTES
        if not size or not (is_over or is_worth_it):
            break
        chosen.append(index)
        held_bytes -= size
    return chosen
