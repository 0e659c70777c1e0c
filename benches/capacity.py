"""Measure how state, message bytes and CPU time grow with the fleet, for docs/CAPACITY.md."""

from __future__ import annotations

import json
import os
import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import fire
import trio
from attrs import evolve
from loguru import logger

from benches.measure import fit_line, median_seconds
from hornbeamreach.control import commands
from hornbeamreach.control.disk import FileDisk
from hornbeamreach.control.entry_reports import build_free_capacity
from hornbeamreach.control.frames import encode_frame
from hornbeamreach.control.observations import observe_vms, pool_loads
from hornbeamreach.control.raft import RaftCore
from hornbeamreach.control.snapshots import decode_state, encode_state
from hornbeamreach.control.state_machine import apply_command
from hornbeamreach.control.storage import LOG_FILE_NAME, RaftStorage
from hornbeamreach.entry.reports import ReportContent, ReportSender
from hornbeamreach.link.codec import decode, encode
from hornbeamreach.link.messages import (
    EndpointUpdate,
    EntryReport,
    PeerHeartbeat,
    Renew,
    RenewReply,
)
from hornbeamreach.systems.limit_slices import SliceHolder, plan_slices
from hornbeamreach.systems.maintenance import allowed_drains, due_vms, phase_transitions
from hornbeamreach.systems.spare_pool_moves import MoverState, payback
from hornbeamreach.tables.announcement import Announcement
from hornbeamreach.tables.control_state import ControlState, VmPhase
from hornbeamreach.tables.declared import WEEK_MS, DeclaredTable
from hornbeamreach.tables.reports import PermitUse, PoolLoad, VmReport
from hornbeamreach.tables.sessions import HolderKey, Session, SessionTable
from tests import builders
from tests.fakes import VirtualFleet, run_virtual

MS_PER_SECOND = 1_000
TARGET_SCALE = {"workers": 2_400, "pools": 210, "teams": 160, "entries": 17, "changes_a_day": 7_800}
SIZES = (300, 600, 1_200, 2_400)


