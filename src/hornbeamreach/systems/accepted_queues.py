"""Keep the queues and teams of accepted jobs while versions rename, move or remove their rows.

Load pattern: hundreds of versions a day, each of which may rename, move or remove a queue whose
jobs run for minutes. Callers know a queue by its host and path prefix alone, and what a job may do
doesn't change because its row is gone.
"""

from __future__ import annotations

import attrs

from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import DeclaredTable, QueueRow, TeamRow
from hornbeamreach.tables.workload import AcceptedQueue, StepJob, Workload

# Host and path prefix. Queues without either are called by their names.
Address = tuple[str, str]


def address_of(name: str, row: QueueRow) -> Address:
    """Return the host and path prefix of a queue; its name in place of a missing prefix."""
    return row.host, row.path_prefix or ("" if row.host else name)


def number_queue(workload: Workload, table: DeclaredTable, name: str) -> int:
    """Return the number of a declared queue, a new one if it has none; 0 if it isn't declared."""
    row = table.queues.get(name)
    if row is None:
        return 0
    address = address_of(name, row)
    for number, queue in workload.queues.items():
        if queue.declared and queue.name == name and queue.address == address:
            return number
    workload.last_queue_number += 1
    host, path_prefix = address
    workload.queues[workload.last_queue_number] = AcceptedQueue(
        name=name, host=host, path_prefix=path_prefix, row=row
    )
    return workload.last_queue_number


def follow_table(workload: Workload, before: DeclaredTable, after: DeclaredTable) -> None:
    """Apply a new table to the queues and teams of the stored jobs, and drop those without jobs."""
    for job in workload.jobs.values():
        if not job.queue_number:
            job.queue_number = number_queue(workload, before, job.queue)
    _follow_teams(workload, before, after)
    used = {job.queue_number for job in workload.jobs.values()}
    names_before, names_after = names_by_address(before), names_by_address(after)
    for number, queue in list(workload.queues.items()):
        if number in used:
            row = after.queues.get(queue.name)
            is_same = row is not None and _is_same(queue, row, names_before, names_after)
            # A queue whose row is gone keeps its latest one.
            workload.queues[number] = attrs.evolve(
                queue, row=row if is_same else queue.row, declared=is_same
            )
        else:
            del workload.queues[number]


def names_by_address(table: DeclaredTable) -> dict[Address, str]:
    """Return the names of the declared queues by host and path prefix."""
    return {address_of(name, row): name for name, row in table.queues.items()}


def _is_same(
    queue: AcceptedQueue,
    row: QueueRow,
    names_before: dict[Address, str],
    names_after: dict[Address, str],
) -> bool:
    """Return whether a row of a queue's name still declares that queue, perhaps moved."""
    address = address_of(queue.name, row)
    if address == queue.address:
        return True
    # Not so if the name was free in between, or if either address is another queue's.
    others = (names_before.get(address), names_after.get(queue.address))
    return queue.declared and all(name in (None, queue.name) for name in others)


def _follow_teams(workload: Workload, before: DeclaredTable, after: DeclaredTable) -> None:
    """Keep the latest rows of teams that have jobs and are not declared any more."""
    used = {job.team for job in workload.jobs.values()}
    known = {**workload.former_teams, **before.teams}
    workload.former_teams = {
        team: known[team] for team in sorted(used) if team in known and team not in after.teams
    }


def queue_row(state: ControlState, job: StepJob) -> QueueRow | None:
    """Return the row by which a job runs: that of its queue, or the latest one it had."""
    queue = state.workload.queues.get(job.queue_number)
    if queue is None:
        return state.table.queues.get(job.queue)
    return state.table.queues.get(queue.name, queue.row) if queue.declared else queue.row


def team_row(state: ControlState, team: str) -> TeamRow | None:
    """Return a team's row, or the latest one of a removed team that has jobs."""
    return state.table.teams.get(team) or state.workload.former_teams.get(team)


def pool_of(state: ControlState, job: StepJob) -> str:
    """Return the pool in which a job runs."""
    row = queue_row(state, job)
    if row is None:
        return job.pool
    queue = state.workload.queues.get(job.queue_number)
    if queue is None or queue.declared or row.pool in state.table.pools:
        return row.pool
    # Its pool is gone, too, so it can only run where its successor's jobs do.
    successors = (
        other.pool
        for name, other in state.table.queues.items()
        if address_of(name, other) == queue.address
    )
    return next(successors, row.pool)


def belongs_to(workload: Workload, job: StepJob, name: str, row: QueueRow) -> bool:
    """Return whether a job was accepted on a declared queue, or at its host and path prefix."""
    queue = workload.queues.get(job.queue_number)
    if queue is None:
        return job.queue == name
    return queue.address == address_of(name, row) or (queue.declared and queue.name == name)
