"""A stand-in for the workers' platform, which runs tasks under leases and reboots VMs."""

from __future__ import annotations

import random
from typing import Any

import trio
from attrs import define, field
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hornbeamreach.clock import Clock
from hornbeamreach.entry.worker_platform import PlatformReport, TaskReport, TaskRequest
from hornbeamreach.link.codec import wire_converter
from hornbeamreach.tables.jobs import Resources
from hornbeamreach.tables.reports import VmReport
from hornbeamreach.web.lean_server import serve_requests
from hornbeamreach.web.problems import json_response, read_json

REBOOT_MS = 1_500
MAX_BODY_BYTES = 4 * 1024 * 1024
HTTP_CONFLICT = 409


@define(kw_only=True)
class StandInTask:
    """Represent one task of the stand-in platform."""

    request: TaskRequest
    started_ms: int
    work_ms: int
    lease_until_ms: int
    used: Resources
    fails: bool = False
    state: str = "running"
    ended_ms: int = 0
    checkpoint: str = ""
    result: str = ""


@define(kw_only=True)
class StandInVm:
    """Represent one VM of the stand-in platform."""

    name: str
    boot_operation: str = ""
    rebooting_until_ms: int = 0
    reboot_times_ms: list[int] = field(factory=list)
    down: bool = False
    fails_all_tasks: bool = False


