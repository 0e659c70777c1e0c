"""Contact between the entry processes of one data centre."""

from __future__ import annotations

import contextlib

import trio
from attrs import define

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.authority import Authority, PeerContact
from hornbeamreach.entry.endpoints import endpoint_news, take_news
from hornbeamreach.entry.feed import ControlFeed
from hornbeamreach.entry.view import ControlView
from hornbeamreach.exceptions import LinkError, NotLeaderError, RefusedError
from hornbeamreach.link.interface import HandlerTable, Link
from hornbeamreach.link.messages import (
    FetchLog,
    LogPage,
    PeerHeartbeat,
    PeerStatus,
)
from hornbeamreach.systems.credits import assign_credits
from hornbeamreach.systems.endpoint_health import is_suspect
from hornbeamreach.tables.calls import CallTables
from hornbeamreach.tables.sessions import PEER_SESSION_TIMEOUT_MS

PEER_HEARTBEAT_MS = 500
PEER_TIMEOUT_MS = 1_000


@define(frozen=True, kw_only=True)
class HeardPeer:
    """Hold when a peer was last heard and whether it takes calls."""

    at_ms: int
    leaving: bool


class Peers:
    """Exchange heartbeats, announcements and missed log items with the peers."""

    def __init__(
        self,
        *,
        entry_id: str,
        peers: dict[str, str],
        authority: Authority,
        view: ControlView,
        feed: ControlFeed,
        calls: CallTables,
        link: Link,
        handlers: HandlerTable,
        clock: Clock,
    ) -> None:
        self.entry_id = entry_id
        self.others = {peer: address for peer, address in peers.items() if peer != entry_id}
        self.authority = authority
        self.view = view
        self.feed = feed
        self.calls = calls
        self.link = link
        self.clock = clock
        self.leaving = False
        # Up to when each peer has been told of announcements.
        self.told_ms: dict[str, int] = {}
        self.heard: dict[str, HeardPeer] = {}
        handlers.on(PeerHeartbeat, self._on_heartbeat)
        handlers.on(FetchLog, self._on_fetch_log)

    def live_entries(self) -> list[str]:
        """Return the processes of the data centre that take calls now, this one included."""
        now_ms = self.clock.now_ms()
        live = [
            peer
            for peer, heard in self.heard.items()
            if not heard.leaving and now_ms - heard.at_ms < PEER_SESSION_TIMEOUT_MS
        ]
        return sorted(live + ([] if self.leaving else [self.entry_id]))

    async def _on_heartbeat(self, message: PeerHeartbeat) -> PeerStatus:
        now_ms = self.clock.now_ms()
        self.heard[message.entry_id] = HeardPeer(at_ms=now_ms, leaving=message.leaving)
        take_news(self.calls, message.endpoints, now_ms)
        for endpoint in message.suspects:
            row = self.calls.endpoints.get(endpoint)
            if row is not None:
                row.peer_suspected_ms = now_ms
        self.refresh_credits()
        return PeerStatus(
            entry_id=self.entry_id,
            incarnation=self.authority.incarnation,
            applied_index=self.view.index(),
        )

    async def _on_fetch_log(self, message: FetchLog) -> LogPage:
        return self.view.page_from(message.from_index)

    def refresh_credits(self) -> None:
        """Split the endpoints' slots among the processes that take calls."""
        assign_credits(self.calls, self.live_entries(), self.entry_id)

    async def run(self) -> None:
        """Send heartbeats to every peer until cancelled."""
        async with trio.open_nursery() as nursery:
            for peer, address in self.others.items():
                nursery.start_soon(self._run_peer, peer, address)
            while True:
                self.refresh_credits()
                await trio.sleep(seconds(PEER_HEARTBEAT_MS))

    async def _run_peer(self, peer: str, address: str) -> None:
        while True:
            with contextlib.suppress(LinkError, RefusedError, NotLeaderError):
                await self._contact(peer, address)
            await trio.sleep(seconds(PEER_HEARTBEAT_MS))

    async def _contact(self, peer: str, address: str) -> None:
        asked_ms = self.clock.now_ms()
        message = PeerHeartbeat(
            entry_id=self.entry_id,
            incarnation=self.authority.incarnation,
            applied_index=self.view.index(),
            leaving=self.leaving,
            endpoints=endpoint_news(self.calls, self.told_ms.get(peer, 0), asked_ms),
            suspects=[row.id for row in self.calls.endpoints.values() if is_suspect(row)],
        )
        status = await self.link.request(address, message, timeout_ms=PEER_TIMEOUT_MS)
        self.told_ms[peer] = asked_ms
        self.authority.contacts[peer] = PeerContact(
            asked_ms=asked_ms, applied_index=status.applied_index
        )
        if status.applied_index > self.view.index():
            await self._fetch(address)

    async def _fetch(self, address: str) -> None:
        message = FetchLog(from_index=self.view.index())
        page = await self.link.request(address, message, timeout_ms=PEER_TIMEOUT_MS)
        self.view.take(page.items, page.state)
        self.feed.update_permits()
