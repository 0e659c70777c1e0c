"""Answers to callers of queues, by the committed state of the leader."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from attrs import define

from hornbeamreach.clock import Clock
from hornbeamreach.control.workload_commands import AcceptJob, CancelJob
from hornbeamreach.fleet.messages import QueueAction, QueueAnswer, QueueCall, Served
from hornbeamreach.fleet.scheduler import Scheduler
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.registry import Registry
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import QueueRow
from hornbeamreach.tables.workload import StepJobState
from hornbeamreach.verdict import Reason

log = part_logger("desk")

# Coming back sooner finds the same state: a declaration is expected within seconds.
UNDECLARED_RETRY_MS = 1_000


@define(frozen=True, kw_only=True)
class Admitted:
    """Hold a call whose queue and key are good."""

    queue: str
    row: QueueRow
    team: str
    # The path behind the queue's prefix.
    rest: str


Answering = Callable[["Desk", QueueCall, Admitted], Awaitable[QueueAnswer]]
actions: Registry[Answering] = Registry("queue action")


def refused(reason: Reason, detail: str, *, retry_after_ms: int = 0) -> QueueAnswer:
    """Build a refusal: the call was not and will not be carried out."""
    return QueueAnswer(
        served=Served.REFUSED, reason=reason, detail=detail, retry_after_ms=retry_after_ms
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
class Desk:
    """Answer the calls that reach the leader."""

    scheduler: Scheduler
    clock: Clock
    metrics: Metrics

    @property
    def state(self) -> ControlState:
        """Return the committed state."""
        return self.scheduler.replica.state

    async def answer(self, call: QueueCall) -> QueueAnswer:
        """Check the queue and key of a call and carry it out."""
        admitted = self._admit(call)
        if isinstance(admitted, Admitted):
            answer = await actions.get(call.action.value)(self, call, admitted)
        else:
            answer = admitted
        if answer.reason is not None:
            self.metrics.refused(f"queue_{call.action.value}", answer.reason)
            log.bind(
                request=call.path,
                action=call.action.value,
                version=self.state.workload.declared_version,
                reason=answer.reason.value,
            ).info("call refused: {}", answer.detail)
        return answer

    def _admit(self, call: QueueCall) -> Admitted | QueueAnswer:
        state = self.state
        if not state.workload.declared_version:
            return refused(
                Reason.NOT_READY, "nothing is declared yet", retry_after_ms=UNDECLARED_RETRY_MS
            )
        found = find_queue(state, call.host, call.path)
        if found is None:
            return refused(Reason.UNKNOWN_QUEUE, "no such queue")
        name, row = found
        key = state.keys.get(call.key_hash) if call.key_hash else None
        if key is None and not row.open:
            reason = Reason.UNKNOWN_KEY if call.key_hash else Reason.NO_KEY
            return refused(reason, "the queue needs a team's key")
        team = key.team if key else row.open_team
        return Admitted(queue=name, row=row, team=team, rest=call.path[len(row.path_prefix) :])


@actions.register(QueueAction.SUBMIT.value)
async def submit(desk: Desk, call: QueueCall, admitted: Admitted) -> QueueAnswer:
    """Store a job, once however often it is handed in."""
    scheduler, job_id = desk.scheduler, admitted.rest
    workload = scheduler.ahead.workload
    if call.spec is None:
        return refused(Reason.MALFORMED, "a job is needed")
    if job_id in workload.tombstones:
        return refused(Reason.CANCELLED, "the job was cancelled before it came")
    known = workload.jobs.get(job_id)
    if known is not None and (known.queue, known.team) != (admitted.queue, admitted.team):
        return refused(Reason.FOREIGN_JOB, "another job has this id")
    command = AcceptJob(
        job_id=job_id,
        queue=admitted.queue,
        pool=admitted.row.pool,
        team=admitted.team,
        spec=call.spec,
        at_ms=desk.clock.wall_ms(),
    )
    await scheduler.commit(command)
    log.bind(
        request=job_id,
        queue=admitted.queue,
        team=admitted.team,
        steps=len(call.spec.steps),
        version=desk.state.workload.declared_version,
    ).info("job accepted")
    scheduler.take_job(job_id)
    return QueueAnswer(served=Served.ACCEPTED)


@actions.register(QueueAction.READ.value)
async def read(desk: Desk, call: QueueCall, admitted: Admitted) -> QueueAnswer:
    """Tell a job's state."""
    job = desk.state.workload.jobs.get(admitted.rest)
    if job is None or (job.queue, job.team) != (admitted.queue, admitted.team):
        return refused(Reason.UNKNOWN_JOB, "no such job")
    return QueueAnswer(served=Served.STATE, state=job.state.value)


@actions.register(QueueAction.CANCEL.value)
async def cancel(desk: Desk, call: QueueCall, admitted: Admitted) -> QueueAnswer:
    """Cancel a job; one that never came is refused when it comes."""
    scheduler, job_id = desk.scheduler, admitted.rest
    job = scheduler.ahead.workload.jobs.get(job_id)
    if job is not None and (job.queue, job.team) != (admitted.queue, admitted.team):
        return refused(Reason.UNKNOWN_JOB, "no such job")
    # Also for a job that has ended: its end may not be committed yet.
    await scheduler.commit(CancelJob(job_id=job_id, at_ms=desk.clock.wall_ms()))
    scheduler.stop_job(job_id, "cancelled")
    log.bind(request=job_id, known=job is not None).info("job cancelled")
    if job is None:
        return refused(Reason.UNKNOWN_JOB, "no such job")
    return QueueAnswer(served=Served.CANCELLED)


@actions.register(QueueAction.COUNT.value)
async def count(desk: Desk, call: QueueCall, admitted: Admitted) -> QueueAnswer:
    """Count the queue's jobs of which no task was started."""
    waiting = sum(
        1
        for job in desk.state.workload.jobs.values()
        if job.queue == admitted.queue and job.state is StepJobState.QUEUED
    )
    return QueueAnswer(served=Served.COUNT, count=waiting)
