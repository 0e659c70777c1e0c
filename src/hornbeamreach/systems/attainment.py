"""Compare what each team used of full pools with what it was due, over a sliding window."""

from __future__ import annotations

from collections import deque

from attrs import define, field

WINDOW_MS = 10_000
BUCKET_MS = 1_000


@define(kw_only=True)
class TeamAttainment:
    """Hold core ms that a team used and was due."""

    used_core_ms: float = 0.0
    due_core_ms: float = 0.0

    @property
    def ratio(self) -> float:
        """Return used against due; 1 if nothing was due."""
        return self.used_core_ms / self.due_core_ms if self.due_core_ms else 1.0


@define(kw_only=True)
class AttainmentWindow:
    """Sum up used and due core ms by team in buckets of 1 s."""

    # Number of the bucket, and the sums by team.
    buckets: deque[tuple[int, dict[str, TeamAttainment]]] = field(factory=deque)

    def record(self, team: str, now_ms: int, *, used_core_ms: float, due_core_ms: float) -> None:
        """Add what a team used and was due up to now."""
        number = now_ms // BUCKET_MS
        if not self.buckets or self.buckets[-1][0] != number:
            self.buckets.append((number, {}))
            self._drop_old(now_ms)
        item = self.buckets[-1][1].setdefault(team, TeamAttainment())
        item.used_core_ms += used_core_ms
        item.due_core_ms += due_core_ms

    def _drop_old(self, now_ms: int) -> None:
        while self.buckets and self.buckets[0][0] <= (now_ms - WINDOW_MS) // BUCKET_MS:
            self.buckets.popleft()

    def totals(self, now_ms: int) -> dict[str, TeamAttainment]:
        """Return the sums of the teams that used or were due anything in the window."""
        self._drop_old(now_ms)
        totals: dict[str, TeamAttainment] = {}
        for _, by_team in self.buckets:
            for team, item in by_team.items():
                total = totals.setdefault(team, TeamAttainment())
                total.used_core_ms += item.used_core_ms
                total.due_core_ms += item.due_core_ms
        return totals
