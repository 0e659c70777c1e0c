"""Lives of one machine: which minion is its present one, and when it is back from upkeep."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio

from hornbeamreach.control.workload_commands import OrderWave, RecordUpkeep
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.maintenance_waves import MaintenanceWaves
from hornbeamreach.fleet.ports import PlatformVm, PlatformVmState, VmOrderAnswer
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.vm_inventory import VmInventory
from hornbeamreach.tables.control_state import ControlState

from . import builders

NOW_MS = 20_000


@pytest.fixture
def upkeep() -> MaintenanceWaves:
    """Return the upkeep of a scheduler with one machine in a wave of one at a time."""
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
        ended=[],
        looked=[],
    )

    async def commit(command) -> None:
        proposed.apply(command)

    def mark_minion_gone(minion, reason) -> None:
        minion.gone = True
        scheduler.ended.append(minion.minion_id)

    class Pollers:
        def __getitem__(self, name):
            return SimpleNamespace(poll_now=lambda: scheduler.looked.append(name))

    scheduler.commit, scheduler.mark_minion_gone = commit, mark_minion_gone
    scheduler.pollers = Pollers()
    inventory = VmInventory(scheduler=scheduler, port=OrderingPort())
    return MaintenanceWaves(scheduler=scheduler, inventory=inventory)


class OrderingPort:
    """Carry out every order."""

    async def start_maintenance(self, vm: str, **order) -> VmOrderAnswer:
        return VmOrderAnswer.ORDERED


def hear(upkeep: MaintenanceWaves, name: str, born_ms: int) -> None:
    minion = builders.minion(name, machine="m-1", born_ms=born_ms)
    upkeep.scheduler.fleet.minions[name] = minion


def order(upkeep: MaintenanceWaves) -> None:
    trio.run(upkeep._order, upkeep.scheduler.proposed.workload.waves[1], "m-1")


def is_back(upkeep: MaintenanceWaves) -> bool:
    return upkeep._is_back("m-1", upkeep.inventory.current_minions())


class TestPresentLife:
    def test_an_earlier_life_does_not_come_back_when_the_latest_has_ended(self, upkeep):
        hear(upkeep, "i-crashed", 1_000)
        hear(upkeep, "i-next", 2_000)
        upkeep.scheduler.fleet.minions["i-next"].gone = True
        assert upkeep.inventory.current_minions() == {}


class TestEmptying:
    def test_a_life_that_began_after_its_machine_was_chosen_takes_no_work(self, upkeep):
        upkeep.scheduler.orders = SimpleNamespace(stop=lambda run, reason: None)
        hear(upkeep, "i-first", 1_000)

        async def step() -> None:
            async with trio.open_nursery() as nursery:
                for name in ("i-first", "i-next"):
                    upkeep.scheduler.fleet.minions[name].reserve(builders.run(lasting=True))
                    await upkeep._tick(nursery, NOW_MS)
                    if name == "i-first":
                        upkeep.scheduler.fleet.minions[name].gone = True
                        hear(upkeep, "i-next", 2_000)

        trio.run(step)
        assert upkeep.drain_began_ms.keys() == {"m-1"}
        assert upkeep.scheduler.fleet.minions["i-next"].cordoned


class TestBackFromUpkeep:
    def test_an_earlier_life_under_another_id_is_not_back(self, upkeep):
        hear(upkeep, "i-crashed", 1_000)
        hear(upkeep, "i-next", 2_000)
        order(upkeep)
        assert upkeep.scheduler.ended == ["i-next"]
        assert not is_back(upkeep)
        hear(upkeep, "i-after", 21_000)
        assert is_back(upkeep)

    def test_a_late_report_of_the_ended_life_is_not_back(self, upkeep):
        order(upkeep)
        hear(upkeep, "i-late", 2_000)
        assert not is_back(upkeep)
        upkeep.inventory.vms["m-1"] = PlatformVm(
            name="m-1", pool="a", state=PlatformVmState.MAINTENANCE
        )
        upkeep.inventory.listed_ms = NOW_MS + 1
        assert not is_back(upkeep)
        upkeep.inventory.vms["m-1"] = PlatformVm(name="m-1", pool="a", state=PlatformVmState.UP)
        assert is_back(upkeep)

    def test_an_order_that_is_sent_again_ends_no_life(self, upkeep):
        upkeep.scheduler.proposed.apply(RecordUpkeep(number=1, ordered=["m-1"], at_ms=1))
        hear(upkeep, "i-after", 21_000)
        order(upkeep)
        assert upkeep.scheduler.ended == []
        assert upkeep.scheduler.looked == ["i-after"]
