"""Turns of the first polls of a scheduler's minions, a bounded number at a time."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.systems.job_progress import objective_ms
from hornbeamreach.systems.takeover_order import (
    MAX_FIRST_POLLS,
    RecoveredMinion,
    TakeoverOrder,
    takeover_orders,
)
from hornbeamreach.tables.minions import Minion

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

# A minion that doesn't answer keeps its turn for this long only: unreachable minions must not
# delay the others' polls until their leases have lapsed.
MAX_TURN_MS = 200


@define(kw_only=True, eq=False)
class FirstPolls:
    """Let the minions with the most urgent recovered runs be polled first."""

    scheduler: StepScheduler
    order: TakeoverOrder = field(factory=lambda: takeover_orders.get("urgent_first"))
    in_turn: int = field(default=0, init=False)
    waiting: list[tuple[tuple, int, trio.Event]] = field(factory=list, init=False)
    numbers: itertools.count = field(factory=itertools.count, init=False)

    async def begin(self, minion: Minion) -> trio.Event:
        """Wait for a minion's turn; the caller sets the returned event after the poll."""
        if self.in_turn >= MAX_FIRST_POLLS:
            may_begin = trio.Event()
            key = self.order(self._describe(minion))
            heapq.heappush(self.waiting, (key, next(self.numbers), may_begin))
            await may_begin.wait()
        else:
            self.in_turn += 1
        done = trio.Event()
        assert self.scheduler.nursery is not None
        self.scheduler.nursery.start_soon(self._end, done)
        return done

    async def _end(self, done: trio.Event) -> None:
        with trio.move_on_after(seconds(MAX_TURN_MS)):
            await done.wait()
        if self.waiting:
            # The turn passes to the next one.
            heapq.heappop(self.waiting)[-1].set()
        else:
            self.in_turn -= 1

    def _describe(self, minion: Minion) -> RecoveredMinion:
        fleet = self.scheduler.fleet
        wall_ms = self.scheduler.clock.wall_ms()
        ranks, slacks = [], []
        for run in minion.runs.values():
            job = fleet.job(run.job_id)
            if job is not None:
                queue = fleet.queue_of(job)
                ranks.append(queue.rank if queue else 0)
                slacks.append(job.accepted_ms + objective_ms(job.spec, queue) - wall_ms)
        return RecoveredMinion(
            runs=len(minion.runs),
            lasting_runs=sum(run.lasting for run in minion.runs.values()),
            rank=min(ranks, default=0),
            slack_ms=min(slacks, default=0),
        )
