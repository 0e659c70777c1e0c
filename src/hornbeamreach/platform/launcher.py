"""Start of a daemon on the platform."""

from __future__ import annotations

import gc
import importlib
import os
import sys

import trio

from hornbeamreach.exceptions import SettingsError
from hornbeamreach.logs import configure_json_logs, part_logger
from hornbeamreach.platform.process import ReloadableSettings
from hornbeamreach.platform.settings import SETTINGS_VARIABLE

log = part_logger("main")

EXIT_INVALID_SETTINGS = 2
# Modules that define `run`. Imported by name: an entry starts twice as fast without control's
# modules.
MODULE_BY_ROLE = {
    "control": "hornbeamreach.platform.control_daemon",
    "entry": "hornbeamreach.platform.entry_daemon",
}
# A collection of the youngest objects after this many new ones. The default of 700 moves objects
# that live for a request to the oldest generation, whose collections take up to 100 ms.
GC_THRESHOLDS = (10_000, 10, 10)


def start(role: str) -> None:
    """Run the daemon of a role, `control` or `entry`, until SIGTERM."""
    configure_json_logs()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        if role not in MODULE_BY_ROLE:
            raise SettingsError(f"unknown role; known: {', '.join(MODULE_BY_ROLE)}", path=role)
        settings = ReloadableSettings(path)
    except (SettingsError, OSError) as exc:
        log.error("can't start: {}", exc)
        sys.exit(EXIT_INVALID_SETTINGS)
    run = importlib.import_module(MODULE_BY_ROLE[role]).run
    if role == "control":
        # Modules, classes and settings last as long as the process, so no collection looks at them.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
    trio.run(run, settings)


def main() -> None:
    """Run the daemon whose role is the only command-line argument."""
    start(sys.argv[1] if len(sys.argv) > 1 else "")
