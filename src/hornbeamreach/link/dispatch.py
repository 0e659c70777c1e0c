"""Dispatch of the messages that one peer sends: notifications in order, requests concurrently.

The task that reads from the connection also runs the handlers. When a handler waits for the first
time, another task takes over the reading, so a request costs a task only if its handler waits. A
kind of request that waited the last time gets a task at once: handing the reading over takes a pass
of the event loop, which requests that have come together would spend one after another.
"""

from __future__ import annotations

import contextlib
import types
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from typing import Any

import trio
from websockets.exceptions import InvalidState

from hornbeamreach.link.codec import DecodeError, from_tagged, wire_name
from hornbeamreach.link.connection import Connection
from hornbeamreach.link.frames import NOTIFY, REPLY, decode_frame, encode_frame
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.logs import part_logger

log = part_logger("link")

MAX_CONCURRENT_REQUESTS = 4_096
# While a notification is being handled, reading pauses from this number of messages behind it, and
# goes on below a quarter of it.
MAX_QUEUED_MESSAGES = 16
# A task that handles many messages without waiting lets others run after this number.
MESSAGES_PER_TURN = 32


@types.coroutine
def run_observed(
    coroutine: Coroutine[Any, Any, Any], on_first_wait: Callable[[], None]
) -> Generator[Any, Any, Any]:
    """Run a coroutine in the current task; call `on_first_wait` when it first gives up control.

    What the coroutine yields goes to the event loop unchanged, so that its cancel scopes and
    nurseries belong to the task as if the task had awaited it.
    """
    try:
        trap = coroutine.send(None)
        on_first_wait()
        while True:
            try:
                result = yield trap
            except BaseException as exc:
                trap = coroutine.throw(exc)
            else:
                trap = coroutine.send(result)
    except StopIteration as stop:
        return stop.value


class Dispatcher:
    """Read the messages of one connection and run their handlers until it ends."""

    def __init__(self, connection: Connection, handlers: HandlerTable) -> None:
        self.connection = connection
        self.handlers = handlers
        self.nursery: trio.Nursery
        # Received messages that are not handled yet.
        self.inbox: deque[bytes | str] = deque()
        self.inbox_drained = trio.Event()
        # A notification is being handled; what follows it waits.
        self.is_notifying = False
        self.running_requests = 0
        # Messages whose handlers waited the last time.
        self.waiting_types: set[type] = set()
        # Requests above the limit of concurrent ones.
        self.held_requests: deque[tuple[int, Any]] = deque()
        self.is_at_end = False

    async def run(self) -> None:
        """Serve the peer until the connection ends; requests that run then are cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.connection.start(nursery)
            await self._work(reads=True)

    async def _work(self, reads: bool) -> None:
        """Handle what has been received, and then read on if that is this task's part."""
        turn = _Turn(self, reads)
        handled = 0
        while True:
            while self.inbox and not self.is_notifying and turn.dispatches:
                await self._handle_next(turn)
                handled += 1
                if handled % MESSAGES_PER_TURN == 0:
                    await trio.lowlevel.cancel_shielded_checkpoint()
            if not turn.reads:
                break
            if self.is_notifying and len(self.inbox) >= MAX_QUEUED_MESSAGES:
                self.inbox_drained = trio.Event()
                await self.inbox_drained.wait()
                continue
            messages = await self.connection.receive()
            if messages is None:
                self.is_at_end = True
                break
            self.inbox += messages
        if self.is_at_end and not self.inbox and not self.is_notifying:
            self.nursery.cancel_scope.cancel()

    async def _handle_next(self, turn: _Turn) -> None:
        data = self.inbox.popleft()
        if len(self.inbox) < MAX_QUEUED_MESSAGES // 4:
            self.inbox_drained.set()
        try:
            kind, number, tagged = decode_frame(data)
        except DecodeError as exc:
            log.warning("malformed frame ignored: {}", exc)
            return
        try:
            message = from_tagged(tagged)
        except DecodeError as exc:
            name = "message" if kind == NOTIFY else "request"
            log.warning("undecodable {} ignored: {}", name, exc)
            return
        if kind == NOTIFY:
            # Handled in order: a later message must not overtake an earlier one.
            self.is_notifying = True
            try:
                await run_observed(self._handle_notification(message), turn.pass_reading)
            finally:
                self.is_notifying = False
        elif self.running_requests >= MAX_CONCURRENT_REQUESTS:
            self.held_requests.append((number, message))
        else:
            self.running_requests += 1
            if type(message) in self.waiting_types:
                self.nursery.start_soon(self._observe_request, number, message, _do_nothing)
            else:
                await self._observe_request(number, message, turn.pass_all)

    def start_worker(self, *, reads: bool) -> None:
        """Start a task that goes on with the inbox."""
        self.nursery.start_soon(self._work, reads)

    async def _handle_notification(self, message: Any) -> None:
        try:
            await self.handlers.handle(message)
        except DecodeError as exc:
            log.warning("undecodable message ignored: {}", exc)
        except Exception as exc:
            log.bind(message=wire_name(message)).error("message not handled: {!r}", exc)

    async def _observe_request(
        self, number: int, message: Any, on_first_wait: Callable[[], None]
    ) -> None:
        """Serve a request, and note whether its handler waits."""

        def note_wait() -> None:
            self.waiting_types.add(type(message))
            on_first_wait()

        self.waiting_types.discard(type(message))
        await run_observed(self._serve_requests(number, message), note_wait)

    async def _serve_requests(self, number: int, message: Any) -> None:
        """Serve a request, and then those that were held until one ended."""
        try:
            await self._serve_request(number, message)
            while self.held_requests:
                await self._serve_request(*self.held_requests.popleft())
        finally:
            self.running_requests -= 1

    async def _serve_request(self, number: int, message: Any) -> None:
        try:
            reply = await self.handlers.handle(message)
            frame = encode_frame(REPLY, number, reply)
        except DecodeError as exc:
            log.warning("undecodable request ignored: {}", exc)
            return
        except Exception as exc:
            # Without a reply the sender takes the request as one that may have run.
            log.bind(message=wire_name(message)).error("request not handled: {!r}", exc)
            return
        with contextlib.suppress(InvalidState):
            await self.connection.send(frame)


def _do_nothing() -> None:
    pass


class _Turn:
    """Hold which parts of the work one task still does."""

    __slots__ = ("dispatcher", "reads", "dispatches")

    def __init__(self, dispatcher: Dispatcher, reads: bool) -> None:
        self.dispatcher = dispatcher
        self.reads = reads
        self.dispatches = True

    def pass_reading(self) -> None:
        """Let another task read on while this one goes on with the messages after its handler."""
        if self.reads:
            self.reads = False
            self.dispatcher.start_worker(reads=True)

    def pass_all(self) -> None:
        """Let another task do all that follows this one's handler."""
        self.dispatches = False
        # At the end of the connection, a worker that finds nothing to do cancels the requests.
        if self.reads or self.dispatcher.inbox or self.dispatcher.is_at_end:
            self.dispatcher.start_worker(reads=self.reads)
        self.reads = False
