"""The checks of step jobs fail against code that skips the rule they are for."""

from __future__ import annotations

import pytest
import trio

from hornbeamreach.control import discovery
from hornbeamreach.fleet.books import Books
from hornbeamreach.fleet.orders import Orders
from hornbeamreach.fleet.scheduler import Scheduler
from hornbeamreach.fleet.watch import MinionWatch

from . import step_fleet
from .builders import step, step_job
from .fakes import run_virtual
from .step_fleet import StepFleet
from .test_step_jobs import job_id, submit_many

SEEDS = range(4)


def faults_of(scenario, *, seed: int) -> list[str]:
    """Play a scenario and return the broken promises that the minions saw."""
    fleet = StepFleet(seed=seed)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=seed)
    return fleet.check_runs()


def any_faults(scenario) -> bool:
    return any(faults_of(scenario, seed=seed) for seed in SEEDS)


class TestBrokenVariants:
    def test_orders_that_are_not_fenced_run_late(self, monkeypatch):
        def fence_nothing(self, minion) -> None:
            minion.failed_calls += 1
            self.scheduler.watches[minion.minion_id].look_now()

        monkeypatch.setattr(Orders, "fence", fence_nothing)

        async def scenario(fleet: StepFleet) -> None:
            fleet.minions.late_order_fraction = 0.15
            await submit_many(fleet, 20)
            fleet.minions.late_order_fraction = 0
            await trio.sleep(20)

        assert any_faults(scenario)

    def test_runs_that_are_given_up_before_their_lease_run_twice(self, monkeypatch):
        def lapsed_at_once(self, minion, now_ms) -> bool:
            return minion.failed_calls > 0

        monkeypatch.setattr(Scheduler, "_lapsed", lapsed_at_once)

        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(6, lasting=True)))
            await trio.sleep(2)
            leader = await fleet.wait_leader()
            fleet.minions.partitions.update((leader, f"i-{n}") for n in range(1, 4))
            await trio.sleep(4)

        assert any_faults(scenario)

    def test_a_scheduler_that_forgets_earlier_runs_starts_them_again(self, monkeypatch):
        def inherit_nothing(self, now_ms) -> None:
            for job in self.ahead.workload.jobs.values():
                self.stale_jobs.add(job.job_id)
                for task in job.tasks.values():
                    task.minion = ""

        def stop_nothing(self, minion, task, run) -> None:
            return None

        monkeypatch.setattr(Books, "inherit", inherit_nothing)
        monkeypatch.setattr(Orders, "stop_stray", stop_nothing)

        async def scenario(fleet: StepFleet) -> None:
            await fleet.submit(job_id(1), step_job(step(6, lasting=True)))
            await trio.sleep(2)
            fleet.stop_control(await fleet.wait_leader())
            await trio.sleep(4)

        assert any_faults(scenario)

    def test_looks_that_prove_too_much_start_runs_twice(self, monkeypatch):
        monkeypatch.setattr(MinionWatch, "_settled", lambda self, run, sent_ms: True)

        async def scenario(fleet: StepFleet) -> None:
            await submit_many(fleet, 20)
            await trio.sleep(5)

        assert any_faults(scenario)

    def test_an_empty_disk_that_votes_under_its_old_identity_loses_jobs(self, monkeypatch):
        def keep_identity(disk, *, address, initial_members, rng):
            members = {f"10.0.{n}.1:7000": f"10.0.{n}.1:7000" for n in (1, 2, 3)}
            return discovery.Identity(replica=address, members=members)

        monkeypatch.setattr(step_fleet, "load_identity", keep_identity)

        async def scenario(fleet: StepFleet) -> None:
            leader = await fleet.wait_leader()
            behind, wiped = [a for a in fleet.addresses if a != leader]
            fleet.stop_control(behind)
            await submit_many(fleet, 3)
            fleet.stop_control(wiped, wipe=True)
            fleet.stop_control(leader, power=True)
            fleet.start_control(behind)
            fleet.start_control(wiped)
            await trio.sleep(8)
            assert fleet.leader() is None

        with pytest.raises(BaseExceptionGroup) as caught:
            faults_of(scenario, seed=1)
        assert caught.group_contains(AssertionError, depth=None)
