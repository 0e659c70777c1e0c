"""Log appends of the ends, crashes and starts of runs."""

from __future__ import annotations

import attrs
from attrs import define

from hornbeamreach.control.replica import PendingProposal, Replica
from hornbeamreach.control.workload_commands import RecordRuns
from hornbeamreach.fleet.crash_recorder import CrashRecorder
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.minion_poller import MinionPoller
from hornbeamreach.tables.minions import Minion, ReservedRun


@define(kw_only=True)
class RunChanges:
    """Hold what is known of runs and not recorded yet."""

    command: RecordRuns
    jobs: set[str]
    # Minions, with the number of the last end that each has listed.
    listed_ends: list[tuple[Minion, int]]


@define(kw_only=True, eq=False)
class RunRecorder:
    """Propose changes of runs, and apply them to the proposed state first."""

    fleet: FleetState
    replica: Replica
    crashes: CrashRecorder
    pollers: dict[str, MinionPoller]

    def take_changes(self, wall_ms: int) -> RunChanges:
        """Take the unrecorded changes of all runs and apply them to the proposed state."""
        fleet = self.fleet
        ended, fleet.unrecorded_ends = fleet.unrecorded_ends, []
        listed_ends = [
            (minion, minion.listed_end)
            for minion in fleet.minions.values()
            if minion.listed_end > minion.recorded_end
        ]
        crashed, fleet.unrecorded_crashes = fleet.unrecorded_crashes, []
        clearings, fleet.unrecorded_clearings = fleet.unrecorded_clearings, []
        returned, fleet.unrecorded_returns = fleet.unrecorded_returns, set()
        command = RecordRuns(
            returned=sorted(returned),
            ends=[(e.job_id, e.key, e.run, e.end.value, e.checkpoint) for e in ended],
            crashes=[
                (r.job_id, r.key, r.run, r.crash.solo, r.crash.begun)
                for r in crashed
                if r.crash is not None
            ],
            incarnations=[f"{r.minion}@{r.crash.born_ms}" for r in crashed if r.crash is not None],
            cleared=[(r.job_id, r.key, r.run) for r in clearings],
            at_ms=wall_ms,
            settled_through=fleet.starts.settled_through,
        )
        changed_jobs = {item.job_id for item in (*ended, *crashed, *clearings)}
        if changed_jobs:
            # The planner reads the proposed state, so the ends must be applied first.
            fleet.proposed.apply(command)
            fleet.stale_jobs.update(changed_jobs)
            fleet.changed_pools.update(
                fleet.pool_of(job) for job_id in changed_jobs if (job := fleet.job(job_id))
            )
            self.crashes.on_counted(crashed, wall_ms)
        elif returned:
            fleet.proposed.apply(command)
        return RunChanges(command=command, jobs=changed_jobs, listed_ends=listed_ends)

    def propose(
        self, changes: RunChanges, starts: list[ReservedRun], wall_ms: int
    ) -> PendingProposal:
        """Propose changes and starts in one log append."""
        reserved = [(r.job_id, r.key, r.run, r.minion, r.born_ms) for r in starts]
        vms = {run.minion: run.vm for run in starts}
        numbers = self.fleet.starts
        first_number = numbers.add(starts) if starts else 0
        self.fleet.proposed.apply(
            RecordRuns(starts=reserved, vms=vms, at_ms=wall_ms, first_number=first_number)
        )
        numbers.recorded_through = changes.command.settled_through
        return self.replica.submit(
            attrs.evolve(changes.command, starts=reserved, vms=vms, first_number=first_number)
        )

    def mark_ends_recorded(self, listed_ends: list[tuple[Minion, int]]) -> None:
        """Note that the log has the ends that minions have listed."""
        for minion, number in listed_ends:
            # A later incarnation under the same id numbers its ends from the start.
            is_latest = self.fleet.minions.get(minion.minion_id) is minion
            if is_latest and number > minion.recorded_end:
                minion.recorded_end = number
                self.pollers[minion.minion_id].notify()
