"""Messages among entry processes and between them and control."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.link.codec import wire_type
from hornbeamreach.tables.announcement import Announcement
from hornbeamreach.tables.reports import JobSpec, PermitUse, PoolLoad, VmReport


@define(frozen=True, kw_only=True)
class LogItem:
    """Carry one committed command for entry processes to replay."""

    index: int
    data: bytes


@define(frozen=True, kw_only=True)
class EntryReport:
    """Report an entry process's state, as changes since the report that control has."""

    # Number of this report, and of the report that its changes are based on; `since` is 0 in a
    # full report.
    number: int = 1
    since: int = 0
    uses: dict[str, PermitUse] = field(factory=dict)
    uses_removed: list[str] = field(factory=list)
    vm_reports: dict[str, VmReport] = field(factory=dict)
    vm_reports_removed: list[str] = field(factory=list)
    pool_loads: dict[str, PoolLoad] = field(factory=dict)
    pool_loads_removed: list[str] = field(factory=list)


@define(frozen=True, kw_only=True)
class FreeCapacityReport:
    """Report the free capacity of the pools, as changes since the report that the entry has."""

    number: int = 1
    since: int = 0
    # "data centre/pool" -> idle CPU minus queued demand, in thousandths of a core
    free_capacity: dict[str, int] = field(factory=dict)
    removed: list[str] = field(factory=list)


@wire_type("renew")
@define(frozen=True, kw_only=True)
class Renew:
    """Renew an entry process's session and report its state.

    The reply is delayed until there is an update, for at most `hold_ms`.
    """

    entry_id: str
    incarnation: str
    data_center: str
    address: str
    peer_count: int
    applied_index: int
    hold_ms: int
    report: EntryReport = EntryReport()
    # Number of the free-capacity report that the process has.
    free_capacity_number: int = 0
    # Calls in flight and tasks on VMs that are being drained.
    busy_vms: dict[str, int] = field(factory=dict)
    # Draining VMs without tasks, according to the job scheduler of the data centre.
    idle_vms: list[str] = field(factory=list)


@wire_type("renew_reply")
@define(frozen=True, kw_only=True)
class RenewReply:
    """Confirm the renewal; carry log items or a full state, and slice targets."""

    committed_index: int
    items: list[LogItem] = field(factory=list)
    state: bytes | None = None
    # Slice sizes that the process should reduce its use to.
    targets: dict[str, int] = field(factory=dict)
    # Number of the report that control has now; a process whose report was not applied sends
    # a full report next.
    report_number: int = 0
    free_capacity: FreeCapacityReport = FreeCapacityReport()


@wire_type("use_report")
@define(frozen=True, kw_only=True)
class PermitUseReport:
    """Report urgent changes of permit use between two renewals."""

    entry_id: str
    incarnation: str
    uses: dict[str, PermitUse]


@wire_type("leave")
@define(frozen=True, kw_only=True)
class Leave:
    """Release all grants; nothing of this incarnation is running any more."""

    entry_id: str
    incarnation: str


@wire_type("done")
@define(frozen=True, kw_only=True)
class Acknowledgement:
    """Acknowledge a request that has no other reply."""


@wire_type("fetch_log")
@define(frozen=True, kw_only=True)
class FetchLog:
    """Request from a peer the log items committed after an index."""

    from_index: int


@wire_type("log_page")
@define(frozen=True, kw_only=True)
class LogPage:
    """Carry log items, or a full state if the items are no longer available."""

    items: list[LogItem] = field(factory=list)
    state: bytes | None = None


@define(frozen=True, kw_only=True)
class EndpointUpdate:
    """Carry an endpoint's announcement from the process that received it."""

    announcement: Announcement
    age_ms: int


@wire_type("peer_heartbeat")
@define(frozen=True, kw_only=True)
class PeerHeartbeat:
    """Report to a peer of the same data centre what this process has observed."""

    entry_id: str
    incarnation: str
    applied_index: int
    leaving: bool = False
    endpoints: list[EndpointUpdate] = field(factory=list)
    # Endpoints that do not respond to this process, or that it has ejected.
    suspects: list[str] = field(factory=list)


@wire_type("peer_status")
@define(frozen=True, kw_only=True)
class PeerStatus:
    """Reply to a peer's heartbeat."""

    entry_id: str
    incarnation: str
    applied_index: int


@wire_type("forward_call")
@define(frozen=True, kw_only=True)
class ForwardCall:
    """Forward a call to the team's home data centre, under the id known to its caller."""

    request_id: str
    team: str
    key_hash: str
    service: str
    idempotency_key: str
    content_type: str
    body: bytes
    deadline_ms: int


@wire_type("call_answer")
@define(frozen=True, kw_only=True)
class CallReply:
    """Carry a minion's complete response."""

    status: int
    content_type: str
    body: bytes
    endpoint: str
    replayed: bool = False


@wire_type("forward_submit")
@define(frozen=True, kw_only=True)
class ForwardSubmit:
    """Forward a job submission to the data centre that records it."""

    team: str
    queue: str
    spec: JobSpec
    idempotency_key: str


@wire_type("submit_answer")
@define(frozen=True, kw_only=True)
class SubmitReply:
    """Return the id of an accepted job."""

    job_id: str
    replayed: bool = False


@wire_type("forward_job")
@define(frozen=True, kw_only=True)
class ForwardJob:
    """Request the state of a job from its data centre, or its cancellation."""

    job_id: str
    team: str
    cancel: bool = False


@wire_type("job_answer")
@define(frozen=True, kw_only=True)
class JobReply:
    """Report a job's state and, once it is finished, its result."""

    job_id: str
    team: str
    queue: str
    state: str
    verdict: str
    reason: str
    detail: str
    attempts: int
    worker: str
    result: str
    submitted_ms: int
    finished_ms: int


@wire_type("forward_bulk_cancel")
@define(frozen=True, kw_only=True)
class ForwardBulkCancel:
    """Cancel all unfinished jobs of a team in a queue."""

    team: str
    queue: str


@wire_type("bulk_cancel_answer")
@define(frozen=True, kw_only=True)
class BulkCancelReply:
    """Report the number of jobs that a bulk cancellation reached."""

    cancelled: int


@wire_type("wake_scheduler")
@define(frozen=True, kw_only=True)
class WakeScheduler:
    """Notify the job scheduler of a data centre of new or cancelled jobs."""

    job_ids: list[str]
    cancel: bool = False


@wire_type("explain_request")
@define(frozen=True, kw_only=True)
class ExplainRequest:
    """Ask an entry process for the history of a request or job."""

    subject: str


@wire_type("explain_answer")
@define(frozen=True, kw_only=True)
class ExplainReply:
    """Return the history of a request or job, for operators."""

    lines: list[str] = field(factory=list)
