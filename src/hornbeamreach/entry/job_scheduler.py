"""Schedule a data centre's jobs on one of its entry processes at a time."""

from __future__ import annotations

import random
from collections import deque

import trio
from attrs import evolve

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.entry.action_executor import TASK_LEASE_MS, ActionExecutor
from hornbeamreach.entry.authority import Authority
from hornbeamreach.entry.control_session import ControlSession
from hornbeamreach.entry.history import History
from hornbeamreach.entry.job_records import (
    FINAL_STATE_NAMES,
    JOB_PREFIX,
    JobRecords,
    job_key,
)
from hornbeamreach.entry.job_transitions import JobTransitions
from hornbeamreach.entry.replayed_state import ReplayedState
from hornbeamreach.entry.scheduler_lease import SchedulerLease
from hornbeamreach.entry.worker_platform import (
    PlatformReport,
    TaskReport,
    WorkerPlatform,
)
from hornbeamreach.exceptions import PlatformError, RefusedError
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.messages import Acknowledgement, WakeScheduler
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
REPORT_MAX_AGE_MS = 5_000
TASK_LEASE_RENEW_INTERVAL_MS = 2_000
RENEW_MAX_REPORT_AGE_MS = 4_000
TASK_LEASE_MARGIN_MS = 1_000
RESCAN_INTERVAL_MS = 5_000


