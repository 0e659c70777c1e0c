"""Settings of Python's garbage collector for processes that run for long."""

from __future__ import annotations

import gc

# Container objects that are allocated before a collection of the youngest generation, a few MB of
# them, and collections of one generation before one of the next. With Python's defaults a leader
# with some thousand runs spends up to 100 ms at a time in collections of the oldest generation.
YOUNG_ALLOCATIONS = 20_000
YOUNG_COLLECTIONS = 20
MIDDLE_COLLECTIONS = 100


def collect_garbage_rarely() -> None:
    """Exempt what the imports have created from collections, and collect the rest less often.

    Call it once the modules of the process are imported. Almost all objects are freed by their
    reference counts; only cycles wait for the collector.
    """
    gc.enable()
    gc.freeze()
    gc.set_threshold(YOUNG_ALLOCATIONS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
