"""A core machine loses its disk after some changes of a large configuration, then another one."""

from __future__ import annotations

import asyncio
import shutil
import signal
from pathlib import Path

from standins.http import request
from standins.lab import CannotRun, Lab, Program, run_case

MORE_ROUTES = 1_440
CHANGES = 120
SEND_S = 50.0
DOWN_S = 1.0
# Several times `catch-up-s`, 4 s: the first machine counts as lost no longer.
BETWEEN_S = 15.0
# `recovery-s`, 12 s, and some more.
READ_BACK_S = 16.0


async def case(lab: Lab, trouble: bool) -> list[str]:
    """Change a large configuration, then let two machines lose their disks one after the other."""
    for number in (1, 2, 3):
        lab.add_minion(f"i-{number}", labels=["a", f"r1-{number}"])
    await lab.start()
    configuration = lab.configuration()
    if trouble:
        idle = configuration["routes"][1]
        configuration["routes"] += [
            {**idle, "name": f"r-{n:06d}x", "path-prefix": f"/idle{n}/"} for n in range(MORE_ROUTES)
        ]
    until = lab.now() + SEND_S
    for _ in range(CHANGES):
        lab.version += 1
        configuration["version"] = lab.version
        configuration["routes"][1]["timeout-ms"] = 3_000 + lab.version
        await send(lab, configuration, until)
    lab.record("acknowledged", version=lab.version, memory_mb=[p.memory_mb() for p in lab.control])
    leader = await lab.leader()
    if leader is None:
        raise CannotRun("no process says that it leads")
    others = [program for program in lab.control if program is not leader]
    await lose_disk(lab, others[0])
    await asyncio.sleep(BETWEEN_S)
    between = await read_back(lab)
    leads = getattr(await lab.leader(), "name", None)
    lab.record("read back between", version=between, leads=leads)
    await lose_disk(lab, others[1])
    read = await read_back(lab)
    codes = [program.process.poll() for program in lab.control]
    lab.record("result", acknowledged=lab.version, between=between, read_back=read, ended=codes)
    if between != lab.version:
        return [f"CONFIG: after the first loss, version {lab.version} is read back as {between}"]
    if read != lab.version:
        return [
            f"CONFIG: version {lab.version} is acknowledged; two machines have lost their disks, "
            f"{BETWEEN_S} s apart, and for {READ_BACK_S} s its reading back gives {read}"
        ]
    return []


async def lose_disk(lab: Lab, program: Program) -> None:
    """Kill a process and start it with an empty disk, at its old address (DEPLOY.md, Losses)."""
    program.send(signal.SIGKILL)
    program.process.wait()
    data = lab.folder / "data" / program.name
    shutil.rmtree(data)
    data.mkdir()
    lab.record("disk lost", process=program.name)
    text = program.settings.read_text(encoding="utf-8")
    program.settings.write_text(
        text.replace("bootstrap = true", "bootstrap = false"), encoding="utf-8"
    )
    await asyncio.sleep(DOWN_S)
    program.start()


async def send(lab: Lab, configuration: dict, until: float) -> None:
    """Send a change to one node after the other until it is acknowledged."""
    turn = lab.version
    while lab.now() < until:
        address = lab.control_addresses[turn % len(lab.control_addresses)]
        status, _ = await request(address, "POST", "/config/replace", configuration, timeout_s=2)
        if status == 200:
            return
        turn += 1
        await asyncio.sleep(0.5)
    raise CannotRun(f"version {lab.version} was not acknowledged in time")


async def read_back(lab: Lab) -> int | None:
    """Ask each node for the configuration for a while; return the version that came."""
    until = lab.now() + READ_BACK_S
    while lab.now() < until:
        for address in lab.control_addresses:
            status, content = await request(address, "GET", "/config/read", timeout_s=2)
            lab.record("read", of=address, status=status)
            if status == 200:
                return content["version"]
        await asyncio.sleep(0.5)
    return None


run_case(case, str(Path(__file__).resolve().parent))
