"""Two-phase changes of the declared table: prepare, then commit or abort."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control import commands
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.state_machine import Outcome, check_granted_limits
from hornbeamreach.exceptions import NotLeaderError
from hornbeamreach.systems.authority import BlockingHolder, blocking_holders, holders
from hornbeamreach.tables.control_state import PreparedChange
from hornbeamreach.verdict import Reason

if TYPE_CHECKING:
    from hornbeamreach.control.leader import Leader

PREPARE_TIMEOUT_MS = 6_000
ROLLOUT_TIMEOUT_MS = 11_000
REPORT_WAIT_MS = 200


class ChangeCoordinator:
    """Commit or abort prepared changes, and wait until committed ones are applied everywhere."""

    def __init__(self, *, leader: Leader, replica: Replica, clock: Clock) -> None:
        self.leader = leader
        self.replica = replica
        self.clock = clock

    async def submit(self, command: commands.PrepareChange) -> Outcome:
        """Submit a change and return its outcome.

        Returns once every reachable process has applied an accepted change, or after
        ROLLOUT_TIMEOUT_MS. Raises NotLeaderError if this replica does not lead or stops leading.
        """
        self.leader.require_leader()
        outcome = await self.replica.propose(command)
        if outcome.prepared:
            outcome = await self._await_prepared(command.operation_id)
        if outcome.accepted:
            await self._await_rollout(outcome.index)
        elif outcome.reason is not None:
            self.leader.metrics.refused("change", outcome.reason)
        return outcome

    async def _await_prepared(self, operation_id: str) -> Outcome:
        while operation_id in self.replica.state.prepared:
            self.leader.require_leader()
            await self.resolve_prepared()
            if operation_id in self.replica.state.prepared:
                await self._wait_for_report()
        answer = self.replica.state.answers.get(operation_id)
        if answer is None:
            raise NotLeaderError(self.replica.leader_address())
        return Outcome(
            accepted=answer.accepted,
            version=answer.version,
            index=answer.index,
            reason=answer.reason,
            detail=answer.detail,
        )

    async def resolve_prepared(self) -> None:
        """Commit or abort each prepared change that can be decided now."""
        for operation_id, prepared in list(self.replica.state.prepared.items()):
            command = self._decide(operation_id, prepared)
            if command is not None:
                await self.replica.propose(command)

    def _decide(
        self, operation_id: str, prepared: PreparedChange
    ) -> commands.CommitChange | commands.AbortChange | None:
        now_ms, wall_ms = self.clock.now_ms(), self.clock.wall_ms()
        blocking = self._find_blocking_holders(prepared, now_ms)
        waited_ms = wall_ms - prepared.prepared_ms
        deadline_ms = now_ms + max(0, PREPARE_TIMEOUT_MS - waited_ms)
        cut_off = [h for h in blocking if not h.release_expected and h.until_ms > deadline_ms]
        limit_refusal = check_granted_limits(self.replica.state, prepared.change)
        if cut_off:
            return self._abort(
                operation_id, Reason.DATA_CENTER_CUT_OFF, self._cut_off_detail(cut_off), wall_ms
            )
        if not blocking and limit_refusal is None:
            return commands.CommitChange(operation_id=operation_id, at_ms=wall_ms)
        if waited_ms < PREPARE_TIMEOUT_MS:
            self.leader.slices.mark_dirty(
                e.name for e in prepared.change.edits if e.kind == "teams"
            )
            return None
        if limit_refusal is not None:
            return self._abort(operation_id, Reason.TEAM_AT_LIMIT, limit_refusal.detail, wall_ms)
        names = ", ".join(sorted({holder.data_center for holder in blocking}))
        detail = f"{names} did not acknowledge the change in {PREPARE_TIMEOUT_MS} ms"
        return self._abort(operation_id, Reason.DATA_CENTER_CUT_OFF, detail, wall_ms)

    def _find_blocking_holders(self, prepared: PreparedChange, now_ms: int) -> list[BlockingHolder]:
        if not prepared.teams and not prepared.shared_rows:
            return []
        return blocking_holders(
            self.replica.state,
            self.leader.session_table,
            index=prepared.prepared_index,
            teams=None if prepared.shared_rows else prepared.teams,
            now_ms=now_ms,
        )

    def _abort(
        self, operation_id: str, reason: Reason, detail: str, at_ms: int
    ) -> commands.AbortChange:
        return commands.AbortChange(
            operation_id=operation_id, reason=reason, detail=detail, at_ms=at_ms
        )

    def _cut_off_detail(self, cut_off: list[BlockingHolder]) -> str:
        names = ", ".join(sorted({holder.data_center for holder in cut_off}))
        wait_ms = max(holder.until_ms for holder in cut_off) - self.clock.now_ms()
        return f"{names} is cut off and may act on the old value for {wait_ms} ms more"

    async def _await_rollout(self, index: int) -> None:
        """Wait until every reachable process has applied an index.

        Processes release the old value of a tightening change before it is committed, so a
        process that loses contact later acts on the old value no longer than its session lasts.
        """
        with trio.move_on_after(seconds(ROLLOUT_TIMEOUT_MS)):
            while self._has_stale_session(index):
                self.leader.require_leader()
                await self._wait_for_report()

    def _has_stale_session(self, index: int) -> bool:
        now_ms = self.clock.now_ms()
        return any(
            session.is_live(now_ms) and session.applied_index < index
            for session in (
                self.leader.session_table.get(holder) for holder, _ in holders(self.replica.state)
            )
        )

    async def _wait_for_report(self) -> None:
        with trio.move_on_after(seconds(REPORT_WAIT_MS)):
            await self.leader.report_received.wait()
