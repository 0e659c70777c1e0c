"""HTTP applications for callers, operators and heartbeats, and the HTTP client to minions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import attrs
import orjson
import pytest
import trio

from hornbeamreach.exceptions import RefusedError
from hornbeamreach.fleet.messages import (
    DeclarationReply,
    DeclareRequest,
    EvacuationReply,
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
from hornbeamreach.fleet.report_forwarder import ReportForwarder
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
    """Reply to requests with the given answers in turn, and record the requests."""

    def __init__(self, *answers: Any, repeated: bool = False) -> None:
        self.answers = list(answers)
        self.repeated = repeated
        self.requests: list[Any] = []
        self.leader = "10.2.0.18:7000"
        self.clock = SimpleNamespace(now_ms=lambda: 0)

    async def send_request(self, message: Any, *, timeout_ms: int) -> LeaderReply:
        self.requests.append(message)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return LeaderReply(reply=answer, repeated=self.repeated)


def send_request(
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
    response_headers = {k.decode(): v.decode() for k, v in sent[0]["headers"]}
    response_body = sent[1]["body"]
    return (
        sent[0]["status"],
        response_headers,
        orjson.loads(response_body) if response_body else None,
    )


def make_caller_app(*answers: Any, **options: Any) -> tuple[CallerApp, FakeFinder]:
    finder = FakeFinder(*answers, **options)
    return CallerApp(finder=finder, metrics=Metrics()), finder


def refusal(reason: Reason, retry_after_ms: int = 0) -> QueueAnswer:
    return QueueAnswer(served=QueueOutcome.REFUSED, reason=reason, retry_after_ms=retry_after_ms)


class TestExtremeNumbers:
    """A number that Python refuses to convert is answered as any other malformed one."""

    @pytest.mark.parametrize("deadline", ["9" * 5_000, "9" * 16, "-1", "1e9", "\u00b2"])
    def test_a_deadline_that_is_no_number_is_ignored(self, deadline):
        app, _ = make_caller_app(QueueAnswer(served=QueueOutcome.COUNT, count=0))
        assert send_request(app, "GET", "/jobs/", headers={"Deadline-Ms": deadline})[0] == 200

    @pytest.mark.parametrize("number", ["9" * 5_000, "\u00b2", "\u0663", "-1", "1.0"])
    def test_a_wave_that_is_no_number_is_unknown(self, number):
        app, finder = make_operator_app()
        assert send_request(app, "GET", f"/wave-get/{number}")[0] == 404
        assert not finder.requests


class TestCallers:
    def test_a_job_is_submitted_with_the_hash_of_its_key(self):
        app, finder = make_caller_app(QueueAnswer(served=QueueOutcome.ACCEPTED))
        headers = {"Host": "a.example", "Credential": "key-1"}
        assert send_request(app, "POST", JOB_PATH, JOB, headers)[0] == 200
        request: QueueCall = finder.requests[0]
        assert (request.action, request.host, request.path) == (
            QueueAction.SUBMIT,
            "a.example",
            JOB_PATH,
        )
        assert request.key_hash == hash_key("key-1")

    def test_states_and_counts_are_returned(self):
        app, _ = make_caller_app(
            QueueAnswer(served=QueueOutcome.STATE, state="running"),
            QueueAnswer(served=QueueOutcome.COUNT, count=12),
            QueueAnswer(served=QueueOutcome.CANCELLED),
        )
        assert send_request(app, "GET", JOB_PATH)[2] == {"state": "running"}
        assert send_request(app, "GET", "/jobs/")[2] == {"pending": 12}
        assert send_request(app, "DELETE", JOB_PATH)[0] == 200

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
    def test_each_refusal_reason_has_its_status(self, reason, status):
        app, _ = make_caller_app(refusal(reason))
        assert send_request(app, "GET", JOB_PATH)[0] == status

    def test_a_refusal_has_a_retry_after_header(self):
        app, _ = make_caller_app(refusal(Reason.QUEUE_FULL, retry_after_ms=1_400))
        assert send_request(app, "POST", JOB_PATH, JOB)[1]["retry-after"] == "2"

    def test_without_a_leader_the_status_shows_whether_the_job_may_run(self):
        app, _ = make_caller_app(
            NoLeaderError("none", verdict=Verdict.NOT_RUN),
            NoLeaderError("none", verdict=Verdict.MAY_HAVE_RUN),
        )
        assert send_request(app, "POST", JOB_PATH, JOB)[0] == 503
        assert send_request(app, "POST", JOB_PATH, JOB)[0] == 504

    def test_callers_of_an_outage_are_spread_from_when_the_last_report_lets_expect_room(self):
        # All callers of an outage must not reach the next leader together.
        none = NoLeaderError("none", verdict=Verdict.NOT_RUN)
        app, _ = make_caller_app(refusal(Reason.OVERLOADED, 6_000), *[none] * 4)
        assert send_request(app, "POST", JOB_PATH, JOB)[:1] == (429,)
        answers = [send_request(app, "POST", JOB_PATH, JOB) for _ in range(3)]
        assert [status for status, _, _ in answers] == [503] * 3
        assert {int(headers["retry-after"]) for _, headers, _ in answers} == {6, 7, 8}
        other = send_request(app, "POST", "/other" + JOB_PATH, JOB)
        assert int(other[1]["retry-after"]) <= 3

    def test_a_refusal_after_an_attempt_with_unknown_outcome_is_not_forwarded(self):
        # The earlier attempt may have submitted the job although the repeated one is refused.
        app, _ = make_caller_app(refusal(Reason.QUEUE_FULL), repeated=True)
        assert send_request(app, "POST", JOB_PATH, JOB)[0] == 504

    @pytest.mark.parametrize("body", [b"", b"{", b"[]", {"spec": "x"}])
    def test_an_undecodable_job_is_not_forwarded(self, body):
        app, finder = make_caller_app()
        assert send_request(app, "POST", JOB_PATH, body)[0] == 400
        assert not finder.requests

    def test_a_body_over_the_size_limit_is_not_forwarded(self):
        app, finder = make_caller_app()
        assert send_request(app, "POST", JOB_PATH, b"x" * 300_000)[0] == 413
        assert not finder.requests

    def test_responses_close_the_connection_during_shutdown(self):
        app, _ = make_caller_app(QueueAnswer(served=QueueOutcome.STATE, state="running"))
        app.closing = True
        assert send_request(app, "GET", JOB_PATH)[1]["connection"] == "close"


def make_operator_app(*answers: Any) -> tuple[OperatorApp, FakeFinder]:
    finder = FakeFinder(*answers)
    settings = decode_settings(builders.platform_settings())
    reports = ReportForwarder(finder=finder, clock=finder.clock)
    app = OperatorApp(settings=settings, finder=finder, metrics=Metrics(), reports=reports)
    return app, finder


class TestOperators:
    def test_a_configuration_is_declared_and_read_back_unchanged(self):
        text = orjson.dumps(builders.platform_configuration())
        app, finder = make_operator_app(
            DeclarationReply(version=7, text=b""), DeclarationReply(version=7, text=text)
        )
        assert send_request(app, "POST", "/config/replace", text)[0] == 200
        assert isinstance(finder.requests[0], DeclareRequest)
        assert finder.requests[0].text == text
        assert send_request(app, "GET", "/config/read")[2] == builders.platform_configuration()

    def test_the_status_of_the_replica_is_returned_without_asking_the_leader(self):
        app, finder = make_operator_app()
        app.describe = lambda: {"team_shares": {"a": {"attained": 0.5}}}
        status, _, body = send_request(app, "GET", "/operator/v1/status")
        assert (status, body) == (200, app.describe())
        assert not finder.requests

    def test_an_invalid_configuration_is_not_forwarded(self):
        app, finder = make_operator_app()
        data = builders.platform_configuration()
        data["routes"][0]["service"] = "nowhere"
        assert send_request(app, "POST", "/config/replace", data)[0] == 400
        assert not finder.requests

    def test_a_read_without_a_leader_or_before_a_configuration_is_unavailable(self):
        app, _ = make_operator_app(
            NoLeaderError("none", verdict=Verdict.NOT_RUN),
            RefusedError(Reason.NO_LEADER, "changed", verdict=Verdict.MAY_HAVE_RUN),
            DeclarationReply(version=0, text=b""),
        )
        for _ in range(3):
            assert send_request(app, "GET", "/config/read")[0] == 503

    def test_a_heartbeat_is_acknowledged_without_a_redirect_to_the_leader(self):
        app, finder = make_operator_app(ReportReply())
        status, _, body = send_request(
            app, "POST", "/instances/i-1/heartbeat", builders.platform_heartbeat()
        )
        assert status == 200
        assert body == {}
        assert isinstance(finder.requests[0], ForwardedReport)

    def test_an_undecodable_heartbeat_is_refused_and_not_forwarded(self):
        app, finder = make_operator_app()
        assert send_request(app, "POST", "/instances/i-1/heartbeat", b"\xff\x00")[0] == 400
        assert not finder.requests

    def test_a_wave_is_started_and_its_state_returned(self):
        app, finder = make_operator_app(
            WaveState(known=True, completed=False),
            WaveState(known=True, completed=True),
            WaveState(known=False, completed=False),
        )
        body = {"wave": 1, "machines": ["m-1"], "duration-s": 20.5, "cap": 1}
        assert send_request(app, "POST", "/wave-start", body)[0] == 200
        assert finder.requests[0].duration_ms == 20_500
        assert send_request(app, "GET", "/wave-get/1")[2] == {"state": "completed"}
        assert send_request(app, "GET", "/wave-get/2")[0] == 404
        assert isinstance(finder.requests[1], ReadWave)

    def test_an_evacuation_is_requested_withdrawn_and_refused_if_unknown(self):
        app, finder = make_operator_app(
            EvacuationReply(known=True), EvacuationReply(known=True), EvacuationReply(known=False)
        )
        assert send_request(app, "POST", "/evacuation/dc1/begin")[0] == 200
        assert send_request(app, "POST", "/evacuation/dc1/finish")[0] == 200
        status, _, body = send_request(app, "POST", "/evacuation/dc9/begin")
        assert (status, body["reason"]) == (404, Reason.UNKNOWN_ROW.value)
        assert "dc9" in body["detail"]
        assert [(r.data_center, r.begin) for r in finder.requests] == [
            ("dc1", True),
            ("dc1", False),
            ("dc9", True),
        ]
        assert send_request(app, "POST", "/evacuation/dc1/pause")[0] == 404

    def test_unknown_paths_are_not_found(self):
        app, _ = make_operator_app()
        assert send_request(app, "GET", "/nothing")[0] == 404
        assert send_request(app, "GET", "/wave-get/x")[0] == 404

    def test_a_read_is_sent_to_the_leader(self):
        app, finder = make_operator_app(DeclarationReply(version=1, text=b"{}"))
        send_request(app, "GET", "/config/read")
        assert isinstance(finder.requests[0], ReadDeclaration)


Serve = Callable[[trio.SocketStream], Awaitable[None]]


def call_minion(
    answers: list[bytes], exchange: Callable[[PlatformMinionPort, Any], Awaitable[Any]]
):
    """Run `exchange` against a TCP server that sends the answers in turn; b"" closes."""
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
            result = await exchange(PlatformMinionPort(http=PlatformHttpClient()), report)
            nursery.cancel_scope.cancel()
            return result

    return trio.run(main), requests


def http_response(status: int, body: dict[str, Any] | None = None) -> bytes:
    text = b"" if body is None else orjson.dumps(body)
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(text), text)


START_ORDER = StartOrder(task="a.0.0.0", run=2, payload="x", lease_until_ms=9_000, token=7)


async def send_start(port: PlatformMinionPort, report: Any) -> Any:
    return await port.start(report, START_ORDER)


async def send_poll(port: PlatformMinionPort, report: Any) -> Any:
    return await port.poll(report, token=7, recorded_end=3, lease_until_ms=9_000, wait_ms=0)


class TestMinions:
    @pytest.mark.parametrize(
        ("answer", "expected"),
        [
            (http_response(200, {"clock-ms": 5}), StartAnswer.STARTED),
            (http_response(409, {"clock-ms": 5, "reason": "fence"}), StartAnswer.FENCED),
            (http_response(409, {"clock-ms": 5, "reason": "old"}), StartAnswer.OUTDATED),
            (http_response(409, {"clock-ms": 5, "reason": "late"}), StartAnswer.LATE),
            (http_response(409, {"clock-ms": 5, "reason": "room"}), StartAnswer.NO_ROOM),
            (http_response(409, {"clock-ms": 5, "reason": "ticket"}), StartAnswer.BAD_TICKET),
            (http_response(400, {"clock-ms": 5}), StartAnswer.MALFORMED),
            (http_response(503), StartAnswer.UNHEALTHY),
            (http_response(421), StartAnswer.WRONG_INCARNATION),
        ],
    )
    def test_each_reply_to_a_start_is_decoded(self, answer, expected):
        reply, requests = call_minion([answer], send_start)
        assert reply.answer is expected
        assert b"Expect-Instance: i-1" in requests[0]
        assert b'"fencing-token":7' in requests[0]

    @pytest.mark.parametrize(
        "answer", [b"", http_response(500), http_response(409, {"reason": "?"}), b"nonsense\r\n"]
    )
    def test_any_other_reply_leaves_the_outcome_of_a_start_unknown(self, answer):
        with pytest.raises(ExceptionGroup) as caught:
            call_minion([answer], send_start)
        assert caught.group_contains(UnknownOutcomeError)

    @pytest.mark.parametrize(
        ("answer", "error"),
        [
            (http_response(409, {"reason": "fence"}), FencedError),
            (http_response(421), WrongIncarnationError),
            (http_response(200, {"running": 5}), UnknownOutcomeError),
        ],
    )
    def test_a_failed_poll_raises_the_error_for_its_cause(self, answer, error):
        with pytest.raises(ExceptionGroup) as caught:
            call_minion([answer], send_poll)
        assert caught.group_contains(error)

    def test_a_connection_is_reused(self):
        async def start_and_poll(port: PlatformMinionPort, report: Any) -> Any:
            await send_start(port, report)
            return await send_poll(port, report)

        lists = http_response(200, {"clock-ms": 5, "running": [], "finished": []})
        result, requests = call_minion([http_response(200, {"clock-ms": 5}), lists], start_and_poll)
        assert result.clock_ms == 5
        assert len(requests) == 2

    def test_a_silent_connection_is_abandoned_at_its_timeout(self):
        async def measure_wait(port: PlatformMinionPort, report: Any) -> float:
            began = trio.current_time()
            with pytest.raises(UnknownOutcomeError):
                await port.http.send(report.address, "POST", "/hold", timeout_ms=200)
            return trio.current_time() - began

        waited_s, _ = call_minion([], measure_wait)
        assert waited_s < 1
