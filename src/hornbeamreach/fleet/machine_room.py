"""What one scheduler knows of machines: the platform's list beside the minions heard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from hornbeamreach.fleet.ports import Machine, MachinePort, MachineState, NoAnswerError
from hornbeamreach.logs import part_logger
from hornbeamreach.tables.minions import Minion

if TYPE_CHECKING:
    from hornbeamreach.fleet.scheduler import Scheduler

log = part_logger("machines")

# The platform wants orders for one machine from one scheduler at a time: a new one leaves a
# machine alone until the right of the one before to give orders has run out.
HANDOVER_MS = 3_000
# Added to that where the time of the earlier order is told by another machine's clock.
CLOCK_SKEW_MS = 3_000

# The list is read at most this often; each call to the platform has a price.
LIST_INTERVAL_MS = 1_500


@define(kw_only=True, eq=False)
class MachineRoom:
    """Keep the latest list of machines."""

    scheduler: Scheduler
    port: MachinePort
    machines: dict[str, Machine] = field(factory=dict)
    # When the latest list was asked for; -1 before the first.
    listed_ms: int = -1
    tried_ms: int = -LIST_INTERVAL_MS
    # Machines that an order of ours is under way for, by when it was given.
    busy: dict[str, int] = field(factory=dict)
    # When the latest order of ours for a machine was over.
    released_ms: dict[str, int] = field(factory=dict)
    # Machines that this scheduler gave orders for.
    ordered: set[str] = field(factory=set)

    async def refresh(self) -> bool:
        """Read the list if it is old; tell whether there is one."""
        now_ms = self.scheduler.clock.now_ms()
        if now_ms - self.tried_ms >= LIST_INTERVAL_MS:
            self.tried_ms = now_ms
            try:
                found = await self.port.list_machines()
            except NoAnswerError as exc:
                log.warning("machines not listed: {}", exc)
                self.scheduler.metrics.event("machines_not_listed")
            else:
                self.machines = {machine.machine: machine for machine in found}
                self.listed_ms = now_ms
        return self.listed_ms >= 0

    def may_order(self, machine: str) -> bool:
        """Tell whether no earlier scheduler can still be giving orders for a machine."""
        scheduler = self.scheduler
        if scheduler.clock.now_ms() - scheduler.began_ms >= HANDOVER_MS:
            return True
        began_wall_ms = scheduler.clock.wall_ms() - (scheduler.clock.now_ms() - scheduler.began_ms)
        ordered_ms = scheduler.ahead.workload.machine_orders.get(machine)
        if ordered_ms is None or ordered_ms >= began_wall_ms:
            return ordered_ms is None or machine in self.ordered
        return began_wall_ms - ordered_ms > HANDOVER_MS + CLOCK_SKEW_MS

    def release(self, machine: str) -> None:
        """Take note that an order for a machine is over."""
        if self.busy.pop(machine, None) is not None:
            self.released_ms[machine] = self.scheduler.clock.now_ms()

    def minions(self) -> dict[str, Minion]:
        """Return the present minion of each machine that one was heard of."""
        latest: dict[str, Minion] = {}
        for minion in self.scheduler.books.minions.values():
            machine = minion.report.machine or minion.minion_id
            known = latest.get(machine)
            if known is None or known.report.born_ms < minion.report.born_ms:
                latest[machine] = minion
        # Where the latest life has ended, earlier ones that were never seen to end have too.
        return {machine: minion for machine, minion in latest.items() if not minion.gone}

    def parked(self) -> list[Machine]:
        """List the machines that are off in a standby pool and can be ordered about."""
        pools = self.scheduler.ahead.state.table.pools
        # The list may be older than a move that has ended since.
        heard = self.minions()
        return [
            machine
            for machine in self.machines.values()
            if machine.state is MachineState.UP
            and machine.machine not in self.busy
            and machine.machine not in heard
            and self.listed_ms > self.released_ms.get(machine.machine, -1)
            and self.may_order(machine.machine)
            and machine.pool in pools
            and pools[machine.pool].standby
        ]
