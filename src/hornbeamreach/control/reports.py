"""Taking entry processes' reports, and telling them how full the pools are."""

from __future__ import annotations

from hornbeamreach.link.messages import EntryReport, LoadsReport, PoolLoad
from hornbeamreach.tables.deltas import Delta, apply_delta, difference
from hornbeamreach.tables.sessions import Session


def take_report(session: Session, report: EntryReport) -> set[str]:
    """Take a report and return the teams whose slices should be planned again.

    A report of changes that count from another report than the known one is left; the
    process learns from the reply that it must send everything.
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


def build_loads(session: Session, known_number: int, loads: dict[str, PoolLoad]) -> LoadsReport:
    """Return what a process lacks of the loads, or all if it has not got the last report."""
    since = known_number if known_number == session.loads_number else 0
    delta = difference(session.loads_sent if since else {}, loads)
    if since and not delta.changed and not delta.removed:
        return LoadsReport(number=since, since=since)
    session.loads_number += 1
    session.loads_sent = dict(loads)
    return LoadsReport(
        number=session.loads_number, since=since, loads=delta.changed, removed=delta.removed
    )
