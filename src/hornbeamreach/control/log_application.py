"""Application of log entries that can't be decoded or whose command fails.

A command that fails changes nothing. Its application depends on the state and the command alone, so
it fails on every replica alike, and skipping it keeps the replicas equal. Ending the process
instead would end every replica, again after each restart. Two kinds of errors must end the process,
since other replicas may have applied the entry: those of this process, such as a lack of memory,
after which a restart applies it again; and a command that this version doesn't know.
"""

from __future__ import annotations

from hornbeamreach.control.commands import Command, NoOp
from hornbeamreach.control.raft_log import RaftLog
from hornbeamreach.control.raft_messages import LogEntry
from hornbeamreach.control.snapshots import decode_state
from hornbeamreach.control.state_machine import Outcome, appliers, apply_command
from hornbeamreach.exceptions import RefusedError, StorageError
from hornbeamreach.link.codec import DecodeError, decode
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.verdict import Reason

# Errors that need not occur on other replicas: the depth of the stack differs between callers.
LOCAL_ERRORS = (MemoryError, RecursionError, OSError)


def check_decodable(data: bytes) -> None:
    """Raise RefusedError for a command that no replica could read from its log."""
    try:
        command = decode(data)
    except DecodeError as exc:
        raise RefusedError(Reason.MALFORMED, f"the command can't be stored: {exc}") from exc
    if type(command).__name__ not in appliers.entries:
        raise RefusedError(Reason.MALFORMED, f"{type(command).__name__} is no command")


def decode_command(entry: LogEntry) -> Command:
    """Return an entry's command; raise StorageError if this version doesn't know it."""
    if not entry.data:
        return NoOp()
    try:
        command = decode(entry.data)
    except DecodeError as exc:
        raise StorageError(f"entry {entry.index} is unknown to this version: {exc}") from exc
    if type(command).__name__ not in appliers.entries:
        raise StorageError(f"entry {entry.index} holds no command known to this version")
    return command


def rebuild_state(log: RaftLog, index: int, skipped: set[int], state: ControlState) -> ControlState:
    """Return the state after an index, built from the snapshot and the entries not skipped.

    If a newer snapshot has arrived meanwhile, return `state`, which that snapshot replaces.
    """
    if log.base_index >= index:
        state.applied_index = index
        return state
    rebuilt = decode_state(log.snapshot.data) if log.snapshot else ControlState()
    for entry in log.slice_from(log.base_index + 1, index - log.base_index):
        if entry.index in skipped:
            rebuilt.applied_index = entry.index
        else:
            apply_command(rebuilt, entry.index, decode_command(entry))
    return rebuilt


def skipped_outcome(state: ControlState) -> Outcome:
    """Return the outcome of a command that was skipped."""
    return Outcome(
        accepted=False,
        version=state.version,
        index=state.applied_index,
        reason=Reason.MALFORMED,
        detail="the command could not be applied and has changed nothing",
    )
