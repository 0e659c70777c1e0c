"""Deltas between two versions of a table, to send only what changed."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic, TypeVar

from attrs import define, field

T = TypeVar("T")


@define(frozen=True, kw_only=True)
class Delta(Generic[T]):
    """Hold the entries changed and the keys removed between two versions of a table."""

    changed: dict[str, T] = field(factory=dict)
    removed: list[str] = field(factory=list)


def compute_delta(before: Mapping[str, T], after: Mapping[str, T]) -> Delta[T]:
    """Return the delta that turns one table into another."""
    return Delta(
        changed={
            key: value for key, value in after.items() if key not in before or before[key] != value
        },
        removed=sorted(before.keys() - after.keys()),
    )


def apply_delta(table: Mapping[str, T], delta: Delta[T]) -> dict[str, T]:
    """Return a table with a delta applied."""
    merged = {key: value for key, value in table.items() if key not in delta.removed}
    merged.update(delta.changed)
    return merged
