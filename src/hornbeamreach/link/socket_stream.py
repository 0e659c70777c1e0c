"""Stream over a non-blocking socket that sends what an iteration of the event loop has gathered.

`trio.SocketStream` costs a task switch for each read and each write, and a write lets other tasks
run. Here a write only appends to a buffer; an instrument of the loop sends the buffers of all
streams before the loop waits for events.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
from collections import deque

import trio

from hornbeamreach.logs import part_logger

log = part_logger("link")

RECEIVE_BYTES = 64 * 1024
# Buffers that one system call sends; the limit of the system is 1,024.
MAX_CHUNKS_PER_SEND = 256


class LoopFlusher(trio.abc.Instrument):
    """Flush the streams written to since the loop last waited for events."""

    def __init__(self) -> None:
        self.streams: list[SocketStream] = []

    def before_io_wait(self, timeout: float) -> None:
        """Flush the streams."""
        if self.streams:
            streams, self.streams = self.streams, []
            for stream in streams:
                try:
                    stream.flush()
                except Exception as exc:
                    # The loop drops an instrument that raises, and then nothing would be sent.
                    log.error("unexpected error while sending, connection is closed: {!r}", exc)
                    stream.abort()


_flusher: trio.lowlevel.RunVar[LoopFlusher] = trio.lowlevel.RunVar("link flusher")


def current_flusher() -> LoopFlusher:
    """Return the flusher of the running event loop; install it at first use.

    Instruments run in the order in which they were installed, so one that measures the loop's idle
    time counts the sending as idle if it comes before this one.
    """
    try:
        return _flusher.get()
    except LookupError:
        flusher = LoopFlusher()
        _flusher.set(flusher)
        trio.lowlevel.add_instrument(flusher)
        return flusher


class SocketStream:
    """Receive from a connected socket, and buffer what is sent to it."""

    def __init__(self, stream: trio.SocketStream) -> None:
        # `trio.SocketStream` has set TCP_NODELAY.
        self.socket = socket.socket(fileno=stream.socket.detach())
        self.socket.setblocking(False)
        self.flusher = current_flusher()
        self.token = trio.lowlevel.current_trio_token()
        self.chunks: deque[bytes | memoryview] = deque()
        self.buffered_bytes = 0
        self.flush_due = False
        # The socket took less than was buffered, so `run_writer` sends the rest.
        self.blocked = trio.Event()
        self.drained = trio.Event()
        self.waiting_senders = 0
        self.eof_due = False
        self.closed = False

    async def receive(self) -> bytes:
        """Return the data that comes next, empty at the end of the stream or if it is lost."""
        while True:
            await trio.lowlevel.wait_readable(self.socket)
            try:
                return self.socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError:
                return b""

    def write(self, data: bytes) -> None:
        """Buffer data, to be sent before the loop waits for events."""
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        self._flush_soon()

    def write_ahead(self, data: bytes) -> None:
        """Buffer data ahead of other buffered data, but behind a write that may be sent in part."""
        self.chunks.insert(1, data)
        self.buffered_bytes += len(data)
        self._flush_soon()

    def write_eof(self) -> None:
        """Shut the sending direction down once all data is sent."""
        self.eof_due = True
        self._flush_soon()

    def _flush_soon(self) -> None:
        if not self.flush_due:
            self.flush_due = True
            self.flusher.streams.append(self)

    def flush(self) -> None:
        """Send what is buffered, as far as the socket takes it; may run outside of any task."""
        self.flush_due = False
        if self.closed or self.blocked.is_set():
            return
        self._send()
        if self.chunks or self.waiting_senders:
            # The loop has computed already how long it waits, so events set here would be
            # noticed late.
            with contextlib.suppress(trio.RunFinishedError):
                self.token.run_sync_soon(self._after_flush)

    def _after_flush(self) -> None:
        if self.chunks:
            self.blocked.set()
        else:
            self._wake_senders()

    def _wake_senders(self) -> None:
        self.drained.set()
        self.drained = trio.Event()

    def _send(self) -> None:
        try:
            while self.chunks:
                batch = list(itertools.islice(self.chunks, MAX_CHUNKS_PER_SEND))
                sent = self.socket.sendmsg(batch)
                self._forget_sent(sent)
                if sent < sum(map(len, batch)):
                    return
            if self.eof_due:
                self.eof_due = False
                self.socket.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            return
        except OSError:
            self.abort()

    def _forget_sent(self, sent: int) -> None:
        self.buffered_bytes -= sent
        while sent:
            chunk = self.chunks.popleft()
            if len(chunk) > sent:
                self.chunks.appendleft(memoryview(chunk)[sent:])
                return
            sent -= len(chunk)

    async def run_writer(self) -> None:
        """Send what the socket did not take at once, until cancelled."""
        while True:
            await self.blocked.wait()
            while self.chunks:
                await trio.lowlevel.wait_writable(self.socket)
                self._send()
            self.blocked = trio.Event()
            self._wake_senders()

    async def wait_drained(self) -> None:
        """Wait until all that is buffered has been sent, or the stream is closed."""
        self.waiting_senders += 1
        try:
            while self.chunks and not self.closed:
                await self.drained.wait()
        finally:
            self.waiting_senders -= 1

    def abort(self) -> None:
        """Drop what is buffered and end both directions, so that `receive` returns."""
        self.chunks.clear()
        self.buffered_bytes = 0
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket; no task may be waiting for it."""
        if self.closed:
            return
        self.closed = True
        self.chunks.clear()
        self.buffered_bytes = 0
        self._wake_senders()
        trio.lowlevel.notify_closing(self.socket)
        self.socket.close()
