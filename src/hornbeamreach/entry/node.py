"""An entry process: its tables, services and connections."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.disk import Disk
from hornbeamreach.entry.authority import Authority
from hornbeamreach.entry.call_records import FINAL_CALL_STATES, CallRecords
from hornbeamreach.entry.call_service import CallService
from hornbeamreach.entry.control_session import ControlSession
from hornbeamreach.entry.endpoint_client import EndpointClient
from hornbeamreach.entry.forwarding import Forwarder
from hornbeamreach.entry.history import History
from hornbeamreach.entry.http_api import EntryApi
from hornbeamreach.entry.identifiers import new_token
from hornbeamreach.entry.job_records import FINAL_STATE_NAMES
from hornbeamreach.entry.job_scheduler import JobScheduler
from hornbeamreach.entry.job_service import JobService
from hornbeamreach.entry.peer_exchange import PeerExchange
from hornbeamreach.entry.replayed_state import ReplayedState
from hornbeamreach.entry.scheduler_lease import SchedulerLease
from hornbeamreach.entry.worker_platform import WorkerPlatform
from hornbeamreach.link.interface import HandlerTable, Link
from hornbeamreach.metrics import Metrics
from hornbeamreach.records.acceptor import Acceptor
from hornbeamreach.records.groups import RecordGroups
from hornbeamreach.records.store import RecordStore
from hornbeamreach.settings import EntrySettings
from hornbeamreach.systems.fair_share import share_policies
from hornbeamreach.systems.routing import routing_policies
from hornbeamreach.systems.worker_placement import worker_placement_policies
from hornbeamreach.tables.calls import CallTables
from hornbeamreach.tables.control_state import VmPhase
from hornbeamreach.tables.permits import PermitTable

# The load balancer notices within this time that a process is no longer ready.
READINESS_PROPAGATION_MS = 1_000


class EntryNode:
    """Connect the parts of one entry process."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        platform: WorkerPlatform,
        link: Link,
        handlers: HandlerTable,
        clock: Clock,
        rng: random.Random,
        disk: Disk | None = None,
        new_client: Callable[..., EndpointClient] = EndpointClient,
    ) -> None:
        self.new_client = new_client
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.metrics = Metrics()
        self.history = History()
        self.leaving = False
        process = settings.process
        incarnation = self._new_incarnation()
        self.replayed_state = ReplayedState()
        self.permits = PermitTable()
        self.call_tables = CallTables()
        self.authority = Authority(
            entry_id=process.id, incarnation=incarnation, peer_count=len(settings.peers)
        )
        self.control_session = ControlSession(
            authority=self.authority,
            replayed_state=self.replayed_state,
            permits=self.permits,
            address=process.link_address,
            data_center=process.data_center,
            replicas=settings.control,
            link=link,
            clock=clock,
            metrics=self.metrics,
            new_incarnation=self._new_incarnation,
        )
        self.peer_exchange = PeerExchange(
            entry_id=process.id,
            peers=settings.peers,
            authority=self.authority,
            replayed_state=self.replayed_state,
            control_session=self.control_session,
            call_tables=self.call_tables,
            link=link,
            handlers=handlers,
            clock=clock,
        )
        self.record_groups = RecordGroups(handlers=handlers)
        members = {**settings.peers, **settings.witness}
        self.store = self._build_store(
            process.data_center, members, link, incarnation, Acceptor(disk=disk)
        )
        for group, members in settings.witness_of.items():
            self._build_store(group, members, link, incarnation, Acceptor())
        self.calls = self._build_calls()
        self.jobs = JobService(
            data_center=process.data_center,
            peers=settings.peers,
            replayed_state=self.replayed_state,
            store=self.store,
            link=link,
            clock=clock,
            rng=rng,
            retention_ms=settings.record_retention_ms,
        )
        self.scheduler = self._build_scheduler(platform, handlers)
        self.control_session.busy_vms = self.busy_vms
        self.control_session.idle_vms = self.scheduler.idle_vms
        self.control_session.pool_loads = self.scheduler.pool_loads
        self.forwarder = Forwarder(
            data_center=process.data_center,
            remote_entries=settings.remote,
            replayed_state=self.replayed_state,
            control_session=self.control_session,
            calls=self.calls,
            jobs=self.jobs,
            history=self.history,
            link=link,
            handlers=handlers,
            rng=rng,
            peers={peer: address for peer, address in settings.peers.items() if peer != process.id},
        )
        self.api = EntryApi(node=self)

    def _build_store(
        self,
        group: str,
        members: dict[str, str],
        link: Link,
        incarnation: str,
        acceptor: Acceptor,
    ) -> RecordStore:
        entry_id = self.settings.process.id
        store = RecordStore(
            group=group,
            process=f"{entry_id}/{incarnation}",
            entry_id=entry_id,
            peers=members,
            acceptor=acceptor,
            link=link,
            clock=self.clock,
            rng=self.rng,
            metrics=self.metrics,
            retention_ms=self.settings.record_retention_ms,
            final_states=FINAL_CALL_STATES | FINAL_STATE_NAMES,
        )
        self.record_groups.add(store)
        return store

    def _new_incarnation(self) -> str:
        return new_token(self.rng)

    def _build_calls(self) -> CallService:
        settings = self.settings
        return CallService(
            tables=self.call_tables,
            permits=self.permits,
            replayed_state=self.replayed_state,
            authority=self.authority,
            records=CallRecords(
                store=self.store, clock=self.clock, retention_ms=settings.record_retention_ms
            ),
            routing=routing_policies.get(settings.policy.routing),
            clock=self.clock,
            rng=self.rng,
            metrics=self.metrics,
            history=self.history,
            max_answer_bytes=settings.limits.max_answer_bytes,
            new_client=self.new_client,
        )

    def _build_scheduler(self, platform: WorkerPlatform, handlers: HandlerTable) -> JobScheduler:
        settings = self.settings
        return JobScheduler(
            process=self.store.process,
            data_center=settings.process.data_center,
            replayed_state=self.replayed_state,
            authority=self.authority,
            permits=self.permits,
            control_session=self.control_session,
            store=self.store,
            lease=SchedulerLease(process=self.store.process, store=self.store, clock=self.clock),
            platform=platform,
            handlers=handlers,
            share=share_policies.get(settings.policy.share),
            placement=worker_placement_policies.get(settings.policy.placement),
            clock=self.clock,
            rng=self.rng,
            metrics=self.metrics,
            history=self.history,
        )

    # Status

    def is_serving(self) -> bool:
        """Return whether the current table has been received since the start."""
        return self.authority.renewed_ms is not None

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        if self.leaving or not self.is_serving() or not self.store.is_history_complete():
            return False
        now_ms = self.clock.now_ms()
        state = self.replayed_state.state
        teams = state.table.teams
        if not teams:
            return self.authority.in_session(now_ms)
        return any(self.authority.may_act(state, team, now_ms) for team in teams)

    def busy_vms(self) -> dict[str, int]:
        """Count the running calls and tasks on each VM that is being drained."""
        counts = self.scheduler.busy_vms()
        for row in self.call_tables.endpoints.values():
            draining = self.replayed_state.state.vm_state(row.vm).phase is VmPhase.DRAINING
            if row.running and draining:
                counts[row.vm] = counts.get(row.vm, 0) + row.running
        return counts

    def describe(self) -> dict[str, Any]:
        """Return the process's status as plain data."""
        now_ms = self.clock.now_ms()
        return {
            "entry": self.settings.process.id,
            "data_center": self.settings.process.data_center,
            "ready": self.is_ready(),
            "in_session": self.authority.in_session(now_ms),
            "applied_index": self.replayed_state.index(),
            "version": self.replayed_state.state.version,
            "schedules": self.scheduler.lease.is_held(),
            "votes_on_records": self.store.acceptor.voting,
            "live_entries": self.peer_exchange.live_entries(),
            "calls": len(self.call_tables.calls),
            "jobs": len(self.scheduler.tables.jobs),
            "permits": {
                team: {"slice": size, "in_use": self.permits.in_use.get(team, 0)}
                for team, size in self.permits.slices.items()
            },
            "endpoints": {
                row.id: {
                    "service": row.service,
                    "health": row.health.value,
                    "running": row.running,
                    "credits": row.credits,
                    "leaving": row.leaving,
                    "heard_ms_ago": now_ms - row.last_announcement_ms,
                }
                for row in self.call_tables.endpoints.values()
            },
            "refusals": self.metrics.refusal_counts,
            "retries": self.metrics.retry_counts,
        }

    def update_gauges(self) -> None:
        """Set the gauges to the current sizes."""
        gauges = {
            "entry_applied_index": self.replayed_state.index(),
            "entry_calls": len(self.call_tables.calls),
            "entry_endpoints": len(self.call_tables.endpoints),
            "entry_records": len(self.store.acceptor.records),
            "entry_jobs": len(self.scheduler.tables.jobs),
            "entry_ready": int(self.is_ready()),
        }
        for name, value in gauges.items():
            self.metrics.gauge(name, value)

    # Running

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Run every part until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.control_session.run)
            nursery.start_soon(self.peer_exchange.run)
            for store in self.record_groups.stores.values():
                nursery.start_soon(store.run)
            nursery.start_soon(self.calls.run)
            nursery.start_soon(self.scheduler.run)
            task_status.started()

    async def leave(self) -> None:
        """Become unready, finish the work in flight, and release permits and leases."""
        self.leaving = True
        await trio.sleep(seconds(READINESS_PROPAGATION_MS))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.calls.drain)
            nursery.start_soon(self.scheduler.stop)
        # Set only now: queued calls need this process's share of the slots until drained.
        self.peer_exchange.leaving = True
        await self.control_session.leave()
        await self.calls.close()
