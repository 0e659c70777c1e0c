"""VMs move to the pools with demand, and pools keep the VMs that long-running tasks need."""

from __future__ import annotations

import functools
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from hornbeamreach.control.snapshots import decode_state, encode_state
from hornbeamreach.control.workload_commands import AcceptJob, NoteMachineOrders
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.pool_needs import running_cpu
from hornbeamreach.fleet.ports import (
    PlatformVm,
    PlatformVmState,
    UnknownOutcomeError,
    VmOrderAnswer,
)
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.vm_inventory import VmInventory
from hornbeamreach.fleet.vm_moves import FIRST_REPORTS_MS, SHORTFALL_MS, VmMoves
from hornbeamreach.systems.pool_moves import (
    STANDBY_AFTER_IDLE_MS,
    STANDBY_AFTER_IDLE_QUIET_MS,
    PoolDemand,
    PoolDemands,
    VmMove,
    follow_forecast,
    follow_turns,
    useful_first,
)
from hornbeamreach.systems.vm_drains import DrainCandidate, drain_none, late_work_yields
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import PoolRow
from hornbeamreach.tables.workload import PendingMove

from . import builders
from .fakes import run_virtual

VM_CPU_MILLIS = 16_000


def demand(pool: str, **fields) -> PoolDemand:
    return PoolDemand(pool=pool, **{"vm_cpu_millis": VM_CPU_MILLIS, **fields})


def planned_moves(*demands: PoolDemand) -> list[tuple[str, str]]:
    moves = follow_turns(PoolDemands(by_pool={item.pool: item for item in demands}))
    return [(move.vm, move.pool) for move in moves]


class TestFollowTurns:
    def test_standby_vms_move_to_the_pool_with_demand(self):
        spare = demand("spare", standby=True, vms=2, idle=(("m-1", 0), ("m-2", 0)))
        assert planned_moves(spare, demand("a", vms=6, demand_cpu_millis=120_000)) == [
            ("m-1", "a"),
            ("m-2", "a"),
        ]

    def test_arriving_vms_count_towards_the_target(self):
        spare = demand("spare", standby=True, vms=1, idle=(("m-1", 0),))
        supplied = demand("a", vms=6, arriving=6, demand_cpu_millis=120_000)
        assert planned_moves(spare, supplied) == []

    def test_a_pool_gives_up_only_surplus_vms(self):
        idle = (("m-1", 9_000), ("m-2", 9_000))
        assert planned_moves(
            demand("spare", standby=True), demand("a", vms=6, minimum=5, idle=idle)
        ) == [("m-1", "spare")]

    def test_idle_vms_move_to_standby_only_after_a_while(self):
        idle = (("m-1", STANDBY_AFTER_IDLE_MS - 1),)
        assert planned_moves(demand("spare", standby=True), demand("a", vms=6, idle=idle)) == []


def make_vm_moves(now_ms: int) -> VmMoves:
    """Return the VM moves of a scheduler with three minions and a long-running job."""
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


