"""VMs of waves that neither the platform's lists nor a minion's reports show."""

from __future__ import annotations

from collections.abc import Container

from attrs import define, evolve, field

from hornbeamreach.systems.vm_absence import Absence, AbsenceRule, absence_rules


@define(kw_only=True, eq=False)
class VmAbsences:
    """Follow the absences of VMs during one scheduler's term."""

    rule: AbsenceRule = field(factory=lambda: absence_rules.get("lists_over_time"))
    # Since when each VM is followed; an earlier list proves nothing about it.
    followed_ms: dict[str, int] = field(factory=dict)
    # VMs that the latest list does not name.
    absences: dict[str, Absence] = field(factory=dict)

    def update(
        self, vms: set[str], present: Container[str], *, listed_ms: int, now_ms: int
    ) -> None:
        """Take the latest list and the reports into account for all VMs to follow."""
        for vm in self.followed_ms.keys() - vms:
            del self.followed_ms[vm]
            self.absences.pop(vm, None)
        for vm in vms:
            followed_ms = self.followed_ms.setdefault(vm, now_ms)
            if vm in present:
                self.absences.pop(vm, None)
            elif listed_ms > followed_ms:
                self._extend(vm, listed_ms)

    def _extend(self, vm: str, listed_ms: int) -> None:
        known = self.absences.get(vm)
        if known is None:
            self.absences[vm] = Absence(since_ms=listed_ms, until_ms=listed_ms, lists=1)
        elif listed_ms > known.until_ms:
            self.absences[vm] = evolve(known, until_ms=listed_ms, lists=known.lists + 1)

    def is_gone(self, vm: str) -> bool:
        """Return whether a VM has been absent for long enough to be gone for good."""
        absence = self.absences.get(vm)
        return absence is not None and self.rule(absence)
