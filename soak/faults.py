"""Faults of a soak: their plan, drawn from the seed, and their injection."""

from __future__ import annotations

import json
import random
from typing import IO

import attrs
import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.logs import part_logger
from soak.callers import Callers, Operators
from soak.deployment import DATA_CENTERS, Deployment
from soak.parent import boottime_ms

log = part_logger("soak")

LEADER = "leader"
SIGNAL_KINDS = ("kill", "suspend", "terminate")
# All links of a replica are cut: in both directions, only what it sends, or those to its peers,
# while entries still reach it.
ISOLATION_KINDS = ("isolate", "mute", "split")
NETWORK_KINDS = ("delay", "reset", "cut", "silence")
DELAY_MS = (20, 400)
FLOOD_MS = 6_000
# A leader is killed this long after a flood has begun, when the queues are full.
PEAK_MS = 2_500


@define(frozen=True, kw_only=True)
class Lane:
    """Describe a series of faults: what it hits, its pauses and how long each fault lasts."""

    kinds: tuple[str, ...]
    role: str
    pause_ms: tuple[int, int]
    for_ms: tuple[int, int]


# The series overlap one another; within one, a fault begins after the earlier one has ended.
LANES = {
    "control": Lane(
        kinds=SIGNAL_KINDS + ISOLATION_KINDS,
        role="control",
        pause_ms=(1_000, 5_000),
        for_ms=(100, 4_000),
    ),
    "entry": Lane(kinds=SIGNAL_KINDS, role="entry", pause_ms=(3_000, 8_000), for_ms=(100, 4_000)),
    "minion": Lane(kinds=SIGNAL_KINDS, role="minion", pause_ms=(3_000, 8_000), for_ms=(100, 7_000)),
    "network": Lane(kinds=NETWORK_KINDS, role="link", pause_ms=(1_000, 5_000), for_ms=(300, 5_000)),
    "change": Lane(kinds=("change",), role="", pause_ms=(1_500, 5_000), for_ms=(0, 0)),
    # Nothing is checked in the first 5 s of an evacuation.
    "evacuation": Lane(
        kinds=("evacuate",), role="data center", pause_ms=(2_000, 8_000), for_ms=(8_000, 13_000)
    ),
    "flood": Lane(kinds=("flood",), role="", pause_ms=(8_000, 15_000), for_ms=(FLOOD_MS, FLOOD_MS)),
}


@define(frozen=True, kw_only=True)
class Fault:
    """Describe one fault; `at_ms` counts from the begin of the load."""

    at_ms: int
    kind: str
    for_ms: int = 0
    target: str = ""
    # The other end of a link.
    peer: str = ""


def plan_faults(
    seed: int, duration_ms: int, targets: dict[str, list[str]], links: list[tuple[str, str]]
) -> list[Fault]:
    """Return the faults of a seed in the order of their begins."""
    planned = []
    for name, lane in LANES.items():
        # Each series has its own numbers, so that a change of one leaves the others as they are.
        rng = random.Random(f"{seed} {name}")
        at_ms = rng.randint(*lane.pause_ms)
        while at_ms + lane.for_ms[0] < duration_ms:
            for_ms = rng.randint(*lane.for_ms)
            target, peer = "", ""
            if lane.role == "link":
                target, peer = rng.choice(links)
            elif lane.role:
                target = rng.choice(targets[lane.role])
            kind = rng.choice(lane.kinds)
            planned.append(Fault(at_ms=at_ms, kind=kind, for_ms=for_ms, target=target, peer=peer))
            if kind == "flood":
                planned.append(Fault(at_ms=at_ms + PEAK_MS, kind="kill", for_ms=500, target=LEADER))
            at_ms += for_ms + rng.randint(*lane.pause_ms)
    return sorted(planned, key=lambda fault: fault.at_ms)


