"""The two programs as they run on the platform."""

from __future__ import annotations

import hashlib
import os
import random
import signal
import sys
import time
from typing import Any

import fire
import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.control.discovery import Discovery, load_identity
from hornbeamreach.control.disk import FileDisk
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.storage import RaftStorage
from hornbeamreach.exceptions import SettingsError
from hornbeamreach.fleet.messages import AskStatus, StatusTold
from hornbeamreach.fleet.relay import OrderRelay
from hornbeamreach.fleet.relayed_minions import RelayedMinions
from hornbeamreach.fleet.service import FleetService
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.link.websocket import LinkServer, WebSocketLink
from hornbeamreach.logs import configure_json_logs, part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform import web
from hornbeamreach.platform.callers import CallersFace, ReadinessFace
from hornbeamreach.platform.http import PlatformHttp
from hornbeamreach.platform.machines import PlatformAdvice, PlatformMachines
from hornbeamreach.platform.minions import PlatformMinions
from hornbeamreach.platform.operators import OperatorsFace
from hornbeamreach.platform.settings import SETTINGS_VARIABLE, PlatformSettings, load_settings
from hornbeamreach.web.server import serve_http

log = part_logger("main")

EXIT_BAD_SETTINGS = 2
# Snapshots replace the log after this many entries: a day's work without one fits the disk.
SNAPSHOT_EVERY = 30_000
# An entry that has not reached the leader for this long asks for no new connections.
UNREACHED_MS = 2_500
STATUS_INTERVAL_MS = 700
STATUS_TIMEOUT_MS = 600
# After SIGTERM new connections still come until the balancer has missed two checks, 1 s each.
UNREADY_MS = 2_600
# What is in flight then has this long; with the above it stays below a grace of 6 s.
FINISH_MS = 2_600
# A control replica that ends hands its leadership over and answers what is in flight.
HANDOVER_MS = 1_500
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


async def _watch_signals(signals: Any, stop: trio.Event, settings: ReloadedSettings) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            settings.reload("signal")
        else:
            log.info("received {}, shutting down", signal.Signals(number).name)
            stop.set()


async def _watch_settings(settings: ReloadedSettings, learn: Any) -> None:
    while True:
        await trio.sleep(seconds(SETTINGS_CHECK_MS))
        settings.reload("changed")
        current = settings.current
        learn([current.link_of(seed) for seed in current.seeds])


async def run_control(settings: ReloadedSettings) -> None:
    """Run a control replica until SIGTERM."""
    current = settings.current
    clock, rng, metrics = suspend_aware_clock(), random.SystemRandom(), Metrics()
    disk = FileDisk(current.data_folder)
    founders = [current.link_of(seed) for seed in current.seeds]
    identity = load_identity(
        disk,
        address=current.link_address,
        founders=founders if current.first_start else [],
        rng=rng,
    )
    stop = trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            handlers = HandlerTable()
            secret = link_secret(current)
            link = WebSocketLink(nursery=nursery, secret=secret)
            replica = Replica(
                node_id=identity.replica,
                members=identity.members,
                storage=RaftStorage(disk=disk),
                link=link,
                handlers=handlers,
                clock=clock,
                rng=rng,
                snapshot_every=SNAPSHOT_EVERY,
                run_blocking=trio.to_thread.run_sync,
            )
            discovery = Discovery(
                replica=replica,
                handlers=handlers,
                link=link,
                clock=clock,
                address=current.link_address,
                data_center=current.data_center,
                seeds=founders,
            )
            http = PlatformHttp()
            minions = PlatformMinions(http=http)
            relay = OrderRelay(port=minions, link=link, handlers=handlers, metrics=metrics)
            shared = RelayedMinions(
                port=minions,
                link=link,
                handlers=handlers,
                address=current.link_address,
                clock=clock,
                metrics=metrics,
                answer_ms=current.timing.answer_ms,
                followers=replica.followers,
                rng=rng,
            )
            service = FleetService(
                replica=replica,
                handlers=handlers,
                minion_port=shared,
                machine_port=PlatformMachines(http=http, address=current.machines_address),
                advice_port=(
                    PlatformAdvice(http=http, address=current.advice_address)
                    if current.advice_address
                    else None
                ),
                clock=clock,
                metrics=metrics,
                timing=current.timing,
            )
            finder = LeaderFinder(link=link, clock=clock, replicas=[current.link_address])
            face = OperatorsFace(settings=current, finder=finder, metrics=metrics)
            server = LinkServer(address=current.link_address, secret=secret, handlers=handlers)
            nursery.start_soon(_watch_signals, signals, stop, settings)
            nursery.start_soon(_watch_settings, settings, discovery.learn)
            await nursery.start(server.run)
            served = trio.Event()
            await nursery.start(_serve, face, current.control_address, stop, served)
            await nursery.start(_serve, _metrics_face(metrics), current.own_address, stop)
            nursery.start_soon(replica.run)
            nursery.start_soon(discovery.run)
            nursery.start_soon(relay.run)
            nursery.start_soon(shared.run)
            nursery.start_soon(service.run)
            log.bind(replica=identity.replica, founders=founders).info("control starts")
            await stop.wait()
            replica.transfer_leadership()
            with trio.move_on_after(seconds(HANDOVER_MS)):
                await served.wait()
            log.info("control ends")
            nursery.cancel_scope.cancel()
    disk.close()


