"""Concurrent attempts of one call; the first complete response wins."""

from __future__ import annotations

import trio
from attrs import define, field

from hornbeamreach.link.messages import CallReply
from hornbeamreach.systems.retries import FailedAttempt
from hornbeamreach.tables.calls import EndpointRow
from hornbeamreach.verdict import Reason, Verdict


@define(kw_only=True)
class Attempt:
    """Represent one attempt at an endpoint, with its outcome once it has ended."""

    row: EndpointRow
    number: int
    started_ms: int
    overdue: bool = False
    reply: CallReply | None = None
    failure: FailedAttempt | None = None

    def has_ended(self) -> bool:
        """Return whether the endpoint responded or the attempt failed."""
        return self.reply is not None or self.failure is not None

    def mark_overdue(self) -> None:
        """Count the attempt as overdue at its endpoint."""
        self.overdue = True
        self.row.overdue_calls += 1

    def clear_overdue(self) -> None:
        """Stop counting an attempt that has ended or was abandoned."""
        if self.overdue:
            self.overdue = False
            self.row.overdue_calls -= 1

    def may_be_running(self) -> bool:
        """Return whether the endpoint may still be processing the attempt."""
        if self.reply is not None:
            return False
        return self.failure is None or self.failure.verdict is Verdict.MAY_HAVE_RUN


@define(kw_only=True)
class AttemptGroup:
    """Hold the attempts of one call."""

    attempts: list[Attempt] = field(factory=list)
    done: trio.Event = field(factory=trio.Event)

    def update_done(self) -> None:
        """Set `done` once one attempt has a response or all have failed."""
        if self.answered_attempt() is not None or all(
            attempt.has_ended() for attempt in self.attempts
        ):
            self.done.set()

    def answered_attempt(self) -> Attempt | None:
        """Return the attempt that has a response, or None."""
        return next((item for item in self.attempts if item.reply is not None), None)

    def combined_failure(self) -> FailedAttempt:
        """Return the failure to report, with a verdict that holds for all attempts."""
        failures = [attempt.failure for attempt in self.attempts if attempt.failure is not None]
        unsafe = [failure for failure in failures if failure.verdict is not Verdict.NOT_RUN]
        if len(failures) == len(self.attempts):
            return (unsafe or failures)[0]
        names = ", ".join(attempt.row.id for attempt in self.attempts if not attempt.has_ended())
        return FailedAttempt(
            reason=Reason.DEADLINE_PASSED,
            verdict=Verdict.MAY_HAVE_RUN,
            detail=f"{names} did not finish the answer before the deadline",
        )
