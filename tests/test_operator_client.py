"""The command line's client: which replica it asks, and what its refusals say."""

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
    """Return a client of two replicas that gives these answers in turn, the last one for ever."""
    left = list(answers)
    found = OperatorClient(addresses=["a:1", "b:1"], credential="key")

    def answer(*request):
        given = left.pop(0) if len(left) > 1 else left[0]
        if isinstance(given, Exception):
            raise given
        return given

    monkeypatch.setattr(found, "_send_to", answer)
    monkeypatch.setattr(client_module, "RETRY_DELAY_MS", 1)
    monkeypatch.setattr(client_module, "LEADER_TIMEOUT_MS", 50)
    return found


class TestOperatorClient:
    def test_it_waits_for_an_election(self, monkeypatch):
        asked = client(monkeypatch, no_leader(), no_leader(), no_leader(), DONE)
        assert asked.send("GET", "/v1/status") == {"version": 3}

    def test_without_a_leader_it_refuses_after_a_while(self, monkeypatch):
        with pytest.raises(RefusedError) as caught:
            client(monkeypatch, no_leader()).send("GET", "/v1/status")
        assert caught.value.verdict is Verdict.NOT_RUN

    def test_a_lost_answer_is_not_called_not_run_by_the_next_replica(self, monkeypatch):
        asked = client(monkeypatch, httpcore.ReadError(), no_leader())
        with pytest.raises(RefusedError) as caught:
            asked.send("POST", "/v1/changes", {})
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
