"""Decide when a VM that the platform no longer lists is gone for good.

Load pattern: VMs crash and come back seconds later, are added and are lost while waves name them.
A list is as old as its request, and leaves out a VM that is between two of its incarnations.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from hornbeamreach.registry import Registry

# Longer than a crashed VM needs to come back.
MIN_ABSENCE_MS = 10_000
MIN_LISTS = 3


@define(frozen=True, kw_only=True)
class Absence:
    """Describe the lists that a VM has been missing from without a break."""

    # When the first and the latest of them were requested, on the local clock.
    since_ms: int
    until_ms: int
    lists: int


# Returns whether a VM is gone for good.
AbsenceRule = Callable[[Absence], bool]
absence_rules: Registry[AbsenceRule] = Registry("absence rule")


@absence_rules.register("one_list")
def one_list(absence: Absence) -> bool:
    """Take any list for the whole truth, as a baseline."""
    return True


@absence_rules.register("lists_over_time")
def lists_over_time(absence: Absence) -> bool:
    """Wait until several lists, over more time than a return takes, don't name the VM."""
    age_ms = absence.until_ms - absence.since_ms
    return absence.lists >= MIN_LISTS and age_ms >= MIN_ABSENCE_MS
