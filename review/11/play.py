"""A wave names a machine that was added after the system last read the platform's list."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

import harness  # noqa: E402

MACHINES = 10
ADDED = MACHINES + 1
WAVE, CAP, DURATION_S = 1, 1, 30
# The added machine's minion begins this long after the platform lists the machine.
START_S = 3.0
# How long the wave is watched once it is said to be completed.
WATCHED_S = 5.0


class Listing(harness.Platform):
    """Tell when the list has been read."""

    def __init__(self, deployment: harness.Deployment, address: str) -> None:
        super().__init__(deployment, address)
        self.read = asyncio.Event()

    async def answer(
        self, method: str, path: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Answer a call of the system."""
        result = await super().answer(method, path, headers, body)
        if path.startswith("/machines"):
            self.read.set()
        return result


class Wave(harness.Deployment):
    """Note which machines have begun their upkeep."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.platform: Listing = Listing(self, self.platform.address)
        self.begun: set[str] = set()

    def note_upkeep(self, machine: str, wave: int) -> None:
        """Note that the upkeep of a machine has begun."""
        super().note_upkeep(machine, wave)
        self.begun.add(machine)


async def add_machine(deployment: Wave) -> None:
    """Add an empty machine: the platform lists it at once, and its minion begins soon."""
    name, host = f"m-{ADDED}", f"{deployment.block}.1.{ADDED}"
    rack = f"r1-{ADDED}"
    minion = harness.Minion(deployment, name, host, service="work", zone="z1", rack=rack)
    minion.id = f"i-{name}-1"
    deployment.minions.append(minion)
    deployment.platform.machines[name] = minion
    deployment.platform.state[name] = "down"
    deployment.record(f"{name} is added, the platform lists it")

    async def begin() -> None:
        await asyncio.sleep(START_S)
        deployment.platform.state[name] = "up"
        await minion.begin_life()

    deployment.beginning = asyncio.create_task(begin())


async def play(deployment: Wave) -> None:
    """Add the machine, send the wave, and watch until all its machines are back."""
    for number in range(1, MACHINES + 1):
        await deployment.add_minion(f"m-{number}", number, service="work")
    route = {"name": "r", "path-prefix": "/desk/", "service": "work"}
    await deployment.declare(harness.configuration(routes=[route], services=[{"name": "work"}]))
    await asyncio.sleep(5)
    if not deployment.trouble:
        await add_machine(deployment)
        await asyncio.sleep(START_S + 4)
    deployment.platform.read.clear()
    await deployment.platform.read.wait()
    if deployment.trouble:
        await add_machine(deployment)
    machines = ["m-1", f"m-{ADDED}"]
    body = {"wave": WAVE, "machines": machines, "duration-s": DURATION_S, "cap": CAP}
    address = deployment.control_addresses[0]
    status, _ = await harness.call(address, "POST", "/wave-start", body, timeout_s=1.0)
    if status != 200:
        raise harness.NotRunError("the wave was not acknowledged")
    deployment.record(f"wave {WAVE} of {', '.join(machines)}, cap {CAP}: acknowledged")
    until_ms = harness.now_ms() + DURATION_S * 1_000
    while harness.now_ms() < until_ms:
        status, content = await harness.call(address, "GET", f"/wave-get/{WAVE}", timeout_s=1.0)
        if status == 200 and json.loads(content)["state"] == "completed":
            deployment.record(f"wave {WAVE}: {content.decode()}")
            check(deployment, machines)
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(WATCHED_S)
    for machine in machines:
        did = "has" if machine in deployment.begun else "has not"
        deployment.record(f"{machine} {did} had its upkeep")


def check(deployment: Wave, machines: list[str]) -> None:
    """Check MIXED: the wave is said to be completed, and a machine hasn't begun its upkeep."""
    for machine in machines:
        if machine not in deployment.begun:
            deployment.break_rule(
                f"MIXED: wave {WAVE} is said to be completed, and {machine}, which stays, hasn't "
                "begun its upkeep"
            )


if __name__ == "__main__":
    harness.main(play, Path(__file__).resolve().parent, Wave)
