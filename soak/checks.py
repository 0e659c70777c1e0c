"""Invariants of a soak, as pure functions of what callers, operators and minions observed."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry
from soak.observations import (
    FINAL_STATES,
    HTTP_GONE,
    HTTP_OK,
    HTTP_TOO_MANY_REQUESTS,
    Observations,
    RunEvent,
)

# No start happens this long after an evacuation or a cancel was acknowledged: the longest time that
# an order can be under way, which is its lease, and a second.
EVACUATION_BOUND_MS = 5_000
# Minimum number of crashed minions after which a job may be given up.
MIN_CRASHES = 2

Check = Callable[[Observations], list[str]]
checks: Registry[Check] = Registry("invariant")


@define(frozen=True, kw_only=True)
class RunInterval:
    """Represent one run on one minion; `until_ms` is infinite if its end was not observed."""

    start: RunEvent
    until_ms: float
    end: str

    def describe(self) -> str:
        """Return a printable text."""
        run = self.start
        return f"run {run.run} on {run.minion} from {run.at:.0f} to {self.until_ms:.0f} {self.end}"


def run_intervals(seen: Observations) -> dict[str, list[RunInterval]]:
    """Return the runs of each task in the order of their starts."""
    ends = {(e.task, e.run, e.minion): e for e in seen.events if e.kind == "end"}
    intervals: dict[str, list[RunInterval]] = defaultdict(list)
    for event in seen.events:
        if event.kind != "start":
            continue
        end = ends.get((event.task, event.run, event.minion))
        if end is not None:
            until_ms, reason = end.at, end.end
        else:
            killed = [at for at in seen.minion_ends.get(event.vm, []) if at >= event.at]
            until_ms, reason = min(killed, default=math.inf), "killed" if killed else "open"
        intervals[event.task].append(RunInterval(start=event, until_ms=until_ms, end=reason))
    return intervals


@checks.register("no_task_runs_twice_at_once")
def check_overlaps(seen: Observations) -> list[str]:
    """Return the pairs of runs of one task that overlap."""
    found = []
    for task, runs in run_intervals(seen).items():
        for earlier, later in zip(runs, runs[1:], strict=False):
            if later.start.at < earlier.until_ms:
                found.append(f"{task}: {later.describe()} overlaps {earlier.describe()}")
    return found


@checks.register("no_start_after_acknowledged_end")
def check_late_starts(seen: Observations) -> list[str]:
    """Return the starts after the task's end was acknowledged, or a caller read its job's end."""
    acked: dict[str, float] = {}
    for event in seen.events:
        if event.kind == "ack":
            acked.setdefault(event.task, event.at)
    found = []
    for event in seen.events:
        if event.kind != "start":
            continue
        if event.at > acked.get(event.task, math.inf):
            found.append(f"{event.task}: run {event.run} started after its end was acknowledged")
        job = seen.jobs.get(event.job_id)
        final = job.final if job else None
        bound_ms = 0 if final and final.state == "completed" else EVACUATION_BOUND_MS
        if final and event.at > final.at_ms + bound_ms:
            found.append(f"{event.task}: run {event.run} started after the job was {final.state}")
    return found


@checks.register("no_accepted_job_is_lost")
def check_lost_jobs(seen: Observations) -> list[str]:
    """Return accepted jobs that became unknown, didn't end, or ended without their tasks' ends."""
    done: dict[str, set[str]] = defaultdict(set)
    crashed: dict[str, int] = defaultdict(int)
    for task, runs in run_intervals(seen).items():
        for run in runs:
            if run.end == "done":
                done[run.start.job_id].add(task)
            crashed[run.start.job_id] += run.end in ("killed", "lost", "lapsed")
    found = []
    for job in seen.jobs.values():
        accepted_ms, final = job.accepted_ms, job.final
        if accepted_ms is None:
            continue
        gone = [r for r in job.reads if r.status == HTTP_GONE and r.sent_ms > accepted_ms]
        if gone:
            found.append(f"{job.job_id}: accepted at {accepted_ms:.0f}, unknown to a later read")
        elif final is None:
            found.append(f"{job.job_id}: accepted at {accepted_ms:.0f}, not ended")
        elif final.state == "completed" and len(done[job.job_id]) != job.task_count:
            count = f"{len(done[job.job_id])} of {job.task_count} tasks"
            found.append(f"{job.job_id}: completed, but {count} ran to their end")
        elif final.state == "failed" and crashed[job.job_id] < MIN_CRASHES:
            found.append(f"{job.job_id}: failed although no task of it fails")
        elif final.state == "cancelled" and not job.cancels:
            found.append(f"{job.job_id}: cancelled by nobody")
    return found


@checks.register("no_acknowledged_change_is_lost")
def check_lost_changes(seen: Observations) -> list[str]:
    """Return acknowledged declarations, cancels and ends that a later read doesn't show."""
    found = [
        f"version {read.version} was read at {read.at_ms:.0f}, after {read.acked_version} was acked"
        for read in seen.declaration_reads
        if read.version < read.acked_version
    ]
    for job in seen.jobs.values():
        final, cancelled_ms = job.final, job.cancelled_ms
        for read in job.reads:
            if read.status != HTTP_OK:
                continue
            if final and read.sent_ms > final.at_ms and read.state != final.state:
                found.append(f"{job.job_id}: {final.state}, then {read.state}")
            after_cancel = cancelled_ms is not None and read.sent_ms > cancelled_ms
            if after_cancel and read.state not in FINAL_STATES:
                found.append(f"{job.job_id}: {read.state} after its cancel was acknowledged")
    return found


