"""Records and the messages by which entry processes agree on them."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.link.codec import wire_type
from hornbeamreach.tables.reports import JobSpec


@define(frozen=True, order=True)
class Ballot:
    """Order proposals; a later proposal of the same process has a higher counter."""

    counter: int = 0
    proposer: str = ""


ZERO_BALLOT = Ballot()


@define(frozen=True, kw_only=True)
class Record:
    """Hold what is recorded under one key: of a call, a job or a scheduling lease."""

    kind: str
    state: str
    team: str = ""
    digest: str = ""
    # Who made the latest step, and its number where steps are numbered.
    holder: str = ""
    attempt: int = 0
    target: str = ""
    at_ms: int = 0
    verdict: str = ""
    reason: str = ""
    detail: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    queue: str = ""
    spec: JobSpec | None = None
    submitted_ms: int = 0
    checkpoint: str = ""


@define(frozen=True, kw_only=True)
class StoredRecord:
    """Hold one process's vote on a key."""

    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    record: Record | None = None


@wire_type("record_prepare")
@define(frozen=True, kw_only=True)
class RecordPrepare:
    """Ask for a promise not to accept older proposals for a key."""

    group: str
    key: str
    ballot: Ballot


@wire_type("record_promise")
@define(frozen=True, kw_only=True)
class RecordPromise:
    """Give or deny a promise; a denial names the ballot that stands against it."""

    granted: bool
    promised: Ballot
    accepted: Ballot = ZERO_BALLOT
    record: Record | None = None
    # Keys issued before this may have been recorded and lost.
    lost_before_ms: int = 0


@wire_type("record_accept")
@define(frozen=True, kw_only=True)
class RecordAccept:
    """Ask to accept a proposal for a key."""

    group: str
    key: str
    ballot: Ballot
    record: Record | None


@wire_type("record_accepted")
@define(frozen=True, kw_only=True)
class RecordAccepted:
    """Say whether a proposal was accepted."""

    granted: bool
    promised: Ballot


@wire_type("record_recover")
@define(frozen=True, kw_only=True)
class RecordRecover:
    """Ask for all records, and for a promise against ballots below a floor."""

    group: str
    entry_id: str
    floor: int


@wire_type("record_dump")
@define(frozen=True, kw_only=True)
class RecordDump:
    """Carry all records of a process, and whether it votes."""

    voting: bool
    floor: int
    lost_before_ms: int
    records: dict[str, StoredRecord] = field(factory=dict)


@wire_type("record_scan")
@define(frozen=True, kw_only=True)
class RecordScan:
    """Ask for the records whose keys begin with a prefix."""

    group: str
    prefix: str
