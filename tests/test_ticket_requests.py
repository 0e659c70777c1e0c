"""Tickets of the admission service: which minions are named, how often, and for which steps."""

from __future__ import annotations

import pytest
import trio

from hornbeamreach.systems.ticket_choice import (
    FIRST_NAMED_MINIONS,
    MAX_NAMED_MINIONS,
    TicketDemand,
    ticket_choices,
)

from . import builders
from .builders import ticket_candidate
from .fakes import PolicyAdmission, run_virtual
from .step_fleet import StepFleet

JOB = "00000000000000b7"
LASTING = "00000000000000a7"
VALID_MS = 5_000
ADMITTED = 4


def run_scenario(scenario, *, minion_count: int = 6, valid_ms: int = VALID_MS, **service) -> None:
    async def main() -> None:
        admission = PolicyAdmission(**service)
        table = builders.step_table(
            advice_valid_ms=valid_ms,
            advice_decide_ms=admission.decide_ms,
            advice_each_ms=admission.each_ms,
        )
        fleet = StepFleet(minion_count=minion_count, table=table, admission=admission)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await fleet.wait_for_scheduler()
            await trio.sleep(5)
            await scenario(fleet, admission)
            nursery.cancel_scope.cancel()

    run_virtual(main)


async def occupy(fleet: StepFleet, admission: PolicyAdmission, count: int) -> set[str]:
    """Let some minions run a task that lasts, with room for more; return them."""
    admission.allowed = set(fleet.minions.minions)
    step = builders.step(count, cpu_millis=4_000, max_per_minion=1, lasting=True)
    await fleet.submit(LASTING, builders.step_job(step))
    await trio.sleep(3)
    occupied = {run.minion for run in fleet.minions.history}
    assert len(occupied) == count
    admission.calls.clear()
    return occupied


class TestPolicies:
    # The same 30 minions, the emptiest, were named for ever, and the job never ran.
    @pytest.mark.parametrize("minion_count", [36, 250])
    def test_a_job_runs_though_the_emptiest_minions_are_not_admitted(self, minion_count):
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            admission.allowed = await occupy(fleet, admission, ADMITTED)
            await fleet.submit(JOB, builders.step_job(builders.step(2)))
            await fleet.wait_for_state(JOB, "completed", timeout_s=5)
            runs = [run for run in fleet.minions.history if run.task.startswith(JOB)]
            assert {run.minion for run in runs} <= admission.allowed
            named = [minion for _, _, minions in admission.calls for minion in minions]
            assert len(named) == len(set(named)) <= minion_count

        run_scenario(scenario, minion_count=minion_count)

    def test_a_step_runs_on_admitted_minions_beyond_those_of_its_first_call(self):
        # Two of the minions that were named first are admitted; they hold half of the tasks.
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            admission.allowed = {"i-1", "i-2", "i-38", "i-39"}
            step = builders.step(8, cpu_millis=8_000)
            await fleet.submit(JOB, builders.step_job(step), work_ms=30_000)
            await trio.sleep(2)
            assert len(fleet.minions.history) == 8

        run_scenario(scenario, minion_count=40)

    def test_a_minion_that_comes_later_is_named(self):
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            admission.allowed = {"i-6"}
            fleet.silenced.add("i-6")
            await trio.sleep(20)
            await fleet.submit(JOB, builders.step_job())
            await trio.sleep(3)
            fleet.silenced.clear()
            await fleet.wait_for_state(JOB, "completed", timeout_s=4)

        run_scenario(scenario)

    # A policy doesn't change, but an answer may lack a minion for another reason.
    def test_minions_that_were_refused_are_named_again_later(self):
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            await fleet.submit(JOB, builders.step_job())
            await trio.sleep(8)
            named = [minion for _, _, minions in admission.calls for minion in minions]
            assert len(named) == len(set(named)) == 6
            admission.allowed = {"i-3"}
            await fleet.wait_for_state(JOB, "completed", timeout_s=5)

        run_scenario(scenario)

    def test_only_admitted_minions_are_named_when_tickets_lapse(self):
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            admission.allowed = {"i-2", "i-5"}
            step = builders.step(40, cpu_millis=8_000)
            await fleet.submit(JOB, builders.step_job(step), work_ms=1_000)
            await fleet.wait_for_state(JOB, "completed", timeout_s=30)
            renewals = [set(minions) for _, _, minions in admission.calls[1:]]
            assert renewals
            assert {"i-2", "i-5"} in renewals
            assert sum(map(len, renewals)) < 6 * len(renewals)

        run_scenario(scenario)


