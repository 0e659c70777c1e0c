"""A small deployment on loopback addresses: the programs of the deploy file, and the stand-ins.

The programs are started with the commands of `deploy/system.toml`, each with a settings file as
DEPLOY.md shows it. Minions, clients, the operator and the platform are stand-ins of this process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from standins.http import Server, request
from standins.minion import Minion

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("z1", "z2", "z3")
KEY = "review-key-1"
HOST = "jobs.example"
PREFIX = "/q1/"
PORTS = 40
# As for the core of the site.
MEMORY_MB = 296
CONTROL_OFFSET, FRONT_OFFSET, READY_OFFSET, PLATFORM_OFFSET, MINION_OFFSET = 20, 21, 22, 23, 24
ADVICE_OFFSET = 25
BOUNDS = """
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
recovery-s = 12
strict-revocation = true
revoke-ms = 5000
hold-max-ms = 10000
stop-ms = 200
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote-factor = 3
checkpoint-s = 1
restore-ms = 600
notice-ms = 4500
migration-s = 1.5
maintenance-s = 2
fencing-enforced = true
lease-ms = 3000
pace-ms = 100
harm-ms = 4000
"""


class CannotRun(Exception):
    """The case could not run; the script then exits with 2."""


class Program:
    """One process of the system."""

    def __init__(self, lab: Lab, name: str, role: str, ip: str, zone: str) -> None:
        self.lab, self.name, self.role, self.ip, self.zone = lab, name, role, ip, zone
        self.process: subprocess.Popen | None = None
        self.settings = lab.folder / f"{name}.toml"
        self.log = lab.folder / f"{name}.log"
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file as DEPLOY.md shows it."""
        lab, front = self.lab, self.role == "entry"
        seeds = json.dumps(lab.control_addresses)
        serves = "front" if front else "control"
        lines = [
            f'node-name = "{self.name}"\nrole = "{self.role}"',
            f'machine-class = "{"front" if front else "core"}"\nserves = ["{serves}"]',
            f'ip = "{self.ip}"\nzone = "{self.zone}"\nregion = "r"',
            f"internal-port-range = [{lab.port}, {lab.port + 15}]\nseeds = {seeds}",
            f"bootstrap = true\ncounts-as-loss = {str(not front).lower()}",
            'discovery = "registry"\nentry = "vip"\nheartbeat-ms = 1500',
            'contracts = ["base","drain","config","recover","sched","tenants","quota","advice"]',
            'config_mode = "highest"\norders = "call"',
        ]
        if not front:
            data = self.lab.folder / "data" / self.name
            data.mkdir(parents=True, exist_ok=True)
            lines.append(f'data-dir = "{data}"')
        lines.append(f'advice = "{lab.advice_address}"')
        lines.append("[zones]\n" + "\n".join(f'{zone} = "r"' for zone in ZONES))
        lines.append("[bind-addresses]")
        if front:
            lines.append(f'frontend = "{self.ip}:{lab.port + FRONT_OFFSET}"')
            lines.append(f'readiness = "{self.ip}:{lab.port + READY_OFFSET}"')
        else:
            lines.append(f'control = "{self.ip}:{lab.port + CONTROL_OFFSET}"')
        lines.append("[limits]\ncpu-share = 0.839\ncores = 2\nmax-fds = 4096")
        lines.append(
            f"memory-mb = {MEMORY_MB}\nlink-mbps = 1000.0\ndisk-mb = {0 if front else 128}"
        )
        lines.append("[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0")
        lines.append("[bounds]" + BOUNDS)
        lines.append(f'[cloud-api]\naddress = "{lab.platform_address}"\nrate-per-s = 64.0')
        lines.append("duties = []\nduty-per-s = 64.0")
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        command = self.lab.commands[self.role].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["HORNBEAMREACH_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self.lab.record("process starts", process=self.name)

    def memory_mb(self) -> int:
        """Return the resident memory of the process, 0 if it does not run."""
        try:
            assert self.process is not None
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
            return int(status.partition("VmRSS:")[2].split()[0]) // 1_024
        except (OSError, IndexError, AssertionError):
            return 0

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.lab.record("signal", process=self.name, signal=number.name)
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process at the end of the case."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Lab:
    """The deployment, with all that clients, minions and the platform see."""

    def __init__(self, record_path: Path, *, entries: int = 2) -> None:
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.record_file = record_path.open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.block, self.port = _free_addresses()
        self.commands = {
            name: role["run"]
            for name, role in tomllib.loads(
                (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
            )["roles"].items()
        }
        control_ips = [f"{self.block}.0.{n}" for n in (1, 2, 3)]
        self.control_addresses = [f"{ip}:{self.port + CONTROL_OFFSET}" for ip in control_ips]
        self.platform_address = f"{self.block}.0.100:{self.port + PLATFORM_OFFSET}"
        self.advice_address = f"{self.block}.0.101:{self.port + ADVICE_OFFSET}"
        # Further fields of the queue.
        self.route: dict[str, Any] = {}
        self.control = [
            Program(self, f"control-{zone}", "control", ip, zone)
            for ip, zone in zip(control_ips, ZONES, strict=True)
        ]
        self.entries = [
            Program(self, f"entry-{n}", "entry", f"{self.block}.1.{n}", ZONES[n % 3])
            for n in range(1, entries + 1)
        ]
        self.fronts = [f"{entry.ip}:{self.port + FRONT_OFFSET}" for entry in self.entries]
        self.minions: list[Minion] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        # What the minions have seen: starts and ends as (at, minion, born, task, run[, how]).
        self.starts: list[tuple] = []
        self.ends: list[tuple] = []
        self.noted: list[tuple] = []
        # Leases found lapsed, as (at, minion, born).
        self.lapses: list[tuple] = []
        self.version = 0
        self.platform = Server(self.platform_address, self._serve_platform)

    # Record

    def now(self) -> float:
        """Return seconds since the start of the case."""
        return time.monotonic() - self.began

    def record(self, event: str, **values: Any) -> None:
        """Write one line to the record."""
        rest = " ".join(f"{name}={json.dumps(value)}" for name, value in values.items())
        self.record_file.write(f"{self.now():9.3f} {event} {rest}\n")
        self.record_file.flush()

    def on_start(self, minion: Minion, task: str, run: int) -> None:
        """Note that a minion has begun a task."""
        self.starts.append((self.now(), minion.name, minion.born, task, run))

    def on_end(self, minion: Minion, task: str, run: int, how: str) -> None:
        """Note that a run has ended."""
        self.ends.append((self.now(), minion.name, minion.born, task, run, how))

    def on_noted(self, minion: Minion, task: str, run: int, how: str) -> None:
        """Note that an end was taken note of."""
        self.noted.append((self.now(), minion.name, minion.born, task, run, how))
        self.record("end taken note of", minion=minion.name, task=task, run=run, how=how)

    def on_lapse(self, minion: Minion) -> None:
        """Note that a minion's lease had lapsed."""
        self.lapses.append((self.now(), minion.name, minion.born))
        self.record("lease had lapsed", minion=minion.name)

    # Minions

    def add_minion(self, name: str, **options: Any) -> Minion:
        """Add a minion; it starts with the deployment."""
        address = f"{self.block}.2.{len(self.minions) + 1}:{self.port + MINION_OFFSET}"
        minion = Minion(self, name, address, **options)
        self.minions.append(minion)
        return minion

    def step_of(self, task: str) -> dict[str, Any] | None:
        """Return the step of a task as its client sent it."""
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        return job["steps"][int(step)] if job is not None else None

    def fits(self, minion: Minion, task: str) -> bool:
        """Return whether a task fits beside what runs there."""
        names = [*minion.running, task]
        steps = [self.step_of(name) or {} for name in names]
        return all(
            sum(step.get(name, 0) for step in steps) <= minion.capacity.get(name, 0)
            for name in ("cpu", "mem-mb", "gpu")
        )

    async def _serve_platform(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if method == "GET" and path.startswith("/machines"):
            rows = [
                {
                    "machine": minion.machine,
                    "pool": minion.service,
                    "state": "up" if minion.up else "down",
                    "zone": minion.zone,
                    "labels": minion.labels,
                    "capacity": minion.capacity,
                    "id": minion.name,
                }
                for minion in self.minions
            ]
            return 200, {"machines": rows, "next-token": ""}
        # No other pool wants a machine here, so orders for them are not needed.
        self.record("order to the platform", path=path, body=body.decode())
        return 409, {"reason": "busy"}

    # Operator and clients

    def configuration(self, **route: Any) -> dict[str, Any]:
        """Return a configuration with one queue and one idle one."""
        common = {
            "kind": "non_idempotent",
            "timeout-ms": 3_000,
            "target-latency-ms": 600,
            "priority": 0,
            "service": "svc1",
            "max-attempts": 2,
            "slack-factor": 1.6,
            "public": False,
        }
        service = {
            "health-path": "/healthz",
            "max-connections": 64,
            "protocol": "h1",
            "tls": False,
            "rejects-overload": True,
            "standby": False,
        }
        self.version += 1
        return {
            "version": self.version,
            "routes": [
                {
                    "name": "r-q1",
                    "host": HOST,
                    "path-prefix": PREFIX,
                    **common,
                    **self.route,
                    **route,
                },
                {"name": "r-idle", "host": HOST, "path-prefix": "/idle/", **common},
            ],
            "services": [{"name": "svc1", **service}],
            "limits": {
                "max-header-bytes": 16_384,
                "max-body-bytes": 262_144,
                "header-timeout-ms": 3_000,
                "idle-timeout-ms": 15_000,
            },
            "tenants": [
                {
                    "name": "t1",
                    "api-keys": [KEY],
                    "priority": 1,
                    "weight": 10,
                    "cap": {"cpu": 0, "mem-mb": 0, "gpu": 0},
                }
            ],
        }

    async def send_configuration(self, configuration: dict[str, Any], limit_s: float = 30) -> None:
        """Send a configuration to any control process until it is acknowledged."""
        until = self.now() + limit_s
        turn = 0
        while self.now() < until:
            address = self.control_addresses[turn % len(self.control_addresses)]
            status, _ = await request(address, "POST", "/config/replace", configuration)
            self.record("config sent", to=address, version=configuration["version"], answer=status)
            if status == 200:
                return
            turn += 1
            await asyncio.sleep(0.3)
        raise CannotRun("no configuration was acknowledged")

    async def call(
        self, method: str, job_id: str, body: Any = None, *, front: int = 0, timeout_s: float = 3.0
    ) -> tuple[int, Any]:
        """Send a client's request to an entry."""
        headers = {"Host": HOST, "Credential": KEY, "Deadline-Ms": str(int(timeout_s * 1_000))}
        address = self.fronts[front % len(self.fronts)]
        status, content = await request(
            address, method, PREFIX + job_id, body, headers, timeout_s=timeout_s
        )
        self.record("call", method=method, job=job_id, to=address, status=status, answer=content)
        return status, content

    async def submit(self, spec: str, steps: list[dict[str, Any]], limit_s: float = 20) -> str:
        """Hand a job in until it is accepted, and return its id."""
        job_id = f"{random.getrandbits(64):016x}"
        self.jobs[job_id] = {"spec": spec, "steps": steps}
        until = self.now() + limit_s
        front = 0
        while self.now() < until:
            status, _ = await self.call("POST", job_id, self.jobs[job_id], front=front)
            if 200 <= status < 300:
                return job_id
            front += 1
            await asyncio.sleep(0.5)
        raise CannotRun("the job was not accepted")

    async def state(self, job_id: str) -> str:
        """Return a job's state as a client is told, or the status of the answer."""
        for front in range(4):
            status, content = await self.call("GET", job_id, front=front)
            if status == 200:
                return content["state"]
            if status in (404, 410):
                return str(status)
            await asyncio.sleep(0.3)
        return "no answer"

    async def leader(self) -> Program | None:
        """Return the process that a control process names as the leader."""
        for program, address in zip(self.control, self.control_addresses, strict=True):
            if program.process is None or program.process.poll() is not None:
                continue
            status, content = await request(address, "GET", "/operator/v1/status", timeout_s=0.5)
            if status == 200 and content["role"] == "leader":
                return program
        return None

    # Life

    async def start(self) -> None:
        """Start everything and put the first configuration in force."""
        await self.platform.start()
        for program in (*self.control, *self.entries):
            program.start()
        for minion in self.minions:
            await minion.start()
        await self.send_configuration(self.configuration())
        until = self.now() + 20
        while self.now() < until:
            status, _ = await request(
                f"{self.entries[0].ip}:{self.port + READY_OFFSET}", "GET", "/readyz"
            )
            if status == 200 and await self.leader() is not None:
                # Every minion has sent two heartbeats by then.
                await asyncio.sleep(4)
                return
            await asyncio.sleep(0.3)
        raise CannotRun("the deployment did not become ready")

    async def stop(self) -> None:
        """End every process and stand-in."""
        for program in (*self.control, *self.entries):
            program.end()
        for minion in self.minions:
            if minion.up:
                await minion.crash()
        await self.platform.kill()
        self.keep_logs()
        self.record_file.close()
        self.temporary.cleanup()

    def keep_logs(self) -> None:
        """Copy the programs' logs to the folder named by REVIEW_LOGS, if one is named."""
        folder = os.environ.get("REVIEW_LOGS")
        if folder:
            Path(folder).mkdir(parents=True, exist_ok=True)
            for program in (*self.control, *self.entries):
                (Path(folder) / program.log.name).write_bytes(program.log.read_bytes())


def _free_addresses() -> tuple[str, int]:
    rng = random.SystemRandom()
    while True:
        block, port = f"127.{rng.randint(1, 254)}", rng.randrange(20_000, 30_000, PORTS)
        try:
            for offset in range(PORTS):
                with socket.socket() as probe:
                    probe.bind(("", port + offset))
        except OSError:
            continue
        return block, port


def run_case(case: Any, folder: str, **options: Any) -> None:
    """Run a case: `case(lab, trouble)` returns what broke the rule; exit with 0, 1 or 2."""

    async def main() -> int:
        trouble = os.environ.get("TROUBLE", "1") != "0"
        lab = Lab(Path(folder) / "record.txt", **options)
        try:
            async with asyncio.timeout(110):
                broken = await case(lab, trouble)
            for line in broken:
                lab.record("RULE BROKEN", what=line)
                print(f"rule broken: {line}")
            if not broken:
                lab.record("rule held")
                print("rule held")
            return 1 if broken else 0
        except (CannotRun, TimeoutError, OSError) as exc:
            lab.record("could not run", error=repr(exc))
            print(f"could not run: {exc!r}")
            return 2
        finally:
            await lab.stop()

    sys.exit(asyncio.run(main()))
