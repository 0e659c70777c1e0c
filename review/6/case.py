"""A version replaces a route by one of another name at the same host and prefix."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from rig import BOUNDS, ZONES, Rig, main, now_ms  # noqa: E402

JOB = "00000000000000a6"
# Long past `visible_ms` after the acceptance, `config-apply-ms` and `contact-ms` after the change.
ASK_AFTER_S = 6


async def case(rig: Rig) -> list[str]:
    for number in range(3):
        rig.add_machine("desk", ZONES[number], rack=f"r1-{number}")
    await rig.begin()
    route = {"name": "r-1", "path-prefix": "/desk/", "service": "desk", "max-attempts": 4}
    await rig.operate("POST", "/config/replace", rig.config([route], ["desk"]))
    await asyncio.sleep(5)
    rig.work_s = lambda run: 20
    step = {"count": 2, "cpu": 900, "mem-mb": 500, "estimate-ms": 20000}
    await rig.submit("/desk/", JOB, [step])
    accepted_ms = now_ms()
    if rig.trouble:
        route = {**route, "name": "r-2"}
    await rig.operate("POST", "/config/replace", rig.config([route], ["desk"]))
    await asyncio.sleep(ASK_AFTER_S)
    breaks = []
    for _ in range(3):
        after_ms = now_ms() - accepted_ms
        status, _ = await rig.ask("GET", f"/desk/{JOB}")
        if status == 410 and after_ms > BOUNDS["visible_ms"]:
            at_work = [run.task for run in rig.runs_of(JOB) if run.ended_ms is None]
            breaks.append(
                f"GET of the accepted job is answered 410 {after_ms} ms after its acceptance, "
                f"while {at_work} are at work"
            )
        await asyncio.sleep(1)
    # For the record only: what a repeat and a cancelling are answered.
    await rig.ask("POST", f"/desk/{JOB}", {"spec": "s", "steps": [step]})
    await rig.ask("DELETE", f"/desk/{JOB}")
    await asyncio.sleep(BOUNDS["cancel_ms"] / 1000 + 1)
    at_work = [run.task for run in rig.runs_of(JOB) if run.ended_ms is None]
    rig.record(f"at work {BOUNDS['cancel_ms'] + 1000} ms after DELETE: {at_work}")
    return breaks


main(str(FOLDER), case)
