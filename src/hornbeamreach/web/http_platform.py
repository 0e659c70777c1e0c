"""HTTP client of the platform."""

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
MIN_ERROR_STATUS = 400
JSON_HEADERS = [(b"content-type", b"application/json")]


class HttpPlatform:
    """Call the platform's HTTP API in one data centre."""

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        self.pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)

    async def start_task(self, request: TaskRequest) -> None:
        """Start a task; repeated requests start it only once."""
        await self._send("POST", "/platform/v1/tasks", to_plain(request))

    async def renew_leases(self, task_ids: list[str], lease_ms: int) -> None:
        """Renew the leases of tasks, to end `lease_ms` from now."""
        body = {"task_ids": task_ids, "lease_ms": lease_ms}
        await self._send("POST", "/platform/v1/leases", body)

    async def stop_task(self, task_id: str, *, checkpoint: bool) -> None:
        """Stop a task, after a checkpoint if `checkpoint` is set."""
        body = {"checkpoint": checkpoint}
        await self._send("POST", f"/platform/v1/tasks/{task_id}/stop", body)

    async def throttle_task(self, task_id: str, cpu_millis: int) -> None:
        """Limit the CPU use of a task to `cpu_millis`."""
        body = {"cpu_millis": cpu_millis}
        await self._send("POST", f"/platform/v1/tasks/{task_id}/throttle", body)

    async def forget_tasks(self, task_ids: list[str]) -> None:
        """Allow the platform to drop the reports of tasks that were recorded."""
        await self._send("POST", "/platform/v1/forget", {"task_ids": task_ids})

    async def reboot(self, vm: str, operation_id: str) -> None:
        """Reboot a VM; repeated requests with one operation id reboot it only once."""
        body = {"operation_id": operation_id}
        await self._send("POST", f"/platform/v1/vms/{vm}/reboot", body)

    async def report(self) -> PlatformReport:
        """Return the platform's report on the VMs and tasks."""
        data = await self._send("GET", "/platform/v1/report", None)
        if not isinstance(data, dict):
            raise PlatformError("the platform report is no object", verdict=Verdict.RAN)
        try:
            return wire_converter.structure(data, PlatformReport)
        except Exception as exc:
            raise PlatformError(
                f"unreadable platform report: {exc!r}", verdict=Verdict.RAN
            ) from exc

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
            detail = f"no connection to the platform, request not sent: {exc!r}"
            raise PlatformError(detail, verdict=Verdict.NOT_RUN) from exc
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as exc:
            detail = f"no response from the platform, request may still take effect: {exc!r}"
            raise PlatformError(detail, verdict=Verdict.MAY_HAVE_RUN) from exc
        if response.status >= MIN_ERROR_STATUS:
            detail = f"the platform refused {path} with status {response.status}"
            raise PlatformError(detail, verdict=Verdict.NOT_RUN)
        try:
            return orjson.loads(response.content) if response.content else None
        except orjson.JSONDecodeError as exc:
            detail = f"unreadable response of the platform: {exc}"
            raise PlatformError(detail, verdict=Verdict.MAY_HAVE_RUN) from exc
