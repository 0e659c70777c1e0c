"""Port to minions that reports unexpected errors of a call as an unknown outcome."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Any, TypeVar

from attrs import define

from hornbeamreach.fleet.ports import (
    FencedError,
    MinionPort,
    PollResult,
    StartOrder,
    StartReply,
    UnknownOutcomeError,
    WrongIncarnationError,
)
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.tables.minions import MinionReport

log = part_logger("minion")

T = TypeVar("T")
PORT_ERRORS = (FencedError, UnknownOutcomeError, WrongIncarnationError)


@define(kw_only=True, eq=False)
class GuardedMinionPort:
    """Keep an error of one call to that call.

    The scheduler that takes over repeats the call, so an error that ended the process would end
    every process that leads.
    """

    port: MinionPort
    metrics: Metrics

    async def _guard(self, report: MinionReport, name: str, call: Awaitable[T]) -> T:
        try:
            return await call
        except PORT_ERRORS:
            raise
        except Exception as exc:
            log.bind(minion=report.minion, call=name).error("unexpected error of a call: {!r}", exc)
            self.metrics.event("minion_call_failed")
            raise UnknownOutcomeError(f"{name} failed: {exc!r}") from exc

    async def poll(self, report: MinionReport, **options: Any) -> PollResult:
        """Return a minion's lists of runs."""
        return await self._guard(report, "poll", self.port.poll(report, **options))

    async def start(self, report: MinionReport, order: StartOrder) -> StartReply:
        """Start a run."""
        return await self._guard(report, "start", self.port.start(report, order))

    async def stop(self, report: MinionReport, **options: Any) -> None:
        """Stop a run."""
        await self._guard(report, "stop", self.port.stop(report, **options))

    async def pace(self, report: MinionReport, **options: Any) -> None:
        """Limit a run to a percentage of its speed."""
        await self._guard(report, "pace", self.port.pace(report, **options))

    def forget(self, minion: str) -> None:
        """Drop what is kept for a minion that is gone."""
        self.port.forget(minion)
