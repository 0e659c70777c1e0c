"""Limit what a control replica stores and holds, and decide when a snapshot replaces its log.

Load pattern: a configuration of 600 KB is changed hundreds of times, with few other entries of the
log between the changes. Most other entries take less than 1 KB, so the log of an ordinary day is
far below the limit in bytes, and encoding the state for a snapshot would only delay the leader.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry

MIB = 1024 * 1024
# Where a deployment doesn't state them.
DEFAULT_MEMORY_MB = 512
DEFAULT_DISK_MB = 1_024
# Of the memory: the log and the state are held once each, the state twice by the leader; loading
# either takes about twice its size, and sending it as much for each peer.
MEMORY_DIVISOR = 8
# Of the disk: the log, the snapshot, and the next one beside it until it has replaced both.
DISK_DIVISOR = 4


@define(frozen=True, kw_only=True)
class ReplicaLimits:
    """Limit a replica's log and state."""

    # A snapshot replaces the log once it would drop this many entries, or bytes.
    log_entries: int
    log_bytes: int
    # No further job is accepted above this size of the state.
    state_bytes: int


def limits_for(*, memory_mb: int, disk_mb: int, log_entries: int) -> ReplicaLimits:
    """Return the limits for a process with this much memory and disk; 0 where it isn't stated."""
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * MIB
    disk_bytes = (disk_mb or DEFAULT_DISK_MB) * MIB
    share_bytes = min(memory_bytes // MEMORY_DIVISOR, disk_bytes // DISK_DIVISOR)
    return ReplicaLimits(log_entries=log_entries, log_bytes=share_bytes, state_bytes=share_bytes)


@define(frozen=True, kw_only=True)
class DroppableLog:
    """Describe what a snapshot of the applied state would drop."""

    entries: int
    # The larger of the sizes in memory and on the disk.
    size_bytes: int


CompactionPolicy = Callable[[DroppableLog, ReplicaLimits], bool]
compaction_policies: Registry[CompactionPolicy] = Registry("compaction policy")


@compaction_policies.register("entries")
def is_due_by_entries(log: DroppableLog, limits: ReplicaLimits) -> bool:
    """Return whether the log has many entries, whatever their size: the plain baseline."""
    return log.entries >= limits.log_entries


@compaction_policies.register("size")
def is_due_by_size(log: DroppableLog, limits: ReplicaLimits) -> bool:
    """Return whether the log has many entries or takes many bytes."""
    return log.entries >= limits.log_entries or log.size_bytes >= limits.log_bytes
