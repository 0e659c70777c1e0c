"""First polls of a new scheduler, as after the loss of a leader at a queue's peak."""

from __future__ import annotations

import pytest
import trio

from hornbeamreach.systems.takeover_order import (
    MAX_FIRST_POLLS,
    RecoveredMinion,
    takeover_orders,
)

from . import builders
from .fakes import run_virtual
from .step_fleet import StepFleet

MINIONS = 80


def replay_takeover(order: str) -> int:
    """Return how many empty minions are polled before the last one with a long-running task."""
    minions = [
        RecoveredMinion(lasting_runs=number % 5 == 4, runs=number % 5 == 4)
        for number in range(MINIONS)
    ]
    polled = sorted(minions, key=takeover_orders.get(order))
    last = max(index for index, minion in enumerate(polled) if minion.lasting_runs)
    return sum(not minion.runs for minion in polled[:last])


class TestOrder:
    def test_minions_with_the_most_to_lose_are_polled_first(self):
        """Guards against leases of long-running tasks that lapse behind polls of empty minions."""
        assert replay_takeover("as_heard") > MINIONS // 2
        assert replay_takeover("urgent_first") == 0

    def test_less_slack_goes_first_within_a_rank(self):
        order = takeover_orders.get("urgent_first")
        relaxed = RecoveredMinion(runs=1, rank=1, slack_ms=900)
        pressed = RecoveredMinion(runs=1, rank=1, slack_ms=-50)
        assert sorted([RecoveredMinion(), relaxed, pressed], key=order)[0] is pressed


@pytest.mark.parametrize("unreachable", [False, True])
def test_a_takeover_polls_a_bounded_number_at_a_time_and_keeps_all_runs(unreachable):
    """Guards against a burst of polls that blocks the new leader, and against runs started twice.

    Minions that report but can't be polled must not delay the others' polls until their leases
    have lapsed.
    """

    async def scenario() -> None:
        fleet = StepFleet(minion_count=MINIONS)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await fleet.wait_for_scheduler()
            await trio.sleep(3)
            await fleet.submit("lasting", builders.step_job(builders.step(60, lasting=True)))
            await fleet.wait_for_state("lasting", "running")
            await trio.sleep(2)
            begun = len(fleet.minions.history)
            most = 0
            if unreachable:
                idle = [m.minion for m in fleet.minions.minions.values() if not m.running]
                fleet.minions.partitions.update((a, m) for a in fleet.addresses for m in idle)
            fleet.kill_control(await fleet.wait_for_leader())
            scheduler = await fleet.wait_for_scheduler()
            polls = scheduler.first_polls
            with trio.move_on_after(4):
                while True:
                    most = max(most, polls.in_turn)
                    await trio.sleep(0.001)
            assert 0 < most <= MAX_FIRST_POLLS and polls.in_turn == 0
            runs = [run for m in scheduler.fleet.minions.values() for run in m.runs.values()]
            assert len(runs) == 60
            await trio.sleep(6)
            assert len(fleet.minions.history) == begun == 60
            assert not fleet.find_violations()
            nursery.cancel_scope.cancel()

    run_virtual(scenario)
