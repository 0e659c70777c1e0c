"""Records: a majority chooses one value per key, and keeps it when processes lose their memory."""

from __future__ import annotations

import random

import pytest
import trio
from attrs import evolve
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.metrics import Metrics
from hornbeamreach.records.acceptor import MAX_CLOCK_SKEW_MS, Acceptor
from hornbeamreach.records.groups import RecordGroups
from hornbeamreach.records.messages import (
    Ballot,
    Record,
    RecordAccept,
    RecordPrepare,
)
from hornbeamreach.records.store import RecordStore
from hornbeamreach.verdict import Reason

from .fakes import MemoryDisk, MemoryLink, MemoryNetwork, run_virtual, virtual_clock

ENTRIES = ("e1", "e2", "e3")
KEY = "call/red/k"


def record(holder: str, at_ms: int = 0, state: str = "call_started") -> Record:
    return Record(kind="call", state=state, holder=holder, at_ms=at_ms)


class Proposal:
    """Track one proposer's attempt to claim the key; it adopts a value accepted earlier."""

    def __init__(self, name: str, ballot: Ballot) -> None:
        self.name = name
        self.ballot = ballot
        self.promises: dict[str, object] = {}
        self.accepted: set[str] = set()
        self.value: Record | None = None


class ClaimMachine(RuleBasedStateMachine):
    """Check that only one claim is chosen while acceptors lose their memory one at a time."""

    recovery_enabled = True

    @initialize()
    def build(self):
        self.now_ms = 10_000
        self.acceptors = {name: Acceptor(voting=True) for name in ENTRIES}
        self.proposals: list[Proposal] = []
        self.chosen: set[str] = set()
        self.number = 0

    def voting(self):
        return [name for name in ENTRIES if self.acceptors[name].voting]

    @rule(skew=st.integers(-900, 900))
    def begin(self, skew):
        self.number += 1
        highest = max([p.ballot.counter for p in self.proposals[-1:]] + [0])
        counter = max(self.now_ms + skew, highest + 1)
        self.proposals.append(Proposal(f"p{self.number}", Ballot(counter, f"p{self.number}")))

    @rule(position=st.integers(0, 9), name=st.sampled_from(ENTRIES))
    def prepare(self, position, name):
        proposal = self.pick(position)
        if proposal is None or proposal.value is not None or not self.acceptors[name].voting:
            return
        message = RecordPrepare(group="dc1", key=KEY, ballot=proposal.ballot)
        promise = self.acceptors[name].prepare(message)
        if promise.granted:
            proposal.promises[name] = promise
        if len(proposal.promises) >= 2:
            latest = max(proposal.promises.values(), key=lambda p: p.accepted)
            proposal.value = latest.record or record(proposal.name)

    @rule(position=st.integers(0, 9), name=st.sampled_from(ENTRIES))
    def accept(self, position, name):
        proposal = self.pick(position)
        if proposal is None or proposal.value is None or not self.acceptors[name].voting:
            return
        message = RecordAccept(group="dc1", key=KEY, ballot=proposal.ballot, record=proposal.value)
        if self.acceptors[name].accept(message).granted:
            proposal.accepted.add(name)
        if len(proposal.accepted) >= 2:
            self.chosen.add(proposal.value.holder)

    def pick(self, position):
        return self.proposals[-1 - position % len(self.proposals)] if self.proposals else None

    @rule(name=st.sampled_from(ENTRIES))
    def lose_memory(self, name):
        if len(self.voting()) == len(ENTRIES):
            self.acceptors[name] = Acceptor()

    @rule(name=st.sampled_from(ENTRIES))
    def recover(self, name):
        if self.acceptors[name].voting:
            return
        if not self.recovery_enabled:
            self.acceptors[name].voting = True
            return
        floor = self.now_ms + MAX_CLOCK_SKEW_MS
        dumps = [self.acceptors[other].dump(floor) for other in ENTRIES if other != name]
        self.acceptors[name].try_recover(dumps, peer_count=3, floor=floor, wall_ms=self.now_ms)

    @rule(step=st.sampled_from([1, 500, 5_000]))
    def pass_time(self, step):
        self.now_ms += step

    @invariant()
    def at_most_one_claim_is_chosen(self):
        assert len(getattr(self, "chosen", set())) <= 1


TestClaimMachine = ClaimMachine.TestCase


class TestBrokenVariants:
    def test_two_claims_are_chosen_without_recovery(self):
        machine = ClaimMachine()
        machine.build()
        machine.recovery_enabled = False
        machine.begin(0)
        for name in ("e1", "e2"):
            machine.prepare(0, name)
        for name in ("e1", "e2"):
            machine.accept(0, name)
        for name in ("e1", "e2"):
            machine.lose_memory(name)
            machine.recover(name)
        machine.begin(0)
        for name in ("e1", "e2"):
            machine.prepare(0, name)
        for name in ("e1", "e2"):
            machine.accept(0, name)
        with pytest.raises(AssertionError):
            machine.at_most_one_claim_is_chosen()


