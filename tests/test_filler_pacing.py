"""Fillers stop at once when a serving task misses its latency target, and speed up in steps."""

from __future__ import annotations

import pytest

from hornbeamreach.systems.filler_pacing import (
    FULL_PACE_PERCENT,
    PacingInput,
    back_off,
    worst_latency_ratio,
)

from . import builders


def pacing_input(
    worst: float, *, pace: int = FULL_PACE_PERCENT, since_change_ms: int = 10_000
) -> PacingInput:
    return PacingInput(pace=pace, worst_ratio=worst, since_change_ms=since_change_ms)


class TestBackOff:
    @pytest.mark.parametrize("worst", [1.0, 1.5, 9.0])
    def test_a_tail_latency_at_or_over_its_target_stops_fillers_at_once(self, worst):
        assert back_off(pacing_input(worst, since_change_ms=0)) == 0

    def test_a_tail_latency_near_its_target_slows_fillers(self):
        assert back_off(pacing_input(0.9)) == 50

    def test_a_low_tail_latency_speeds_fillers_up_in_steps(self):
        assert back_off(pacing_input(0.2, pace=0)) == 25
        assert back_off(pacing_input(0.2, pace=90)) == FULL_PACE_PERCENT
        assert back_off(pacing_input(0.2, pace=0, since_change_ms=500)) == 0

    def test_the_pace_is_unchanged_between_the_thresholds(self):
        assert back_off(pacing_input(0.7, pace=50)) == 50

    def test_the_target_is_missed_for_three_polls_in_a_row_at_most(self):
        # Polls come once a second; the tail misses its target while fillers run above 30 %.
        pace, polls_over_target = FULL_PACE_PERCENT, 0
        for _ in range(20):
            worst = 1.3 if pace > 30 else 0.65
            polls_over_target = polls_over_target + 1 if worst >= 1 else 0
            assert polls_over_target <= 3
            pace = back_off(PacingInput(pace=pace, worst_ratio=worst, since_change_ms=1_000))


class TestWorstTail:
    def test_only_serving_tasks_with_a_latency_target_count(self):
        serving = builders.run(latency_target_ms=100, load_metric=80)
        filler = builders.run(filler=True, latency_target_ms=100, load_metric=900)
        without_target = builders.run(load_metric=900)
        assert worst_latency_ratio([serving, filler, without_target]) == 0.8
        assert worst_latency_ratio([]) == 0
