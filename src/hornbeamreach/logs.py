"""Logging set-up: text or JSON lines, with a prefix for each part."""

from __future__ import annotations

import logging
import os
import sys
from typing import Any

import orjson
from loguru import logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[part]} {message}"
DEFAULT_PART = "main:"
STDOUT_DESCRIPTOR = 1
# While the reader is slow, lines are buffered up to this size; further lines are dropped and
# counted.
MAX_BUFFER_BYTES = 256 * 1024


def part_logger(part: str) -> Any:
    """Return a logger whose lines start with the part's name."""
    return logger.bind(part=f"{part}:")


def configure_logs(*, level: str = "INFO", json_lines: bool = False) -> None:
    """Send log lines of `level` and above to standard error."""
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


class JsonLineWriter:
    """Write JSON lines to a non-blocking descriptor."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.buffer = bytearray()
        self.dropped_count = 0

    def write_record(self, message: Any) -> None:
        """Write one loguru message."""
        record = message.record
        fields = {
            "at": record["time"].timestamp(),
            "level": record["level"].name,
            **record["extra"],
            "text": record["message"],
        }
        self.write(orjson.dumps(fields, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def write(self, line: bytes) -> None:
        """Write a line; buffer it if the descriptor would block, drop it if the buffer is full."""
        if len(self.buffer) + len(line) > MAX_BUFFER_BYTES:
            self.dropped_count += 1
        else:
            if self.dropped_count and not self.buffer:
                self.buffer += orjson.dumps(
                    {"level": "WARNING", "text": "log lines dropped", "count": self.dropped_count},
                    option=orjson.OPT_APPEND_NEWLINE,
                )
                self.dropped_count = 0
            self.buffer += line
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        del self.buffer[:written]


class LoguruHandler(logging.Handler):
    """Forward records of the standard library's logging, without tracebacks."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record to loguru."""
        error = record.exc_info[1] if record.exc_info else None
        bound = logger.bind(part=f"{record.name}:", error=repr(error) if error else "")
        bound.log(logging.getLevelName(record.levelno), record.getMessage())


def configure_json_logs(*, level: str = "INFO") -> None:
    """Send JSON lines to standard output; drop lines rather than wait for a slow reader."""
    os.set_blocking(STDOUT_DESCRIPTOR, False)
    logger.remove()
    logger.configure(extra={"part": DEFAULT_PART})
    logger.add(
        JsonLineWriter(STDOUT_DESCRIPTOR).write_record,
        level=level,
        format="{message}",
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[LoguruHandler()], level=logging.WARNING, force=True)
