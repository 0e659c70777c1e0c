"""Permits of one entry process: its slices of the team limits and their use."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.reports import PermitUse


@define(frozen=True, kw_only=True)
class Ceiling:
    """Hold a promise, given at a log index, to use at most `size` permits."""

    size: int
    index: int


@define(kw_only=True)
class PermitTable:
    """Count permits in use against the slices that control granted."""

    slices: dict[str, int] = field(factory=dict)
    slice_indexes: dict[str, int] = field(factory=dict)
    in_use: dict[str, int] = field(factory=dict)
    # kind of work -> team -> permits that queued work lacks
    shortfalls: dict[str, dict[str, int]] = field(factory=dict)
    ceilings: dict[str, Ceiling] = field(factory=dict)

    def update_slices(self, slices: dict[str, int], indexes: dict[str, int]) -> None:
        """Apply the slices of the replicated state; a changed slice voids its ceiling."""
        for team, index in indexes.items():
            if self.slice_indexes.get(team) != index:
                self.ceilings.pop(team, None)
        self.slices = dict(slices)
        self.slice_indexes = dict(indexes)

    def cap(self, team: str) -> int:
        """Return the number of a team's permits that may be in use here."""
        size = self.slices.get(team, 0)
        ceiling = self.ceilings.get(team)
        return size if ceiling is None else min(size, ceiling.size)

    def free(self, team: str) -> int:
        """Return the number of a team's permits that can be acquired."""
        return max(0, self.cap(team) - self.in_use.get(team, 0))

    def acquire(self, team: str) -> bool:
        """Acquire a permit of a team; return False if none is free."""
        if self.free(team) <= 0:
            return False
        self.in_use[team] = self.in_use.get(team, 0) + 1
        return True

    def release(self, team: str) -> None:
        """Release a permit of a team."""
        count = self.in_use.get(team, 0) - 1
        assert count >= 0, f"team {team} released more permits than it acquired"
        if count:
            self.in_use[team] = count
        else:
            self.in_use.pop(team, None)

    def set_shortfall(self, kind: str, shortfall: dict[str, int]) -> None:
        """Set the permits that queued work of one kind lacks, by team."""
        self.shortfalls[kind] = shortfall

    def shortfall_of(self, team: str) -> int:
        """Return the number of permits that a team's queued work lacks."""
        return sum(shortfall.get(team, 0) for shortfall in self.shortfalls.values())

    def promise_targets(self, targets: dict[str, int], index: int) -> None:
        """Lower the ceilings to the targets of control, but not below the permits in use."""
        for team, target in targets.items():
            size = max(target, self.in_use.get(team, 0))
            if size < self.cap(team):
                self.ceilings[team] = Ceiling(size=size, index=index)

    def report(self) -> dict[str, PermitUse]:
        """Return the permit use of each team, for control."""
        teams = self.in_use.keys() | self.ceilings.keys()
        teams = teams.union(*(shortfall.keys() for shortfall in self.shortfalls.values()))
        return {team: self.permit_use(team) for team in sorted(teams)}

    def permit_use(self, team: str) -> PermitUse:
        """Return the permit use of one team, for control."""
        ceiling = self.ceilings.get(team)
        return PermitUse(
            in_use=self.in_use.get(team, 0),
            wanted=self.shortfall_of(team),
            ceiling=ceiling.size if ceiling else None,
            ceiling_index=ceiling.index if ceiling else 0,
        )
