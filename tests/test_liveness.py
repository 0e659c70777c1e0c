"""Heartbeats apart from the event loop: they keep a busy leader, and never two leases at once."""

from __future__ import annotations

import contextlib
import socket
import time

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from hornbeamreach.clock import Clock
from hornbeamreach.control.heartbeat_thread import (
    HeartbeatThread,
    decode_heartbeat,
    encode_heartbeat,
)
from hornbeamreach.control.liveness import MAX_LOOP_BLOCK_MS, Heartbeat, Liveness
from hornbeamreach.control.raft import (
    HEARTBEAT_INTERVAL_MS,
    MAX_VOTE_SAVING_EXTENSION_MS,
    Ready,
    Role,
)
from hornbeamreach.control.raft_messages import VoteRequest
from hornbeamreach.control.storage import UnsavedReady
from hornbeamreach.exceptions import RefusedError

from .builders import step, step_job
from .step_fleet import StepFleet
from .test_raft import NODES, Cluster
from .test_step_jobs import job_id, run_scenario

SECRET = b"secret"
HEARTBEAT = Heartbeat(source="a", target="b", term=3, sent_ms=1_000)


def exchange(cluster: Cluster) -> None:
    """Deliver one round of heartbeats, as the threads do while the loops are blocked."""
    for core in cluster.cores.values():
        for message in core.liveness.heartbeats(cluster.now_ms):
            reply = cluster.cores[message.target].liveness.receive(message, cluster.now_ms)
            if reply is not None:
                core.liveness.receive(reply, cluster.now_ms)


def pass_time(cluster: Cluster, duration_ms: int, *, blocked: tuple[str, ...]) -> None:
    """Let time pass in which the loops of some replicas are blocked and only their threads run."""
    end_ms = cluster.now_ms + duration_ms
    while cluster.now_ms < end_ms:
        exchange(cluster)
        for name in NODES:
            if name not in blocked:
                cluster.tick(name, 0)
        cluster.in_flight = [
            m for m in cluster.in_flight if m.source not in blocked and m.target not in blocked
        ]
        for _ in range(len(cluster.in_flight)):
            cluster.deliver(0)
        cluster.now_ms += HEARTBEAT_INTERVAL_MS


@pytest.fixture
def cluster() -> Cluster:
    """Return a cluster with a leader."""
    cluster = Cluster()
    cluster.settle()
    return cluster


