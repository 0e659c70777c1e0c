"""One report or answer of a minion ends neither the leader nor the replicas that relay to it."""

from __future__ import annotations

from typing import Any

import attrs
import orjson
import pytest
import trio
import trio.testing

from hornbeamreach.exceptions import InvalidInputError
from hornbeamreach.fleet.guarded_port import GuardedMinionPort
from hornbeamreach.fleet.order_relay import OrderRelay
from hornbeamreach.fleet.ports import FencedError, PollResult, StartOrder, UnknownOutcomeError
from hornbeamreach.fleet.relay_messages import (
    RelayBatch,
    RelayedPoll,
    RelayedStart,
    RelayOutcome,
    RelayResults,
)
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.decoding import decode_report
from hornbeamreach.platform.http_client import PlatformHttpClient, Response
from hornbeamreach.platform.minion_port import PlatformMinionPort, decode_poll_result
from hornbeamreach.platform.vm_port import PlatformAdmissionPort, PlatformVmPort
from hornbeamreach.tables.workload import RunEnd

from . import builders

REPORT = decode_report("i-1", orjson.dumps(builders.platform_heartbeat()))
# Stands for lists nested nearly as deeply as the JSON decoder allows.
NESTED, NESTING = "nested", 1_000
ORDER = StartOrder(task="a.0.0.0", run=1, payload="x", lease_until_ms=9, token=1)
BAD_ADDRESSES = ["", "nowhere", "10.0.0.9:", "10.0.0.9:http", "10.0.0.9:70000", "x" * 70 + ".:80"]


@attrs.define
class FakeHttp:
    """Answer each request alike."""

    status: int
    body: Any

    async def send(self, *arguments: Any, **options: Any) -> Response:
        await trio.lowlevel.checkpoint()
        lists = b"[" * NESTING + b"]" * NESTING
        body = orjson.dumps(self.body).replace(b'"nested"', lists)
        return Response(status=self.status, body=body)


@pytest.mark.parametrize("address", BAD_ADDRESSES)
class TestAddress:
    def test_a_heartbeat_without_a_usable_address_names_no_minion(self, address):
        heartbeat = {**builders.platform_heartbeat(), "address": address}
        with pytest.raises(InvalidInputError):
            decode_report("i-1", orjson.dumps(heartbeat))

    def test_a_call_to_an_unusable_address_has_an_unknown_outcome(self, address):
        async def call() -> None:
            with pytest.raises(UnknownOutcomeError):
                await PlatformHttpClient().send(address, "POST", "/hold", timeout_ms=500)

        trio.run(call)


class TestAnswers:
    @pytest.mark.parametrize(
        ("status", "body"),
        [
            (200, {"clock-ms": "soon"}),
            (200, {"clock-ms": -1}),
            (409, {"reason": "late", "clock-ms": []}),
            (400, {"clock-ms": 2**60}),
            (409, {"reason": NESTED}),
        ],
    )
    def test_a_start_answered_with_another_clock_has_an_unknown_outcome(self, status, body):
        port = PlatformMinionPort(http=FakeHttp(status, body))
        with pytest.raises(UnknownOutcomeError):
            trio.run(port.start, REPORT, ORDER)

    # One row of another writer made the whole list unreadable, and the minion was given up.
    @pytest.mark.parametrize(
        ("lists", "unread"),
        [
            ({"running": [["a.0.0.0", 10**18, "", 1]]}, ["a.0.0.0"]),
            ({"running": [["a.0.0.0", "9" * 30, "", 1]]}, ["a.0.0.0"]),
            ({"running": [["a.0.0.0", 1e300, "", 1]]}, ["a.0.0.0"]),
            ({"running": [["a.0.0.0", -1, "", 1]]}, ["a.0.0.0"]),
            ({"running": [["a.0.0.0", 1, "", 1, 1e300]]}, ["a.0.0.0"]),
            ({"running": [["a.0.0.0"]]}, ["a.0.0.0"]),
            ({"running": [{"task": "a.0.0.0"}]}, []),
            ({"running": ["a.0.0.0"]}, []),
            ({"running": [[NESTED, 1, "", 1]]}, []),
            ({"finished": [["9" * 30, "a.0.0.0", 1, "done", ""]]}, []),
            ({"finished": [[1, "a.0.0.0", 1, ["done"], ""]]}, []),
            ({"finished": [[1, "a.0.0.0", 1, {}, ""]]}, []),
            ({"finished": [[1, "a.0.0.0", 1, "vanished", ""]]}, []),
            ({"finished": [[1, NESTED, 1, "done", ""]]}, []),
        ],
    )
    def test_an_unreadable_row_of_a_poll_costs_that_row_alone(self, lists, unread):
        sound = {
            "running": [["b.0.0.0", 2, "00", 7]],
            "finished": [[4, "b.0.0.1", 1, "done", "ff"]],
        }
        body = {name: [*lists.get(name, []), *sound[name]] for name in sound}
        port = PlatformMinionPort(http=FakeHttp(200, {"clock-ms": 5, "born": 1, **body}))

        async def poll() -> PollResult:
            return await port.poll(REPORT, token=1, recorded_end=0, lease_until_ms=None, wait_ms=0)

        result = trio.run(poll)
        assert [(task.task, task.run) for task in result.running] == [("b.0.0.0", 2)]
        assert [(end.number, end.end) for end in result.ended] == [(4, RunEnd.DONE)]
        assert result.unread == unread

    def test_an_end_counts_without_a_readable_checkpoint(self):
        row = [1, "a.0.0.0", 1, "done", [["00"]]]
        result = decode_poll_result({"clock-ms": 5, "finished": [row]})
        assert [(end.end, end.checkpoint) for end in result.ended] == [(RunEnd.DONE, "")]

    @pytest.mark.parametrize("reason", [[], {}, ["busy"]])
    def test_a_vm_order_refused_for_an_unreadable_reason_has_an_unknown_outcome(self, reason):
        port = PlatformVmPort(http=FakeHttp(409, {"reason": reason}), address="x:1")

        async def order() -> None:
            with pytest.raises(UnknownOutcomeError):
                await port.start_maintenance("m-1", wave=1, holder="h", token=1)

        trio.run(order)

    # One row of another writer cost the step the tickets of all minions.
    @pytest.mark.parametrize("row", [5, {}, [], None, "ab", ["i-2"], [NESTED, "t"], ["i-2", 5]])
    def test_an_unreadable_ticket_costs_that_ticket_alone(self, row):
        body = {"admitted": [row, ["i-1", "ticket"]]}
        port = PlatformAdmissionPort(http=FakeHttp(200, body), address="x:1")
        assert trio.run(port.request_tickets, "a.0.0", ["i-1"]) == {"i-1": "ticket"}

    @pytest.mark.parametrize("rows", [None, 5, {}, "ab"])
    def test_tickets_that_are_no_list_leave_the_outcome_unknown(self, rows):
        port = PlatformAdmissionPort(http=FakeHttp(200, {"admitted": rows}), address="x:1")

        async def ask() -> None:
            with pytest.raises(UnknownOutcomeError):
                await port.request_tickets("a.0.0", ["i-1"])

        trio.run(ask)

    @pytest.mark.parametrize("token", ["same", NESTED, 5])
    def test_a_list_of_vms_that_names_no_next_page_ends(self, token):
        http = FakeHttp(200, {"machines": [], "next-token": token})

        async def list_vms() -> None:
            with trio.fail_after(1), pytest.raises(UnknownOutcomeError):
                await PlatformVmPort(http=http, address="x:1").list_vms()

        trio.run(list_vms)


