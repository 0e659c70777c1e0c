"""Read, check, compare and write the declared table as TOML."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
from attrs import define

from hornbeamreach import validators
from hornbeamreach.converters import structure
from hornbeamreach.exceptions import InvalidInputError, TableError
from hornbeamreach.tables.declared import (
    ROW_CLASSES,
    DeclaredTable,
    RowEdit,
    ServiceRow,
    row_columns,
)

DEPLOYMENT_KEY = "deployment"
REFERENCED_KINDS = {"pool": "pools", "open_team": "teams"}


def load_toml(path: str | Path, *, error: type[InvalidInputError] = TableError) -> dict[str, Any]:
    """Read a TOML file; raise `error` with the file and position if it is not valid."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise error(exc.strerror or str(exc), source=str(path)) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise error(f"not valid TOML: {exc}", source=str(path)) from None


def load_table(path: str | Path) -> DeclaredTable:
    """Read and check a table file, ignoring any deployment section; raise TableError if invalid."""
    return table_from_dict(load_table_data(path), source=str(path))


def load_table_data(path: str | Path) -> dict[str, Any]:
    """Read a table file without checking its rows, ignoring any deployment section."""
    data = load_toml(path)
    data.pop(DEPLOYMENT_KEY, None)
    return data


def table_from_dict(data: dict[str, Any], *, source: str = "") -> DeclaredTable:
    """Build a table from a dict; raise TableError if it is invalid or inconsistent."""
    table = structure(data, DeclaredTable, source=source, error=TableError)
    try:
        check_consistency(table)
    except TableError as exc:
        raise TableError(exc.message, path=exc.path, source=source) from None
    return table


def row_from_dict(kind: str, name: str, columns: dict[str, Any]) -> Any:
    """Build one row from a dict of columns; raise TableError if it is invalid."""
    if kind not in ROW_CLASSES:
        raise TableError("unknown kind of row", path=kind)
    try:
        return structure(columns, ROW_CLASSES[kind], error=TableError)
    except TableError as exc:
        path = f"{kind}.{name}" + (f".{exc.path}" if exc.path else "")
        raise TableError(exc.message, path=path) from None


@define(frozen=True, kw_only=True)
class Inconsistency:
    """Describe an invalid name or a dangling reference in a row."""

    kind: str
    name: str
    column: str
    message: str


def check_consistency(table: DeclaredTable) -> None:
    """Raise TableError at the first invalid name or dangling reference."""
    for found in inconsistencies(table):
        path = ".".join(part for part in (found.kind, found.name, found.column) if part)
        raise TableError(found.message, path=path)


def inconsistencies(table: DeclaredTable) -> Iterator[Inconsistency]:
    """Yield the invalid names and dangling references of a table."""
    for kind in ROW_CLASSES:
        for name in table.rows(kind):
            yield from _check_name(kind, name)
    for kind in ("services", "queues", "vms"):
        for name in table.rows(kind):
            yield from _check_reference(table, kind, name, "pool")
    yield from _check_teams(table)
    yield from _check_open_queues(table)


def _check_name(kind: str, name: str) -> Iterator[Inconsistency]:
    try:
        validators.name(None, None, name)
    except ValueError as exc:
        yield Inconsistency(kind=kind, name=name, column="", message=str(exc))


def _check_reference(
    table: DeclaredTable, kind: str, name: str, column: str
) -> Iterator[Inconsistency]:
    referenced_kind, target = REFERENCED_KINDS[column], getattr(table.rows(kind)[name], column)
    if target not in table.rows(referenced_kind):
        message = f"{target!r} is not a declared {referenced_kind.removesuffix('s')}"
        yield Inconsistency(kind=kind, name=name, column=column, message=message)


def _check_teams(table: DeclaredTable) -> Iterator[Inconsistency]:
    data_centers = table.data_centers()
    for name, team in table.teams.items():
        if team.home not in data_centers:
            message = f"no VM stands in {team.home!r}"
            yield Inconsistency(kind="teams", name=name, column="home", message=message)


def _check_open_queues(table: DeclaredTable) -> Iterator[Inconsistency]:
    for name, queue in table.queues.items():
        if queue.open or queue.open_team:
            yield from _check_reference(table, "queues", name, "open_team")


@define(frozen=True, kw_only=True)
class RowDifference:
    """Represent the difference of one row between two tables."""

    kind: str
    name: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None

    def describe(self) -> str:
        """Return the difference as one line of text."""
        path = f"{self.kind}.{self.name}"
        if self.before is None:
            return f"+ {path} {_format_columns(self.after)}"
        if self.after is None:
            return f"- {path}"
        changed = [
            f"{column}: {self.before[column]} -> {self.after[column]}"
            for column in self.after
            if self.before[column] != self.after[column]
        ]
        return f"~ {path} " + ", ".join(changed)


def _format_columns(columns: dict[str, Any] | None) -> str:
    return ", ".join(f"{name}={value}" for name, value in (columns or {}).items())


def compare_tables(before: DeclaredTable, after: DeclaredTable) -> list[RowDifference]:
    """List the rows that differ, sorted by kind and name."""
    differences = []
    for kind in ROW_CLASSES:
        old, new = before.rows(kind), after.rows(kind)
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) != new.get(name):
                differences.append(_difference(kind, name, old.get(name), new.get(name)))
    return differences


def _difference(kind: str, name: str, old: Any, new: Any) -> RowDifference:
    return RowDifference(
        kind=kind,
        name=name,
        before=None if old is None else row_columns(old),
        after=None if new is None else row_columns(new),
    )


def edits_between(
    before: DeclaredTable, after: DeclaredTable, versions: dict[str, dict[str, int]]
) -> list[RowEdit]:
    """Return the edits from one table to another, expecting the given row versions."""
    return [
        RowEdit(
            kind=difference.kind,
            name=difference.name,
            columns=difference.after,
            expected_version=versions.get(difference.kind, {}).get(difference.name, 0),
        )
        for difference in compare_tables(before, after)
    ]


def format_toml(table: DeclaredTable) -> str:
    """Format the table as TOML that load_table reads back unchanged."""
    lines = ["# The declared table: one section a kind, one line a row."]
    for kind in ROW_CLASSES:
        rows = table.rows(kind)
        if not rows:
            continue
        lines += ["", f"[{kind}]"]
        lines += [f"{_toml_key(name)} = {_toml_row(rows[name])}" for name in sorted(rows)]
    return "\n".join(lines) + "\n"


def _toml_key(name: str) -> str:
    return f'"{name}"' if "." in name else name


def _toml_row(row: Any) -> str:
    fields = attrs.fields_dict(type(row))
    parts = [
        f"{column} = {_toml_value(value)}"
        for column, value in row_columns(row).items()
        if fields[column].default is attrs.NOTHING or fields[column].default != value
    ]
    return "{ " + ", ".join(parts) + " }"


def _toml_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)


def service_names(table: DeclaredTable, pool: str) -> list[str]:
    """Return the services whose endpoints run on a pool, sorted."""
    services: dict[str, ServiceRow] = table.services
    return sorted(name for name, row in services.items() if row.pool == pool)
