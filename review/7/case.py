"""Two minions crash, one after the other, under the only task of a job."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from rig import ZONES, CouldNotRun, Rig, main  # noqa: E402

JOB = "000000000000010a"
DOWN_S = 4.5
MINIONS = 6


async def running(rig: Rig, number: int):
    """Return the run of the task that is at work, the `number`th in all."""
    for _ in range(150):
        runs = rig.runs_of(JOB)
        if len(runs) >= number and not runs[-1].ended_ms:
            return runs[-1]
        await asyncio.sleep(0.1)
    raise CouldNotRun(f"run {number} has not started")


async def crash(rig: Rig, run) -> None:
    """Crash the minion of a run; it is back as a new life after DOWN_S."""
    machine = next(m for m in rig.machines.values() if m.minion is run.minion_of)
    rig.record(f"{run.minion} crashes, {machine.name} is down for {DOWN_S} s")
    machine.state = "down"
    machine.end_life()

    async def come_back() -> None:
        await asyncio.sleep(DOWN_S)
        machine.live()

    rig.background.add(asyncio.ensure_future(come_back()))


async def case(rig: Rig) -> list[str]:
    for number in range(MINIONS):
        rig.add_machine("desk", ZONES[number % 3], rack=f"r1-{number // 4}")
    await rig.begin()
    route = {"name": "r-1", "path-prefix": "/desk/", "service": "desk", "max-attempts": 4}
    await rig.operate("POST", "/config/replace", rig.config([route], ["desk"]))
    await asyncio.sleep(5)
    rig.work_s = lambda run: 8
    await rig.submit("/desk/", JOB, [{"count": 1, "cpu": 900, "mem-mb": 500, "estimate-ms": 8000}])
    for number in (1, 2) if rig.trouble else ():
        run = await running(rig, number)
        await asyncio.sleep(4)
        await crash(rig, run)
    breaks = []
    for _ in range(20):
        await asyncio.sleep(1)
        status, content = await rig.ask("GET", f"/desk/{JOB}")
        state = content.get("state")
        failures = sum(run.how == "failed" for run in rig.runs_of(JOB))
        if status == 200 and state == "failed" and not failures:
            breaks.append(f"the job is shown as failed after {failures} ends `failed`")
            break
        if state == "completed":
            break
    else:
        breaks.append("the job is neither completed nor failed")
    return breaks


main(str(FOLDER), case)
