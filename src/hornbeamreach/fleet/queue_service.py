"""Service that answers queue calls on the leader."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
from attrs import define

from hornbeamreach.clock import Clock
from hornbeamreach.control.workload_commands import AcceptJob, CancelJob
from hornbeamreach.fleet.messages import QueueAction, QueueAnswer, QueueCall, QueueOutcome
from hornbeamreach.fleet.step_scheduler import StepScheduler
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.registry import Registry
from hornbeamreach.systems.accepted_queues import belongs_to
from hornbeamreach.systems.job_limits import exceeded_limit
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import QueueRow
from hornbeamreach.tables.workload import StepJob, StepJobState, Workload
from hornbeamreach.verdict import Reason

log = part_logger("queues")

# An earlier retry would find the same state: a declaration is expected within seconds.
UNDECLARED_RETRY_MS = 1_000
# The time to look up each end of a path grows with the square of its length.
MAX_SEARCHED_PATH = 256
# The commit of a declaration takes some round trips and disk syncs.
DECLARING_RETRY_MS = 1_000


@define(frozen=True, kw_only=True)
class AuthorizedCall:
    """Hold the queue, team and job id of a call that passed authorization."""

    queue: str
    row: QueueRow
    team: str
    # SHA-256 of the caller's key; empty without one, as on an open queue.
    key_hash: str
    # The path after the queue's prefix: the job id.
    path_suffix: str


ActionHandler = Callable[["QueueService", QueueCall, AuthorizedCall], Awaitable[QueueAnswer]]
actions: Registry[ActionHandler] = Registry("queue action")


def build_refusal(reason: Reason, detail: str, *, retry_after_ms: int = 0) -> QueueAnswer:
    """Build the answer to a refused call, which is not and will not be carried out."""
    return QueueAnswer(
        served=QueueOutcome.REFUSED, reason=reason, detail=detail, retry_after_ms=retry_after_ms
    )


def find_queue(state: ControlState, host: str, path: str) -> tuple[str, QueueRow] | None:
    """Return the queue of the host whose prefix of the path is the longest."""
    found = [
        (name, row)
        for name, row in state.table.queues.items()
        if row.host == host and path.startswith(row.path_prefix)
    ]
    return max(found, key=lambda item: len(item[1].path_prefix), default=None)


@define(kw_only=True)
class QueueService:
    """Answer queue calls from the leader's state."""

    scheduler: StepScheduler
    clock: Clock
    metrics: Metrics

    @property
    def state(self) -> ControlState:
        """Return the committed state."""
        return self.scheduler.replica.state

    async def answer(self, call: QueueCall) -> QueueAnswer:
        """Authorize a call, carry it out and return its answer."""
        authorized = self._authorize(call)
        if isinstance(authorized, AuthorizedCall):
            answer = await actions.get(call.action.value)(self, call, authorized)
        else:
            answer = authorized
        if answer.reason is not None:
            self.metrics.refused(f"queue_{call.action.value}", answer.reason)
            log.bind(
                request=call.path,
                action=call.action.value,
                version=self.state.workload.declared_version,
                reason=answer.reason.value,
            ).info("call refused: {}", answer.detail)
        return self._with_term(call, answer)

    def _with_term(self, call: QueueCall, answer: QueueAnswer) -> QueueAnswer:
        """Name the term in an answer, unless a refused submission may have been accepted before."""
        refuses_job = answer.refused and call.action is QueueAction.SUBMIT
        if refuses_job and self._may_name_job(call.path):
            return answer
        return attrs.evolve(answer, term=self.scheduler.term)

    def _may_name_job(self, path: str) -> bool:
        """Return whether a path ends with the id of a known job.

        The declaration may have changed since, so any end of the path may be a job's id.
        """
        jobs = self.scheduler.proposed.workload.jobs
        if len(path) > MAX_SEARCHED_PATH:
            return any(path.endswith(job_id) for job_id in jobs)
        return any(path[start:] in jobs for start in range(len(path)))

    def _authorize(self, call: QueueCall) -> AuthorizedCall | QueueAnswer:
        state = self.state
        if not state.workload.declared_version:
            return build_refusal(
                Reason.NOT_READY, "nothing is declared yet", retry_after_ms=UNDECLARED_RETRY_MS
            )
        found = find_queue(state, call.host, call.path)
        if found is None:
            return build_refusal(Reason.UNKNOWN_QUEUE, "no such queue")
        name, row = found
        key = state.keys.get(call.key_hash) if call.key_hash else None
        if key is None and not row.open:
            reason = Reason.UNKNOWN_KEY if call.key_hash else Reason.NO_KEY
            return build_refusal(reason, "the queue needs a team's key")
        team = key.team if key else row.open_team
        return AuthorizedCall(
            queue=name,
            row=row,
            team=team,
            key_hash=call.key_hash if key else "",
            path_suffix=call.path[len(row.path_prefix) :],
        )

    def find_job(
        self, workload: Workload, call: QueueCall, authorized: AuthorizedCall
    ) -> StepJob | None:
        """Return the job that a call names, whatever its queue is called since its acceptance."""
        job = workload.jobs.get(authorized.path_suffix)
        if job is not None and belongs_to(workload, job, authorized.queue, authorized.row):
            return job
        path = call.path
        for start in range(max(0, len(path) - MAX_SEARCHED_PATH), len(path)):
            job = workload.jobs.get(path[start:])
            queue = workload.queues.get(job.queue_number) if job is not None else None
            if queue is not None and queue.address == (call.host, path[:start]):
                return job
        return None

    def is_being_redeclared(self, call: QueueCall, authorized: AuthorizedCall) -> bool:
        """Return whether a declaration that is not committed yet removes or renames a queue."""
        proposed = self.scheduler.proposed
        if proposed.workload.declared_version == self.state.workload.declared_version:
            return False
        found = find_queue(proposed.state, call.host, call.path)
        known = (authorized.queue, authorized.row.path_prefix)
        return found is None or (found[0], found[1].path_prefix) != known


