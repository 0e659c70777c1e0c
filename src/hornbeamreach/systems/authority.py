"""Who may still act on an old value, and until when."""

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

# Margin for clocks that run at slightly different rates: 1 ms in each 1,000.
CLOCK_DRIFT_DIVISOR = 1_000
# A silent process keeps its slices this long, so that a short cut costs it nothing.
SUSPEND_AFTER_MS = 15_000


@define(frozen=True, kw_only=True)
class Blocker:
    """Name a holder of authority that has not let go of an old value."""

    holder: HolderKey
    data_center: str
    # Whether the holder, or a majority of its data centre, will soon have let go.
    expected: bool
    until_ms: int


def holders(state: ControlState) -> Iterator[tuple[HolderKey, EntryGrant]]:
    """Yield every known incarnation of every entry process."""
    for entry_id in sorted(state.grants):
        for incarnation, grant in sorted(state.grants[entry_id].items()):
            yield HolderKey(entry_id, incarnation), grant


def longest_cut_off_ms(state: ControlState, teams: list[str] | None) -> int:
    """Return the longest time that a cut-off data centre may act for these teams."""
    rows = state.table.teams
    names = rows.keys() if teams is None else [team for team in teams if team in rows]
    longest = max((rows[team].cut_off_ms for team in names), default=0)
    return longest + longest // CLOCK_DRIFT_DIVISOR


def majority_acked_ms(
    state: ControlState, table: SessionTable, data_center: str, index: int
) -> int | None:
    """Return since when a majority of a data centre has applied an index, or None."""
    acked: dict[str, int] = {}
    peer_count = 1
    for holder, grant in holders(state):
        if grant.data_center != data_center:
            continue
        peer_count = max(peer_count, grant.peer_count)
        at_ms = table.get(holder).acked_ms(index)
        if at_ms is not None:
            acked[holder.entry_id] = max(at_ms, acked.get(holder.entry_id, at_ms))
    needed = peer_count // 2 + 1
    if len(acked) < needed:
        return None
    return sorted(acked.values())[needed - 1]


def has_live_majority(
    state: ControlState, table: SessionTable, data_center: str, now_ms: int
) -> bool:
    """Tell whether a majority of a data centre is in session."""
    live = set()
    peer_count = 1
    for holder, grant in holders(state):
        if grant.data_center == data_center:
            peer_count = max(peer_count, grant.peer_count)
            if table.get(holder).is_live(now_ms):
                live.add(holder.entry_id)
    return len(live) >= peer_count // 2 + 1


def acts_until_ms(
    state: ControlState,
    table: SessionTable,
    holder: HolderKey,
    grant: EntryGrant,
    index: int,
    teams: list[str] | None,
) -> int:
    """Return until when a holder that has not applied an index may act without it.

    Apart from its session, a holder may act only in touch with a majority of its data
    centre. Once a majority has applied the index, whoever is in touch with one learns it.
    """
    session_end = table.get(holder).renewed_ms + SESSION_TIMEOUT_MS
    lease_end = table.get(holder).renewed_ms + longest_cut_off_ms(state, teams)
    majority_ms = majority_acked_ms(state, table, grant.data_center, index)
    if majority_ms is not None:
        lease_end = min(lease_end, majority_ms + PEER_SESSION_TIMEOUT_MS)
    return max(session_end, lease_end)


def blockers(
    state: ControlState,
    table: SessionTable,
    *,
    index: int,
    teams: list[str] | None,
    now_ms: int,
) -> list[Blocker]:
    """List the holders that may act on the value from before an index.

    `teams` is None when every team is concerned.
    """
    found = []
    for holder, grant in holders(state):
        session = table.get(holder)
        if session.applied_index >= index:
            continue
        until_ms = acts_until_ms(state, table, holder, grant, index, teams)
        if until_ms > now_ms:
            found.append(
                Blocker(
                    holder=holder,
                    data_center=grant.data_center,
                    expected=session.is_live(now_ms)
                    or has_live_majority(state, table, grant.data_center, now_ms),
                    until_ms=until_ms,
                )
            )
    return found


def holders_to_suspend(state: ControlState, table: SessionTable, now_ms: int) -> list[HolderKey]:
    """List the silent incarnations whose slices should be called back.

    A suspension takes effect like any change: whoever is in touch with a majority of its
    data centre learns it, so it is safe even if the silent process still serves.
    """
    silent = []
    for holder, grant in holders(state):
        session = table.get(holder)
        if grant.suspended_index or session.is_live(now_ms):
            continue
        replaced = any(
            other.entry_id == holder.entry_id and table.get(other).renewed_ms > session.renewed_ms
            for other, _ in holders(state)
        )
        if replaced or now_ms - session.renewed_ms >= SUSPEND_AFTER_MS:
            silent.append(holder)
    return silent


def ended_holders(state: ControlState, table: SessionTable, now_ms: int) -> list[HolderKey]:
    """List the suspended incarnations of which nothing can be running any more."""
    return [
        holder
        for holder, grant in holders(state)
        if grant.suspended_index
        and _stopped_ms(state, table, holder, grant) + MAX_ORPHANED_WORK_MS <= now_ms
    ]


def _stopped_ms(
    state: ControlState, table: SessionTable, holder: HolderKey, grant: EntryGrant
) -> int:
    acked_ms = table.get(holder).acked_ms(grant.suspended_index)
    if acked_ms is not None:
        return acked_ms
    return acts_until_ms(state, table, holder, grant, grant.suspended_index, None)
