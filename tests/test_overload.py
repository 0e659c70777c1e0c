"""Lag of the event loop, and the work that the scheduler leaves out because of it."""

from __future__ import annotations

import contextlib
from types import SimpleNamespace

import pytest
import trio

from hornbeamreach.clock import Clock
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.fleet.loop_lag import INTERVAL_MS, WINDOW_MS, LoopIdleTime, LoopLag
from hornbeamreach.fleet.messages import DeclareRequest
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.link.leader_finder import NoLeaderError
from hornbeamreach.metrics import Metrics
from hornbeamreach.systems.overload import Effort, PollState, overload_policies, poll_delay_ms

from . import builders
from .fakes import run_virtual
from .step_fleet import StepFleet
from .test_step_jobs import run_scenario

LEASE_MS = 4_000
# Processor time of one poll.
POLL_MS = 0.35
MINIONS = 179
ENDS = 400


def replay_polls(policy: str, duration_ms: int = 4_000) -> tuple[float, int]:
    """Poll busy minions from a loop that is late by its backlog of polls.

    Return the lag at the end, and the shortest lease left.
    """
    leases = [LEASE_MS * number // MINIONS for number in range(MINIONS)]
    leases = [max(left, LEASE_MS // 2) for left in leases]
    waited = [0] * MINIONS
    backlog_ms, shortest = 400.0, LEASE_MS
    step_ms = 50
    for _ in range(0, duration_ms, step_ms):
        backlog_ms = max(0.0, backlog_ms - step_ms)
        effort = overload_policies.get(policy)(int(backlog_ms))
        for number in range(MINIONS):
            leases[number] -= step_ms
            waited[number] += step_ms
            shortest = min(shortest, leases[number])
            state = PollState(
                unsettled=False,
                lease_left_ms=leases[number],
                lease_ms=LEASE_MS,
                lag_ms=int(backlog_ms),
                waited_ms=waited[number],
            )
            if not poll_delay_ms(effort, state):
                leases[number], waited[number] = LEASE_MS, 0
                backlog_ms += POLL_MS
    return backlog_ms, shortest


def replay_ends(policy: str, *, busy_share: float) -> tuple[float, int]:
    """Poll a minion on which a run ends each 50 ms.

    Return how long an end isn't noticed on average, in ms, and the number of polls.
    """
    effort = overload_policies.get(policy)(0, busy_share)
    unnoticed: list[int] = []
    delays: list[int] = []
    polls = poll_began_ms = 0
    for now_ms in range(ENDS * 50):
        if now_ms % 50 == 25:
            unnoticed.append(now_ms)
        state = PollState(
            unsettled=False,
            lease_left_ms=LEASE_MS,
            lease_ms=LEASE_MS,
            lag_ms=0,
            waited_ms=now_ms - poll_began_ms,
        )
        # A poll lasts until a run ends.
        if unnoticed and not poll_delay_ms(effort, state):
            delays += [now_ms - end_ms for end_ms in unnoticed]
            unnoticed, polls, poll_began_ms = [], polls + 1, now_ms
    return sum(delays) / len(delays), polls


class TestPollsUnderLag:
    def test_polls_give_way_to_a_backlog_and_leases_are_renewed_in_time(self):
        """Guards against polls that keep the loop late, and against runs killed by that."""
        baseline_lag_ms, _ = replay_polls("none")
        lag_ms, shortest_lease_ms = replay_polls("by_lag")
        assert baseline_lag_ms > 1_000
        assert lag_ms < 300
        assert shortest_lease_ms > LEASE_MS // 4

    def test_a_lease_is_renewed_however_late_the_loop_is(self):
        """Guards against a renewal that is due only when the late timer fires."""
        for lag_ms in (0, 400, 3_000, 60_000):
            effort = overload_policies.get("by_lag")(lag_ms)
            state = PollState(
                unsettled=False, lease_left_ms=1_999, lease_ms=LEASE_MS, lag_ms=lag_ms
            )
            assert poll_delay_ms(effort, state) == 0

    def test_polls_pause_while_a_loop_in_time_is_busy(self):
        """Guards against a backlog in the sockets that the lag of timers doesn't show."""
        by_lag, by_load = overload_policies.get("by_lag"), overload_policies.get("by_load")
        assert by_lag(20, 1.0).poll_pause_ms == 0
        pauses = [by_load(20, share).poll_pause_ms for share in (0.5, 0.8, 0.9, 1.0)]
        assert pauses == sorted(pauses) and pauses[0] == 0 < pauses[1] and pauses[-1] <= 300
        assert by_load(500, 0.0) == by_lag(500)
        assert by_load(20, 1.0).relay_pause_ms > by_load(20, 0.8).relay_pause_ms > 0

    def test_a_busy_loop_in_time_leaves_the_room_of_ended_runs_unused_for_no_pause(self):
        """Guards against pauses that cost callers more than they save the leader."""
        paused_ms, few_polls = replay_ends("by_load", busy_share=0.85)
        unpaused_ms, polls = replay_ends("share_messages", busy_share=0.85)
        assert paused_ms > 60 and unpaused_ms < 5
        # Each ms of processor time that the pauses save leaves the room of a run unused for 50 ms.
        saved_ms = (polls - few_polls) * POLL_MS
        assert ENDS * (paused_ms - unpaused_ms) > 50 * saved_ms

    def test_calls_share_messages_while_busy_and_polls_give_way_to_lag_only(self):
        share_messages = overload_policies.get("share_messages")
        pauses = [share_messages(20, share).relay_pause_ms for share in (0.5, 0.8, 0.9, 1.0)]
        assert pauses == sorted(pauses) and pauses[0] == 0 < pauses[1] and pauses[-1] <= 20
        assert [share_messages(20, share).relays_all for share in (0.5, 0.8, 0.9)] == [
            False,
            False,
            True,
        ]
        assert not share_messages(20, 1.0).delays_polls
        for lag_ms in (60, 200, 500, 3_000):
            assert share_messages(lag_ms) == overload_policies.get("by_lag")(lag_ms)
            assert share_messages(lag_ms, 1.0).delays_polls

    def test_an_effort_that_delays_no_poll_is_the_same_for_each_state(self):
        """Guards against a poll that the short cut for idle loops sends too early."""
        for effort in (Effort(), Effort(poll_pause_ms=40), Effort(urgent_polls_only=True)):
            delays = [
                poll_delay_ms(
                    effort,
                    PollState(
                        unsettled=unsettled, lease_left_ms=left_ms, lease_ms=LEASE_MS, lag_ms=0
                    ),
                )
                for unsettled in (False, True)
                for left_ms in (None, 0, 1_000, LEASE_MS)
            ]
            assert any(delays) == effort.delays_polls

    def test_a_loop_that_is_in_time_does_all_work(self):
        assert overload_policies.get("by_lag")(20) == overload_policies.get("none")(20)


class TestLoopLag:
    def test_lag_is_the_maximum_of_the_last_second(self):
        now_ms = [0]
        lag = LoopLag(clock=Clock(monotonic=lambda: now_ms[0]), metrics=Metrics())
        lag.due_ms = INTERVAL_MS
        now_ms[0] = INTERVAL_MS + 700
        assert lag.lag_ms == 700, "a timer that is due counts before it fires"
        lag.record(now_ms[0])
        lag.due_ms = now_ms[0] + INTERVAL_MS
        now_ms[0] += INTERVAL_MS + 10
        lag.record(now_ms[0])
        lag.due_ms = None
        assert lag.lag_ms == 700
        now_ms[0] += WINDOW_MS - 20
        assert lag.lag_ms == 10

    def test_a_loop_that_hardly_waits_is_busy_though_its_timers_are_in_time(self):
        now_ms = [0]
        clock = Clock(monotonic=lambda: now_ms[0])
        idle = LoopIdleTime(clock=clock)
        lag = LoopLag(clock=clock, metrics=Metrics(), idle=idle)
        lag.idle_samples.append((0, 0))
        for waited_ms, worked_ms, share in ((950, 50, 0.05), (50, 950, 0.5)):
            idle.before_io_wait(1.0)
            now_ms[0] += waited_ms
            idle.after_io_wait(1.0)
            now_ms[0] += worked_ms
            assert lag.busy_share == pytest.approx(share)
        lag.idle_samples[0] = (1_000, 950)
        assert lag.busy_share == pytest.approx(0.95)
        assert lag.lag_ms == 0


class TestFleetUnderLag:
    def test_runs_outlive_a_loop_that_stays_late(self):
        """Guards against leases that lapse, and tasks that don't end, while polls are rare."""

        async def scenario() -> None:
            fleet = StepFleet(minion_count=4)
            async with trio.open_nursery() as nursery:
                await fleet.start(nursery)
                scheduler = await fleet.wait_for_scheduler()
                scheduler.loop_lag.late.append((1 << 40, 500))
                assert scheduler.effort().urgent_polls_only
                await fleet.submit("job-1", builders.step_job(builders.step(8)), 9_000)
                polls_before = fleet.minions.poll_count
                await fleet.wait_for_state("job-1", "completed")
                polls = fleet.minions.poll_count - polls_before
                assert polls < 4 * 12
                assert len(fleet.minions.history) == 8
                assert not fleet.find_violations()
                nursery.cancel_scope.cancel()

        run_virtual(scenario)


class TestPlanningSlices:
    def test_starts_of_a_slice_are_proposed_and_the_loop_runs_before_the_next(self):
        """Guards against a pass that delays heartbeats and answers for its whole length."""

        async def scenario() -> list[str]:
            fleet, events = StepFleet(minion_count=2), []
            async with trio.open_nursery() as nursery:
                await fleet.start(nursery)
                scheduler = await fleet.wait_for_scheduler()
                submit = scheduler.replica.submit

                async def note_loop() -> None:
                    events.append("loop")

                class OneStepPlanner(Planner):
                    def plan_slice(self, now_ms, wall_ms, is_over):
                        nursery.start_soon(note_loop)
                        starts = super().plan_slice(now_ms, wall_ms, lambda: True)
                        events.extend(["slice"] if starts else [])
                        return starts

                def note_submit(command):
                    events.extend(["proposed"] if getattr(command, "starts", None) else [])
                    return submit(command)

                scheduler.planner = OneStepPlanner(fleet=scheduler.fleet)
                scheduler.replica.submit = note_submit
                for number in range(6):
                    nursery.start_soon(
                        fleet.submit, f"job-{number}", builders.step_job(builders.step(1))
                    )
                for number in range(6):
                    await fleet.wait_for_state(f"job-{number}", "completed")
                assert not fleet.find_violations()
                nursery.cancel_scope.cancel()
            return events

        events = run_virtual(scenario)
        slices = [index for index, event in enumerate(events) if event == "slice"]
        assert len(slices) == 6
        for index, following in zip(slices, slices[1:], strict=False):
            assert events[index + 1] == "proposed"
            assert "loop" in events[index:following]


class TestDeclarations:
    @pytest.mark.parametrize("seed", range(3))
    def test_a_repeat_is_acknowledged_while_a_commit_takes_longer_than_a_call(self, seed):
        """Guards against a repeat that waits for another commit, and times out like the first."""

        async def scenario(fleet: StepFleet) -> None:
            await fleet.wait_for_scheduler()
            for address in fleet.addresses:
                fleet.sync_duration_ms[address] = 1_000
            request = DeclareRequest(version=2, text=b"2", table=fleet.table, keys={})
            with trio.fail_after(5):
                while True:
                    with contextlib.suppress(NoLeaderError, RefusedError):
                        await fleet.finder.send_request(request, timeout_ms=900)
                        break
                    await trio.sleep(0.1)
            leader = fleet.control[await fleet.wait_for_leader()]
            assert leader.replica.state.workload.declared_version == 2

        run_scenario(scenario, seed=seed)

    def test_planning_and_polls_of_a_busy_loop_wait_for_a_declaration(self):
        """Guards against a declaration that is served only after a whole planning pass."""

        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            for address in fleet.addresses:
                fleet.sync_duration_ms[address] = 200
            passes: list[int] = []
            plan_slice = scheduler._plan_slice

            def record(*, begins: bool) -> None:
                passes.append(fleet.clock.now_ms())
                plan_slice(begins=begins)

            scheduler._plan_slice = record
            busy = SimpleNamespace(lag_ms=200, busy_share=1.0, run=scheduler.loop_lag.run)
            scheduler.loop_lag = busy
            assert not scheduler.effort().urgent_polls_only
            began_ms = fleet.clock.now_ms()

            async def keep_planning() -> None:
                while True:
                    scheduler.notify()
                    await trio.sleep(0.01)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(keep_planning)
                nursery.start_soon(fleet.declare, 2)
                await trio.sleep(0.1)
                assert scheduler.effort().urgent_polls_only
                await trio.sleep(2)
                nursery.cancel_scope.cancel()
            # A pass may have begun to wait for its changes before the request arrived.
            assert not [at for at in passes if began_ms + 15 < at < began_ms + 200]
            assert [at for at in passes if at > began_ms + 500]
            assert not scheduler.effort().urgent_polls_only

        run_scenario(scenario)
