"""The lease under which one entry process of a data centre schedules its jobs."""

from __future__ import annotations

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.records.messages import Record
from hornbeamreach.records.store import RecordStore

SCHEDULER_KEY = "scheduler"
HELD = "held"
RELEASED = "given_up"
LEASE_MS = 4_000
RENEW_INTERVAL_MS = 1_000
# Longer than LEASE_MS, to allow for clock drift between the processes.
TAKEOVER_DELAY_MS = 4_500


class SchedulerLease:
    """Acquire, renew, release and take over the lease.

    Wall clocks are never compared: another process takes over once it has observed the
    same renewal for longer than a lease lasts.
    """

    def __init__(self, *, process: str, store: RecordStore, clock: Clock) -> None:
        self.process = process
        self.store = store
        self.clock = clock
        self.held_until_ms = -1
        self.observed_renewal: tuple[str, int] | None = None
        self.observed_ms = 0
        self.releasing = False
        self.changed = trio.Event()

    def is_held(self) -> bool:
        """Return whether this process may schedule now."""
        return self.clock.now_ms() < self.held_until_ms

    async def wait_held(self) -> None:
        """Return once this process holds the lease."""
        while not self.is_held():
            await self.changed.wait()

    async def wait_lost(self) -> None:
        """Return once this process no longer holds the lease."""
        while self.is_held():
            left_ms = self.held_until_ms - self.clock.now_ms()
            with trio.move_on_after(seconds(max(1, left_ms))):
                await self.changed.wait()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def run(self) -> None:
        """Renew the lease or try to take it over, until cancelled."""
        while True:
            if not self.releasing:
                await self._try_acquire()
            await trio.sleep(seconds(RENEW_INTERVAL_MS))

    async def _try_acquire(self) -> None:
        started_ms = self.clock.now_ms()
        try:
            record = await self.store.change(SCHEDULER_KEY, self._renew_or_take_over)
        except RefusedError:
            return
        assert record is not None
        if record.holder == self.process and not self.releasing:
            self.held_until_ms = started_ms + LEASE_MS
        self._observe(record)
        self._notify()

    def _observe(self, record: Record) -> None:
        renewal = (record.holder, record.attempt)
        if renewal != self.observed_renewal:
            self.observed_renewal = renewal
            self.observed_ms = self.clock.now_ms()

    def _renew_or_take_over(self, record: Record | None) -> Record:
        if record is not None and record.holder != self.process:
            is_same_renewal = self.observed_renewal == (record.holder, record.attempt)
            lapsed = is_same_renewal and self.clock.now_ms() - self.observed_ms >= TAKEOVER_DELAY_MS
            if record.state == HELD and not lapsed:
                return record
        return Record(
            kind="scheduler",
            state=HELD,
            holder=self.process,
            attempt=record.attempt + 1 if record else 1,
            at_ms=self.store.clock.wall_ms(),
        )

    async def release(self) -> None:
        """Release the lease, so that another process may schedule at once."""
        self.releasing = True
        was_held, self.held_until_ms = self.is_held(), -1
        self._notify()
        if not was_held:
            return

        def mark_released(record: Record | None) -> Record | None:
            if record is None or record.holder != self.process:
                return record
            return Record(
                kind="scheduler",
                state=RELEASED,
                holder=self.process,
                attempt=record.attempt + 1,
                at_ms=self.store.clock.wall_ms(),
            )

        try:
            await self.store.change(SCHEDULER_KEY, mark_released)
        except RefusedError:
            # The release was not recorded; the lease lapses by itself.
            return
