"""Entry daemon."""

from __future__ import annotations

import random
from typing import Any

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.disk import FileDisk
from hornbeamreach.daemons.process import daemon_main
from hornbeamreach.entry.node import EntryNode
from hornbeamreach.entry.worker_platform import WorkerPlatform
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.websocket import LinkServer, WebSocketLink
from hornbeamreach.settings import EntrySettings
from hornbeamreach.web.connection_pool import connection_limits
from hornbeamreach.web.http_platform import HttpPlatform
from hornbeamreach.web.lean_server import GRACEFUL_TIMEOUT_MS, serve_requests

# Part of the memory that the connections use, and the listeners' shares of it; peers that have
# proved to know the secret don't count.
MEMORY_SHARE = 0.25
CALLERS_SHARE = 0.7
LINK_SHARE = 0.3
# Of the largest request line, besides the headers.
REQUEST_LINE_BYTES = 8_192


async def run_entry(
    settings: EntrySettings,
    *,
    clock: Clock,
    rng: random.Random,
    stop: trio.Event,
    platform: WorkerPlatform | None = None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry process until `stop` is set, then finish the requests in flight."""
    disk = FileDisk(settings.data_folder) if settings.data_folder else None
    try:
        async with trio.open_nursery() as nursery:
            handlers = HandlerTable()
            process = settings.process
            link = WebSocketLink(nursery=nursery, secret=process.link_secret)
            node = EntryNode(
                settings=settings,
                platform=platform or HttpPlatform(settings.platform_url),
                link=link,
                handlers=handlers,
                clock=clock,
                rng=rng,
                disk=disk,
            )
            server = LinkServer(
                address=process.link_address,
                secret=process.link_secret,
                handlers=handlers,
                limits=connection_limits(
                    memory_mb=settings.memory_mb, memory_share=MEMORY_SHARE, share=LINK_SHARE
                ),
            )
            http_stop, http_ended = trio.Event(), trio.Event()
            await nursery.start(server.run)
            await nursery.start(_serve, node, process.http_address, http_stop, http_ended)
            await nursery.start(node.run)
            task_status.started(node)
            await stop.wait()
            await node.leave()
            http_stop.set()
            with trio.move_on_after(seconds(GRACEFUL_TIMEOUT_MS)):
                await http_ended.wait()
            nursery.cancel_scope.cancel()
    finally:
        if disk is not None:
            disk.close()


async def _serve(
    node: EntryNode,
    address: str,
    stop: trio.Event,
    ended: trio.Event,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    try:
        settings = node.settings
        limits = connection_limits(
            memory_mb=settings.memory_mb,
            memory_share=MEMORY_SHARE,
            share=CALLERS_SHARE,
            max_head_bytes=settings.limits.max_header_bytes + REQUEST_LINE_BYTES,
        )
        await serve_requests(
            node.api.build_app(), address, stop=stop, limits=limits, task_status=task_status
        )
    finally:
        ended.set()


def main() -> None:
    """Run the entry daemon from the command line."""
    daemon_main(run_entry, "entry")


if __name__ == "__main__":
    main()
