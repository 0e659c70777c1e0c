"""Orders to minions are relayed by followers, and a failed relay starts no task twice."""

from __future__ import annotations

import random

import pytest
import trio

from hornbeamreach.fleet.order_relay import OrderRelay
from hornbeamreach.fleet.ports import (
    PollResult,
    StartAnswer,
    StartReply,
    UnknownOutcomeError,
)
from hornbeamreach.fleet.relay_messages import (
    RelayBatch,
    RelayedStart,
    RelayOutcome,
    RelayResult,
    RelayResults,
)
from hornbeamreach.fleet.relayed_minion_port import RelayedMinionPort
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.overload import Effort
from hornbeamreach.systems.relay_choice import (
    BACKOFF_MS,
    FOLLOWER_SILENT_MS,
    MAX_DIRECT_MINIONS,
    POLL_PAUSE_MS,
    Follower,
    RelayBackoff,
    choose_relay,
    poll_pause_ms,
)

from . import builders, step_fleet
from .builders import step, step_job
from .fakes import MemoryLink, MemoryNetwork, run_virtual, virtual_clock
from .step_fleet import StepFleet
from .test_step_jobs import TestFailures as StepJobFailures
from .test_step_jobs import job_id, run_scenario

MANY_MINIONS = MAX_DIRECT_MINIONS + 1
FOLLOWERS = [Follower(address="b:1", silent_ms=50), Follower(address="c:1", silent_ms=90)]


def relay_for(minion: str, followers=None, backoff=None, *, minions=MANY_MINIONS, now_ms=0):
    followers = FOLLOWERS if followers is None else followers
    return choose_relay(
        minion, followers, backoff or RelayBackoff(), minions=minions, now_ms=now_ms
    )


class TestRelayChoice:
    def test_a_small_fleet_gets_orders_directly(self):
        assert relay_for("i-1", minions=MAX_DIRECT_MINIONS) is None

    def test_minions_are_spread_over_followers_and_keep_their_relay(self):
        relays = {f"i-{n}": relay_for(f"i-{n}") for n in range(100)}
        assert set(relays.values()) == {"b:1", "c:1"}
        assert all(relay_for(minion) == relay for minion, relay in relays.items())

    def test_a_silent_follower_relays_nothing(self):
        silent = Follower(address="b:1", silent_ms=FOLLOWER_SILENT_MS + 1)
        assert {relay_for(f"i-{n}", [silent, FOLLOWERS[1]]) for n in range(50)} == {"c:1"}
        assert relay_for("i-1", [silent]) is None

    def test_polls_pause_only_in_a_large_fleet(self):
        assert poll_pause_ms(MAX_DIRECT_MINIONS) == 0
        assert poll_pause_ms(MANY_MINIONS) == POLL_PAUSE_MS

    def test_relaying_pauses_for_failed_minions_and_through_failed_followers(self):
        backoff = RelayBackoff()
        backoff.back_off("i-1", 0)
        backoff.back_off("b:1", 0)
        assert relay_for("i-1", backoff=backoff) is None
        assert {relay_for(f"i-{n}", backoff=backoff) for n in range(2, 50)} == {"c:1"}
        assert relay_for("i-1", backoff=backoff, now_ms=BACKOFF_MS) is not None


