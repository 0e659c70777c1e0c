"""Records and the Paxos messages that replicate them."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.link.codec import wire_type
from hornbeamreach.tables.reports import JobSpec


@define(frozen=True, order=True)
class Ballot:
    """Identify and order proposals; each process increments its counter."""

    counter: int = 0
    proposer: str = ""


ZERO_BALLOT = Ballot()


@define(frozen=True, kw_only=True)
class Record:
    """Represent the record of a call, a job or a scheduler lease."""

    kind: str
    state: str
    team: str = ""
    digest: str = ""
    # Process that made the latest change, and the attempt number where attempts are counted.
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
    """Represent one process's vote on a key."""

    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    record: Record | None = None


@wire_type("record_prepare")
@define(frozen=True, kw_only=True)
class RecordPrepare:
    """Request a promise to accept no older proposal for a key."""

    group: str
    key: str
    ballot: Ballot


@wire_type("record_promise")
@define(frozen=True, kw_only=True)
class RecordPromise:
    """Grant or deny a promise; a denial carries the ballot already promised."""

    granted: bool
    promised: Ballot
    accepted: Ballot = ZERO_BALLOT
    record: Record | None = None
    # Records of keys issued before this time may be lost.
    lost_before_ms: int = 0


@wire_type("record_accept")
@define(frozen=True, kw_only=True)
class RecordAccept:
    """Request acceptance of a proposal for a key."""

    group: str
    key: str
    ballot: Ballot
    record: Record | None


@wire_type("record_accepted")
@define(frozen=True, kw_only=True)
class RecordAccepted:
    """Report whether a proposal was accepted."""

    granted: bool
    promised: Ballot


@wire_type("record_recover")
@define(frozen=True, kw_only=True)
class RecordRecover:
    """Request all votes, and a promise to reject ballots below a floor."""

    group: str
    entry_id: str
    floor: int


@wire_type("record_dump")
@define(frozen=True, kw_only=True)
class RecordDump:
    """Carry votes of a process, and whether it is voting."""

    voting: bool
    floor: int
    lost_before_ms: int
    records: dict[str, StoredRecord] = field(factory=dict)


@wire_type("record_scan")
@define(frozen=True, kw_only=True)
class RecordScan:
    """Request the votes on keys with a prefix."""

    group: str
    prefix: str
