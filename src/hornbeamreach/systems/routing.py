"""Choosing an endpoint for a call."""

from __future__ import annotations

import random
from collections.abc import Callable

from hornbeamreach.registry import Registry
from hornbeamreach.tables.calls import EndpointRow

# Latency taken for an endpoint that has not answered yet, in milliseconds.
UNKNOWN_LATENCY_MS = 1.0

Routing = Callable[[list[EndpointRow], random.Random], EndpointRow]
routings: Registry[Routing] = Registry("routing policy")


def weighted_load(row: EndpointRow) -> float:
    """Return the load of an endpoint, weighted by how long it takes to answer."""
    return (row.running + 1) / max(row.credits, 1) * max(row.latency_ms, UNKNOWN_LATENCY_MS)


@routings.register("least_loaded_of_two")
def least_loaded_of_two(rows: list[EndpointRow], rng: random.Random) -> EndpointRow:
    """Take the less loaded of two endpoints drawn at random.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing".
    """
    if len(rows) == 1:
        return rows[0]
    return min(rng.sample(rows, 2), key=lambda row: (weighted_load(row), row.id))


@routings.register("round_robin")
def round_robin(rows: list[EndpointRow], rng: random.Random) -> EndpointRow:
    """Take the endpoint that has waited longest for a call, as a baseline."""
    return min(rows, key=lambda row: (row.last_sent_ms, row.id))


@routings.register("random")
def random_choice(rows: list[EndpointRow], rng: random.Random) -> EndpointRow:
    """Take any endpoint, as a baseline."""
    return rng.choice(rows)
