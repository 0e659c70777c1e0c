"""Upkeep waves: machines are emptied, sent to their upkeep and taken back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from attrs import define, field

from hornbeamreach.clock import seconds
from hornbeamreach.control.workload_log import RecordUpkeep
from hornbeamreach.exceptions import NotLeaderError, RefusedError
from hornbeamreach.fleet.machine_room import MachineRoom
from hornbeamreach.fleet.ports import MachineAnswer, MachineState, NoAnswerError
from hornbeamreach.logs import part_logger
from hornbeamreach.systems.maintenance_wave import (
    WaveCandidate,
    available_vm_slots,
    may_stop,
    next_vms,
    unavailable_tasks,
)
from hornbeamreach.tables.minions import BookedRun, Minion
from hornbeamreach.tables.workload import UpkeepWave, parse_task_key, step_key

if TYPE_CHECKING:
    from hornbeamreach.fleet.scheduler import Scheduler

log = part_logger("upkeep")

STEP_MS = 100
# In the last part of a wave's time machines go although short tasks are at work there.
HURRY_SHARE = 0.35
# A machine that was chosen goes after this, whatever short tasks are left on it.
MAX_EMPTYING_MS = 2_500


@define(kw_only=True, eq=False)
class Upkeep:
    """Carry out the waves of one scheduler's term."""

    scheduler: Scheduler
    room: MachineRoom
    # Machines that are being emptied, by the time at which they were chosen.
    chosen: dict[str, int] = field(factory=dict)
    ordering: set[str] = field(factory=set)
    # When each machine's upkeep was confirmed in this term.
    confirmed_ms: dict[str, int] = field(factory=dict)
    # When the life that an order of this term ended was born, by machine.
    ended_born_ms: dict[str, int] = field(factory=dict)

    async def run(self) -> None:
        """Work on the waves until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(seconds(STEP_MS))
                scheduler = self.scheduler
                now_ms = scheduler.clock.now_ms()
                if scheduler.nursery is None:
                    continue
                try:
                    await self._step(nursery, now_ms)
                except (NotLeaderError, RefusedError) as exc:
                    log.info("upkeep ends with the term: {}", exc)
                    return

    async def _step(self, nursery: trio.Nursery, now_ms: int) -> None:
        for wave in list(self.scheduler.ahead.workload.waves.values()):
            if wave.completed:
                continue
            by_machine = self.room.minions()
            unheard = [m for m in wave.machines if m not in wave.finished and m not in by_machine]
            unsure = [m for m in wave.ordered.keys() - wave.finished if m not in self.ended_born_ms]
            if (unheard or unsure) and not await self.room.refresh():
                continue
            self._note_finished(wave, by_machine)
            self._choose_parked(nursery, wave, unheard)
            candidates = self._candidates(wave, by_machine)
            for candidate in next_vms(wave, candidates, self._taken()):
                self._choose(wave, candidate, now_ms)
            self._resend(nursery, wave)
            for machine in list(self.chosen):
                minion = by_machine.get(machine)
                if minion is None or machine in self.ordering or machine not in wave.machines:
                    continue
                # Also a life that began after the machine was chosen: it takes no new work.
                minion.cordoned = True
                self._empty(wave, minion)
                if self._may_go(wave, minion, now_ms):
                    self._send_off(nursery, wave, machine)

    def _taken(self) -> set[str]:
        return self.chosen.keys() | self.ordering

    def _choose_parked(self, nursery: trio.Nursery, wave: UpkeepWave, unheard: list[str]) -> None:
        """Order the upkeep of machines that are off, and give up those that are gone."""
        parked = {machine.machine for machine in self.room.parked()}
        gone = [machine for machine in unheard if machine not in self.room.machines]
        if gone:
            log.bind(wave=wave.number, machines=gone).info("machines of the wave are gone")
            self.scheduler.submit(RecordUpkeep(number=wave.number, finished=gone))
        for machine in unheard:
            if machine in parked and machine not in wave.ordered and machine not in self.ordering:
                if not available_vm_slots(wave, self._taken()):
                    return
                self.room.busy[machine] = self.scheduler.clock.now_ms()
                self._send_off(nursery, wave, machine)

    def _candidates(self, wave: UpkeepWave, by_machine: dict[str, Minion]) -> list[WaveCandidate]:
        free = self._free_shares()
        return [
            WaveCandidate(
                vm=machine,
                minion=by_machine[machine],
                pool_free=free.get(by_machine[machine].report.pool, 0.0),
            )
            for machine in wave.machines
            if machine in by_machine
            and machine not in self.room.busy
            and self.room.may_order(machine)
            and not by_machine[machine].report.leaving
            and not by_machine[machine].report.draining
        ]

    def _free_shares(self) -> dict[str, float]:
        totals: dict[str, list[int]] = {}
        for minion in self.scheduler.books.minions.values():
            if not minion.report.leaving:
                sums = totals.setdefault(minion.report.pool, [0, 0])
                sums[0] += minion.free().cpu_millis
                sums[1] += minion.report.capacity.cpu_millis
        return {pool: free / whole if whole else 0.0 for pool, (free, whole) in totals.items()}

    # Choosing and emptying

    def _choose(self, wave: UpkeepWave, candidate: WaveCandidate, now_ms: int) -> None:
        self.chosen[candidate.vm] = now_ms
        candidate.minion.cordoned = True
        log.bind(wave=wave.number, machine=candidate.vm, runs=len(candidate.minion.runs)).info(
            "machine chosen for upkeep"
        )

    def _empty(self, wave: UpkeepWave, minion: Minion) -> None:
        for run in list(minion.runs.values()):
            if run.lasting and self._may_stop(run):
                self.scheduler.orders.stop(run, "upkeep")

    def _may_stop(self, run: BookedRun) -> bool:
        books = self.scheduler.books
        job = books.job(run.job_id)
        if job is None or job.ended:
            return True
        occurrence, number, _ = parse_task_key(run.key)
        step = job.spec.steps[number]
        prefix = f"{step_key(occurrence, number)}."
        now_ms = self.scheduler.clock.now_ms()
        away = unavailable_tasks(books.runs_of.get(run.job_id, {}), prefix, step.count, now_ms)
        return may_stop(run, away, step.may_miss, now_ms=now_ms)

    def _may_go(self, wave: UpkeepWave, minion: Minion, now_ms: int) -> bool:
        if not minion.runs:
            return True
        if any(run.lasting for run in minion.runs.values()):
            return False
        machine = minion.report.machine or minion.minion_id
        left_ms = wave.due_ms - self.scheduler.clock.wall_ms()
        hurry = left_ms < HURRY_SHARE * (wave.due_ms - wave.ordered_ms)
        return hurry and now_ms - self.chosen.get(machine, now_ms) > MAX_EMPTYING_MS

    # Orders

    def _send_off(self, nursery: trio.Nursery, wave: UpkeepWave, machine: str) -> None:
        self.ordering.add(machine)
        self.room.busy.setdefault(machine, self.scheduler.clock.now_ms())
        nursery.start_soon(self._order, wave, machine)

    def _resend(self, nursery: trio.Nursery, wave: UpkeepWave) -> None:
        """Repeat orders whose answer an earlier scheduler may not have had."""
        for machine, confirmed in wave.ordered.items():
            waits = machine in self.ordering or not self.room.may_order(machine)
            if not (confirmed or waits or machine in wave.finished):
                self._send_off(nursery, wave, machine)

    async def _order(self, wave: UpkeepWave, machine: str) -> None:
        scheduler = self.scheduler
        is_first = machine not in wave.ordered
        try:
            self.room.ordered.add(machine)
            at_ms = scheduler.clock.wall_ms()
            await scheduler.commit(RecordUpkeep(number=wave.number, ordered=[machine], at_ms=at_ms))
            answer = await self.room.port.upkeep(
                machine, wave=wave.number, holder=scheduler.replica.node_id, token=scheduler.term
            )
        except NoAnswerError as exc:
            log.bind(wave=wave.number, machine=machine).warning("upkeep unanswered: {}", exc)
            scheduler.metrics.event("upkeep_unanswered")
            await trio.sleep(seconds(scheduler.timing.retry_ms))
            self.ordering.discard(machine)
            return
        except (NotLeaderError, RefusedError) as exc:
            log.bind(wave=wave.number, machine=machine).info("upkeep not ordered: {}", exc)
            return
        log.bind(wave=wave.number, machine=machine).info("upkeep: {}", answer.value)
        await self._answered(wave, machine, answer, is_first=is_first)

    async def _answered(
        self, wave: UpkeepWave, machine: str, answer: MachineAnswer, *, is_first: bool
    ) -> None:
        scheduler = self.scheduler
        if answer is MachineAnswer.ORDERED:
            scheduler.submit(RecordUpkeep(number=wave.number, confirmed=[machine]))
            self.chosen.pop(machine, None)
            self.confirmed_ms[machine] = scheduler.clock.now_ms()
            minion = self.room.minions().get(machine)
            if minion is not None and is_first:
                self.ended_born_ms[machine] = minion.report.born_ms
                scheduler.end_of_life(minion, "upkeep")
            elif minion is not None:
                # An earlier order may have been carried out, and this be the life after it.
                scheduler.watches[minion.minion_id].look_now()
        elif answer in (MachineAnswer.NOT_IN_WAVE, MachineAnswer.MALFORMED):
            scheduler.submit(RecordUpkeep(number=wave.number, finished=[machine]))
            self.chosen.pop(machine, None)
        elif answer is MachineAnswer.FENCED:
            log.bind(machine=machine, term=scheduler.term).warning("a newer scheduler orders it")
            return
        else:
            # Not up, leaving, or too many calls: it stays ordered and is asked again.
            await trio.sleep(seconds(1_000))
        self.ordering.discard(machine)

    # Return

    def _note_finished(self, wave: UpkeepWave, by_machine: dict[str, Minion]) -> None:
        back = []
        for machine, confirmed in wave.ordered.items():
            if confirmed and machine not in wave.finished and self._is_back(machine, by_machine):
                back.append(machine)
        if back:
            log.bind(wave=wave.number, machines=back).info("machines are back from upkeep")
            for machine in back:
                self.room.release(machine)
            self.scheduler.submit(RecordUpkeep(number=wave.number, finished=back))

    def _is_back(self, machine: str, by_machine: dict[str, Minion]) -> bool:
        minion = by_machine.get(machine)
        ended_born_ms = self.ended_born_ms.get(machine)
        # A late report of the life that the order ended does not show that the machine is back.
        if minion is not None and ended_born_ms is not None:
            return minion.report.born_ms > ended_born_ms
        listed = self.room.machines.get(machine)
        confirmed_ms = self.confirmed_ms.get(machine, self.scheduler.began_ms)
        fresh = self.room.listed_ms > confirmed_ms
        return fresh and listed is not None and listed.state is MachineState.UP
