"""HTTP server for ASGI applications, with hypercorn on trio."""

from __future__ import annotations

import functools
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from hornbeamreach.clock import seconds

GRACEFUL_TIMEOUT_MS = 35_000
KEEP_ALIVE_MS = 60_000
BACKLOG = 1_024
MAX_INCOMPLETE_HEADER_BYTES = 512 * 1024


async def serve_http(
    app: Any,
    address: str,
    *,
    stop: trio.Event,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until `stop` is set, then finish the requests in flight."""
    config = Config()
    config.bind = [address]
    config.backlog = BACKLOG
    config.graceful_timeout = seconds(GRACEFUL_TIMEOUT_MS)
    config.keep_alive_timeout = seconds(KEEP_ALIVE_MS)
    config.h11_max_incomplete_size = MAX_INCOMPLETE_HEADER_BYTES
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    await serve(app, config, shutdown_trigger=functools.partial(stop.wait), task_status=task_status)
