"""Requests to whichever control replica leads, sent again until it answers."""

from __future__ import annotations

from typing import Any

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.exceptions import (
    HornbeamreachError,
    NotLeaderError,
    PeerTimeoutError,
    PeerUnreachableError,
    RefusedError,
)
from hornbeamreach.link.interface import Link
from hornbeamreach.logs import part_logger
from hornbeamreach.verdict import Verdict

log = part_logger("finder")

# A leader answers within tens of ms; a slow disk or a lost packet takes up to this.
ATTEMPT_MS = 600
PAUSE_MS = 60


class NoLeaderError(HornbeamreachError):
    """Report that no leader answered in time, and whether the request may have been taken."""

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        self.verdict = verdict
        super().__init__(message)


@define(frozen=True, kw_only=True)
class FoundAnswer:
    """Hold the leader's answer; `repeated` if an earlier attempt may have been taken too."""

    reply: Any
    repeated: bool


@define(kw_only=True, eq=False)
class LeaderFinder:
    """Send idempotent requests to the leader, following what replicas tell."""

    link: Link
    clock: Clock
    replicas: list[str]
    leader: str = field(default="")
    answered_ms: int = field(default=-1)
    position: int = field(default=0)

    def learn(self, replicas: list[str]) -> None:
        """Remember replicas' addresses."""
        self.replicas += [address for address in replicas if address not in self.replicas]

    async def ask(self, message: Any, *, timeout_ms: int) -> FoundAnswer:
        """Return the leader's answer; raise NoLeaderError, or RefusedError as it refused.

        The request must be one that may be sent again.
        """
        ends_ms = self.clock.now_ms() + timeout_ms
        may_have_run = False
        why = "no replica is known"
        while self.clock.now_ms() < ends_ms:
            address = self.leader or self._next_replica()
            left_ms = ends_ms - self.clock.now_ms()
            try:
                reply = await self.link.request(
                    address, message, timeout_ms=min(left_ms, ATTEMPT_MS)
                )
            except NotLeaderError as exc:
                self._follow(address, exc.leader)
                why = str(exc)
            except PeerUnreachableError as exc:
                self._follow(address, None)
                why = str(exc)
            except PeerTimeoutError as exc:
                may_have_run = True
                self._follow(address, None)
                why = str(exc)
            except RefusedError as exc:
                if exc.verdict is not Verdict.MAY_HAVE_RUN:
                    raise
                may_have_run = True
                self._follow(address, None)
                why = str(exc)
            else:
                self._answered(address)
                return FoundAnswer(reply=reply, repeated=may_have_run)
            await trio.sleep(seconds(PAUSE_MS))
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
        raise NoLeaderError(why, verdict=verdict)

    def _answered(self, address: str) -> None:
        if address != self.leader:
            log.bind(leader=address, before=self.leader).info("leader found")
        self.leader = address
        self.answered_ms = self.clock.now_ms()

    def _follow(self, asked: str, told: str | None) -> None:
        if asked == self.leader and told != asked:
            log.bind(leader=asked, told=told or "").info("leader lost")
        self.leader = told if told and told != asked else ""
        if self.leader:
            self.learn([self.leader])

    def _next_replica(self) -> str:
        self.position += 1
        return self.replicas[self.position % len(self.replicas)]
