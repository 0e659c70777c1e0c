"""The attempts of one call that run side by side; the first whole answer wins."""

from __future__ import annotations

import trio
from attrs import define, field

from hornbeamreach.link.messages import CallReply
from hornbeamreach.systems.retries import FailedAttempt
from hornbeamreach.tables.calls import EndpointRow
from hornbeamreach.verdict import Reason, Verdict


@define(kw_only=True)
class Attempt:
    """Hold one attempt at one endpoint, and how it ended if it has."""

    row: EndpointRow
    number: int
    started_ms: int
    overdue: bool = False
    answer: CallReply | None = None
    failed: FailedAttempt | None = None

    def has_ended(self) -> bool:
        """Tell whether the endpoint answered or the attempt failed."""
        return self.answer is not None or self.failed is not None

    def mark_overdue(self) -> None:
        """Count the attempt as silent for too long."""
        self.overdue = True
        self.row.overdue_calls += 1

    def clear_overdue(self) -> None:
        """Count the attempt no more: it has ended or nobody waits for it."""
        if self.overdue:
            self.overdue = False
            self.row.overdue_calls -= 1

    def may_be_running(self) -> bool:
        """Tell whether the endpoint may still be at work on it."""
        if self.answer is not None:
            return False
        return self.failed is None or self.failed.verdict is Verdict.MAY_HAVE_RUN


@define(kw_only=True)
class Race:
    """Hold the attempts of one call."""

    attempts: list[Attempt] = field(factory=list)
    done: trio.Event = field(factory=trio.Event)

    def check(self) -> None:
        """Settle the race once one attempt has answered or all have failed."""
        if self.winner() is not None or all(attempt.has_ended() for attempt in self.attempts):
            self.done.set()

    def winner(self) -> Attempt | None:
        """Return the attempt that answered."""
        return next((item for item in self.attempts if item.answer is not None), None)

    def failure(self) -> FailedAttempt:
        """Return why the race was lost, with a verdict that is true of all attempts."""
        failures = [attempt.failed for attempt in self.attempts if attempt.failed is not None]
        unsafe = [failed for failed in failures if failed.verdict is not Verdict.NOT_RUN]
        if len(failures) == len(self.attempts):
            return (unsafe or failures)[0]
        names = ", ".join(attempt.row.id for attempt in self.attempts if not attempt.has_ended())
        return FailedAttempt(
            reason=Reason.DEADLINE_PASSED,
            verdict=Verdict.MAY_HAVE_RUN,
            detail=f"{names} did not finish the answer before the deadline",
        )
