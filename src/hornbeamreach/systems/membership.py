"""Choice of the next change of control's members, one at a time."""

from __future__ import annotations

from attrs import define, field

# Five members bear the loss of two; more only make each commit dearer.
MAX_MEMBERS = 5
# A member is replaced after this silence if another replica is ready: above an election.
REPLACE_SILENT_MS = 2_500


@define(frozen=True, kw_only=True)
class ReplicaView:
    """Hold what the leader knows of one replica."""

    replica: str
    address: str
    data_center: str = ""
    silent_ms: int = 0
    caught_up: bool = False


@define(frozen=True, kw_only=True)
class MembershipView:
    """Hold the members and the replicas that would join, as the leader sees them."""

    leader: str
    members: dict[str, ReplicaView] = field(factory=dict)
    learners: dict[str, ReplicaView] = field(factory=dict)


def next_members(view: MembershipView) -> dict[str, str] | None:
    """Return the members after the next change, or None if none is due."""
    present = {name: member.address for name, member in view.members.items()}
    ready = [learner for learner in view.learners.values() if learner.caught_up]
    renewed = _renew_identity(view, present, ready)
    if renewed is not None:
        return renewed
    surplus = _drop_silent(view, present)
    if surplus is not None:
        return surplus
    return _add(view, present, ready)


def _renew_identity(
    view: MembershipView, present: dict[str, str], ready: list[ReplicaView]
) -> dict[str, str] | None:
    """Replace a member whose disk was lost by the new identity at its address."""
    for learner in ready:
        for name, address in present.items():
            if address == learner.address and name not in (learner.replica, view.leader):
                changed = {key: value for key, value in present.items() if key != name}
                return {**changed, learner.replica: learner.address}
    return None


def _drop_silent(view: MembershipView, present: dict[str, str]) -> dict[str, str] | None:
    """Remove a silent member where an even number is left without it needing it."""
    silent = _silent_members(view)
    if silent and len(present) % 2 == 0:
        gone = max(silent, key=lambda member: member.silent_ms)
        return {key: value for key, value in present.items() if key != gone.replica}
    return None


def _silent_members(view: MembershipView) -> list[ReplicaView]:
    return [
        member
        for member in view.members.values()
        if member.replica != view.leader and member.silent_ms >= REPLACE_SILENT_MS
    ]


def _add(
    view: MembershipView, present: dict[str, str], ready: list[ReplicaView]
) -> dict[str, str] | None:
    if not ready:
        return None
    grows = len(present) + 2 <= MAX_MEMBERS and len(ready) >= 2
    completes = len(present) % 2 == 0 and len(present) < MAX_MEMBERS
    replaces = bool(_silent_members(view)) and len(present) % 2 == 1
    if not (grows or completes or replaces):
        return None
    counts: dict[str, int] = {}
    for member in view.members.values():
        counts[member.data_center] = counts.get(member.data_center, 0) + 1
    best = min(ready, key=lambda r: (counts.get(r.data_center, 0), r.replica))
    return {**present, best.replica: best.address}
