"""Measure the processor time that the control leader spends for each run, by kind of work.

Runs three control replicas with the real code and simulated minions in virtual time. An
instrument of the event loop attributes the time of each task step that belongs to the leader to
the coroutine that the task began with. Run it with
`python -m benches.leader_load [MINIONS] [JOBS] [INTERVAL_MS]` from the root of the repository.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from typing import Any

import trio
import trio.testing

from hornbeamreach.clock import seconds
from hornbeamreach.logs import configure_logs
from hornbeamreach.tables.workload import StepJobSpec, StepSpec
from tests.step_fleet import StepFleet

TASKS_PER_STEP = 8
ESTIMATE_MS = 800
SETTLING_MS = 3_000
JOB_TIMEOUT_S = 200
NS_PER_MS = 1_000_000
# Minions, jobs, and the time between two jobs.
DEFAULTS = (179, 300, 30)


class LeaderMeter(trio.abc.Instrument):
    """Sum the time of the leader's task steps by the coroutine that a task runs."""

    def __init__(self, fleet: StepFleet, leader: str) -> None:
        self.fleet = fleet
        self.leader = leader
        self.took_ns: Counter[str] = Counter()
        self.steps: Counter[str] = Counter()
        self.longest_ns: Counter[str] = Counter()
        self.names: dict[Any, str] = {}
        self.began_ns = 0

    def _name_of(self, task: trio.lowlevel.Task) -> str:
        """Return the kind of work of a task, empty if it isn't the leader's."""
        frame = task.coro.cr_frame
        if frame is not None and frame.f_code.co_name == "_deliver":
            is_ours = frame.f_locals.get("address") == self.leader
            kind = type(frame.f_locals.get("message")).__name__
            return f"receive {kind}" if is_ours else ""
        name = task.name.removeprefix("hornbeamreach.")
        scope = self.fleet.control[self.leader].scope
        status = task._cancel_status
        while status is not None:
            if status is scope._cancel_status:
                return name
            status = status._parent
        return ""

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Note when a step of a task begins."""
        name = self.names.get(task)
        if name is None:
            name = self.names[task] = self._name_of(task)
        self.began_ns = time.thread_time_ns()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Add the time of a step to the task's kind of work."""
        took_ns = time.thread_time_ns() - self.began_ns
        name = self.names.get(task)
        if name:
            self.took_ns[name] += took_ns
            self.steps[name] += 1
            self.longest_ns[name] = max(self.longest_ns[name], took_ns)

    def task_exited(self, task: trio.lowlevel.Task) -> None:
        """Forget a task that has ended."""
        self.names.pop(task, None)


def _job(rng: random.Random) -> StepJobSpec:
    first, second = (
        StepSpec(
            count=TASKS_PER_STEP,
            cpu_millis=rng.choice((1_500, 2_500)),
            memory_mb=500,
            estimate_ms=ESTIMATE_MS,
            after=after,
        )
        for after in ((), (0,))
    )
    return StepJobSpec(payload="x" * 200, steps=(first, second))


async def _run_load(fleet: StepFleet, jobs: int, interval_ms: int, rng: random.Random) -> None:
    async def submit(number: int) -> None:
        job_id = f"job-{number}"
        spec, work_ms = _job(rng), rng.uniform(600, 900)
        while (await fleet.submit(job_id, spec, work_ms=work_ms)).reason is not None:
            # Refused for load: the job would wait in vain to be completed.
            await trio.sleep(seconds(1_000))
        with trio.fail_after(JOB_TIMEOUT_S):
            while await fleet.job_state(job_id) != "completed":
                await trio.sleep(seconds(1_000))

    async with trio.open_nursery() as nursery:
        for number in range(jobs):
            nursery.start_soon(submit, number)
            await trio.sleep(seconds(interval_ms))


async def measure(minions: int, jobs: int, interval_ms: int) -> None:
    """Run the load and print the leader's time by kind of work."""
    rng = random.Random(3)
    fleet = StepFleet(minion_count=minions, relayed=True)
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        await fleet.wait_for_scheduler()
        await trio.sleep(seconds(SETTLING_MS))
        leader = await fleet.wait_for_leader()
        meter = LeaderMeter(fleet, leader)
        trio.lowlevel.add_instrument(meter)
        await _run_load(fleet, jobs, interval_ms, rng)
        trio.lowlevel.remove_instrument(meter)
        runs = len(fleet.minions.history)
        total_ms = sum(meter.took_ns.values()) / NS_PER_MS
        print(f"{minions} minions, {runs} runs, violations {fleet.find_violations()[:2]}")
        print(f"{total_ms / runs:.3f} ms of the leader per run")
        for name, took_ns in meter.took_ns.most_common(20):
            print(
                f"{took_ns / NS_PER_MS / runs:8.4f} ms a run {meter.steps[name] / runs:7.2f} steps"
                f" {meter.longest_ns[name] / NS_PER_MS:7.2f} ms longest  {name}"
            )
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    configure_logs(level="ERROR")
    sizes = (*(int(argument) for argument in sys.argv[1:]), *DEFAULTS[len(sys.argv) - 1 :])
    trio.run(measure, *sizes, clock=trio.testing.MockClock(autojump_threshold=0))
