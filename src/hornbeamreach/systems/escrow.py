"""Splitting a team's limit into slices for entry processes."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.sessions import HolderKey


@define(frozen=True, kw_only=True)
class SliceHolder:
    """Hold one entry process's part of one team's limit."""

    key: HolderKey
    size: int
    in_use: int = 0
    wanted: int = 0
    ceiling: int | None = None
    ceiling_index: int = 0
    live: bool = True


@define(frozen=True, kw_only=True)
class SlicePlan:
    """List the slices to set now and those that holders should come down to."""

    sizes: dict[HolderKey, int] = field(factory=dict)
    targets: dict[HolderKey, int] = field(factory=dict)


def plan_slices(limit: int, holders: list[SliceHolder]) -> SlicePlan:
    """Plan one team's slices: lower what holders released, raise what is free.

    A slice is lowered only to a ceiling that its holder has promised to keep, so that the
    sum of what may be running never passes the limit in any order of events.
    """
    sizes = {holder.key: _released_size(holder) for holder in holders}
    free = max(0, limit - sum(sizes.values()))
    ideal = ideal_sizes(limit - _fixed(holders, sizes), [h for h in holders if h.live])
    raised = _raise_towards(ideal, sizes, free)
    short = sum(max(0, ideal[key] - raised[key]) for key in ideal)
    targets = _lower_targets(holders, ideal, raised, short, over=sum(sizes.values()) > limit)
    changed = {h.key: raised[h.key] for h in holders if raised[h.key] != h.size}
    return SlicePlan(sizes=changed, targets=targets)


def _released_size(holder: SliceHolder) -> int:
    if holder.ceiling is None:
        return holder.size
    return min(holder.size, holder.ceiling)


def _fixed(holders: list[SliceHolder], sizes: dict[HolderKey, int]) -> int:
    return sum(sizes[holder.key] for holder in holders if not holder.live)


def ideal_sizes(available: int, holders: list[SliceHolder]) -> dict[HolderKey, int]:
    """Share the available permits: use first, then wishes max-min, then the rest evenly."""
    available = max(0, available)
    sizes = {holder.key: 0 for holder in holders}
    available = _fill(sizes, {h.key: h.in_use for h in holders}, available)
    available = _fill(sizes, {h.key: h.in_use + h.wanted for h in holders}, available)
    if holders:
        even, extra = divmod(available, len(holders))
        for position, holder in enumerate(holders):
            sizes[holder.key] += even + (1 if position < extra else 0)
    return sizes


def _fill(sizes: dict[HolderKey, int], goals: dict[HolderKey, int], available: int) -> int:
    """Raise sizes towards their goals by equal steps; return what is left."""
    open_keys = [key for key in sorted(goals) if goals[key] > sizes[key]]
    while open_keys and available > 0:
        step = max(1, available // len(open_keys))
        for key in list(open_keys):
            given = min(step, goals[key] - sizes[key], available)
            sizes[key] += given
            available -= given
            if sizes[key] >= goals[key]:
                open_keys.remove(key)
    return available


def _raise_towards(
    ideal: dict[HolderKey, int], sizes: dict[HolderKey, int], free: int
) -> dict[HolderKey, int]:
    raised = dict(sizes)
    goals = {key: max(size, raised[key]) for key, size in ideal.items()}
    part = {key: raised[key] for key in goals}
    _fill(part, goals, free)
    raised.update(part)
    return raised


def _lower_targets(
    holders: list[SliceHolder],
    ideal: dict[HolderKey, int],
    raised: dict[HolderKey, int],
    short: int,
    *,
    over: bool,
) -> dict[HolderKey, int]:
    """Ask holders above their ideal to come down, but only if somebody needs it."""
    needed = any(
        holder.live
        and holder.key in ideal
        and raised[holder.key] < min(ideal[holder.key], holder.in_use + holder.wanted)
        for holder in holders
    )
    starved = any(h.live and raised[h.key] == 0 and ideal.get(h.key, 0) > 0 for h in holders)
    if not over and not (short and (needed or starved)):
        return {}
    return {key: size for key, size in ideal.items() if raised[key] > size}
