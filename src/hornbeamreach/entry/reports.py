"""Reports of an entry process to control, sent as changes once control has the first."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import define, field

from hornbeamreach.link.messages import (
    EntryReport,
    LoadsReport,
    PoolLoad,
    TeamUse,
    VmReport,
)
from hornbeamreach.tables.deltas import Delta, apply_delta, difference


@define(frozen=True, kw_only=True)
class ReportContent:
    """Hold everything that one report stands for."""

    uses: Mapping[str, TeamUse] = field(factory=dict)
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
        uses = difference(known.uses, content.uses)
        vms = difference(known.vm_reports, content.vm_reports)
        loads = difference(known.pool_loads, content.pool_loads)
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
class LoadsReceiver:
    """Hold how full the pools of every data centre are."""

    number: int = 0
    flat: dict[str, PoolLoad] = field(factory=dict)
    by_data_center: dict[str, dict[str, PoolLoad]] = field(factory=dict)

    def take(self, report: LoadsReport) -> None:
        """Take changes that count from what is known, or everything."""
        if report.since and report.since != self.number:
            self.number = 0
            return
        if report.since and report.number == report.since:
            return
        base = self.flat if report.since else {}
        self.flat = apply_delta(base, Delta(changed=report.loads, removed=report.removed))
        self.number = report.number
        grouped: dict[str, dict[str, PoolLoad]] = {}
        for path, load in self.flat.items():
            data_center, _, pool = path.partition("/")
            grouped.setdefault(data_center, {})[pool] = load
        self.by_data_center = grouped
