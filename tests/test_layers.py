"""Import rules between the packages, and rules for their files."""

from __future__ import annotations

import ast

import pytest

from .processes import ROOT

SOURCE = ROOT / "src/hornbeamreach"
LICENSE_NOTICES = ("copy" + "right", "spdx-", "licen" + "sed under")
IMPURE_MODULES = {
    "trio",
    "httpcore",
    "httptools",
    "starlette",
    "websockets",
    "time",
    "os",
    "socket",
}


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


@pytest.mark.parametrize("layer", ["tables", "systems"])
class TestPureLayers:
    def test_no_module_imports_io_or_a_clock(self, layer):
        for path in (SOURCE / layer).glob("*.py"):
            names = {name.partition(".")[0] for name in imported_modules(path)}
            assert not names & IMPURE_MODULES, path

    def test_no_module_imports_a_daemon_or_service(self, layer):
        for path in (SOURCE / layer).glob("*.py"):
            parts = {
                n.split(".")[1] for n in imported_modules(path) if n.startswith("hornbeamreach.")
            }
            assert not parts & {"control", "entry", "records", "daemons", "web", "demo"}, path


class TestTablesPackage:
    def test_no_module_imports_systems_or_link(self):
        for path in (SOURCE / "tables").glob("*.py"):
            parts = {
                n.split(".")[1] for n in imported_modules(path) if n.startswith("hornbeamreach.")
            }
            assert not parts & {"systems", "link"}, path


# Names of the users' platform, which only its adapter may use.
WIRE_NAMES = (
    "run-start",
    "run-stop",
    "may-miss",
    "heartbeat-address",
    "fencing-token",
    "wave-start",
    "cpu-share",
    "api-keys",
    "required-label",
    "anti-affinity",
    "HORNBEAMREACH_NODE_FILE",
)


class TestPlatformAdapter:
    def modules_outside(self):
        return [path for path in SOURCE.rglob("*.py") if path.parent.name != "platform"]

    def test_no_other_package_imports_the_adapter(self):
        for path in self.modules_outside():
            assert not [
                n for n in imported_modules(path) if n.startswith("hornbeamreach.platform")
            ], path

    def test_wire_names_occur_only_in_the_adapter(self):
        for path in self.modules_outside():
            text = path.read_text()
            assert not [name for name in WIRE_NAMES if name in text], path

    def test_the_adapter_is_less_than_a_twelfth_of_the_code(self):
        def lines(paths):
            return sum(len(path.read_text().splitlines()) for path in paths)

        adapter_lines = lines((SOURCE / "platform").glob("*.py"))
        assert adapter_lines / lines(SOURCE.rglob("*.py")) < 1 / 12


class TestHouse:
    def test_no_file_has_a_license_notice(self):
        for path in SOURCE.rglob("*.py"):
            text = path.read_text().lower()
            assert not [word for word in LICENSE_NOTICES if word in text], path

    def test_every_page_of_the_docs_folder_is_named_in_the_readme(self):
        readme = (ROOT / "README.md").read_text()
        for page in (ROOT / "docs").glob("*.md"):
            assert f"docs/{page.name}" in readme, page
