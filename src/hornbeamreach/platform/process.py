"""What both programs on the platform share: settings, signals and listeners."""

from __future__ import annotations

import hashlib
import os
import signal
import time
from typing import Any

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.exceptions import SettingsError
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform import web
from hornbeamreach.platform.settings import PlatformSettings, load_settings
from hornbeamreach.web.server import serve_http

log = part_logger("main")

# A process that was started with the same settings reads them again this often.
SETTINGS_CHECK_MS = 1_000


def suspend_aware_clock() -> Clock:
    """Read a steady clock that also counts the time for which the machine was suspended."""

    def read_ms() -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    return Clock(monotonic=read_ms)


def link_secret(settings: PlatformSettings) -> str:
    """Return a secret that all processes of one deployment can work out.

    The platform hands out none, and its network is closed: this only keeps processes of
    other deployments apart.
    """
    return hashlib.sha256(f"hornbeamreach {settings.link_port}".encode()).hexdigest()


class ReloadedSettings:
    """Hold the settings, read again at SIGHUP and when the file changes."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.current = load_settings(path)
        self.stamp = self._stamp()

    def _stamp(self) -> tuple[int, int]:
        status = os.stat(self.path)
        return status.st_mtime_ns, status.st_size

    def reload(self, why: str) -> bool:
        """Read the file; settings that can't be used leave the old ones in force."""
        try:
            stamp = self._stamp()
            if why == "changed" and stamp == self.stamp:
                return False
            self.stamp = stamp
            self.current = load_settings(self.path)
        except (OSError, SettingsError) as exc:
            log.warning("settings kept as they were: {}", exc)
            return False
        log.bind(why=why, seeds=list(self.current.seeds)).info("settings read")
        return True


async def watch_signals(signals: Any, stop: trio.Event, settings: ReloadedSettings) -> None:
    """Read the settings at SIGHUP, and stop at the other signals."""
    async for number in signals:
        if number == signal.SIGHUP:
            settings.reload("signal")
        else:
            log.info("received {}, shutting down", signal.Signals(number).name)
            stop.set()


async def watch_settings(settings: ReloadedSettings, learn: Any) -> None:
    """Read the settings when their file changes, and pass the seeds on."""
    while True:
        await trio.sleep(seconds(SETTINGS_CHECK_MS))
        settings.reload("changed")
        current = settings.current
        learn([current.link_of(seed) for seed in current.seeds])


async def serve(
    app: Any,
    address: str,
    stop: trio.Event,
    ended: trio.Event | None = None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until `stop`, and set `ended` once its last request is done."""
    try:
        await serve_http(web.http_only(app), address, stop=stop, task_status=task_status)
    finally:
        if ended is not None:
            ended.set()


def metrics_face(metrics: Metrics) -> Any:
    """Return the application that serves a process's metrics."""

    async def answer(scope: web.Scope, receive: web.Receive, send: web.Send) -> None:
        accepts = [v.decode() for k, v in scope["headers"] if k == b"accept"]
        content, _ = metrics.render(accepts)
        await web.answer(send, 200, content)

    return answer
