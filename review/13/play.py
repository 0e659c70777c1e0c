"""Two waves take the same machines; the platform answers 503 as the second one begins."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

import harness  # noqa: E402

# Half of the machines are due.
MACHINES, DUE = 12, 6
FIRST, SECOND = 1, 2
CAPS = {FIRST: 3, SECOND: 1}
DURATION_S = 25
BUSY_S = 1.0


class Waves(harness.Deployment):
    """Count the machines of each wave that are down for their upkeep."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.down: dict[int, set[str]] = {FIRST: set(), SECOND: set()}
        self.over: dict[int, int] = {FIRST: 0, SECOND: 0}

    def note_upkeep(self, machine: str, wave: int) -> None:
        """Check LIMIT: an upkeep begins while `cap` machines of its wave are down for theirs."""
        super().note_upkeep(machine, wave)
        if len(self.down[wave]) >= CAPS[wave]:
            others = ", ".join(sorted(self.down[wave]))
            self.break_rule(
                f"LIMIT: the upkeep of {machine} for wave {wave} begins while {others} is down "
                f"for its own; cap {CAPS[wave]}"
            )
        self.down[wave].add(machine)

    def note_upkeep_over(self, machine: str, wave: int) -> None:
        """Count a machine as back."""
        super().note_upkeep_over(machine, wave)
        self.down[wave].discard(machine)
        self.over[wave] += 1


async def order_wave(deployment: Waves, number: int) -> None:
    """Send a wave as the operator does: again after a failure."""
    machines = [minion.machine for minion in deployment.minions[:DUE]]
    body = {"wave": number, "machines": machines, "duration-s": DURATION_S, "cap": CAPS[number]}
    for attempt in range(20):
        address = deployment.control_addresses[attempt % 3]
        status, _ = await harness.call(address, "POST", "/wave-start", body, timeout_s=1.0)
        if status == 200:
            deployment.record(f"wave {number} of {len(machines)}, cap {CAPS[number]}: acknowledged")
            return
        await asyncio.sleep(0.3)
    raise harness.NotRunError(f"wave {number} was not acknowledged")


async def wait_until_over(deployment: Waves, number: int, within_s: float) -> None:
    """Wait until every machine of a wave has had its upkeep."""
    for _ in range(int(within_s * 5)):
        if deployment.over[number] == DUE:
            return
        await asyncio.sleep(0.2)
    deployment.record(f"wave {number}: {deployment.over[number]} of {DUE} in time")


async def play(deployment: Waves) -> None:
    """Play both waves."""
    for number in range(1, MACHINES + 1):
        await deployment.add_minion(f"m-{number}", number, service="work")
    route = {"name": "r", "path-prefix": "/desk/", "service": "work"}
    await deployment.declare(harness.configuration(routes=[route], services=[{"name": "work"}]))
    await asyncio.sleep(5)
    await order_wave(deployment, FIRST)
    await wait_until_over(deployment, FIRST, 30)
    if deployment.over[FIRST] < DUE:
        raise harness.NotRunError("the first wave did not end")
    await asyncio.sleep(4)
    if deployment.trouble:
        deployment.platform.busy = True
        deployment.record("the platform answers 503 from now on")
    await order_wave(deployment, SECOND)
    await asyncio.sleep(BUSY_S)
    if deployment.trouble:
        deployment.platform.busy = False
        deployment.record("the platform answers again")
    await wait_until_over(deployment, SECOND, 30)


if __name__ == "__main__":
    harness.main(play, Path(__file__).resolve().parent, Waves)
