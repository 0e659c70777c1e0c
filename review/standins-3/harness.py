"""A small deployment on loopback for the cases of this review: processes, minions, platform, clients.

The programs are started with the commands of deploy/system.toml. Minions follow "Running tasks" and
"Service discovery" of PROTOCOL.md, the platform follows its "Machines", clients its "Jobs". Only the
standard library is used, so that the stand-ins share no code with what they test.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("z1", "z2", "z3")
# Offsets from the first port: link, metrics and heartbeats; then the listeners.
FRONTEND, READINESS, CONTROL, PLATFORM, MINION = 3, 4, 5, 6, 7
PORT_COUNT = 8
# DEPLOY.md's example of settings.
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
ENDS_PER_ANSWER = 500
STOP_MS = 150
UPKEEP_S = 2.0
MOVE_S = 1.5
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """Report that the case could not run."""


def now_ms() -> float:
    """Return the steady clock's time in ms."""
    return time.monotonic() * 1_000


# HTTP/1.1, as much of it as the pages need


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Send one request; return status 0 if there is no whole response in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            content = b"" if body is None else json.dumps(body).encode()
            lines = {"Host": address, "Content-Type": "application/json", **(headers or {})}
            text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            head = f"{method} {path} HTTP/1.1\r\n{text}Content-Length: {len(content)}\r\n"
            writer.write(f"{head}Connection: close\r\n\r\n".encode() + content)
            answer = await read_message(reader)
            if answer is None:
                return 0, b""
            return int(answer[0].split(" ")[1]), answer[2]
    except (TimeoutError, OSError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Serve requests on one address; a subclass answers them."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def answer(
        self, method: str, path: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Return status and body, or None for no answer at all."""
        raise NotImplementedError

    async def listen(self) -> None:
        """Begin to serve."""
        host, _, port = self.address.rpartition(":")
        self.listener = await asyncio.start_server(self._serve, host, int(port), backlog=1_024)

    def close(self) -> None:
        """Stop serving and reset what is open, as the end of a process does."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                method, path, _ = message[0].split(" ")
                body = json.loads(message[2] or b"{}")
                result = await self.answer(method, path, message[1], body)
                if result is None:
                    # No answer ever; the caller gives up and closes.
                    await reader.read()
                    return
                content = json.dumps(result[1]).encode()
                head = f"HTTP/1.1 {result[0]} -\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Run:
    """One run of a task on a minion."""

    def __init__(self, task: str, number: int, spec: dict[str, Any], checkpoint: str) -> None:
        self.task, self.number, self.spec, self.checkpoint = task, number, spec, checkpoint
        self.began_ms = now_ms()
        self.timer: asyncio.Task[None] | None = None

    def percent(self) -> int:
        """Return the progress."""
        if self.spec.get("lasts"):
            return 100
        return min(99, int((now_ms() - self.began_ms) * 100 / max(1, self.spec["work_ms"])))


class Minion(Server):
    """One machine's minion through its lives; a job's spec tells how long its tasks work."""

    def __init__(
        self,
        deployment: Deployment,
        machine: str,
        host: str,
        *,
        service: str,
        zone: str,
        rack: str,
        cpu: int = 16_000,
        mem_mb: int = 32_768,
    ) -> None:
        super().__init__(f"{host}:{deployment.port + MINION}")
        self.deployment, self.machine, self.service = deployment, machine, service
        self.zone, self.rack, self.capacity = zone, rack, {"cpu": cpu, "mem-mb": mem_mb, "gpu": 0}
        # The machine is cut off: nothing that it sends or is sent arrives.
        self.cut = False
        self.beats: asyncio.Task[None] | None = None
        self.beat_to = 0
        self.lives = 0

    # Lives

    async def begin_life(self) -> None:
        """Start: a minion that holds and knows nothing of before, under a new id."""
        self.lives += 1
        self.born = int(time.time() * 1_000)
        self.id = f"i-{self.machine}-{self.lives}"
        self.clock_origin = now_ms() - random.uniform(100, 900)
        self.token = 0
        self.lease_until = 0.0
        self.sequence = 0
        self.running: dict[str, Run] = {}
        self.ends: list[list[Any]] = []
        self.last_end = 0
        self.excused: set[int] = set()
        self.closed_runs: dict[str, int] = {}
        self.changed = asyncio.Event()
        await self.listen()
        self.beats = asyncio.create_task(self._beat_forever())
        self.lapses = asyncio.create_task(self._lapse_forever())
        self.deployment.record(f"minion {self.id} began on {self.machine}")

    def end_life(self, why: str) -> None:
        """End at once with all that runs, without a word."""
        for run in self.running.values():
            self.deployment.record(f"run {run.task} {run.number} ended with {self.id}")
            if run.timer is not None:
                run.timer.cancel()
        self.running = {}
        self.close()
        for task in (self.beats, self.lapses):
            if task is not None:
                task.cancel()
        self.deployment.record(f"minion {self.id} ended: {why}")

    # Clock and lease

    def clock_ms(self) -> int:
        """Return the minion's own steady clock."""
        return int(now_ms() - self.clock_origin)

    def extend_lease(self, until_ms: int | None) -> None:
        """Take a deadline over; it never shortens, and reaches HOLD_MAX_MS ahead at most."""
        if until_ms is not None:
            limit = self.clock_ms() + HOLD_MAX_MS
            self.lease_until = max(self.lease_until, min(until_ms, limit))

    async def _lapse_forever(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms() > self.lease_until:
                for run in list(self.running.values()):
                    self.end_run(run, "lapsed")
                # RULES.md, TWICE: after a lapse, ends that were not seen before don't count.
                self.excused.update(end[0] for end in self.ends)

    # Heartbeats

    def beat_body(self) -> dict[str, Any]:
        """Return what the minion reports about itself."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clock-ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
            "machine": self.machine,
        }

    async def _beat_forever(self) -> None:
        while True:
            addresses = self.deployment.control_addresses
            for _ in range(len(addresses) if not self.cut else 0):
                address = addresses[self.beat_to % len(addresses)]
                path = f"/instances/{self.id}/heartbeat"
                status, _ = await call(address, "POST", path, self.beat_body(), timeout_s=1.0)
                if 200 <= status < 300:
                    break
                self.beat_to += 1
            await asyncio.sleep(HEARTBEAT_S)

    # Calls

    async def answer(
        self, method: str, path: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answer a call of the system."""
        if self.cut:
            return None
        if path == "/healthz":
            return 200, {}
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.id:
            return 421, {"clock-ms": self.clock_ms()}
        if body.get("fencing-token", 0) < self.token:
            return self._conflict("fence")
        self.token = body.get("fencing-token", 0)
        result = await {
            "/run-start": self._on_start,
            "/run-stop": self._on_stop,
            "/hold": self._on_hold,
            "/pace": self._on_pace,
        }[path](body)
        # What was carried out during a cut is not answered.
        return None if self.cut else result

    def _conflict(self, reason: str) -> tuple[int, Any]:
        return 409, {"clock-ms": self.clock_ms(), "reason": reason}

    async def _on_start(self, body: Any) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            self.extend_lease(body["deadline-ms"])
            return 200, {"clock-ms": self.clock_ms()}
        if number <= self.closed_runs.get(task, 0) or known is not None:
            self.extend_lease(body["deadline-ms"])
            return self._conflict("old")
        if body["deadline-ms"] <= self.clock_ms():
            return self._conflict("late")
        spec = json.loads(body["spec"])
        self.extend_lease(body["deadline-ms"])
        if not self._has_room(spec):
            return self._conflict("room")
        run = Run(task, number, spec, body.get("checkpoint", ""))
        self.running[task] = run
        self.deployment.note_start(self, run)
        if not spec.get("lasts"):
            run.timer = asyncio.create_task(self._work(run))
        return 200, {"clock-ms": self.clock_ms()}

    def _has_room(self, spec: dict[str, Any]) -> bool:
        for name in ("cpu", "mem-mb"):
            used = sum(run.spec.get(name, 0) for run in self.running.values())
            if used + spec.get(name, 0) > self.capacity[name]:
                return False
        return True

    async def _work(self, run: Run) -> None:
        await asyncio.sleep(run.spec["work_ms"] / 1_000)
        run.timer = None
        self.end_run(run, "done")

    def end_run(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.closed_runs[run.task] = max(self.closed_runs.get(run.task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.deployment.note_end(self, run, how, self.last_end)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _on_stop(self, body: Any) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        self.closed_runs[task] = max(self.closed_runs.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number:
            asyncio.get_running_loop().call_later(
                STOP_MS / 1_000, self.end_run, run, "stopped"
            )
        return 200, {"clock-ms": self.clock_ms()}

    async def _on_pace(self, body: Any) -> tuple[int, Any]:
        return 200, {"clock-ms": self.clock_ms()}

    async def _on_hold(self, body: Any) -> tuple[int, Any]:
        self.extend_lease(body.get("deadline-ms"))
        seen = body["last-seen"]
        for number, task, run, how, _ in self.ends:
            if number <= seen and number not in self.excused:
                self.deployment.note_seen(self, task, run, how)
        self.ends = [end for end in self.ends if end[0] > seen]
        if not self.ends and body.get("wait-ms"):
            changed = self.changed
            try:
                async with asyncio.timeout(body["wait-ms"] / 1_000):
                    await changed.wait()
            except TimeoutError:
                pass
        return 200, {
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "running": [
                [run.task, run.number, run.checkpoint, run.percent(), run.spec.get("cpu", 0)]
                for run in self.running.values()
            ],
            "finished": self.ends[:ENDS_PER_ANSWER],
        }


class Platform(Server):
    """List machines, and carry out moves and upkeeps."""

    def __init__(self, deployment: Deployment, address: str) -> None:
        super().__init__(address)
        self.deployment = deployment
        self.machines: dict[str, Minion] = {}
        self.state: dict[str, str] = {}
        self.tokens: dict[str, int] = {}
        self.done: set[tuple[str, int]] = set()
        # Unavailable: every call gets a 503.
        self.busy = False

    async def answer(
        self, method: str, path: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answer a call of the system."""
        if self.busy:
            return 503, {"error": "try later"}
        if path.startswith("/machines"):
            return 200, {"machines": [self._row(name) for name in self.machines], "next-token": ""}
        machine = body["machine"]
        if machine not in self.machines:
            return 400, {}
        token = int(headers["fencing-token"])
        if token < self.tokens.get(machine, 0):
            return 409, {"reason": "fence"}
        self.tokens[machine] = token
        if path == "/machine-upkeep":
            return await self._upkeep(machine, body["wave"])
        if self.machines[machine].service == body["pool"]:
            return 200, {}
        return 409, {"reason": "busy"}

    def _row(self, name: str) -> dict[str, Any]:
        minion = self.machines[name]
        return {
            "machine": name,
            "pool": minion.service,
            "state": self.state.get(name, "up"),
            "zone": minion.zone,
            "labels": ["a", minion.rack],
            "capacity": minion.capacity,
            "id": minion.id,
        }

    async def _upkeep(self, machine: str, wave: int) -> tuple[int, Any]:
        if (machine, wave) in self.done:
            return 200, {}
        if self.state.get(machine, "up") != "up":
            return 409, {"reason": "busy"}
        self.done.add((machine, wave))
        self.state[machine] = "upkeep"
        self.deployment.note_upkeep(machine, wave)
        self.machines[machine].end_life(f"upkeep of wave {wave}")
        asyncio.get_running_loop().call_later(
            UPKEEP_S, lambda: asyncio.ensure_future(self._return(machine, wave))
        )
        return 200, {}

    async def _return(self, machine: str, wave: int) -> None:
        self.state[machine] = "up"
        self.deployment.note_upkeep_over(machine, wave)
        await self.machines[machine].begin_life()


class Deployment:
    """Three control processes and two entries with their minions, and the record of a play."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = folder
        self.began_ms = now_ms()
        self.lines: list[str] = []
        self.broken: list[str] = []
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.block, self.port = _free_addresses()
        self.control_hosts = [f"{self.block}.0.{n}" for n in (1, 2, 3)]
        self.entry_hosts = [f"{self.block}.0.{n}" for n in (11, 12)]
        self.control_addresses = [f"{host}:{self.port + CONTROL}" for host in self.control_hosts]
        self.entry_addresses = [f"{host}:{self.port + FRONTEND}" for host in self.entry_hosts]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.platform = Platform(self, f"{self.block}.0.100:{self.port + PLATFORM}")
        self.minions: list[Minion] = []
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        # Of each task: starts, ends by run, and ends that the system has taken note of.
        self.starts: dict[str, list[tuple[float, int, str]]] = {}
        self.ended: dict[str, list[tuple[float, int, str]]] = {}
        self.seen: dict[tuple[str, int], str] = {}

    # Record

    def record(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{(now_ms() - self.began_ms) / 1_000:9.3f} {text}")

    def note_start(self, minion: Minion, run: Run) -> None:
        """Record a start."""
        self.starts.setdefault(run.task, []).append((now_ms(), run.number, minion.id))
        self.record(f"start {run.task} run {run.number} on {minion.id}")

    def note_end(self, minion: Minion, run: Run, how: str, number: int) -> None:
        """Record an end that a minion lists."""
        self.ended.setdefault(run.task, []).append((now_ms(), run.number, how))
        self.record(f"end {run.task} run {run.number} on {minion.id}: {how}, number {number}")

    def note_seen(self, minion: Minion, task: str, run: int, how: str) -> None:
        """Record that the system has taken note of an end."""
        if (task, run) not in self.seen:
            self.seen[task, run] = how
            self.record(f"seen {task} run {run} on {minion.id}: {how}")

    def note_upkeep(self, machine: str, wave: int) -> None:
        """Record the beginning of an upkeep; a case that needs it overrides this."""
        self.record(f"upkeep of {machine} for wave {wave} begins")

    def note_upkeep_over(self, machine: str, wave: int) -> None:
        """Record the end of an upkeep."""
        self.record(f"upkeep of {machine} for wave {wave} is over")

    def break_rule(self, text: str) -> None:
        """Record that the rule is broken."""
        self.broken.append(text)
        self.record(f"BROKEN {text}")

    # Processes

    def _settings(self, name: str, host: str, role: str, zone: str) -> str:
        seeds = json.dumps(self.control_addresses)
        cls = "front" if role == "entry" else "core"
        data = self.temporary / "data" / name
        data.mkdir(parents=True, exist_ok=True)
        binds = (
            f'frontend = "{host}:{self.port + FRONTEND}"\nreadiness = "{host}:{self.port + READINESS}"'
            if role == "entry"
            else f'control = "{host}:{self.port + CONTROL}"'
        )
        serves = "front" if role == "entry" else "control"
        return f"""node-name = "{name}"
role = "{role}"
machine-class = "{cls}"
serves = ["{serves}"]
ip = "{host}"
zone = "{zone}"
region = "r"
internal-port-range = [{self.port}, {self.port + 2}]
seeds = {seeds}
bootstrap = true
counts-as-loss = {"false" if role == "entry" else "true"}
heartbeat-ms = 1500
data-dir = "{data}"
orders = "call"
[zones]
z1 = "r"
z2 = "r"
z3 = "r"
[bind-addresses]
{binds}
[limits]
cores = 2
memory-mb = 300
max-fds = 4100
disk-mb = 128
[bounds]
contact-ms = 3000
grace-s = 6
hold-max-ms = {HOLD_MAX_MS}
stop-ms = 200
status_s = 120
remote-factor = 3
migration-s = {MOVE_S}
maintenance-s = {UPKEEP_S}
lease-ms = 3000
[cloud-api]
address = "{self.platform.address}"
rate-per-s = 64.0
duties = []
duty-per-s = 64.0
"""

    def start_process(self, name: str) -> None:
        """Start a program with the command of its role."""
        role = name.partition("-")[0]
        hosts = self.control_hosts if role == "control" else self.entry_hosts
        number = int(name.partition("-")[2])
        path = self.temporary / f"{name}.toml"
        path.write_text(self._settings(name, hosts[number - 1], role, ZONES[number - 1]))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "HORNBEAMREACH_NODE_FILE": str(path),
        }
        with (self.temporary / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self.deploy["roles"][role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record(f"process {name} started")

    def signal_process(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this deployment started."""
        self.processes[name].send_signal(number)
        self.record(f"process {name} gets {number.name}")

    async def leader(self) -> str:
        """Return the name of the control process that leads."""
        for number, address in enumerate(self.control_addresses, start=1):
            status, body = await call(address, "GET", "/operator/v1/status", timeout_s=1.0)
            if status == 200 and json.loads(body).get("role") == "leader":
                return f"control-{number}"
        return ""

    async def add_minion(self, machine: str, host_number: int, **options: Any) -> Minion:
        """Start a minion on a machine."""
        options.setdefault("zone", ZONES[host_number % 3])
        options.setdefault("rack", f"r1-{host_number}")
        minion = Minion(self, machine, f"{self.block}.1.{host_number}", **options)
        self.minions.append(minion)
        self.platform.machines[machine] = minion
        await minion.begin_life()
        return minion

    async def start(self) -> None:
        """Start the platform and the programs, and wait until a leader answers."""
        if not (ROOT / "target/deps").is_dir():
            raise NotRunError("run the build command of deploy/system.toml first")
        await self.platform.listen()
        for name in ("control-1", "control-2", "control-3", "entry-1", "entry-2"):
            self.start_process(name)
        for _ in range(100):
            await asyncio.sleep(0.2)
            if await self.leader():
                return
        raise NotRunError("no leader within 20 s")

    async def declare(self, configuration: dict[str, Any]) -> None:
        """Send a configuration until it is acknowledged, as an operator does."""
        for number in range(60):
            address = self.control_addresses[number % 3]
            status, _ = await call(
                address, "POST", "/config/replace", configuration, timeout_s=1.0
            )
            if status == 200:
                self.record(f"configuration {configuration['version']} acknowledged")
                return
            await asyncio.sleep(0.3)
        raise NotRunError("the configuration was not acknowledged")

    # Clients

    async def client(
        self, method: str, path: str, body: Any = None, *, entry: int = 0, timeout_s: float = 3.0
    ) -> tuple[int, Any]:
        """Send a client's request; return its status and decoded body."""
        headers = {"Host": "case.example", "Deadline-Ms": str(int(timeout_s * 1_000))}
        address = self.entry_addresses[entry % len(self.entry_addresses)]
        status, content = await call(
            address, method, path, body, headers=headers, timeout_s=timeout_s
        )
        decoded = json.loads(content) if content else None
        self.record(f"client {method} {path}: {status or 'no answer'} {content[:80].decode()}")
        return status, decoded

    async def submit(self, path: str, job: dict[str, Any]) -> None:
        """Hand a job in until it is accepted, as a client does that retries."""
        for number in range(20):
            status, _ = await self.client("POST", path, job, entry=number)
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise NotRunError(f"{path} was not accepted")

    async def state_of(self, path: str) -> str:
        """Return a job's state; empty without an answer."""
        status, body = await self.client("GET", path)
        return body["state"] if status == 200 and body else ""

    async def wait_for_state(self, path: str, states: tuple[str, ...], within_s: float) -> str:
        """Ask for a job's state until it is one of these or the time is over; return the last."""
        until_ms = now_ms() + within_s * 1_000
        state = ""
        while now_ms() < until_ms:
            state = await self.state_of(path)
            if state in states:
                return state
            await asyncio.sleep(0.5)
        return state

    # End

    def finish(self) -> None:
        """End what was started, by its process id, and write the record."""
        for process in self.processes.values():
            if process.poll() is None:
                # A suspended process is killed too.
                process.kill()
        for process in self.processes.values():
            process.wait()
        text = "\n".join(self.lines)
        (self.folder / "record.txt").write_text(text.replace(str(self.temporary), "TMP") + "\n")
        if os.environ.get("KEEP_LOGS"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def configuration(
    *, routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int = 1
) -> dict[str, Any]:
    """Return a whole configuration with defaults as on the page."""
    return {
        "version": version,
        "routes": [
            {
                "host": "case.example",
                "kind": "non_idempotent",
                "timeout-ms": 3000,
                "target-latency-ms": 600,
                "priority": 0,
                "max-attempts": 4,
                "slack-factor": 2.0,
                "public": True,
                **route,
            }
            for route in routes
        ],
        "services": [
            {
                "health-path": "/healthz",
                "max-connections": 64,
                "protocol": "h1",
                "tls": False,
                "rejects-overload": True,
                "standby": False,
                **service,
            }
            for service in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [],
    }


def _free_addresses() -> tuple[str, int]:
    """Return a block of loopback addresses and the first of a few ports that are free."""
    rng = random.SystemRandom()
    for _ in range(200):
        block, port = f"127.{rng.randint(1, 254)}", rng.randrange(20_000, 30_000, 10)
        try:
            for offset in range(PORT_COUNT):
                with socket.socket() as probe:
                    probe.bind(("", port + offset))
        except OSError:
            continue
        return block, port
    raise NotRunError("no free ports")


def main(play: Any, folder: Path, deployment_class: type[Deployment] = Deployment) -> None:
    """Play a case; exit with 1 if its rule was broken, 0 if it held, 2 if it could not run."""

    async def run() -> int:
        deployment = deployment_class(folder)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                await play(deployment)
        except NotRunError as exc:
            deployment.record(f"NOT RUN: {exc}")
            return NOT_RUN
        except TimeoutError:
            deployment.record("NOT RUN: the time is over")
            return NOT_RUN
        finally:
            deployment.finish()
        return BROKEN if deployment.broken else HELD

    code = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)
