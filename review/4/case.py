"""A rack crashes and is back as new incarnations; a job is handed in before they are heard of."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins.lab import CannotRun, Lab, run_case

# A rack of the site has four workers, and a pool six.
RACK = 4
OTHERS = 2
TASKS = 12
WORK_MS = 1_500
DOWN_S = 1.0
# A minion sends a heartbeat about every 1.5 s.
FIRST_BEAT_S = 1.4


async def case(lab: Lab, trouble: bool) -> list[str]:
    """Fill the other rack, crash one, and submit a job once its minions are back."""
    for number in range(1, RACK + OTHERS + 1):
        rack = "r1-1" if number <= RACK else "r1-2"
        kind = "a" if number <= RACK else "b"
        lab.add_minion(f"i-{number}", labels=[kind, rack])
    await lab.start()
    full = {"count": OTHERS, "cpu": 15_000, "mem-mb": 500, "estimate-ms": 1_000}
    await lab.submit("ms=600000", [{**full, "long-running": True, "required-label": "b"}])
    await asyncio.sleep(3)
    if trouble:
        rack = lab.minions[:RACK]
        for minion in rack:
            await minion.crash()
        await asyncio.sleep(DOWN_S)
        for minion in rack:
            await minion.start(name=f"{minion.name}-new", first_beat_s=FIRST_BEAT_S)
    step = {"count": TASKS, "cpu": 1_200, "mem-mb": 500, "estimate-ms": WORK_MS}
    job_id = await lab.submit(f"ms={WORK_MS}", [step])
    until = lab.now() + 30
    state = ""
    while state not in ("completed", "failed", "cancelled") and lab.now() < until:
        await asyncio.sleep(0.3)
        state = await lab.state(job_id)
    starts = [row for row in lab.starts if row[3].startswith(job_id)]
    ends = [row[5] for row in lab.ends if row[3].startswith(job_id)]
    lab.record("result", state=state, starts=len(starts), ends=ends)
    if state in ("failed", "cancelled", "410") and "failed" not in ends:
        return [
            f"LOST: the job is shown as {state}; its tasks were started {len(starts)} times, no "
            f"run has ended failed, and no minion has crashed since it was handed in"
        ]
    if state != "completed":
        raise CannotRun(f"the job is {state or 'not answered'} after 30 s")
    return []


run_case(case, str(Path(__file__).resolve().parent))
