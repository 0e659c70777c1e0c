"""The faces towards callers, operators and minions, and the client towards minions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import orjson
import pytest
import trio

from hornbeamreach.exceptions import RefusedError
from hornbeamreach.fleet.messages import (
    DeclarationReply,
    DeclareRequest,
    ForwardedReport,
    QueueAction,
    QueueAnswer,
    QueueCall,
    QueueOutcome,
    ReadDeclaration,
    ReadWave,
    ReportReply,
    WaveState,
)
from hornbeamreach.fleet.ports import (
    FencedError,
    StartAnswer,
    StartOrder,
    UnknownOutcomeError,
    WrongIncarnationError,
)
from hornbeamreach.link.leader_finder import LeaderReply, NoLeaderError
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.caller_app import CallerApp
from hornbeamreach.platform.decoding import hash_key
from hornbeamreach.platform.http_client import PlatformHttpClient
from hornbeamreach.platform.minion_port import PlatformMinionPort
from hornbeamreach.platform.operator_app import OperatorApp
from hornbeamreach.platform.settings import decode_settings
from hornbeamreach.verdict import Reason, Verdict

from . import builders

JOB = {"spec": "x", "steps": [{"count": 1}]}
JOB_PATH = "/jobs/5c0e7a21d94b36f8"


class FakeFinder:
    """Answer requests to the leader from a table of what each kind of message gets."""

    def __init__(self, *answers: Any, repeated: bool = False) -> None:
        self.answers = list(answers)
        self.repeated = repeated
        self.asked: list[Any] = []
        self.leader = "10.2.0.18:7000"

    async def send_request(self, message: Any, *, timeout_ms: int) -> LeaderReply:
        self.asked.append(message)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return LeaderReply(reply=answer, repeated=self.repeated)


def call(
    app: Any, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
) -> tuple[int, dict[str, str], Any]:
    """Send one request to an ASGI application."""
    sent: list[dict[str, Any]] = []
    content = body if isinstance(body, bytes) else b"" if body is None else orjson.dumps(body)

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": content}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "headers": [(k.lower().encode(), v.encode()) for k, v in (headers or {}).items()],
    }
    trio.run(app, scope, receive, send)
    found = {k.decode(): v.decode() for k, v in sent[0]["headers"]}
    text = sent[1]["body"]
    return sent[0]["status"], found, orjson.loads(text) if text else None


def callers(*answers: Any, **options: Any) -> tuple[CallerApp, FakeFinder]:
    finder = FakeFinder(*answers, **options)
    return CallerApp(finder=finder, metrics=Metrics()), finder


def refusal(reason: Reason, retry_after_ms: int = 0) -> QueueAnswer:
    return QueueAnswer(served=QueueOutcome.REFUSED, reason=reason, retry_after_ms=retry_after_ms)


class TestCallers:
    def test_a_job_is_handed_in_under_its_key(self):
        face, finder = callers(QueueAnswer(served=QueueOutcome.ACCEPTED))
        headers = {"Host": "a.example", "Credential": "key-1"}
        assert call(face, "POST", JOB_PATH, JOB, headers)[0] == 200
        asked: QueueCall = finder.asked[0]
        assert (asked.action, asked.host, asked.path) == (
            QueueAction.SUBMIT,
            "a.example",
            JOB_PATH,
        )
        assert asked.key_hash == hash_key("key-1")

    def test_states_and_counts_are_told(self):
        face, _ = callers(
            QueueAnswer(served=QueueOutcome.STATE, state="running"),
            QueueAnswer(served=QueueOutcome.COUNT, count=12),
            QueueAnswer(served=QueueOutcome.CANCELLED),
        )
        assert call(face, "GET", JOB_PATH)[2] == {"state": "running"}
        assert call(face, "GET", "/jobs/")[2] == {"pending": 12}
        assert call(face, "DELETE", JOB_PATH)[0] == 200

    @pytest.mark.parametrize(
        ("reason", "status"),
        [
            (Reason.UNKNOWN_QUEUE, 404),
            (Reason.UNKNOWN_KEY, 401),
            (Reason.NO_KEY, 401),
            (Reason.UNKNOWN_JOB, 410),
            (Reason.QUEUE_FULL, 429),
            (Reason.NOT_READY, 503),
        ],
    )
    def test_each_reason_has_its_status(self, reason, status):
        face, _ = callers(refusal(reason))
        assert call(face, "GET", JOB_PATH)[0] == status

    def test_a_refusal_says_when_to_come_back(self):
        face, _ = callers(refusal(Reason.QUEUE_FULL, retry_after_ms=1_400))
        assert call(face, "POST", JOB_PATH, JOB)[1]["retry-after"] == "2"

    def test_without_a_leader_the_answer_says_whether_the_job_may_run(self):
        face, _ = callers(
            NoLeaderError("none", verdict=Verdict.NOT_RUN),
            NoLeaderError("none", verdict=Verdict.MAY_HAVE_RUN),
        )
        assert call(face, "POST", JOB_PATH, JOB)[0] == 503
        assert call(face, "POST", JOB_PATH, JOB)[0] == 504

    def test_a_refusal_after_an_unanswered_attempt_is_not_passed_on(self):
        face, _ = callers(refusal(Reason.QUEUE_FULL), repeated=True)
        assert call(face, "POST", JOB_PATH, JOB)[0] == 504

    @pytest.mark.parametrize("body", [b"", b"{", b"[]", {"spec": "x"}])
    def test_a_job_that_cannot_be_read_goes_nowhere(self, body):
        face, finder = callers()
        assert call(face, "POST", JOB_PATH, body)[0] == 400
        assert not finder.asked

    def test_a_body_above_the_bound_goes_nowhere(self):
        face, finder = callers()
        assert call(face, "POST", JOB_PATH, b"x" * 300_000)[0] == 413
        assert not finder.asked

    def test_while_closing_connections_are_given_up(self):
        face, _ = callers(QueueAnswer(served=QueueOutcome.STATE, state="running"))
        face.closing = True
        assert call(face, "GET", JOB_PATH)[1]["connection"] == "close"


def operators(*answers: Any) -> tuple[OperatorApp, FakeFinder]:
    finder = FakeFinder(*answers)
    settings = decode_settings(builders.platform_settings())
    return OperatorApp(settings=settings, finder=finder, metrics=Metrics()), finder


class TestOperators:
    def test_a_configuration_is_put_in_force_and_read_as_it_was_sent(self):
        text = orjson.dumps(builders.platform_configuration())
        face, finder = operators(
            DeclarationReply(version=7, text=b""), DeclarationReply(version=7, text=text)
        )
        assert call(face, "POST", "/config/replace", text)[0] == 200
        assert isinstance(finder.asked[0], DeclareRequest)
        assert finder.asked[0].text == text
        assert call(face, "GET", "/config/read")[2] == builders.platform_configuration()

    def test_an_invalid_configuration_reaches_nobody(self):
        face, finder = operators()
        data = builders.platform_configuration()
        data["routes"][0]["service"] = "nowhere"
        assert call(face, "POST", "/config/replace", data)[0] == 400
        assert not finder.asked

    def test_a_read_without_a_leader_or_before_a_configuration_is_unavailable(self):
        face, _ = operators(
            NoLeaderError("none", verdict=Verdict.NOT_RUN),
            RefusedError(Reason.NO_LEADER, "changed", verdict=Verdict.MAY_HAVE_RUN),
            DeclarationReply(version=0, text=b""),
        )
        for _ in range(3):
            assert call(face, "GET", "/config/read")[0] == 503

    def test_a_heartbeat_is_acknowledged_and_draws_no_later_ones_to_the_leader(self):
        face, finder = operators(ReportReply())
        status, _, body = call(
            face, "POST", "/instances/i-1/heartbeat", builders.platform_heartbeat()
        )
        assert status == 200
        assert body == {}
        assert isinstance(finder.asked[0], ForwardedReport)

    def test_a_foreign_heartbeat_is_refused_and_reaches_nobody(self):
        face, finder = operators()
        assert call(face, "POST", "/instances/i-1/heartbeat", b"\xff\x00")[0] == 400
        assert not finder.asked

    def test_a_wave_is_taken_and_told(self):
        face, finder = operators(
            WaveState(known=True, completed=False),
            WaveState(known=True, completed=True),
            WaveState(known=False, completed=False),
        )
        body = {"wave": 1, "machines": ["m-1"], "duration-s": 20.5, "cap": 1}
        assert call(face, "POST", "/wave-start", body)[0] == 200
        assert finder.asked[0].duration_ms == 20_500
        assert call(face, "GET", "/wave-get/1")[2] == {"state": "completed"}
        assert call(face, "GET", "/wave-get/2")[0] == 404
        assert isinstance(finder.asked[1], ReadWave)

    def test_unknown_paths_are_told(self):
        face, _ = operators()
        assert call(face, "GET", "/nothing")[0] == 404
        assert call(face, "GET", "/wave-get/x")[0] == 404

    def test_a_read_asks_the_leader(self):
        face, finder = operators(DeclarationReply(version=1, text=b"{}"))
        call(face, "GET", "/config/read")
        assert isinstance(finder.asked[0], ReadDeclaration)


Serve = Callable[[trio.SocketStream], Awaitable[None]]


def with_minion(answers: list[bytes], act: Callable[[PlatformMinionPort, Any], Awaitable[Any]]):
    """Let `act` call a TCP server that gives the answers one after the other."""
    requests: list[bytes] = []

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            while answers:
                data = await stream.receive_some(65_536)
                if not data:
                    return
                requests.append(data)
                answer = answers.pop(0)
                if not answer:
                    return
                await stream.send_all(answer)
            await trio.sleep_forever()

    async def main() -> Any:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            report = builders.minion().report
            report = attrs.evolve(report, address=f"127.0.0.1:{port}")
            result = await act(PlatformMinionPort(http=PlatformHttpClient()), report)
            nursery.cancel_scope.cancel()
            return result

    return trio.run(main), requests


def http(status: int, body: dict[str, Any] | None = None) -> bytes:
    text = b"" if body is None else orjson.dumps(body)
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(text), text)


ORDER = StartOrder(task="a.0.0.0", run=2, payload="x", lease_until_ms=9_000, token=7)


async def start(port: PlatformMinionPort, report: Any) -> Any:
    return await port.start(report, ORDER)


async def look(port: PlatformMinionPort, report: Any) -> Any:
    return await port.poll(report, token=7, recorded_end=3, lease_until_ms=9_000, wait_ms=0)


class TestMinions:
    @pytest.mark.parametrize(
        ("answer", "expected"),
        [
            (http(200, {"clock-ms": 5}), StartAnswer.STARTED),
            (http(409, {"clock-ms": 5, "reason": "fence"}), StartAnswer.FENCED),
            (http(409, {"clock-ms": 5, "reason": "old"}), StartAnswer.OUTDATED),
            (http(409, {"clock-ms": 5, "reason": "late"}), StartAnswer.LATE),
            (http(409, {"clock-ms": 5, "reason": "room"}), StartAnswer.NO_ROOM),
            (http(409, {"clock-ms": 5, "reason": "ticket"}), StartAnswer.BAD_TICKET),
            (http(400, {"clock-ms": 5}), StartAnswer.MALFORMED),
            (http(503), StartAnswer.UNHEALTHY),
            (http(421), StartAnswer.WRONG_INCARNATION),
        ],
    )
    def test_each_answer_to_a_start_is_told_apart(self, answer, expected):
        reply, requests = with_minion([answer], start)
        assert reply.answer is expected
        assert b"Expect-Instance: i-1" in requests[0]
        assert b'"fencing-token":7' in requests[0]

    @pytest.mark.parametrize(
        "answer", [b"", http(500), http(409, {"reason": "?"}), b"nonsense\r\n"]
    )
    def test_anything_else_leaves_the_start_unknown(self, answer):
        with pytest.raises(ExceptionGroup) as caught:
            with_minion([answer], start)
        assert caught.group_contains(UnknownOutcomeError)

    @pytest.mark.parametrize(
        ("answer", "error"),
        [
            (http(409, {"reason": "fence"}), FencedError),
            (http(421), WrongIncarnationError),
            (http(200, {"running": 5}), UnknownOutcomeError),
        ],
    )
    def test_a_look_that_is_refused_says_why(self, answer, error):
        with pytest.raises(ExceptionGroup) as caught:
            with_minion([answer], look)
        assert caught.group_contains(error)

    def test_a_connection_is_used_again(self):
        async def twice(port: PlatformMinionPort, report: Any) -> Any:
            await start(port, report)
            return await look(port, report)

        lists = http(200, {"clock-ms": 5, "running": [], "finished": []})
        found, requests = with_minion([http(200, {"clock-ms": 5}), lists], twice)
        assert found.clock_ms == 5
        assert len(requests) == 2

    def test_a_silent_connection_is_given_up_in_time(self):
        async def measure(port: PlatformMinionPort, report: Any) -> float:
            began = trio.current_time()
            with pytest.raises(UnknownOutcomeError):
                await port.http.send(report.address, "POST", "/hold", timeout_ms=200)
            return trio.current_time() - began

        took, _ = with_minion([], measure)
        assert took < 1
