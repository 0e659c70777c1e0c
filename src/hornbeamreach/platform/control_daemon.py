"""Control replica process on the platform."""

from __future__ import annotations

import functools
import random
import signal

import trio

from hornbeamreach.clock import seconds
from hornbeamreach.control.discovery import Discovery, load_identity
from hornbeamreach.control.disk import FileDisk
from hornbeamreach.control.heartbeat_thread import HeartbeatThread
from hornbeamreach.control.replica import Replica, run_in_thread
from hornbeamreach.control.storage import RaftStorage
from hornbeamreach.fleet.guarded_port import GuardedMinionPort
from hornbeamreach.fleet.loop_lag import LoopIdleTime
from hornbeamreach.fleet.order_relay import OrderRelay
from hornbeamreach.fleet.relayed_minion_port import RelayedMinionPort
from hornbeamreach.fleet.report_forwarder import ReportForwarder
from hornbeamreach.fleet.service import FleetService
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.leader_finder import LeaderFinder
from hornbeamreach.link.websocket import LinkServer, WebSocketLink
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.http_client import PlatformHttpClient
from hornbeamreach.platform.minion_port import PlatformMinionPort
from hornbeamreach.platform.operator_app import OperatorApp
from hornbeamreach.platform.process import (
    ReloadableSettings,
    link_secret,
    listener_limits,
    metrics_app,
    process_age_ms,
    serve,
    suspend_aware_clock,
    watch_settings,
    watch_signals,
)
from hornbeamreach.platform.vm_port import PlatformAdmissionPort, PlatformVmPort
from hornbeamreach.systems.replica_limits import limits_for

log = part_logger("main")

# A snapshot replaces the log after this many entries, or sooner if they are large.
SNAPSHOT_INTERVAL_ENTRIES = 30_000
# Time for a stopping replica to transfer leadership and to answer requests in flight.
HANDOVER_TIMEOUT_MS = 1_500
# Part of the memory that the connections use, and the listeners' shares of it; peers that have
# proved to know the secret don't count.
MEMORY_SHARE = 0.25
CONTROL_SHARE = 0.6
LINK_SHARE = 0.3
METRICS_SHARE = 0.1


async def run(settings: ReloadableSettings) -> None:
    """Run a control replica until SIGTERM."""
    current = settings.current
    clock, rng, metrics = suspend_aware_clock(), random.SystemRandom(), Metrics()
    started_ms = clock.now_ms() - process_age_ms()
    disk = FileDisk(current.data_folder)
    limits = limits_for(
        memory_mb=current.memory_mb,
        disk_mb=current.disk_mb,
        log_entries=SNAPSHOT_INTERVAL_ENTRIES,
    )
    seed_addresses = [current.link_address_of(seed) for seed in current.seeds]
    identity = load_identity(
        disk,
        address=current.link_address,
        initial_members=seed_addresses if current.first_start else [],
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
                started_ms=started_ms,
                limits=limits,
                run_blocking=run_in_thread,
            )
            heartbeats = HeartbeatThread(
                liveness=replica.core.liveness,
                clock=clock,
                host=current.ip,
                port=current.heartbeat_port,
                secret=secret.encode(),
                address_of=replica.address_of,
            )
            discovery = Discovery(
                replica=replica,
                handlers=handlers,
                link=link,
                clock=clock,
                address=current.link_address,
                data_center=current.data_center,
                seeds=seed_addresses,
            )
            http = PlatformHttpClient()
            minions = GuardedMinionPort(port=PlatformMinionPort(http=http), metrics=metrics)
            relay = OrderRelay(port=minions, link=link, handlers=handlers, metrics=metrics)
            minion_port = RelayedMinionPort(
                port=minions,
                link=link,
                handlers=handlers,
                address=current.link_address,
                clock=clock,
                metrics=metrics,
                response_timeout_ms=current.timing.response_timeout_ms,
                followers=replica.followers,
                rng=rng,
            )
            loop_idle = LoopIdleTime(clock=clock)
            trio.lowlevel.add_instrument(loop_idle)
            service = FleetService(
                replica=replica,
                handlers=handlers,
                minion_port=minion_port,
                vm_port=PlatformVmPort(http=http, address=current.vm_service_address),
                admission_port=(
                    PlatformAdmissionPort(http=http, address=current.admission_address)
                    if current.admission_address
                    else None
                ),
                clock=clock,
                metrics=metrics,
                timing=current.timing,
                known_data_centers=discovery.known_data_centers,
                loop_idle=loop_idle,
            )
            minion_port.batch_pause_ms = service.relay_pause_ms
            minion_port.relays_all = service.relays_all
            finder = LeaderFinder(link=link, clock=clock, replicas=[current.link_address])
            operator_finder = LeaderFinder(
                link=WebSocketLink(nursery=nursery, secret=secret),
                clock=clock,
                replicas=[current.link_address],
            )
            app = OperatorApp(
                settings=current,
                finder=finder,
                operator_finder=operator_finder,
                metrics=metrics,
                reports=ReportForwarder(
                    finder=finder, clock=clock, record_here=service.record_report
                ),
                describe=service.describe,
                latest_evacuation_ms=lambda name: replica.state.workload.latest_evacuation_ms(name),
            )
            limits = functools.partial(listener_limits, current, memory_share=MEMORY_SHARE)
            server = LinkServer(
                address=current.link_address,
                secret=secret,
                handlers=handlers,
                limits=limits(share=LINK_SHARE),
            )
            nursery.start_soon(watch_signals, signals, stop, settings)
            nursery.start_soon(watch_settings, settings, discovery.add_addresses)
            await nursery.start(server.run)
            requests_done = trio.Event()
            address, done = current.control_address, requests_done
            await nursery.start(serve, app, address, stop, limits(share=CONTROL_SHARE), done)
            app_of_metrics, address = metrics_app(metrics), current.metrics_address
            await nursery.start(serve, app_of_metrics, address, stop, limits(share=METRICS_SHARE))
            if current.heartbeat_port:
                heartbeats.start()
            nursery.start_soon(replica.run)
            nursery.start_soon(discovery.run)
            nursery.start_soon(relay.run)
            nursery.start_soon(minion_port.run)
            nursery.start_soon(service.run)
            log.bind(replica=identity.replica, founders=seed_addresses).info(
                "control replica started"
            )
            await stop.wait()
            replica.transfer_leadership()
            with trio.move_on_after(seconds(HANDOVER_TIMEOUT_MS)):
                await requests_done.wait()
            heartbeats.stop()
            log.info("control replica stopped")
            nursery.cancel_scope.cancel()
    disk.close()
