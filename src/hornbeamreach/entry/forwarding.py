"""Forward requests to the data centre that decides on them."""

from __future__ import annotations

import random
from typing import Any

from hornbeamreach.entry.call_service import CallRequest, CallService
from hornbeamreach.entry.control_session import ControlSession
from hornbeamreach.entry.history import History
from hornbeamreach.entry.identifiers import parse_job_id
from hornbeamreach.entry.job_service import JobService
from hornbeamreach.entry.replayed_state import ReplayedState
from hornbeamreach.exceptions import (
    LinkError,
    NotLeaderError,
    PeerUnreachableError,
    RefusedError,
)
from hornbeamreach.link.interface import HandlerTable, Link
from hornbeamreach.link.messages import (
    BulkCancelReply,
    CallReply,
    ExplainReply,
    ExplainRequest,
    ForwardBulkCancel,
    ForwardCall,
    ForwardJob,
    ForwardSubmit,
    JobReply,
    SubmitReply,
)
from hornbeamreach.systems.data_center_choice import choose_data_center
from hornbeamreach.verdict import Reason, Verdict

FORWARD_MARGIN_MS = 500
SUBMIT_TIMEOUT_MS = 8_000
QUERY_TIMEOUT_MS = 5_000
RETRY_AFTER_MS = 2_000


