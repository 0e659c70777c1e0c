"""Replies that tasks wait for, with one timer for all of them.

A cancel scope around each wait costs 14 µs, as much as the encoding of a small message and of its
reply, and hardly any of them expires.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import Any

import trio


class ReplyLostError(Exception):
    """Report that the connection was lost before the reply came."""


class PendingReply:
    """Hold the outcome of one request, and wake the task that waits for it."""

    __slots__ = ("_task", "_is_settled", "_tagged", "_error")

    def __init__(self) -> None:
        self._task: trio.lowlevel.Task | None = None
        self._is_settled = False
        self._tagged: Any = None
        self._error: type[Exception] | None = None

    @property
    def is_settled(self) -> bool:
        """Return whether the outcome is known, or no task waits for it any more."""
        return self._is_settled

    def settle(self, tagged: Any, error: type[Exception] | None = None) -> None:
        """Set the outcome, unless one is set already."""
        if self._is_settled:
            return
        self._is_settled = True
        self._tagged, self._error = tagged, error
        if self._task is not None:
            task, self._task = self._task, None
            trio.lowlevel.reschedule(task)

    async def wait(self) -> Any:
        """Return the reply, once; raise ReplyLostError or trio.TooSlowError if there is none."""
        if not self._is_settled:
            self._task = trio.lowlevel.current_task()
            await trio.lowlevel.wait_task_rescheduled(self._abandon)
        if self._error is not None:
            raise self._error
        # The timer keeps this object until the deadline, long after the reply has been used.
        tagged, self._tagged = self._tagged, None
        return tagged

    def _abandon(self, _: Any) -> trio.lowlevel.Abort:
        self._task = None
        self._is_settled = True
        return trio.lowlevel.Abort.SUCCEEDED


class ReplyTimer:
    """Let replies expire at their deadlines."""

    def __init__(self) -> None:
        self.deadlines: list[tuple[float, int, PendingReply]] = []
        self.order = itertools.count()
        self.scope = trio.CancelScope()

    def add(self, deadline_s: float, reply: PendingReply) -> None:
        """Let a reply expire at a time of the loop's clock unless it is settled by then."""
        heapq.heappush(self.deadlines, (deadline_s, next(self.order), reply))
        if deadline_s < self.scope.deadline:
            self.scope.deadline = deadline_s

    async def run(self) -> None:
        """Expire replies until cancelled."""
        while True:
            now_s = trio.current_time()
            while self.deadlines:
                deadline_s, _, reply = self.deadlines[0]
                if not reply.is_settled:
                    if deadline_s > now_s:
                        break
                    reply.settle(None, trio.TooSlowError)
                heapq.heappop(self.deadlines)
            next_s = self.deadlines[0][0] if self.deadlines else math.inf
            self.scope = trio.CancelScope(deadline=next_s)
            with self.scope:
                await trio.sleep_forever()


_timer: trio.lowlevel.RunVar[ReplyTimer] = trio.lowlevel.RunVar("link reply timer")


def current_timer() -> ReplyTimer:
    """Return the timer of the running event loop; start it at first use."""
    try:
        return _timer.get()
    except LookupError:
        timer = ReplyTimer()
        _timer.set(timer)
        trio.lowlevel.spawn_system_task(timer.run)
        return timer
