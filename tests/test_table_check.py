"""Findings on a table file, and the result of `hornbeamreach table check`."""

from __future__ import annotations

import pytest

from hornbeamreach.cli.main import Commands
from hornbeamreach.cli.table_check import check_table_file
from hornbeamreach.exceptions import RefusedError, TableError
from hornbeamreach.systems.table_findings import CheckedTable, Severity, find_all, finders
from hornbeamreach.tables.control_state import KeyRow
from hornbeamreach.tables.table_file import format_toml
from hornbeamreach.verdict import Reason

from .builders import pool, queue, table, team, vm
from .processes import ROOT


def pools(**columns):
    return {"pools": {"main": pool(**columns)}}


def queues(**columns):
    return {"queues": {"reports": queue(**columns)}}


# For each finder, tables that it must report and the paths of the findings; each guards against
# a mistake that control would refuse (the first finder) or accept without effect.
FAULTY = [
    ("inconsistent_row", queues(pool="nowhere"), ["queues.reports.pool"]),
    ("inconsistent_row", queues(open=True, open_team="x"), ["queues.reports.open_team"]),
    (
        "inconsistent_row",
        {"teams": {"A b": team(home="dc9"), "red": team(home="dc8")}},
        ["teams.A b", "teams.A b.home", "teams.red.home"],
    ),
    (
        "pool_without_vms",
        {"pools": {"main": pool(), "empty": pool()}, **queues(pool="empty")},
        ["queues.reports.pool"],
    ),
    (
        "pool_without_vms",
        {**pools(standby=True), "services": {}},
        ["queues.reports.pool"],
    ),
    (
        "unused_pool",
        {"pools": {"main": pool(), "idle": pool()}, "vms": {**table().vms, "w9": vm(pool="idle")}},
        ["pools.idle"],
    ),
    ("unreachable_route", queues(host="A.example"), ["queues.reports.host"]),
    ("unreachable_route", queues(host="a", path_prefix="jobs"), ["queues.reports.path_prefix"]),
    ("unreachable_route", queues(path_prefix="/jobs/"), ["queues.reports.path_prefix"]),
    (
        "duplicate_route",
        {"queues": {name: queue(host="a", path_prefix="/b") for name in ("one", "two")}},
        ["queues.two.path_prefix"],
    ),
    ("key_without_team", {"teams": {"red": team()}}, ["teams.blue"]),
    (
        "team_at_zero",
        {"teams": {"red": team(max_running=0), "blue": team()}},
        ["teams.red.max_running"],
    ),
    (
        "budget_without_effect",
        pools(max_down=3, max_down_per_data_center=1, max_down_per_rack=2),
        ["pools.main.max_down_per_rack"],
    ),
    (
        "no_maintenance",
        pools(max_down_per_rack=0, maintenance_interval_ms=60_000),
        ["pools.main.max_down_per_rack"],
    ),
    # Six VMs, two at a time, are out for at least 3 s each.
    (
        "slow_maintenance",
        pools(max_down=2, probation_ms=3_000, maintenance_interval_ms=8_999),
        ["pools.main.maintenance_interval_ms"],
    ),
    ("pool_out_at_once", pools(max_down=6), ["pools.main.max_down"]),
    (
        "unreachable_target",
        queues(slack_factor=0.9, target_latency_ms=0),
        ["queues.reports.slack_factor"],
    ),
    ("unused_advice", queues(advice_each_ms=5), ["queues.reports.advice_valid_ms"]),
]

# Tables at the limit that a finder must not report.
SOUND = [
    pools(max_down=2, probation_ms=3_000, maintenance_interval_ms=9_000),
    pools(max_down=6, max_down_per_data_center=1),
    pools(max_down=0),
    {**pools(max_down=2, max_down_per_rack=1), "teams": {}, "vms": {"w1": vm(), "w2": vm()}},
    {**pools(max_down=1), "teams": {}, "vms": {"w1": vm()}},
    {
        "pools": {"main": pool(), "lent": pool(spare=True, max_down=2)},
        "vms": {**table().vms, "w8": vm(pool="lent"), "w9": vm(pool="lent")},
    },
    {"queues": {host: queue(host=host, path_prefix="/jobs/") for host in ("a", "b")}},
    queues(slack_factor=0.0),
    queues(advice_each_ms=5, advice_valid_ms=1_000),
]


def paths(findings):
    return [".".join(filter(None, (f.table, f.row, f.column))) for f in findings]


