"""Reports of minions that replicas forward to the leader in one message."""

from __future__ import annotations

import attrs
import pytest
import trio

from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.fleet.messages import ForwardedReport, ForwardedReports, ReportReply
from hornbeamreach.fleet.report_forwarder import MAX_REPORTS, ReportForwarder
from hornbeamreach.link.codec import wire_converter
from hornbeamreach.link.leader_finder import NoLeaderError
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.tables.resources import Resources

from . import builders
from .fakes import run_virtual
from .step_fleet import StepFleet

TIMEOUT_MS = 800


class Scenario:
    """Forward the reports of a fleet's minions through one replica that doesn't lead."""

    def __init__(self, fleet: StepFleet) -> None:
        self.fleet = fleet
        self.forwarder = ReportForwarder(finder=fleet.finder, clock=fleet.clock)
        self.sent: list[object] = []
        request = fleet.finder.link.request

        async def note_request(address, message, *, timeout_ms):
            if isinstance(message, ForwardedReport | ForwardedReports):
                self.sent.append(message)
            return await request(address, message, timeout_ms=timeout_ms)

        fleet.finder.link.request = note_request

    async def forward_all(self, reports: list[MinionReport]) -> list[str]:
        """Forward reports at the same time and return what each caller was answered."""
        answers = [""] * len(reports)

        async def forward(position: int) -> None:
            try:
                await self.forwarder.forward(reports[position], timeout_ms=TIMEOUT_MS)
                answers[position] = "recorded"
            except (NoLeaderError, RefusedError) as exc:
                answers[position] = type(exc).__name__

        async with trio.open_nursery() as nursery:
            for position in range(len(reports)):
                nursery.start_soon(forward, position)
                await trio.sleep(0.001)
        return answers

    def reports(self) -> list[MinionReport]:
        return [minion.report() for minion in self.fleet.minions.minions.values()]

    async def known_sequences(self) -> list[int]:
        scheduler = await self.fleet.wait_for_scheduler()
        known = scheduler.fleet.minions
        return [known[minion].report.sequence for minion in self.fleet.minions.minions]


def run_reports(check, *, minion_count: int = 6) -> None:
    async def main() -> None:
        fleet = StepFleet(minion_count=minion_count)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await fleet.wait_for_scheduler()
            # From now on only the forwarder's reports arrive.
            fleet.silenced = set(fleet.minions.minions)
            await trio.sleep(1)
            scenario = Scenario(fleet)
            # A single one shows that the leader takes batches.
            assert await scenario.forward_all(scenario.reports()[:1]) == ["recorded"]
            scenario.sent.clear()
            await check(scenario)
            nursery.cancel_scope.cancel()

    run_virtual(main)


