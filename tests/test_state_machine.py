"""The replicated state: changes, conflicts, resends, VM phases, snapshots and table files."""

from __future__ import annotations

import pytest

from hornbeamreach.control import commands
from hornbeamreach.control.snapshots import decode_state, encode_state, state_digest
from hornbeamreach.control.state_machine import ANSWER_RETENTION_MS
from hornbeamreach.exceptions import TableError
from hornbeamreach.tables.control_state import KeyEdit, OrderAction, VmPhase
from hornbeamreach.tables.declared import RowEdit
from hornbeamreach.tables.table_file import format_toml, load_table
from hornbeamreach.verdict import Reason

from . import builders


@pytest.fixture
def builder():
    return builders.ControlBuilder(builders.table())


class TestChanges:
    def test_the_second_of_two_edits_of_one_version_is_refused(self, builder):
        first = builder.edit("teams", "red", weight=2.0)
        second = builder.edit("teams", "red", weight=3.0)
        assert builder.change([first]).accepted
        refused = builder.change([second])
        assert refused.reason is Reason.VERSION_CONFLICT
        assert builder.state.table.teams["red"].weight == 2.0

    def test_a_resend_gets_the_first_outcome_and_changes_nothing(self, builder):
        edit = builder.edit("teams", "red", weight=2.0)
        first = builder.change([edit], operation_id="operation-x")
        version = builder.state.version
        resent = builder.change([edit], operation_id="operation-x")
        assert (resent.accepted, resent.version) == (first.accepted, first.version)
        assert builder.state.version == version

    def test_an_operation_id_with_other_content_is_refused(self, builder):
        builder.change([builder.edit("teams", "red", weight=2.0)], operation_id="operation-x")
        other = builder.change(
            [builder.edit("teams", "red", weight=9.0)], operation_id="operation-x"
        )
        assert other.reason is Reason.OPERATION_REUSED

    def test_a_change_is_atomic(self, builder):
        valid_edit = builder.edit("teams", "red", weight=2.0)
        invalid_edit = RowEdit(kind="pools", name="main", columns=None, expected_version=1)
        assert not builder.change([valid_edit, invalid_edit]).accepted
        assert builder.state.table.teams["red"].weight == 1.0

    def test_rows_of_a_prepared_change_are_locked(self, builder):
        tightening = builder.edit("teams", "red", max_running=3)
        assert builder.change([tightening], operation_id="operation-tight").prepared
        concurrent = builder.change([builder.edit("teams", "red", weight=2.0)])
        assert concurrent.reason is Reason.CHANGE_PENDING
        assert builder.state.table.teams["red"].max_running == 12
        assert builder.commit("operation-tight").accepted
        assert builder.state.table.teams["red"].max_running == 3

    def test_an_aborted_change_has_no_effect(self, builder):
        tightening = builder.edit("teams", "red", max_running=3)
        builder.change([tightening], operation_id="operation-tight")
        before = builder.state.version
        builder.apply(
            commands.AbortChange(
                operation_id="operation-tight",
                reason=Reason.DATA_CENTER_CUT_OFF,
                detail="dc3",
                at_ms=1,
            )
        )
        assert builder.state.version == before
        assert builder.state.lowest_limit("red") == 12

    def test_stored_answers_expire(self, builder):
        edit = builder.edit("teams", "red", weight=2.0)
        builder.change([edit], operation_id="operation-old", at_ms=builders.START_MS)
        later = builders.START_MS + ANSWER_RETENTION_MS + 10
        builder.change([builder.edit("teams", "red", weight=3.0)], at_ms=later)
        assert "operation-old" not in builder.state.answers


class TestKeys:
    def test_deleting_a_team_deletes_its_keys(self, builder):
        builder.change(key_edits=[KeyEdit(key_hash="k" * 64, team="red", key_id="r")])
        deletion = RowEdit(kind="teams", name="red", columns=None, expected_version=1)
        builder.change([deletion], operation_id="operation-gone")
        assert builder.commit("operation-gone").accepted
        assert builder.state.keys == {}

    def test_granting_a_key_twice_is_refused(self, builder):
        key = KeyEdit(key_hash="k" * 64, team="red", key_id="r")
        assert builder.change(key_edits=[key]).accepted
        assert not builder.change(key_edits=[key]).accepted


class TestBudgets:
    def drain(self, builder, vm, down=()):
        epoch = builder.state.vm_state(vm).epoch
        return builder.apply(
            commands.SetVmPhase(
                vm=vm,
                expected_epoch=epoch,
                phase=VmPhase.DRAINING,
                at_ms=1,
                also_down=list(down),
            )
        )

    def test_a_second_drain_above_the_budget_is_refused(self, builder):
        assert self.drain(builder, "dc1-w1").accepted
        assert self.drain(builder, "dc2-w1").reason is Reason.BUDGET_SPENT

    def test_a_failed_vm_counts_against_the_budget(self, builder):
        refused = self.drain(builder, "dc1-w1", down=["dc3-w2"])
        assert refused.reason is Reason.BUDGET_SPENT

    def test_a_phase_change_with_an_old_epoch_is_refused(self, builder):
        self.drain(builder, "dc1-w1")
        stale = commands.SetVmPhase(vm="dc1-w1", expected_epoch=0, phase=VmPhase.REBOOTING, at_ms=2)
        assert builder.apply(stale).reason is Reason.VERSION_CONFLICT

    def test_a_budget_below_the_unavailable_vms_is_refused(self, builder):
        self.drain(builder, "dc1-w1")
        lowered = builder.edit("pools", "main", max_down=0)
        assert builder.change([lowered]).reason is Reason.BUDGET_SPENT


class TestSnapshots:
    def test_a_state_round_trips(self, builder):
        builder.register("dc1-e1")
        builder.apply(
            commands.OrderMaintenance(
                operation_id="operation-o",
                digest="d",
                vm="dc1-w1",
                action=OrderAction.REBOOT,
                at_ms=5,
            )
        )
        decoded = decode_state(encode_state(builder.state))
        assert decoded == builder.state
        assert state_digest(decoded) == state_digest(builder.state)


class TestTableFile:
    def test_an_exported_table_round_trips(self, tmp_path):
        path = tmp_path / "table.toml"
        path.write_text(format_toml(builders.table()))
        assert load_table(path) == builders.table()

    @pytest.mark.parametrize(
        ("text", "path"),
        [
            ("[teams]\nred = { weight = 0.0, max_running = 1, home = 'dc1' }", "teams.red.weight"),
            (
                "[teams]\nred = { weight = 1, max_running = 1.5, home = 'dc1' }",
                "teams.red.max_running",
            ),
            (
                "[teams]\nred = { weight = 1, max_running = 1, home = 'dc1', colour = 1 }",
                "teams.red.colour",
            ),
            ("[teams]\nred = { weight = 1, home = 'dc1' }", "teams.red"),
            ("[teams]\nred = { weight = 1, max_running = 1, home = 'nowhere' }", "teams.red.home"),
            ("[queues]\nq = { pool = 'none' }", "queues.q.pool"),
            ("[pools]\n'BAD NAME' = { max_down = 1 }", "pools.BAD NAME"),
            ("[colours]\n", "colours"),
        ],
    )
    def test_an_invalid_table_is_refused_with_its_path(self, tmp_path, text, path):
        file = tmp_path / "table.toml"
        file.write_text(text)
        with pytest.raises(TableError) as caught:
            load_table(file)
        assert caught.value.path.startswith(path)
        assert str(file) in str(caught.value)
