"""HTTP client for endpoints; it classifies how an attempt failed."""

from __future__ import annotations

from typing import Any

import httpcore
import trio

from hornbeamreach.clock import seconds
from hornbeamreach.link.messages import CallReply
from hornbeamreach.systems.retries import FailedAttempt
from hornbeamreach.verdict import Reason, Verdict

CONNECT_TIMEOUT_MS = 500
REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_HEADER = b"x-deadline-ms"
CONTENT_TYPE_HEADER = b"content-type"
BUSY_STATUS = 503
NOT_RUN_HEADER = b"x-not-run"


class AttemptError(Exception):
    """Report a failed attempt."""

    def __init__(self, failure: FailedAttempt) -> None:
        self.failure = failure
        super().__init__(failure.detail)


def _attempt_error(reason: Reason, verdict: Verdict, detail: str) -> AttemptError:
    return AttemptError(FailedAttempt(reason=reason, verdict=verdict, detail=detail))


class EndpointClient:
    """Hold the connections to one endpoint's current address."""

    def __init__(self, *, address: str, connections: int) -> None:
        self.address = address
        self.connections = connections
        self.pool = self._new_pool()

    def _new_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=self.connections, max_keepalive_connections=self.connections
        )

    async def drop_connections(self) -> None:
        """Replace the connection pool and close the idle connections of the old one.

        The endpoint fell silent, so its old connections must not be used again.
        """
        old, self.pool = self.pool, self._new_pool()
        idle = [connection for connection in old.connections if connection.is_idle()]
        for connection in idle:
            with trio.CancelScope(shield=True):
                await connection.aclose()

    async def send(
        self,
        *,
        service: str,
        request_id: str,
        team: str,
        content_type: str,
        body: bytes,
        deadline_ms: int,
        io_timeout_ms: int,
        max_answer_bytes: int,
    ) -> CallReply:
        """Send a call and return the complete response; raise AttemptError on failure."""
        headers = [
            (CONTENT_TYPE_HEADER, content_type.encode("latin-1", "replace")),
            (REQUEST_ID_HEADER, request_id.encode()),
            (DEADLINE_HEADER, str(deadline_ms).encode()),
            (b"x-team", team.encode()),
        ]
        timeout = {
            "connect": seconds(CONNECT_TIMEOUT_MS),
            "pool": seconds(CONNECT_TIMEOUT_MS),
            "write": seconds(io_timeout_ms),
            "read": seconds(io_timeout_ms),
        }
        try:
            url = httpcore.URL(f"http://{self.address}/services/{service}")
        except (ValueError, TypeError) as exc:
            detail = f"{self.address!r} is no usable address: {exc!r}"
            raise _attempt_error(Reason.CONNECT_FAILED, Verdict.NOT_RUN, detail) from exc
        try:
            async with self.pool.stream(
                "POST",
                url,
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            ) as response:
                return await self._read(response, request_id, max_answer_bytes)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise _attempt_error(Reason.CONNECT_FAILED, Verdict.NOT_RUN, repr(exc)) from exc
        except httpcore.PoolTimeout as exc:
            raise _attempt_error(
                Reason.ENDPOINT_BUSY, Verdict.NOT_RUN, "no free connection"
            ) from exc
        except httpcore.TimeoutException as exc:
            detail = f"{self.address} was silent for {io_timeout_ms} ms"
            raise _attempt_error(Reason.CONNECTION_SILENT, Verdict.MAY_HAVE_RUN, detail) from exc
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            raise _attempt_error(Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, repr(exc)) from exc

    async def _read(
        self, response: httpcore.Response, request_id: str, max_answer_bytes: int
    ) -> CallReply:
        headers = {name.lower(): value for name, value in response.headers}
        if headers.get(REQUEST_ID_HEADER, b"").decode("latin-1") != request_id:
            detail = f"{self.address} answered another request"
            raise _attempt_error(Reason.ANSWER_FOREIGN, Verdict.MAY_HAVE_RUN, detail)
        body = await _read_body(response, max_answer_bytes)
        declared = headers.get(b"content-length")
        if declared is not None and int(declared) != len(body):
            detail = f"{self.address} sent {len(body)} bytes of {int(declared)}"
            raise _attempt_error(Reason.ANSWER_INCOMPLETE, Verdict.MAY_HAVE_RUN, detail)
        if response.status == BUSY_STATUS and NOT_RUN_HEADER in headers:
            raise _attempt_error(Reason.ENDPOINT_BUSY, Verdict.NOT_RUN, f"{self.address} is busy")
        return CallReply(
            status=response.status,
            content_type=headers.get(CONTENT_TYPE_HEADER, b"").decode("latin-1"),
            body=body,
            endpoint=self.address,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()


async def _read_body(response: Any, max_bytes: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > max_bytes:
            detail = f"the answer is over {max_bytes} bytes"
            raise _attempt_error(Reason.ANSWER_INCOMPLETE, Verdict.RAN, detail)
        parts.append(part)
    return b"".join(parts)
