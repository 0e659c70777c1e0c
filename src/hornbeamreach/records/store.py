"""Replicated record store: reads and changes records through a majority of a group."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.exceptions import LinkError, NotLeaderError, RefusedError
from hornbeamreach.link.interface import Link
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.records.acceptor import MAX_CLOCK_SKEW_MS, Acceptor
from hornbeamreach.records.messages import (
    Ballot,
    Record,
    RecordAccept,
    RecordAccepted,
    RecordDump,
    RecordPrepare,
    RecordPromise,
    RecordRecover,
    RecordScan,
    StoredRecord,
)
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("records")

PHASE_TIMEOUT_MS = 1_000
CHANGE_TIMEOUT_MS = 3_000
RECOVERY_RETRY_MS = 300
MIN_BACKOFF_MS = 2
MAX_BACKOFF_MS = 40
UNAVAILABLE_BACKOFF_MS = 250
EXPIRY_INTERVAL_MS = 60_000

ChangeFunction = Callable[[Record | None], Record | None]


@define(frozen=True, kw_only=True)
class ReadResult:
    """Hold a record chosen by a majority, and the time before which records may be lost."""

    record: Record | None
    lost_before_ms: int


class ProposalRejectedError(Exception):
    """Report a proposal that no majority granted.

    The reason is RECORDS_UNAVAILABLE if no majority replied, else VERSION_CONFLICT.
    """

    def __init__(self, reason: Reason) -> None:
        self.reason = reason
        super().__init__(reason.value)


@define(kw_only=True)
class VoteRound:
    """Collect the replies to one message until a majority has granted it."""

    majority: int
    pending: int
    replies: list[Any] = field(factory=list)
    done: trio.Event = field(factory=trio.Event)

    def add(self, reply: Any) -> None:
        """Add one reply; None stands for a process that did not reply."""
        self.pending -= 1
        if reply is not None:
            self.replies.append(reply)
        granted = sum(1 for received in self.replies if received.granted)
        if granted >= self.majority or self.pending == 0:
            self.done.set()


class RecordStore:
    """Read and change the records of one group through a majority of its processes."""

    def __init__(
        self,
        *,
        group: str,
        process: str,
        entry_id: str,
        peers: dict[str, str],
        acceptor: Acceptor,
        link: Link,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        retention_ms: int,
        final_states: frozenset[str],
    ) -> None:
        self.group = group
        self.process = process
        self.entry_id = entry_id
        self.peers = peers
        self.acceptor = acceptor
        self.link = link
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.retention_ms = retention_ms
        self.final_states = final_states
        self.last_counter = 0
        self.recovered = trio.Event()
        self.nursery: trio.Nursery | None = None

    def majority(self) -> int:
        """Return the size of a majority of the peers, which include this process."""
        return len(self.peers) // 2 + 1

    def is_history_complete(self) -> bool:
        """Return whether no record of a key issued from now on can have been lost."""
        return self.acceptor.voting and self.clock.wall_ms() >= self.acceptor.lost_before_ms

    def _peer_addresses(self) -> list[str]:
        return [address for peer, address in self.peers.items() if peer != self.entry_id]

    # Votes for peers

    def _require_voting(self) -> None:
        if not self.acceptor.voting:
            raise RefusedError(Reason.RECORDS_UNAVAILABLE, "still reading the others' records")

    def prepare(self, message: RecordPrepare) -> RecordPromise:
        """Vote on a prepare request."""
        self._require_voting()
        return self.acceptor.prepare(message)

    def accept(self, message: RecordAccept) -> RecordAccepted:
        """Vote on an accept request."""
        self._require_voting()
        return self.acceptor.accept(message)

    def dump(self, message: RecordRecover) -> RecordDump:
        """Return all votes, for a process that lost its own."""
        return self.acceptor.dump(message.floor)

    def dump_matching(self, message: RecordScan) -> RecordDump:
        """Return the local votes on keys with a prefix."""
        self._require_voting()
        return RecordDump(
            voting=True,
            floor=self.acceptor.floor,
            lost_before_ms=self.acceptor.lost_before_ms,
            records=self.acceptor.scan(message.prefix),
        )

    # Changes

    async def read(self, key: str) -> ReadResult:
        """Return the record chosen by a majority."""
        return await self._change(key, lambda record: record)

    async def change(self, key: str, function: ChangeFunction) -> Record | None:
        """Replace a record by a function of it; if the function raises, nothing is changed.

        Raises RefusedError with RECORDS_UNAVAILABLE if no majority accepts the change within
        CHANGE_TIMEOUT_MS. The change may still take effect, so the function must note in the
        record who made it.
        """
        return (await self._change(key, function)).record

    async def _change(self, key: str, function: ChangeFunction) -> ReadResult:
        with trio.move_on_after(seconds(CHANGE_TIMEOUT_MS)):
            await self.recovered.wait()
            while True:
                try:
                    return await self._try_change(key, function)
                except ProposalRejectedError as exc:
                    self.metrics.retried("record", exc.reason)
                    await trio.sleep(seconds(self._backoff_ms(exc.reason)))
        raise RefusedError(
            Reason.RECORDS_UNAVAILABLE,
            f"no majority of {len(self.peers)} entry VMs keeps the record",
            verdict=Verdict.NOT_RUN,
        )

    def _backoff_ms(self, reason: Reason) -> float:
        if reason is Reason.RECORDS_UNAVAILABLE:
            return UNAVAILABLE_BACKOFF_MS
        return self.rng.uniform(MIN_BACKOFF_MS, MAX_BACKOFF_MS)

    async def _try_change(self, key: str, function: ChangeFunction) -> ReadResult:
        ballot = self._next_ballot()
        promises = await self._broadcast(RecordPrepare(group=self.group, key=key, ballot=ballot))
        self._learn_ballots(promise.promised for promise in promises)
        granted = [promise for promise in promises if promise.granted]
        self._require_majority(len(granted), len(promises))
        latest = max(granted, key=lambda promise: promise.accepted)
        record = function(latest.record)
        votes = await self._broadcast(
            RecordAccept(group=self.group, key=key, ballot=ballot, record=record)
        )
        self._learn_ballots(vote.promised for vote in votes)
        self._require_majority(sum(vote.granted for vote in votes), len(votes))
        lost_before_ms = max(promise.lost_before_ms for promise in granted)
        return ReadResult(record=record, lost_before_ms=lost_before_ms)

    def _require_majority(self, granted: int, replied: int) -> None:
        if granted >= self.majority():
            return
        if replied < self.majority():
            raise ProposalRejectedError(Reason.RECORDS_UNAVAILABLE)
        raise ProposalRejectedError(Reason.VERSION_CONFLICT)

    def _next_ballot(self) -> Ballot:
        # The process name contains its incarnation, so no two ballots are equal.
        self.last_counter = max(self.last_counter + 1, self.clock.wall_ms(), self.acceptor.floor)
        return Ballot(self.last_counter, self.process)

    def _learn_ballots(self, ballots: Iterable[Ballot]) -> None:
        self.last_counter = max([self.last_counter] + [ballot.counter for ballot in ballots])

    async def _broadcast(self, message: Any) -> list[Any]:
        """Send a message to every process and return the replies received so far.

        Returns once a majority has granted or all have replied. The other requests
        continue, because late votes count too.
        """
        round_ = VoteRound(majority=self.majority(), pending=len(self.peers))
        assert self.nursery is not None
        for address in self._peer_addresses():
            self.nursery.start_soon(self._collect_vote, round_, address, message)
        round_.add(self._local_vote(message))
        await round_.done.wait()
        return list(round_.replies)

    async def _collect_vote(self, round_: VoteRound, address: str, message: Any) -> None:
        round_.add(await self._request(address, message))

    def _local_vote(self, message: Any) -> Any:
        if not self.acceptor.voting:
            return None
        if isinstance(message, RecordPrepare):
            return self.acceptor.prepare(message)
        return self.acceptor.accept(message)

    async def _request(self, address: str, message: Any) -> Any:
        try:
            return await self.link.request(address, message, timeout_ms=PHASE_TIMEOUT_MS)
        except (LinkError, RefusedError, NotLeaderError):
            return None

    async def scan(self, prefix: str) -> dict[str, Record]:
        """Return the latest accepted record of each key with a prefix, from a majority.

        Every chosen record is included. A record that was only proposed may be included too,
        so a caller that relies on a record reads it first.
        Raises RefusedError with RECORDS_UNAVAILABLE if no majority replied.
        """
        await self.recovered.wait()
        dumps: list[RecordDump] = []

        async def request_dump(address: str) -> None:
            dump = await self._request(address, RecordScan(group=self.group, prefix=prefix))
            if dump is not None:
                dumps.append(dump)

        async with trio.open_nursery() as nursery:
            for address in self._peer_addresses():
                nursery.start_soon(request_dump, address)
        if self.acceptor.voting:
            dumps.append(self.dump_matching(RecordScan(group=self.group, prefix=prefix)))
        if len(dumps) < self.majority():
            raise RefusedError(Reason.RECORDS_UNAVAILABLE, "no majority answered the scan")
        return _latest_records(dumps)

    # Recovery and garbage collection

    async def run(self) -> None:
        """Recover, then remove expired records until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.acceptor.load()
            while not self.acceptor.voting:
                await self._recover_once()
            self.recovered.set()
            while True:
                await trio.sleep(seconds(EXPIRY_INTERVAL_MS))
                self.acceptor.remove_expired(self._keep_after_ms(), self.final_states)

    def _keep_after_ms(self) -> int:
        # Above the retention by twice the clock skew, so that every process refuses a key as too
        # old before any process may remove its record.
        return self.clock.wall_ms() - self.retention_ms - 2 * MAX_CLOCK_SKEW_MS

    async def _recover_once(self) -> None:
        floor = self.clock.wall_ms() + MAX_CLOCK_SKEW_MS
        dumps: list[RecordDump] = []

        async def request_dump(address: str) -> None:
            message = RecordRecover(group=self.group, entry_id=self.entry_id, floor=floor)
            dump = await self._request(address, message)
            if dump is not None:
                dumps.append(dump)

        async with trio.open_nursery() as nursery:
            for address in self._peer_addresses():
                nursery.start_soon(request_dump, address)
        recovered = self.acceptor.try_recover(
            dumps, peer_count=len(self.peers), floor=floor, wall_ms=self.clock.wall_ms()
        )
        if not recovered:
            await trio.sleep(seconds(RECOVERY_RETRY_MS))
            return
        log.info("{} recovered, {} records known", self.entry_id, len(self.acceptor.records))


def _latest_records(dumps: list[RecordDump]) -> dict[str, Record]:
    newest: dict[str, StoredRecord] = {}
    for dump in dumps:
        for key, stored in dump.records.items():
            if key not in newest or stored.accepted > newest[key].accepted:
                newest[key] = stored
    return {key: stored.record for key, stored in newest.items() if stored.record is not None}
