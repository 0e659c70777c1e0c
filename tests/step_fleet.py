"""Control replicas that schedule step jobs on simulated minions, in virtual time."""

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
    DeclareRequest,
    ForwardedReport,
    QueueAction,
    QueueAnswer,
    QueueCall,
)
from hornbeamreach.fleet.order_relay import OrderRelay
from hornbeamreach.fleet.ports import AdmissionPort
from hornbeamreach.fleet.relayed_minion_port import RelayedMinionPort
from hornbeamreach.fleet.service import FleetService
from hornbeamreach.fleet.step_scheduler import StepScheduler
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.metrics import Metrics
from hornbeamreach.standins.step_minions import SimulatedMinion, SimulatedMinions, SimulatedRun
from hornbeamreach.systems.relay_choice import MAX_DIRECT_MINIONS
from hornbeamreach.systems.replica_limits import ReplicaLimits
from hornbeamreach.tables.declared import DeclaredTable
from hornbeamreach.tables.workload import RunEnd, StepJobSpec, StepSpec, parse_task_key

from . import builders
from .fakes import MemoryDisk, MemoryLink, MemoryNetwork, SimulatedVms, virtual_clock

REPORT_INTERVAL_MS = 1_500
CLIENT_ADDRESS = "client"
DEFAULT_WORK_MS = 600


@define(kw_only=True)
class ControlProcess:
    """Hold the parts of a running control process."""

    scope: trio.CancelScope
    replica: Replica
    service: FleetService
    discovery: Discovery
    order_relay: OrderRelay
    minion_port: RelayedMinionPort


