"""Step jobs run exactly once and in dependency order, also while components fail."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest
import trio

from hornbeamreach.control.log_application import decode_command
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


def run_scenario(scenario: Scenario, *, seed: int = 1, **options: Any) -> StepFleet:
    """Run a scenario and check that the minions' history breaks no scheduling rule."""
    fleet = StepFleet(seed=seed, **options)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=seed)
    assert fleet.find_violations() == []
    return fleet


def job_id(number: int) -> str:
    return f"{number:016x}"


class TestWithoutFailures:
    def test_steps_run_in_dependency_order(self):
        async def scenario(fleet: StepFleet) -> None:
            spec = step_job(step(4), step(8, after=(0,)), step(2, after=(0, 1)))
            await fleet.submit(job_id(1), spec)
            await fleet.wait_for_state(job_id(1), "completed")

        fleet = run_scenario(scenario)
        assert len(fleet.minions.history) == 14

    def test_repeated_submissions_add_one_entry_to_the_log(self):
        """Callers repeat most when the leader is slow, so repeats must cost it little."""

        async def scenario(fleet: StepFleet) -> None:
            replica = (await fleet.wait_for_scheduler()).replica
            async with trio.open_nursery() as callers:
                for _ in range(5):
                    callers.start_soon(fleet.submit, job_id(1), step_job(step(1)))
            await fleet.submit(job_id(1), step_job(step(1)))
            commands = [decode_command(entry) for entry in replica.core.log.entries]
            assert [type(command) for command in commands].count(AcceptJob) == 1

        run_scenario(scenario)

    def test_a_job_submitted_twice_runs_once(self):
        async def scenario(fleet: StepFleet) -> None:
            for _ in range(3):
                reply = await fleet.submit(job_id(1), step_job(step(3)))
                assert reply.reason is None
            await fleet.wait_for_state(job_id(1), "completed")
            reply = await fleet.submit(job_id(1), step_job(step(3)))
            assert reply.reason is None

        assert len(run_scenario(scenario).minions.history) == 3

    def test_an_overloaded_pool_stays_within_its_capacity(self):
        async def scenario(fleet: StepFleet) -> None:
            for number in range(12):
                await fleet.submit(job_id(number), step_job(step(20, cpu_millis=3_000)))
            for number in range(12):
                await fleet.wait_for_state(job_id(number), "completed")

        fleet = run_scenario(scenario)
        for run in fleet.minions.history:
            concurrent = [
                other
                for other in fleet.minions.history
                if other.minion == run.minion and other.began_ms <= run.began_ms < other.ended_ms
            ]
            assert sum(other.needs.cpu_millis for other in concurrent) <= 16_000

    def test_a_cancelled_job_stops_its_runs_and_starts_no_others(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(4, lasting=True)))
            await trio.sleep(2)
            assert await fleet.job_state(job_id(1)) == "running"
            await fleet.call(QueueAction.CANCEL, job_id(1))
            await trio.sleep(1)
            assert await fleet.job_state(job_id(1)) == "cancelled"
            assert not any(minion.running for minion in fleet.minions.minions.values())

        assert len(run_scenario(scenario).minions.history) == 4

    def test_a_job_cancelled_before_its_submission_never_runs(self):
        async def scenario(fleet: StepFleet) -> None:
            reply = await fleet.call(QueueAction.CANCEL, job_id(1))
            assert reply.reason is Reason.UNKNOWN_JOB
            reply = await fleet.submit(job_id(1), step_job())
            assert reply.reason is Reason.CANCELLED
            await trio.sleep(3)

        assert run_scenario(scenario).minions.history == []

    def test_a_job_fails_when_a_task_has_used_all_attempts(self):
        async def scenario(fleet: StepFleet) -> None:
            for minion in fleet.minions.minions.values():
                minion.fails = True
            await fleet.submit(job_id(1), step_job(step(1), step(1, after=(0,))))
            await fleet.wait_for_state(job_id(1), "failed")
            await trio.sleep(2)

        assert len(run_scenario(scenario).minions.history) == 3

    def test_a_step_with_more_tasks_than_minions_completes_under_anti_affinity(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(12, max_per_minion=1)))
            await fleet.wait_for_state(job_id(1), "completed")

        for run in run_scenario(scenario).minions.history:
            assert run.end is RunEnd.DONE

    def test_required_labels_and_team_limits_are_enforced(self):
        table = builders.step_table()
        row = table.teams["team-a"]
        table.teams["team-a"] = attrs.evolve(row, max_cpu_millis=4_000)

        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(20, required_label="r1-1")))
            await fleet.wait_for_state(job_id(1), "completed")

        fleet = run_scenario(scenario, table=table)
        for run in fleet.minions.history:
            assert fleet.minions.minions[run.minion].rack == "r1-1"
            concurrent = [
                other
                for other in fleet.minions.history
                if other.began_ms <= run.began_ms < other.ended_ms
            ]
            assert len(concurrent) <= 4

    def test_unknown_jobs_keys_and_queues_are_refused(self):
        async def scenario(fleet: StepFleet) -> None:
            reply = await fleet.call(QueueAction.READ, job_id(9))
            assert reply.reason is Reason.UNKNOWN_JOB

            wrong_key = QueueCall(
                action=QueueAction.READ, host="a.example", path="/jobs/1", key_hash="key-9"
            )
            result = await fleet.finder.send_request(wrong_key, timeout_ms=1_000)
            assert result.reply.reason is Reason.UNKNOWN_KEY
            wrong_host = QueueCall(
                action=QueueAction.READ, host="b.example", path="/jobs/1", key_hash="key-1"
            )
            result = await fleet.finder.send_request(wrong_host, timeout_ms=1_000)
            assert result.reply.reason is Reason.UNKNOWN_QUEUE

        run_scenario(scenario)


