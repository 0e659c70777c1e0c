"""Scheduling service of a control process: one scheduler per term and its message handlers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.commands import NoOp
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.workload_commands import ApplyDeclaration, OrderWave
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.fleet.loop_lag import LoopIdleTime
from hornbeamreach.fleet.maintenance_waves import MaintenanceWaves
from hornbeamreach.fleet.messages import (
    ChangeEvacuation,
    DeclarationReply,
    DeclareRequest,
    EvacuationReply,
    ForwardedReport,
    ForwardedReports,
    MinionLeft,
    QueueAnswer,
    QueueCall,
    ReadDeclaration,
    ReadWave,
    ReportReply,
    StartWave,
    WaveState,
)
from hornbeamreach.fleet.ports import AdmissionPort, MinionPort, VmPort
from hornbeamreach.fleet.queue_service import QueueService
from hornbeamreach.fleet.step_scheduler import GENERATION_BITS, StepScheduler
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.fleet.vm_inventory import VmInventory
from hornbeamreach.fleet.vm_moves import VmMoves
from hornbeamreach.link.codec import wire_converter
from hornbeamreach.link.interface import ANY_TERM, HandlerTable
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.verdict import Reason, Verdict

log = part_logger("fleet")

RESTART_PAUSE_MS = 20
MAX_GENERATIONS = 1 << GENERATION_BITS


@define(kw_only=True, eq=False)
class FleetService:
    """Run a scheduler while the replica leads, and answer the calls that need it."""

    replica: Replica
    handlers: HandlerTable
    minion_port: MinionPort
    vm_port: VmPort | None
    admission_port: AdmissionPort | None
    clock: Clock
    metrics: Metrics
    timing: FleetTiming = field(factory=FleetTiming)
    # Return the data centres that the settings of this process and of the other replicas name.
    known_data_centers: Callable[[], Iterable[str]] = tuple
    # Instrument of this process's event loop, to measure how busy it is.
    loop_idle: LoopIdleTime | None = None
    generation: int = field(default=0, init=False)
    scheduler: StepScheduler | None = field(default=None, init=False)
    queue_service: QueueService | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.handlers.on(QueueCall, self.on_queue_call)
        self.handlers.on(ForwardedReport, self.on_forwarded_report)
        self.handlers.on(ForwardedReports, self.on_forwarded_reports)
        self.handlers.on(MinionLeft, self.on_minion_left)
        self.handlers.on(DeclareRequest, self.on_declare)
        self.handlers.on(ReadDeclaration, self.on_read_declaration)
        self.handlers.on(StartWave, self.on_start_wave)
        self.handlers.on(ReadWave, self.on_read_wave)
        self.handlers.on(ChangeEvacuation, self.on_change_evacuation)

    def relay_pause_ms(self) -> int:
        """Return the span within which relayed calls and results share one message."""
        return self.scheduler.effort().relay_pause_ms if self.scheduler is not None else 0

    def relays_all(self) -> bool:
        """Return whether calls go through followers in a fleet of any size."""
        return self.scheduler is not None and self.scheduler.effort().relays_all

    async def run(self) -> None:
        """Run one scheduler for each term in which this replica leads."""
        while True:
            while not self.replica.is_leader():
                await self.replica.wait_for_change()
            try:
                await self._apply_earlier_proposals()
            except NotLeaderError as exc:
                log.info("leadership lost before scheduling began: {}", exc)
                await trio.sleep(seconds(RESTART_PAUSE_MS))
                continue
            scheduler = StepScheduler(
                replica=self.replica,
                minion_port=self.minion_port,
                admission_port=self.admission_port,
                clock=self.clock,
                metrics=self.metrics,
                timing=self.timing,
                generation=self.generation % MAX_GENERATIONS,
                loop_idle=self.loop_idle,
            )
            self.generation += 1
            scheduler.evacuations.known_data_centers = self.known_data_centers
            try:
                async with trio.open_nursery() as nursery:
                    if self.vm_port is not None:
                        inventory = VmInventory(scheduler=scheduler, port=self.vm_port)
                        scheduler.evacuations.inventory = inventory
                        nursery.start_soon(
                            MaintenanceWaves(scheduler=scheduler, inventory=inventory).run
                        )
                        nursery.start_soon(VmMoves(scheduler=scheduler, inventory=inventory).run)
                    nursery.start_soon(self._serve, scheduler)
                    await scheduler.run()
                    nursery.cancel_scope.cancel()
            except* NotLeaderError as group:
                log.info("leadership lost during a scheduling pass: {}", group.exceptions[0])
            finally:
                self.scheduler = self.queue_service = None
                self.metrics.set_attainment({})
            await trio.sleep(seconds(RESTART_PAUSE_MS))

    async def _apply_earlier_proposals(self) -> None:
        """Wait until all entries appended so far are applied; raise NotLeaderError if not leading.

        An earlier scheduler of the same term may have proposed commands that are not committed
        yet. The next scheduler copies the state, so it would never learn of them.
        """
        await self.replica.wait_for_outcome(self.replica.submit(NoOp()))

    async def _serve(self, scheduler: StepScheduler) -> None:
        while scheduler.nursery is None:
            await trio.sleep(0)
        self.scheduler = scheduler
        self.queue_service = QueueService(
            scheduler=scheduler, clock=self.clock, metrics=self.metrics
        )

    def current_scheduler(self) -> StepScheduler:
        """Return the scheduler, or raise NotLeaderError if this replica does not lead."""
        scheduler = self.scheduler
        if scheduler is None or not scheduler.is_current():
            raise NotLeaderError(self.replica.leader_address(), term=self.replica.core.term)
        return scheduler

    def describe(self) -> dict[str, Any]:
        """Return this replica's status as plain data; the leader's has the shares of teams."""
        state, core, scheduler = self.replica.state, self.replica.core, self.scheduler
        leads = scheduler is not None and scheduler.is_current()
        return {
            "replica": self.replica.node_id,
            "role": core.role.value,
            "leader": core.leader,
            "term": core.term,
            "members": self.replica.members(),
            "applied_index": state.applied_index,
            "version": state.workload.declared_version,
            "team_shares": (
                scheduler.share_report.describe(self.clock.now_ms())
                if scheduler is not None and leads
                else {}
            ),
        }

    # Handlers

    async def on_queue_call(self, call: QueueCall) -> QueueAnswer:
        """Answer a caller's queue call."""
        scheduler = self.current_scheduler()
        if call.leader_term not in (ANY_TERM, scheduler.term):
            raise NotLeaderError(self.replica.leader_address(), term=scheduler.term)
        assert self.queue_service is not None
        return await self.queue_service.answer(call)

    async def on_forwarded_report(self, message: ForwardedReport) -> ReportReply:
        """Record a minion's report."""
        self.current_scheduler().on_report(message.report)
        return ReportReply(takes_batches=True)

    async def on_forwarded_reports(self, message: ForwardedReports) -> ReportReply:
        """Record the reports of several minions, all that can be read."""
        scheduler = self.current_scheduler()
        refused = []
        for position, data in enumerate(message.reports):
            try:
                scheduler.on_report(wire_converter.structure(data, MinionReport))
            except Exception as exc:
                log.bind(position=position, reports=len(message.reports)).warning(
                    "report of a minion can't be read: {!r}", exc
                )
                refused.append(position)
        return ReportReply(takes_batches=True, refused=refused)

    def record_report(self, report: MinionReport) -> None:
        """Record a report that arrived here; raise NotLeaderError if this replica doesn't lead."""
        scheduler = self.current_scheduler()
        try:
            scheduler.on_report(report)
        except Exception as exc:
            log.bind(minion=report.minion).error("report not recorded: {!r}", exc)
            raise RefusedError(Reason.MALFORMED, "report not recorded") from exc

    async def on_minion_left(self, message: MinionLeft) -> ReportReply:
        """Record that a minion shuts down."""
        self.current_scheduler().on_leave(message.minion, message.born_ms)
        return ReportReply()

    async def on_declare(self, message: DeclareRequest) -> DeclarationReply:
        """Put a declaration in force, unless one that is at least as new is in force."""
        scheduler = self.current_scheduler()
        with scheduler.operator_requests.under_way():
            await self._declare(scheduler, message)
        committed = self.replica.state.workload
        return DeclarationReply(version=committed.declared_version, text=b"")

    async def _declare(self, scheduler: StepScheduler, message: DeclareRequest) -> None:
        if message.version > scheduler.proposed.workload.declared_version:
            command = ApplyDeclaration(
                version=message.version, text=message.text, table=message.table, keys=message.keys
            )
            await scheduler.commit(command)
            log.bind(
                version=message.version,
                queues=len(message.table.queues),
                teams=len(message.table.teams),
            ).info("declaration in force")
            scheduler.on_declaration()
        # A repeat waits for that declaration, not for a commit of its own: while a commit takes
        # longer than a call, each repeat would time out as the first call did.
        while message.version > self.replica.state.workload.declared_version:
            if not scheduler.is_current():
                detail = "the leader changed before the declaration was committed"
                raise RefusedError(Reason.NO_LEADER, detail, verdict=Verdict.MAY_HAVE_RUN)
            await self.replica.wait_for_change()

    async def on_read_declaration(self, message: ReadDeclaration) -> DeclarationReply:
        """Return the newest declaration."""
        self.current_scheduler()
        await self.replica.confirm_leadership()
        workload = self.replica.state.workload
        return DeclarationReply(version=workload.declared_version, text=workload.declared_text)

    async def on_start_wave(self, message: StartWave) -> WaveState:
        """Accept a maintenance wave."""
        scheduler = self.current_scheduler()
        now_ms = self.clock.wall_ms()
        if message.number in self.replica.state.workload.waves:
            await scheduler.commit(NoOp())
        else:
            await scheduler.commit(
                OrderWave(
                    number=message.number,
                    machines=message.machines,
                    max_down=message.max_down,
                    at_ms=now_ms,
                    due_ms=now_ms + message.duration_ms,
                )
            )
            log.bind(wave=message.number, machines=len(message.machines)).info("wave accepted")
        return WaveState(known=True, completed=False)

    async def on_read_wave(self, message: ReadWave) -> WaveState:
        """Return the progress of a maintenance wave."""
        self.current_scheduler()
        wave = self.replica.state.workload.waves.get(message.number)
        return WaveState(known=wave is not None, completed=bool(wave and wave.completed))

    async def on_change_evacuation(self, message: ChangeEvacuation) -> EvacuationReply:
        """Store that a data centre is evacuated, or that it no longer is."""
        return await self.current_scheduler().evacuations.change(message)
