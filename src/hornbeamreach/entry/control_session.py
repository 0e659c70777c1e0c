"""The session of an entry process with control."""

from __future__ import annotations

from collections.abc import Callable

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.authority import Authority
from hornbeamreach.entry.replayed_state import ReplayedState
from hornbeamreach.entry.reports import FreeCapacityReceiver, ReportContent, ReportSender
from hornbeamreach.exceptions import LinkError, NotLeaderError, RefusedError
from hornbeamreach.link.interface import Link
from hornbeamreach.link.messages import (
    Leave,
    PermitUseReport,
    Renew,
    RenewReply,
)
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.tables.reports import PoolLoad, VmReport

log = part_logger("feed")

RENEW_HOLD_MS = 900
RENEW_TIMEOUT_MS = 2_500
RETRY_DELAY_MS = 150
USE_REPORT_INTERVAL_MS = 100
LEAVE_TIMEOUT_MS = 1_000
MAX_LEAVE_ATTEMPTS = 5


class ControlSession:
    """Renew the session, replay the log and update the permits."""

    def __init__(
        self,
        *,
        authority: Authority,
        replayed_state: ReplayedState,
        permits: PermitTable,
        address: str,
        data_center: str,
        replicas: dict[str, str],
        link: Link,
        clock: Clock,
        metrics: Metrics,
        new_incarnation: Callable[[], str],
    ) -> None:
        self.authority = authority
        self.replayed_state = replayed_state
        self.permits = permits
        self.address = address
        self.data_center = data_center
        self.replicas = list(replicas.values())
        self.link = link
        self.clock = clock
        self.metrics = metrics
        self.new_incarnation = new_incarnation
        self.leader = self.replicas[0]
        self.vm_reports: dict[str, VmReport] = {}
        self.busy_vms: Callable[[], dict[str, int]] = dict
        self.idle_vms: Callable[[], list[str]] = list
        self.pool_loads: Callable[[], dict[str, PoolLoad]] = dict
        self.reported_shortfalls: dict[str, int] = {}
        self.reports = ReportSender()
        self.free_capacity = FreeCapacityReceiver()

    async def run(self) -> None:
        """Renew the session until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_permit_shortfalls)
            while True:
                if not await self._renew():
                    await trio.sleep(seconds(RETRY_DELAY_MS))

    async def _renew(self) -> bool:
        sent_ms = self.clock.now_ms()
        message = self._build_renew()
        try:
            reply = await self.link.request(self.leader, message, timeout_ms=RENEW_TIMEOUT_MS)
        except NotLeaderError as exc:
            self._choose_leader(exc.leader)
            return False
        except RefusedError as exc:
            self._on_refused(exc)
            return False
        except LinkError:
            self._choose_leader(None)
            return False
        self._on_renewed(reply, sent_ms)
        return True

    def _build_renew(self) -> Renew:
        return Renew(
            entry_id=self.authority.entry_id,
            incarnation=self.authority.incarnation,
            data_center=self.data_center,
            address=self.address,
            peer_count=self.authority.peer_count,
            applied_index=self.replayed_state.index(),
            hold_ms=RENEW_HOLD_MS,
            report=self.reports.build(
                ReportContent(
                    uses=self.permits.report(),
                    vm_reports=dict(self.vm_reports),
                    pool_loads=self.pool_loads(),
                )
            ),
            free_capacity_number=self.free_capacity.number,
            busy_vms=self.busy_vms(),
            idle_vms=self.idle_vms(),
        )

    def _on_renewed(self, reply: RenewReply, sent_ms: int) -> None:
        self.replayed_state.apply(reply.items, reply.state)
        self.reports.acknowledge(reply.report_number)
        self.free_capacity.apply(reply.free_capacity)
        self.update_permits()
        if self.replayed_state.index() >= reply.committed_index:
            # The session lets this process act, so it must not be based on an older state.
            self.authority.renew(sent_ms)
        self.permits.promise_targets(reply.targets, self.replayed_state.index())

    def update_permits(self) -> None:
        """Apply the slices that the replicated state grants to this incarnation."""
        incarnations = self.replayed_state.state.grants.get(self.authority.entry_id, {})
        grant = incarnations.get(self.authority.incarnation)
        if grant is None:
            self.permits.update_slices({}, {})
        else:
            self.permits.update_slices(grant.slices, grant.slice_indexes)

    def _choose_leader(self, leader: str | None) -> None:
        if leader is not None and leader != self.leader:
            self.leader = leader
            return
        # The leader may be a replica that was added later and is known from a redirect only.
        addresses = self.replicas
        position = addresses.index(self.leader) if self.leader in addresses else -1
        self.leader = addresses[(position + 1) % len(addresses)]

    def _on_refused(self, error: RefusedError) -> None:
        self.metrics.refused("session", error.reason)
        if self.permits.in_use:
            # Work started under this incarnation still counts against its permits, so it is kept.
            return
        log.warning("session refused, starting a new incarnation: {}", error.detail)
        self.authority.incarnation = self.new_incarnation()
        self.update_permits()

    async def _report_permit_shortfalls(self) -> None:
        """Report larger shortfalls and promised ceilings to control between two renewals."""
        while True:
            await trio.sleep(seconds(USE_REPORT_INTERVAL_MS))
            uses = self.permits.report()
            shortfalls = {team: use.wanted for team, use in uses.items() if use.wanted}
            growing_teams = [
                team
                for team in shortfalls
                if shortfalls[team] > self.reported_shortfalls.get(team, 0)
            ]
            self.reported_shortfalls = shortfalls
            if not growing_teams and not any(use.ceiling is not None for use in uses.values()):
                continue
            message = PermitUseReport(
                entry_id=self.authority.entry_id,
                incarnation=self.authority.incarnation,
                uses={
                    team: use
                    for team, use in uses.items()
                    if team in growing_teams or use.ceiling is not None
                },
            )
            self.link.notify(self.leader, message)

    async def leave(self) -> None:
        """Release the grants at a graceful shutdown; give up after MAX_LEAVE_ATTEMPTS."""
        message = Leave(entry_id=self.authority.entry_id, incarnation=self.authority.incarnation)
        for _ in range(MAX_LEAVE_ATTEMPTS):
            try:
                await self.link.request(self.leader, message, timeout_ms=LEAVE_TIMEOUT_MS)
                return
            except NotLeaderError as exc:
                self._choose_leader(exc.leader)
            except (LinkError, RefusedError):
                self._choose_leader(None)
            await trio.sleep(seconds(RETRY_DELAY_MS))
