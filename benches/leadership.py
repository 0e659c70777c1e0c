"""Measure how often the leader changes when the work of a takeover blocks its event loop.

Runs the real Raft cores in virtual time; the loops of the replicas are a model. Run it with
`python -m benches.leadership`.
"""

from __future__ import annotations

import random

import fire
from attrs import define, field

from hornbeamreach.control.raft import HEARTBEAT_INTERVAL_MS, RaftCore, Role
from hornbeamreach.control.raft_log import RaftLog

REPLICAS = tuple("abcdef")
STEP_MS = 1
KILL_MS = 5_000
DURATION_MS = 50_000
# Time that a loop takes for itself and for each message.
IDLE_ITERATION_MS = 5
MESSAGE_MS = 0.3


@define(kw_only=True)
class Load:
    """Describe the leader's work: a share of its processor, and what a takeover adds to it."""

    share: float
    takeover_ms: int


@define(kw_only=True, eq=False)
class ModelReplica:
    """Run a core in a loop that handles messages only between its iterations."""

    core: RaftCore
    load: Load
    inbox: list = field(factory=list)
    busy_until_ms: float = 0.0
    backlog_ms: float = 0.0
    led_term: int = 0

    def iterate(self, now_ms: int) -> list:
        """Run one iteration, and return the messages that are sent at its beginning."""
        core = self.core
        messages, self.inbox = self.inbox, []
        for message in messages:
            core.receive(message, now_ms)
        core.tick(now_ms)
        sent = []
        while core.has_ready():
            ready = core.take_ready()
            core.mark_durable(ready.entries)
            sent += ready.messages
        if core.role is not Role.LEADER:
            self.backlog_ms = 0.0
        elif self.led_term != core.term:
            self.led_term, self.backlog_ms = core.term, float(self.load.takeover_ms)
        # An event loop runs all that is ready before it looks at its sockets again.
        length_ms = IDLE_ITERATION_MS + MESSAGE_MS * len(messages) + self.backlog_ms
        self.backlog_ms = 0.0
        if core.role is Role.LEADER:
            # What arrives meanwhile is the work of the next iteration.
            self.backlog_ms = self.load.share * length_ms
        self.busy_until_ms = now_ms + length_ms
        return sent


@define(kw_only=True, eq=False)
class Model:
    """Run replicas over a network with a delay of one step."""

    load: Load
    threads: bool
    seed: int
    replicas: dict[str, ModelReplica] = field(init=False)

    def __attrs_post_init__(self) -> None:
        rng = random.Random(self.seed)
        members = {name: f"{name}:1" for name in REPLICAS}
        self.replicas = {
            name: ModelReplica(
                core=RaftCore(
                    node_id=name,
                    log=RaftLog(initial_members=members),
                    term=0,
                    voted_for=None,
                    rng=rng,
                    now_ms=0,
                ),
                load=self.load,
            )
            for name in REPLICAS
        }

    def run(self) -> tuple[int, float]:
        """Return the terms after a leader was killed, and the share of time with a lease."""
        first_term = leased_ms = 0
        for now_ms in range(0, DURATION_MS, STEP_MS):
            if now_ms == KILL_MS:
                first_term = self._kill_leader()
            if self.threads and now_ms % HEARTBEAT_INTERVAL_MS == 0:
                self._exchange_heartbeats(now_ms)
            for replica in list(self.replicas.values()):
                if now_ms >= replica.busy_until_ms:
                    for message in replica.iterate(now_ms):
                        if message.target in self.replicas:
                            self.replicas[message.target].inbox.append(message)
            cores = [replica.core for replica in self.replicas.values()]
            leased_ms += STEP_MS * (now_ms > KILL_MS and any(c.is_leader(now_ms) for c in cores))
        terms = max(replica.core.term for replica in self.replicas.values()) - first_term
        return terms, leased_ms / (DURATION_MS - KILL_MS)

    def _kill_leader(self) -> int:
        leader = max(
            self.replicas.values(), key=lambda r: (r.core.role is Role.LEADER, r.core.term)
        )
        del self.replicas[leader.core.node_id]
        return leader.core.term

    def _exchange_heartbeats(self, now_ms: int) -> None:
        for replica in self.replicas.values():
            for message in replica.core.liveness.heartbeats(now_ms):
                if message.target in self.replicas:
                    target = self.replicas[message.target].core.liveness
                    reply = target.receive(message, now_ms)
                    if reply is not None:
                        replica.core.liveness.receive(reply, now_ms)


def main(seeds: int = 5) -> None:
    """Print the changes of the leader after one was killed, with and without the thread.

    Args:
        seeds: number of runs of each.
    """
    print("share  takeover ms  heartbeats  terms (each seed)         time with a leader")
    for share in (0.3, 0.7, 0.9):
        for takeover_ms in (200, 1_000, 1_800):
            for threads in (False, True):
                load = Load(share=share, takeover_ms=takeover_ms)
                results = [Model(load=load, threads=threads, seed=n).run() for n in range(seeds)]
                name = "by thread" if threads else "by loop"
                terms = ", ".join(str(terms) for terms, _ in results)
                leased = sum(leased for _, leased in results) / seeds
                print(f"{share:<6} {takeover_ms:<12} {name:<11} {terms:<25} {leased:.3f}")


if __name__ == "__main__":
    fire.Fire(main)