class FailingPort:
    """Fail at each call with an error that the port's interface does not name."""

    async def start(self, report: Any, order: Any) -> Any:
        raise ValueError("unexpected")

    async def poll(self, report: Any, **options: Any) -> Any:
        raise KeyError("unexpected")

    async def stop(self, report: Any, **options: Any) -> None:
        raise TypeError("unexpected")

    async def pace(self, report: Any, **options: Any) -> None:
        raise RecursionError("unexpected")


class TestGuard:
    @pytest.mark.parametrize(
        "call",
        [
            lambda port: port.start(REPORT, ORDER),
            lambda port: port.poll(REPORT, token=1),
            lambda port: port.stop(REPORT, task="a.0.0.0", run=1, token=1),
            lambda port: port.pace(REPORT, task="a.0.0.0", run=1, percent=5, token=1),
        ],
    )
    def test_an_unexpected_error_of_a_call_leaves_its_outcome_unknown(self, call):
        guarded = GuardedMinionPort(port=FailingPort(), metrics=Metrics())
        with pytest.raises(UnknownOutcomeError):
            trio.run(call, guarded)

    def test_the_errors_of_the_interface_pass_unchanged(self):
        class FencedPort:
            async def start(self, report: Any, order: Any) -> Any:
                raise FencedError("fence")

        guarded = GuardedMinionPort(port=FencedPort(), metrics=Metrics())
        with pytest.raises(FencedError):
            trio.run(guarded.start, REPORT, ORDER)


class RecordingLink:
    """Keep the notifications sent."""

    def __init__(self) -> None:
        self.sent: list[RelayResults] = []

    def notify(self, address: str, message: Any) -> None:
        self.sent.append(message)


class TestRelay:
    def relay_batches(self, *batches: RelayBatch) -> list[Any]:
        link = RecordingLink()
        relay = OrderRelay(
            port=FailingPort(), link=link, handlers=HandlerTable(), metrics=Metrics()
        )

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(relay.run)
                await trio.testing.wait_all_tasks_blocked()
                for batch in batches:
                    await relay.on_batch(batch)
                await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return [result for message in link.sent for result in message.results]

    def test_a_call_that_fails_unexpectedly_ends_no_relaying_replica(self):
        start = RelayedStart(number=1, minion="i-1", address="x:1", order=ORDER)
        poll = RelayedPoll(
            number=2,
            minion="i-1",
            address="x:1",
            token=1,
            recorded_end=0,
            lease_until_ms=None,
            wait_ms=0,
        )
        results = self.relay_batches(RelayBatch(source="leader:1", starts=[start], looks=[poll]))
        assert {result.number for result in results} == {1, 2}
        assert all(result.outcome is RelayOutcome.UNKNOWN_OUTCOME for result in results)

    def test_a_batch_received_twice_ends_no_relaying_replica(self):
        start = RelayedStart(number=1, minion="i-1", address="x:1", order=ORDER)
        batch = RelayBatch(source="leader:1", starts=[start])
        assert len(self.relay_batches(batch, batch)) == 2
