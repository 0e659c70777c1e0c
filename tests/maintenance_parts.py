"""Maintenance waves of a stand-in for a scheduler, and what its minions and platform tell it."""

from __future__ import annotations

from types import SimpleNamespace

import trio

from hornbeamreach.control.workload_commands import OrderWave
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.maintenance_waves import MaintenanceWaves
from hornbeamreach.fleet.ports import VmOrderAnswer
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.vm_inventory import VmInventory
from hornbeamreach.fleet.vm_upkeep import VmUpkeep
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.workload import MaintenanceWave

from . import builders

NOW_MS = 20_000


def make_maintenance() -> MaintenanceWaves:
    """Return the maintenance waves of a scheduler, with one wave of one VM."""
    proposed = ProposedState.of(ControlState(table=builders.step_table()))
    proposed.apply(OrderWave(number=1, machines=["m-1"], max_down=1, at_ms=0, due_ms=60_000))
    fleet = FleetState(proposed=proposed)
    scheduler = SimpleNamespace(
        proposed=proposed,
        fleet=fleet,
        began_ms=0,
        clock=SimpleNamespace(now_ms=lambda: NOW_MS, wall_ms=lambda: NOW_MS),
        replica=SimpleNamespace(node_id="a"),
        term=1,
        metrics=SimpleNamespace(event=lambda name: None),
        propose=proposed.apply,
        is_current=lambda: True,
        notify=lambda: None,
        gone_minions=[],
        polled_minions=[],
    )

    async def commit(command) -> None:
        proposed.apply(command)

    def mark_minion_gone(minion, reason) -> None:
        minion.gone = True
        scheduler.gone_minions.append(minion.minion_id)

    class RecordingPollers:
        def __getitem__(self, minion_id):
            return SimpleNamespace(poll_now=lambda: scheduler.polled_minions.append(minion_id))

    scheduler.commit, scheduler.mark_minion_gone = commit, mark_minion_gone
    scheduler.pollers = RecordingPollers()
    inventory = VmInventory(scheduler=scheduler, port=AcceptingVmPort())
    return MaintenanceWaves(scheduler=scheduler, inventory=inventory)


class AcceptingVmPort:
    """Accept every order."""

    async def start_maintenance(self, vm: str, **order) -> VmOrderAnswer:
        return VmOrderAnswer.ORDERED


def add_minion(maintenance: MaintenanceWaves, minion_id: str, born_ms: int) -> None:
    minion = builders.minion(minion_id, machine="m-1", born_ms=born_ms)
    maintenance.scheduler.fleet.minions[minion_id] = minion


def wave_of(maintenance: MaintenanceWaves, number: int = 1) -> MaintenanceWave:
    return maintenance.scheduler.proposed.workload.waves[number]


def send_order(maintenance: MaintenanceWaves, number: int = 1) -> VmUpkeep:
    wave = wave_of(maintenance, number)
    upkeep = maintenance.upkeeps.start(wave, "m-1")
    upkeep.is_ordering = True
    trio.run(maintenance._order, wave, upkeep)
    return upkeep


def is_back(maintenance: MaintenanceWaves, number: int = 1) -> bool:
    by_vm = maintenance.inventory.current_minions()
    return maintenance._is_back(wave_of(maintenance, number), "m-1", by_vm)


def answer_poll(maintenance: MaintenanceWaves, minion_id: str, sent_ms: int) -> None:
    maintenance.scheduler.fleet.minions[minion_id].polled_ms = sent_ms
