"""The leader is killed while the platform doesn't answer its orders of a wave."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from rig import BOUNDS, ZONES, Rig, main  # noqa: E402

FIRST, SECOND = "00000000000000a7", "00000000000000b7"
MAY_MISS = 1
DOWN_S = 3
# After its start a task that lasts is at work.
STARTUP_MS = 300


def lost_availability(rig: Rig) -> list[str]:
    """Return breaks of AVAIL by upkeep: too many others of the step are away at the order."""
    found = []
    for at_ms, machine, ended in rig.wave_orders:
        for run in ended:
            if not run.lasting or at_ms - run.began_ms < STARTUP_MS:
                continue
            job_id, _, step, _ = run.task.split(".")
            count = rig.jobs[job_id]["steps"][int(step)]["count"]
            away = []
            for index in range(count):
                name = f"{job_id}.0.{step}.{index}"
                if name != run.task and is_away(rig, name, at_ms):
                    away.append(name)
            if len(away) >= MAY_MISS:
                found.append(
                    f"upkeep of {machine} ends {run.task}, at work for "
                    f"{at_ms - run.began_ms} ms, while {away} is away"
                )
    return found


def is_away(rig: Rig, task: str, at_ms: int) -> bool:
    """Return whether a task was ended by an order or has not been at work for `notice-ms`."""
    runs = [run for run in rig.runs if run.task == task and run.began_ms <= at_ms]
    at_work = [run for run in runs if run.began_ms + STARTUP_MS < (run.ended_ms or at_ms + 1)]
    if not at_work:
        return False
    last = at_work[-1]
    if last.ended_ms is None or last.ended_ms > at_ms:
        return False
    by_order = last.how == "stopped" or any(last in ended for _, _, ended in rig.wave_orders)
    return by_order or at_ms - last.ended_ms > BOUNDS["notice-ms"]


async def start_again(rig: Rig, name: str) -> None:
    await asyncio.sleep(DOWN_S)
    rig.start(name)


async def case(rig: Rig) -> list[str]:
    for number in range(5):
        rig.add_machine("desk", ZONES[number % 3], rack=f"r1-{number}")
    silent = False
    rig.cloud_state = lambda: "silent" if silent else "ok"
    await rig.begin()
    route = {"name": "r-1", "path-prefix": "/desk/", "service": "desk"}
    await rig.operate("POST", "/config/replace", rig.config([route], ["desk"]))
    await asyncio.sleep(5)
    step = {
        "count": 2,
        "cpu": 9000,
        "mem-mb": 2400,
        "estimate-ms": 900,
        "anti-affinity": 1,
        "long-running": True,
        "may-miss": MAY_MISS,
    }
    await rig.submit("/desk/", FIRST, [step])
    await asyncio.sleep(2)
    leader = await rig.leader()
    if rig.trouble:
        silent = True
        rig.record("the platform's machine service doesn't answer")
    wave = {"wave": 1, "machines": sorted(rig.machines), "duration-s": 30, "cap": 2}
    await rig.operate("POST", "/wave-start", wave)
    await asyncio.sleep(3)
    if rig.trouble:
        rig.kill(leader)
        rig.background.add(asyncio.ensure_future(start_again(rig, leader)))
    silent = False
    rig.record("the platform's machine service answers")
    await rig.leader()
    # By then each minion has reported to the new leader.
    await asyncio.sleep(1.6)
    await rig.submit("/desk/", SECOND, [step])
    await asyncio.sleep(32)
    for machine in rig.machines.values():
        if 1 not in machine.waves:
            rig.record(f"{machine.name} has not begun its upkeep")
    return lost_availability(rig)


main(str(FOLDER), case)
