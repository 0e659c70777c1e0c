"""Decide whether a failed attempt of a call is retried."""

from __future__ import annotations

from attrs import define

from hornbeamreach.tables.calls import CallRow, CallTables, RetryBudget
from hornbeamreach.verdict import Reason, Verdict

MAX_ATTEMPTS = 3
# A call whose connection is lost as often may itself end the endpoints that serve it. Refusals,
# silence and failed connection attempts do not count: the endpoint did not end under the call.
MAX_CONNECTIONS_LOST = 2
INITIAL_TOKENS = 3.0
MAX_TOKENS = 20.0
BASE_BACKOFF_MS = 10
PERCENT = 100.0


@define(frozen=True, kw_only=True)
class FailedAttempt:
    """Describe how an attempt failed, and whether it may have run."""

    reason: Reason
    verdict: Verdict
    detail: str


def retry_budget(tables: CallTables, team: str, service: str) -> RetryBudget:
    """Return the retry budget of a team for a service."""
    key = (team, service)
    if key not in tables.retry_budgets:
        tables.retry_budgets[key] = RetryBudget(tokens=INITIAL_TOKENS)
    return tables.retry_budgets[key]


def earn_retry(tables: CallTables, call: CallRow, retry_percent: float) -> None:
    """Credit a successful call to the retry budget."""
    budget = retry_budget(tables, call.team, call.service)
    earned = retry_percent / PERCENT
    budget.tokens = min(MAX_TOKENS, budget.tokens + earned)
    tables.rerun_tokens = min(MAX_TOKENS, tables.rerun_tokens + earned)


def acquire_retry(
    tables: CallTables, call: CallRow, now_ms: int, *, may_run_twice: bool
) -> Reason | None:
    """Take a retry from the budget and return None, or return the reason for a refusal.

    A retry that may run the call a second time also needs one of the second runs that
    successful calls have earned. There are none before the first successes, so a process that
    starts during a brown-out does not add load to it.
    """
    if call.attempts >= MAX_ATTEMPTS:
        return Reason.RETRY_BUDGET_SPENT
    if now_ms >= call.deadline_ms:
        return Reason.DEADLINE_PASSED
    budget = retry_budget(tables, call.team, call.service)
    if budget.tokens < 1.0 or (may_run_twice and tables.rerun_tokens < 1.0):
        return Reason.RETRY_BUDGET_SPENT
    budget.tokens -= 1.0
    if may_run_twice:
        tables.rerun_tokens -= 1.0
    return None


def refund_retry(tables: CallTables, call: CallRow) -> None:
    """Return a retry and its second run to the budget, because it was not sent."""
    retry_budget(tables, call.team, call.service).tokens += 1.0
    tables.rerun_tokens += 1.0


def retry_refusal(
    tables: CallTables, call: CallRow, failed: FailedAttempt, now_ms: int
) -> Reason | None:
    """Return None if the call is retried, or the reason to report to its caller."""
    if call.connections_lost >= MAX_CONNECTIONS_LOST:
        return Reason.CONNECTION_LOST
    if failed.verdict is not Verdict.NOT_RUN and not call.idempotent:
        return failed.reason
    may_run_twice = failed.verdict is not Verdict.NOT_RUN
    refusal = acquire_retry(tables, call, now_ms, may_run_twice=may_run_twice)
    if refusal is Reason.RETRY_BUDGET_SPENT and call.attempts >= MAX_ATTEMPTS:
        return failed.reason
    return refusal


def backoff_ms(attempts: int) -> int:
    """Return the delay in ms before a call's next attempt."""
    return BASE_BACKOFF_MS * 2**attempts
