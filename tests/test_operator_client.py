"""The operator client: its choice of a replica, and the verdicts of its refusals."""

from __future__ import annotations

import httpcore
import orjson
import pytest

from hornbeamreach.exceptions import RefusedError
from hornbeamreach.verdict import Reason, Verdict
from hornbeamreach.web import client as client_module
from hornbeamreach.web.client import HttpResponse, OperatorClient


def no_leader(verdict: Verdict = Verdict.NOT_RUN) -> HttpResponse:
    problem = {"reason": Reason.NO_LEADER.value, "verdict": verdict.value, "detail": "elsewhere"}
    return HttpResponse(status=503, headers={}, body=orjson.dumps(problem))


DONE = HttpResponse(status=200, headers={}, body=b'{"version": 3}')


def client(monkeypatch, *answers: HttpResponse | Exception) -> OperatorClient:
    """Return a client of two replicas that reply with these answers in turn, repeating the last."""
    remaining = list(answers)
    operator_client = OperatorClient(addresses=["a:1", "b:1"], credential="key")

    def answer(*request):
        next_answer = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        if isinstance(next_answer, Exception):
            raise next_answer
        return next_answer

    monkeypatch.setattr(operator_client, "_send_to", answer)
    monkeypatch.setattr(client_module, "RETRY_DELAY_MS", 1)
    monkeypatch.setattr(client_module, "LEADER_TIMEOUT_MS", 50)
    return operator_client


class TestOperatorClient:
    def test_a_request_is_retried_until_a_leader_is_elected(self, monkeypatch):
        operator_client = client(monkeypatch, no_leader(), no_leader(), no_leader(), DONE)
        assert operator_client.send("GET", "/v1/status") == {"version": 3}

    def test_a_request_is_refused_as_not_run_without_a_leader(self, monkeypatch):
        with pytest.raises(RefusedError) as caught:
            client(monkeypatch, no_leader()).send("GET", "/v1/status")
        assert caught.value.verdict is Verdict.NOT_RUN

    def test_a_lost_reply_is_reported_as_may_have_run_although_the_next_replica_refuses(
        self, monkeypatch
    ):
        operator_client = client(monkeypatch, httpcore.ReadError(), no_leader())
        with pytest.raises(RefusedError) as caught:
            operator_client.send("POST", "/v1/changes", {})
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
