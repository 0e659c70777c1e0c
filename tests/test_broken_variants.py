"""Each check of the fleet's promises fails once against code that skips the rule."""

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

from .test_fleet_faults import in_faults, withdraw


class TestChecksCanFail:
    def test_limits_fail_when_permits_ignore_their_slice(self, monkeypatch):
        monkeypatch.setattr(PermitTable, "cap", lambda self, team: 10_000)

        async def scenario(fleet, watch, load):
            for endpoint in fleet.endpoints.values():
                endpoint.work_ms = 200
            async with trio.open_nursery() as nursery:
                for number in range(100):
                    entry = sorted(fleet.entries)[number % 9]
                    body = f"flood {number}".encode()
                    nursery.start_soon(fleet.call, entry, "red", "quotes", body, "", 30_000)

        with pytest.raises(AssertionError, match="red runs"):
            in_faults(scenario, traffic=False)

    def test_budgets_fail_when_permits_are_not_checked(self, monkeypatch):
        monkeypatch.setattr(maintenance, "exceeded_budget", lambda *arguments: None)
        monkeypatch.setattr(state_machine, "exceeded_budget", lambda *arguments: None)

        async def scenario(fleet, watch, load):
            leader = await fleet.wait_leader()
            for number, vm in enumerate(sorted(fleet.declared.vms)):
                await leader.replica.propose(fleet.reboot_order(vm, number))
            await trio.sleep(15)

        with pytest.raises(AssertionError, match="reboot at once"):
            in_faults(scenario)

    def test_once_fails_when_an_acceptor_votes_without_its_records(self, monkeypatch):
        def vote_at_once(self, dumps, **options):
            self.voting = True
            return True

        monkeypatch.setattr(Acceptor, "try_recover", vote_at_once)

        async def scenario(fleet, watch, load):
            key = fleet.idempotency_key("kept")
            await fleet.call("dc1-e3", "red", "bookings", b"kept", key)
            for name in ("dc1-e1", "dc1-e2"):
                await fleet.restart(name)
                await trio.sleep(2)
            await fleet.wait_until(fleet.entry("dc1-e2").is_ready, "dc1-e2 is ready")
            fleet.kill("dc1-e3")
            await fleet.call("dc1-e2", "red", "bookings", b"kept", key)
            watch.expect(fleet.runs_of(b"kept") <= 1, "kept ran twice")

        with pytest.raises(AssertionError, match="kept ran twice"):
            in_faults(scenario, traffic=False)

    def test_withdrawal_fails_when_a_cut_off_entry_needs_no_majority(self, monkeypatch):
        monkeypatch.setattr(
            authority_module.Authority, "majority_is_not_newer", lambda *arguments: True
        )

        async def scenario(fleet, watch, load):
            address = fleet.entry("dc2-e2").settings.process.link_address
            fleet.network.isolate({address})
            await trio.sleep(8)
            assert (await fleet.change(key_edits=withdraw("blue"))).accepted
            answer = await fleet.call("dc2-e2", "blue", body=b"withdrawn")
            watch.expect(answer.body != b"withdrawn", "a withdrawn key still works")

        with pytest.raises(AssertionError, match="withdrawn key still works"):
            in_faults(scenario, traffic=False)

    def test_verdicts_fail_when_silence_is_called_not_run(self, monkeypatch):
        original = AttemptGroup.combined_failure
        monkeypatch.setattr(
            AttemptGroup,
            "combined_failure",
            lambda self: evolve(original(self), verdict=Verdict.NOT_RUN),
        )

        async def scenario(fleet, watch, load):
            for endpoint in fleet.endpoints.values():
                endpoint.silent = True
            await trio.sleep(7)

        with pytest.raises(AssertionError, match=r"but ran|ran \d times"):
            in_faults(scenario)

    def test_versions_fail_when_an_older_state_is_taken(self, monkeypatch):
        def take_any(self, encoded):
            self.state = snapshots.decode_state(encoded)

        monkeypatch.setattr(ReplayedState, "_apply_snapshot", take_any)

        async def scenario(fleet, watch, load):
            old = snapshots.encode_state(fleet.entry("dc1-e1").replayed_state.state)
            await fleet.change([fleet.edit("teams", "red", weight=4.0)])
            await trio.sleep(0.1)
            fleet.entry("dc1-e1").replayed_state.apply([], old)
            await trio.sleep(0.1)

        with pytest.raises(AssertionError, match="went from"):
            in_faults(scenario, traffic=False)
