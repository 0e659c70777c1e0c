"""Empty minions are added to a service whose queue needs advice."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from rig import ADVICE, BOUNDS, ZONES, CouldNotRun, Rig, main, now_ms  # noqa: E402

LASTING, JOB = "00000000000000a7", "00000000000000b7"
MINIONS, ADMITTED, ADDED = 30, 4, 6
IDLE_MS = 3000


async def case(rig: Rig) -> list[str]:
    for number in range(MINIONS):
        kind = "b" if number < ADMITTED else "a"
        rig.add_machine("desk", ZONES[number % 3], rack=f"r1-{number // 8}", kind=kind)
    await rig.begin()
    routes = [
        {"name": "r-1", "path-prefix": "/lasting/", "service": "desk"},
        {"name": "r-2", "path-prefix": "/desk/", "service": "desk", "advice": ADVICE},
    ]
    await rig.operate("POST", "/config/replace", rig.config(routes, ["desk"]))
    await asyncio.sleep(5)
    # The minions that the policy admits are at work on something else, with room for more.
    await rig.submit(
        "/lasting/",
        LASTING,
        [
            {
                "count": ADMITTED,
                "cpu": 4000,
                "mem-mb": 2000,
                "estimate-ms": 900,
                "anti-affinity": 1,
                "required-label": "b",
                "long-running": True,
            }
        ],
    )
    await asyncio.sleep(2)
    rig.admitted = {run.minion for run in rig.runs_of(LASTING)}
    if len(rig.admitted) != ADMITTED:
        raise CouldNotRun("the lasting tasks have not started")
    if rig.trouble:
        for number in range(ADDED):
            await rig.add_machine("desk", ZONES[number % 3], rack="r1-9").begin()
        rig.record(f"{ADDED} empty minions are added")
    await asyncio.sleep(4)
    await rig.submit(
        "/desk/", JOB, [{"count": 2, "cpu": 900, "mem-mb": 500, "estimate-ms": 600}], advice=True
    )
    submitted_ms = now_ms()
    await asyncio.sleep(BOUNDS["finish_s"] + 2 * IDLE_MS / 1000)
    await rig.ask("GET", f"/desk/{JOB}")
    if rig.runs_of(JOB):
        return []
    waited_ms = now_ms() - submitted_ms - 1000 * BOUNDS["finish_s"]
    return [f"nothing of the job runs for {waited_ms} ms, from `finish_s` on; it has never run"]


main(str(FOLDER), case)
