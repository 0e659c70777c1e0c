"""Short runs of the policy bench, compared with the bounds of its figures."""

from __future__ import annotations

import pytest

from benches.policies import VARIANTS, load_bounds, missed_bounds, run_one

DURATION_S = {"surges": 12.0, "full_load": 30.0, "rollout": 15.0, "brown_out": 8.0, "faults": 16.0}


@pytest.mark.parametrize("user", ["brettwerk", "lakeshore"])
@pytest.mark.parametrize("scenario", list(DURATION_S))
class TestPolicyBounds:
    def test_the_default_policies_keep_every_bound(self, user, scenario):
        figures = run_one(user, scenario, VARIANTS[0], seconds=DURATION_S[scenario], seed=1)
        assert missed_bounds(figures, load_bounds()) == [], figures


class TestMissedBounds:
    def test_a_figure_above_its_bound_is_reported(self):
        assert missed_bounds({"violations": 1}, load_bounds()) == ["violations is 1, above 0"]

    def test_the_baseline_share_policy_misses_the_share_bound(self):
        baseline = next(v for v in VARIANTS if v.name == "first come")
        figures = run_one("brettwerk", "full_load", baseline, seconds=15.0, seed=1)
        assert missed_bounds(figures, load_bounds())
