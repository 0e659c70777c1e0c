"""Calls through one entry beside direct calls to the same minion, in one run."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import trio

from benches.measure import Summary, cpu_seconds, resident_mb, summarize
from hornbeamreach.web.client import AsyncHttpClient
from tests.processes import Daemon
from tests.site import Site

SEQUENTIAL_CALLS = 600
ROUNDS = 3
CONCURRENCY = 24
BURST_CALLS = 2_400
MILLISECONDS = 1_000
DIRECT_HEADERS = {"x-request-id": "bench", "content-type": "text/plain"}


class Target:
    """Hold where and how calls are sent."""

    def __init__(self, url: str, bearer: str | None, headers: dict[str, str]) -> None:
        self.url = url
        self.bearer = bearer
        self.headers = headers
        self.http = AsyncHttpClient(max_connections=CONCURRENCY)

    async def call(self) -> float:
        """Send one call and return its milliseconds."""
        start = time.perf_counter()
        answer = await self.http.send(
            "POST", self.url, bearer=self.bearer, headers=self.headers, body=b"bench"
        )
        assert answer.status == 200, answer.body
        return (time.perf_counter() - start) * MILLISECONDS


async def one_by_one(target: Target) -> Summary:
    """Send calls one after the other."""
    return summarize([await target.call() for _ in range(SEQUENTIAL_CALLS)])


async def side_by_side(target: Target) -> float:
    """Send calls at a fixed concurrency and return calls a second."""
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
    """Print both targets' figures, alternating between them."""
    for target in (direct, through):
        for _ in range(50):
            await target.call()
    latencies: dict[str, list[Summary]] = {"direct": [], "entry": []}
    rates: dict[str, list[float]] = {"direct": [], "entry": []}
    cpu_before = cpu_seconds(entry_pid)
    for _ in range(ROUNDS):
        for name, target in (("direct", direct), ("entry", through)):
            latencies[name].append(await one_by_one(target))
            rates[name].append(await side_by_side(target))
    cpu_used = cpu_seconds(entry_pid) - cpu_before
    calls = ROUNDS * (SEQUENTIAL_CALLS + BURST_CALLS)
    print("target   median ms   p99 ms   calls/s at concurrency 24   (medians of 3 rounds)")
    for name in ("direct", "entry"):
        middle = sorted(latencies[name], key=lambda item: item.median)[ROUNDS // 2]
        rate = sorted(rates[name])[ROUNDS // 2]
        print(f"{name:7s}  {middle.median:9.2f}  {middle.p99:7.2f}  {rate:8.0f}")
    print(f"entry processor time per call: {cpu_used / calls * MILLISECONDS:.3f} ms")


def main() -> None:
    """Start a site and measure it."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder))
        minion = None
        try:
            site.until(lambda: site.cli("table", "show").returncode == 0, "control leads")
            table = site.example.read_text().replace("max_running = 20", "max_running = 500")
            site.example.write_text(table)
            applied = site.cli("table", "apply", str(site.example))
            assert applied.returncode == 0, applied.stderr
            granted = site.cli("key", "grant", "red")
            key = granted.stdout.split("key: ")[1].strip()
            entry = site.plan.entries["dc1-e1"].process.http_address
            minion = Daemon(
                sys.executable,
                "-m",
                "benches.minion",
                f"--address={site.minion_address}",
                f"--entry={entry}",
                f"--credential={site.secrets.endpoint}",
                "--vm=dc1-w1",
                log=Path(folder) / "minion.log",
            )
            entry_pid = site.daemons["dc1-e1"].process.pid
            print(f"memory of an idle entry: {resident_mb(entry_pid):.1f} MB")
            site.until(lambda: site.call(key)[0] == 200, "a call is served")
            direct = Target(f"http://{site.minion_address}/services/quotes", None, DIRECT_HEADERS)
            through = Target(
                f"http://{entry}/v1/services/quotes/calls", key, {"content-type": "text/plain"}
            )
            trio.run(measure, direct, through, entry_pid)
            print(f"memory of the entry after them: {resident_mb(entry_pid):.1f} MB")
        finally:
            if minion is not None:
                minion.kill()
            site.close()


if __name__ == "__main__":
    main()