class TestStepOptions:
    def test_a_gang_starts_together_or_not_at_all(self):
        async def scenario(fleet: StepFleet) -> None:
            gang = step(3, cpu_millis=16_000, gang=True)
            await fleet.submit(job_id(1), step_job(step(5, cpu_millis=16_000)), 2_000)
            await fleet.submit(job_id(2), step_job(gang))
            await fleet.wait_for_state(job_id(2), "completed")

        runs = [r for r in run_scenario(scenario).minions.history if r.task.startswith(job_id(2))]
        assert len(runs) == 3
        assert max(r.began_ms for r in runs) - min(r.began_ms for r in runs) < 200
        assert len({r.run for r in runs}) == 1

    def test_occurrences_start_at_their_due_times(self):
        async def scenario(fleet: StepFleet) -> None:
            first_ms = fleet.clock.wall_ms() + 3_000
            spec = step_job(step(2), repetitions=3, first_due_ms=first_ms, interval_ms=2_000)
            fleet.first_ms = first_ms - fleet.clock.wall_ms() + trio.current_time() * 1_000
            await fleet.submit(job_id(1), spec)
            await fleet.wait_for_state(job_id(1), "completed")

        fleet = run_scenario(scenario)
        assert len(fleet.minions.history) == 6
        for run in fleet.minions.history:
            due_ms = fleet.first_ms + 2_000 * int(run.task.split(".")[1])
            assert 0 <= run.began_ms - due_ms < 500

    def test_steps_run_only_on_minions_that_the_admission_service_admits(self):
        class FakeAdmission:
            requested_steps: list[str] = []

            async def request_tickets(self, step: str, minions: list[str]) -> dict[str, str]:
                self.requested_steps.append(step)
                await trio.sleep(0.05)
                return {"i-2": "ticket-2", "i-3": "ticket-3"}

        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(6), step(2, after=(0,))))
            await fleet.wait_for_state(job_id(1), "completed")

        admission = FakeAdmission()
        table = builders.step_table(advice_valid_ms=5_000, advice_decide_ms=50)
        fleet = run_scenario(scenario, table=table, admission=admission)
        assert {run.minion for run in fleet.minions.history} <= {"i-2", "i-3"}
        assert admission.requested_steps == [f"{job_id(1)}.0.0", f"{job_id(1)}.0.1"]

    def test_a_checkpoint_is_kept_for_the_next_run(self):
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


async def submit_jobs(fleet: StepFleet, count: int, first: int = 0) -> None:
    for number in range(first, first + count):
        await fleet.submit(job_id(number), step_job(step(5), step(4, after=(0,))))
        await trio.sleep(0.1)


async def wait_for_jobs(fleet: StepFleet, timeout_s: float = 90) -> None:
    for name in fleet.accepted_jobs:
        await fleet.wait_for_state(name, "completed", timeout_s)