@define(kw_only=True, eq=False)
class Injector:
    """Inject planned faults, and restore everything at the end."""

    deployment: Deployment
    callers: Callers
    operators: Operators
    timeline: IO[str]
    rng: random.Random
    counts: dict[str, int] = field(factory=dict)

    def plan(self, seed: int, duration_ms: int) -> list[Fault]:
        """Return the faults of a seed for this deployment."""
        deployment = self.deployment
        targets = {
            # The leader is as likely as all others together.
            "control": [*deployment.control, *[LEADER] * len(deployment.control)],
            "entry": deployment.entries,
            "minion": [name for name, program in deployment.programs.items() if program.vm],
            "data center": list(DATA_CENTERS),
        }
        return plan_faults(seed, duration_ms, targets, deployment.links)

    async def run(self, faults: list[Fault]) -> None:
        """Inject the faults at their times, and return once the last one has ended."""
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in faults:
                await trio.sleep_until(began + seconds(fault.at_ms))
                nursery.start_soon(self._inject, fault)

    def note(self, text: str, fault: Fault, target: str) -> None:
        """Write a line of the timeline."""
        row = {"at": boottime_ms(), "text": text, **attrs.asdict(fault), "target": target}
        self.timeline.write(json.dumps(row) + "\n")
        self.timeline.flush()

    async def _inject(self, fault: Fault) -> None:
        target = fault.target
        if target == LEADER:
            target = await self.operators.find_leader() or self.rng.choice(self.deployment.control)
        program = self.deployment.programs.get(target)
        busy = program is not None and (program.ending or program.suspended)
        if busy and fault.kind in SIGNAL_KINDS:
            self.note("skipped", fault, target)
            return
        self.note("begin", fault, target)
        self.counts[fault.kind] = self.counts.get(fault.kind, 0) + 1
        if fault.kind in SIGNAL_KINDS:
            await self._signal(fault, target)
        elif fault.kind in NETWORK_KINDS:
            await self._disturb(fault)
        elif fault.kind in ISOLATION_KINDS:
            await self._isolate(fault, target)
        elif fault.kind == "change":
            await self.operators.change()
        elif fault.kind == "evacuate":
            await self.operators.evacuate(target, for_ms=fault.for_ms)
        elif fault.kind == "flood":
            await self.callers.flood("red", for_ms=fault.for_ms)
        self.note("end", fault, target)

    async def _signal(self, fault: Fault, target: str) -> None:
        deployment = self.deployment
        if fault.kind == "suspend":
            deployment.suspend(target)
            await trio.sleep(seconds(fault.for_ms))
            deployment.resume(target)
            return
        await (deployment.kill if fault.kind == "kill" else deployment.terminate)(target)
        await trio.sleep(seconds(fault.for_ms))
        deployment.programs[target].start()

    async def _isolate(self, fault: Fault, target: str) -> None:
        deployment = self.deployment
        others = deployment.control if fault.kind == "split" else deployment.hosts
        for held in (True, False):
            for other in others:
                deployment.cut(target, other, held=held)
                if fault.kind != "mute":
                    deployment.cut(other, target, held=held)
            if held:
                await trio.sleep(seconds(fault.for_ms))

    async def _disturb(self, fault: Fault) -> None:
        deployment = self.deployment
        directions = [(fault.target, fault.peer), (fault.peer, fault.target)]
        if fault.kind == "reset":
            for source, target in directions:
                deployment.change_proxy(source, target, reset=True)
            return
        if fault.kind == "delay":
            delay_ms = self.rng.randint(*DELAY_MS)
            for source, target in directions:
                deployment.change_proxy(source, target, delay_ms=delay_ms)
            await trio.sleep(seconds(fault.for_ms))
            for source, target in directions:
                deployment.change_proxy(source, target, delay_ms=0)
            return
        cut = directions[:1] if fault.kind == "cut" else directions
        for source, target in cut:
            deployment.cut(source, target, held=True)
        await trio.sleep(seconds(fault.for_ms))
        for source, target in cut:
            deployment.cut(source, target, held=False)
