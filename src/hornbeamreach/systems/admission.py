"""Decide whether a new short job is accepted, from the work that is queued before it.

Load pattern: a queue gets a burst of 1.6 to 2.4 times its usual load for some seconds, or a team
sends five times its usual load. If all of it is accepted, all jobs end too late to be of use
together, also those of the seconds after the burst.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from attrs import define, field

from hornbeamreach.registry import Registry

# Above this lag of the scheduler's loop, further jobs would delay the runs of accepted ones.
MAX_LOOP_LAG_MS = 1_000
# A moved VM takes at least this long until it can work.
LOAN_DELAY_MS = 1_500
# Retry-After is given in whole seconds within these bounds.
MIN_RETRY_MS = 1_000
MAX_RETRY_MS = 10_000
# The estimate is the best case, so the queued work falls more slowly.
RETRY_MARGIN = 1.25
# Callers that are refused one after the other are spread over this many seconds, where the work of
# those that were refused before doesn't spread them.
RETRY_SPREAD = 5
# The queued work may be less than estimated by this many standard deviations, but by at most half.
OPTIMISTIC_DEVIATIONS = 2.0
MIN_WORK_SHARE = 0.5
MS_PER_S = 1_000


@define(frozen=True, kw_only=True)
class JobRequest:
    """Describe a new short job and the pool that it would use."""

    team: str
    # Least time that the job's steps take one after the other.
    path_ms: float
    # Time from now until a result is of no more use.
    useful_ms: float
    # Work by team that is queued before the job, in core ms, and the teams' weights.
    queued_core_ms: Mapping[str, float] = field(factory=dict)
    weights: Mapping[str, float] = field(factory=dict)
    # Most processor capacity that a team may use at once, where that is limited.
    limits_cpu_millis: Mapping[str, int] = field(factory=dict)
    # Mean work of a queued task in core ms, and the relative spread of run times around it.
    task_core_ms: float = 0.0
    spread: float = 0.0
    # What short jobs can use in the pool, and what other pools and the spare pool can lend it.
    cpu_millis: int = 0
    lendable_cpu_millis: int = 0
    loop_lag_ms: float = 0.0
    # Work of the pool's jobs that were refused before and are expected again, in core ms. It holds
    # no capacity back: only the time to come again takes it into account.
    refused_core_ms: float = 0.0
    # Number of refusals since the pool began to refuse jobs.
    refusals: int = 0


@define(frozen=True, kw_only=True)
class JobDecision:
    """Hold whether a job is accepted, and the estimates that decided it."""

    accepted: bool
    # Work that is served before the job, and the earliest time at which the job can end.
    ahead_core_ms: float = 0.0
    end_ms: float = 0.0
    # When the queued work will have fallen enough.
    retry_after_ms: int = 0
    # Why the job is refused.
    detail: str = ""
    # How long ago the accepted job was first refused; its objective counts from then.
    waited_ms: int = 0


AdmissionPolicy = Callable[[JobRequest], JobDecision]
admission_policies: Registry[AdmissionPolicy] = Registry("job admission")


@admission_policies.register("accept_all")
def accept_all(request: JobRequest) -> JobDecision:
    """Accept every job, as a baseline."""
    return JobDecision(accepted=True)


@admission_policies.register("while_useful")
def while_useful(request: JobRequest) -> JobDecision:
    """Refuse a job that can't end while it is useful, even if all goes well."""
    if request.loop_lag_ms > MAX_LOOP_LAG_MS:
        detail = f"the scheduler's loop lags by {request.loop_lag_ms:.0f} ms"
        after_ms = MIN_RETRY_MS + request.refusals % RETRY_SPREAD * MS_PER_S
        return JobDecision(accepted=False, retry_after_ms=after_ms, detail=detail)
    if not request.cpu_millis or not 0 < request.path_ms <= request.useful_ms:
        # Nothing is known of the pool or the job, all of the pool has failed, or the job is late
        # without any load: its caller came for it all the same.
        return JobDecision(accepted=True)
    ahead_core_ms = work_ahead(request)
    ahead_core_ms *= _least_share(ahead_core_ms, request)
    end_ms = drain_ms(ahead_core_ms, request.cpu_millis, request.lendable_cpu_millis)
    end_ms += request.path_ms
    excess_ms = end_ms - request.useful_ms
    if excess_ms <= 0:
        return JobDecision(accepted=True, ahead_core_ms=ahead_core_ms, end_ms=end_ms)
    return JobDecision(
        accepted=False,
        ahead_core_ms=ahead_core_ms,
        end_ms=end_ms,
        retry_after_ms=_retry_after_ms(excess_ms, request),
        detail=f"would end after {end_ms:.0f} ms, is useful for {request.useful_ms:.0f} ms",
    )


def work_ahead(request: JobRequest) -> float:
    """Return the work that is served before a team's next job if teams share by weight.

    Until the team's own queued work is done, another team gets at most its share of the same
    time; what it has queued beyond that, or can't use within its limit, doesn't count.
    """
    queued, weights = request.queued_core_ms, request.weights
    turns = queued.get(request.team, 0.0) / _weight(request.team, weights)
    ahead = 0.0
    for team, core_ms in queued.items():
        work = min(core_ms, _weight(team, weights) * turns)
        if team != request.team and team in request.limits_cpu_millis:
            work = min(work, request.limits_cpu_millis[team] / 1_000 * request.useful_ms)
        ahead += work
    return ahead


def drain_ms(core_ms: float, cpu_millis: int, lendable_cpu_millis: int) -> float:
    """Return how long the work takes if VMs are lent as soon as possible."""
    cores = cpu_millis / 1_000
    before_loan = cores * LOAN_DELAY_MS
    if core_ms <= before_loan:
        return core_ms / cores
    return LOAN_DELAY_MS + (core_ms - before_loan) / (cores + lendable_cpu_millis / 1_000)


def _retry_after_ms(excess_ms: float, request: JobRequest) -> int:
    """Return when a refused caller should return, so that not all of them return together."""
    cpu_millis = request.cpu_millis + request.lendable_cpu_millis
    after_ms = max(excess_ms * RETRY_MARGIN, MIN_RETRY_MS)
    after_ms += request.refused_core_ms / cpu_millis * 1_000
    if after_ms > MAX_RETRY_MS:
        after_ms = MAX_RETRY_MS - request.refusals % RETRY_SPREAD * MS_PER_S
    return round(after_ms)


def _weight(team: str, weights: Mapping[str, float]) -> float:
    return weights.get(team, 0.0) or 1.0


def _least_share(core_ms: float, request: JobRequest) -> float:
    """Return the share of the estimated work that the queued tasks take at least."""
    tasks = core_ms / request.task_core_ms if request.task_core_ms else 0.0
    if tasks <= 0:
        return 1.0
    return max(MIN_WORK_SHARE, 1 - OPTIMISTIC_DEVIATIONS * request.spread / math.sqrt(tasks))
