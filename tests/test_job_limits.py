"""A job that would keep every leader from renewing its lease is refused at acceptance."""

from __future__ import annotations

import time
from typing import Any

import orjson
import pytest
import trio

from hornbeamreach.exceptions import InvalidInputError
from hornbeamreach.platform.decoding import decode_job
from hornbeamreach.systems.job_limits import (
    MAX_DEPENDENCIES,
    MAX_REPETITIONS,
    MAX_TASKS,
    exceeded_limit,
)
from hornbeamreach.systems.job_progress import due_occurrences, next_due_ms, ready_steps
from hornbeamreach.tables.workload import StepJob
from hornbeamreach.verdict import Reason

from .builders import step, step_job
from .fakes import run_virtual
from .step_fleet import StepFleet

JOB_ID = "5c0e7a21d94b36f8"
# The leader's lease is 600 ms: a pass over one job of the largest size must be far below it.
MAX_PASS_S = 0.3
MANY = 3_000_000


def decode(**body: Any):
    return decode_job(orjson.dumps({"spec": "x", "steps": [{"count": 1}], **body}))


class TestAcceptance:
    @pytest.mark.parametrize(
        "body",
        [
            {"repetitions": 10**9},
            {"repetitions": 2**53},
            {"repetitions": MAX_REPETITIONS + 1},
            {"repetitions": 1_000, "steps": [{"count": 101}]},
            {"repetitions": 101, "steps": [{"count": 1}] * 1_000},
            {"steps": [{"count": MAX_TASKS}, {"count": 1}]},
            {
                "repetitions": 100,
                "steps": [{"count": 1, "after": list(range(min(n, 20)))} for n in range(100)],
            },
            {"steps": [{"count": 1, "after": [0]}]},
        ],
    )
    def test_a_job_too_large_to_plan_is_refused(self, body):
        with pytest.raises(InvalidInputError):
            decode(**body)

    def test_the_largest_jobs_are_accepted(self):
        assert decode(repetitions=MAX_REPETITIONS).occurrences == MAX_REPETITIONS
        assert decode(repetitions=1_000, steps=[{"count": 100}]).steps[0].count == 100

    def test_a_dependency_named_often_counts_once(self):
        spec = decode(steps=[{"count": 1}, {"count": 1, "after": [0] * 50_000}])
        assert spec.steps[1].after == (0,)

    def test_the_leader_refuses_what_an_entry_of_another_version_let_through(self):
        fleet = StepFleet()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await fleet.start(nursery)
                reply = await fleet.submit(JOB_ID, step_job(repetitions=MANY, interval_ms=1))
                assert reply.reason is Reason.MALFORMED
                await fleet.submit("0" * 16, step_job(step(2)))
                await fleet.wait_for_state("0" * 16, "completed")
                nursery.cancel_scope.cancel()

        run_virtual(main, seed=1)


class TestPlanning:
    def timed(self, function: Any, *arguments: Any) -> Any:
        began_s = time.process_time()
        result = function(*arguments)
        assert time.process_time() - began_s < MAX_PASS_S
        return result

    def test_the_next_due_time_of_a_stored_job_takes_no_time(self):
        spec = step_job(repetitions=MANY, first_due_ms=5_000, interval_ms=1_000)
        assert self.timed(next_due_ms, spec, 7_000) == 8_000
        assert next_due_ms(spec, 4_999) == 5_000
        assert next_due_ms(spec, 5_000 + MANY * 1_000) is None
        assert self.timed(lambda: list(due_occurrences(spec, 7_999))) == [0, 1, 2]
        assert list(due_occurrences(spec, 4_999)) == []

    def test_occurrences_without_an_interval_are_due_together(self):
        spec = step_job(repetitions=3, first_due_ms=5)
        assert list(due_occurrences(spec, 5)) == [0, 1, 2]
        assert next_due_ms(spec, 5) is None
        assert next_due_ms(spec, 4) == 5

    @pytest.mark.parametrize(
        "spec",
        [
            step_job(step(MAX_TASKS)),
            step_job(step(MAX_TASKS // MAX_REPETITIONS), repetitions=MAX_REPETITIONS),
            step_job(
                *[step(1)] * 10,
                *[step(1, after=tuple(range(10)))] * (MAX_DEPENDENCIES // 1_000),
                repetitions=100,
            ),
        ],
    )
    def test_a_pass_over_the_largest_jobs_keeps_the_lease(self, spec):
        assert exceeded_limit(spec) is None
        job = StepJob(
            job_id=JOB_ID, queue="queue-a", pool="pool-a", team="t", spec=spec, accepted_ms=0
        )
        if len(spec.steps) > 1:
            job.done_counts = {f"{k}.{n}": 1 for k in range(100) for n in range(10)}
        assert self.timed(ready_steps, job, 10**12)
