"""Output and exit codes of the command line."""

from __future__ import annotations

import sys
from typing import Any, NoReturn

import orjson

from hornbeamreach.converters import to_plain
from hornbeamreach.exceptions import HornbeamreachError, InvalidInputError, RefusedError

EXIT_REFUSED = 1
EXIT_INVALID_INPUT = 2
EXIT_WARNINGS = 3


def print_line(line: str) -> None:
    """Print one line and flush it."""
    print(line, flush=True)


def print_json(value: Any) -> None:
    """Print attrs or plain data as JSON."""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    print(orjson.dumps(to_plain(value), option=options).decode(), flush=True)


def print_columns(rows: list[list[str]]) -> None:
    """Print rows in aligned columns."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def exit_with_error(error: HornbeamreachError) -> NoReturn:
    """Print an error on one line and exit with its code."""
    if isinstance(error, RefusedError):
        print(
            f"refused ({error.reason.value}, {error.verdict.value}): {error.detail}",
            file=sys.stderr,
        )
        sys.exit(EXIT_REFUSED)
    print(f"error: {error}", file=sys.stderr)
    sys.exit(EXIT_INVALID_INPUT if isinstance(error, InvalidInputError) else EXIT_REFUSED)
