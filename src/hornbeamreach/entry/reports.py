"""Reports exchanged with control, sent as changes to the last acknowledged report."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import define, field

from hornbeamreach.link.messages import EntryReport, FreeCapacityReport
from hornbeamreach.tables.deltas import Delta, apply_delta, compute_delta
from hornbeamreach.tables.reports import PermitUse, PoolLoad, VmReport


@define(frozen=True, kw_only=True)
class ReportContent:
    """Hold the complete content of one report."""

    uses: Mapping[str, PermitUse] = field(factory=dict)
    vm_reports: Mapping[str, VmReport] = field(factory=dict)
    pool_loads: Mapping[str, PoolLoad] = field(factory=dict)


NO_CONTENT = ReportContent()


@define(kw_only=True)
class ReportSender:
    """Number and build reports; keep the one that control has acknowledged."""

    number: int = 0
    sent: ReportContent = NO_CONTENT
    acknowledged_number: int = 0
    acknowledged: ReportContent = NO_CONTENT

    def build(self, content: ReportContent) -> EntryReport:
        """Return the next report: the changes since the acknowledged one, or all content."""
        self.number += 1
        self.sent = content
        acknowledged = self.acknowledged if self.acknowledged_number else NO_CONTENT
        uses = compute_delta(acknowledged.uses, content.uses)
        vms = compute_delta(acknowledged.vm_reports, content.vm_reports)
        loads = compute_delta(acknowledged.pool_loads, content.pool_loads)
        return EntryReport(
            number=self.number,
            since=self.acknowledged_number,
            uses=uses.changed,
            uses_removed=uses.removed,
            vm_reports=vms.changed,
            vm_reports_removed=vms.removed,
            pool_loads=loads.changed,
            pool_loads_removed=loads.removed,
        )

    def acknowledge(self, report_number: int) -> None:
        """Record which report control has; unless it is the last one, the next report is full."""
        if report_number == self.number:
            self.acknowledged_number, self.acknowledged = self.number, self.sent
        else:
            self.acknowledged_number, self.acknowledged = 0, NO_CONTENT


@define(kw_only=True)
class FreeCapacityReceiver:
    """Hold the free capacity of the pools of every data centre."""

    number: int = 0
    # "data centre/pool" -> idle CPU minus queued demand, in thousandths of a core
    by_location: dict[str, int] = field(factory=dict)

    def apply(self, report: FreeCapacityReport) -> None:
        """Apply a full report or changes; request a full one if the changes have another base."""
        if report.since and report.since != self.number:
            self.number = 0
            return
        if report.since and report.number == report.since:
            return
        base = self.by_location if report.since else {}
        self.by_location = apply_delta(
            base, Delta(changed=report.free_capacity, removed=report.removed)
        )
        self.number = report.number
