"""A route is removed while a task of its queue fails at each attempt."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from rig import ZONES, Rig, main  # noqa: E402

JOB = "00000000000000a8"
MAX_ATTEMPTS = 2


def starts_beyond_budget(rig: Rig) -> list[str]:
    """Return breaks of BUDGET: a start after `max-attempts` ends `failed` that were noted."""
    found = []
    for run in rig.runs_of(JOB):
        failed = [
            other
            for other in rig.runs_of(JOB)
            if other.task == run.task
            and other.how == "failed"
            and other.noted_ms is not None
            and not other.lapsed_before_noted
            and other.ended_ms < run.began_ms
        ]
        if len(failed) >= MAX_ATTEMPTS:
            found.append(
                f"{run.task}: run {run.number} starts after {len(failed)} runs have ended failed"
            )
    return found


async def case(rig: Rig) -> list[str]:
    for number in range(3):
        rig.add_machine("desk", ZONES[number], rack=f"r1-{number}")
    await rig.begin()
    kept = {"name": "r-1", "path-prefix": "/kept/", "service": "desk"}
    removed = {"name": "r-2", "path-prefix": "/desk/", "service": "desk"}
    removed["max-attempts"] = MAX_ATTEMPTS
    await rig.operate("POST", "/config/replace", rig.config([kept, removed], ["desk"]))
    await asyncio.sleep(5)
    rig.work_s = lambda run: 2
    rig.outcome = lambda run: "failed"
    await rig.submit("/desk/", JOB, [{"count": 1, "cpu": 900, "mem-mb": 500, "estimate-ms": 2000}])
    await asyncio.sleep(1)
    routes = [kept] if rig.trouble else [kept, removed]
    await rig.operate("POST", "/config/replace", rig.config(routes, ["desk"]))
    await asyncio.sleep(30)
    await rig.ask("GET", f"/desk/{JOB}")
    return starts_beyond_budget(rig)


main(str(FOLDER), case)
