"""Estimate when places on the minions of a rack become free, and who takes them.

Load pattern: many tasks wait for one rack at once. Each run that ends there frees room for one or
two of them, so the estimate counts the tasks ahead.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
from attrs import define

from hornbeamreach.systems.suspect_isolation import FULL_PERCENT, MIN_MEASURED_PERCENT
from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.resources import Resources

# A run that takes longer than expected is taken to last for this share of its age: 3 % of tasks
# take seven times as long as usual.
OVERDUE_SHARE = 0.25


def remaining_ms(run: ReservedRun, now_ms: int, factor: float) -> int | None:
    """Estimate when a run ends, in ms from now; None if nothing is known about its length.

    `factor` is what declared run times of the run's queue are to be multiplied by.
    """
    if run.lasting:
        return None
    expected_ms = run.expected_ms * factor
    age_ms = max(0, now_ms - run.started_ms)
    if run.phase is RunPhase.RUNNING and run.percent >= MIN_MEASURED_PERCENT:
        since_listed_ms = now_ms - run.last_listed_ms
        if run.recovered:
            # It began before `started_ms`, so its speed can't be measured.
            left_ms = expected_ms * (FULL_PERCENT - run.percent) / FULL_PERCENT
        else:
            listed_age_ms = run.last_listed_ms - run.started_ms
            left_ms = listed_age_ms * (FULL_PERCENT - run.percent) / run.percent
        left_ms -= since_listed_ms
    elif run.expected_ms:
        left_ms = expected_ms - age_ms
    else:
        return None
    return int(left_ms if left_ms > 0 else age_ms * OVERDUE_SHARE)


Amounts = tuple[int, int, int]


def _amounts(needs: Resources) -> Amounts:
    return (needs.cpu_millis, needs.memory_mb, needs.accelerators)


@define(frozen=True, kw_only=True)
class MinionRoom:
    """Hold a minion's room from a time on, and the room that runs free later."""

    minion: Minion
    free: Amounts
    # What was used when the room was computed.
    used: Resources
    # Times in ms from now, in order, with what is freed then.
    ends: tuple[tuple[int, Amounts], ...] = ()
    from_ms: int = 0
    claims: int = 0

    def current(self) -> MinionRoom:
        """Return the room less what has been reserved since."""
        used = self.minion.used
        if used is self.used:
            return self
        taken = zip(_amounts(used), _amounts(self.used), strict=True)
        free = tuple(f - (now - then) for f, (now, then) in zip(self.free, taken, strict=True))
        return attrs.evolve(self, free=free, used=used)

    def find(self, needs: Amounts) -> tuple[int, Amounts, int] | None:
        """Return when the needs fit, what is free then and how many runs have ended, or None."""
        cpu, memory, accelerators = self.free
        at_ms = self.from_ms
        for index in range(len(self.ends) + 1):
            if cpu >= needs[0] and memory >= needs[1] and accelerators >= needs[2]:
                return at_ms, (cpu, memory, accelerators), index
            if index < len(self.ends):
                end_ms, freed = self.ends[index]
                at_ms = max(at_ms, end_ms)
                cpu, memory = cpu + freed[0], memory + freed[1]
                accelerators += freed[2]
        return None

    def claim(self, needs: Amounts, run_ms: int) -> MinionRoom:
        """Return the room left by a run that starts here as soon as it fits."""
        found = self.find(needs)
        assert found is not None
        at_ms, free, index = found
        left = tuple(amount - need for amount, need in zip(free, needs, strict=True))
        ends = sorted((*self.ends[index:], (at_ms + run_ms, needs)))
        return attrs.evolve(
            self, free=left, ends=tuple(ends), from_ms=at_ms, claims=self.claims + 1
        )


@define(frozen=True, kw_only=True)
class Claim:
    """Hold when the last of some tasks finds a place, and the rack's rooms after that."""

    # None if it waits for runs whose ends can't be estimated.
    expected_ms: int | None
    rooms: dict[str, MinionRoom]
    unknown_ends: int


@define(kw_only=True)
class RackForecast:
    """Hold the rooms of a rack's minions, with the claims of the tasks that wait for them."""

    rooms: dict[str, MinionRoom]
    # Runs that end at an unknown time; each may give its place to one waiting task.
    unknown_ends: int = 0
    # Tasks that wait for the rack.
    waiting: int = 0

    @classmethod
    def of(
        cls, minions: Iterable[Minion], now_ms: int, factor_of: Callable[[ReservedRun], float]
    ) -> RackForecast:
        """Estimate the ends of all runs on a rack's usable minions."""
        forecast = cls(rooms={})
        for minion in minions:
            if minion.has_unknown_use:
                continue
            ends = []
            for run in minion.runs.values():
                left_ms = remaining_ms(run, now_ms, factor_of(run))
                if left_ms is not None:
                    ends.append((left_ms, _amounts(run.needs)))
                elif not run.lasting:
                    forecast.unknown_ends += 1
            free = minion.report.capacity.minus(minion.used)
            forecast.rooms[minion.minion_id] = MinionRoom(
                minion=minion, free=_amounts(free), used=minion.used, ends=tuple(sorted(ends))
            )
        return forecast

    def find(
        self,
        needs: Resources,
        run_ms: int,
        count: int,
        places: Callable[[Minion], int],
        horizon_ms: int | None = None,
    ) -> Claim | None:
        """Find a place for each of some tasks; None if the rack never has enough.

        A place is taken for `run_ms` and is free for the next task then. `places` returns how many
        of the tasks a minion may run, apart from its room. Places that become free after
        `horizon_ms` don't count.
        """
        amounts = _amounts(needs)
        rooms: dict[str, MinionRoom] = {}
        allowed: dict[str, int] = {}
        next_ms: dict[str, int] = {}
        for name, room in self.rooms.items():
            rooms[name] = room.current()
            allowed[name] = places(room.minion)
            found = rooms[name].find(amounts) if allowed[name] > 0 else None
            if found is not None:
                next_ms[name] = found[0]
        last_ms: int | None = 0
        unknown_ends = self.unknown_ends
        for _ in range(count):
            name = min(next_ms, key=next_ms.__getitem__, default="")
            if name and (horizon_ms is None or next_ms[name] <= horizon_ms):
                last_ms = None if last_ms is None else max(last_ms, next_ms[name])
                rooms[name] = rooms[name].claim(amounts, run_ms)
                allowed[name] -= 1
                found = rooms[name].find(amounts) if allowed[name] > 0 else None
                if found is not None:
                    next_ms[name] = found[0]
                else:
                    del next_ms[name]
            elif unknown_ends and not name and any(left > 0 for left in allowed.values()):
                unknown_ends -= 1
                last_ms = None
            else:
                return None
        return Claim(expected_ms=last_ms, rooms=rooms, unknown_ends=unknown_ends)

    def take(self, claim: Claim, count: int) -> None:
        """Keep the places of tasks that wait from the tasks behind them."""
        self.rooms, self.unknown_ends = claim.rooms, claim.unknown_ends
        self.waiting += count
