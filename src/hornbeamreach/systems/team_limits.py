"""Apply the limits on the resources that a team's runs use across all minions."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.tables.declared import TeamRow
from hornbeamreach.tables.resources import Resources


def has_limits(row: TeamRow | None) -> bool:
    """Return whether a team's resources are limited."""
    return row is not None and bool(row.max_cpu_millis or row.max_memory_mb or row.max_accelerators)


@define(kw_only=True)
class TeamResourceUse:
    """Hold the resources of each team's reserved runs, including fillers' CPU."""

    by_team: dict[str, Resources] = field(factory=dict)

    def add(self, team: str, amount: Resources) -> None:
        """Add a reserved run."""
        self.by_team[team] = self.by_team.get(team, Resources()).plus(amount)

    def remove(self, team: str, amount: Resources) -> None:
        """Remove a run that has ended."""
        self.by_team[team] = self.by_team.get(team, Resources()).minus(amount)

    def allows(self, team: str, row: TeamRow | None, amount: Resources) -> bool:
        """Return whether a team stays within its limits with this much more; 0 is no limit."""
        if row is None or not has_limits(row):
            return True
        after = self.by_team.get(team, Resources()).plus(amount)
        pairs = (
            (after.cpu_millis, row.max_cpu_millis),
            (after.memory_mb, row.max_memory_mb),
            (after.accelerators, row.max_accelerators),
        )
        return all(limit == 0 or used <= limit for used, limit in pairs)
