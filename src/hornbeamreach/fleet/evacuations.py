"""Evacuations of data centres: accept requests, and move long-running tasks away."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from attrs import define, field

from hornbeamreach.control.commands import NoOp
from hornbeamreach.control.workload_commands import BeginEvacuation, EndEvacuation
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.fleet.evacuation_room import EvacuationRoom
from hornbeamreach.fleet.messages import ANY_REQUEST, ChangeEvacuation, EvacuationReply
from hornbeamreach.fleet.vm_inventory import MIN_REQUESTED_LIST_INTERVAL_MS
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.evacuation import (
    Budget,
    EvacuationPolicy,
    LastingStep,
    MoveDecision,
    MoveVerdict,
    evacuation_policies,
)
from hornbeamreach.systems.maintenance_wave import is_at_full_speed, unavailable_tasks
from hornbeamreach.tables.minions import Minion, ReservedRun, RunPhase
from hornbeamreach.tables.workload import EvacuationRequests, parse_task_key
from hornbeamreach.verdict import Reason

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler
    from hornbeamreach.fleet.vm_inventory import VmInventory

log = part_logger("evacuation")

# A new scheduler hears from every minion within two heartbeats; before that it can't tell that no
# minion names a data centre.
FIRST_REPORTS_MS = 3_000
MAX_LOGGED_TASKS = 8
# Phases of a run whose start order may still arrive.
UNSETTLED_PHASES = (RunPhase.SENT, RunPhase.UNKNOWN)


@define(kw_only=True, eq=False)
class Evacuations:
    """Carry out evacuations during one scheduler's term."""

    scheduler: StepScheduler
    inventory: VmInventory | None = None
    # Returns the data centres that settings name.
    known_data_centers: Callable[[], Iterable[str]] = tuple
    policy: EvacuationPolicy = field(factory=lambda: evacuation_policies.get("within_budget"))
    # When this scheduler carried out the latest request, by data centre.
    requested_ms: dict[str, int] = field(factory=dict)
    # Long-running tasks stopped here that don't work elsewhere yet: run by job and key.
    moving: dict[tuple[str, str], ReservedRun] = field(factory=dict)
    # What has been logged: evacuated data centres, and why the tasks of a budget are held back.
    logged: set[str] = field(factory=set)
    held_back: set[tuple[Budget, MoveVerdict]] = field(factory=set)

    def is_evacuated(self, minion: Minion) -> bool:
        """Return whether nothing may start on a minion, by committed and proposed commands."""
        return minion.report.data_center in self.scheduler.proposed.workload.evacuated

    # Requests

    async def change(self, message: ChangeEvacuation) -> EvacuationReply:
        """Carry out a request, unless it is a repeat, late, or names an unknown data centre.

        Raise errors like `is_known` and `StepScheduler.commit`.
        """
        data_center, scheduler = message.data_center, self.scheduler
        if not await self.is_known(data_center):
            return EvacuationReply(known=False)
        workload = scheduler.proposed.workload
        requests = workload.evacuation_requests.get(data_center, EvacuationRequests())
        is_repeat = message.request_id and message.request_id in requests.request_ids
        is_late = message.after_ms not in (ANY_REQUEST, requests.latest_ms)
        # After a snapshot of an earlier build, which names no requests, only the state of the data
        # centre tells what the latest one asked for.
        is_in_force = message.begin is (data_center in workload.evacuated)
        if is_repeat or (is_late and is_in_force):
            # What was carried out, or asked for the same, may not be committed yet.
            await scheduler.commit(NoOp())
            return EvacuationReply(known=True)
        if is_late:
            return self._refuse_late(message, requests)
        self.requested_ms[data_center] = scheduler.clock.now_ms()
        if message.begin:
            await self.begin(data_center, message.request_id)
        else:
            await self.finish(data_center, message.request_id)
        return EvacuationReply(known=True)

    def _refuse_late(
        self, message: ChangeEvacuation, requests: EvacuationRequests
    ) -> EvacuationReply:
        scheduler, data_center = self.scheduler, message.data_center
        # Requests of earlier schedulers were carried out before this one began.
        requested_ms = self.requested_ms.get(data_center, scheduler.began_ms)
        age_ms = scheduler.clock.now_ms() - requested_ms
        log.bind(
            request=message.request_id,
            data_center=data_center,
            begin=message.begin,
            after_ms=message.after_ms,
            latest_ms=requests.latest_ms,
            latest_age_ms=age_ms,
        ).info("evacuation request changes nothing: its sender doesn't know of the latest one")
        scheduler.metrics.event("evacuation_request_late")
        return EvacuationReply(
            known=True, late=True, latest_ms=requests.latest_ms, latest_age_ms=age_ms
        )

    async def is_known(self, data_center: str) -> bool:
        """Return whether a VM, a minion or a setting names the data centre.

        Raise RefusedError while this scheduler doesn't know all VMs and minions yet.
        """
        if self._is_named(data_center):
            return True
        scheduler = self.scheduler
        asked_ms = scheduler.clock.now_ms()
        if self.inventory is not None:
            await self.inventory.refresh(min_interval_ms=MIN_REQUESTED_LIST_INTERVAL_MS)
            if self._is_named(data_center):
                return True
        age_ms = scheduler.clock.now_ms() - scheduler.began_ms
        # Only a list that was requested since shows that the data centre has no VM now.
        has_list = self.inventory is None or self.inventory.listed_ms >= asked_ms
        if age_ms < FIRST_REPORTS_MS or not has_list:
            detail = "the leader doesn't know all VMs and minions yet"
            raise RefusedError(Reason.NOT_READY, detail)
        return False

    def _is_named(self, data_center: str) -> bool:
        workload = self.scheduler.proposed.workload
        # A repeated request gets the same response, also once the data centre has no VM left.
        names = {*workload.evacuated, *workload.restored, *self.known_data_centers()}
        names.update(m.report.data_center for m in self.scheduler.fleet.minions.values())
        if self.inventory is not None:
            names.update(vm.data_center for vm in self.inventory.vms.values())
        return bool(data_center) and data_center in names

    async def begin(self, data_center: str, request_id: str = "") -> None:
        """Store that a data centre is evacuated; raise errors like `StepScheduler.commit`."""
        scheduler = self.scheduler
        if data_center not in scheduler.proposed.workload.evacuated:
            self._refuse_late_orders(data_center)
            self._drop_tickets(data_center)
        # Proposed without a pause after the orders were looked at, so that none is sent in between.
        at_ms = scheduler.clock.wall_ms()
        await scheduler.commit(
            BeginEvacuation(data_center=data_center, at_ms=at_ms, request_id=request_id)
        )

    async def finish(self, data_center: str, request_id: str = "") -> None:
        """Store that a data centre is evacuated no longer; raise errors like `begin`."""
        scheduler = self.scheduler
        at_ms = scheduler.clock.wall_ms()
        command = EndEvacuation(data_center=data_center, at_ms=at_ms, request_id=request_id)
        scheduler.notify()
        await scheduler.commit(command)

    def _refuse_late_orders(self, data_center: str) -> None:
        """Raise the fencing tokens of minions that a start order may still reach."""
        for minion in self.scheduler.fleet.minions.values():
            if minion.report.data_center == data_center and any(
                run.phase in UNSETTLED_PHASES for run in minion.runs.values()
            ):
                self.scheduler.orders.fence(minion)

    def _drop_tickets(self, data_center: str) -> None:
        """Drop admission tickets for the data centre; a step that has no others gets new ones."""
        scheduler = self.scheduler
        minions, tickets = scheduler.fleet.minions, scheduler.planner.tickets
        for step_name, by_minion in list(tickets.items()):
            tickets[step_name] = {
                name: ticket
                for name, ticket in by_minion.items()
                if name not in minions or minions[name].report.data_center != data_center
            }
            if by_minion and not tickets[step_name]:
                scheduler.ticket_requests.forget(step_name)
        scheduler.notify()

    def log_given_back(self, run: ReservedRun, minion: Minion) -> None:
        """Log a planned start that isn't sent because its data centre was evacuated since."""
        self.scheduler.metrics.event("start_given_back_evacuated")
        log.bind(
            request=run.job_id,
            task=run.key,
            run=run.run,
            minion=run.minion,
            data_center=minion.report.data_center,
        ).info("start given back: the data centre is evacuated")

    # Long-running tasks

    def tick(self, now_ms: int) -> None:
        """Move the long-running tasks whose budgets allow it."""
        self._log_changes()
        if not self.scheduler.proposed.workload.evacuated:
            self.moving.clear()
            self.held_back.clear()
            return
        self._settle_moves(now_ms)
        steps = self._lasting_steps(now_ms)
        room = EvacuationRoom(scheduler=self.scheduler, now_ms=now_ms)
        for run in self.moving.values() if steps else ():
            if self._is_without_place(run):
                room.claim(run)
        for decision in self.policy(steps, room.claim, now_ms):
            self._carry_out(decision)

    def _log_changes(self) -> None:
        """Log the committed changes, and count what is evacuated."""
        scheduler = self.scheduler
        committed = scheduler.replica.state.workload.evacuated
        runs: dict[str, int] = dict.fromkeys(committed, 0)
        if committed or self.logged:
            for minion in scheduler.fleet.minions.values():
                if minion.report.data_center in runs:
                    runs[minion.report.data_center] += len(minion.runs)
            scheduler.metrics.gauge("evacuated_data_centers", len(committed))
            scheduler.metrics.gauge("runs_in_evacuated_data_centers", sum(runs.values()))
        for data_center in committed.keys() - self.logged:
            log.bind(
                data_center=data_center,
                term=scheduler.term,
                since_ms=scheduler.clock.wall_ms() - committed[data_center],
                runs=runs[data_center],
            ).info("data centre is evacuated: nothing starts there")
        for data_center in self.logged - committed.keys():
            log.bind(data_center=data_center, term=scheduler.term).info("evacuation is withdrawn")
            scheduler.notify()
        self.logged = set(committed)

    def _settle_moves(self, now_ms: int) -> None:
        fleet = self.scheduler.fleet
        for (job_id, key), stopped in list(self.moving.items()):
            job, run = fleet.job(job_id), fleet.find_run(job_id, key)
            has_moved = run is not None and run is not stopped and is_at_full_speed(run, now_ms)
            if job is None or job.ended or has_moved:
                del self.moving[job_id, key]

    def _is_without_place(self, stopped: ReservedRun) -> bool:
        run = self.scheduler.fleet.find_run(stopped.job_id, stopped.key)
        return run is None or run is stopped

    def _lasting_steps(self, now_ms: int) -> list[LastingStep]:
        """Return the steps with long-running tasks that an order can stop."""
        fleet = self.scheduler.fleet
        by_budget: dict[Budget, list[ReservedRun]] = {}
        for minion in fleet.minions.values():
            if minion.gone or not self.is_evacuated(minion):
                continue
            for run in minion.runs.values():
                if run.lasting and run.phase is RunPhase.RUNNING:
                    occurrence, number, _ = parse_task_key(run.key)
                    by_budget.setdefault((run.job_id, occurrence, number), []).append(run)
        moving: dict[Budget, int] = {}
        for job_id, key in self.moving:
            occurrence, number, _ = parse_task_key(key)
            budget = (job_id, occurrence, number)
            moving[budget] = moving.get(budget, 0) + 1
        steps = []
        for budget, runs in sorted(by_budget.items()):
            job = fleet.job(budget[0])
            if job is None or job.ended:
                continue
            step_runs, keys = fleet.step_tasks(job, runs[0])
            unavailable = unavailable_tasks(step_runs, keys, now_ms)
            is_gang = job.spec.steps[budget[2]].gang
            steps.append(
                LastingStep(
                    budget=budget,
                    may_miss=job.spec.steps[budget[2]].may_miss,
                    runs=tuple(runs),
                    unavailable=tuple(unavailable),
                    moving=moving.get(budget, 0),
                    gang=tuple(step_runs[k] for k in keys if k in step_runs) if is_gang else (),
                )
            )
        return steps

    def _carry_out(self, decision: MoveDecision) -> None:
        step, run, scheduler = decision.step, decision.run, self.scheduler
        is_held_back = decision.verdict in (MoveVerdict.MAY_MISS, MoveVerdict.NO_ROOM)
        is_logged = (step.budget, decision.verdict) in self.held_back
        run_log = log.bind(
            request=run.job_id,
            task=run.key,
            run=run.run,
            minion=run.minion,
            left=len(step.runs),
            may_miss=step.may_miss,
            unavailable=list(step.unavailable[:MAX_LOGGED_TASKS]),
        )
        if decision.verdict is MoveVerdict.MOVE:
            run_log.info("long-running task moves out of an evacuated data centre")
            scheduler.metrics.event("evacuation_task_moved")
            self.moving[run.job_id, run.key] = run
            scheduler.orders.stop(run, "evacuated")
        elif is_held_back and not is_logged:
            self.held_back.add((step.budget, decision.verdict))
            run_log.info(
                "long-running task stays in an evacuated data centre: {}", decision.verdict.value
            )
            scheduler.metrics.event(f"evacuation_held_back_{decision.verdict.value}")
