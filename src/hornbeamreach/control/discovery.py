"""Discovery of control replicas, and membership of their group."""

from __future__ import annotations

import random

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.disk import Disk
from hornbeamreach.control.frames import encode_frame, load_frames
from hornbeamreach.control.replica import Replica
from hornbeamreach.exceptions import LinkError, NotLeaderError, RefusedError
from hornbeamreach.fleet.messages import StatusReply, StatusRequest
from hornbeamreach.link.interface import HandlerTable, Link
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.membership import MembershipStatus, ReplicaStatus, next_members

log = part_logger("discovery")

IDENTITY_FILE_NAME = "identity"
TICK_MS = 300
STATUS_TIMEOUT_MS = 500
# A learner is dropped after this time without a status request, unless it still acknowledges
# what the leader sends. Also bounds the wait for a membership change.
LEARNER_TIMEOUT_MS = 3_000
# After this time without a leader a replica asks others whether it is still a member.
LEADERLESS_TIMEOUT_MS = 1_500
MAX_KNOWN_REPLICAS = 64


@define(frozen=True, kw_only=True)
class Identity:
    """Hold a replica's id and the members it started with, created once per disk."""

    replica: str
    members: dict[str, str] = field(factory=dict)


def load_identity(
    disk: Disk, *, address: str, initial_members: list[str], rng: random.Random
) -> Identity:
    """Return the identity stored on the disk, or create one and store it durably.

    Initial members use their addresses as ids. On any other empty disk the id is new, so that
    a replica that lost its disk can't vote again where it has voted under its earlier id.
    """
    frames = load_frames(disk, IDENTITY_FILE_NAME)
    if frames:
        return Identity(replica=frames[0][0], members=dict(frames[0][1]))
    if address in initial_members:
        identity = Identity(replica=address, members={other: other for other in initial_members})
    else:
        identity = Identity(replica=f"{address}/{rng.getrandbits(48):012x}")
    disk.replace(IDENTITY_FILE_NAME, encode_frame([identity.replica, identity.members]))
    return identity


@define(kw_only=True, eq=False)
class Discovery:
    """Track the addresses of replicas, and keep the group's membership up to date."""

    replica: Replica
    handlers: HandlerTable
    link: Link
    clock: Clock
    address: str
    data_center: str
    seeds: list[str]
    known_addresses: dict[str, int] = field(factory=dict, init=False)
    data_centers: dict[str, str] = field(factory=dict, init=False)
    last_request_ms: dict[str, int] = field(factory=dict, init=False)
    leader_seen_ms: int = field(default=0, init=False)
    next_address_index: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.handlers.on(StatusRequest, self.on_status_request)
        self.data_centers[self.replica.node_id] = self.data_center
        self.add_addresses(self.seeds)

    def add_addresses(self, addresses: list[str]) -> None:
        """Add addresses of replicas, up to MAX_KNOWN_REPLICAS."""
        for address in addresses:
            if len(self.known_addresses) < MAX_KNOWN_REPLICAS:
                self.known_addresses.setdefault(address, self.clock.now_ms())

    async def on_status_request(self, message: StatusRequest) -> StatusReply:
        """Return who leads; if this replica does, it adds a joining replica as a learner."""
        if message.joiner:
            self.add_addresses([message.joiner])
            self.data_centers[message.joiner_id] = message.data_center
            self._add_learner(message)
        core = self.replica.core
        is_leader = self.replica.is_leader()
        addresses = {**core.members(), **core.learners}
        return StatusReply(
            leader=self.address if is_leader else self.replica.leader_address() or "",
            leader_id=core.leader or "",
            replicas=sorted({*self.known_addresses, *addresses.values()}),
            members=dict(core.members()),
            declared_version=self.replica.state.workload.declared_version,
            term=core.term,
        )

    def _add_learner(self, message: StatusRequest) -> None:
        core = self.replica.core
        if not self.replica.is_leader():
            return
        self.last_request_ms[message.joiner_id] = self.clock.now_ms()
        if message.joiner_id not in core.members():
            if message.joiner_id not in core.learners:
                log.bind(replica=message.joiner_id).info(
                    "replica asked to join, added as a learner"
                )
            core.learners[message.joiner_id] = message.joiner

    def known_data_centers(self) -> set[str]:
        """Return the data centres that this replica's settings and those of others name."""
        return {self.data_center, *self.data_centers.values()} - {""}

    async def run(self) -> None:
        """Ask for status while not a member or without a leader; change members while leading."""
        while True:
            await trio.sleep(seconds(TICK_MS))
            now_ms = self.clock.now_ms()
            if self.replica.core.leader:
                self.leader_seen_ms = now_ms
            if self.replica.is_leader():
                await self._change_members(now_ms)
            elif self._needs_status(now_ms):
                await self._request_status()

    def _needs_status(self, now_ms: int) -> bool:
        is_member = self.replica.node_id in self.replica.core.members()
        return not is_member or now_ms - self.leader_seen_ms > LEADERLESS_TIMEOUT_MS

    async def _request_status(self) -> None:
        others = [address for address in self.known_addresses if address != self.address]
        if not others:
            return
        address = others[self.next_address_index % len(others)]
        request = StatusRequest(
            joiner=self.address, joiner_id=self.replica.node_id, data_center=self.data_center
        )
        try:
            reply = await self.link.request(address, request, timeout_ms=STATUS_TIMEOUT_MS)
            self._apply_status(reply)
            if reply.leader and reply.leader not in (address, self.address):
                reply = await self.link.request(reply.leader, request, timeout_ms=STATUS_TIMEOUT_MS)
                self._apply_status(reply)
        except (LinkError, NotLeaderError, RefusedError) as exc:
            log.bind(peer=address).debug("status request failed: {}", exc)
            self.next_address_index += 1
            return
        if not reply.leader:
            self.next_address_index += 1

    def _apply_status(self, reply: StatusReply) -> None:
        self.add_addresses(reply.replicas)
        self.replica.reported_addresses.update(reply.members)
        if reply.leader and reply.leader_id:
            self.replica.reported_addresses[reply.leader_id] = reply.leader

    # Membership

    async def _change_members(self, now_ms: int) -> None:
        core = self.replica.core
        for learner in list(core.learners):
            timed_out = now_ms - self.last_request_ms.get(learner, 0) > LEARNER_TIMEOUT_MS
            if learner in core.members() or (timed_out and core.silent_ms(learner) > TICK_MS * 10):
                del core.learners[learner]
        members = next_members(self._membership_status())
        if members is None:
            return
        try:
            with trio.move_on_after(seconds(LEARNER_TIMEOUT_MS)):
                await self.replica.change_members(members)
                log.bind(members=sorted(members), term=core.term).info("members changed")
        except (NotLeaderError, RefusedError) as exc:
            log.bind(members=sorted(members)).info("membership change failed: {}", exc)

    def _membership_status(self) -> MembershipStatus:
        core = self.replica.core
        return MembershipStatus(
            leader=self.replica.node_id,
            members={
                name: self._replica_status(name, address)
                for name, address in core.members().items()
            },
            learners={
                name: self._replica_status(name, address) for name, address in core.learners.items()
            },
        )

    def _replica_status(self, replica: str, address: str) -> ReplicaStatus:
        core = self.replica.core
        is_self = replica == self.replica.node_id
        return ReplicaStatus(
            replica=replica,
            address=address,
            data_center=self.data_centers.get(replica, ""),
            silent_ms=0 if is_self else core.silent_ms(replica),
            caught_up=is_self or core.is_caught_up(replica),
        )
