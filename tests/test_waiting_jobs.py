"""An accepted job runs and a cancelled one stops, whatever becomes of the call."""

from __future__ import annotations

import trio

from hornbeamreach.fleet.messages import QueueAction, QueueCall

from .builders import step, step_job
from .step_fleet import StepFleet
from .test_step_jobs import job_id, run_scenario


def queue_call(action: QueueAction, job: str, **fields: object) -> QueueCall:
    return QueueCall(
        action=action, host="a.example", path=f"/jobs/{job}", key_hash="key-1", **fields
    )


async def call_and_disconnect(fleet: StepFleet, call: QueueCall) -> None:
    """Cancel the leader's handler of a call while the command is being committed."""
    service = fleet.control[await fleet.wait_for_leader()].service
    with trio.move_on_after(0.001):
        await service.on_queue_call(call)


class TestInterruptedCalls:
    def test_a_job_whose_connection_is_lost_before_the_commit_runs(self):
        # The connection of an entry ends all its calls on the leader; the caller does not retry.
        async def scenario(fleet: StepFleet) -> None:
            await fleet.wait_for_scheduler()
            fleet.specs[job_id(1)] = spec = step_job(step(2))
            submission = queue_call(QueueAction.SUBMIT, job_id(1), spec=spec)
            await call_and_disconnect(fleet, submission)
            await fleet.wait_for_state(job_id(1), "completed", timeout_s=10)

        run_scenario(scenario)

    def test_a_job_cancelled_over_a_lost_connection_is_stopped(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(2, lasting=True)))
            await trio.sleep(1)
            await call_and_disconnect(fleet, queue_call(QueueAction.CANCEL, job_id(1)))
            await trio.sleep(1)
            assert await fleet.job_state(job_id(1)) == "cancelled"
            assert not any(minion.running for minion in fleet.minions.minions.values())

        run_scenario(scenario)
