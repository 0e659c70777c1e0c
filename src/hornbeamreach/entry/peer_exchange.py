"""Communication among the entry processes of one data centre."""

from __future__ import annotations

import contextlib

import trio
from attrs import define

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.announcements import apply_endpoint_updates, endpoint_updates
from hornbeamreach.entry.authority import Authority, PeerContact
from hornbeamreach.entry.control_session import ControlSession
from hornbeamreach.entry.replayed_state import ReplayedState
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

PEER_HEARTBEAT_INTERVAL_MS = 500
PEER_REQUEST_TIMEOUT_MS = 1_000


@define(frozen=True, kw_only=True)
class PeerState:
    """Store the time of a peer's last heartbeat, and whether the peer is shutting down."""

    last_heartbeat_ms: int
    leaving: bool


class PeerExchange:
    """Exchange heartbeats, announcements and missed log items with the peers."""

    def __init__(
        self,
        *,
        entry_id: str,
        peers: dict[str, str],
        authority: Authority,
        replayed_state: ReplayedState,
        control_session: ControlSession,
        call_tables: CallTables,
        link: Link,
        handlers: HandlerTable,
        clock: Clock,
    ) -> None:
        self.entry_id = entry_id
        self.other_peers = {peer: address for peer, address in peers.items() if peer != entry_id}
        self.authority = authority
        self.replayed_state = replayed_state
        self.control_session = control_session
        self.call_tables = call_tables
        self.link = link
        self.clock = clock
        self.leaving = False
        # Time up to which each peer has the announcements that this process received.
        self.updates_sent_until_ms: dict[str, int] = {}
        self.peer_states: dict[str, PeerState] = {}
        handlers.on(PeerHeartbeat, self._on_heartbeat)
        handlers.on(FetchLog, self._on_fetch_log)

    def live_entries(self) -> list[str]:
        """Return the ids of the live processes, including this one, except those that leave."""
        now_ms = self.clock.now_ms()
        live = [
            peer
            for peer, peer_state in self.peer_states.items()
            if not peer_state.leaving
            and now_ms - peer_state.last_heartbeat_ms < PEER_SESSION_TIMEOUT_MS
        ]
        return sorted(live + ([] if self.leaving else [self.entry_id]))

    async def _on_heartbeat(self, message: PeerHeartbeat) -> PeerStatus:
        now_ms = self.clock.now_ms()
        self.peer_states[message.entry_id] = PeerState(
            last_heartbeat_ms=now_ms, leaving=message.leaving
        )
        apply_endpoint_updates(self.call_tables, message.endpoints, now_ms)
        for endpoint in message.suspects:
            row = self.call_tables.endpoints.get(endpoint)
            if row is not None:
                row.peer_suspected_ms = now_ms
        self.refresh_credits()
        return PeerStatus(
            entry_id=self.entry_id,
            incarnation=self.authority.incarnation,
            applied_index=self.replayed_state.index(),
        )

    async def _on_fetch_log(self, message: FetchLog) -> LogPage:
        return self.replayed_state.page_from(message.from_index)

    def refresh_credits(self) -> None:
        """Set this process's share of every endpoint's slots."""
        assign_credits(self.call_tables, self.live_entries(), self.entry_id)

    async def run(self) -> None:
        """Send heartbeats to every peer and refresh the credits, until cancelled."""
        async with trio.open_nursery() as nursery:
            for peer, address in self.other_peers.items():
                nursery.start_soon(self._run_peer, peer, address)
            while True:
                self.refresh_credits()
                await trio.sleep(seconds(PEER_HEARTBEAT_INTERVAL_MS))

    async def _run_peer(self, peer: str, address: str) -> None:
        while True:
            with contextlib.suppress(LinkError, RefusedError, NotLeaderError):
                await self._send_heartbeat(peer, address)
            await trio.sleep(seconds(PEER_HEARTBEAT_INTERVAL_MS))

    async def _send_heartbeat(self, peer: str, address: str) -> None:
        sent_ms = self.clock.now_ms()
        message = PeerHeartbeat(
            entry_id=self.entry_id,
            incarnation=self.authority.incarnation,
            applied_index=self.replayed_state.index(),
            leaving=self.leaving,
            endpoints=endpoint_updates(
                self.call_tables, self.updates_sent_until_ms.get(peer, 0), sent_ms
            ),
            suspects=[row.id for row in self.call_tables.endpoints.values() if is_suspect(row)],
        )
        reply = await self.link.request(address, message, timeout_ms=PEER_REQUEST_TIMEOUT_MS)
        self.updates_sent_until_ms[peer] = sent_ms
        self.authority.contacts[peer] = PeerContact(
            sent_ms=sent_ms, applied_index=reply.applied_index
        )
        if reply.applied_index > self.replayed_state.index():
            await self._fetch_missed_items(address)

    async def _fetch_missed_items(self, address: str) -> None:
        message = FetchLog(from_index=self.replayed_state.index())
        page = await self.link.request(address, message, timeout_ms=PEER_REQUEST_TIMEOUT_MS)
        self.replayed_state.apply(page.items, page.state)
        self.control_session.update_permits()
