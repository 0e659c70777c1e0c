"""Messages between entry processes and control, and between entry processes."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.link.codec import wire_type
from hornbeamreach.tables.announcement import Announcement
from hornbeamreach.tables.reports import JobSpec, PoolLoad, TeamUse, VmReport


@define(frozen=True, kw_only=True)
class LogItem:
    """Hold one committed command as entry processes replay it."""

    index: int
    data: bytes


@define(frozen=True, kw_only=True)
class EntryReport:
    """Report what an entry process knows, as changes since the report that control has."""

    # Number of this report, and of the one that the changes count from; 0 counts from
    # nothing.
    number: int = 1
    since: int = 0
    uses: dict[str, TeamUse] = field(factory=dict)
    uses_removed: list[str] = field(factory=list)
    vm_reports: dict[str, VmReport] = field(factory=dict)
    vm_reports_removed: list[str] = field(factory=list)
    pool_loads: dict[str, PoolLoad] = field(factory=dict)
    pool_loads_removed: list[str] = field(factory=list)


@define(frozen=True, kw_only=True)
class FreeCapacityReport:
    """Tell the pools' free capacity, as changes since what the entry process has."""

    number: int = 1
    since: int = 0
    # "data centre/pool" -> idle processors less waiting work, in 1/1000 core
    free_capacity: dict[str, int] = field(factory=dict)
    removed: list[str] = field(factory=list)


@wire_type("renew")
@define(frozen=True, kw_only=True)
class Renew:
    """Renew an entry process's session and report what it knows.

    The reply is held back until there is news, at most `hold_ms`.
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
    # Draining VMs on which, as the scheduling process knows, no task is left.
    idle_vms: list[str] = field(factory=list)


@wire_type("renew_reply")
@define(frozen=True, kw_only=True)
class RenewReply:
    """Extend the session, and bring news: log items or a whole state, and targets."""

    committed_index: int
    items: list[LogItem] = field(factory=list)
    state: bytes | None = None
    # Slices that the process should come down to.
    targets: dict[str, int] = field(factory=dict)
    # Number of the report that control has now; a process whose report was not taken
    # sends all of it again.
    report_number: int = 0
    free_capacity: FreeCapacityReport = FreeCapacityReport()


@wire_type("use_report")
@define(frozen=True, kw_only=True)
class UseReport:
    """Report urgent changes of use between two renewals."""

    entry_id: str
    incarnation: str
    uses: dict[str, TeamUse]


@wire_type("leave")
@define(frozen=True, kw_only=True)
class Leave:
    """Give everything back: this incarnation has nothing running any more."""

    entry_id: str
    incarnation: str


@wire_type("done")
@define(frozen=True, kw_only=True)
class Done:
    """Acknowledge a request that has no other answer."""


@wire_type("fetch_log")
@define(frozen=True, kw_only=True)
class FetchLog:
    """Ask a peer for what control committed behind an index."""

    from_index: int


@wire_type("log_page")
@define(frozen=True, kw_only=True)
class LogPage:
    """Carry log items, or a whole state when the items are gone."""

    items: list[LogItem] = field(factory=list)
    state: bytes | None = None


@define(frozen=True, kw_only=True)
class EndpointNews:
    """Carry an endpoint's announcement from the process that heard it."""

    announcement: Announcement
    age_ms: int


@wire_type("peer_heartbeat")
@define(frozen=True, kw_only=True)
class PeerHeartbeat:
    """Tell a peer of the same data centre what this process has seen."""

    entry_id: str
    incarnation: str
    applied_index: int
    leaving: bool = False
    endpoints: list[EndpointNews] = field(factory=list)
    # Endpoints that are silent towards this process, or that it has ejected.
    suspects: list[str] = field(factory=list)


@wire_type("peer_status")
@define(frozen=True, kw_only=True)
class PeerStatus:
    """Answer a peer's heartbeat."""

    entry_id: str
    incarnation: str
    applied_index: int


@wire_type("forward_call")
@define(frozen=True, kw_only=True)
class ForwardCall:
    """Hand a call to the team's home data centre, under the id that its caller knows."""

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
class CallAnswer:
    """Carry a minion's whole answer."""

    status: int
    content_type: str
    body: bytes
    endpoint: str
    replayed: bool = False


@wire_type("forward_submit")
@define(frozen=True, kw_only=True)
class ForwardSubmit:
    """Hand a job's submission to the data centre that records it."""

    team: str
    queue: str
    spec: JobSpec
    idempotency_key: str


@wire_type("submit_answer")
@define(frozen=True, kw_only=True)
class SubmitAnswer:
    """Name an accepted job."""

    job_id: str
    replayed: bool = False


@wire_type("forward_job")
@define(frozen=True, kw_only=True)
class ForwardJob:
    """Ask the data centre of a job for its state, or to cancel it."""

    job_id: str
    team: str
    cancel: bool = False


@wire_type("job_answer")
@define(frozen=True, kw_only=True)
class JobAnswer:
    """Tell a job's state and, once it is finished, its result."""

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
class BulkCancelAnswer:
    """Tell how many jobs a bulk cancellation reached."""

    cancelled: int


@wire_type("wake_scheduler")
@define(frozen=True, kw_only=True)
class WakeScheduler:
    """Tell the scheduling process of a data centre of new or cancelled jobs."""

    job_ids: list[str]
    cancel: bool = False


@wire_type("explain_request")
@define(frozen=True, kw_only=True)
class ExplainRequest:
    """Ask an entry process what it knows of a request or job."""

    subject: str


@wire_type("explain_answer")
@define(frozen=True, kw_only=True)
class ExplainAnswer:
    """List what an entry process knows of a request or job."""

    lines: list[str] = field(factory=list)
