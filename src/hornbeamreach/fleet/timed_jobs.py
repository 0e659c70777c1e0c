"""Schedules of timed jobs: when an occurrence may be due next."""

from __future__ import annotations

from attrs import define

from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.systems.job_progress import next_due_ms

# Schedules are checked again after this when no occurrence is due earlier.
SCHEDULE_CHECK_INTERVAL_MS = 60_000


@define(kw_only=True)
class TimedJobs:
    """Let timed jobs be planned again whenever an occurrence is due."""

    fleet: FleetState
    next_check_ms: int | None = None

    def check_soon(self) -> None:
        """Check the schedules at the next tick, as a job is new."""
        self.next_check_ms = None

    def check(self, wall_ms: int) -> bool:
        """Return whether a check was due, after which all timed jobs are planned again."""
        if self.next_check_ms is not None and self.next_check_ms > wall_ms:
            return False
        due_times = [wall_ms + SCHEDULE_CHECK_INTERVAL_MS]
        for job in self.fleet.proposed.workload.jobs.values():
            if job.spec.timed and not job.ended:
                self.fleet.stale_jobs.add(job.job_id)
                due_ms = next_due_ms(job.spec, wall_ms)
                if due_ms is not None:
                    due_times.append(due_ms)
        self.next_check_ms = min(due_times)
        return True
