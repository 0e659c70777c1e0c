"""One report or answer of a minion ends neither the leader nor the replicas that relay to it."""

from __future__ import annotations

from typing import Any

import attrs
import orjson
import pytest
import trio
import trio.testing

from hornbeamreach.exceptions import InvalidInputError
from hornbeamreach.fleet.ports import StartOrder, UnknownOutcomeError
from hornbeamreach.platform.decoding import decode_report
from hornbeamreach.platform.http_client import PlatformHttpClient, Response

from . import builders

REPORT = decode_report("i-1", orjson.dumps(builders.platform_heartbeat()))
ORDER = StartOrder(task="a.0.0.0", run=1, payload="x", lease_until_ms=9, token=1)
BAD_ADDRESSES = ["", "nowhere", "10.0.0.9:", "10.0.0.9:http", "10.0.0.9:70000", "x" * 70 + ".:80"]


@attrs.define
class FakeHttp:
    """Answer each request alike."""

    status: int
    body: Any

    async def send(self, *arguments: Any, **options: Any) -> Response:
        return Response(status=self.status, body=orjson.dumps(self.body))


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
