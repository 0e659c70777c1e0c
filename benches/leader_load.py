"""Measure the processor time that the control leader spends for each run, by kind of work.

Runs three control replicas with the real code and simulated minions in virtual time. An
instrument of the event loop attributes the time of each task step that belongs to the leader to
the coroutine that the task began with. Run it with
`python -m benches.leader_load [MINIONS] [JOBS] [INTERVAL_MS] [CHARGE] [POLICY]` from the root of
the repository. With a CHARGE above 0, the leader's processor time, times CHARGE, passes in virtual
time too, so that the loop is late and busy as on a slower machine; POLICY is an overload policy.
"""

from __future__ import annotations

import random
import statistics
import sys
import time
from collections import Counter, deque
from typing import Any

import trio
import trio.testing

from hornbeamreach.clock import seconds
from hornbeamreach.logs import configure_logs
from hornbeamreach.systems.overload import overload_policies
from hornbeamreach.tables.workload import StepJobSpec, StepSpec
from tests.step_fleet import StepFleet

TASKS_PER_STEP = 8
ESTIMATE_MS = 800
SETTLING_MS = 3_000
JOB_TIMEOUT_S = 200
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
# Charged for each message that the leader sends or receives: in a profile of real processes 3,500
# of them took 1.8 times as long as planning 885 runs, which takes 0.3 ms a run here.
MESSAGE_MS = 0.14
# Minions, jobs, the time between two jobs, the charge, and the overload policy.
DEFAULTS = ("179", "300", "30", "0", "share_messages")


class ChargedIdleTime:
    """Count all virtual time as idle that isn't charged to the leader."""

    def __init__(self) -> None:
        self.charged_s = 0.0

    @property
    def total_ms(self) -> int:
        """Return the idle time so far."""
        return round((trio.current_time() - self.charged_s) * 1_000)


class LeaderMeter(trio.abc.Instrument):
    """Sum the time of the leader's task steps by the coroutine that a task runs."""

    def __init__(
        self, fleet: StepFleet, leader: str, clock: trio.testing.MockClock, charge: float
    ) -> None:
        self.fleet = fleet
        self.clock = clock
        self.charge = charge
        self.idle = ChargedIdleTime()
        self.messages = 0
        self.charged_messages = 0
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
            self.messages += is_ours or frame.f_locals["self"].address == self.leader
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
            if self.charge:
                new = self.messages - self.charged_messages
                self.charged_messages = self.messages
                charged_s = self.charge * (took_ns / NS_PER_S + seconds(new * MESSAGE_MS))
                self.idle.charged_s += charged_s
                self.clock.jump(charged_s)

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


async def _run_load(
    fleet: StepFleet, jobs: int, interval_ms: int, rng: random.Random
) -> dict[str, float]:
    """Run the load and return when each job was accepted, in seconds."""
    accepted: dict[str, float] = {}

    async def submit(number: int) -> None:
        job_id = f"job-{number}"
        spec, work_ms = _job(rng), rng.uniform(600, 900)
        while (await fleet.submit(job_id, spec, work_ms=work_ms)).reason is not None:
            # Refused for load: the job would wait in vain to be completed.
            await trio.sleep(seconds(1_000))
        accepted[job_id] = trio.current_time()
        with trio.fail_after(JOB_TIMEOUT_S):
            while await fleet.job_state(job_id) != "completed":
                await trio.sleep(seconds(1_000))

    async with trio.open_nursery() as nursery:
        for number in range(jobs):
            nursery.start_soon(submit, number)
            await trio.sleep(seconds(interval_ms))
    return accepted


def _unused_ms(fleet: StepFleet) -> list[float]:
    """Return the time from each end of a run to the next start on its minion, in order."""
    events: dict[str, list[tuple[float, bool]]] = {}
    for run in fleet.minions.history:
        events.setdefault(run.minion, []).append((run.began_ms, True))
        if run.ended_ms is not None:
            events[run.minion].append((run.ended_ms, False))
    unused: list[float] = []
    for of_minion in events.values():
        ends: deque[float] = deque()
        for at_ms, is_start in sorted(of_minion):
            if not is_start:
                ends.append(at_ms)
            elif ends:
                unused.append(at_ms - ends.popleft())
    return sorted(unused)


def _print_waits(fleet: StepFleet, accepted: dict[str, float]) -> None:
    first_start: dict[str, float] = {}
    for run in fleet.minions.history:
        job_id = run.task.partition(".")[0]
        first_start[job_id] = min(first_start.get(job_id, run.began_ms), run.began_ms)
    waits = sorted(max(0.0, first_start[j] - 1_000 * at_s) for j, at_s in accepted.items())
    history = fleet.minions.history
    span_ms = max(r.ended_ms or 0 for r in history) - min(r.began_ms for r in history)
    unused = _unused_ms(fleet)
    for name, values in (("first start", waits), ("end to next start", unused)):
        if values:
            print(
                f"{name}: median {statistics.median(values):.0f} ms, mean"
                f" {statistics.fmean(values):.0f} ms, 95 % {values[len(values) * 95 // 100]:.0f} ms"
            )
    print(f"all runs within {span_ms:.0f} ms")


async def measure(
    minions: int,
    jobs: int,
    interval_ms: int,
    charge: float,
    policy: str,
    clock: trio.testing.MockClock,
) -> None:
    """Run the load and print the leader's time by kind of work."""
    rng = random.Random(3)
    fleet = StepFleet(minion_count=minions, relayed=True)
    async with trio.open_nursery() as nursery:
        await fleet.start(nursery)
        scheduler = await fleet.wait_for_scheduler()
        await trio.sleep(seconds(SETTLING_MS))
        leader = await fleet.wait_for_leader()
        meter = LeaderMeter(fleet, leader, clock, charge)
        scheduler.overload = overload_policies.get(policy)
        scheduler.loop_lag.idle = meter.idle
        process = fleet.control[leader]
        process.minion_port.batch_pause_ms = process.service.relay_pause_ms
        trio.lowlevel.add_instrument(meter)
        began_s, polls = trio.current_time(), fleet.minions.poll_count
        accepted = await _run_load(fleet, jobs, interval_ms, rng)
        trio.lowlevel.remove_instrument(meter)
        runs = len(fleet.minions.history)
        total_ms = sum(meter.took_ns.values()) / NS_PER_MS
        print(f"{minions} minions, {runs} runs, violations {fleet.find_violations()[:2]}")
        print(f"{total_ms / runs:.3f} ms of the leader per run")
        if charge:
            busy = meter.idle.charged_s / (trio.current_time() - began_s)
            polls = fleet.minions.poll_count - polls
            print(
                f"policy {policy}, charge {charge}: busy {busy:.2f}, {polls / runs:.2f} polls and"
                f" {meter.messages / runs:.2f} messages a run"
            )
            _print_waits(fleet, accepted)
            nursery.cancel_scope.cancel()
            return
        for name, took_ns in meter.took_ns.most_common(20):
            print(
                f"{took_ns / NS_PER_MS / runs:8.4f} ms a run {meter.steps[name] / runs:7.2f} steps"
                f" {meter.longest_ns[name] / NS_PER_MS:7.2f} ms longest  {name}"
            )
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the measurement with the sizes of the command line."""
    configure_logs(level="ERROR")
    values = (*sys.argv[1:], *DEFAULTS[len(sys.argv) - 1 :])
    minions, jobs, interval_ms = (int(value) for value in values[:3])
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(measure, minions, jobs, interval_ms, float(values[3]), values[4], clock, clock=clock)


if __name__ == "__main__":
    main()
