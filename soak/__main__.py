"""Command line of the soak: `python -m soak --seed N --duration-s S`."""

from __future__ import annotations

import argparse
import functools
import shutil
import sys
import tempfile
from pathlib import Path

import trio

from hornbeamreach.logs import configure_logs
from soak.checks import find_violations
from soak.run import run_soak, summary

MAX_PRINTED = 5


def main() -> int:
    """Run one soak; return 1 and keep its files if an invariant was violated."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--folder", type=Path, help="for logs; kept; default: a temporary one")
    arguments = parser.parse_args()
    configure_logs()
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix=f"soak-{arguments.seed}-"))
    soak = functools.partial(
        run_soak,
        seed=arguments.seed,
        duration_ms=int(arguments.duration_s * 1_000),
        folder=folder,
    )
    seen = trio.run(soak)
    print(summary(seen))
    violations = find_violations(seen)
    for name, found in violations.items():
        print(f"  {name}: {len(found)} violations")
        for detail in found[:MAX_PRINTED]:
            print(f"    {detail}")
    if any(violations.values()):
        print(f"FAILED: seed {arguments.seed}, files in {folder}")
        return 1
    print(f"all invariants held: seed {arguments.seed}")
    if arguments.folder is None:
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
