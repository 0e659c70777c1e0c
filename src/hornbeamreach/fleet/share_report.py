"""Report what teams used of full pools against what they were due: gauges, log and status."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from hornbeamreach.logs import part_logger
from hornbeamreach.systems.attainment import WINDOW_MS, TeamAttainment

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

log = part_logger("shares")

REPORT_INTERVAL_MS = 1_000
# A team is logged when it gets less than the first ratio, and again when it gets the second one.
# Tasks are few and large beside a share, so ratios a little below 1 are usual.
SHORT_RATIO = 0.8
REGAINED_RATIO = 0.95
# Less than a core second due in the window is one task at most.
MIN_DUE_CORE_MS = 1_000
MAX_LINES_PER_REPORT = 5


@define(kw_only=True, eq=False)
class ShareReport:
    """Report the attainment of declared teams once a second."""

    scheduler: StepScheduler
    short_teams: set[str] = field(factory=set)
    last_report_ms: int = 0

    def tick(self, now_ms: int) -> None:
        """Update the gauges, and log the teams that lost or regained their share."""
        if now_ms - self.last_report_ms < REPORT_INTERVAL_MS:
            return
        self.last_report_ms = now_ms
        attained = self.attained(now_ms)
        self.scheduler.metrics.set_attainment({team: item.ratio for team, item in attained.items()})
        changed = [team for team, item in attained.items() if self._has_changed(team, item)]
        self.short_teams &= attained.keys()
        for team in changed[:MAX_LINES_PER_REPORT]:
            self.short_teams ^= {team}
            self._log_change(team, attained[team])

    def attained(self, now_ms: int) -> dict[str, TeamAttainment]:
        """Return the attainment of the teams that were due anything in the window."""
        fleet = self.scheduler.fleet
        totals = fleet.shares.attainment.totals(now_ms)
        return {
            team: item
            for team, item in sorted(totals.items())
            if fleet.team_of(team) is not None and item.due_core_ms
        }

    def _has_changed(self, team: str, item: TeamAttainment) -> bool:
        if team in self.short_teams:
            return item.ratio >= REGAINED_RATIO
        return item.ratio < SHORT_RATIO and item.due_core_ms >= MIN_DUE_CORE_MS

    def _log_change(self, team: str, item: TeamAttainment) -> None:
        is_short = team in self.short_teams
        row = self.scheduler.fleet.team_of(team)
        log.bind(
            team=team,
            weight=row.weight if row else None,
            used_core_ms=round(item.used_core_ms),
            due_core_ms=round(item.due_core_ms),
            window_ms=WINDOW_MS,
        ).info("team gets less than its share" if is_short else "team gets its share again")

    def describe(self, now_ms: int) -> dict[str, dict[str, float]]:
        """Return the attainment by team as plain data: mean cores, and used against due."""
        return {
            team: {
                "used_cores": round(item.used_core_ms / WINDOW_MS, 2),
                "due_cores": round(item.due_core_ms / WINDOW_MS, 2),
                "attained": round(item.ratio, 3),
            }
            for team, item in self.attained(now_ms).items()
        }
