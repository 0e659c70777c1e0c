"""Log set-up: one prefix for each part, text or JSON lines."""

from __future__ import annotations

import logging
import os
import sys
from typing import Any

import orjson
from loguru import logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[part]} {message}"
DEFAULT_PART = "main:"
STDOUT = 1
# Lines that the reader has not taken yet; more are dropped and counted.
MAX_WAITING_BYTES = 256 * 1024


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


class LineWriter:
    """Write JSON lines without ever waiting for the reader."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.waiting = bytearray()
        self.dropped = 0

    def take(self, message: Any) -> None:
        """Write one record of loguru."""
        record = message.record
        fields = {
            "at": record["time"].timestamp(),
            "level": record["level"].name,
            **record["extra"],
            "text": record["message"],
        }
        self.write(orjson.dumps(fields, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def write(self, line: bytes) -> None:
        """Write a line, or keep it, or count it as dropped."""
        if len(self.waiting) + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
        else:
            if self.dropped and not self.waiting:
                self.waiting += orjson.dumps(
                    {"level": "WARNING", "text": "log lines dropped", "count": self.dropped},
                    option=orjson.OPT_APPEND_NEWLINE,
                )
                self.dropped = 0
            self.waiting += line
        try:
            written = os.write(self.descriptor, self.waiting)
        except BlockingIOError:
            return
        del self.waiting[:written]


class LibraryLogs(logging.Handler):
    """Pass on what libraries log, an error as one line instead of a traceback."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record of the standard library's logging."""
        error = record.exc_info[1] if record.exc_info else None
        bound = logger.bind(part=f"{record.name}:", error=repr(error) if error else "")
        bound.log(logging.getLevelName(record.levelno), record.getMessage())


def configure_json_logs(*, level: str = "INFO") -> None:
    """Send JSON lines to standard output; a reader that is slow costs lines, not time."""
    os.set_blocking(STDOUT, False)
    logger.remove()
    logger.configure(extra={"part": DEFAULT_PART})
    logger.add(
        LineWriter(STDOUT).take, level=level, format="{message}", backtrace=False, diagnose=False
    )
    logging.basicConfig(handlers=[LibraryLogs()], level=logging.WARNING, force=True)
