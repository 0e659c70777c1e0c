"""A stand-in for the platform's VM service as a process: it lists the VMs and moves none."""

from __future__ import annotations

import json
import sys
from typing import Any

import orjson
import trio
from attrs import define, field

from hornbeamreach.platform import asgi
from hornbeamreach.web.lean_server import serve_requests
from soak.parent import boottime_ms, exit_with_parent

# A VM whose minion has not called for this long is listed as down.
SILENT_AFTER_MS = 3_000
MAX_BODY_BYTES = 64 * 1024
HTTP_OK, HTTP_CONFLICT = 200, 409


@define(kw_only=True, eq=False)
class VmService:
    """List VMs with the ids of their minions."""

    # Pool and data centre of each VM.
    vms: dict[str, tuple[str, str]]
    minions: dict[str, tuple[str, float]] = field(factory=dict)

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one request."""
        try:
            body = await asgi.read_body(receive, MAX_BODY_BYTES)
        except asgi.ClientDisconnectedError:
            return
        if scope["path"] == "/machines":
            rows = [self._row(vm) for vm in self.vms]
            await asgi.send_response(send, HTTP_OK, {"machines": rows})
        elif scope["path"] == "/instances":
            data = orjson.loads(body)
            self.minions[data["machine"]] = (data["id"], boottime_ms())
            await asgi.send_response(send, HTTP_OK, {})
        else:
            await asgi.send_response(send, HTTP_CONFLICT, {"reason": "busy"})

    def _row(self, vm: str) -> dict[str, Any]:
        pool, data_center = self.vms[vm]
        minion, seen_ms = self.minions.get(vm, ("", -SILENT_AFTER_MS))
        is_up = boottime_ms() - seen_ms < SILENT_AFTER_MS
        row = {"machine": vm, "pool": pool, "zone": data_center}
        return {**row, "state": "up", "id": minion} if is_up else {**row, "state": "down"}


async def run(address: str, vms: dict[str, tuple[str, str]]) -> None:
    """Serve until the process is ended."""
    await serve_requests(VmService(vms=vms), address, stop=trio.Event())


if __name__ == "__main__":
    exit_with_parent()
    trio.run(run, sys.argv[1], json.loads(sys.argv[2]))
