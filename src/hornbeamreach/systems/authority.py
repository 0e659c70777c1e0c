"""Find the entry processes that may still act on an old value, and until when."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define

from hornbeamreach.tables.control_state import ControlState, EntryGrant
from hornbeamreach.tables.sessions import (
    MAX_ORPHANED_WORK_MS,
    PEER_SESSION_TIMEOUT_MS,
    SESSION_TIMEOUT_MS,
    HolderKey,
    SessionTable,
)

# Clock rates may differ by 1 ms in 1,000 ms.
CLOCK_DRIFT_DIVISOR = 1_000
# A silent process keeps its slices for this long, so that a short network outage does not take
# them away.
SUSPEND_AFTER_MS = 15_000


@define(frozen=True, kw_only=True)
class BlockingHolder:
    """Describe a holder that may still act on an old value."""

    holder: HolderKey
    data_center: str
    # The holder, or a majority of its data centre, is in session, so the holder soon stops acting
    # on the old value.
    release_expected: bool
    until_ms: int


def holders(state: ControlState) -> Iterator[tuple[HolderKey, EntryGrant]]:
    """Yield every known incarnation of every entry process."""
    for entry_id in sorted(state.grants):
        for incarnation, grant in sorted(state.grants[entry_id].items()):
            yield HolderKey(entry_id, incarnation), grant


def longest_cut_off_ms(state: ControlState, teams: list[str] | None) -> int:
    """Return the longest time in ms that a cut-off data centre may act for these teams.

    Clock drift is included. `teams` is None for all teams.
    """
    rows = state.table.teams
    names = rows.keys() if teams is None else [team for team in teams if team in rows]
    longest = max((rows[team].cut_off_ms for team in names), default=0)
    return longest + longest // CLOCK_DRIFT_DIVISOR


def majority_acked_ms(
    state: ControlState, sessions: SessionTable, data_center: str, index: int
) -> int | None:
    """Return when a majority of a data centre had applied an index, or None."""
    acked: dict[str, int] = {}
    peer_count = 1
    for holder, grant in holders(state):
        if grant.data_center != data_center:
            continue
        peer_count = max(peer_count, grant.peer_count)
        at_ms = sessions.get(holder).acked_ms(index)
        if at_ms is not None:
            acked[holder.entry_id] = max(at_ms, acked.get(holder.entry_id, at_ms))
    needed = peer_count // 2 + 1
    if len(acked) < needed:
        return None
    return sorted(acked.values())[needed - 1]


def has_live_majority(
    state: ControlState, sessions: SessionTable, data_center: str, now_ms: int
) -> bool:
    """Return whether a majority of a data centre is in session."""
    live = set()
    peer_count = 1
    for holder, grant in holders(state):
        if grant.data_center == data_center:
            peer_count = max(peer_count, grant.peer_count)
            if sessions.get(holder).is_live(now_ms):
                live.add(holder.entry_id)
    return len(live) >= peer_count // 2 + 1


def acts_until_ms(
    state: ControlState,
    sessions: SessionTable,
    holder: HolderKey,
    grant: EntryGrant,
    index: int,
    teams: list[str] | None,
) -> int:
    """Return when a holder that has not applied an index loses its authority to act.

    Without a session, a holder may act only while it reaches a majority of its data centre.
    Any two majorities overlap, so once a majority has applied the index, the holder learns it.
    """
    session_end = sessions.get(holder).renewed_ms + SESSION_TIMEOUT_MS
    lease_end = sessions.get(holder).renewed_ms + longest_cut_off_ms(state, teams)
    majority_ms = majority_acked_ms(state, sessions, grant.data_center, index)
    if majority_ms is not None:
        lease_end = min(lease_end, majority_ms + PEER_SESSION_TIMEOUT_MS)
    return max(session_end, lease_end)


def blocking_holders(
    state: ControlState,
    sessions: SessionTable,
    *,
    index: int,
    teams: list[str] | None,
    now_ms: int,
) -> list[BlockingHolder]:
    """List the holders that may act on the value that was valid before an index.

    `teams` is None if the change affects every team.
    """
    found = []
    for holder, grant in holders(state):
        session = sessions.get(holder)
        if session.applied_index >= index:
            continue
        until_ms = acts_until_ms(state, sessions, holder, grant, index, teams)
        if until_ms > now_ms:
            found.append(
                BlockingHolder(
                    holder=holder,
                    data_center=grant.data_center,
                    release_expected=session.is_live(now_ms)
                    or has_live_majority(state, sessions, grant.data_center, now_ms),
                    until_ms=until_ms,
                )
            )
    return found


def holders_to_suspend(state: ControlState, sessions: SessionTable, now_ms: int) -> list[HolderKey]:
    """List the silent incarnations whose slices should be revoked.

    A suspension takes effect like any change: a process that reaches a majority of its data
    centre learns it, so suspending is safe even if the silent process still serves calls.
    """
    suspendable = []
    for holder, grant in holders(state):
        session = sessions.get(holder)
        if grant.suspended_index or session.is_live(now_ms):
            continue
        replaced = any(
            other.entry_id == holder.entry_id
            and sessions.get(other).renewed_ms > session.renewed_ms
            for other, _ in holders(state)
        )
        if replaced or now_ms - session.renewed_ms >= SUSPEND_AFTER_MS:
            suspendable.append(holder)
    return suspendable


def ended_holders(state: ControlState, sessions: SessionTable, now_ms: int) -> list[HolderKey]:
    """List the suspended incarnations whose calls and tasks must have ended."""
    return [
        holder
        for holder, grant in holders(state)
        if grant.suspended_index
        and _stopped_ms(state, sessions, holder, grant) + MAX_ORPHANED_WORK_MS <= now_ms
    ]


def _stopped_ms(
    state: ControlState, sessions: SessionTable, holder: HolderKey, grant: EntryGrant
) -> int:
    acked_ms = sessions.get(holder).acked_ms(grant.suspended_index)
    if acked_ms is not None:
        return acked_ms
    return acts_until_ms(state, sessions, holder, grant, grant.suspended_index, None)
