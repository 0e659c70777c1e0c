"""How control replicas find one another, form their group once, and take in others."""

from __future__ import annotations

import random

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.disk import Disk
from hornbeamreach.control.frames import encode_frame, load_frames
from hornbeamreach.control.replica import Replica
from hornbeamreach.exceptions import LinkError, NotLeaderError, RefusedError
from hornbeamreach.fleet.messages import AskStatus, StatusTold
from hornbeamreach.link.interface import HandlerTable, Link
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.membership import MembershipStatus, ReplicaStatus, next_members

log = part_logger("discovery")

IDENTITY_NAME = "identity"
STEP_MS = 300
ASK_TIMEOUT_MS = 500
# A learner that stopped asking for this long is dropped.
LEARNER_SILENT_MS = 3_000
# A replica that hears no leader for this long asks whether it is a member still.
LEADERLESS_MS = 1_500
MAX_KNOWN_REPLICAS = 64


@define(frozen=True, kw_only=True)
class Identity:
    """Hold a replica's identity and the members it began with, drawn once for each disk."""

    replica: str
    members: dict[str, str] = field(factory=dict)


def load_identity(disk: Disk, *, address: str, founders: list[str], rng: random.Random) -> Identity:
    """Return the identity on the disk, or draw one and make it durable.

    Founders form the first group under their addresses; on any other empty disk the
    identity is new, so that what an earlier one has voted for can't be voted on again.
    """
    frames = load_frames(disk, IDENTITY_NAME)
    if frames:
        return Identity(replica=frames[0][0], members=dict(frames[0][1]))
    if address in founders:
        identity = Identity(replica=address, members={other: other for other in founders})
    else:
        identity = Identity(replica=f"{address}/{rng.getrandbits(48):012x}")
    disk.replace(IDENTITY_NAME, encode_frame([identity.replica, identity.members]))
    return identity


@define(kw_only=True, eq=False)
class Discovery:
    """Keep the known replicas' addresses and the group's members in order."""

    replica: Replica
    handlers: HandlerTable
    link: Link
    clock: Clock
    address: str
    data_center: str
    seeds: list[str]
    known: dict[str, int] = field(factory=dict, init=False)
    data_centers: dict[str, str] = field(factory=dict, init=False)
    asked_ms: dict[str, int] = field(factory=dict, init=False)
    heard_leader_ms: int = field(default=0, init=False)
    next_seed: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.handlers.on(AskStatus, self.on_ask_status)
        self.data_centers[self.replica.node_id] = self.data_center
        self.learn(self.seeds)

    def learn(self, addresses: list[str]) -> None:
        """Remember replicas' addresses."""
        for address in addresses:
            if len(self.known) < MAX_KNOWN_REPLICAS:
                self.known.setdefault(address, self.clock.now_ms())

    async def on_ask_status(self, message: AskStatus) -> StatusTold:
        """Tell who leads; the leader takes an asking replica in."""
        if message.joiner:
            self.learn([message.joiner])
            self.data_centers[message.joiner_id] = message.data_center
            self._take_joiner(message)
        core = self.replica.core
        leads = self.replica.is_leader()
        addresses = {**core.members(), **core.learners}
        return StatusTold(
            leader=self.address if leads else self.replica.leader_address() or "",
            leader_id=core.leader or "",
            replicas=sorted({*self.known, *addresses.values()}),
            members=dict(core.members()),
            declared_version=self.replica.state.workload.declared_version,
        )

    def _take_joiner(self, message: AskStatus) -> None:
        core = self.replica.core
        if not self.replica.is_leader():
            return
        self.asked_ms[message.joiner_id] = self.clock.now_ms()
        if message.joiner_id not in core.members():
            if message.joiner_id not in core.learners:
                log.bind(replica=message.joiner_id).info("replica asks to join")
            core.learners[message.joiner_id] = message.joiner

    async def run(self) -> None:
        """Ask while not a member or without a leader, and change members while leading."""
        while True:
            await trio.sleep(seconds(STEP_MS))
            now_ms = self.clock.now_ms()
            if self.replica.core.leader:
                self.heard_leader_ms = now_ms
            if self.replica.is_leader():
                await self._change_members(now_ms)
            elif self._must_ask(now_ms):
                await self._ask()

    def _must_ask(self, now_ms: int) -> bool:
        is_member = self.replica.node_id in self.replica.core.members()
        return not is_member or now_ms - self.heard_leader_ms > LEADERLESS_MS

    async def _ask(self) -> None:
        others = [address for address in self.known if address != self.address]
        if not others:
            return
        address = others[self.next_seed % len(others)]
        question = AskStatus(
            joiner=self.address, joiner_id=self.replica.node_id, data_center=self.data_center
        )
        try:
            told = await self.link.request(address, question, timeout_ms=ASK_TIMEOUT_MS)
            self._take_status(told)
            if told.leader and told.leader not in (address, self.address):
                told = await self.link.request(told.leader, question, timeout_ms=ASK_TIMEOUT_MS)
                self._take_status(told)
        except (LinkError, NotLeaderError, RefusedError) as exc:
            log.bind(peer=address).debug("status not told: {}", exc)
            self.next_seed += 1
            return
        if not told.leader:
            self.next_seed += 1

    def _take_status(self, told: StatusTold) -> None:
        self.learn(told.replicas)
        self.replica.told_addresses.update(told.members)
        if told.leader and told.leader_id:
            self.replica.told_addresses[told.leader_id] = told.leader

    # Members

    async def _change_members(self, now_ms: int) -> None:
        core = self.replica.core
        for learner in list(core.learners):
            silent = now_ms - self.asked_ms.get(learner, 0) > LEARNER_SILENT_MS
            if learner in core.members() or (silent and core.silent_ms(learner) > STEP_MS * 10):
                del core.learners[learner]
        members = next_members(self._view())
        if members is None:
            return
        try:
            with trio.move_on_after(seconds(LEARNER_SILENT_MS)):
                await self.replica.change_members(members)
                log.bind(members=sorted(members), term=core.term).info("members changed")
        except (NotLeaderError, RefusedError) as exc:
            log.bind(members=sorted(members)).info("members not changed: {}", exc)

    def _view(self) -> MembershipStatus:
        core = self.replica.core
        return MembershipStatus(
            leader=self.replica.node_id,
            members={
                name: self._describe(name, address) for name, address in core.members().items()
            },
            learners={
                name: self._describe(name, address) for name, address in core.learners.items()
            },
        )

    def _describe(self, replica: str, address: str) -> ReplicaStatus:
        core = self.replica.core
        is_self = replica == self.replica.node_id
        return ReplicaStatus(
            replica=replica,
            address=address,
            data_center=self.data_centers.get(replica, ""),
            silent_ms=0 if is_self else core.silent_ms(replica),
            caught_up=is_self or core.caught_up(replica),
        )
