"""Duties of the control leader: sessions, changes, slices, maintenance and VM moves."""

from __future__ import annotations

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control import commands
from hornbeamreach.control.change_coordinator import ChangeCoordinator
from hornbeamreach.control.entry_reports import apply_report, build_free_capacity
from hornbeamreach.control.observations import observe_vms, pool_loads
from hornbeamreach.control.raft_log import RaftLog, entry_bytes
from hornbeamreach.control.raft_messages import LogEntry
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.slice_planner import SlicePlanner
from hornbeamreach.control.snapshots import encode_state
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.messages import (
    Acknowledgement,
    Leave,
    LogItem,
    PermitUseReport,
    Renew,
    RenewReply,
)
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.authority import (
    ended_holders,
    holders_to_suspend,
)
from hornbeamreach.systems.data_center_choice import free_capacity
from hornbeamreach.systems.maintenance import allowed_drains, due_vms, phase_transitions
from hornbeamreach.systems.spare_pool_moves import Mover, MoverState
from hornbeamreach.tables.control_state import OrderAction
from hornbeamreach.tables.sessions import HolderKey, Session, SessionTable
from hornbeamreach.verdict import Reason

log = part_logger("control")

LEADER_TICK_MS = 200
MAINTENANCE_TICK_MS = 500
DUE_CHECK_INTERVAL_MS = 10_000
FREE_CAPACITY_INTERVAL_MS = 1_000
MAX_RENEW_HOLD_MS = 1_500
MAX_LOG_ITEMS_PER_REPLY = 256
# Entries that take more may exceed what one message carries; the state replaces them.
MAX_LOG_BYTES_PER_REPLY = 4 * 1024 * 1024
# A new leader permits no drains for this long, so that every data centre can report first.
REPORT_GRACE_MS = 3_000


def entries_for_reply(
    log: RaftLog, applied_index: int, committed_index: int
) -> list[LogEntry] | None:
    """Return the entries that a process lacks, None if it gets the state instead."""
    backlog = committed_index - applied_index
    if applied_index < log.base_index or backlog > MAX_LOG_ITEMS_PER_REPLY:
        return None
    entries = log.slice_from(applied_index + 1, backlog)
    return entries if sum(map(entry_bytes, entries)) <= MAX_LOG_BYTES_PER_REPLY else None


