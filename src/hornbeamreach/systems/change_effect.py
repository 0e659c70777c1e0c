"""Telling changes that loosen the table from those that tighten it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from hornbeamreach.tables.columns import Effect, columns_of
from hornbeamreach.tables.control_state import ControlState, KeyEdit
from hornbeamreach.tables.declared import ROW_CLASSES, RowEdit

# What adding or deleting a whole row does, by kind. A deleted row tightens wherever
# somebody may still act on it; an added one cannot be in use yet.
DELETE_TIGHTENS = {"teams": True, "pools": True, "services": True, "queues": True, "vms": True}
ADD_TIGHTENS = {"teams": False, "pools": False, "services": False, "queues": False, "vms": False}

_TIGHTENS: dict[Effect, Callable[[Any, Any], bool]] = {
    Effect.RAISE_LOOSENS: lambda old, new: new < old,
    Effect.LOWER_LOOSENS: lambda old, new: new > old,
    Effect.TRUE_LOOSENS: lambda old, new: old and not new,
    Effect.NEUTRAL: lambda old, new: False,
    Effect.ALWAYS_TIGHTENS: lambda old, new: old != new,
}


@define(frozen=True, kw_only=True)
class ChangeEffect:
    """Say what a change tightens.

    `teams` and `shared_rows` are acted on by entry processes, which must let go of the old
    value first; `control_rows` are enforced by control alone, through slices and permits.
    """

    teams: frozenset[str] = field(default=frozenset())
    shared_rows: frozenset[str] = field(default=frozenset())
    control_rows: frozenset[str] = field(default=frozenset())

    def tightens(self) -> bool:
        """Tell whether anything is tightened."""
        return bool(self.teams or self.shared_rows or self.control_rows)


def column_tightens(kind: str, column: str, old: Any, new: Any) -> bool:
    """Tell whether a new value of a column tightens it."""
    effect = columns_of(ROW_CLASSES[kind])[column].effect
    return _TIGHTENS[effect](old, new)


def tightened_columns(state: ControlState, edit: RowEdit) -> list[str]:
    """Return the columns that an edit tightens; all of them for a deleted row."""
    old = state.table.rows(edit.kind).get(edit.name)
    columns = columns_of(ROW_CLASSES[edit.kind])
    if old is None:
        return list(columns) if ADD_TIGHTENS[edit.kind] and edit.columns is not None else []
    if edit.columns is None:
        return list(columns) if DELETE_TIGHTENS[edit.kind] else []
    return [
        column
        for column, value in edit.columns.items()
        if column_tightens(edit.kind, column, getattr(old, column), value)
    ]


def change_effect(
    state: ControlState, edits: list[RowEdit], key_edits: list[KeyEdit]
) -> ChangeEffect:
    """Collect what a change tightens against the present state."""
    teams = {
        state.keys[key.key_hash].team
        for key in key_edits
        if key.withdraw and key.key_hash in state.keys
    }
    shared: set[str] = set()
    control: set[str] = set()
    for edit in edits:
        columns = columns_of(ROW_CLASSES[edit.kind])
        tightened = tightened_columns(state, edit)
        path = f"{edit.kind}.{edit.name}"
        if any(columns[column].control_only for column in tightened):
            control.add(path)
        if any(not columns[column].control_only for column in tightened):
            if edit.kind == "teams":
                teams.add(edit.name)
            else:
                shared.add(path)
    return ChangeEffect(
        teams=frozenset(teams),
        shared_rows=frozenset(shared),
        control_rows=frozenset(control),
    )