@checks.register("no_team_exceeds_its_cap")
def check_caps(seen: Observations) -> list[str]:
    """Return the moments at which a team's running tasks exceeded its cap."""
    changes: dict[str, list[tuple[float, int, str]]] = defaultdict(list)
    for runs in run_intervals(seen).values():
        for run in runs:
            job = seen.jobs.get(run.start.job_id)
            if job is not None and job.team in seen.team_caps:
                changes[job.team].append((run.start.at, job.cpu_millis, run.start.task))
                changes[job.team].append((run.until_ms, -job.cpu_millis, run.start.task))
    found = []
    for team, rows in changes.items():
        used = 0
        for at_ms, change, task in sorted(rows):
            used += change
            if change > 0 and used > seen.team_caps[team]:
                cap = seen.team_caps[team]
                found.append(f"{team}: {used} of {cap} with the start of {task} at {at_ms:.0f}")
    return found


@checks.register("a_refusal_is_true")
def check_refusals(seen: Observations) -> list[str]:
    """Return jobs that ran although each submission was refused, or that were known before."""
    first_starts: dict[str, float] = {}
    for event in seen.events:
        if event.kind == "start":
            first_starts.setdefault(event.job_id, event.at)
    found = []
    for job in seen.jobs.values():
        start_ms = first_starts.get(job.job_id, math.inf)
        only_refused = job.submissions and all(r.states_not_run for r in job.submissions)
        if only_refused and start_ms < math.inf:
            statuses = [r.status for r in job.submissions]
            found.append(f"{job.job_id}: ran although every submission was refused: {statuses}")
        known_ms = min(start_ms, job.accepted_ms or math.inf)
        for response in job.submissions:
            if response.status == HTTP_TOO_MANY_REQUESTS and response.sent_ms > known_ms:
                found.append(f"{job.job_id}: refused for load after it was accepted")
    return found + [
        f"{job_id}: ran although nobody submitted it"
        for job_id in first_starts
        if job_id not in seen.jobs
    ]


@checks.register("an_evacuated_data_center_gets_no_start")
def check_evacuations(seen: Observations) -> list[str]:
    """Return the starts in a data centre from the bound on until its evacuation is withdrawn."""
    found = []
    for evacuation in seen.evacuations:
        begin_ms = evacuation.acked_ms + EVACUATION_BOUND_MS
        for event in seen.events:
            inside = begin_ms < event.at < evacuation.finish_sent_ms
            if inside and event.kind == "start" and event.zone == evacuation.data_center:
                late_ms = event.at - evacuation.acked_ms
                found.append(
                    f"{event.task}: run {event.run} started in {event.zone} {late_ms:.0f} ms after"
                    " its evacuation was acknowledged"
                )
    return found


@checks.register("the_programs_behave")
def check_incidents(seen: Observations) -> list[str]:
    """Return what was seen directly, such as a process that ended by itself."""
    return list(seen.incidents)


def find_violations(seen: Observations) -> dict[str, list[str]]:
    """Return the violations by invariant."""
    return {name: checks.get(name)(seen) for name in checks}
