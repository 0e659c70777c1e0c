"""Admission of short jobs: a replay of a burst, shares of teams, and the order of retries."""

from __future__ import annotations

import pytest
from attrs import define, field

from hornbeamreach.systems.admission import (
    LOAN_DELAY_MS,
    MAX_LOOP_LAG_MS,
    JobDecision,
    JobRequest,
    admission_policies,
)
from hornbeamreach.systems.queued_work import JobWork, QueuedWork
from hornbeamreach.systems.refused_callers import MAX_ENTRIES, RETENTION_MS, RefusedCallers

CORES = 400
PATH_MS = 1_300
USEFUL_MS = 3 * (1.5 * PATH_MS + 300)
JOB_CORE_MS = 8 * 1.6 * 740 * 3
BURST_FACTOR = 2.4


def decide(policy: str = "while_useful", **fields) -> JobDecision:
    columns = {
        "team": "team-a",
        "path_ms": PATH_MS,
        "useful_ms": USEFUL_MS,
        "cpu_millis": CORES * 1_000,
        **fields,
    }
    return admission_policies.get(policy)(JobRequest(**columns))


def work(core_ms: float = JOB_CORE_MS, team: str = "team-a", until_ms: int = 10**9) -> JobWork:
    return JobWork(pool="pool-a", team=team, rank=0, core_ms=core_ms, until_ms=until_ms)


