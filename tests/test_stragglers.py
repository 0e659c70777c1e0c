"""Runs that stand still or are slow start anew; minions that fail everything rest."""

from __future__ import annotations

import pytest

from hornbeamreach.systems.stragglers import (
    RunObservation,
    StragglerKind,
    record_run_failure,
    straggler_kind,
    typical_run_ms,
)

from . import builders


def facts(percent: int, since_ms: int, *, still_ms: int = 0, typical: int = 640) -> RunObservation:
    return RunObservation(
        percent=percent, since_start_ms=since_ms, since_progress_ms=still_ms, typical_ms=typical
    )


class TestLag:
    def test_a_run_that_stands_still_is_stalled(self):
        assert straggler_kind(facts(30, 2_000, still_ms=800)) is StragglerKind.STALLED
        assert straggler_kind(facts(0, 750, still_ms=750)) is StragglerKind.STALLED

    def test_a_run_that_has_just_begun_is_not(self):
        assert straggler_kind(facts(0, 300, still_ms=300)) is None

    @pytest.mark.parametrize("factor", [4, 5, 6.5])
    def test_a_run_that_works_several_times_too_slowly_is_slow(self, factor):
        percent = int(100 * 600 / (640 * factor))
        assert straggler_kind(facts(percent, 600)) is StragglerKind.SLOW

    def test_a_run_that_is_almost_done_goes_on(self):
        assert straggler_kind(facts(80, 2_400)) is None

    def test_lengths_that_differ_by_half_are_no_reason(self):
        for percent in range(5, 100, 5):
            assert straggler_kind(facts(percent, int(640 * 1.6 * percent / 100))) is None

    def test_an_unknown_length_is_no_reason(self):
        assert straggler_kind(facts(5, 5_000, typical=0)) is None


class TestTypical:
    def test_the_middle_of_the_other_minions_runs_counts(self):
        slow = builders.run(key="0.0.0", minion="i-9", percent=10, started_ms=0)
        others = [
            builders.run(key=f"0.0.{n}", minion=f"i-{n}", percent=50 + n, started_ms=0)
            for n in range(1, 4)
        ]
        assert typical_run_ms([slow, *others], slow, 500) == 500 * 100 // 52
        assert typical_run_ms([slow], slow, 500) == 0


class TestFailures:
    def test_one_job_that_always_fails_makes_no_minion_suspect(self):
        minion = builders.minion()
        assert not record_run_failure(minion, "a", 1_000)
        assert not record_run_failure(minion, "a", 2_000)
        assert minion.suspect_until_ms == 0

    def test_a_minion_that_fails_several_jobs_rests_longer_each_time(self):
        minion = builders.minion()
        record_run_failure(minion, "a", 0)
        assert record_run_failure(minion, "b", 0)
        first = minion.suspect_until_ms
        assert record_run_failure(minion, "c", first)
        assert minion.suspect_until_ms - first > first
