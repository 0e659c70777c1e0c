"""Measure memory and CPU time of idle processes: three replicas and three entries."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from benches.measure import cpu_seconds, resident_mb
from tests.process_fleet import ProcessFleet

SETTLE_S = 8
IDLE_S = 20
PERCENT = 100


def main() -> None:
    """Start a fleet of processes, leave it idle, and print the memory and CPU use of each."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = ProcessFleet(Path(folder))
        try:
            fleet.wait_until(
                lambda: fleet.run_cli("table", "show").returncode == 0, "control leads"
            )
            applied = fleet.run_cli("table", "apply", str(fleet.table_path))
            assert applied.returncode == 0, applied.stderr
            time.sleep(SETTLE_S)
            leader = fleet.leader()
            pids = {name: daemon.process.pid for name, daemon in fleet.daemons.items()}
            before = {name: cpu_seconds(pid) for name, pid in pids.items()}
            time.sleep(IDLE_S)
            print(f"process   memory MB   percent of a core, idle for {IDLE_S} s")
            for name, pid in pids.items():
                share_percent = (cpu_seconds(pid) - before[name]) / IDLE_S * PERCENT
                role = " (leader)" if name == leader else ""
                print(f"{name:8s}  {resident_mb(pid):9.1f}   {share_percent:6.2f}{role}")
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
