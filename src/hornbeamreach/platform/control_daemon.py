"""A control replica as it runs on the platform."""

from __future__ import annotations

import random
import signal

import trio

from hornbeamreach.clock import seconds
from hornbeamreach.control.discovery import Discovery, load_identity
from hornbeamreach.control.disk import FileDisk
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.storage import RaftStorage
from hornbeamreach.fleet.order_relay import OrderRelay
from hornbeamreach.fleet.relayed_minion_port import RelayedMinionPort
from hornbeamreach.fleet.service import FleetService
from hornbeamreach.link.interface import HandlerTable
from hornbeamreach.link.leader_finder import LeaderFinder
from hornbeamreach.link.websocket import LinkServer, WebSocketLink
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.http import PlatformHttp
from hornbeamreach.platform.machines import PlatformAdvice, PlatformMachines
from hornbeamreach.platform.minions import PlatformMinions
from hornbeamreach.platform.operators import OperatorsFace
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

# Snapshots replace the log after this many entries: a day's work without one fits the disk.
SNAPSHOT_EVERY = 30_000
# A control replica that ends hands its leadership over and answers what is in flight.
HANDOVER_MS = 1_500


async def run(settings: ReloadedSettings) -> None:
    """Run a control replica until SIGTERM."""
    current = settings.current
    clock, rng, metrics = suspend_aware_clock(), random.SystemRandom(), Metrics()
    disk = FileDisk(current.data_folder)
    founders = [current.link_of(seed) for seed in current.seeds]
    identity = load_identity(
        disk,
        address=current.link_address,
        initial_members=founders if current.first_start else [],
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
            shared = RelayedMinionPort(
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
            service = FleetService(
                replica=replica,
                handlers=handlers,
                minion_port=shared,
                vm_port=PlatformMachines(http=http, address=current.machines_address),
                admission_port=(
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
            nursery.start_soon(watch_signals, signals, stop, settings)
            nursery.start_soon(watch_settings, settings, discovery.add_addresses)
            await nursery.start(server.run)
            served = trio.Event()
            await nursery.start(serve, face, current.control_address, stop, served)
            await nursery.start(serve, metrics_face(metrics), current.own_address, stop)
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
