"""Requests to the control leader, with discovery of the leader and retries."""

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
from hornbeamreach.link.codec import DecodeError
from hornbeamreach.link.interface import Link
from hornbeamreach.logs import part_logger
from hornbeamreach.verdict import Verdict

log = part_logger("finder")

# A leader replies within tens of ms; with a slow disk or a lost packet it takes up to this.
ATTEMPT_TIMEOUT_MS = 600
RETRY_DELAY_MS = 60


class NoLeaderError(HornbeamreachError):
    """Report that no leader replied in time, and whether the request may have run."""

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        self.verdict = verdict
        super().__init__(message)


@define(frozen=True, kw_only=True)
class LeaderReply:
    """Hold the leader's reply; `repeated` is set if an earlier attempt may have run too."""

    reply: Any
    repeated: bool


@define(kw_only=True, eq=False)
class LeaderFinder:
    """Send idempotent requests to the leader, following the redirects of replicas."""

    link: Link
    clock: Clock
    replicas: list[str]
    leader: str = field(default="")
    last_reply_ms: int = field(default=-1)
    position: int = field(default=0)

    def add_replicas(self, replicas: list[str]) -> None:
        """Add replica addresses that are not known yet."""
        self.replicas += [address for address in replicas if address not in self.replicas]

    async def send_request(self, message: Any, *, timeout_ms: int) -> LeaderReply:
        """Send a request that may be repeated, and return the leader's reply.

        Raises NoLeaderError if no leader replied within `timeout_ms`, and RefusedError if the
        leader refused. The verdict of both holds for all attempts.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms
        may_have_run = False
        last_error = "no replica is known"
        while self.clock.now_ms() < deadline_ms:
            address = self.leader or self._next_replica()
            remaining_ms = deadline_ms - self.clock.now_ms()
            try:
                reply = await self.link.request(
                    address, message, timeout_ms=min(remaining_ms, ATTEMPT_TIMEOUT_MS)
                )
            except NotLeaderError as exc:
                self._update_leader(address, exc.leader)
                last_error = str(exc)
            except PeerUnreachableError as exc:
                self._update_leader(address, None)
                last_error = str(exc)
            except (PeerTimeoutError, DecodeError) as exc:
                may_have_run = True
                self._update_leader(address, None)
                last_error = str(exc)
            except RefusedError as exc:
                if exc.verdict is not Verdict.MAY_HAVE_RUN:
                    if may_have_run and exc.verdict is Verdict.NOT_RUN:
                        raise _after_lost_answer(exc) from exc
                    raise
                may_have_run = True
                self._update_leader(address, None)
                last_error = str(exc)
            else:
                self._record_reply(address)
                return LeaderReply(reply=reply, repeated=may_have_run)
            await trio.sleep(seconds(RETRY_DELAY_MS))
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
        raise NoLeaderError(last_error, verdict=verdict)

    def _record_reply(self, address: str) -> None:
        if address != self.leader:
            log.bind(leader=address, before=self.leader).info("leader found")
        self.leader = address
        self.last_reply_ms = self.clock.now_ms()

    def _update_leader(self, replica: str, redirect: str | None) -> None:
        if replica == self.leader and redirect != replica:
            log.bind(leader=replica, told=redirect or "").info("leader lost")
        self.leader = redirect if redirect and redirect != replica else ""
        if self.leader:
            self.add_replicas([self.leader])

    def _next_replica(self) -> str:
        self.position += 1
        return self.replicas[self.position % len(self.replicas)]


def _after_lost_answer(error: RefusedError) -> RefusedError:
    """Return a refusal whose verdict includes an earlier attempt that may have run."""
    return RefusedError(
        error.reason,
        error.detail,
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_ms=error.retry_after_ms,
    )
