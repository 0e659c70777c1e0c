"""Runs that stand still or are slow start anew; minions that fail everything rest."""

from __future__ import annotations

import pytest

from hornbeamreach.systems.stragglers import Lag, RunFacts, lag_of, note_failure, typical_ms

from . import builders


def facts(percent: int, since_ms: int, *, still_ms: int = 0, typical: int = 640) -> RunFacts:
    return RunFacts(
        percent=percent, since_start_ms=since_ms, since_progress_ms=still_ms, typical_ms=typical
    )


class TestLag:
    def test_a_run_that_stands_still_is_stalled(self):
        assert lag_of(facts(30, 2_000, still_ms=800)) is Lag.STALLED
        assert lag_of(facts(0, 750, still_ms=750)) is Lag.STALLED

    def test_a_run_that_has_just_begun_is_not(self):
        assert lag_of(facts(0, 300, still_ms=300)) is None

    @pytest.mark.parametrize("factor", [4, 5, 6.5])
    def test_a_run_that_works_several_times_too_slowly_is_slow(self, factor):
        percent = int(100 * 600 / (640 * factor))
        assert lag_of(facts(percent, 600)) is Lag.SLOW

    def test_a_run_that_is_almost_done_goes_on(self):
        assert lag_of(facts(80, 2_400)) is None

    def test_lengths_that_differ_by_half_are_no_reason(self):
        for percent in range(5, 100, 5):
            assert lag_of(facts(percent, int(640 * 1.6 * percent / 100))) is None

    def test_an_unknown_length_is_no_reason(self):
        assert lag_of(facts(5, 5_000, typical=0)) is None


class TestTypical:
    def test_the_middle_of_the_other_minions_runs_counts(self):
        slow = builders.run(key="0.0.0", minion="i-9", percent=10, started_ms=0)
        others = [
            builders.run(key=f"0.0.{n}", minion=f"i-{n}", percent=50 + n, started_ms=0)
            for n in range(1, 4)
        ]
        assert typical_ms([slow, *others], slow, 500) == 500 * 100 // 52
        assert typical_ms([slow], slow, 500) == 0


class TestFailures:
    def test_one_job_that_always_fails_makes_no_minion_suspect(self):
        minion = builders.minion()
        assert not note_failure(minion, "a", 1_000)
        assert not note_failure(minion, "a", 2_000)
        assert minion.suspect_until_ms == 0

    def test_a_minion_that_fails_several_jobs_rests_longer_each_time(self):
        minion = builders.minion()
        note_failure(minion, "a", 0)
        assert note_failure(minion, "b", 0)
        first = minion.suspect_until_ms
        assert note_failure(minion, "c", first)
        assert minion.suspect_until_ms - first > first
