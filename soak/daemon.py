"""Start of a daemon whose connections to other processes pass through the soak's proxies.

The daemons address one another by host, so a proxy for one direction of one pair can't be named
in the settings. The routes replace the hosts that are dialled, and nothing else of the program.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from typing import Any

from hornbeamreach.control.heartbeat_thread import HeartbeatThread
from hornbeamreach.link import websocket
from hornbeamreach.platform import control_daemon, launcher
from soak.parent import exit_with_parent

ROUTES_VARIABLE = "SOAK_ROUTES"
LINK_SCHEME = "ws://"


def install_routes(routes: dict[str, str]) -> None:
    """Make links and heartbeats dial the proxy of each host that has one."""

    def routed(address: str) -> str:
        host, _, port = address.rpartition(":")
        return f"{routes.get(host, host)}:{port}"

    connect = websocket.connect

    def connect_routed(uri: str, **options: Any) -> Any:
        address, _, path = uri.removeprefix(LINK_SCHEME).partition("/")
        return connect(f"{LINK_SCHEME}{routed(address)}/{path}", **options)

    def routed_heartbeats(
        *, address_of: Callable[[str], str | None], **options: Any
    ) -> HeartbeatThread:
        def routed_address_of(replica: str) -> str | None:
            address = address_of(replica)
            return address and routed(address)

        return HeartbeatThread(address_of=routed_address_of, **options)

    websocket.connect = connect_routed
    control_daemon.HeartbeatThread = routed_heartbeats


if __name__ == "__main__":
    exit_with_parent()
    install_routes(json.loads(os.environ.get(ROUTES_VARIABLE, "{}")))
    launcher.start(sys.argv[1])
