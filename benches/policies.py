"""Compare the chosen policies with baselines, on both users' fleets under load and faults."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import fire
import matplotlib
from attrs import define, field
from loguru import logger

from benches import scenarios
from benches.workload import USERS
from hornbeamreach.settings import PolicySettings

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

BOUNDS_FILE = Path(__file__).resolve().parent / "bounds.toml"
OUTPUT = Path("bench-out")
SCENARIO_SECONDS = {
    "surges": 36.0,
    "full_load": 30.0,
    "rollout": 30.0,
    "brown_out": 20.0,
    "faults": 40.0,
}


@define(frozen=True, kw_only=True)
class Variant:
    """Name a set of policies, and the scenarios that it is limited to."""

    name: str
    mover: str = "payback"
    policy: PolicySettings = field(factory=PolicySettings)
    only_scenarios: tuple[str, ...] = ()


# The first variant has the chosen policies; the others are baselines.
VARIANTS = (
    Variant(name="chosen"),
    Variant(name="no moves", mover="none", only_scenarios=("surges",)),
    Variant(name="moves at once", mover="at_once", only_scenarios=("surges",)),
    Variant(
        name="first come", policy=PolicySettings(share="first_come"), only_scenarios=("full_load",)
    ),
    Variant(
        name="first fit",
        policy=PolicySettings(placement="first_fit"),
        only_scenarios=("surges", "faults"),
    ),
    Variant(
        name="round robin",
        policy=PolicySettings(routing="round_robin"),
        only_scenarios=("brown_out",),
    ),
)

# Names of bounds in the bounds file, by the figure that they limit.
BOUND_BY_FIGURE = {
    "violations": "violations",
    "urgent_entitled_wait_max_ms": "urgent_start_ms",
    "share_error_percent": "share_error_percent",
    "retry_amplification": "retry_amplification",
    "rollout_factor": "rollout_factor",
    "reports_unfinished": "reports_unfinished",
}


def load_bounds() -> dict[str, float]:
    """Read the bounds file."""
    return tomllib.loads(BOUNDS_FILE.read_text())


def missed_bounds(figures: dict[str, Any], bounds: dict[str, float]) -> list[str]:
    """Return a description of each figure above its bound."""
    return [
        f"{name} is {figures[name]}, above {bounds[bound]}"
        for name, bound in BOUND_BY_FIGURE.items()
        if name in figures and figures[name] > bounds[bound]
    ]


def run_one(
    user: str, scenario: str, variant: Variant, *, seconds: float, seed: int
) -> dict[str, Any]:
    """Run one scenario on one user's fleet with one variant of the policies."""
    return scenarios.run_scenario(
        user,
        getattr(scenarios, scenario),
        seconds=seconds,
        seed=seed,
        mover=variant.mover,
        policy=variant.policy,
    )


def plot(results: list[dict[str, Any]], path: Path) -> None:
    """Plot the bounded figures of the chosen policies, as percentages of their bounds."""
    bounds = load_bounds()
    names, percents = [], []
    for result in results:
        for figure, bound in BOUND_BY_FIGURE.items():
            value = result["figures"].get(figure)
            if result["variant"] == "chosen" and value is not None and bounds[bound]:
                names.append(f"{result['user']} {result['scenario']}\n{figure}")
                percents.append(100 * value / bounds[bound])
    figure, axes = plt.subplots(figsize=(10, 0.5 * len(names) + 1.5))
    axes.barh(names, percents, color="tab:blue")
    axes.axvline(100, color="tab:red", label="bound")
    axes.set_xlabel("percent of the bound")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main(as_json: bool = False, seed: int = 1, factor: float = 1.0) -> None:
    """Run all scenarios, print a table, and write JSON and a plot to bench-out.

    Args:
        as_json: print JSON instead of the table.
        seed: random seed of every run.
        factor: factor by which the scenarios' durations are scaled.
    """
    logger.remove()
    bounds = load_bounds()
    results: list[dict[str, Any]] = []
    for user in USERS:
        for scenario, seconds in SCENARIO_SECONDS.items():
            for variant in VARIANTS:
                if variant.only_scenarios and scenario not in variant.only_scenarios:
                    continue
                figures = run_one(user, scenario, variant, seconds=seconds * factor, seed=seed)
                missed = missed_bounds(figures, bounds)
                result = {
                    "user": user,
                    "scenario": scenario,
                    "variant": variant.name,
                    "figures": figures,
                    "missed": missed,
                }
                results.append(result)
                if not as_json:
                    _print_result(result)
    OUTPUT.mkdir(exist_ok=True)
    (OUTPUT / "policies.json").write_text(json.dumps(results, indent=1))
    plot(results, OUTPUT / "policies.png")
    if as_json:
        print(json.dumps(results, indent=1))


def _print_result(result: dict[str, Any]) -> None:
    print(f"{result['user']} / {result['scenario']} / {result['variant']}")
    for name, value in result["figures"].items():
        if value not in ([], {}):
            print(f"    {name}: {value}")
    for missed in result["missed"]:
        print(f"    MISSED: {missed}")


if __name__ == "__main__":
    fire.Fire(main)