class TestPoolDemands:
    def test_silent_minions_do_not_count(self):
        vm_moves = make_vm_moves(20_000)
        minions = vm_moves.inventory.current_minions()
        assert vm_moves.pool_demands(minions, 20_000).by_pool["pool-a"].vms == 3
        minions["m-0"].failed_calls = 2
        minions["m-1"].last_report_ms = 15_000
        assert vm_moves.pool_demands(minions, 20_000).by_pool["pool-a"].vms == 1

    def test_a_new_scheduler_counts_vms_whose_minions_have_not_reported_yet(self):
        # A leader ends in a busy period: its successor must not move VMs that are there already.
        vm_moves = make_vm_moves(20_000)
        vm_moves.scheduler.began_ms = 19_500
        states = [PlatformVmState.UP] * 5 + [PlatformVmState.MOVING] * 2 + [PlatformVmState.DOWN]
        vm_moves.inventory.vms = {
            f"m-{number}": PlatformVm(name=f"m-{number}", pool="pool-a", state=state)
            for number, state in enumerate(states)
        }
        minions = vm_moves.inventory.current_minions()
        demand = vm_moves.pool_demands(minions, 20_000).by_pool["pool-a"]
        # Three of the seven have reported, m-0 to m-2.
        assert (demand.vms, demand.arriving) == (3, 4)
        later_ms = vm_moves.scheduler.began_ms + FIRST_REPORTS_MS + 1
        assert vm_moves.pool_demands(minions, later_ms).by_pool["pool-a"].arriving == 0

    def test_vms_of_an_evacuated_data_centre_neither_count_nor_move(self):
        # Otherwise the need that they had would be met by VMs that may start nothing.
        vm_moves = make_vm_moves(20_000)
        fleet = vm_moves.scheduler.fleet
        fleet.proposed.state.table.pools["spare"] = PoolRow(max_down=0, standby=True)
        names = {"m-0": "pool-a", "m-8": "spare", "m-9": "spare"}
        vm_moves.inventory.vms = {
            name: PlatformVm(
                name=name,
                pool=pool,
                state=PlatformVmState.UP,
                data_center="dc2" if name == "m-9" else "dc1",
            )
            for name, pool in names.items()
        }
        vm_moves.inventory.listed_ms = 19_000
        fleet.minions["i-0"].reserve(builders.run(minion="i-0"))
        fleet.proposed.workload.evacuated = {"dc1": 0}
        minions = vm_moves.inventory.current_minions()
        demands = vm_moves.pool_demands(minions, 20_000).by_pool
        pool = demands["pool-a"]
        assert (pool.vms, pool.arriving, pool.running_cpu_millis, pool.idle) == (0, 0, 0, ())
        assert pool.vm_cpu_millis == VM_CPU_MILLIS
        assert demands["spare"].idle == (("m-9", 0),)

    def test_a_long_running_task_without_a_minion_asks_for_a_vm(self):
        vm_moves = make_vm_moves(20_000)
        fleet = vm_moves.scheduler.fleet
        fleet.stale_jobs.add("0" * 16)
        fleet.refresh_ready(20_000)
        minions = vm_moves.inventory.current_minions()
        assert vm_moves.pool_demands(minions, 20_000).by_pool["pool-a"].shortfall == 0
        later_demands = vm_moves.pool_demands(minions, 20_000 + SHORTFALL_MS)
        assert later_demands.by_pool["pool-a"].shortfall == 1


class TestFollowForecast:
    def moves(self, *demands: PoolDemand) -> list[tuple[str, str]]:
        planned = follow_forecast(PoolDemands(by_pool={item.pool: item for item in demands}))
        return [(move.vm, move.pool) for move in planned]

    def test_vms_move_ahead_of_the_demand(self):
        spare = demand("spare", standby=True, vms=9, idle=tuple((f"m-{n}", 0) for n in range(9)))
        idle_pool = demand("a", vms=2, minimum=2, forecast_cpu_millis=64_000)
        # Four VMs full, and headroom of 1.5 times the square root of four.
        assert len(self.moves(spare, idle_pool)) == 5

    def test_without_a_forecast_half_of_what_waits_counts(self):
        spare = demand("spare", standby=True, vms=9, idle=tuple((f"m-{n}", 0) for n in range(9)))
        backlog = demand("a", vms=7, demand_cpu_millis=128_000, running_cpu_millis=0)
        assert self.moves(spare, backlog) == []

    def test_a_quiet_pool_releases_vms_sooner_than_a_busy_one(self):
        idle = (("m-1", STANDBY_AFTER_IDLE_QUIET_MS),)
        spare = demand("spare", standby=True)
        assert self.moves(spare, demand("a", vms=6, idle=idle)) == [("m-1", "spare")]
        busy = demand("a", vms=6, idle=idle, forecast_cpu_millis=1_000)
        assert self.moves(spare, busy) == []

    def test_the_minimum_of_a_pool_is_kept(self):
        idle = (("m-1", 9_000), ("m-2", 9_000))
        pool = demand("a", vms=5, minimum=4, idle=idle)
        assert self.moves(demand("spare", standby=True), pool) == [("m-1", "spare")]


class AcceptingVmPort:
    """Accept every order."""

    async def move(self, vm: str, **order) -> VmOrderAnswer:
        return VmOrderAnswer.ORDERED


