"""An accepted job runs and a cancelled one stops, whatever becomes of the call."""

from __future__ import annotations

from typing import Any

import attrs
import pytest
import trio
from loguru import logger

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


@pytest.fixture
def lines():
    """Collect the fields of the log lines of waiting jobs."""
    found: list[dict[str, Any]] = []

    def keep(message: Any) -> None:
        record = message.record
        if record["extra"].get("part") == "waiting:":
            found.append({**record["extra"], "text": record["message"]})

    handle = logger.add(keep, level="INFO")
    yield found
    logger.remove(handle)


class TestLostWakeUp:
    def test_a_job_that_no_event_has_planned_runs(self, lines):
        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            for minion in fleet.minions.minions.values():
                minion.capacity = attrs.evolve(minion.capacity, cpu_millis=0)
            await trio.sleep(2)
            await fleet.submit(job_id(1), step_job(step(2)))
            await trio.sleep(0.5)
            scheduler.fleet.ready.clear()
            for minion in fleet.minions.minions.values():
                minion.capacity = attrs.evolve(minion.capacity, cpu_millis=16_000)
            await fleet.wait_for_state(job_id(1), "completed", timeout_s=10)

        run_scenario(scenario)
        assert [line["request"] for line in lines] == [job_id(1)]


class TestReasons:
    def wait_for_a_line(self, lines: list[dict[str, Any]], prepare: Any, job: Any) -> dict:
        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            await trio.sleep(2)
            prepare(fleet, scheduler)
            await fleet.submit(job_id(1), job)
            await trio.sleep(5)

        run_scenario(scenario)
        assert lines, "no line says why the job waits"
        assert lines[0]["request"] == job_id(1)
        assert lines[0]["text"] == "job waits to start"
        assert lines[0]["waited_ms"] >= 3_000
        return lines[0]

    def test_a_job_kept_out_for_want_of_room_is_logged_with_that_reason(self, lines):
        job = step_job(step(2, cpu_millis=20_000))
        line = self.wait_for_a_line(lines, lambda fleet, scheduler: None, job)
        assert line["minions"] == {"no_room": 6}

    def test_a_job_kept_out_by_a_label_is_logged_with_that_reason(self, lines):
        job = step_job(step(2, required_label="z"))
        line = self.wait_for_a_line(lines, lambda fleet, scheduler: None, job)
        assert line["minions"] == {"label": 6}

    def test_a_job_kept_out_by_cordoned_and_paused_minions_is_logged_with_both(self, lines):
        def prepare(fleet: StepFleet, scheduler: Any) -> None:
            minions = list(scheduler.fleet.minions.values())
            for minion in minions[:2]:
                minion.cordoned = True
            for minion in minions[2:]:
                minion.suspect_until_ms = 1 << 62

        line = self.wait_for_a_line(lines, prepare, step_job(step(2)))
        assert line["minions"] == {"paused": 4, "cordoned": 2}

    def test_a_job_kept_out_by_its_team_s_limits_is_logged_with_that_reason(self, lines):
        def prepare(fleet: StepFleet, scheduler: Any) -> None:
            table = scheduler.proposed.state.table
            row = table.teams["team-a"]
            table.teams["team-a"] = attrs.evolve(row, max_cpu_millis=1)

        line = self.wait_for_a_line(lines, prepare, step_job(step(2)))
        assert line["minions"] == {"none": 6}
        assert line["within_team_limits"] is False

    def test_many_waiting_jobs_write_few_lines(self, lines):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.wait_for_scheduler()
            for number in range(40):
                await fleet.submit(job_id(number), step_job(step(1, cpu_millis=20_000)))
            await trio.sleep(10)

        run_scenario(scenario)
        assert 6 <= len(lines) <= 6 * 10
