"""Time at which a replica that hears from no leader stands for election."""

from __future__ import annotations

import random

from attrs import define

ELECTION_TIMEOUT_MIN_MS = 700
ELECTION_TIMEOUT_MAX_MS = 1_400
# For a replica that has heard from no leader since its start or its latest timeout. Pre-votes
# keep it from disturbing a leader that others still follow.
LEADERLESS_ELECTION_TIMEOUT_MIN_MS = 100
LEADERLESS_ELECTION_TIMEOUT_MAX_MS = 400
# Each candidacy without a result doubles the leaderless timeouts, at most this often: a term and
# a vote must be made durable before the next candidacy, however slow the disks are.
MAX_TIMEOUT_DOUBLINGS = 3


@define(kw_only=True)
class ElectionTimer:
    """Draw random timeouts that grow with the candidacies since a leader was last heard."""

    rng: random.Random
    due_ms: int = 0
    has_heard_leader: bool = False
    candidacies: int = 0

    def record_leader(self) -> None:
        """Record that a leader is known."""
        self.has_heard_leader = True
        self.candidacies = 0

    def record_silence(self) -> None:
        """Record that a timeout has passed without word of a leader."""
        self.has_heard_leader = False

    def record_candidacy(self) -> None:
        """Record that a majority follows no leader."""
        self.has_heard_leader = False
        self.candidacies += 1

    def reset(self, *, now_ms: int, lease_end_ms: int) -> None:
        """Draw the next timeout; a replica that has heard no leader waits for `lease_end_ms`."""
        if self.has_heard_leader:
            timeout = self.rng.randint(ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS)
            self.due_ms = now_ms + timeout
            return
        factor = 1 << min(max(self.candidacies - 1, 0), MAX_TIMEOUT_DOUBLINGS)
        timeout = self.rng.randint(
            LEADERLESS_ELECTION_TIMEOUT_MIN_MS * factor, LEADERLESS_ELECTION_TIMEOUT_MAX_MS * factor
        )
        self.due_ms = max(now_ms, lease_end_ms) + timeout
