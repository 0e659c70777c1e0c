"""One odd entry of another writer costs a reader that entry at most.

Each reader of what others write meets every odd value in place of every value of a sound message.
It may take the value or refuse it as it refuses any malformed message, but must raise nothing else.
"""

from __future__ import annotations

import contextlib
import copy
from collections.abc import Iterator
from typing import Any

import attrs
import cbor2
import orjson
import pytest
import trio
from attrs import define

from hornbeamreach.control.commands import NoOp
from hornbeamreach.control.heartbeat_thread import _signature as sign
from hornbeamreach.control.heartbeat_thread import decode_heartbeat
from hornbeamreach.control.operator_api import parse_change
from hornbeamreach.control.raft_messages import AppendRequest, LogEntry
from hornbeamreach.converters import structure
from hornbeamreach.entry.announcements import parse_announcement
from hornbeamreach.entry.job_service import check_spec
from hornbeamreach.exceptions import InvalidInputError, PlatformError, RefusedError
from hornbeamreach.fleet.messages import ForwardedReports
from hornbeamreach.fleet.ports import PollResult, UnknownOutcomeError
from hornbeamreach.fleet.vm_inventory import VmInventory
from hornbeamreach.link.codec import DecodeError, encode, from_tagged
from hornbeamreach.link.frames import NOTIFY, decode_frame, encode_frame
from hornbeamreach.platform import fields
from hornbeamreach.platform.decoding import decode_declaration, decode_job, decode_report
from hornbeamreach.platform.http_client import Response
from hornbeamreach.platform.minion_port import PlatformMinionPort
from hornbeamreach.platform.settings import decode_settings
from hornbeamreach.platform.vm_port import PlatformAdmissionPort, PlatformVmPort
from hornbeamreach.tables.reports import JobSpec
from hornbeamreach.tables.resources import Resources
from hornbeamreach.web.http_platform import HttpPlatform

from . import builders
from .builders import step, step_job
from .step_fleet import StepFleet
from .test_foreign_http import FixedPool
from .test_step_jobs import job_id, run_scenario

# The deepest that the parser of JSON lets through.
DEPTH = 1_000
# Values that only another writer sends, as JSON.
ODD_VALUES = {
    "nested list": b"[" * DEPTH + b"]" * DEPTH,
    "nested table": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "null": b"null",
    "list": b"[]",
    "list of lists": b"[[[]]]",
    "table": b"{}",
    "text": b'"x"',
    "empty text": b'""',
    "long text": b'"' + b"x" * 100_000 + b'"',
    "control characters": b'"\\u0000\\r\\n\\u2028"',
    "true": b"true",
    "negative": b"-1",
    "fraction": b"0.5",
    "ten million": b"10000000",
    "a million million": b"10000000000000",
    "large integer": b"9223372036854775807",
    "larger integer": b"18446744073709551615",
    "integer of many digits": b"9" * 5_000,
    "large float": b"1e308",
    "above an exact float": b"9007199254740994.0",
    "port out of range": b'"10.0.0.1:70000"',
    "port of many digits": b'"10.0.0.1:' + b"9" * 5_000 + b'"',
    "port with other digits": '"10.0.0.1:\u0663\u0663"'.encode(),
    "no port": b'"10.0.0.1"',
}
PLACEHOLDER = "odd value"
RAW_BODIES = [
    b"",
    b"\xff\xfe",
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b'{"a":' + b"9" * 5_000 + b"}",
    b'{"a":1e999}',
    b'{"a":NaN}',
    b'{"a":"\\ud800"}',
    b'"text"',
    b"[]",
    b"null",
]


