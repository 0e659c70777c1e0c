"""Incarnations of one VM: which is current, and when the VM is back from maintenance."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio

from hornbeamreach.control.workload_commands import RecordUpkeep
from hornbeamreach.fleet.maintenance_waves import MaintenanceWaves
from hornbeamreach.fleet.ports import PlatformVm, PlatformVmState, VmOrderAnswer

from . import builders
from .maintenance_parts import (
    NOW_MS,
    add_minion,
    answer_poll,
    is_back,
    make_maintenance,
    send_order,
    wave_of,
)


@pytest.fixture
def maintenance() -> MaintenanceWaves:
    return make_maintenance()


class TestCurrentIncarnation:
    def test_no_earlier_incarnation_is_current_after_the_latest_has_ended(self, maintenance):
        # The end of the crashed incarnation was not observed, so it still looks alive.
        add_minion(maintenance, "i-crashed", 1_000)
        add_minion(maintenance, "i-next", 2_000)
        maintenance.scheduler.fleet.minions["i-next"].gone = True
        assert maintenance.inventory.current_minions() == {}


class TestDraining:
    def test_an_incarnation_that_began_after_its_vm_was_selected_is_cordoned(self, maintenance):
        # The selected incarnation ends while it drains; the next one must get no new work either.
        maintenance.scheduler.orders = SimpleNamespace(stop=lambda run, reason: None)
        add_minion(maintenance, "i-first", 1_000)

        async def drain_both_incarnations() -> None:
            async with trio.open_nursery() as nursery:
                for minion_id in ("i-first", "i-next"):
                    maintenance.scheduler.fleet.minions[minion_id].reserve(
                        builders.run(lasting=True)
                    )
                    await maintenance._tick(nursery, NOW_MS)
                    if minion_id == "i-first":
                        maintenance.scheduler.fleet.minions[minion_id].gone = True
                        add_minion(maintenance, "i-next", 2_000)

        trio.run(drain_both_incarnations)
        assert maintenance.upkeeps.selected(wave_of(maintenance)) == {"m-1"}
        assert maintenance.scheduler.fleet.minions["i-next"].cordoned


class TestRefusedMaintenance:
    @pytest.mark.parametrize("answer", [VmOrderAnswer.NOT_IN_WAVE, VmOrderAnswer.MALFORMED])
    def test_a_vm_whose_maintenance_is_refused_for_good_takes_work_again(self, maintenance, answer):
        # It stayed cordoned for the rest of the term, so its pool lost room.
        add_minion(maintenance, "i-first", 1_000)
        minion = maintenance.scheduler.fleet.minions["i-first"]
        maintenance.scheduler.notify = lambda: None
        minion.cordoned = True
        maintenance.inventory.pending_orders["m-1"] = NOW_MS
        upkeep = maintenance.upkeeps.start(wave_of(maintenance), "m-1")
        upkeep.holds_vm, upkeep.drain_began_ms = True, NOW_MS
        trio.run(maintenance._on_answer, wave_of(maintenance), upkeep, answer, minion)
        assert not minion.cordoned
        assert not maintenance.upkeeps.selected(wave_of(maintenance))
        assert "m-1" not in maintenance.inventory.pending_orders


class TestReturnFromMaintenance:
    def test_an_earlier_incarnation_under_another_id_is_not_taken_for_the_return(self, maintenance):
        add_minion(maintenance, "i-crashed", 1_000)
        add_minion(maintenance, "i-next", 2_000)
        send_order(maintenance)
        assert maintenance.scheduler.gone_minions == ["i-next"]
        assert not is_back(maintenance)
        add_minion(maintenance, "i-after", 21_000)
        assert not is_back(maintenance)
        answer_poll(maintenance, "i-after", NOW_MS + 1)
        assert is_back(maintenance)

    def test_a_late_report_of_the_ended_incarnation_is_not_taken_for_the_return(self, maintenance):
        # No incarnation was known when the order was sent, so a report that was under way then
        # cannot show the return; only the platform's list can.
        send_order(maintenance)
        add_minion(maintenance, "i-late", 2_000)
        answer_poll(maintenance, "i-late", NOW_MS)
        assert not is_back(maintenance)
        maintenance.inventory.vms["m-1"] = PlatformVm(
            name="m-1", pool="a", state=PlatformVmState.MAINTENANCE
        )
        maintenance.inventory.listed_ms = NOW_MS + 1
        assert not is_back(maintenance)
        maintenance.inventory.vms["m-1"] = PlatformVm(
            name="m-1", pool="a", state=PlatformVmState.UP
        )
        assert is_back(maintenance)

    def test_a_resent_order_ends_no_incarnation(self, maintenance):
        # A VM may be back from maintenance already when its order is resent.
        maintenance.scheduler.proposed.apply(RecordUpkeep(number=1, ordered=["m-1"], at_ms=1))
        add_minion(maintenance, "i-after", 21_000)
        send_order(maintenance)
        assert maintenance.scheduler.gone_minions == []
        assert maintenance.scheduler.polled_minions == ["i-after"]


class TestMaintenanceOrder:
    def test_a_vm_with_a_lasting_task_is_drained_before_its_order_is_repeated(self, maintenance):
        maintenance.scheduler.proposed.apply(RecordUpkeep(number=1, ordered=["m-1"], at_ms=1))
        inventory = maintenance.inventory
        inventory.listed_ms = inventory.list_attempt_ms = 20_000
        add_minion(maintenance, "i-1", 1_000)
        minion = maintenance.scheduler.fleet.minions["i-1"]
        minion.reserve(builders.run(lasting=True))
        stopped = []
        maintenance.scheduler.orders = SimpleNamespace(stop=lambda run, reason: stopped.append(run))

        async def tick() -> None:
            async with trio.open_nursery() as nursery:
                await maintenance._tick(nursery, 20_000)

        trio.run(tick)
        assert (minion.cordoned, len(stopped)) == (True, 1)
        assert not inventory.ordered_vms
        minion.release(stopped[0].name)
        trio.run(tick)
        assert inventory.ordered_vms == {"m-1"}

    # A commit takes seconds on a slow disk, and a process may sleep meanwhile.
    @pytest.mark.parametrize("ends", ["term", "drain"])
    def test_an_order_is_given_back_if_its_ground_is_gone_after_the_commit(self, maintenance, ends):
        async def commit(command) -> None:
            maintenance.scheduler.proposed.apply(command)
            if ends == "term":
                maintenance.scheduler.is_current = lambda: False
            else:
                add_minion(maintenance, "i-late", 2_000)
                minion = maintenance.scheduler.fleet.minions["i-late"]
                minion.reserve(builders.run(lasting=True))

        maintenance.scheduler.commit = commit
        send_order(maintenance)
        assert wave_of(maintenance).ordered == {"m-1": False}
        upkeep = maintenance.upkeeps.get(wave_of(maintenance), "m-1")
        assert upkeep.confirmed_ms is None
        assert not upkeep.is_ordering


class TestAwaitingMaintenance:
    def test_a_vm_awaits_maintenance_until_it_is_ordered(self, maintenance):
        fleet = maintenance.scheduler.fleet
        for number in (1, 2):
            minion = builders.minion(f"i-{number}", machine=f"m-{number}")
            fleet.minions[minion.minion_id] = minion
        maintenance.mark_awaiting()
        assert fleet.minions["i-1"].awaits_maintenance
        assert not fleet.minions["i-2"].awaits_maintenance
        maintenance.scheduler.propose(RecordUpkeep(number=1, ordered=["m-1"], at_ms=NOW_MS))
        maintenance.mark_awaiting()
        assert not fleet.minions["i-1"].awaits_maintenance
