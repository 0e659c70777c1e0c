"""Fillers give way to tasks that serve, at once, and come back step by step."""

from __future__ import annotations

import pytest

from hornbeamreach.systems.filler_pacing import (
    FULL_PACE_PERCENT,
    PacingInput,
    back_off,
    worst_latency_ratio,
)

from . import builders


def facts(
    worst: float, *, pace: int = FULL_PACE_PERCENT, since_change_ms: int = 10_000
) -> PacingInput:
    return PacingInput(pace=pace, worst_ratio=worst, since_change_ms=since_change_ms)


class TestBackOff:
    @pytest.mark.parametrize("worst", [1.0, 1.5, 9.0])
    def test_a_tail_over_its_target_stops_fillers_at_once(self, worst):
        assert back_off(facts(worst, since_change_ms=0)) == 0

    def test_a_tail_near_its_target_slows_them(self):
        assert back_off(facts(0.9)) == 50

    def test_a_low_tail_speeds_them_up_step_by_step(self):
        assert back_off(facts(0.2, pace=0)) == 25
        assert back_off(facts(0.2, pace=90)) == FULL_PACE_PERCENT
        assert back_off(facts(0.2, pace=0, since_change_ms=500)) == 0

    def test_between_the_bounds_the_pace_stays(self):
        assert back_off(facts(0.7, pace=50)) == 50

    def test_a_burst_over_the_target_is_over_within_the_allowed_time(self):
        # Looks come once a second; the tail is over its target while fillers work above 30 %.
        pace, over = FULL_PACE_PERCENT, 0
        for _ in range(20):
            worst = 1.3 if pace > 30 else 0.65
            over = over + 1 if worst >= 1 else 0
            assert over <= 3
            pace = back_off(PacingInput(pace=pace, worst_ratio=worst, since_change_ms=1_000))


class TestWorstTail:
    def test_only_serving_tasks_with_a_target_count(self):
        serving = builders.run(latency_target_ms=100, load_metric=80)
        filler = builders.run(filler=True, latency_target_ms=100, load_metric=900)
        plain = builders.run(load_metric=900)
        assert worst_latency_ratio([serving, filler, plain]) == 0.8
        assert worst_latency_ratio([]) == 0
