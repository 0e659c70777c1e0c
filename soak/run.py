"""One soak: start the deployment, put it under load and faults, settle, and check."""

from __future__ import annotations

import json
import random
from pathlib import Path

import attrs
import trio

from hornbeamreach.clock import seconds
from hornbeamreach.logs import part_logger
from soak.callers import TEAM_CAPS, Callers, KeptConnections, Operators
from soak.deployment import PROXIES, Deployment
from soak.faults import Injector
from soak.observations import Observations, find_logged_faults, load_events
from soak.parent import boottime_ms

log = part_logger("soak")

READY_TIMEOUT_MS = 60_000
# Once all faults have ended, accepted jobs must go on ending until none is left: within this time
# one of them ends, also after leases that lapse and an election on a busy machine.
PROGRESS_TIMEOUT_MS = 30_000
SETTLE_TIMEOUT_MS = 180_000
POLL_MS = 200
# These have no orderly end; the proxies are needed until the last daemon has ended.
STAND_INS = (PROXIES, "platform")
# Together some 40 of the 72 cores, and the team with the lowest cap a little more than its cap.
STEADY_CALLERS = ("red", "red", "blue", "blue", "green", "green", "green")
STEADY_PAUSE_MS = (400, 2_000)


class NotReadyError(Exception):
    """Report that the deployment did not complete a first job in time."""


async def run_soak(*, seed: int, duration_ms: int, folder: Path) -> Observations:
    """Run one soak with its files in an empty folder, and return what was observed."""
    folder.mkdir(parents=True, exist_ok=True)
    caps = {team: cap for team, cap in TEAM_CAPS.items() if cap}
    seen = Observations(team_caps=caps)
    deployment = Deployment(folder=folder, seen=seen, seed=seed)
    try:
        async with trio.open_nursery() as nursery:
            deployment.start(nursery)
            await _drive(deployment, nursery, seed=seed, duration_ms=duration_ms)
            nursery.cancel_scope.cancel()
    finally:
        deployment.end_all()
        seen.events = load_events(sorted(folder.glob("*.events")))
        seen.incidents += find_logged_faults(sorted(folder.glob("*-dc*.log")))
        _save(seen, folder)
    return seen


async def _drive(
    deployment: Deployment, nursery: trio.Nursery, *, seed: int, duration_ms: int
) -> None:
    connections = KeptConnections(nursery=nursery)
    rng = random.Random(f"{seed} callers")
    operators = Operators(
        deployment=deployment, connections=connections, rng=random.Random(f"{seed} operators")
    )
    callers = Callers(deployment=deployment, connections=connections, rng=rng, nursery=nursery)
    await _wait_ready(deployment, operators, callers)
    nursery.start_soon(_measure_lag, deployment.seen)
    nursery.start_soon(callers.hold_connections, lambda: _listeners(deployment))
    nursery.start_soon(lambda: callers.submit("green", lasting=True))
    for team in STEADY_CALLERS:
        nursery.start_soon(callers.submit_forever, team, STEADY_PAUSE_MS)
    with (deployment.folder / "timeline.jsonl").open("w", encoding="utf-8") as timeline:
        injector = Injector(
            deployment=deployment,
            callers=callers,
            operators=operators,
            timeline=timeline,
            rng=random.Random(f"{seed} injector"),
        )
        faults = injector.plan(seed, duration_ms)
        log.info("{} faults planned in {} s", len(faults), duration_ms // 1_000)
        async with trio.open_nursery() as load:
            load.start_soon(injector.run, faults)
            await trio.sleep(seconds(duration_ms))
    callers.submitting = False
    deployment.heal()
    log.bind(faults=injector.counts).info("faults ended, waiting for accepted jobs")
    with trio.move_on_after(seconds(SETTLE_TIMEOUT_MS)):
        await _wait_ended(callers)
        await operators.read()
    log.info("{} jobs still followed", callers.following)
    async with trio.open_nursery() as stopping:
        for name, program in deployment.programs.items():
            if name not in STAND_INS and program.running:
                stopping.start_soon(deployment.terminate, name)


async def _measure_lag(seen: Observations) -> None:
    """Record how late the soak's own timers fire: its processes are starved as well then."""
    while True:
        due_s = trio.current_time() + seconds(POLL_MS)
        await trio.sleep_until(due_s)
        seen.lag_ms = max(seen.lag_ms, (trio.current_time() - due_s) * 1_000)


async def _wait_ended(callers: Callers) -> None:
    """Wait until no job is followed, or none has ended for a long time."""
    while callers.following:
        followed = callers.following
        with trio.move_on_after(seconds(PROGRESS_TIMEOUT_MS)) as scope:
            while callers.following >= followed:
                await trio.sleep(seconds(POLL_MS))
        if scope.cancelled_caught:
            return


def _listeners(deployment: Deployment) -> list[str]:
    return [
        *map(deployment.caller_address, deployment.entries),
        *map(deployment.control_address, deployment.control),
    ]


async def _wait_ready(deployment: Deployment, operators: Operators, callers: Callers) -> None:
    began_ms = boottime_ms()
    with trio.move_on_after(seconds(READY_TIMEOUT_MS)) as scope:
        await operators.change()
        while not any(job.final for job in deployment.seen.jobs.values()):
            await callers.submit("green")
            await trio.sleep(seconds(POLL_MS))
    if scope.cancelled_caught:
        raise NotReadyError(f"no job ended within {READY_TIMEOUT_MS} ms")
    log.info("the deployment is ready after {:.0f} ms", boottime_ms() - began_ms)


def _save(seen: Observations, folder: Path) -> None:
    jobs = [attrs.asdict(job) for job in seen.jobs.values()]
    (folder / "jobs.jsonl").write_text("".join(json.dumps(job) + "\n" for job in jobs))
    rest = {
        "minion_ends": seen.minion_ends,
        "evacuations": [attrs.asdict(e) for e in seen.evacuations],
        "declaration_reads": [attrs.asdict(r) for r in seen.declaration_reads],
        "incidents": seen.incidents,
    }
    (folder / "observations.json").write_text(json.dumps(rest, indent=1))


def summary(seen: Observations) -> str:
    """Return one printable line about what was observed."""
    jobs = list(seen.jobs.values())
    accepted = sum(job.accepted_ms is not None for job in jobs)
    refused = sum(all(r.states_not_run for r in job.submissions) for job in jobs)
    ended = {"completed": 0, "cancelled": 0, "failed": 0}
    for job in jobs:
        if job.final is not None:
            ended[job.final.state] += 1
    starts = sum(event.kind == "start" for event in seen.events)
    unknown = sum(r.status in (0, 504) for job in jobs for r in job.submissions)
    return (
        f"{len(jobs)} jobs, {accepted} accepted, {refused} refused, {unknown} unknown responses, "
        f"ended {ended}, {starts} starts, {len(seen.evacuations)} evacuations, "
        f"{len(seen.declaration_reads)} reads of the declaration, "
        f"own timers at most {seen.lag_ms:.0f} ms late"
    )
