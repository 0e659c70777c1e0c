"""Random faults under calls and jobs of two teams close to their limits."""

from __future__ import annotations

import contextlib
import random

import pytest
import trio

from hornbeamreach.exceptions import NotLeaderError, RefusedError

from . import builders
from .fakes import VirtualFleet, run_virtual
from .invariants import InvariantChecker, Traffic
from .test_fleet_jobs import submit

FAULT_COUNT = 25
FAULT_TIMEOUT_S = 12
SETTLE_S = 60


class RandomFaults:
    """Inject random faults; at most two entries are down at once."""

    def __init__(self, fleet: VirtualFleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.killed: set[str] = set()
        self.number = 0

    async def inject_fault(self) -> None:
        self.number += 1
        faults = (
            self.kill,
            self.start,
            self.cut_off_data_center,
            self.cut_off_process,
            self.heal,
            self.drain,
            self.change_limit,
            self.toggle_vm,
            self.restart_leader,
            self.toggle_endpoint_replies,
            self.change_endpoint_speed,
        )
        with trio.move_on_after(FAULT_TIMEOUT_S), contextlib.suppress(NotLeaderError):
            await self.rng.choice(faults)()
        await trio.sleep(self.rng.uniform(0.2, 4))

    async def kill(self) -> None:
        name = self.rng.choice(list(self.fleet.entry_settings))
        if len(self.killed) < 2 and name not in self.killed:
            self.fleet.kill(name)
            self.killed.add(name)

    async def start(self) -> None:
        if self.killed:
            name = min(self.killed)
            self.killed.remove(name)
            await self.fleet.start_entry(name)

    async def cut_off_data_center(self) -> None:
        data_center = self.rng.choice(builders.DATA_CENTERS)
        self.fleet.network.cut_off(self.fleet.data_center_addresses(data_center))

    async def cut_off_process(self) -> None:
        self.fleet.network.cut_off({self.rng.choice(sorted(self.fleet.network.handlers))})

    async def heal(self) -> None:
        self.fleet.network.heal()

    async def drain(self) -> None:
        leader = await self.fleet.wait_for_leader()
        vm = self.rng.choice(sorted(self.fleet.declared.vms))
        await leader.replica.propose(self.fleet.reboot_order(vm, self.number))

    async def change_limit(self) -> None:
        await self.fleet.wait_for_leader()
        team, limit = self.rng.choice(["red", "blue"]), self.rng.randint(3, 14)
        await self.fleet.change([self.fleet.edit("teams", team, max_running=limit)])

    async def toggle_vm(self) -> None:
        platform = self.rng.choice(list(self.fleet.platforms.values()))
        vm = self.rng.choice(list(platform.vms.values()))
        vm.down = not vm.down

    async def restart_leader(self) -> None:
        leader = await self.fleet.wait_for_leader()
        await self.fleet.restart(leader.settings.process.id)

    async def toggle_endpoint_replies(self) -> None:
        endpoint = self.rng.choice(list(self.fleet.endpoints.values()))
        endpoint.silent = not endpoint.silent

    async def change_endpoint_speed(self) -> None:
        endpoint = self.rng.choice(list(self.fleet.endpoints.values()))
        endpoint.work_ms = self.rng.choice([20, 500, 1_500])

    async def end_faults(self) -> None:
        self.fleet.network.heal()
        for name in sorted(self.killed):
            await self.fleet.start_entry(name)
        for platform in self.fleet.platforms.values():
            for vm in platform.vms.values():
                vm.down = False


async def submit_until_stopped(fleet: VirtualFleet, load: Traffic, rng: random.Random) -> None:
    while not load.stopped:
        ready = [
            name
            for name, process in sorted(fleet.entries.items())
            if process.address in fleet.network.handlers and process.node.is_ready()
        ]
        if ready:
            entry = rng.choice(ready)
            process = fleet.entries[entry]
            try:
                await submit(
                    fleet,
                    entry=entry,
                    team=rng.choice(["red", "blue"]),
                    work_ms=rng.choice([200, 2_000, 8_000]),
                    cpu_millis=rng.choice([500, 4_000, 8_000]),
                    memory_mb=512,
                    idempotent=rng.random() < 0.5,
                )
            except RefusedError:
                pass
            except RuntimeError:
                # The submission outlived its killed process, whose nursery is closed.
                if not process.scope.cancel_called:
                    raise
        await trio.sleep(0.3)


def run_random(seed: int) -> InvariantChecker:
    entry_counts = random.Random(seed).choice([(3, 3, 3), (3, 2, 2)])

    async def main() -> InvariantChecker:
        fleet = VirtualFleet(seed=seed, entries_per_data_center=entry_counts)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await fleet.set_up()
            checker = InvariantChecker(fleet)
            nursery.start_soon(checker.run)
            load = Traffic(fleet, teams=["red", "blue"], interval_s=0.03)
            nursery.start_soon(load.run)
            nursery.start_soon(submit_until_stopped, fleet, load, random.Random(seed))
            faults = RandomFaults(fleet, seed)
            for _ in range(FAULT_COUNT):
                await faults.inject_fault()
            await faults.end_faults()
            await load.stop()
            await trio.sleep(SETTLE_S)
            load.check_verdicts(checker)
            checker.check_replicas_agree()
            for platform in fleet.platforms.values():
                for task_id, count in platform.starts.items():
                    checker.expect(count <= 1, f"task {task_id} was started {count} times")
            nursery.cancel_scope.cancel()
        return checker

    return run_virtual(main, seed=seed)


@pytest.mark.parametrize("seed", [5, 11, 17])
class TestRandomFaults:
    def test_no_invariant_is_broken(self, seed):
        run_random(seed).assert_no_violations()
