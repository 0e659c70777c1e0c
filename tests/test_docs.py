"""The documentation matches the programs: every command of the API page runs as written."""

from __future__ import annotations

import re

import pytest

from hornbeamreach.tables.columns import columns_of
from hornbeamreach.tables.declared import ROW_CLASSES

from .processes import ROOT, Daemon, run_program

SHELL_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
# The page runs about 40 programs in sequence, each of which takes about 1 s of processor time.
PAGE_TIMEOUT_S = 180
EXPECTED_STATUS = re.compile(r"^(?P<command>.*?)\s+# -> (?P<status>\d+)$")


def api_commands() -> list[str]:
    text = (ROOT / "docs/api.md").read_text()
    return [line for block in SHELL_BLOCK.findall(text) for line in block.strip().splitlines()]


@pytest.fixture(scope="module")
def exports(tmp_path_factory):
    folder = tmp_path_factory.mktemp("served")
    daemon = Daemon(
        "hornbeamreach", "serve", f"--folder={folder / 'fleet'}", log_path=folder / "serve.log"
    )
    try:
        daemon.wait_for_output("# ready")
        lines = daemon.output().splitlines()
        exports = [line for line in lines if line.startswith("export ")]
        yield "\n".join(exports)
    finally:
        daemon.kill()


class TestApiPage:
    def test_every_command_returns_the_documented_status(self, exports):
        script = [exports, 'check() { [ "$1" = "$2" ] || echo "WRONG $2, not $1: $3"; }']
        checked = 0
        for number, line in enumerate(api_commands()):
            match = EXPECTED_STATUS.match(line)
            if match is None:
                script.append(f'{line} || echo "FAILED line {number}"')
                continue
            checked += 1
            command = match["command"].replace(
                "curl -s", "curl -s -o /dev/null -w '%{http_code}'", 1
            )
            script.append(f"check {match['status']} \"$({command})\" 'line {number}'")
        result = run_program("bash", "-c", "\n".join(script), timeout_s=PAGE_TIMEOUT_S)
        output = result.stdout + result.stderr
        assert checked >= 25
        assert "WRONG" not in output, output
        assert "FAILED" not in output, output


class TestTablePage:
    @pytest.mark.parametrize("kind", list(ROW_CLASSES))
    def test_every_column_is_documented_with_its_unit(self, kind):
        text = (ROOT / "docs/table.md").read_text()
        for name, column in columns_of(ROW_CLASSES[kind]).items():
            assert f"| `{name}` | {column.unit} |" in text


class TestExamples:
    @pytest.mark.parametrize("name", ["brettwerk", "lakeshore"])
    def test_examples_are_valid_tables(self, name):
        result = run_program("hornbeamreach", "settings", "check", f"examples/{name}.toml")
        assert result.returncode == 0, result.stderr
