"""HTTP requests to the platform's parties, on connections kept for each address."""

from __future__ import annotations

import httpcore
import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.ports import NoAnswerError

# Idle connections kept to one address; a minion takes 64 from all callers together.
MAX_IDLE_CONNECTIONS = 4
# An idle connection is not used after this: the other side may have closed it.
MAX_IDLE_MS = 10_000
JSON_HEADER = (b"Content-Type", b"application/json")


@define(frozen=True, kw_only=True)
class Response:
    """Hold an HTTP response."""

    status: int
    body: bytes


@define(kw_only=True, eq=False)
class IdleConnection:
    """Hold a connection that waits for its next request."""

    connection: httpcore.AsyncHTTPConnection
    since: float


@define(kw_only=True, eq=False)
class PlatformHttp:
    """Send requests, one at a time on each connection."""

    idle: dict[str, list[IdleConnection]] = field(factory=dict)

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
        """Return the whole response; raise NoAnswerError if none came in time.

        A connection that failed, timed out or was given up on is closed.
        """
        connection = self._take(address)
        answered = False
        try:
            with trio.fail_after(seconds(timeout_ms)):
                raw = await connection.request(
                    method.encode(),
                    httpcore.URL(
                        scheme=b"http",
                        host=address.rpartition(":")[0].encode(),
                        port=int(address.rpartition(":")[2]),
                        target=path.encode(),
                    ),
                    headers=[(b"Host", address.encode()), JSON_HEADER, *headers],
                    content=body,
                )
            answered = True
            return Response(status=raw.status, body=raw.content)
        except trio.TooSlowError:
            raise NoAnswerError(f"{address}{path}: no answer in {timeout_ms} ms") from None
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.ConnectionNotAvailable,
        ) as exc:
            raise NoAnswerError(f"{address}{path}: {exc!r}") from None
        finally:
            await self._give_back(address, connection, keep=answered)

    def _take(self, address: str) -> httpcore.AsyncHTTPConnection:
        waiting = self.idle.get(address, [])
        while waiting:
            found = waiting.pop()
            fresh = trio.current_time() - found.since < seconds(MAX_IDLE_MS)
            if fresh and found.connection.is_available():
                return found.connection
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return httpcore.AsyncHTTPConnection(origin=origin, http1=True, http2=False)

    async def _give_back(
        self, address: str, connection: httpcore.AsyncHTTPConnection, *, keep: bool
    ) -> None:
        waiting = self.idle.setdefault(address, [])
        if keep and connection.is_available() and len(waiting) < MAX_IDLE_CONNECTIONS:
            waiting.append(IdleConnection(connection=connection, since=trio.current_time()))
            return
        with trio.CancelScope(shield=True):
            await connection.aclose()

    def forget(self, address: str) -> None:
        """Use none of the connections to an address any more."""
        self.idle.pop(address, None)
