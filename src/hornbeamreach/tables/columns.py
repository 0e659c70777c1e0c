"""Columns of the declared table: their unit, meaning and the effect of a change."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import attrs

COLUMN_METADATA_KEY = "column"


class Effect(enum.Enum):
    """List the ways in which a column's changes loosen or tighten what teams and VMs may do."""

    RAISE_LOOSENS = "raise loosens"
    LOWER_LOOSENS = "lower loosens"
    TRUE_LOOSENS = "true loosens"
    NEUTRAL = "neutral"
    ALWAYS_TIGHTENS = "always tightens"


@attrs.define(frozen=True, kw_only=True)
class Column:
    """Describe one column of the declared table."""

    unit: str
    doc: str
    effect: Effect
    # Only control acts on the column, so a change need not wait for entry processes to apply it.
    control_only: bool = False


def column(
    *,
    unit: str,
    doc: str,
    effect: Effect,
    control_only: bool = False,
    validator: Callable[[Any, Any, Any], None] | None = None,
    default: Any = attrs.NOTHING,
) -> Any:
    """Return an attrs field that is a column of the declared table."""
    described = Column(unit=unit, doc=doc, effect=effect, control_only=control_only)
    metadata = {COLUMN_METADATA_KEY: described}
    return attrs.field(default=default, validator=validator, metadata=metadata)


def columns_of(row_class: type) -> dict[str, Column]:
    """Return the columns of a row class by name, in declaration order."""
    return {
        field.name: field.metadata[COLUMN_METADATA_KEY]
        for field in attrs.fields(row_class)
        if COLUMN_METADATA_KEY in field.metadata
    }
