"""Bodies of calls to the system, decoded into the product's types."""

from __future__ import annotations

import hashlib
from typing import Any

from attrs import define

from hornbeamreach.exceptions import InvalidInputError
from hornbeamreach.platform import plain
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

MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 1_000
MAX_TASKS = 100_000
# Team of jobs that come to an open queue without a key.
NO_TEAM = ""
DRAINING = "draining"
STATES = ("ready", DRAINING)
RACK_SEPARATOR = "-"


def hash_key(key: str) -> str:
    """Return the hash under which a key is known."""
    return hashlib.sha256(key.encode()).hexdigest()


# Jobs


def decode_job(body: bytes) -> StepJobSpec:
    """Decode a job, or raise InvalidInputError."""
    data = plain.decode_json(body)
    payload = plain.text(data, "spec")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidInputError(f"longer than {MAX_PAYLOAD_BYTES} bytes", path="spec")
    rows = plain.items(data, "steps", required=True)
    if not 0 < len(rows) <= MAX_STEPS:
        raise InvalidInputError(f"not 1 to {MAX_STEPS} steps", path="steps")
    steps = tuple(_step(row, position) for position, row in enumerate(rows))
    if sum(step.count for step in steps) > MAX_TASKS:
        raise InvalidInputError(f"more than {MAX_TASKS} tasks", path="steps")
    repetitions = plain.whole(data, "repetitions", 0)
    return StepJobSpec(
        payload=payload,
        steps=steps,
        repetitions=repetitions,
        first_due_ms=plain.whole(data, "first-ms", 0),
        interval_ms=plain.whole(data, "interval-ms", 0),
    )


def _step(row: Any, position: int) -> StepSpec:
    if not isinstance(row, dict):
        raise InvalidInputError("not a table", path=f"steps.{position}")
    after = plain.items(row, "after")
    if not all(type(number) is int and 0 <= number < position for number in after):
        raise InvalidInputError("names a step that is not earlier", path=f"steps.{position}.after")
    return StepSpec(
        count=plain.whole(row, "count", least=1),
        cpu_millis=plain.whole(row, "cpu", 0),
        memory_mb=plain.whole(row, "mem-mb", 0),
        accelerators=plain.whole(row, "gpu", 0),
        estimate_ms=plain.whole(row, "estimate-ms", 0),
        after=tuple(after),
        checkpointing=plain.flag(row, "checkpointing"),
        gang=plain.flag(row, "gang"),
        same_rack=plain.flag(row, "rack-local"),
        required_label=plain.text(row, "required-label", ""),
        data_rack=plain.text(row, "data-rack", ""),
        max_per_minion=plain.whole(row, "anti-affinity", 0),
        speculative=plain.flag(row, "speculative"),
        lasting=plain.flag(row, "long-running"),
        image=plain.text(row, "image", ""),
        latency_target_ms=plain.whole(row, "target-ms", 0),
        filler=plain.flag(row, "fills"),
        may_miss=plain.whole(row, "may-miss", 0),
    )


# Declarations


@define(frozen=True, kw_only=True)
class Declaration:
    """Hold a configuration as the product's table, with its keys."""

    version: int
    table: DeclaredTable
    # Team by the hash of each key.
    keys: dict[str, str]


def decode_declaration(body: bytes, *, data_center: str) -> Declaration:
    """Decode a whole configuration, or raise InvalidInputError."""
    data = plain.decode_json(body)
    for name in ("routes", "services", "limits"):
        if name not in data:
            raise InvalidInputError("missing", path=name)
    plain.table(data, "limits")
    table = DeclaredTable()
    for row in plain.items(data, "services", required=True):
        table.pools[_name(row, "services")] = _pool(row)
    places: set[tuple[str, str]] = set()
    for row in plain.items(data, "routes", required=True):
        name = _name(row, "routes")
        if name in table.queues:
            raise InvalidInputError("two of this name", path=f"routes.{name}")
        queue = _queue(row, table.pools)
        if (queue.host, queue.path_prefix) in places:
            raise InvalidInputError("another has its host and prefix", path=f"routes.{name}")
        places.add((queue.host, queue.path_prefix))
        table.queues[name] = queue
    keys: dict[str, str] = {}
    for row in plain.items(data, "tenants"):
        name = _name(row, "tenants")
        table.teams[name] = _team(row, data_center)
        for key in plain.texts(row, "api-keys"):
            if keys.setdefault(hash_key(key), name) != name:
                raise InvalidInputError("two share a key", path="tenants")
    return Declaration(version=plain.whole(data, "version"), table=table, keys=keys)


