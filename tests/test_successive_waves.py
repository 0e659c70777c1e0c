"""Waves that take the same VMs, one after the other or at once, beside a platform in trouble."""

from __future__ import annotations

import pytest
import trio

from hornbeamreach.control.workload_commands import OrderWave, RecordUpkeep
from hornbeamreach.fleet.maintenance_waves import MaintenanceWaves
from hornbeamreach.fleet.ports import PlatformVm, PlatformVmState

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
from .step_fleet import StepFleet
from .test_absent_vms import bring_back, take_away
from .test_repeated_orders import replace_leader, run_scenario, start_wave, wait_for_wave

VMS = [f"m-i-{n}" for n in range(1, 5)]


def assert_done(fleet: StepFleet, waves: dict[int, int]) -> None:
    """Check that each VM had its maintenance for each wave, within the wave's limit."""
    assert fleet.vms.maintained == {(number, vm) for number in waves for vm in VMS}
    for number, max_down in waves.items():
        assert fleet.vms.most_down[number] <= max_down


async def crash_a_vm(fleet: StepFleet) -> None:
    """Let a VM that isn't down be missing for a time, also from the platform's list."""
    up = [vm for vm in VMS if vm not in fleet.vms.down]
    if up:
        vm = fleet.rng.choice(up)
        take_away(fleet, vm)
        await trio.sleep(fleet.rng.uniform(0.2, 5))
        bring_back(fleet, vm)


