"""A replica's durable log while its syncs run beside the main loop."""

from __future__ import annotations

import random

import pytest
import trio

from hornbeamreach.control.commands import NoOp
from hornbeamreach.control.raft import PeerProgress, Role
from hornbeamreach.control.raft_messages import TimeoutNow
from hornbeamreach.control.replica import SLOW_SYNCS_BEFORE_TRANSFER, Replica
from hornbeamreach.control.storage import RaftStorage, UnsavedReady
from hornbeamreach.link.interface import HandlerTable

from . import builders
from .fakes import MemoryDisk, MemoryLink, MemoryNetwork, run_virtual, virtual_clock

MEMBERS = {"a": "a:1"}


def test_a_command_proposed_during_a_sync_is_stored_once_by_a_snapshot_after_it():
    # The log held the entry twice, so the replica couldn't start again.
    disk = MemoryDisk()

    async def main() -> None:
        rng = random.Random(1)

        async def run_blocking(function, *arguments) -> int:
            await trio.sleep(0.005)
            function(*arguments)
            if replica.is_leader() and replica.core.log.last_index < 30:
                # Another task of the loop proposes it before this one goes on.
                replica.submit(NoOp())
            return 5

        replica = Replica(
            node_id="a",
            members=MEMBERS,
            storage=RaftStorage(disk=disk),
            link=MemoryLink(MemoryNetwork(rng=rng, delay_ms=1), "a:1"),
            handlers=HandlerTable(),
            clock=virtual_clock(),
            rng=rng,
            limits=builders.replica_limits(log_entries=5),
            run_blocking=run_blocking,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replica.run)
            while not replica.is_leader():
                await trio.sleep(0.01)
            await replica.propose(NoOp())
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        stored = RaftStorage(disk=disk).load(MEMBERS).log
        assert stored.base_index > 0
        assert stored.last_index == replica.core.log.last_index

    run_virtual(main)


@pytest.mark.parametrize(("sync_ms", "takes_over"), [(0, False), (50, False), (49, True)])
def test_only_a_replica_with_a_known_sync_time_of_less_than_half_takes_over(sync_ms, takes_over):
    # A replica that took exactly half as long took over.
    async def main() -> None:
        rng = random.Random(1)
        replica = Replica(
            node_id="a",
            members={name: f"{name}:1" for name in "abc"},
            storage=RaftStorage(disk=MemoryDisk()),
            link=MemoryLink(MemoryNetwork(rng=rng, delay_ms=1), "a:1"),
            handlers=HandlerTable(),
            clock=virtual_clock(),
            rng=rng,
            limits=builders.replica_limits(log_entries=5),
        )
        core = replica.core
        core.role = Role.LEADER
        core.peers = {n: PeerProgress(next_index=1, sync_ms=sync_ms) for n in "bc"}
        for _ in range(SLOW_SYNCS_BEFORE_TRANSFER):
            # One other replica has the entry, so the commit waits for this one's disk.
            core.peers["b"].match_index = core.propose(b"")
            ready = core.take_ready()
            replica._record_sync([UnsavedReady(ready=ready, term=0, voted_for=None)], 100)
        targets = [m.target for m in core.take_ready().messages if isinstance(m, TimeoutNow)]
        assert targets == (["b"] if takes_over else [])

    run_virtual(main)
