"""Orders that go to minions through the other control replicas."""

from __future__ import annotations

import random

import pytest
import trio

from hornbeamreach.clock import Clock
from hornbeamreach.fleet.ports import Look, NoAnswerError
from hornbeamreach.fleet.relay_messages import RelayOutcome, RelayResult, RelayResults
from hornbeamreach.fleet.relayed_minions import RelayedMinions
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.relay_choice import (
    DIRECT_MINIONS,
    FOLLOWER_SILENT_MS,
    LOOK_PAUSE_MS,
    REST_MS,
    Follower,
    RelayRests,
    choose_relay,
    look_pause_ms,
)

from . import builders, step_fleet
from .builders import step, step_job
from .fakes import MemoryLink, MemoryNetwork, run_virtual
from .step_fleet import StepFleet
from .test_step_jobs import TestUnderFailure as UnderFailure
from .test_step_jobs import job_id, play

MANY = DIRECT_MINIONS + 1
FOLLOWERS = [Follower(address="b:1", silent_ms=50), Follower(address="c:1", silent_ms=90)]


def chosen(minion: str, followers=None, rests=None, *, minions=MANY, now_ms=0):
    followers = FOLLOWERS if followers is None else followers
    return choose_relay(minion, followers, rests or RelayRests(), minions=minions, now_ms=now_ms)


class TestChoice:
    def test_a_small_fleet_is_ordered_directly(self):
        assert chosen("i-1", minions=DIRECT_MINIONS) is None

    def test_minions_are_shared_out_and_keep_their_replica(self):
        found = {f"i-{n}": chosen(f"i-{n}") for n in range(100)}
        assert set(found.values()) == {"b:1", "c:1"}
        assert all(chosen(minion) == relay for minion, relay in found.items())

    def test_a_silent_follower_carries_nothing(self):
        silent = Follower(address="b:1", silent_ms=FOLLOWER_SILENT_MS + 1)
        assert {chosen(f"i-{n}", [silent, FOLLOWERS[1]]) for n in range(50)} == {"c:1"}
        assert chosen("i-1", [silent]) is None

    def test_looks_pause_in_a_large_fleet_only(self):
        assert look_pause_ms(DIRECT_MINIONS) == 0
        assert look_pause_ms(MANY) == LOOK_PAUSE_MS

    def test_what_failed_rests_for_a_while(self):
        rests = RelayRests()
        rests.rest("i-1", 0)
        rests.rest("b:1", 0)
        assert chosen("i-1", rests=rests) is None
        assert {chosen(f"i-{n}", rests=rests) for n in range(2, 50)} == {"c:1"}
        assert chosen("i-1", rests=rests, now_ms=REST_MS) is not None


class TestResults:
    def test_a_result_for_an_earlier_process_at_the_address_is_not_taken(self):
        report = builders.minion("i-1").report

        def shared(seed: int) -> RelayedMinions:
            network = MemoryNetwork(rng=random.Random(1))
            network.handlers["a:1"] = HandlerTable()
            return RelayedMinions(
                port=None,
                link=MemoryLink(network, "a:1"),
                handlers=HandlerTable(),
                address="a:1",
                clock=Clock(),
                metrics=Metrics(),
                answer_ms=100,
                followers=lambda: FOLLOWERS,
                rng=random.Random(seed),
                direct_minions=0,
            )

        async def main():
            earlier, later = shared(1), shared(2)
            number = next(earlier.numbers)
            stale = RelayResult(
                number=number, outcome=RelayOutcome.ANSWERED, look=Look(born_ms=1, clock_ms=1)
            )
            failed = []

            async def look():
                try:
                    await later.look(
                        report, token=1, recorded_end=0, lease_until_ms=None, wait_ms=0
                    )
                except NoAnswerError:
                    failed.append(True)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(look)
                await trio.sleep(0.01)
                await later.on_results(RelayResults(results=[stale]))
            assert failed == [True]

        run_virtual(main)


class TestUnderFailureRelayed(UnderFailure):
    """Repeat the failures of step jobs with every start and look relayed."""

    @pytest.fixture(autouse=True)
    def relay_everything(self, monkeypatch):
        monkeypatch.setattr(step_fleet, "DIRECT_MINIONS", 0)


class TestRelaysThatFail:
    async def load(self, fleet: StepFleet, trouble) -> None:
        jobs = [job_id(n) for n in range(1, 9)]
        for name in jobs:
            await fleet.submit(name, step_job(step(4), step(4, after=(0,))), work_ms=900)
        await trouble(fleet)
        for name in jobs:
            await fleet.wait_state(name, "completed")

    @pytest.mark.parametrize("seed", range(3))
    def test_a_follower_that_dies_delays_its_orders_only(self, seed):
        async def trouble(fleet: StepFleet) -> None:
            await trio.sleep(0.3)
            follower = next(a for a in fleet.addresses if a != fleet.leader())
            fleet.stop_control(follower, power=True)
            await trio.sleep(4)
            fleet.start_control(follower)

        async def scenario(fleet: StepFleet) -> None:
            await self.load(fleet, trouble)

        play(scenario, seed=seed, relayed=True)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_follower_whose_results_are_lost_runs_nothing_twice(self, seed):
        async def trouble(fleet: StepFleet) -> None:
            leader = await fleet.wait_leader()
            follower = next(a for a in fleet.addresses if a != leader)
            fleet.network.cut({follower}, {leader}, one_way=True)
            await trio.sleep(5)
            fleet.network.heal()

        async def scenario(fleet: StepFleet) -> None:
            await self.load(fleet, trouble)

        play(scenario, seed=seed, relayed=True)

    def test_a_minion_that_a_follower_cannot_reach_is_ordered_directly(self):
        async def trouble(fleet: StepFleet) -> None:
            leader = await fleet.wait_leader()
            for follower in fleet.addresses:
                if follower != leader:
                    fleet.minions.partitions |= {(follower, name) for name in fleet.minions.minions}

        async def scenario(fleet: StepFleet) -> None:
            await self.load(fleet, trouble)

        play(scenario, relayed=True)
