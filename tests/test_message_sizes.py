"""Messages that carry what others wrote are bounded in bytes."""

from __future__ import annotations

import random

import orjson
import pytest
import trio

from hornbeamreach.control.leader import entries_for_reply
from hornbeamreach.control.raft_log import RaftLog
from hornbeamreach.control.raft_messages import LogEntry
from hornbeamreach.exceptions import InvalidInputError
from hornbeamreach.fleet.order_relay import MAX_RESULTS_BYTES, split_results
from hornbeamreach.fleet.ports import EndedTask, PollResult, StartOrder, UnknownOutcomeError
from hornbeamreach.fleet.relay_messages import RelayBatch, RelayOutcome, RelayResult
from hornbeamreach.fleet.relayed_minion_port import RelayedMinionPort
from hornbeamreach.fleet.report_forwarder import MAX_REPORTS
from hornbeamreach.link.codec import encode, wire_converter
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.decoding import MAX_PAYLOAD_BYTES, decode_report
from hornbeamreach.platform.http_client import MAX_BODY_BYTES, ResponseReader
from hornbeamreach.systems.relay_choice import Follower
from hornbeamreach.tables.workload import RunEnd
from hornbeamreach.web.http_messages import MalformedMessageError

from . import builders
from .fakes import run_virtual, virtual_clock

MIB = 1024 * 1024


def result(number: int, checkpoint_bytes: int) -> RelayResult:
    end = EndedTask(number=1, task="a", run=1, end=RunEnd.DONE, checkpoint="x" * checkpoint_bytes)
    look = PollResult(born_ms=1, clock_ms=1, ended=[end])
    return RelayResult(number=number, outcome=RelayOutcome.ANSWERED, look=look)


class TestRelay:
    # The link refuses a message over its limit, and with it every result or start in it.
    def test_results_are_split_by_their_size(self):
        sizes = [100, MAX_RESULTS_BYTES // 2, MAX_RESULTS_BYTES // 2, 3 * MAX_RESULTS_BYTES, 100]
        parts = split_results([result(number, size) for number, size in enumerate(sizes)])
        assert [[item.number for item in part] for part in parts] == [[0, 1], [2], [3], [4]]
        assert split_results([]) == []

    def test_starts_are_split_by_their_number(self):
        sent: list[RelayBatch] = []

        class RecordingLink:
            def notify(self, address: str, message: RelayBatch) -> None:
                sent.append(message)

        async def main() -> None:
            port = RelayedMinionPort(
                port=None,
                link=RecordingLink(),
                handlers=HandlerTable(),
                address="a:1",
                clock=virtual_clock(),
                metrics=Metrics(),
                response_timeout_ms=100,
                followers=lambda: [Follower(address="b:1", silent_ms=0)],
                rng=random.Random(1),
                max_direct_minions=0,
            )

            async def start(number: int) -> None:
                order = StartOrder(
                    task=f"{number:016x}.0.0.0",
                    run=1,
                    payload="x" * MAX_PAYLOAD_BYTES,
                    lease_until_ms=1,
                    token=1,
                )
                with pytest.raises(UnknownOutcomeError):
                    await port.start(builders.minion(f"i-{number % 9}").report, order)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(port.run)
                async with trio.open_nursery() as starts:
                    for number in range(1_000):
                        starts.start_soon(start, number)
                nursery.cancel_scope.cancel()

        run_virtual(main)
        batches = [batch for batch in sent if batch.starts]
        assert sum(len(batch.starts) for batch in batches) == 1_000
        assert max(len(encode(batch)) for batch in batches) < 1.2 * MIB


class TestReplicatedLog:
    # A reply of 256 large entries to an entry process exceeded what the link takes.
    @pytest.mark.parametrize(
        ("size", "applied", "expected"),
        [(100, 5, 45), (100, 50, 0), (100, 2, None), (MIB, 46, None), (MIB, 47, 3)],
    )
    def test_a_process_gets_the_state_instead_of_large_entries(self, size, applied, expected):
        log = RaftLog()
        for index in range(1, 51):
            log.append(LogEntry(index=index, term=1, data=b"x" * size))
        log.compact(builders.snapshot(index=3))
        entries = entries_for_reply(log, applied, 50)
        assert expected == (None if entries is None else len(entries))


class TestReports:
    def test_a_message_of_reports_is_bounded(self):
        heartbeat = {**builders.platform_heartbeat(), "labels": ["a", "x" * 16_000]}
        report = wire_converter.unstructure(decode_report("i-1", orjson.dumps(heartbeat)))
        # The rack repeats a label.
        assert MAX_REPORTS * len(orjson.dumps(report)) < 2.5 * MIB

    def test_a_report_of_many_names_is_refused(self):
        heartbeat = {**builders.platform_heartbeat(), "labels": ["x" * 1_000] * 100}
        with pytest.raises(InvalidInputError, match="characters of names"):
            decode_report("i-1", orjson.dumps(heartbeat))


class TestResponses:
    def test_a_response_above_the_limit_has_an_unknown_outcome(self):
        reader = ResponseReader()
        reader.expect("POST")
        reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * MAX_BODY_BYTES))
        with pytest.raises(MalformedMessageError, match="too large"):
            for _ in range(2 * MAX_BODY_BYTES // 65_536):
                reader.feed(b"x" * 65_536)
