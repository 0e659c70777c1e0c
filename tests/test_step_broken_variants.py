"""The checks of step jobs detect code in which the rule they guard is disabled."""

from __future__ import annotations

import pytest
import trio

from hornbeamreach.control import discovery
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.minion_orders import MinionOrders
from hornbeamreach.fleet.minion_poller import MinionPoller
from hornbeamreach.fleet.step_scheduler import StepScheduler

from . import step_fleet
from .builders import step, step_job
from .fakes import run_virtual
from .step_fleet import StepFleet
from .test_step_jobs import job_id, submit_jobs

SEEDS = range(4)


def violations_of(scenario, *, seed: int) -> list[str]:
    """Run a scenario and return the scheduling rules that the minions' history violates."""
    fleet = StepFleet(seed=seed)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=seed)
    return fleet.find_violations()


def has_violations(scenario) -> bool:
    return any(violations_of(scenario, seed=seed) for seed in SEEDS)


class TestBrokenVariants:
    def test_orders_without_fencing_start_tasks_late(self, monkeypatch):
        def fence_nothing(self, minion) -> None:
            minion.failed_calls += 1
            self.scheduler.pollers[minion.minion_id].poll_now()

        monkeypatch.setattr(MinionOrders, "fence", fence_nothing)

        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.late_order_fraction = 0.15
            await submit_jobs(fleet, 20)
            fleet.minions.late_order_fraction = 0
            await trio.sleep(20)

        assert has_violations(scenario)

    def test_runs_given_up_before_their_lease_lapses_run_twice(self, monkeypatch):
        def lapse_at_once(self, minion, now_ms) -> bool:
            return minion.failed_calls > 0

        monkeypatch.setattr(StepScheduler, "_lease_lapsed", lapse_at_once)

        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(6, lasting=True)))
            await trio.sleep(2)
            leader = await fleet.wait_for_leader()
            scheduler = await fleet.wait_for_scheduler()
            busy = [m.minion_id for m in scheduler.fleet.minions.values() if m.runs]
            fleet.minions.partitions.update((leader, minion_id) for minion_id in busy)
            await trio.sleep(4)

        assert has_violations(scenario)

    def test_a_scheduler_that_recovers_no_runs_starts_them_again(self, monkeypatch):
        def recover_nothing(self, now_ms) -> None:
            for job in self.proposed.workload.jobs.values():
                self.stale_jobs.add(job.job_id)
                for task in job.tasks.values():
                    task.minion = ""

        def stop_nothing(self, minion, task, run) -> None:
            return None

        monkeypatch.setattr(FleetState, "recover_runs", recover_nothing)
        monkeypatch.setattr(MinionOrders, "stop_unknown_run", stop_nothing)

        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(6, lasting=True)))
            await trio.sleep(2)
            fleet.kill_control(await fleet.wait_for_leader())
            await trio.sleep(4)

        assert has_violations(scenario)

    def test_trusting_polls_sent_before_the_outcome_was_known_starts_runs_twice(self, monkeypatch):
        monkeypatch.setattr(MinionPoller, "_outcome_known_before", lambda self, run, sent_ms: True)

        # A poll must overtake a start for the rule to matter, so several rounds of jobs are run.
        async def scenario(fleet: StepFleet) -> None:
            for number in range(6):
                await submit_jobs(fleet, 20, first=20 * number)
                await trio.sleep(1)

        assert has_violations(scenario)

    def test_a_wiped_replica_that_votes_under_its_old_identity_loses_jobs(self, monkeypatch):
        # A leader elected by the outdated and the wiped replica lacks the accepted jobs.
        def keep_identity(disk, *, address, initial_members, rng):
            members = {f"10.0.{n}.1:7000": f"10.0.{n}.1:7000" for n in (1, 2, 3)}
            return discovery.Identity(replica=address, members=members)

        monkeypatch.setattr(step_fleet, "load_identity", keep_identity)

        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_for_leader()
            outdated, wiped = [a for a in fleet.addresses if a != leader]
            fleet.kill_control(outdated)
            await submit_jobs(fleet, 3)
            fleet.kill_control(wiped, wipe_disk=True)
            fleet.kill_control(leader, power_loss=True)
            fleet.start_control(outdated)
            fleet.start_control(wiped)
            await trio.sleep(8)
            assert fleet.leader() is None

        with pytest.raises(BaseExceptionGroup) as caught:
            violations_of(scenario, seed=1)
        assert caught.group_contains(AssertionError, depth=None)
