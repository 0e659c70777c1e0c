"""Maintenance waves: drain VMs, order their maintenance and return them to service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.control.workload_commands import RecordUpkeep
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.fleet.ports import PlatformVmState, UnknownOutcomeError, VmOrderAnswer
from hornbeamreach.fleet.vm_absences import VmAbsences
from hornbeamreach.fleet.vm_inventory import FIRST_REPORTS_MS, VmInventory
from hornbeamreach.fleet.vm_upkeep import VmUpkeep, VmUpkeeps
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.maintenance_wave import (
    WaveCandidate,
    available_vm_slots,
    may_stop,
    next_vms,
    unavailable_tasks,
    vms_to_keep_free,
)
from hornbeamreach.tables.minions import Minion, ReservedRun
from hornbeamreach.tables.workload import MaintenanceWave, parse_task_key

if TYPE_CHECKING:
    from hornbeamreach.fleet.step_scheduler import StepScheduler

log = part_logger("upkeep")

TICK_MS = 100
# In this last share of a wave's time, maintenance may begin while short tasks still run.
URGENT_SHARE = 0.35
# In that share, maintenance of a VM that has drained for this long is ordered despite the short
# tasks left on it.
MAX_DRAIN_MS = 2_500
# A drain that takes longer than this is logged with what it waits for.
SLOW_DRAIN_MS = 4_000
MAX_LOGGED_RUNS = 8


@define(kw_only=True, eq=False)
class MaintenanceWaves:
    """Carry out maintenance waves during one scheduler's term."""

    scheduler: StepScheduler
    inventory: VmInventory
    vm_absences: VmAbsences = field(factory=VmAbsences)
    upkeeps: VmUpkeeps = field(factory=VmUpkeeps)

    async def run(self) -> None:
        """Work on the waves until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(seconds(TICK_MS))
                scheduler = self.scheduler
                now_ms = scheduler.clock.now_ms()
                if scheduler.nursery is None:
                    continue
                try:
                    await self._tick(nursery, now_ms)
                except (NotLeaderError, RefusedError) as exc:
                    log.info("maintenance stopped, the term ended: {}", exc)
                    return

    async def _tick(self, nursery: trio.Nursery, now_ms: int) -> None:
        self.mark_awaiting()
        # A VM that is gone may be found again, also after its wave was completed.
        waves = [
            wave
            for wave in self.scheduler.proposed.workload.waves.values()
            if wave.gone or not wave.completed
        ]
        by_vm = self.inventory.current_minions()
        waiting = {wave.number for wave in waves if _needs_list(wave, by_vm)}
        wants_list = waiting or any(_wants_list(wave, by_vm, now_ms) for wave in waves)
        if wants_list:
            if await self.inventory.refresh():
                waiting.clear()
            # The list may have taken long.
            now_ms = self.scheduler.clock.now_ms()
            by_vm = self.inventory.current_minions()
        self._record_absences(waves, by_vm, now_ms)
        for wave in waves:
            if wave.completed or wave.number in waiting:
                continue
            self._record_finished(wave, by_vm)
            self._order_standby_vms(nursery, wave, by_vm)
            candidates = self._candidates(wave, by_vm)
            for candidate in next_vms(wave, candidates, self.upkeeps.selected(wave)):
                self._select(wave, candidate, now_ms)
            self._resume_unconfirmed(nursery, wave, by_vm, now_ms)
            for upkeep in self.upkeeps.of(wave):
                if upkeep.drain_began_ms is not None and not upkeep.is_ordering:
                    self._drain(nursery, wave, upkeep, by_vm.get(upkeep.vm), now_ms)

    def _drain(
        self,
        nursery: trio.Nursery,
        wave: MaintenanceWave,
        upkeep: VmUpkeep,
        minion: Minion | None,
        now_ms: int,
    ) -> None:
        """Go on with the drain of a VM, and order its maintenance once that is over."""
        if upkeep.vm in self.vm_absences.absences and upkeep.vm not in wave.ordered:
            # Others may go first; it is selected again once it is back.
            self._return_to_service(wave, upkeep.vm)
            return
        if minion is None:
            return
        # Also cordons an incarnation that began after the VM was selected.
        minion.cordoned = True
        self._stop_long_running_tasks(wave, minion)
        self._log_slow_drain(wave, upkeep, minion, now_ms)
        if self._is_drain_over(wave, upkeep, minion, now_ms) and self.inventory.may_order(
            upkeep.vm
        ):
            self._begin_order(nursery, wave, upkeep.vm)

    def _record_absences(
        self, waves: list[MaintenanceWave], by_vm: dict[str, Minion], now_ms: int
    ) -> None:
        """Record which VMs of the waves are gone for good, and which of those are back."""
        scheduler = self.scheduler
        unfinished = {vm for wave in waves for vm in wave.machines if vm not in wave.finished}
        reporting = {vm for vm, minion in by_vm.items() if not minion.is_silent(now_ms)}
        present = reporting | self.inventory.vms.keys()
        self.vm_absences.update(
            unfinished, present, listed_ms=self.inventory.listed_ms, now_ms=now_ms
        )
        all_gone = {vm for vm in unfinished if self.vm_absences.is_gone(vm)}
        for wave in waves:
            ordering = {upkeep.vm for upkeep in self.upkeeps.of(wave) if upkeep.is_ordering}
            gone = sorted(all_gone & set(wave.machines) - wave.gone - wave.finished - ordering)
            found = sorted(wave.gone & present)
            list_log = log.bind(wave=wave.number, listed_ago_ms=now_ms - self.inventory.listed_ms)
            if gone:
                absent_ms = {vm: now_ms - self.vm_absences.absences[vm].since_ms for vm in gone}
                list_log.bind(absent_ms=absent_ms).info("VMs of the wave no longer exist")
                scheduler.metrics.event("upkeep_vm_gone")
            if found:
                list_log.bind(machines=found).info("VMs of the wave exist again")
                scheduler.metrics.event("upkeep_vm_found")
            if gone or found:
                scheduler.propose(RecordUpkeep(number=wave.number, gone=gone, found=found))
            for vm in gone:
                self._return_to_service(wave, vm)

    def mark_awaiting(self) -> None:
        """Mark the minions whose VMs a wave is still to take."""
        waves = [w for w in self.scheduler.proposed.workload.waves.values() if not w.completed]
        if not waves:
            # A completed wave has left no minion marked.
            return
        awaiting = {
            vm
            for wave in waves
            for vm in wave.machines
            if vm not in wave.ordered and vm not in wave.finished
        }
        for vm, minion in self.inventory.current_minions().items():
            minion.awaits_maintenance = vm in awaiting

    def _order_standby_vms(
        self, nursery: trio.Nursery, wave: MaintenanceWave, by_vm: dict[str, Minion]
    ) -> None:
        """Order maintenance of VMs that are off."""
        standby = {vm.name for vm in self.inventory.standby_vms()}
        selected = self.upkeeps.selected(wave)
        for vm in wave.machines:
            if vm not in standby or vm in by_vm or vm in selected:
                continue
            if vm in wave.ordered or vm in wave.finished or self._is_taken_beside(wave, vm):
                continue
            if not available_vm_slots(wave, selected):
                return
            self._begin_order(nursery, wave, vm)
            selected.add(vm)

    def _is_taken_beside(self, wave: MaintenanceWave, vm: str) -> bool:
        """Return whether another wave has selected a VM, or has it down as far as is known."""
        return self.upkeeps.is_selected_beside(wave, vm) or any(
            vm in other.ordered and vm not in other.finished and vm not in other.gone
            for other in self.scheduler.proposed.workload.waves.values()
            if other.number != wave.number
        )

    def _candidates(self, wave: MaintenanceWave, by_vm: dict[str, Minion]) -> list[WaveCandidate]:
        free = self._free_shares()
        return [
            WaveCandidate(
                vm=vm,
                minion=by_vm[vm],
                pool_free=free.get(by_vm[vm].report.pool, 0.0),
            )
            for vm in wave.machines
            if vm in by_vm
            and vm not in self.vm_absences.absences
            and vm not in self.inventory.pending_orders
            and self.inventory.may_order(vm)
            and not self._is_taken_beside(wave, vm)
            and not by_vm[vm].report.leaving
            and not by_vm[vm].report.draining
        ]

    def _free_shares(self) -> dict[str, float]:
        evacuated = self.scheduler.proposed.workload.evacuated
        totals: dict[str, list[int]] = {}
        for minion in self.scheduler.fleet.minions.values():
            if not minion.report.leaving and minion.report.data_center not in evacuated:
                sums = totals.setdefault(minion.report.pool, [0, 0])
                sums[0] += minion.free().cpu_millis
                sums[1] += minion.report.capacity.cpu_millis
        return {pool: free / total if total else 0.0 for pool, (free, total) in totals.items()}

    # Selecting and draining

    def _select(self, wave: MaintenanceWave, candidate: WaveCandidate, now_ms: int) -> None:
        self.upkeeps.start(wave, candidate.vm).drain_began_ms = now_ms
        candidate.minion.cordoned = True
        log.bind(wave=wave.number, machine=candidate.vm, runs=len(candidate.minion.runs)).info(
            "VM selected for maintenance"
        )

    def _stop_long_running_tasks(self, wave: MaintenanceWave, minion: Minion) -> None:
        for run in list(minion.runs.values()):
            if run.lasting and self._may_stop(run):
                self.scheduler.orders.stop(run, "upkeep")

    def _may_stop(self, run: ReservedRun) -> bool:
        job = self.scheduler.fleet.job(run.job_id)
        if job is None or job.ended:
            return True
        step = job.spec.steps[parse_task_key(run.key)[1]]
        now_ms = self.scheduler.clock.now_ms()
        siblings = self.scheduler.fleet.step_tasks(job, run)
        unavailable = unavailable_tasks(*siblings, now_ms)
        return may_stop(run, len(unavailable), step.may_miss, now_ms=now_ms)

    def _log_slow_drain(
        self, wave: MaintenanceWave, upkeep: VmUpkeep, minion: Minion, now_ms: int
    ) -> None:
        """Log once which tasks keep a VM from being drained, and what their budgets wait for."""
        drained_ms = _drained_ms(upkeep, now_ms)
        if drained_ms < SLOW_DRAIN_MS or upkeep.is_slow_logged:
            return
        upkeep.is_slow_logged = True
        for run in list(minion.runs.values())[:MAX_LOGGED_RUNS]:
            job = self.scheduler.fleet.job(run.job_id)
            siblings = self.scheduler.fleet.step_tasks(job, run) if job else ({}, [])
            missing = unavailable_tasks(*siblings, now_ms)
            log.bind(
                wave=wave.number,
                machine=upkeep.vm,
                drained_ms=drained_ms,
                request=run.job_id,
                task=run.key,
                phase=run.phase.value,
                lasting=run.lasting,
                unavailable=missing[:MAX_LOGGED_RUNS],
            ).info("a task keeps the VM from maintenance")

    def _is_drain_over(
        self, wave: MaintenanceWave, upkeep: VmUpkeep, minion: Minion, now_ms: int
    ) -> bool:
        if not minion.runs:
            return True
        if any(run.lasting for run in minion.runs.values()):
            return False
        left_ms = wave.due_ms - self.scheduler.clock.wall_ms()
        is_urgent = left_ms < URGENT_SHARE * (wave.due_ms - wave.ordered_ms)
        return is_urgent and _drained_ms(upkeep, now_ms) > MAX_DRAIN_MS

    # Orders

    def _begin_order(self, nursery: trio.Nursery, wave: MaintenanceWave, vm: str) -> None:
        upkeep = self.upkeeps.start(wave, vm)
        upkeep.is_ordering = True
        if vm not in self.inventory.pending_orders:
            self.inventory.pending_orders[vm] = self.scheduler.clock.now_ms()
            upkeep.holds_vm = True
        nursery.start_soon(self._order, wave, upkeep)

    def _resume_unconfirmed(
        self, nursery: trio.Nursery, wave: MaintenanceWave, by_vm: dict[str, Minion], now_ms: int
    ) -> None:
        """Repeat orders whose outcome is not known, once their VMs are drained again.

        An earlier scheduler may have stored the order, so other tasks may run there by now.
        """
        for vm in sorted(vms_to_keep_free([wave]) - self.upkeeps.selected(wave)):
            if vm in self.vm_absences.absences or self.upkeeps.is_selected_beside(wave, vm):
                # The platform would know no such VM, or has an order of another wave.
                continue
            if vm in by_vm:
                self.upkeeps.start(wave, vm).drain_began_ms = now_ms
                log.bind(wave=wave.number, machine=vm, runs=len(by_vm[vm].runs)).info(
                    "VM with an unconfirmed maintenance order is drained again"
                )
            elif self.inventory.may_order(vm) and self._has_heard_of_minions(now_ms):
                self._begin_order(nursery, wave, vm)

    def _has_heard_of_minions(self, now_ms: int) -> bool:
        return now_ms - self.scheduler.began_ms >= FIRST_REPORTS_MS

    def _may_carry_out(self, vm: str) -> bool:
        """Return whether an order that was decided and stored before may be sent now."""
        return self.scheduler.is_current() and not self.scheduler.fleet.lasting_runs_on(vm)

    async def _order(self, wave: MaintenanceWave, upkeep: VmUpkeep) -> None:
        """Order the maintenance of a VM once, and let a later tick repeat it if there is need."""
        if await self._send_order(wave, upkeep):
            upkeep.is_ordering = False

    async def _send_order(self, wave: MaintenanceWave, upkeep: VmUpkeep) -> bool:
        """Record and send an order, and return whether this scheduler may give another one."""
        scheduler, vm = self.scheduler, upkeep.vm
        is_first = vm not in wave.ordered
        order_log = log.bind(wave=wave.number, machine=vm)
        try:
            self.inventory.ordered_vms.add(vm)
            at_ms = scheduler.clock.wall_ms()
            await scheduler.commit(RecordUpkeep(number=wave.number, ordered=[vm], at_ms=at_ms))
            if not self._may_carry_out(vm):
                order_log.bind(term=scheduler.term).info(
                    "maintenance order given back: a long-running task is there, or the term ended"
                )
                scheduler.metrics.event("upkeep_given_back")
                return True
            # An earlier order may have ended the incarnation before.
            ended = self.inventory.current_minions().get(vm) if is_first else None
            answer = await self.inventory.port.start_maintenance(
                vm, wave=wave.number, holder=scheduler.replica.node_id, token=scheduler.term
            )
        except UnknownOutcomeError as exc:
            order_log.warning("maintenance order has an unknown outcome and is repeated: {}", exc)
            scheduler.metrics.event("upkeep_unanswered")
            await trio.sleep(seconds(scheduler.timing.retry_ms))
            return True
        except (NotLeaderError, RefusedError) as exc:
            order_log.info("maintenance not ordered: {}", exc)
            return False
        order_log.info("platform answered the maintenance order: {}", answer.value)
        return await self._on_answer(wave, upkeep, answer, ended)

    async def _on_answer(
        self,
        wave: MaintenanceWave,
        upkeep: VmUpkeep,
        answer: VmOrderAnswer,
        ended: Minion | None,
    ) -> bool:
        """Record an answer, and return whether this scheduler may give another order.

        `ended` is the incarnation that an accepted order has ended, None if that is not known.
        """
        scheduler, vm = self.scheduler, upkeep.vm
        if answer is VmOrderAnswer.ORDERED:
            self._on_confirmed(wave, upkeep, ended)
        elif answer is VmOrderAnswer.NOT_IN_WAVE:
            scheduler.propose(RecordUpkeep(number=wave.number, finished=[vm]))
            self._return_to_service(wave, vm)
        elif answer is VmOrderAnswer.MALFORMED:
            # There is no such VM now, but it may come back from a crash.
            self._release(wave, upkeep)
            await trio.sleep(seconds(1_000))
        elif answer is VmOrderAnswer.FENCED:
            log.bind(machine=vm, term=scheduler.term).warning(
                "maintenance order fenced by a newer scheduler"
            )
            return False
        else:
            # The VM isn't up or is leaving, or there were too many calls: the order is repeated.
            await trio.sleep(seconds(1_000))
        return True

    def _on_confirmed(self, wave: MaintenanceWave, upkeep: VmUpkeep, ended: Minion | None) -> None:
        scheduler = self.scheduler
        scheduler.propose(RecordUpkeep(number=wave.number, confirmed=[upkeep.vm]))
        upkeep.drain_began_ms = None
        upkeep.confirmed_ms = scheduler.clock.now_ms()
        minion = self.inventory.current_minions().get(upkeep.vm)
        if minion is None:
            return
        if minion is ended:
            scheduler.mark_minion_gone(minion, "upkeep")
        else:
            # It may be the next incarnation already: the answer to a poll shows that.
            scheduler.pollers[minion.minion_id].poll_now()

    # Return to service

    def _return_to_service(self, wave: MaintenanceWave, vm: str) -> None:
        """Forget a VM's maintenance for a wave, and let the VM take work again."""
        upkeep = self.upkeeps.end(wave, vm)
        if upkeep is not None:
            self._release(wave, upkeep)
        else:
            self._uncordon(wave, vm)

    def _release(self, wave: MaintenanceWave, upkeep: VmUpkeep) -> None:
        upkeep.drain_began_ms = None
        if upkeep.holds_vm:
            upkeep.holds_vm = False
            self.inventory.end_order(upkeep.vm)
        self._uncordon(wave, upkeep.vm)

    def _uncordon(self, wave: MaintenanceWave, vm: str) -> None:
        """Let a VM take work again unless another wave or a move keeps it free."""
        if vm in self.inventory.pending_orders or self.upkeeps.is_selected_beside(wave, vm):
            return
        minion = self.inventory.current_minions().get(vm)
        if minion is not None:
            minion.cordoned = False
            self.scheduler.notify()

    def _record_finished(self, wave: MaintenanceWave, by_vm: dict[str, Minion]) -> None:
        returned = []
        for vm, confirmed in wave.ordered.items():
            if confirmed and vm not in wave.finished and self._is_back(wave, vm, by_vm):
                returned.append(vm)
        if returned:
            log.bind(wave=wave.number, machines=returned).info("VMs are back from maintenance")
            for vm in returned:
                self._return_to_service(wave, vm)
            self.scheduler.propose(RecordUpkeep(number=wave.number, finished=returned))

    def _is_back(self, wave: MaintenanceWave, vm: str, by_vm: dict[str, Minion]) -> bool:
        """Return whether a VM was up at a time after the order that the platform accepted.

        Reports don't show it: one of an incarnation that the order has ended may arrive late.
        """
        upkeep = self.upkeeps.get(wave, vm)
        confirmed_ms = upkeep.confirmed_ms if upkeep is not None else None
        if confirmed_ms is None:
            # An earlier scheduler has recorded it.
            confirmed_ms = self.scheduler.began_ms
        minion = by_vm.get(vm)
        if minion is not None and minion.polled_ms > confirmed_ms:
            return True
        listed = self.inventory.vms.get(vm)
        is_recent = self.inventory.listed_ms > confirmed_ms
        return is_recent and listed is not None and listed.state is PlatformVmState.UP


def _needs_list(wave: MaintenanceWave, by_vm: dict[str, Minion]) -> bool:
    """Return whether only the platform's list tells about some VM of a wave."""
    return any(vm not in by_vm and vm not in wave.finished for vm in wave.machines)


def _wants_list(wave: MaintenanceWave, by_vm: dict[str, Minion], now_ms: int) -> bool:
    """Return whether the platform's list may tell more about some VM than its minion does."""
    return any(
        vm in wave.ordered or (vm in by_vm and by_vm[vm].is_silent(now_ms))
        for vm in wave.machines
        if vm not in wave.finished
    )


def _drained_ms(upkeep: VmUpkeep, now_ms: int) -> int:
    return 0 if upkeep.drain_began_ms is None else now_ms - upkeep.drain_began_ms
