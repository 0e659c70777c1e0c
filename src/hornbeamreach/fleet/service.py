"""The scheduling part of a control process: one scheduler a term, and who may ask it what."""

from __future__ import annotations

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.commands import NoOp
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.workload_commands import ApplyDeclaration, OrderWave
from hornbeamreach.exceptions import NotLeaderError
from hornbeamreach.fleet.desk import Desk
from hornbeamreach.fleet.machine_room import MachineRoom
from hornbeamreach.fleet.messages import (
    Declare,
    Declared,
    Heard,
    MinionHeard,
    MinionLeft,
    QueueAnswer,
    QueueCall,
    ReadDeclaration,
    ReadWave,
    StartWave,
    WaveState,
)
from hornbeamreach.fleet.moves import PoolMoves
from hornbeamreach.fleet.ports import AdvicePort, MachinePort, MinionPort
from hornbeamreach.fleet.scheduler import GENERATION_BITS, Scheduler
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.fleet.upkeep import Upkeep
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics

log = part_logger("fleet")

RESTART_PAUSE_MS = 20
MAX_GENERATIONS = 1 << GENERATION_BITS


@define(kw_only=True, eq=False)
class FleetService:
    """Run a scheduler while the replica leads, and answer what only it can."""

    replica: Replica
    handlers: HandlerTable
    minion_port: MinionPort
    machine_port: MachinePort | None
    advice_port: AdvicePort | None
    clock: Clock
    metrics: Metrics
    timing: FleetTiming = field(factory=FleetTiming)
    generation: int = field(default=0, init=False)
    scheduler: Scheduler | None = field(default=None, init=False)
    desk: Desk | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.handlers.on(QueueCall, self.on_queue_call)
        self.handlers.on(MinionHeard, self.on_minion_heard)
        self.handlers.on(MinionLeft, self.on_minion_left)
        self.handlers.on(Declare, self.on_declare)
        self.handlers.on(ReadDeclaration, self.on_read_declaration)
        self.handlers.on(StartWave, self.on_start_wave)
        self.handlers.on(ReadWave, self.on_read_wave)

    async def run(self) -> None:
        """Run one scheduler for each term in which this replica leads."""
        while True:
            while not self.replica.is_leader():
                await self.replica.wait_for_change()
            scheduler = Scheduler(
                replica=self.replica,
                minion_port=self.minion_port,
                advice_port=self.advice_port,
                clock=self.clock,
                metrics=self.metrics,
                timing=self.timing,
                generation=self.generation % MAX_GENERATIONS,
            )
            self.generation += 1
            try:
                async with trio.open_nursery() as nursery:
                    if self.machine_port is not None:
                        room = MachineRoom(scheduler=scheduler, port=self.machine_port)
                        nursery.start_soon(Upkeep(scheduler=scheduler, room=room).run)
                        nursery.start_soon(PoolMoves(scheduler=scheduler, room=room).run)
                    nursery.start_soon(self._serve, scheduler)
                    await scheduler.run()
                    nursery.cancel_scope.cancel()
            except* NotLeaderError as group:
                log.info("the term ended during a decision: {}", group.exceptions[0])
            finally:
                self.scheduler = self.desk = None
            await trio.sleep(seconds(RESTART_PAUSE_MS))

    async def _serve(self, scheduler: Scheduler) -> None:
        while scheduler.nursery is None:
            await trio.sleep(0)
        self.scheduler = scheduler
        self.desk = Desk(scheduler=scheduler, clock=self.clock, metrics=self.metrics)

    def current(self) -> Scheduler:
        """Return the scheduler, or raise NotLeaderError if this replica does not lead."""
        scheduler = self.scheduler
        if scheduler is None or not scheduler.is_current():
            raise NotLeaderError(self.replica.leader_address())
        return scheduler

    # Handlers

    async def on_queue_call(self, call: QueueCall) -> QueueAnswer:
        """Answer a caller's call."""
        self.current()
        assert self.desk is not None
        return await self.desk.answer(call)

    async def on_minion_heard(self, message: MinionHeard) -> Heard:
        """Take a minion's report."""
        self.current().take_report(message.report)
        return Heard()

    async def on_minion_left(self, message: MinionLeft) -> Heard:
        """Take note that a minion ends on purpose."""
        self.current().take_leave(message.minion, message.born_ms)
        return Heard()

    async def on_declare(self, message: Declare) -> Declared:
        """Put a declaration in force, or keep the newer one."""
        scheduler = self.current()
        workload = scheduler.ahead.workload
        if message.version > workload.declared_version:
            command = ApplyDeclaration(
                version=message.version, text=message.text, table=message.table, keys=message.keys
            )
            await scheduler.commit(command)
            log.bind(
                version=message.version,
                queues=len(message.table.queues),
                teams=len(message.table.teams),
            ).info("declaration in force")
            scheduler.take_declaration()
        else:
            # What it is older than may not be committed yet.
            await scheduler.commit(NoOp())
        committed = self.replica.state.workload
        return Declared(version=committed.declared_version, text=b"")

    async def on_read_declaration(self, message: ReadDeclaration) -> Declared:
        """Return the newest declaration."""
        self.current()
        await self.replica.confirm_leadership()
        workload = self.replica.state.workload
        return Declared(version=workload.declared_version, text=workload.declared_text)

    async def on_start_wave(self, message: StartWave) -> WaveState:
        """Accept an upkeep wave."""
        scheduler = self.current()
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
        """Tell how far a wave has come."""
        self.current()
        wave = self.replica.state.workload.waves.get(message.number)
        return WaveState(known=wave is not None, completed=bool(wave and wave.completed))
