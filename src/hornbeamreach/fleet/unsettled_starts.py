"""Starts of runs that an incarnation which nobody has heard of may have carried out."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

from hornbeamreach.tables.minions import ReservedRun

# Settled starts are recorded with other changes, and after this time by themselves.
RECORD_DELAY_MS = 200


@define(kw_only=True, eq=False)
class UnsettledStarts:
    """Number the starts of one fleet, and track which of them are settled.

    A start is settled once it is known which incarnation has it, once its run has ended, or once
    its minion is recorded as one that may have returned.
    """

    last_number: int
    # By number, in ascending order.
    unsettled: dict[int, ReservedRun] = field(factory=dict)
    recorded_through: int = 0
    # Since when a settled start is not recorded, on the local clock; 0 if all are.
    unrecorded_since_ms: int = 0

    def add(self, runs: Iterable[ReservedRun]) -> int:
        """Number the starts of runs and return the first number."""
        first_number = self.last_number + 1
        for run in runs:
            self.last_number += 1
            run.start_number = self.last_number
            self.unsettled[run.start_number] = run
        return first_number

    def inherit(self, runs: Iterable[ReservedRun]) -> None:
        """Take over starts that an earlier scheduler has not settled."""
        for run in sorted(runs, key=lambda run: run.start_number):
            self.unsettled[run.start_number] = run

    def settle(self, run: ReservedRun) -> None:
        """Note that a run's start is settled."""
        if self.unsettled.get(run.start_number) is run:
            del self.unsettled[run.start_number]

    @property
    def settled_through(self) -> int:
        """Return the number up to which all starts are settled."""
        return next(iter(self.unsettled), self.last_number + 1) - 1

    def is_due(self, now_ms: int) -> bool:
        """Return whether settled starts have waited long enough to be recorded by themselves."""
        if self.settled_through <= self.recorded_through:
            self.unrecorded_since_ms = 0
            return False
        self.unrecorded_since_ms = self.unrecorded_since_ms or now_ms
        return now_ms - self.unrecorded_since_ms >= RECORD_DELAY_MS
