"""Reference page of the table's columns, generated from the row classes."""

from __future__ import annotations

import attrs

from hornbeamreach.tables.columns import columns_of
from hornbeamreach.tables.declared import ROW_CLASSES

HEADER = """# The table

One section a kind, one line a row; `hornbeamreach table apply FILE` makes the table in force
equal to the file, or changes nothing. Names are lower-case, at most 63 characters. A column
without a default must be given. *Tightens* tells which change must be let go of everywhere
before it is accepted; while a cut-off data centre may still act on the old value, it is
refused with the time at which it becomes possible. Columns marked *control* are enforced by
control alone, so a cut-off data centre does not stand against them unless it holds more than
the new value allows.

This page is made by `python -m hornbeamreach.cli.table_page > docs/table.md`.
"""

TIGHTENS_BY_EFFECT = {
    "RAISE_LOOSENS": "when lowered",
    "LOWER_LOOSENS": "when raised",
    "TRUE_LOOSENS": "when turned off",
    "NEUTRAL": "never",
    "ALWAYS_TIGHTENS": "always",
}


def render_page() -> str:
    """Return the page in Markdown."""
    lines = [HEADER]
    for kind, row_class in ROW_CLASSES.items():
        lines += [f"## {kind}", "", row_class.__doc__ or "", ""]
        lines += ["| column | unit | default | tightens | meaning |", "|---|---|---|---|---|"]
        lines += _column_lines(row_class)
        lines.append("")
    return "\n".join(lines)


def _column_lines(row_class: type) -> list[str]:
    lines = []
    fields = attrs.fields_dict(row_class)
    for name, column in columns_of(row_class).items():
        default = fields[name].default
        default_cell = "" if default is attrs.NOTHING else f"`{default}`"
        tightens = TIGHTENS_BY_EFFECT[column.effect.name] + (
            ", control" if column.control_only else ""
        )
        lines.append(f"| `{name}` | {column.unit} | {default_cell} | {tightens} | {column.doc} |")
    return lines


if __name__ == "__main__":
    print(render_page(), end="")
