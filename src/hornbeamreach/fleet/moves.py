"""Moving machines between pools as the mover of the settings says."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.control.workload_log import NoteMachineOrders
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.fleet.machine_room import MachineRoom
from hornbeamreach.fleet.ports import MachineAnswer, NoAnswerError
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.pool_moves import PoolDemand, PoolDemands, PoolMover, VmMove, pool_movers
from hornbeamreach.tables.minions import Minion
from hornbeamreach.tables.workload import StepJob

if TYPE_CHECKING:
    from hornbeamreach.fleet.scheduler import Scheduler

log = part_logger("moves")

STEP_MS = 200
# A moved machine counts as arriving for this long; its move takes 1.5 s and a heartbeat.
ARRIVAL_MS = 4_000
# An order without an answer may be carried out this much later; until then nothing new runs
# on the machine.
LATE_ORDER_MS = 13_000
# A lasting task that waits longer than this finds no minion in its pool: a start takes tens
# of ms, and 3 s without a run are too long.
LACKING_MS = 600
# A pool without lasting tasks keeps this many machines for its first jobs.
LEAST_MACHINES = 2


@define(kw_only=True, eq=False)
class PoolMoves:
    """Carry out the moves of one scheduler's term."""

    scheduler: Scheduler
    room: MachineRoom
    mover: PoolMover = field(factory=lambda: pool_movers.get("follow_turns"))
    # Target pool of machines under way, by machine.
    arriving: dict[str, str] = field(factory=dict)
    idle_since_ms: dict[str, int] = field(factory=dict)
    # Since when a lasting task waits, by pool.
    lacking_since_ms: dict[str, int] = field(factory=dict)

    async def run(self) -> None:
        """Move machines until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(seconds(STEP_MS))
                now_ms = self.scheduler.clock.now_ms()
                if self.scheduler.nursery is None or not await self.room.refresh():
                    continue
                if self.scheduler.is_current():
                    self._step(nursery, now_ms)

    def _step(self, nursery: trio.Nursery, now_ms: int) -> None:
        minions = self.room.minions()
        self._note_arrivals(minions, now_ms)
        for move in self.mover(self.loads(minions, now_ms)):
            minion = minions.get(move.vm)
            if minion is not None and minion.report.pool == move.source:
                minion.cordoned = True
            self.room.busy[move.vm] = now_ms
            self.arriving[move.vm] = move.pool
            nursery.start_soon(self._move, move, minion)

    def _note_arrivals(self, minions: dict[str, Minion], now_ms: int) -> None:
        for machine, pool in list(self.arriving.items()):
            minion = minions.get(machine)
            here = minion is not None and minion.report.pool == pool and minion.looked_ms >= 0
            listed = self.room.machines.get(machine)
            parked = (
                listed is not None
                and listed.pool == pool
                and self.room.listed_ms > (self.room.busy.get(machine, now_ms) + ARRIVAL_MS // 2)
            )
            if here or parked or now_ms - self.room.busy.get(machine, now_ms) > LATE_ORDER_MS:
                del self.arriving[machine]
                self.room.release(machine)
                if minion is not None:
                    # A move that was never answered and was not carried out either.
                    minion.cordoned = False

    # Loads

    def loads(self, minions: dict[str, Minion], now_ms: int) -> PoolDemands:
        """Return what each pool has and is asked for."""
        table = self.scheduler.ahead.state.table
        demand, least = self._demand(), self._least()
        lacking = self._lacking(now_ms)
        by_pool: dict[str, list[tuple[str, Minion]]] = {}
        for machine, minion in minions.items():
            ends = minion.report.leaving or minion.report.draining
            if not ends and not minion.is_silent(now_ms):
                by_pool.setdefault(minion.report.pool, []).append((machine, minion))
        loads = {}
        for pool, row in table.pools.items():
            members = by_pool.get(pool, [])
            if row.standby:
                parked = tuple((machine.machine, 0) for machine in self.room.parked())
                loads[pool] = PoolDemand(pool=pool, standby=True, vms=len(parked), idle=parked)
                continue
            loads[pool] = PoolDemand(
                pool=pool,
                vms=len([m for m, _ in members if m not in self.arriving]),
                arriving=sum(1 for target in self.arriving.values() if target == pool),
                vm_cpu_millis=max(
                    (minion.report.capacity.cpu_millis for _, minion in members), default=0
                ),
                demand_cpu_millis=demand.get(pool, 0),
                minimum=max(
                    LEAST_MACHINES,
                    least.get(pool, 0) + 1,
                    len(members) + 1 if pool in lacking else 0,
                ),
                idle=self._idle(members, now_ms),
            )
        return PoolDemands(by_pool=loads)

    def _idle(self, members: list[tuple[str, Minion]], now_ms: int) -> tuple[tuple[str, int], ...]:
        found = []
        for machine, minion in members:
            busy = machine in self.room.busy or not self.room.may_order(machine)
            if minion.runs or minion.cordoned or busy:
                self.idle_since_ms.pop(machine, None)
            else:
                since_ms = self.idle_since_ms.setdefault(machine, now_ms)
                found.append((machine, now_ms - since_ms))
        return tuple(sorted(found, key=lambda item: -item[1]))

    def _demand(self) -> dict[str, int]:
        """Add up what running and waiting tasks take, by pool."""
        books = self.scheduler.books
        demand: dict[str, int] = {}
        for minion in books.minions.values():
            pool = minion.report.pool
            demand[pool] = demand.get(pool, 0) + minion.used.cpu_millis
        for job_id, steps in books.ready.items():
            job = books.job(job_id)
            if job is None:
                continue
            pool = books.pool_of(job)
            for step in steps:
                needs = job.spec.steps[step.step].needs.cpu_millis
                demand[pool] = demand.get(pool, 0) + needs * len(step.indexes)
        return demand

    def _least(self) -> dict[str, int]:
        """Count the distinct minions that lasting tasks need, by pool."""
        books = self.scheduler.books
        least: dict[str, int] = {}
        for job in books.ahead.workload.jobs.values():
            if not job.ended and job.spec.lasting:
                pool = books.pool_of(job)
                least[pool] = max(least.get(pool, 0), _distinct_minions(job))
        return least

    def _lacking(self, now_ms: int) -> set[str]:
        """Name the pools where a lasting task has waited for a minion for a while."""
        books = self.scheduler.books
        waiting = set()
        for job_id, steps in books.ready.items():
            job = books.job(job_id)
            if job is not None and any(job.spec.steps[step.step].lasting for step in steps):
                waiting.add(books.pool_of(job))
        self.lacking_since_ms = {pool: self.lacking_since_ms.get(pool, now_ms) for pool in waiting}
        return {
            pool
            for pool, since_ms in self.lacking_since_ms.items()
            if now_ms - since_ms >= LACKING_MS
        }

    # Orders

    async def _move(self, move: VmMove, minion: Minion | None) -> None:
        scheduler = self.scheduler
        bound = log.bind(machine=move.vm, source=move.source, pool=move.pool)
        try:
            self.room.ordered.add(move.vm)
            at_ms = scheduler.clock.wall_ms()
            await scheduler.commit(NoteMachineOrders(machines=[move.vm], at_ms=at_ms))
            answer = await self.room.port.move(
                move.vm,
                pool=move.pool,
                holder=scheduler.replica.node_id,
                token=scheduler.term,
            )
        except (NotLeaderError, RefusedError) as exc:
            bound.info("move not ordered: {}", exc)
            return
        except NoAnswerError as exc:
            bound.warning("move unanswered, it may be carried out late: {}", exc)
            scheduler.metrics.event("move_unanswered")
            return
        bound.info("move: {}", answer.value)
        scheduler.metrics.event(f"move_{answer.value}")
        if answer is MachineAnswer.ORDERED:
            # The order is answered so too where the machine was in that pool already, and then
            # it ended nothing.
            if minion is not None and minion.report.pool != move.pool:
                scheduler.end_of_life(minion, "moved")
            return
        self.arriving.pop(move.vm, None)
        if minion is not None:
            minion.cordoned = False
        await trio.sleep(seconds(ARRIVAL_MS))
        self.room.release(move.vm)


def _distinct_minions(job: StepJob) -> int:
    counts = [
        -(-step.count // step.max_per_minion)
        for step in job.spec.steps
        if step.lasting and step.max_per_minion
    ]
    return max(counts, default=1)
