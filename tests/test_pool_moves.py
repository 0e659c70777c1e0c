"""Machines go where the demand is, and pools keep what lasting tasks need."""

from __future__ import annotations

from types import SimpleNamespace

import trio

from hornbeamreach.control.workload_commands import AcceptJob
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.ports import PlatformVm, PlatformVmState, VmOrderAnswer
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.vm_inventory import VmInventory
from hornbeamreach.fleet.vm_moves import SHORTFALL_MS, VmMoves
from hornbeamreach.systems.pool_moves import (
    STANDBY_AFTER_IDLE_MS,
    PoolDemand,
    PoolDemands,
    VmMove,
    follow_turns,
)
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import PoolRow

from . import builders

MACHINE = 16_000


def load(pool: str, **fields) -> PoolDemand:
    return PoolDemand(pool=pool, **{"vm_cpu_millis": MACHINE, **fields})


def moves(*loads: PoolDemand) -> list[tuple[str, str]]:
    found = follow_turns(PoolDemands(by_pool={item.pool: item for item in loads}))
    return [(move.vm, move.pool) for move in found]


class TestFollowTurns:
    def test_parked_machines_come_to_the_pool_whose_turn_it_is(self):
        spare = load("spare", standby=True, vms=2, idle=(("m-1", 0), ("m-2", 0)))
        assert moves(spare, load("a", vms=6, demand_cpu_millis=120_000)) == [
            ("m-1", "a"),
            ("m-2", "a"),
        ]

    def test_what_is_on_its_way_counts(self):
        spare = load("spare", standby=True, vms=1, idle=(("m-1", 0),))
        pending_orders = load("a", vms=6, arriving=6, demand_cpu_millis=120_000)
        assert moves(spare, pending_orders) == []

    def test_a_pool_gives_only_what_it_can_do_without(self):
        idle = (("m-1", 9_000), ("m-2", 9_000))
        assert moves(load("spare", standby=True), load("a", vms=6, minimum=5, idle=idle)) == [
            ("m-1", "spare")
        ]

    def test_machines_are_parked_only_after_a_while(self):
        idle = (("m-1", STANDBY_AFTER_IDLE_MS - 1),)
        assert moves(load("spare", standby=True), load("a", vms=6, idle=idle)) == []


def pool_moves(now_ms: int) -> VmMoves:
    """Return the moves of a scheduler with three minions and a lasting job."""
    proposed = ProposedState.of(ControlState(table=builders.step_table()))
    fleet = FleetState(proposed=proposed)
    for number in range(3):
        minion = builders.minion(f"i-{number}", machine=f"m-{number}")
        minion.last_report_ms = now_ms
        fleet.minions[f"i-{number}"] = minion
    scheduler = SimpleNamespace(
        proposed=proposed,
        fleet=fleet,
        began_ms=0,
        clock=SimpleNamespace(now_ms=lambda: now_ms, wall_ms=lambda: now_ms),
    )
    spec = builders.step_job(builders.step(5, lasting=True, max_per_minion=3))
    accept = AcceptJob(
        job_id="0" * 16, queue="queue-a", pool="pool-a", team="team-a", spec=spec, at_ms=0
    )
    proposed.apply(accept)
    return VmMoves(scheduler=scheduler, inventory=VmInventory(scheduler=scheduler, port=None))


class TestLoads:
    def test_silent_minions_do_not_count(self):
        found = pool_moves(20_000)
        minions = found.inventory.current_minions()
        assert found.pool_demands(minions, 20_000).by_pool["pool-a"].vms == 3
        minions["m-0"].failed_calls = 2
        minions["m-1"].last_report_ms = 15_000
        assert found.pool_demands(minions, 20_000).by_pool["pool-a"].vms == 1

    def test_a_lasting_task_without_a_place_asks_for_a_machine(self):
        found = pool_moves(20_000)
        fleet = found.scheduler.fleet
        fleet.stale_jobs.add("0" * 16)
        fleet.refresh_ready(20_000)
        minions = found.inventory.current_minions()
        assert found.pool_demands(minions, 20_000).by_pool["pool-a"].shortfall == 0
        later = found.pool_demands(minions, 20_000 + SHORTFALL_MS)
        assert later.by_pool["pool-a"].shortfall == 1


class AnsweringPort:
    """Answer every order for a machine as carried out."""

    async def move(self, vm: str, **order) -> VmOrderAnswer:
        return VmOrderAnswer.ORDERED


class TestStaleLists:
    def listed(self, found: VmMoves) -> None:
        found.scheduler.proposed.state.table.pools["spare"] = PoolRow(max_down=0, standby=True)
        found.inventory.vms = {
            "m-0": PlatformVm(name="m-0", pool="spare", state=PlatformVmState.UP),
            "m-9": PlatformVm(name="m-9", pool="spare", state=PlatformVmState.UP),
        }
        found.inventory.listed_ms = 19_000

    def test_a_machine_whose_minion_was_heard_is_not_parked(self):
        found = pool_moves(20_000)
        self.listed(found)
        assert [vm.name for vm in found.inventory.standby_vms()] == ["m-9"]

    def test_a_list_from_before_the_end_of_an_order_tells_nothing(self):
        found = pool_moves(20_000)
        self.listed(found)
        found.inventory.pending_orders["m-9"] = 18_000
        found.inventory.end_order("m-9")
        assert found.inventory.standby_vms() == []

    def test_an_order_that_was_done_already_ends_nothing(self):
        found = pool_moves(20_000)
        ended = []

        async def commit(command) -> None:
            return None

        found.scheduler.commit = commit
        found.scheduler.replica = SimpleNamespace(node_id="a")
        found.scheduler.term = 1
        found.scheduler.metrics = SimpleNamespace(event=lambda name: None)
        found.scheduler.mark_minion_gone = lambda minion, reason: ended.append(minion.minion_id)
        found.inventory.port = AnsweringPort()
        minion = found.scheduler.fleet.minions["i-0"]
        again = VmMove(vm="m-0", source="spare", pool="pool-a")
        trio.run(found._move, again, minion)
        assert ended == []
        away = VmMove(vm="m-0", source="pool-a", pool="spare")
        trio.run(found._move, away, minion)
        assert ended == ["i-0"]
