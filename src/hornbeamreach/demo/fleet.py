"""A small fleet whose processes run as tasks of one process."""

from __future__ import annotations

import random
from pathlib import Path

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.node import ControlNode
from hornbeamreach.daemons.control import run_control
from hornbeamreach.daemons.entry import run_entry
from hornbeamreach.demo.deployment import FleetPlan, PortAllocator, Secrets, plan_fleet
from hornbeamreach.entry.node import EntryNode
from hornbeamreach.exceptions import HornbeamreachError
from hornbeamreach.standins.minion import StandInMinion
from hornbeamreach.standins.platform import StandInPlatform, StandInPlatformServer
from hornbeamreach.tables.table_file import service_names

READY_TIMEOUT_MS = 20_000
POLL_INTERVAL_MS = 50


@define(kw_only=True)
class RunningProcess:
    """Hold the state of a task that runs one process of the fleet."""

    node: ControlNode | EntryNode | None = None
    stop: trio.Event = field(factory=trio.Event)
    ended: trio.Event = field(factory=trio.Event)
    scope: trio.CancelScope = field(factory=trio.CancelScope)


class LocalFleet:
    """Run an example's control replicas, entries, minions and platforms on loopback."""

    def __init__(self, *, example: str | Path, data_folder: str | Path, clock: Clock) -> None:
        rng = random.SystemRandom()
        self.rng = rng
        self.clock = clock
        self.secrets = Secrets(
            link=f"{rng.getrandbits(128):032x}",
            operator=f"{rng.getrandbits(128):032x}",
            endpoint=f"{rng.getrandbits(128):032x}",
        )
        self.ports = PortAllocator()
        self.plan: FleetPlan = plan_fleet(
            example, ports=self.ports, data_folder=data_folder, secrets=self.secrets
        )
        self.control: dict[str, RunningProcess] = {}
        self.entries: dict[str, RunningProcess] = {}
        self.platforms: dict[str, StandInPlatform] = {}
        self.minions: dict[str, StandInMinion] = {}

    def entry_node(self, name: str) -> EntryNode:
        """Return the node of a running entry process."""
        node = self.entries[name].node
        assert isinstance(node, EntryNode)
        return node

    def control_addresses(self) -> list[str]:
        """Return the HTTP addresses of the control replicas, for operators."""
        return [settings.process.http_address for settings in self.plan.control.values()]

    def entry_addresses(self, data_center: str | None = None) -> list[str]:
        """Return the HTTP addresses of the entries that a load balancer would use, for callers."""
        return [
            settings.process.http_address
            for name, settings in self.plan.entries.items()
            if data_center in (None, settings.process.data_center)
            and not self.entries[name].stop.is_set()
        ]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start everything but the minions, and wait until every entry is ready."""
        minion_addresses = self._allocate_minion_addresses()
        self.ports.release()
        for data_center, address in self.plan.platforms.items():
            await self._start_platform(nursery, data_center, address)
        for name in self.plan.control:
            await self.start_control(nursery, name)
        for name in self.plan.entries:
            await self.start_entry(nursery, name)
        self._build_minions(minion_addresses)
        await self.wait_until(self._all_ready, "every entry is ready")

    async def _start_platform(self, nursery: trio.Nursery, data_center: str, address: str) -> None:
        vms = [vm for vm, row in self.plan.table.vms.items() if row.data_center == data_center]
        platform = StandInPlatform(vms=vms, clock=self.clock, rng=self.rng)
        self.platforms[data_center] = platform
        await nursery.start(StandInPlatformServer(platform=platform, address=address).run)

    async def start_control(self, nursery: trio.Nursery, name: str) -> None:
        """Start one control replica."""
        self.control[name] = process = RunningProcess()
        settings = self.plan.control[name]
        process.node = await nursery.start(self._run, process, run_control, settings)

    async def start_entry(self, nursery: trio.Nursery, name: str) -> None:
        """Start one entry process."""
        self.entries[name] = process = RunningProcess()
        settings = self.plan.entries[name]
        process.node = await nursery.start(self._run, process, run_entry, settings)

    async def _run(
        self,
        process: RunningProcess,
        daemon: object,
        settings: object,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        try:
            with process.scope:
                await daemon(  # type: ignore[operator]
                    settings,
                    clock=self.clock,
                    rng=self.rng,
                    stop=process.stop,
                    task_status=task_status,
                )
        finally:
            process.ended.set()

    def _allocate_minion_addresses(self) -> dict[str, str]:
        return {
            f"{service}-{number}": self.ports.address()
            for service in self.plan.table.services
            for number in range(1, self.plan.deployment.minions_per_service + 1)
        }

    def _build_minions(self, addresses: dict[str, str]) -> None:
        table, deployment = self.plan.table, self.plan.deployment
        for pool in table.pools:
            vms = table.vms_of_pool(pool)
            for service in service_names(table, pool):
                for number in range(1, deployment.minions_per_service + 1):
                    vm = vms[(number - 1) % len(vms)]
                    endpoint = f"{service}-{number}"
                    data_center = table.vms[vm].data_center
                    self.minions[endpoint] = StandInMinion(
                        endpoint=endpoint,
                        service=service,
                        vm=vm,
                        address=addresses[endpoint],
                        entries=self.entry_addresses(data_center),
                        credential=self.secrets.endpoint,
                        instance=f"{self.rng.getrandbits(32):08x}",
                        slots=deployment.slots,
                        connections=deployment.connections,
                        clock=self.clock,
                    )

    async def start_minions(self, nursery: trio.Nursery) -> None:
        """Start the minions of the declared services, and wait until the entries know them."""
        for minion in self.minions.values():
            await nursery.start(minion.run)
        await self.wait_until(self._all_announced, "every minion is known")

    def _all_ready(self) -> bool:
        return all(self.entry_node(name).is_ready() for name in self.entries)

    def _all_announced(self) -> bool:
        known = {
            endpoint
            for name in self.entries
            for endpoint in self.entry_node(name).call_tables.endpoints
        }
        return known >= self.minions.keys()

    async def wait_until(
        self, condition: object, description: str, *, timeout_ms: int = READY_TIMEOUT_MS
    ) -> int:
        """Wait for a condition and return the elapsed ms.

        Raises:
            HornbeamreachError: the condition is still false after `timeout_ms`.
        """
        start_ms = self.clock.now_ms()
        while not condition():  # type: ignore[operator]
            if self.clock.now_ms() - start_ms > timeout_ms:
                raise HornbeamreachError(f"waited {timeout_ms} ms in vain until {description}")
            await trio.sleep(seconds(POLL_INTERVAL_MS))
        return self.clock.now_ms() - start_ms
