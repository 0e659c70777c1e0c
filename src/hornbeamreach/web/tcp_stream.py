"""TCP stream with one event loop pass for a read and none for a write that the kernel accepts.

`trio.SocketStream` gives up the processor after each successful call and tries each read before it
waits. Requests and responses alternate, so a read nearly always has to wait.
"""

from __future__ import annotations

import socket
from contextlib import suppress

import trio
from attrs import define, field
from trio.lowlevel import checkpoint_if_cancelled, notify_closing, wait_readable, wait_writable

READ_BYTES = 65_536

Data = bytes | bytearray | memoryview


@define(eq=False)
class TcpStream(trio.abc.Stream):
    """Send and receive on a connected non-blocking socket, from one task at a time."""

    sock: socket.socket
    descriptor: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.descriptor = self.sock.fileno()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait for data and return it, or b"" once the peer has closed its side."""
        while True:
            await wait_readable(self.descriptor)
            try:
                return self.sock.recv(max_bytes or READ_BYTES)
            except BlockingIOError:
                pass

    def has_unread_data(self) -> bool:
        """Return whether data has arrived that isn't received yet; the peer's end is no data."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def send_now(self, data: Data) -> Data:
        """Send what the kernel accepts at once; return the rest."""
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            return data
        return b"" if sent == len(data) else data[sent:]

    async def send_all(self, data: Data) -> None:
        """Send the data; it is a checkpoint for cancellation, but other tasks may not run."""
        await checkpoint_if_cancelled()
        rest = memoryview(self.send_now(data))
        while rest:
            await wait_writable(self.descriptor)
            with suppress(BlockingIOError):
                rest = rest[self.sock.send(rest) :]

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the kernel accepts data."""
        await wait_writable(self.descriptor)

    def close(self) -> None:
        """Close the socket at once; a second call does nothing."""
        if self.sock.fileno() != -1:
            notify_closing(self.descriptor)
            self.sock.close()

    async def aclose(self) -> None:
        """Close the socket."""
        self.close()
        await trio.lowlevel.checkpoint()
