"""The declared table: rows of teams, pools, services, queues and VMs."""

from __future__ import annotations

from typing import Any

import attrs
from attrs import define, field

from hornbeamreach import validators
from hornbeamreach.tables.columns import Effect, column

MAX_COUNT = 1_000_000
MAX_DURATION_MS = 10 * 365 * 24 * 3_600_000
MAX_WEIGHT = 1_000_000.0
MINUTE_MS = 60_000
DAY_MS = 24 * 60 * MINUTE_MS
WEEK_MS = 7 * DAY_MS
MAX_AMOUNT = 1_000_000_000_000

count = validators.in_range(0, MAX_COUNT)
amount = validators.in_range(0, MAX_AMOUNT)
positive_count = validators.in_range(1, MAX_COUNT)
duration = validators.in_range(0, MAX_DURATION_MS)
positive_duration = validators.in_range(1, MAX_DURATION_MS)
weight = validators.in_range(0.001, MAX_WEIGHT)
cost = validators.in_range(0.0, MAX_WEIGHT)
URGENT = "urgent"
DEFERRABLE = "deferrable"
priority = validators.one_of(URGENT, DEFERRABLE)


@define(frozen=True, kw_only=True)
class TeamRow:
    """Declare the share and limits of one team."""

    weight: float = column(
        unit="ratio",
        doc="Part of the fleet that the team is entitled to when everything is full; a team"
        " without a row, or declared with 0, counts as 1.",
        effect=Effect.NEUTRAL,
        validator=weight,
    )
    max_running: int = column(
        unit="calls and tasks",
        doc="Upper limit on what the team has running across the whole fleet.",
        effect=Effect.RAISE_LOOSENS,
        control_only=True,
        validator=count,
    )
    home: str = column(
        unit="data centre",
        doc="Data centre that decides on the team's non-idempotent requests.",
        effect=Effect.ALWAYS_TIGHTENS,
        validator=validators.name,
    )
    cut_off_ms: int = column(
        unit="ms",
        doc="How long a cut-off data centre may go on serving the team.",
        effect=Effect.RAISE_LOOSENS,
        validator=duration,
        default=15 * MINUTE_MS,
    )
    retry_percent: float = column(
        unit="percent",
        doc="Retries allowed for each hundred calls that succeed.",
        effect=Effect.NEUTRAL,
        validator=validators.in_range(0.0, 100.0),
        default=10.0,
    )
    max_cpu_millis: int = column(
        unit="1/1000 core",
        doc="Upper limit on the processors of the team's running step tasks; 0 for none.",
        effect=Effect.NEUTRAL,
        validator=amount,
        default=0,
    )
    max_memory_mb: int = column(
        unit="MB",
        doc="Upper limit on the memory of the team's running step tasks; 0 for none.",
        effect=Effect.NEUTRAL,
        validator=amount,
        default=0,
    )
    max_accelerators: int = column(
        unit="devices",
        doc="Upper limit on the accelerators of the team's running step tasks; 0 for none.",
        effect=Effect.NEUTRAL,
        validator=amount,
        default=0,
    )


