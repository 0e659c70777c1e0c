"""A control group that schedules step jobs on stand-in minions, in virtual time."""

from __future__ import annotations

import contextlib
import functools
import random
from typing import Any

import trio
from attrs import define

from hornbeamreach.clock import seconds
from hornbeamreach.control.discovery import Discovery, load_identity
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.storage import RaftStorage
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.fleet.messages import (
    Declare,
    MinionHeard,
    QueueAction,
    QueueAnswer,
    QueueCall,
)
from hornbeamreach.fleet.ports import AdvicePort
from hornbeamreach.fleet.relay import OrderRelay
from hornbeamreach.fleet.relayed_minions import RelayedMinions
from hornbeamreach.fleet.service import FleetService
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.metrics import Metrics
from hornbeamreach.standins.step_minions import SimulatedMinion, SimulatedMinions, SimulatedRun
from hornbeamreach.systems.relay_choice import DIRECT_MINIONS
from hornbeamreach.tables.declared import DeclaredTable
from hornbeamreach.tables.workload import RunEnd, StepJobSpec, StepSpec, parse_task_key

from . import builders
from .fakes import MemoryDisk, MemoryLink, MemoryNetwork, virtual_clock

HEARTBEAT_MS = 1_500
CLIENT = "client"
DEFAULT_WORK_MS = 600


@define(kw_only=True)
class ControlProcess:
    """Hold one running control process."""

    scope: trio.CancelScope
    replica: Replica
    service: FleetService
    discovery: Discovery
    relay: OrderRelay
    minions: RelayedMinions