class TestBatches:
    def test_reports_of_the_same_time_take_one_message_and_one_reply(self):
        async def check(scenario: Scenario) -> None:
            reports = scenario.reports()
            assert await scenario.forward_all(reports) == ["recorded"] * 6
            assert [type(message) for message in scenario.sent] == [ForwardedReports]
            assert await scenario.known_sequences() == [report.sequence for report in reports]

        run_reports(check)

    def test_a_batch_is_bounded(self):
        async def check(scenario: Scenario) -> None:
            report = scenario.reports()[0]
            forwards = [report] * (2 * MAX_REPORTS + 1)
            async with trio.open_nursery() as nursery:
                for item in forwards:
                    nursery.start_soon(scenario.forward_all, [item])
            assert max(len(message.reports) for message in scenario.sent) == MAX_REPORTS
            assert sum(len(message.reports) for message in scenario.sent) == len(forwards)

        run_reports(check)

    def test_a_late_batch_changes_nothing_and_a_repeated_one_neither(self):
        """Guards against an older report that replaces a newer one."""

        async def check(scenario: Scenario) -> None:
            scenario.fleet.network.duplicate_probability = 1.0
            older, newer = scenario.reports(), scenario.reports()
            assert await scenario.forward_all(newer) == ["recorded"] * 6
            assert await scenario.forward_all(older) == ["recorded"] * 6
            assert await scenario.known_sequences() == [report.sequence for report in newer]

        run_reports(check)

    def test_after_a_lost_batch_each_minion_is_told_and_the_next_reports_arrive(self):
        async def check(scenario: Scenario) -> None:
            fleet = scenario.fleet
            fleet.network.cut_off({"client"})
            assert await scenario.forward_all(scenario.reports()) == ["NoLeaderError"] * 6
            fleet.network.heal()
            reports = scenario.reports()
            for _ in range(2):
                assert await scenario.forward_all(reports) == ["recorded"] * 6
            assert await scenario.known_sequences() == [report.sequence for report in reports]

        run_reports(check)

    def test_a_malformed_report_affects_only_itself(self):
        async def check(scenario: Scenario) -> None:
            good = scenario.reports()
            reports = [attrs.evolve(good[0], capacity=Resources(cpu_millis="much")), *good[1:]]
            answers = await scenario.forward_all(reports)
            assert answers == ["RefusedError"] + ["recorded"] * 5
            assert (await scenario.known_sequences())[1:] == [r.sequence for r in good[1:]]
            service = scenario.fleet.control[await scenario.fleet.wait_for_leader()].service
            data = [wire_converter.unstructure(good[0]), None, "x", {"minion": []}]
            reply = await service.on_forwarded_reports(ForwardedReports(reports=data))
            assert reply.refused == [1, 2, 3]

        run_reports(check)

    def test_the_others_are_sent_if_the_handler_of_the_first_one_is_cancelled(self):
        """Guards against heartbeats that wait for a handler whose client has disconnected."""

        async def check(scenario: Scenario) -> None:
            first, *others = scenario.reports()
            async with trio.open_nursery() as nursery:
                scope = trio.CancelScope()

                async def forward_first() -> None:
                    with scope:
                        await scenario.forwarder.forward(first, timeout_ms=TIMEOUT_MS)

                nursery.start_soon(forward_first)
                await trio.sleep(0.002)
                nursery.start_soon(scenario.forward_all, others)
                await trio.sleep(0.01)
                scope.cancel()
            sequences = await scenario.known_sequences()
            assert sequences[1:] == [report.sequence for report in others]

        run_reports(check)


class TestEarlierBuilds:
    @pytest.mark.parametrize("refuses", [False, True])
    def test_a_leader_of_an_earlier_build_gets_single_reports(self, refuses):
        """Guards against heartbeats that are lost while replicas of two builds run."""

        async def check(scenario: Scenario) -> None:
            fleet = scenario.fleet
            leader = await fleet.wait_for_leader()
            handlers = fleet.control[leader].service.handlers.handlers
            record = handlers[ForwardedReport]

            async def record_as_before(message):
                await record(message)
                return ReportReply()

            handlers[ForwardedReport] = record_as_before
            del handlers[ForwardedReports]
            if not refuses:
                # The leader was restarted with the earlier build and has answered since.
                await scenario.forwarder._send_single(
                    scenario.reports()[0], fleet.clock.now_ms() + TIMEOUT_MS
                )
            for _ in range(2):
                reports = scenario.reports()
                scenario.sent.clear()
                assert await scenario.forward_all(reports) == ["recorded"] * 6
                assert await scenario.known_sequences() == [r.sequence for r in reports]
            assert {type(message) for message in scenario.sent} == {ForwardedReport}

        run_reports(check)


class TestReportsAtTheLeader:
    def test_they_are_recorded_without_a_message(self):
        async def check(scenario: Scenario) -> None:
            fleet = scenario.fleet
            leader = await fleet.wait_for_leader()
            follower = next(address for address in fleet.addresses if address != leader)
            reports = scenario.reports()
            for address in (follower, leader):
                scenario.forwarder.record_here = fleet.control[address].service.record_report
                scenario.sent.clear()
                assert await scenario.forward_all(reports) == ["recorded"] * 6
                assert len(scenario.sent) == (0 if address == leader else 1)
            with pytest.raises(NotLeaderError):
                fleet.control[follower].service.record_report(builders.minion("i-1").report)

        run_reports(check)
