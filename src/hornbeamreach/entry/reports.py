"""Reports of an entry process to control, sent as changes once control has the first."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import define, field

from hornbeamreach.link.messages import EntryReport, FreeCapacityReport
from hornbeamreach.tables.deltas import Delta, apply_delta, compute_delta
from hornbeamreach.tables.reports import PermitUse, PoolLoad, VmReport


@define(frozen=True, kw_only=True)
class ReportContent:
    """Hold everything that one report stands for."""

    uses: Mapping[str, PermitUse] = field(factory=dict)
    vm_reports: Mapping[str, VmReport] = field(factory=dict)
    pool_loads: Mapping[str, PoolLoad] = field(factory=dict)


NO_CONTENT = ReportContent()


@define(kw_only=True)
class ReportSender:
    """Number reports, and remember which one control has."""

    number: int = 0
    sent: ReportContent = NO_CONTENT
    known_number: int = 0
    known: ReportContent = NO_CONTENT

    def build(self, content: ReportContent) -> EntryReport:
        """Return the changes since the report that control has."""
        self.number += 1
        self.sent = content
        known = self.known if self.known_number else NO_CONTENT
        uses = compute_delta(known.uses, content.uses)
        vms = compute_delta(known.vm_reports, content.vm_reports)
        loads = compute_delta(known.pool_loads, content.pool_loads)
        return EntryReport(
            number=self.number,
            since=self.known_number,
            uses=uses.changed,
            uses_removed=uses.removed,
            vm_reports=vms.changed,
            vm_reports_removed=vms.removed,
            pool_loads=loads.changed,
            pool_loads_removed=loads.removed,
        )

    def acknowledge(self, report_number: int) -> None:
        """Learn which report control has; another one than the last means to start anew."""
        if report_number == self.number:
            self.known_number, self.known = self.number, self.sent
        else:
            self.known_number, self.known = 0, NO_CONTENT


@define(kw_only=True)
class FreeCapacityReceiver:
    """Hold the free capacity of the pools of every data centre."""

    number: int = 0
    # "data centre/pool" -> free capacity
    by_place: dict[str, int] = field(factory=dict)

    def take(self, report: FreeCapacityReport) -> None:
        """Take changes that count from what is known, or everything."""
        if report.since and report.since != self.number:
            self.number = 0
            return
        if report.since and report.number == report.since:
            return
        base = self.by_place if report.since else {}
        self.by_place = apply_delta(
            base, Delta(changed=report.free_capacity, removed=report.removed)
        )
        self.number = report.number
