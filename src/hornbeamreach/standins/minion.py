"""A stand-in minion that serves calls over HTTP and announces its endpoint."""

from __future__ import annotations

from typing import Any

import httpcore
import orjson
import trio
from attrs import define
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.web.lean_server import serve_requests

ANNOUNCE_INTERVAL_MS = 1_000
ANNOUNCE_TIMEOUT_MS = 1_000
HTTP_UNAVAILABLE = 503
DEFAULT_DEADLINE_MS = 30_000


@define(kw_only=True)
class MinionBehaviour:
    """Configure how a stand-in minion responds to calls."""

    work_ms: int = 5
    never_responds: bool = False
    wrong_request_id: bool = False


@define(kw_only=True)
class Execution:
    """Represent one call that a minion ran."""

    request_id: str
    team: str
    body: bytes


class StandInMinion:
    """Serve one service from one VM and announce its endpoint."""

    def __init__(
        self,
        *,
        endpoint: str,
        service: str,
        vm: str,
        address: str,
        entries: list[str],
        credential: str,
        instance: str,
        slots: int,
        connections: int,
        clock: Clock,
        behaviour: MinionBehaviour | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.service = service
        self.vm = vm
        self.address = address
        self.entries = entries
        self.credential = credential
        self.instance = instance
        self.slots = slots
        self.connections = connections
        self.clock = clock
        self.behaviour = behaviour or MinionBehaviour()
        self.leaving = False
        self.sequence = 0
        self.running: dict[str, int] = {}
        self.executions: list[Execution] = []
        self.started_while_leaving: list[int] = []
        self.stop = trio.Event()
        self.http = httpcore.AsyncConnectionPool(max_connections=4)

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        path = f"/services/{self.service}"
        return Starlette(routes=[Route(path, self.serve_call, methods=["POST"])])

    async def serve_call(self, request: Request) -> Response:
        """Run one call, or respond with 503 and `x-not-run` if every slot is in use."""
        request_id = request.headers.get("x-request-id", "")
        team = request.headers.get("x-team", "")
        headers = {"x-request-id": request_id}
        if sum(self.running.values()) >= self.slots:
            return Response("busy", HTTP_UNAVAILABLE, headers | {"x-not-run": "slots"})
        body = await request.body()
        self.running[team] = self.running.get(team, 0) + 1
        self.executions.append(Execution(request_id=request_id, team=team, body=body))
        try:
            if self.behaviour.never_responds:
                await trio.sleep_forever()
            deadline_ms = int(request.headers.get("x-deadline-ms", DEFAULT_DEADLINE_MS))
            await trio.sleep(seconds(min(self.behaviour.work_ms, deadline_ms)))
        finally:
            self.running[team] -= 1
        if self.behaviour.wrong_request_id:
            headers["x-request-id"] = "somebody-else"
        content = orjson.dumps({"served_by": self.endpoint, "body": body.decode("latin-1")})
        return Response(content, headers=headers, media_type="application/json")

    def announcement(self) -> dict[str, Any]:
        """Return the body of the next announcement."""
        self.sequence += 1
        return {
            "endpoint": self.endpoint,
            "service": self.service,
            "address": self.address,
            "vm": self.vm,
            "slots": self.slots,
            "connections": self.connections,
            "instance": self.instance,
            "sequence": self.sequence,
            "leaving": self.leaving,
        }

    async def announce_once(self) -> None:
        """Announce the endpoint to the entry processes in turn, until one accepts it."""
        body = orjson.dumps(self.announcement())
        headers = [(b"authorization", f"Bearer {self.credential}".encode())]
        for attempt in range(len(self.entries)):
            entry = self.entries[(self.sequence + attempt) % len(self.entries)]
            with trio.move_on_after(seconds(ANNOUNCE_TIMEOUT_MS)):
                try:
                    url = f"http://{entry}/endpoints/v1/announce"
                    response = await self.http.request("POST", url, headers=headers, content=body)
                    if response.status == 200:  # noqa: PLR2004
                        return
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    continue

    async def announce_forever(self) -> None:
        """Announce at a fixed interval until cancelled."""
        while True:
            await self.announce_once()
            await trio.sleep(seconds(ANNOUNCE_INTERVAL_MS))

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve and announce until cancelled or stopped."""
        async with trio.open_nursery() as nursery:
            app = self.build_app()
            await nursery.start(_serve, app, self.address, self.stop)
            nursery.start_soon(self.announce_forever)
            task_status.started()
            await self.stop.wait()
            nursery.cancel_scope.cancel()


async def _serve(
    app: Starlette,
    address: str,
    stop: trio.Event,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    await serve_requests(app, address, stop=stop, task_status=task_status)
