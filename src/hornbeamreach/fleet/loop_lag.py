"""Meter of how late the event loop's timers fire, and of how busy it is."""

from __future__ import annotations

from collections import deque

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.metrics import Metrics

INTERVAL_MS = 50
WINDOW_MS = 1_000


@define(kw_only=True, eq=False)
class LoopIdleTime(trio.abc.Instrument):
    """Sum up the time in which the event loop waits for events.

    A loop that never waits has messages queued in its sockets, though its timers may be in time.
    """

    clock: Clock
    total_ms: int = field(default=0, init=False)
    wait_began_ms: int = field(default=-1, init=False)

    def before_io_wait(self, timeout: float) -> None:
        """Note the beginning of a wait."""
        self.wait_began_ms = self.clock.now_ms()

    def after_io_wait(self, timeout: float) -> None:
        """Add the time of a wait."""
        if self.wait_began_ms >= 0:
            self.total_ms += self.clock.now_ms() - self.wait_began_ms


@define(kw_only=True, eq=False)
class LoopLag:
    """Measure the lateness of a periodic timer, as the maximum over the last second."""

    clock: Clock
    metrics: Metrics
    # Instrument of the loop; without one the loop counts as idle.
    idle: LoopIdleTime | None = None
    # Idle time at each interval of the last second.
    idle_samples: deque[tuple[int, int]] = field(factory=deque, init=False)
    due_ms: int | None = field(default=None, init=False)
    # When the timer fired late, and by how much; lower values before a higher one are dropped.
    late: deque[tuple[int, int]] = field(factory=deque, init=False)

    @property
    def lag_ms(self) -> int:
        """Return the largest lateness of the last second, in ms, a timer that is due included."""
        now_ms = self.clock.now_ms()
        self._forget_old(now_ms)
        overdue_ms = now_ms - self.due_ms if self.due_ms is not None else 0
        return max(overdue_ms, self.late[0][1] if self.late else 0, 0)

    def record(self, now_ms: int) -> None:
        """Record that the timer has fired now."""
        late_ms = now_ms - self.due_ms if self.due_ms is not None else 0
        if late_ms > 0:
            while self.late and self.late[-1][1] <= late_ms:
                self.late.pop()
            self.late.append((now_ms, late_ms))
        self._forget_old(now_ms)

    def _forget_old(self, now_ms: int) -> None:
        while self.late and now_ms - self.late[0][0] > WINDOW_MS:
            self.late.popleft()

    @property
    def busy_share(self) -> float:
        """Return the part of the last second in which the loop did not wait for events."""
        if self.idle is None or not self.idle_samples:
            return 0.0
        since_ms, idle_ms = self.idle_samples[0]
        now_ms = self.clock.now_ms()
        if now_ms <= since_ms:
            return 0.0
        return max(0.0, 1 - (self.idle.total_ms - idle_ms) / (now_ms - since_ms))

    async def run(self) -> None:
        """Measure until cancelled, and set the metrics once a second."""
        gauge_due_ms = 0
        while True:
            now_ms = self.clock.now_ms()
            if self.idle is not None:
                self.idle_samples.append((now_ms, self.idle.total_ms))
                while now_ms - self.idle_samples[0][0] > WINDOW_MS:
                    self.idle_samples.popleft()
            if now_ms >= gauge_due_ms:
                self.metrics.gauge("loop_lag_ms", self.lag_ms)
                self.metrics.gauge("loop_busy_percent", round(100 * self.busy_share))
                gauge_due_ms = now_ms + WINDOW_MS
            self.due_ms = now_ms + INTERVAL_MS
            await trio.sleep(seconds(INTERVAL_MS))
            self.record(self.clock.now_ms())
