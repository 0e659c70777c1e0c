"""A complete control process: replica, leader and operators' HTTP API."""

from __future__ import annotations

import random
from typing import Any

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.disk import Disk
from hornbeamreach.control.leader import Leader
from hornbeamreach.control.operator_api import OperatorApi
from hornbeamreach.control.replica import Replica, RunBlocking, run_inline
from hornbeamreach.control.storage import RaftStorage
from hornbeamreach.link.interface import HandlerTable, Link
from hornbeamreach.metrics import Metrics
from hornbeamreach.settings import ControlSettings
from hornbeamreach.systems.replica_limits import limits_for
from hornbeamreach.systems.spare_pool_moves import movers

LEADERSHIP_TRANSFER_TIMEOUT_MS = 1_000


class ControlNode:
    """Assemble the parts of one control process."""

    def __init__(
        self,
        *,
        settings: ControlSettings,
        disk: Disk,
        link: Link,
        handlers: HandlerTable,
        clock: Clock,
        rng: random.Random,
        run_blocking: RunBlocking = run_inline,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.replica = Replica(
            node_id=settings.process.id,
            members={} if settings.join else dict(settings.replicas),
            storage=RaftStorage(disk=disk),
            link=link,
            handlers=handlers,
            clock=clock,
            rng=rng,
            limits=limits_for(
                memory_mb=settings.memory_mb,
                disk_mb=settings.disk_mb,
                log_entries=settings.snapshot_every,
            ),
            run_blocking=run_blocking,
        )
        self.leader = Leader(
            replica=self.replica,
            handlers=handlers,
            clock=clock,
            metrics=self.metrics,
            mover=movers.get(settings.mover),
        )
        self.api = OperatorApi(
            replica=self.replica,
            leader=self.leader,
            clock=clock,
            metrics=self.metrics,
            credential_sha256=settings.operator_credential_sha256,
        )

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; a storage failure ends the process."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.replica.run)
            nursery.start_soon(self.leader.run)
            task_status.started()

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another replica before a graceful shutdown."""
        if not self.replica.transfer_leadership():
            return
        with trio.move_on_after(seconds(LEADERSHIP_TRANSFER_TIMEOUT_MS)):
            while self.replica.is_leader():
                await self.replica.wait_for_change()
