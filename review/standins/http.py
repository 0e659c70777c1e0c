"""A small HTTP/1.1 client and server on asyncio, for the stand-ins (PROTOCOL.md, first lines)."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, Any]]]
READ_LIMIT = 8 * 1024 * 1024
# `max-connections` of the services; further connections wait.
MAX_CONNECTIONS = 64


async def _read_headers(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, Any]:
    """Send one request on a connection of its own; return status 0 without a whole response."""
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(content)}", "Connection: close"]
    all_headers = {"Host": address, "Content-Type": "application/json", **(headers or {})}
    lines += [f"{name}: {value}" for name, value in all_headers.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=READ_LIMIT)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            await writer.drain()
            first, received = await _read_headers(reader)
            data = await reader.readexactly(int(received.get("content-length", "0")))
            return int(first.split()[1]), json.loads(data) if data else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Serve one address; it can be closed at once, which resets its connections."""

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        # Cleared while the address is cut off: what arrives is held until the cut heals.
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.slots = asyncio.Semaphore(MAX_CONNECTIONS)

    async def start(self) -> None:
        """Begin to listen."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(
            self._serve, host, int(port), limit=READ_LIMIT, backlog=512
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self._serve_requests(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async with self.slots:
            while True:
                first, headers = await _read_headers(reader)
                method, path, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self.reachable.wait()
                status, content = await self.handler(method, path, headers, body)
                data = b"" if content is None else json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                await self.reachable.wait()
                writer.write(head.encode() + data)
                await writer.drain()

    async def kill(self) -> None:
        """Stop listening and reset all connections, as at the end of a process."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)
