"""Resource amounts of VMs and tasks."""

from __future__ import annotations

from attrs import define


@define(frozen=True, kw_only=True)
class Resources:
    """Hold amounts of processor, memory and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            cpu_millis=self.cpu_millis + other.cpu_millis,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Return a multiple."""
        return Resources(
            cpu_millis=self.cpu_millis * count,
            memory_mb=self.memory_mb * count,
            accelerators=self.accelerators * count,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference."""
        return Resources(
            cpu_millis=self.cpu_millis - other.cpu_millis,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def amounts(self) -> tuple[int, int, int]:
        """Return 1/1000 cores, MB and accelerators, as logs show them."""
        return self.cpu_millis, self.memory_mb, self.accelerators

    def fits_in(self, free: Resources) -> bool:
        """Return whether these amounts fit into the free ones."""
        return (
            self.cpu_millis <= free.cpu_millis
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def dominant_fraction(self, total: Resources) -> float:
        """Return the largest fraction of a total that any of these amounts takes."""
        # Called for every waiting step in a planning pass, so it builds no object.
        fraction = self.cpu_millis / total.cpu_millis if total.cpu_millis else 0.0
        if total.memory_mb:
            memory_fraction = self.memory_mb / total.memory_mb
            if memory_fraction > fraction:
                fraction = memory_fraction
        if total.accelerators:
            fraction = max(fraction, self.accelerators / total.accelerators)
        return fraction


NO_RESOURCES = Resources()
