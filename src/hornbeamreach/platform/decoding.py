"""Decoding of request bodies into the types of this library."""

from __future__ import annotations

import hashlib
from typing import Any

from attrs import define

from hornbeamreach.exceptions import InvalidInputError
from hornbeamreach.platform import fields
from hornbeamreach.systems.job_limits import exceeded_limit
from hornbeamreach.tables.declared import (
    DEFERRABLE,
    MAX_COUNT,
    URGENT,
    DeclaredTable,
    PoolRow,
    QueueRow,
    TeamRow,
)
from hornbeamreach.tables.minions import MinionReport
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJobSpec, StepSpec
from hornbeamreach.validators import InvalidValueError

MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 1_000
# Team of jobs submitted to an open queue without a key.
ANONYMOUS_TEAM = ""
DRAINING = "draining"
MINION_STATES = ("ready", DRAINING)
# A leader holds the latest report of each minion, and gets up to 64 in one message.
MAX_REPORT_CHARACTERS = 16_384
REPORT_TEXTS = ("service", "address", "zone", "machine")
RACK_SEPARATOR = "-"


def hash_key(key: str) -> str:
    """Return the hash that identifies a key."""
    return hashlib.sha256(key.encode()).hexdigest()


# Jobs


def decode_job(body: bytes) -> StepJobSpec:
    """Decode a job; raise InvalidInputError if it is malformed."""
    data = fields.decode_json(body)
    payload = fields.string(data, "spec")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidInputError(f"longer than {MAX_PAYLOAD_BYTES} bytes", path="spec")
    rows = fields.items(data, "steps", required=True)
    if not 0 < len(rows) <= MAX_STEPS:
        raise InvalidInputError(f"not 1 to {MAX_STEPS} steps", path="steps")
    steps = tuple(_decode_step(row, position) for position, row in enumerate(rows))
    spec = StepJobSpec(
        payload=payload,
        steps=steps,
        repetitions=fields.integer(data, "repetitions", 0),
        first_due_ms=fields.integer(data, "first-ms", 0),
        interval_ms=fields.integer(data, "interval-ms", 0),
    )
    exceeded = exceeded_limit(spec)
    if exceeded is not None:
        raise InvalidInputError(exceeded, path="steps")
    return spec


def _decode_step(row: Any, position: int) -> StepSpec:
    if not isinstance(row, dict):
        raise InvalidInputError("not a table", path=f"steps.{position}")
    after = fields.items(row, "after")
    if not all(type(number) is int and 0 <= number < position for number in after):
        raise InvalidInputError("names a step that is not earlier", path=f"steps.{position}.after")
    return StepSpec(
        count=fields.integer(row, "count", minimum=1),
        cpu_millis=fields.integer(row, "cpu", 0),
        memory_mb=fields.integer(row, "mem-mb", 0),
        accelerators=fields.integer(row, "gpu", 0),
        estimate_ms=fields.integer(row, "estimate-ms", 0),
        after=tuple(dict.fromkeys(after)),
        checkpointing=fields.boolean(row, "checkpointing"),
        gang=fields.boolean(row, "gang"),
        same_rack=fields.boolean(row, "rack-local"),
        required_label=fields.string(row, "required-label", ""),
        data_rack=fields.string(row, "data-rack", ""),
        max_per_minion=fields.integer(row, "anti-affinity", 0),
        speculative=fields.boolean(row, "speculative"),
        lasting=fields.boolean(row, "long-running"),
        image=fields.string(row, "image", ""),
        latency_target_ms=fields.integer(row, "target-ms", 0),
        filler=fields.boolean(row, "fills"),
        may_miss=fields.integer(row, "may-miss", 0),
    )


# Declarations


@define(frozen=True, kw_only=True)
class Declaration:
    """Hold a configuration as a declared table and the teams' keys."""

    version: int
    table: DeclaredTable
    # Team by key hash.
    keys: dict[str, str]


def decode_declaration(body: bytes, *, data_center: str) -> Declaration:
    """Decode a complete configuration; raise InvalidInputError if it is malformed."""
    try:
        return _decode_declaration(fields.decode_json(body), data_center)
    except InvalidValueError as exc:
        raise InvalidInputError(str(exc), path=exc.field) from None