@define
class Replay:
    """Serve a burst as the planner does: the oldest job that can be useful, then late ones."""

    policy: str
    # Jobs that were accepted after a refusal.
    returned: set[str] = field(factory=set)
    # Accepted jobs that have not been served when the replay ends.
    left: list[str] = field(factory=list)
    # Callers that were refused and have not come back in.
    refused: int = 0

    def run(self) -> tuple[dict[str, bool], list[tuple[int, int]]]:
        """Return whether each accepted job was useful, and when refused jobs came and got in.

        A caller's time counts from its first request, also if that was refused.
        """
        queued, callers = QueuedWork(), RefusedCallers()
        serving: list[tuple[int, str]] = []
        returning: list[tuple[int, str, int]] = []
        useful, admitted = {}, []
        returned = self.returned
        left, due, number = 0.0, 0.0, 0
        for now_ms in range(0, 30_000, 10):
            left += CORES * 10
            while serving and left > 0:
                oldest_ms = now_ms + PATH_MS - USEFUL_MS
                arrived_ms, job_id = min(serving, key=lambda job: (job[0] < oldest_ms, job))
                serving.remove((arrived_ms, job_id))
                queued.update(job_id, None, now_ms)
                left -= JOB_CORE_MS
                useful[job_id] = arrived_ms >= oldest_ms
            left = min(left, 0.0) if not serving else left
            due += CORES * 10 * 0.9 * (BURST_FACTOR if 2_000 <= now_ms < 8_000 else 1)
            come = [item for item in returning if item[0] <= now_ms]
            returning = [item for item in returning if item[0] > now_ms]
            while due >= JOB_CORE_MS:
                due -= JOB_CORE_MS
                number += 1
                come.append((now_ms, f"job-{number}", now_ms))
            for _, job_id, first_ms in come:
                load = queued.ahead("pool-a", 0, now_ms)
                useful_ms = USEFUL_MS - (now_ms - first_ms)
                decision = decide(self.policy, queued_core_ms=load, useful_ms=useful_ms)
                if decision.accepted:
                    serving.append((first_ms, job_id))
                    queued.update(job_id, work(until_ms=first_ms + USEFUL_MS), now_ms)
                    if callers.remove(job_id, now_ms):
                        admitted.append((first_ms, now_ms))
                        returned.add(job_id)
                else:
                    after_ms = -(-decision.retry_after_ms // 1_000) * 1_000
                    returning.append((now_ms + after_ms, job_id, first_ms))
                    callers.add(job_id, work(until_ms=now_ms + after_ms), now_ms)
        self.left = [job_id for _, job_id in serving]
        self.refused = len(callers.first_ms)
        return useful, admitted


class TestBurst:
    def test_callers_learn_at_once_that_a_job_would_end_too_late(self):
        # Without admission they wait until the job is of no more use.
        baseline, policy = Replay(policy="accept_all"), Replay(policy="while_useful")
        useful, _ = baseline.run()
        waited_in_vain = len(baseline.left) + list(useful.values()).count(False)
        assert waited_in_vain > 0.1 * len(useful)
        served, admitted = policy.run()
        # The same capacity serves as many callers in time.
        assert list(served.values()).count(True) >= list(useful.values()).count(True)
        told_at_once = len(admitted) + policy.refused
        assert told_at_once >= 0.25 * waited_in_vain

    def test_a_refused_caller_keeps_its_place(self):
        callers = RefusedCallers()
        callers.add("1", work(), 1_000)
        callers.add("1", work(), 3_000)
        assert callers.waited_ms("1", 4_000) == 3_000
        assert callers.waited_ms("2", 4_000) == 0


class TestDecision:
    def test_a_job_is_refused_only_if_it_certainly_ends_too_late(self):
        room_ms = USEFUL_MS - PATH_MS
        assert decide(queued_core_ms={"team-a": room_ms * CORES}).accepted
        late = {"team-a": room_ms * CORES + CORES * 2_500}
        refused = decide(queued_core_ms=late)
        assert (refused.accepted, refused.retry_after_ms) == (False, 3_125)
        # Unlike the estimate, lent VMs and short runs may let it end in time.
        assert decide(queued_core_ms=late, lendable_cpu_millis=CORES * 1_000).accepted
        assert decide(queued_core_ms=late, task_core_ms=400_000, spread=0.5).accepted

    def test_lent_vms_do_not_work_before_they_arrive(self):
        queued = {"team-a": LOAN_DELAY_MS * CORES}
        lent = decide(queued_core_ms=queued, lendable_cpu_millis=10**9)
        assert lent.end_ms == LOAN_DELAY_MS + PATH_MS

    def test_a_team_within_its_share_is_not_refused_for_the_excess_of_another(self):
        queued = {"team-a": 100_000.0, "team-b": 10.0**7}
        for weights in ({}, {"team-a": 1, "team-b": 10}, {"team-a": 0}):
            assert decide(queued_core_ms=queued, weights=weights).accepted
            assert not decide(team="team-b", queued_core_ms=queued, weights=weights).accepted

    def test_work_that_waits_for_a_teams_own_limit_is_not_ahead(self):
        queued = {"team-a": 500_000.0, "team-b": 10.0**7}
        weights = {"team-a": 1, "team-b": 10}
        assert not decide(queued_core_ms=queued, weights=weights).accepted
        limits = {"team-b": 4_000}
        assert decide(queued_core_ms=queued, weights=weights, limits_cpu_millis=limits).accepted

    @pytest.mark.parametrize("fields", [{"cpu_millis": 0}, {"path_ms": 0}, {"useful_ms": 1_000}])
    def test_what_is_not_late_for_load_is_accepted(self, fields):
        assert decide(queued_core_ms={"team-a": 10.0**9}, **fields).accepted

    def test_a_lagging_loop_refuses_jobs_and_spreads_their_callers(self):
        assert decide(loop_lag_ms=MAX_LOOP_LAG_MS).accepted
        refused = [decide(loop_lag_ms=MAX_LOOP_LAG_MS + 1, refusals=n) for n in range(20)]
        assert not any(decision.accepted for decision in refused)
        assert {d.retry_after_ms for d in refused} == {1_000, 2_000, 3_000, 4_000, 5_000}


class TestTotals:
    def test_totals_follow_updates_ranks_and_ends(self):
        queued = QueuedWork()
        queued.update("1", work(100.0, until_ms=50), 0)
        queued.update("1", work(60.0, until_ms=80), 0)
        queued.update("2", work(30.0, team="team-b"), 0)
        assert queued.ahead("pool-a", 0, 79) == {"team-a": 60.0, "team-b": 30.0}
        assert queued.ahead("pool-a", -1, 79) == queued.ahead("pool-b", 0, 79) == {}
        assert queued.ahead("pool-a", 0, 80) == {"team-b": 30.0}

    def test_the_table_of_refused_callers_is_bounded(self):
        callers = RefusedCallers()
        for number in range(MAX_ENTRIES + 5):
            callers.add(str(number), work(), number)
        assert len(callers.first_ms) == len(callers.expected.jobs) == MAX_ENTRIES
        callers.expire(MAX_ENTRIES + 4 + RETENTION_MS)
        assert not callers.first_ms and not callers.expected.jobs
