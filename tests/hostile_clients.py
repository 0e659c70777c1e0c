"""Crowds of clients that ignore the limits, and what a process uses while they stay connected."""

from __future__ import annotations

import http.client
import os
import selectors
import socket
import time

from attrs import define, field

from hornbeamreach.systems.replica_limits import MIB

from .processes import Daemon

# A crowd stops sending once the server has accepted nothing for this long.
SEND_TIMEOUT_S = 2
SETTLE_TIMEOUT_S = 30
SETTLE_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 5
ANSWER_TIMEOUT_S = 60
# So small that responses that are not read stay with the server.
RECEIVE_BUFFER_BYTES = 4_096
BUSY_SHARE = 0.3


def host_and_port(address: str) -> tuple[str, int]:
    """Return the parts of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@define(kw_only=True)
class Crowd:
    """Open connections that all send the same bytes, read nothing and stay open."""

    address: str
    connections: int
    payload: bytes
    sockets: list[socket.socket] = field(factory=list)

    def __enter__(self) -> Crowd:
        with selectors.DefaultSelector() as selector:
            for _ in range(self.connections):
                client = socket.socket()
                self.sockets.append(client)
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                client.setblocking(False)
                client.connect_ex(host_and_port(self.address))
                selector.register(client, selectors.EVENT_WRITE, memoryview(self.payload))
            while selector.get_map():
                ready = selector.select(SEND_TIMEOUT_S)
                if not ready:
                    break
                for key, _ in ready:
                    self._send(selector, key.fileobj, key.data)
        return self

    def _send(self, selector: selectors.BaseSelector, client: socket.socket, rest) -> None:
        try:
            rest = rest[client.send(rest) :]
        except BlockingIOError:
            return
        except OSError:
            # The server refused this client or closed its connection.
            rest = b""
        if rest:
            selector.modify(client, selectors.EVENT_WRITE, rest)
        else:
            selector.unregister(client)

    def __exit__(self, *exc_info) -> None:
        for client in self.sockets:
            client.close()


@define(kw_only=True)
class LimitedProcess:
    """Run a process that has limits of memory and descriptors, and measure what it uses."""

    daemon: Daemon
    memory_mb: int
    max_fds: int

    @property
    def pid(self) -> int:
        return self.daemon.process.pid

    def is_running(self) -> bool:
        return self.daemon.process.poll() is None

    def peak_memory_mb(self) -> float:
        with open(f"/proc/{self.pid}/status") as status:
            line = next(line for line in status if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 / MIB

    def open_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def cpu_s(self) -> float:
        with open(f"/proc/{self.pid}/stat") as stat:
            columns = stat.read().rpartition(")")[2].split()
        return (int(columns[11]) + int(columns[12])) / os.sysconf("SC_CLK_TCK")

    def settle(self) -> None:
        """Wait until the process has nothing more to do with what it has received."""
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        while self.is_running() and time.monotonic() < deadline:
            before = self.cpu_s()
            time.sleep(SETTLE_INTERVAL_S)
            if self.is_running() and self.cpu_s() - before < BUSY_SHARE * SETTLE_INTERVAL_S:
                return

    def check_limits(self) -> None:
        """Check that the process runs within its limits."""
        assert self.is_running(), f"process ended: {self.daemon.output()[-2_000:]}"
        memory_mb, descriptors = self.peak_memory_mb(), self.open_descriptors()
        assert memory_mb < self.memory_mb, f"peak memory is {memory_mb:.0f} MB"
        assert descriptors < self.max_fds, f"{descriptors} descriptors are open"


def request(
    address: str, method: str, path: str, body: bytes | None = None, **headers: str
) -> tuple[int, bytes]:
    """Send one request on a new connection; return a complete response's status and body."""
    connection = http.client.HTTPConnection(*host_and_port(address), timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def wait_for_answer(
    address: str, method: str, path: str, statuses: tuple[int, ...], **arguments
) -> None:
    """Send a request, on a new connection each time, until it is answered with a status."""
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    answer: object = None
    while time.monotonic() < deadline:
        try:
            answer = request(address, method, path, **arguments)
            if answer[0] in statuses:
                return
        except (OSError, http.client.HTTPException) as exc:
            answer = exc
        time.sleep(0.1)
    raise AssertionError(f"{method} {path} was not answered; last: {answer!r:.200}")
