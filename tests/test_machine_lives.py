"""Lives of one machine: which minion is its present one, and when it is back from upkeep."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
import trio

from hornbeamreach.control.workload_commands import OrderWave, RecordUpkeep
from hornbeamreach.fleet.books import Books
from hornbeamreach.fleet.machine_room import MachineRoom
from hornbeamreach.fleet.ports import Machine, MachineAnswer, MachineState
from hornbeamreach.fleet.state import AheadState
from hornbeamreach.fleet.upkeep import Upkeep
from hornbeamreach.tables.control_state import ControlState

from . import builders

NOW_MS = 20_000


@pytest.fixture
def upkeep() -> Upkeep:
    """Return the upkeep of a scheduler with one machine in a wave of one at a time."""
    ahead = AheadState.of(ControlState(table=builders.step_table()))
    ahead.apply(OrderWave(number=1, machines=["m-1"], max_down=1, at_ms=0, due_ms=60_000))
    books = Books(ahead=ahead)
    scheduler = SimpleNamespace(
        ahead=ahead,
        books=books,
        began_ms=0,
        clock=SimpleNamespace(now_ms=lambda: NOW_MS, wall_ms=lambda: NOW_MS),
        replica=SimpleNamespace(node_id="a"),
        term=1,
        metrics=SimpleNamespace(event=lambda name: None),
        submit=ahead.apply,
        ended=[],
        looked=[],
    )

    async def commit(command) -> None:
        ahead.apply(command)

    def end_of_life(minion, why) -> None:
        minion.gone = True
        scheduler.ended.append(minion.minion_id)

    class Watches:
        def __getitem__(self, name):
            return SimpleNamespace(look_now=lambda: scheduler.looked.append(name))

    scheduler.commit, scheduler.end_of_life = commit, end_of_life
    scheduler.watches = Watches()
    room = MachineRoom(scheduler=scheduler, port=OrderingPort())
    return Upkeep(scheduler=scheduler, room=room)


class OrderingPort:
    """Carry out every order."""

    async def upkeep(self, machine: str, **order) -> MachineAnswer:
        return MachineAnswer.ORDERED


def hear(upkeep: Upkeep, name: str, born_ms: int) -> None:
    minion = builders.minion(name, machine="m-1", born_ms=born_ms)
    upkeep.scheduler.books.minions[name] = minion


def order(upkeep: Upkeep) -> None:
    trio.run(upkeep._order, upkeep.scheduler.ahead.workload.waves[1], "m-1")


def is_back(upkeep: Upkeep) -> bool:
    return upkeep._is_back("m-1", upkeep.room.minions())


class TestPresentLife:
    def test_an_earlier_life_does_not_come_back_when_the_latest_has_ended(self, upkeep):
        hear(upkeep, "i-crashed", 1_000)
        hear(upkeep, "i-next", 2_000)
        upkeep.scheduler.books.minions["i-next"].gone = True
        assert upkeep.room.minions() == {}


class TestEmptying:
    def test_a_life_that_began_after_its_machine_was_chosen_takes_no_work(self, upkeep):
        upkeep.scheduler.orders = SimpleNamespace(stop=lambda run, reason: None)
        hear(upkeep, "i-first", 1_000)

        async def step() -> None:
            async with trio.open_nursery() as nursery:
                for name in ("i-first", "i-next"):
                    upkeep.scheduler.books.minions[name].reserve(builders.run(lasting=True))
                    await upkeep._step(nursery, NOW_MS)
                    if name == "i-first":
                        upkeep.scheduler.books.minions[name].gone = True
                        hear(upkeep, "i-next", 2_000)

        trio.run(step)
        assert upkeep.chosen.keys() == {"m-1"}
        assert upkeep.scheduler.books.minions["i-next"].cordoned


class TestBackFromUpkeep:
    def test_an_earlier_life_under_another_id_is_not_back(self, upkeep):
        hear(upkeep, "i-crashed", 1_000)
        hear(upkeep, "i-next", 2_000)
        order(upkeep)
        assert upkeep.scheduler.ended == ["i-next"]
        assert not is_back(upkeep)
        hear(upkeep, "i-after", 21_000)
        assert is_back(upkeep)

    def test_a_late_report_of_the_ended_life_is_not_back(self, upkeep):
        order(upkeep)
        hear(upkeep, "i-late", 2_000)
        assert not is_back(upkeep)
        upkeep.room.machines["m-1"] = Machine(machine="m-1", pool="a", state=MachineState.UPKEEP)
        upkeep.room.listed_ms = NOW_MS + 1
        assert not is_back(upkeep)
        upkeep.room.machines["m-1"] = Machine(machine="m-1", pool="a", state=MachineState.UP)
        assert is_back(upkeep)

    def test_an_order_that_is_sent_again_ends_no_life(self, upkeep):
        upkeep.scheduler.ahead.apply(RecordUpkeep(number=1, ordered=["m-1"], at_ms=1))
        hear(upkeep, "i-after", 21_000)
        order(upkeep)
        assert upkeep.scheduler.ended == []
        assert upkeep.scheduler.looked == ["i-after"]