@define(frozen=True, kw_only=True)
class PoolRow:
    """Declare a pool of VMs and its availability budget."""

    max_down: int = column(
        unit="VMs",
        doc="Availability budget: VMs of the pool that may be out of service at once.",
        effect=Effect.RAISE_LOOSENS,
        control_only=True,
        validator=count,
    )
    max_down_per_data_center: int = column(
        unit="VMs",
        doc="VMs of the pool that may be out of service at once in one data centre.",
        effect=Effect.RAISE_LOOSENS,
        control_only=True,
        validator=count,
        default=MAX_COUNT,
    )
    max_down_per_rack: int = column(
        unit="VMs",
        doc="VMs of the pool that may be out of service at once in one rack.",
        effect=Effect.RAISE_LOOSENS,
        control_only=True,
        validator=count,
        default=MAX_COUNT,
    )
    drain_ms: int = column(
        unit="ms",
        doc="How long work on a draining VM may go on before it is checkpointed and stopped.",
        effect=Effect.RAISE_LOOSENS,
        validator=positive_duration,
        default=10 * MINUTE_MS,
    )
    probation_ms: int = column(
        unit="ms",
        doc="How long a VM must stay healthy after a reboot before it counts as available.",
        effect=Effect.LOWER_LOOSENS,
        control_only=True,
        validator=duration,
        default=MINUTE_MS,
    )
    maintenance_interval_ms: int = column(
        unit="ms",
        doc="Each VM of the pool is rebooted once in this time; 0 turns the planner off.",
        effect=Effect.NEUTRAL,
        validator=duration,
        default=5 * WEEK_MS,
    )
    spare: bool = column(
        unit="yes/no",
        doc="Whether the pool lends its VMs to the others.",
        effect=Effect.NEUTRAL,
        default=False,
    )
    buffer_cost: float = column(
        unit="cost/VM",
        doc="Cost of an idle VM held back in the pool, against the cost of a move.",
        effect=Effect.NEUTRAL,
        validator=cost,
        default=1.0,
    )
    move_cost: float = column(
        unit="cost/move",
        doc="Cost of a VM move into or out of the pool.",
        effect=Effect.NEUTRAL,
        validator=cost,
        default=1.0,
    )
    standby: bool = column(
        unit="yes/no",
        doc="Whether the pool's VMs are off, so that VMs parked there cost nothing.",
        effect=Effect.NEUTRAL,
        default=False,
    )
    rejects_overload: bool = column(
        unit="yes/no",
        doc="Whether the pool's minions refuse a task that does not fit.",
        effect=Effect.NEUTRAL,
        default=True,
    )
    health_path: str = column(
        unit="path",
        doc="Path at which the pool's minions tell their health; empty for none.",
        effect=Effect.NEUTRAL,
        default="",
    )


@define(frozen=True, kw_only=True)
class ServiceRow:
    """Declare a service that callers reach through endpoints."""

    pool: str = column(
        unit="pool",
        doc="Pool whose VMs run the service's endpoints.",
        effect=Effect.NEUTRAL,
        validator=validators.name,
    )
    priority: str = column(
        unit="class",
        doc="urgent goes before deferrable; deferrable ages until it is served.",
        effect=Effect.NEUTRAL,
        validator=priority,
        default=URGENT,
    )
    idempotent: bool = column(
        unit="yes/no",
        doc="Whether a call may be sent again; if not, callers give an idempotency key.",
        effect=Effect.TRUE_LOOSENS,
        default=False,
    )
    deadline_ms: int = column(
        unit="ms",
        doc="Deadline of a call that names none.",
        effect=Effect.NEUTRAL,
        validator=validators.in_range(1, 30_000),
        default=10_000,
    )
    max_queued: int = column(
        unit="calls",
        doc="Calls that wait at one entry VM before further ones are refused.",
        effect=Effect.NEUTRAL,
        validator=positive_count,
        default=1_000,
    )


@define(frozen=True, kw_only=True)
class QueueRow:
    """Declare a queue of jobs that run as tasks on a pool's workers."""

    pool: str = column(
        unit="pool",
        doc="Pool whose workers run the queue's jobs.",
        effect=Effect.NEUTRAL,
        validator=validators.name,
    )
    open: bool = column(
        unit="yes/no",
        doc="Whether jobs are taken without a key; they then count as the named team's.",
        effect=Effect.TRUE_LOOSENS,
        default=False,
    )
    open_team: str = column(
        unit="team",
        doc="Team that jobs without a key count for; needed when the queue is open.",
        effect=Effect.NEUTRAL,
        default="",
    )
    priority: str = column(
        unit="class",
        doc="urgent goes before deferrable; deferrable ages until it is served.",
        effect=Effect.NEUTRAL,
        validator=priority,
        default=DEFERRABLE,
    )
    max_attempts: int = column(
        unit="attempts",
        doc="Starts of an idempotent job before it is quarantined.",
        effect=Effect.NEUTRAL,
        validator=validators.in_range(1, 100),
        default=3,
    )
    max_queued: int = column(
        unit="jobs",
        doc="Unfinished jobs in one data centre before further ones are refused.",
        effect=Effect.NEUTRAL,
        validator=positive_count,
        default=10_000,
    )
    host: str = column(
        unit="host name",
        doc="Host whose calls reach the queue; empty if the queue is called by its name.",
        effect=Effect.NEUTRAL,
        default="",
    )
    path_prefix: str = column(
        unit="path",
        doc="Beginning of the paths that reach the queue; the longest one wins.",
        effect=Effect.NEUTRAL,
        default="",
    )
    rank: int = column(
        unit="rank",
        doc="Step jobs of a lower rank go first.",
        effect=Effect.NEUTRAL,
        validator=count,
        default=0,
    )
    slack_factor: float = column(
        unit="ratio",
        doc="A step job should take at most this many times its longest chain of work.",
        effect=Effect.NEUTRAL,
        validator=validators.in_range(0.0, 1_000.0),
        default=1.5,
    )
    target_latency_ms: int = column(
        unit="ms",
        doc="Time on top of the longest chain of work that a step job may take.",
        effect=Effect.NEUTRAL,
        validator=duration,
        default=1_000,
    )
    advice_decide_ms: int = column(
        unit="ms",
        doc="Time that the admission service takes for a call; 0 if the queue needs none.",
        effect=Effect.NEUTRAL,
        validator=duration,
        default=0,
    )
    advice_each_ms: int = column(
        unit="ms",
        doc="Time that the admission service takes for each minion named in a call.",
        effect=Effect.NEUTRAL,
        validator=duration,
        default=0,
    )
    advice_valid_ms: int = column(
        unit="ms",
        doc="How long an admission ticket is valid; 0 if the queue needs none.",
        effect=Effect.NEUTRAL,
        validator=duration,
        default=0,
    )


