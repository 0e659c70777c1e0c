"""The scheduling of a data centre's jobs by one of its entry processes at a time."""

from __future__ import annotations

import random
from collections import deque

import trio
from attrs import evolve

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.authority import Authority
from hornbeamreach.entry.feed import ControlFeed
from hornbeamreach.entry.history import History
from hornbeamreach.entry.job_records import (
    FINAL_STATE_NAMES,
    JOB_PREFIX,
    JobRecords,
    job_key,
)
from hornbeamreach.entry.job_steps import JobSteps
from hornbeamreach.entry.scheduler_lease import SchedulerLease
from hornbeamreach.entry.task_actions import TASK_LEASE_MS, TaskActions
from hornbeamreach.entry.view import ControlView
from hornbeamreach.entry.worker_platform import (
    Platform,
    PlatformReport,
    TaskReport,
)
from hornbeamreach.exceptions import PlatformError, RefusedError
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.messages import Done, WakeScheduler
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.records.messages import Record
from hornbeamreach.records.store import RecordStore
from hornbeamreach.systems.fair_share import SharePolicy
from hornbeamreach.systems.job_sizing import SizeTable
from hornbeamreach.systems.maintenance import boot_operation
from hornbeamreach.systems.pool_load import collect_pool_loads
from hornbeamreach.systems.schedule import (
    JobAction,
    ScheduleContext,
    schedule,
)
from hornbeamreach.systems.worker_placement import WorkerPlacementPolicy
from hornbeamreach.tables.control_state import VmPhase
from hornbeamreach.tables.declared import URGENT
from hornbeamreach.tables.jobs import JobRow, JobState, JobTables, Resources, WorkerRow
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.tables.reports import PoolLoad, VmReport

log = part_logger("jobs")

SCHEDULE_TICK_MS = 100
IDLE_TICK_MS = 1_000
REPORT_INTERVAL_MS = 300
REPORT_STALE_MS = 5_000
LEASE_RENEW_MS = 2_000
RENEW_WHILE_HEARD_MS = 4_000
LEASE_MARGIN_MS = 1_000
RESCAN_MS = 5_000