class TestReturnedMinions:
    # A ticket holds during one life of a minion; starts on the next one were rejected by their
    # ticket, and then the tickets of all minions were requested again.
    def test_tickets_of_a_minion_that_returned_are_requested_anew(self):
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            admission.allowed = {"i-1", "i-2"}
            await fleet.submit(JOB, builders.step_job(builders.step(80, cpu_millis=8_000)))
            await trio.sleep(1)
            assert admission.calls
            admission.calls.clear()
            scheduler = await fleet.wait_for_scheduler()
            fleet.minions.restart("i-2")
            scheduler.on_report(fleet.minions.minions["i-2"].report())
            assert all("i-2" not in known for known in scheduler.planner.tickets.values())
            await trio.sleep(1)
            assert [minions for _, _, minions in admission.calls] == [("i-2",)]

        run_scenario(scenario, valid_ms=20_000)

    def test_a_ticket_that_was_requested_for_the_earlier_life_is_not_used(self):
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            admission.allowed = {"i-2"}
            await fleet.submit(JOB, builders.step_job(builders.step(4)))
            while not admission.calls:
                await trio.sleep(0.001)
            scheduler = await fleet.wait_for_scheduler()
            fleet.minions.restart("i-2")
            scheduler.on_report(fleet.minions.minions["i-2"].report())
            await trio.sleep(0.2)
            assert sum("i-2" in minions for _, _, minions in admission.calls) == 2
            await fleet.wait_for_state(JOB, "completed", timeout_s=5)

        run_scenario(scenario, valid_ms=20_000)


class TestLoad:
    # Some hundred steps wait for tickets at once, and the service takes one call at a time.
    def test_a_burst_of_steps_is_served_without_a_refused_call(self):
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            admission.allowed = set(list(fleet.minions.minions)[::2])
            jobs = [f"{number:016x}" for number in range(120)]
            async with trio.open_nursery() as nursery:
                for job_id in jobs:
                    nursery.start_soon(fleet.submit, job_id, builders.step_job(builders.step(2)))
            assert len(fleet.accepted_jobs) == len(jobs)
            for job_id in jobs:
                await fleet.wait_for_state(job_id, "completed", timeout_s=60)
            assert admission.refused_calls == 0

        run_scenario(scenario, minion_count=40)

    def test_steps_without_answers_delay_no_others(self):
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            admission.allowed = set(fleet.minions.minions)
            silent = [f"{number:016x}" for number in range(60)]
            admission.silent = {f"{job_id}.0.0" for job_id in silent}
            for job_id in silent:
                await fleet.submit(job_id, builders.step_job())
            await fleet.submit(JOB, builders.step_job())
            await fleet.wait_for_state(JOB, "completed", timeout_s=15)

        run_scenario(scenario)

    def test_what_was_answered_for_an_ended_job_is_forgotten(self):
        async def scenario(fleet: StepFleet, admission: PolicyAdmission) -> None:
            admission.allowed = {"i-1"}
            await fleet.submit(JOB, builders.step_job())
            await fleet.wait_for_state(JOB, "completed")
            scheduler = await fleet.wait_for_scheduler()
            assert scheduler.ticket_requests.steps
            await trio.sleep(30)
            await fleet.submit("c" * 16, builders.step_job())
            await fleet.wait_for_state("c" * 16, "completed")
            assert list(scheduler.ticket_requests.steps) == [("c" * 16, 0, 0)]
            assert not any(name[0] == JOB for name in scheduler.planner.tickets)

        run_scenario(scenario)


class TestChoice:
    @staticmethod
    def choose(candidates, **fields) -> list[str]:
        demand = TicketDemand(candidates=candidates, **fields)
        return ticket_choices.get("unanswered_first")(demand)

    def test_the_baseline_names_the_same_minions_whatever_was_answered(self):
        emptiest = [ticket_candidate(n, free_cpu_millis=100 - n) for n in range(40)]
        for answered in (False, True):
            demand = TicketDemand(candidates=emptiest, answered=answered)
            found = ticket_choices.get("emptiest")(demand)
            assert found == [f"i-{n}" for n in range(FIRST_NAMED_MINIONS)]

    def test_minions_with_room_near_the_data_go_first(self):
        candidates = [
            ticket_candidate(1, has_room=False, free_cpu_millis=900),
            ticket_candidate(2, free_cpu_millis=500),
            ticket_candidate(3, near_data=True, free_cpu_millis=100),
        ]
        assert self.choose(candidates) == ["i-3", "i-2", "i-1"]

    def test_minions_without_room_are_not_named_once_some_are_admitted(self):
        candidates = [ticket_candidate(1, has_room=False), ticket_candidate(2)]
        assert self.choose(candidates, answered=True, has_admitted=True) == ["i-2"]
        assert self.choose(candidates[:1], answered=True, has_admitted=True) == []
        assert self.choose(candidates[:1], answered=True) == ["i-1"]

    def test_lapsed_tickets_are_renewed_alone(self):
        candidates = [
            ticket_candidate(1),
            ticket_candidate(2, admitted_before=True, has_room=False),
        ]
        assert self.choose(candidates, answered=True, has_admitted=True) == ["i-2"]

    def test_a_call_names_no_more_than_it_may_and_than_its_time_allows(self):
        candidates = [ticket_candidate(n) for n in range(300)]
        assert len(self.choose(candidates)) == FIRST_NAMED_MINIONS
        assert len(self.choose(candidates, answered=True)) == MAX_NAMED_MINIONS
        slow = self.choose(candidates, answered=True, decide_ms=200, each_ms=40)
        assert len(slow) == 20
        assert len(self.choose(candidates, decide_ms=5_000, each_ms=40)) == 1