class TestBlockedLoop:
    def test_a_leader_keeps_its_lease_and_term_while_its_loop_is_blocked(self, cluster):
        leader = cluster.leader()
        pass_time(cluster, 1_500, blocked=(leader.node_id,))
        assert leader.is_leader(cluster.now_ms)
        assert {core.term for core in cluster.cores.values()} == {leader.term}

    @given(st.lists(st.tuples(st.integers(1, 900), st.booleans(), st.integers(0, 3)), max_size=12))
    def test_the_short_look_at_the_lease_agrees_with_the_full_one(self, events):
        """Guards against a lease that counts for longer, or shorter, than the replies show."""
        cluster = Cluster()
        cluster.settle()
        for pause_ms, answered, kind in events:
            cluster.now_ms += pause_ms
            if answered:
                exchange(cluster)
            leader = cluster.leader()
            if leader is not None and kind == 1:
                others = [name for name in NODES if name != leader.node_id]
                names = NODES if len(leader.members()) < 3 else (leader.node_id, others[0])
                with contextlib.suppress(RefusedError):
                    leader.propose_members({name: f"{name}:1" for name in names})
            if kind == 2:
                cluster.tick(NODES[0], 0)
            if kind == 3:
                cluster.settle()
            for core in cluster.cores.values():
                looks = [core.is_leader(cluster.now_ms), core.is_leader(cluster.now_ms)]
                core.lease_contact = (-1, None, -1)
                assert looks == [core.is_leader(cluster.now_ms)] * 2

    def test_no_follower_stands_for_election_after_all_loops_were_blocked(self, cluster):
        leader = cluster.leader()
        pass_time(cluster, 1_500, blocked=NODES)
        for name in NODES:
            cluster.tick(name, 0)
        assert leader.is_leader(cluster.now_ms)
        assert all(cluster.cores[n].role is Role.FOLLOWER for n in NODES if n != leader.node_id)

    def test_a_leader_whose_loop_hangs_is_replaced(self, cluster):
        leader = cluster.leader()
        pass_time(cluster, MAX_LOOP_BLOCK_MS + 4_000, blocked=(leader.node_id,))
        assert not leader.is_leader(cluster.now_ms)
        others = [core for core in cluster.cores.values() if core is not leader]
        assert any(core.is_leader(cluster.now_ms) for core in others)

    def test_a_leader_that_only_datagrams_reach_is_replaced(self, cluster):
        # It kept its lease for as long as its link was cut, and nothing was committed.
        leader = cluster.leader()
        end_ms = cluster.now_ms + 8_000
        while cluster.now_ms < end_ms:
            exchange(cluster)
            cluster.settle(HEARTBEAT_INTERVAL_MS // 15, cut_off=(leader.node_id,))
        others = [core for core in cluster.cores.values() if core is not leader]
        assert any(core.is_leader(cluster.now_ms) for core in others)
        assert not leader.is_leader(cluster.now_ms)

    def test_a_suspended_leader_does_not_rely_on_its_old_lease(self, cluster):
        # The loop has read no clock since it was resumed.
        leader = cluster.leader()
        assert leader.is_leader()
        assert not leader.is_leader(cluster.now_ms + 5_000)


class TestVotes:
    def test_a_voter_does_not_answer_the_leader_it_has_deposed(self, cluster):
        # Its answer would extend the lease of one leader while the next one has its own.
        leader = cluster.leader()
        voter, rival = (cluster.cores[n] for n in NODES if n != leader.node_id)
        heartbeat = leader.liveness.heartbeats(cluster.now_ms)[0]
        sent = [m for m in leader.liveness.heartbeats(cluster.now_ms) if m.target == voter.node_id]
        assert voter.liveness.receive(sent[0], cluster.now_ms) is not None
        request = VoteRequest(
            source=rival.node_id,
            target=voter.node_id,
            term=leader.term + 1,
            last_index=rival.log.last_index,
            last_term=rival.log.last_term,
            pre_vote=False,
            transfer=True,
        )
        voter.receive(request, cluster.now_ms)
        assert voter.voted_for == rival.node_id
        assert voter.liveness.receive(sent[0], cluster.now_ms) is None
        assert heartbeat.term == leader.term

    def test_an_answered_heartbeat_keeps_the_voter_from_voting(self, cluster):
        leader = cluster.leader()
        voter, rival = (cluster.cores[n] for n in NODES if n != leader.node_id)
        term = voter.term
        cluster.now_ms += 600
        for message in leader.liveness.heartbeats(cluster.now_ms):
            cluster.cores[message.target].liveness.receive(message, cluster.now_ms)
        cluster.now_ms += 300
        request = VoteRequest(
            source=rival.node_id,
            target=voter.node_id,
            term=term + 1,
            last_index=rival.log.last_index,
            last_term=rival.log.last_term,
            pre_vote=False,
        )
        voter.receive(request, cluster.now_ms)
        assert voter.term == term

    def test_replies_count_only_from_members_of_the_current_term(self):
        liveness = Liveness(node_id="a")
        liveness.publish(term=3, leader="a", members=("b", "c"))
        for source, target, term in (("d", "a", 3), ("b", "c", 3), ("b", "a", 2), ("b", "a", 4)):
            reply = Heartbeat(source=source, target=target, term=term, sent_ms=9, is_reply=True)
            assert liveness.receive(reply, 10) is None
        assert liveness.answered() == {}
        liveness.receive(Heartbeat(source="b", target="a", term=3, sent_ms=9, is_reply=True), 10)
        assert liveness.answered() == {"b": 9}
        liveness.publish(term=4, leader="a", members=("b", "c"))
        assert liveness.answered() == {}


class TestDatagrams:
    def test_a_heartbeat_survives_encoding(self):
        assert decode_heartbeat(encode_heartbeat(HEARTBEAT, SECRET), SECRET) == HEARTBEAT

    def test_a_datagram_of_another_deployment_is_dropped(self):
        assert decode_heartbeat(encode_heartbeat(HEARTBEAT, b"other"), SECRET) is None

    @given(noise=st.binary(max_size=80), position=st.integers(0, 60), value=st.integers(0, 255))
    def test_noise_and_altered_heartbeats_are_dropped(self, noise, position, value):
        datagram = bytearray(encode_heartbeat(HEARTBEAT, SECRET))
        datagram[position % len(datagram)] ^= value
        altered = decode_heartbeat(bytes(datagram), SECRET)
        assert altered == (HEARTBEAT if value == 0 else None)
        assert decode_heartbeat(noise, SECRET) is None

    def test_two_threads_exchange_heartbeats_beside_noise(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        hosts = {"a": "127.0.0.1", "b": "127.0.0.2"}
        threads = {}
        for name, host in hosts.items():
            liveness = Liveness(node_id=name, loop_progress_ms=Clock().now_ms())
            liveness.publish(term=1, leader="a", members=("b",) if name == "a" else ())
            threads[name] = HeartbeatThread(
                liveness=liveness,
                clock=Clock(),
                host=host,
                port=port,
                secret=SECRET,
                address_of=lambda target: f"{hosts[target]}:7000",
            )
            threads[name].start()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
            noise.sendto(b"noise", (hosts["a"], port))
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline and not (
            threads["a"].liveness.answered() and threads["a"].dropped
        ):
            time.sleep(0.01)
        for thread in threads.values():
            thread.stop()
        assert "b" in threads["a"].liveness.answered()
        assert threads["a"].dropped == 1

    @pytest.mark.parametrize("bad_address", ["255.255.255.255:7000", f"{'x' * 64}.example:7000"])
    def test_a_member_that_nothing_can_be_sent_to_costs_the_others_no_heartbeat(self, bad_address):
        # The first error left out all members after it in each round, or ended the thread.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.2", 0))
            peer.settimeout(5)
            liveness = Liveness(node_id="a", loop_progress_ms=Clock().now_ms())
            liveness.publish(term=1, leader="a", members=("b", "c"))
            thread = HeartbeatThread(
                liveness=liveness,
                clock=Clock(),
                host="127.0.0.1",
                port=peer.getsockname()[1],
                secret=SECRET,
                address_of={"b": bad_address, "c": "127.0.0.2:7000"}.get,
            )
            thread.start()
            try:
                heartbeats = [decode_heartbeat(peer.recv(1_024), SECRET) for _ in range(2)]
            finally:
                thread.stop()
        assert [heartbeat.target for heartbeat in heartbeats] == ["c", "c"]


class TestDisks:
    @pytest.mark.parametrize("seed", range(3))
    def test_a_stalled_disk_of_the_leader_delays_no_commit(self, seed):
        # Commits waited for the leader's own sync, and the others elected a new leader.
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            term = fleet.control[leader].replica.core.term
            await fleet.submit(job_id(1), step_job(step(1)))
            fleet.sync_duration_ms[leader] = 3_000
            for number in range(2, 22):
                began_ms = fleet.clock.now_ms()
                await fleet.submit(job_id(number), step_job(step(1)))
                assert fleet.clock.now_ms() - began_ms < 100
                await trio.sleep(0.1)
            fleet.sync_duration_ms[leader] = 5
            await fleet.wait_for_state(job_id(21), "completed")
            assert fleet.control[leader].replica.core.term == term

        run_scenario(scenario, seed=seed)

    def test_leadership_is_not_handed_to_a_replica_with_a_slow_disk(self):
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            for address in fleet.addresses:
                fleet.sync_duration_ms[address] = 100
            for number in range(30):
                await fleet.submit(job_id(number), step_job(step(1)))
            assert await fleet.wait_for_leader() == leader

        run_scenario(scenario)

    def test_outputs_saved_with_one_sync_extend_the_election_timeout_once(self):
        # Each term that had gathered during a stall added a second, so a voter stood much later.
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            follower = next(a for a in fleet.addresses if a != leader)
            replica = fleet.control[follower].replica
            due_ms = replica.core.election_timer.due_ms
            batch = [
                UnsavedReady(ready=Ready(hard_state=(n, None)), term=n, voted_for=None)
                for n in range(5)
            ]
            replica._record_sync(batch, 3_000)
            assert replica.core.election_timer.due_ms == due_ms + MAX_VOTE_SAVING_EXTENSION_MS

        run_scenario(scenario)
