"""What the leader of control does: sessions, acceptance, slices and maintenance."""

from __future__ import annotations

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control import commands
from hornbeamreach.control.acceptance import Acceptance
from hornbeamreach.control.facts import pool_loads, vm_facts
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.reports import build_free_capacity, take_report
from hornbeamreach.control.slice_planner import SlicePlanner
from hornbeamreach.control.snapshots import encode_state
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.messages import (
    Done,
    Leave,
    LogItem,
    Renew,
    RenewReply,
    UseReport,
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
MAINTAIN_INTERVAL_MS = 500
PLAN_INTERVAL_MS = 10_000
FREE_CAPACITY_INTERVAL_MS = 1_000
MAX_RENEW_HOLD_MS = 1_500
MAX_ITEMS_PER_REPLY = 256
# The leader waits this long for every data centre's reports before it permits drains.
REPORT_GRACE_MS = 3_000


class Leader:
    """Run the fleet-wide decisions while this replica leads."""

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
        self.mover_table = MoverState()
        self.replica = replica
        self.clock = clock
        self.metrics = metrics
        self.acceptance = Acceptance(leader=self, replica=replica, clock=clock)
        self.led_term = -1
        self.maintained_ms = 0
        self.planned_ms = 0
        self.free_capacity_ms = -FREE_CAPACITY_INTERVAL_MS
        self.free_capacity: dict[str, int] = {}
        self.table = SessionTable(leader_since_ms=clock.now_ms())
        self.reported = trio.Event()
        self.slices = SlicePlanner(
            state=lambda: replica.state, notify=replica.notify_watchers, clock=clock
        )
        handlers.on(Renew, self.on_renew)
        handlers.on(UseReport, self.on_use_report)
        handlers.on(Leave, self.on_leave)

    def require_leader(self) -> None:
        """Raise NotLeaderError unless this replica leads, and begin its sessions."""
        if not self.replica.is_leader():
            raise NotLeaderError(self.replica.leader_address())
        if self.led_term != self.replica.core.term:
            self.led_term = self.replica.core.term
            # What an earlier leader's sessions allow is not known: count them from now.
            self.table = SessionTable(leader_since_ms=self.clock.now_ms(), term=self.led_term)
            self.slices.begin_term(self.table)
            self.mover_table = MoverState()

    # Sessions

    async def on_renew(self, message: Renew) -> RenewReply:
        """Renew a session; hold the reply until there is news."""
        self.require_leader()
        holder = HolderKey(message.entry_id, message.incarnation)
        await self._register_if_new(message)
        self._take_reports(self.table.get(holder), message)
        hold_ms = min(message.hold_ms, MAX_RENEW_HOLD_MS)
        with trio.move_on_after(seconds(hold_ms)):
            await self._wait_news(holder, message.applied_index)
        self.require_leader()
        self.table.get(holder).renewed_ms = self.clock.now_ms()
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
            self.slices.mark_all()

    def _take_reports(self, session: Session, message: Renew) -> None:
        now_ms = self.clock.now_ms()
        session.renewed_ms = now_ms
        session.acknowledge(message.applied_index, now_ms)
        self.slices.mark(take_report(session, message.report))
        session.busy_vms = dict(message.busy_vms)
        session.idle_vms = list(message.idle_vms)
        session.reported_ms = now_ms
        self.notify_reported()

    def notify_reported(self) -> None:
        """Let everybody who waits for acknowledgements or targets look again."""
        self.reported.set()
        self.reported = trio.Event()

    async def _wait_news(self, holder: HolderKey, applied_index: int) -> None:
        while not self._has_news(holder, applied_index):
            await self.replica.wait_changed()

    def _has_news(self, holder: HolderKey, applied_index: int) -> bool:
        newer = self.replica.state.applied_index > applied_index
        return newer or bool(self.slices.targets.get(holder))

    def _build_reply(self, holder: HolderKey, message: Renew) -> RenewReply:
        committed = self.replica.state.applied_index
        base = self.replica.core.log.base_index
        behind = committed - message.applied_index
        state, items = None, []
        if message.applied_index < base or behind > MAX_ITEMS_PER_REPLY:
            state = encode_state(self.replica.state)
        else:
            entries = self.replica.core.log.slice_from(message.applied_index + 1, behind)
            items = [LogItem(index=entry.index, data=entry.data) for entry in entries]
        session = self.table.get(holder)
        return RenewReply(
            committed_index=committed,
            items=items,
            state=state,
            targets=self.slices.take_targets(holder),
            report_number=session.report_number,
            free_capacity=build_free_capacity(
                session, message.free_capacity_number, self._free_capacity()
            ),
        )

    def _free_capacity(self) -> dict[str, int]:
        """Return the pools' free capacity, computed at intervals for all processes alike."""
        now_ms = self.clock.now_ms()
        if now_ms - self.free_capacity_ms >= FREE_CAPACITY_INTERVAL_MS:
            self.free_capacity_ms = now_ms
            loads = pool_loads(self.replica.state, self.table, now_ms)
            self.free_capacity = {
                f"{place.data_center}/{place.pool}": free_capacity(load)
                for place, load in loads.items()
            }
        return self.free_capacity

    async def on_use_report(self, message: UseReport) -> Done:
        """Take an urgent report of use and plan the team's slices at once."""
        self.require_leader()
        session = self.table.get(HolderKey(message.entry_id, message.incarnation))
        session.uses.update(message.uses)
        self.slices.mark(message.uses)
        await self.plan_slices()
        return Done()

    async def on_leave(self, message: Leave) -> Done:
        """Free what a process gave back at its graceful end."""
        self.require_leader()
        await self.replica.propose(
            commands.ForgetIncarnation(entry_id=message.entry_id, incarnation=message.incarnation)
        )
        self.slices.mark_all()
        return Done()

    # Periodic work

    async def run(self) -> None:
        """Run the leader's systems each tick while this replica leads."""
        while True:
            await trio.sleep(seconds(LEADER_TICK_MS))
            try:
                self.require_leader()
                await self.tick()
            except NotLeaderError:
                continue

    async def tick(self) -> None:
        """Run every system whose turn it is."""
        await self.acceptance.finish_prepared()
        await self.plan_slices()
        now_ms = self.clock.now_ms()
        if now_ms - self.maintained_ms >= MAINTAIN_INTERVAL_MS:
            self.maintained_ms = now_ms
            self.metrics.gauge("control_sessions", len(self.table.sessions))
            await self.retire_holders()
            await self.maintain()
            await self.move_vms()

    async def retire_holders(self) -> None:
        """Suspend silent processes, and free the slices of those that have ended."""
        now_ms, state = self.clock.now_ms(), self.replica.state
        for holder in holders_to_suspend(state, self.table, now_ms):
            log.warning("suspending silent entry {} {}", holder.entry_id, holder.incarnation)
            await self.replica.propose(
                commands.SuspendIncarnation(
                    entry_id=holder.entry_id, incarnation=holder.incarnation
                )
            )
        for holder in ended_holders(state, self.table, now_ms):
            await self.replica.propose(
                commands.ForgetIncarnation(entry_id=holder.entry_id, incarnation=holder.incarnation)
            )
            self.slices.mark_all()

    async def plan_slices(self) -> None:
        """Move permits to where work waits for them."""
        changes = self.slices.plan()
        if changes:
            await self.replica.propose(commands.SetSlices(changes=changes))

    def _due_vms(self) -> list[str]:
        """Return the VMs that are due, looked for only now and then."""
        now_ms = self.clock.now_ms()
        if now_ms - self.planned_ms < PLAN_INTERVAL_MS:
            return []
        self.planned_ms = now_ms
        return due_vms(self.replica.state, self.clock.wall_ms())

    async def maintain(self) -> None:
        """Order what is due, and move VMs through their phases."""
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
        facts = vm_facts(state, self.table, self.clock.now_ms())
        actions = phase_transitions(state, facts, wall_ms)
        if self.clock.now_ms() - self.table.leader_since_ms >= REPORT_GRACE_MS:
            actions += allowed_drains(state, facts)
        for action in actions:
            await self.replica.propose(
                commands.SetVmPhase(
                    vm=action.vm,
                    expected_epoch=action.expected_epoch,
                    phase=action.phase,
                    at_ms=wall_ms,
                    also_down=sorted(facts.down),
                )
            )

    async def move_vms(self) -> None:
        """Lend spare VMs to pools that lack capacity, and take idle ones back."""
        now_ms = self.clock.now_ms()
        state = self.replica.state
        facts = vm_facts(state, self.table, now_ms)
        loads = pool_loads(state, self.table, now_ms)
        for move in self.mover(state, loads, self.mover_table, facts.down, now_ms):
            outcome = await self.replica.propose(
                commands.MoveVm(vm=move.vm, expected_epoch=move.expected_epoch, pool=move.pool)
            )
            if outcome.accepted:
                self.metrics.event("vm_moved")
                log.info("VM {} serves pool {}", move.vm, move.pool)