@define(frozen=True, kw_only=True)
class VmRow:
    """Declare a VM with its pool, failure domains and capacity."""

    pool: str = column(
        unit="pool",
        doc="The one pool that the VM belongs to.",
        effect=Effect.ALWAYS_TIGHTENS,
        validator=validators.name,
    )
    data_center: str = column(
        unit="data centre",
        doc="Data centre that the VM stands in.",
        effect=Effect.ALWAYS_TIGHTENS,
        validator=validators.name,
    )
    rack: str = column(
        unit="rack",
        doc="Rack that the VM stands in, unique in its data centre.",
        effect=Effect.ALWAYS_TIGHTENS,
        validator=validators.name,
    )
    cpu_millis: int = column(
        unit="1/1000 core",
        doc="Processor capacity.",
        effect=Effect.RAISE_LOOSENS,
        validator=positive_count,
    )
    memory_mb: int = column(
        unit="MB",
        doc="Memory capacity.",
        effect=Effect.RAISE_LOOSENS,
        validator=validators.in_range(1, 100_000_000),
    )
    accelerators: int = column(
        unit="devices",
        doc="Accelerators.",
        effect=Effect.RAISE_LOOSENS,
        validator=count,
        default=0,
    )


ROW_CLASSES: dict[str, type] = {
    "teams": TeamRow,
    "pools": PoolRow,
    "services": ServiceRow,
    "queues": QueueRow,
    "vms": VmRow,
}
Row = TeamRow | PoolRow | ServiceRow | QueueRow | VmRow


@define(kw_only=True)
class DeclaredTable:
    """Hold every declared row by kind and name."""

    teams: dict[str, TeamRow] = field(factory=dict)
    pools: dict[str, PoolRow] = field(factory=dict)
    services: dict[str, ServiceRow] = field(factory=dict)
    queues: dict[str, QueueRow] = field(factory=dict)
    vms: dict[str, VmRow] = field(factory=dict)

    def rows(self, kind: str) -> dict[str, Any]:
        """Return the rows of one kind by name."""
        return getattr(self, kind)

    def copy(self) -> DeclaredTable:
        """Return a shallow copy; rows replaced in one table do not change the other."""
        return DeclaredTable(**{kind: dict(self.rows(kind)) for kind in ROW_CLASSES})

    def data_centers(self) -> list[str]:
        """Return the data centres that have VMs, sorted."""
        return sorted({vm.data_center for vm in self.vms.values()})

    def vms_of_pool(self, pool: str) -> list[str]:
        """Return the names of a pool's VMs, sorted."""
        return sorted(name for name, vm in self.vms.items() if vm.pool == pool)


@define(frozen=True, kw_only=True)
class RowEdit:
    """Replace one row, or delete it without `columns`, if its version is the expected one."""

    kind: str = field(validator=validators.one_of(*ROW_CLASSES))
    name: str = field(validator=validators.name)
    columns: dict[str, Any] | None
    expected_version: int


def row_columns(row: Row) -> dict[str, Any]:
    """Return a row's column values by name."""
    return attrs.asdict(row)
