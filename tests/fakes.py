"""Fakes of the network, disks and endpoints, and a fleet in virtual time."""

from __future__ import annotations

import errno
import random
from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control import commands
from hornbeamreach.control.node import ControlNode
from hornbeamreach.control.operator_api import content_digest
from hornbeamreach.control.state_machine import Outcome
from hornbeamreach.demo.deployment import sha256
from hornbeamreach.entry.announcements import apply_announcement
from hornbeamreach.entry.call_service import CallRequest
from hornbeamreach.entry.endpoint_client import AttemptError
from hornbeamreach.entry.node import EntryNode
from hornbeamreach.exceptions import (
    HornbeamreachError,
    NotLeaderError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from hornbeamreach.fleet.ports import (
    PlatformVm,
    PlatformVmState,
    UnknownOutcomeError,
    VmOrderAnswer,
)
from hornbeamreach.link.codec import decode, encode
from hornbeamreach.link.interface import HandlerTable, unwrap_reply
from hornbeamreach.link.messages import CallReply
from hornbeamreach.settings import PolicySettings
from hornbeamreach.standins.platform import StandInPlatform
from hornbeamreach.standins.step_minions import SimulatedMinion, SimulatedMinions, SimulatedRun
from hornbeamreach.systems.retries import FailedAttempt
from hornbeamreach.tables.announcement import Announcement
from hornbeamreach.tables.control_state import Change, KeyEdit, OrderAction
from hornbeamreach.tables.declared import DeclaredTable, RowEdit
from hornbeamreach.tables.table_file import edits_between
from hornbeamreach.verdict import Reason, Verdict

from . import builders

# Time until a silent connection is detected; from then on new connections fail.
SILENCE_DETECTION_MS = 3_500
# Virtual time after which a scenario fails instead of running on without progress.
SCENARIO_LIMIT_S = 1_200


def run_virtual(main: Callable[..., Awaitable[Any]], *arguments: Any, seed: int = 1) -> Any:
    """Run a trio program in virtual time with deterministic scheduling, for a limited time."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)

    async def main_with_limit() -> Any:
        with trio.fail_after(SCENARIO_LIMIT_S):
            return await main(*arguments)

    return trio.run(main_with_limit, clock=clock)


def virtual_clock() -> Clock:
    """Return a clock of the virtual time; its wall clock starts at a fixed date."""
    return Clock(
        monotonic=lambda: round(trio.current_time() * 1_000),
        wall=lambda: builders.START_MS + round(trio.current_time() * 1_000),
    )


class MemoryDisk:
    """Keep files in memory; a crash discards unsynced writes."""

    def __init__(self) -> None:
        self.synced: dict[str, bytes] = {}
        self.written: dict[str, bytes] = {}
        self.fail_sync = False
        self.skip_sync = False
        self.sync_count = 0
        self.steps_until_crash: int | None = None
        self.capacity_bytes: int | None = None
        # Largest use of the disk so far, with the files that replacements wrote first.
        self.peak_bytes = 0

    def _check_space(self, added_bytes: int) -> None:
        needed_bytes = self.used_bytes() + added_bytes
        self.peak_bytes = max(self.peak_bytes, needed_bytes)
        if self.capacity_bytes is not None and needed_bytes > self.capacity_bytes:
            raise OSError(errno.ENOSPC, "No space left on device")

    def _begin_step(self) -> None:
        if self.steps_until_crash is not None:
            if self.steps_until_crash == 0:
                raise CrashError
            self.steps_until_crash -= 1

    def read(self, name: str) -> bytes | None:
        return self.written.get(name)

    def size(self, name: str) -> int:
        return len(self.written.get(name, b""))

    def used_bytes(self) -> int:
        return sum(len(data) for data in self.written.values())

    def append(self, name: str, data: bytes) -> None:
        self._begin_step()
        self._check_space(len(data))
        self.written[name] = self.written.get(name, b"") + data

    def sync(self, name: str) -> None:
        self._begin_step()
        self.sync_count += 1
        if self.fail_sync:
            raise OSError(5, "Input/output error")
        if not self.skip_sync:
            self.synced[name] = self.written.get(name, b"")

    def truncate(self, name: str, size: int) -> None:
        self._begin_step()
        self.written[name] = self.written.get(name, b"")[:size]
        self.synced[name] = self.written[name]

    def replace(self, name: str, data: bytes) -> None:
        self._begin_step()
        # Both files exist until the new one has replaced the old one.
        self._check_space(len(data))
        self.written[name] = data
        self.synced[name] = data

    def close(self) -> None:
        pass

    def crash(self, torn_bytes: int = 0) -> None:
        """Discard unsynced writes except for the first bytes of a torn write."""
        for name, data in list(self.written.items()):
            kept = self.synced.get(name, b"")
            if data.startswith(kept):
                kept = data[: len(kept) + torn_bytes]
            self.written[name] = kept
            self.synced[name] = kept
        self.steps_until_crash = None


class CrashError(BaseException):
    """Simulate a crash between two disk operations."""


@define(kw_only=True)
class MemoryNetwork:
    """Deliver messages between processes by address, with configurable faults."""

    rng: random.Random
    delay_ms: int = 1
    jitter_ms: int = 0
    duplicate_probability: float = 0.0
    handlers: dict[str, HandlerTable] = field(factory=dict)
    # Messages from the first address to the second are lost; the other direction is separate.
    partitioned_since_ms: dict[tuple[str, str], int] = field(factory=dict)
    nursery: trio.Nursery | None = None
    message_count: int = 0
    sent_bytes_by_address: dict[str, int] = field(factory=dict)

    def partition(self, sources: set[str], targets: set[str], *, one_way: bool = False) -> None:
        now_ms = round(trio.current_time() * 1_000)
        for source in sources:
            for target in targets - {source}:
                self.partitioned_since_ms[(source, target)] = now_ms
                if not one_way:
                    self.partitioned_since_ms[(target, source)] = now_ms

    def heal(self) -> None:
        self.partitioned_since_ms.clear()

    def cut_off(self, addresses: set[str]) -> None:
        self.partition(addresses, set(self.handlers) - addresses)

    def is_partitioned(self, source: str, target: str) -> bool:
        return (source, target) in self.partitioned_since_ms or target not in self.handlers

    def delay(self) -> float:
        return seconds(self.delay_ms + self.rng.uniform(0, self.jitter_ms))

    def is_silence_detected(self, source: str, target: str) -> bool:
        now_ms = round(trio.current_time() * 1_000)
        since_ms = [
            self.partitioned_since_ms.get(pair, now_ms)
            for pair in ((source, target), (target, source))
        ]
        return target not in self.handlers or now_ms - min(since_ms) >= SILENCE_DETECTION_MS


class MemoryLink:
    """Send one process's messages over the memory network."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address

    def _serialized_copy(self, message: Any) -> Any:
        data = encode(message)
        self.network.message_count += 1
        sent = self.network.sent_bytes_by_address
        sent[self.address] = sent.get(self.address, 0) + len(data)
        return decode(data)

    async def request(self, address: str, message: Any, *, timeout_ms: int) -> Any:
        network = self.network
        if network.is_silence_detected(self.address, address):
            await trio.sleep(seconds(min(timeout_ms, 100)))
            raise PeerUnreachableError(f"no connection to {address}")
        with trio.move_on_after(seconds(timeout_ms)):
            copy = self._serialized_copy(message)
            await trio.sleep(network.delay())
            if network.is_partitioned(self.address, address):
                await trio.sleep_forever()
            reply = await network.handlers[address].handle(copy)
            if network.rng.random() < network.duplicate_probability:
                await network.handlers[address].handle(copy)
            reply = decode(encode(reply))
            await trio.sleep(network.delay())
            if network.is_partitioned(address, self.address):
                await trio.sleep_forever()
            return unwrap_reply(reply)
        raise PeerTimeoutError(f"{address} did not reply")

    def notify(self, address: str, message: Any) -> None:
        assert self.network.nursery is not None
        copy_count = 2 if self.network.rng.random() < self.network.duplicate_probability else 1
        for _ in range(copy_count):
            self.network.nursery.start_soon(self._deliver, address, self._serialized_copy(message))

    async def _deliver(self, address: str, message: Any) -> None:
        await trio.sleep(self.network.delay())
        if not self.network.is_partitioned(self.address, address):
            await self.network.handlers[address].handle(message)


@define(kw_only=True)
class FakeEndpoint:
    """Simulate the endpoint of one minion and record the calls that it runs."""

    id: str
    service: str
    vm: str
    work_ms: int = 20
    slots: int = 8
    silent: bool = False
    reply_delay_ms: int = 0
    refuse_connections: bool = False
    # Bodies of calls that end the endpoint, which starts again at once.
    deadly_bodies: frozenset[bytes] = frozenset()
    running: dict[str, int] = field(factory=dict)
    runs: list[tuple[str, bytes]] = field(factory=list)
    sequence: int = 0
    leaving: bool = False

    async def run(self, team: str, request_id: str, body: bytes, deadline_ms: int) -> None:
        """Run a call and stop it at its deadline, as endpoints must."""
        self.running[team] = self.running.get(team, 0) + 1
        self.runs.append((request_id, body))
        try:
            await trio.sleep(seconds(min(self.work_ms, deadline_ms)))
        finally:
            self.running[team] -= 1


class FakeEndpointClient:
    """Call fake endpoints with the interface of EndpointClient."""

    def __init__(self, fleet: VirtualFleet, entry_address: str, address: str) -> None:
        self.fleet = fleet
        self.entry_address = entry_address
        self.address = address

    async def send(self, *, request_id: str, team: str, body: bytes, **options: Any) -> CallReply:
        endpoint = self.fleet.endpoints_by_address[self.address]
        await trio.sleep(seconds(1))
        if endpoint.refuse_connections:
            raise _attempt_error(Reason.CONNECT_FAILED, Verdict.NOT_RUN)
        if sum(endpoint.running.values()) >= endpoint.slots:
            raise _attempt_error(Reason.ENDPOINT_BUSY, Verdict.NOT_RUN)
        if body in endpoint.deadly_bodies:
            endpoint.runs.append((request_id, body))
            raise _attempt_error(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
        io_timeout_ms = options["io_timeout_ms"]
        done = trio.Event()
        self.fleet.background.start_soon(
            self._work, endpoint, team, request_id, body, options["deadline_ms"], done
        )
        with trio.move_on_after(seconds(io_timeout_ms)):
            await done.wait()
            if endpoint.silent:
                await trio.sleep_forever()
            await trio.sleep(seconds(endpoint.reply_delay_ms))
            return CallReply(status=200, content_type="text/plain", body=body, endpoint=endpoint.id)
        raise _attempt_error(Reason.CONNECTION_SILENT, Verdict.MAY_HAVE_RUN)

    async def _work(
        self,
        endpoint: FakeEndpoint,
        team: str,
        request_id: str,
        body: bytes,
        deadline_ms: int,
        done: trio.Event,
    ) -> None:
        await endpoint.run(team, request_id, body, deadline_ms)
        if endpoint.work_ms <= deadline_ms:
            done.set()

    async def drop_connections(self) -> None:
        pass

    async def close(self) -> None:
        pass


def _attempt_error(reason: Reason, verdict: Verdict) -> AttemptError:
    return AttemptError(FailedAttempt(reason=reason, verdict=verdict, detail=reason.value))


@define(kw_only=True)
class Process:
    """Hold one running process of a virtual fleet."""

    address: str
    scope: trio.CancelScope
    node: Any


class VirtualFleet:
    """Run the code of the real processes over a memory network in virtual time."""

    def __init__(
        self,
        *,
        declared: DeclaredTable | None = None,
        replicas: int = 3,
        entries_per_data_center: tuple[int, ...] = (3, 3, 3),
        seed: int = 1,
        first_entries_have_disks: bool = False,
        mover: str = "payback",
        policy: PolicySettings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = virtual_clock()
        self.declared = declared if declared is not None else builders.table()
        self.network = MemoryNetwork(rng=self.rng)
        self.control_settings = builders.control_settings(replicas, snapshot_every=200, mover=mover)
        self.entry_settings = builders.entry_settings(
            self.control_settings, entries_per_data_center, policy=policy or PolicySettings()
        )
        self.disks = {name: MemoryDisk() for name in self.control_settings}
        self.entry_disks = {
            name: MemoryDisk()
            for name in self.entry_settings
            if first_entries_have_disks and name.endswith("-e1")
        }
        self.control: dict[str, Process] = {}
        self.entries: dict[str, Process] = {}
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.endpoints_by_address: dict[str, FakeEndpoint] = {}
        self.platforms: dict[str, StandInPlatform] = {}
        self.background: trio.Nursery
        self.operation_count = 0
        self.key_hashes = {team: sha256(team) for team in self.declared.teams}

    # Processes

    async def start(self, nursery: trio.Nursery) -> None:
        self.background = nursery
        self.network.nursery = nursery
        for data_center in builders.DATA_CENTERS:
            vms = [
                name for name, row in self.declared.vms.items() if row.data_center == data_center
            ]
            self.platforms[data_center] = StandInPlatform(vms=vms, clock=self.clock, rng=self.rng)
        for name in self.control_settings:
            await self.start_control(name)
        for name in self.entry_settings:
            await self.start_entry(name)

    async def start_control(self, name: str) -> None:
        settings = self.control_settings[name]
        address = settings.process.link_address
        handlers = HandlerTable()
        node = ControlNode(
            settings=settings,
            disk=self.disks[name],
            link=MemoryLink(self.network, address),
            handlers=handlers,
            clock=self.clock,
            rng=self.rng,
        )
        self.control[name] = await self._start(address, handlers, node)

    async def start_entry(self, name: str) -> None:
        settings = self.entry_settings[name]
        address = settings.process.link_address
        handlers = HandlerTable()
        node = EntryNode(
            settings=settings,
            platform=self.platforms[settings.process.data_center],
            link=MemoryLink(self.network, address),
            handlers=handlers,
            clock=self.clock,
            rng=self.rng,
            disk=self.entry_disks.get(name),
            new_client=lambda address, connections: FakeEndpointClient(
                self, settings.process.link_address, address
            ),
        )
        self.entries[name] = await self._start(address, handlers, node)

    async def _start(self, address: str, handlers: HandlerTable, node: Any) -> Process:
        process = Process(address=address, scope=trio.CancelScope(), node=node)
        self.network.handlers[address] = handlers
        self.background.start_soon(self._run, process)
        await trio.sleep(0)
        return process

    async def _run(self, process: Process) -> None:
        with process.scope:
            try:
                await process.node.run()
            except* HornbeamreachError:
                self.network.handlers.pop(process.address, None)
            except* CrashError:
                self.network.handlers.pop(process.address, None)

    def kill(self, name: str) -> None:
        """Stop a process at once; its unsynced writes are lost."""
        process = self.control.get(name) or self.entries[name]
        process.scope.cancel()
        self.network.handlers.pop(process.address, None)
        disk = self.disks.get(name) or self.entry_disks.get(name)
        if disk is not None:
            disk.crash()

    async def restart(self, name: str) -> None:
        self.kill(name)
        await trio.sleep(0.01)
        if name in self.control_settings:
            await self.start_control(name)
        else:
            await self.start_entry(name)

    def data_center_addresses(self, data_center: str) -> set[str]:
        all_settings = [*self.control_settings.values(), *self.entry_settings.values()]
        return {
            settings.process.link_address
            for settings in all_settings
            if settings.process.data_center == data_center
        }

    def entry(self, name: str) -> EntryNode:
        return self.entries[name].node

    def entries_of(self, data_center: str) -> list[EntryNode]:
        return [
            self.entries[name].node
            for name, settings in self.entry_settings.items()
            if settings.process.data_center == data_center
        ]

    # Control

    def leader(self) -> ControlNode | None:
        leaders = [
            process.node
            for process in self.control.values()
            if process.address in self.network.handlers and process.node.replica.is_leader()
        ]
        return max(leaders, key=lambda node: node.replica.core.term) if leaders else None

    async def wait_for_leader(self) -> ControlNode:
        await self.wait_until(lambda: self.leader() is not None, "control has a leader")
        leader = self.leader()
        assert leader is not None
        return leader

    async def wait_until(
        self, condition: Callable[[], bool], description: str, timeout_ms: int = 60_000
    ) -> int:
        start_ms = self.clock.now_ms()
        while not condition():
            if self.clock.now_ms() - start_ms > timeout_ms:
                raise AssertionError(f"timed out after {timeout_ms} ms waiting until {description}")
            await trio.sleep(0.02)
        return self.clock.now_ms() - start_ms

    async def change(
        self,
        edits: list[RowEdit] | None = None,
        key_edits: list[KeyEdit] | None = None,
        operation_id: str = "",
        control_node: ControlNode | None = None,
    ) -> Outcome:
        """Submit a change as an operator would: to the leader, again after a lost reply."""
        self.operation_count += 1
        change = Change(edits=edits or [], key_edits=key_edits or [])
        command = commands.PrepareChange(
            operation_id=operation_id or f"operation-{self.operation_count}",
            digest=content_digest(change),
            change=change,
            at_ms=self.clock.wall_ms(),
        )
        while True:
            node = control_node or await self.wait_for_leader()
            try:
                return await node.leader.change_coordinator.submit(command)
            except NotLeaderError:
                if control_node is not None:
                    raise
                await trio.sleep(0.1)

    def reboot_order(self, vm: str, number: int) -> commands.OrderMaintenance:
        return commands.OrderMaintenance(
            operation_id=f"order-{number}-{vm}",
            digest="d",
            vm=vm,
            action=OrderAction.REBOOT,
            at_ms=self.clock.wall_ms(),
        )

    def state(self) -> Any:
        leader = self.leader()
        assert leader is not None
        return leader.replica.state

    def edit(self, kind: str, name: str, **columns: Any) -> RowEdit:
        builder = builders.ControlBuilder()
        builder.state = self.state()
        return builder.edit(kind, name, **columns)

    async def set_up(self, *, endpoints: bool = True) -> None:
        """Apply the table, grant a key to every team, and announce endpoints."""
        await self.wait_for_leader()
        edits = edits_between(DeclaredTable(), self.declared, {})
        key_edits = [
            KeyEdit(key_hash=key_hash, team=team, key_id=f"{team}-key")
            for team, key_hash in self.key_hashes.items()
        ]
        outcome = await self.change(edits=edits, key_edits=key_edits)
        assert outcome.accepted, outcome
        if endpoints:
            self._make_endpoints()
            self.background.start_soon(self._announce_periodically)
        await self.wait_until(
            lambda: all(process.node.is_ready() for process in self.entries.values()),
            "every entry is ready",
        )
        await trio.sleep(1.5)

    def _make_endpoints(self) -> None:
        for number, (vm, row) in enumerate(sorted(self.declared.vms.items())):
            for service, service_row in self.declared.services.items():
                if service_row.pool != row.pool:
                    continue
                endpoint = FakeEndpoint(id=f"{service}-{vm}", service=service, vm=vm)
                address = f"10.1.{number}.{len(self.endpoints) % 200 + 1}:9000"
                self.endpoints[endpoint.id] = endpoint
                self.endpoints_by_address[address] = endpoint

    async def _announce_periodically(self) -> None:
        while True:
            self.announce()
            await trio.sleep(1)

    def announce(self) -> None:
        for address, endpoint in self.endpoints_by_address.items():
            endpoint.sequence += 1
            row = self.declared.vms[endpoint.vm]
            announcement = Announcement(
                endpoint=endpoint.id,
                service=endpoint.service,
                address=address,
                vm=endpoint.vm,
                slots=endpoint.slots,
                connections=64,
                instance="i1",
                sequence=endpoint.sequence,
                leaving=endpoint.leaving,
            )
            for node in self.entries_of(row.data_center):
                if node.settings.process.link_address in self.network.handlers:
                    apply_announcement(node.call_tables, announcement, self.clock.now_ms())

    # Callers

    async def call(
        self,
        entry: str,
        team: str,
        service: str = "quotes",
        body: bytes = b"body",
        idempotency_key: str = "",
        deadline_ms: int = 5_000,
    ) -> CallReply:
        """Call a service through one entry, below its HTTP layer."""
        node = self.entry(entry)
        fields = {
            "team": team,
            "key_hash": self.key_hashes[team],
            "service": service,
            "idempotency_key": idempotency_key,
            "content_type": "text/plain",
            "body": body,
            "deadline_ms": deadline_ms,
        }
        self.operation_count += 1
        return await node.forwarder.call(request_id=f"{entry}-r{self.operation_count}", **fields)

    def idempotency_key(self, token: str) -> str:
        return f"{self.clock.wall_ms()}-{token}"

    # Observed executions

    def running_count(self, team: str) -> int:
        """Count the calls and tasks of a team that run in any data centre."""
        calls = sum(endpoint.running.get(team, 0) for endpoint in self.endpoints.values())
        tasks = sum(platform.running_by_team().get(team, 0) for platform in self.platforms.values())
        return calls + tasks

    def count_runs(self, body: bytes) -> int:
        """Count the executions of calls with this body on all endpoints."""
        return sum(
            1
            for endpoint in self.endpoints.values()
            for _, ran_body in endpoint.runs
            if ran_body == body
        )


def call_request(**fields: Any) -> CallRequest:
    defaults: dict[str, Any] = {
        "request_id": "r1",
        "team": "red",
        "key_hash": sha256("red"),
        "service": "bookings",
        "content_type": "text/plain",
        "body": b"one",
        "deadline_ms": 5_000,
    }
    return CallRequest(**{**defaults, **fields})


class PolicyAdmission:
    """Stand in for the admission service: one call at a time, and a policy that doesn't change."""

    def __init__(self, *, decide_ms: int = 20, each_ms: int = 1, max_waiting: int = 32) -> None:
        self.decide_ms = decide_ms
        self.each_ms = each_ms
        self.max_waiting = max_waiting
        self.allowed: set[str] = set()
        # Steps whose calls get no answer.
        self.silent: set[str] = set()
        # Time in ms, step and minions of each call.
        self.calls: list[tuple[float, str, tuple[str, ...]]] = []
        self.refused_calls = 0
        self.waiting = 0
        self.turn = trio.Lock()

    async def request_tickets(self, step: str, minions: list[str]) -> dict[str, str]:
        assert 0 < len(minions) <= 100
        self.calls.append((trio.current_time() * 1_000, step, tuple(minions)))
        if self.waiting >= self.max_waiting:
            self.refused_calls += 1
            raise UnknownOutcomeError("429")
        self.waiting += 1
        try:
            async with self.turn:
                await trio.sleep((self.decide_ms + self.each_ms * len(minions)) / 1_000)
        finally:
            self.waiting -= 1
        if step in self.silent:
            raise UnknownOutcomeError("no answer")
        return {minion: f"ticket of {minion}" for minion in minions if minion in self.allowed}


@define(kw_only=True)
class VmOrder:
    """Record an order that ended what ran on a VM."""

    at_ms: float
    vm: str
    ended: list[SimulatedRun]
    # Of the same step as an ended run, the tasks that were away at the order.
    away: list[str]


class SimulatedVms:
    """Stand in for the platform's API of the VMs that simulated minions run on."""

    ANSWER_TIMEOUT_S = 1.5
    MAINTENANCE_S = 2

    def __init__(self, minions: SimulatedMinions) -> None:
        self.minions = minions
        self.silent = False
        # Whether a silent platform carries out the orders that it doesn't answer.
        self.applies_silently = False
        # Whether the platform refuses calls without carrying them out, as after too many.
        self.busy = False
        # VMs that exist no longer, for a time or for good.
        self.missing: set[str] = set()
        # VMs that are listed and have no minion yet.
        self.added: list[PlatformVm] = []
        self.orders: list[VmOrder] = []
        self.maintained: set[tuple[int, str]] = set()
        # Wave of each VM that is down for it, and the most of a wave that were down at once.
        self.down: dict[str, int] = {}
        self.most_down: dict[int, int] = {}

    def _minion_on(self, vm: str) -> SimulatedMinion | None:
        return next((m for m in self.minions.minions.values() if f"m-{m.minion}" == vm), None)

    async def _answer(self, apply: Callable[[], Any]) -> VmOrderAnswer:
        if self.busy:
            raise UnknownOutcomeError("unexpected status 503")
        if self.silent:
            if self.applies_silently:
                apply()
            await trio.sleep(self.ANSWER_TIMEOUT_S)
            raise UnknownOutcomeError("no answer")
        apply()
        return VmOrderAnswer.ORDERED

    async def list_vms(self) -> list[PlatformVm]:
        if self.busy:
            raise UnknownOutcomeError("unexpected status 503")
        if self.silent:
            await trio.sleep(self.ANSWER_TIMEOUT_S)
            raise UnknownOutcomeError("no answer")
        return [
            PlatformVm(
                name=f"m-{minion.minion}",
                pool=minion.pool,
                state=PlatformVmState.UP if minion.up else PlatformVmState.MAINTENANCE,
                minion=minion.minion,
                data_center=minion.data_center,
            )
            for minion in self.minions.minions.values()
            if f"m-{minion.minion}" not in self.missing
        ] + self.added

    async def start_maintenance(
        self, vm: str, *, wave: int, holder: str, token: int
    ) -> VmOrderAnswer:
        if vm in self.missing:
            return VmOrderAnswer.MALFORMED
        return await self._answer(lambda: self._maintain(vm, wave))

    async def move(self, vm: str, *, pool: str, holder: str, token: int) -> VmOrderAnswer:
        raise AssertionError("no moves are expected: there is no standby pool")

    def _maintain(self, vm: str, wave: int) -> None:
        minion = self._minion_on(vm)
        if (wave, vm) in self.maintained or minion is None:
            return
        self.maintained.add((wave, vm))
        ended = list(minion.running.values())
        away = [task for run in ended for task in self._away_beside(run)]
        self.orders.append(
            VmOrder(at_ms=trio.current_time() * 1_000, vm=vm, ended=ended, away=away)
        )
        self.minions.crash(minion.minion)
        self.minions.nursery.start_soon(self._return, minion.minion)
        self.down[vm] = wave
        down = list(self.down.values()).count(wave)
        self.most_down[wave] = max(down, self.most_down.get(wave, 0))

    async def _return(self, name: str) -> None:
        await trio.sleep(self.MAINTENANCE_S)
        self.minions.restart(name)
        del self.down[f"m-{name}"]

    def _away_beside(self, ended: SimulatedRun) -> list[str]:
        step = ended.task.rpartition(".")[0]
        tasks = {r.task for r in self.minions.history if r.task.rpartition(".")[0] == step}
        at_work = {task for m in self.minions.minions.values() for task in m.running}
        return sorted(tasks - at_work)