class Forwarder:
    """Serve the requests that this data centre decides on, and forward the others."""

    def __init__(
        self,
        *,
        data_center: str,
        remote_entries: dict[str, list[str]],
        replayed_state: ReplayedState,
        control_session: ControlSession,
        calls: CallService,
        jobs: JobService,
        history: History,
        link: Link,
        handlers: HandlerTable,
        rng: random.Random,
        peers: dict[str, str],
    ) -> None:
        self.data_center = data_center
        self.remote_entries = remote_entries
        self.replayed_state = replayed_state
        self.control_session = control_session
        self.last_free_capacity: object = None
        # pool -> data centre -> CPU of the jobs sent there since the last free-capacity report
        self.sent_cpu_millis: dict[str, dict[str, int]] = {}
        self.calls = calls
        self.jobs = jobs
        self.history = history
        self.link = link
        self.rng = rng
        self.peers = peers
        handlers.on(ForwardCall, self._on_call)
        handlers.on(ForwardSubmit, self.jobs.submit)
        handlers.on(ForwardJob, self._on_job)
        handlers.on(ForwardBulkCancel, self.jobs.bulk_cancel)
        handlers.on(ExplainRequest, self._on_explain)

    # Calls

    async def call(self, *, request_id: str, **fields: Any) -> CallReply:
        """Serve a call here, or in the team's home if it has a key and must run at most once."""
        forward = ForwardCall(request_id=request_id, **fields)
        home = self._home(forward.team)
        if not forward.idempotency_key or home == self.data_center:
            return await self._serve_call(forward)
        self.history.add(request_id, self.calls.clock.wall_ms(), f"forwarded to {home}")
        timeout_ms = forward.deadline_ms + FORWARD_MARGIN_MS
        return await self._request(home, forward, timeout_ms)

    def _home(self, team: str) -> str:
        row = self.replayed_state.state.table.teams.get(team)
        return row.home if row else self.data_center

    async def _serve_call(self, forward: ForwardCall) -> CallReply:
        return await self.calls.call(
            CallRequest(
                request_id=forward.request_id,
                team=forward.team,
                key_hash=forward.key_hash,
                service=forward.service,
                content_type=forward.content_type,
                body=forward.body,
                deadline_ms=forward.deadline_ms,
                idempotency_key=forward.idempotency_key,
            )
        )

    async def _on_call(self, message: ForwardCall) -> CallReply:
        if self._home(message.team) != self.data_center:
            detail = f"{self.data_center} is not the home of team {message.team}"
            raise RefusedError(Reason.HOME_UNREACHABLE, detail)
        return await self._serve_call(message)

    # Jobs

    async def submit(self, message: ForwardSubmit) -> SubmitReply:
        """Accept a job where capacity is free, or in the team's home if it has a key."""
        if message.idempotency_key:
            data_center = self._home(message.team)
        else:
            data_center = self._select_data_center(message)
        if data_center == self.data_center:
            return await self.jobs.submit(message)
        try:
            return await self._request(data_center, message, SUBMIT_TIMEOUT_MS)
        except RefusedError as exc:
            if message.idempotency_key or exc.verdict is not Verdict.NOT_RUN:
                raise
            return await self.jobs.submit(message)

    def _select_data_center(self, message: ForwardSubmit) -> str:
        queue = self.replayed_state.state.table.queues.get(message.queue)
        if queue is None:
            return self.data_center
        free_capacity = self.control_session.free_capacity.by_location
        if free_capacity is not self.last_free_capacity:
            self.last_free_capacity, self.sent_cpu_millis = free_capacity, {}
        sent = self.sent_cpu_millis.setdefault(queue.pool, {})
        chosen = choose_data_center(
            self.data_center, queue.pool, message.spec, free_capacity, sent, self.rng
        )
        sent[chosen] = sent.get(chosen, 0) + message.spec.cpu_millis
        return chosen

    async def describe_job(self, message: ForwardJob) -> JobReply:
        """Return a job's state from where it is recorded, after cancelling it if requested."""
        data_center = parse_job_id(message.job_id).data_center
        if data_center == self.data_center:
            return await self._on_job(message)
        return await self._request(data_center, message, QUERY_TIMEOUT_MS)

    async def _on_job(self, message: ForwardJob) -> JobReply:
        return await self.jobs.describe(message, self._open_teams())

    def _open_teams(self) -> set[str]:
        return {
            queue.open_team
            for queue in self.replayed_state.state.table.queues.values()
            if queue.open
        }

    async def bulk_cancel(self, message: ForwardBulkCancel) -> BulkCancelReply:
        """Cancel a team's jobs in a queue in every reachable data centre.

        Raises RefusedError if a data centre is unreachable; its jobs may not be cancelled.
        """
        cancelled = (await self.jobs.bulk_cancel(message)).cancelled
        unreachable = []
        for data_center in sorted(self.remote_entries):
            try:
                reply = await self._request(data_center, message, QUERY_TIMEOUT_MS)
                cancelled += reply.cancelled
            except RefusedError:
                unreachable.append(data_center)
        if unreachable:
            detail = f"cancelled {cancelled}, but {', '.join(unreachable)} can't be reached"
            raise RefusedError(Reason.HOME_UNREACHABLE, detail, verdict=Verdict.MAY_HAVE_RUN)
        return BulkCancelReply(cancelled=cancelled)

    # Explanations

    async def _on_explain(self, message: ExplainRequest) -> ExplainReply:
        return ExplainReply(lines=self._local_lines(message.subject))

    def _local_lines(self, subject: str) -> list[str]:
        lines = self.history.lines(subject)
        call = self.calls.tables.calls.get(subject)
        if call is not None and not call.running:
            lines.append(f"waits for {call.waiting_for or 'its turn'}")
        is_evacuated = self.data_center in self.replayed_state.state.workload.evacuated
        # The id of a job begins with the data centre where it is recorded and runs.
        if is_evacuated and subject.startswith(f"{self.data_center}."):
            lines.append(f"{self.data_center} is evacuated: none of its queued jobs starts")
        return lines

    async def explain(self, subject: str) -> list[str]:
        """Collect the history of a subject from every reachable entry process."""
        lines = [f"here: {line}" for line in self._local_lines(subject)]
        addresses = list(self.peers.values())
        for data_center in sorted(self.remote_entries):
            addresses += self.remote_entries[data_center]
        for address in addresses:
            try:
                reply = await self.link.request(
                    address, ExplainRequest(subject=subject), timeout_ms=QUERY_TIMEOUT_MS
                )
                lines += [f"{address}: {line}" for line in reply.lines]
            except (LinkError, RefusedError, NotLeaderError) as exc:
                lines.append(f"{address}: did not answer: {exc}")
        return lines

    # Requests to other processes

    async def _request(self, data_center: str, message: Any, timeout_ms: int) -> Any:
        """Send a request to one process of a data centre; try another only if nothing was sent."""
        addresses = list(self.remote_entries.get(data_center, []))
        self.rng.shuffle(addresses)
        for address in addresses:
            try:
                return await self.link.request(address, message, timeout_ms=timeout_ms)
            except PeerUnreachableError:
                continue
            except LinkError as exc:
                detail = f"{data_center} did not answer: {exc}"
                raise RefusedError(
                    Reason.HOME_UNREACHABLE, detail, verdict=Verdict.MAY_HAVE_RUN
                ) from exc
        raise RefusedError(
            Reason.HOME_UNREACHABLE,
            f"no entry VM of {data_center} can be reached",
            verdict=Verdict.NOT_RUN,
            retry_after_ms=RETRY_AFTER_MS,
        )