class TestStaleLists:
    def set_vm_list(self, vm_moves: VmMoves) -> None:
        vm_moves.scheduler.proposed.state.table.pools["spare"] = PoolRow(max_down=0, standby=True)
        vm_moves.inventory.vms = {
            "m-0": PlatformVm(name="m-0", pool="spare", state=PlatformVmState.UP),
            "m-9": PlatformVm(name="m-9", pool="spare", state=PlatformVmState.UP),
        }
        vm_moves.inventory.listed_ms = 19_000

    def test_a_vm_whose_minion_has_reported_is_not_on_standby(self):
        # The list may predate the VM's move out of the standby pool.
        vm_moves = make_vm_moves(20_000)
        self.set_vm_list(vm_moves)
        assert [vm.name for vm in vm_moves.inventory.standby_vms()] == ["m-9"]

    def test_a_list_from_before_the_end_of_an_order_is_ignored(self):
        vm_moves = make_vm_moves(20_000)
        self.set_vm_list(vm_moves)
        vm_moves.inventory.pending_orders["m-9"] = 18_000
        vm_moves.inventory.end_order("m-9")
        assert vm_moves.inventory.standby_vms() == []

    def test_a_move_to_the_current_pool_ends_no_incarnation(self):
        # The platform also accepts a move that was carried out before; then nothing on the VM ends.
        vm_moves = make_vm_moves(20_000)
        gone_minions = []

        async def commit(command) -> None:
            return None

        vm_moves.scheduler.commit = commit
        vm_moves.scheduler.is_current = lambda: True
        vm_moves.scheduler.replica = SimpleNamespace(node_id="a")
        vm_moves.scheduler.term = 1
        vm_moves.scheduler.metrics = SimpleNamespace(event=lambda name: None)
        vm_moves.scheduler.mark_minion_gone = lambda minion, reason: gone_minions.append(
            minion.minion_id
        )
        vm_moves.inventory.port = AcceptingVmPort()
        minion = vm_moves.scheduler.fleet.minions["i-0"]
        repeated_move = VmMove(vm="m-0", source="spare", pool="pool-a")
        trio.run(vm_moves._move, repeated_move, minion)
        assert gone_minions == []
        new_move = VmMove(vm="m-0", source="pool-a", pool="spare")
        trio.run(vm_moves._move, new_move, minion)
        assert gone_minions == ["i-0"]


class TestChangedVm:
    # The move ended what had been placed on the VM while its commit took long.
    @pytest.mark.parametrize("change", ["run", "incarnation", "term", "evacuation", "maintenance"])
    def test_a_move_is_given_back_if_its_vm_has_changed_since_it_was_decided(self, change):
        vm_moves = make_vm_moves(20_000)
        scheduler, inventory = vm_moves.scheduler, vm_moves.inventory
        minion = scheduler.fleet.minions["i-0"]
        moved = []

        async def move(vm, **order):
            moved.append(vm)

        async def commit(command) -> None:
            if change == "run":
                minion.reserve(builders.run())
            elif change == "incarnation":
                later = builders.minion("i-9", machine="m-0", born_ms=9_000)
                scheduler.fleet.minions["i-9"] = later
            elif change == "term":
                scheduler.is_current = lambda: False
            elif change == "evacuation":
                scheduler.proposed.workload.evacuated["dc1"] = 1
                inventory.vms["m-0"] = SimpleNamespace(data_center="dc1")
            else:
                wave = builders.wave(["m-0"])
                wave.ordered["m-0"] = False
                scheduler.proposed.workload.waves[1] = wave

        scheduler.commit, scheduler.is_current = commit, lambda: True
        scheduler.notify = lambda: None
        scheduler.replica, scheduler.term = SimpleNamespace(node_id="a"), 1
        scheduler.metrics = SimpleNamespace(event=lambda name: None)
        inventory.port = SimpleNamespace(move=move)
        minion.cordoned = True
        inventory.pending_orders["m-0"], vm_moves.arriving["m-0"] = 20_000, "spare"
        trio.run(vm_moves._move, VmMove(vm="m-0", source="pool-a", pool="spare"), minion)
        assert not moved
        assert (minion.cordoned, vm_moves.arriving, inventory.pending_orders) == (False, {}, {})