def paths(value: Any, path: tuple = ()) -> Iterator[tuple]:
    """Yield the path of each value in a document, the document's own last."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        if isinstance(item, (dict, list)):
            yield from paths(item, (*path, key))
        else:
            yield (*path, key)
    yield path


def replaced(document: Any, path: tuple, value: Any) -> Any:
    """Return a copy of a document with another value at a path."""
    if not path:
        return value
    changed = copy.deepcopy(document)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return changed


def variants(document: Any) -> Iterator[tuple[str, bytes]]:
    """Yield a document as JSON with each odd value at each path."""
    for path in paths(document):
        body = orjson.dumps(replaced(document, path, PLACEHOLDER))
        for name, value in ODD_VALUES.items():
            yield f"{path}: {name}", body.replace(f'"{PLACEHOLDER}"'.encode(), value)


HEARTBEAT = builders.platform_heartbeat()
JOB = {
    "spec": "work",
    "steps": [
        {"count": 2, "cpu": 500, "mem-mb": 256, "estimate-ms": 900, "data-rack": "r1-3"},
        {"count": 1, "after": [0], "checkpointing": True, "target-ms": 5, "may-miss": 1},
    ],
    "repetitions": 2,
    "first-ms": 5,
    "interval-ms": 5,
}
LISTS = {
    "born": 1,
    "clock-ms": 5,
    "running": [["a.0.0.0", 1, "00ff", 40, 7], ["a.0.0.1", 1, "", 50]],
    "finished": [[1, "a.0.0.2", 1, "done", ""], [2, "a.0.0.3", 2, "failed", "00"]],
}
VMS = {
    "machines": [
        {"machine": "m-1", "pool": "p", "state": "up", "zone": "z", "id": "i-1", "labels": ["a"]},
        {"machine": "m-2", "pool": "p", "state": "moving"},
    ],
    "next-token": "",
}
ADVICE = {"admitted": [["i-1", "t1"], ["i-2", "t2"]]}
ANNOUNCEMENT = {
    "endpoint": "e-1",
    "service": "quotes",
    "address": "10.0.0.1:80",
    "vm": "dc1-w1",
    "slots": 4,
    "connections": 8,
    "instance": "x1",
    "sequence": 1,
    "leaving": False,
}
CHANGE = {
    "operation_id": "change-0001",
    "edits": [
        {"kind": "pools", "name": "pool-a", "columns": {"max_down": 1}, "expected_version": 0}
    ],
    "key_edits": [{"team": "team-a", "key_hash": "0" * 64, "key_id": "0" * 8}],
}
OWN_JOB = {"kind": "k", "cpu_millis": 1, "memory_mb": 1, "expected_ms": 5, "payload": "x"}
PLATFORM_REPORT = {"vms": {"vm-a": {"up": True, "boot_operation": ""}}, "tasks": []}


ANNOUNCED_STATE = builders.ControlBuilder(builders.table()).state


class FixedHttp:
    """Answer each request with a body."""

    def __init__(self, body: bytes) -> None:
        self.body = body

    async def send(self, *args: Any, **kwargs: Any) -> Response:
        return Response(status=200, body=self.body)

    def drop_idle(self, address: str) -> None:
        pass


def poll(body: bytes) -> Any:
    port = PlatformMinionPort(http=FixedHttp(body))
    report = builders.minion().report

    async def call() -> Any:
        return await port.poll(report, token=1, recorded_end=0, lease_until_ms=5, wait_ms=0)

    return trio.run(call)


def list_vms(body: bytes) -> Any:
    return trio.run(PlatformVmPort(http=FixedHttp(body), address="a:1").list_vms)


def read_platform(body: bytes) -> Any:
    platform = HttpPlatform("http://127.0.0.1:1")
    platform.pool = FixedPool(body)
    return trio.run(platform.report)


def request_tickets(body: bytes) -> Any:
    port = PlatformAdmissionPort(http=FixedHttp(body), address="a:1")
    return trio.run(port.request_tickets, "a.0.0", ["i-1", "i-2"])


READERS = {
    "heartbeat": (lambda body: decode_report("i-1", body), HEARTBEAT, InvalidInputError),
    "declaration": (
        lambda body: decode_declaration(body, data_center="dc1"),
        builders.platform_configuration(),
        InvalidInputError,
    ),
    "job": (decode_job, JOB, InvalidInputError),
    "settings": (
        lambda body: decode_settings(fields.decode_json(body)),
        builders.platform_settings(),
        InvalidInputError,
    ),
    "lists of runs and ends": (poll, LISTS, UnknownOutcomeError),
    "list of VMs": (list_vms, VMS, UnknownOutcomeError),
    "advice": (request_tickets, ADVICE, UnknownOutcomeError),
    "announcement": (
        lambda body: parse_announcement(fields.decode_json(body), ANNOUNCED_STATE, "dc1"),
        ANNOUNCEMENT,
        # The interface refuses a ValueError as malformed.
        (InvalidInputError, RefusedError, ValueError),
    ),
    "change of the table": (
        lambda body: parse_change(fields.decode_json(body)),
        CHANGE,
        (InvalidInputError, RefusedError),
    ),
    "job of the own interface": (
        lambda body: check_spec(
            structure(fields.decode_json(body), JobSpec, error=InvalidInputError)
        ),
        OWN_JOB,
        (InvalidInputError, RefusedError),
    ),
    "report of the own interface's platform": (read_platform, PLATFORM_REPORT, PlatformError),
}


@define(kw_only=True)
class OddRows:
    """Return the lists of another port as if odd rows were among them."""

    port: Any
    # Task whose row can't be read; else only rows of other tasks can't.
    hides: str = ""
    changed: int = 0

    async def poll(self, report: Any, **options: Any) -> PollResult:
        result = await self.port.poll(report, **options)
        unread = ["odd.0.0.0", "\x00" * 1_000]
        running = [task for task in result.running if task.task != self.hides]
        if self.hides and len(running) < len(result.running):
            unread.append(self.hides)
        self.changed += 1
        return attrs.evolve(result, running=running, unread=unread)

    def forget(self, minion: str) -> None:
        self.port.forget(minion)


@pytest.mark.parametrize("reader", READERS)
class TestReaders:
    def test_an_odd_value_is_taken_or_refused(self, reader):
        read, document, refusal = READERS[reader]
        read(orjson.dumps(document))
        unexpected = []
        for name, body in variants(document):
            try:
                read(body)
            except refusal:
                pass
            except Exception as exc:
                unexpected.append(f"{name}: {type(exc).__name__}")
        assert unexpected == []

    @pytest.mark.parametrize("body", RAW_BODIES, ids=range(len(RAW_BODIES)))
    def test_odd_bytes_are_refused(self, reader, body):
        read, _, refusal = READERS[reader]
        with pytest.raises(refusal):
            read(body)


class TestFrames:
    """What comes over a link is read or refused as malformed."""

    MESSAGES = [
        ForwardedReports(reports=[{"minion": "i-1"}]),
        AppendRequest(
            source="a",
            target="b",
            term=1,
            previous_index=0,
            previous_term=0,
            commit_index=0,
            sent_ms=5,
            entries=[LogEntry(index=1, term=1, data=encode(NoOp()))],
        ),
    ]
    # As CBOR.
    ODD = [
        b"\x81" * 300 + b"\x00",
        b"\x81" * 100_000 + b"\x00",
        *map(cbor2.dumps, (10**400, -1, None, "x" * 100_000, b"\xff", {}, 1e308, True)),
    ]

    def read(self, data: Any) -> None:
        kind, number, tagged = decode_frame(data)
        from_tagged(tagged)

    @pytest.mark.parametrize("message", MESSAGES, ids=["reports", "entries"])
    def test_an_odd_value_in_a_message_is_taken_or_refused(self, message):
        kind, number, (name, content) = cbor2.loads(encode_frame(NOTIFY, 0, message))
        document = [kind, number, [name, content]]
        placeholder = cbor2.dumps(PLACEHOLDER)
        for path in paths(document):
            frame = cbor2.dumps(replaced(document, path, PLACEHOLDER))
            for value in self.ODD:
                with contextlib.suppress(DecodeError):
                    self.read(frame.replace(placeholder, value))

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\xff",
            b"\x81" * 100_000 + b"\x00",
            b"\x9f" * 100_000,
            b"\x5b" + b"\xff" * 8,
            "text",
        ],
        ids=range(6),
    )
    def test_odd_bytes_are_refused(self, data):
        with pytest.raises(DecodeError):
            self.read(data)

    def test_a_datagram_of_another_writer_is_no_heartbeat(self):
        secret = b"secret"
        for data in (b"", b"\x81" * 1_000 + b"\x00", cbor2.dumps(["a", "b", 1, 5])):
            signed = sign(data, secret) + data
            assert decode_heartbeat(signed, secret) is None
            assert decode_heartbeat(data, secret) is None


class TestMinions:
    """The others hold, and so does what an odd entry names."""

    # One odd row made the whole list unreadable, and the minion's runs lapsed.
    def test_runs_go_on_beside_odd_rows(self):
        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            port = OddRows(port=scheduler.minion_port)
            scheduler.minion_port = port
            await trio.sleep(2)
            for poller in scheduler.pollers.values():
                poller.port = port
            await fleet.submit(job_id(1), step_job(step(12)), work_ms=6_000)
            await fleet.wait_for_state(job_id(1), "completed")
            assert port.changed > 5
            assert len(fleet.minions.history) == 12

        run_scenario(scenario)

    # A run that an unreadable row names was taken for gone and started again.
    def test_a_run_named_by_an_odd_row_is_not_started_again(self):
        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            port = OddRows(port=scheduler.minion_port, hides=f"{job_id(1)}.0.0.0")
            await trio.sleep(2)
            for poller in scheduler.pollers.values():
                poller.port = port
            await fleet.submit(job_id(1), step_job(step(1)), work_ms=3_000)
            await fleet.wait_for_state(job_id(1), "completed")
            assert port.changed > 0
            assert len(fleet.minions.history) == 1

        run_scenario(scenario)

    # After one report with a number too large, all reports of the minion itself seemed older.
    @pytest.mark.parametrize("numbers", [{"born_ms": 2**53}, {"sequence": 2**53}])
    def test_a_report_with_a_number_too_large_hides_no_minion(self, numbers):
        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            await trio.sleep(2)
            for minion in list(scheduler.fleet.minions.values()):
                odd = attrs.evolve(minion.report, capacity=Resources(), **numbers)
                scheduler.on_report(odd)
            await fleet.submit(job_id(1), step_job(step(6)))
            await fleet.wait_for_state(job_id(1), "completed", timeout_s=10)

        run_scenario(scenario)


class TestVms:
    # A state that was nested deeply ended each scheduler that read the list.
    def test_an_odd_row_leaves_the_others(self):
        rows = VMS["machines"]
        for value in ODD_VALUES.values():
            odd = orjson.dumps({**VMS, "machines": [{**rows[0], "state": PLACEHOLDER}, *rows]})
            listed = list_vms(odd.replace(f'"{PLACEHOLDER}"'.encode(), value))
            assert [vm.name for vm in listed] == ["m-1", "m-2"]

    def test_a_list_that_can_not_be_read_ends_no_scheduler(self):
        class FailingPort:
            async def list_vms(self) -> list:
                raise RecursionError

        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            inventory = VmInventory(scheduler=scheduler, port=FailingPort())
            assert not await inventory.refresh()

        run_scenario(scenario)
