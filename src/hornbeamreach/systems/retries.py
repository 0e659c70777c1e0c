"""Deciding whether a failed attempt of a call is tried again."""

from __future__ import annotations

from attrs import define

from hornbeamreach.tables.calls import CallRow, CallTables, RetryBudget
from hornbeamreach.verdict import Reason, Verdict

MAX_ATTEMPTS = 3
INITIAL_TOKENS = 3.0
MAX_TOKENS = 20.0
BASE_BACKOFF_MS = 10
PERCENT = 100.0


@define(frozen=True, kw_only=True)
class FailedAttempt:
    """Describe how an attempt ended, and whether it may have run."""

    reason: Reason
    verdict: Verdict
    detail: str


def budget_of(tables: CallTables, team: str, service: str) -> RetryBudget:
    """Return the retry budget of a team at a service."""
    key = (team, service)
    if key not in tables.retry_budgets:
        tables.retry_budgets[key] = RetryBudget(tokens=INITIAL_TOKENS)
    return tables.retry_budgets[key]


def earn_retry(tables: CallTables, call: CallRow, retry_percent: float) -> None:
    """Let a success pay for a part of a later retry."""
    budget = budget_of(tables, call.team, call.service)
    earned = retry_percent / PERCENT
    budget.tokens = min(MAX_TOKENS, budget.tokens + earned)
    tables.rerun_tokens = min(MAX_TOKENS, tables.rerun_tokens + earned)


def take_retry(
    tables: CallTables, call: CallRow, now_ms: int, *, runs_again: bool
) -> Reason | None:
    """Take a retry from the budget and return None, or return why there is none.

    A retry that may make the call run a second time also needs one of the second runs
    that successes have earned; there are none before the first successes, so that a
    process which starts in the middle of a brown-out adds nothing to it.
    """
    if call.attempts >= MAX_ATTEMPTS:
        return Reason.RETRY_BUDGET_SPENT
    if now_ms >= call.deadline_ms:
        return Reason.DEADLINE_PASSED
    budget = budget_of(tables, call.team, call.service)
    if budget.tokens < 1.0 or (runs_again and tables.rerun_tokens < 1.0):
        return Reason.RETRY_BUDGET_SPENT
    budget.tokens -= 1.0
    if runs_again:
        tables.rerun_tokens -= 1.0
    return None


def give_retry_back(tables: CallTables, call: CallRow) -> None:
    """Give back a second run that could not be made."""
    budget_of(tables, call.team, call.service).tokens += 1.0
    tables.rerun_tokens += 1.0


def may_retry(
    tables: CallTables, call: CallRow, failed: FailedAttempt, now_ms: int
) -> Reason | None:
    """Return None if the call is tried again, or the reason that its caller is told."""
    if failed.verdict is not Verdict.NOT_RUN and not call.idempotent:
        return failed.reason
    runs_again = failed.verdict is not Verdict.NOT_RUN
    against = take_retry(tables, call, now_ms, runs_again=runs_again)
    if against is Reason.RETRY_BUDGET_SPENT and call.attempts >= MAX_ATTEMPTS:
        return failed.reason
    return against


def backoff_ms(attempts: int) -> int:
    """Return how long a call waits before its next attempt."""
    return BASE_BACKOFF_MS * 2**attempts