class TestLateWork:
    """A backlog that comes too late to be of use kept all VMs from the queue that rises next."""

    def late_pool(self, **fields) -> PoolDemand:
        figures = {"vms": 10, "demand_cpu_millis": 460_000, "running_cpu_millis": 160_000}
        return demand("late", **{**figures, "late_cpu_millis": 300_000, **fields})

    def rising_pool(self, **fields) -> PoolDemand:
        figures = {"vms": 2, "demand_cpu_millis": 120_000, "running_cpu_millis": 32_000}
        return demand("rising", **{**figures, **fields})

    def demands(self, *items: PoolDemand) -> PoolDemands:
        return PoolDemands(by_pool={item.pool: item for item in items})

    def test_idle_vms_go_to_useful_work_first(self):
        idle = tuple((f"m-{number}", 0) for number in range(4))
        spare = demand("spare", standby=True, vms=4, idle=idle)
        demands = self.demands(self.late_pool(), self.rising_pool(), spare)
        assert {move.pool for move in follow_forecast(demands)} == {"late"}
        assert {move.pool for move in useful_first(demands)} == {"rising"}

    def test_late_work_gets_what_useful_work_leaves(self):
        idle = tuple((f"m-{number}", 0) for number in range(20))
        spare = demand("spare", standby=True, vms=20, idle=idle)
        moves = useful_first(self.demands(self.late_pool(), self.rising_pool(), spare))
        assert {move.pool for move in moves} == {"rising", "late"}
        assert len({move.vm for move in moves}) == len(moves)

    def test_without_late_work_moves_are_those_of_the_forecast(self):
        spare = demand("spare", standby=True, vms=1, idle=(("m-1", 0),))
        demands = self.demands(self.late_pool(late_cpu_millis=0), self.rising_pool(), spare)
        assert useful_first(demands) == follow_forecast(demands)

    def test_busy_vms_of_late_work_are_drained_the_soonest_empty_first(self):
        demands = self.demands(self.late_pool(minimum=3), self.rising_pool())
        candidates = [
            DrainCandidate(vm=f"m-{number}", pool="late", empty_in_ms=100 * (10 - number))
            for number in range(10)
        ]
        candidates.append(DrainCandidate(vm="own", pool="rising", empty_in_ms=0))
        chosen = late_work_yields(demands, candidates)
        assert drain_none(demands, candidates) == []
        assert chosen == [f"m-{number}" for number in range(9, 9 - len(chosen), -1)]
        # The rising pool's need is met, and the other one keeps what it needs at least.
        assert 0 < len(chosen) <= 7

    def test_no_vm_is_drained_while_idle_ones_are_enough(self):
        idle = tuple((f"m-{number}", 0) for number in range(20))
        spare = demand("spare", standby=True, vms=20, idle=idle)
        demands = self.demands(self.late_pool(), self.rising_pool(), spare)
        candidate = DrainCandidate(vm="m-30", pool="late", empty_in_ms=0)
        assert late_work_yields(demands, [candidate]) == []

    def test_a_drained_vm_takes_no_new_work_until_the_need_is_over(self):
        moves = make_vm_moves(5_000)
        moves.scheduler.metrics = SimpleNamespace(event=lambda name: None)
        minion = moves.scheduler.fleet.minions["i-0"]
        minion.reserve(builders.run())
        minions = {"m-0": minion}
        moves.drain_policy = lambda demands, candidates: [item.vm for item in candidates]
        moves.drain_vms(minions, PoolDemands(), 5_000)
        assert minion.yielding
        moves.drain_policy = drain_none
        moves.drain_vms(minions, PoolDemands(), 5_200)
        assert not minion.yielding

    def test_runs_of_minions_not_heard_from_count_as_demand(self):
        # A new scheduler counted the VMs of the platform's list, but not the runs on them.
        moves = make_vm_moves(5_000)
        fleet = moves.scheduler.fleet
        run = builders.run(job_id=next(iter(fleet.proposed.workload.jobs)))
        fleet.unattached_runs["i-9"] = {run.name: run}
        before = running_cpu(fleet)["pool-a"]
        fleet.unattached_runs.clear()
        assert before - running_cpu(fleet)["pool-a"] == run.needs.cpu_millis