def _decode_declaration(data: dict[str, Any], data_center: str) -> Declaration:
    for name in ("routes", "services", "limits"):
        if name not in data:
            raise InvalidInputError("missing", path=name)
    fields.table(data, "limits")
    table = DeclaredTable()
    for row in fields.items(data, "services", required=True):
        name = _row_name(row, "services")
        table.pools[name] = _decode_pool(row)
    prefixes: set[tuple[str, str]] = set()
    for row in fields.items(data, "routes", required=True):
        name = _row_name(row, "routes")
        if name in table.queues:
            raise InvalidInputError("two of this name", path=f"routes.{name}")
        queue = _decode_queue(row, table.pools)
        if (queue.host, queue.path_prefix) in prefixes:
            raise InvalidInputError("another has its host and prefix", path=f"routes.{name}")
        prefixes.add((queue.host, queue.path_prefix))
        table.queues[name] = queue
    keys: dict[str, str] = {}
    for row in fields.items(data, "tenants"):
        name = _row_name(row, "tenants")
        table.teams[name] = _decode_team(row, data_center)
        for key in fields.strings(row, "api-keys"):
            if keys.setdefault(hash_key(key), name) != name:
                raise InvalidInputError("two share a key", path="tenants")
    return Declaration(version=fields.integer(data, "version"), table=table, keys=keys)


def _row_name(row: Any, kind: str) -> str:
    if not isinstance(row, dict):
        raise InvalidInputError("not a table", path=kind)
    return fields.string(row, "name")


def _decode_pool(row: dict[str, Any]) -> PoolRow:
    return PoolRow(
        # The platform sets availability budgets by step and by wave, not by pool.
        max_down=MAX_COUNT,
        spare=fields.boolean(row, "standby"),
        standby=fields.boolean(row, "standby"),
        rejects_overload=fields.boolean(row, "rejects-overload"),
        health_path=fields.string(row, "health-path", ""),
    )


def _decode_queue(row: dict[str, Any], pools: dict[str, PoolRow]) -> QueueRow:
    service = fields.string(row, "service")
    path = f"routes.{row['name']}"
    if service not in pools:
        raise InvalidInputError(f"{service!r} is no known service", path=path)
    # With a timeout of 0, no call could be answered.
    fields.integer(row, "timeout-ms", minimum=1)
    rank = fields.integer(row, "priority", 0)
    advice = fields.table(row, "advice")
    return QueueRow(
        pool=service,
        open=fields.boolean(row, "public"),
        open_team=ANONYMOUS_TEAM,
        priority=DEFERRABLE if rank else URGENT,
        max_attempts=min(max(1, fields.integer(row, "max-attempts", 1)), 100),
        host=fields.string(row, "host"),
        path_prefix=fields.string(row, "path-prefix"),
        rank=rank,
        slack_factor=fields.number(row, "slack-factor", 1.5),
        target_latency_ms=fields.integer(row, "target-latency-ms", 0),
        advice_decide_ms=fields.integer(advice, "decide-ms", 0),
        advice_each_ms=fields.integer(advice, "each-ms", 0),
        advice_valid_ms=fields.integer(advice, "valid-ms", 0),
    )


def _decode_team(row: dict[str, Any], data_center: str) -> TeamRow:
    cap = fields.table(row, "cap")
    return TeamRow(
        weight=max(0.001, fields.number(row, "weight", 1) or 1),
        max_running=MAX_COUNT,
        home=data_center,
        max_cpu_millis=fields.integer(cap, "cpu", 0),
        max_memory_mb=fields.integer(cap, "mem-mb", 0),
        max_accelerators=fields.integer(cap, "gpu", 0),
    )


# Heartbeats


def decode_report(minion: str, body: bytes) -> MinionReport:
    """Decode a heartbeat; raise InvalidInputError if it describes no usable minion."""
    data = fields.decode_json(body)
    state = fields.string(data, "state")
    if state not in MINION_STATES:
        raise InvalidInputError(f"{state!r} is no known state", path="state")
    capacity = fields.table(data, "capacity")
    labels = fields.strings(data, "labels")
    texts = [minion, *labels, *[fields.string(data, n, "") for n in REPORT_TEXTS]]
    if sum(map(len, texts)) > MAX_REPORT_CHARACTERS:
        raise InvalidInputError(f"more than {MAX_REPORT_CHARACTERS} characters of names and labels")
    return MinionReport(
        minion=minion,
        born_ms=fields.integer(data, "born", 0),
        pool=fields.string(data, "service"),
        address=fields.address(data, "address"),
        data_center=fields.string(data, "zone"),
        sequence=fields.integer(data, "sequence"),
        draining=state == DRAINING,
        remaining_ms=fields.integer(data, "remaining-ms", 0),
        cold_ms=fields.integer(data, "cold-remaining-ms", 0),
        capacity=Resources(
            # A report of another writer may lack them; the earlier report of the minion holds.
            cpu_millis=fields.integer(capacity, "cpu"),
            memory_mb=fields.integer(capacity, "mem-mb"),
            accelerators=fields.integer(capacity, "gpu", 0),
        ),
        kind=labels[0] if labels else "",
        # The first label is the minion's kind; a later one names its rack, such as r1-3.
        rack=next((label for label in labels[1:] if RACK_SEPARATOR in label), ""),
        labels=tuple(labels),
        clock_ms=fields.integer(data, "clock-ms", 0),
        machine=fields.string(data, "machine", ""),
    )
