"""The committed state with the commands that the scheduler has proposed since."""

from __future__ import annotations

import attrs
from attrs import define, field

from hornbeamreach.control.state_machine import apply_command
from hornbeamreach.control.workload_commands import WorkloadCommand
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.workload import MaintenanceWave, StepJob, Workload


def copy_workload(workload: Workload) -> Workload:
    """Return a copy that shares only immutable values."""
    return attrs.evolve(
        workload,
        jobs={job_id: _copy_job(job) for job_id, job in workload.jobs.items()},
        queues=dict(workload.queues),
        former_teams=dict(workload.former_teams),
        tombstones=dict(workload.tombstones),
        machine_orders=dict(workload.machine_orders),
        pending_moves=dict(workload.pending_moves),
        returns=dict(workload.returns),
        evacuated=dict(workload.evacuated),
        restored=dict(workload.restored),
        evacuation_requests=dict(workload.evacuation_requests),
        waves={number: _copy_wave(wave) for number, wave in workload.waves.items()},
    )


def _copy_job(job: StepJob) -> StepJob:
    return attrs.evolve(
        job,
        tasks={key: attrs.evolve(task) for key, task in job.tasks.items()},
        done_counts=dict(job.done_counts),
        gang_failed_runs=dict(job.gang_failed_runs),
    )


def _copy_wave(wave: MaintenanceWave) -> MaintenanceWave:
    return attrs.evolve(
        wave, ordered=dict(wave.ordered), finished=set(wave.finished), gone=set(wave.gone)
    )


@define(kw_only=True)
class ProposedState:
    """Apply commands as they are proposed, so that decisions need not wait for a commit.

    Orders to minions and replies to callers wait for the commit. The state is discarded with its
    scheduler when the replica loses leadership.
    """

    state: ControlState
    index: int = field(default=0)

    @classmethod
    def of(cls, committed: ControlState) -> ProposedState:
        """Start from a copy of the committed state."""
        state = ControlState(
            applied_index=committed.applied_index,
            version=committed.version,
            table=committed.table,
            keys=dict(committed.keys),
            workload=copy_workload(committed.workload),
        )
        return cls(state=state, index=committed.applied_index)

    @property
    def workload(self) -> Workload:
        """Return the workload with all proposed commands applied."""
        return self.state.workload

    def apply(self, command: WorkloadCommand) -> None:
        """Apply a proposed command."""
        self.index += 1
        apply_command(self.state, self.index, command)