def build_table(workers: int) -> DeclaredTable:
    """Return a table of 8 data centres whose pools and teams grow with its workers."""
    pools = max(2, TARGET_SCALE["pools"] * workers // TARGET_SCALE["workers"])
    teams = max(2, TARGET_SCALE["teams"] * workers // TARGET_SCALE["workers"])
    return builders.table(
        teams={
            f"team-{n:03d}": builders.team(max_running=400, home=f"dc{n % 8 + 1}")
            for n in range(teams)
        },
        pools={
            f"pool-{n:03d}": builders.pool(maintenance_interval_ms=5 * WEEK_MS)
            for n in range(pools)
        },
        services={},
        queues={},
        vms={
            f"vm-{n:04d}": builders.vm(
                f"dc{n % 8 + 1}", f"r{n // 32:03d}", pool=f"pool-{n % pools:03d}"
            )
            for n in range(workers)
        },
    )


def build_state(workers: int) -> ControlState:
    """Return a state with the table in force and entries that hold slices."""
    builder = builders.ControlBuilder(build_table(workers))
    for number in range(TARGET_SCALE["entries"]):
        builder.register(f"dc{number % 8 + 1}-e{number}", data_center=f"dc{number % 8 + 1}")
    changes = [
        commands.SliceChange(entry_id=entry, incarnation="i1", team=team, size=20)
        for entry in builder.state.grants
        for team in builder.state.table.teams
    ]
    builder.apply(commands.SetSlices(changes=changes))
    return builder.state


def build_sessions(state: ControlState, now_ms: int) -> SessionTable:
    """Return sessions of entries that report every VM of their data centre."""
    table = SessionTable(leader_since_ms=now_ms)
    for entry_id, incarnations in state.grants.items():
        session = table.get(HolderKey(entry_id, next(iter(incarnations))))
        data_center = incarnations["i1"].data_center
        session.vm_reports = {
            vm: VmReport(up=True)
            for vm, row in state.table.vms.items()
            if row.data_center == data_center
        }
        session.uses = {
            team: PermitUse(in_use=10, wanted=2) for team in sorted(state.table.teams)[:40]
        }
    return table


def memory_of(build: Callable[[], Any]) -> float:
    """Return the memory of the object that a function builds, in MiB."""
    tracemalloc.start()
    retained = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return size / 1024 / 1024


def measure_state(workers: int) -> dict[str, float]:
    """Measure the control state and its snapshot, at one size."""
    state = build_state(workers)
    encoded = encode_state(state)
    return {
        "state_mb": memory_of(lambda: decode_state(encoded)),
        "snapshot_kb": len(encoded) / 1024,
        "snapshot_ms": median_seconds(lambda: encode_state(state), 3) * MS_PER_SECOND,
        "load_ms": median_seconds(lambda: decode_state(encoded), 3) * MS_PER_SECOND,
    }


def measure_leader_tick(workers: int) -> dict[str, float]:
    """Measure the systems that the leader runs periodically, at one size."""
    state = build_state(workers)
    now_ms = 1_000_000
    table = build_sessions(state, now_ms)
    vm_observation = observe_vms(state, table, now_ms)
    teams = list(state.table.teams)

    def plan_team() -> None:
        holders = [
            SliceHolder(
                key=HolderKey(entry, "i1"), size=grant["i1"].slices[teams[0]], in_use=3, requested=1
            )
            for entry, grant in state.grants.items()
        ]
        plan_slices(400, holders)

    return {
        "facts_ms": median_seconds(lambda: observe_vms(state, table, now_ms), 5) * MS_PER_SECOND,
        "due_ms": median_seconds(lambda: due_vms(state, builders.START_MS), 5) * MS_PER_SECOND,
        "progress_ms": median_seconds(lambda: phase_transitions(state, vm_observation, 0), 5)
        * MS_PER_SECOND,
        "permits_ms": median_seconds(lambda: allowed_drains(state, vm_observation), 5)
        * MS_PER_SECOND,
        "moves_ms": median_seconds(
            lambda: payback(
                state, pool_loads(state, table, now_ms), MoverState(), vm_observation.down, 0
            ),
            5,
        )
        * MS_PER_SECOND,
        "slices_of_a_team_ms": median_seconds(plan_team, 9) * MS_PER_SECOND,
    }


def measure_change(workers: int) -> dict[str, float]:
    """Measure the application of a change of one row, at one size."""
    state = build_state(workers)
    builder = builders.ControlBuilder()
    builder.state = state
    times = []
    for number in range(15):
        edit = builder.edit("teams", "team-000", weight=2.0 + number)
        start = time.perf_counter()
        assert builder.change([edit], operation_id=f"bench-{number}").accepted
        times.append(time.perf_counter() - start)
    return {"change_ms": sorted(times)[7] * MS_PER_SECOND}


def measure_messages(workers: int) -> dict[str, float]:
    """Measure an entry's first renewal, and a later one in which 5 % of the rows differ.

    The entry's data centre has an eighth of the workers.
    """
    teams = max(2, TARGET_SCALE["teams"] * workers // TARGET_SCALE["workers"])
    pools = TARGET_SCALE["pools"] * workers // TARGET_SCALE["workers"]
    content = ReportContent(
        uses={f"team-{n:03d}": PermitUse(in_use=3, wanted=1) for n in range(teams)},
        vm_reports={f"vm-{n:04d}": VmReport(up=True) for n in range(workers // 8)},
        pool_loads={
            f"pool-{n:03d}": PoolLoad(capacity_cpu_millis=192_000, vm_cpu_millis=16_000)
            for n in range(pools)
        },
    )
    later = ReportContent(
        uses={
            team: PermitUse(in_use=4) if n % 20 == 0 else use
            for n, (team, use) in enumerate(content.uses.items())
        },
        vm_reports=content.vm_reports,
        pool_loads={
            pool: PoolLoad(used_cpu_millis=9_000) if n % 20 == 0 else load
            for n, (pool, load) in enumerate(content.pool_loads.items())
        },
    )
    sender = ReportSender()
    first = _renew(sender.build(content))
    sender.acknowledge(sender.number)
    second = _renew(sender.build(later))
    data = encode(second)
    return {
        "first_renew_bytes": len(encode(first)),
        "later_renew_bytes": len(data),
        "later_renew_encode_ms": median_seconds(lambda: encode(second), 9) * MS_PER_SECOND,
        "later_renew_decode_ms": median_seconds(lambda: decode(data), 9) * MS_PER_SECOND,
    }


def measure_free_capacity(workers: int) -> dict[str, float]:
    """Measure replies with all free capacities of 8 data centres, and with 5 % of them changed."""
    pools = TARGET_SCALE["pools"] * workers // TARGET_SCALE["workers"]
    free_capacity = {f"dc{d}/pool-{n:03d}": 4_000 * d for d in range(1, 9) for n in range(pools)}
    session = Session(renewed_ms=0)
    first = build_free_capacity(session, 0, free_capacity)
    changed = {
        path: value + 4_000 if n % 20 == 0 else value
        for n, (path, value) in enumerate(free_capacity.items())
    }
    later = build_free_capacity(session, first.number, changed)
    return {
        "first_free_capacity_bytes": len(
            encode(RenewReply(committed_index=1, free_capacity=first))
        ),
        "later_free_capacity_bytes": len(
            encode(RenewReply(committed_index=1, free_capacity=later))
        ),
    }


def measure_heartbeat(endpoints: int) -> dict[str, float]:
    """Measure a peer heartbeat that forwards endpoint announcements."""
    updates = [
        EndpointUpdate(
            announcement=Announcement(
                endpoint=f"quotes-{n}",
                service="quotes",
                address="10.0.0.1:9000",
                vm="vm-0001",
                slots=8,
                connections=64,
                instance="01234567",
                sequence=100_000 + n,
            ),
            age_ms=250,
        )
        for n in range(endpoints)
    ]
    heartbeat = PeerHeartbeat(
        entry_id="dc1-e1", incarnation="0123456789abcdef", applied_index=1, endpoints=updates
    )
    return {"heartbeat_bytes": len(encode(heartbeat))}


def _renew(report: EntryReport) -> Renew:
    return Renew(
        entry_id="dc1-e1",
        incarnation="0123456789abcdef",
        data_center="dc1",
        address="10.0.0.1:7000",
        peer_count=3,
        applied_index=123_456,
        hold_ms=900,
        report=report,
    )


def measure_fsync() -> dict[str, float]:
    """Compare the commit rate of one replica with plain appends and fsyncs, in one run."""
    rounds = 200
    command = encode(commands.NoOp())
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "bare"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        start = time.perf_counter()
        for _ in range(rounds):
            os.write(descriptor, command)
            os.fsync(descriptor)
        bare_per_s = rounds / (time.perf_counter() - start)
        os.close(descriptor)
        disk = FileDisk(Path(folder) / "log")
        storage = RaftStorage(disk=disk)
        stored = storage.load({"a": "127.0.0.1:1"})
        core = RaftCore(
            node_id="a", log=stored.log, term=0, voted_for=None, rng=random.Random(1), now_ms=0
        )
        core.tick(10_000)

        def save_ready() -> None:
            while core.has_ready():
                ready = core.take_ready()
                if ready.needs_sync():
                    storage.save(ready, core.term, core.voted_for)
                    core.mark_durable(ready.entries)

        save_ready()
        start = time.perf_counter()
        for _ in range(rounds):
            core.propose(command)
            save_ready()
        single_per_s = rounds / (time.perf_counter() - start)
        start = time.perf_counter()
        for _ in range(rounds // 20):
            for _ in range(20):
                core.propose(command)
            save_ready()
        grouped_per_s = rounds / (time.perf_counter() - start)
        disk.close()
    return {
        "bare_appends_per_s": bare_per_s,
        "commits_per_s": single_per_s,
        "commits_per_s_in_groups_of_20": grouped_per_s,
    }


def measure_recovery(entries: int) -> float:
    """Return the time in ms that a replica needs to read and replay a log."""
    with tempfile.TemporaryDirectory() as folder:
        disk = FileDisk(folder)
        storage = RaftStorage(disk=disk)
        builder = builders.ControlBuilder(builders.table())
        records = [["hard", 1, "a"]]
        for index in range(1, entries + 1):
            edit = builder.edit("teams", "red", weight=float(index))
            command = commands.PrepareChange(
                operation_id=f"operation-{index}",
                digest="d",
                change=builders.Change(edits=[evolve(edit, expected_version=index)]),
                at_ms=builders.START_MS,
            )
            records.append(["entry", index, 1, encode(command), None])
        disk.append(LOG_FILE_NAME, encode_frame(records))
        disk.sync(LOG_FILE_NAME)
        start = time.perf_counter()
        stored = storage.load({})
        state = ControlState()
        for entry in stored.log.entries:
            apply_command(state, entry.index, decode(entry.data))
        elapsed_s = time.perf_counter() - start
        disk.close()
    return elapsed_s * MS_PER_SECOND


def measure_in_force(per_data_center: tuple[int, ...]) -> dict[str, float]:
    """Measure the virtual time until changes are in force everywhere, and each node's traffic."""

    async def main() -> dict[str, float]:
        fleet = VirtualFleet(entries_per_data_center=per_data_center)
        loosen, tighten = [], []
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await fleet.set_up(endpoints=False)
            await trio.sleep(2)
            before = dict(fleet.network.sent_bytes_by_address)
            start_ms = fleet.clock.now_ms()
            await trio.sleep(20)
            idle = dict(fleet.network.sent_bytes_by_address)
            idle_s = (fleet.clock.now_ms() - start_ms) / MS_PER_SECOND
            for number in range(20):
                change_start_ms = fleet.clock.now_ms()
                await fleet.change([fleet.edit("teams", "red", max_running=20 + number)])
                loosen.append(fleet.clock.now_ms() - change_start_ms)
                change_start_ms = fleet.clock.now_ms()
                await fleet.change([fleet.edit("teams", "red", home=f"dc{number % 3 + 1}")])
                tighten.append(fleet.clock.now_ms() - change_start_ms)
            leader = (await fleet.wait_for_leader()).settings.process.link_address
            nursery.cancel_scope.cancel()
        rates = {
            address: (idle[address] - before.get(address, 0)) / idle_s / 1_024 for address in idle
        }
        entries = [r for address, r in rates.items() if not address.startswith("10.0.0.1:")]
        return {
            "loosening_ms": float(sorted(loosen)[10]),
            "tightening_ms": float(sorted(tighten)[10]),
            "tightening_max_ms": float(max(tighten)),
            "leader_kb_per_s": rates[leader],
            "other_kb_per_s_max": max(entries),
        }

    return run_virtual(main)


def measure_rollout(workers: int) -> dict[str, float]:
    """Run the maintenance planner over five simulated weeks.

    A step is 30 minutes, and the maintenance of a VM takes several steps.
    """
    state = build_state(workers)
    builder = builders.ControlBuilder()
    builder.state = state
    vm_observation = observe_vms(state, build_sessions(state, 0), 0)
    step_ms = 30 * 60_000
    maintained: set[str] = set()
    most_down = 0
    started = time.perf_counter()
    end_ms = builders.START_MS + 5 * WEEK_MS
    for now_ms in range(builders.START_MS, end_ms, step_ms):
        for vm in due_vms(state, now_ms):
            builder.apply(
                commands.OrderMaintenance(
                    operation_id=f"p{vm}{now_ms}",
                    digest="",
                    vm=vm,
                    action=commands.OrderAction.REBOOT,
                    at_ms=now_ms,
                    planned=True,
                )
            )
        down: dict[str, int] = {}
        for vm, vm_state in state.vm_states.items():
            if vm_state.phase is not VmPhase.IN_SERVICE:
                down[state.pool_of(vm)] = down.get(state.pool_of(vm), 0) + 1
        most_down = max(most_down, *down.values()) if down else most_down
        idle = frozenset(vm for vm, s in state.vm_states.items() if s.phase is VmPhase.DRAINING)
        boots = {
            vm: f"{vm}.{s.epoch}"
            for vm, s in state.vm_states.items()
            if s.phase is VmPhase.REBOOTING
        }
        current_observation = evolve(vm_observation, idle=idle, boots=boots)
        for action in phase_transitions(state, current_observation, now_ms) + allowed_drains(
            state, current_observation
        ):
            outcome = builder.apply(
                commands.SetVmPhase(
                    vm=action.vm,
                    expected_epoch=action.expected_epoch,
                    phase=action.phase,
                    at_ms=now_ms,
                )
            )
            if outcome.accepted and action.phase is VmPhase.IN_SERVICE:
                maintained.add(action.vm)
    overdue = [
        vm for vm in state.table.vms if state.vm_state(vm).maintained_ms < end_ms - 5 * WEEK_MS
    ]
    return {
        "maintained": len(maintained),
        "overdue": len(overdue),
        "most_down_in_a_pool": most_down,
        "planner_s": time.perf_counter() - started,
    }


def main(quick: bool = False) -> None:
    """Print all figures as JSON lines.

    Args:
        quick: skip the five weeks of maintenance.
    """
    logger.remove()
    by_size: dict[str, list[tuple[float, float]]] = {}
    for workers in SIZES:
        figures = {
            **measure_state(workers),
            **measure_leader_tick(workers),
            **measure_change(workers),
            **measure_messages(workers),
            **measure_free_capacity(workers),
            **measure_heartbeat(workers // 48),
        }
        print(json.dumps({"workers": workers, **{k: round(v, 3) for k, v in figures.items()}}))
        for name, value in figures.items():
            by_size.setdefault(name, []).append((workers, value))
    for name, points in by_size.items():
        gradient, base = fit_line(points)
        line = {
            "figure": name,
            "per_1000_workers": round(gradient * 1_000, 3),
            "base": round(base, 3),
        }
        print(json.dumps(line))
    print(json.dumps({k: round(v, 1) for k, v in measure_fsync().items()}))
    for entries in (500, 1_000, 2_000, 4_000):
        print(
            json.dumps({"log_entries": entries, "recovery_ms": round(measure_recovery(entries), 1)})
        )
    for layout in ((3, 3, 3), (6, 6, 5)):
        figures = measure_in_force(layout)
        print(json.dumps({"entries": sum(layout), **{k: round(v, 2) for k, v in figures.items()}}))
    if not quick:
        print(json.dumps(measure_rollout(2_400)))


if __name__ == "__main__":
    fire.Fire(main)
