"""A replica's durable log while its syncs run beside the main loop."""

from __future__ import annotations

import random

import trio

from hornbeamreach.control.commands import NoOp
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.storage import RaftStorage
from hornbeamreach.link.interface import HandlerTable

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
            snapshot_every=5,
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
