"""Reports as changes: nothing is lost when messages, replies or leaders are."""

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
# What becomes of each exchange: it works, the request is lost, the reply is lost, or the
# leader changes and knows nothing.
FATES = st.lists(
    st.sampled_from(["works", "works", "request", "reply", "leader", "leader, reply"]),
    max_size=12,
)


class TestEntryReports:
    @given(TABLES, FATES)
    def test_the_leader_knows_the_last_report_after_two_exchanges_that_work(self, tables, fates):
        sender, session = ReportSender(), Session(renewed_ms=0)
        content = ReportContent()
        steps = list(zip(tables, fates, strict=False)) + [(tables[-1], "works")] * 2
        for table, fate in steps:
            content = ReportContent(
                uses={key: PermitUse(in_use=value) for key, value in table.items()},
                vm_reports={key: VmReport(up=value > 1) for key, value in table.items()},
            )
            report = sender.build(content)
            if fate == "request":
                continue
            if fate.startswith("leader"):
                session = Session(renewed_ms=0)
            apply_report(session, report)
            if not fate.endswith("reply"):
                sender.acknowledge(session.report_number)
        assert session.uses == content.uses
        assert session.vm_reports == content.vm_reports

    def test_an_unchanged_report_is_empty(self):
        sender, session = ReportSender(), Session(renewed_ms=0)
        content = ReportContent(uses={"red": PermitUse(in_use=1)})
        apply_report(session, sender.build(content))
        sender.acknowledge(session.report_number)
        again = sender.build(content)
        assert (again.uses, again.uses_removed) == ({}, [])
        apply_report(session, again)
        assert session.uses == content.uses


class TestRooms:
    @given(TABLES, FATES)
    def test_an_entry_knows_the_last_rooms_after_two_exchanges_that_work(self, tables, fates):
        receiver, session = FreeCapacityReceiver(), Session(renewed_ms=0)
        flat = {}
        steps = list(zip(tables, fates, strict=False)) + [(tables[-1], "works")] * 2
        for table, fate in steps:
            flat = {f"dc1/{key}": value for key, value in table.items()}
            if fate == "request":
                continue
            if fate.startswith("leader"):
                session = Session(
                    renewed_ms=0, free_capacity_number=session.free_capacity_number + 2**32
                )
            report = build_free_capacity(session, receiver.number, flat)
            if not fate.endswith("reply"):
                receiver.apply(report)
        assert receiver.by_location == flat