class TestFinders:
    @pytest.mark.parametrize(("finder", "rows", "expected"), FAULTY)
    def test_a_faulty_table_is_reported_at_the_row_and_column(self, finder, rows, expected):
        keys = (KeyRow(team="red", key_id="k1"), KeyRow(team="blue", key_id="k2"))
        findings = list(finders.get(finder)(CheckedTable(table=table(**rows), keys=keys)))
        assert paths(findings) == expected
        is_error = finder == "inconsistent_row"
        assert {f.severity for f in findings} == {Severity.ERROR if is_error else Severity.WARNING}

    def test_no_finder_is_without_a_table_that_it_reports(self):
        assert {finder for finder, _, _ in FAULTY} == set(finders)

    @pytest.mark.parametrize("rows", SOUND)
    def test_a_table_at_the_limit_gets_no_false_warning(self, rows):
        assert find_all(CheckedTable(table=table(**rows))) == []

    def test_errors_come_before_warnings(self):
        # Among many warnings an error could otherwise be overlooked.
        findings = find_all(
            CheckedTable(table=table(**pools(max_down_per_rack=2), **queues(pool="x")))
        )
        assert paths(findings) == ["queues.reports.pool", "pools.main.max_down_per_rack"]


@pytest.fixture
def check(tmp_path):
    """Return a function that checks a file with the given text or table."""

    def run(content, fetch_table=None):
        text = content if isinstance(content, str) else format_toml(content)
        path = tmp_path / "table.toml"
        path.write_text(text)
        return check_table_file(str(path), fetch_table or unreachable)

    return run


def unreachable():
    raise RefusedError(Reason.NO_LEADER, "no control replica can be reached")


def in_force():
    keys = [{"team": "gone", "key_id": "k1", "key_hash": "0" * 64}]
    return table(), {"version": 7, "keys": keys}


class TestCheckTableFile:
    def test_every_invalid_row_is_reported_and_nothing_that_follows_from_it(self, check):
        # An invalid pool must not make its queues and VMs look as if they named none.
        red = 'red = { weight = 0, max_running = 1, home = "dc1" }\nblue = 5\n'
        result = check(f'[teams]\n{red}[pools]\nmain = {{ }}\n[queues]\nq = {{ pool = "main" }}\n')
        assert paths(result.findings) == ["teams.red.weight", "teams.blue", "pools.main.max_down"]
        assert result.exit_code() == 1
        assert "can't be read" in result.lines()[-1]

    def test_an_unreachable_control_is_stated_and_is_no_finding(self, check):
        result = check(table(), unreachable)
        assert result.exit_code() == 0
        assert result.lines()[0] == "no findings"
        assert "no control replica could be asked" in result.lines()[1]

    def test_the_keys_and_differences_of_the_version_in_force_are_shown(self, check):
        # A check that drops them would let an operator withdraw a team's keys unawares.
        result = check(table(queues={}), in_force)
        assert paths(result.findings) == ["teams.gone"]
        assert result.exit_code() == 3
        assert result.lines()[1:] == ["differences from version 7:", "- queues.reports"]

    def test_differences_alone_are_no_finding(self, check):
        # Otherwise no change could pass a check in a pipeline.
        fetch = lambda: (table(queues={}), {"version": 7, "keys": []})  # noqa: E731
        result = check(table(), fetch)
        assert result.differences
        assert result.exit_code() == 0

    def test_a_file_that_is_no_toml_is_invalid_input(self, check):
        # The command then exits with 2, as the other commands do.
        with pytest.raises(TableError):
            check("[teams")

    @pytest.mark.parametrize("name", ["brettwerk", "lakeshore"])
    def test_the_examples_have_no_findings(self, name):
        assert check_table_file(str(ROOT / f"examples/{name}.toml"), unreachable).findings == []


class TestCommand:
    @pytest.mark.parametrize(("columns", "code"), [({}, 0), ({"max_down": 6}, 3)])
    def test_the_exit_code_is_that_of_the_findings(
        self, columns, code, tmp_path, monkeypatch, capsys
    ):
        # A command that always exits with 0 would let a pipeline apply a faulty table.
        monkeypatch.setenv("HORNBEAMREACH_PROFILE", str(tmp_path / "missing.toml"))
        path = tmp_path / "table.toml"
        path.write_text(format_toml(table(**pools(**columns))))
        with pytest.raises(SystemExit) as caught:
            Commands().table.check(str(path), json=True)
        assert caught.value.code == code
        assert '"differences": null' in capsys.readouterr().out
