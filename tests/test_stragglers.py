"""Stalled and slow runs are restarted, and minions whose runs all fail are avoided for a while."""

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


def observation(
    percent: int, since_ms: int, *, no_progress_ms: int = 0, typical_length_ms: int = 640
) -> RunObservation:
    return RunObservation(
        percent=percent,
        since_start_ms=since_ms,
        since_progress_ms=no_progress_ms,
        typical_ms=typical_length_ms,
    )


class TestStragglerKind:
    def test_a_run_without_progress_is_stalled(self):
        assert straggler_kind(observation(30, 2_000, no_progress_ms=800)) is StragglerKind.STALLED
        assert straggler_kind(observation(0, 750, no_progress_ms=750)) is StragglerKind.STALLED

    def test_a_run_that_has_just_begun_is_not_stalled(self):
        assert straggler_kind(observation(0, 300, no_progress_ms=300)) is None

    @pytest.mark.parametrize("factor", [4, 5, 6.5])
    def test_a_run_several_times_slower_than_typical_is_slow(self, factor):
        percent = int(100 * 600 / (640 * factor))
        assert straggler_kind(observation(percent, 600)) is StragglerKind.SLOW

    def test_a_run_that_is_almost_done_continues(self):
        assert straggler_kind(observation(80, 2_400)) is None

    def test_runs_whose_lengths_differ_by_half_are_no_stragglers(self):
        for percent in range(5, 100, 5):
            assert straggler_kind(observation(percent, int(640 * 1.6 * percent / 100))) is None

    def test_a_run_is_not_slow_while_the_typical_length_is_unknown(self):
        assert straggler_kind(observation(5, 5_000, typical_length_ms=0)) is None


class TestTypicalLength:
    def test_the_typical_length_is_the_median_of_runs_on_other_minions(self):
        slow = builders.run(key="0.0.0", minion="i-9", percent=10, started_ms=0)
        others = [
            builders.run(key=f"0.0.{n}", minion=f"i-{n}", percent=50 + n, started_ms=0)
            for n in range(1, 4)
        ]
        assert typical_run_ms([slow, *others], slow, 500) == 500 * 100 // 52
        assert typical_run_ms([slow], slow, 500) == 0


class TestFailures:
    def test_repeated_failures_of_one_job_make_no_minion_suspect(self):
        minion = builders.minion()
        assert not record_run_failure(minion, "a", 1_000)
        assert not record_run_failure(minion, "a", 2_000)
        assert minion.suspect_until_ms == 0

    def test_a_minion_that_fails_several_jobs_is_suspect_longer_each_time(self):
        minion = builders.minion()
        record_run_failure(minion, "a", 0)
        assert record_run_failure(minion, "b", 0)
        first_until_ms = minion.suspect_until_ms
        assert record_run_failure(minion, "c", first_until_ms)
        assert minion.suspect_until_ms - first_until_ms > first_until_ms