class TestFailures:
    @pytest.mark.parametrize("seed", range(3))
    def test_delayed_orders_start_no_task_twice(self, seed):
        # A delayed order may arrive after the leader has started the task elsewhere.
        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.late_order_fraction = 0.1
            await submit_jobs(fleet, 20)
            fleet.minions.late_order_fraction = 0
            await wait_for_jobs(fleet)
            await trio.sleep(15)

        run_scenario(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_lost_replies_start_no_task_twice(self, seed):
        # The minion carries out the order, but the leader does not learn the outcome.
        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.lost_response_fraction = 0.1
            await submit_jobs(fleet, 20)
            fleet.minions.lost_response_fraction = 0
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_jobs_complete_when_minions_crash_and_restart_under_the_same_id(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_jobs(fleet, 6)
            fleet.minions.restart("i-1")
            fleet.minions.crash("i-2")
            await submit_jobs(fleet, 6, first=6)
            fleet.minions.restart("i-2")
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=seed)

    def test_a_long_running_task_restarts_elsewhere_when_its_minion_stays_silent(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(1, lasting=True)))
            await trio.sleep(3)
            fleet.minions.crash(fleet.minions.history[0].minion)
            await trio.sleep(9)
            assert len(fleet.minions.history) == 2

        run_scenario(scenario)

    @pytest.mark.parametrize("seed", range(3))
    def test_ends_of_an_earlier_incarnation_acknowledge_none_of_the_next(self, seed):
        # Each incarnation numbers its ends from 1. Slow disks delay the commit of the earlier
        # incarnation's ends until the next one has begun.
        async def scenario(fleet: StepFleet) -> None:
            await submit_jobs(fleet, 6)
            for address in fleet.addresses:
                fleet.sync_duration_ms[address] = 500
            await trio.sleep(0.9)
            for name in ("i-1", "i-2", "i-3"):
                fleet.minions.restart(name)
            await trio.sleep(2)
            scheduler = await fleet.wait_for_scheduler()
            for minion in scheduler.fleet.minions.values():
                assert minion.recorded_end <= minion.listed_end
            for address in fleet.addresses:
                fleet.sync_duration_ms[address] = 5
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=seed)

    def test_a_lease_from_an_earlier_leader_is_honoured_after_a_delayed_report(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(1, lasting=True)))
            await trio.sleep(3)
            name = fleet.minions.history[0].minion
            # The next leader learns of the minion from a report that was delayed.
            fleet.minions.minions[name].report_lag_ms = 3_500
            fleet.kill_control(await fleet.wait_for_leader())
            leader = await fleet.wait_for_leader()
            polled = False
            while not polled:
                scheduler = fleet.control[leader].service.scheduler
                minion = scheduler.fleet.minions.get(name) if scheduler else None
                polled = minion is not None and minion.polled_ms >= 0
                await trio.sleep(0.01)
            # Any replica may relay the leader's orders.
            fleet.minions.partitions |= {(address, name) for address in fleet.addresses}
            await trio.sleep(8)
            assert len(fleet.minions.history) == 2

        run_scenario(scenario)

    def test_pending_stops_cause_a_bounded_number_of_polls(self):
        async def scenario(fleet: StepFleet) -> None:
            spec = step_job(step(6, lasting=True, max_per_minion=1))
            await fleet.submit(job_id(1), spec)
            await trio.sleep(3)
            polls_before = fleet.minions.poll_count
            await fleet.call(QueueAction.CANCEL, job_id(1))
            await trio.sleep(1)
            assert all(run.end is RunEnd.STOPPED for run in fleet.minions.history)
            # One waiting poll, two around the reply, and one every 50 ms while the run stops.
            assert fleet.minions.poll_count - polls_before <= 6 * (3 + STOP_MAX_MS // 50)

        run_scenario(scenario)

    def test_a_minion_that_refused_a_fencing_token_gets_work_again(self):
        # It stayed cordoned for the rest of the term, so its pool lost room.
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(2)
            fleet.minions.minions["i-1"].token += 2
            await fleet.submit(job_id(1), step_job(step(1)))
            await fleet.wait_for_state(job_id(1), "completed")

        run_scenario(scenario, minion_count=1)

    def test_an_incarnation_that_ended_long_ago_is_forgotten(self):
        async def scenario(fleet: StepFleet) -> None:
            await trio.sleep(2)
            scheduler = fleet.control[await fleet.wait_for_leader()].service.scheduler
            assert scheduler is not None
            fleet.minions.crash("i-1")
            scheduler.mark_minion_gone(scheduler.fleet.minions["i-1"], "moved")
            await trio.sleep(60)
            assert "i-1" in scheduler.fleet.minions
            await trio.sleep(80)
            assert "i-1" not in scheduler.fleet.minions
            assert "i-1" not in scheduler.pollers

        run_scenario(scenario)

    def test_a_run_holds_a_lease_while_its_order_is_being_sent(self):
        # A tick between reservation and order must not treat the run as one whose lease has lapsed.
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(1)))
            await fleet.wait_for_state(job_id(1), "completed")
            # Nothing runs, so all leases lapse.
            await trio.sleep(20)
            leader = await fleet.wait_for_leader()
            scheduler = fleet.control[leader].service.scheduler
            assert scheduler is not None
            send_start = scheduler.orders._start

            async def start_after_tick(*arguments: Any) -> None:
                scheduler._tick()
                await send_start(*arguments)

            scheduler.orders._start = start_after_tick
            await fleet.submit(job_id(2), step_job(step(5)))
            await fleet.wait_for_state(job_id(2), "completed")

        assert len(run_scenario(scenario).minions.history) == 6

    def test_a_single_task_that_exceeds_its_estimate_is_not_restarted(self):
        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(1, estimate_ms=300)), 4_000)
            await fleet.wait_for_state(job_id(1), "completed")

        assert len(run_scenario(scenario).minions.history) == 1

    def test_stalled_tasks_restart_elsewhere(self):
        async def scenario(fleet: StepFleet) -> None:
            for name in ("i-1", "i-2"):
                fleet.minions.minions[name].stalls = True
            await fleet.submit(job_id(1), step_job(step(12, max_per_minion=2)))
            await fleet.wait_for_state(job_id(1), "completed", 15)

        run_scenario(scenario)

    @pytest.mark.parametrize("seed", range(4))
    def test_a_leader_that_loses_power_loses_no_accepted_job(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_jobs(fleet, 5)
            leader = await fleet.wait_for_leader()
            fleet.kill_control(leader, power_loss=True)
            await submit_jobs(fleet, 5, first=5)
            fleet.start_control(leader)
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_minion_cut_off_from_only_the_leader_lets_its_lease_lapse(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_jobs(fleet, 5)
            leader = await fleet.wait_for_leader()
            fleet.minions.partitions.update((leader, f"i-{n}") for n in (1, 2))
            await submit_jobs(fleet, 5, first=5)
            await trio.sleep(9)
            fleet.minions.partitions.clear()
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_partitioned_leader_starts_no_task_twice(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_jobs(fleet, 5)
            leader = await fleet.wait_for_leader()
            fleet.network.partition({leader}, set(fleet.addresses))
            await submit_jobs(fleet, 8, first=5)
            await trio.sleep(3)
            fleet.network.heal()
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=seed)

    def test_a_job_committed_after_a_brief_lapse_of_the_lease_runs(self):
        # The next scheduler of the same term copies the state while the job is not committed yet.
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            for address in fleet.addresses:
                fleet.sync_duration_ms[address] = 50
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(fleet.submit, job_id(number), step_job(step(2)))
                    await trio.sleep(0.005)
                    scheduler = fleet.control[leader].service.scheduler
                    if number % 5 == 0 and scheduler is not None:
                        # What a lapse of the lease for a moment leaves behind.
                        scheduler.deposed = True
                    await trio.sleep(0.1)
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=1)

    @pytest.mark.parametrize("seed", range(4))
    def test_a_brief_lapse_of_the_leader_lease_strands_no_run(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            for number in range(10):
                await fleet.submit(job_id(number), step_job(step(9), step(9, after=(0,))), 300)
                # Longer than the leader's lease but shorter than most election timeouts.
                fleet.network.partition({leader}, set(fleet.addresses))
                await trio.sleep(0.8 + 0.05 * number)
                fleet.network.heal()
                await trio.sleep(0.4)
            await wait_for_jobs(fleet, 30)

        run_scenario(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_leader_keeps_leadership_while_a_majority_of_the_others_has_fast_disks(self, seed):
        # It handed over, and each takeover reads all runs again, though no commit was delayed.
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            term = fleet.control[leader].replica.core.term
            fleet.sync_duration_ms[leader] = 250
            for number in range(20):
                began_ms = fleet.clock.now_ms()
                await fleet.submit(job_id(number), step_job(step(2)))
                assert fleet.clock.now_ms() - began_ms < 100
                await trio.sleep(0.3)
            await wait_for_jobs(fleet)
            assert fleet.leader() == leader
            assert fleet.control[leader].replica.core.term == term

        run_scenario(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_leader_whose_slow_disk_delays_commits_hands_over_leadership(self, seed):
        # With one follower lost, each commit needs the leader's own copy.
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            lost, fast = (a for a in fleet.addresses if a != leader)
            fleet.kill_control(lost)
            fleet.sync_duration_ms[leader] = 250
            await submit_jobs(fleet, 20)
            with trio.fail_after(10):
                while fleet.leader() != fast:
                    await trio.sleep(0.05)
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(6))
    def test_jobs_complete_while_all_disks_are_slow(self, seed):
        # A term and a vote take longer to save than the shortest election timeouts.
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            for address in fleet.addresses:
                fleet.sync_duration_ms[address] = 300
            await submit_jobs(fleet, 4)
            fleet.kill_control(leader)
            await fleet.wait_for_scheduler(timeout_s=8)
            await wait_for_jobs(fleet, 60)

        run_scenario(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_jobs_complete_after_all_replicas_lose_power_at_once(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_jobs(fleet, 8)
            for address in fleet.addresses:
                fleet.kill_control(address, power_loss=True)
            await trio.sleep(2)
            for address in fleet.addresses:
                fleet.start_control(address)
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=seed)

    @pytest.mark.parametrize("seed", range(3))
    def test_a_wiped_replica_joins_under_a_new_identity(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            await submit_jobs(fleet, 5)
            leader = await fleet.wait_for_leader()
            fleet.kill_control(leader, wipe_disk=True)
            await trio.sleep(1)
            fleet.start_control(leader)
            await submit_jobs(fleet, 5, first=5)
            await trio.sleep(4)
            members = fleet.control[await fleet.wait_for_leader()].replica.members()
            assert sorted(members.values()) == sorted(fleet.addresses)
            assert leader not in members
            other = next(a for a in fleet.addresses if a != leader)
            fleet.kill_control(other, wipe_disk=True)
            await trio.sleep(1)
            await wait_for_jobs(fleet)

        run_scenario(scenario, seed=seed)

    def test_an_outdated_replica_wins_no_election_with_the_vote_of_a_wiped_one(self):
        # The wiped replica has lost the jobs that it acknowledged, and the outdated one never had
        # them; a leader elected by these two would lose accepted jobs.
        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            outdated, wiped = [a for a in fleet.addresses if a != leader]
            fleet.kill_control(outdated)
            await submit_jobs(fleet, 5)
            fleet.kill_control(wiped, wipe_disk=True)
            fleet.kill_control(leader, power_loss=True)
            fleet.start_control(outdated)
            fleet.start_control(wiped)
            await trio.sleep(8)
            assert fleet.leader() is None
            with pytest.raises((NoLeaderError, RefusedError)):
                await fleet.call(QueueAction.READ, job_id(1))
            fleet.start_control(leader)
            await wait_for_jobs(fleet)

        run_scenario(scenario)


class TestMembership:
    def test_a_group_with_spare_replicas_grows_to_five_members(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit_jobs(fleet, 2)
            for number in (4, 5, 6):
                fleet.start_control(f"10.0.{number}.1:7000")
            await trio.sleep(6)
            members = fleet.control[await fleet.wait_for_leader()].replica.members()
            assert len(members) == 5
            await wait_for_jobs(fleet)

        run_scenario(scenario)

    def test_a_permanently_lost_member_is_replaced(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit_jobs(fleet, 2)
            leader = await fleet.wait_for_leader()
            lost = next(a for a in fleet.addresses if a != leader)
            fleet.kill_control(lost, wipe_disk=True)
            fleet.start_control("10.0.7.1:7000")
            await trio.sleep(6)
            members = fleet.control[await fleet.wait_for_leader()].replica.members()
            assert len(members) == 3
            assert lost not in members.values()

        run_scenario(scenario)
