"""A large configuration is changed some hundred times."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path

from standins.http import request
from standins.lab import MEMORY_MB, Lab, Program, run_case

MORE_ROUTES = 1_440
CHANGES = 480
SEND_S = 68.0
# The platform starts a process that was killed again after a short delay.
RESTART_S = 0.3
CHECK_S = 0.05
# Above `finish_s`, 14 s: the time until jobs are asked for.
READ_BACK_S = 16.0
# Ends by themselves on half of the core that make a fault of the day.
ENDS = 3


async def case(lab: Lab, trouble: bool) -> list[str]:
    """Change the configuration one version at a time, then read it back."""
    for number in (1, 2, 3):
        lab.add_minion(f"i-{number}", labels=["a", f"r1-{number}"])
    await lab.start()
    step = {"count": 1, "cpu": 1_000, "mem-mb": 500, "estimate-ms": 500}
    job_id = await lab.submit("ms=500", [step])
    configuration = lab.configuration()
    if trouble:
        idle = configuration["routes"][1]
        configuration["routes"] += [
            {**idle, "name": f"r-{n:06d}x", "path-prefix": f"/idle{n}/"} for n in range(MORE_ROUTES)
        ]
    ends = {program.name: 0 for program in lab.control}
    watches = [asyncio.create_task(enforce_memory(lab, p, ends)) for p in lab.control]
    until = lab.now() + SEND_S
    acknowledged = 0
    for _ in range(CHANGES):
        lab.version += 1
        configuration["version"] = lab.version
        configuration["routes"][1]["timeout-ms"] = 3_000 + lab.version
        if not await send(lab, configuration, until):
            break
        acknowledged = lab.version
        if lab.version % 20 == 0 or max(ends.values()):
            sizes = [program.memory_mb() for program in lab.control]
            lab.record("acknowledged", version=acknowledged, memory_mb=sizes, ends=ends)
    read = await read_back(lab)
    answers = [(await lab.call("GET", job_id, front=front))[0] for front in (0, 1)]
    for watch in watches:
        watch.cancel()
    lab.record("result", acknowledged=acknowledged, read_back=read, job=answers, ends=ends)
    broken = []
    if 200 not in answers:
        broken.append(f"LOST: the accepted job is asked for, and the entries answer {answers}")
    if read is None or read < acknowledged:
        broken.append(
            f"CONFIG: version {acknowledged} is acknowledged, and for {READ_BACK_S} s its reading "
            f"back gives {read}"
        )
    if sum(count >= ENDS for count in ends.values()) * 2 >= len(ends):
        broken.append(
            f"Fault: processes of the core were killed for over {MEMORY_MB} MB of memory: {ends}"
        )
    return broken


async def enforce_memory(lab: Lab, program: Program, ends: dict[str, int]) -> None:
    """Kill a process over its limit of memory and start it again, as the platform does."""
    while True:
        await asyncio.sleep(CHECK_S)
        assert program.process is not None
        used_mb = program.memory_mb()
        if used_mb <= MEMORY_MB and program.process.poll() is None:
            continue
        with contextlib.suppress(ProcessLookupError):
            program.send(signal.SIGKILL)
        code = program.process.wait()
        ends[program.name] += 1
        lab.record("process ended", process=program.name, memory_mb=used_mb, code=code)
        await asyncio.sleep(RESTART_S)
        program.start()


async def send(lab: Lab, configuration: dict, until: float) -> bool:
    """Send a change to one node after the other until it is acknowledged."""
    turn = lab.version
    while lab.now() < until:
        address = lab.control_addresses[turn % len(lab.control_addresses)]
        status, _ = await request(address, "POST", "/config/replace", configuration, timeout_s=2)
        if status == 200:
            return True
        lab.record("config sent", to=address, version=lab.version, answer=status)
        turn += 1
        await asyncio.sleep(0.5)
    return False


async def read_back(lab: Lab) -> int | None:
    """Ask each node for the configuration for a while; return the newest version that came."""
    until = lab.now() + READ_BACK_S
    found = None
    while lab.now() < until:
        for address in lab.control_addresses:
            status, content = await request(address, "GET", "/config/read", timeout_s=2)
            if status == 200:
                found = max(found or 0, content["version"])
                lab.record("read back", of=address, version=content["version"])
                return found
        await asyncio.sleep(0.5)
    return found


run_case(case, str(Path(__file__).resolve().parent))
