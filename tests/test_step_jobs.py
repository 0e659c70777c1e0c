"""Step jobs over the real control code: run once, in order, whatever fails."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest
import trio

from hornbeamreach.control.state_machine import apply_command
from hornbeamreach.control.workload_commands import AcceptJob, RecordRuns
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.fleet.messages import QueueAction, QueueCall
from hornbeamreach.link.leader_finder import NoLeaderError
from hornbeamreach.standins.step_minions import STOP_MAX_MS
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.workload import RunEnd
from hornbeamreach.verdict import Reason

from . import builders
from .builders import step, step_job
from .fakes import run_virtual
from .step_fleet import StepFleet

Scenario = Callable[[StepFleet], Awaitable[None]]


def play(scenario: Scenario, *, seed: int = 1, **options: Any) -> StepFleet:
    """Play a scenario and check what the minions saw."""
    fleet = StepFleet(seed=seed, **options)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=seed)
    assert fleet.check_runs() == []
    return fleet


def job_id(number: int) -> str:
    return f"{number:016x}"


class TestCalmly:
    def test_steps_run_one_after_the_other(self):
        async def scenario(fleet: StepFleet) -> None:
            spec = step_job(step(4), step(8, after=(0,)), step(2, after=(0, 1)))
            await fleet.submit(job_id(1), spec)
            await fleet.wait_state(job_id(1), "completed")

        fleet = play(scenario)
        assert len(fleet.minions.history) == 14

    def test_a_job_handed_in_twice_is_one_job(self):
        async def scenario(fleet: StepFleet) -> None:
            for _ in range(3):
                answer = await fleet.submit(job_id(1), step_job(step(3)))
                assert answer.reason is None
            await fleet.wait_state(job_id(1), "completed")
            answer = await fleet.submit(job_id(1), step_job(step(3)))
            assert answer.reason is None

        assert len(play(scenario).minions.history) == 3

    def test_an_overloaded_pool_is_never_over_its_capacity(self):
        async def scenario(fleet: StepFleet) -> None:
            for number in range(12):
                await fleet.submit(job_id(number), step_job(step(20, cpu_millis=3_000)))
            for number in range(12):
                await fleet.wait_state(job_id(number), "completed")

        fleet = play(scenario)
        for run in fleet.minions.history:
            beside = [
                other
                for other in fleet.minions.history
                if other.minion == run.minion and other.began_ms <= run.began_ms < other.ended_ms
            ]
            assert sum(other.needs.cpu_millis for other in beside) <= 16_000

    def test_a_cancelled_job_stops_and_starts_nothing_more(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(4, lasting=True)))
            await trio.sleep(2)
            assert await fleet.state_of(job_id(1)) == "running"
            await fleet.call(QueueAction.CANCEL, job_id(1))
            await trio.sleep(1)
            assert await fleet.state_of(job_id(1)) == "cancelled"
            assert not any(minion.running for minion in fleet.minions.minions.values())

        assert len(play(scenario).minions.history) == 4

    def test_a_job_that_was_cancelled_before_it_came_never_runs(self):
        async def scenario(fleet: StepFleet) -> None:
            answer = await fleet.call(QueueAction.CANCEL, job_id(1))
            assert answer.reason is Reason.UNKNOWN_JOB
            answer = await fleet.submit(job_id(1), step_job())
            assert answer.reason is Reason.CANCELLED
            await trio.sleep(3)

        assert play(scenario).minions.history == []

    def test_a_task_that_always_fails_ends_its_job_after_all_attempts(self):
        async def scenario(fleet: StepFleet) -> None:
            for minion in fleet.minions.minions.values():
                minion.fails = True
            await fleet.submit(job_id(1), step_job(step(1), step(1, after=(0,))))
            await fleet.wait_state(job_id(1), "failed")
            await trio.sleep(2)

        assert len(play(scenario).minions.history) == 3

    def test_tasks_of_a_step_keep_apart(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(12, max_per_minion=1)))
            await fleet.wait_state(job_id(1), "completed")

        for run in play(scenario).minions.history:
            assert run.end is RunEnd.DONE

    def test_a_label_and_a_team_limit_hold(self):

        table = builders.step_table()
        row = table.teams["team-a"]

        table.teams["team-a"] = attrs.evolve(row, max_cpu_millis=4_000)

        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(20, required_label="r1-1")))
            await fleet.wait_state(job_id(1), "completed")

        fleet = play(scenario, table=table)
        for run in fleet.minions.history:
            assert fleet.minions.minions[run.minion].rack == "r1-1"
            beside = [
                other
                for other in fleet.minions.history
                if other.began_ms <= run.began_ms < other.ended_ms
            ]
            assert len(beside) <= 4

    def test_unknown_keys_and_queues_are_refused(self):
        async def scenario(fleet: StepFleet) -> None:
            answer = await fleet.call(QueueAction.READ, job_id(9))
            assert answer.reason is Reason.UNKNOWN_JOB

            wrong_key = QueueCall(
                action=QueueAction.READ, host="a.example", path="/jobs/1", key_hash="key-9"
            )
            found = await fleet.finder.send_request(wrong_key, timeout_ms=1_000)
            assert found.reply.reason is Reason.UNKNOWN_KEY
            elsewhere = QueueCall(
                action=QueueAction.READ, host="b.example", path="/jobs/1", key_hash="key-1"
            )
            found = await fleet.finder.send_request(elsewhere, timeout_ms=1_000)
            assert found.reply.reason is Reason.UNKNOWN_QUEUE

        play(scenario)


class TestForms:
    def test_a_gang_starts_together_or_not_at_all(self):
        async def scenario(fleet: StepFleet) -> None:
            gang = step(3, cpu_millis=16_000, gang=True)
            await fleet.submit(job_id(1), step_job(step(5, cpu_millis=16_000)), 2_000)
            await fleet.submit(job_id(2), step_job(gang))
            await fleet.wait_state(job_id(2), "completed")

        runs = [r for r in play(scenario).minions.history if r.task.startswith(job_id(2))]
        assert len(runs) == 3
        assert max(r.began_ms for r in runs) - min(r.began_ms for r in runs) < 200
        assert len({r.run for r in runs}) == 1

    def test_occurrences_begin_at_their_times(self):
        async def scenario(fleet: StepFleet) -> None:
            first_ms = fleet.clock.wall_ms() + 3_000
            spec = step_job(step(2), repetitions=3, first_due_ms=first_ms, interval_ms=2_000)
            fleet.first_ms = first_ms - fleet.clock.wall_ms() + trio.current_time() * 1_000
            await fleet.submit(job_id(1), spec)
            await fleet.wait_state(job_id(1), "completed")

        fleet = play(scenario)
        assert len(fleet.minions.history) == 6
        for run in fleet.minions.history:
            due_ms = fleet.first_ms + 2_000 * int(run.task.split(".")[1])
            assert 0 <= run.began_ms - due_ms < 500

    def test_only_minions_that_the_admission_service_allows_run_a_step(self):
        class Advice:
            asked: list[str] = []

            async def admitted(self, step: str, minions: list[str]) -> dict[str, str]:
                self.asked.append(step)
                await trio.sleep(0.05)
                return {"i-2": "ticket-2", "i-3": "ticket-3"}

        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(6), step(2, after=(0,))))
            await fleet.wait_state(job_id(1), "completed")

        advice = Advice()
        table = builders.step_table(advice_valid_ms=5_000, advice_decide_ms=50)
        fleet = play(scenario, table=table, advice=advice)
        assert {run.minion for run in fleet.minions.history} <= {"i-2", "i-3"}
        assert advice.asked == [f"{job_id(1)}.0.0", f"{job_id(1)}.0.1"]

    def test_a_checkpoint_is_carried_to_the_next_run(self):

        state = ControlState()
        name = job_id(1)
        accept = AcceptJob(
            job_id=name, queue="q", pool="p", team="t", spec=step_job(step(1)), at_ms=0
        )
        apply_command(state, 1, accept)
        start = RecordRuns(starts=[(name, "0.0.0", 1, "i-1", 1)])
        apply_command(state, 2, start)
        apply_command(state, 3, RecordRuns(ends=[(name, "0.0.0", 1, "stopped", "saved-7")]))
        task = state.workload.jobs[name].tasks["0.0.0"]
        assert (task.checkpoint, task.minion, task.failures) == ("saved-7", "", 0)


async def submit_many(fleet: StepFleet, count: int, first: int = 0) -> None:
    for number in range(first, first + count):
        await fleet.submit(job_id(number), step_job(step(5), step(4, after=(0,))))
        await trio.sleep(0.1)


async def wait_all(fleet: StepFleet, timeout_s: float = 90) -> None:
    for name in fleet.accepted:
        await fleet.wait_state(name, "completed", timeout_s)


class TestUnderFailure:
    @pytest.mark.parametrize("seed", range(3))
    def test_late_orders_run_nothing_twice(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.late_order_fraction = 0.1
            await submit_many(fleet, 20)
            fleet.minions.late_order_fraction = 0
            await wait_all(fleet)
            await trio.sleep(15)

        play(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_lost_answers_run_nothing_twice(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.lost_response_fraction = 0.1
            await submit_many(fleet, 20)
            fleet.minions.lost_response_fraction = 0
            await wait_all(fleet)

        play(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_minions_that_crash_and_come_back_under_their_id(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 6)
            fleet.minions.restart("i-1")
            fleet.minions.crash("i-2")
            await submit_many(fleet, 6, first=6)
            fleet.minions.restart("i-2")
            await wait_all(fleet)

        play(scenario, seed=seed)

    def test_a_lasting_task_of_a_minion_that_never_answers_again_starts_elsewhere(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(1, lasting=True)))
            await trio.sleep(3)
            fleet.minions.crash(fleet.minions.history[0].minion)
            await trio.sleep(9)
            assert len(fleet.minions.history) == 2

        play(scenario)

    @pytest.mark.parametrize("seed", range(3))
    def test_ends_of_an_earlier_life_cover_none_of_the_next(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 6)
            for address in fleet.addresses:
                fleet.sync_ms[address] = 500
            await trio.sleep(0.9)
            for name in ("i-1", "i-2", "i-3"):
                fleet.minions.restart(name)
            await trio.sleep(2)
            scheduler = fleet.control[await fleet.wait_leader()].service.scheduler
            assert scheduler is not None
            for minion in scheduler.books.minions.values():
                assert minion.recorded_end <= minion.listed_end
            for address in fleet.addresses:
                fleet.sync_ms[address] = 5
            await wait_all(fleet)

        play(scenario, seed=seed)

    def test_a_lease_of_an_earlier_leader_counts_although_its_report_was_old(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(1, lasting=True)))
            await trio.sleep(3)
            name = fleet.minions.history[0].minion
            # The next leader hears of the minion by a report that was long on its way.
            fleet.minions.minions[name].report_lag_ms = 3_500
            fleet.stop_control(await fleet.wait_leader())
            leader = await fleet.wait_leader()
            looked = False
            while not looked:
                scheduler = fleet.control[leader].service.scheduler
                minion = scheduler.books.minions.get(name) if scheduler else None
                looked = minion is not None and minion.polled_ms >= 0
                await trio.sleep(0.01)
            # Whichever replica carries the leader's orders.
            fleet.minions.partitions |= {(address, name) for address in fleet.addresses}
            await trio.sleep(8)
            assert len(fleet.minions.history) == 2

        play(scenario)

    def test_stops_under_way_cause_no_stream_of_looks(self):
        async def scenario(fleet: StepFleet) -> None:
            spec = step_job(step(6, lasting=True, max_per_minion=1))
            await fleet.submit(job_id(1), spec)
            await trio.sleep(3)
            earlier = fleet.minions.poll_count
            await fleet.call(QueueAction.CANCEL, job_id(1))
            await trio.sleep(1)
            assert all(run.end is RunEnd.STOPPED for run in fleet.minions.history)
            # One that waits, two around the answer, and one each 50 ms of the stop.
            assert fleet.minions.poll_count - earlier <= 6 * (3 + STOP_MAX_MS // 50)

        play(scenario)

    def test_a_life_that_ended_long_ago_is_forgotten(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(2)
            scheduler = fleet.control[await fleet.wait_leader()].service.scheduler
            assert scheduler is not None
            fleet.minions.crash("i-1")
            scheduler.end_of_life(scheduler.books.minions["i-1"], "moved")
            await trio.sleep(60)
            assert "i-1" in scheduler.books.minions
            await trio.sleep(80)
            assert "i-1" not in scheduler.books.minions
            assert "i-1" not in scheduler.watches

        play(scenario)

    def test_a_run_whose_order_is_just_going_out_holds_a_lease(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(1)))
            await fleet.wait_state(job_id(1), "completed")
            # All leases have run out by now, as nothing runs.
            await trio.sleep(20)
            leader = await fleet.wait_leader()
            scheduler = fleet.control[leader].service.scheduler
            assert scheduler is not None
            send = scheduler.orders._start

            async def send_after_a_tick(*arguments: Any) -> None:
                scheduler._tick()
                await send(*arguments)

            scheduler.orders._start = send_after_a_tick
            await fleet.submit(job_id(2), step_job(step(5)))
            await fleet.wait_state(job_id(2), "completed")

        assert len(play(scenario).minions.history) == 6

    def test_a_long_task_alone_in_its_step_is_let_be(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(1, estimate_ms=300)), 4_000)
            await fleet.wait_state(job_id(1), "completed")

        assert len(play(scenario).minions.history) == 1

    def test_tasks_that_stand_still_start_elsewhere(self):
        async def scenario(fleet: StepFleet) -> None:
            for name in ("i-1", "i-2"):
                fleet.minions.minions[name].stalls = True
            await fleet.submit(job_id(1), step_job(step(12, max_per_minion=2)))
            await fleet.wait_state(job_id(1), "completed", 15)

        play(scenario)

    @pytest.mark.parametrize("seed", range(4))
    def test_a_leader_that_loses_power_loses_no_accepted_job(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 5)
            leader = await fleet.wait_leader()
            fleet.stop_control(leader, power=True)
            await submit_many(fleet, 5, first=5)
            fleet.start_control(leader)
            await wait_all(fleet)

        play(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_minion_cut_from_the_leader_alone_runs_out_its_lease(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 5)
            leader = await fleet.wait_leader()
            fleet.minions.partitions.update((leader, f"i-{n}") for n in (1, 2))
            await submit_many(fleet, 5, first=5)
            await trio.sleep(9)
            fleet.minions.partitions.clear()
            await wait_all(fleet)

        play(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_leader_cut_from_the_others_gives_no_second_run(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 5)
            leader = await fleet.wait_leader()
            fleet.network.cut({leader}, set(fleet.addresses))
            await submit_many(fleet, 8, first=5)
            await trio.sleep(3)
            fleet.network.heal()
            await wait_all(fleet)

        play(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(4))
    def test_a_lease_that_lapses_for_a_moment_leaves_no_run_behind(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_leader()
            for number in range(10):
                await fleet.submit(job_id(number), step_job(step(9), step(9, after=(0,))), 300)
                # Longer than the leader's lease, shorter than most election timeouts.
                fleet.network.cut({leader}, set(fleet.addresses))
                await trio.sleep(0.8 + 0.05 * number)
                fleet.network.heal()
                await trio.sleep(0.4)
            await wait_all(fleet, 30)

        play(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_leader_whose_disk_turns_slow_hands_over(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_leader()
            fleet.sync_ms[leader] = 250
            await submit_many(fleet, 20)
            assert await fleet.wait_leader() != leader
            began_ms = fleet.clock.now_ms()
            await fleet.submit(job_id(50), step_job(step(1)))
            assert fleet.clock.now_ms() - began_ms < 100
            await wait_all(fleet)

        play(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_all_control_loses_power_at_once(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 8)
            for address in fleet.addresses:
                fleet.stop_control(address, power=True)
            await trio.sleep(2)
            for address in fleet.addresses:
                fleet.start_control(address)
            await wait_all(fleet)

        play(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_wiped_replica_joins_under_a_new_identity(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 5)
            leader = await fleet.wait_leader()
            fleet.stop_control(leader, wipe=True)
            await trio.sleep(1)
            fleet.start_control(leader)
            await submit_many(fleet, 5, first=5)
            await trio.sleep(4)
            members = fleet.control[await fleet.wait_leader()].replica.members()
            assert sorted(members.values()) == sorted(fleet.addresses)
            assert leader not in members
            other = next(a for a in fleet.addresses if a != leader)
            fleet.stop_control(other, wipe=True)
            await trio.sleep(1)
            await wait_all(fleet)

        play(scenario, seed=seed)

    def test_a_minority_that_missed_everything_does_not_win_beside_an_empty_disk(self):
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_leader()
            behind, wiped = [a for a in fleet.addresses if a != leader]
            fleet.stop_control(behind)
            await submit_many(fleet, 5)
            fleet.stop_control(wiped, wipe=True)
            fleet.stop_control(leader, power=True)
            fleet.start_control(behind)
            fleet.start_control(wiped)
            await trio.sleep(8)
            assert fleet.leader() is None
            with pytest.raises((NoLeaderError, RefusedError)):
                await fleet.call(QueueAction.READ, job_id(1))
            fleet.start_control(leader)
            await wait_all(fleet)

        play(scenario)


class TestGrowth:
    def test_further_replicas_are_found_and_become_five_members(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 2)
            for number in (4, 5, 6):
                fleet.start_control(f"10.0.{number}.1:7000")
            await trio.sleep(6)
            members = fleet.control[await fleet.wait_leader()].replica.members()
            assert len(members) == 5
            await wait_all(fleet)

        play(scenario)

    def test_a_member_that_is_gone_for_good_is_replaced(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 2)
            leader = await fleet.wait_leader()
            gone = next(a for a in fleet.addresses if a != leader)
            fleet.stop_control(gone, wipe=True)
            fleet.start_control("10.0.7.1:7000")
            await trio.sleep(6)
            members = fleet.control[await fleet.wait_leader()].replica.members()
            assert len(members) == 3
            assert gone not in members.values()

        play(scenario)
