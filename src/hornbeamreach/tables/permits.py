"""Permits of one entry process: its slices of the teams' limits, and their use."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.reports import TeamUse


@define(frozen=True, kw_only=True)
class Ceiling:
    """Hold a promise not to use more than this, given at a log index."""

    size: int
    index: int


@define(kw_only=True)
class PermitTable:
    """Count permits in use against the slices that control granted."""

    slices: dict[str, int] = field(factory=dict)
    slice_indexes: dict[str, int] = field(factory=dict)
    in_use: dict[str, int] = field(factory=dict)
    # By kind of work, the permits that waiting work of each team lacks.
    wanted: dict[str, dict[str, int]] = field(factory=dict)
    ceilings: dict[str, Ceiling] = field(factory=dict)

    def update_slices(self, slices: dict[str, int], indexes: dict[str, int]) -> None:
        """Take the slices of the replicated state; a changed slice voids its ceiling."""
        for team, index in indexes.items():
            if self.slice_indexes.get(team) != index:
                self.ceilings.pop(team, None)
        self.slices = dict(slices)
        self.slice_indexes = dict(indexes)

    def cap(self, team: str) -> int:
        """Return how many permits of a team may be in use here."""
        size = self.slices.get(team, 0)
        ceiling = self.ceilings.get(team)
        return size if ceiling is None else min(size, ceiling.size)

    def free(self, team: str) -> int:
        """Return how many more permits of a team may be taken."""
        return max(0, self.cap(team) - self.in_use.get(team, 0))

    def acquire(self, team: str) -> bool:
        """Take a permit if one is free."""
        if self.free(team) <= 0:
            return False
        self.in_use[team] = self.in_use.get(team, 0) + 1
        return True

    def release(self, team: str) -> None:
        """Give a permit back."""
        left = self.in_use.get(team, 0) - 1
        assert left >= 0, f"team {team} gave back more permits than it took"
        if left:
            self.in_use[team] = left
        else:
            self.in_use.pop(team, None)

    def want(self, kind: str, wanted: dict[str, int]) -> None:
        """Note the permits that waiting work of one kind lacks."""
        self.wanted[kind] = wanted

    def wanted_by(self, team: str) -> int:
        """Return the permits that a team's waiting work lacks."""
        return sum(wanted.get(team, 0) for wanted in self.wanted.values())

    def promise_targets(self, targets: dict[str, int], index: int) -> None:
        """Promise to come down to what control asks for, or to what is in use."""
        for team, target in targets.items():
            size = max(target, self.in_use.get(team, 0))
            if size < self.cap(team):
                self.ceilings[team] = Ceiling(size=size, index=index)

    def report(self) -> dict[str, TeamUse]:
        """Return each team's use for control."""
        teams = self.in_use.keys() | self.ceilings.keys()
        teams = teams.union(*(wanted.keys() for wanted in self.wanted.values()))
        return {team: self.team_use(team) for team in sorted(teams)}

    def team_use(self, team: str) -> TeamUse:
        """Return one team's use for control."""
        ceiling = self.ceilings.get(team)
        return TeamUse(
            in_use=self.in_use.get(team, 0),
            wanted=self.wanted_by(team),
            ceiling=ceiling.size if ceiling else None,
            ceiling_index=ceiling.index if ceiling else 0,
        )
