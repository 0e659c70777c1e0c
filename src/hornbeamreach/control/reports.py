"""Taking entry processes' reports, and telling them what room the pools have."""

from __future__ import annotations

from hornbeamreach.link.messages import EntryReport, RoomsReport
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


def build_rooms(session: Session, known_number: int, rooms: dict[str, int]) -> RoomsReport:
    """Return what a process lacks of the rooms, or all if it has not got the last report."""
    since = known_number if known_number == session.rooms_number else 0
    delta = difference(session.rooms_sent if since else {}, rooms)
    if since and not delta.changed and not delta.removed:
        return RoomsReport(number=since, since=since)
    session.rooms_number += 1
    session.rooms_sent = dict(rooms)
    return RoomsReport(
        number=session.rooms_number, since=since, rooms=delta.changed, removed=delta.removed
    )
