"""Evacuation of data centres: nothing starts there from the acknowledgement on, whatever fails."""

from __future__ import annotations

import contextlib
from types import SimpleNamespace

import attrs
import cbor2
import pytest
import trio

from hornbeamreach.control.snapshots import decode_state, encode_state
from hornbeamreach.control.workload_commands import BeginEvacuation, EndEvacuation
from hornbeamreach.exceptions import PeerTimeoutError, RefusedError
from hornbeamreach.fleet.messages import ChangeEvacuation
from hornbeamreach.fleet.ports import PlatformVm, PlatformVmState, UnknownOutcomeError
from hornbeamreach.fleet.proposed_state import ProposedState
from hornbeamreach.fleet.report_forwarder import ReportForwarder
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform.operator_app import OperatorApp
from hornbeamreach.platform.settings import decode_settings
from hornbeamreach.standins import step_minions
from hornbeamreach.systems.evacuation import ColdStarts, cold_start_limits, evacuation_policies
from hornbeamreach.systems.maintenance_wave import is_at_full_speed
from hornbeamreach.systems.task_placement import PlacementRequest
from hornbeamreach.systems.wait_obstacles import Obstacle, find_obstacle
from hornbeamreach.tables.control_state import ControlState

from . import builders
from .fakes import MemoryLink, run_virtual
from .step_fleet import StepFleet
from .test_fleet_jobs import run_job_scenario, submit, wait_for_job
from .test_planner import NOW_MS, make_planner

EVACUATION_BOUND_MS = 5_000


