"""Recognition of crashed minions, and of the runs that were there, by one scheduler."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING

import attrs
from attrs import define

from hornbeamreach.fleet.fleet_state import build_run
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.crash_evidence import is_cleared, is_settled
from hornbeamreach.systems.suspect_isolation import is_suspect
from hornbeamreach.tables.minions import (
    CrashMark,
    Minion,
    MinionReport,
    ReservedRun,
    RunPhase,
)
from hornbeamreach.tables.workload import LapsedRun, StepJob

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

log = part_logger("crashes")

# Reason of mark_minion_gone when another incarnation answered.
REPLACED = "replaced"
# Runs whose leases lapsed are kept for this long, for a new incarnation that is heard later.
LAPSED_RETENTION_MS = 120_000
# An order of this scheduler or an earlier one explains that an incarnation ended for this long.
ORDER_EFFECT_MS = 120_000
# An earlier scheduler ended the runs of a minion that it could not reach after less than this.
MAX_UNHEARD_MS = 10_000
# Lapses that an earlier scheduler recorded are of use for this long: a minion that crashed is
# back within seconds of the lapse.
LAPSED_RECOVERY_MS = 15_000
MAX_LOGGED_RUNS = 20


@define(kw_only=True, eq=False)
class LapsedRuns:
    """Hold runs of an incarnation whose leases lapsed before its end was known."""

    vm: str
    born_ms: int
    lapsed_ms: int
    runs: list[ReservedRun]
    # An earlier scheduler recorded the lapses; other runs of the incarnation may be missing.
    recovered: bool = False


class CrashRecorder:
    """Mark the runs of incarnations that crashed.

    An incarnation has crashed if a later one is known and neither an order nor the minion
    announced its end. Silence, a partition or a lapsed lease alone is no evidence.
    """

    def __init__(self, scheduler: StepScheduler) -> None:
        self.scheduler = scheduler
        # Minions with runs whose leases lapsed.
        self.lapsed: dict[str, LapsedRuns] = {}
        # VM -> the latest incarnation that reported from it.
        self.latest_by_vm: dict[str, MinionReport] = {}

    def recover(self) -> None:
        """Take over what the records say about the runs of earlier schedulers."""
        fleet = self.scheduler.fleet
        wall_ms = self.scheduler.clock.wall_ms()
        for job in self.scheduler.proposed.workload.jobs.values():
            if job.ended:
                continue
            for key, task in job.tasks.items():
                run = fleet.find_run(job.job_id, key)
                if run is not None and task.started_ms:
                    run.earlier_ms = _min_time_at_work_ms(task.started_ms, wall_ms)
                lapsed = task.lapsed
                if lapsed is not None and wall_ms - lapsed.at_ms < LAPSED_RECOVERY_MS:
                    self._recover_lapsed(job, key, lapsed)

    def _recover_lapsed(self, job: StepJob, key: str, lapsed: LapsedRun) -> None:
        run = build_run(
            job,
            key,
            lapsed.run,
            minion=lapsed.minion,
            born_ms=lapsed.born_ms,
            phase=RunPhase.UNKNOWN,
            now_ms=self.scheduler.clock.now_ms(),
        )
        run.ordered = run.recovered = True
        run.vm = lapsed.vm
        run.earlier_ms = _min_time_at_work_ms(lapsed.started_ms, lapsed.at_ms)
        self.on_lapse(lapsed.minion, [run])
        self.lapsed[lapsed.minion].recovered = True

    # Evidence

    def on_report(self, report: MinionReport, *, is_first: bool) -> None:
        """Mark the runs of earlier incarnations, of which a new one's first report is evidence.

        `is_first` says that this scheduler knew no incarnation under the minion's id.
        """
        if is_first:
            recovered = self.scheduler.fleet.unattached_runs.get(report.minion, {}).values()
            self._mark([r for r in recovered if r.born_ms < report.born_ms], report)
            lapsed = self.lapsed.get(report.minion)
            if lapsed is not None and lapsed.born_ms < report.born_ms:
                self._count_lapsed(report.minion, report)
        earlier = self.latest_by_vm.get(report.machine) if report.machine else None
        if earlier is not None and earlier.born_ms >= report.born_ms:
            return
        if report.machine:
            self.latest_by_vm[report.machine] = report
            self._mark_earlier_ids(report, earlier)

    def _mark_earlier_ids(self, report: MinionReport, earlier: MinionReport | None) -> None:
        """Mark the runs of incarnations that had other ids on the same VM."""
        fleet = self.scheduler.fleet
        if earlier is not None and earlier.minion != report.minion:
            minion = fleet.minions.get(earlier.minion)
            if minion is not None:
                self.on_incarnation_over(minion, REPLACED)
        for minion_id, unattached in fleet.unattached_runs.items():
            if minion_id != report.minion:
                runs = [
                    run
                    for run in unattached.values()
                    if run.vm == report.machine and run.born_ms < report.born_ms
                ]
                self._mark(runs, report)
        for minion_id, lapsed in list(self.lapsed.items()):
            is_earlier = lapsed.vm == report.machine and lapsed.born_ms < report.born_ms
            if minion_id != report.minion and is_earlier:
                self._count_lapsed(minion_id, report)

    def on_incarnation_over(self, minion: Minion, reason: str) -> None:
        """Mark the runs of an incarnation that ended, if it ended by a crash."""
        if minion.gone:
            return
        if reason != REPLACED:
            self.lapsed.pop(minion.minion_id, None)
            return
        self._mark(minion.runs.values(), minion.report, complete=not minion.foreign_runs)
        self._count_lapsed(minion.minion_id, minion.report)

    def on_answer(self, minion: Minion) -> None:
        """Forget lapsed runs of an incarnation that answers again: it did not crash."""
        lapsed = self.lapsed.get(minion.minion_id)
        if lapsed is not None and lapsed.born_ms == minion.report.born_ms:
            del self.lapsed[minion.minion_id]

    def on_lapse(self, minion_id: str, runs: list[ReservedRun]) -> None:
        """Keep runs whose leases lapsed, until the minion's fate is known."""
        kept = [run for run in runs if run.ordered and run.crash is None]
        if not kept:
            return
        known = self.lapsed.get(minion_id)
        if known is not None and known.born_ms == kept[0].born_ms:
            known.runs += kept
            return
        self.lapsed[minion_id] = LapsedRuns(
            vm=kept[0].vm,
            born_ms=kept[0].born_ms,
            lapsed_ms=self.scheduler.clock.now_ms(),
            runs=kept,
        )

    def forget_old(self, now_ms: int) -> None:
        """Forget lapsed runs and VMs of which nothing was heard for long."""
        for minion_id, lapsed in list(self.lapsed.items()):
            if now_ms - lapsed.lapsed_ms > LAPSED_RETENTION_MS:
                del self.lapsed[minion_id]
        minions = self.scheduler.fleet.minions
        for vm, report in list(self.latest_by_vm.items()):
            if report.minion not in minions:
                del self.latest_by_vm[vm]

    def _is_explained(self, report: MinionReport, born_ms: int) -> bool:
        """Return whether the end of an incarnation was announced or ordered."""
        if report.born_ms == born_ms and (report.draining or report.leaving):
            return True
        orders = self.scheduler.proposed.workload.machine_orders
        ordered_ms = orders.get(report.machine, 0)
        age_ms = self.scheduler.clock.wall_ms() - ordered_ms
        return ordered_ms > born_ms and age_ms < ORDER_EFFECT_MS

    def _mark(
        self, runs: Collection[ReservedRun], report: MinionReport, *, complete: bool = True
    ) -> list[ReservedRun]:
        """Mark runs that were on a crashed minion, and return those that are suspects.

        `report` is the latest of the minion or of its successor on the VM; `complete` says whether
        `runs` are all runs that were there.
        """
        present = [run for run in runs if run.ordered]
        if not present or self._is_explained(report, present[0].born_ms):
            return []
        now_ms = self.scheduler.clock.now_ms()
        # Settled runs caused no crash, so one beside them only is evidence against a job alone.
        solo = complete and len({run.job_id for run in present if not is_settled(run)}) == 1
        marked = []
        for run in present:
            if run.crash is None and not is_settled(run):
                age_ms = run.earlier_ms + now_ms - run.started_ms
                run.crash = CrashMark(
                    born_ms=run.born_ms,
                    phase=run.phase,
                    solo=solo,
                    begun=run.phase is RunPhase.RUNNING or run.last_listed_ms > 0,
                    age_ms=age_ms,
                )
                marked.append(run)
        if marked:
            log.bind(
                minion=marked[0].minion,
                machine=report.machine,
                born_ms=marked[0].born_ms,
                runs=len(present),
                suspects=len(marked),
                names=[run.name for run in marked][:MAX_LOGGED_RUNS],
                solo=solo,
            ).warning("minion has crashed: a later incarnation is known")
            self.scheduler.metrics.event("minion_crashed")
        return marked

    def _count_lapsed(self, minion_id: str, report: MinionReport) -> None:
        """Count the crash of an incarnation, known to be over, whose leases had lapsed before."""
        lapsed = self.lapsed.pop(minion_id, None)
        if lapsed is None:
            return
        for run in self._mark(lapsed.runs, report, complete=not lapsed.recovered):
            if not run.awaits_answer:
                self._count(run)
        self.scheduler.notify()

    def on_order_outcome(self, run: ReservedRun, *, begun: bool = False) -> None:
        """Count the crash of an ended run whose start order was not answered until now.

        `begun` says that the minion answered that the run began.
        """
        if run.crash is None or self.scheduler.fleet.find_run(run.job_id, run.key) is run:
            return
        run.crash = attrs.evolve(run.crash, begun=run.crash.begun or begun)
        self._count(run)
        self.scheduler.notify()

    def _count(self, run: ReservedRun) -> None:
        """Count the crash of a run that has ended already."""
        fleet = self.scheduler.fleet
        fleet.record_crash(run)
        current = fleet.find_run(run.job_id, run.key)
        if current is not None:
            fleet.mark_suspect(current)

    # Clearing

    def clear_if_at_work(self, run: ReservedRun, now_ms: int) -> None:
        """Clear a long-running suspect that has been at work for long enough."""
        fleet = self.scheduler.fleet
        job = fleet.job(run.job_id)
        task = job.tasks.get(run.key) if job is not None else None
        if task is None or not is_cleared(run, task.crashes, now_ms):
            return
        log.bind(
            request=run.job_id,
            task=run.key,
            run=run.run,
            minion=run.minion,
            crashes=task.crashes,
            at_work_ms=now_ms - run.last_progress_ms,
        ).info("task is cleared: it is at work")
        fleet.clear_suspect(run)
        fleet.unrecorded_clearings.append(run)
        self.scheduler.notify()

    def _clear_bystanders(self) -> None:
        """Let the runs of tasks that the proposed state no longer suspects have company again."""
        fleet = self.scheduler.fleet
        cleared = []
        for job_id, runs in fleet.runs_by_job.items():
            job = fleet.job(job_id)
            for key, run in runs.items():
                if run.suspect and job is not None and not is_suspect(job, key):
                    fleet.clear_suspect(run)
                    cleared.append(run.name)
        fleet.stale_jobs.update(fleet.suspect_tasks)
        log.bind(runs=cleared[:MAX_LOGGED_RUNS], cleared=len(cleared)).info(
            "tasks are cleared: they crashed only beside a job that is given up"
        )

    # Counted crashes

    def on_counted(self, runs: list[ReservedRun], wall_ms: int) -> None:
        """Log crashes that the proposed state has counted at `wall_ms`, and jobs given up."""
        fleet = self.scheduler.fleet
        for _ in runs:
            self.scheduler.metrics.event("crash_counted")
        for run in runs[:MAX_LOGGED_RUNS]:
            job = fleet.job(run.job_id)
            task = job.tasks.get(run.key) if job is not None else None
            assert run.crash is not None
            log.bind(
                request=run.job_id,
                task=run.key,
                run=run.run,
                minion=run.minion,
                born_ms=run.crash.born_ms,
                phase=run.crash.phase.value,
                solo=run.crash.solo,
                crashes=task.crashes if task is not None else 0,
                started_ago_ms=run.crash.age_ms,
                counted=len(runs),
            ).warning("crash of a minion is counted under the task")
        jobs = [job for job_id in {run.job_id for run in runs} if (job := fleet.job(job_id))]
        given_up = [job for job in jobs if job.failure_reason and job.ended_ms == wall_ms]
        for _ in given_up:
            self.scheduler.metrics.event("job_given_up")
        if given_up:
            self._clear_bystanders()


def _min_time_at_work_ms(started_ms: int, known_ms: int) -> int:
    """Return how long a run was at work at least; its minion may have been down at the end."""
    return max(0, known_ms - started_ms - MAX_UNHEARD_MS) if started_ms else 0
