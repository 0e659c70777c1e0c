"""The daemons and the command line as separate processes, with kills, restarts and shutdown."""

from __future__ import annotations

import json
import threading
import time

import pytest

from hornbeamreach.settings import SETTINGS_CLASSES

from .process_fleet import ProcessFleet
from .processes import ROOT, run_program


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = ProcessFleet(tmp_path_factory.mktemp("site"))
    try:
        fleet.wait_until(
            lambda: fleet.run_cli("table", "show").returncode == 0, "control has a leader"
        )
        applied = fleet.run_cli("table", "apply", str(fleet.table_path))
        assert applied.returncode == 0, applied.stderr
        fleet.minion_thread.start()
        yield fleet
    finally:
        fleet.close()


@pytest.fixture(scope="module")
def key(fleet):
    granted = fleet.run_cli("key", "grant", "red", "--key-id=one")
    assert granted.returncode == 0, granted.stderr
    key = granted.stdout.split("key: ")[1].strip()
    fleet.wait_until(lambda: fleet.call(key)[0] == 200, "a call is served")
    return key


class TestDaemons:
    def test_a_call_is_served_through_separate_processes(self, fleet, key):
        status, body = fleet.call(key, b"hello")
        assert (status, json.loads(body)["body"]) == (200, "hello")

    def test_no_log_contains_a_key(self, fleet, key):
        for daemon in fleet.daemons.values():
            assert key not in daemon.output()

    def test_a_killed_leader_is_replaced_and_recovers_its_state(self, fleet, key):
        leader = fleet.leader()
        fleet.daemons[leader].kill()
        fleet.wait_until(
            lambda: fleet.run_cli("table", "show").returncode == 0, "another replica leads"
        )
        assert fleet.call(key)[0] == 200
        fleet.start(leader)
        fleet.wait_until(
            lambda: leader in fleet.run_cli("status").stdout, "the replica reports its status"
        )
        fleet.wait_until(
            lambda: len({s["digest"] for s in self.control_status(fleet)}) == 1, "states agree"
        )

    def control_status(self, fleet):
        return [s for s in json.loads(fleet.run_cli("status", "--json").stdout) if "digest" in s]

    def test_a_running_replica_locks_its_data_folder(self, fleet, key):
        name = next(iter(fleet.plan.control))
        second = run_program("hornbeamreach-control", f"--settings={fleet.folder / name}.toml")
        assert second.returncode == 1
        assert "another process holds the data folder" in second.stderr

    def test_sigterm_lets_calls_in_flight_finish(self, fleet, key):
        fleet.behaviour.work_ms = 1_500
        responses = []
        threads = [
            threading.Thread(target=lambda: responses.append(fleet.call(key, b"in flight")))
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        assert fleet.daemons["dc1-e1"].terminate() == 0
        for thread in threads:
            thread.join()
        assert [status for status, _ in responses] == [200] * 4, responses


class TestInvalidInput:
    def test_invalid_settings_are_reported_on_one_line_with_the_file(self, tmp_path):
        path = tmp_path / "bad.toml"
        path.write_text('colour = "red"\n[process]\nid = "x"\n')
        result = run_program("hornbeamreach-entry", f"--settings={path}")
        assert result.returncode == 2
        assert str(path) in result.stderr
        assert len(result.stderr.strip().splitlines()) == 1

    def test_an_invalid_column_is_reported_with_its_path_and_value(self, tmp_path):
        path = tmp_path / "bad.toml"
        path.write_text(
            (ROOT / "examples/brettwerk.toml")
            .read_text()
            .replace("max_down = 1", "max_down = -1", 1)
        )
        result = run_program("hornbeamreach", "settings", "check", str(path))
        assert result.returncode == 2
        assert "pools.quotes.max_down" in result.stderr
        assert "-1" in result.stderr

    def test_a_missing_profile_is_reported_with_its_file(self, tmp_path):
        result = run_program(
            "hornbeamreach", "status", HORNBEAMREACH_PROFILE=str(tmp_path / "none.toml")
        )
        assert result.returncode == 2
        assert "none.toml" in result.stderr

    def test_settings_of_every_daemon_can_be_checked(self):
        assert set(SETTINGS_CLASSES) == {"control", "entry"}


class TestHelp:
    def test_help_lists_every_group_and_command(self):
        result = run_program("hornbeamreach", "--help")
        text = result.stdout + result.stderr
        for name in ("table", "key", "vm", "settings", "status", "explain", "member", "demo"):
            assert f"\n     {name}\n" in text, text