class TestFailures:
    def drained_vms(self, moves: VmMoves, now_ms: int = 5_000) -> list[str]:
        moves.scheduler.metrics = SimpleNamespace(event=lambda name: None)
        moves.drain_policy = lambda demands, candidates: [item.vm for item in candidates]
        for minion in moves.scheduler.fleet.minions.values():
            minion.reserve(builders.run(minion=minion.minion_id))
        moves.drain_vms(moves.inventory.current_minions(), PoolDemands(), now_ms)
        return sorted(moves.drained)

    def test_silent_held_and_evacuated_vms_are_not_drained(self):
        # A silent VM's runs seem to end first, so that it was drained instead of one of use.
        moves = make_vm_moves(5_000)
        minions = moves.scheduler.fleet.minions
        minions["i-0"].failed_calls = 2
        moves.scheduler.fleet.held_minions = {"i-1": "0" * 16}
        assert self.drained_vms(moves) == ["m-2"]
        evacuated = make_vm_moves(5_000)
        evacuated.scheduler.proposed.workload.evacuated = {"dc1": 0}
        assert self.drained_vms(evacuated) == []

    def test_drained_vms_take_work_again_while_moves_pause(self):
        # At a lag of the loop above 2 s no tick ended the drain, and the VMs stayed empty.
        moves = make_vm_moves(5_000)
        moves.scheduler.effort = lambda: SimpleNamespace(moves=False)
        moves.scheduler.nursery = moves.scheduler.notify = lambda: None
        moves.scheduler.is_current = lambda: True
        assert self.drained_vms(moves) == ["m-0", "m-1", "m-2"]

        async def refresh() -> bool:
            return True

        async def run_a_tick() -> None:
            with trio.move_on_after(0.3):
                await moves.run()

        moves.inventory = SimpleNamespace(
            refresh=refresh, current_minions=moves.inventory.current_minions
        )
        trio.run(run_a_tick, clock=trio.testing.MockClock(autojump_threshold=0))
        assert not any(minion.yielding for minion in moves.scheduler.fleet.minions.values())

    def test_a_move_whose_answer_was_lost_ends_the_former_incarnation(self):
        # The ended incarnation took starts again, and kept the VM out of the standby ones.
        moves = make_vm_moves(20_000)
        gone_minions = []
        moves.scheduler.mark_minion_gone = lambda minion, reason: gone_minions.append(
            minion.minion_id
        )
        for number, pool in ((0, "spare"), (1, "pool-a")):
            moves.scheduler.fleet.minions[f"i-{number}"].cordoned = True
            moves.arriving[f"m-{number}"] = "spare"
            moves.inventory.pending_orders[f"m-{number}"] = 16_000
            moves.inventory.vms[f"m-{number}"] = PlatformVm(
                name=f"m-{number}", pool=pool, state=PlatformVmState.UP
            )
        moves.inventory.listed_ms = 19_000
        minions = moves.inventory.current_minions()
        moves._clear_arrivals(minions, 20_000)
        # The other order may still take effect.
        assert (gone_minions, list(moves.arriving)) == (["i-0"], ["m-1"])
        assert minions["m-0"].cordoned and minions["m-1"].cordoned


