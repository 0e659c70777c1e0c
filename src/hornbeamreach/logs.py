"""Log set-up: one prefix for each part, text or JSON lines."""

from __future__ import annotations

import sys
from typing import Any

from loguru import logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[part]} {message}"
DEFAULT_PART = "main:"


def part_logger(part: str) -> Any:
    """Return a logger whose lines start with the part's name."""
    return logger.bind(part=f"{part}:")


def configure_logs(*, level: str = "INFO", json_lines: bool = False) -> None:
    """Send log lines of a level and above to standard error."""
    logger.remove()
    logger.configure(extra={"part": DEFAULT_PART})
    logger.add(
        sys.stderr,
        level=level,
        format=TEXT_FORMAT,
        serialize=json_lines,
        backtrace=False,
        diagnose=False,
    )
