"""Choice of the runs to start next, from the books alone."""

from __future__ import annotations

from attrs import define, field

from hornbeamreach.fleet.books import Books, make_run
from hornbeamreach.systems.job_progress import (
    ReadyStep,
    objective_ms,
    remaining_critical_path_ms,
    work_core_ms,
)
from hornbeamreach.systems.task_order import OrderingPolicy, PendingStep, ordering_policies
from hornbeamreach.systems.task_placement import (
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
    usable_minions,
)
from hornbeamreach.tables.minions import BookedRun, Minion, RunPhase
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJob, task_key

# One append of the log carries at most this many starts: about 100 KB of entries.
MAX_STARTS_PER_PLAN = 400


@define(kw_only=True)
class PoolPlan:
    """Hold one pool's minions while starts are chosen for it."""

    minions: list[Minion]
    # Needs that no minion of the pool has room for: starts only take more room.
    too_large: list[Resources] = field(factory=list)

    def has_no_room(self, needs: Resources) -> bool:
        """Tell whether needs that are no larger were already found not to fit."""
        return any(known.fits_in(needs) for known in self.too_large)


@define(kw_only=True)
class Planner:
    """Choose starts by the policies that the settings name."""

    books: Books
    order: OrderingPolicy = field(factory=lambda: ordering_policies.get("begun_then_oldest"))
    place: PlacementPolicy = field(factory=lambda: placement_policies.get("best_fit"))
    # Tickets of the admission service by (job, occurrence, step) and minion.
    tickets: dict[tuple[str, int, int], dict[str, str]] = field(factory=dict)
    wanted_tickets: set[tuple[str, int, int]] = field(factory=set)

    def plan(self, now_ms: int, wall_ms: int) -> list[BookedRun]:
        """Book what can start now and return it."""
        books = self.books
        books.refresh_ready(wall_ms)
        by_pool: dict[str, list[tuple[tuple, ReadyStep, StepJob]]] = {}
        for job_id, steps in books.ready.items():
            job = books.job(job_id)
            if job is None:
                continue
            pool = books.pool_of(job)
            for step in steps:
                rank = self.order(self.waiting_step(job, step, wall_ms))
                by_pool.setdefault(pool, []).append((rank, step, job))
        members: dict[str, list[Minion]] = {pool: [] for pool in by_pool}
        for minion in books.minions.values():
            if minion.report.pool in members:
                members[minion.report.pool].append(minion)
        found: list[BookedRun] = []
        for pool, waiting in by_pool.items():
            plan = PoolPlan(minions=usable_minions(members[pool], now_ms))
            if not plan.minions:
                continue
            waiting.sort(key=lambda item: item[0])
            for _, step, job in waiting:
                if len(found) >= MAX_STARTS_PER_PLAN:
                    break
                found += self._start_step(plan, job, step, now_ms)
        return found

    def waiting_step(self, job: StepJob, step: ReadyStep, wall_ms: int) -> PendingStep:
        """Describe a ready step for the order of work."""
        spec = job.spec.steps[step.step]
        queue = self.books.ahead.state.table.queues.get(job.queue)
        begun_ms = job.spec.due_ms(step.occurrence) if job.spec.timed else job.accepted_ms
        due_ms = begun_ms + objective_ms(job.spec, queue)
        return PendingStep(
            rank=queue.rank if queue else 0,
            lasting=spec.lasting,
            filler=spec.filler,
            begun=bool(job.tasks),
            slack_ms=due_ms - wall_ms - remaining_critical_path_ms(job, step.occurrence),
            waited_ms=wall_ms - begun_ms,
            work_core_ms=work_core_ms(job.spec),
        )

    def _start_step(
        self, plan: PoolPlan, job: StepJob, step: ReadyStep, now_ms: int
    ) -> list[BookedRun]:
        spec = job.spec.steps[step.step]
        needs = spec.needs
        if plan.has_no_room(needs):
            return []
        admitted = self._admitted(job, step)
        if admitted is not None and not admitted:
            return []
        found: list[BookedRun] = []
        siblings = self.books.siblings(job, step.occurrence, step.step)
        for index in step.indexes:
            key = task_key(step.occurrence, step.step, index)
            if self.books.find(job.job_id, key) is not None:
                continue
            wish = PlacementRequest(
                step=spec,
                needs=needs,
                siblings=siblings,
                racks=self._racks(siblings),
                admitted=admitted,
                avoided=frozenset(self.books.failed_on.get(f"{job.job_id}.{key}", ())),
            )
            run = self._start_task(plan, job, key, wish, now_ms)
            if run is None:
                # The step's other tasks need the same.
                break
            found.append(run)
            siblings[run.minion] = siblings.get(run.minion, 0) + 1
        if spec.gang and len(found) < len(step.indexes):
            self._unbook(found)
            return []
        if found:
            self.books.stale_jobs.add(job.job_id)
        if spec.gang:
            self._align_gang(job, step, found)
        return found

    def _admitted(self, job: StepJob, step: ReadyStep) -> frozenset[str] | None:
        queue = self.books.ahead.state.table.queues.get(job.queue)
        if queue is None or not queue.advice_valid_ms:
            return None
        name = (job.job_id, step.occurrence, step.step)
        if name not in self.tickets:
            self.wanted_tickets.add(name)
        return frozenset(self.tickets.get(name, {}))

    def _start_task(
        self, plan: PoolPlan, job: StepJob, key: str, wish: PlacementRequest, now_ms: int
    ) -> BookedRun | None:
        books = self.books
        minion = self.place(wish, plan.minions)
        if minion is None:
            if not wish.constrained:
                plan.too_large.append(wish.needs)
            return None
        task = job.tasks.get(key)
        run = make_run(
            job,
            key,
            task.run + 1 if task else 1,
            minion=minion.minion_id,
            born_ms=minion.report.born_ms,
            phase=RunPhase.BOOKED,
            now_ms=now_ms,
        )
        row = books.ahead.state.table.teams.get(job.team)
        if not books.use.allows(job.team, row, run.charged):
            return None
        run.checkpoint = task.checkpoint if task else ""
        books.book(run)
        return run

    def _racks(self, siblings: dict[str, int]) -> frozenset[str]:
        minions = self.books.minions
        return frozenset(minions[m].report.rack for m in siblings if m in minions)

    def _unbook(self, runs: list[BookedRun]) -> None:
        books = self.books
        for run in runs:
            books.minions[run.minion].release(run.name)
            books.use.remove(run.team, run.charged)
            del books.runs_of[run.job_id][run.key]

    def _align_gang(self, job: StepJob, step: ReadyStep, runs: list[BookedRun]) -> None:
        if not runs:
            return
        number = max(run.run for run in runs)
        saved = max((run.checkpoint for run in runs), default="")
        for run in runs:
            run.run = number
            run.checkpoint = saved