class TestResults:
    def test_a_result_for_an_earlier_process_at_the_address_is_ignored(self):
        # A restarted leader may receive results of calls that its previous process relayed.
        report = builders.minion("i-1").report

        def make_port(seed: int) -> RelayedMinionPort:
            network = MemoryNetwork(rng=random.Random(1))
            network.handlers["a:1"] = HandlerTable()
            return RelayedMinionPort(
                port=None,
                link=MemoryLink(network, "a:1"),
                handlers=HandlerTable(),
                address="a:1",
                clock=virtual_clock(),
                metrics=Metrics(),
                response_timeout_ms=100,
                followers=lambda: FOLLOWERS,
                rng=random.Random(seed),
                max_direct_minions=0,
            )

        async def main():
            earlier, later = make_port(1), make_port(2)
            call_number = next(earlier.call_numbers)
            stale = RelayResult(
                number=call_number,
                outcome=RelayOutcome.ANSWERED,
                look=PollResult(born_ms=1, clock_ms=1),
            )
            failures = []

            async def poll_later():
                try:
                    await later.poll(
                        report, token=1, recorded_end=0, lease_until_ms=None, wait_ms=0
                    )
                except UnknownOutcomeError:
                    failures.append(trio.current_time())
                nursery.cancel_scope.cancel()

            async with trio.open_nursery() as nursery:
                later.link.network.nursery = nursery
                nursery.start_soon(later.run)
                nursery.start_soon(poll_later)
                await trio.sleep(0.01)
                await later.on_results(RelayResults(results=[stale]))
            # It has an unknown outcome after its time limit, as without the stale result.
            assert len(failures) == 1 and 0.49 < failures[0] < 0.6

        run_virtual(main)


