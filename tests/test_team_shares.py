"""Shares of teams in a full pool, and replays in which one team sends far more than usual."""

from __future__ import annotations

import heapq
import itertools
import statistics
from types import SimpleNamespace

import orjson
import pytest
import trio
from trio.testing import MockClock

from benches.step_load import QUOTE, TEAM_CASES, simulate_teams
from hornbeamreach.control.workload_commands import AcceptJob, RecordRuns
from hornbeamreach.fleet.fleet_state import FleetState
from hornbeamreach.fleet.planner import Planner
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.share_report import SHORT_RATIO, ShareReport
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.decoding import decode_declaration
from hornbeamreach.systems.fair_share import max_min_shares, team_weight
from hornbeamreach.systems.share_order import share_orders
from hornbeamreach.tables.control_state import ControlState
from hornbeamreach.tables.declared import PoolRow, QueueRow, TeamRow
from hornbeamreach.tables.resources import Resources
from hornbeamreach.tables.workload import RunEnd, StepSpec

from . import builders
from .step_fleet import StepFleet

PASS_MS = 20
CORES = 48


def share_table(weights):
    """Return a table with a queue of rank 1 for each team, and one of rank 0 for `urgent`."""
    table = builders.step_table()
    table.teams = {
        team: TeamRow(weight=weight, max_running=1_000_000, home="dc1")
        for team, weight in weights.items()
    }
    table.pools["pool-a"] = PoolRow(max_down=0)
    for name in weights:
        table.queues[name] = QueueRow(pool="pool-a", rank=int(name != "urgent"))
    return table


