"""Measure the processor time of small HTTP requests, at the server and at the client.

Both run the real code on loopback, each in a process of its own. Run it with
`python -m benches.http`; the same file measures earlier commits.
"""

from __future__ import annotations

import functools
import socket
import statistics
import subprocess
import sys
import time
from typing import Any

import orjson
import trio

from benches.measure import median_seconds
from hornbeamreach.fleet.ports import StartOrder
from hornbeamreach.platform import asgi
from hornbeamreach.platform.http_client import PlatformHttpClient, Response
from hornbeamreach.platform.minion_port import PlatformMinionPort, decode_poll_result
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.web.lean_server import serve_requests

ROUNDS = 5
REQUESTS = 2_000
MICROSECONDS = 1_000_000
MAX_BODY_BYTES = 1 << 20
CPU_PATH = "/cpu"
# Argument of the process that serves.
SERVE = "serve"
REQUEST_BODY = orjson.dumps(
    {
        "task": "a1b2c3d4e5f60718.0.3.0",
        "run": 17,
        "spec": "x" * 40,
        "deadline-ms": 1_234_567,
        "fencing-token": 42,
    }
)
INSTANCE_HEADER = ((b"Expect-Instance", b"i-0123456789"),)
ROWS = 8
SPECS = {"40 bytes": "x" * 40, "4,000 bytes, half of them quotes": 'x"' * 2_000}
IMPORT_REPEATS = 9
IMPORTED = "hornbeamreach.web.lean_server, hornbeamreach.platform.http_client"


async def answer(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
    """Answer as a minion answers a start, or with the processor time used so far."""
    await asgi.read_body(receive, MAX_BODY_BYTES)
    content = time.thread_time() if scope["path"] == CPU_PATH else 1_234_567
    await asgi.send_response(send, 200, {"clock-ms": content})


def serve() -> None:
    """Serve on a free port, which is printed, until standard input ends."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"

    async def run() -> None:
        stop = trio.Event()
        serve = functools.partial(serve_requests, answer, address, stop=stop)
        async with trio.open_nursery() as nursery:
            await nursery.start(lambda task_status: serve(task_status=task_status))
            print(address, flush=True)
            await trio.to_thread.run_sync(sys.stdin.read)
            stop.set()

    trio.run(run)


async def send_requests(client: PlatformHttpClient, address: str, concurrency: int) -> float:
    """Send requests and return the processor time of this thread."""

    async def send_some() -> None:
        for _ in range(REQUESTS // concurrency):
            response = await client.send(
                address,
                "POST",
                "/run-start",
                body=REQUEST_BODY,
                headers=INSTANCE_HEADER,
                timeout_ms=5_000,
            )
            assert response.status == 200

    begin = time.thread_time()
    async with trio.open_nursery() as nursery:
        for _ in range(concurrency):
            nursery.start_soon(send_some)
    return time.thread_time() - begin


async def measure_exchange(address: str, concurrency: int) -> None:
    """Print the processor time of a request at both ends."""
    client = PlatformHttpClient()

    async def server_cpu() -> float:
        response = await client.send(address, "GET", CPU_PATH, timeout_ms=5_000)
        return orjson.loads(response.body)["clock-ms"]

    await send_requests(client, address, concurrency)
    at_client, at_server = [], []
    for _ in range(ROUNDS):
        before = await server_cpu()
        at_client.append(await send_requests(client, address, concurrency))
        at_server.append(await server_cpu() - before)
    client.drop_idle(address)
    scale = MICROSECONDS / REQUESTS
    print(
        f"{concurrency:2d} connections: client {statistics.median(at_client) * scale:6.1f} µs, "
        f"server {statistics.median(at_server) * scale:6.1f} µs a request"
    )


class NullClient:
    """Return the same response to each request."""

    async def send(self, *arguments: Any, **options: Any) -> Response:
        """Return a response without sending anything."""
        return Response(status=200, body=b'{"clock-ms":5}')


def measure_messages() -> None:
    """Print the time to decode a poll's result and to encode and decode a start."""
    lists = {
        "born": 1,
        "clock-ms": 1_234_567,
        "running": [[f"a1b2c3d4e5f60718.0.{n}.0", n, "", 100, 0] for n in range(ROWS)],
        "finished": [[n, f"a1b2c3d4e5f60718.0.{n}.0", n, "done", ""] for n in range(ROWS // 4)],
    }
    body = orjson.dumps(lists)

    def decode_lists() -> None:
        for _ in range(1_000):
            decode_poll_result(orjson.loads(body))

    print(f"a poll's result, {ROWS} runs: {median_seconds(decode_lists, ROUNDS) * 1_000:.1f} µs")
    report = MinionReport(
        minion="i-0123456789",
        born_ms=1,
        pool="p",
        address="10.0.0.1:80",
        data_center="dc1",
        sequence=1,
    )
    for name, spec in SPECS.items():
        port = PlatformMinionPort(http=NullClient())
        order = StartOrder(
            task="a1b2c3d4e5f60718.0.3.0",
            run=17,
            payload=spec,
            lease_until_ms=1_234_567,
            token=42,
        )

        async def start(port: PlatformMinionPort = port, order: StartOrder = order) -> None:
            for _ in range(1_000):
                await port.start(report, order)

        spent = median_seconds(functools.partial(trio.run, start), ROUNDS) * 1_000
        print(f"a start without HTTP, spec of {name}: {spent:.1f} µs")


def measure_import() -> None:
    """Print the time to import the server and client, after trio, attrs and orjson."""
    code = (
        "import time, trio, attrs, orjson, hornbeamreach.logs, hornbeamreach.fleet.ports\n"
        f"begin = time.process_time()\nimport {IMPORTED}\n"
        "print(time.process_time() - begin)"
    )
    spent = [
        float(subprocess.run([sys.executable, "-c", code], check=True, capture_output=True).stdout)
        for _ in range(IMPORT_REPEATS)
    ]
    print(f"import of the server and the client: {statistics.median(spent) * 1_000:.1f} ms")


def main() -> None:
    """Print the figures."""
    command = [sys.executable, "-m", "benches.http", SERVE]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as server:
        address = server.stdout.readline().decode().strip()
        for concurrency in (1, 8):
            trio.run(measure_exchange, address, concurrency)
        server.stdin.close()
    measure_messages()
    measure_import()


if __name__ == "__main__":
    if sys.argv[1:] == [SERVE]:
        serve()
    else:
        main()
