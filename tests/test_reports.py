"""Incremental reports: lost requests, lost replies and new leaders lose no content."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hornbeamreach.control.entry_reports import apply_report, build_free_capacity
from hornbeamreach.entry.reports import FreeCapacityReceiver, ReportContent, ReportSender
from hornbeamreach.tables.reports import PermitUse, VmReport
from hornbeamreach.tables.sessions import Session

TABLES = st.lists(
    st.dictionaries(st.sampled_from(["a", "b", "c"]), st.integers(0, 3)), min_size=1, max_size=12
)
# Outcome of each exchange: success, a lost request, a lost reply, or a new leader without
# the earlier reports.
EXCHANGE_OUTCOMES = st.lists(
    st.sampled_from(["works", "works", "request", "reply", "leader", "leader, reply"]),
    max_size=12,
)


class TestEntryReports:
    @given(TABLES, EXCHANGE_OUTCOMES)
    def test_the_leader_has_the_last_report_after_two_successful_exchanges(self, tables, outcomes):
        sender, session = ReportSender(), Session(renewed_ms=0)
        content = ReportContent()
        steps = list(zip(tables, outcomes, strict=False)) + [(tables[-1], "works")] * 2
        for table, outcome in steps:
            content = ReportContent(
                uses={key: PermitUse(in_use=value) for key, value in table.items()},
                vm_reports={key: VmReport(up=value > 1) for key, value in table.items()},
            )
            report = sender.build(content)
            if outcome == "request":
                continue
            if outcome.startswith("leader"):
                session = Session(renewed_ms=0)
            apply_report(session, report)
            if not outcome.endswith("reply"):
                sender.acknowledge(session.report_number)
        assert session.uses == content.uses
        assert session.vm_reports == content.vm_reports

    def test_an_unchanged_report_is_empty(self):
        sender, session = ReportSender(), Session(renewed_ms=0)
        content = ReportContent(uses={"red": PermitUse(in_use=1)})
        apply_report(session, sender.build(content))
        sender.acknowledge(session.report_number)
        report = sender.build(content)
        assert (report.uses, report.uses_removed) == ({}, [])
        apply_report(session, report)
        assert session.uses == content.uses


class TestFreeCapacityReports:
    @given(TABLES, EXCHANGE_OUTCOMES)
    def test_an_entry_has_the_last_free_capacity_after_two_successful_exchanges(
        self, tables, outcomes
    ):
        receiver, session = FreeCapacityReceiver(), Session(renewed_ms=0)
        expected = {}
        steps = list(zip(tables, outcomes, strict=False)) + [(tables[-1], "works")] * 2
        for table, outcome in steps:
            expected = {f"dc1/{key}": value for key, value in table.items()}
            if outcome == "request":
                continue
            if outcome.startswith("leader"):
                session = Session(
                    renewed_ms=0, free_capacity_number=session.free_capacity_number + 2**32
                )
            report = build_free_capacity(session, receiver.number, expected)
            if not outcome.endswith("reply"):
                receiver.apply(report)
        assert receiver.by_location == expected
