"""Control daemon."""

from __future__ import annotations

import random
from typing import Any

import trio

from hornbeamreach.clock import Clock
from hornbeamreach.control.disk import FileDisk
from hornbeamreach.control.node import ControlNode
from hornbeamreach.control.replica import run_in_thread
from hornbeamreach.daemons.process import daemon_main
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.websocket import LinkServer, WebSocketLink
from hornbeamreach.settings import ControlSettings
from hornbeamreach.web.connection_pool import connection_limits
from hornbeamreach.web.lean_server import serve_requests

# Part of the memory that the connections use, and the listeners' shares of it; peers that have
# proved to know the secret don't count.
MEMORY_SHARE = 0.25
OPERATORS_SHARE = 0.7
LINK_SHARE = 0.3


async def run_control(
    settings: ControlSettings,
    *,
    clock: Clock,
    rng: random.Random,
    stop: trio.Event,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run a control replica until `stop` is set, then transfer leadership and return."""
    disk = FileDisk(settings.data_folder)
    try:
        async with trio.open_nursery() as nursery:
            handlers = HandlerTable()
            process = settings.process
            link = WebSocketLink(nursery=nursery, secret=process.link_secret)
            node = ControlNode(
                settings=settings,
                disk=disk,
                link=link,
                handlers=handlers,
                clock=clock,
                rng=rng,
                run_blocking=run_in_thread,
            )
            server = LinkServer(
                address=process.link_address,
                secret=process.link_secret,
                handlers=handlers,
                limits=connection_limits(
                    memory_mb=settings.memory_mb, memory_share=MEMORY_SHARE, share=LINK_SHARE
                ),
            )
            http_stop = trio.Event()
            await nursery.start(server.run)
            await nursery.start(_serve, node, process.http_address, http_stop)
            await nursery.start(node.run)
            task_status.started(node)
            await stop.wait()
            await node.transfer_leadership()
            http_stop.set()
            nursery.cancel_scope.cancel()
    finally:
        disk.close()


async def _serve(
    node: ControlNode,
    address: str,
    stop: trio.Event,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    limits = connection_limits(
        memory_mb=node.settings.memory_mb, memory_share=MEMORY_SHARE, share=OPERATORS_SHARE
    )
    await serve_requests(
        node.api.build_app(), address, stop=stop, limits=limits, task_status=task_status
    )


def main() -> None:
    """Run the control daemon from the command line."""
    daemon_main(run_control, "control")


if __name__ == "__main__":
    main()
