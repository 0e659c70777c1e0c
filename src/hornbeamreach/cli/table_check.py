"""Command `hornbeamreach table check`: findings on a table file before it is sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import define, field

from hornbeamreach.cli.output import EXIT_REFUSED, EXIT_WARNINGS
from hornbeamreach.converters import structure
from hornbeamreach.exceptions import HornbeamreachError, TableError
from hornbeamreach.systems.table_findings import (
    CheckedTable,
    Finding,
    Severity,
    find_all,
    find_unreadable_rows,
)
from hornbeamreach.tables.control_state import KeyRow
from hornbeamreach.tables.declared import DeclaredTable
from hornbeamreach.tables.table_file import RowDifference, compare_tables, load_table_data

# Returns the table in force, and the reply that also holds its version and keys.
TableFetcher = Callable[[], tuple[DeclaredTable, dict[str, Any]]]


@define(kw_only=True)
class TableCheck:
    """Hold the result of checking a file."""

    findings: list[Finding] = field(factory=list)
    # Version in force and the differences from it; None if they were not compared.
    version: int | None = None
    differences: list[RowDifference] | None = None
    not_compared_because: str = ""

    def exit_code(self) -> int:
        """Return the exit code for the most severe finding; differences don't count."""
        severities = {finding.severity for finding in self.findings}
        if Severity.ERROR in severities:
            return EXIT_REFUSED
        return EXIT_WARNINGS if severities else 0

    def lines(self) -> list[str]:
        """Return the result as lines of text."""
        lines = [finding.describe() for finding in self.findings] or ["no findings"]
        if self.differences is None:
            return [*lines, f"not compared with the version in force: {self.not_compared_because}"]
        differences = [difference.describe() for difference in self.differences]
        lines.append(f"differences from version {self.version}:")
        return [*lines, *(differences or ["no differences"])]


def check_table_file(path: str, fetch_table: TableFetcher) -> TableCheck:
    """Check a table file, and compare it with the table in force if that can be fetched.

    Raises TableError if the file is not TOML.
    """
    data = load_table_data(path)
    unreadable = find_unreadable_rows(data)
    if unreadable:
        # The other checks would take rows that can't be read for rows that aren't declared.
        reason = "some rows can't be read, so nothing else was checked"
        return TableCheck(findings=unreadable, not_compared_because=reason)
    table = structure(data, DeclaredTable, source=path, error=TableError)
    try:
        in_force, response = fetch_table()
    except HornbeamreachError as exc:
        return TableCheck(
            findings=find_all(CheckedTable(table=table)),
            not_compared_because=f"no control replica could be asked for it ({exc})",
        )
    keys = tuple(KeyRow(team=key["team"], key_id=key["key_id"]) for key in response["keys"])
    return TableCheck(
        findings=find_all(CheckedTable(table=table, keys=keys)),
        version=response["version"],
        differences=compare_tables(in_force, table),
    )
