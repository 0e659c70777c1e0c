"""Compare calls through one entry with direct calls to the same minion, in one run."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import trio

from benches.measure import Summary, cpu_seconds, resident_mb, summarize
from hornbeamreach.web.client import AsyncHttpClient
from tests.process_fleet import ProcessFleet
from tests.processes import Daemon

SEQUENTIAL_CALLS = 600
ROUNDS = 3
CONCURRENCY = 24
BURST_CALLS = 2_400
MS_PER_SECOND = 1_000
DIRECT_CALL_HEADERS = {"x-request-id": "bench", "content-type": "text/plain"}


class Target:
    """Represent a URL with the credential and headers of its calls."""

    def __init__(self, url: str, bearer: str | None, headers: dict[str, str]) -> None:
        self.url = url
        self.bearer = bearer
        self.headers = headers
        self.http = AsyncHttpClient(max_connections=CONCURRENCY)

    async def call(self) -> float:
        """Send one call and return its latency in ms."""
        start = time.perf_counter()
        answer = await self.http.send(
            "POST", self.url, bearer=self.bearer, headers=self.headers, body=b"bench"
        )
        assert answer.status == 200, answer.body
        return (time.perf_counter() - start) * MS_PER_SECOND


async def measure_latency(target: Target) -> Summary:
    """Send calls sequentially and return the summary of their latencies in ms."""
    return summarize([await target.call() for _ in range(SEQUENTIAL_CALLS)])


async def measure_throughput(target: Target) -> float:
    """Send calls at a fixed concurrency and return the calls per second."""
    left = BURST_CALLS

    async def worker() -> None:
        nonlocal left
        while left > 0:
            left -= 1
            await target.call()

    start = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENCY):
            nursery.start_soon(worker)
    return BURST_CALLS / (time.perf_counter() - start)


async def measure(direct: Target, through: Target, entry_pid: int) -> None:
    """Measure both targets in alternating rounds and print their figures."""
    for target in (direct, through):
        for _ in range(50):
            await target.call()
    latencies: dict[str, list[Summary]] = {"direct": [], "entry": []}
    rates: dict[str, list[float]] = {"direct": [], "entry": []}
    cpu_before = cpu_seconds(entry_pid)
    for _ in range(ROUNDS):
        for name, target in (("direct", direct), ("entry", through)):
            latencies[name].append(await measure_latency(target))
            rates[name].append(await measure_throughput(target))
    cpu_used = cpu_seconds(entry_pid) - cpu_before
    calls = ROUNDS * (SEQUENTIAL_CALLS + BURST_CALLS)
    print("target   median ms   p99 ms   calls/s at concurrency 24   (medians of 3 rounds)")
    for name in ("direct", "entry"):
        median_round = sorted(latencies[name], key=lambda item: item.median)[ROUNDS // 2]
        rate = sorted(rates[name])[ROUNDS // 2]
        print(f"{name:7s}  {median_round.median:9.2f}  {median_round.p99:7.2f}  {rate:8.0f}")
    print(f"entry processor time per call: {cpu_used / calls * MS_PER_SECOND:.3f} ms")


def main() -> None:
    """Start a fleet of processes and a minion, and print the figures of calls through one entry."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder))
        minion = None
        try:
            fleet.wait_until(
                lambda: fleet.run_cli("table", "show").returncode == 0, "control leads"
            )
            table = fleet.table_path.read_text().replace("max_running = 20", "max_running = 500")
            fleet.table_path.write_text(table)
            applied = fleet.run_cli("table", "apply", str(fleet.table_path))
            assert applied.returncode == 0, applied.stderr
            granted = fleet.run_cli("key", "grant", "red")
            key = granted.stdout.split("key: ")[1].strip()
            entry = fleet.plan.entries["dc1-e1"].process.http_address
            minion = Daemon(
                sys.executable,
                "-m",
                "benches.minion",
                f"--address={fleet.minion_address}",
                f"--entry={entry}",
                f"--credential={fleet.secrets.endpoint}",
                "--vm=dc1-w1",
                log_path=Path(folder) / "minion.log",
            )
            entry_pid = fleet.daemons["dc1-e1"].process.pid
            print(f"memory of an idle entry: {resident_mb(entry_pid):.1f} MB")
            fleet.wait_until(lambda: fleet.call(key)[0] == 200, "a call is served")
            direct = Target(
                f"http://{fleet.minion_address}/services/quotes", None, DIRECT_CALL_HEADERS
            )
            through = Target(
                f"http://{entry}/v1/services/quotes/calls", key, {"content-type": "text/plain"}
            )
            trio.run(measure, direct, through, entry_pid)
            print(f"memory of the entry after them: {resident_mb(entry_pid):.1f} MB")
        finally:
            if minion is not None:
                minion.kill()
            fleet.close()


if __name__ == "__main__":
    main()