class TestInheritedMoves:
    @staticmethod
    def make_successor(at_ms: int, now_ms: int = 20_000) -> VmMoves:
        """Return the moves of a scheduler that inherits one of m-0 to the pool "spare"."""
        vm_moves = make_vm_moves(now_ms)
        scheduler = vm_moves.scheduler
        scheduler.began_ms, scheduler.term = now_ms, 2
        scheduler.proposed.apply(
            NoteMachineOrders(machines=["m-0"], at_ms=at_ms, moves={"m-0": "spare"})
        )
        vm_moves.inherit_moves()
        return vm_moves

    @staticmethod
    def usable_vms(vm_moves: VmMoves, now_ms: int = 20_000) -> list[str]:
        fleet = vm_moves.scheduler.fleet
        for minion in fleet.minions.values():
            minion.polled_ms = minion.last_report_ms = now_ms
        return [minion.vm for minion in fleet.usable_minions(fleet.minions.values(), now_ms)]

    # AVAIL: a new leader started tasks on a VM that a move of the earlier one emptied afterwards.
    def test_a_vm_gets_no_work_while_a_move_of_an_earlier_leader_may_take_effect(self):
        vm_moves = self.make_successor(19_000)
        assert self.usable_vms(vm_moves) == ["m-1", "m-2"]
        assert "m-0" in vm_moves.inventory.pending_orders
        vm_moves._clear_arrivals(vm_moves.inventory.current_minions(), 21_000)
        assert vm_moves.scheduler.fleet.minions["i-0"].cordoned
        vm_moves._clear_arrivals(vm_moves.inventory.current_minions(), 33_001)
        assert self.usable_vms(vm_moves) == ["m-0", "m-1", "m-2"]
        assert vm_moves.settled == {"m-0"}

    def test_the_vm_takes_work_once_it_has_arrived(self):
        vm_moves = self.make_successor(19_000)
        later = builders.minion("i-0", machine="m-0", born_ms=21_000, pool="spare")
        vm_moves.scheduler.fleet.minions["i-0"] = later
        assert "m-0" not in self.usable_vms(vm_moves)
        vm_moves._clear_arrivals(vm_moves.inventory.current_minions(), 21_000)
        assert "m-0" in self.usable_vms(vm_moves)
        assert "m-0" not in vm_moves.inventory.pending_orders

    def test_a_move_that_can_take_no_more_effect_keeps_no_vm_free(self):
        vm_moves = self.make_successor(3_000)
        assert self.usable_vms(vm_moves) == ["m-0", "m-1", "m-2"]
        assert vm_moves.settled == {"m-0"}

    @pytest.mark.parametrize("wall_step_ms", [-2_000, 2_000])
    def test_clocks_that_differ_by_seconds_shorten_no_wait(self, wall_step_ms):
        vm_moves = self.make_successor(19_000 + wall_step_ms)
        vm_moves._clear_arrivals(vm_moves.inventory.current_minions(), 32_900)
        assert "m-0" not in self.usable_vms(vm_moves)

    def test_settled_moves_are_recorded(self):
        vm_moves = self.make_successor(3_000)
        scheduler = vm_moves.scheduler
        scheduler.propose = scheduler.proposed.apply
        vm_moves._record_settled(20_000)
        assert not scheduler.proposed.workload.pending_moves
        assert not vm_moves.settled

    def test_a_later_move_of_a_settled_vm_is_pending(self):
        vm_moves = self.make_successor(3_000)
        settled = vm_moves._take_settled(20_000)
        vm_moves.scheduler.proposed.apply(
            NoteMachineOrders(
                machines=["m-0"], at_ms=20_000, moves={"m-0": "pool-a"}, settled=settled
            )
        )
        restored = decode_state(encode_state(vm_moves.scheduler.proposed.state))
        assert restored.workload.pending_moves == {"m-0": PendingMove(pool="pool-a", at_ms=20_000)}

    # A move whose outcome the leader knows is none of its successor's concern.
    @pytest.mark.parametrize(
        ("answer", "is_settled"),
        [(VmOrderAnswer.ORDERED, True), (VmOrderAnswer.BUSY, True), (None, False)],
    )
    def test_an_answered_move_is_settled(self, answer, is_settled):
        vm_moves = make_vm_moves(20_000)
        scheduler = vm_moves.scheduler

        class OneAnswer:
            async def move(self, vm: str, **order) -> VmOrderAnswer:
                if answer is None:
                    raise UnknownOutcomeError("no answer")
                return answer

        async def commit(command) -> None:
            scheduler.proposed.apply(command)

        scheduler.commit, scheduler.is_current, scheduler.term = commit, lambda: True, 1
        scheduler.replica = SimpleNamespace(node_id="a")
        scheduler.metrics = SimpleNamespace(event=lambda name: None)
        scheduler.mark_minion_gone = lambda minion, reason: None
        vm_moves.inventory.port = OneAnswer()
        minion = scheduler.fleet.minions["i-0"]
        move = VmMove(vm="m-0", source="pool-a", pool="spare")
        run_virtual(functools.partial(vm_moves._move, move, minion))
        assert scheduler.proposed.workload.pending_moves["m-0"].pool == "spare"
        assert (vm_moves.settled == {"m-0"}) is is_settled


class TestReturnedMinions:
    # A cordon was gone with the incarnation, and what its successor got ended with the move.
    def test_a_returned_minion_gets_no_work_while_its_move_may_take_effect(self):
        vm_moves = make_vm_moves(20_000)
        scheduler, inventory = vm_moves.scheduler, vm_moves.inventory
        first = scheduler.fleet.minions["i-0"]
        first.cordoned = True
        inventory.pending_orders["m-0"], vm_moves.arriving["m-0"] = 20_000, "spare"
        later = builders.minion("i-0", machine="m-0", born_ms=21_000)
        scheduler.fleet.minions["i-0"] = later
        vm_moves._clear_arrivals(inventory.current_minions(), 21_000)
        assert later.cordoned
        scheduler.notify = lambda: None
        vm_moves._give_back(VmMove(vm="m-0", source="pool-a", pool="spare"), first)
        assert not later.cordoned
