"""Measure what it costs in room, and spares other jobs, to isolate the suspects of a crash.

Replays a deadly job of two tasks in pools that are kept full, in virtual time. Run it with
`python -m benches.suspects`.
"""

from __future__ import annotations

import statistics

import fire
from attrs import define
from loguru import logger

from tests import builders
from tests.suspect_load import SuspectLoad

POOL_SIZES = (2, 3, 8, 24)
WARM_UP_MS = 2_000
DURATION_MS = 40_000
DEADLY_TASKS = 2


@define(frozen=True, kw_only=True)
class Variant:
    """Name one way to treat what crashed with a minion."""

    name: str
    counts_crashes: bool = True
    clears_neighbours: bool = False


# The first one is the plain baseline.
VARIANTS = (
    Variant(name="no isolation", counts_crashes=False),
    Variant(name="own job only"),
    Variant(name="own job only, neighbours cleared", clears_neighbours=True),
)


def replay(variant: Variant, minions: int, seed: int) -> dict[str, float]:
    """Replay one load and return its figures, times in ms and shares of 1."""
    load = SuspectLoad(
        minion_count=minions,
        seed=seed,
        counts_crashes=variant.counts_crashes,
        clears_neighbours=variant.clears_neighbours,
        checks_isolation=False,
        measures_room=True,
    )
    load.run(WARM_UP_MS)
    load.deadly_jobs.add(load.accept(builders.step(DEADLY_TASKS, estimate_ms=800)))
    load.run(DURATION_MS)
    return {
        "crashes": len(load.crashes),
        "others hit": load.neighbours_hit(),
        "closed ms a crash": load.closed_minion_ms / len(load.crashes),
        "closed share": load.closed_minion_ms / (minions * DURATION_MS),
        "free core ms a crash": load.unused_core_ms / len(load.crashes),
        "wait median": statistics.median(load.waits_ms or [0]),
        "wait max": max(load.waits_ms, default=0),
        "runs done": load.done_runs,
    }


def main(seeds: int = 6) -> None:
    """Print the mean figures of each variant and pool size, and the longest wait.

    Args:
        seeds: number of replays of each.
    """
    logger.remove()
    for minions in POOL_SIZES:
        for variant in VARIANTS:
            results = [replay(variant, minions, seed) for seed in range(1, seeds + 1)]
            figures = {
                name: statistics.mean(result[name] for result in results) for name in results[0]
            }
            figures["wait max"] = max(result["wait max"] for result in results)
            texts = [
                f"{name} {value:,.{3 if value < 1 else 0}f}" for name, value in figures.items()
            ]
            print(f"{minions:>3} minions, {variant.name}: {', '.join(texts)}")


if __name__ == "__main__":
    fire.Fire(main)