class StandInPlatform:
    """Implement the platform interface in memory.

    Words of a task's payload set its behaviour: `work_ms=N`, `fail`, `memory_mb=N`.
    """

    def __init__(self, *, vms: list[str], clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.vms = {vm: StandInVm(name=vm) for vm in vms}
        self.tasks: dict[str, StandInTask] = {}
        self.starts: dict[str, int] = {}
        self.interrupted_tasks: list[str] = []

    def advance(self) -> None:
        """End the tasks that have finished, whose lease has lapsed or whose VM is down."""
        now_ms = self.clock.now_ms()
        for task in self.tasks.values():
            if task.state != "running":
                continue
            vm = self.vms[task.request.worker]
            finish_ms = task.started_ms + task.work_ms
            if vm.down:
                self._end(task, "lapsed", now_ms)
            elif finish_ms <= now_ms and finish_ms <= task.lease_until_ms:
                state = "failed" if task.fails or vm.fails_all_tasks else "done"
                self._end(task, state, finish_ms)
            elif task.lease_until_ms <= now_ms:
                self._end(task, "lapsed", task.lease_until_ms)

    def _end(self, task: StandInTask, state: str, at_ms: int) -> None:
        task.state, task.ended_ms = state, at_ms
        if state == "done":
            task.result = f"result of {task.request.task_id}"

    def running_by_team(self) -> dict[str, int]:
        """Return the number of running tasks by the team named in their payloads."""
        self.advance()
        counts: dict[str, int] = {}
        for task in self.tasks.values():
            team = _option(task.request.payload, "team")
            if task.state == "running" and team:
                counts[team] = counts.get(team, 0) + 1
        return counts

    async def start_task(self, request: TaskRequest) -> None:
        """Start a task; a repeated request starts it only once."""
        self.advance()
        if request.task_id in self.tasks:
            return
        now_ms = self.clock.now_ms()
        payload = request.payload
        work_ms = int(_option(payload, "work_ms") or 500)
        done_ms = int(request.checkpoint or 0)
        memory_mb = int(_option(payload, "memory_mb") or request.reserved.memory_mb)
        self.starts[request.task_id] = self.starts.get(request.task_id, 0) + 1
        self.tasks[request.task_id] = StandInTask(
            request=request,
            started_ms=now_ms,
            work_ms=max(0, work_ms - done_ms),
            lease_until_ms=now_ms + request.lease_ms,
            used=Resources(cpu_millis=request.reserved.cpu_millis, memory_mb=memory_mb),
            fails="fail" in payload.split(),
        )

    async def renew_leases(self, task_ids: list[str], lease_ms: int) -> None:
        """Renew the leases of running tasks to `lease_ms` from now."""
        self.advance()
        until_ms = self.clock.now_ms() + lease_ms
        for task_id in task_ids:
            task = self.tasks.get(task_id)
            if task is not None and task.state == "running":
                task.lease_until_ms = until_ms

    async def stop_task(self, task_id: str, *, checkpoint: bool) -> None:
        """Stop a task, with a checkpoint of its progress if requested."""
        self.advance()
        task = self.tasks.get(task_id)
        if task is None or task.state != "running":
            return
        now_ms = self.clock.now_ms()
        if checkpoint:
            saved_ms = int(task.request.checkpoint or 0)
            task.checkpoint = str(saved_ms + now_ms - task.started_ms)
        self._end(task, "checkpointed" if checkpoint else "stopped", now_ms)

    async def throttle_task(self, task_id: str, cpu_millis: int) -> None:
        """Limit a task's CPU use."""
        task = self.tasks.get(task_id)
        if task is not None:
            task.used = Resources(cpu_millis=cpu_millis, memory_mb=task.used.memory_mb)

    async def forget_tasks(self, task_ids: list[str]) -> None:
        """Forget ended tasks; starting a task of the same id again has no effect."""
        for task_id in task_ids:
            task = self.tasks.get(task_id)
            if task is not None and task.state != "running":
                task.state = "forgotten"

    async def reboot(self, vm: str, operation_id: str) -> None:
        """Reboot a VM; a repeated operation reboots it only once."""
        self.advance()
        known = self.vms[vm]
        now_ms = self.clock.now_ms()
        if known.boot_operation == operation_id:
            return
        known.boot_operation = operation_id
        known.rebooting_until_ms = now_ms + REBOOT_MS
        known.reboot_times_ms.append(now_ms)
        for task in self.tasks.values():
            if task.request.worker == vm and task.state == "running":
                self.interrupted_tasks.append(task.request.task_id)
                self._end(task, "lapsed", now_ms)

    async def report(self) -> PlatformReport:
        """Return the state of the VMs and of the tasks that are not forgotten."""
        self.advance()
        now_ms = self.clock.now_ms()
        vms = {}
        for vm in self.vms.values():
            up = not vm.down and vm.rebooting_until_ms <= now_ms
            boot_operation = vm.boot_operation if up else ""
            vms[vm.name] = VmReport(up=up, boot_operation=boot_operation)
        tasks = [
            _task_report(task, now_ms) for task in self.tasks.values() if task.state != "forgotten"
        ]
        return PlatformReport(vms=vms, tasks=tasks)


def _task_report(task: StandInTask, now_ms: int) -> TaskReport:
    return TaskReport(
        task_id=task.request.task_id,
        state=task.state,
        used=task.used,
        peak=task.used,
        run_ms=(task.ended_ms or now_ms) - task.started_ms,
        result=task.result,
        checkpoint=task.checkpoint,
        detail="the task failed" if task.state == "failed" else "",
    )


def _option(payload: str, name: str) -> str:
    for word in payload.split():
        key, _, value = word.partition("=")
        if key == name:
            return value
    return ""


class StandInPlatformServer:
    """Serve a stand-in platform over HTTP."""

    def __init__(self, *, platform: StandInPlatform, address: str) -> None:
        self.platform = platform
        self.address = address
        self.stop = trio.Event()

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        prefix = "/platform/v1"
        return Starlette(
            routes=[
                Route(f"{prefix}/tasks", self.start_task, methods=["POST"]),
                Route(f"{prefix}/leases", self.renew, methods=["POST"]),
                Route(f"{prefix}/tasks/{{task_id}}/stop", self.stop_task, methods=["POST"]),
                Route(f"{prefix}/tasks/{{task_id}}/throttle", self.throttle, methods=["POST"]),
                Route(f"{prefix}/forget", self.forget, methods=["POST"]),
                Route(f"{prefix}/vms/{{vm}}/reboot", self.reboot, methods=["POST"]),
                Route(f"{prefix}/report", self.report, methods=["GET"]),
            ]
        )

    async def start_task(self, request: Request) -> Response:
        """Start a task."""
        plain = await read_json(request, MAX_BODY_BYTES)
        await self.platform.start_task(wire_converter.structure(plain, TaskRequest))
        return json_response({})

    async def renew(self, request: Request) -> Response:
        """Renew leases."""
        plain = await read_json(request, MAX_BODY_BYTES)
        await self.platform.renew_leases(plain["task_ids"], plain["lease_ms"])
        return json_response({})

    async def stop_task(self, request: Request) -> Response:
        """Stop a task."""
        plain = await read_json(request, MAX_BODY_BYTES)
        task_id = request.path_params["task_id"]
        await self.platform.stop_task(task_id, checkpoint=plain["checkpoint"])
        return json_response({})

    async def throttle(self, request: Request) -> Response:
        """Throttle a task."""
        plain = await read_json(request, MAX_BODY_BYTES)
        await self.platform.throttle_task(request.path_params["task_id"], plain["cpu_millis"])
        return json_response({})

    async def forget(self, request: Request) -> Response:
        """Forget tasks."""
        plain = await read_json(request, MAX_BODY_BYTES)
        await self.platform.forget_tasks(plain["task_ids"])
        return json_response({})

    async def reboot(self, request: Request) -> Response:
        """Reboot a VM."""
        plain = await read_json(request, MAX_BODY_BYTES)
        await self.platform.reboot(request.path_params["vm"], plain["operation_id"])
        return json_response({})

    async def report(self, request: Request) -> Response:
        """Return the report on VMs and tasks."""
        return json_response(wire_converter.unstructure(await self.platform.report()))

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until stopped or cancelled."""
        app = self.build_app()
        await serve_requests(app, self.address, stop=self.stop, task_status=task_status)
