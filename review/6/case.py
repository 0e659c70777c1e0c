"""A minion that is cut off for 2.5 s while more than 500 of its tasks end."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from rig import ZONES, CouldNotRun, Rig, double_runs, main, now_ms  # noqa: E402

JOB = "00000000000000a6"
TASKS = 620
CUT_S = 2.5


async def case(rig: Rig) -> list[str]:
    for number in range(3):
        rig.add_machine("desk", ZONES[number], rack=f"r1-{number}", kind="b" if number else "a")
    target = rig.machines["m-1"]
    await rig.begin()
    route = {"name": "r-1", "path-prefix": "/desk/", "service": "desk", "max-attempts": 4}
    await rig.operate("POST", "/config/replace", rig.config([route], ["desk"]))
    await asyncio.sleep(5)
    # The tasks of the step take 6 to 8 s, one after the other.
    rig.work_s = lambda run: 6 + 2 * int(run.task.rpartition(".")[2]) / TASKS
    cut_until = 0

    def is_cut(minion, token):
        return minion.machine is target and now_ms() < cut_until

    rig.is_cut = is_cut
    rig.may_report = lambda minion, address: not is_cut(minion, 0)
    step = {"count": TASKS, "cpu": 20, "mem-mb": 40, "estimate-ms": 7000, "required-label": "a"}
    await rig.submit("/desk/", JOB, [step])
    for _ in range(200):
        if len(rig.runs_of(JOB)) == TASKS:
            break
        await asyncio.sleep(0.05)
    else:
        raise CouldNotRun(f"only {len(rig.runs_of(JOB))} tasks have started")
    first_end_ms = min(run.began_ms + 1000 * rig.work_s(run) for run in rig.runs_of(JOB))
    last_end_ms = max(run.began_ms + 1000 * rig.work_s(run) for run in rig.runs_of(JOB))
    rig.record(f"ends are due in {first_end_ms - now_ms():.0f} to {last_end_ms - now_ms():.0f} ms")
    cut_ms = max(first_end_ms, last_end_ms - 1000 * CUT_S + 100)
    await asyncio.sleep(max(0, cut_ms - now_ms()) / 1000)
    if rig.trouble:
        cut_until = now_ms() + 1000 * CUT_S
        rig.record(f"m-1 is cut off from the core for {CUT_S} s")
    await asyncio.sleep(12)
    await rig.ask("GET", f"/desk/{JOB}")
    return double_runs(rig.runs)


main(str(FOLDER), case)
