"""An entry as it runs on the platform."""

from __future__ import annotations

import signal

import trio

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.messages import StatusReply, StatusRequest
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.link.websocket import WebSocketLink
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.callers import CallersFace, ReadinessFace
from hornbeamreach.platform.process import (
    ReloadedSettings,
    link_secret,
    metrics_face,
    serve,
    suspend_aware_clock,
    watch_settings,
    watch_signals,
)

log = part_logger("main")

# An entry that has not reached the leader for this long asks for no new connections.
UNREACHED_MS = 2_500
# One question that fails and the next fit into the time above.
STATUS_INTERVAL_MS = 900
STATUS_TIMEOUT_MS = 600
# After SIGTERM new connections still come until the balancer has missed two checks, 1 s each.
UNREADY_MS = 2_600
# What is in flight then has this long; with the above it stays below a grace of 6 s.
FINISH_MS = 2_600


async def run(settings: ReloadedSettings) -> None:
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
                reached = clock.now_ms() - finder.last_reply_ms < UNREACHED_MS
                return finder.last_reply_ms >= 0 and reached and not stop.is_set()

            nursery.start_soon(watch_signals, signals, stop, settings)
            nursery.start_soon(watch_settings, settings, finder.add_replicas)
            nursery.start_soon(_keep_in_touch, finder)
            await nursery.start(serve, face, current.callers_address, close, ended)
            readiness = ReadinessFace(is_ready=is_ready)
            await nursery.start(serve, readiness, current.readiness_address, close)
            await nursery.start(serve, metrics_face(metrics), current.own_address, close)
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
            found = await finder.send_request(StatusRequest(), timeout_ms=STATUS_TIMEOUT_MS)
            told: StatusReply = found.reply
            finder.add_replicas(told.replicas)
            if told.leader and told.leader != finder.leader:
                finder.leader = told.leader
        except NoLeaderError as exc:
            log.info("no control replica answers: {}", exc)
        await trio.sleep(seconds(STATUS_INTERVAL_MS))
