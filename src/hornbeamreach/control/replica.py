"""A control replica, which drives Raft, storage and the state machine."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from attrs import define

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.commands import Command
from hornbeamreach.control.log_application import (
    LOCAL_ERRORS,
    check_decodable,
    decode_command,
    rebuild_state,
    skipped_outcome,
)
from hornbeamreach.control.raft import RaftCore, Ready, Role
from hornbeamreach.control.raft_messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkReply,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from hornbeamreach.control.snapshots import decode_state, encode_state
from hornbeamreach.control.state_machine import Outcome, apply_command
from hornbeamreach.control.storage import RaftStorage, UnsavedReady
from hornbeamreach.control.workload_commands import WORKLOAD_COMMANDS, RecordRuns
from hornbeamreach.exceptions import DiskFullError, NotLeaderError
from hornbeamreach.link.codec import encode
from hornbeamreach.link.interface import HandlerTable, Link
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.relay_choice import Follower
from hornbeamreach.systems.replica_limits import (
    DroppableLog,
    ReplicaLimits,
    compaction_policies,
)
from hornbeamreach.tables.control_state import ControlState

log = part_logger("replica")

RAFT_TICK_MS = 50
NS_PER_MS = 1_000_000
# A sync takes 4 to 9 ms. After several syncs in a row that each took at least SLOW_SYNC_MS and that
# commits waited for, a leader transfers leadership to a replica whose latest sync took less than
# 1 / FASTER_DISK_FACTOR of its own. Neither it nor the leader that takes over transfers leadership
# again before the pause has passed.
SLOW_SYNC_MS = 60
SLOW_SYNCS_BEFORE_TRANSFER = 3
FASTER_DISK_FACTOR = 2
TRANSFER_PAUSE_MS = 4_000
COMPACTION_POLICY = "size"
# A disk that is full stays so for seconds, and each try encodes the whole state.
COMPACTION_RETRY_MS = 5_000
# Importing the module registers its command classes, which decoding requires.
REGISTERED_COMMANDS = WORKLOAD_COMMANDS
RAFT_MESSAGES = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotRequest,
    SnapshotChunk,
    SnapshotChunkReply,
    TimeoutNow,
)


@define(kw_only=True)
class PendingProposal:
    """Track a proposed entry until it is applied or lost."""

    term: int
    done: trio.Event
    # Kept so that applying the entry needs no decoding; None for a membership change.
    command: Command | None = None
    outcome: Outcome | None = None


# Calls a function that may block on the disk and returns how long it took, in ms.
RunBlocking = Callable[..., Awaitable[int]]


async def run_inline(function: Callable[..., Any], *arguments: Any) -> int:
    """Call a function directly, for disks that do not block."""
    function(*arguments)
    return 0


async def run_in_thread(function: Callable[..., Any], *arguments: Any) -> int:
    """Call a function in a worker thread, whose time is measured apart from the event loop's."""

    def run_timed() -> int:
        started_ns = time.monotonic_ns()
        function(*arguments)
        # Rounded up, as 0 means that the duration is unknown.
        return -(-(time.monotonic_ns() - started_ns) // NS_PER_MS)

    return await trio.to_thread.run_sync(run_timed)


class Replica:
    """Keep the replicated log and the state derived from it."""

    def __init__(
        self,
        *,
        node_id: str,
        members: dict[str, str],
        storage: RaftStorage,
        link: Link,
        handlers: HandlerTable,
        clock: Clock,
        rng: random.Random,
        limits: ReplicaLimits,
        run_blocking: RunBlocking = run_inline,
        started_ms: int | None = None,
    ) -> None:
        """Load the stored log; `started_ms` is when the process started, None for now."""
        self.node_id = node_id
        self.storage = storage
        self.link = link
        self.clock = clock
        self.limits = limits
        self.compaction_policy = compaction_policies.get(COMPACTION_POLICY)
        # No snapshot is stored before this, as the disk had no room for one.
        self.compaction_retry_ms = 0
        self.run_blocking = run_blocking
        stored = storage.load(members)
        self.core = RaftCore(
            node_id=node_id,
            log=stored.log,
            term=stored.term,
            voted_for=stored.voted_for,
            rng=rng,
            now_ms=clock.now_ms(),
            started_ms=started_ms,
        )
        snapshot = stored.log.snapshot
        self.state = decode_state(snapshot.data) if snapshot else ControlState()
        self.applied_term = snapshot.term if snapshot else 0
        self.pending: dict[int, PendingProposal] = {}
        # Indexes of commands whose application failed.
        self.skipped: set[int] = set()
        self.slow_syncs = 0
        self.last_transfer_ms = -TRANSFER_PAUSE_MS
        # Addresses reported by other processes, for a replica that has no log yet.
        self.reported_addresses: dict[str, str] = {}
        # Outputs of the core that are not durable yet, and the messages that wait for them.
        self.unsaved: list[UnsavedReady] = []
        self.save_due = trio.Event()
        self.work_ready = trio.Event()
        self.state_changed = trio.Event()
        for message_class in RAFT_MESSAGES:
            handlers.on(message_class, self._on_raft_message)

    # Queries

    def is_leader(self) -> bool:
        """Return whether this replica leads with a lease, and has applied an entry of its term."""
        # The clock is read now: a process that was suspended must not act on an old lease.
        leads = self.core.is_leader(self.clock.now_ms())
        return leads and self.applied_term == self.core.term

    def leader_address(self) -> str | None:
        """Return the link address of the leader, if known."""
        return self.address_of(self.core.leader or "")

    def members(self) -> dict[str, str]:
        """Return the members' addresses by id."""
        return dict(self.core.members())

    def followers(self) -> list[Follower]:
        """Return the members and learners that this leader replicates to."""
        core = self.core
        return [
            Follower(address=address, silent_ms=core.silent_ms(name))
            for name in core.followers()
            if (address := self.address_of(name)) is not None
        ]

    async def wait_for_change(self) -> None:
        """Wait until commands may have been applied or the role may have changed."""
        await self.state_changed.wait()

    def notify_waiters(self) -> None:
        """Wake all tasks in wait_for_change."""
        if self.state_changed.statistics().tasks_waiting:
            self.state_changed.set()
            self.state_changed = trio.Event()

    # Commands

    async def propose(self, command: Command) -> Outcome:
        """Replicate a command and return its outcome once it is applied.

        Raises NotLeaderError if the command was not appended, or if its outcome is unknown
        because another replica became leader; operations are resent under the same id.
        """
        return await self.wait_for_outcome(self.submit(command))

    def submit(self, command: Command) -> PendingProposal:
        """Append a command, in the order of calls.

        Raises NotLeaderError if not leading, and RefusedError if no replica could read it.
        """
        data = encode(command)
        if not isinstance(command, RecordRuns):
            check_decodable(data)
        return self._add_pending(self.core.propose(data), command)

    async def wait_for_outcome(self, proposal: PendingProposal) -> Outcome:
        """Wait until a submitted command is applied; raise NotLeaderError if it may be lost."""
        await proposal.done.wait()
        if proposal.outcome is None:
            raise NotLeaderError(self.leader_address())
        return proposal.outcome

    async def change_members(self, members: dict[str, str]) -> None:
        """Add or remove one replica."""
        await self.wait_for_outcome(self._add_pending(self.core.propose_members(members)))

    def _add_pending(self, index: int, command: Command | None = None) -> PendingProposal:
        proposal = PendingProposal(term=self.core.term, done=trio.Event(), command=command)
        self.pending[index] = proposal
        self._wake()
        return proposal

    async def confirm_leadership(self) -> None:
        """Wait until a majority has followed this leader after the call, for linearizable reads.

        Raises NotLeaderError if this replica stops leading.
        """
        start_ms = self.clock.now_ms()
        self.core.tick(start_ms)
        self.core.broadcast_heartbeat()
        self._wake()
        while self.core.role is Role.LEADER:
            if self.core.quorum_contact_ms() >= start_ms and self.is_leader():
                return
            await self.wait_for_change()
        raise NotLeaderError(self.leader_address())

    def transfer_leadership(self) -> bool:
        """Ask another replica to take over, and return whether there is one."""
        transferred = self.core.transfer_leadership()
        self._wake()
        return transferred

    # Main loop

    def _wake(self) -> None:
        self.work_ready.set()

    async def _on_raft_message(self, message: Any) -> None:
        message = self.core.gather(message)
        if message is None:
            self._wake()
            return
        if isinstance(message, SnapshotRequest) and not self._can_read(message.snapshot):
            return
        self.core.receive(message, self.clock.now_ms())
        self._wake()

    def _can_read(self, snapshot: Snapshot) -> bool:
        """Return whether a snapshot can be read here, before it replaces the stored state.

        Once stored, an unreadable one would end this process at each start.
        """
        if snapshot.index <= self.core.commit_index:
            return True
        try:
            decode_state(snapshot.data)
        except Exception as exc:
            log.bind(index=snapshot.index, size=len(snapshot.data)).error(
                "snapshot of the leader ignored, it can't be read here: {!r}", exc
            )
            return False
        return True

    async def run(self) -> None:
        """Run until cancelled; raise StorageError if storage fails."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._save_forever)
            while True:
                with trio.move_on_after(seconds(RAFT_TICK_MS)):
                    await self.work_ready.wait()
                self.work_ready = trio.Event()
                self.step()

    def step(self) -> None:
        """Tick, then send and apply everything that is ready, or queue it to be made durable."""
        role = self.core.role
        self.core.tick(self.clock.now_ms())
        while self.core.has_ready():
            self._process_ready(self.core.take_ready())
        if role is not self.core.role:
            log.info(
                "replica {} is now {} in term {}",
                self.node_id,
                self.core.role.value,
                self.core.term,
            )
        if self.core.role is not Role.LEADER:
            self._fail_pending()
        self.notify_waiters()

    def _process_ready(self, ready: Ready) -> None:
        if ready.hard_state is None and not any(item.ready.hard_state for item in self.unsaved):
            # A leader counts its own copy only once it is durable, so it may send entries to its
            # peers before it syncs.
            ready.messages = [m for m in ready.messages if not self._send_early(m)]
        installs = any(item.ready.installed_snapshot for item in self.unsaved)
        if not installs and ready.installed_snapshot is None:
            # A majority has them, so they are applied whether or not they are durable here.
            for entry in ready.committed:
                self._apply(entry)
            ready.committed = []
        if ready.needs_sync() or (self.unsaved and (ready.messages or ready.committed)):
            # Replies and votes wait, in order, for all that was received before them.
            self.unsaved.append(
                UnsavedReady(ready=ready, term=self.core.term, voted_for=self.core.voted_for)
            )
            self.save_due.set()
        else:
            self._finish_ready(ready)

    def _finish_ready(self, ready: Ready) -> None:
        if ready.installed_snapshot is not None:
            self._install_snapshot(ready.installed_snapshot)
        for message in ready.messages:
            address = self.address_of(message.target)
            if address is not None:
                self.link.notify(address, message)
        for entry in ready.committed:
            self._apply(entry)

    # Disk

    async def _save_forever(self) -> None:
        """Make outputs durable, all that have gathered with one sync at a time."""
        while True:
            await self.save_due.wait()
            self.save_due = trio.Event()
            batch = list(self.unsaved)
            if any(item.ready.needs_sync() for item in batch):
                took_ms = await self.run_blocking(self.storage.save_batch, batch)
                self._record_sync(batch, took_ms)
            del self.unsaved[: len(batch)]
            for item in batch:
                self._finish_ready(item.ready)
            await self._compact_if_due()
            if self.unsaved:
                self.save_due.set()
            self._wake()

    def _record_sync(self, batch: list[UnsavedReady], took_ms: int) -> None:
        commit_index = self.core.commit_index
        for item in batch:
            self.core.mark_durable(item.ready.entries)
        # Entries that only this replica's copy commits have waited for its disk.
        delayed_commits = self.core.commit_index > commit_index
        if any(item.ready.hard_state is not None for item in batch):
            self.core.mark_hard_state_durable(took_ms=took_ms)
        self.core.sync_ms = took_ms
        self._check_sync_time(took_ms, delayed_commits=delayed_commits)

    def _check_sync_time(self, took_ms: int, *, delayed_commits: bool) -> None:
        """Transfer leadership to a replica with a faster disk if commits wait for this one's."""
        is_slow = took_ms >= SLOW_SYNC_MS and delayed_commits
        self.slow_syncs = self.slow_syncs + 1 if is_slow else 0
        now_ms = self.clock.now_ms()
        last_transfer_ms = self.last_transfer_ms
        if self.core.took_over:
            last_transfer_ms = max(last_transfer_ms, self.core.leader_since_ms)
        pause_over = now_ms - last_transfer_ms >= TRANSFER_PAUSE_MS
        if (
            self.slow_syncs < SLOW_SYNCS_BEFORE_TRANSFER
            or not pause_over
            or self.core.role is not Role.LEADER
        ):
            return
        if self.core.transfer_leadership(sync_below_ms=took_ms / FASTER_DISK_FACTOR):
            self.last_transfer_ms = now_ms
            log.bind(took_ms=took_ms, term=self.core.term).warning(
                "disk is slow and commits wait for it, leadership is handed over"
            )

    def address_of(self, replica: str) -> str | None:
        """Return a replica's link address from the log, or else as other processes reported it."""
        return self.core.address_of(replica) or self.reported_addresses.get(replica)

    def _send_early(self, message: Any) -> bool:
        address = self.address_of(message.target)
        if address is None or not isinstance(message, AppendRequest):
            return False
        self.link.notify(address, message)
        return True

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self.state = decode_state(snapshot.data)
        self.applied_term = snapshot.term

    def _apply(self, entry: LogEntry) -> None:
        proposal = self.pending.pop(entry.index, None)
        is_own = proposal is not None and proposal.term == entry.term
        known = proposal.command if is_own and proposal else None
        command = known or decode_command(entry)
        try:
            outcome = apply_command(self.state, entry.index, command)
        except LOCAL_ERRORS:
            raise
        except Exception as exc:
            log.bind(index=entry.index, term=entry.term, command=type(command).__name__).error(
                "command can't be applied and changes nothing, on all replicas: {!r}", exc
            )
            outcome = self._skip(entry)
        self.applied_term = entry.term
        if proposal is not None:
            proposal.outcome = outcome if is_own else None
            proposal.done.set()

    def _skip(self, entry: LogEntry) -> Outcome:
        """Undo what a failed command has changed, and return its outcome."""
        self.skipped.add(entry.index)
        self.state = rebuild_state(self.core.log, entry.index, self.skipped, self.state)
        return skipped_outcome(self.state)

    def applied_data(self, entry: LogEntry) -> bytes:
        """Return an entry's encoded command for a process that replays it, empty if skipped."""
        return b"" if entry.index in self.skipped else entry.data

    def _fail_pending(self) -> None:
        for proposal in self.pending.values():
            proposal.done.set()
        self.pending.clear()

    async def _compact_if_due(self) -> None:
        applied = self.state.applied_index
        if not self._is_compaction_due(applied):
            return
        snapshot = Snapshot(
            index=applied,
            term=self.core.log.term_at(applied) or 0,
            members=self.core.log.members_at(applied),
            data=encode_state(self.state),
        )
        # What a later save stores must not be stored twice.
        count = max(0, self._first_unsaved_index() - 1 - applied)
        remaining = self.core.log.slice_from(applied + 1, count)
        term, voted_for = self.core.term, self.core.voted_for
        dropped_bytes = self.storage.log_bytes
        try:
            await self.run_blocking(
                self.storage.save_snapshot, snapshot, remaining, term, voted_for
            )
        except DiskFullError as exc:
            log.bind(index=applied, size=len(snapshot.data), log_bytes=dropped_bytes).error(
                "log not compacted: {}", exc
            )
            self.compaction_retry_ms = self.clock.now_ms() + COMPACTION_RETRY_MS
            return
        if snapshot.index > self.core.log.base_index:
            self.core.compact(snapshot)
        self.skipped = {index for index in self.skipped if index > applied}
        log.bind(
            index=applied,
            size=len(snapshot.data),
            dropped_bytes=dropped_bytes - self.storage.log_bytes,
            kept=len(remaining),
        ).info("snapshot has replaced the log")

    def _is_compaction_due(self, applied: int) -> bool:
        core = self.core
        entries = applied - core.log.base_index
        installs = any(item.ready.installed_snapshot for item in self.unsaved)
        if entries <= 0 or installs or self.clock.now_ms() < self.compaction_retry_ms:
            return False
        size_bytes = max(core.log.size_bytes, self.storage.log_bytes)
        if size_bytes >= self.limits.log_bytes:
            size_bytes -= core.log.bytes_after(applied)
        droppable = DroppableLog(entries=entries, size_bytes=size_bytes)
        return self.compaction_policy(droppable, self.limits)

    def _first_unsaved_index(self) -> int:
        """Return the first index whose entry is not stored yet."""
        first = self.core.log.last_index + 1
        for ready in (*[item.ready for item in self.unsaved], self.core.ready):
            if ready.entries:
                first = min(first, ready.entries[0].index)
            if ready.truncate_from is not None:
                first = min(first, ready.truncate_from)
        return first
