"""Requests to the control leader, with discovery of the leader and retries."""

from __future__ import annotations

from typing import Any

import attrs
import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.exceptions import (
    NotLeaderError,
    PeerTimeoutError,
    PeerUnreachableError,
    RefusedError,
)
from hornbeamreach.link.codec import DecodeError
from hornbeamreach.link.interface import ANY_TERM, NO_TERM, Link
from hornbeamreach.link.pending_request import (
    Attempt,
    LeaderReply,
    NoLeaderError,
    PendingRequest,
    leader_term_of,
)
from hornbeamreach.logs import part_logger
from hornbeamreach.verdict import Verdict

log = part_logger("finder")

# A leader replies within tens of ms; with a slow disk or a lost packet it takes up to this. After
# that the next replica is asked, while a late answer still counts. A leader that is only slow gets
# the request once: repeats would make it slower for all callers.
ATTEMPT_TIMEOUT_MS = 600
RETRY_DELAY_MS = 60
# Elections take up to 2 s. Without a leader for longer than this, control has no majority, and a
# request of which nothing was sent need not wait for its deadline.
ELECTION_MS = 2_200

__all__ = ["LeaderFinder", "LeaderReply", "NoLeaderError"]


@define(kw_only=True, eq=False)
class LeaderFinder:
    """Send idempotent requests to the leader, following the redirects of replicas."""

    link: Link
    clock: Clock
    replicas: list[str]
    leader: str = field(default="")
    # Highest term heard of; `leader` leads in it as far as known.
    term: int = field(default=NO_TERM)
    last_reply_ms: int = field(default=-1)
    # Since when no leader replies; -1 while one does.
    leaderless_since_ms: int = field(default=-1)
    position: int = field(default=0)
    # Replicas that have named their term, and so compare it with that of a request.
    term_checkers: set[str] = field(factory=set)

    def add_replicas(self, replicas: list[str]) -> None:
        """Add replica addresses that are not known yet."""
        self.replicas += [address for address in replicas if address not in self.replicas]

    async def send_request(
        self, message: Any, *, timeout_ms: int, any_replica: bool = False
    ) -> LeaderReply:
        """Send a request that may be repeated, and return the leader's reply.

        With `any_replica`, a reply does not show that its sender leads. Raises NoLeaderError if no
        leader replied within `timeout_ms`, or none will, and RefusedError if the leader refused.
        The verdict of both holds for all attempts.
        """
        request = PendingRequest(message=message)
        began_ms = self.clock.now_ms()
        async with trio.open_nursery() as nursery:
            while not request.settled and request.refusal is None:
                now_ms = self.clock.now_ms()
                remaining_ms = began_ms + timeout_ms - now_ms
                if remaining_ms <= 0 or self._is_hopeless(request, began_ms, now_ms):
                    break
                address = self.leader or self._next_replica(request)
                term = self._checked_term(message, address)
                attempt = request.open_attempt(address, term)
                if attempt is None:
                    attempt = request.start(address, term)
                    copy = self._bind(message, address)
                    nursery.start_soon(
                        self._send, request, attempt, copy, remaining_ms, any_replica
                    )
                with trio.move_on_after(seconds(min(remaining_ms, ATTEMPT_TIMEOUT_MS))):
                    await attempt.ended.wait()
                if not attempt.ended.is_set():
                    self._lose_leader(address)
                if not request.settled and request.refusal is None and not attempt.redirected:
                    await trio.sleep(seconds(RETRY_DELAY_MS))
            # Open attempts end by the deadline at the latest, and tell whether they were sent.
            while not request.settled and (open_attempts := request.open_attempts()):
                await open_attempts[0].ended.wait()
            nursery.cancel_scope.cancel()
        return request.outcome()

    def update_leader(self, leader: str, term: int) -> bool:
        """Take over who leads in which term from a replica; return whether that was news."""
        is_outdated = bool(self.leader) and 0 < term < self.term
        if not leader or is_outdated or (leader, term or self.term) == (self.leader, self.term):
            return False
        self.leader, self.term = leader, term or self.term
        self.add_replicas([leader])
        return True

    def _is_hopeless(self, request: PendingRequest, began_ms: int, now_ms: int) -> bool:
        """Return whether nothing was sent and no leader will be found in time."""
        if self.leaderless_since_ms < 0 or request.uncertain:
            return False
        give_up_ms = max(self.leaderless_since_ms + ELECTION_MS, began_ms + ATTEMPT_TIMEOUT_MS)
        return now_ms >= give_up_ms

    def _named_term(self, address: str) -> int:
        return self.term if address == self.leader else NO_TERM

    def _checked_term(self, message: Any, address: str) -> int:
        """Return the only term in which the replica carries out the message, or ANY_TERM."""
        is_checked = leader_term_of(message) != ANY_TERM and address in self.term_checkers
        return self._named_term(address) if is_checked else ANY_TERM

    def _bind(self, message: Any, address: str) -> Any:
        if leader_term_of(message) == ANY_TERM:
            return message
        return attrs.evolve(message, leader_term=self._named_term(address))

    async def _send(
        self,
        request: PendingRequest,
        attempt: Attempt,
        message: Any,
        timeout_ms: int,
        any_replica: bool,
    ) -> None:
        address = attempt.address
        try:
            reply = await self.link.request(address, message, timeout_ms=timeout_ms)
        except NotLeaderError as exc:
            attempt.redirected = self._follow_redirect(address, exc)
            request.discard(attempt, str(exc))
        except PeerUnreachableError as exc:
            self._lose_leader(address)
            request.discard(attempt, str(exc))
        except (PeerTimeoutError, DecodeError) as exc:
            self._lose_leader(address)
            request.lose(attempt, str(exc))
        except RefusedError as exc:
            if exc.verdict is Verdict.MAY_HAVE_RUN:
                self._lose_leader(address)
                request.lose(attempt, str(exc))
            else:
                request.refuse(attempt, exc)
        else:
            self._record_reply(address, reply, any_replica)
            request.answer(attempt, reply)

    def _record_reply(self, address: str, reply: Any, any_replica: bool) -> None:
        self.last_reply_ms = self.clock.now_ms()
        term = getattr(reply, "term", NO_TERM)
        if term:
            self.term_checkers.add(address)
        if any_replica:
            if getattr(reply, "leader", "") == address:
                self.leaderless_since_ms = -1
            return
        if address != self.leader:
            log.bind(leader=address, before=self.leader).info("leader found")
        self.leader = address
        self.term = max(self.term, term)
        self.leaderless_since_ms = -1

    def _follow_redirect(self, replica: str, redirect: NotLeaderError) -> bool:
        """Take over the leader that a replica names; return whether that was news."""
        if redirect.term:
            self.term_checkers.add(replica)
        else:
            self.term_checkers.discard(replica)
        is_itself = redirect.leader == replica
        if replica == self.leader and (not is_itself or redirect.term in (NO_TERM, self.term)):
            # Not leading any more, or not ready yet: another replica may know a newer leader.
            self._lose_leader(replica)
            if is_itself:
                return False
        elif is_itself and redirect.term:
            self.leader = ""
        is_news = self.update_leader(redirect.leader or "", redirect.term)
        if not self.leader:
            self._lose_leader(replica)
        return is_news

    def _lose_leader(self, replica: str) -> None:
        if self.leaderless_since_ms < 0 and replica == (self.leader or replica):
            self.leaderless_since_ms = self.clock.now_ms()
        if replica == self.leader:
            log.bind(leader=replica).info("leader lost")
            self.leader = ""

    def _next_replica(self, request: PendingRequest) -> str:
        """Return the next replica in turn, one that has not been asked in vain if there is one."""
        waiting = {attempt.address for attempt in request.open_attempts()}
        for _ in self.replicas:
            self.position += 1
            address = self.replicas[self.position % len(self.replicas)]
            if address not in waiting:
                break
        return address
