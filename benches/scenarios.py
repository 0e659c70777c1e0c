"""Scenarios of the policy benchmark; each returns its figures."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from benches.measure import summarize
from benches.workload import LoadGenerator, user_fleet
from hornbeamreach.control import commands
from hornbeamreach.settings import PolicySettings
from hornbeamreach.standins.platform import REBOOT_MS
from hornbeamreach.tables.control_state import OrderAction, VmPhase
from tests.fakes import run_virtual

# Queued jobs of each team in each data centre: more than any team completes in one second.
FULL_BACKLOG = 40

Figures = dict[str, Any]
Scenario = Callable[[LoadGenerator, float], Awaitable[Figures]]


def run_scenario(
    user: str,
    scenario: Scenario,
    *,
    seconds: float,
    seed: int = 1,
    mover: str = "payback",
    policy: PolicySettings | None = None,
) -> Figures:
    """Run a scenario on a user's fleet in virtual time; return its figures and violations."""

    async def main() -> Figures:
        fleet = user_fleet(user, seed=seed, mover=mover, policy=policy)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await fleet.set_up()
            load = LoadGenerator(fleet)
            nursery.start_soon(load.observe)
            figures = await scenario(load, seconds)
            load.checker.check_replicas_agree()
            figures["violations"] = len(load.checker.violations)
            figures["violation_details"] = load.checker.violations[:3]
            nursery.cancel_scope.cancel()
        return figures

    return run_virtual(main, seed=seed)


async def surges(load: LoadGenerator, seconds: float) -> Figures:
    """Let the queues surge in turn while calls continue."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: load.surge_queues(mean_per_s=1.5, duration_s=seconds))
        nursery.start_soon(lambda: load.call_steadily(per_s=20, duration_s=seconds))
    unfinished = await load.wait_for_jobs(180)
    await trio.sleep(seconds)
    urgent = summarize(load.urgent_start_delays_ms() or [0.0])
    return {
        "jobs": len(load.jobs),
        "urgent_start_p50_ms": urgent.median,
        "urgent_start_p99_ms": urgent.p99,
        "urgent_start_max_ms": max(load.urgent_start_delays_ms(), default=0.0),
        "urgent_entitled_wait_max_ms": round(load.longest_entitled_wait_ms()),
        "reports_unfinished": unfinished,
        "longest_wait_ms": load.longest_turnaround_ms(),
        "moves": load.moves,
        "idle_spare_vm_s": round(load.idle_spare_ms / 1_000),
        "calls_answered_percent": _answered_percent(load),
        "refusals": load.counts("refusal"),
    }


def _answered_percent(load: LoadGenerator) -> float:
    return round(100 * load.calls.answered / max(1, load.calls.sent), 2)


async def full_load(load: LoadGenerator, seconds: float) -> Figures:
    """Flood one queue from every team, so that only shares and limits decide."""
    queue = sorted(load.fleet.declared.queues)[0]
    async with trio.open_nursery() as nursery:
        for data_center in sorted(load.fleet.platforms):
            nursery.start_soon(load.flood, queue, data_center, FULL_BACKLOG, seconds + 5)
        await trio.sleep(5)
        before = dict(load.cpu_ms)
        await trio.sleep(seconds)
        used = {team: load.cpu_ms.get(team, 0.0) - before.get(team, 0.0) for team in load.cpu_ms}
        nursery.cancel_scope.cancel()
    entitled = entitled_shares(load)
    total = sum(used.values()) or 1.0
    attained = {team: used.get(team, 0.0) / total for team in entitled}
    errors = {team: abs(attained[team] - entitled[team]) / entitled[team] for team in entitled}
    return {
        "share_error_percent": round(100 * max(errors.values()), 2),
        "attained_percent": {team: round(100 * part, 1) for team, part in attained.items()},
        "entitled_percent": {team: round(100 * part, 1) for team, part in entitled.items()},
    }


def entitled_shares(load: LoadGenerator) -> dict[str, float]:
    """Return each team's share of a fully used pool, by the weights of all teams."""
    teams = load.fleet.declared.teams
    total = sum(row.weight for row in teams.values())
    return {team: row.weight / total for team, row in teams.items()}


