"""Classify changes of the declared table as loosening or tightening."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from hornbeamreach.tables.columns import Effect, columns_of
from hornbeamreach.tables.control_state import ControlState, KeyEdit
from hornbeamreach.tables.declared import ROW_CLASSES, RowEdit

# Whether deleting or adding a row tightens, by kind. A deleted row may still be in use by
# some process; an added one can't be in use yet.
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
    """Describe what a change tightens.

    Entry processes act on `teams` and `shared_rows` and must stop using the old value before
    the change is committed. Control alone enforces `control_rows`, through slices and permits.
    """

    teams: frozenset[str] = field(default=frozenset())
    shared_rows: frozenset[str] = field(default=frozenset())
    control_rows: frozenset[str] = field(default=frozenset())

    def tightens(self) -> bool:
        """Return whether anything is tightened."""
        return bool(self.teams or self.shared_rows or self.control_rows)


def column_tightens(kind: str, column: str, old: Any, new: Any) -> bool:
    """Return whether a new value of a column tightens it."""
    effect = columns_of(ROW_CLASSES[kind])[column].effect
    return _TIGHTENS[effect](old, new)


def tightened_columns(state: ControlState, edit: RowEdit) -> list[str]:
    """Return the columns that an edit tightens, which are all columns for a deleted row."""
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
    """Return what a change tightens compared with the current state."""
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
