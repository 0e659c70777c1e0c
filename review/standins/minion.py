"""A stand-in minion: "Running tasks" and "Service discovery" of PROTOCOL.md.

The spec of a job tells what its tasks do: `ms=N` is the time at work, `step-ms=N` what each index
adds to it, `fails` the end.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

from standins.http import Server, request

MAX_HOLD_MS = 10_000
LISTED_ENDS = 500
HEARTBEAT_S = 1.5
CONNECT_TIMEOUT_S = 1.0


class Minion:
    """Run tasks through the lives of one minion id; only one life is up at a time."""

    def __init__(self, lab: Any, name: str, address: str, **options: Any) -> None:
        self.lab = lab
        self.name = name
        self.address = address
        self.service = options.get("service", "svc1")
        self.zone = options.get("zone", "z1")
        self.capacity = options.get("capacity", {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0})
        self.labels = options.get("labels", ["a", "r1-1"])
        self.machine = f"m-{name}"
        self.up = False
        self.heart: asyncio.Task | None = None

    # Lives

    async def start(self, *, name: str = "", first_beat_s: float = 0.0) -> None:
        """Begin a new life: nothing runs, no token was seen, all numbers start anew.

        It may have another id. Heartbeats come every 1.5 s, the first one after `first_beat_s`.
        """
        self.name = name or self.name
        self.born = int(time.time() * 1_000)
        self.clock_zero = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.deadline = 0
        self.running: dict[str, dict[str, Any]] = {}
        self.finished: list[list[Any]] = []
        self.next_end = 1
        self.closed_runs: dict[str, int] = {}
        self.ended = asyncio.Event()
        self.up = True
        self.server = Server(self.address, self._handle)
        await self.server.start()
        self.heart = asyncio.create_task(self._beat(first_beat_s))
        self.lab.record("minion starts", minion=self.name, born=self.born)

    async def crash(self) -> None:
        """End this life at once; everything that runs ends with it and is never listed."""
        self.up = False
        assert self.heart is not None
        self.heart.cancel()
        await self.server.kill()
        for run in self.running.values():
            run["timer"].cancel()
        self.lab.record("minion crashes", minion=self.name, runs=sorted(self.running))
        self.running = {}

    async def cut(self, for_s: float) -> None:
        """Cut the minion off from all machines for some time; it runs on."""
        self.lab.record("minion cut off", minion=self.name)
        self.server.reachable.clear()
        await asyncio.sleep(for_s)
        self.server.reachable.set()
        self.lab.record("cut healed", minion=self.name)

    def clock_ms(self) -> int:
        """Return the minion's own steady clock."""
        return int((time.monotonic() - self.clock_zero) * 1_000) + 1

    # Heartbeats

    async def _beat(self, first_beat_s: float) -> None:
        await asyncio.sleep(first_beat_s)
        turn = 0
        while self.up:
            await self.server.reachable.wait()
            self.sequence += 1
            body = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-remaining-ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "machine": self.machine,
                "clock-ms": self.clock_ms(),
                "sequence": self.sequence,
                "born": self.born,
            }
            path = f"/instances/{self.name}/heartbeat"
            for _ in range(len(self.lab.control_addresses)):
                address = self.lab.control_addresses[turn % len(self.lab.control_addresses)]
                status, _ = await request(address, "POST", path, body, timeout_s=CONNECT_TIMEOUT_S)
                if 200 <= status < 300:
                    break
                turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    # Orders

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if headers.get("expect-instance", self.name) != self.name:
            return 421, None
        try:
            data = json.loads(body) if body else {}
        except ValueError:
            return 400, None
        token = data.get("fencing-token", 0)
        if token < self.token:
            return 409, self._answer(reason="fence")
        self.token = token
        if path == "/run-start":
            return self._start(data)
        if path == "/run-stop":
            return self._stop(data)
        if path == "/hold":
            return await self._hold(data)
        if path == "/pace":
            return 200, self._answer()
        return 404, None

    def _answer(self, **values: Any) -> dict[str, Any]:
        return {"clock-ms": self.clock_ms(), "born": self.born, **values}

    def _extend(self, data: dict[str, Any]) -> None:
        now_ms = self.clock_ms()
        if self.deadline and now_ms >= self.deadline:
            self.lab.on_lapse(self)
        asked = min(data.get("deadline-ms", 0), now_ms + MAX_HOLD_MS)
        self.deadline = max(self.deadline, asked)

    def _start(self, data: dict[str, Any]) -> tuple[int, Any]:
        task, number = data["task"], data["run"]
        if task in self.running and self.running[task]["run"] == number:
            return 200, self._answer()
        if data["deadline-ms"] <= self.clock_ms():
            return 409, self._answer(reason="late")
        self._extend(data)
        if task in self.running or number <= self.closed_runs.get(task, 0):
            return 409, self._answer(reason="old")
        if not self.lab.fits(self, task):
            return 409, self._answer(reason="room")
        options = dict(part.partition("=")[::2] for part in data["spec"].split())
        run = {
            "run": number,
            "began": time.monotonic(),
            "ms": int(options.get("ms", "1000"))
            + int(options.get("step-ms", "0")) * int(task.rpartition(".")[2]),
            "how": "failed" if "fails" in options else "done",
        }
        run["timer"] = asyncio.create_task(self._work(task, run))
        self.running[task] = run
        self.lab.record("run starts", minion=self.name, task=task, run=number)
        self.lab.on_start(self, task, number)
        return 200, self._answer()

    async def _work(self, task: str, run: dict[str, Any]) -> None:
        end_at = run["began"] + run["ms"] / 1_000
        while time.monotonic() < end_at:
            lease_left_s = (self.deadline - self.clock_ms()) / 1_000
            if lease_left_s <= 0:
                self._end(task, run, "lapsed")
                return
            await asyncio.sleep(max(0.001, min(lease_left_s, end_at - time.monotonic())))
        self._end(task, run, run["how"])

    def _end(self, task: str, run: dict[str, Any], how: str) -> None:
        del self.running[task]
        self.closed_runs[task] = max(self.closed_runs.get(task, 0), run["run"])
        self.finished.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.lab.record("run ends", minion=self.name, task=task, run=run["run"], how=how)
        self.lab.on_end(self, task, run["run"], how)
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    def _stop(self, data: dict[str, Any]) -> tuple[int, Any]:
        task, number = data["task"], data["run"]
        self.closed_runs[task] = max(self.closed_runs.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run["run"] == number:
            run["timer"].cancel()
            self._end(task, run, "stopped")
        return 200, self._answer()

    async def _hold(self, data: dict[str, Any]) -> tuple[int, Any]:
        self._extend(data)
        seen = data.get("last-seen", 0)
        for number, task, run, how, _ in self.finished:
            if number <= seen:
                self.lab.on_noted(self, task, run, how)
        self.finished = [row for row in self.finished if row[0] > seen]
        wait_s = min(data.get("wait-ms", 0), 2_000) / 1_000
        if wait_s and not self.finished:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.ended.wait()
        now = time.monotonic()
        running = [
            [task, run["run"], "", min(99, int((now - run["began"]) * 100_000 / run["ms"])), 0]
            for task, run in self.running.items()
        ]
        return 200, self._answer(running=running, finished=self.finished[:LISTED_ENDS])
