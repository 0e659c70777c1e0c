"""Operators' requests that wait for their commit, to which a busy loop gives precedence."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import attrs
import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.systems.overload import Effort

# A planning pass of a busy loop waits this long for an operator's request: less than the 900 ms
# after which the request is sent again.
MAX_PLANNING_PAUSE_MS = 300


@define(kw_only=True, eq=False)
class OperatorRequests:
    """Count the requests under way during one scheduler's term."""

    count: int = 0
    served: trio.Event = field(factory=trio.Event)

    @contextlib.contextmanager
    def under_way(self) -> Iterator[None]:
        """Count a request until it is answered."""
        if not self.count:
            self.served = trio.Event()
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self.served.set()

    def limit(self, effort: Effort) -> Effort:
        """Return the effort of a busy loop without what can wait for a request under way."""
        if not self.count or effort == Effort():
            return effort
        return attrs.evolve(effort, urgent_polls_only=True, moves=False)

    async def wait_until_served(self, effort: Effort) -> None:
        """Wait until a busy loop has no request under way, for a limited time."""
        if self.count and effort != Effort():
            with trio.move_on_after(seconds(MAX_PLANNING_PAUSE_MS)):
                await self.served.wait()
