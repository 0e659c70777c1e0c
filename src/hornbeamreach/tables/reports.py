"""Job specifications of callers, and reports of entry processes and the platform."""

from __future__ import annotations

from attrs import define


@define(frozen=True, kw_only=True)
class JobSpec:
    """Specify a job as its caller declared it."""

    kind: str
    cpu_millis: int
    memory_mb: int
    accelerators: int = 0
    expected_ms: int = 1_000
    idempotent: bool = False
    payload: str = ""


@define(frozen=True, kw_only=True)
class PermitUse:
    """Report the permits of one team at one entry process."""

    in_use: int = 0
    wanted: int = 0
    # Upper bound that the process keeps until it sees its slice change.
    ceiling: int | None = None
    ceiling_index: int = 0


@define(frozen=True, kw_only=True)
class VmReport:
    """Report a VM's state according to the platform."""

    up: bool
    # Operation id of the reboot that the VM last came up from.
    boot_operation: str = ""


@define(frozen=True, kw_only=True)
class PoolLoad:
    """Report the capacity, use and queued demand of a pool in one data centre."""

    capacity_cpu_millis: int = 0
    used_cpu_millis: int = 0
    waiting_cpu_millis: int = 0
    # Capacity of one VM of the pool.
    vm_cpu_millis: int = 0