class EvacuatedFleet(StepFleet):
    """Run minions in three data centres, with a method for each step of an evacuation."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        for number, minion in enumerate(self.minions.minions.values()):
            minion.data_center = f"dc{number % 3 + 1}"

    async def change(self, data_center: str, *, begin: bool) -> bool:
        """Request a change until it is answered; return whether the data centre is known."""
        message = ChangeEvacuation(data_center=data_center, begin=begin)
        while True:
            with contextlib.suppress(NoLeaderError, RefusedError):
                return (await self.finder.send_request(message, timeout_ms=900)).reply.known
            await trio.sleep(0.1)

    async def keep_submitting(self) -> None:
        """Submit jobs that occupy minions of every data centre."""
        for number in range(10_000):
            spec = builders.step_job(builders.step(count=24, cpu_millis=3_000))
            await self.submit(f"{number:016x}", spec, work_ms=300)
            await trio.sleep(0.2)

    def starts(self, *data_centers: str, since_ms: float = 0) -> list[str]:
        """Return the tasks that began in the data centres since a time of the simulation."""
        minions = self.minions.minions
        return [
            run.task
            for run in self.minions.history
            if run.began_ms > since_ms and minions[run.minion].data_center in data_centers
        ]

    def now_ms(self) -> float:
        return trio.current_time() * 1_000


def play(scenario, *, load: bool = True, **options) -> None:
    """Run a scenario on a fleet, and check the scheduling rules afterwards."""

    async def main() -> None:
        fleet = EvacuatedFleet(**options)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            if load:
                nursery.start_soon(fleet.keep_submitting)
            await trio.sleep(4)
            await scenario(fleet)
            assert not fleet.find_violations()
            nursery.cancel_scope.cancel()

    run_virtual(main)


async def assert_enforced(fleet: EvacuatedFleet, *data_centers: str, since_ms: float) -> None:
    """Check that work starts elsewhere but not in the data centres, over 8 s."""
    others = {"dc1", "dc2", "dc3"} - set(data_centers)
    await trio.sleep(8)
    assert fleet.starts(*data_centers, since_ms=since_ms) == []
    assert fleet.starts(*others, since_ms=fleet.now_ms() - 3_000)


class TestEnforcement:
    def test_nothing_starts_until_the_withdrawal_also_after_a_takeover(self):
        async def scenario(fleet):
            assert fleet.starts("dc2")
            assert await fleet.change("dc2", begin=True)
            acked_ms = fleet.now_ms()
            fleet.kill_control(await fleet.wait_for_leader())
            await assert_enforced(fleet, "dc2", since_ms=acked_ms)
            assert await fleet.change("dc2", begin=False)
            finished_ms = fleet.now_ms()
            await trio.sleep(3)
            assert fleet.starts("dc2", since_ms=finished_ms)

        play(scenario)

    def test_a_start_that_was_planned_before_is_given_back(self):
        # Starts wait 300 ms for their commit, so some are reserved when the request arrives.
        async def scenario(fleet):
            fleet.sync_duration_ms = dict.fromkeys(fleet.addresses, 300)
            await trio.sleep(1)
            assert await fleet.change("dc2", begin=True)
            await assert_enforced(fleet, "dc2", since_ms=fleet.now_ms())

        play(scenario)

    @pytest.mark.parametrize("relayed", [False, True])
    def test_an_order_that_is_under_way_is_refused_by_its_token(self, relayed, monkeypatch):
        # The orders take effect before their outcome counts as unknown, which also fences them.
        monkeypatch.setattr(step_minions, "LATE_DELAY_MIN_MS", 300)
        monkeypatch.setattr(step_minions, "LATE_DELAY_MAX_MS", 600)

        async def scenario(fleet):
            fleet.minions.late_order_fraction = 1.0
            await trio.sleep(0.25)
            assert await fleet.change("dc2", begin=True)
            acked_ms = fleet.now_ms()
            fleet.minions.late_order_fraction = 0.0
            await assert_enforced(fleet, "dc2", since_ms=acked_ms)

        play(scenario, relayed=relayed)

    def test_a_late_order_to_a_cut_off_data_centre_lapses_within_the_bound(self, monkeypatch):
        # No token reaches the minions: only the lease in the order ends its validity.
        monkeypatch.setattr(step_minions, "LATE_DELAY_MIN_MS", EVACUATION_BOUND_MS + 300)

        async def scenario(fleet):
            fleet.minions.late_order_fraction = 1.0
            await trio.sleep(0.25)
            fleet.minions.partitions = {(a, f"i-{n}") for a in fleet.addresses for n in (2, 5)}
            assert await fleet.change("dc2", begin=True)
            bound_ms = fleet.now_ms() + EVACUATION_BOUND_MS
            fleet.minions.late_order_fraction = 0.0
            await assert_enforced(fleet, "dc2", since_ms=bound_ms)

        play(scenario)

    def test_a_process_that_was_suspended_between_two_orders_sends_no_more(self):
        # The orders of a commit are sent one after the other. After a suspension the rest went out
        # with a fresh lease, while the next leader had acknowledged an evacuation.
        async def scenario(fleet):
            scheduler = await fleet.wait_for_scheduler()
            sent = []

            async def start(report, order):
                sent.append(order.task)
                # The process is suspended here, so that its lease lapses.
                clock = SimpleNamespace(now_ms=lambda: fleet.clock.now_ms() + 60_000)
                scheduler.replica.clock = clock
                raise UnknownOutcomeError("suspended")

            scheduler.orders.port = SimpleNamespace(
                start=start, poll=scheduler.orders.port.poll, stop=scheduler.orders.port.stop
            )
            await fleet.submit("a" * 16, builders.step_job(builders.step(count=6)))
            await trio.sleep(0.2)
            assert len(sent) == 1
            scheduler.replica.clock = fleet.clock

        play(scenario, load=False)

    def test_an_acknowledged_request_survives_a_loss_of_all_power(self):
        async def scenario(fleet):
            assert await fleet.change("dc1", begin=True)
            acked_ms = fleet.now_ms()
            for address in fleet.addresses:
                fleet.kill_control(address, power_loss=True)
            await trio.sleep(1)
            for address in fleet.addresses:
                fleet.start_control(address)
            await assert_enforced(fleet, "dc1", since_ms=acked_ms)

        play(scenario)

    def test_two_of_three_data_centres_and_a_begin_right_after_a_finish(self):
        async def scenario(fleet):
            assert await fleet.change("dc1", begin=True)
            assert await fleet.change("dc3", begin=True)
            assert await fleet.change("dc3", begin=False)
            assert await fleet.change("dc3", begin=True)
            await assert_enforced(fleet, "dc1", "dc3", since_ms=fleet.now_ms())

        play(scenario)


class TestTickets:
    def test_a_step_whose_tickets_are_all_for_an_evacuated_data_centre_gets_new_ones(self):
        # Its tasks waited until the tickets were renewed, here after 42 s.
        class Admission:
            async def request_tickets(self, step: str, minions: list[str]) -> dict[str, str]:
                in_dc1 = [minion for minion in minions if minion in ("i-1", "i-4")]
                return dict.fromkeys(in_dc1 or minions, "ticket")

        async def scenario(fleet):
            # Eight of twelve tasks fit on the minions that have tickets.
            spec = builders.step_job(builders.step(count=12, cpu_millis=4_000))
            await fleet.submit("a" * 16, spec, work_ms=10_000)
            await trio.sleep(1)
            assert len(fleet.starts("dc1")) == 8
            assert await fleet.change("dc1", begin=True)
            acked_ms = fleet.now_ms()
            await trio.sleep(3)
            assert len(fleet.starts("dc2", "dc3", since_ms=acked_ms)) == 4

        table = builders.step_table(advice_valid_ms=60_000, advice_decide_ms=50)
        play(scenario, load=False, table=table, admission=Admission())


class TestRequests:
    def test_repeated_and_raced_requests_leave_one_state_on_all_replicas(self):
        async def scenario(fleet):
            async with trio.open_nursery() as nursery:
                for begin in (True, False, True, False):
                    nursery.start_soon(lambda b=begin: fleet.change("dc2", begin=b))
            for begin in (True, True, False, False, True):
                assert await fleet.change("dc2", begin=begin)
            acked_ms = fleet.now_ms()
            await assert_enforced(fleet, "dc2", since_ms=acked_ms)
            states = [process.replica.state for process in fleet.control.values()]
            assert len({tuple(state.workload.evacuated.items()) for state in states}) == 1

        play(scenario)

    def test_an_unknown_data_centre_is_refused_and_changes_nothing(self):
        async def scenario(fleet):
            for name in ("dc9", "", "DC1"):
                assert not await fleet.change(name, begin=True)
                assert not await fleet.change(name, begin=False)
            workload = (await fleet.wait_for_scheduler()).proposed.workload
            assert not workload.evacuated
            assert not workload.restored

        play(scenario)

    def test_a_new_leader_doesnt_refuse_what_it_may_not_have_heard_of_yet(self):
        async def scenario(fleet):
            fleet.kill_control(await fleet.wait_for_leader())
            scheduler = await fleet.wait_for_scheduler()
            with pytest.raises(RefusedError):
                await scheduler.evacuations.is_known("dc9")
            await trio.sleep(4)
            assert not await scheduler.evacuations.is_known("dc9")

        play(scenario)

    # A data centre whose first VM had just been added was refused as unknown by an older list.
    def test_a_data_centre_that_a_list_is_older_than_is_known(self):
        async def scenario(fleet):
            await trio.sleep(4)
            inventory = (await fleet.wait_for_scheduler()).evacuations.inventory
            while not await inventory.refresh() or fleet.now_ms() - inventory.listed_ms < 300:
                await trio.sleep(0.1)
            fleet.vms.added.append(
                PlatformVm(name="m-new", pool="a", state=PlatformVmState.DOWN, data_center="dc9")
            )
            assert await fleet.change("dc9", begin=True)

        play(scenario, with_vms=True)


class RecordingLink(MemoryLink):
    """Record what one replica forwards, and lose it while the link is stalled."""

    stalled = False

    def __init__(self, fleet: EvacuatedFleet, address: str) -> None:
        super().__init__(fleet.network, address)
        self.sent: list[ChangeEvacuation] = []

    async def request(self, address, message, *, timeout_ms):
        self.sent.append(message)
        if self.stalled:
            await trio.sleep(timeout_ms / 1_000)
            raise PeerTimeoutError(address)
        return await super().request(address, message, timeout_ms=timeout_ms)


class Forwarder:
    """Forward operators' requests as one replica does."""

    def __init__(self, fleet: EvacuatedFleet, address: str) -> None:
        self.fleet = fleet
        self.link = RecordingLink(fleet, address)
        finder = LeaderFinder(link=self.link, clock=fleet.clock, replicas=[*fleet.addresses])
        self.app = OperatorApp(
            settings=decode_settings(builders.platform_settings()),
            finder=finder,
            metrics=Metrics(),
            reports=ReportForwarder(finder=finder, clock=fleet.clock),
        )
        replica = fleet.control[address].replica
        self.app.latest_evacuation_ms = lambda dc: replica.state.workload.latest_evacuation_ms(dc)

    async def ask(self, action: str) -> int:
        """Send an operator's request and return the status of the response."""
        with contextlib.suppress(NoLeaderError):
            return (await self.app._route("POST", f"/evacuation/dc2/{action}", b""))[0]
        return 503

    async def deliver_late(self, number: int = 0) -> None:
        """Let a recorded message arrive at the leader now; fail if it changes anything."""
        scheduler = await self.fleet.wait_for_scheduler()
        before = dict(scheduler.proposed.workload.evacuated)
        service = self.fleet.control[await self.fleet.wait_for_leader()].service
        reply = await service.on_change_evacuation(self.link.sent[number])
        assert reply.known
        assert scheduler.proposed.workload.evacuated == before


