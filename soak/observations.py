"""What callers, operators and minions observed during a soak, in ms of the shared clock."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

from attrs import define, field

NO_RESPONSE = 0
HTTP_OK, HTTP_GONE, HTTP_TOO_MANY_REQUESTS = 200, 410, 429
HTTP_INTERNAL_ERROR, HTTP_UNAVAILABLE, HTTP_GATEWAY_TIMEOUT = 500, 503, 504
ERROR_LEVELS = ("ERROR", "CRITICAL")
# A warning of the scheduler that stands for a fault of its own.
UNPLANNED_JOB = "was not planned"
FINAL_STATES = ("completed", "failed", "cancelled")


@define(frozen=True, kw_only=True)
class Response:
    """Record one call: when it was sent, when it ended and with which status."""

    sent_ms: float
    at_ms: float
    status: int = NO_RESPONSE
    state: str = ""

    @property
    def states_not_run(self) -> bool:
        """Return whether the call was refused with the statement that it has not run."""
        unknown = (NO_RESPONSE, HTTP_OK, HTTP_INTERNAL_ERROR, HTTP_GATEWAY_TIMEOUT)
        return self.status not in unknown


@define(kw_only=True, eq=False)
class JobRecord:
    """Record what a caller observed of one job."""

    job_id: str
    team: str
    cpu_millis: int
    task_count: int
    lasting: bool = False
    submissions: list[Response] = field(factory=list)
    reads: list[Response] = field(factory=list)
    cancels: list[Response] = field(factory=list)

    @property
    def accepted_ms(self) -> float | None:
        """Return when the job was acknowledged, or None."""
        return next((r.at_ms for r in self.submissions if r.status == HTTP_OK), None)

    @property
    def cancelled_ms(self) -> float | None:
        """Return when its cancel was acknowledged, or None."""
        return next((r.at_ms for r in self.cancels if r.status == HTTP_OK), None)

    @property
    def final(self) -> Response | None:
        """Return the first read of a final state, or None."""
        return next((r for r in self.reads if r.state in FINAL_STATES), None)


@define(frozen=True, kw_only=True)
class Evacuation:
    """Record an acknowledged evacuation and when its withdrawal was first sent."""

    data_center: str
    acked_ms: float
    finish_sent_ms: float


@define(frozen=True, kw_only=True)
class DeclarationRead:
    """Record a read of the declaration, and the newest version acknowledged before it was sent."""

    at_ms: float
    acked_version: int
    version: int


@define(frozen=True, kw_only=True)
class RunEvent:
    """Record a line that a minion wrote: `start`, `end` or `ack` of a completed run."""

    kind: str
    task: str
    run: int
    minion: str
    at: float
    zone: str = ""
    end: str = ""

    @property
    def job_id(self) -> str:
        """Return the id of the task's job."""
        return self.task.partition(".")[0]

    @property
    def vm(self) -> str:
        """Return the VM of the minion."""
        return self.minion.rpartition("-")[0]


@define(kw_only=True, eq=False)
class Observations:
    """Hold everything that the invariants are checked on."""

    team_caps: dict[str, int]
    jobs: dict[str, JobRecord] = field(factory=dict)
    events: list[RunEvent] = field(factory=list)
    # Times at which each VM's minion was killed or had exited.
    minion_ends: dict[str, list[float]] = field(factory=dict)
    evacuations: list[Evacuation] = field(factory=list)
    declaration_reads: list[DeclarationRead] = field(factory=list)
    # Faults of the programs that were seen directly, such as a process that ended by itself.
    incidents: list[str] = field(factory=list)
    # How late the soak's own timers fired at most.
    lag_ms: float = 0.0


def load_events(paths: Iterable[Path]) -> list[RunEvent]:
    """Read the minions' lines; a killed minion may have written a part of its last one."""
    events = []
    for path in paths:
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                events.append(RunEvent(**json.loads(line)))
            except json.JSONDecodeError:
                continue
    return sorted(events, key=lambda event: event.at)


def find_logged_faults(paths: Iterable[Path]) -> list[str]:
    """Return the lines in the daemons' logs that only a fault of the program writes."""
    found = []
    for path in paths:
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                row = json.loads(line)
            except json.JSONDecodeError:
                # The end of a traceback, or a line that a killed process didn't complete.
                if line.startswith("Traceback"):
                    found.append(f"{path.name}: {line}")
                continue
            # The WebSocket library logs each connection that it loses as an error.
            is_error = row["level"] in ERROR_LEVELS and not row["part"].startswith("websockets")
            if is_error or UNPLANNED_JOB in row["text"]:
                found.append(f"{path.name}: {row['text']}")
    return found
