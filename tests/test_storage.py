"""Durable state: failed syncs stop writes, torn tails are truncated, corruption is refused."""

from __future__ import annotations

import pytest

from hornbeamreach.control.disk import FileDisk
from hornbeamreach.control.frames import decode_frames, encode_frame, load_frames
from hornbeamreach.control.raft import Ready
from hornbeamreach.control.raft_messages import LogEntry, Snapshot
from hornbeamreach.control.storage import LOG_FILE_NAME, RaftStorage
from hornbeamreach.exceptions import CorruptLogError, FolderLockedError, StorageError

from .fakes import MemoryDisk


def ready(*indexes: int) -> Ready:
    entries = [LogEntry(index=i, term=1, data=f"entry {i}".encode()) for i in indexes]
    return Ready(hard_state=(1, "a"), entries=entries)


class TestFrames:
    def test_values_round_trip(self):
        data = encode_frame(["a", 1]) + encode_frame({"b": b"c"})
        assert decode_frames(data, "f") == ([["a", 1], {"b": b"c"}], len(data))

    def test_a_torn_tail_of_any_length_is_truncated(self):
        intact, last = encode_frame([1]), encode_frame(["the last one"])
        for kept in range(len(last)):
            disk = MemoryDisk()
            disk.append("f", intact + last[:kept])
            assert load_frames(disk, "f") == [[1]]
            assert disk.read("f") == intact

    def test_a_flipped_bit_before_an_intact_frame_is_refused(self):
        # An interrupted write can only damage the last frame.
        data = bytearray(encode_frame([1]) + encode_frame([2]))
        for position in range(len(encode_frame([1]))):
            damaged = bytearray(data)
            damaged[position] ^= 0x10
            with pytest.raises(CorruptLogError):
                decode_frames(bytes(damaged), "f")


class TestRaftStorage:
    def test_saved_state_is_loaded(self):
        disk = MemoryDisk()
        RaftStorage(disk=disk).save(ready(1, 2), 1, "a")
        disk.crash()
        stored = RaftStorage(disk=disk).load({"a": "a:1"})
        assert stored.term == 1
        assert stored.voted_for == "a"
        assert [entry.index for entry in stored.log.entries] == [1, 2]

    def test_a_snapshot_replaces_the_start_of_the_log(self):
        disk = MemoryDisk()
        storage = RaftStorage(disk=disk)
        storage.save(ready(1, 2, 3), 1, "a")
        snapshot = Snapshot(index=2, term=1, members={"a": "a:1"}, data=b"state")
        storage.save_snapshot(snapshot, [LogEntry(index=3, term=1, data=b"3")], 1, "a")
        stored = RaftStorage(disk=disk).load({})
        assert stored.log.base_index == 2
        assert stored.log.last_index == 3

    def test_a_crash_between_snapshot_and_log_loses_nothing(self):
        for step_count in range(3):
            disk = MemoryDisk()
            storage = RaftStorage(disk=disk)
            storage.save(ready(1, 2, 3), 1, "a")
            snapshot = Snapshot(index=2, term=1, members={"a": "a:1"}, data=b"state")
            disk.steps_until_crash = step_count
            try:
                storage.save_snapshot(snapshot, [LogEntry(index=3, term=1, data=b"3")], 1, "a")
            except BaseException as exc:
                assert type(exc).__name__ == "CrashError"  # noqa: PT017
            disk.crash()
            assert RaftStorage(disk=disk).load({}).log.last_index == 3

    def test_a_failed_sync_prevents_every_later_save(self):
        # After a failed sync, a later one may report success for lost data.
        disk = MemoryDisk()
        storage = RaftStorage(disk=disk)
        disk.fail_sync = True
        with pytest.raises(StorageError):
            storage.save(ready(1), 1, "a")
        disk.fail_sync = False
        with pytest.raises(StorageError):
            storage.save(ready(2), 1, "a")

    def test_a_gap_in_the_log_is_refused(self):
        disk = MemoryDisk()
        storage = RaftStorage(disk=disk)
        storage.save(ready(1), 1, "a")
        storage.save(ready(3), 1, "a")
        with pytest.raises(CorruptLogError):
            RaftStorage(disk=disk).load({})

    def test_an_unknown_format_is_refused(self):
        disk = MemoryDisk()
        disk.append(LOG_FILE_NAME, encode_frame([["format", 99]]))
        with pytest.raises(CorruptLogError, match="format 99"):
            RaftStorage(disk=disk).load({})


class TestFileDisk:
    def test_a_reopened_folder_has_its_files(self, tmp_path):
        disk = FileDisk(tmp_path / "data")
        disk.append("log", b"one")
        disk.sync("log")
        disk.replace("snapshot", b"two")
        disk.close()
        reopened = FileDisk(tmp_path / "data")
        assert (reopened.read("log"), reopened.read("snapshot")) == (b"one", b"two")
        reopened.close()

    def test_a_folder_is_locked_by_one_disk(self, tmp_path):
        disk = FileDisk(tmp_path)
        with pytest.raises(FolderLockedError):
            FileDisk(tmp_path)
        disk.close()

    def test_an_append_after_truncate_follows_the_kept_bytes(self, tmp_path):
        disk = FileDisk(tmp_path)
        disk.append("log", b"123456")
        disk.truncate("log", 3)
        disk.append("log", b"x")
        assert disk.read("log") == b"123x"
        disk.close()
