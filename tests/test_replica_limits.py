"""A replica's log and snapshot stay within its memory and disk, whatever the entries weigh."""

from __future__ import annotations

import errno
import os
import random
from pathlib import Path

import attrs
import pytest
import trio

from hornbeamreach.control.commands import NoOp
from hornbeamreach.control.disk import FileDisk
from hornbeamreach.control.raft_log import RaftLog, entry_bytes
from hornbeamreach.control.raft_messages import LogEntry
from hornbeamreach.control.replica import COMPACTION_RETRY_MS, Replica
from hornbeamreach.control.storage import LOG_FILE_NAME, SNAPSHOT_FILE_NAME, RaftStorage
from hornbeamreach.control.workload_commands import ApplyDeclaration
from hornbeamreach.fleet.messages import DeclareRequest
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.systems.replica_limits import (
    MIB,
    DroppableLog,
    compaction_policies,
    limits_for,
)

from . import builders
from .builders import step_job
from .fakes import MemoryDisk, MemoryLink, MemoryNetwork, run_virtual, virtual_clock
from .step_fleet import StepFleet
from .test_step_jobs import job_id, run_scenario

KIB = 1024
# Each change of a configuration of 1,440 routes.
LARGE_CHANGE_BYTES = 630_000


def declaration(version: int, size: int) -> ApplyDeclaration:
    return ApplyDeclaration(version=version, text=b"x" * size, table=builders.step_table())


def replica_on(disk: MemoryDisk, run_blocking=None, **limits: int) -> Replica:
    rng = random.Random(1)
    options = {} if run_blocking is None else {"run_blocking": run_blocking}
    return Replica(
        node_id="a",
        members={"a": "a:1"},
        storage=RaftStorage(disk=disk),
        link=MemoryLink(MemoryNetwork(rng=rng, delay_ms=1), "a:1"),
        handlers=HandlerTable(),
        clock=virtual_clock(),
        rng=rng,
        limits=builders.replica_limits(**limits),
        **options,
    )


async def wait_until_leading(replica: Replica, nursery: trio.Nursery) -> None:
    nursery.start_soon(replica.run)
    while not replica.is_leader():
        await trio.sleep(0.01)


def largest_log(policy: str, changes: int) -> int:
    """Return how large a replica's log becomes by changes of a large configuration."""
    limits = limits_for(memory_mb=296, disk_mb=128, log_entries=30_000)
    is_due = compaction_policies.get(policy)
    entries = size_bytes = largest = 0
    for _ in range(changes):
        entries, size_bytes = entries + 1, size_bytes + LARGE_CHANGE_BYTES
        largest = max(largest, size_bytes)
        if is_due(DroppableLog(entries=entries, size_bytes=size_bytes), limits):
            entries = size_bytes = 0
    return largest


class TestDecisions:
    def test_hundreds_of_large_changes_fill_the_disk_only_under_the_baseline(self):
        assert largest_log("entries", 480) > 128 * MIB
        assert largest_log("size", 480) <= 32 * MIB + LARGE_CHANGE_BYTES

    def test_small_entries_are_compacted_by_their_number(self):
        limits = builders.replica_limits(log_entries=100, log_bytes=MIB)
        is_due = compaction_policies.get("size")
        assert not is_due(DroppableLog(entries=99, size_bytes=99), limits)
        assert is_due(DroppableLog(entries=100, size_bytes=100), limits)

    @pytest.mark.parametrize(
        ("memory_mb", "disk_mb", "expected_mb"),
        [(296, 128, 32), (424, 192, 48), (128, 1_000, 16), (0, 128, 32), (0, 0, 64)],
    )
    def test_limits_follow_the_scarcer_of_memory_and_disk(self, memory_mb, disk_mb, expected_mb):
        limits = limits_for(memory_mb=memory_mb, disk_mb=disk_mb, log_entries=1)
        assert (limits.log_bytes, limits.state_bytes) == (expected_mb * MIB, expected_mb * MIB)


class TestLogSize:
    def test_the_size_follows_appends_truncations_and_snapshots(self):
        log = RaftLog()
        entries = [LogEntry(index=n, term=1, data=b"x" * n) for n in range(1, 21)]
        for entry in entries:
            log.append(entry)
        log.truncate_from(16)
        assert log.size_bytes == sum(map(entry_bytes, entries[:15]))
        snapshot = builders.snapshot(index=5)
        log.compact(snapshot)
        assert log.size_bytes == sum(map(entry_bytes, entries[5:15])) == log.bytes_after(5)
        assert log.bytes_after(12) == sum(map(entry_bytes, entries[12:15]))
        log.compact(attrs.evolve(snapshot, index=50))
        assert log.size_bytes == 0


