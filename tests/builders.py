"""Builders of test data."""

from __future__ import annotations

import json
from typing import Any

import attrs

from hornbeamreach.control import commands
from hornbeamreach.control.raft_messages import Snapshot
from hornbeamreach.control.state_machine import Outcome, apply_command
from hornbeamreach.control.workload_commands import AcceptJob
from hornbeamreach.converters import to_plain
from hornbeamreach.demo.deployment import sha256
from hornbeamreach.fleet.ports import StartOrder
from hornbeamreach.settings import (
    ControlSettings,
    EntrySettings,
    LinkSettings,
    choose_witnesses,
)
from hornbeamreach.systems.replica_limits import MIB, ReplicaLimits
from hornbeamreach.systems.ticket_choice import TicketCandidate
from hornbeamreach.tables.calls import CallRow, EndpointRow
from hornbeamreach.tables.control_state import Change, ControlState, KeyEdit
from hornbeamreach.tables.declared import (
    DeclaredTable,
    PoolRow,
    QueueRow,
    RowEdit,
    ServiceRow,
    TeamRow,
    VmRow,
)
from hornbeamreach.tables.jobs import JobRow, Resources, WorkerRow
from hornbeamreach.tables.minions import Minion, MinionReport, ReservedRun, RunPhase
from hornbeamreach.tables.reports import JobSpec
from hornbeamreach.tables.table_file import edits_between
from hornbeamreach.tables.workload import MaintenanceWave, StepJobSpec, StepSpec

LINK_SECRET = "link-secret-for-tests"
OPERATOR_CREDENTIAL = "operator-credential"
ENDPOINT_CREDENTIAL = "endpoint-credential"
DATA_CENTERS = ("dc1", "dc2", "dc3")
START_MS = 1_000_000_000_000


def team(**columns: Any) -> TeamRow:
    return TeamRow(**{"weight": 1.0, "max_running": 12, "home": "dc1", **columns})


def pool(**columns: Any) -> PoolRow:
    defaults = {"max_down": 1, "probation_ms": 1_000, "drain_ms": 5_000}
    return PoolRow(**{**defaults, "maintenance_interval_ms": 0, **columns})


def vm(data_center: str = "dc1", rack: str = "r1", **columns: Any) -> VmRow:
    defaults = {"pool": "main", "cpu_millis": 16_000, "memory_mb": 32_768}
    return VmRow(**{**defaults, "data_center": data_center, "rack": rack, **columns})


def queue(**columns: Any) -> QueueRow:
    return QueueRow(**{"pool": "main", **columns})


def table(**kinds: Any) -> DeclaredTable:
    """Return a valid table: two teams, and one pool of six VMs in three data centres."""
    defaults: dict[str, Any] = {
        "teams": {"red": team(), "blue": team(home="dc2")},
        "pools": {"main": pool()},
        "services": {
            "quotes": ServiceRow(pool="main", idempotent=True, deadline_ms=5_000),
            "bookings": ServiceRow(pool="main", deadline_ms=5_000),
        },
        "queues": {"reports": queue()},
        "vms": {
            f"{data_center}-w{number}": vm(data_center, f"r{number}")
            for data_center in DATA_CENTERS
            for number in (1, 2)
        },
    }
    return DeclaredTable(**{**defaults, **kinds})


class ControlBuilder:
    """Apply commands to the state of one replica in log order."""

    def __init__(self, declared: DeclaredTable | None = None) -> None:
        self.state = ControlState()
        self.operation_count = 0
        if declared is not None:
            self.declare(declared)

    def apply(self, command: Any) -> Outcome:
        return apply_command(self.state, self.state.applied_index + 1, command)

    def declare(self, declared: DeclaredTable) -> Outcome:
        edits = edits_between(self.state.table, declared, self.state.row_versions)
        return self.change(edits=edits)

    def change(
        self,
        edits: list[RowEdit] | None = None,
        key_edits: list[KeyEdit] | None = None,
        operation_id: str = "",
        at_ms: int = START_MS,
    ) -> Outcome:
        self.operation_count += 1
        change = Change(edits=edits or [], key_edits=key_edits or [])
        return self.apply(
            commands.PrepareChange(
                operation_id=operation_id or f"operation-{self.operation_count}",
                digest=repr(change),
                change=change,
                at_ms=at_ms,
            )
        )

    def edit(self, kind: str, name: str, **columns: Any) -> RowEdit:
        row = self.state.table.rows(kind)[name]
        return RowEdit(
            kind=kind,
            name=name,
            columns={**to_plain(row), **columns},
            expected_version=self.state.row_version(kind, name),
        )

    def commit(self, operation_id: str, at_ms: int = START_MS) -> Outcome:
        return self.apply(commands.CommitChange(operation_id=operation_id, at_ms=at_ms))

    def register(self, entry_id: str, incarnation: str = "i1", data_center: str = "dc1") -> None:
        self.apply(
            commands.RegisterEntry(
                entry_id=entry_id,
                incarnation=incarnation,
                data_center=data_center,
                address=f"{entry_id}:1",
                peer_count=3,
            )
        )


