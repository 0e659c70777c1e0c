"""Slices of a team limit: lost, late or repeated messages never let use exceed the limit."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hornbeamreach.control import commands
from hornbeamreach.systems.limit_slices import SliceHolder, ideal_sizes, plan_slices
from hornbeamreach.tables.permits import PermitTable
from hornbeamreach.tables.reports import PermitUse
from hornbeamreach.tables.sessions import HolderKey

from . import builders

LIMIT = 10
ENTRIES = ("dc1-e1", "dc1-e2", "dc2-e1")


def holder(entry: str, size: int, **fields) -> SliceHolder:
    return SliceHolder(key=HolderKey(entry, "i1"), size=size, **fields)


class EscrowMachine(RuleBasedStateMachine):
    """Acquire and release permits while reports and log items are delayed, repeated or lost."""

    @initialize()
    def build(self):
        declared = builders.table(teams={"red": builders.team(max_running=LIMIT)})
        self.builder = builders.ControlBuilder(declared)
        self.permits = {entry: PermitTable() for entry in ENTRIES}
        self.delivered_index = dict.fromkeys(ENTRIES, 0)
        self.reports: dict[str, PermitUse] = {}
        self.old_reports: list[tuple[str, PermitUse]] = []
        self.targets: dict[str, list[int]] = {entry: [] for entry in ENTRIES}
        self.history = {}
        for entry in ENTRIES:
            self.builder.register(entry)
        self.record_grants()

    def record_grants(self):
        state = self.builder.state
        self.history[state.applied_index] = {
            entry: (
                dict(state.grants[entry]["i1"].slices),
                dict(state.grants[entry]["i1"].slice_indexes),
            )
            for entry in ENTRIES
        }

    @rule(entry=st.sampled_from(ENTRIES))
    def acquire(self, entry):
        self.permits[entry].acquire("red")

    @rule(entry=st.sampled_from(ENTRIES))
    def release(self, entry):
        if self.permits[entry].in_use.get("red"):
            self.permits[entry].release("red")

    @rule(entry=st.sampled_from(ENTRIES), wanted=st.integers(0, 12))
    def report(self, entry, wanted):
        self.permits[entry].set_shortfall("calls", {"red": wanted})
        use = self.permits[entry].permit_use("red")
        self.reports[entry] = use
        self.old_reports.append((entry, use))

    @rule(position=st.integers(0, 100))
    def repeat_old_report(self, position):
        if self.old_reports:
            entry, use = self.old_reports[position % len(self.old_reports)]
            self.reports[entry] = use

    @rule()
    def plan(self):
        state = self.builder.state
        holders = []
        for entry in ENTRIES:
            use = self.reports.get(entry, PermitUse())
            holders.append(
                holder(
                    entry,
                    state.grants[entry]["i1"].slices.get("red", 0),
                    in_use=use.in_use,
                    requested=use.wanted,
                    ceiling=use.ceiling,
                    ceiling_index=use.ceiling_index,
                )
            )
        plan = plan_slices(LIMIT, holders)
        by_entry = {item.key.entry_id: item for item in holders}
        for key, target in plan.targets.items():
            self.targets[key.entry_id].append(target)
        ordered = sorted(plan.sizes.items(), key=lambda i: i[1] - by_entry[i[0].entry_id].size)
        changes = [
            commands.SliceChange(
                entry_id=key.entry_id,
                incarnation="i1",
                team="red",
                size=size,
                promised_index=by_entry[key.entry_id].ceiling_index,
            )
            for key, size in ordered
        ]
        if changes:
            self.builder.apply(commands.SetSlices(changes=changes))
            self.record_grants()

    @rule(entry=st.sampled_from(ENTRIES), steps=st.integers(1, 5))
    def deliver_log(self, entry, steps):
        indexes = [index for index in sorted(self.history) if index > self.delivered_index[entry]]
        for index in indexes[:steps]:
            self.permits[entry].update_slices(*self.history[index][entry])
            self.delivered_index[entry] = index

    @rule(entry=st.sampled_from(ENTRIES), position=st.integers(0, 5))
    def deliver_target(self, entry, position):
        if self.targets[entry]:
            target = self.targets[entry][position % len(self.targets[entry])]
            self.permits[entry].promise_targets({"red": target}, self.delivered_index[entry])

    @invariant()
    def use_never_exceeds_the_limit(self):
        if hasattr(self, "permits"):
            used = sum(table.in_use.get("red", 0) for table in self.permits.values())
            assert used <= LIMIT
            assert self.builder.state.granted_total("red") <= LIMIT

    @invariant()
    def no_entry_uses_more_than_the_log_grants(self):
        for entry, table in getattr(self, "permits", {}).items():
            granted = self.builder.state.grants[entry]["i1"].slices.get("red", 0)
            assert table.in_use.get("red", 0) <= granted


TestEscrowMachine = EscrowMachine.TestCase


class TestSlicePlan:
    def test_free_permits_go_to_holders_with_queued_work(self):
        plan = plan_slices(10, [holder("a", 2, in_use=2, requested=6), holder("b", 2)])
        assert plan.sizes[HolderKey("a", "i1")] == 8

    def test_no_holder_is_asked_to_shrink_while_no_work_is_queued(self):
        plan = plan_slices(10, [holder("a", 8, in_use=1), holder("b", 2, in_use=1)])
        assert plan.targets == {}

    def test_idle_holders_are_asked_to_shrink_for_queued_work(self):
        plan = plan_slices(10, [holder("a", 9), holder("b", 1, in_use=1, requested=20)])
        assert plan.targets[HolderKey("a", "i1")] < 9

    def test_a_promised_ceiling_frees_permits_in_the_same_plan(self):
        holders = [holder("a", 9, ceiling=1, ceiling_index=5), holder("b", 1, requested=9)]
        plan = plan_slices(10, holders)
        assert plan.sizes == {HolderKey("a", "i1"): 1, HolderKey("b", "i1"): 9}

    def test_a_holder_without_a_live_session_keeps_its_slice(self):
        plan = plan_slices(10, [holder("a", 9, live=False), holder("b", 1, requested=9)])
        assert HolderKey("a", "i1") not in plan.sizes
        assert HolderKey("a", "i1") not in plan.targets

    def test_a_lowered_limit_asks_every_holder_to_shrink(self):
        plan = plan_slices(4, [holder("a", 5, in_use=1), holder("b", 5, in_use=1)])
        assert sum(plan.targets.values()) <= 4

    def test_requested_permits_are_shared_max_min(self):
        sizes = ideal_sizes(10, [holder("a", 0, requested=2), holder("b", 0, requested=100)])
        assert sizes == {HolderKey("a", "i1"): 2, HolderKey("b", "i1"): 8}
