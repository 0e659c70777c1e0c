"""The programs as separate processes: served, killed, restarted and shut down."""

from __future__ import annotations

import json
import threading
import time

import pytest

from hornbeamreach.settings import SETTINGS_CLASSES

from .processes import ROOT, run_program
from .site import Site


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = Site(tmp_path_factory.mktemp("site"))
    try:
        site.until(lambda: site.cli("table", "show").returncode == 0, "control leads")
        applied = site.cli("table", "apply", str(site.example))
        assert applied.returncode == 0, applied.stderr
        site.minion_thread.start()
        yield site
    finally:
        site.close()


@pytest.fixture(scope="module")
def key(site):
    granted = site.cli("key", "grant", "red", "--key-id=one")
    assert granted.returncode == 0, granted.stderr
    key = granted.stdout.split("key: ")[1].strip()
    site.until(lambda: site.call(key)[0] == 200, "a call is served")
    return key


class TestProcesses:
    def test_a_call_is_served_through_separate_processes(self, site, key):
        status, body = site.call(key, b"hello")
        assert (status, json.loads(body)["body"]) == (200, "hello")

    def test_no_key_stands_in_any_log(self, site, key):
        for daemon in site.daemons.values():
            assert key not in daemon.output()

    def test_a_killed_leader_is_replaced_and_comes_back_with_its_state(self, site, key):
        leader = site.leader()
        site.daemons[leader].kill()
        site.until(lambda: site.cli("table", "show").returncode == 0, "another leads")
        assert site.call(key)[0] == 200
        site.start(leader)
        site.until(lambda: leader in site.cli("status").stdout, "it is back")
        site.until(
            lambda: len({s["digest"] for s in self.control_status(site)}) == 1, "states agree"
        )

    def control_status(self, site):
        return [s for s in json.loads(site.cli("status", "--json").stdout) if "digest" in s]

    def test_a_running_replica_holds_its_data_folder(self, site, key):
        name = next(iter(site.plan.control))
        second = run_program("hornbeamreach-control", f"--settings={site.folder / name}.toml")
        assert second.returncode == 1
        assert "another process holds the data folder" in second.stderr

    def test_sigterm_lets_calls_in_flight_finish(self, site, key):
        site.behaviour.work_ms = 1_500
        answers = []
        threads = [
            threading.Thread(target=lambda: answers.append(site.call(key, b"in flight")))
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        assert site.daemons["dc1-e1"].terminate() == 0
        for thread in threads:
            thread.join()
        assert [status for status, _ in answers] == [200] * 4, answers


class TestBadInput:
    def test_bad_settings_name_file_key_and_value(self, tmp_path):
        path = tmp_path / "bad.toml"
        path.write_text('colour = "red"\n[process]\nid = "x"\n')
        result = run_program("hornbeamreach-entry", f"--settings={path}")
        assert result.returncode == 2
        assert str(path) in result.stderr
        assert len(result.stderr.strip().splitlines()) == 1

    def test_a_bad_column_names_its_path(self, tmp_path):
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

    def test_a_missing_profile_is_one_clear_line(self, tmp_path):
        result = run_program(
            "hornbeamreach", "status", HORNBEAMREACH_PROFILE=str(tmp_path / "none.toml")
        )
        assert result.returncode == 2
        assert "none.toml" in result.stderr

    def test_every_kind_of_settings_is_checked(self):
        assert set(SETTINGS_CLASSES) == {"control", "entry"}


class TestHelp:
    def test_help_lists_every_group_and_command(self):
        shown = run_program("hornbeamreach", "--help")
        text = shown.stdout + shown.stderr
        for name in ("table", "key", "vm", "settings", "status", "explain", "member", "demo"):
            assert f"\n     {name}\n" in text, text
