"""Interface of a link to other processes, and the dispatch of its messages."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from attrs import define

from hornbeamreach.exceptions import InvalidInputError, NotLeaderError, RefusedError
from hornbeamreach.link.codec import wire_type
from hornbeamreach.verdict import Reason, Verdict

# A request with this term is accepted in any term.
ANY_TERM = -1
# A request with this term is accepted by no leader: it only asks which term to name.
NO_TERM = 0

Handler = Callable[[Any], Awaitable[Any]]


class Link(Protocol):
    """Exchange messages with other processes by address."""

    async def request(self, address: str, message: Any, *, timeout_ms: int) -> Any:
        """Send a request and return its reply.

        Raises PeerUnreachableError if nothing was sent, PeerTimeoutError if the request may have
        been sent but no reply came, RefusedError if the peer refused, and NotLeaderError if it
        redirects to the leader.
        """

    def notify(self, address: str, message: Any) -> None:
        """Send a message without a reply; drop it if the peer is unreachable."""


class HandlerTable:
    """Map message classes to their handlers."""

    def __init__(self) -> None:
        self.handlers: dict[type, Handler] = {}

    def on(self, message_class: type, handler: Handler) -> None:
        """Register the handler of a message class."""
        if message_class in self.handlers:
            raise InvalidInputError(f"{message_class.__name__} is handled twice")
        self.handlers[message_class] = handler

    async def handle(self, message: Any) -> Any:
        """Handle one message and return the reply, which may be a Refusal or Redirect."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return Refusal(
                reason=Reason.MALFORMED,
                detail=f"{type(message).__name__} is not handled here",
                verdict=Verdict.NOT_RUN,
            )
        try:
            return await handler(message)
        except RefusedError as exc:
            return Refusal.from_error(exc)
        except NotLeaderError as exc:
            return Redirect(leader=exc.leader, term=exc.term)


@wire_type("refusal")
@define(frozen=True, kw_only=True)
class Refusal:
    """Reply that the request is refused."""

    reason: Reason
    detail: str
    verdict: Verdict
    retry_after_ms: int | None = None

    @classmethod
    def from_error(cls, error: RefusedError) -> Refusal:
        """Build the message from the error."""
        return cls(
            reason=error.reason,
            detail=error.detail,
            verdict=error.verdict,
            retry_after_ms=error.retry_after_ms,
        )

    def to_error(self) -> RefusedError:
        """Build the error from the message."""
        return RefusedError(
            self.reason, self.detail, verdict=self.verdict, retry_after_ms=self.retry_after_ms
        )


@wire_type("redirect")
@define(frozen=True, kw_only=True)
class Redirect:
    """Reply that only the leader can serve the request, and name it if known."""

    leader: str | None
    # Term that the replica is in; 0 from an earlier build.
    term: int = 0


def unwrap_reply(reply: Any) -> Any:
    """Return a reply; raise RefusedError or NotLeaderError if it reports one."""
    if isinstance(reply, Refusal):
        raise reply.to_error()
    if isinstance(reply, Redirect):
        raise NotLeaderError(reply.leader, term=reply.term)
    return reply
