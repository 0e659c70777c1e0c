"""Interface to the platform that runs tasks and reboots VMs."""

from __future__ import annotations

from typing import Protocol

from attrs import define, field

from hornbeamreach.tables.jobs import Resources
from hornbeamreach.tables.reports import VmReport


@define(frozen=True, kw_only=True)
class TaskRequest:
    """Describe a task to start; the same id never starts twice."""

    task_id: str
    worker: str
    kind: str
    payload: str
    reserved: Resources
    lease_ms: int
    checkpoint: str = ""


@define(frozen=True, kw_only=True)
class TaskReport:
    """Report what the platform knows of a task; its resource use lags behind."""

    task_id: str
    # running, done, failed, stopped, checkpointed or lapsed
    state: str
    used: Resources = Resources()
    peak: Resources = Resources()
    run_ms: int = 0
    result: str = ""
    detail: str = ""
    checkpoint: str = ""


@define(frozen=True, kw_only=True)
class PlatformReport:
    """Report what the platform knows of a data centre's VMs and tasks."""

    vms: dict[str, VmReport] = field(factory=dict)
    tasks: list[TaskReport] = field(factory=list)


class WorkerPlatform(Protocol):
    """Run tasks under leases and reboot VMs; every call raises PlatformError on failure."""

    async def start_task(self, request: TaskRequest) -> None:
        """Start a task; repeated requests start it only once."""

    async def renew_leases(self, task_ids: list[str], lease_ms: int) -> None:
        """Extend the leases of tasks; a task whose lease lapses is stopped."""

    async def stop_task(self, task_id: str, *, checkpoint: bool) -> None:
        """Stop a task, with a checkpoint of its progress if requested."""

    async def throttle_task(self, task_id: str, cpu_millis: int) -> None:
        """Limit a task's CPU use, in thousandths of a CPU."""

    async def forget_tasks(self, task_ids: list[str]) -> None:
        """Let the platform drop the reports of tasks whose end is recorded."""

    async def reboot(self, vm: str, operation_id: str) -> None:
        """Reboot a VM; a repeated operation reboots it only once."""

    async def report(self) -> PlatformReport:
        """Return the current report on VMs and tasks."""
