"""Checks of a fleet's promises at fixed intervals while the demo runs."""

from __future__ import annotations

import trio

from hornbeamreach.clock import seconds
from hornbeamreach.demo.check_results import CheckResults
from hornbeamreach.demo.fleet import LocalFleet
from hornbeamreach.tables.control_state import ControlState, VmPhase

OBSERVE_INTERVAL_MS = 50

TEAM_LIMITS = "no team above its limit"
AVAILABILITY_BUDGETS = "availability budgets hold"
ONE_POOL = "a VM is in exactly one pool"
MONOTONIC_VERSIONS = "an accepted configuration never reverts"
NO_INTERRUPTED_TASKS = "no task is cut off by a reboot"


class Observer:
    """Check the promises that can be observed from outside at any time."""

    def __init__(self, *, fleet: LocalFleet, results: CheckResults) -> None:
        self.fleet = fleet
        self.results = results
        self.highest_versions: dict[str, int] = {}
        self.most_running: dict[str, int] = {}

    async def run(self) -> None:
        """Check at a fixed interval until cancelled."""
        while True:
            self.observe()
            await trio.sleep(seconds(OBSERVE_INTERVAL_MS))

    def observe(self) -> None:
        """Check every observable promise once."""
        self._check_limits()
        self._check_budgets()
        self._check_versions()

    def running_by_team(self) -> dict[str, int]:
        """Return the number of calls and tasks that are running, by team."""
        running: dict[str, int] = {}
        counts = [minion.running for minion in self.fleet.minions.values()]
        counts += [platform.running_by_team() for platform in self.fleet.platforms.values()]
        for by_team in counts:
            for team, count in by_team.items():
                running[team] = running.get(team, 0) + count
        return running

    def _check_limits(self) -> None:
        table = self.fleet.plan.table
        for team, count in self.running_by_team().items():
            limit = table.teams[team].max_running
            self.most_running[team] = max(count, self.most_running.get(team, 0))
            self.results.check(TEAM_LIMITS, count <= limit, f"{team} runs {count} of {limit}")

    def _check_budgets(self) -> None:
        table = self.fleet.plan.table
        now_ms = self.fleet.clock.now_ms()
        rebooting = {
            vm.name
            for platform in self.fleet.platforms.values()
            for vm in platform.vms.values()
            if vm.rebooting_until_ms > now_ms
        }
        for name, pool in table.pools.items():
            count = sum(1 for vm in table.vms_of_pool(name) if vm in rebooting)
            held = count <= pool.max_down
            self.results.check(AVAILABILITY_BUDGETS, held, f"{count} VMs of {name} reboot at once")
        for data_center, platform in self.fleet.platforms.items():
            interrupted = len(platform.interrupted_tasks)
            self.results.check(
                NO_INTERRUPTED_TASKS,
                interrupted == 0,
                f"{interrupted} tasks cut off in {data_center}",
            )

    def _check_versions(self) -> None:
        for name, process in self.fleet.entries.items():
            if process.ended.is_set():
                continue
            state = self.fleet.entry_node(name).replayed_state.state
            before = self.highest_versions.get(name, 0)
            detail = f"{name} went from version {before} to {state.version}"
            self.results.check(MONOTONIC_VERSIONS, state.version >= before, detail)
            self.highest_versions[name] = state.version
            self._check_pools(state)

    def _check_pools(self, state: ControlState) -> None:
        in_pools: dict[str, int] = {}
        for pool in state.table.pools:
            for vm in state.table.vms_of_pool(pool):
                in_pools[vm] = in_pools.get(vm, 0) + 1
        for vm in state.table.vms:
            count = in_pools.get(vm, 0)
            self.results.check(ONE_POOL, count == 1, f"{vm} is in {count} pools")

    def phases(self) -> dict[str, VmPhase]:
        """Return the phases of the VMs from the replayed state of a running entry process."""
        for name, process in self.fleet.entries.items():
            if not process.ended.is_set():
                state = self.fleet.entry_node(name).replayed_state.state
                return {vm: state.vm_state(vm).phase for vm in state.table.vms}
        return {}
