"""Callers that submit jobs and follow them, and operators that change the deployment."""

from __future__ import annotations

import functools
import json
import math
import random
from collections.abc import Callable
from typing import Any

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.platform.http_client import HttpConnection
from hornbeamreach.web.http_messages import MalformedMessageError
from soak.deployment import POOL, Deployment
from soak.observations import (
    HTTP_GONE,
    HTTP_OK,
    NO_RESPONSE,
    DeclarationRead,
    Evacuation,
    JobRecord,
    Response,
)
from soak.parent import boottime_ms

HOST = "soak.example"
# Cap of processor use by team; 0 for none.
TEAM_CAPS = {"red": 36_000, "blue": 12_000, "green": 0}
QUEUES = {"/fast/": 4_000, "/slow/": 0}
# Each queue gets its next name after this many declarations, and has so many in turn.
VERSIONS_PER_NAME = 2
NAMES = 3
CALL_TIMEOUT_MS = 4_000
OPERATOR_TIMEOUT_MS = 1_500
RETRY_MS = (300, 1_500)
READ_INTERVAL_MS = (800, 2_500)
MAX_SUBMISSIONS = 6
# Ten callers send about six times the usual load of a team.
FLOOD_PAUSE_MS = (500, 1_100)
# Fractions of callers that give up after a refusal, that submit an accepted job once more, that
# cancel, and that read an end again.
ABANDON_FRACTION, REPEAT_FRACTION, CANCEL_FRACTION, READ_AGAIN_FRACTION = 0.4, 0.1, 0.08, 0.3
LASTING_WORK_MS = 1_000_000
READ_BYTES = 65_536
CALL_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, MalformedMessageError)


@define(kw_only=True, eq=False)
class KeptConnections:
    """Send requests on connections that stay open until the other side closes them."""

    nursery: trio.Nursery
    idle: dict[str, list[HttpConnection]] = field(factory=dict)

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = b"",
        *,
        key: str = "",
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> tuple[int, bytes]:
        """Return the status and the body of a response, or status 0 if there is none in time."""
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        headers = [(b"Host", HOST.encode()), (b"Content-Type", b"application/json")]
        headers += [(b"Credential", key.encode())] if key else []
        connection = None
        with trio.move_on_after(seconds(timeout_ms)):
            try:
                idle = self.idle.setdefault(address, [])
                connection = idle.pop() if idle else await _connect(address)
                response = await connection.exchange(method, path, headers, content)
            except CALL_ERRORS:
                if connection is not None:
                    await trio.aclose_forcefully(connection.stream)
                return NO_RESPONSE, b""
            if connection.is_reusable():
                idle.append(connection)
            else:
                self.nursery.start_soon(hold_open, connection.stream)
            return response.status, response.body
        if connection is not None:
            await trio.aclose_forcefully(connection.stream)
        return NO_RESPONSE, b""


async def _connect(address: str) -> HttpConnection:
    host, _, port = address.rpartition(":")
    return HttpConnection(stream=await trio.open_tcp_stream(host, int(port)))


async def hold_open(stream: trio.abc.Stream) -> None:
    """Keep a connection open until the other side closes it."""
    try:
        while await stream.receive_some(READ_BYTES):
            pass
    except CALL_ERRORS:
        pass
    await trio.aclose_forcefully(stream)


