"""The platform's list of VMs, matched with the minions that report to the scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from hornbeamreach.fleet.ports import PlatformVm, PlatformVmState, UnknownOutcomeError, VmPort
from hornbeamreach.logs import part_logger
from hornbeamreach.tables.minions import Minion

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

log = part_logger("machines")

# The platform accepts orders for a VM from one scheduler at a time: a new scheduler waits until
# its predecessor's right to give orders has lapsed.
ORDER_HANDOVER_MS = 3_000
# Added where the time of the earlier order was read from another host's clock.
CLOCK_SKEW_MS = 3_000

# A new scheduler hears from every minion within two heartbeats.
FIRST_REPORTS_MS = 3_000
# Limits the rate of list calls, because each call to the platform has a cost.
MIN_LIST_INTERVAL_MS = 1_500
# The same for an operator's request that waits for the list.
MIN_REQUESTED_LIST_INTERVAL_MS = 200


@define(kw_only=True, eq=False)
class VmInventory:
    """Keep the latest list of VMs and the orders given for them."""

    scheduler: StepScheduler
    port: VmPort
    vms: dict[str, PlatformVm] = field(factory=dict)
    # When the latest list was requested; -1 before the first.
    listed_ms: int = -1
    list_attempt_ms: int = -MIN_LIST_INTERVAL_MS
    # Time at which this scheduler's pending order was given, by VM.
    pending_orders: dict[str, int] = field(factory=dict)
    # When this scheduler's latest order ended, by VM.
    order_ended_ms: dict[str, int] = field(factory=dict)
    # VMs that this scheduler has given orders for.
    ordered_vms: set[str] = field(factory=set)

    async def refresh(self, *, min_interval_ms: int = MIN_LIST_INTERVAL_MS) -> bool:
        """Read the list again if it is old, and return whether there is a list."""
        now_ms = self.scheduler.clock.now_ms()
        if now_ms - self.list_attempt_ms >= min_interval_ms:
            self.list_attempt_ms = now_ms
            try:
                listed = await self.port.list_vms()
            except UnknownOutcomeError as exc:
                log.warning("cannot list VMs: {}", exc)
                self.scheduler.metrics.event("machines_not_listed")
            except Exception as exc:
                # The scheduler that takes over would read the same list.
                log.error("list of VMs not read, unexpected error: {!r}", exc)
                self.scheduler.metrics.event("machines_not_listed")
            else:
                # A list of several pages may arrive after one that was requested later.
                if now_ms > self.listed_ms:
                    self.vms = {vm.name: vm for vm in listed}
                    self.listed_ms = now_ms
        return self.listed_ms >= 0

    def may_order(self, vm: str) -> bool:
        """Return whether no earlier scheduler can still give orders for a VM."""
        scheduler = self.scheduler
        if scheduler.clock.now_ms() - scheduler.began_ms >= ORDER_HANDOVER_MS:
            return True
        began_wall_ms = scheduler.clock.wall_ms() - (scheduler.clock.now_ms() - scheduler.began_ms)
        ordered_ms = scheduler.proposed.workload.machine_orders.get(vm)
        if ordered_ms is None or ordered_ms >= began_wall_ms:
            return ordered_ms is None or vm in self.ordered_vms
        return began_wall_ms - ordered_ms > ORDER_HANDOVER_MS + CLOCK_SKEW_MS

    def end_order(self, vm: str) -> None:
        """Record that an order for a VM has ended."""
        if self.pending_orders.pop(vm, None) is not None:
            self.order_ended_ms[vm] = self.scheduler.clock.now_ms()

    def current_minions(self) -> dict[str, Minion]:
        """Return the latest minion on each VM that has a live one."""
        latest: dict[str, Minion] = {}
        for minion in self.scheduler.fleet.minions.values():
            known = latest.get(minion.vm)
            if known is None or known.report.born_ms < minion.report.born_ms:
                latest[minion.vm] = minion
        # If the latest incarnation has ended, so have earlier ones whose end was not observed.
        return {vm: minion for vm, minion in latest.items() if not minion.gone}

    def standby_vms(self) -> list[PlatformVm]:
        """Return the VMs that are off in a standby pool and may be given an order."""
        pools = self.scheduler.proposed.state.table.pools
        # The list may predate a move that has finished since.
        reporting = self.current_minions()
        return [
            vm
            for vm in self.vms.values()
            if vm.state is PlatformVmState.UP
            and vm.name not in self.pending_orders
            and vm.name not in reporting
            and self.listed_ms > self.order_ended_ms.get(vm.name, -1)
            and self.may_order(vm.name)
            and vm.pool in pools
            and pools[vm.pool].standby
        ]
