"""Jobs take a bounded part of the replicated state."""

from __future__ import annotations

import trio

from hornbeamreach.fleet.messages import QueueAction
from hornbeamreach.systems.replica_limits import MIB
from hornbeamreach.systems.state_size import StateRoom, room_policies, spec_bytes
from hornbeamreach.tables.workload import RunEnd
from hornbeamreach.verdict import Reason

from . import builders
from .builders import step, step_job
from .step_fleet import StepFleet
from .test_step_jobs import job_id, run_scenario


class TestDecisions:
    def test_jobs_are_refused_by_what_they_take_but_never_the_only_one(self):
        has_room = room_policies.get("bytes")
        large = spec_bytes(step_job(step(100_000)))
        assert has_room(StateRoom(stored_bytes=0, job_bytes=large, limit_bytes=MIB))
        assert not has_room(StateRoom(stored_bytes=1, job_bytes=large, limit_bytes=MIB))
        assert has_room(StateRoom(stored_bytes=1, job_bytes=2_000, limit_bytes=MIB))
        assert room_policies.get("unlimited")(
            StateRoom(stored_bytes=MIB, job_bytes=large, limit_bytes=MIB)
        )


class TestState:
    def test_an_ended_job_keeps_neither_its_payload_nor_its_tasks(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(20)))
            await fleet.submit(job_id(2), step_job(step(20)), work_ms=60_000)
            await fleet.wait_for_state(job_id(1), "completed")
            scheduler = await fleet.wait_for_scheduler()
            jobs = scheduler.replica.state.workload.jobs
            assert (jobs[job_id(1)].spec.payload, jobs[job_id(1)].tasks) == ("", {})
            assert len(jobs[job_id(2)].tasks) == 20
            await fleet.call(QueueAction.CANCEL, job_id(2))
            await trio.sleep(3)
            assert jobs[job_id(2)].tasks == {}
            assert all(run.end is not None for run in fleet.minions.history)
            assert any(run.end is RunEnd.STOPPED for run in fleet.minions.history)

        run_scenario(scenario)

    # Jobs of many tasks filled the memory of every replica, however few they were.
    def test_jobs_beyond_the_room_of_the_state_are_refused_until_others_end(self):
        limits = builders.replica_limits(state_bytes=3 * spec_bytes(step_job(step(400))))

        async def scenario(fleet: StepFleet) -> None:
            replies = [
                await fleet.submit(job_id(n), step_job(step(400, cpu_millis=1)), work_ms=2_000)
                for n in range(1, 6)
            ]
            refused = [reply for reply in replies if reply.reason is not None]
            assert [reply.reason for reply in refused] == [Reason.OVERLOADED] * 2
            assert all(reply.retry_after_ms > 0 for reply in refused)
            await fleet.wait_for_state(job_id(1), "completed")
            await trio.sleep(3)
            reply = await fleet.submit(job_id(5), step_job(step(400, cpu_millis=1)))
            assert reply.reason is None
            await fleet.wait_for_state(job_id(5), "completed")

        run_scenario(scenario, limits=limits)
