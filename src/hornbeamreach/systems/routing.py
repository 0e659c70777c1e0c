"""Choose an endpoint for a call."""

from __future__ import annotations

import random
from collections.abc import Callable

from hornbeamreach.registry import Registry
from hornbeamreach.tables.calls import EndpointRow

# Lower bound of the latency, also used for endpoints that have not answered yet.
MIN_LATENCY_MS = 1.0

RoutingPolicy = Callable[[list[EndpointRow], random.Random], EndpointRow]
routing_policies: Registry[RoutingPolicy] = Registry("routing policy")


def weighted_load(row: EndpointRow) -> float:
    """Return the load of an endpoint, weighted by its latency."""
    return (row.running + 1) / max(row.credits, 1) * max(row.latency_ms, MIN_LATENCY_MS)


@routing_policies.register("least_loaded_of_two")
def least_loaded_of_two(rows: list[EndpointRow], rng: random.Random) -> EndpointRow:
    """Choose the less loaded of two random endpoints.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing".
    """
    if len(rows) == 1:
        return rows[0]
    return min(rng.sample(rows, 2), key=lambda row: (weighted_load(row), row.id))


@routing_policies.register("round_robin")
def round_robin(rows: list[EndpointRow], rng: random.Random) -> EndpointRow:
    """Choose the endpoint that got its last call the longest ago, as a baseline."""
    return min(rows, key=lambda row: (row.last_sent_ms, row.id))


@routing_policies.register("random")
def random_choice(rows: list[EndpointRow], rng: random.Random) -> EndpointRow:
    """Choose a random endpoint, as a baseline."""
    return rng.choice(rows)