class StepFleet:
    """Run the real control code over an in-memory network with simulated minions."""

    def __init__(
        self,
        *,
        replica_count: int = 3,
        minion_count: int = 6,
        seed: int = 1,
        timing: FleetTiming | None = None,
        table: DeclaredTable | None = None,
        admission: AdmissionPort | None = None,
        with_vms: bool = False,
        relayed: bool = False,
        limits: ReplicaLimits | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = virtual_clock()
        self.timing = timing or FleetTiming()
        self.network = MemoryNetwork(rng=self.rng, delay_ms=1)
        self.network.handlers[CLIENT_ADDRESS] = HandlerTable()
        self.addresses = [f"10.0.{number}.1:7000" for number in range(1, replica_count + 1)]
        self.disks = {address: MemoryDisk() for address in self.addresses}
        # Duration of a disk sync, by address.
        self.sync_duration_ms: dict[str, int] = {}
        self.control: dict[str, ControlProcess] = {}
        self.table = table or builders.step_table()
        self.admission = admission
        # Whether orders go through followers instead of directly from the leader.
        self.relayed = relayed
        self.limits = limits or builders.replica_limits(log_entries=300)
        self.specs: dict[str, StepJobSpec] = {}
        self.work_ms_by_job: dict[str, float] = {}
        self.minions = SimulatedMinions(
            rng=self.rng, needs_of=self._needs_of, work_ms_of=self._work_ms_of
        )
        for number in range(1, minion_count + 1):
            self.minions.add(
                SimulatedMinion(
                    minion=f"i-{number}",
                    pool="pool-a",
                    rack=f"r1-{number % 3}",
                    clock_rate=self.rng.uniform(0.98, 1.0),
                )
            )
        # The VMs of the minions, if their maintenance and moves are ordered.
        self.vms = SimulatedVms(self.minions) if with_vms else None
        self.accepted_jobs: list[str] = []
        self.finder = LeaderFinder(
            link=MemoryLink(self.network, CLIENT_ADDRESS),
            clock=self.clock,
            replicas=list(self.addresses),
        )
        # Bounds of the delay of each report, which may overtake one another.
        self.report_delay_ms = (0, 0)
        # Minions whose reports reach no replica.
        self.silenced: set[str] = set()
        self.nursery: trio.Nursery | None = None

    def _step_spec(self, task: str) -> StepSpec:
        job_id, _, key = task.partition(".")
        return self.specs[job_id].steps[parse_task_key(key)[1]]

    def _needs_of(self, task: str) -> Any:
        return self._step_spec(task).needs

    def _work_ms_of(self, task: str) -> float:
        if self._step_spec(task).lasting:
            return 10_000_000
        return self.work_ms_by_job.get(task.partition(".")[0], DEFAULT_WORK_MS)

    # Control processes

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all processes and wait until the declaration is in force."""
        self.nursery = self.network.nursery = nursery
        nursery.start_soon(self.minions.run)
        await trio.sleep(0)
        for address in self.addresses:
            self.start_control(address, first_start=True)
        for minion in self.minions.minions.values():
            nursery.start_soon(self._send_reports, minion)
        await self.declare(1)

    def return_under_new_ids(self) -> None:
        """Let VMs come back from a crash under new minion ids, at their old addresses."""
        assert self.nursery is not None
        nursery = self.nursery
        self.minions.on_new_id = lambda minion: nursery.start_soon(self._send_reports, minion)

    def start_control(self, address: str, *, first_start: bool = False) -> None:
        """Start a control process with the contents of its disk."""
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
            limits=self.limits,
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
        direct_port = self.minions.port_for(address)
        relay = OrderRelay(port=direct_port, link=link, handlers=handlers, metrics=Metrics())
        relayed_port = RelayedMinionPort(
            port=direct_port,
            link=link,
            handlers=handlers,
            address=address,
            clock=self.clock,
            metrics=Metrics(),
            response_timeout_ms=self.timing.response_timeout_ms,
            followers=replica.followers,
            rng=self.rng,
            max_direct_minions=0 if self.relayed else MAX_DIRECT_MINIONS,
        )
        service = FleetService(
            replica=replica,
            handlers=handlers,
            minion_port=relayed_port,
            vm_port=self.vms,
            admission_port=self.admission,
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
            order_relay=relay,
            minion_port=relayed_port,
        )
        self.control[address] = process
        self.nursery.start_soon(self._run_control, process)

    async def _run_blocking(self, address: str, function: Any, *arguments: Any) -> int:
        duration_ms = self.sync_duration_ms.get(address, 5)
        await trio.sleep(seconds(duration_ms))
        function(*arguments)
        return duration_ms

    async def _run_control(self, process: ControlProcess) -> None:
        with process.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(process.replica.run)
                nursery.start_soon(process.discovery.run)
                nursery.start_soon(process.service.run)
                nursery.start_soon(process.order_relay.run)
                nursery.start_soon(process.minion_port.run)

    def kill_control(
        self, address: str, *, power_loss: bool = False, wipe_disk: bool = False
    ) -> None:
        """Kill a control process, optionally losing its unsynced writes or its whole disk."""
        process = self.control.pop(address)
        process.scope.cancel()
        self.network.handlers.pop(address, None)
        if wipe_disk:
            self.disks[address] = MemoryDisk()
        elif power_loss:
            self.disks[address].crash(torn_bytes=self.rng.randrange(40))

    def leader(self) -> str | None:
        """Return the leader's address, or None if no replica leads."""
        leaders = [a for a, p in self.control.items() if p.replica.is_leader()]
        return leaders[0] if leaders else None

    async def wait_for_leader(self) -> str:
        """Wait until a replica leads and return its address."""
        while self.leader() is None:
            await trio.sleep(0.05)
        return self.leader() or ""

    async def wait_for_scheduler(self, timeout_s: float = 20) -> StepScheduler:
        """Wait until a leader has begun to schedule and return its scheduler."""
        with trio.fail_after(timeout_s):
            while True:
                leader = await self.wait_for_leader()
                scheduler = self.control[leader].service.scheduler
                if scheduler is not None:
                    return scheduler
                await trio.sleep(0.01)

    async def _send_reports(self, minion: SimulatedMinion) -> None:
        assert self.nursery is not None
        finder = LeaderFinder(
            link=MemoryLink(self.network, CLIENT_ADDRESS),
            clock=self.clock,
            replicas=list(self.addresses),
        )
        while True:
            if minion.up and minion.minion in self.silenced:
                minion.report()
            elif minion.up and self.report_delay_ms[1]:
                delay_ms = self.rng.uniform(*self.report_delay_ms)
                self.nursery.start_soon(self._send_report, finder, minion.report(), delay_ms)
            elif minion.up:
                await self._send_report(finder, minion.report(), 0)
            await trio.sleep(seconds(REPORT_INTERVAL_MS if minion.up else 100))

    async def _send_report(self, finder: LeaderFinder, report: Any, delay_ms: float) -> None:
        if delay_ms:
            await trio.sleep(seconds(delay_ms))
        with contextlib.suppress(NoLeaderError, RefusedError):
            await finder.send_request(ForwardedReport(report=report), timeout_ms=900)

    # Callers

    async def declare(
        self,
        version: int,
        table: DeclaredTable | None = None,
        keys: dict[str, str] | None = None,
    ) -> None:
        """Put a declaration in force, with retries."""
        request = DeclareRequest(
            version=version,
            text=f"version {version}".encode(),
            table=table or self.table,
            keys=keys or {"key-1": "team-a"},
        )
        while True:
            try:
                await self.finder.send_request(request, timeout_ms=3_000)
                return
            except (NoLeaderError, RefusedError):
                await trio.sleep(0.2)

    async def call(self, action: QueueAction, job_id: str = "", **fields: Any) -> QueueAnswer:
        """Make one call; raise NoLeaderError if no leader replied."""
        columns = {"host": "a.example", "path": f"/jobs/{job_id}", "key_hash": "key-1", **fields}
        call = QueueCall(action=action, **columns)
        return (await self.finder.send_request(call, timeout_ms=3_000)).reply

    async def submit(self, job_id: str, spec: StepJobSpec, work_ms: float = 600) -> QueueAnswer:
        """Submit a job, with retries until its outcome is known."""
        self.specs[job_id] = spec
        self.work_ms_by_job[job_id] = work_ms
        while True:
            try:
                reply = await self.call(QueueAction.SUBMIT, job_id, spec=spec)
            except (NoLeaderError, RefusedError):
                continue
            if reply.reason is None:
                self.accepted_jobs.append(job_id)
            return reply

    async def job_state(self, job_id: str) -> str:
        """Return a job's state, or the reason why the call was refused."""
        while True:
            try:
                reply = await self.call(QueueAction.READ, job_id)
            except (NoLeaderError, RefusedError):
                continue
            return reply.state or str(reply.reason)

    async def wait_for_state(self, job_id: str, state: str, timeout_s: float = 60) -> None:
        """Wait until a job is in the given state."""
        with trio.fail_after(timeout_s):
            while await self.job_state(job_id) != state:
                await trio.sleep(0.1)

    # Checks

    def find_violations(self) -> list[str]:
        """Return the scheduling rules that the minions' history violates."""
        violations = list(self.minions.overloads)
        runs_by_task: dict[str, list[SimulatedRun]] = {}
        for run in self.minions.history:
            runs_by_task.setdefault(run.task, []).append(run)
        for task, runs in runs_by_task.items():
            violations += _find_overlaps(task, runs) + _find_runs_after_done(task, runs)
        return violations + self._find_dependency_violations()

    def _find_dependency_violations(self) -> list[str]:
        done_ms: dict[tuple[str, int, int], list[float]] = {}
        for run in self.minions.history:
            if run.end is RunEnd.DONE and run.ended_ms is not None:
                job_id, _, key = run.task.partition(".")
                occurrence, step, _ = parse_task_key(key)
                done_ms.setdefault((job_id, occurrence, step), []).append(run.ended_ms)
        violations = []
        for run in self.minions.history:
            job_id, _, key = run.task.partition(".")
            occurrence, step, _ = parse_task_key(key)
            spec = self.specs[job_id]
            for required in spec.steps[step].after:
                ends_ms = sorted(done_ms.get((job_id, occurrence, required), []))
                if sum(1 for end in ends_ms if end <= run.began_ms) < spec.steps[required].count:
                    violations.append(f"{run.task} began before step {required} had completed")
        return violations


def _find_overlaps(task: str, runs: list[SimulatedRun]) -> list[str]:
    violations = []
    ordered = sorted(runs, key=lambda run: run.began_ms)
    for earlier, later in zip(ordered, ordered[1:], strict=False):
        if earlier.ended_ms is None or earlier.ended_ms > later.began_ms:
            violations.append(
                f"{task}: run {earlier.run} on {earlier.minion} was still running when "
                f"run {later.run} began on {later.minion} at {later.began_ms:.0f} ms"
            )
    return violations


def _find_runs_after_done(task: str, runs: list[SimulatedRun]) -> list[str]:
    done_ms = [
        run.ended_ms
        for run in runs
        if run.end is RunEnd.DONE
        and run.ended_ms
        and run.acknowledged
        and not run.lapsed_before_acknowledged
    ]
    if not done_ms:
        return []
    return [
        f"{task}: run {run.run} began after a completed run was acknowledged"
        for run in runs
        if run.began_ms > min(done_ms)
    ]