def call(call_id: str = "c1", **fields: Any) -> CallRow:
    defaults: dict[str, Any] = {
        "team": "red",
        "key_hash": sha256("red"),
        "service": "quotes",
        "urgent": True,
        "arrived_ms": 0,
        "deadline_ms": 5_000,
        "idempotent": True,
    }
    return CallRow(id=call_id, **{**defaults, **fields})


def endpoint(endpoint_id: str = "q1", **fields: Any) -> EndpointRow:
    defaults: dict[str, Any] = {
        "service": "quotes",
        "address": "127.0.0.1:9",
        "vm": "dc1-w1",
        "slots": 8,
        "connections": 64,
        "instance": "i1",
        "sequence": 1,
        "last_announcement_ms": 0,
        "credits": 3,
    }
    return EndpointRow(id=endpoint_id, **{**defaults, **fields})


def spec(**fields: Any) -> JobSpec:
    defaults = {"kind": "report", "cpu_millis": 4_000, "memory_mb": 4_096, "idempotent": True}
    return JobSpec(**{**defaults, **fields})


def job(job_id: str = "dc1.1000000000000.aaaaaaaa", **fields: Any) -> JobRow:
    defaults: dict[str, Any] = {
        "team": "red",
        "queue": "reports",
        "spec": spec(),
        "urgent": False,
        "submitted_ms": 0,
        "enqueued_ms": 0,
    }
    return JobRow(id=job_id, **{**defaults, **fields})


def worker(name: str = "dc1-w1", **fields: Any) -> WorkerRow:
    defaults: dict[str, Any] = {
        "pool": "main",
        "rack": "r1",
        "capacity": Resources(cpu_millis=16_000, memory_mb=32_768),
        "up": True,
    }
    return WorkerRow(vm=name, **{**defaults, **fields})


def link_settings(process_id: str, data_center: str, number: int) -> LinkSettings:
    return LinkSettings(
        id=process_id,
        data_center=data_center,
        link_address=f"10.0.{number // 200}.{number % 200 + 1}:7000",
        http_address=f"10.0.{number // 200}.{number % 200 + 1}:8000",
        link_secret=LINK_SECRET,
    )


def control_settings(count: int = 3, **fields: Any) -> dict[str, ControlSettings]:
    processes = [
        link_settings(f"c{number + 1}", DATA_CENTERS[number % 3], number) for number in range(count)
    ]
    replicas = {process.id: process.link_address for process in processes}
    return {
        process.id: ControlSettings(
            process=process,
            data_folder="unused",
            operator_credential_sha256=sha256(OPERATOR_CREDENTIAL),
            replicas=replicas,
            **fields,
        )
        for process in processes
    }


def entry_settings(
    control: dict[str, ControlSettings], entries_per_data_center: tuple[int, ...], **fields: Any
) -> dict[str, EntrySettings]:
    processes = [
        link_settings(
            f"{data_center}-e{number + 1}", data_center, 100 + 10 * data_center_index + number
        )
        for data_center_index, data_center in enumerate(DATA_CENTERS)
        for number in range(entries_per_data_center[data_center_index])
    ]
    replicas = {name: settings.process.link_address for name, settings in control.items()}
    by_data_center = {
        data_center: {
            process.id: process.link_address
            for process in processes
            if process.data_center == data_center
        }
        for data_center in DATA_CENTERS
    }
    witnesses = choose_witnesses(by_data_center)
    return {
        process.id: EntrySettings(
            witness=witnesses.get(process.data_center, {}),
            witness_of={
                other: {**by_data_center[other], **witness}
                for other, witness in witnesses.items()
                if process.id in witness
            },
            process=process,
            control=replicas,
            operator_credential_sha256=sha256(OPERATOR_CREDENTIAL),
            endpoint_credential_sha256=sha256(ENDPOINT_CREDENTIAL),
            peers=by_data_center[process.data_center],
            remote={
                other: list(addresses.values())
                for other, addresses in by_data_center.items()
                if other != process.data_center
            },
            **fields,
        )
        for process in processes
    }


