"""What callers declare of jobs, and what entry processes and the platform report."""

from __future__ import annotations

from attrs import define


@define(frozen=True, kw_only=True)
class JobSpec:
    """Describe a job as its caller declared it."""

    kind: str
    cpu_millis: int
    memory_mb: int
    accelerators: int = 0
    expected_ms: int = 1_000
    idempotent: bool = False
    payload: str = ""


@define(frozen=True, kw_only=True)
class TeamUse:
    """Report one team's permits at one entry process."""

    in_use: int = 0
    wanted: int = 0
    # The most that the process will use until it sees its slice change.
    ceiling: int | None = None
    ceiling_index: int = 0


@define(frozen=True, kw_only=True)
class VmReport:
    """Report what the platform says of a VM."""

    up: bool
    # The reboot that the VM last came up from.
    boot_operation: str = ""


@define(frozen=True, kw_only=True)
class PoolLoad:
    """Report how full a pool's workers of one data centre are, and what waits for them."""

    capacity_cpu_millis: int = 0
    used_cpu_millis: int = 0
    waiting_cpu_millis: int = 0
    # Size of one of its VMs.
    vm_cpu_millis: int = 0
