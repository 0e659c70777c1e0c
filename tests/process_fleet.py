"""A local fleet of real processes: three control replicas, three entries and a minion."""

from __future__ import annotations

import json
import threading
import time
import urllib.error
import urllib.request

import trio

from hornbeamreach.clock import Clock
from hornbeamreach.demo.deployment import PortAllocator, Secrets, plan_fleet
from hornbeamreach.standins.minion import MinionBehaviour, StandInMinion

from .processes import Daemon, run_program

TABLE = """
[teams]
red = { weight = 1.0, max_running = 20, home = "dc1" }
[pools]
main = { max_down = 1 }
[services]
quotes = { pool = "main", idempotent = true, deadline_ms = 20000 }
[vms]
dc1-w1 = { pool = "main", data_center = "dc1", rack = "r1", cpu_millis = 16000, memory_mb = 32768 }
[deployment]
minions_per_service = 1
slots = 8
connections = 16
[deployment.entries]
dc1 = 1
dc2 = 1
dc3 = 1
"""


def settings_toml(settings) -> str:
    """Return a daemon's settings as TOML."""
    process = settings.process
    lines = []
    tables: dict[str, dict] = {"process": {}}
    for name in ("id", "data_center", "link_address", "http_address", "link_secret"):
        tables["process"][name] = getattr(process, name)
    for name in ("operator_credential_sha256", "endpoint_credential_sha256", "data_folder"):
        value = getattr(settings, name, None)
        if value is not None:
            lines.append(f"{name} = {json.dumps(value)}")
    if hasattr(settings, "platform_url"):
        lines.append(f"platform_url = {json.dumps(settings.platform_url)}")
    for name in ("replicas", "control", "peers", "remote"):
        value = getattr(settings, name, None)
        if value is not None:
            tables[name] = value
    for name, values in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


class ProcessFleet:
    """Run three control replicas and three entries as processes, and a minion in a thread."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self.table_path = folder / "table.toml"
        self.table_path.write_text(TABLE)
        self.secrets = Secrets(link="l" * 32, operator="o" * 32, endpoint="e" * 32)
        ports = PortAllocator()
        self.plan = plan_fleet(
            self.table_path, ports=ports, data_folder=folder / "data", secrets=self.secrets
        )
        self.minion_address = ports.address()
        ports.release()
        self.daemons: dict[str, Daemon] = {}
        for name, settings in {**self.plan.control, **self.plan.entries}.items():
            (folder / f"{name}.toml").write_text(settings_toml(settings))
            self.start(name)
        self.profile = folder / "profile.toml"
        control = [s.process.http_address for s in self.plan.control.values()]
        entries = [s.process.http_address for s in self.plan.entries.values()]
        self.profile.write_text(
            f"control = {json.dumps(control)}\nentries = {json.dumps(entries)}\n"
            f'credential = "{self.secrets.operator}"\n'
        )
        self.behaviour = MinionBehaviour()
        self.stop_requested = threading.Event()
        self.minion_thread = threading.Thread(target=self._run_minion, daemon=True)

    def start(self, name: str) -> None:
        program = "hornbeamreach-control" if name in self.plan.control else "hornbeamreach-entry"
        self.daemons[name] = Daemon(
            program,
            f"--settings={self.folder / f'{name}.toml'}",
            log_path=self.folder / f"{name}.{len(list(self.folder.glob('*.log')))}.log",
        )

    def _run_minion(self) -> None:
        async def main():
            minion = StandInMinion(
                endpoint="quotes-1",
                service="quotes",
                vm="dc1-w1",
                address=self.minion_address,
                entries=[self.plan.entries["dc1-e1"].process.http_address],
                credential=self.secrets.endpoint,
                instance="i1",
                slots=8,
                connections=16,
                clock=Clock(),
                behaviour=self.behaviour,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(minion.run)
                while not self.stop_requested.is_set():
                    await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def run_cli(self, *arguments: str):
        return run_program("hornbeamreach", *arguments, HORNBEAMREACH_PROFILE=str(self.profile))

    def wait_until(self, condition, description: str) -> None:
        deadline = time.monotonic() + 60
        while not condition():
            assert time.monotonic() < deadline, f"timed out waiting until {description}"
            time.sleep(0.1)

    def call(self, key: str, body: bytes = b"x") -> tuple[int, bytes]:
        address = self.plan.entries["dc1-e1"].process.http_address
        request = urllib.request.Request(
            f"http://{address}/v1/services/quotes/calls",
            data=body,
            headers={"Authorization": f"Bearer {key}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as exc:
            return exc.code, exc.read()
        except (urllib.error.URLError, ConnectionError) as exc:
            return 0, repr(exc).encode()

    def leader(self) -> str:
        statuses = json.loads(self.run_cli("status", "--json").stdout)
        return next(s["replica"] for s in statuses if s.get("role") == "leader")

    def close(self) -> None:
        self.stop_requested.set()
        for daemon in self.daemons.values():
            daemon.kill()
