"""Run a stand-in minion as a separate process, for measurements."""

from __future__ import annotations

import fire
import trio

from hornbeamreach.clock import Clock
from hornbeamreach.standins.minion import MinionBehaviour, StandInMinion


def run(address: str, entry: str, credential: str, vm: str, work_ms: int = 0) -> None:
    """Serve the service `quotes` until the process is terminated."""
    minion = StandInMinion(
        endpoint="quotes-1",
        service="quotes",
        vm=vm,
        address=address,
        entries=[entry],
        credential=credential,
        instance="bench",
        slots=256,
        connections=256,
        clock=Clock(),
        behaviour=MinionBehaviour(work_ms=work_ms),
    )
    trio.run(minion.run)


if __name__ == "__main__":
    fire.Fire(run)
