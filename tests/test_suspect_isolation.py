"""Suspects of a crash run where no other job is harmed, and get their turn in a full pool."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from hornbeamreach.control.workload_commands import RecordRuns
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.pool_needs import running_cpu
from hornbeamreach.fleet.vm_inventory import VmInventory
from hornbeamreach.fleet.vm_moves import SHORTFALL_MS, VmMoves
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import StepJobState, TaskRecord

from . import builders
from .step_fleet import StepFleet
from .suspect_load import CRASH_DELAY_MS, DOWNTIME_MS, PASS_MS, START_DELAY_MS, SuspectLoad
from .test_step_jobs import run_scenario

# The longest run of the load, and the bounds on a suspect's wait that are promised.
LONGEST_RUN_MS = 3_600
WAIT_WITHOUT_PROSPECT_MS = 8_000
WAIT_FOR_TURN_MS = 20_000
WHOLE_MINION = Resources(cpu_millis=16_000, memory_mb=32_768)


def lasting(count: int = 1, **fields):
    return builders.step(count, lasting=True, cpu_millis=1_000, **fields)


class TestSuspectsAreAlone:
    def test_a_suspect_does_not_join_runs_of_another_job(self):
        load = SuspectLoad(minion_count=2)
        other = load.accept(builders.step(3))
        load.step()
        suspect = load.accept(builders.step())
        load.make_suspect(suspect)
        load.step()
        assert load.minions_of(suspect)
        assert not load.minions_of(suspect) & load.minions_of(other)

    def test_no_other_job_joins_a_suspect(self):
        load = SuspectLoad(minion_count=2)
        suspect = load.accept(builders.step())
        load.make_suspect(suspect)
        load.step()
        other = load.accept(builders.step(30))
        load.step()
        assert len(load.fleet.runs_by_job[other]) == 16
        assert not load.minions_of(suspect) & load.minions_of(other)

    def test_tasks_of_the_same_job_share_the_minion(self):
        load = SuspectLoad(minion_count=1)
        suspect = load.accept(builders.step(3))
        load.make_suspect(suspect)
        other = load.accept(builders.step())
        assert len(load.step()) == 3
        assert load.runs_on("i-0") == {suspect}
        assert not load.minions_of(other)

    def test_the_whole_gang_is_isolated_for_one_member(self):
        load = SuspectLoad(minion_count=4)
        other = load.accept(builders.step(1))
        load.step()
        gang = load.accept(builders.step(6, gang=True, max_per_minion=3))
        load.make_suspect(gang, "0.0.4")
        load.step()
        assert len(load.fleet.runs_by_job[gang]) == 6
        late = load.accept(builders.step(20))
        load.step()
        assert not load.minions_of(gang) & (load.minions_of(other) | load.minions_of(late))

    def test_a_suspect_avoids_the_minion_that_crashed_if_another_empties(self):
        load = SuspectLoad(minion_count=2)
        load.accept(builders.step(16))
        load.step()
        suspect = load.accept(builders.step())
        busy = next(m.minion_id for m in load.fleet.minions.values() if m.runs)
        empty = next(m.minion_id for m in load.fleet.minions.values() if not m.runs)
        load.make_suspect(suspect, minion=empty)
        load.fleet.crashed_on[suspect] = {"0.0.0": {empty}}
        while not load.minions_of(suspect):
            load.step()
        assert load.minions_of(suspect) == {busy}

    def test_a_crash_under_a_run_makes_its_minion_one_to_avoid(self):
        load = SuspectLoad(minion_count=2)
        deadly = load.accept(builders.step())
        load.deadly_jobs.add(deadly)
        load.max_crashes = 9
        load.counts_crashes = False
        load.run(START_DELAY_MS + CRASH_DELAY_MS + DOWNTIME_MS + 2 * PASS_MS, keep_full=False)
        crashed_on = load.crashes[0].minion
        assert crashed_on in load.fleet.crashed_on[deadly]["0.0.0"]

    def test_a_new_scheduler_isolates_a_suspect_that_an_earlier_one_started(self):
        load = SuspectLoad(minion_count=1)
        suspect = load.accept(builders.step(2))
        load.make_suspect(suspect)
        load.fleet.proposed.apply(
            RecordRuns(starts=[(suspect, "0.0.0", 2, "i-0", load.now_ms)], at_ms=load.now_ms)
        )
        fleet = FleetState(proposed=load.fleet.proposed, minions=load.fleet.minions)
        fleet.recover_runs(load.now_ms)
        load.fleet = load.planner.fleet = load.planner.turns.fleet = fleet
        load.accept(builders.step(4))
        load.step()
        assert load.runs_on("i-0") == {suspect}


class TestTurnsInFullPool:
    @pytest.mark.parametrize("minions", [1, 2, 3, 8, 24])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_a_deadly_task_takes_its_neighbours_with_it_once(self, minions, seed):
        load = SuspectLoad(minion_count=minions, seed=seed)
        load.run(2_000)
        deadly = load.accept(builders.step(2, estimate_ms=800))
        load.deadly_jobs.add(deadly)
        load.run(40_000)
        # Each of its two tasks crashes beside other jobs before it is a suspect, never after.
        assert len([c for c in load.crashes if len(c.job_ids) > 1]) <= 2
        assert load.fleet.job(deadly).state is StepJobState.FAILED
        assert set(load.failed_ms) == {deadly}
        assert max(load.waits_ms) <= WAIT_FOR_TURN_MS
        # The suspects that have not started again are the deadly job's.
        assert {name.partition(".")[0] for name in load.crashed_ms} <= {deadly}

    def test_isolation_spares_other_jobs_beside_the_baseline(self):
        hit = {}
        for counts_crashes in (False, True):
            load = SuspectLoad(
                minion_count=8, counts_crashes=counts_crashes, checks_isolation=False
            )
            load.run(2_000)
            load.deadly_jobs.add(load.accept(builders.step(2, estimate_ms=800)))
            load.run(40_000)
            hit[counts_crashes] = load.neighbours_hit()
        assert hit[True] <= hit[False] // 4

    @pytest.mark.parametrize("minions", [1, 4])
    def test_an_innocent_suspect_gets_an_empty_minion_after_the_longest_run(self, minions):
        load = SuspectLoad(minion_count=minions)
        load.run(2_000)
        suspect = load.accept(builders.step(estimate_ms=600))
        load.make_suspect(suspect)
        load.run(LONGEST_RUN_MS)
        job = load.fleet.job(suspect)
        assert job.ended or load.minions_of(suspect)

    def test_one_suspect_does_not_block_the_rest_of_the_pool(self):
        load = SuspectLoad(minion_count=4)
        load.run(2_000)
        suspect = load.accept(builders.step(cpu_millis=16_000))
        load.make_suspect(suspect)
        starts = load.step()
        held = set(load.held())
        assert len(held) == 1
        for _ in range(20):
            load.fill()
            starts += load.step()
            assert len(load.held()) <= 1
        assert len({run.minion for run in starts} - held) == 3

    def test_a_suspect_without_a_minion_does_not_hide_room_from_others(self):
        load = SuspectLoad(minion_count=2)
        load.accept(lasting(2, max_per_minion=1))
        load.step()
        suspect, other = load.accept(builders.step()), load.accept(builders.step(4))
        load.make_suspect(suspect)
        load.step()
        assert not load.minions_of(suspect)
        assert len(load.fleet.runs_by_job[other]) == 4

    def test_only_a_quarter_of_a_full_pool_is_held_or_exclusive(self):
        load = SuspectLoad(minion_count=8)
        load.run(2_000)
        for _ in range(6):
            load.make_suspect(load.accept(builders.step(estimate_ms=2_000)))
        for _ in range(100):
            load.fill()
            load.step()
            closed = {m.minion_id for m in load.fleet.minions.values() if m.suspects}
            assert len(closed | set(load.held())) <= 2
        assert closed


class TestTurnsInIdlePool:
    # Half of the usable minions gave turns, so suspects waited while most of the pool was empty.
    @pytest.mark.parametrize(("minions", "turns"), [(1, 1), (2, 1), (3, 2), (6, 5), (8, 6)])
    def test_all_but_a_quarter_of_an_empty_pool_gives_turns(self, minions, turns):
        load = SuspectLoad(minion_count=minions)
        for _ in range(8):
            load.make_suspect(load.accept(builders.step(estimate_ms=3_000)))
        load.step()
        assert sum(bool(m.suspects) for m in load.fleet.minions.values()) == turns

    def test_a_long_running_suspect_does_not_take_the_only_turn(self):
        # Until it was cleared, after 5 s or more, two of three minions were empty.
        load = SuspectLoad(minion_count=3)
        serving = load.accept(lasting())
        load.make_suspect(serving)
        load.step()
        suspects = [load.accept(builders.step(estimate_ms=600)) for _ in range(3)]
        for suspect in suspects:
            load.make_suspect(suspect)
        load.run(5_000, keep_full=False)
        assert load.minions_of(serving)
        assert all(load.fleet.job(suspect).ended for suspect in suspects)


class TestNoRoomIsLost:
    def test_nothing_is_held_after_a_waiting_suspect_is_cancelled(self):
        load = SuspectLoad(minion_count=2)
        load.run(2_000)
        suspect = load.accept(builders.step())
        load.make_suspect(suspect)
        load.step()
        assert suspect in load.held().values()
        load.end_job(suspect, StepJobState.CANCELLED)
        load.step()
        assert load.held() == {}

    def test_minions_are_open_again_after_their_suspects_end(self):
        load = SuspectLoad(minion_count=3)
        load.run(2_000)
        load.deadly_jobs.add(load.accept(builders.step()))
        load.run(30_000)
        load.run(20_000, keep_full=False)
        for minion in load.fleet.minions.values():
            assert not minion.runs and minion.used == Resources()
            assert minion.run_counts == {} and minion.suspects == {}
        assert load.held() == {}
        assert all(job.ended for job in load.fleet.proposed.workload.jobs.values())

    def test_a_cleared_long_running_task_shares_its_minion_again(self):
        load = SuspectLoad(minion_count=1)
        serving = load.accept(lasting(2))
        load.make_suspect(serving)
        load.step()
        other = load.accept(builders.step(4))
        load.step()
        assert load.minions_of(other) == set()
        for run in load.fleet.runs_by_job[serving].values():
            load.fleet.job(serving).tasks[run.key].crashes = 0
            load.fleet.minions["i-0"].clear_suspect(run)
        load.step()
        assert load.minions_of(other) == {"i-0"}

    def test_suspicion_moves_with_a_run_to_the_next_incarnation(self):
        earlier, later = builders.minion("i-1"), builders.minion("i-1", born_ms=2)
        suspect = builders.run("0.0.0", suspect=True)
        sibling = builders.run("0.0.1")
        for run in (suspect, sibling):
            earlier.reserve(run)
        for run in (suspect, sibling):
            earlier.release(run.name)
            later.reserve(run)
        assert (earlier.suspects, earlier.run_counts) == ({}, {})
        assert later.has_other_suspects("another job")
        assert not later.has_other_jobs(suspect.job_id)
        # The mark may change while the run is reserved.
        suspect.suspect = False
        later.release(suspect.name)
        assert not later.has_other_suspects("another job")
        assert later.has_other_jobs("another job")


class TestNoMinionEmpties:
    def fill_with_lasting(self, load: SuspectLoad) -> None:
        """Put a long-running task on each minion, and a second one on all but the last."""
        load.accept(lasting(load.minion_count, max_per_minion=1))
        load.step()
        load.accept(lasting(load.minion_count - 1, max_per_minion=1))
        load.step()

    def test_a_suspect_among_long_running_tasks_starts_beside_the_fewest_in_the_end(self):
        load = SuspectLoad(minion_count=3, checks_isolation=False)
        self.fill_with_lasting(load)
        fewest = min(load.fleet.minions.values(), key=lambda m: len(m.runs)).minion_id
        suspect = load.accept(lasting())
        load.make_suspect(suspect)
        load.run(WAIT_WITHOUT_PROSPECT_MS - PASS_MS, keep_full=False)
        assert load.minions_of(suspect) == set()
        assert load.held() == {}
        load.run(3 * PASS_MS, keep_full=False)
        assert load.minions_of(suspect) == {fewest}
        # Nothing else joins it there.
        load.accept(builders.step(60))
        load.step()
        assert len(load.runs_on(fewest)) == 2

    def test_a_task_that_crashed_three_minions_joins_no_other_job(self):
        # In company no crash is evidence against it alone, so it would be started without end.
        load = SuspectLoad(minion_count=3, checks_isolation=False)
        self.fill_with_lasting(load)
        suspect = load.accept(lasting())
        load.make_suspect(suspect)
        for task in load.fleet.job(suspect).tasks.values():
            task.crashes = 3
        load.run(4 * WAIT_WITHOUT_PROSPECT_MS, keep_full=False)
        assert load.minions_of(suspect) == set()

    def test_a_gang_wider_than_the_limit_starts_in_the_end(self):
        load = SuspectLoad(minion_count=4, checks_isolation=False)
        self.fill_with_lasting(load)
        gang = load.accept(builders.step(4, gang=True, max_per_minion=1, estimate_ms=5_000))
        load.make_suspect(gang)
        load.run(WAIT_WITHOUT_PROSPECT_MS - PASS_MS, keep_full=False)
        assert load.minions_of(gang) == set()
        load.run(3 * PASS_MS, keep_full=False)
        assert len(load.minions_of(gang)) == 4

    def test_a_minion_without_long_running_tasks_is_held(self):
        load = SuspectLoad(minion_count=3)
        load.accept(lasting(2, max_per_minion=1))
        load.step()
        load.run(2_000)
        suspect = load.accept(builders.step())
        load.make_suspect(suspect)
        load.step()
        held = list(load.held())
        assert len(held) == 1
        assert not any(run.lasting for run in load.fleet.minions[held[0]].runs.values())


class TestPoolsWithSuspects:
    def vm_moves(self, load: SuspectLoad) -> VmMoves:
        scheduler = SimpleNamespace(
            proposed=load.fleet.proposed,
            fleet=load.fleet,
            began_ms=-10_000,
            clock=SimpleNamespace(now_ms=lambda: load.now_ms, wall_ms=lambda: load.now_ms),
        )
        return VmMoves(scheduler=scheduler, inventory=VmInventory(scheduler=scheduler, port=None))

    def test_room_that_a_suspect_closes_counts_as_taken(self):
        load = SuspectLoad(minion_count=1)
        load.make_suspect(load.accept(builders.step()))
        load.step()
        assert running_cpu(load.fleet) == {"pool-a": WHOLE_MINION.cpu_millis}

    def test_a_suspect_that_waits_asks_for_another_vm(self):
        load = SuspectLoad(minion_count=3)
        load.accept(lasting(3, max_per_minion=1))
        load.step()
        load.make_suspect(load.accept(builders.step()))
        load.step()
        moves = self.vm_moves(load)
        minions = load.fleet.minions
        moves.pool_demands(minions, load.now_ms)
        demands = moves.pool_demands(minions, load.now_ms + SHORTFALL_MS)
        assert demands.by_pool["pool-a"].minimum == 4

    def test_an_empty_minion_that_is_held_is_not_offered_to_other_pools(self):
        load = SuspectLoad(minion_count=4)
        load.accept(builders.step(3, cpu_millis=16_000, estimate_ms=2_000))
        load.step()
        gang = load.accept(builders.step(2, gang=True, max_per_minion=1))
        load.make_suspect(gang)
        load.step()
        empty = next(m.minion_id for m in load.fleet.minions.values() if not m.runs)
        assert load.held().get(empty) == gang
        moves = self.vm_moves(load)

        def offered() -> list[str]:
            demands = moves.pool_demands(load.fleet.minions, load.now_ms)
            return [vm for vm, _ in demands.by_pool["pool-a"].idle]

        assert empty not in offered()
        load.held().clear()
        assert empty in offered()


class TestTickets:
    def test_the_wait_and_the_hold_outlast_the_renewal_of_tickets(self):
        load = SuspectLoad(minion_count=2, checks_isolation=False)
        load.fleet.proposed.state.table = builders.step_table(advice_valid_ms=1_000)
        load.planner.tickets.update(
            {(f"{number:016x}", 0, 0): {"i-0": "t", "i-1": "t"} for number in range(1, 400)}
        )
        load.run(2_000)
        suspect = load.accept(builders.step(cpu_millis=16_000))
        load.make_suspect(suspect)
        load.step()
        held = dict(load.held())
        assert list(held.values()) == [suspect]
        tickets = load.planner.tickets.pop((suspect, 0, 0))
        waiting = dict(load.planner.turns.waiting_since_ms)
        load.step()
        assert load.held() == held
        load.planner.tickets[(suspect, 0, 0)] = tickets
        load.step()
        assert load.planner.turns.waiting_since_ms == waiting


class TestScheduler:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_run_of_another_job_is_beside_a_suspect_on_the_minions(self, seed):
        names: list[str] = []

        async def scenario(fleet: StepFleet) -> None:
            for number in range(12):
                await fleet.submit(f"{number:016x}", builders.step_job(builders.step(20)), 900)
            scheduler = await fleet.wait_for_scheduler()
            job = scheduler.fleet.job(f"{11:016x}")
            for index in range(20):
                key = f"0.0.{index}"
                if key not in job.tasks:
                    job.tasks[key] = TaskRecord(run=1, crashes=1)
                    names.append(f"{job.job_id}.{key}")
            scheduler.on_declaration()
            for number in range(12):
                await fleet.wait_for_state(f"{number:016x}", "completed")

        fleet = run_scenario(scenario, seed=seed, minion_count=4)
        assert names
        for run in fleet.minions.history:
            if run.task not in names:
                continue
            beside = {
                other.task.partition(".")[0]
                for other in fleet.minions.history
                if other.minion == run.minion
                and other.began_ms < run.ended_ms
                and run.began_ms < other.ended_ms
            }
            assert beside == {run.task.partition(".")[0]}
