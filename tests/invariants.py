"""Invariants checked throughout the run of a virtual fleet, and traffic for it."""

from __future__ import annotations

from typing import Any

import trio
from attrs import define, field

from hornbeamreach.control.snapshots import state_digest
from hornbeamreach.exceptions import RefusedError
from hornbeamreach.tables.control_state import VmPhase
from hornbeamreach.verdict import Verdict

from .fakes import VirtualFleet

CHECK_INTERVAL_S = 0.02


@define(kw_only=True)
class SentRequest:
    """Hold the verdicts that callers received for one request and its resends."""

    body: bytes
    idempotent: bool
    verdicts: list[Verdict] = field(factory=list)


class InvariantChecker:
    """Check the invariants periodically while a scenario runs."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self.fleet = fleet
        self.violations: list[str] = []
        self.check_count = 0
        self.last_indexes: dict[tuple[str, str], int] = {}
        self.digest_by_index: dict[int, str] = {}
        self.withdrawn: dict[str, int] = {}
        self.peak_running: dict[str, int] = {}

    async def run(self) -> None:
        while True:
            self.check()
            await trio.sleep(CHECK_INTERVAL_S)

    def expect(self, condition: bool, description: str) -> None:
        self.check_count += 1
        if not condition:
            self.violations.append(f"{self.fleet.clock.now_ms()} ms: {description}")

    def check(self) -> None:
        self._check_limits()
        self._check_granted_totals()
        self._check_budgets()
        self._check_replayed_indexes()

    def _states(self) -> list[Any]:
        return [
            process.node.replica.state
            for process in self.fleet.control.values()
            if process.address in self.fleet.network.handlers
        ]

    def _check_limits(self) -> None:
        for team in self.fleet.declared.teams:
            newest = max(self._states(), key=lambda state: state.applied_index, default=None)
            row = newest.table.teams.get(team) if newest else None
            if row is None:
                continue
            running = self.fleet.running_count(team)
            self.peak_running[team] = max(running, self.peak_running.get(team, 0))
            self.expect(running <= row.max_running, f"{team} runs {running} of {row.max_running}")

    def _check_granted_totals(self) -> None:
        for state in self._states():
            for team, row in state.table.teams.items():
                granted = state.granted_total(team)
                self.expect(granted <= row.max_running, f"{team} is granted {granted} permits")

    def _check_budgets(self) -> None:
        now_ms = self.fleet.clock.now_ms()
        by_pool: dict[str, int] = {}
        for platform in self.fleet.platforms.values():
            self.expect(
                not platform.interrupted_tasks, f"a reboot interrupted {platform.interrupted_tasks}"
            )
            for vm in platform.vms.values():
                if vm.rebooting_until_ms > now_ms:
                    pool = self.fleet.declared.vms[vm.name].pool
                    by_pool[pool] = by_pool.get(pool, 0) + 1
        for pool, count in by_pool.items():
            limit = self.fleet.declared.pools[pool].max_down
            self.expect(count <= limit, f"{count} VMs of {pool} reboot at once")

    def _check_replayed_indexes(self) -> None:
        for name, process in self.fleet.entries.items():
            if process.address not in self.fleet.network.handlers:
                continue
            key = (name, str(id(process.node)))
            index = process.node.replayed_state.index()
            before = self.last_indexes.get(key, 0)
            self.expect(index >= before, f"{name} went from {before} to {index}")
            self.last_indexes[key] = index

    def check_replicas_agree(self) -> None:
        """Check that replicas and entries at equal indexes have equal states."""
        states = self._states() + [
            process.node.replayed_state.state
            for process in self.fleet.entries.values()
            if process.address in self.fleet.network.handlers
        ]
        for state in states:
            digest = state_digest(state)
            known = self.digest_by_index.setdefault(state.applied_index, digest)
            self.expect(known == digest, f"states differ at index {state.applied_index}")

    def check_in_service(self) -> None:
        phases = {state.phase for state in self.fleet.state().vm_states.values()}
        self.expect(phases <= {VmPhase.IN_SERVICE}, f"VMs remain in {phases}")

    def assert_no_violations(self) -> None:
        assert self.check_count > 0
        assert not self.violations, self.violations[:5]


class Traffic:
    """Send calls through random entries, resend failed ones, and record every verdict."""

    def __init__(self, fleet: VirtualFleet, *, teams: list[str], interval_s: float = 0.05) -> None:
        self.fleet = fleet
        self.teams = teams
        self.interval_s = interval_s
        self.sent: dict[bytes, SentRequest] = {}
        self.stopped = False
        self.open_calls = 0

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            number = 0
            while not self.stopped:
                number += 1
                nursery.start_soon(self._send_request, number)
                await trio.sleep(self.interval_s)

    async def _send_request(self, number: int) -> None:
        fleet = self.fleet
        team = self.teams[number % len(self.teams)]
        idempotent = number % 2 == 0
        body = f"{team} request {number}".encode()
        sent = SentRequest(body=body, idempotent=idempotent)
        self.sent[body] = sent
        key = "" if idempotent else fleet.idempotency_key(f"key{number:06d}")
        for _ in range(1 if idempotent else 2):
            entry = self._pick_entry()
            if entry is None:
                continue
            sent.verdicts.append(await self._send(entry, team, body, key))
            if sent.verdicts[-1] is Verdict.RAN:
                break

    def _pick_entry(self) -> str | None:
        ready = [
            name
            for name, process in sorted(self.fleet.entries.items())
            if process.address in self.fleet.network.handlers and process.node.is_ready()
        ]
        return self.fleet.rng.choice(ready) if ready else None

    async def _send(self, entry: str, team: str, body: bytes, key: str) -> Verdict:
        service = "bookings" if key else "quotes"
        process = self.fleet.entries[entry]
        self.open_calls += 1
        try:
            with trio.move_on_after(12):
                reply = await self.fleet.call(entry, team, service, body, key)
                assert reply.body == body
                return Verdict.RAN
            return Verdict.MAY_HAVE_RUN
        except RefusedError as exc:
            # The entry was killed during the call, so a real caller would get no reply.
            if process.scope.cancel_called:
                return Verdict.MAY_HAVE_RUN
            return exc.verdict
        except RuntimeError:
            # The call outlived its killed process, whose nursery is closed.
            if not process.scope.cancel_called:
                raise
            return Verdict.MAY_HAVE_RUN
        finally:
            self.open_calls -= 1

    async def stop(self) -> None:
        self.stopped = True
        await self.fleet.wait_until(lambda: self.open_calls == 0, "every call has ended")

    def answered_count(self) -> int:
        return sum(Verdict.RAN in sent.verdicts for sent in self.sent.values())

    def check_verdicts(self, checker: InvariantChecker) -> None:
        """Check the verdicts that callers received against the executions."""
        for sent in self.sent.values():
            runs = self.fleet.count_runs(sent.body)
            if Verdict.RAN in sent.verdicts:
                checker.expect(runs >= 1, f"{sent.body!r} was answered but never ran")
            elif sent.verdicts and set(sent.verdicts) == {Verdict.NOT_RUN}:
                checker.expect(runs == 0, f"{sent.body!r} was refused as not run, but ran")
            if not sent.idempotent:
                checker.expect(runs <= 1, f"{sent.body!r} ran {runs} times")
