"""Shares of teams in each pool: use, deficits, and the order of steps in a full pool."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

from attrs import define, field

from hornbeamreach.systems.attainment import AttainmentWindow
from hornbeamreach.systems.fair_share import (
    DEFICIT_WINDOW_MS,
    TeamUsage,
    accumulate_deficits,
    max_min_shares,
    team_weights,
)
from hornbeamreach.systems.share_order import (
    Request,
    ShareOrder,
    TeamDemand,
    TeamRequests,
    WithinDue,
    due_shares,
    exceeds,
    share_orders,
)
from hornbeamreach.tables.declared import TeamRow
from hornbeamreach.tables.minions import Minion, ReservedRun
from hornbeamreach.tables.resources import NO_RESOURCES, Resources


@define(kw_only=True)
class PoolShares:
    """Hold the use and the due shares of the teams of one pool."""

    usage: TeamUsage = field(factory=lambda: TeamUsage(total=NO_RESOURCES))
    # The part of the use that long-running tasks hold.
    lasting: TeamUsage = field(factory=lambda: TeamUsage(total=NO_RESOURCES))
    # Of the latest pass, in which the pool was full if it has due shares.
    planned_ms: int = 0
    weights: dict[str, float] = field(factory=dict)
    due: dict[str, float] = field(factory=dict)
    waiting: set[str] = field(factory=set)
    # Shares held since the end of the latest pass.
    held: dict[str, float] = field(factory=dict)

    def set_total(self, members: Iterable[Minion], usable: Sequence[Minion]) -> None:
        """Set the pool's capacity: that of usable minions, and what is used of the others."""
        usable_ids = {minion.minion_id for minion in usable}
        cpu_millis = memory_mb = accelerators = 0
        for minion in members:
            capacity = minion.report.capacity if minion.minion_id in usable_ids else minion.used
            cpu_millis += capacity.cpu_millis
            memory_mb += capacity.memory_mb
            accelerators += capacity.accelerators
        total = Resources(cpu_millis=cpu_millis, memory_mb=memory_mb, accelerators=accelerators)
        self.usage.total = self.lasting.total = total

    def attainable(self) -> dict[str, float]:
        """Return the due shares, scaled to what waiting teams hold together.

        Not all of a pool can be used, as tasks don't fill minions exactly. Deficits against the
        unscaled shares would grow for all teams and hide the differences between them.
        """
        held = sum(self.held.get(team, 0.0) for team in self.waiting)
        due = sum(self.due[team] for team in self.waiting)
        scale = held / due if due else 1.0
        # A team that doesn't wait repays an earlier surplus with what it leaves free.
        nominal = max_min_shares(self.weights)
        return {
            team: share * scale if team in self.waiting else max(share, nominal[team])
            for team, share in self.due.items()
        }


@define(kw_only=True)
class TeamShares:
    """Track the shares of all pools; the state of one scheduler, lost at a takeover."""

    policy: ShareOrder = field(factory=lambda: share_orders.get("due_first"))
    pools: dict[str, PoolShares] = field(factory=dict)
    attainment: AttainmentWindow = field(factory=AttainmentWindow)

    def add(self, run: ReservedRun) -> None:
        """Add a reserved run to its team's use of its pool."""
        for usage in self._usages(run):
            usage.add(run.team, run.needs)

    def remove(self, run: ReservedRun) -> None:
        """Remove a run that has ended."""
        for usage in self._usages(run):
            usage.remove(run.team, run.needs)

    def _usages(self, run: ReservedRun) -> Iterator[TeamUsage]:
        shares = self.pools.setdefault(run.pool, PoolShares())
        yield shares.usage
        if run.lasting:
            yield shares.lasting

    def begin(self, pool: str, waiting_teams: set[str], now_ms: int) -> bool:
        """Begin a planning pass of a pool; return whether several teams use or want it."""
        shares = self.pools.setdefault(pool, PoolShares())
        self._settle(shares, now_ms)
        shares.due = {}
        if len(waiting_teams | shares.usage.by_team.keys()) > 1:
            return True
        shares.usage.deficits.clear()
        return False

    def order(
        self,
        pool: str,
        members: Iterable[Minion],
        usable: Sequence[Minion],
        teams: Mapping[str, TeamRequests[Request]],
        waiting: Resources,
        rows: Mapping[str, TeamRow],
    ) -> dict[str, WithinDue[Request]] | None:
        """Return the requests within each team's due share; None if the order stays as it is.

        `waiting` is what all requests need together. Call it after `begin`. If the pool is full,
        it has due shares, and the pass ends with `finish`.
        """
        shares = self.pools[pool]
        shares.set_total(members, usable)
        if not exceeds([waiting, *shares.usage.by_team.values()], shares.usage.total):
            shares.usage.deficits.clear()
            return None
        demands = _team_demands(shares, teams)
        shares.weights = team_weights(rows, demands)
        shares.due, shares.waiting = due_shares(shares.weights, demands)
        return self.policy(teams, shares.usage, shares.due)

    def is_full(self, pool: str) -> bool:
        """Return whether a pool is divided by shares in the present pass."""
        return bool(self.pools[pool].due)

    def finish(self, pool: str) -> None:
        """Note the shares that a pool's teams hold after a pass."""
        shares = self.pools[pool]
        shares.held = {team: shares.usage.dominant_share(team) for team in shares.due}

    def _settle(self, shares: PoolShares, now_ms: int) -> None:
        """Count the time since the latest pass, if the pool was full."""
        elapsed_ms, shares.planned_ms = now_ms - shares.planned_ms, now_ms
        if elapsed_ms > DEFICIT_WINDOW_MS:
            # What happened since is not known here, and earlier deficits are out of the window.
            shares.usage.deficits.clear()
        elif shares.due:
            accumulate_deficits(
                shares.usage.deficits, shares.attainable(), shares.held, shares.waiting, elapsed_ms
            )
            core_ms = shares.usage.total.cpu_millis / 1_000 * elapsed_ms
            for team, share in shares.due.items():
                self.attainment.record(
                    team,
                    now_ms,
                    used_core_ms=shares.held.get(team, 0.0) * core_ms,
                    due_core_ms=share * core_ms,
                )


def _team_demands(
    shares: PoolShares, teams: Mapping[str, TeamRequests[Request]]
) -> dict[str, TeamDemand]:
    """Return what each team of a pool uses and waits for."""
    demands = {
        team: TeamDemand(
            used=shares.usage.dominant_share(team), lasting=shares.lasting.dominant_share(team)
        )
        for team in shares.usage.by_team
    }
    for team, requests in teams.items():
        demand = demands.get(team)
        if demand is None:
            demand = demands[team] = TeamDemand()
        for (needs, is_useful), tasks in requests.tasks.items():
            share = needs.dominant_fraction(shares.usage.total) * tasks
            demand.waiting += share
            if is_useful:
                demand.useful += share
    return demands
