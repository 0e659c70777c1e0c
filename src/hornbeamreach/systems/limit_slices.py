"""Split a team's limit into slices for entry processes."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.sessions import HolderKey


@define(frozen=True, kw_only=True)
class SliceHolder:
    """Hold one entry process's slice of one team's limit."""

    key: HolderKey
    size: int
    in_use: int = 0
    requested: int = 0
    ceiling: int | None = None
    ceiling_index: int = 0
    live: bool = True


@define(frozen=True, kw_only=True)
class SlicePlan:
    """Hold the slices to set now and the lower sizes that holders are asked for."""

    sizes: dict[HolderKey, int] = field(factory=dict)
    targets: dict[HolderKey, int] = field(factory=dict)


def plan_slices(limit: int, holders: list[SliceHolder]) -> SlicePlan:
    """Plan one team's slices: lower those that were released, and assign what is free.

    A slice is lowered only to a ceiling that its holder has promised to keep. The permits in
    use therefore never exceed the limit, whatever the order of events.
    """
    sizes = {holder.key: _released_size(holder) for holder in holders}
    free = max(0, limit - sum(sizes.values()))
    ideal = ideal_sizes(limit - _unreachable_size(holders, sizes), [h for h in holders if h.live])
    raised = _raise_towards(ideal, sizes, free)
    shortfall = sum(max(0, ideal[key] - raised[key]) for key in ideal)
    targets = _lower_targets(
        holders, ideal, raised, shortfall, over_limit=sum(sizes.values()) > limit
    )
    changed = {h.key: raised[h.key] for h in holders if raised[h.key] != h.size}
    return SlicePlan(sizes=changed, targets=targets)


def _released_size(holder: SliceHolder) -> int:
    if holder.ceiling is None:
        return holder.size
    return min(holder.size, holder.ceiling)


def _unreachable_size(holders: list[SliceHolder], sizes: dict[HolderKey, int]) -> int:
    return sum(sizes[holder.key] for holder in holders if not holder.live)


def ideal_sizes(available: int, holders: list[SliceHolder]) -> dict[HolderKey, int]:
    """Share permits max-min by use, then by requests, and split the rest evenly."""
    available = max(0, available)
    sizes = {holder.key: 0 for holder in holders}
    available = _distribute(sizes, {h.key: h.in_use for h in holders}, available)
    available = _distribute(sizes, {h.key: h.in_use + h.requested for h in holders}, available)
    if holders:
        base, remainder = divmod(available, len(holders))
        for position, holder in enumerate(holders):
            sizes[holder.key] += base + (1 if position < remainder else 0)
    return sizes


def _distribute(sizes: dict[HolderKey, int], goals: dict[HolderKey, int], available: int) -> int:
    """Raise sizes towards their goals by equal steps, and return what is left."""
    unmet_keys = [key for key in sorted(goals) if goals[key] > sizes[key]]
    while unmet_keys and available > 0:
        step = max(1, available // len(unmet_keys))
        for key in list(unmet_keys):
            given = min(step, goals[key] - sizes[key], available)
            sizes[key] += given
            available -= given
            if sizes[key] >= goals[key]:
                unmet_keys.remove(key)
    return available


def _raise_towards(
    ideal: dict[HolderKey, int], sizes: dict[HolderKey, int], free: int
) -> dict[HolderKey, int]:
    raised = dict(sizes)
    goals = {key: max(size, raised[key]) for key, size in ideal.items()}
    sizes_of_live = {key: raised[key] for key in goals}
    _distribute(sizes_of_live, goals, free)
    raised.update(sizes_of_live)
    return raised


def _lower_targets(
    holders: list[SliceHolder],
    ideal: dict[HolderKey, int],
    raised: dict[HolderKey, int],
    shortfall: int,
    *,
    over_limit: bool,
) -> dict[HolderKey, int]:
    """Return the holders to shrink to their ideal sizes, if the limit or others require it."""
    needed = any(
        holder.live
        and holder.key in ideal
        and raised[holder.key] < min(ideal[holder.key], holder.in_use + holder.requested)
        for holder in holders
    )
    starved = any(h.live and raised[h.key] == 0 and ideal.get(h.key, 0) > 0 for h in holders)
    if not over_limit and not (shortfall and (needed or starved)):
        return {}
    return {key: size for key, size in ideal.items() if raised[key] > size}