async def rollout(load: LoadGenerator, seconds: float) -> Figures:
    """Reboot every VM of two pools while calls and jobs continue."""
    fleet = load.fleet
    pools = sorted(name for name, row in fleet.declared.pools.items() if not row.spare)[:2]
    vms = [vm for pool in pools for vm in fleet.declared.vms_of_pool(pool)]
    leader = await fleet.wait_for_leader()
    start_ms = fleet.clock.now_ms()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: load.surge_queues(mean_per_s=0.3, duration_s=seconds))
        nursery.start_soon(lambda: load.call_steadily(per_s=20, duration_s=seconds))
        for number, vm in enumerate(vms):
            await leader.replica.propose(_reboot_order(fleet, vm, number))
        await fleet.wait_until(lambda: _all_rebooted(fleet, vms), "all are rebooted", 600_000)
        took_ms = fleet.clock.now_ms() - start_ms
        nursery.cancel_scope.cancel()
    row = fleet.declared.pools[pools[0]]
    batches = -(-len(fleet.declared.vms_of_pool(pools[0])) // row.max_down)
    # Each batch of `max_down` VMs may take the drain time, the reboot and the probation.
    allowed_ms = batches * (row.drain_ms + REBOOT_MS + row.probation_ms)
    return {
        "rollout_ms": took_ms,
        "rollout_allowed_ms": allowed_ms,
        "rollout_factor": round(took_ms / allowed_ms, 3),
        "calls_answered_percent": _answered_percent(load),
    }


def _reboot_order(fleet: Any, vm: str, number: int) -> commands.OrderMaintenance:
    return commands.OrderMaintenance(
        operation_id=f"rollout-{number}",
        digest="",
        vm=vm,
        action=OrderAction.REBOOT,
        at_ms=fleet.clock.wall_ms(),
    )


def _all_rebooted(fleet: Any, vms: list[str]) -> bool:
    leader = fleet.leader()
    if leader is None:
        return False
    state = leader.replica.state
    return all(
        fleet.platforms[state.table.vms[vm].data_center].vms[vm].reboot_times_ms
        and state.vm_state(vm).phase is VmPhase.IN_SERVICE
        for vm in vms
    )


async def brown_out(load: LoadGenerator, seconds: float) -> Figures:
    """Make a third of the endpoints accept calls without ever responding."""
    for number, name in enumerate(sorted(load.fleet.endpoints)):
        load.fleet.endpoints[name].silent = number % 3 == 0
    await load.call_steadily(per_s=40, duration_s=seconds)
    return {
        "retry_amplification": round(load.attempts_per_call(), 3),
        "calls_answered_percent": _answered_percent(load),
        "retries": load.counts("retry"),
        "refusals": load.counts("refusal"),
    }


async def faults(load: LoadGenerator, seconds: float) -> Figures:
    """Lose a rack during maintenance, cut off a data centre, and kill entries and a replica."""
    fleet = load.fleet
    leader = await fleet.wait_for_leader()
    pool = sorted(fleet.declared.pools)[0]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: load.surge_queues(mean_per_s=0.5, duration_s=seconds))
        nursery.start_soon(lambda: load.call_steadily(per_s=20, duration_s=seconds))
        for number, vm in enumerate(fleet.declared.vms_of_pool(pool)):
            await leader.replica.propose(_reboot_order(fleet, vm, number))
        await trio.sleep(seconds * 0.15)
        _set_rack_down(fleet, "dc1", "dc1-r1", down=True)
        await trio.sleep(seconds * 0.15)
        fleet.network.cut_off(fleet.data_center_addresses("dc2"))
        await trio.sleep(seconds * 0.2)
        fleet.network.heal()
        _set_rack_down(fleet, "dc1", "dc1-r1", down=False)
        fleet.kill("dc3-e1")
        await trio.sleep(seconds * 0.1)
        await fleet.start_entry("dc3-e1")
        await fleet.restart((await fleet.wait_for_leader()).settings.process.id)
        await trio.sleep(seconds * 0.1)
        fleet.kill("dc3-e2")
    unfinished = await load.wait_for_jobs(240)
    return {
        "reports_unfinished": unfinished,
        "calls_answered_percent": _answered_percent(load),
        "longest_wait_ms": load.longest_turnaround_ms(),
        "verdicts": load.calls.verdicts,
        "refusals": load.counts("refusal"),
        "retries": load.counts("retry"),
    }


def _set_rack_down(fleet: Any, data_center: str, rack: str, *, down: bool) -> None:
    for vm, row in fleet.declared.vms.items():
        if row.rack == rack and row.data_center == data_center:
            fleet.platforms[data_center].vms[vm].down = down
    for endpoint in fleet.endpoints.values():
        row = fleet.declared.vms[endpoint.vm]
        if row.rack == rack and row.data_center == data_center:
            endpoint.refuse_connections = down
