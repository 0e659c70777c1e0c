"""What the system needs of the platform."""

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
    """Tell what the platform knows of a task; use is late."""

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
    """Tell what the platform knows of a data centre's VMs and tasks."""

    vms: dict[str, VmReport] = field(factory=dict)
    tasks: list[TaskReport] = field(factory=list)


class Platform(Protocol):
    """Run tasks under leases and reboot VMs; every call raises PlatformError on failure."""

    async def start_task(self, request: TaskRequest) -> None:
        """Start a task, once however often it is asked."""

    async def renew_leases(self, task_ids: list[str], lease_ms: int) -> None:
        """Let tasks run on for a while; a task whose lease ends is stopped."""

    async def stop_task(self, task_id: str, *, checkpoint: bool) -> None:
        """Stop a task, saving its progress if asked to."""

    async def throttle_task(self, task_id: str, cpu_millis: int) -> None:
        """Hold a task's processor use to a limit."""

    async def forget_tasks(self, task_ids: list[str]) -> None:
        """Let the platform drop reports that were recorded."""

    async def reboot(self, vm: str, operation_id: str) -> None:
        """Reboot a VM, once however often the operation is asked."""

    async def report(self) -> PlatformReport:
        """Return what is known of the VMs and tasks."""
