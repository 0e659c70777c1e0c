"""Each invariant check must fail on a variant of the code that breaks its rule."""

from __future__ import annotations

import pytest
import trio
from attrs import evolve

from hornbeamreach.control import snapshots, state_machine
from hornbeamreach.entry import authority as authority_module
from hornbeamreach.entry.attempts import AttemptGroup
from hornbeamreach.entry.replayed_state import ReplayedState
from hornbeamreach.records.acceptor import Acceptor
from hornbeamreach.systems import maintenance
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.verdict import Verdict

from .test_fleet_faults import run_fault_scenario, withdraw


class TestInvariantChecks:
    def test_the_limit_check_fails_when_permits_ignore_their_slice(self, monkeypatch):
        monkeypatch.setattr(PermitTable, "cap", lambda self, team: 10_000)

        async def scenario(fleet, checker, load):
            for endpoint in fleet.endpoints.values():
                endpoint.work_ms = 200
            async with trio.open_nursery() as nursery:
                for number in range(100):
                    entry = sorted(fleet.entries)[number % 9]
                    body = f"flood {number}".encode()
                    nursery.start_soon(fleet.call, entry, "red", "quotes", body, "", 30_000)

        with pytest.raises(AssertionError, match="red runs"):
            run_fault_scenario(scenario, traffic=False)

    def test_the_budget_check_fails_when_the_budget_is_not_enforced(self, monkeypatch):
        monkeypatch.setattr(maintenance, "exceeded_budget", lambda *arguments: None)
        monkeypatch.setattr(state_machine, "exceeded_budget", lambda *arguments: None)

        async def scenario(fleet, checker, load):
            leader = await fleet.wait_for_leader()
            for number, vm in enumerate(sorted(fleet.declared.vms)):
                await leader.replica.propose(fleet.reboot_order(vm, number))
            await trio.sleep(15)

        with pytest.raises(AssertionError, match="reboot at once"):
            run_fault_scenario(scenario)

    def test_the_run_once_check_fails_when_an_acceptor_votes_without_its_records(self, monkeypatch):
        def vote_without_recovery(self, dumps, **options):
            self.voting = True
            return True

        monkeypatch.setattr(Acceptor, "try_recover", vote_without_recovery)

        async def scenario(fleet, checker, load):
            key = fleet.idempotency_key("kept")
            await fleet.call("dc1-e3", "red", "bookings", b"kept", key)
            for name in ("dc1-e1", "dc1-e2"):
                await fleet.restart(name)
                await trio.sleep(2)
            await fleet.wait_until(fleet.entry("dc1-e2").is_ready, "dc1-e2 is ready")
            fleet.kill("dc1-e3")
            await fleet.call("dc1-e2", "red", "bookings", b"kept", key)
            checker.expect(fleet.count_runs(b"kept") <= 1, "kept ran twice")

        with pytest.raises(AssertionError, match="kept ran twice"):
            run_fault_scenario(scenario, traffic=False)

    def test_the_withdrawal_check_fails_when_a_cut_off_entry_needs_no_majority(self, monkeypatch):
        monkeypatch.setattr(
            authority_module.Authority, "majority_is_not_newer", lambda *arguments: True
        )

        async def scenario(fleet, checker, load):
            address = fleet.entry("dc2-e2").settings.process.link_address
            fleet.network.cut_off({address})
            await trio.sleep(8)
            assert (await fleet.change(key_edits=withdraw("blue"))).accepted
            reply = await fleet.call("dc2-e2", "blue", body=b"withdrawn")
            checker.expect(reply.body != b"withdrawn", "a withdrawn key still works")

        with pytest.raises(AssertionError, match="withdrawn key still works"):
            run_fault_scenario(scenario, traffic=False)

    def test_the_verdict_check_fails_when_a_missing_reply_is_reported_as_not_run(self, monkeypatch):
        original = AttemptGroup.combined_failure
        monkeypatch.setattr(
            AttemptGroup,
            "combined_failure",
            lambda self: evolve(original(self), verdict=Verdict.NOT_RUN),
        )

        async def scenario(fleet, checker, load):
            for endpoint in fleet.endpoints.values():
                endpoint.silent = True
            await trio.sleep(7)

        with pytest.raises(AssertionError, match=r"but ran|ran \d times"):
            run_fault_scenario(scenario)

    def test_the_index_check_fails_when_an_older_snapshot_is_applied(self, monkeypatch):
        def apply_any_snapshot(self, encoded):
            self.state = snapshots.decode_state(encoded)

        monkeypatch.setattr(ReplayedState, "_apply_snapshot", apply_any_snapshot)

        async def scenario(fleet, checker, load):
            old_snapshot = snapshots.encode_state(fleet.entry("dc1-e1").replayed_state.state)
            await fleet.change([fleet.edit("teams", "red", weight=4.0)])
            await trio.sleep(0.1)
            fleet.entry("dc1-e1").replayed_state.apply([], old_snapshot)
            await trio.sleep(0.1)

        with pytest.raises(AssertionError, match="went from"):
            run_fault_scenario(scenario, traffic=False)
