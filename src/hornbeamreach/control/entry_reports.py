"""Reports of entry processes, and the free capacity that is reported back to them."""

from __future__ import annotations

from hornbeamreach.link.messages import EntryReport, FreeCapacityReport
from hornbeamreach.tables.deltas import Delta, apply_delta, compute_delta
from hornbeamreach.tables.sessions import Session


def apply_report(session: Session, report: EntryReport) -> set[str]:
    """Apply a report and return the teams whose slices must be planned again.

    Changes relative to a report other than the latest applied one are ignored; the process
    learns from the reply that it must send a full report.
    """
    if report.since and report.since != session.report_number:
        return set()
    if not report.since:
        session.uses, session.vm_reports, session.pool_loads = {}, {}, {}
    before = session.uses
    session.uses = apply_delta(before, Delta(changed=report.uses, removed=report.uses_removed))
    session.vm_reports = apply_delta(
        session.vm_reports, Delta(changed=report.vm_reports, removed=report.vm_reports_removed)
    )
    session.pool_loads = apply_delta(
        session.pool_loads, Delta(changed=report.pool_loads, removed=report.pool_loads_removed)
    )
    session.report_number = report.number
    return {
        team
        for team, use in report.uses.items()
        if use.wanted or use.ceiling is not None or team not in before
    }


def build_free_capacity(
    session: Session, received_number: int, free_capacity: dict[str, int]
) -> FreeCapacityReport:
    """Return the changes since the report that a process has, or all if that report is unknown."""
    since = received_number if received_number == session.free_capacity_number else 0
    delta = compute_delta(session.free_capacity_sent if since else {}, free_capacity)
    if since and not delta.changed and not delta.removed:
        return FreeCapacityReport(number=since, since=since)
    session.free_capacity_number += 1
    session.free_capacity_sent = dict(free_capacity)
    return FreeCapacityReport(
        number=session.free_capacity_number,
        since=since,
        free_capacity=delta.changed,
        removed=delta.removed,
    )