def step_table(**queue_columns: Any) -> DeclaredTable:
    """Return a table with one pool and one step-job queue, routed by host and path."""
    defaults = {"pool": "pool-a", "host": "a.example", "path_prefix": "/jobs/", "max_attempts": 3}
    columns = {**defaults, **queue_columns}
    return DeclaredTable(
        teams={"team-a": TeamRow(weight=1, max_running=1_000_000, home="dc1")},
        pools={"pool-a": PoolRow(max_down=1_000_000)},
        queues={"queue-a": QueueRow(**columns)},
    )


def queue_table(*names: str, keys_of: str = "team-a", **columns: Any) -> DeclaredTable:
    """Return a `step_table` whose queues are the named ones, each at its own path."""
    row = step_table(**columns).queues["queue-a"]
    queues = {}
    for name in names:
        name, _, path = name.partition(" ")
        queues[name] = attrs.evolve(row, path_prefix=path or "/jobs/")
    return attrs.evolve(
        step_table(),
        queues=queues,
        teams={keys_of: TeamRow(weight=1, max_running=1_000_000, home="dc1")},
    )


def step(count: int = 1, **fields: Any) -> StepSpec:
    """Return a step of tasks that need one core each."""
    return StepSpec(**{"count": count, "cpu_millis": 1_000, "estimate_ms": 600, **fields})


def step_job(*steps: StepSpec, **fields: Any) -> StepJobSpec:
    """Return a job whose steps run in sequence unless they name other predecessors."""
    return StepJobSpec(payload="work", steps=steps or (step(),), **fields)


def accept_job(job_id: str, queue: str = "queue-a", **fields: Any) -> AcceptJob:
    """Return the command that accepts a job of one step."""
    columns = {"pool": "pool-a", "team": "team-a", "spec": step_job(), "at_ms": 0, **fields}
    return AcceptJob(job_id=job_id, queue=queue, **columns)


def minion(name: str = "i-1", **fields: Any) -> Minion:
    """Return a minion with 16 cores that has reported and was polled."""
    columns = {
        "minion": name,
        "born_ms": 1,
        "pool": "pool-a",
        "address": "10.9.0.1:8000",
        "data_center": "dc1",
        "sequence": 1,
        "capacity": Resources(cpu_millis=16_000, memory_mb=32_768),
        "rack": "r1-1",
        "labels": ("a", "r1-1"),
        **fields,
    }
    return Minion(report=MinionReport(**columns), last_report_ms=0, polled_ms=0)


def ticket_candidate(number: int, **fields: Any) -> TicketCandidate:
    """Return a minion with room for which a step has no ticket."""
    columns = {"minion_id": f"i-{number}", "free_cpu_millis": 1_000, **fields}
    return TicketCandidate(**columns)


def run(key: str = "0.0.0", **fields: Any) -> ReservedRun:
    """Return a reserved run of one core in the running phase."""
    columns = {
        "job_id": "0" * 16,
        "key": key,
        "run": 1,
        "team": "team-a",
        "minion": "i-1",
        "born_ms": 1,
        "needs": Resources(cpu_millis=1_000),
        "charged": Resources(cpu_millis=1_000),
        "phase": RunPhase.RUNNING,
        **fields,
    }
    return ReservedRun(**columns)


def start_order(**fields: Any) -> StartOrder:
    """Build an order to start a run."""
    columns = {"task": "t.0.0.0", "run": 1, "payload": "", "lease_until_ms": 0, "token": 1}
    return StartOrder(**{**columns, **fields})


def wave(vms: list[str], *, max_down: int = 1) -> MaintenanceWave:
    """Return a maintenance wave ordered at 0 ms and due at 30 s."""
    return MaintenanceWave(
        number=1, machines=tuple(vms), max_down=max_down, ordered_ms=0, due_ms=30_000
    )


