"""A request of which an earlier attempt may have run is never reported as not run."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from hornbeamreach.clock import seconds
from hornbeamreach.exceptions import (
    NotLeaderError,
    PeerTimeoutError,
    PeerUnreachableError,
    RefusedError,
)
from hornbeamreach.fleet.messages import QueueAction, QueueAnswer, QueueCall, QueueOutcome
from hornbeamreach.link.codec import DecodeError
from hornbeamreach.link.interface import NO_TERM
from hornbeamreach.link.leader_finder import LeaderFinder, LeaderReply, NoLeaderError
from hornbeamreach.verdict import Reason, Verdict

from . import builders
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


def submission() -> QueueCall:
    return QueueCall(
        action=QueueAction.SUBMIT,
        host="a.example",
        path=JOB_PATH,
        spec=builders.step_job(),
        leader_term=NO_TERM,
    )


def answer(term: int, reason: Reason | None = None) -> QueueAnswer:
    served = QueueOutcome.REFUSED if reason else QueueOutcome.ACCEPTED
    return QueueAnswer(served=served, reason=reason, term=term)


class TimedLink:
    """Answer each attempt with the next outcome, after a delay in ms."""

    def __init__(self, *outcomes: tuple[int, Any]) -> None:
        self.outcomes = list(outcomes)
        self.sent: list[tuple[str, int]] = []

    async def request(self, address: str, message: Any, *, timeout_ms: int) -> Any:
        self.sent.append((address, message.leader_term))
        delay_ms, outcome = self.outcomes.pop(0) if self.outcomes else (1, NotLeaderError(None))
        with trio.move_on_after(seconds(timeout_ms)):
            await trio.sleep(seconds(delay_ms))
            if isinstance(outcome, Exception):
                raise outcome
            return outcome
        raise LOST


def submit(
    *outcomes: tuple[int, Any], timeout_ms: int = 2_850, **fields: Any
) -> tuple[Any, float, list[tuple[str, int]]]:
    """Submit a job; return the reply or error, the time taken in ms, and what was sent."""
    link = TimedLink(*outcomes)
    columns = {"leader": "a:1", "term": 4, "term_checkers": {"a:1", "b:1", "c:1"}, **fields}
    finder = LeaderFinder(
        link=link, clock=virtual_clock(), replicas=["a:1", "b:1", "c:1"], **columns
    )

    async def main() -> tuple[Any, float]:
        began = trio.current_time()
        try:
            result = await finder.send_request(submission(), timeout_ms=timeout_ms)
        except (NoLeaderError, RefusedError) as exc:
            result = exc
        return result, (trio.current_time() - began) * 1_000

    return *run_virtual(main), link.sent


UNREACHABLE = (1, PeerUnreachableError("no connection"))
REDIRECT = (1, NotLeaderError("b:1", term=5))
SILENT = (100_000, None)
REFUSED = Reason.QUEUE_FULL


class TestSubmission:
    """The next leader settles an attempt without an answer, as far as terms prove it."""

    @pytest.mark.parametrize("lost", [(1, LOST), (1, UNKNOWN), (1, UNREADABLE), SILENT])
    def test_a_refusal_by_a_leader_of_a_later_term_is_conclusive(self, lost):
        result, _, sent = submit(lost, REDIRECT, (1, answer(5, REFUSED)))
        assert result == LeaderReply(reply=answer(5, REFUSED), repeated=False)
        # The replica that is asked for the leader must not accept the job in a term of its own.
        assert [term for _, term in sent] == [4, NO_TERM, 5]

    @pytest.mark.parametrize("lost", [(1, LOST), (1, UNKNOWN)])
    def test_a_refusal_in_the_same_term_is_not_conclusive(self, lost):
        redirect = (1, NotLeaderError("a:1", term=4))
        assert submit(lost, redirect, (1, answer(4, REFUSED)))[0].repeated

    def test_a_refusal_that_names_no_term_is_not_conclusive(self):
        assert submit((1, LOST), REDIRECT, (1, answer(0, REFUSED)))[0].repeated

    def test_a_replica_that_is_not_known_to_compare_terms_may_accept_in_any(self):
        result, _, _ = submit((1, LOST), REDIRECT, (1, answer(5, REFUSED)), term_checkers=set())
        assert result.repeated

    def test_a_repeat_that_is_accepted_settles_the_lost_attempt(self):
        assert submit(SILENT, REDIRECT, (1, answer(5)))[0].reply == answer(5)

    @pytest.mark.parametrize("late", [answer(4), answer(4, REFUSED)])
    def test_a_late_answer_counts_though_another_replica_was_asked(self, late):
        # The leader's loop lags; the followers name no other leader.
        result, took_ms, sent = submit((900, late))
        assert result == LeaderReply(reply=late, repeated=False)
        assert took_ms < 1_000
        assert len(sent) > 1

    def test_a_leader_that_is_only_slow_gets_the_request_once(self):
        # Repeats would multiply the work of a leader that has too little processor time.
        redirect = (1, NotLeaderError("a:1", term=4))
        result, _, sent = submit((2_000, answer(4)), *[redirect] * 3)
        assert result == LeaderReply(reply=answer(4), repeated=False)
        assert [address for address, _ in sent].count("a:1") == 1

    def test_two_late_refusals_are_conclusive_together(self):
        redirect = (1, NotLeaderError("a:1", term=4))
        result, _, _ = submit((1_200, answer(4, REFUSED)), redirect, (100, answer(4, REFUSED)))
        assert not result.repeated

    def test_an_unanswered_attempt_without_a_later_leader_may_have_run(self):
        result, took_ms, _ = submit(SILENT)
        assert result.verdict is Verdict.MAY_HAVE_RUN
        assert took_ms <= 2_950

    def test_probes_without_an_answer_have_not_run(self):
        result, _, sent = submit(SILENT, SILENT, SILENT, SILENT, SILENT, leader="")
        assert result.verdict is Verdict.NOT_RUN
        assert {term for _, term in sent} == {NO_TERM}

    def test_an_election_that_takes_two_seconds_is_waited_for(self):
        waiting = [(1, NotLeaderError(None, term=4))] * 31
        result, took_ms, _ = submit(UNREACHABLE, *waiting, REDIRECT, (1, answer(5)))
        assert result.reply == answer(5)
        assert 1_900 < took_ms < 2_200

    def test_an_outage_longer_than_an_election_is_answered_at_once(self):
        # Without a majority nothing was sent, and waiting for the deadline would not help.
        result, took_ms, _ = submit(UNREACHABLE, leaderless_since_ms=0, timeout_ms=20_000)
        assert result.verdict is Verdict.NOT_RUN
        assert took_ms < 2_400