class TestWavesInTurn:
    # LIMIT: the second wave took the incarnation that it was ending for the one that had returned
    # from the first, and ordered the next VM at once.
    @pytest.mark.parametrize("trouble", ["busy", "silent", "applied"])
    @pytest.mark.parametrize("replaced", [False, True])
    def test_a_repeated_order_keeps_the_limit(self, trouble, replaced):
        async def scenario(fleet: StepFleet) -> None:
            await start_wave(fleet, 1, VMS, max_down=2)
            await wait_for_wave(fleet, 1)
            await trio.sleep(2)
            fleet.vms.busy = trouble == "busy"
            fleet.vms.silent = trouble != "busy"
            fleet.vms.applies_silently = trouble == "applied"
            await start_wave(fleet, 2, VMS, max_down=1)
            await trio.sleep(1)
            if replaced:
                await replace_leader(fleet)
            fleet.vms.busy = fleet.vms.silent = False
            await wait_for_wave(fleet, 2)
            assert_done(fleet, {1: 2, 2: 1})

        run_scenario(scenario)

    @pytest.mark.parametrize("seed", range(1, 9))
    def test_trouble_at_any_moment_of_two_waves_keeps_both_limits(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            rng = fleet.rng

            async def disturb() -> None:
                while True:
                    await trio.sleep(rng.uniform(0.2, 2.5))
                    trouble = rng.choice(["busy", "silent", "applied", "leader", "crash"])
                    if trouble == "leader":
                        await replace_leader(fleet)
                        continue
                    if trouble == "crash":
                        await crash_a_vm(fleet)
                        continue
                    fleet.vms.busy = trouble == "busy"
                    fleet.vms.silent = trouble != "busy"
                    fleet.vms.applies_silently = trouble == "applied"
                    await trio.sleep(rng.uniform(0.1, 1.5))
                    fleet.vms.busy = fleet.vms.silent = False

            async with trio.open_nursery() as nursery:
                nursery.start_soon(disturb)
                await start_wave(fleet, 1, VMS, max_down=2)
                await trio.sleep(rng.uniform(0, 12))
                await start_wave(fleet, 2, VMS, max_down=1)
                await wait_for_wave(fleet, 1)
                await wait_for_wave(fleet, 2)
                nursery.cancel_scope.cancel()
            assert_done(fleet, {1: 2, 2: 1})

        run_scenario(scenario, seed=seed)


class TestWavesAtOnce:
    # The VMs that one wave had selected counted against the limit of the other one.
    def test_a_wave_does_not_wait_for_the_drains_of_another_one(self):
        async def scenario(fleet: StepFleet) -> None:
            tasks = builders.step_job(builders.step(4, cpu_millis=9_000, max_per_minion=1))
            await fleet.submit("00000000000000a7", tasks, work_ms=8_000)
            await trio.sleep(0.5)
            busy = {f"m-{run.minion}" for run in fleet.minions.history}
            idle = {f"m-{name}" for name in fleet.minions.minions} - busy
            await start_wave(fleet, 1, sorted(busy), max_down=2)
            await trio.sleep(0.5)
            await start_wave(fleet, 2, sorted(idle), max_down=1)
            await trio.sleep(4)
            assert {(2, vm) for vm in idle} == fleet.vms.maintained

        run_scenario(scenario)


class TestWhatIsKept:
    @pytest.fixture
    def maintenance(self) -> MaintenanceWaves:
        """Return the maintenance waves of a scheduler, with two waves of one VM."""
        maintenance = make_maintenance()
        maintenance.scheduler.proposed.apply(
            OrderWave(number=2, machines=["m-1"], max_down=1, at_ms=0, due_ms=60_000)
        )
        return maintenance

    def test_nothing_is_kept_of_a_wave_that_a_vm_is_finished_for(self, maintenance):
        add_minion(maintenance, "i-first", 1_000)
        send_order(maintenance)
        add_minion(maintenance, "i-second", 21_000)
        answer_poll(maintenance, "i-second", NOW_MS + 1)
        maintenance._record_finished(wave_of(maintenance), maintenance.inventory.current_minions())
        assert wave_of(maintenance).finished == {"m-1"}
        assert maintenance.upkeeps.get(wave_of(maintenance), "m-1") is None
        assert not maintenance.inventory.pending_orders

    def test_an_incarnation_that_returned_from_another_wave_is_not_back(self, maintenance):
        add_minion(maintenance, "i-second", 21_000)
        answer_poll(maintenance, "i-second", NOW_MS)
        # The first order of the second wave was not carried out.
        maintenance.scheduler.proposed.apply(RecordUpkeep(number=2, ordered=["m-1"], at_ms=1))
        send_order(maintenance, 2)
        assert not is_back(maintenance, 2)
        maintenance.inventory.vms["m-1"] = PlatformVm(
            name="m-1", pool="a", state=PlatformVmState.UP
        )
        maintenance.inventory.listed_ms = NOW_MS
        assert not is_back(maintenance, 2)
        answer_poll(maintenance, "i-second", NOW_MS + 1)
        assert is_back(maintenance, 2)

    # The end of an earlier wave's maintenance let the VM take work while another one drained it.
    def test_the_end_for_one_wave_ends_no_drain_for_another(self, maintenance):
        add_minion(maintenance, "i-1", 1_000)
        minion = maintenance.scheduler.fleet.minions["i-1"]
        minion.cordoned = True
        upkeep = maintenance.upkeeps.start(wave_of(maintenance, 2), "m-1")
        upkeep.drain_began_ms = NOW_MS
        maintenance._return_to_service(wave_of(maintenance, 1), "m-1")
        assert minion.cordoned
        assert maintenance.upkeeps.selected(wave_of(maintenance, 2)) == {"m-1"}

    def test_the_end_of_maintenance_does_not_end_the_order_of_a_move(self, maintenance):
        add_minion(maintenance, "i-1", 1_000)
        minion = maintenance.scheduler.fleet.minions["i-1"]
        minion.cordoned = True
        maintenance.inventory.pending_orders["m-1"] = NOW_MS
        maintenance.upkeeps.start(wave_of(maintenance), "m-1")
        maintenance._return_to_service(wave_of(maintenance), "m-1")
        assert "m-1" in maintenance.inventory.pending_orders
        assert minion.cordoned

    def test_a_vm_that_is_down_for_one_wave_is_not_taken_for_another(self, maintenance):
        add_minion(maintenance, "i-1", 1_000)
        by_vm = maintenance.inventory.current_minions()
        assert maintenance._candidates(wave_of(maintenance, 2), by_vm)
        maintenance.scheduler.proposed.apply(
            RecordUpkeep(number=1, ordered=["m-1"], confirmed=["m-1"], at_ms=1)
        )
        assert not maintenance._candidates(wave_of(maintenance, 2), by_vm)

    # A later incarnation than the one that the order was sent for was marked as gone.
    def test_an_incarnation_that_is_heard_of_during_the_call_is_not_marked_as_gone(
        self, maintenance
    ):
        add_minion(maintenance, "i-first", 1_000)
        port = maintenance.inventory.port

        class SlowPort:
            async def start_maintenance(self, vm: str, **order):
                add_minion(maintenance, "i-next", 21_000)
                return await port.start_maintenance(vm, **order)

        maintenance.inventory.port = SlowPort()
        send_order(maintenance)
        assert maintenance.scheduler.gone_minions == []
        assert maintenance.scheduler.polled_minions == ["i-next"]
