"""Choose the next membership change of control's replicas, one member at a time."""

from __future__ import annotations

from attrs import define, field

# Five members tolerate the loss of two. More members only make each commit more expensive.
MAX_MEMBERS = 5
# A silent member is replaced if another replica is ready. Longer than an election takes.
REPLACE_AFTER_SILENCE_MS = 2_500


@define(frozen=True, kw_only=True)
class ReplicaStatus:
    """Hold what the leader knows of one replica."""

    replica: str
    address: str
    data_center: str = ""
    silent_ms: int = 0
    caught_up: bool = False


@define(frozen=True, kw_only=True)
class MembershipStatus:
    """Hold the members and the learners that may join, as known by the leader."""

    leader: str
    members: dict[str, ReplicaStatus] = field(factory=dict)
    learners: dict[str, ReplicaStatus] = field(factory=dict)


def next_members(membership: MembershipStatus) -> dict[str, str] | None:
    """Return the members after the next change, or None if none is due."""
    present = {name: member.address for name, member in membership.members.items()}
    ready = [learner for learner in membership.learners.values() if learner.caught_up]
    replaced = _replace_lost_identity(membership, present, ready)
    if replaced is not None:
        return replaced
    reduced = _remove_silent(membership, present)
    if reduced is not None:
        return reduced
    return _add_member(membership, present, ready)


def _replace_lost_identity(
    membership: MembershipStatus, present: dict[str, str], ready: list[ReplicaStatus]
) -> dict[str, str] | None:
    """Replace a member that lost its disk with the new identity at its address."""
    for learner in ready:
        for name, address in present.items():
            if address == learner.address and name not in (learner.replica, membership.leader):
                changed = {key: value for key, value in present.items() if key != name}
                return {**changed, learner.replica: learner.address}
    return None


def _remove_silent(membership: MembershipStatus, present: dict[str, str]) -> dict[str, str] | None:
    """Remove the longest silent member if that leaves an odd number of members."""
    silent = _silent_members(membership)
    if silent and len(present) % 2 == 0:
        gone = max(silent, key=lambda member: member.silent_ms)
        return {key: value for key, value in present.items() if key != gone.replica}
    return None


def _silent_members(membership: MembershipStatus) -> list[ReplicaStatus]:
    return [
        member
        for member in membership.members.values()
        if member.replica != membership.leader and member.silent_ms >= REPLACE_AFTER_SILENCE_MS
    ]


def _add_member(
    membership: MembershipStatus, present: dict[str, str], ready: list[ReplicaStatus]
) -> dict[str, str] | None:
    if not ready:
        return None
    grows = len(present) + 2 <= MAX_MEMBERS and len(ready) >= 2
    completes = len(present) % 2 == 0 and len(present) < MAX_MEMBERS
    replaces = bool(_silent_members(membership)) and len(present) % 2 == 1
    if not (grows or completes or replaces):
        return None
    counts: dict[str, int] = {}
    for member in membership.members.values():
        counts[member.data_center] = counts.get(member.data_center, 0) + 1
    best = min(ready, key=lambda r: (counts.get(r.data_center, 0), r.replica))
    return {**present, best.replica: best.address}
