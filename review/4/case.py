"""Two minions crash, one after the other, while a sound task runs there."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins.lab import CannotRun, Lab, run_case

MINIONS = 7
WORK_MS = 4_000
CRASHES = 2
# The task has been at work for this long when its minion crashes.
AT_WORK_S = 1.0
DOWN_S = 1.5


async def case(lab: Lab, trouble: bool) -> list[str]:
    """Submit a job of one task; crash the minion on which it runs, twice."""
    for number in range(1, MINIONS + 1):
        lab.add_minion(f"i-{number}", labels=["a", f"r1-{number}"])
    await lab.start()
    step = {"count": 1, "cpu": 1_000, "mem-mb": 500, "estimate-ms": WORK_MS}
    job_id = await lab.submit(f"ms={WORK_MS}", [step])
    for number in range(CRASHES if trouble else 0):
        until = lab.now() + 20
        while len(lab.starts) <= number:
            if lab.now() > until:
                raise CannotRun(f"the task has started only {number} times")
            await asyncio.sleep(0.02)
        await asyncio.sleep(AT_WORK_S)
        name = lab.starts[number][1]
        minion = next(minion for minion in lab.minions if minion.name == name)
        await minion.crash()
        await asyncio.sleep(DOWN_S)
        await minion.start()
    until = lab.now() + 30
    state = ""
    while state not in ("completed", "failed", "cancelled") and lab.now() < until:
        await asyncio.sleep(0.5)
        state = await lab.state(job_id)
    ended = [how for *_, how in lab.ends]
    lab.record("result", state=state, starts=len(lab.starts), ends=ended)
    if state in ("failed", "cancelled", "410") and "failed" not in ended:
        return [f"LOST: the job is shown as {state}, and none of its runs has ended failed"]
    if state != "completed":
        raise CannotRun(f"the job is {state or 'not answered'} after 30 s")
    return []


run_case(case, str(Path(__file__).resolve().parent))
