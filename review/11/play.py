"""More runs end on one minion while it is cut off than one answer of `hold` lists."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

import harness  # noqa: E402

# One minion of six is cut off; the jobs need a label that only this one has.
MINIONS = 6
LABEL = "r1-1"
JOBS = 14
TASKS = 50
CPU, MEM_MB = 20, 40
# All runs end within about two seconds, some seconds after the last start.
WORK_MS = 9_000
CUT_AFTER_FIRST_START_S = 8.5
# Shorter than the lease of 4 s, so that no run lapses.
CUT_S = 3.0


async def play(deployment: harness.Deployment) -> None:
    """Hand small jobs in, cut their minion off while they end, and look for second runs."""
    for number in range(1, MINIONS + 1):
        await deployment.add_minion(f"m-{number}", number, service="work")
    minion = deployment.minions[0]
    route = {"name": "r", "path-prefix": "/desk/", "service": "work"}
    await deployment.declare(harness.configuration(routes=[route], services=[{"name": "work"}]))
    await asyncio.sleep(5)
    spec = json.dumps({"work_ms": WORK_MS, "cpu": CPU, "mem-mb": MEM_MB})
    needs = {"cpu": CPU, "mem-mb": MEM_MB, "required-label": LABEL}
    step = {"count": TASKS, "estimate-ms": WORK_MS, **needs}
    paths = [f"/desk/{number:016x}" for number in range(1, JOBS + 1)]
    for number, path in enumerate(paths):
        await deployment.submit(path, {"spec": spec, "steps": [step]})
        if number == 0:
            began_ms = harness.now_ms()
        await asyncio.sleep(0.1)
    await asyncio.sleep((began_ms - harness.now_ms()) / 1_000 + CUT_AFTER_FIRST_START_S)
    deployment.record(f"{len(minion.running)} runs are there, {len(deployment.ended)} have ended")
    if len(minion.running) + len(deployment.ended) < JOBS * TASKS:
        raise harness.NotRunError("not all tasks have started")
    if deployment.trouble:
        minion.cut = True
        deployment.record("the minion is cut off")
    await asyncio.sleep(CUT_S)
    if deployment.trouble:
        minion.cut = False
        deployment.record(f"the minion is reached again, it lists {len(minion.ends)} ends")
    for path in paths:
        await deployment.wait_for_state(path, ("completed", "failed"), 30)
    await asyncio.sleep(2)
    check_twice(deployment)


def check_twice(deployment: harness.Deployment) -> None:
    """Check TWICE: a start after a run has ended `done`, if that end is taken note of."""
    lapsed = [task for task, ends in deployment.ended.items() if any(e[2] == "lapsed" for e in ends)]
    deployment.record(f"{len(lapsed)} tasks had a run whose lease lapsed")
    twice = 0
    for task, starts in sorted(deployment.starts.items()):
        done = [
            (at_ms, run)
            for at_ms, run, how in deployment.ended.get(task, [])
            if how == "done" and deployment.seen.get((task, run)) == "done"
        ]
        for at_ms, run, minion in starts:
            before = [known for ended_ms, known in done if ended_ms < at_ms]
            if before:
                twice += 1
                if twice <= 5:
                    deployment.break_rule(
                        f"TWICE: run {run} of {task} starts on {minion} after run {before[0]} has "
                        "ended done, and that end is taken note of"
                    )
    deployment.record(f"{twice} starts after an end done that is taken note of")


if __name__ == "__main__":
    harness.main(play, Path(__file__).resolve().parent)
