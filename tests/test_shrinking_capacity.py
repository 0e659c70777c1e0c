"""No start brings a minion over its capacity while the capacity shrinks and grows again."""

from __future__ import annotations

import contextlib
import random

import orjson
import pytest
import trio
from loguru import logger

from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.fleet.maintenance_waves import MaintenanceWaves
from hornbeamreach.fleet.messages import QueueAction
from hornbeamreach.fleet.ports import StartOrder
from hornbeamreach.fleet.step_scheduler import StepScheduler
from hornbeamreach.link.leader_finder import NoLeaderError
from hornbeamreach.platform.decoding import decode_report
from hornbeamreach.standins.step_minions import SHRINK_GRACE_MS, SimulatedMinion
from hornbeamreach.tables.declared import DeclaredTable, PoolRow
from hornbeamreach.tables.resources import Resources

from . import builders
from .builders import step, step_job
from .step_fleet import StepFleet
from .test_step_jobs import Scenario, job_id, run_scenario

SEEDS = range(8)
# After this, no start may rely on the capacity before it shrank.
GRACE_S = SHRINK_GRACE_MS / 1_000 + 0.5
LONG_WORK_MS = 60_000
FOREIGN_TASK = f"{'f' * 16}.0.0.0"


def cores(count: int) -> Resources:
    return Resources(cpu_millis=count * 1_000, memory_mb=32_768)


def unguarded_table() -> DeclaredTable:
    """Return a table whose minions start all that they are told to."""
    table = builders.step_table()
    table.pools["pool-a"] = PoolRow(max_down=1_000_000, rejects_overload=False)
    return table


def run_unguarded(scenario: Scenario, *, minion_count: int = 1, seed: int = 1) -> StepFleet:
    """Run a scenario with minions that start all that they are told to."""

    async def unguarded_scenario(fleet: StepFleet) -> None:
        for minion in fleet.minions.minions.values():
            minion.rejects_overload = False
        await trio.sleep(2)
        await scenario(fleet)

    return run_scenario(
        unguarded_scenario, seed=seed, minion_count=minion_count, table=unguarded_table()
    )


def only_minion(fleet: StepFleet) -> SimulatedMinion:
    return fleet.minions.minions["i-1"]


async def submit_long(fleet: StepFleet, number: int, *, count: int = 1, **fields) -> None:
    spec = step_job(step(count, **fields))
    await fleet.submit(job_id(number), spec, work_ms=LONG_WORK_MS)


def delay_starts(scheduler: StepScheduler, delay_s: float) -> None:
    """Delay the start orders of a scheduler, as a slow commit does."""

    async def after_slow_commit(*arguments) -> None:
        await trio.sleep(delay_s)
        await StepScheduler._after_commit(scheduler, *arguments)

    scheduler._after_commit = after_slow_commit


def start_foreign_run(fleet: StepFleet, task: str, **fields) -> None:
    """Start a run that no scheduler has reserved."""
    name = task.partition(".")[0]
    fleet.specs.setdefault(name, step_job(step(**fields)))
    fleet.work_ms_by_job[name] = LONG_WORK_MS
    minion = only_minion(fleet)
    order = StartOrder(
        task=task,
        run=1,
        payload="",
        lease_until_ms=int(minion.clock_ms()) + 4_000,
        token=minion.token,
    )
    fleet.minions.start(minion, order)
    assert task in minion.running


