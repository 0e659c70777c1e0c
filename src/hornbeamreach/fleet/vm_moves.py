"""Move VMs between pools, as decided by the configured mover."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.control.workload_commands import NoteMachineOrders
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.fleet.pool_needs import (
    largest_minions,
    lasting_needs,
    pools_with_tasks_in_need,
    queued_cpu,
    running_cpu,
)
from hornbeamreach.fleet.ports import PlatformVmState, UnknownOutcomeError, VmOrderAnswer
from hornbeamreach.fleet.vm_inventory import CLOCK_SKEW_MS, FIRST_REPORTS_MS, VmInventory
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.demand_forecast import Forecaster, forecasters
from hornbeamreach.systems.pool_moves import (
    PoolDemand,
    PoolDemands,
    PoolMover,
    VmMove,
    pool_movers,
    useful_shortfall,
)
from hornbeamreach.systems.suspect_isolation import empty_in_ms
from hornbeamreach.systems.vm_drains import DrainCandidate, DrainPolicy, drain_policies
from hornbeamreach.tables.minions import Minion

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

log = part_logger("moves")

TICK_MS = 200
MAX_LOGGED_VMS = 20
# More than a move takes, which is 1.5 s and a heartbeat. A list requested half this long after
# an order shows its effect; after a rejected order, the VM gets no other one for this long.
ARRIVAL_MS = 4_000
# An order with an unknown outcome may take effect this much later; until then nothing new runs
# on the VM.
LATE_ORDER_MS = 13_000
# Settled moves are recorded with the next move, or by themselves after this time.
SETTLED_RECORD_INTERVAL_MS = 500
# A long-running task or a suspect of a crash that is queued this long is taken to have no minion in
# its pool: a start takes tens of ms, and 3 s without a run are too long.
SHORTFALL_MS = 600
# A pool without long-running tasks keeps this many VMs for its first jobs.
MIN_VMS = 2


@define(kw_only=True, eq=False)
class VmMoves:
    """Move VMs between pools during one scheduler's term."""

    scheduler: StepScheduler
    inventory: VmInventory
    mover: PoolMover = field(factory=lambda: pool_movers.get("useful_first"))
    forecaster: Forecaster = field(factory=lambda: forecasters.get("arrival_rate"))
    drain_policy: DrainPolicy = field(factory=lambda: drain_policies.get("late_work_yields"))
    # VMs that take no new work, for another pool.
    drained: set[str] = field(factory=set)
    # Target pool of VMs that are being moved, by VM.
    arriving: dict[str, str] = field(factory=dict)
    # An idle VM that was moved is idle since before its move, so that one that is not needed on
    # its arrival leaves at once: counted from its arrival, pools held 5 % more VM seconds.
    idle_since_ms: dict[str, int] = field(factory=dict)
    # Since when a long-running task or a suspect of a crash is queued, by pool.
    shortfall_since_ms: dict[str, int] = field(factory=dict)

    # VMs whose moves can take no more effect, and when such ones were last recorded.
    settled: set[str] = field(factory=set)
    settled_recorded_ms: int = 0

    async def run(self) -> None:
        """Move VMs until cancelled."""
        self.inherit_moves()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(seconds(TICK_MS))
                now_ms = self.scheduler.clock.now_ms()
                if self.scheduler.nursery is None or not await self.inventory.refresh():
                    continue
                if not self.scheduler.is_current():
                    continue
                self._record_settled(now_ms)
                if self.scheduler.effort().moves:
                    self._tick(nursery, now_ms)
                else:
                    self.end_drains()

    def inherit_moves(self) -> None:
        """Keep VMs free that moves of earlier schedulers may still end everything on."""
        scheduler = self.scheduler
        wall_ms = scheduler.clock.wall_ms()
        for vm, move in scheduler.proposed.workload.pending_moves.items():
            age_ms = wall_ms - move.at_ms
            if age_ms > LATE_ORDER_MS + CLOCK_SKEW_MS:
                self.settled.add(vm)
                continue
            log.bind(machine=vm, pool=move.pool, age_ms=age_ms, term=scheduler.term).info(
                "a move of an earlier leader may take effect"
            )
            self.inventory.pending_orders[vm] = scheduler.began_ms
            self.arriving[vm] = move.pool
            scheduler.fleet.inherited_moves.add(vm)

    def _record_settled(self, now_ms: int) -> None:
        """Record the settled moves, if no other move has done so for a while."""
        if self.settled and now_ms - self.settled_recorded_ms >= SETTLED_RECORD_INTERVAL_MS:
            at_ms = self.scheduler.clock.wall_ms()
            settled = self._take_settled(now_ms)
            self.scheduler.propose(NoteMachineOrders(machines=[], at_ms=at_ms, settled=settled))

    def _take_settled(self, now_ms: int) -> list[str]:
        settled, self.settled = sorted(self.settled), set()
        self.settled_recorded_ms = now_ms
        return settled

    def _tick(self, nursery: trio.Nursery, now_ms: int) -> None:
        minions = self.inventory.current_minions()
        self._clear_arrivals(minions, now_ms)
        demands = self.pool_demands(minions, now_ms)
        self.scheduler.job_admission.standby_vms = len(self.arriving) + sum(
            demand.vms for demand in demands.by_pool.values() if demand.standby
        )
        moves = self.mover(demands)
        _log_moves(demands, moves)
        self.drain_vms(minions, demands, now_ms)
        for move in moves:
            minion = minions.get(move.vm)
            if minion is not None and minion.report.pool == move.source:
                minion.cordoned = True
            self.inventory.pending_orders[move.vm] = now_ms
            self.arriving[move.vm] = move.pool
            nursery.start_soon(self._move, move, minion)

    def _clear_arrivals(self, minions: dict[str, Minion], now_ms: int) -> None:
        for vm, pool in list(self.arriving.items()):
            minion = minions.get(vm)
            has_arrived = (
                minion is not None and minion.report.pool == pool and minion.polled_ms >= 0
            )
            listed = self.inventory.vms.get(vm)
            is_listed = (
                listed is not None
                and listed.pool == pool
                and self.inventory.listed_ms
                > (self.inventory.pending_orders.get(vm, now_ms) + ARRIVAL_MS // 2)
            )
            if (
                has_arrived
                or is_listed
                or now_ms - self.inventory.pending_orders.get(vm, now_ms) > LATE_ORDER_MS
            ):
                del self.arriving[vm]
                self.inventory.end_order(vm)
                self.scheduler.fleet.inherited_moves.discard(vm)
                self.settled.add(vm)
                if minion is None:
                    continue
                if is_listed and minion.report.pool != pool:
                    # The answer to the order was lost, but the list shows its effect: the
                    # incarnation in the former pool has ended.
                    log.bind(machine=vm, pool=pool).info("the list shows an unanswered move")
                    self.scheduler.mark_minion_gone(minion, "moved")
                else:
                    # A move with an unknown outcome has not taken effect by now.
                    minion.cordoned = False
            elif minion is not None and minion.report.pool != pool:
                # A later incarnation, which the move may end as well.
                minion.cordoned = True

    # Drains

    def drain_vms(self, minions: dict[str, Minion], demands: PoolDemands, now_ms: int) -> None:
        """Let the VMs that the policy chooses take no new work, and return the others."""
        candidates = [
            DrainCandidate(vm=vm, pool=minion.report.pool, empty_in_ms=empty_in_ms(minion, now_ms))
            for vm, minion in minions.items()
            if minion.runs and self._may_drain(vm, minion, now_ms)
        ]
        chosen = set(self.drain_policy(demands, candidates))
        # A VM that has become empty is offered to the mover in its pool's idle ones.
        for vm in self.drained - chosen:
            if vm in minions:
                minions[vm].yielding = False
        for vm in chosen - self.drained:
            minions[vm].yielding = True
        if chosen - self.drained:
            log.bind(
                machines=sorted(chosen - self.drained)[:MAX_LOGGED_VMS],
                pools=dict(Counter(minions[vm].report.pool for vm in chosen)),
                late={
                    p: d.late_cpu_millis for p, d in demands.by_pool.items() if d.late_cpu_millis
                },
                wanted={
                    p: missing
                    for p, d in demands.by_pool.items()
                    if (missing := useful_shortfall(d))
                },
            ).info("{} VMs take no new work, for other pools", len(chosen))
            self.scheduler.metrics.event("vm_drained_for_move")
        self.drained = chosen

    def end_drains(self) -> None:
        """Let all VMs take new work again: while no moves are decided, none would get them."""
        if not self.drained:
            return
        log.bind(machines=sorted(self.drained)[:MAX_LOGGED_VMS]).info(
            "{} VMs take new work again, as moves pause", len(self.drained)
        )
        for vm, minion in self.inventory.current_minions().items():
            if vm in self.drained:
                minion.yielding = False
        self.drained = set()
        self.scheduler.notify()

    def _may_drain(self, vm: str, minion: Minion, now_ms: int) -> bool:
        """Return whether a VM may move once its short tasks have ended."""
        is_ending = minion.report.leaving or minion.report.draining
        if is_ending or minion.cordoned or minion.suspects or minion.is_silent(now_ms):
            # The runs of a silent minion seem to end at once, but its VM can't be used elsewhere.
            return False
        if minion.minion_id in self.scheduler.fleet.held_minions:
            return False
        if minion.report.data_center in self.scheduler.proposed.workload.evacuated:
            return False
        if vm in self.inventory.pending_orders or not self.inventory.may_order(vm):
            return False
        return not any(run.lasting for run in minion.runs.values())

    # Demand

    def pool_demands(self, minions: dict[str, Minion], now_ms: int) -> PoolDemands:
        """Return each pool's VMs and the demand on it."""
        table = self.scheduler.proposed.state.table
        fleet = self.scheduler.fleet
        evacuated = self.scheduler.proposed.workload.evacuated
        vm_sizes = largest_minions(minions.values())
        running, lasting = running_cpu(fleet), lasting_needs(fleet)
        queued = queued_cpu(fleet, self.scheduler.clock.wall_ms())
        arrivals = fleet.arrivals
        rates = arrivals.measure(now_ms, fleet.run_times.factor)
        shortfall = self._pools_with_shortfall(now_ms)
        by_pool: dict[str, list[tuple[str, Minion]]] = {}
        for vm, minion in minions.items():
            is_ending = minion.report.leaving or minion.report.draining
            if minion.report.data_center in evacuated:
                self.idle_since_ms.pop(vm, None)
            elif not is_ending and not minion.is_silent(now_ms):
                by_pool.setdefault(minion.report.pool, []).append((vm, minion))
        arriving = Counter(
            pool for vm, pool in self.arriving.items() if not self._is_evacuated(vm)
        ) + self._unreported_vms(minions, now_ms)
        pool_demands = {}
        for pool, row in table.pools.items():
            members = by_pool.get(pool, [])
            if row.standby:
                standby_vms = tuple(
                    (vm.name, 0)
                    for vm in self.inventory.standby_vms()
                    if vm.data_center not in evacuated
                )
                pool_demands[pool] = PoolDemand(
                    pool=pool, standby=True, vms=len(standby_vms), idle=standby_vms
                )
                continue
            pool_demands[pool] = PoolDemand(
                pool=pool,
                vms=len([m for m, _ in members if m not in self.arriving]),
                arriving=arriving[pool],
                vm_cpu_millis=max(
                    (minion.report.capacity.cpu_millis for _, minion in members),
                    # A pool whose VMs are all evacuated gets VMs of the size that it had.
                    default=vm_sizes.get(pool, 0) if evacuated else 0,
                ),
                demand_cpu_millis=running.get(pool, 0)
                + (queued[pool].total if pool in queued else 0),
                late_cpu_millis=queued[pool].late if pool in queued else 0,
                running_cpu_millis=running.get(pool, 0),
                lasting_cpu_millis=lasting[pool].cpu_millis if pool in lasting else 0,
                forecast_cpu_millis=(
                    self.forecaster(rates[pool], arrivals.peak_cpu_millis) if pool in rates else 0
                ),
                minimum=max(
                    MIN_VMS,
                    lasting[pool].minions + 1 if pool in lasting else 1,
                    len(members) + 1 if pool in shortfall else 0,
                ),
                idle=self._idle(members, now_ms),
            )
        return PoolDemands(by_pool=pool_demands)

    def _unreported_vms(self, minions: dict[str, Minion], now_ms: int) -> Counter[str]:
        """Count by pool the VMs whose minions this scheduler has not heard from yet.

        For a while VMs in the platform's list count for their pools.
        An earlier scheduler may have moved them to the pool a moment ago.
        """
        if now_ms - self.scheduler.began_ms > FIRST_REPORTS_MS:
            return Counter()
        return Counter(
            vm.pool
            for vm in self.inventory.vms.values()
            if vm.state in (PlatformVmState.UP, PlatformVmState.MOVING)
            and vm.name not in minions
            and vm.name not in self.arriving
            and vm.data_center not in self.scheduler.proposed.workload.evacuated
        )

    def _is_evacuated(self, vm: str) -> bool:
        listed = self.inventory.vms.get(vm)
        evacuated = self.scheduler.proposed.workload.evacuated
        return listed is not None and listed.data_center in evacuated

    def _idle(self, members: list[tuple[str, Minion]], now_ms: int) -> tuple[tuple[str, int], ...]:
        found = []
        for vm, minion in members:
            is_unavailable = vm in self.inventory.pending_orders or not self.inventory.may_order(vm)
            is_held = minion.minion_id in self.scheduler.fleet.held_minions
            if minion.runs or minion.cordoned or is_unavailable or is_held:
                self.idle_since_ms.pop(vm, None)
            else:
                since_ms = self.idle_since_ms.setdefault(vm, now_ms)
                found.append((vm, now_ms - since_ms))
        return tuple(sorted(found, key=lambda item: -item[1]))

    def _pools_with_shortfall(self, now_ms: int) -> set[str]:
        """Return the pools with a long-running task or a suspect queued for `SHORTFALL_MS`."""
        wall_ms = self.scheduler.clock.wall_ms()
        queued = pools_with_tasks_in_need(self.scheduler.fleet, wall_ms)
        self.shortfall_since_ms = {
            pool: self.shortfall_since_ms.get(pool, now_ms) for pool in queued
        }
        return {
            pool
            for pool, since_ms in self.shortfall_since_ms.items()
            if now_ms - since_ms >= SHORTFALL_MS
        }

    # Orders

    async def _move(self, move: VmMove, minion: Minion | None) -> None:
        scheduler = self.scheduler
        vm_log = log.bind(machine=move.vm, source=move.source, pool=move.pool)
        try:
            self.inventory.ordered_vms.add(move.vm)
            at_ms = scheduler.clock.wall_ms()
            settled = self._take_settled(scheduler.clock.now_ms())
            await scheduler.commit(
                NoteMachineOrders(
                    machines=[move.vm], at_ms=at_ms, moves={move.vm: move.pool}, settled=settled
                )
            )
            if not self._may_carry_out(move, minion):
                vm_log.bind(term=scheduler.term).info(
                    "move given back: the VM is not as it was when the move was decided"
                )
                scheduler.metrics.event("move_given_back")
                self._give_back(move, minion)
                return
            answer = await self.inventory.port.move(
                move.vm,
                pool=move.pool,
                holder=scheduler.replica.node_id,
                token=scheduler.term,
            )
        except (NotLeaderError, RefusedError) as exc:
            vm_log.info("move not ordered: {}", exc)
            return
        except UnknownOutcomeError as exc:
            vm_log.warning("move has an unknown outcome and may take effect late: {}", exc)
            scheduler.metrics.event("move_unanswered")
            return
        vm_log.info("platform answered the move: {}", answer.value)
        scheduler.metrics.event(f"move_{answer.value}")
        self.settled.add(move.vm)
        if answer is VmOrderAnswer.ORDERED:
            # A VM that is already in the pool gets the same answer, and then nothing on it ended.
            if minion is not None and minion.report.pool != move.pool:
                scheduler.mark_minion_gone(minion, "moved")
            return
        self.arriving.pop(move.vm, None)
        self._uncordon(move, minion)
        await trio.sleep(seconds(ARRIVAL_MS))
        self.inventory.end_order(move.vm)

    def _may_carry_out(self, move: VmMove, minion: Minion | None) -> bool:
        """Return whether a move that was decided before its commit may be ordered now.

        It ends all that runs on the VM, and the commit may have taken seconds.
        """
        scheduler = self.scheduler
        if not scheduler.is_current() or self.inventory.current_minions().get(move.vm) != minion:
            return False
        if (minion is not None and minion.runs) or self._is_evacuated(move.vm):
            return False
        return move.vm not in scheduler.fleet.vms_kept_free()

    def _give_back(self, move: VmMove, minion: Minion | None) -> None:
        self.arriving.pop(move.vm, None)
        self.inventory.end_order(move.vm)
        self.settled.add(move.vm)
        self._uncordon(move, minion)
        self.scheduler.notify()

    def _uncordon(self, move: VmMove, minion: Minion | None) -> None:
        """Let a VM whose move is not ordered get work again, in its latest incarnation too."""
        for incarnation in (minion, self.inventory.current_minions().get(move.vm)):
            if incarnation is not None:
                incarnation.cordoned = False


def _log_moves(demands: PoolDemands, moves: list[VmMove]) -> None:
    """Log one line for each pool that gets VMs, with what decided their number."""
    counts = Counter(move.pool for move in moves)
    for pool, count in counts.items():
        demand = demands.by_pool[pool]
        log.bind(
            pool=pool,
            vms=demand.vms,
            arriving=demand.arriving,
            running=demand.running_cpu_millis,
            queued=demand.demand_cpu_millis - demand.running_cpu_millis,
            forecast=demand.forecast_cpu_millis,
            lasting=demand.lasting_cpu_millis,
        ).info("{} VMs move to the pool", count)
