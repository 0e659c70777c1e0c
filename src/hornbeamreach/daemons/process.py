"""Start-up and signal handling shared by the daemons."""

from __future__ import annotations

import random
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import fire
import trio

from hornbeamreach.clock import Clock
from hornbeamreach.exceptions import HornbeamreachError, InvalidInputError
from hornbeamreach.garbage import collect_garbage_rarely
from hornbeamreach.logs import configure_logs, part_logger
from hornbeamreach.settings import LogSettings, load_settings

log = part_logger("main")

EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2

RunDaemon = Callable[..., Awaitable[None]]


async def run_until_signal(run: RunDaemon, settings: Any) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully."""
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_signals, signals, stop)
            await run(settings, clock=Clock(), rng=random.SystemRandom(), stop=stop)
            nursery.cancel_scope.cancel()


async def _watch_signals(signals: Any, stop: trio.Event) -> None:
    async for number in signals:
        log.info("received {}, shutting down", signal.Signals(number).name)
        stop.set()


def daemon_main(run: RunDaemon, kind: str) -> None:
    """Run a daemon with the settings file named on the command line."""

    def start(settings: str) -> None:
        """Run the daemon with a settings file, until SIGTERM.

        Args:
            settings: path of the TOML settings file.
        """
        loaded = load_settings(settings, kind)
        log_settings: LogSettings = loaded.log
        configure_logs(level=log_settings.level, json_lines=log_settings.json)
        collect_garbage_rarely()
        trio.run(run_until_signal, run, loaded)

    try:
        fire.Fire(start)
    except HornbeamreachError as exc:
        _exit_with_errors([exc])
    except BaseExceptionGroup as group:
        known, others = group.split(HornbeamreachError)
        if others is not None or known is None:
            raise
        _exit_with_errors(_flatten(known))


def _flatten(group: BaseExceptionGroup) -> list[BaseException]:
    errors: list[BaseException] = []
    for exc in group.exceptions:
        errors += _flatten(exc) if isinstance(exc, BaseExceptionGroup) else [exc]
    return errors


def _exit_with_errors(errors: list[BaseException]) -> None:
    for error in errors:
        print(f"error: {error}", file=sys.stderr)
    all_invalid_input = all(isinstance(error, InvalidInputError) for error in errors)
    sys.exit(EXIT_INVALID_INPUT if all_invalid_input else EXIT_FAILED)
