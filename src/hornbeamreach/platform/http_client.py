"""HTTP client for the platform's services, with a connection pool for each address."""

from __future__ import annotations

import h11
import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import UnknownOutcomeError

# Limit for each address. A plan starts up to about this many tasks on a minion at once, and a
# minion accepts 64 connections from all clients together.
MAX_IDLE_CONNECTIONS = 10
# A connection idle for longer is not reused: the peer may have closed it.
MAX_IDLE_MS = 10_000
READ_BYTES = 65_536
# Raised for an address that no connection can be opened to.
ADDRESS_ERRORS = (ValueError, OverflowError)
JSON_HEADER = (b"Content-Type", b"application/json")


@define(frozen=True, kw_only=True)
class Response:
    """Hold an HTTP response."""

    status: int
    body: bytes


@define(kw_only=True, eq=False)
class HttpConnection:
    """Send requests on one connection, one after another."""

    stream: trio.abc.Stream
    protocol: h11.Connection = field(factory=lambda: h11.Connection(our_role=h11.CLIENT))
    idle_since: float = 0.0

    async def exchange(
        self,
        method: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> Response:
        """Send a request and return the whole response."""
        protocol = self.protocol
        request = h11.Request(
            method=method,
            target=path,
            headers=[*headers, (b"Content-Length", str(len(body)).encode())],
        )
        data = protocol.send(request) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        await self.stream.send_all(data)
        return await self._receive()

    async def _receive(self) -> Response:
        status = 0
        parts: list[bytes] = []
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await self.stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Response(status=status, body=b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before the response had come")

    def make_reusable(self) -> bool:
        """Prepare for the next request; return whether both sides keep the connection open."""
        if self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE:
            self.protocol.start_next_cycle()
            return True
        return False


@define(kw_only=True, eq=False)
class PlatformHttpClient:
    """Send requests, one at a time on each connection.

    Built on h11 instead of httpcore: an order to a minion takes about half the CPU time, and a
    scheduler sends hundreds a second.
    """

    idle_connections: dict[str, list[HttpConnection]] = field(factory=dict)

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout_ms: int,
    ) -> Response:
        """Send a request and return the whole response.

        Raise UnknownOutcomeError if the connection fails or there is no response within
        `timeout_ms`. A connection that failed, timed out or was cancelled is closed.
        """
        connection: HttpConnection | None = None
        completed = False
        try:
            with trio.fail_after(seconds(timeout_ms)):
                connection = self._pop_idle(address) or await _connect(address)
                all_headers = [(b"Host", address.encode()), JSON_HEADER, *headers]
                response = await connection.exchange(method, path, all_headers, body)
            completed = True
            return response
        except trio.TooSlowError:
            raise UnknownOutcomeError(f"{address}{path}: no answer in {timeout_ms} ms") from None
        except (OSError, trio.BrokenResourceError, h11.ProtocolError, *ADDRESS_ERRORS) as exc:
            raise UnknownOutcomeError(f"{address}{path}: {exc!r}") from None
        finally:
            if connection is not None and not (completed and self._keep_idle(address, connection)):
                await trio.aclose_forcefully(connection.stream)

    def _pop_idle(self, address: str) -> HttpConnection | None:
        connections = self.idle_connections.get(address, [])
        while connections:
            connection = connections.pop()
            if trio.current_time() - connection.idle_since < seconds(MAX_IDLE_MS):
                return connection
        return None

    def _keep_idle(self, address: str, connection: HttpConnection) -> bool:
        connections = self.idle_connections.setdefault(address, [])
        if len(connections) >= MAX_IDLE_CONNECTIONS or not connection.make_reusable():
            return False
        connection.idle_since = trio.current_time()
        connections.append(connection)
        return True

    def drop_idle(self, address: str) -> None:
        """Drop the idle connections to an address from the pool."""
        self.idle_connections.pop(address, None)


async def _connect(address: str) -> HttpConnection:
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket()
    try:
        sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        await sock.connect((host, int(port)))
    except BaseException:
        sock.close()
        raise
    return HttpConnection(stream=trio.SocketStream(sock))
