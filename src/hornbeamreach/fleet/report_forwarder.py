"""Forwarding of minions' reports to the leader, several in one message."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio
from attrs import define, field

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.fleet.messages import ForwardedReport, ForwardedReports, ReportReply
from hornbeamreach.link.codec import wire_converter
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.verdict import Reason

# Reports that arrive within this span share a message. It is less than a tenth of the time in
# which a minion's heartbeat is answered.
BATCH_MS = 50
# Some 20 KB; what arrives beyond it within the span goes in the next message.
MAX_REPORTS = 64


@define(kw_only=True, eq=False)
class ReportBatch:
    """Gather reports; the handler of the first one sends them for all."""

    deadline_ms: int
    reports: list[dict[str, Any]] = field(factory=list)
    full: trio.Event = field(factory=trio.Event)
    done: trio.Event = field(factory=trio.Event)
    reply: ReportReply | None = None
    # Holds for all reports of the batch.
    error: NoLeaderError | RefusedError | None = None


@define(kw_only=True, eq=False)
class ReportForwarder:
    """Forward reports that arrive at about the same time in one message.

    A leader of an earlier build doesn't answer such a message, so it is sent only to one that has
    said in a reply that it reads it.
    """

    finder: LeaderFinder
    clock: Clock
    # Records a report if this replica leads; raises NotLeaderError otherwise.
    record_here: Callable[[MinionReport], None] | None = None
    # Leader that reads batches; empty if none has said so.
    batch_leader: str = field(default="", init=False)
    batch: ReportBatch | None = field(default=None, init=False)

    async def forward(self, report: MinionReport, *, timeout_ms: int) -> None:
        """Return once the leader has the report; raise errors like `LeaderFinder.send_request`."""
        if self.record_here is not None:
            try:
                self.record_here(report)
                return
            except NotLeaderError:
                pass
        deadline_ms = self.clock.now_ms() + timeout_ms
        if not self.batch_leader or self.batch_leader != self.finder.leader:
            await self._send_single(report, deadline_ms)
            return
        batch, position = self._join_batch(report, deadline_ms)
        if position == 0:
            await self._send_batch(batch)
        else:
            await batch.done.wait()
        if batch.error is not None:
            # Each caller gets an error of its own: a traceback belongs to one raise.
            raise _copy_of(batch.error)
        if batch.reply is None:
            # The leader refused the message, or the handler that sends it was cancelled.
            await self._send_single(report, deadline_ms)
        elif position in batch.reply.refused:
            raise RefusedError(Reason.MALFORMED, "the leader could not read the report")

    def _join_batch(self, report: MinionReport, deadline_ms: int) -> tuple[ReportBatch, int]:
        if self.batch is None:
            self.batch = ReportBatch(deadline_ms=deadline_ms)
        batch = self.batch
        batch.reports.append(wire_converter.unstructure(report))
        if len(batch.reports) == MAX_REPORTS:
            self.batch = None
            batch.full.set()
        return batch, len(batch.reports) - 1

    async def _send_batch(self, batch: ReportBatch) -> None:
        try:
            with trio.move_on_after(seconds(BATCH_MS)):
                await batch.full.wait()
            if self.batch is batch:
                self.batch = None
            remaining_ms = batch.deadline_ms - self.clock.now_ms()
            message = ForwardedReports(reports=batch.reports)
            answer = await self.finder.send_request(message, timeout_ms=remaining_ms)
            if isinstance(answer.reply, ReportReply):
                batch.reply = answer.reply
        except NoLeaderError as exc:
            # It may also have reached a leader of an earlier build.
            self.batch_leader = ""
            batch.error = exc
        except RefusedError as exc:
            self.batch_leader = ""
            batch.error = None if exc.reason is Reason.MALFORMED else exc
        finally:
            if self.batch is batch:
                self.batch = None
            batch.done.set()

    async def _send_single(self, report: MinionReport, deadline_ms: int) -> None:
        remaining_ms = deadline_ms - self.clock.now_ms()
        message = ForwardedReport(report=report)
        reply = (await self.finder.send_request(message, timeout_ms=remaining_ms)).reply
        takes_batches = isinstance(reply, ReportReply) and reply.takes_batches
        self.batch_leader = self.finder.leader if takes_batches else ""


def _copy_of(error: NoLeaderError | RefusedError) -> NoLeaderError | RefusedError:
    if isinstance(error, NoLeaderError):
        return NoLeaderError(str(error), verdict=error.verdict)
    return RefusedError(
        error.reason, error.detail, verdict=error.verdict, retry_after_ms=error.retry_after_ms
    )