class SharedPool:
    """Plan jobs of several teams on 48 cores, in virtual time."""

    def __init__(self, *, policy: str = "due_first", **weights: float) -> None:
        self.policy, self.now_ms, self.numbers = policy, 0, itertools.count(1)
        self.proposed = ProposedState.of(ControlState(table=share_table(weights)))
        self.ends: list = []
        self.order: list[tuple[str, str]] = []
        self.fleet = FleetState(proposed=self.proposed)
        self._begin_term()

    def _begin_term(self) -> None:
        self.fleet.shares.policy = share_orders.get(self.policy)
        self.planner = Planner(fleet=self.fleet)
        for number in range(3):
            minion = builders.minion(f"i-{number}", capacity=Resources(cpu_millis=16_000))
            self.fleet.minions[minion.minion_id] = minion

    def take_over(self) -> None:
        """Replace the scheduler: only what is in the log is left."""
        self.fleet = FleetState(proposed=ProposedState.of(self.proposed.state))
        self.proposed = self.fleet.proposed
        self._begin_term()
        self.fleet.recover_runs(self.now_ms)

    def send(self, team: str, step: StepSpec | None = None, jobs: int = 1, at_ms=None) -> str:
        for number in itertools.islice(self.numbers, jobs):
            job_id = f"{number:016x}"
            spec = builders.step_job(step or builders.step(1, memory_mb=0, estimate_ms=500))
            at_ms = self.now_ms if at_ms is None else at_ms
            self.proposed.apply(
                AcceptJob(
                    job_id=job_id, queue=team, pool="pool-a", team=team, spec=spec, at_ms=at_ms
                )
            )
            self.fleet.stale_jobs.add(job_id)
        return job_id

    def run(self, duration_ms: int, each_pass=None) -> None:
        """Plan in a fixed interval; runs end after their expected time."""
        for _ in range(duration_ms // PASS_MS):
            self.now_ms += PASS_MS
            if each_pass is not None:
                each_pass()
            for minion in self.fleet.minions.values():
                minion.last_report_ms = self.now_ms
            rows = []
            while self.ends and self.ends[0][0] <= self.now_ms:
                _, _, job_id, key = heapq.heappop(self.ends)
                run = self.fleet.find_run(job_id, key)
                self.fleet.end_run(run, RunEnd.DONE)
                self.fleet.stale_jobs.add(job_id)
                rows.append((job_id, key, run.run, RunEnd.DONE.value, ""))
            self.proposed.apply(RecordRuns(ends=rows, at_ms=self.now_ms))
            starts = self.planner.plan(self.now_ms, self.now_ms)
            rows = [(r.job_id, r.key, r.run, r.minion, r.born_ms) for r in starts]
            self.proposed.apply(RecordRuns(starts=rows, at_ms=self.now_ms))
            for number, run in enumerate(starts):
                # Ends are spread in time, as a small task takes each core that becomes free.
                end_ms = self.now_ms + run.expected_ms + 7 * number
                heapq.heappush(self.ends, (end_ms, run.name, run.job_id, run.key))
                self.order.append((run.team, run.name))

    def cores(self, team: str) -> int:
        runs = [r for m in self.fleet.minions.values() for r in m.runs.values() if r.team == team]
        runs += [r for d in self.fleet.unattached_runs.values() for r in d.values()]
        return sum(run.needs.cpu_millis for run in runs if run.team == team) // 1_000

    def mean_cores(self, *teams: str, sending: tuple[str, ...] = ()) -> list[float]:
        """Return the mean cores that teams hold in the next 2 s, while some send jobs."""
        samples: list = []

        def observe() -> None:
            samples.append([self.cores(team) for team in teams])
            for team in sending:
                self.send(team, jobs=2)

        self.run(2_000, observe)
        return [statistics.fmean(column) for column in zip(*samples, strict=True)]


class TestDividing:
    def test_what_a_team_does_not_want_goes_to_the_others_by_weight(self):
        shares = max_min_shares({"a": 1, "b": 1, "c": 2}, {"a": 0.1, "b": 1, "c": 1})
        assert shares == pytest.approx({"a": 0.1, "b": 0.3, "c": 0.6})

    def test_what_a_team_keeps_is_not_divided(self):
        shares = max_min_shares({"a": 1, "b": 1, "c": 1}, None, {"a": 0.8})
        assert shares == pytest.approx({"a": 0.8, "b": 0.1, "c": 0.1})

    def test_a_pool_that_is_overcommitted_to_kept_shares_is_divided(self):
        assert max_min_shares({"a": 1, "b": 1}, None, {"a": 1.2}) == {"a": 1.2, "b": 0.0}

    def test_a_weight_of_0_and_a_team_without_a_row_count_as_1(self):
        configuration = builders.platform_configuration()
        configuration["tenants"][0]["weight"] = 0
        body = orjson.dumps(configuration)
        declared = decode_declaration(body, data_center="dc1").table.teams["team-a"]
        assert [team_weight(row) for row in (declared, None)] == [1.0, 1.0]


class TestOrderOfAPass:
    def starts(self, policy: str, weights: dict[str, float], **jobs: int) -> list[tuple[str, str]]:
        pool = SharedPool(policy=policy, **weights)
        for team, count in jobs.items():
            for _ in range(count):
                # Each job has a little more slack than the one before.
                pool.now_ms += 1
                pool.send(team)
        pool.run(PASS_MS)
        return pool.order

    @pytest.mark.parametrize(
        "jobs", [{"a": 30, "b": 10}, {"a": 90}, {"a": 24, "b": 90}], ids=["room", "one", "equal"]
    )
    def test_the_order_is_as_before_unless_a_team_exceeds_its_share(self, jobs):
        weights = {"a": 1.0, "b": 1.0}
        before = self.starts("by_urgency", weights, **jobs)
        assert self.starts("due_first", weights, **jobs) == before

    def test_an_urgent_queue_goes_first_only_within_its_teams_share(self):
        order = self.starts("due_first", {"a": 3, "urgent": 1}, a=90, urgent=90)
        teams = [team for team, _ in order]
        assert teams == ["urgent"] * 12 + ["a"] * 36

    def test_work_of_no_more_use_does_not_displace_useful_work_of_others(self):
        pool = SharedPool(a=10, b=1)
        pool.now_ms = 60_000
        pool.send("a", jobs=90, at_ms=1)
        pool.send("b", jobs=90)
        pool.run(PASS_MS)
        assert {team for team, _ in pool.order} == {"b"}

    def test_long_running_steps_stay_first(self):
        pool = SharedPool(a=10, b=1)
        pool.send("a", jobs=90)
        pool.send("b", builders.step(20, lasting=True, memory_mb=0))
        pool.run(PASS_MS)
        assert [team for team, _ in pool.order] == ["b"] * 20 + ["a"] * 28


class TestReplays:
    @pytest.mark.parametrize("seed", [0, 1])
    def test_a_light_team_at_its_peak_takes_no_share_of_a_heavy_one(self, seed):
        teams = TEAM_CASES["ten to one"]
        before = simulate_teams(QUOTE, teams, "by_urgency", seed)
        after = simulate_teams(QUOTE, teams, "due_first", seed)
        assert before.share_error > 0.2
        assert after.share_error < 0.15
        assert after.late["heavy"] <= 0.05 < before.late["heavy"]

    def test_a_team_borrows_what_another_leaves_and_gives_it_back(self):
        pool = SharedPool(a=2, b=1, c=1)

        def mean_cores(*sending: str) -> list[float]:
            pool.run(1_000, lambda: [pool.send(team, jobs=2) for team in sending])
            return pool.mean_cores("a", "b", "c", sending=sending)

        assert mean_cores("a", "b") == pytest.approx([32, 16, 0], abs=2)
        assert mean_cores("a", "b", "c") == pytest.approx([24, 12, 12], abs=2)

    @pytest.mark.parametrize("step", [{"cpu_millis": 15_000}, {"count": 14, "gang": True}])
    def test_a_huge_step_is_not_starved_by_small_ones(self, step):
        def waited_ms(policy: str) -> int:
            pool = SharedPool(policy=policy, a=1, b=1)
            pool.send("b", jobs=60)
            pool.run(1_000, lambda: pool.send("b", jobs=4))
            fields = {"count": 1, "memory_mb": 0, "estimate_ms": 500, **step}
            job_id = pool.send("a", builders.step(**fields))
            began_ms = pool.now_ms
            while not any(name.startswith(job_id) for _, name in pool.order):
                pool.run(PASS_MS, lambda: pool.send("b", jobs=4))
                if pool.now_ms - began_ms >= 4_000:
                    break
            return pool.now_ms - began_ms

        assert waited_ms("by_urgency") >= 4_000
        assert waited_ms("due_first") <= 1_000

    def test_shares_are_built_up_again_after_a_takeover(self):
        pool = SharedPool(a=5, b=1)
        pool.send("a", jobs=320)
        pool.send("b", jobs=160)
        pool.run(1_500)
        pool.take_over()
        assert pool.mean_cores("a", "b") == pytest.approx([40, 8], abs=4)


class TestReport:
    def test_a_declared_team_that_gets_less_than_its_share_is_shown_and_noted(self):
        pool = SharedPool(policy="by_urgency", urgent=1, b=10)
        # A team without a row takes part, but is not shown: callers choose no metric's name.
        for team in ("b", "urgent", "undeclared"):
            pool.send(team, jobs=240)
        pool.run(2_000)
        metrics = Metrics()
        report = ShareReport(scheduler=SimpleNamespace(fleet=pool.fleet, metrics=metrics))
        report.tick(pool.now_ms)
        assert report.short_teams == {"b"}
        assert set(report.describe(pool.now_ms)) == {"b", "urgent"}
        assert metrics.attainment.get({"team": "b"}) < SHORT_RATIO


class TestTakeover:
    def test_a_leader_that_is_killed_at_a_peak_loses_no_job_and_shows_attainment(self):
        trio.run(self.kill_leader_at_peak, clock=MockClock(autojump_threshold=0))

    async def kill_leader_at_peak(self) -> None:
        fleet = StepFleet(table=share_table({"a": 4, "b": 1}), minion_count=2)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            scheduler = await fleet.wait_for_scheduler()
            await trio.sleep(3)
            for number in range(80):
                job_id, team = f"{number:016x}", "ab"[number % 2]
                spec = fleet.specs[job_id] = builders.step_job(builders.step(4))
                await scheduler.accept_job(
                    AcceptJob(
                        job_id=job_id,
                        queue=team,
                        pool="pool-a",
                        team=team,
                        spec=spec,
                        at_ms=scheduler.clock.wall_ms(),
                    )
                )
            fleet.kill_control(await fleet.wait_for_leader())
            scheduler = await fleet.wait_for_scheduler()
            attained: dict = {}
            with trio.fail_after(60):
                while not all(job.ended for job in scheduler.proposed.workload.jobs.values()):
                    await trio.sleep(0.1)
                    service = fleet.control[await fleet.wait_for_leader()].service
                    attained |= service.describe()["team_shares"]
            assert set(attained) == {"a", "b"}
            assert len(scheduler.proposed.workload.jobs) == 80
            assert not fleet.find_violations()
            nursery.cancel_scope.cancel()
