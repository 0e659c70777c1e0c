"""Entry process on the platform."""

from __future__ import annotations

import functools
import signal

import trio

from hornbeamreach.clock import seconds
from hornbeamreach.fleet.messages import StatusReply, StatusRequest
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.link.websocket import WebSocketLink
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.caller_app import CallerApp, ReadinessApp
from hornbeamreach.platform.process import (
    ReloadableSettings,
    link_secret,
    listener_limits,
    metrics_app,
    serve,
    suspend_aware_clock,
    watch_settings,
    watch_signals,
)

log = part_logger("main")

# An entry that has had no response from the leader for this long reports that it is not ready.
MAX_LEADER_SILENCE_MS = 2_500
# One failed status request and the next one fit into MAX_LEADER_SILENCE_MS.
STATUS_INTERVAL_MS = 900
STATUS_TIMEOUT_MS = 600
# After SIGTERM the load balancer still opens connections until two of its checks have failed,
# 1 s each.
BALANCER_NOTICE_MS = 2_600
# Time for requests in flight after that; together they stay below a grace period of 6 s.
FINISH_TIMEOUT_MS = 2_600
# Part of the memory that the connections use, and the listeners' shares of it.
MEMORY_SHARE = 0.5
CALLERS_SHARE = 0.8
OTHERS_SHARE = 0.1


async def run(settings: ReloadableSettings) -> None:
    """Run an entry until SIGTERM, then finish the requests in flight."""
    current = settings.current
    clock, metrics = suspend_aware_clock(), Metrics()
    stop, stop_serving, requests_done = trio.Event(), trio.Event(), trio.Event()
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            link = WebSocketLink(nursery=nursery, secret=link_secret(current))
            seeds = [current.link_address_of(seed) for seed in current.seeds]
            finder = LeaderFinder(link=link, clock=clock, replicas=seeds)
            app = CallerApp(finder=finder, metrics=metrics)

            def is_ready() -> bool:
                recently_reached = clock.now_ms() - finder.last_reply_ms < MAX_LEADER_SILENCE_MS
                return finder.last_reply_ms >= 0 and recently_reached and not stop.is_set()

            nursery.start_soon(watch_signals, signals, stop, settings)
            nursery.start_soon(watch_settings, settings, finder.add_replicas)
            nursery.start_soon(_poll_leader_status, finder)
            limits = functools.partial(listener_limits, current, memory_share=MEMORY_SHARE)
            callers_limits, others_limits = limits(share=CALLERS_SHARE), limits(share=OTHERS_SHARE)
            address, done = current.callers_address, requests_done
            await nursery.start(serve, app, address, stop_serving, callers_limits, done)
            readiness = ReadinessApp(is_ready=is_ready)
            address = current.readiness_address
            await nursery.start(serve, readiness, address, stop_serving, others_limits)
            app_of_metrics, address = metrics_app(metrics), current.metrics_address
            await nursery.start(serve, app_of_metrics, address, stop_serving, others_limits)
            log.bind(name=current.name).info("entry started")
            await stop.wait()
            app.closing = True
            await trio.sleep(seconds(BALANCER_NOTICE_MS))
            stop_serving.set()
            with trio.move_on_after(seconds(FINISH_TIMEOUT_MS)):
                await requests_done.wait()
            log.info("entry stopped")
            nursery.cancel_scope.cancel()


async def _poll_leader_status(finder: LeaderFinder) -> None:
    """Poll the leader's status, to route calls to it and to report readiness."""
    while True:
        try:
            found = await finder.send_request(
                StatusRequest(), timeout_ms=STATUS_TIMEOUT_MS, any_replica=True
            )
            reply: StatusReply = found.reply
            finder.add_replicas(reply.replicas)
            finder.update_leader(reply.leader, reply.term)
        except NoLeaderError as exc:
            log.info("no control replica responded: {}", exc)
        await trio.sleep(seconds(STATUS_INTERVAL_MS))