class TestLateRequests:
    # A message that was delivered after newer requests had been acknowledged was carried out.
    @pytest.mark.parametrize("takeover", [False, True])
    def test_an_attempt_that_is_delivered_again_after_a_newer_request_changes_nothing(
        self, takeover
    ):
        async def scenario(fleet):
            leader = await fleet.wait_for_leader()
            # The leader is killed, and a killed replica forwards nothing.
            followers = [address for address in fleet.addresses if address != leader]
            first, second = (Forwarder(fleet, address) for address in followers)
            assert await first.ask("begin") == 200
            assert await second.ask("finish") == 200
            if takeover:
                fleet.kill_control(leader)
            await first.deliver_late()
            assert await second.ask("begin") == 200
            await second.deliver_late()

        play(scenario, load=False)

    @pytest.mark.parametrize("actions", [("begin", "finish"), ("finish", "begin"), ("finish",)])
    def test_a_message_that_arrives_only_after_newer_requests_changes_nothing(self, actions):
        # Its id is unknown: the operator sent the request again, through another replica.
        async def scenario(fleet):
            stalled, other = (Forwarder(fleet, address) for address in fleet.addresses[:2])
            if actions[0] == "finish" and len(actions) > 1:
                assert await other.ask("begin") == 200
            stalled.link.stalled = True
            late = "finish" if actions[-1] == "begin" else "begin"
            assert await stalled.ask(late) == 503
            for action in actions:
                assert await other.ask(action) == 200
            await stalled.deliver_late()

        play(scenario, load=False)

    def test_a_replica_that_is_behind_forwards_requests_at_once(self):
        # Without the age of the latest request, each request through it would be refused as late.
        async def scenario(fleet):
            behind, other = (Forwarder(fleet, address) for address in fleet.addresses[:2])
            behind.app.latest_evacuation_ms = lambda _: 0
            assert await other.ask("begin") == 200
            await trio.sleep(0.02)
            assert await behind.ask("finish") == 200
            assert not (await fleet.wait_for_scheduler()).proposed.workload.evacuated

        play(scenario, load=False)

    def test_a_leader_that_knows_no_earlier_request_ends_an_evacuation(self):
        # The leader has restored a snapshot of an earlier build, which names no requests, while the
        # forwarding replica has applied the entry. The leader took "not requested" for "restored",
        # so it acknowledged each request to finish and the evacuation went on.
        async def scenario(fleet):
            leader = await fleet.wait_for_leader()
            other = next(address for address in fleet.addresses if address != leader)
            forwarder = Forwarder(fleet, other)
            assert await forwarder.ask("begin") == 200
            await trio.sleep(0.5)
            scheduler = await fleet.wait_for_scheduler()
            for workload in (
                fleet.control[leader].replica.state.workload,
                scheduler.proposed.workload,
            ):
                assert workload.evacuation_requests.pop("dc2").begins
            assert await forwarder.ask("finish") == 200
            assert "dc2" not in scheduler.proposed.workload.evacuated

        play(scenario, load=False)

    def test_the_last_committed_request_of_two_racing_operators_holds(self):
        async def scenario(fleet):
            statuses = {}

            async def ask(action, address):
                statuses[action] = await Forwarder(fleet, address).ask(action)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, "begin", fleet.addresses[0])
                nursery.start_soon(ask, "finish", fleet.addresses[1])
            await trio.sleep(0.5)
            evacuated = {
                "dc2" in p.replica.state.workload.evacuated for p in fleet.control.values()
            }
            # The one that didn't know of the other is refused, for its operator to decide again.
            assert sorted(statuses.values()) == [200, 503]
            assert evacuated == {statuses["begin"] == 200}

        play(scenario, load=False)


