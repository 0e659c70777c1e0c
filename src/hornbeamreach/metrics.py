"""Counters and gauges of one process, in Prometheus format."""

from __future__ import annotations

import aioprometheus

from hornbeamreach.verdict import Reason


class Metrics:
    """Hold the metrics of one process in a separate registry."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.refusals = self._counter(
            "hornbeamreach_refusals_total", "Refused requests by kind and reason."
        )
        self.retries = self._counter(
            "hornbeamreach_retries_total", "Retried attempts by kind and reason."
        )
        self.outcomes = self._counter(
            "hornbeamreach_outcomes_total", "Finished requests by kind and verdict."
        )
        self.events = self._counter("hornbeamreach_events_total", "Events by name.")
        self.gauges = aioprometheus.Gauge(
            "hornbeamreach_state", "Present sizes and indexes by name.", registry=self.registry
        )
        self.attainment = aioprometheus.Gauge(
            "hornbeamreach_team_attainment",
            "Share of full pools that a team used against what it was due, over 10 s.",
            registry=self.registry,
        )
        self.refusal_counts: dict[str, int] = {}
        self.retry_counts: dict[str, int] = {}

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self.registry)

    def refused(self, kind: str, reason: Reason) -> None:
        """Count a refusal under its reason."""
        self.refusals.inc({"kind": kind, "reason": reason.value})
        self.refusal_counts[reason.value] = self.refusal_counts.get(reason.value, 0) + 1

    def retried(self, kind: str, reason: Reason) -> None:
        """Count a retry under its reason."""
        self.retries.inc({"kind": kind, "reason": reason.value})
        self.retry_counts[reason.value] = self.retry_counts.get(reason.value, 0) + 1

    def finished(self, kind: str, verdict: str) -> None:
        """Count a finished request under its verdict."""
        self.outcomes.inc({"kind": kind, "verdict": verdict})

    def event(self, name: str) -> None:
        """Count an event."""
        self.events.inc({"name": name})

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value."""
        self.gauges.set({"name": name}, value)

    def set_attainment(self, ratios: dict[str, float]) -> None:
        """Set the attainment of these teams, and drop all other teams."""
        self.attainment.values.clear()
        for team, ratio in ratios.items():
            self.attainment.set({"team": team}, ratio)

    def render(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Render all metrics in a format of the Accept header; return the body and its headers."""
        return aioprometheus.render(self.registry, accepts)
