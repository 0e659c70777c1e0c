"""Starts a program from the sources beside this file, which the platform does not install."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from hornbeamreach.platform.launcher import main  # noqa: E402

main()