class TestState:
    def test_a_repeat_changes_nothing_and_snapshots_keep_the_state(self):
        proposed = ProposedState.of(ControlState())
        for at_ms in (5, 9):
            proposed.apply(BeginEvacuation(data_center="dc1", at_ms=at_ms))
            proposed.apply(BeginEvacuation(data_center="dc2", at_ms=at_ms))
        for at_ms in (11, 12):
            proposed.apply(EndEvacuation(data_center="dc2", at_ms=at_ms))
        workload = decode_state(encode_state(proposed.state)).workload
        assert (workload.evacuated, workload.restored) == ({"dc1": 5}, {"dc2": 11})
        assert workload.evacuation_requests == proposed.workload.evacuation_requests
        assert workload.latest_evacuation_ms("dc2") == 12
        copy = ProposedState.of(proposed.state)
        copy.apply(EndEvacuation(data_center="dc1", at_ms=13))
        assert proposed.workload.evacuated == {"dc1": 5}

    def test_a_snapshot_of_an_earlier_build_names_no_evacuation(self):
        plain = cbor2.loads(encode_state(ControlState()))
        for name in ("evacuated", "restored", "evacuation_requests"):
            del plain["state"]["workload"][name]
        workload = decode_state(cbor2.dumps(plain)).workload
        assert workload.evacuated == workload.evacuation_requests == {}


