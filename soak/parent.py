"""End of a process whose soak has ended, and the clock that all processes of a soak share."""

from __future__ import annotations

import os
import threading
import time

CHECK_INTERVAL_S = 0.5
EXIT_ORPHANED = 70


def boottime_ms() -> float:
    """Return the time of the machine's clock in ms, which is the same in every process."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


def exit_with_parent() -> None:
    """End this process once its parent has ended, so that a killed soak leaves none behind."""
    parent = os.getppid()

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(CHECK_INTERVAL_S)
        os._exit(EXIT_ORPHANED)

    threading.Thread(target=watch, daemon=True, name="parent").start()
