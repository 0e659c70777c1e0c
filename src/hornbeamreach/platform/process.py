"""Settings, signals and listeners that both daemons on the platform share."""

from __future__ import annotations

import hashlib
import os
import signal
import time
from typing import Any

import trio

from hornbeamreach.clock import IMPORTED_MS, Clock, seconds
from hornbeamreach.exceptions import SettingsError
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform import asgi
from hornbeamreach.platform.settings import PlatformSettings, load_settings
from hornbeamreach.web.connection_pool import ConnectionLimits, connection_limits
from hornbeamreach.web.lean_server import serve_requests

log = part_logger("main")

SETTINGS_CHECK_INTERVAL_MS = 1_000
# Headers that the applications read.
KEPT_HEADERS = frozenset((b"accept", b"credential", b"deadline-ms"))


def suspend_aware_clock() -> Clock:
    """Return a monotonic clock that keeps counting while the VM is suspended."""

    def read_ms() -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    return Clock(monotonic=read_ms)


def process_age_ms() -> int:
    """Return how long ago the package was first imported, at least, in ms.

    Suspended time does not count, so the result is never too long.
    """
    return time.monotonic_ns() // 1_000_000 - IMPORTED_MS


def link_secret(settings: PlatformSettings) -> str:
    """Return a secret that all processes of one deployment can derive.

    The platform provides no secret and its network is closed, so this one only keeps processes
    of other deployments apart.
    """
    return hashlib.sha256(f"hornbeamreach {settings.link_port}".encode()).hexdigest()


class ReloadableSettings:
    """Hold the current settings, reloaded on SIGHUP and when the file changes."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.current = load_settings(path)
        self.file_signature = self._read_file_signature()

    def _read_file_signature(self) -> tuple[int, int]:
        status = os.stat(self.path)
        return status.st_mtime_ns, status.st_size

    def reload(self, trigger: str) -> bool:
        """Reload the file; return whether it was loaded.

        An invalid file leaves the previous settings in force.
        """
        try:
            signature = self._read_file_signature()
            if trigger == "changed" and signature == self.file_signature:
                return False
            self.file_signature = signature
            self.current = load_settings(self.path)
        except (OSError, SettingsError) as exc:
            log.warning("settings reload failed, keeping the previous settings: {}", exc)
            return False
        log.bind(why=trigger, seeds=list(self.current.seeds)).info("settings reloaded")
        return True


async def watch_signals(signals: Any, stop: trio.Event, settings: ReloadableSettings) -> None:
    """Reload the settings on SIGHUP and set `stop` on any other signal."""
    async for number in signals:
        if number == signal.SIGHUP:
            settings.reload("signal")
        else:
            log.info("received {}, shutting down", signal.Signals(number).name)
            stop.set()


async def watch_settings(settings: ReloadableSettings, on_seeds: Any) -> None:
    """Reload the settings when their file changes, and pass the seeds' addresses on."""
    while True:
        await trio.sleep(seconds(SETTINGS_CHECK_INTERVAL_MS))
        settings.reload("changed")
        current = settings.current
        on_seeds([current.link_address_of(seed) for seed in current.seeds])


def listener_limits(
    settings: PlatformSettings, *, memory_share: float, share: float
) -> ConnectionLimits:
    """Return the limits of a listener with a share of what the connections may use."""
    return connection_limits(
        memory_mb=settings.memory_mb,
        memory_share=memory_share,
        max_descriptors=settings.max_descriptors,
        share=share,
    )


async def serve(
    app: Any,
    address: str,
    stop: trio.Event,
    limits: ConnectionLimits,
    finished: trio.Event | None = None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until `stop`; set `finished` once its last request is done."""
    try:
        await serve_requests(
            app,
            address,
            stop=stop,
            limits=limits,
            kept_headers=KEPT_HEADERS,
            task_status=task_status,
        )
    finally:
        if finished is not None:
            finished.set()


def metrics_app(metrics: Metrics) -> Any:
    """Return the ASGI application that serves a process's metrics."""

    async def serve_metrics(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        accepts = [v.decode() for k, v in scope["headers"] if k == b"accept"]
        content, _ = metrics.render(accepts)
        await asgi.send_response(send, 200, content)

    return serve_metrics
