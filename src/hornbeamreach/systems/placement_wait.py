"""Decide whether a task waits for a place in the rack that it asks for or starts elsewhere.

Load pattern: for 5.5 s, 0.6 of a queue's jobs ask for the same rack, which holds a part of the
pool. Elsewhere their tasks take 1.5 to 3 times as long, and at the queue's peak other work lacks
the room that this takes. Declared run times are off by up to 90 %, and so are expected ends.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry

# An expected wait counts as this many times as long, as run times are off: less if other work takes
# the room that a waiting task leaves; most if nothing does, or if a wait that fails makes a late
# job later.
MARGIN = 1.25
WIDE_MARGIN = 2.0
# A waiting task is decided on again within this time, plus the time of a commit and an order.
DECISION_INTERVAL_MS = 150


@define(frozen=True, kw_only=True)
class NearWait:
    """Hold the inputs of the decision for one task, or for the members of a gang together."""

    # Estimated run times in the rack and elsewhere.
    near_ms: int
    far_ms: int
    # Time until a place in the rack that no task ahead of this one takes; None if the end of no
    # run there can be estimated.
    expected_ms: int | None
    # How long the task has waited for the rack already.
    waited_ms: int
    # Time left until the job's objective if the task started in the rack now.
    slack_ms: int
    # Whether other waiting work takes the room that the task leaves elsewhere.
    room_is_used: bool

    @property
    def saved_ms(self) -> int:
        """Return the run time that a place in the rack saves."""
        return self.far_ms - self.near_ms

    @property
    def far_slack_ms(self) -> int:
        """Return the time left until the objective if the task started elsewhere now."""
        return self.slack_ms - self.saved_ms


WaitPolicy = Callable[[NearWait], bool]
wait_policies: Registry[WaitPolicy] = Registry("wait for a near place")


@wait_policies.register("never")
def never(wait: NearWait) -> bool:
    """Start at once wherever there is room, as a baseline."""
    return False


@wait_policies.register("always")
def always(wait: NearWait) -> bool:
    """Wait without a bound, for comparison."""
    return True


@wait_policies.register("rent_or_buy")
def rent_or_buy(wait: NearWait) -> bool:
    """Wait at most for the time that the rack saves, without a look at expected ends.

    The task then ends at most that time later than if it had started elsewhere at once. It must
    still be on time then, since nothing tells whether the wait succeeds.
    """
    return wait.waited_ms < wait.saved_ms and wait.far_slack_ms > DECISION_INTERVAL_MS


@wait_policies.register("expected_gain")
def expected_gain(wait: NearWait) -> bool:
    """Wait if a place is expected so soon that the task ends earlier and its job no later."""
    if wait.expected_ms is None:
        return rent_or_buy(wait)
    far_is_on_time = wait.far_slack_ms >= 0
    if far_is_on_time:
        margin = MARGIN if wait.room_is_used else WIDE_MARGIN
    else:
        # Only the rack may let the job be on time, unless it is late in any case.
        margin = 1.0 if wait.slack_ms >= 0 else WIDE_MARGIN
    likely_ms = wait.expected_ms * margin
    if wait.waited_ms + likely_ms > wait.saved_ms:
        return False
    # A job that is on time elsewhere must be so after the wait too, even if the wait fails.
    return not far_is_on_time or wait.far_slack_ms >= max(likely_ms, DECISION_INTERVAL_MS)
