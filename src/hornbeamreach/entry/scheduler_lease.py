"""The lease by which one entry process of a data centre schedules its jobs."""

from __future__ import annotations

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.records.messages import Record
from hornbeamreach.records.store import RecordStore

SCHEDULER_KEY = "scheduler"
HELD = "held"
GIVEN_UP = "given_up"
LEASE_MS = 4_000
RENEW_MS = 1_000
# Others wait longer than the holder believes its lease to last, for clocks that drift.
TAKEOVER_MS = 4_500


class SchedulerLease:
    """Hold, renew, lose and take over the lease.

    Nobody compares wall clocks: another process takes over once it has seen the same
    renewal for longer than a lease lasts.
    """

    def __init__(self, *, process: str, store: RecordStore, clock: Clock) -> None:
        self.process = process
        self.store = store
        self.clock = clock
        self.held_until_ms = -1
        self.seen: tuple[str, int] | None = None
        self.seen_ms = 0
        self.giving_up = False
        self.changed = trio.Event()

    def held(self) -> bool:
        """Tell whether this process may schedule now."""
        return self.clock.now_ms() < self.held_until_ms

    async def wait_held(self) -> None:
        """Return once this process holds the lease."""
        while not self.held():
            await self.changed.wait()

    async def wait_lost(self) -> None:
        """Return once this process does not hold the lease any more."""
        while self.held():
            left_ms = self.held_until_ms - self.clock.now_ms()
            with trio.move_on_after(seconds(max(1, left_ms))):
                await self.changed.wait()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def run(self) -> None:
        """Renew or take over until cancelled."""
        while True:
            if not self.giving_up:
                await self._try_hold()
            await trio.sleep(seconds(RENEW_MS))

    async def _try_hold(self) -> None:
        started_ms = self.clock.now_ms()
        try:
            record = await self.store.change(SCHEDULER_KEY, self._renew_or_take)
        except RefusedError:
            return
        assert record is not None
        if record.holder == self.process and not self.giving_up:
            self.held_until_ms = started_ms + LEASE_MS
        self._observe(record)
        self._notify()

    def _observe(self, record: Record) -> None:
        renewal = (record.holder, record.attempt)
        if renewal != self.seen:
            self.seen = renewal
            self.seen_ms = self.clock.now_ms()

    def _renew_or_take(self, record: Record | None) -> Record:
        if record is not None and record.holder != self.process:
            unchanged = self.seen == (record.holder, record.attempt)
            lapsed = unchanged and self.clock.now_ms() - self.seen_ms >= TAKEOVER_MS
            if record.state == HELD and not lapsed:
                return record
        return Record(
            kind="scheduler",
            state=HELD,
            holder=self.process,
            attempt=record.attempt + 1 if record else 1,
            at_ms=self.store.clock.wall_ms(),
        )

    async def give_up(self) -> None:
        """Let another process schedule at once."""
        self.giving_up = True
        was_held, self.held_until_ms = self.held(), -1
        self._notify()
        if not was_held:
            return

        def release(record: Record | None) -> Record | None:
            if record is None or record.holder != self.process:
                return record
            return Record(
                kind="scheduler",
                state=GIVEN_UP,
                holder=self.process,
                attempt=record.attempt + 1,
                at_ms=self.store.clock.wall_ms(),
            )

        try:
            await self.store.change(SCHEDULER_KEY, release)
        except RefusedError:
            # Nobody hears it now; the lease ends by itself.
            return