@define(kw_only=True, eq=False)
class Callers:
    """Submit jobs through the entries, and record every response."""

    deployment: Deployment
    connections: KeptConnections
    rng: random.Random
    nursery: trio.Nursery
    submitting: bool = True
    following: int = 0

    def new_job(self, team: str, *, lasting: bool = False) -> tuple[JobRecord, dict[str, Any]]:
        """Return a job and its body."""
        rng = self.rng
        cpu = 500 if lasting else rng.choice((1_000, 2_000, 3_000))
        work_ms = LASTING_WORK_MS if lasting else rng.randint(300, 900)
        step = {
            "count": 3 if lasting else rng.choice((2, 4, 6)),
            "cpu": cpu,
            "mem-mb": 256,
            "estimate-ms": int(work_ms * rng.uniform(0.5, 1.9)),
            "long-running": lasting,
            "may-miss": 1 if lasting else 0,
        }
        steps = [step] if lasting or rng.random() < 0.5 else [step, {**step, "after": [0]}]
        job = JobRecord(
            job_id=f"{rng.getrandbits(64):016x}",
            team=team,
            cpu_millis=cpu,
            task_count=sum(s["count"] for s in steps),
            lasting=lasting,
        )
        self.deployment.seen.jobs[job.job_id] = job
        return job, {"spec": json.dumps({"cpu": cpu, "work_ms": work_ms}), "steps": steps}

    async def _call(self, method: str, path: str, team: str, body: Any = b"") -> Response:
        address = self.deployment.caller_address(self.rng.choice(self.deployment.entries))
        sent_ms = boottime_ms()
        status, content = await self.connections.send(
            address, method, path, body, key=f"key-{team}"
        )
        state = ""
        if status == HTTP_OK and content:
            state = json.loads(content).get("state", "")
        return Response(sent_ms=sent_ms, at_ms=boottime_ms(), status=status, state=state)

    async def _pause(self, bounds_ms: tuple[int, int]) -> None:
        await trio.sleep(seconds(self.rng.uniform(*bounds_ms)))

    async def submit(self, team: str, *, lasting: bool = False) -> None:
        """Submit one job, with repeats, and follow it if it is accepted."""
        job, body = self.new_job(team, lasting=lasting)
        path = self.rng.choice(list(QUEUES)) + job.job_id
        while job.accepted_ms is None and len(job.submissions) < MAX_SUBMISSIONS:
            response = await self._submit_once(job, path, body)
            if response.status == HTTP_OK:
                self.nursery.start_soon(self._follow, job, path, body)
                return
            if response.states_not_run and self.rng.random() < ABANDON_FRACTION and not lasting:
                return
            await self._pause(RETRY_MS)

    async def _submit_once(self, job: JobRecord, path: str, body: dict[str, Any]) -> Response:
        # Recorded before it is sent: one that is cancelled may have been accepted.
        job.submissions.append(Response(sent_ms=boottime_ms(), at_ms=math.inf))
        number = len(job.submissions) - 1
        job.submissions[number] = await self._call("POST", path, job.team, body)
        return job.submissions[number]

    async def _follow(self, job: JobRecord, path: str, body: dict[str, Any]) -> None:
        self.following += 1
        if self.rng.random() < REPEAT_FRACTION:
            await self._pause(READ_INTERVAL_MS)
            await self._submit_once(job, path, body)
        cancels = job.lasting or self.rng.random() < CANCEL_FRACTION
        # A job that is gone is lost, and is not followed further.
        while job.final is None and not (job.reads and job.reads[-1].status == HTTP_GONE):
            await self._pause(READ_INTERVAL_MS)
            if cancels and job.cancelled_ms is None and not (job.lasting and self.submitting):
                job.cancels.append(await self._call("DELETE", path, job.team))
            job.reads.append(await self._call("GET", path, job.team))
        if self.rng.random() < READ_AGAIN_FRACTION:
            await self._pause(READ_INTERVAL_MS)
            job.reads.append(await self._call("GET", path, job.team))
        self.following -= 1

    async def submit_forever(
        self, team: str, pause_ms: tuple[int, int], *, until_ms: float = math.inf
    ) -> None:
        """Submit jobs one after another while callers submit, and none after `until_ms`."""
        while self.submitting and boottime_ms() < until_ms:
            await self.submit(team)
            await self._pause(pause_ms)

    async def flood(self, team: str, *, for_ms: int, callers: int = 10) -> None:
        """Submit jobs of one team from many callers at once."""
        until_ms = boottime_ms() + for_ms
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                flood = functools.partial(self.submit_forever, team, FLOOD_PAUSE_MS)
                nursery.start_soon(functools.partial(flood, until_ms=until_ms))

    async def hold_connections(self, addresses: Callable[[], list[str]]) -> None:
        """Keep an idle connection to each address open until the process has exited."""
        async with trio.open_nursery() as nursery:
            for address in addresses():
                nursery.start_soon(self._hold_connection, address)

    async def _hold_connection(self, address: str) -> None:
        while True:
            try:
                connection = await _connect(address)
                await connection.exchange("GET", "/idle", [(b"Host", HOST.encode())], b"")
                await hold_open(connection.stream)
            except CALL_ERRORS:
                pass
            await trio.sleep(seconds(RETRY_MS[0]))