class StepFleet:
    """Run control's real code over a memory network with stand-in minions."""

    def __init__(
        self,
        *,
        founders: int = 3,
        minions: int = 6,
        seed: int = 1,
        timing: FleetTiming | None = None,
        table: DeclaredTable | None = None,
        advice: AdvicePort | None = None,
        relayed: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = virtual_clock()
        self.timing = timing or FleetTiming()
        self.network = MemoryNetwork(rng=self.rng, delay_ms=1)
        self.network.handlers[CLIENT] = HandlerTable()
        self.addresses = [f"10.0.{number}.1:7000" for number in range(1, founders + 1)]
        self.disks = {address: MemoryDisk() for address in self.addresses}
        # Time that a sync takes, by address.
        self.sync_ms: dict[str, int] = {}
        self.control: dict[str, ControlProcess] = {}
        self.table = table or builders.step_table()
        self.advice = advice
        # Orders go through the other replicas instead of straight from the leader.
        self.relayed = relayed
        self.specs: dict[str, StepJobSpec] = {}
        self.work_ms: dict[str, float] = {}
        self.minions = SimulatedMinions(
            rng=self.rng, needs_of=self._needs_of, work_ms_of=self._work_ms_of
        )
        for number in range(1, minions + 1):
            self.minions.add(
                SimulatedMinion(
                    minion=f"i-{number}",
                    pool="pool-a",
                    rack=f"r1-{number % 3}",
                    clock_rate=self.rng.uniform(0.98, 1.0),
                )
            )
        self.accepted: list[str] = []
        self.finder = LeaderFinder(
            link=MemoryLink(self.network, CLIENT),
            clock=self.clock,
            replicas=list(self.addresses),
        )
        self.nursery: trio.Nursery | None = None

    def _step_of(self, task: str) -> StepSpec:
        job_id, _, key = task.partition(".")
        return self.specs[job_id].steps[parse_task_key(key)[1]]

    def _needs_of(self, task: str) -> Any:
        return self._step_of(task).needs

    def _work_ms_of(self, task: str) -> float:
        if self._step_of(task).lasting:
            return 10_000_000
        return self.work_ms.get(task.partition(".")[0], DEFAULT_WORK_MS)

    # Processes

    async def start(self, nursery: trio.Nursery) -> None:
        """Start everything and wait for the declaration to be in force."""
        self.nursery = self.network.nursery = nursery
        nursery.start_soon(self.minions.run)
        await trio.sleep(0)
        for address in self.addresses:
            self.start_control(address, first_start=True)
        for minion in self.minions.minions.values():
            nursery.start_soon(self._announce, minion)
        await self.declare(1)

    def start_control(self, address: str, *, first_start: bool = False) -> None:
        """Start a control process on its disk."""
        assert self.nursery is not None
        disk = self.disks.setdefault(address, MemoryDisk())
        identity = load_identity(
            disk,
            address=address,
            initial_members=self.addresses if first_start else [],
            rng=self.rng,
        )
        handlers = HandlerTable()
        link = MemoryLink(self.network, address)
        replica = Replica(
            node_id=identity.replica,
            members=identity.members,
            storage=RaftStorage(disk=disk),
            link=link,
            handlers=handlers,
            clock=self.clock,
            rng=self.rng,
            snapshot_every=300,
            run_blocking=functools.partial(self._run_blocking, address),
        )
        discovery = Discovery(
            replica=replica,
            handlers=handlers,
            link=link,
            clock=self.clock,
            address=address,
            data_center=f"dc{address.split('.')[2]}",
            seeds=list(self.addresses),
        )
        port = self.minions.port_for(address)
        relay = OrderRelay(port=port, link=link, handlers=handlers, metrics=Metrics())
        shared = RelayedMinions(
            port=port,
            link=link,
            handlers=handlers,
            address=address,
            clock=self.clock,
            metrics=Metrics(),
            answer_ms=self.timing.answer_ms,
            followers=replica.followers,
            rng=self.rng,
            direct_minions=0 if self.relayed else DIRECT_MINIONS,
        )
        service = FleetService(
            replica=replica,
            handlers=handlers,
            minion_port=shared,
            machine_port=None,
            advice_port=self.advice,
            clock=self.clock,
            metrics=Metrics(),
            timing=self.timing,
        )
        self.network.handlers[address] = handlers
        process = ControlProcess(
            scope=trio.CancelScope(),
            replica=replica,
            service=service,
            discovery=discovery,
            relay=relay,
            minions=shared,
        )
        self.control[address] = process
        self.nursery.start_soon(self._run_control, process)

    async def _run_blocking(self, address: str, function: Any, *arguments: Any) -> Any:
        await trio.sleep(seconds(self.sync_ms.get(address, 5)))
        return function(*arguments)

    async def _run_control(self, process: ControlProcess) -> None:
        with process.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process.replica.run)
                nursery.start_soon(process.discovery.run)
                nursery.start_soon(process.service.run)
                nursery.start_soon(process.relay.run)
                nursery.start_soon(process.minions.run)

    def stop_control(self, address: str, *, power: bool = False, wipe: bool = False) -> None:
        """Kill a control process, with its unsynced writes or its whole disk."""
        process = self.control.pop(address)
        process.scope.cancel()
        self.network.handlers.pop(address, None)
        if wipe:
            self.disks[address] = MemoryDisk()
        elif power:
            self.disks[address].crash(torn=self.rng.randrange(40))

    def leader(self) -> str | None:
        """Return the address of the replica that leads, if there is one."""
        leaders = [a for a, p in self.control.items() if p.replica.is_leader()]
        return leaders[0] if leaders else None

    async def wait_leader(self) -> str:
        """Return the leader's address once there is one."""
        while self.leader() is None:
            await trio.sleep(0.05)
        return self.leader() or ""

    async def _announce(self, minion: SimulatedMinion) -> None:
        finder = LeaderFinder(
            link=MemoryLink(self.network, CLIENT), clock=self.clock, replicas=list(self.addresses)
        )
        while True:
            if minion.up:
                with contextlib.suppress(NoLeaderError, RefusedError):
                    await finder.send_request(MinionHeard(report=minion.report()), timeout_ms=900)
            await trio.sleep(seconds(HEARTBEAT_MS if minion.up else 100))

    # Callers

    async def declare(self, version: int, table: DeclaredTable | None = None) -> None:
        """Put a declaration in force, however often it takes."""
        message = Declare(
            version=version,
            text=f"version {version}".encode(),
            table=table or self.table,
            keys={"key-1": "team-a"},
        )
        while True:
            try:
                await self.finder.send_request(message, timeout_ms=3_000)
                return
            except (NoLeaderError, RefusedError):
                await trio.sleep(0.2)

    async def call(self, action: QueueAction, job_id: str = "", **fields: Any) -> QueueAnswer:
        """Make one call; raise NoLeaderError if it was not answered."""
        call = QueueCall(
            action=action, host="a.example", path=f"/jobs/{job_id}", key_hash="key-1", **fields
        )
        return (await self.finder.send_request(call, timeout_ms=3_000)).reply

    async def submit(self, job_id: str, spec: StepJobSpec, work_ms: float = 600) -> QueueAnswer:
        """Hand a job in until the answer is clear."""
        self.specs[job_id] = spec
        self.work_ms[job_id] = work_ms
        while True:
            try:
                answer = await self.call(QueueAction.SUBMIT, job_id, spec=spec)
            except (NoLeaderError, RefusedError):
                continue
            if answer.reason is None:
                self.accepted.append(job_id)
            return answer

    async def state_of(self, job_id: str) -> str:
        """Return a job's state, or the reason of a refusal."""
        while True:
            try:
                answer = await self.call(QueueAction.READ, job_id)
            except (NoLeaderError, RefusedError):
                continue
            return answer.state or str(answer.reason)

    async def wait_state(self, job_id: str, state: str, timeout_s: float = 60) -> None:
        """Return once a job has a state."""
        with trio.fail_after(timeout_s):
            while await self.state_of(job_id) != state:
                await trio.sleep(0.1)

    # Checks

    def check_runs(self) -> list[str]:
        """List every broken promise that the minions' history shows."""
        faults = []
        by_task: dict[str, list[SimulatedRun]] = {}
        for run in self.minions.history:
            by_task.setdefault(run.task, []).append(run)
        for task, runs in by_task.items():
            faults += _overlaps(task, runs) + _after_done(task, runs)
        return faults + self._check_order()

    def _check_order(self) -> list[str]:
        done: dict[tuple[str, int, int], list[float]] = {}
        for run in self.minions.history:
            if run.end is RunEnd.DONE and run.ended_ms is not None:
                job_id, _, key = run.task.partition(".")
                occurrence, step, _ = parse_task_key(key)
                done.setdefault((job_id, occurrence, step), []).append(run.ended_ms)
        faults = []
        for run in self.minions.history:
            job_id, _, key = run.task.partition(".")
            occurrence, step, _ = parse_task_key(key)
            spec = self.specs[job_id]
            for earlier in spec.steps[step].after:
                ends = sorted(done.get((job_id, occurrence, earlier), []))
                if sum(1 for end in ends if end <= run.began_ms) < spec.steps[earlier].count:
                    faults.append(f"{run.task} began before step {earlier} was done")
        return faults


def _overlaps(task: str, runs: list[SimulatedRun]) -> list[str]:
    faults = []
    ordered = sorted(runs, key=lambda run: run.began_ms)
    for earlier, later in zip(ordered, ordered[1:], strict=False):
        if earlier.ended_ms is None or earlier.ended_ms > later.began_ms:
            faults.append(
                f"{task}: run {earlier.run} on {earlier.minion} still ran when run {later.run} "
                f"began on {later.minion} at {later.began_ms:.0f} ms"
            )
    return faults


def _after_done(task: str, runs: list[SimulatedRun]) -> list[str]:
    ended = [r.ended_ms for r in runs if r.end is RunEnd.DONE and r.acknowledged and r.ended_ms]
    if not ended:
        return []
    return [
        f"{task}: run {run.run} began after one was done and taken note of"
        for run in runs
        if run.began_ms > min(ended)
    ]
