"""Classification of changes as loosening or tightening, for every column."""

from __future__ import annotations

import pytest

from hornbeamreach.systems.change_effect import (
    ADD_TIGHTENS,
    DELETE_TIGHTENS,
    change_effect,
    column_tightens,
)
from hornbeamreach.tables.columns import Effect, columns_of
from hornbeamreach.tables.control_state import KeyEdit
from hornbeamreach.tables.declared import ROW_CLASSES, RowEdit

from . import builders

# For each column that can tighten, an old and a new value that take something away.
TIGHTENING = {
    "teams": {"max_running": (9, 8), "home": ("dc1", "dc2"), "cut_off_ms": (9, 8)},
    "pools": {
        "max_down": (2, 1),
        "max_down_per_data_center": (2, 1),
        "max_down_per_rack": (2, 1),
        "drain_ms": (9, 8),
        "probation_ms": (8, 9),
    },
    "services": {"idempotent": (True, False)},
    "queues": {"open": (True, False)},
    "vms": {
        "pool": ("a", "b"),
        "data_center": ("a", "b"),
        "rack": ("a", "b"),
        "cpu_millis": (9, 8),
        "memory_mb": (9, 8),
        "accelerators": (2, 1),
    },
}


def all_columns():
    return [(kind, name) for kind, cls in ROW_CLASSES.items() for name in columns_of(cls)]


class TestEveryColumn:
    @pytest.mark.parametrize(("kind", "name"), all_columns())
    def test_a_column_tightens_as_expected_or_is_neutral(self, kind, name):
        expected = TIGHTENING[kind].get(name)
        if expected is None:
            effect = columns_of(ROW_CLASSES[kind])[name].effect
            assert effect is Effect.NEUTRAL
            return
        old, new = expected
        assert column_tightens(kind, name, old, new)
        assert not column_tightens(kind, name, new, new)

    def test_every_expected_column_exists(self):
        for kind, columns in TIGHTENING.items():
            assert columns.keys() <= columns_of(ROW_CLASSES[kind]).keys()

    def test_every_kind_defines_the_effect_of_adding_and_deleting(self):
        assert DELETE_TIGHTENS.keys() == ADD_TIGHTENS.keys() == ROW_CLASSES.keys()


class TestChangeEffect:
    def effect(self, edits=(), keys=()):
        builder = builders.ControlBuilder(builders.table())
        builder.change(key_edits=[KeyEdit(key_hash="k" * 64, team="red", key_id="r")])
        row_edits = [builder.edit(*edit[:2], **edit[2]) for edit in edits]
        return change_effect(builder.state, row_edits, list(keys))

    def test_a_lowered_limit_affects_control_only(self):
        effect = self.effect([("teams", "red", {"max_running": 1})])
        assert effect.tightens()
        assert not effect.teams

    def test_a_withdrawn_key_affects_its_team(self):
        effect = self.effect(keys=[KeyEdit(key_hash="k" * 64, withdraw=True)])
        assert effect.teams == {"red"}

    def test_a_moved_vm_affects_every_team(self):
        effect = self.effect([("vms", "dc1-w1", {"rack": "r9"})])
        assert effect.shared_rows == {"vms.dc1-w1"}

    def test_deleting_a_team_tightens_and_adding_one_does_not(self):
        builder = builders.ControlBuilder(builders.table())
        deletion = RowEdit(kind="teams", name="red", columns=None, expected_version=1)
        new = RowEdit(
            kind="teams",
            name="green",
            columns=builders.to_plain(builders.team()),
            expected_version=0,
        )
        assert change_effect(builder.state, [deletion], []).tightens()
        assert not change_effect(builder.state, [new], []).tightens()