class TestTasksOfEntries:
    @pytest.mark.parametrize("evacuated", [("dc1",), builders.DATA_CENTERS])
    def test_an_entry_starts_no_task_in_its_evacuated_data_centre(self, evacuated):
        async def scenario(fleet):
            leader = await fleet.wait_for_leader()
            for name in evacuated:
                await leader.replica.propose(BeginEvacuation(data_center=name, at_ms=0))
            # Entries choose data centres by figures that are some seconds old.
            await trio.sleep(5)
            job_ids = [await submit(fleet) for _ in range(5)]
            await trio.sleep(3)
            assert not any(fleet.platforms[name].starts for name in evacuated)
            if evacuated == builders.DATA_CENTERS:
                lines = await fleet.entry("dc1-e1").forwarder.explain(job_ids[0])
                assert any("is evacuated" in line for line in lines)
                for name in evacuated:
                    await leader.replica.propose(EndEvacuation(data_center=name, at_ms=0))
            # With one data centre evacuated, the jobs run in the others.
            for job_id in job_ids:
                assert (await wait_for_job(fleet, job_id)).state == "done"

        run_job_scenario(scenario)


class TestCapacity:
    def test_admission_counts_no_vm_of_an_evacuated_data_centre(self):
        # With two of three evacuated, three times the work that could end in time was accepted.
        async def scenario(fleet):
            admission = (await fleet.wait_for_scheduler()).job_admission
            before = admission._measure(fleet.clock.now_ms())["pool-a"]
            for name in ("dc1", "dc3"):
                assert await fleet.change(name, begin=True)
            after = admission._measure(fleet.clock.now_ms())["pool-a"]
            assert after.cpu_millis == before.cpu_millis // 3
            assert after.idle_cpu_millis == before.idle_cpu_millis // 3

        play(scenario, load=False)


LASTING = builders.step(count=6, cpu_millis=2_000, lasting=True, may_miss=1)


async def evacuate_service(fleet: EvacuatedFleet, policy: str, step=LASTING) -> int:
    """Evacuate two data centres of a long-running job; return the most tasks that were away."""
    await fleet.submit("f" * 16, builders.step_job(step))
    await trio.sleep(4)
    scheduler = await fleet.wait_for_scheduler()
    scheduler.evacuations.policy = evacuation_policies.get(policy)
    await fleet.change("dc1", begin=True)
    await fleet.change("dc2", begin=True)
    most_away = 0
    for _ in range(300):
        await trio.sleep(0.05)
        runs = scheduler.fleet.runs_by_job.get("f" * 16, {}).values()
        working = [run for run in runs if is_at_full_speed(run, scheduler.clock.now_ms())]
        most_away = max(most_away, step.count - len(working))
    return most_away


def tasks_left(fleet: EvacuatedFleet) -> int:
    minions = fleet.minions.minions.values()
    return sum(
        task.startswith("f" * 16)
        for minion in minions
        if minion.data_center != "dc3"
        for task in minion.running
    )


