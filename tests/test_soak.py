"""The fault soak: its checks find violations, and a short seeded run of real processes has none."""

from __future__ import annotations

import json

import pytest
import trio

from soak.checks import EVACUATION_BOUND_MS, find_violations
from soak.faults import LANES, plan_faults
from soak.observations import (
    DeclarationRead,
    Evacuation,
    JobRecord,
    Observations,
    Response,
    RunEvent,
    find_logged_faults,
)
from soak.run import run_soak, summary

# Failed once for a fault of the soak; docs/soak.md lists such seeds.
SEED = 7
DURATION_MS = 25_000
# Start and end of 17 processes and the settling included, on a busy machine.
TIMEOUT_S = 170
TARGETS = {"control": ["c1"], "entry": ["e1"], "minion": ["m1"], "data center": ["dc1"]}


def response(sent_ms: float, status: int = 200, state: str = "") -> Response:
    return Response(sent_ms=sent_ms, at_ms=sent_ms + 10, status=status, state=state)


def event(kind: str, at: float, *, run: int = 1, minion: str = "dc1-w1-a", end: str = ""):
    zone = "dc1" if kind == "start" else ""
    return RunEvent(kind=kind, task="j1.0.0.0", run=run, minion=minion, at=at, zone=zone, end=end)


def one_job(**changes) -> Observations:
    """Return one job of one task that was accepted, ran once and completed."""
    job = JobRecord(
        job_id="j1",
        team="red",
        cpu_millis=1_000,
        task_count=1,
        submissions=[response(0)],
        reads=[response(900, state="completed")],
    )
    events = [event("start", 100), event("end", 500, end="done"), event("ack", 600)]
    seen = Observations(team_caps={"red": 1_000}, jobs={"j1": job}, events=events)
    for name, value in changes.items():
        setattr(job if hasattr(job, name) and name != "jobs" else seen, name, value)
    return seen


def violated(seen: Observations) -> set[str]:
    return {name for name, found in find_violations(seen).items() if found}


class TestChecks:
    """A check that finds nothing on faulty observations would let each soak pass."""

    def test_a_job_that_ran_once_violates_nothing(self):
        assert not violated(one_job())

    @pytest.mark.parametrize(
        ("changes", "invariant"),
        [
            (
                {"events": [event("start", 100), event("start", 400, run=2, minion="dc2-w1-a")]},
                "no_task_runs_twice_at_once",
            ),
            (
                {"events": [*one_job().events, event("start", 700, run=2)]},
                "no_start_after_acknowledged_end",
            ),
            (
                {"events": [event("start", 100), event("end", 500), event("start", 950, run=2)]},
                "no_start_after_acknowledged_end",
            ),
            ({"reads": []}, "no_accepted_job_is_lost"),
            ({"reads": [response(900, 410)]}, "no_accepted_job_is_lost"),
            ({"events": []}, "no_accepted_job_is_lost"),
            ({"reads": [response(900, state="failed")]}, "no_accepted_job_is_lost"),
            ({"reads": [response(900, state="cancelled")]}, "no_accepted_job_is_lost"),
            (
                {"reads": [*one_job().jobs["j1"].reads, response(1_000, state="running")]},
                "no_acknowledged_change_is_lost",
            ),
            (
                {"cancels": [response(300)], "reads": [response(400, state="running")]},
                "no_acknowledged_change_is_lost",
            ),
            (
                {"declaration_reads": [DeclarationRead(at_ms=9, acked_version=3, version=2)]},
                "no_acknowledged_change_is_lost",
            ),
            ({"team_caps": {"red": 999}}, "no_team_exceeds_its_cap"),
            ({"submissions": [response(0, 429), response(20, 503)]}, "a_refusal_is_true"),
            ({"submissions": [response(0), response(200, 429)]}, "a_refusal_is_true"),
            ({"jobs": {}}, "a_refusal_is_true"),
            (
                {
                    "evacuations": [
                        Evacuation(data_center="dc1", acked_ms=-5_000, finish_sent_ms=101)
                    ]
                },
                "an_evacuated_data_center_gets_no_start",
            ),
            ({"incidents": ["ended by itself"]}, "the_programs_behave"),
        ],
    )
    def test_each_fault_violates_its_invariant(self, changes, invariant):
        assert invariant in violated(one_job(**changes))

    def test_a_killed_minion_ends_its_runs(self):
        # Its runs may start again elsewhere although it wrote no end.
        events = [
            event("start", 100),
            event("start", 400, run=2, minion="dc2-w1-a"),
            event("end", 800, run=2, minion="dc2-w1-a", end="done"),
        ]
        assert not violated(one_job(events=events, minion_ends={"dc1-w1": [50, 300]}))

    def test_errors_of_the_daemons_are_found_in_their_logs(self, tmp_path):
        lines = [
            {"level": "ERROR", "part": "link:", "text": "message not handled: KeyError()"},
            {"level": "WARNING", "part": "queues:", "text": "a job that was not planned"},
            {"level": "ERROR", "part": "websockets.client:", "text": "keepalive ping failed"},
            {"level": "INFO", "part": "link:", "text": "connected to peer"},
        ]
        path = tmp_path / "control.log"
        path.write_text("\n".join(json.dumps(line) for line in lines) + '\n{"level": "ERR')
        assert len(find_logged_faults([path])) == 2

    def test_an_unknown_response_lets_the_job_run(self):
        seen = one_job(submissions=[response(0, 504), response(50, 503)])
        assert not violated(seen)


class TestPlan:
    def test_a_seed_gives_the_same_faults_again(self):
        plans = [plan_faults(3, 300_000, TARGETS, [("c1", "c2")]) for _ in range(2)]
        assert plans[0] == plans[1] != plan_faults(4, 300_000, TARGETS, [("c1", "c2")])
        kinds = {fault.kind for fault in plans[0]}
        assert kinds == {kind for lane in LANES.values() for kind in lane.kinds}


class TestSoak:
    def test_a_short_soak_of_real_processes_violates_no_invariant(self, tmp_path):
        async def main() -> Observations:
            with trio.fail_after(TIMEOUT_S):
                return await run_soak(seed=SEED, duration_ms=DURATION_MS, folder=tmp_path)

        seen = trio.run(main)
        found = {name: found[:3] for name, found in find_violations(seen).items() if found}
        assert not found, f"seed {SEED}, files in {tmp_path}: {found}"
        # A soak in which nothing ran would violate nothing.
        assert sum(job.accepted_ms is not None for job in seen.jobs.values()) > 50, summary(seen)
        checked_ms = [e.finish_sent_ms - e.acked_ms - EVACUATION_BOUND_MS for e in seen.evacuations]
        assert max(checked_ms, default=0) > 2_000, summary(seen)
