"""Generate both users' load at its present size: calls, and queues that surge in turn."""

from __future__ import annotations

from pathlib import Path

import trio
from attrs import define, field

from hornbeamreach.demo.deployment import load_deployment
from hornbeamreach.entry.identifiers import parse_job_id
from hornbeamreach.entry.job_scheduler import JobScheduler
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.link.messages import ForwardSubmit
from hornbeamreach.settings import PolicySettings
from hornbeamreach.systems.fair_share import entitled_shares, pool_usage
from hornbeamreach.tables.declared import URGENT, DeclaredTable
from hornbeamreach.tables.jobs import Resources
from hornbeamreach.tables.reports import JobSpec
from hornbeamreach.tables.table_file import load_table
from hornbeamreach.verdict import Verdict
from tests.fakes import VirtualFleet
from tests.invariants import InvariantChecker

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
USERS = ("brettwerk", "lakeshore")
SURGE_FACTOR = 5.0
IDLE_FACTOR = 0.05
SURGE_S = 6.0
JOB_CPU_MILLIS = 8_000
JOB_MEMORY_MB = 4_096
JOB_WORK_MS = 2_000
OBSERVE_INTERVAL_S = 0.1


def user_table(user: str) -> DeclaredTable:
    """Return a user's table without planned maintenance; only ordered maintenance takes place."""
    table = load_table(EXAMPLES / f"{user}.toml")
    from attrs import evolve

    for name, row in table.pools.items():
        table.pools[name] = evolve(row, maintenance_interval_ms=0)
    return table


def user_fleet(
    user: str, *, seed: int = 1, mover: str = "payback", policy: PolicySettings | None = None
) -> VirtualFleet:
    """Return a fleet of a user's size in virtual time."""
    deployment = load_deployment(EXAMPLES / f"{user}.toml")
    return VirtualFleet(
        declared=user_table(user),
        entries_per_data_center=tuple(deployment.entries.values()),
        seed=seed,
        mover=mover,
        policy=policy,
    )


@define(kw_only=True)
class JobTrace:
    """Record the observed times of one submitted job."""

    job_id: str
    team: str
    queue: str
    urgent: bool
    submitted_ms: int
    started_ms: int | None = None
    finished_ms: int | None = None
    # Time it was queued while its team was below its share and its limit.
    entitled_wait_ms: float = 0.0


@define(kw_only=True)
class CallCounts:
    """Count calls by verdict."""

    sent: int = 0
    answered: int = 0
    verdicts: dict[str, int] = field(factory=dict)
    latencies_ms: list[float] = field(factory=list)


