"""The platform over its HTTP API."""

from __future__ import annotations

from typing import Any

import httpcore
import orjson

from hornbeamreach.clock import seconds
from hornbeamreach.converters import to_plain
from hornbeamreach.entry.worker_platform import PlatformReport, TaskRequest
from hornbeamreach.exceptions import PlatformError
from hornbeamreach.link.codec import wire_converter
from hornbeamreach.verdict import Verdict

REQUEST_TIMEOUT_MS = 3_000
CONNECT_TIMEOUT_MS = 1_000
MAX_CONNECTIONS = 16
HTTP_ERROR = 400
JSON_HEADERS = [(b"content-type", b"application/json")]


class HttpPlatform:
    """Call one data centre's platform endpoint."""

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        self.pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)

    async def start_task(self, request: TaskRequest) -> None:
        """Start a task, once however often it is asked."""
        await self._send("POST", "/platform/v1/tasks", to_plain(request))

    async def renew_leases(self, task_ids: list[str], lease_ms: int) -> None:
        """Let tasks run on for a while."""
        body = {"task_ids": task_ids, "lease_ms": lease_ms}
        await self._send("POST", "/platform/v1/leases", body)

    async def stop_task(self, task_id: str, *, checkpoint: bool) -> None:
        """Stop a task, saving its progress if asked to."""
        body = {"checkpoint": checkpoint}
        await self._send("POST", f"/platform/v1/tasks/{task_id}/stop", body)

    async def throttle_task(self, task_id: str, cpu_millis: int) -> None:
        """Hold a task's processor use to a limit."""
        body = {"cpu_millis": cpu_millis}
        await self._send("POST", f"/platform/v1/tasks/{task_id}/throttle", body)

    async def forget_tasks(self, task_ids: list[str]) -> None:
        """Let the platform drop reports that were recorded."""
        await self._send("POST", "/platform/v1/forget", {"task_ids": task_ids})

    async def reboot(self, vm: str, operation_id: str) -> None:
        """Reboot a VM, once however often the operation is asked."""
        body = {"operation_id": operation_id}
        await self._send("POST", f"/platform/v1/vms/{vm}/reboot", body)

    async def report(self) -> PlatformReport:
        """Return what is known of the VMs and tasks."""
        plain = await self._send("GET", "/platform/v1/report", None)
        try:
            return wire_converter.structure(plain, PlatformReport)
        except Exception as exc:
            raise PlatformError(f"unreadable report: {exc!r}", verdict=Verdict.RAN) from exc

    async def _send(self, method: str, path: str, body: Any) -> Any:
        content = None if body is None else orjson.dumps(body)
        timeout = {
            "connect": seconds(CONNECT_TIMEOUT_MS),
            "read": seconds(REQUEST_TIMEOUT_MS),
            "write": seconds(REQUEST_TIMEOUT_MS),
            "pool": seconds(REQUEST_TIMEOUT_MS),
        }
        try:
            response = await self.pool.request(
                method,
                self.url + path,
                headers=JSON_HEADERS,
                content=content,
                extensions={"timeout": timeout},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as exc:
            detail = f"the platform can't be reached: {exc!r}"
            raise PlatformError(detail, verdict=Verdict.NOT_RUN) from exc
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as exc:
            detail = f"the platform did not answer: {exc!r}"
            raise PlatformError(detail, verdict=Verdict.MAY_HAVE_RUN) from exc
        if response.status >= HTTP_ERROR:
            detail = f"the platform refused {path}: {response.status}"
            raise PlatformError(detail, verdict=Verdict.NOT_RUN)
        return orjson.loads(response.content) if response.content else None
