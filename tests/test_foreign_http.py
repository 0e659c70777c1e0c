"""One answer of a platform or endpoint ends no entry, and so not entry after entry."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import httpcore
import pytest
import trio

from hornbeamreach.entry.endpoint_client import AttemptError, EndpointClient
from hornbeamreach.entry.http_api import DEADLINE_HEADER, EntryApi
from hornbeamreach.exceptions import PlatformError, RefusedError
from hornbeamreach.verdict import Reason, Verdict
from hornbeamreach.web.http_platform import HttpPlatform


class FixedPool:
    """Answer each request with the same bytes."""

    def __init__(self, content: bytes) -> None:
        self.content = content

    async def request(self, *arguments: Any, **options: Any) -> httpcore.Response:
        response = httpcore.Response(200, content=self.content)
        await response.aread()
        return response


class TestPlatform:
    @pytest.mark.parametrize("content", [b"<html>", b"{", b"[" * 5_000, b"\xff", b"5", b"[]"])
    def test_an_unreadable_report_is_a_failed_call(self, content):
        platform = HttpPlatform("http://127.0.0.1:1")
        platform.pool = FixedPool(content)
        with pytest.raises(PlatformError):
            trio.run(platform.report)

    def test_an_order_answered_unreadably_may_have_run(self):
        platform = HttpPlatform("http://127.0.0.1:1")
        platform.pool = FixedPool(b"<html>")
        with pytest.raises(PlatformError) as caught:
            trio.run(platform.reboot, "vm-1", "operation")
        assert caught.value.verdict is not Verdict.NOT_RUN


class TestEndpoint:
    @pytest.mark.parametrize("address", ["", "nowhere:http", "127.0.0.1:70000", "\u00fc.example:1"])
    def test_a_call_to_an_unusable_address_is_a_failed_attempt(self, address):
        client = EndpointClient(address=address, connections=1)

        async def send() -> None:
            await client.send(
                service="quotes",
                request_id="r1",
                team="red",
                content_type="text/plain",
                body=b"x",
                deadline_ms=500,
                io_timeout_ms=500,
                max_answer_bytes=100,
            )

        with pytest.raises(AttemptError) as caught:
            trio.run(send)
        assert caught.value.failure.verdict is Verdict.NOT_RUN


class TestDeadline:
    @pytest.mark.parametrize("text", ["9" * 5_000, "\u00b2", "\u0663", "0", "-1", "1e3"])
    def test_a_deadline_that_is_no_number_is_refused_as_malformed(self, text):
        limits = SimpleNamespace(max_deadline_ms=60_000)
        api = SimpleNamespace(settings=SimpleNamespace(limits=limits))
        request = SimpleNamespace(headers={DEADLINE_HEADER: text})
        with pytest.raises(RefusedError) as caught:
            EntryApi._deadline_ms(api, request, None)
        assert caught.value.reason is Reason.MALFORMED
