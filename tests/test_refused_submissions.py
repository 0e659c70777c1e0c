"""A job whose caller was told that it has not run never runs, whatever was lost or came late."""

from __future__ import annotations

import contextlib
import random
from typing import Any

import pytest
import trio

from hornbeamreach.clock import seconds
from hornbeamreach.exceptions import HornbeamreachError, PeerTimeoutError, RefusedError
from hornbeamreach.fleet import queue_service
from hornbeamreach.fleet.messages import QueueAction, QueueCall
from hornbeamreach.link.codec import decode, encode
from hornbeamreach.link.interface import NO_TERM
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.verdict import Verdict

from . import builders
from .fakes import MemoryLink, run_virtual
from .step_fleet import CLIENT_ADDRESS, StepFleet

JOBS = 120
MAX_DELAY_MS = 9_000


class LossyLink(MemoryLink):
    """Lose some answers, and deliver some requests seconds late."""

    def __init__(self, network: Any, rng: random.Random) -> None:
        super().__init__(network, CLIENT_ADDRESS)
        self.rng = rng
        # Paths of submissions that may be handled after their sender stopped waiting.
        self.lost: set[str] = set()

    async def request(self, address: str, message: Any, *, timeout_ms: int) -> Any:
        if self.rng.random() < 0.6:
            return await super().request(address, message, timeout_ms=timeout_ms)
        delay_ms = self.rng.choice((1, self.rng.uniform(1, MAX_DELAY_MS)))
        self.lost.add(message.path)
        self.network.nursery.start_soon(self._deliver_late, address, message, delay_ms)
        if self.rng.random() < 0.5:
            await trio.sleep(seconds(timeout_ms))
        raise PeerTimeoutError("the answer was lost")

    async def _deliver_late(self, address: str, message: Any, delay_ms: float) -> None:
        await trio.sleep(seconds(delay_ms))
        with contextlib.suppress(HornbeamreachError, KeyError):
            await self.network.handlers[address].handle(decode(encode(message)))


async def submit(finder: LeaderFinder, job_id: str, told: dict[str, str]) -> None:
    """Submit a job, and record what its caller is told."""
    call = QueueCall(
        action=QueueAction.SUBMIT,
        host="a.example",
        path=f"/jobs/{job_id}",
        key_hash="key-1",
        spec=builders.step_job(),
        leader_term=NO_TERM,
    )
    try:
        found = await finder.send_request(call, timeout_ms=2_850)
    except (NoLeaderError, RefusedError) as exc:
        told[job_id] = "not run" if exc.verdict is Verdict.NOT_RUN else "unknown"
        return
    if not found.reply.refused:
        told[job_id] = "accepted"
    else:
        told[job_id] = "unknown" if found.repeated else "not run"


async def change_leaders(fleet: StepFleet, rng: random.Random) -> None:
    """Cut off one leader after the other, so that an earlier one leads again later."""
    while True:
        await trio.sleep(rng.uniform(0.5, 2))
        fleet.network.cut_off({await fleet.wait_for_leader()})
        await trio.sleep(rng.uniform(0.5, 2.5))
        fleet.network.heal()


@pytest.mark.parametrize("seed", range(6))
def test_a_job_that_was_reported_as_not_run_never_runs(monkeypatch, seed):
    rng = random.Random(seed)
    # Stands for any reason for which a leader refuses a job at one time and not at another.
    monkeypatch.setattr(
        queue_service, "exceeded_limit", lambda spec: "too large" if rng.random() < 0.5 else None
    )
    told: dict[str, str] = {}

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = StepFleet(seed=seed)
            await fleet.start(nursery)
            link = LossyLink(fleet.network, rng)
            finder = LeaderFinder(link=link, clock=fleet.clock, replicas=list(fleet.addresses))
            async with trio.open_nursery() as changes:
                changes.start_soon(change_leaders, fleet, rng)
                async with trio.open_nursery() as callers:
                    for number in range(JOBS):
                        job_id = f"{number:016x}"
                        fleet.specs[job_id] = builders.step_job()
                        callers.start_soon(submit, finder, job_id, told)
                        await trio.sleep(0.15)
                await trio.sleep(seconds(MAX_DELAY_MS))
                changes.cancel_scope.cancel()
            fleet.network.heal()
            await trio.sleep(5)
            scheduler = await fleet.wait_for_scheduler()
            known = set(scheduler.proposed.workload.jobs)
            known |= {run.task.partition(".")[0] for run in fleet.minions.history}
            for job_id, outcome in told.items():
                assert outcome != "not run" or job_id not in known, job_id
                assert outcome != "accepted" or job_id in known, job_id
            after_loss = [told[path.removeprefix("/jobs/")] for path in link.lost]
            assert after_loss.count("not run") > 5
            assert set(told.values()) == {"not run", "accepted", "unknown"}
            nursery.cancel_scope.cancel()

    run_virtual(main)