async def run_entry(settings: ReloadedSettings) -> None:
    """Run an entry until SIGTERM, then finish what is in flight."""
    current = settings.current
    clock, metrics = suspend_aware_clock(), Metrics()
    stop, close, ended = trio.Event(), trio.Event(), trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            link = WebSocketLink(nursery=nursery, secret=link_secret(current))
            seeds = [current.link_of(seed) for seed in current.seeds]
            finder = LeaderFinder(link=link, clock=clock, replicas=seeds)
            face = CallersFace(finder=finder, metrics=metrics)

            def is_ready() -> bool:
                reached = clock.now_ms() - finder.answered_ms < UNREACHED_MS
                return finder.answered_ms >= 0 and reached and not stop.is_set()

            nursery.start_soon(_watch_signals, signals, stop, settings)
            nursery.start_soon(_watch_settings, settings, finder.learn)
            nursery.start_soon(_keep_in_touch, finder)
            await nursery.start(_serve, face, current.callers_address, close, ended)
            readiness = ReadinessFace(is_ready=is_ready)
            await nursery.start(_serve, readiness, current.readiness_address, close)
            await nursery.start(_serve, _metrics_face(metrics), current.own_address, close)
            log.bind(name=current.name).info("entry starts")
            await stop.wait()
            face.closing = True
            await trio.sleep(seconds(UNREADY_MS))
            close.set()
            with trio.move_on_after(seconds(FINISH_MS)):
                await ended.wait()
            log.info("entry ends")
            nursery.cancel_scope.cancel()


async def _keep_in_touch(finder: LeaderFinder) -> None:
    """Follow the leader, so that calls find it and the balancer knows when they can't."""
    while True:
        try:
            found = await finder.ask(AskStatus(), timeout_ms=STATUS_TIMEOUT_MS)
            told: StatusTold = found.reply
            finder.learn(told.replicas)
            if told.leader and told.leader != finder.leader:
                finder.leader = told.leader
        except NoLeaderError as exc:
            log.info("no control replica answers: {}", exc)
        await trio.sleep(seconds(STATUS_INTERVAL_MS))


async def _serve(
    app: Any,
    address: str,
    stop: trio.Event,
    ended: trio.Event | None = None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    try:
        await serve_http(web.http_only(app), address, stop=stop, task_status=task_status)
    finally:
        if ended is not None:
            ended.set()


def _metrics_face(metrics: Metrics) -> Any:
    async def serve(scope: web.Scope, receive: web.Receive, send: web.Send) -> None:
        accepts = [v.decode() for k, v in scope["headers"] if k == b"accept"]
        content, _ = metrics.render(accepts)
        await web.answer(send, 200, content)

    return serve


ROLES = {"control": run_control, "entry": run_entry}


def start(role: str) -> None:
    """Run a program on the platform.

    Args:
        role: `control` or `entry`.
    """
    configure_json_logs()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        if role not in ROLES:
            raise SettingsError(f"no such program; known: {', '.join(ROLES)}", path=role)
        settings = ReloadedSettings(path)
    except (SettingsError, OSError) as exc:
        log.error("can't start: {}", exc)
        sys.exit(EXIT_BAD_SETTINGS)
    trio.run(ROLES[role], settings)


def main() -> None:
    """Run the program that the command line names."""
    fire.Fire(start)


if __name__ == "__main__":
    main()