class TestReports:
    def test_a_report_that_another_overtook_does_not_restore_a_shrunken_capacity(self):
        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            earlier = only_minion(fleet).report()
            only_minion(fleet).resize(cores(2))
            scheduler.on_report(only_minion(fleet).report())
            scheduler.on_report(earlier)
            assert scheduler.fleet.minions["i-1"].report.capacity == cores(2)

        run_unguarded(scenario)

    def test_a_changed_capacity_is_logged_once(self):
        lines = []
        sink = logger.add(lambda line: lines.append(line.record), level="INFO")

        async def scenario(fleet: StepFleet) -> None:
            only_minion(fleet).resize(cores(2))
            await trio.sleep(5)

        try:
            run_unguarded(scenario)
        finally:
            logger.remove(sink)
        logged = [line["extra"] for line in lines if "capacity has changed" in line["message"]]
        assert [line["minion"] for line in logged] == ["i-1"]
        assert logged[0]["before"] == (16_000, 32_768, 0)
        assert logged[0]["after"] == (2_000, 32_768, 0)

    @pytest.mark.parametrize("name", ["capacity", "cpu", "mem-mb"])
    def test_a_report_without_a_capacity_replaces_none(self, name):
        heartbeat = builders.platform_heartbeat()
        heartbeat.pop(name, None)
        heartbeat.get("capacity", {}).pop(name, None)
        with pytest.raises(InvalidInputError):
            decode_report("i-1", orjson.dumps(heartbeat))

    @pytest.mark.parametrize("amount", [None, "16000", -1, True, 0.5, [16_000]])
    def test_a_report_with_a_malformed_capacity_replaces_none(self, amount):
        heartbeat = builders.platform_heartbeat()
        heartbeat["capacity"]["cpu"] = amount
        with pytest.raises(InvalidInputError):
            decode_report("i-1", orjson.dumps(heartbeat))

    def test_an_incarnation_first_seen_by_a_poll_does_not_inherit_a_capacity(self):
        # The next incarnation may be of a smaller kind. The long-running task is a suspect of the
        # crash until it has been at work for some seconds.
        async def scenario(fleet: StepFleet) -> None:
            await submit_long(fleet, 1, lasting=True)
            await trio.sleep(1)
            fleet.silenced.add("i-1")
            only_minion(fleet).capacity = cores(2)
            fleet.minions.restart("i-1")
            await trio.sleep(2)
            await submit_long(fleet, 2, count=10)
            await trio.sleep(3)
            fleet.silenced.clear()
            await trio.sleep(10)
            assert len(only_minion(fleet).running) == 2

        run_unguarded(scenario)

    def test_a_capacity_that_was_reported_long_ago_is_not_relied_on(self):
        # The minion's polls are answered while its reports reach no replica.
        async def scenario(fleet: StepFleet) -> None:
            await submit_long(fleet, 1)
            await trio.sleep(1)
            fleet.silenced.add("i-1")
            only_minion(fleet).resize(cores(2))
            await trio.sleep(GRACE_S)
            await submit_long(fleet, 2, count=10)
            await trio.sleep(2)
            fleet.silenced.clear()
            await trio.sleep(4)
            assert len(only_minion(fleet).running) == 2

        run_unguarded(scenario)

    def test_minions_that_reject_overload_get_starts_without_reports(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit_long(fleet, 1)
            await trio.sleep(1)
            fleet.silenced.add("i-1")
            await trio.sleep(GRACE_S)
            await submit_long(fleet, 2)
            await trio.sleep(1)
            assert len(only_minion(fleet).running) == 2

        run_scenario(scenario, minion_count=1)

    def test_a_late_report_does_not_restore_a_shrunken_capacity_in_a_new_term(self):
        # The new leader knows no sequence yet; the poll shows how old the report is.
        async def scenario(fleet: StepFleet) -> None:
            await submit_long(fleet, 1)
            await trio.sleep(1)
            late = only_minion(fleet).report()
            only_minion(fleet).resize(cores(2))
            await trio.sleep(GRACE_S)
            fleet.silenced.add("i-1")
            fleet.kill_control(await fleet.wait_for_leader())
            scheduler = await fleet.wait_for_scheduler()
            scheduler.on_report(late)
            await submit_long(fleet, 2, count=10)
            await trio.sleep(2)
            fleet.silenced.clear()
            await trio.sleep(4)
            assert len(only_minion(fleet).running) == 2

        run_unguarded(scenario)

    def test_a_late_report_of_an_idle_minion_is_not_relied_on(self):
        # An idle minion isn't polled, and 2 % of the time since its last poll is longer than the
        # report was on its way.
        async def scenario(fleet: StepFleet) -> None:
            only_minion(fleet).clock_rate = 1.0
            await trio.sleep(120)
            fleet.silenced.add("i-1")
            late = only_minion(fleet).report()
            only_minion(fleet).resize(cores(2))
            await trio.sleep(GRACE_S)
            (await fleet.wait_for_scheduler()).on_report(late)
            await submit_long(fleet, 1, count=10)
            await trio.sleep(2)
            fleet.silenced.clear()
            await trio.sleep(4)
            assert len(only_minion(fleet).running) == 2

        run_unguarded(scenario)

    def test_a_wrong_clock_in_a_report_does_not_age_the_next_ones(self):
        minion = builders.minion(clock_ms=1_000)
        minion.note_report_clock(1 << 50, 500)
        minion.note_report_clock(1_000, 2_000)
        minion.last_report_ms = 2_000
        assert minion.capacity_age_ms(2_100) == 100


class TestCommittedStarts:
    def test_starts_that_no_longer_fit_are_given_back_before_they_are_sent(self):
        async def scenario(fleet: StepFleet) -> None:
            scheduler = await fleet.wait_for_scheduler()
            delay_starts(scheduler, GRACE_S + 2)
            await submit_long(fleet, 1, count=10)
            await trio.sleep(1)
            only_minion(fleet).resize(cores(3))
            await trio.sleep(3 * GRACE_S)
            assert len(only_minion(fleet).running) == 3
            assert scheduler.fleet.team_use.by_team["team-a"].cpu_millis == 3_000

        run_unguarded(scenario)

    def test_starts_wait_for_a_report_if_the_last_one_is_too_old_at_sending(self):
        async def scenario(fleet: StepFleet) -> None:
            delay_starts(await fleet.wait_for_scheduler(), GRACE_S + 2)
            await submit_long(fleet, 1, count=10)
            await trio.sleep(1)
            fleet.silenced.add("i-1")
            only_minion(fleet).resize(cores(3))
            await trio.sleep(GRACE_S + 3)

        run_unguarded(scenario)

    def test_a_gang_that_fits_only_in_part_is_given_back_whole(self):
        # Members that start without the others end alone.
        async def scenario(fleet: StepFleet) -> None:
            delay_starts(await fleet.wait_for_scheduler(), GRACE_S)
            await submit_long(fleet, 1, count=4, cpu_millis=6_000, gang=True)
            await trio.sleep(1)
            only_minion(fleet).resize(cores(6))
            await trio.sleep(3 * GRACE_S)
            assert fleet.minions.history == []
            only_minion(fleet).resize(cores(16))
            await trio.sleep(3 * GRACE_S)
            assert len({run.run for run in fleet.minions.history}) == 1
            assert len(fleet.minions.history) == 4

        run_unguarded(scenario, minion_count=2)


class TestRunningWork:
    def test_runs_being_stopped_still_take_capacity(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit_long(fleet, 1, count=16)
            await trio.sleep(1)
            fleet.minions.stop_duration_ms = (1_500, 1_500)
            await fleet.call(QueueAction.CANCEL, job_id(1))
            await submit_long(fleet, 2, count=16)
            await trio.sleep(4)
            assert len(only_minion(fleet).running) == 16

        run_unguarded(scenario)

    @pytest.mark.parametrize("task", [FOREIGN_TASK, f"{job_id(1)}.0.1.0"])
    def test_listed_runs_that_are_not_reserved_take_capacity(self, task):
        async def scenario(fleet: StepFleet) -> None:
            unplaceable = step(cpu_millis=14_000, required_label="none")
            await fleet.submit(job_id(1), step_job(step(), unplaceable), work_ms=LONG_WORK_MS)
            await trio.sleep(1)
            fleet.minions.stop_duration_ms = (3_000, 3_000)
            start_foreign_run(fleet, task, cpu_millis=14_000)
            await trio.sleep(1.5)
            await submit_long(fleet, 2, count=10)
            await trio.sleep(5)
            assert len(only_minion(fleet).running) == 11

        run_unguarded(scenario)

    def test_a_run_of_an_earlier_scheduler_takes_capacity_before_the_first_poll(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit_long(fleet, 1, count=12)
            await trio.sleep(1)
            only_minion(fleet).resize(cores(12))
            await submit_long(fleet, 2, count=12)
            fleet.kill_control(await fleet.wait_for_leader())
            await fleet.wait_for_scheduler()
            await trio.sleep(GRACE_S)
            assert len(only_minion(fleet).running) in (12, 16)

        run_unguarded(scenario)


class TestOverfullMinion:
    @pytest.mark.parametrize(
        "needs", [Resources(), Resources(memory_mb=1), Resources(cpu_millis=1_000)]
    )
    def test_nothing_fits_on_an_overfull_minion(self, needs):
        minion = builders.minion(capacity=cores(2))
        minion.reserve(builders.run(needs=cores(3)))
        assert not minion.can_fit(needs)

    def test_an_overfull_minion_has_no_negative_free_capacity(self):
        minion = builders.minion(capacity=cores(2))
        minion.reserve(builders.run(needs=Resources(cpu_millis=3_000)))
        assert minion.free() == Resources(memory_mb=32_768)

    def test_an_overfull_minion_hides_no_free_capacity_of_its_pool(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit_long(fleet, 1, count=16)
            await trio.sleep(1)
            next(m for m in fleet.minions.minions.values() if m.running).resize(cores(0))
            await trio.sleep(2)
            scheduler = await fleet.wait_for_scheduler()
            waves = MaintenanceWaves(scheduler=scheduler, inventory=None)
            assert waves._free_shares() == {"pool-a": 1.0}

        run_unguarded(scenario, minion_count=2)

    def test_a_filler_starts_only_once_the_minion_is_no_longer_overfull(self):
        async def scenario(fleet: StepFleet) -> None:
            await submit_long(fleet, 1, count=8)
            await trio.sleep(1)
            only_minion(fleet).resize(cores(4))
            await trio.sleep(GRACE_S)
            await submit_long(fleet, 2, cpu_millis=1_000, memory_mb=64, filler=True)
            await trio.sleep(2)
            assert len(only_minion(fleet).running) == 8
            only_minion(fleet).resize(cores(8))
            await trio.sleep(2)
            assert len(only_minion(fleet).running) == 9

        run_unguarded(scenario)

    def test_queued_work_starts_once_the_capacity_grows_again(self):
        async def scenario(fleet: StepFleet) -> None:
            only_minion(fleet).resize(Resources())
            await trio.sleep(GRACE_S)
            await submit_long(fleet, 1, count=16)
            await trio.sleep(2)
            assert fleet.minions.history == []
            only_minion(fleet).resize(cores(16))
            await trio.sleep(2)
            assert len(only_minion(fleet).running) == 16

        run_unguarded(scenario)


class TestRandomChanges:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_capacities_change_while_leaders_change_and_reports_are_late(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            rng = random.Random(seed)
            fleet.report_delay_ms = (0, 2_500)
            fleet.minions.lost_response_fraction = 0.05
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change_capacities, fleet, rng)
                nursery.start_soon(submit_mixed_jobs, fleet, rng)
                for _ in range(3):
                    await trio.sleep(rng.uniform(4, 10))
                    leader = await fleet.wait_for_leader()
                    fleet.kill_control(leader, power_loss=rng.random() < 0.5)
                    await trio.sleep(rng.uniform(0.5, 4))
                    fleet.start_control(leader)
                await trio.sleep(5)
                nursery.cancel_scope.cancel()
            await finish_jobs(fleet)

        assert len(run_unguarded(scenario, minion_count=4, seed=seed).minions.history) > 200

    @pytest.mark.parametrize("seed", SEEDS)
    def test_capacities_change_while_commits_and_minions_are_slow_or_silent(self, seed):
        async def scenario(fleet: StepFleet) -> None:
            rng = random.Random(seed)
            fleet.report_delay_ms = (0, 2_500)
            fleet.minions.stop_duration_ms = (0, 1_000)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change_capacities, fleet, rng)
                nursery.start_soon(submit_mixed_jobs, fleet, rng)
                nursery.start_soon(cancel_jobs, fleet, rng)
                for _ in range(5):
                    scheduler = await fleet.wait_for_scheduler()
                    delay_starts(scheduler, rng.uniform(0, 6))
                    minion = f"i-{rng.randint(1, 4)}"
                    fleet.silenced = {minion}
                    await trio.sleep(rng.uniform(5, 9))
                    fleet.minions.partitions = {(address, minion) for address in fleet.addresses}
                    await trio.sleep(rng.uniform(1, 8))
                    fleet.minions.partitions = set()
                    if rng.random() < 0.5:
                        fleet.kill_control(address := await fleet.wait_for_leader())
                        fleet.start_control(address)
                nursery.cancel_scope.cancel()
            await finish_jobs(fleet)

        run_unguarded(scenario, minion_count=4, seed=seed)


async def finish_jobs(fleet: StepFleet) -> None:
    """End all faults and wait until every job has ended."""
    delay_starts(await fleet.wait_for_scheduler(), 0)
    fleet.report_delay_ms = (0, 0)
    fleet.silenced = set()
    fleet.minions.lost_response_fraction = 0
    for minion in fleet.minions.minions.values():
        minion.resize(cores(16))
    for accepted in fleet.accepted_jobs:
        with trio.fail_after(120):
            while await fleet.job_state(accepted) not in ("completed", "cancelled"):
                await trio.sleep(0.1)


async def cancel_jobs(fleet: StepFleet, rng: random.Random) -> None:
    """Cancel accepted jobs at random."""
    while True:
        await trio.sleep(rng.uniform(0.5, 3))
        if fleet.accepted_jobs:
            with contextlib.suppress(NoLeaderError, RefusedError):
                await fleet.call(QueueAction.CANCEL, rng.choice(fleet.accepted_jobs))


async def change_capacities(fleet: StepFleet, rng: random.Random) -> None:
    """Shrink and grow capacities at random."""
    minions = list(fleet.minions.minions.values())
    while True:
        await trio.sleep(rng.uniform(0.2, 2.5))
        rng.choice(minions).resize(cores(rng.choice([0, 2, 4, 8, 16])))


async def submit_mixed_jobs(fleet: StepFleet, rng: random.Random) -> None:
    """Submit more work than fits, with gangs and fillers."""
    for number in range(1, 1_000):
        spec = step_job(
            step(rng.randint(2, 8), cpu_millis=rng.choice([500, 1_000, 3_000])),
            step(2, cpu_millis=2_000, gang=True, after=(0,)),
            step(2, cpu_millis=1_000, memory_mb=64, filler=True, after=(0,)),
        )
        await fleet.submit(job_id(number), spec, work_ms=rng.choice([300, 900, 3_000]))
        await trio.sleep(rng.uniform(0.05, 0.6))