class Scheduler:
    """Place the data centre's jobs on its workers while this process holds the lease."""

    def __init__(
        self,
        *,
        process: str,
        data_center: str,
        view: ControlView,
        authority: Authority,
        permits: PermitTable,
        feed: ControlFeed,
        store: RecordStore,
        lease: SchedulerLease,
        platform: Platform,
        handlers: HandlerTable,
        share: SharePolicy,
        placement: WorkerPlacementPolicy,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        history: History,
    ) -> None:
        self.process = process
        self.data_center = data_center
        self.view = view
        self.authority = authority
        self.permits = permits
        self.feed = feed
        self.store = store
        self.records = JobRecords(store)
        self.lease = lease
        self.platform = platform
        self.share = share
        self.placement = placement
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.history = history
        self.sizes = SizeTable()
        self.tables = JobTables()
        self.steps = self._new_steps()
        self.actions = self._new_actions()
        self.announced: deque[WakeScheduler] = deque()
        self.scan_done = trio.Event()
        self.stopping = False
        self.platform_fault = ""
        self.reported_ms = clock.now_ms()
        self.work = trio.Event()
        # When to give back the permits of earlier terms' tasks, the earliest first.
        self.held_permits: deque[tuple[int, str]] = deque()
        handlers.on(WakeScheduler, self._on_wake)

    def _new_steps(self) -> JobSteps:
        return JobSteps(
            tables=self.tables,
            sizes=self.sizes,
            permits=self.permits,
            records=self.records,
            view=self.view,
            clock=self.clock,
            rng=self.rng,
            metrics=self.metrics,
            history=self.history,
        )

    def _new_actions(self) -> TaskActions:
        return TaskActions(
            process=self.process,
            tables=self.tables,
            steps=self.steps,
            records=self.records,
            platform=self.platform,
            clock=self.clock,
            metrics=self.metrics,
        )

    async def _on_wake(self, message: WakeScheduler) -> Done:
        if self.lease.held():
            self.announced.append(message)
            self.work.set()
        return Done()

    # Running

    async def run(self) -> None:
        """Schedule whenever this process holds the lease, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.lease.run)
            nursery.start_soon(self._release_held_permits)
            while True:
                await self.lease.wait_held()
                await self._run_term()

    async def _run_term(self) -> None:
        log.info("{} schedules the jobs of {}", self.process, self.data_center)
        self.tables = JobTables()
        self.steps = self._new_steps()
        self.actions = self._new_actions()
        self.scan_done = trio.Event()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._rescan_forever)
                nursery.start_soon(self._report_forever)
                nursery.start_soon(self._renew_forever)
                nursery.start_soon(self._tick_forever, nursery)
                await self.lease.wait_lost()
                nursery.cancel_scope.cancel()
        finally:
            self._hold_permits_until_leases_end()
            self.feed.vm_reports = {}
            log.info("{} schedules no longer", self.process)

    def _hold_permits_until_leases_end(self) -> None:
        """Keep the permits of tasks that run on under the leases of this term.

        Whoever schedules next takes permits of its own for them, or lets them end.
        """
        release_ms = self.clock.now_ms() + TASK_LEASE_MS + LEASE_MARGIN_MS
        for job in self.tables.jobs.values():
            if job.has_permit:
                job.has_permit = False
                self.held_permits.append((release_ms, job.team))

    async def _release_held_permits(self) -> None:
        while True:
            now_ms = self.clock.now_ms()
            while self.held_permits and self.held_permits[0][0] <= now_ms:
                self.permits.release(self.held_permits.popleft()[1])
            await trio.sleep(seconds(SCHEDULE_TICK_MS))

    async def _tick_forever(self, nursery: trio.Nursery) -> None:
        while True:
            await self.take_announced()
            for action in self.tick():
                nursery.start_soon(self.actions.carry_out, action)
            await trio.sleep(seconds(SCHEDULE_TICK_MS))
            if not self.tables.jobs and not self.announced:
                with trio.move_on_after(seconds(IDLE_TICK_MS)):
                    await self.work.wait()
            self.work = trio.Event()

    def tick(self) -> list[JobAction]:
        """Run the systems over the tables once."""
        now_ms = self.clock.now_ms()
        self.update_workers()
        self._take_missing_permits()
        context = ScheduleContext(
            state=self.view.state,
            may_act=lambda team: self._may_act(team, now_ms),
            share=self.share,
            placement=self.placement,
            sizes=self.sizes,
            now_ms=now_ms,
        )
        return schedule(self.tables, self.permits, context)

    def _may_act(self, team: str, now_ms: int) -> bool:
        held = self.lease.held() and not self.stopping
        return held and self.authority.may_act(self.view.state, team, now_ms)

    def _take_missing_permits(self) -> None:
        """Take permits for tasks that another process started before this one's term."""
        wanted: dict[str, int] = {}
        for job in self.tables.started.values():
            if not job.has_permit:
                job.has_permit = self.permits.acquire(job.team)
                wanted[job.team] = wanted.get(job.team, 0) + (not job.has_permit)
        self.permits.want("tasks", wanted)

    # Workers

    def update_workers(self) -> None:
        """Bring the workers' rows in step with the declared table."""
        state = self.view.state
        declared = {
            vm: row for vm, row in state.table.vms.items() if row.data_center == self.data_center
        }
        for vm in self.tables.workers.keys() - declared.keys():
            del self.tables.workers[vm]
        for vm, row in declared.items():
            capacity = Resources(
                cpu_millis=row.cpu_millis, memory_mb=row.memory_mb, accelerators=row.accelerators
            )
            worker = self.tables.workers.get(vm)
            if worker is None:
                pool = state.pool_of(vm)
                worker = WorkerRow(vm=vm, pool=pool, rack=row.rack, capacity=capacity)
                self.tables.workers[vm] = worker
            worker.pool, worker.rack, worker.capacity = state.pool_of(vm), row.rack, capacity
            phase = state.vm_state(vm).phase
            if phase is not worker.phase:
                worker.phase, worker.phase_since_ms = phase, self.clock.now_ms()

    # What is recorded

    async def _rescan_forever(self) -> None:
        while True:
            try:
                for key, record in (await self.store.scan(JOB_PREFIX)).items():
                    self._adopt(key.removeprefix(JOB_PREFIX), record)
                self.scan_done.set()
            except RefusedError as exc:
                self.metrics.refused("scan", exc.reason)
            await trio.sleep(seconds(RESCAN_MS))

    async def take_announced(self) -> None:
        """Take over jobs and cancellations that other processes announced."""
        while self.announced:
            message = self.announced.popleft()
            for job_id in message.job_ids:
                await self._take_announced_job(job_id, cancel=message.cancel)

    async def _take_announced_job(self, job_id: str, *, cancel: bool) -> None:
        job = self.tables.jobs.get(job_id)
        if job is not None:
            job.cancelled = job.cancelled or cancel
            return
        record = await self._find_record(job_id)
        if record is not None:
            self._adopt(job_id, record)
            job = self.tables.jobs.get(job_id)
            if job is not None:
                job.cancelled = cancel

    async def _find_record(self, job_id: str) -> Record | None:
        """Return a job's record as this process voted on it, or as a majority has it.

        The own vote is enough to let a job wait: its start is agreed on before it is sent.
        """
        stored = self.store.acceptor.records.get(job_key(job_id))
        if stored is not None and stored.record is not None:
            return stored.record
        try:
            return (await self.store.read(job_key(job_id))).record
        except RefusedError:
            return None

    def _adopt(self, job_id: str, record: Record) -> None:
        """Take an unfinished job into the tables, if it is not there already."""
        if job_id in self.tables.jobs or record.state in FINAL_STATE_NAMES:
            return
        if record.spec is None:
            return
        queue = self.view.state.table.queues.get(record.queue)
        now_ms = self.clock.now_ms()
        job = JobRow(
            id=job_id,
            team=record.team,
            queue=record.queue,
            spec=record.spec,
            urgent=queue is not None and queue.priority == URGENT,
            submitted_ms=record.submitted_ms,
            enqueued_ms=now_ms,
            attempt=record.attempt,
            checkpoint=record.checkpoint,
        )
        if record.state == JobState.STARTED.value:
            self._adopt_started(job, record, now_ms)
        else:
            self.tables.enqueue(job)

    def _adopt_started(self, job: JobRow, record: Record, now_ms: int) -> None:
        job.started_ms, job.heard_ms = now_ms, now_ms
        self.update_workers()
        worker = self.tables.workers.get(record.target)
        if worker is not None:
            amount = Resources(
                cpu_millis=job.spec.cpu_millis,
                memory_mb=job.spec.memory_mb,
                accelerators=job.spec.accelerators,
            )
            self.tables.reserve(job, worker, amount)
        else:
            job.worker = record.target
        self.tables.add_started(job)

    # What the platform reports

    async def _report_forever(self) -> None:
        while True:
            await self.scan_done.wait()
            asked_ms = self.clock.now_ms()
            try:
                await self._take_report(await self.platform.report(), asked_ms)
            except PlatformError as exc:
                self.metrics.event("platform_report_failed")
                self._log_platform(str(exc))
                self._forget_old_report()
            else:
                self.reported_ms = asked_ms
                self._log_platform("")
            await self._ask_reboots()
            await trio.sleep(seconds(REPORT_INTERVAL_MS))

    def _forget_old_report(self) -> None:
        """Count VMs as down once nobody has reported on them for a while."""
        if self.clock.now_ms() - self.reported_ms >= REPORT_STALE_MS:
            self.feed.vm_reports = {}
            for worker in self.tables.workers.values():
                worker.up = False

    def _log_platform(self, fault: str) -> None:
        """Log when the platform stops answering, and when it answers again."""
        if bool(fault) == bool(self.platform_fault):
            return
        self.platform_fault = fault
        if fault:
            log.warning("{}", fault)
        else:
            log.info("the platform of {} answers again", self.data_center)

    async def _take_report(self, report: PlatformReport, now_ms: int) -> None:
        for vm, vm_report in report.vms.items():
            worker = self.tables.workers.get(vm)
            if worker is not None:
                worker.up = vm_report.up
                worker.boot_operation = vm_report.boot_operation
        self.feed.vm_reports = self._reported_vms(report, now_ms)
        by_task = {job.task_id(): job for job in self.tables.started.values() if not job.busy}
        settled = []
        for task in report.tasks:
            job = by_task.get(task.task_id)
            if job is None:
                settled += await self._unknown_task(task)
            elif await self._take_task_report(job, task, now_ms):
                settled.append(task.task_id)
        if settled:
            await self.platform.forget_tasks(settled)

    def _reported_vms(self, report: PlatformReport, now_ms: int) -> dict[str, VmReport]:
        reported = {}
        for vm, vm_report in report.vms.items():
            worker = self.tables.workers.get(vm)
            suspect = worker is not None and worker.suspect_until_ms > now_ms
            reported[vm] = evolve(vm_report, up=vm_report.up and not suspect)
        return reported

    async def _unknown_task(self, task: TaskReport) -> list[str]:
        """Forget a task whose job has ended; take over one that was not known yet."""
        job_id = task.task_id.rpartition(".")[0]
        if job_id in self.tables.jobs or task.state == "running":
            return []
        try:
            read = await self.store.read(job_key(job_id))
        except RefusedError:
            return []
        if read.record is not None and read.record.state not in FINAL_STATE_NAMES:
            self._adopt(job_id, read.record)
            return []
        return [task.task_id]

    async def _take_task_report(self, job: JobRow, task: TaskReport, now_ms: int) -> bool:
        """Take one task's report; return whether the task is settled."""
        job.used = task.used
        if task.state == "running":
            job.heard_ms = now_ms
            return False
        job.busy = True
        try:
            await self.steps.settle(job, task, now_ms)
        except RefusedError as exc:
            # No majority recorded the end; the next report tries again.
            self.metrics.retried("record", exc.reason)
            return False
        finally:
            job.busy = False
        return True

    # Leases and reboots

    async def _renew_forever(self) -> None:
        while True:
            await trio.sleep(seconds(LEASE_RENEW_MS))
            tasks = [
                job.task_id()
                for job in self.tables.started.values()
                if job.has_permit and self._may_renew(job)
            ]
            if not tasks:
                continue
            try:
                await self.platform.renew_leases(tasks, TASK_LEASE_MS)
            except PlatformError as exc:
                self.metrics.event("lease_renewal_failed")
                log.warning("{}", exc)

    def _may_renew(self, job: JobRow) -> bool:
        # A task that no report names is not renewed: it is given up only once its lease
        # has certainly ended.
        now_ms = self.clock.now_ms()
        heard = now_ms - max(job.heard_ms, job.started_ms) < RENEW_WHILE_HEARD_MS
        acts = self.authority.may_act(self.view.state, job.team, now_ms)
        return heard and acts and self.lease.held()

    async def _ask_reboots(self) -> None:
        """Ask the platform to reboot the drained VMs that have not come up since."""
        state = self.view.state
        for vm, worker in self.tables.workers.items():
            vm_state = state.vm_state(vm)
            operation_id = boot_operation(vm, vm_state.epoch)
            if vm_state.phase is not VmPhase.REBOOTING or worker.boot_operation == operation_id:
                continue
            try:
                await self.platform.reboot(vm, operation_id)
            except PlatformError as exc:
                self.metrics.event("reboot_failed")
                log.warning("{}", exc)

    def busy_vms(self) -> dict[str, int]:
        """Count the started tasks on VMs that are being drained."""
        counts: dict[str, int] = {}
        for job in self.tables.started.values():
            if self.view.state.vm_state(job.worker).phase is VmPhase.DRAINING:
                counts[job.worker] = counts.get(job.worker, 0) + 1
        return counts

    def idle_vms(self) -> list[str]:
        """Return the draining VMs on which no task is left, if this process can tell."""
        if not self.lease.held() or not self.scan_done.is_set():
            return []
        busy = self.busy_vms()
        return [
            vm
            for vm in self.tables.workers
            if self.view.state.vm_state(vm).phase is VmPhase.DRAINING and vm not in busy
        ]

    def pool_loads(self) -> dict[str, PoolLoad]:
        """Report how full the pools are here, if this process schedules."""
        if not self.lease.held() or not self.scan_done.is_set():
            return {}
        return collect_pool_loads(self.tables, self.view.state)

    async def stop(self) -> None:
        """Start nothing more and hand the lease to another process."""
        self.stopping = True
        while any(job.busy for job in self.tables.jobs.values()):
            await trio.sleep(seconds(SCHEDULE_TICK_MS))
        await self.lease.give_up()
        # A moment for the term to end, then its tasks' leases.
        await trio.sleep(seconds(SCHEDULE_TICK_MS))
        while self.held_permits:
            await trio.sleep(seconds(SCHEDULE_TICK_MS))