class TestBatches:
    @pytest.mark.parametrize(("pause_ms", "messages"), [(0, 6), (60, 1)])
    def test_results_share_messages_for_as_long_as_a_busy_leader_asks(self, pause_ms, messages):
        """Guards against more messages than a busy loop can read, one in each of its passes."""
        sent = []

        class Minions:
            async def start(self, report, order):
                await trio.sleep(0.008 * order.run)
                return StartReply(answer=StartAnswer.STARTED)

        class Link:
            def notify(self, address, message):
                sent.append(message)

        def start_of(number: int) -> RelayedStart:
            order = builders.start_order(run=number)
            return RelayedStart(number=number, minion="i-1", address="", order=order)

        async def main() -> None:
            relay = OrderRelay(
                port=Minions(), link=Link(), handlers=HandlerTable(), metrics=Metrics()
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(relay.run)
                await trio.sleep(0.01)
                starts = [start_of(number) for number in range(1, 7)]
                await relay.on_batch(
                    RelayBatch(source="a", starts=starts, results_pause_ms=pause_ms)
                )
                await trio.sleep(0.5)
                nursery.cancel_scope.cancel()
            assert len(sent) == messages
            assert sorted(r.number for m in sent for r in m.results) == list(range(1, 7))

        run_virtual(main)


class TestAbandonedCalls:
    # A replica that was suspended sent a start that its leader had given up seconds before; a
    # minion that had started again since carried it out beside the task's next run.
    @pytest.mark.parametrize("in_one_batch", [True, False])
    def test_a_start_that_arrives_together_with_its_end_is_not_sent(self, in_one_batch):
        sent = []

        class Minions:
            async def start(self, report, order) -> StartReply:
                await trio.lowlevel.checkpoint_if_cancelled()
                sent.append(order.run)
                return StartReply(answer=StartAnswer.STARTED)

        async def main() -> None:
            network = MemoryNetwork(rng=random.Random(1), delay_ms=1)
            async with trio.open_nursery() as nursery:
                network.nursery = nursery
                relay = OrderRelay(
                    port=Minions(),
                    link=MemoryLink(network, "b:1"),
                    handlers=HandlerTable(),
                    metrics=Metrics(),
                )
                nursery.start_soon(relay.run)
                await trio.sleep(0.01)
                starts = [
                    RelayedStart(
                        number=n, minion="i-1", address="a:1", order=builders.start_order(run=n)
                    )
                    for n in (1, 2)
                ]
                if in_one_batch:
                    await relay.on_batch(RelayBatch(source="a:1", starts=starts, given_up=[1]))
                else:
                    await relay.on_batch(RelayBatch(source="a:1", starts=starts))
                    await relay.on_batch(RelayBatch(source="a:1", given_up=[1]))
                await trio.sleep(0.1)
                assert not relay.calls
                nursery.cancel_scope.cancel()

        run_virtual(main)
        assert sent == [2]


class TestOverrun:
    def test_a_replica_that_does_not_run_its_relay_says_which_starts_it_left(self):
        network = MemoryNetwork(rng=random.Random(1), delay_ms=1)
        metrics = Metrics()
        relay = OrderRelay(
            port=None, link=MemoryLink(network, "b"), handlers=HandlerTable(), metrics=metrics
        )
        order = builders.start_order()
        batch = RelayBatch(
            source="a", starts=[RelayedStart(number=1, minion="i-1", address="", order=order)]
        )
        trio.run(relay.on_batch, batch)
        content, _ = metrics.render(["text/plain"])
        assert b"relay_overrun" in content


class TestFailuresWithRelayedOrders(StepJobFailures):
    """Repeat the failure tests of step jobs with all starts and polls relayed."""

    @pytest.fixture(autouse=True)
    def relay_all_orders(self, monkeypatch):
        monkeypatch.setattr(step_fleet, "MAX_DIRECT_MINIONS", 0)


class TestBusyLeader:
    def test_a_busy_leader_of_a_small_fleet_sends_calls_through_followers(self):
        """Guards against a leader that spends its last processor time on HTTP calls."""

        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            leader = await fleet.wait_for_leader()
            process = fleet.control[leader]
            process.minion_port.relays_all = process.service.relays_all
            relayed = []
            for address in fleet.addresses:
                if address != leader:
                    handlers = fleet.control[address].order_relay.handlers.handlers

                    async def note(batch, handle=handlers[RelayBatch]):
                        relayed.extend(call.order.task for call in batch.starts)
                        await handle(batch)

                    handlers[RelayBatch] = note
            for number, busy in ((1, False), (2, True), (3, False)):
                scheduler.overload = lambda *_, busy=busy: Effort(relays_all=busy)
                await fleet.submit(job_id(number), step_job(step(4)))
                await fleet.wait_for_state(job_id(number), "completed")
            assert len(relayed) == 4
            assert {task.partition(".")[0] for task in relayed} == {job_id(2)}

        run_scenario(scenario)


class TestRelayFailures:
    async def complete_jobs(self, fleet: StepFleet, inject_failure) -> None:
        job_ids = [job_id(n) for n in range(1, 9)]
        for name in job_ids:
            await fleet.submit(name, step_job(step(4), step(4, after=(0,))), work_ms=900)
        await inject_failure(fleet)
        for name in job_ids:
            await fleet.wait_for_state(name, "completed")

    @pytest.mark.parametrize("seed", range(3))
    def test_a_crashed_follower_only_delays_the_orders_that_it_relays(self, seed):
        async def inject_failure(fleet: StepFleet) -> None:
            await trio.sleep(0.3)
            follower = next(a for a in fleet.addresses if a != fleet.leader())
            fleet.kill_control(follower, power_loss=True)
            await trio.sleep(4)
            fleet.start_control(follower)

        async def scenario(fleet: StepFleet) -> None:
            await self.complete_jobs(fleet, inject_failure)

        run_scenario(scenario, seed=seed, relayed=True)

    @pytest.mark.parametrize("seed", range(3))
    def test_lost_results_of_a_follower_start_no_task_twice(self, seed):
        async def inject_failure(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            follower = next(a for a in fleet.addresses if a != leader)
            fleet.network.partition({follower}, {leader}, one_way=True)
            await trio.sleep(5)
            fleet.network.heal()

        async def scenario(fleet: StepFleet) -> None:
            await self.complete_jobs(fleet, inject_failure)

        run_scenario(scenario, seed=seed, relayed=True)

    def test_a_minion_that_followers_cannot_reach_gets_orders_directly(self):
        async def inject_failure(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            for follower in fleet.addresses:
                if follower != leader:
                    fleet.minions.partitions |= {(follower, name) for name in fleet.minions.minions}

        async def scenario(fleet: StepFleet) -> None:
            await self.complete_jobs(fleet, inject_failure)

        run_scenario(scenario, relayed=True)
