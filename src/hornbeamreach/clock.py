"""Monotonic and wall-clock time, in milliseconds."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field

MILLISECONDS_PER_SECOND = 1000
# Monotonic time at which this module was imported: shortly after the process started.
IMPORTED_MS = time.monotonic_ns() // 1_000_000


def _system_monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _system_wall_ms() -> int:
    return time.time_ns() // 1_000_000


@define(kw_only=True)
class Clock:
    """Read monotonic and wall time in whole milliseconds."""

    monotonic: Callable[[], int] = field(default=_system_monotonic_ms)
    wall: Callable[[], int] = field(default=_system_wall_ms)

    def now_ms(self) -> int:
        """Return monotonic milliseconds, for durations and deadlines."""
        return self.monotonic()

    def wall_ms(self) -> int:
        """Return wall-clock milliseconds, for ballots and for display."""
        return self.wall()


def clock_from_seconds(read_seconds: Callable[[], float]) -> Clock:
    """Build a clock from a function that returns seconds, such as an event loop's time."""

    def read_ms() -> int:
        return round(read_seconds() * MILLISECONDS_PER_SECOND)

    return Clock(monotonic=read_ms, wall=read_ms)


def seconds(duration_ms: int | float) -> float:
    """Convert milliseconds to seconds."""
    return duration_ms / MILLISECONDS_PER_SECOND