class Leader:
    """Make the fleet-wide decisions while this replica leads."""

    def __init__(
        self,
        *,
        replica: Replica,
        handlers: HandlerTable,
        clock: Clock,
        metrics: Metrics,
        mover: Mover,
    ) -> None:
        self.mover = mover
        self.mover_state = MoverState()
        self.replica = replica
        self.clock = clock
        self.metrics = metrics
        self.change_coordinator = ChangeCoordinator(leader=self, replica=replica, clock=clock)
        self.session_term = -1
        self.last_maintenance_ms = 0
        self.last_due_check_ms = 0
        self.free_capacity_computed_ms = -FREE_CAPACITY_INTERVAL_MS
        self.free_capacity: dict[str, int] = {}
        self.session_table = SessionTable(leader_since_ms=clock.now_ms())
        self.report_received = trio.Event()
        self.slices = SlicePlanner(
            state=lambda: replica.state, notify=replica.notify_waiters, clock=clock
        )
        handlers.on(Renew, self.on_renew)
        handlers.on(PermitUseReport, self.on_use_report)
        handlers.on(Leave, self.on_leave)

    def require_leader(self) -> None:
        """Raise NotLeaderError unless this replica leads; reset the sessions in a new term."""
        if not self.replica.is_leader():
            raise NotLeaderError(self.replica.leader_address())
        if self.session_term != self.replica.core.term:
            self.session_term = self.replica.core.term
            # Renewals by earlier leaders are unknown, so every session counts as renewed now.
            self.session_table = SessionTable(
                leader_since_ms=self.clock.now_ms(), term=self.session_term
            )
            self.slices.begin_term(self.session_table)
            self.mover_state = MoverState()

    # Sessions

    async def on_renew(self, message: Renew) -> RenewReply:
        """Renew a session, holding the reply until there is an update or the hold time ends."""
        self.require_leader()
        holder = HolderKey(message.entry_id, message.incarnation)
        await self._register_if_new(message)
        self._apply_renewal(self.session_table.get(holder), message)
        hold_ms = min(message.hold_ms, MAX_RENEW_HOLD_MS)
        with trio.move_on_after(seconds(hold_ms)):
            await self._wait_for_update(holder, message.applied_index)
        self.require_leader()
        self.session_table.get(holder).renewed_ms = self.clock.now_ms()
        return self._build_reply(holder, message)

    async def _register_if_new(self, message: Renew) -> None:
        grant = self.replica.state.grants.get(message.entry_id, {}).get(message.incarnation)
        if grant is not None and grant.suspended_index:
            detail = f"{message.incarnation} was suspended; start a new incarnation"
            raise RefusedError(Reason.AUTHORITY_LAPSED, detail)
        if grant is None:
            await self.replica.propose(
                commands.RegisterEntry(
                    entry_id=message.entry_id,
                    incarnation=message.incarnation,
                    data_center=message.data_center,
                    address=message.address,
                    peer_count=message.peer_count,
                )
            )
            self.slices.mark_all_dirty()

    def _apply_renewal(self, session: Session, message: Renew) -> None:
        now_ms = self.clock.now_ms()
        session.renewed_ms = now_ms
        session.acknowledge(message.applied_index, now_ms)
        self.slices.mark_dirty(apply_report(session, message.report))
        session.busy_vms = dict(message.busy_vms)
        session.idle_vms = list(message.idle_vms)
        session.reported_ms = now_ms
        self.notify_report_received()

    def notify_report_received(self) -> None:
        """Wake the tasks that wait for acknowledgements or lowered ceilings."""
        self.report_received.set()
        self.report_received = trio.Event()

    async def _wait_for_update(self, holder: HolderKey, applied_index: int) -> None:
        while not self._has_update(holder, applied_index):
            await self.replica.wait_for_change()

    def _has_update(self, holder: HolderKey, applied_index: int) -> bool:
        has_commits = self.replica.state.applied_index > applied_index
        return has_commits or bool(self.slices.targets.get(holder))

    def _build_reply(self, holder: HolderKey, message: Renew) -> RenewReply:
        committed_index = self.replica.state.applied_index
        state, items = None, []
        entries = entries_for_reply(self.replica.core.log, message.applied_index, committed_index)
        if entries is None:
            state = encode_state(self.replica.state)
        else:
            items = [
                LogItem(index=entry.index, data=self.replica.applied_data(entry))
                for entry in entries
            ]
        session = self.session_table.get(holder)
        return RenewReply(
            committed_index=committed_index,
            items=items,
            state=state,
            targets=self.slices.pop_targets(holder),
            report_number=session.report_number,
            free_capacity=build_free_capacity(
                session, message.free_capacity_number, self._current_free_capacity()
            ),
        )

    def _current_free_capacity(self) -> dict[str, int]:
        """Return the pools' free capacity, computed once per interval for all processes."""
        now_ms = self.clock.now_ms()
        if now_ms - self.free_capacity_computed_ms >= FREE_CAPACITY_INTERVAL_MS:
            self.free_capacity_computed_ms = now_ms
            loads = pool_loads(self.replica.state, self.session_table, now_ms)
            self.free_capacity = {
                f"{location.data_center}/{location.pool}": free_capacity(load)
                for location, load in loads.items()
            }
        return self.free_capacity

    async def on_use_report(self, message: PermitUseReport) -> Acknowledgement:
        """Apply an urgent report of permit use, and plan the teams' slices at once."""
        self.require_leader()
        session = self.session_table.get(HolderKey(message.entry_id, message.incarnation))
        session.uses.update(message.uses)
        self.slices.mark_dirty(message.uses)
        await self.plan_slices()
        return Acknowledgement()

    async def on_leave(self, message: Leave) -> Acknowledgement:
        """Release the slices of a process that shuts down gracefully."""
        self.require_leader()
        await self.replica.propose(
            commands.ForgetIncarnation(entry_id=message.entry_id, incarnation=message.incarnation)
        )
        self.slices.mark_all_dirty()
        return Acknowledgement()

    # Periodic work

    async def run(self) -> None:
        """Call `tick` periodically while this replica leads."""
        while True:
            await trio.sleep(seconds(LEADER_TICK_MS))
            try:
                self.require_leader()
                await self.tick()
            except NotLeaderError:
                continue

    async def tick(self) -> None:
        """Run every system that is due."""
        await self.change_coordinator.resolve_prepared()
        await self.plan_slices()
        now_ms = self.clock.now_ms()
        if now_ms - self.last_maintenance_ms >= MAINTENANCE_TICK_MS:
            self.last_maintenance_ms = now_ms
            self.metrics.gauge("control_sessions", len(self.session_table.sessions))
            await self.retire_holders()
            await self.run_maintenance()
            await self.move_vms()

    async def retire_holders(self) -> None:
        """Suspend silent processes, and release the slices of terminated ones."""
        now_ms, state = self.clock.now_ms(), self.replica.state
        for holder in holders_to_suspend(state, self.session_table, now_ms):
            log.warning(
                "suspending entry process {}, incarnation {}: its session was not renewed in time",
                holder.entry_id,
                holder.incarnation,
            )
            await self.replica.propose(
                commands.SuspendIncarnation(
                    entry_id=holder.entry_id, incarnation=holder.incarnation
                )
            )
        for holder in ended_holders(state, self.session_table, now_ms):
            await self.replica.propose(
                commands.ForgetIncarnation(entry_id=holder.entry_id, incarnation=holder.incarnation)
            )
            self.slices.mark_all_dirty()

    async def plan_slices(self) -> None:
        """Move permits to the processes whose work is waiting for them."""
        changes = self.slices.plan()
        if changes:
            await self.replica.propose(commands.SetSlices(changes=changes))

    def _due_vms(self) -> list[str]:
        """Return the VMs due for maintenance, at most once per DUE_CHECK_INTERVAL_MS."""
        now_ms = self.clock.now_ms()
        if now_ms - self.last_due_check_ms < DUE_CHECK_INTERVAL_MS:
            return []
        self.last_due_check_ms = now_ms
        return due_vms(self.replica.state, self.clock.wall_ms())

    async def run_maintenance(self) -> None:
        """Order the maintenance that is due, and advance VMs through its phases."""
        state, wall_ms = self.replica.state, self.clock.wall_ms()
        for vm in self._due_vms():
            await self.replica.propose(
                commands.OrderMaintenance(
                    operation_id=f"plan.{vm}.{state.vm_state(vm).epoch}",
                    digest="",
                    vm=vm,
                    action=OrderAction.REBOOT,
                    at_ms=wall_ms,
                    planned=True,
                )
            )
        observation = observe_vms(state, self.session_table, self.clock.now_ms())
        actions = phase_transitions(state, observation, wall_ms)
        if self.clock.now_ms() - self.session_table.leader_since_ms >= REPORT_GRACE_MS:
            actions += allowed_drains(state, observation)
        for action in actions:
            await self.replica.propose(
                commands.SetVmPhase(
                    vm=action.vm,
                    expected_epoch=action.expected_epoch,
                    phase=action.phase,
                    at_ms=wall_ms,
                    also_down=sorted(observation.down),
                )
            )

    async def move_vms(self) -> None:
        """Lend spare VMs to pools that lack capacity, and return idle ones to their own pools."""
        now_ms = self.clock.now_ms()
        state = self.replica.state
        observation = observe_vms(state, self.session_table, now_ms)
        loads = pool_loads(state, self.session_table, now_ms)
        for move in self.mover(state, loads, self.mover_state, observation.down, now_ms):
            outcome = await self.replica.propose(
                commands.MoveVm(vm=move.vm, expected_epoch=move.expected_epoch, pool=move.pool)
            )
            if outcome.accepted:
                self.metrics.event("vm_moved")
                log.info("moved VM {} to pool {}", move.vm, move.pool)