@define(kw_only=True, eq=False)
class Operators:
    """Change the declaration and evacuate data centres, and record what was acknowledged."""

    deployment: Deployment
    connections: KeptConnections
    rng: random.Random
    version: int = 0
    acked_version: int = 0

    async def _send(self, method: str, path: str, body: Any = b"") -> tuple[int, bytes]:
        address = self.deployment.control_address(self.rng.choice(self.deployment.control))
        return await self.connections.send(
            address, method, path, body, timeout_ms=OPERATOR_TIMEOUT_MS
        )

    async def _send_until_acked(self, path: str, body: Any = b"") -> None:
        while (await self._send("POST", path, body))[0] != HTTP_OK:
            await trio.sleep(seconds(RETRY_MS[0]))

    def declaration(self, version: int) -> dict[str, Any]:
        """Return the declaration of a version."""
        return {
            "version": version,
            "limits": {},
            "services": [{"name": POOL, "rejects-overload": True}],
            "routes": [
                {
                    # Callers know only the path, so their jobs must be found under any name.
                    "name": f"{prefix.strip('/')}-{version // VERSIONS_PER_NAME % NAMES}",
                    "service": POOL,
                    "host": HOST,
                    "path-prefix": prefix,
                    "timeout-ms": 3_000,
                    "target-latency-ms": target_ms,
                    "priority": 0 if target_ms else 1,
                    "max-attempts": 100,
                }
                for prefix, target_ms in QUEUES.items()
            ],
            "tenants": [
                {
                    "name": team,
                    "weight": 1 + (version + number) % 10,
                    "cap": {"cpu": cap} if cap else {},
                    "api-keys": [f"key-{team}"],
                }
                for number, (team, cap) in enumerate(TEAM_CAPS.items())
            ],
        }

    async def change(self) -> None:
        """Put the next declaration in force, then read the one in force."""
        self.version += 1
        version = self.version
        await self._send_until_acked("/config/replace", self.declaration(version))
        self.acked_version = max(self.acked_version, version)
        await self.read()

    async def read(self) -> None:
        """Read the declaration in force."""
        acked_version = self.acked_version
        status, content = await self._send("GET", "/config/read")
        if status != HTTP_OK:
            return
        read = json.loads(content)
        self.deployment.seen.declaration_reads.append(
            DeclarationRead(
                at_ms=boottime_ms(), acked_version=acked_version, version=read["version"]
            )
        )
        if read != self.declaration(read["version"]):
            self.deployment.seen.incidents.append(f"another text than sent: {content[:200]!r}")

    async def evacuate(self, data_center: str, *, for_ms: int) -> None:
        """Evacuate a data centre, and withdraw that after a while."""
        await self._send_until_acked(f"/evacuation/{data_center}/begin")
        acked_ms = boottime_ms()
        await trio.sleep(seconds(for_ms))
        self.deployment.seen.evacuations.append(
            Evacuation(data_center=data_center, acked_ms=acked_ms, finish_sent_ms=boottime_ms())
        )
        await self._send_until_acked(f"/evacuation/{data_center}/finish")

    async def find_leader(self) -> str | None:
        """Return the control replica that leads in the highest term, if any answers."""
        found: list[tuple[int, str]] = []
        for name in self.deployment.control:
            status, content = await self.connections.send(
                self.deployment.control_address(name),
                "GET",
                "/operator/v1/status",
                timeout_ms=OPERATOR_TIMEOUT_MS // 3,
            )
            if status == HTTP_OK:
                row = json.loads(content)
                if row["role"] == "leader":
                    found.append((row["term"], name))
        return max(found)[1] if found else None