class LoadGenerator:
    """Generate load for a fleet and observe its jobs, calls and VMs."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self.fleet = fleet
        self.checker = InvariantChecker(fleet)
        self.jobs: dict[str, JobTrace] = {}
        self.open_jobs: dict[str, JobTrace] = {}
        self.calls = CallCounts()
        self.cpu_ms: dict[str, float] = {}
        self.refused_jobs = 0
        self.moves = 0
        self.loan_ms = 0.0
        self.idle_spare_ms = 0.0
        self.last_loans: dict[str, str] = {}
        self.stopped = False

    # Observation

    async def observe(self) -> None:
        """Check the promises and observe jobs and VMs, until cancelled."""
        while True:
            self.checker.check()
            self._observe_tasks()
            self._observe_waits()
            self._observe_loans()
            await trio.sleep(OBSERVE_INTERVAL_S)

    def _observe_tasks(self) -> None:
        now_ms = self.fleet.clock.now_ms()
        for platform in self.fleet.platforms.values():
            platform.advance()
            for task_id, task in platform.tasks.items():
                trace = self.open_jobs.get(task_id.rpartition(".")[0])
                if trace is None:
                    continue
                if trace.started_ms is None:
                    trace.started_ms = task.started_ms
                if task.state == "running":
                    used = task.used.cpu_millis * OBSERVE_INTERVAL_S
                    self.cpu_ms[trace.team] = self.cpu_ms.get(trace.team, 0.0) + used
                elif task.result and trace.finished_ms is None:
                    trace.finished_ms = min(task.ended_ms, now_ms)
                    del self.open_jobs[trace.job_id]

    def _observe_waits(self) -> None:
        """Add up the waits of urgent jobs whose team is below its share and its limit."""
        now_ms = self.fleet.clock.now_ms()
        queued = [
            trace
            for trace in self.open_jobs.values()
            if trace.urgent and trace.started_ms is None and trace.submitted_ms < now_ms
        ]
        for data_center in {self.data_center_of(trace.job_id) for trace in queued}:
            schedulers = [
                node.scheduler
                for node in self.fleet.entries_of(data_center)
                if node.scheduler.lease.is_held()
            ]
            for trace in queued:
                if self.data_center_of(trace.job_id) == data_center and schedulers:
                    self._observe_wait(trace, schedulers[0])

    def _observe_wait(self, trace: JobTrace, scheduler: JobScheduler) -> None:
        state = scheduler.replayed_state.state
        pool = state.table.queues[trace.queue].pool
        usage = pool_usage(scheduler.tables, pool)
        active = set(usage.by_team) | {trace.team}
        active |= {
            team
            for queue, by_team in scheduler.tables.queued.items()
            if state.table.queues[queue].pool == pool
            for team, jobs in by_team.items()
            if jobs
        }
        share = entitled_shares(state, active).get(trace.team, 0.0)
        job_resources = Resources(cpu_millis=JOB_CPU_MILLIS, memory_mb=JOB_MEMORY_MB)
        # A team is below its share if the job itself still fits into it.
        share_with_job = usage.dominant_share(trace.team) + job_resources.dominant_fraction(
            usage.total
        )
        limit = state.table.teams[trace.team].max_running
        if share_with_job <= share and self.fleet.running_count(trace.team) < limit:
            trace.entitled_wait_ms += OBSERVE_INTERVAL_S * 1_000

    def _observe_loans(self) -> None:
        leader = self.fleet.leader()
        if leader is None:
            return
        state = leader.replica.state
        loans = dict(state.loans)
        for vm in loans.keys() | self.last_loans.keys():
            self.moves += loans.get(vm) != self.last_loans.get(vm)
        self.last_loans = loans
        spare = [vm for vm in state.table.vms if state.table.pools[state.pool_of(vm)].spare]
        self.idle_spare_ms += len(spare) * OBSERVE_INTERVAL_S * 1_000

    # Load

    def _ready_entries(self) -> list[str]:
        return [
            name
            for name, process in sorted(self.fleet.entries.items())
            if process.address in self.fleet.network.handlers and process.node.is_ready()
        ]

    async def submit(
        self,
        team: str,
        queue: str,
        *,
        work_ms: int = JOB_WORK_MS,
        cpu_millis: int = JOB_CPU_MILLIS,
        data_center: str = "",
        extra: str = "",
        kind: str = "bench",
    ) -> JobTrace | None:
        """Submit a job through a random entry; return None if refused or if no entry is ready."""
        entries = [name for name in self._ready_entries() if name.startswith(data_center)]
        if not entries:
            self.refused_jobs += 1
            return None
        node = self.fleet.entry(self.fleet.rng.choice(entries))
        message = ForwardSubmit(
            team=team,
            queue=queue,
            spec=JobSpec(
                kind=kind,
                cpu_millis=cpu_millis,
                memory_mb=JOB_MEMORY_MB,
                expected_ms=work_ms,
                idempotent=True,
                payload=f"team={team} work_ms={work_ms} {extra}".strip(),
            ),
            idempotency_key="",
        )
        submitted_ms = self.fleet.clock.now_ms()
        try:
            job_id = (await node.forwarder.submit(message)).job_id
        except RefusedError:
            self.refused_jobs += 1
            return None
        urgent = self.fleet.declared.queues[queue].priority == URGENT
        trace = JobTrace(
            job_id=job_id, team=team, queue=queue, urgent=urgent, submitted_ms=submitted_ms
        )
        self.jobs[job_id] = trace
        self.open_jobs[job_id] = trace
        return trace

    async def surge_queues(self, *, mean_per_s: float, duration_s: float) -> None:
        """Submit at five times the mean rate to one queue in turn, at a twentieth to the others."""
        queues = sorted(self.fleet.declared.queues)
        teams = sorted(self.fleet.declared.teams)
        weights = [self.fleet.declared.teams[team].weight for team in teams]
        end = trio.current_time() + duration_s
        owed_jobs = dict.fromkeys(queues, 0.0)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                surging_index = int(trio.current_time() / SURGE_S) % len(queues)
                for position, queue in enumerate(queues):
                    factor = SURGE_FACTOR if position == surging_index else IDLE_FACTOR
                    owed_jobs[queue] += mean_per_s * factor * OBSERVE_INTERVAL_S
                    while owed_jobs[queue] >= 1:
                        owed_jobs[queue] -= 1
                        team = self.fleet.rng.choices(teams, weights)[0]
                        nursery.start_soon(self.submit, team, queue)
                await trio.sleep(OBSERVE_INTERVAL_S)

    async def flood(self, queue: str, data_center: str, backlog: int, duration_s: float) -> None:
        """Keep `backlog` jobs of every team queued, so that only shares decide."""
        teams = sorted(self.fleet.declared.teams)
        end = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                queued = self._queued_by_team(data_center)
                for team in teams:
                    for _ in range(max(0, backlog - queued.get(team, 0))):
                        nursery.start_soon(self._submit_small, team, queue, data_center)
                await trio.sleep(0.5)

    def _queued_by_team(self, data_center: str) -> dict[str, int]:
        counts: dict[str, int] = {}
        for trace in self.open_jobs.values():
            if trace.started_ms is None and self.data_center_of(trace.job_id) == data_center:
                counts[trace.team] = counts.get(trace.team, 0) + 1
        return counts

    async def _submit_small(self, team: str, queue: str, data_center: str) -> None:
        await self.submit(team, queue, work_ms=1_000, cpu_millis=1_000, data_center=data_center)

    async def call_steadily(self, *, per_s: float, duration_s: float) -> None:
        """Call the services from the teams in turn, at a fixed rate."""
        services = sorted(self.fleet.declared.services)
        teams = sorted(self.fleet.declared.teams)
        number = 0
        end = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                number += 1
                service = services[number % len(services)]
                team = teams[number % len(teams)]
                nursery.start_soon(self._call, number, team, service)
                await trio.sleep(1 / per_s)

    async def _call(self, number: int, team: str, service: str) -> None:
        entries = self._ready_entries()
        self.calls.sent += 1
        if not entries:
            return
        entry = self.fleet.rng.choice(entries)
        row = self.fleet.declared.services[service]
        key = "" if row.idempotent else self.fleet.idempotency_key(f"bench{number:07d}")
        body = f"call {number}".encode()
        start_ms = self.fleet.clock.now_ms()
        try:
            await self.fleet.call(entry, team, service, body, key, row.deadline_ms)
            verdict = Verdict.RAN
        except RefusedError as exc:
            verdict = exc.verdict
        if verdict is Verdict.RAN:
            self.calls.answered += 1
            self.calls.latencies_ms.append(self.fleet.clock.now_ms() - start_ms)
        elif verdict is Verdict.NOT_RUN:
            runs = self.fleet.count_runs(body)
            self.checker.expect(runs == 0, f"{body!r} was refused as not run, but ran")
        if not row.idempotent:
            self.checker.expect(self.fleet.count_runs(body) <= 1, f"{body!r} ran twice")
        verdicts = self.calls.verdicts
        verdicts[verdict.value] = verdicts.get(verdict.value, 0) + 1

    async def wait_for_jobs(self, timeout_s: float) -> int:
        """Wait until every accepted job has ended; return the number that has not."""
        with trio.move_on_after(timeout_s):
            while self.open_jobs:
                await trio.sleep(0.2)
        return len(self.open_jobs)

    # Figures

    def urgent_start_delays_ms(self) -> list[float]:
        """Return the delays from submission to start of urgent jobs."""
        return [
            float(trace.started_ms - trace.submitted_ms)
            for trace in self.jobs.values()
            if trace.urgent and trace.started_ms is not None
        ]

    def longest_entitled_wait_ms(self) -> float:
        """Return the longest wait of an urgent job while its team was below share and limit."""
        return max((trace.entitled_wait_ms for trace in self.jobs.values()), default=0.0)

    def longest_turnaround_ms(self) -> int:
        """Return the longest time from submission to the end of a deferrable job."""
        return max(
            (
                trace.finished_ms - trace.submitted_ms
                for trace in self.jobs.values()
                if not trace.urgent and trace.finished_ms is not None
            ),
            default=0,
        )

    def attempts_per_call(self) -> float:
        """Return the mean number of attempts per call, of those that reached an endpoint."""
        runs = [body for e in self.fleet.endpoints.values() for _, body in e.runs]
        return len(runs) / max(1, len(set(runs)))

    def counts(self, kind: str) -> dict[str, int]:
        """Sum refusals or retries by reason over the entry processes."""
        total: dict[str, int] = {}
        for process in self.fleet.entries.values():
            for reason, count in getattr(process.node.metrics, f"{kind}_counts").items():
                total[reason] = total.get(reason, 0) + count
        return total

    def data_center_of(self, job_id: str) -> str:
        """Return the data centre that holds a job's record."""
        return parse_job_id(job_id).data_center