class TestAcceptor:
    def test_votes_on_disk_survive_a_crash(self):
        disk = MemoryDisk()
        acceptor = Acceptor(disk=disk, voting=True)
        ballot = Ballot(5, "p")
        acceptor.prepare(RecordPrepare(group="dc1", key=KEY, ballot=ballot))
        acceptor.accept(RecordAccept(group="dc1", key=KEY, ballot=ballot, record=record("p")))
        disk.crash()
        reloaded = Acceptor(disk=disk)
        reloaded.load()
        assert reloaded.records[KEY].record.holder == "p"
        assert reloaded.records[KEY].promised == ballot

    def test_a_failed_sync_grants_no_vote(self):
        disk = MemoryDisk()
        acceptor = Acceptor(disk=disk, voting=True)
        disk.fail_sync = True
        with pytest.raises(OSError):  # noqa: PT011
            acceptor.prepare(RecordPrepare(group="dc1", key=KEY, ballot=Ballot(5, "p")))
        assert KEY not in acceptor.records

    def test_only_expired_records_in_final_states_are_removed(self):
        acceptor = Acceptor(voting=True)
        for key, state, at_ms in (("a", "done", 10), ("b", "queued", 10), ("c", "done", 99)):
            ballot = Ballot(1, "p")
            candidate = record("p", at_ms, state)
            acceptor.accept(RecordAccept(group="dc1", key=key, ballot=ballot, record=candidate))
        assert acceptor.remove_expired(50, frozenset({"done"})) == 1
        assert sorted(acceptor.records) == ["b", "c"]

    def test_recovery_without_a_voting_majority_needs_every_peer(self):
        acceptor = Acceptor()
        empty_dump = Acceptor().dump(0)
        assert not acceptor.try_recover([empty_dump], peer_count=3, floor=0, wall_ms=0)
        assert acceptor.try_recover([empty_dump, empty_dump], peer_count=3, floor=0, wall_ms=100)
        assert acceptor.lost_before_ms == 100 + MAX_CLOCK_SKEW_MS


class StoreGroup:
    """Run the record stores of one data centre over a memory network."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.rng = random.Random(3)
        self.network = MemoryNetwork(rng=self.rng)
        self.network.nursery = nursery
        self.nursery = nursery
        self.peers = {name: f"{name}:1" for name in ENTRIES}
        self.stores: dict[str, RecordStore] = {}
        for name in ENTRIES:
            self.start(name)

    def start(self, name: str) -> None:
        handlers = HandlerTable()
        self.stores[name] = RecordStore(
            group="dc1",
            process=f"{name}/{self.rng.getrandbits(32)}",
            entry_id=name,
            peers=self.peers,
            acceptor=Acceptor(),
            link=MemoryLink(self.network, self.peers[name]),
            clock=virtual_clock(),
            rng=self.rng,
            metrics=Metrics(),
            retention_ms=60_000,
            final_states=frozenset({"done"}),
        )
        RecordGroups(handlers=handlers).add(self.stores[name])
        self.network.handlers[self.peers[name]] = handlers
        self.nursery.start_soon(self.stores[name].run)


def run_store_scenario(scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            group = StoreGroup(nursery)
            for store in group.stores.values():
                await store.recovered.wait()
            await scenario(group)
            nursery.cancel_scope.cancel()

    run_virtual(main)


class TestRecordStore:
    def test_no_concurrent_increment_is_lost(self):
        async def scenario(group):
            def increment(existing):
                return evolve(
                    existing or record("n"), attempt=(existing.attempt if existing else 0) + 1
                )

            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    for store in group.stores.values():
                        nursery.start_soon(store.change, "counter", increment)
            read = await group.stores["e1"].read("counter")
            # A retried increment counts twice if its interrupted round also took effect.
            assert read.record.attempt >= 15

        run_store_scenario(scenario)

    def test_a_change_succeeds_without_one_process(self):
        async def scenario(group):
            group.network.cut_off({"e3:1"})
            await group.stores["e1"].change("k", lambda existing: existing or record("e1"))
            read = await group.stores["e2"].read("k")
            assert read.record.holder == "e1"

        run_store_scenario(scenario)

    def test_a_change_without_a_majority_is_refused(self):
        async def scenario(group):
            group.network.cut_off({"e2:1"})
            group.network.cut_off({"e3:1"})
            with pytest.raises(Exception) as caught:  # noqa: PT011
                await group.stores["e1"].change("k", lambda existing: existing or record("e1"))
            assert caught.value.reason is Reason.RECORDS_UNAVAILABLE

        run_store_scenario(scenario)

    def test_a_scan_finds_the_records_of_a_majority(self):
        async def scenario(group):
            for number in range(5):
                name = f"job/{number}"
                await group.stores["e1"].change(name, lambda existing: existing or record("x"))
            assert len(await group.stores["e3"].scan("job/")) == 5

        run_store_scenario(scenario)
