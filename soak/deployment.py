"""Processes of a soak: addresses, settings, and their start and end by process id."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import IO, Any

import attrs
import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.platform.settings import SETTINGS_VARIABLE
from soak.daemon import ROUTES_VARIABLE
from soak.minion import MinionSettings
from soak.observations import Observations
from soak.parent import boottime_ms

ROOT = Path(__file__).resolve().parent.parent
DATA_CENTERS = ("dc1", "dc2", "dc3")
POOL = "main"
PROXIES = "proxies"
MINION_CPU_MILLIS = 8_000
# Link, metrics and heartbeats; then the listeners of callers, readiness, operators and minions.
PORT_COUNT = 7
GRACE_MS = 6_000
# A process that was told to stop must have exited after its grace and this much for a busy machine.
EXIT_MARGIN_MS = 4_000
POLL_MS = 20
# In the line that each daemon and minion logs once it handles signals.
STARTED = b" started"


@define(kw_only=True, eq=False)
class Program:
    """Represent one process, through its restarts."""

    name: str
    arguments: list[str]
    environment: dict[str, str]
    folder: Path
    vm: str = ""
    process: subprocess.Popen[bytes] | None = None
    log_file: IO[bytes] | None = None
    # Whether the soak has told the process to end.
    ending: bool = False
    suspended: bool = False
    # Where the log of this incarnation begins.
    log_offset: int = 0

    def start(self) -> None:
        """Start the process; its log is appended to that of its earlier incarnations."""
        self.log_file = self.log_path.open("ab")
        self.log_offset = self.log_path.stat().st_size
        self.process = subprocess.Popen(
            [sys.executable, "-m", *self.arguments],
            cwd=ROOT,
            env={**os.environ, **self.environment},
            stdin=subprocess.PIPE,
            stdout=self.log_file,
            stderr=subprocess.STDOUT,
        )
        self.ending = self.suspended = False

    @property
    def log_path(self) -> Path:
        """Return the path of the log."""
        return self.folder / f"{self.name}.log"

    @property
    def has_started(self) -> bool:
        """Return whether the process has logged its start, and so handles SIGTERM."""
        return STARTED in self.log_path.read_bytes()[self.log_offset :]

    @property
    def running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.running:
            self.process.send_signal(number)


@define(kw_only=True, eq=False)
class Deployment:
    """Hold the processes and proxies of one soak."""

    folder: Path
    seen: Observations
    seed: int
    minions_per_data_center: int = 3
    block: str = ""
    first_port: int = 0
    programs: dict[str, Program] = field(factory=dict)
    # Source and target of each link, with a proxy in between.
    links: list[tuple[str, str]] = field(factory=list)
    hosts: dict[str, str] = field(factory=dict)
    control: list[str] = field(factory=list)
    entries: list[str] = field(factory=list)
    vm_service_address: str = ""

    def __attrs_post_init__(self) -> None:
        self.block, self.first_port = choose_addresses()
        names = [f"{role}-{dc}" for role in ("control", "entry") for dc in DATA_CENTERS]
        self.hosts = {name: f"{self.block}.0.{n}" for n, name in enumerate(names, start=1)}
        self.control = [name for name in names if name.startswith("control")]
        self.entries = [name for name in names if name.startswith("entry")]
        self.vm_service_address = self._address(f"{self.block}.0.100", 3)
        self.links = [(a, b) for a in names for b in self.control if a != b]
        self._add_programs()

    def _address(self, host: str, offset: int) -> str:
        return f"{host}:{self.first_port + offset}"

    def caller_address(self, entry: str) -> str:
        """Return the address of an entry for callers."""
        return self._address(self.hosts[entry], 3)

    def control_address(self, control: str) -> str:
        """Return the address of a control replica for operators and minions."""
        return self._address(self.hosts[control], 5)

    def proxy_host(self, source: str, target: str) -> str:
        """Return the address of the proxy between two processes."""
        number = list(self.hosts).index(source) + 1
        return f"{self.block}.{number}.{self.control.index(target) + 1}"

    def change_proxy(self, source: str, target: str, **values: Any) -> None:
        """Change the proxy between two processes, if there is one."""
        proxies = self.programs[PROXIES].process
        if (source, target) in self.links and proxies is not None and proxies.stdin is not None:
            line = json.dumps({"source": source, "target": target, **values}) + "\n"
            proxies.stdin.write(line.encode())
            proxies.stdin.flush()

    def cut(self, source: str, target: str, *, held: bool) -> None:
        """Cut or restore what one process sends to another, on the connections of both."""
        self.change_proxy(source, target, cut_forward=held)
        self.change_proxy(target, source, cut_backward=held)

    def heal(self) -> None:
        """Restore every connection."""
        for source, target in self.links:
            self.change_proxy(source, target, delay_ms=0, cut_forward=False, cut_backward=False)

    def _add_programs(self) -> None:
        vms = {}
        for dc_number, data_center in enumerate(DATA_CENTERS):
            for number in range(1, self.minions_per_data_center + 1):
                vm = f"{data_center}-w{number}"
                vms[vm] = (POOL, data_center)
                settings = MinionSettings(
                    vm=vm,
                    pool=POOL,
                    data_center=data_center,
                    rack=f"r{dc_number + 1}-{number}",
                    cpu_millis=MINION_CPU_MILLIS,
                    address=self._address(f"{self.block}.{50 + dc_number}.{number}", 6),
                    control=[self.control_address(name) for name in self.control],
                    vm_service=self.vm_service_address,
                    events_path=str(self.folder / f"{vm}.events"),
                    seed=self.seed * 100 + len(vms),
                )
                path = self.folder / f"{vm}.json"
                path.write_text(json.dumps(attrs.asdict(settings)), encoding="utf-8")
                self._add(vm, ["soak.minion", str(path)], vm=vm)
        proxies = [
            {
                "source": source,
                "target": target,
                "proxy_host": self.proxy_host(source, target),
                "target_host": self.hosts[target],
                "link_port": self.first_port,
                "datagram_port": self.first_port + 2,
            }
            for source, target in self.links
        ]
        self._add(PROXIES, ["soak.proxies", json.dumps(proxies)])
        self._add("platform", ["soak.vm_service", self.vm_service_address, json.dumps(vms)])
        for name in self.hosts:
            path = self.folder / f"{name}.toml"
            path.write_text(self._settings_text(name), encoding="utf-8")
            routes = {
                self.hosts[target]: self.proxy_host(name, target)
                for source, target in self.links
                if source == name
            }
            self._add(
                name,
                ["soak.daemon", name.partition("-")[0]],
                environment={SETTINGS_VARIABLE: str(path), ROUTES_VARIABLE: json.dumps(routes)},
            )

    def _add(
        self,
        name: str,
        arguments: list[str],
        *,
        environment: dict[str, str] | None = None,
        vm: str = "",
    ) -> None:
        self.programs[name] = Program(
            name=name,
            arguments=arguments,
            environment={
                "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}",
                **(environment or {}),
            },
            folder=self.folder,
            vm=vm,
        )

    def _settings_text(self, name: str) -> str:
        host, port = self.hosts[name], self.first_port
        seeds = json.dumps([self.control_address(control) for control in self.control])
        data_folder = self.folder / "data" / name
        data_folder.mkdir(parents=True)
        return (
            f'node-name = "{name}"\nip = "{host}"\nzone = "{name.rpartition("-")[2]}"\n'
            f"internal-port-range = [{port}, {port + 2}]\nseeds = {seeds}\nbootstrap = true\n"
            f'data-dir = "{data_folder}"\n'
            f'[bind-addresses]\nfrontend = "{host}:{port + 3}"\nreadiness = "{host}:{port + 4}"\n'
            f'control = "{host}:{port + 5}"\n'
            f'[cloud-api]\naddress = "{self.vm_service_address}"\n'
            f"[bounds]\ngrace-s = {GRACE_MS // 1_000}\n"
        )

    # Life of the processes

    def start(self, nursery: trio.Nursery) -> None:
        """Start every process."""
        for program in self.programs.values():
            program.start()
        nursery.start_soon(self._watch)

    async def _watch(self) -> None:
        """Report processes that end although nobody told them to."""
        while True:
            await trio.sleep(seconds(POLL_MS * 5))
            for program in self.programs.values():
                if program.process is None or program.running or program.ending:
                    continue
                code = program.process.returncode
                self.seen.incidents.append(f"{program.name} ended by itself with code {code}")
                self._note_end(program)
                program.start()

    def _note_end(self, program: Program) -> None:
        if program.vm:
            self.seen.minion_ends.setdefault(program.vm, []).append(boottime_ms())

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        program = self.programs[name]
        program.ending = True
        program.send(signal.SIGKILL)
        await self._wait_exit(program)
        self._note_end(program)

    async def terminate(self, name: str) -> None:
        """Tell a process to stop; report one that doesn't exit within its grace."""
        program = self.programs[name]
        program.ending = True
        program.send(signal.SIGTERM)
        with trio.move_on_after(seconds(GRACE_MS + EXIT_MARGIN_MS)) as scope:
            await self._wait_exit(program)
        if scope.cancelled_caught:
            self.seen.incidents.append(f"{name} did not exit within its grace after SIGTERM")
            await self.kill(name)
            return
        code = program.process.returncode if program.process else 0
        if code and (code != -signal.SIGTERM or program.has_started):
            self.seen.incidents.append(f"{name} exited with code {code} after SIGTERM")
        self._note_end(program)

    async def _wait_exit(self, program: Program) -> None:
        while program.running:
            await trio.sleep(seconds(POLL_MS))

    def suspend(self, name: str) -> None:
        """Suspend a process."""
        self.programs[name].suspended = True
        self.programs[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a process."""
        self.programs[name].send(signal.SIGCONT)
        self.programs[name].suspended = False

    def end_all(self) -> None:
        """Kill every process that is still running, by its id."""
        for program in self.programs.values():
            program.ending = True
            program.send(signal.SIGKILL)
        for program in self.programs.values():
            if program.process is not None:
                program.process.wait()
            if program.log_file is not None:
                program.log_file.close()


def choose_addresses() -> tuple[str, int]:
    """Return a block of loopback addresses and the first of a few ports that are free there."""
    # Not from the soak's seed: two soaks with one seed may run at once.
    rng = random.SystemRandom()
    while True:
        block, port = f"127.{rng.randint(1, 254)}", rng.randrange(20_000, 30_000, 10)
        try:
            for offset in range(PORT_COUNT):
                with socket.socket() as probe:
                    probe.bind(("", port + offset))
        except OSError:
            continue
        return block, port
