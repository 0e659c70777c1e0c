"""What one scheduler knows of the maintenance of VMs, by wave."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.workload import MaintenanceWave


@define(kw_only=True, eq=False)
class VmUpkeep:
    """Represent the maintenance of one VM for one wave during one scheduler's term."""

    vm: str
    # When draining began, on the local clock; None while the VM isn't drained.
    drain_began_ms: int | None = None
    # An order is being recorded or sent, or waits to be repeated.
    is_ordering: bool = False
    # When the platform accepted an order in this term, on the local clock; None before.
    confirmed_ms: int | None = None
    # The pending order of the VM is one of this maintenance, not a move.
    holds_vm: bool = False
    # A slow drain has been logged.
    is_slow_logged: bool = False


@define(kw_only=True, eq=False)
class VmUpkeeps:
    """Keep the maintenance of VMs that is under way, until each is finished for its wave."""

    by_wave: dict[int, dict[str, VmUpkeep]] = field(factory=dict)

    def get(self, wave: MaintenanceWave, vm: str) -> VmUpkeep | None:
        """Return a VM's maintenance for a wave, or None if this scheduler did nothing for it."""
        return self.by_wave.get(wave.number, {}).get(vm)

    def start(self, wave: MaintenanceWave, vm: str) -> VmUpkeep:
        """Return a VM's maintenance for a wave, a new one if there is none yet."""
        return self.by_wave.setdefault(wave.number, {}).setdefault(vm, VmUpkeep(vm=vm))

    def end(self, wave: MaintenanceWave, vm: str) -> VmUpkeep | None:
        """Forget a VM's maintenance for a wave, and return it."""
        return self.by_wave.get(wave.number, {}).pop(vm, None)

    def of(self, wave: MaintenanceWave) -> list[VmUpkeep]:
        """Return the maintenance of all VMs for a wave."""
        return list(self.by_wave.get(wave.number, {}).values())

    def selected(self, wave: MaintenanceWave) -> set[str]:
        """Return the VMs that are drained or ordered for a wave and not known to be down."""
        return {
            upkeep.vm
            for upkeep in self.of(wave)
            if upkeep.is_ordering or upkeep.drain_began_ms is not None
        }

    def is_selected_beside(self, wave: MaintenanceWave, vm: str) -> bool:
        """Return whether a VM is drained or ordered for another wave."""
        return any(
            vm in upkeeps and (upkeeps[vm].is_ordering or upkeeps[vm].drain_began_ms is not None)
            for number, upkeeps in self.by_wave.items()
            if number != wave.number
        )
