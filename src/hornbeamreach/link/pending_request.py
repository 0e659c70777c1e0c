"""Attempts of one request to the leader, and what their answers tell about all of them."""

from __future__ import annotations

from typing import Any

import trio
from attrs import define, field

from hornbeamreach.exceptions import HornbeamreachError, RefusedError
from hornbeamreach.link.interface import ANY_TERM, NO_TERM
from hornbeamreach.verdict import Verdict


class NoLeaderError(HornbeamreachError):
    """Report that no leader replied in time, and whether the request may have run."""

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        self.verdict = verdict
        super().__init__(message)


@define(frozen=True, kw_only=True)
class LeaderReply:
    """Hold the leader's reply; `repeated` is set if an earlier attempt may have run too."""

    reply: Any
    repeated: bool


def leader_term_of(message: Any) -> int:
    """Return the only term in which a leader may carry out a message, or ANY_TERM."""
    return getattr(message, "leader_term", ANY_TERM)


@define(kw_only=True, eq=False)
class Attempt:
    """Represent one sending of a request to a replica."""

    address: str
    # The only term in which a leader carries out the attempt. ANY_TERM if any leader may, also
    # because the replica is not known to compare terms; NO_TERM if none will.
    term: int = ANY_TERM
    # No answer can arrive any more.
    lost: bool = False
    # The answer named a leader or term that was not known, so the next attempt need not wait.
    redirected: bool = False
    ended: trio.Event = field(factory=trio.Event)


@define(kw_only=True, eq=False)
class PendingRequest:
    """Track which attempts of a request may have been carried out."""

    message: Any
    # Attempts that may have been or may still be carried out.
    uncertain: list[Attempt] = field(factory=list)
    attempts: list[Attempt] = field(factory=list)
    # A refusal that holds for the request unless one of the uncertain attempts was accepted.
    refusal: Any = None
    settled: bool = False
    result: Any = None
    last_error: str = "no replica is known"

    @property
    def bound(self) -> bool:
        """Return whether the request is carried out only in the term that it names."""
        return leader_term_of(self.message) != ANY_TERM

    def start(self, address: str, term: int) -> Attempt:
        """Record an attempt that is about to be sent."""
        attempt = Attempt(address=address, term=term)
        self.attempts.append(attempt)
        if term != NO_TERM:
            self.uncertain.append(attempt)
        return attempt

    def open_attempt(self, address: str, term: int) -> Attempt | None:
        """Return an attempt to a replica in a term whose answer may still arrive."""
        for attempt in self.attempts:
            if (attempt.address, attempt.term) == (address, term) and not attempt.ended.is_set():
                return attempt
        return None

    def discard(self, attempt: Attempt, error: str) -> None:
        """Record that an attempt was not carried out and will not be."""
        self.last_error = error
        self._remove(attempt)
        self._end(attempt)

    def lose(self, attempt: Attempt, error: str) -> None:
        """Record that an attempt ended without a conclusive answer."""
        self.last_error = error
        attempt.lost = True
        self._end(attempt)

    def answer(self, attempt: Attempt, reply: Any) -> None:
        """Record the leader's reply to an attempt."""
        self._remove(attempt)
        if self.bound and getattr(reply, "refused", False):
            self._refuse(attempt, reply, getattr(reply, "term", NO_TERM))
        else:
            self._settle(reply)

    def refuse(self, attempt: Attempt, error: RefusedError) -> None:
        """Record a refusal of the link that states that the attempt did not run."""
        self._remove(attempt)
        if self.bound:
            self._refuse(attempt, error, NO_TERM)
        else:
            self._settle(error)

    def open_attempts(self) -> list[Attempt]:
        """Return the attempts that may be carried out and whose answers may still arrive."""
        return [attempt for attempt in self.uncertain if not attempt.lost]

    def outcome(self) -> LeaderReply:
        """Return the reply; raise RefusedError or NoLeaderError with a verdict on all attempts."""
        result = self.result if self.settled else self.refusal
        repeated = bool(self.uncertain)
        if result is None:
            verdict = Verdict.MAY_HAVE_RUN if repeated else Verdict.NOT_RUN
            raise NoLeaderError(self.last_error, verdict=verdict)
        if isinstance(result, RefusedError):
            if repeated and result.verdict is Verdict.NOT_RUN:
                raise _after_lost_answer(result) from result
            raise result
        return LeaderReply(reply=result, repeated=repeated)

    def _refuse(self, attempt: Attempt, refusal: Any, term: int) -> None:
        self.refusal = refusal
        # The leader of `term` has committed an entry of that term and does not know the request.
        # So no entry of an earlier term that contains it can be committed any more, and a leader
        # refuses an attempt that names an earlier term than its own.
        self.uncertain = [a for a in self.uncertain if a.term == ANY_TERM or a.term >= term]
        self._end(attempt)

    def _remove(self, attempt: Attempt) -> None:
        if attempt in self.uncertain:
            self.uncertain.remove(attempt)

    def _end(self, attempt: Attempt) -> None:
        if self.refusal is not None and all(other.lost for other in self.uncertain):
            self._settle(self.refusal)
        attempt.ended.set()

    def _settle(self, result: Any) -> None:
        if self.settled:
            return
        self.settled, self.result = True, result
        for attempt in self.attempts:
            attempt.ended.set()


def _after_lost_answer(error: RefusedError) -> RefusedError:
    """Return a refusal whose verdict includes an earlier attempt that may have run."""
    return RefusedError(
        error.reason,
        error.detail,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_ms=error.retry_after_ms,
    )
