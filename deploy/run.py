"""Run a daemon from the source tree, because the platform does not install the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from hornbeamreach.platform.launcher import main  # noqa: E402

main()