def may_access(job: StepJob, authorized: AuthorizedCall) -> bool:
    """Return whether a caller may ask for a job of the queue that it calls.

    A key that submitted a job gives access to it whatever its team is called since. Jobs submitted
    to an open queue, and those of a queue that is open now, have no owner.
    """
    if not authorized.key_hash or job.team in (authorized.team, authorized.row.open_team):
        return True
    return job.key_hash == authorized.key_hash


@actions.register(QueueAction.SUBMIT.value)
async def submit(service: QueueService, call: QueueCall, authorized: AuthorizedCall) -> QueueAnswer:
    """Accept a job; a repeated submission leaves it unchanged."""
    scheduler = service.scheduler
    workload = scheduler.proposed.workload
    if call.spec is None:
        return build_refusal(Reason.MALFORMED, "a job is needed")
    known = service.find_job(workload, call, authorized)
    job_id = known.job_id if known is not None else authorized.path_suffix
    if job_id in workload.tombstones:
        return build_refusal(Reason.CANCELLED, "the job was cancelled before it came")
    if job_id in workload.jobs and (known is None or not may_access(known, authorized)):
        return build_refusal(Reason.FOREIGN_JOB, "another job has this id")
    exceeded = exceeded_limit(call.spec)
    if known is None and exceeded is not None:
        return build_refusal(Reason.MALFORMED, exceeded)
    if known is None and service.is_being_redeclared(call, authorized):
        return build_refusal(
            Reason.NOT_READY,
            "a declaration that removes or renames the queue is being committed",
            retry_after_ms=DECLARING_RETRY_MS,
        )
    at_ms = service.clock.wall_ms()
    if known is None:
        decision = scheduler.job_admission.decide(
            job_id,
            call.spec,
            queue=authorized.queue,
            row=authorized.row,
            team=authorized.team,
        )
        if not decision.accepted:
            return build_refusal(
                Reason.OVERLOADED, decision.detail, retry_after_ms=decision.retry_after_ms
            )
        # The caller has waited since its first request, so that time counts for the order.
        at_ms -= decision.waited_ms
    command = AcceptJob(
        job_id=job_id,
        queue=authorized.queue,
        pool=authorized.row.pool,
        team=authorized.team,
        spec=call.spec,
        at_ms=at_ms,
        key_hash=authorized.key_hash,
    )
    await scheduler.accept_job(command)
    log.bind(
        request=job_id,
        queue=authorized.queue,
        team=authorized.team,
        steps=len(call.spec.steps),
        version=service.state.workload.declared_version,
    ).info("job accepted")
    return QueueAnswer(served=QueueOutcome.ACCEPTED)


@actions.register(QueueAction.READ.value)
async def read(service: QueueService, call: QueueCall, authorized: AuthorizedCall) -> QueueAnswer:
    """Return a job's committed state."""
    job = service.find_job(service.state.workload, call, authorized)
    if job is None or not may_access(job, authorized):
        return build_refusal(Reason.UNKNOWN_JOB, "no such job")
    return QueueAnswer(served=QueueOutcome.STATE, state=job.state.value)


@actions.register(QueueAction.CANCEL.value)
async def cancel(service: QueueService, call: QueueCall, authorized: AuthorizedCall) -> QueueAnswer:
    """Cancel a job; an unknown one is refused if it is submitted later."""
    scheduler = service.scheduler
    workload = scheduler.proposed.workload
    job = service.find_job(workload, call, authorized)
    job_id = job.job_id if job is not None else authorized.path_suffix
    if job_id in workload.jobs and (job is None or not may_access(job, authorized)):
        return build_refusal(Reason.UNKNOWN_JOB, "no such job")
    # Commits the cancel of an ended job too: its end may not be committed yet.
    await scheduler.cancel_job(CancelJob(job_id=job_id, at_ms=service.clock.wall_ms()))
    log.bind(request=job_id, known=job is not None).info("job cancelled")
    if job is None:
        return build_refusal(Reason.UNKNOWN_JOB, "no such job")
    return QueueAnswer(served=QueueOutcome.CANCELLED)


@actions.register(QueueAction.COUNT.value)
async def count(service: QueueService, call: QueueCall, authorized: AuthorizedCall) -> QueueAnswer:
    """Return the number of the queue's jobs with no started task."""
    workload = service.state.workload
    queued = sum(
        1
        for job in workload.jobs.values()
        if job.state is StepJobState.QUEUED
        and belongs_to(workload, job, authorized.queue, authorized.row)
    )
    return QueueAnswer(served=QueueOutcome.COUNT, count=queued)
