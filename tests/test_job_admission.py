"""Admission at the leader of a fleet: who is refused in a burst, and who never is."""

from __future__ import annotations

from types import SimpleNamespace

import trio

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.messages import QueueAction, QueueCall
from hornbeamreach.fleet.queue_service import QueueService, build_refusal
from hornbeamreach.fleet.vm_moves import FIRST_REPORTS_MS
from hornbeamreach.verdict import Reason

from . import builders
from .fakes import run_virtual
from .step_fleet import StepFleet

JOB = builders.step_job(builders.step(count=8))
BURST = 300


def run_scenario(scenario) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = StepFleet()
            await fleet.start(nursery)
            await fleet.wait_for_scheduler()
            await trio.sleep(seconds(FIRST_REPORTS_MS + 500))
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(main)


async def submit_burst(fleet: StepFleet) -> tuple[list[str], dict[str, int]]:
    """Submit jobs at once; return the accepted ones, and Retry-After of the refused ones."""
    accepted, refused = [], {}

    async def submit(job_id: str) -> None:
        answer = await fleet.submit(job_id, JOB)
        if answer.reason is None:
            accepted.append(job_id)
        else:
            assert answer.reason is Reason.OVERLOADED
            refused[job_id] = answer.retry_after_ms

    async with trio.open_nursery() as callers:
        for number in range(BURST):
            callers.start_soon(submit, f"{number:016x}")
    return accepted, refused


def test_jobs_beyond_what_can_be_useful_are_refused_and_accepted_later():
    async def scenario(fleet: StepFleet) -> None:
        accepted, refused = await submit_burst(fleet)
        assert len(accepted) > 50
        assert min(refused.values()) >= 1_000
        assert len({after_ms // 1_000 for after_ms in refused.values()}) > 3
        refusals = []

        async def retry(job_id: str, after_ms: int) -> None:
            count = 1
            while after_ms:
                await trio.sleep(-(-after_ms // 1_000))
                after_ms = (await fleet.submit(job_id, JOB)).retry_after_ms
                count += bool(after_ms)
            refusals.append(count)

        async with trio.open_nursery() as callers:
            for job_id, after_ms in refused.items():
                callers.start_soon(retry, job_id, after_ms)
        # Retry-After is long enough for nearly all, and nobody is put off again and again.
        assert refusals.count(1) >= 0.9 * len(refused)
        assert max(refusals) <= 3
        for job_id in (*accepted, *refused):
            await fleet.wait_for_state(job_id, "completed")
        scheduler = await fleet.wait_for_scheduler()
        assert not scheduler.fleet.queued_work.jobs
        assert scheduler.fleet.queued_work.ahead("pool-a", 0, 0) == {}
        assert not scheduler.job_admission.refused.first_ms

    run_scenario(scenario)


def test_known_ids_long_running_and_timed_jobs_are_not_refused():
    async def scenario(fleet: StepFleet) -> None:
        accepted, refused = await submit_burst(fleet)
        assert (await fleet.submit("e" * 16, JOB)).reason is Reason.OVERLOADED
        assert (await fleet.submit(accepted[-1], JOB)).reason is None
        lasting = builders.step_job(builders.step(lasting=True))
        timed = builders.step_job(repetitions=1, first_due_ms=fleet.clock.wall_ms() + 10**6)
        assert (await fleet.submit("a" * 16, lasting)).reason is None
        assert (await fleet.submit("b" * 16, timed)).reason is None
        # A refused job leaves nothing behind.
        known = (await fleet.wait_for_scheduler()).proposed.workload.jobs
        assert not known.keys() & refused.keys()
        answer = await fleet.call(QueueAction.READ, next(iter(refused)))
        assert answer.reason is Reason.UNKNOWN_JOB

    run_scenario(scenario)


def test_a_lagging_loop_refuses_new_short_jobs():
    async def scenario(fleet: StepFleet) -> None:
        await fleet.submit("0" * 16, JOB)
        (await fleet.wait_for_scheduler()).loop_lag = SimpleNamespace(lag_ms=1_500, busy_share=0.0)
        assert (await fleet.submit("1" * 16, JOB)).reason is Reason.OVERLOADED
        assert (await fleet.submit("0" * 16, JOB)).reason is None

    run_scenario(scenario)


def test_a_refused_submission_with_a_long_path_takes_the_leader_little_time():
    # Each end of the path was looked up: 60 kB took 0.75 s of the loop, and paths have up to 512.
    class CountedJobs(dict):
        lookups = 0

        def __contains__(self, job_id: object) -> bool:
            self.lookups += 1
            return super().__contains__(job_id)

    jobs = CountedJobs({"0" * 16: None})
    workload = SimpleNamespace(jobs=jobs)
    scheduler = SimpleNamespace(proposed=SimpleNamespace(workload=workload), term=7)
    service = QueueService(scheduler=scheduler, clock=None, metrics=None)
    for ends, term in (("0" * 16, 0), ("1" * 16, 7)):
        for length in (1, 100, 100_000):
            call = QueueCall(action=QueueAction.SUBMIT, host="", path=f"/{'x' * length}/{ends}")
            refusal = build_refusal(Reason.UNKNOWN_QUEUE, "no such queue")
            assert service._with_term(call, refusal).term == term
    assert jobs.lookups < 1_000