class TestCompaction:
    # Hundreds of changes of a large configuration filled the memory and the disk of every replica.
    def test_large_changes_fit_the_disk_and_are_there_after_a_restart(self):
        capacity = 1_000 * KIB
        limits = builders.replica_limits(log_bytes=capacity // 4)

        async def scenario(fleet: StepFleet) -> None:
            for disk in fleet.disks.values():
                disk.capacity_bytes = capacity
            await fleet.submit(job_id(1), step_job())
            for version in range(2, 102):
                request = DeclareRequest(
                    version=version,
                    text=bytes([version]) * 20 * KIB,
                    table=fleet.table,
                    keys={"key-1": "team-a"},
                )
                await fleet.finder.send_request(request, timeout_ms=3_000)
                sizes = [p.replica.core.log.size_bytes for p in fleet.control.values()]
                assert max(sizes) < 2 * limits.log_bytes
            for address in list(fleet.control):
                fleet.kill_control(address, power_loss=True)
            for address in fleet.addresses:
                fleet.start_control(address)
            scheduler = await fleet.wait_for_scheduler()
            assert scheduler.proposed.workload.declared_text == bytes([101]) * 20 * KIB
            await fleet.wait_for_state(job_id(1), "completed")

        fleet = run_scenario(scenario, limits=limits)
        assert all(disk.peak_bytes <= capacity for disk in fleet.disks.values())

    # While something always waited to be stored, no snapshot ever replaced the log.
    def test_a_log_is_compacted_while_entries_keep_coming(self):
        disk = MemoryDisk()

        async def main() -> None:
            async def run_blocking(function, *arguments) -> int:
                await trio.sleep(0.005)
                function(*arguments)
                if replica.is_leader() and replica.core.log.last_index < 300:
                    replica.submit(declaration(replica.core.log.last_index, KIB))
                    replica.step()
                return 5

            replica = replica_on(disk, run_blocking, log_bytes=20 * KIB)
            async with trio.open_nursery() as nursery:
                await wait_until_leading(replica, nursery)
                await replica.propose(NoOp())
                while replica.core.log.last_index < 300:
                    await trio.sleep(0.01)
                    assert replica.core.log.size_bytes < 40 * KIB
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            stored = RaftStorage(disk=disk).load({"a": "a:1"}).log
            assert stored.last_index == replica.core.log.last_index
            assert 0 < stored.base_index <= stored.last_index

        run_virtual(main)
        assert disk.peak_bytes < 100 * KIB

    # A disk without room for a snapshot ended the process, and again at each start.
    def test_a_replica_serves_on_while_its_disk_has_no_room_for_a_snapshot(self):
        disk = MemoryDisk()

        async def main() -> None:
            replica = replica_on(disk, log_bytes=10 * KIB)
            async with trio.open_nursery() as nursery:
                await wait_until_leading(replica, nursery)
                disk.capacity_bytes = 13 * KIB
                for version in (1, 2):
                    await replica.propose(declaration(version, 5 * KIB))
                await replica.propose(NoOp())
                assert replica.core.log.base_index == 0
                disk.capacity_bytes = None
                await trio.sleep(COMPACTION_RETRY_MS / 1_000 + 0.1)
                await replica.propose(NoOp())
                await trio.sleep(0.1)
                assert replica.core.log.base_index > 0
                nursery.cancel_scope.cancel()

        run_virtual(main)
        assert disk.size(LOG_FILE_NAME) < 10 * KIB < disk.peak_bytes


class TestFiles:
    def test_a_replacement_that_fails_leaves_the_file_and_its_room(self, tmp_path, monkeypatch):
        disk = FileDisk(tmp_path)
        disk.replace(SNAPSHOT_FILE_NAME, b"old")

        def fail(descriptor: int) -> None:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        monkeypatch.setattr(os, "fsync", fail)
        with pytest.raises(OSError):
            disk.replace(SNAPSHOT_FILE_NAME, b"new")
        assert disk.read(SNAPSHOT_FILE_NAME) == b"old"
        assert not list(tmp_path.glob("*.tmp"))
        monkeypatch.undo()
        disk.close()

    def test_opening_a_folder_frees_what_an_interrupted_replacement_left(self, tmp_path: Path):
        (tmp_path / f"{SNAPSHOT_FILE_NAME}.tmp").write_bytes(b"part")
        disk = FileDisk(tmp_path)
        assert not list(tmp_path.glob("*.tmp"))
        assert (disk.size("missing"), disk.read(SNAPSHOT_FILE_NAME)) == (0, None)
        disk.close()
