"""Loopback proxies between two processes that delay, cut, silence or reset their connections."""

from __future__ import annotations

import socket
import struct
from typing import Any

import trio
from attrs import define, field

from hornbeamreach.clock import seconds

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
class ProxyNetwork:
    """Hold the proxies by source and target."""

    proxies: dict[tuple[str, str], Proxy] = field(factory=dict)

    def cut(self, source: str, target: str, *, held: bool) -> None:
        """Cut or restore what one process sends to another, on the connections of both."""
        if (source, target) in self.proxies:
            self.proxies[source, target].cut_forward = held
        if (target, source) in self.proxies:
            self.proxies[target, source].cut_backward = held

    def between(self, source: str, target: str) -> list[Proxy]:
        """Return the proxies of both directions."""
        pairs = ((source, target), (target, source))
        return [self.proxies[pair] for pair in pairs if pair in self.proxies]

    def heal(self) -> None:
        """Restore every connection."""
        for proxy in self.proxies.values():
            proxy.delay_ms, proxy.cut_forward, proxy.cut_backward = 0, False, False