def platform_configuration() -> dict[str, Any]:
    """Return a configuration in the platform's wire format."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "queue-a",
                "host": "a.example",
                "path-prefix": "/jobs/",
                "kind": "non_idempotent",
                "timeout-ms": 3_000,
                "target-latency-ms": 600,
                "priority": 1,
                "service": "pool-a",
                "max-attempts": 4,
                "slack-factor": 1.6,
                "public": False,
            }
        ],
        "services": [
            {"name": "pool-a", "health-path": "/healthz", "rejects-overload": True},
            {"name": "pool-b", "standby": True},
        ],
        "limits": {"max-body-bytes": 262_144},
        "tenants": [
            {
                "name": "team-a",
                "api-keys": ["key-1", "key-2"],
                "weight": 22,
                "cap": {"cpu": 352_731, "mem-mb": 1_024_937, "gpu": 0},
            }
        ],
    }


def platform_heartbeat() -> dict[str, Any]:
    """Return a minion's heartbeat in the platform's wire format."""
    return {
        "service": "pool-a",
        "address": "10.128.0.9:8080",
        "zone": "dc1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-remaining-ms": 0,
        "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clock-ms": 482_113,
        "sequence": 4,
        "born": 1_790_000_000_000,
        "machine": "m-1",
    }


def platform_settings() -> dict[str, Any]:
    """Return the decoded settings file of a control process on the platform."""
    return {
        "node-name": "core-1",
        "ip": "10.1.0.26",
        "zone": "dc1",
        "internal-port-range": [7_000, 7_015],
        "seeds": ["10.1.0.26:8345", "10.2.0.18:8345", "10.3.0.28:8345"],
        "bootstrap": True,
        "data-dir": "/data/core",
        "bind-addresses": {"control": "10.1.0.26:8345"},
        "bounds": {"hold-max-ms": 10_000, "grace-s": 6, "status_s": 120},
        "cloud-api": {"address": "10.200.0.82:8344"},
    }


def platform_process(
    role: str, ip: str, *, control_ip: str, first_port: int, data_folder: str, **limits: int
) -> dict[str, Any]:
    """Return the settings file of a process on loopback, with ports that follow `first_port`.

    In this order: the link, the metrics, and what the role serves.
    """
    control_port = first_port + 2
    served = {
        "control": {"control": f"{ip}:{control_port}"},
        "entry": {"frontend": f"{ip}:{first_port + 3}", "readiness": f"{ip}:{first_port + 4}"},
    }
    return {
        **platform_settings(),
        "node-name": f"{role}-1",
        "ip": ip,
        "internal-port-range": [first_port, first_port + 1],
        "seeds": [f"{control_ip}:{control_port}"],
        "data-dir": data_folder if role == "control" else "",
        "bind-addresses": served[role],
        "limits": limits,
        "cloud-api": {},
    }


def daemon_process(
    kind: str, ip: str, *, control_ip: str, first_port: int, data_folder: str
) -> dict[str, Any]:
    """Return the settings file of a daemon on loopback: the first port is the link's."""
    process_id, link_address = f"{kind}-1", f"{ip}:{first_port}"
    settings: dict[str, Any] = {
        "operator_credential_sha256": sha256(OPERATOR_CREDENTIAL),
        "process": {
            "id": process_id,
            "data_center": "dc1",
            "link_address": link_address,
            "http_address": f"{ip}:{first_port + 5}",
            "link_secret": LINK_SECRET,
        },
    }
    if kind == "control":
        return {**settings, "data_folder": data_folder, "replicas": {process_id: link_address}}
    return {
        **settings,
        "endpoint_credential_sha256": sha256(ENDPOINT_CREDENTIAL),
        "platform_url": f"http://{control_ip}:{first_port}",
        "control": {"control-1": f"{control_ip}:{first_port}"},
        "peers": {process_id: link_address},
    }


def to_toml(settings: dict[str, Any]) -> str:
    """Return a settings file with tables of one level as TOML."""
    tables = {name: value for name, value in settings.items() if isinstance(value, dict)}
    plain = {name: value for name, value in settings.items() if name not in tables}
    lines = [f"{name} = {json.dumps(value)}" for name, value in plain.items()]
    for table_name, columns in tables.items():
        lines.append(f"[{table_name}]")
        lines += [f"{name} = {json.dumps(value)}" for name, value in columns.items()]
    return "\n".join(lines) + "\n"


def large_platform_configuration(routes: int) -> dict[str, Any]:
    """Return a configuration of some 250 bytes a route in the platform's wire format."""
    configuration = platform_configuration()
    (route,) = configuration["routes"]
    configuration["version"] += 1
    configuration["routes"] = [
        {**route, "name": f"queue-{number}", "path-prefix": f"/jobs/{number}/"}
        for number in range(routes)
    ]
    return configuration


def replica_limits(**fields: int) -> ReplicaLimits:
    """Return limits that a test reaches only where it sets them."""
    columns = {"log_entries": 30_000, "log_bytes": 64 * MIB, "state_bytes": 64 * MIB, **fields}
    return ReplicaLimits(**columns)


def snapshot(**fields: Any) -> Snapshot:
    """Return a snapshot of an empty state."""
    columns = {"index": 1, "term": 1, "members": {"a": "a:1"}, "data": b"", **fields}
    return Snapshot(**columns)
