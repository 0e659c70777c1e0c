"""Bounds on the connections of one listener, and on the memory that they hold together."""

from __future__ import annotations

import resource

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.connection_eviction import (
    ConnectionLoad,
    EvictionPolicy,
    eviction_policies,
)

log = part_logger("http")

KIB = 1024
MIB = 1024 * KIB
# Where a deployment doesn't state it.
DEFAULT_MEMORY_MB = 512
# Part of a process's descriptors that the connections of its listeners use.
DESCRIPTOR_SHARE = 0.75
# What a silent connection takes: its task, its parser and its socket.
CONNECTION_BYTES = 12 * KIB
# Part of the memory of the connections that is left for what they send.
DATA_SHARE = 0.75
MIN_CONNECTIONS = 16
MAX_HEAD_BYTES = 64 * KIB
# Evictions are counted, and logged together at most this often.
LOG_INTERVAL_MS = 1_000


@define(frozen=True, kw_only=True)
class ConnectionLimits:
    """Limit the connections of one listener."""

    max_connections: int = 4_096
    # Memory of what has arrived of requests, and of answers that are not read yet.
    max_bytes: int = 64 * MIB
    # Of a request line with its headers, and of any other part that isn't content.
    max_head_bytes: int = MAX_HEAD_BYTES


def connection_limits(
    *,
    memory_mb: int,
    memory_share: float,
    max_descriptors: int = 0,
    share: float = 1.0,
    max_head_bytes: int = MAX_HEAD_BYTES,
) -> ConnectionLimits:
    """Return the limits of a listener that gets a share of what its process's connections may use.

    They may use `memory_share` of the process's memory. 0 stands for a size that isn't stated: the
    limit that the system sets, for descriptors.
    """
    memory_bytes = int((memory_mb or DEFAULT_MEMORY_MB) * MIB * memory_share * share)
    known_descriptors = max_descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    descriptors = int(known_descriptors * DESCRIPTOR_SHARE * share)
    by_memory = int(memory_bytes * (1 - DATA_SHARE)) // CONNECTION_BYTES
    return ConnectionLimits(
        max_connections=max(MIN_CONNECTIONS, min(descriptors, by_memory)),
        max_bytes=int(memory_bytes * DATA_SHARE),
        max_head_bytes=max_head_bytes,
    )


@define(kw_only=True, eq=False)
class PooledConnection:
    """Represent one connection, and what it holds."""

    pool: ConnectionPool
    # Cancelled when the connection is evicted.
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    held_bytes: int = 0
    is_serving: bool = False
    evicted: bool = False

    def hold(self, held_bytes: int) -> bool:
        """Record how much memory the connection holds; return False if that is too much now."""
        if self.evicted:
            # Its task has not noticed yet.
            return False
        grows = held_bytes > self.held_bytes
        self.pool.held_bytes += held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        if grows and self.pool.held_bytes > self.pool.limits.max_bytes:
            self.pool.evict_for_memory()
        return not self.evicted

    def begin_serving(self) -> None:
        """Note that a complete request is being served."""
        self.is_serving = True
        self.pool.waiting.pop(self, None)

    def begin_waiting(self) -> None:
        """Note that the connection waits for its client, from now on."""
        if self.evicted:
            return
        self.is_serving = False
        self.pool.waiting.pop(self, None)
        self.pool.waiting[self] = None

    def close(self) -> None:
        """Give the place and the memory back."""
        self.pool.remove(self)


@define(kw_only=True, eq=False)
class ConnectionPool:
    """Keep places and memory for callers beside clients that hold connections."""

    limits: ConnectionLimits = field(factory=ConnectionLimits)
    policy: EvictionPolicy = field(factory=lambda: eviction_policies.get("largest"))
    connections: dict[PooledConnection, None] = field(factory=dict, init=False)
    # Those that wait for their clients, the longest wait first.
    waiting: dict[PooledConnection, None] = field(factory=dict, init=False)
    held_bytes: int = field(default=0, init=False)
    evictions: int = field(default=0, init=False)
    logged_evictions: int = field(default=0, init=False)
    logged_at: float = field(default=-1.0, init=False)

    def open(self) -> PooledConnection | None:
        """Return a place for a new connection, None if requests are served on all of them.

        The connection that has waited for its client the longest makes room.
        """
        if len(self.connections) >= self.limits.max_connections:
            longest = next(iter(self.waiting), None)
            if longest is None:
                self._note_evictions(0, "all connections are served")
                return None
            self._evict([longest], "all places are taken")
        connection = PooledConnection(pool=self)
        self.connections[connection] = None
        connection.begin_waiting()
        return connection

    def remove(self, connection: PooledConnection) -> None:
        """Forget a connection."""
        self.waiting.pop(connection, None)
        if connection in self.connections:
            del self.connections[connection]
            self.held_bytes -= connection.held_bytes
            connection.held_bytes = 0

    def evict_for_memory(self) -> None:
        """Close the connections that the policy chooses."""
        connections = list(self.connections)
        loads = [
            ConnectionLoad(held_bytes=c.held_bytes, is_serving=c.is_serving) for c in connections
        ]
        chosen = self.policy(loads, self.limits.max_bytes)
        self._evict([connections[index] for index in chosen], "their memory is used up")

    def _evict(self, chosen: list[PooledConnection], reason: str) -> None:
        for connection in chosen:
            connection.evicted = True
            connection.scope.cancel()
            self.remove(connection)
        self._note_evictions(len(chosen), reason)

    def _note_evictions(self, count: int, reason: str) -> None:
        self.evictions += count
        now = trio.current_time()
        if now - self.logged_at < seconds(LOG_INTERVAL_MS) and self.logged_at >= 0:
            return
        log.bind(
            closed=self.evictions - self.logged_evictions,
            connections=len(self.connections),
            held_bytes=self.held_bytes,
            max_connections=self.limits.max_connections,
            max_bytes=self.limits.max_bytes,
        ).warning("connections of clients are closed: {}", reason)
        self.logged_at, self.logged_evictions = now, self.evictions