class TestLongRunningTasks:
    @pytest.mark.parametrize(
        ("policy", "left", "is_within_budget"),
        [("within_budget", 0, True), ("stay", None, True), ("at_once", 0, False)],
    )
    def test_they_move_one_at_a_time_and_the_baselines_stay_or_exceed_the_budget(
        self, policy, left, is_within_budget
    ):
        async def scenario(fleet):
            spread = attrs.evolve(LASTING, max_per_minion=3)
            most_away = await evacuate_service(fleet, policy, spread)
            assert (most_away <= 1) is is_within_budget
            assert tasks_left(fleet) == left or (left is None and tasks_left(fleet) > 0)

        play(scenario, load=False)

    def test_a_task_without_room_elsewhere_stays_and_is_logged_once(self):
        async def scenario(fleet):
            # Only two of the six tasks have room in the remaining data centre.
            spread = attrs.evolve(LASTING, max_per_minion=1)
            assert await evacuate_service(fleet, "within_budget", spread) <= 1
            scheduler = await fleet.wait_for_scheduler()
            assert [v.value for _, v in scheduler.evacuations.held_back] == ["no_room"]
            assert tasks_left(fleet) == 4

        play(scenario, load=False)

    @pytest.mark.parametrize(
        ("may_miss", "left"), [(0, 0), (4, 0), (1, 3), (3, 3)], ids=lambda value: str(value)
    )
    def test_a_gang_moves_as_a_whole_or_stays(self, may_miss, left):
        # A member that was stopped alone never started again: the others would have to end first.
        async def scenario(fleet):
            gang = attrs.evolve(LASTING, count=4, gang=True, max_per_minion=2, may_miss=may_miss)
            most_away = await evacuate_service(fleet, "within_budget", gang)
            assert most_away == (0 if left else 4)
            scheduler = await fleet.wait_for_scheduler()
            assert len(scheduler.fleet.runs_by_job["f" * 16]) == 4
            assert (tasks_left(fleet) > 0) is (left > 0)

        play(scenario, load=False)

    def test_a_task_that_a_wave_has_stopped_counts_against_the_same_budget(self):
        async def scenario(fleet):
            await fleet.submit("f" * 16, builders.step_job(LASTING))
            await trio.sleep(3)
            scheduler = await fleet.wait_for_scheduler()
            runs = list(scheduler.fleet.runs_by_job["f" * 16].values())
            fleet.minions.stop_duration_ms = (2_000, 2_000)
            scheduler.orders.stop(runs[0], "upkeep")
            await fleet.change(fleet.minions.minions[runs[1].minion].data_center, begin=True)
            await trio.sleep(1)
            assert [v.value for _, v in scheduler.evacuations.held_back] == ["may_miss"]
            assert sum(not is_at_full_speed(r, scheduler.clock.now_ms()) for r in runs) == 1

        play(scenario, load=False)


class TestPlacement:
    def test_an_evacuated_data_centre_is_named_as_the_obstacle(self):
        minion = builders.minion()
        step = builders.step()
        request = PlacementRequest(step=step, needs=step.needs)
        assert find_obstacle(request, minion, 0, evacuated={"dc1"}) is Obstacle.EVACUATED
        assert find_obstacle(request, minion, 0, evacuated={"dc2"}) is Obstacle.NONE

    def test_the_planner_selects_no_start_that_would_only_be_given_back(self):
        planner = make_planner(builders.step(count=12))
        for name, data_center in (("i-0", "dc2"), ("i-1", "dc3")):
            minion = planner.fleet.minions[name]
            minion.report = attrs.evolve(minion.report, data_center=data_center)
        planner.fleet.proposed.workload.evacuated = {"dc2": 0, "dc3": 0}
        assert [run.minion for run in planner.plan(NOW_MS, NOW_MS)] == ["i-2"] * 4

    @pytest.mark.parametrize(("limit", "cold"), [("share", 2), ("unlimited", 4)])
    def test_cold_minions_get_a_quarter_of_a_pass_after_the_withdrawal(
        self, limit, cold, monkeypatch
    ):
        # Eight of the twelve tasks fit on the warm minions; the baseline sends all others at once.
        monkeypatch.setitem(cold_start_limits.entries, "share", cold_start_limits.get(limit))
        planner = make_planner(builders.step(count=12))
        minion = planner.fleet.minions["i-0"]
        minion.report = attrs.evolve(minion.report, data_center="dc2", cold_ms=900)
        planner.fleet.proposed.workload.restored = {"dc2": NOW_MS - 100}
        assert [run.minion for run in planner.plan(NOW_MS, NOW_MS)].count("i-0") == cold

    def test_work_is_not_held_back_where_all_minions_are_cold(self):
        limited = ColdStarts(restored=frozenset({"dc1"}))
        cold = builders.minion(cold_ms=900)
        assert limited.candidates([cold]) == [cold]
        limited.count(cold)
        assert limited.candidates([cold]) == []
