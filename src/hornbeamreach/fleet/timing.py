"""Timeouts and intervals of the scheduler."""

from __future__ import annotations

from attrs import define


@define(frozen=True, kw_only=True)
class FleetTiming:
    """Hold the scheduler's timeouts and intervals in ms, and factors."""

    # A minion kills its runs this long after it was last reached. Must exceed two changes of the
    # leader, 1.5 s each; the runs of a dead minion restart only after it.
    lease_ms: int = 4_000
    # A minion shortens a longer lease to this. One that an earlier incarnation was given may seem
    # longer to the next one, whose clock begins anew.
    max_lease_ms: int = 10_000
    # Added before a lapsed run counts as gone, so that the minion's own kill takes effect first.
    lapse_margin_ms: int = 300
    # How long a poll waits for a run to end; each poll also renews the lease.
    poll_wait_ms: int = 1_000
    # The same on minions whose runs are monitored for progress.
    busy_poll_wait_ms: int = 600
    # The same while it is unknown whether a run is there: some round trips, so that polls don't
    # follow one another without a pause.
    unknown_poll_wait_ms: int = 50
    # Time for a response on top of the wait: twice the delay after which a lost packet is
    # first retransmitted.
    response_timeout_ms: int = 700
    # Pause before a call with an unknown outcome is repeated.
    retry_ms: int = 150
    # A minion that refused a start because it is unhealthy, full or fenced gets no work for this
    # long.
    suspect_ms: int = 1_500
    # Ended jobs can be queried for this long.
    ended_job_retention_ms: int = 130_000
    # Tickets are requested again after this share of their validity.
    ticket_refresh_share: float = 0.7
    # A minion that the admission service did not admit for a step isn't named again before.
    ticket_refusal_ms: int = 10_000
    # How many times as long a task takes outside the rack that it asks for; 1.0 if this is unknown,
    # and then no task waits for a rack.
    remote_factor: float = 1.0

    @property
    def recovered_lease_ms(self) -> int:
        """Return how long a lease of an earlier scheduler can last, with clock drift, in ms."""
        return int(self.lease_ms * 1.03) + self.lapse_margin_ms

    @property
    def carried_lease_ms(self) -> int:
        """Return how long a lease in a call for an earlier incarnation can last, in ms."""
        return int(self.max_lease_ms * 1.03) + self.lapse_margin_ms
