"""A request of which an earlier attempt may have run is never reported as not run."""

from __future__ import annotations

from typing import Any

import pytest

from hornbeamreach.exceptions import NotLeaderError, PeerTimeoutError, RefusedError
from hornbeamreach.link.codec import DecodeError
from hornbeamreach.link.leader_finder import LeaderFinder, LeaderReply, NoLeaderError
from hornbeamreach.verdict import Reason, Verdict

from .fakes import run_virtual, virtual_clock
from .test_platform_http import JOB, JOB_PATH, make_caller_app, send_request

LOST = PeerTimeoutError("no answer")
UNREADABLE = DecodeError("not a message")
UNKNOWN = RefusedError(Reason.NO_LEADER, "leader changed", verdict=Verdict.MAY_HAVE_RUN)


def refused() -> RefusedError:
    return RefusedError(Reason.MALFORMED, "not handled here")


class ScriptedLink:
    """Answer requests with the given outcomes in turn."""

    def __init__(self, *outcomes: Any) -> None:
        self.outcomes = list(outcomes)

    async def request(self, address: str, message: Any, *, timeout_ms: int) -> Any:
        outcome = self.outcomes.pop(0) if self.outcomes else NotLeaderError(None)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


def find(*outcomes: Any) -> LeaderReply:
    finder = LeaderFinder(
        link=ScriptedLink(*outcomes), clock=virtual_clock(), replicas=["a:1", "b:1", "c:1"]
    )

    async def main() -> LeaderReply:
        return await finder.send_request("request", timeout_ms=1_000)

    return run_virtual(main)


class TestVerdict:
    @pytest.mark.parametrize("earlier", [LOST, UNKNOWN, UNREADABLE])
    def test_a_refusal_after_a_lost_answer_may_have_run(self, earlier):
        with pytest.raises(RefusedError) as caught:
            find(earlier, NotLeaderError("b:1"), refused())
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        assert caught.value.reason is Reason.MALFORMED

    def test_a_refusal_of_the_only_attempt_did_not_run(self):
        with pytest.raises(RefusedError) as caught:
            find(NotLeaderError("b:1"), refused())
        assert caught.value.verdict is Verdict.NOT_RUN

    def test_an_unreadable_reply_may_have_run_and_another_replica_is_asked(self):
        assert find(UNREADABLE, "reply") == LeaderReply(reply="reply", repeated=True)
        with pytest.raises(NoLeaderError) as caught:
            find(UNREADABLE)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN


class TestCallers:
    def test_a_refusal_that_may_have_run_is_answered_as_without_a_response(self):
        error = RefusedError(Reason.MALFORMED, "refused", verdict=Verdict.MAY_HAVE_RUN)
        app, _ = make_caller_app(error)
        status, headers, _ = send_request(app, "POST", JOB_PATH, JOB)
        assert status == 504
        assert "retry-after" not in headers

    def test_a_refusal_that_did_not_run_is_answered_as_unavailable(self):
        app, _ = make_caller_app(refused())
        assert send_request(app, "POST", JOB_PATH, JOB)[0] == 503
