"""Start of a program on the platform."""

from __future__ import annotations

import importlib
import os
import sys

import trio

from hornbeamreach.exceptions import SettingsError
from hornbeamreach.logs import configure_json_logs, part_logger
from hornbeamreach.platform.process import ReloadedSettings
from hornbeamreach.platform.settings import SETTINGS_VARIABLE

log = part_logger("main")

EXIT_BAD_SETTINGS = 2
# Where each program's `run` lives; an entry starts twice as fast without control's modules.
ROLES = {
    "control": "hornbeamreach.platform.control_daemon",
    "entry": "hornbeamreach.platform.entry_daemon",
}


def start(role: str) -> None:
    """Run the program of a role, `control` or `entry`, until SIGTERM."""
    configure_json_logs()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        if role not in ROLES:
            raise SettingsError(f"no such program; known: {', '.join(ROLES)}", path=role)
        settings = ReloadedSettings(path)
    except (SettingsError, OSError) as exc:
        log.error("can't start: {}", exc)
        sys.exit(EXIT_BAD_SETTINGS)
    trio.run(importlib.import_module(ROLES[role]).run, settings)


def main() -> None:
    """Run the program that the only argument names."""
    start(sys.argv[1] if len(sys.argv) > 1 else "")
