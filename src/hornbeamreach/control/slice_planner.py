"""Plan the slices of team limits from the reports of entry processes."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hornbeamreach.clock import Clock
from hornbeamreach.control import commands
from hornbeamreach.systems.limit_slices import SliceHolder, plan_slices
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.sessions import HolderKey, SessionTable


class SlicePlanner:
    """Track the teams to plan, and the sizes to which each holder must shrink its slices."""

    def __init__(
        self, *, state: Callable[[], ControlState], notify: Callable[[], None], clock: Clock
    ) -> None:
        self.state = state
        self.notify = notify
        self.clock = clock
        self.session_table = SessionTable(leader_since_ms=clock.now_ms())
        self.dirty_teams: set[str] = set()
        self.targets: dict[HolderKey, dict[str, int]] = {}

    def begin_term(self, session_table: SessionTable) -> None:
        """Discard the plans of an earlier term, and mark every team to be planned."""
        self.session_table = session_table
        self.targets = {}
        self.mark_all_dirty()

    def mark_dirty(self, teams: Iterable[str]) -> None:
        """Mark teams whose use, limit or holders changed, to be planned next time."""
        self.dirty_teams |= set(teams)

    def mark_all_dirty(self) -> None:
        """Mark every team to be planned next time."""
        self.mark_dirty(self.state().table.teams)

    def pop_targets(self, holder: HolderKey) -> dict[str, int]:
        """Return and clear the sizes to which a holder must shrink its slices, by team."""
        return self.targets.pop(holder, {})

    def plan(self) -> list[commands.SliceChange]:
        """Return the slice changes of the marked teams, and unmark them."""
        teams, self.dirty_teams = self.dirty_teams, set()
        changes: list[commands.SliceChange] = []
        for team in sorted(teams):
            changes += self._plan_team(team)
        return changes

    def _plan_team(self, team: str) -> list[commands.SliceChange]:
        holders = self._slice_holders(team)
        plan = plan_slices(self.state().lowest_limit(team), holders)
        for holder in holders:
            targets = self.targets.get(holder.key, {})
            targets.pop(team, None)
            if holder.key in plan.targets:
                self.targets.setdefault(holder.key, {})[team] = plan.targets[holder.key]
        if plan.targets:
            self.notify()
        changed = [holder for holder in holders if holder.key in plan.sizes]
        # Decreases come first, so that the increases fit within the limit.
        changed.sort(key=lambda holder: plan.sizes[holder.key] - holder.size)
        return [
            commands.SliceChange(
                entry_id=holder.key.entry_id,
                incarnation=holder.key.incarnation,
                team=team,
                size=plan.sizes[holder.key],
                promised_index=holder.ceiling_index,
            )
            for holder in changed
        ]

    def _slice_holders(self, team: str) -> list[SliceHolder]:
        now_ms = self.clock.now_ms()
        slice_holders = []
        for entry_id, incarnations in sorted(self.state().grants.items()):
            for incarnation, grant in sorted(incarnations.items()):
                key = HolderKey(entry_id, incarnation)
                session = self.session_table.get(key)
                use = session.uses.get(team)
                slice_holders.append(
                    SliceHolder(
                        key=key,
                        size=grant.slices.get(team, 0),
                        in_use=use.in_use if use else 0,
                        requested=use.wanted if use else 0,
                        ceiling=use.ceiling if use else None,
                        ceiling_index=use.ceiling_index if use else 0,
                        live=session.is_live(now_ms) and not grant.suspended_index,
                    )
                )
        return slice_holders
