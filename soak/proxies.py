"""Loopback proxies between two processes that delay, cut, silence or reset their connections."""

from __future__ import annotations

import json
import socket
import struct
import sys
from typing import Any

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from soak.parent import exit_with_parent

READ_BYTES = 65_536
MAX_DATAGRAM_BYTES = 2_048
HOLD_CHECK_MS = 20
# Close with a reset instead of an orderly end.
LINGER_RESET = struct.pack("ii", 1, 0)
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@define(kw_only=True, eq=False)
class Proxy:
    """Pass the link of one process to another on, with its heartbeats.

    `forward` is what the source sends; `backward` is what comes back on the source's connections.
    Bytes of a cut direction are held and pass after the cut, as TCP does; datagrams are dropped.
    """

    source: str
    target: str
    proxy_host: str
    target_host: str
    link_port: int
    datagram_port: int
    delay_ms: int = 0
    cut_forward: bool = False
    cut_backward: bool = False
    streams: set[trio.SocketStream] = field(factory=set)

    def reset(self) -> None:
        """Reset all connections."""
        for stream in list(self.streams):
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            stream.socket.close()

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(self.link_port, host=self.proxy_host)
        datagrams = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await datagrams.bind((self.proxy_host, self.datagram_port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_datagrams, datagrams, nursery)
            task_status.started()
            await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, incoming: trio.SocketStream) -> None:
        outgoing = None
        self.streams.add(incoming)
        try:
            await self._wait_open("cut_forward")
            outgoing = await trio.open_tcp_stream(self.target_host, self.link_port)
            self.streams.add(outgoing)
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, incoming, outgoing, "cut_forward", scope)
                nursery.start_soon(self._pump, outgoing, incoming, "cut_backward", scope)
        except CONNECTION_ERRORS:
            return
        finally:
            for stream in (incoming, outgoing):
                if stream is not None:
                    self.streams.discard(stream)
                    await trio.aclose_forcefully(stream)

    async def _wait_open(self, direction: str) -> None:
        while getattr(self, direction):
            await trio.sleep(seconds(HOLD_CHECK_MS))

    async def _pump(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        direction: str,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(READ_BYTES):
                if self.delay_ms:
                    await trio.sleep(seconds(self.delay_ms))
                await self._wait_open(direction)
                await target.send_all(data)
        except CONNECTION_ERRORS:
            pass
        scope.cancel()

    async def _pass_datagrams(self, datagrams: Any, nursery: trio.Nursery) -> None:
        while True:
            try:
                data, _ = await datagrams.recvfrom(MAX_DATAGRAM_BYTES)
                if not self.cut_forward:
                    nursery.start_soon(self._pass_datagram, datagrams, data)
            except OSError:
                # The error of an earlier datagram to a process that is down.
                continue

    async def _pass_datagram(self, datagrams: Any, data: bytes) -> None:
        await trio.sleep(seconds(self.delay_ms))
        try:
            await datagrams.sendto(data, (self.target_host, self.datagram_port))
        except OSError:
            return


@define(kw_only=True, eq=False)
class ProxyServer:
    """Run the proxies, and change them as the lines on standard input tell.

    In a process of its own, so that the soak's callers don't delay the heartbeats.
    """

    proxies: dict[str, Proxy]

    async def run(self) -> None:
        """Serve until standard input is closed."""
        async with trio.open_nursery() as nursery:
            for proxy in self.proxies.values():
                await nursery.start(proxy.run)
            async for line in trio.wrap_file(sys.stdin):
                self.apply(json.loads(line))
            nursery.cancel_scope.cancel()

    def apply(self, change: dict[str, Any]) -> None:
        """Carry out one change of one proxy."""
        proxy = self.proxies[pair_name(change.pop("source"), change.pop("target"))]
        if change.pop("reset", False):
            proxy.reset()
        for name, value in change.items():
            setattr(proxy, name, value)


def pair_name(source: str, target: str) -> str:
    """Return the name of the proxy between two processes."""
    return f"{source} {target}"


if __name__ == "__main__":
    exit_with_parent()
    rows = json.loads(sys.argv[1])
    trio.run(
        ProxyServer(proxies={pair_name(r["source"], r["target"]): Proxy(**r) for r in rows}).run
    )
