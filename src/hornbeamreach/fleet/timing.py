"""Times that the scheduler keeps to."""

from __future__ import annotations

from attrs import define


@define(frozen=True, kw_only=True)
class FleetTiming:
    """Hold the scheduler's times; all but shares are in ms."""

    # What runs is killed this long after its minion was last reached: above two changes of
    # the leader, 1.5 s each; what a dead minion ran waits for it.
    lease_ms: int = 4_000
    # Added before a lapsed run counts as gone, for the minion's own kill to take effect.
    lapse_margin_ms: int = 300
    # A look waits this long for an end; the answer also renews the lease.
    look_wait_ms: int = 1_000
    # The same where tasks run whose progress is watched.
    busy_look_wait_ms: int = 600
    # The same while a run may be there or not: some round trips, so that looks do not follow
    # one another at once.
    unsettled_look_wait_ms: int = 50
    # Time for an answer on top of the wait: twice a lost packet's first resend.
    answer_ms: int = 700
    # Pause before an unanswered call to a minion is tried again.
    retry_ms: int = 150
    # A minion that said that it is unhealthy gets no work for this long.
    suspect_ms: int = 1_500
    # Ended jobs can be asked for this long.
    keep_ended_ms: int = 130_000
    # Tickets are asked for again after this share of their validity.
    ticket_share: float = 0.7

    @property
    def inherited_lease_ms(self) -> int:
        """Return how long a lease of an earlier scheduler can last, drift included."""
        return int(self.lease_ms * 1.03) + self.lapse_margin_ms