def _name(row: Any, kind: str) -> str:
    if not isinstance(row, dict):
        raise InvalidInputError("not a table", path=kind)
    return plain.text(row, "name")


def _pool(row: dict[str, Any]) -> PoolRow:
    return PoolRow(
        # The platform sets budgets by step and by wave, not by pool.
        max_down=MAX_COUNT,
        spare=plain.flag(row, "standby"),
        standby=plain.flag(row, "standby"),
        rejects_overload=plain.flag(row, "rejects-overload"),
        health_path=plain.text(row, "health-path", ""),
    )


def _queue(row: dict[str, Any], pools: dict[str, PoolRow]) -> QueueRow:
    service = plain.text(row, "service")
    path = f"routes.{row['name']}"
    if service not in pools:
        raise InvalidInputError(f"{service!r} is no known service", path=path)
    # A time-out of 0 would let no call be answered.
    plain.whole(row, "timeout-ms", least=1)
    rank = plain.whole(row, "priority", 0)
    advice = plain.table(row, "advice")
    return QueueRow(
        pool=service,
        open=plain.flag(row, "public"),
        open_team=NO_TEAM,
        priority=DEFERRABLE if rank else URGENT,
        max_attempts=min(max(1, plain.whole(row, "max-attempts", 1)), 100),
        host=plain.text(row, "host"),
        path_prefix=plain.text(row, "path-prefix"),
        rank=rank,
        slack_factor=plain.number(row, "slack-factor", 1.5),
        target_latency_ms=plain.whole(row, "target-latency-ms", 0),
        advice_decide_ms=plain.whole(advice, "decide-ms", 0),
        advice_each_ms=plain.whole(advice, "each-ms", 0),
        advice_valid_ms=plain.whole(advice, "valid-ms", 0),
    )


def _team(row: dict[str, Any], data_center: str) -> TeamRow:
    cap = plain.table(row, "cap")
    return TeamRow(
        weight=max(0.001, plain.number(row, "weight", 1)),
        max_running=MAX_COUNT,
        home=data_center,
        max_cpu_millis=plain.whole(cap, "cpu", 0),
        max_memory_mb=plain.whole(cap, "mem-mb", 0),
        max_accelerators=plain.whole(cap, "gpu", 0),
    )


# Announcements


def decode_report(minion: str, body: bytes) -> MinionReport:
    """Decode a heartbeat, or raise InvalidInputError: it then names no minion to use."""
    data = plain.decode_json(body)
    state = plain.text(data, "state")
    if state not in STATES:
        raise InvalidInputError(f"{state!r} is no known state", path="state")
    capacity = plain.table(data, "capacity")
    labels = plain.texts(data, "labels")
    return MinionReport(
        minion=minion,
        born_ms=plain.whole(data, "born", 0),
        pool=plain.text(data, "service"),
        address=plain.text(data, "address"),
        data_center=plain.text(data, "zone"),
        sequence=plain.whole(data, "sequence"),
        draining=state == DRAINING,
        remaining_ms=plain.whole(data, "remaining-ms", 0),
        cold_ms=plain.whole(data, "cold-remaining-ms", 0),
        capacity=Resources(
            cpu_millis=plain.whole(capacity, "cpu", 0),
            memory_mb=plain.whole(capacity, "mem-mb", 0),
            accelerators=plain.whole(capacity, "gpu", 0),
        ),
        kind=labels[0] if labels else "",
        # The labels are the minion's kind and its rack, such as r1-3.
        rack=next((label for label in labels[1:] if RACK_SEPARATOR in label), ""),
        labels=tuple(labels),
        clock_ms=plain.whole(data, "clock-ms", 0),
        machine=plain.text(data, "machine", ""),
    )