class JobScheduler:
    """Place the data centre's jobs on its workers while this process holds the lease."""

    def __init__(
        self,
        *,
        process: str,
        data_center: str,
        replayed_state: ReplayedState,
        authority: Authority,
        permits: PermitTable,
        control_session: ControlSession,
        store: RecordStore,
        lease: SchedulerLease,
        platform: WorkerPlatform,
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
        self.replayed_state = replayed_state
        self.authority = authority
        self.permits = permits
        self.control_session = control_session
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
        self.transitions = self._new_transitions()
        self.executor = self._new_executor()
        self.wakeups: deque[WakeScheduler] = deque()
        self.scan_done = trio.Event()
        self.stopping = False
        self.platform_error = ""
        self.last_report_ms = clock.now_ms()
        self.work_available = trio.Event()
        # Release time and team of each permit held for a task of an earlier term, earliest first.
        self.held_permits: deque[tuple[int, str]] = deque()
        handlers.on(WakeScheduler, self._on_wake)

    def _new_transitions(self) -> JobTransitions:
        return JobTransitions(
            tables=self.tables,
            sizes=self.sizes,
            permits=self.permits,
            records=self.records,
            replayed_state=self.replayed_state,
            clock=self.clock,
            rng=self.rng,
            metrics=self.metrics,
            history=self.history,
        )

    def _new_executor(self) -> ActionExecutor:
        return ActionExecutor(
            process=self.process,
            tables=self.tables,
            transitions=self.transitions,
            records=self.records,
            platform=self.platform,
            clock=self.clock,
            metrics=self.metrics,
        )

    async def _on_wake(self, message: WakeScheduler) -> Acknowledgement:
        if self.lease.is_held():
            self.wakeups.append(message)
            self.work_available.set()
        return Acknowledgement()

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
        log.info("{} begins to schedule the jobs of {}", self.process, self.data_center)
        self.tables = JobTables()
        self.transitions = self._new_transitions()
        self.executor = self._new_executor()
        self.scan_done = trio.Event()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._rescan_forever)
                nursery.start_soon(self._poll_reports_forever)
                nursery.start_soon(self._renew_task_leases_forever)
                nursery.start_soon(self._tick_forever, nursery)
                await self.lease.wait_lost()
                nursery.cancel_scope.cancel()
        finally:
            self._hold_permits_until_leases_end()
            self.control_session.vm_reports = {}
            log.info("{} has stopped scheduling jobs", self.process)

    def _hold_permits_until_leases_end(self) -> None:
        """Keep the permits of tasks that still run under the leases of this term.

        The next scheduler acquires its own permits for them, or lets their leases lapse.
        """
        release_ms = self.clock.now_ms() + TASK_LEASE_MS + TASK_LEASE_MARGIN_MS
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
            await self.process_wakeups()
            for action in self.tick():
                nursery.start_soon(self.executor.execute, action)
            await trio.sleep(seconds(SCHEDULE_TICK_MS))
            if not self.tables.jobs and not self.wakeups:
                with trio.move_on_after(seconds(IDLE_TICK_MS)):
                    await self.work_available.wait()
            self.work_available = trio.Event()

    def tick(self) -> list[JobAction]:
        """Run the systems over the tables once."""
        now_ms = self.clock.now_ms()
        self.update_workers()
        self._acquire_missing_permits()
        context = ScheduleContext(
            state=self.replayed_state.state,
            may_act=lambda team: self._may_act(team, now_ms),
            share=self.share,
            placement=self.placement,
            sizes=self.sizes,
            now_ms=now_ms,
            evacuated=self._is_evacuated(),
        )
        return schedule(self.tables, self.permits, context)

    def _is_evacuated(self) -> bool:
        return self.data_center in self.replayed_state.state.workload.evacuated

    def _may_act(self, team: str, now_ms: int) -> bool:
        held = self.lease.is_held() and not self.stopping
        return held and self.authority.may_act(self.replayed_state.state, team, now_ms)

    def _acquire_missing_permits(self) -> None:
        """Acquire permits for tasks that another process started before this term."""
        missing: dict[str, int] = {}
        for job in self.tables.started.values():
            if not job.has_permit:
                job.has_permit = self.permits.acquire(job.team)
                missing[job.team] = missing.get(job.team, 0) + (not job.has_permit)
        self.permits.set_shortfall("tasks", missing)

    # Workers

    def update_workers(self) -> None:
        """Update the workers' rows from the declared table."""
        state = self.replayed_state.state
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

    # Records

    async def _rescan_forever(self) -> None:
        while True:
            try:
                for key, record in (await self.store.scan(JOB_PREFIX)).items():
                    self._add_job(key.removeprefix(JOB_PREFIX), record)
                self.scan_done.set()
            except RefusedError as exc:
                self.metrics.refused("scan", exc.reason)
            await trio.sleep(seconds(RESCAN_INTERVAL_MS))

    async def process_wakeups(self) -> None:
        """Add the jobs and apply the cancellations that other processes have reported."""
        while self.wakeups:
            message = self.wakeups.popleft()
            for job_id in message.job_ids:
                await self._process_wakeup(job_id, cancel=message.cancel)

    async def _process_wakeup(self, job_id: str, *, cancel: bool) -> None:
        job = self.tables.jobs.get(job_id)
        if job is not None:
            job.cancelled = job.cancelled or cancel
            return
        record = await self._find_record(job_id)
        if record is not None:
            self._add_job(job_id, record)
            job = self.tables.jobs.get(job_id)
            if job is not None:
                job.cancelled = cancel

    async def _find_record(self, job_id: str) -> Record | None:
        """Return a job's record as this process voted on it, or as a majority has it.

        The local vote suffices to queue a job: its start needs a majority before it is sent.
        """
        stored = self.store.acceptor.records.get(job_key(job_id))
        if stored is not None and stored.record is not None:
            return stored.record
        try:
            return (await self.store.read(job_key(job_id))).record
        except RefusedError:
            return None

    def _add_job(self, job_id: str, record: Record) -> None:
        """Add an unfinished job to the tables, unless it is there already."""
        if job_id in self.tables.jobs or record.state in FINAL_STATE_NAMES:
            return
        if record.spec is None:
            return
        queue = self.replayed_state.state.table.queues.get(record.queue)
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
            self._add_started_job(job, record, now_ms)
        else:
            self.tables.enqueue(job)

    def _add_started_job(self, job: JobRow, record: Record, now_ms: int) -> None:
        job.started_ms, job.last_report_ms = now_ms, now_ms
        self.update_workers()
        worker = self.tables.workers.get(record.target)
        if worker is not None:
            reserved = Resources(
                cpu_millis=job.spec.cpu_millis,
                memory_mb=job.spec.memory_mb,
                accelerators=job.spec.accelerators,
            )
            self.tables.reserve(job, worker, reserved)
        else:
            job.worker = record.target
        self.tables.add_started(job)

    # Platform reports

    async def _poll_reports_forever(self) -> None:
        while True:
            await self.scan_done.wait()
            sent_ms = self.clock.now_ms()
            try:
                await self._on_report(await self.platform.report(), sent_ms)
            except PlatformError as exc:
                self.metrics.event("platform_report_failed")
                self._log_platform_state(str(exc))
                self._expire_report()
            else:
                self.last_report_ms = sent_ms
                self._log_platform_state("")
            await self._order_reboots()
            await trio.sleep(seconds(REPORT_INTERVAL_MS))

    def _expire_report(self) -> None:
        """Count the VMs as down once the last report is too old."""
        if self.clock.now_ms() - self.last_report_ms >= REPORT_MAX_AGE_MS:
            self.control_session.vm_reports = {}
            for worker in self.tables.workers.values():
                worker.up = False

    def _log_platform_state(self, error: str) -> None:
        """Log when the platform stops responding, and when it responds again."""
        if bool(error) == bool(self.platform_error):
            return
        self.platform_error = error
        if error:
            log.warning("platform report failed, VMs count as down if it persists: {}", error)
        else:
            log.info("platform of {} responds again", self.data_center)

    async def _on_report(self, report: PlatformReport, now_ms: int) -> None:
        for vm, vm_report in report.vms.items():
            worker = self.tables.workers.get(vm)
            if worker is not None:
                worker.up = vm_report.up
                worker.boot_operation = vm_report.boot_operation
        self.control_session.vm_reports = self._reported_vms(report, now_ms)
        jobs_by_task = {
            job.task_id(): job for job in self.tables.started.values() if not job.in_transition
        }
        recorded_task_ids = []
        for task in report.tasks:
            job = jobs_by_task.get(task.task_id)
            if job is None:
                recorded_task_ids += await self._on_unknown_task(task)
            elif await self._on_task_report(job, task, now_ms):
                recorded_task_ids.append(task.task_id)
        if recorded_task_ids:
            await self.platform.forget_tasks(recorded_task_ids)

    def _reported_vms(self, report: PlatformReport, now_ms: int) -> dict[str, VmReport]:
        reported = {}
        for vm, vm_report in report.vms.items():
            worker = self.tables.workers.get(vm)
            suspect = worker is not None and worker.suspect_until_ms > now_ms
            reported[vm] = evolve(vm_report, up=vm_report.up and not suspect)
        return reported

    async def _on_unknown_task(self, task: TaskReport) -> list[str]:
        """Add the task's job if it is unfinished; otherwise return the id of the task to forget."""
        job_id = task.task_id.rpartition(".")[0]
        if job_id in self.tables.jobs or task.state == "running":
            return []
        try:
            read = await self.store.read(job_key(job_id))
        except RefusedError:
            return []
        if read.record is not None and read.record.state not in FINAL_STATE_NAMES:
            self._add_job(job_id, read.record)
            return []
        return [task.task_id]

    async def _on_task_report(self, job: JobRow, task: TaskReport, now_ms: int) -> bool:
        """Apply one task's report; return whether the task's end is recorded."""
        job.used = task.used
        if task.state == "running":
            job.last_report_ms = now_ms
            return False
        job.in_transition = True
        try:
            await self.transitions.on_task_ended(job, task, now_ms)
        except RefusedError as exc:
            # No majority recorded the end; it is retried on the next report.
            self.metrics.retried("record", exc.reason)
            return False
        finally:
            job.in_transition = False
        return True

    # Leases and reboots

    async def _renew_task_leases_forever(self) -> None:
        while True:
            await trio.sleep(seconds(TASK_LEASE_RENEW_INTERVAL_MS))
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
                log.warning(
                    "renewal of task leases failed, tasks stop when their leases lapse: {}", exc
                )

    def _may_renew(self, job: JobRow) -> bool:
        # The lease of a task that no report names is not renewed, because the task counts as
        # lost only once its lease has certainly lapsed.
        now_ms = self.clock.now_ms()
        is_reported = now_ms - max(job.last_report_ms, job.started_ms) < RENEW_MAX_REPORT_AGE_MS
        may_act = self.authority.may_act(self.replayed_state.state, job.team, now_ms)
        return is_reported and may_act and self.lease.is_held()

    async def _order_reboots(self) -> None:
        """Order reboots of the drained VMs that have not come up from their reboot yet."""
        state = self.replayed_state.state
        for vm, worker in self.tables.workers.items():
            vm_state = state.vm_state(vm)
            operation_id = boot_operation(vm, vm_state.epoch)
            if vm_state.phase is not VmPhase.REBOOTING or worker.boot_operation == operation_id:
                continue
            try:
                await self.platform.reboot(vm, operation_id)
            except PlatformError as exc:
                self.metrics.event("reboot_failed")
                log.warning("reboot of a drained VM failed, it will be retried: {}", exc)

    def busy_vms(self) -> dict[str, int]:
        """Count the started tasks on each draining VM."""
        counts: dict[str, int] = {}
        for job in self.tables.started.values():
            if self.replayed_state.state.vm_state(job.worker).phase is VmPhase.DRAINING:
                counts[job.worker] = counts.get(job.worker, 0) + 1
        return counts

    def idle_vms(self) -> list[str]:
        """Return the draining VMs without tasks; none unless this process schedules."""
        if not self.lease.is_held() or not self.scan_done.is_set():
            return []
        busy = self.busy_vms()
        return [
            vm
            for vm in self.tables.workers
            if self.replayed_state.state.vm_state(vm).phase is VmPhase.DRAINING and vm not in busy
        ]

    def pool_loads(self) -> dict[str, PoolLoad]:
        """Return the loads of the local pools; none unless this process schedules."""
        if not self.lease.is_held() or not self.scan_done.is_set():
            return {}
        return collect_pool_loads(
            self.tables, self.replayed_state.state, evacuated=self._is_evacuated()
        )

    async def stop(self) -> None:
        """Start no more tasks, release the lease, and return once all held permits are released."""
        self.stopping = True
        while any(job.in_transition for job in self.tables.jobs.values()):
            await trio.sleep(seconds(SCHEDULE_TICK_MS))
        await self.lease.release()
        # The term must end first: its tasks' permits are held from then until their leases lapse.
        await trio.sleep(seconds(SCHEDULE_TICK_MS))
        while self.held_permits:
            await trio.sleep(seconds(SCHEDULE_TICK_MS))
