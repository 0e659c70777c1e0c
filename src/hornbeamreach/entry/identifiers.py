"""Ids of requests and jobs, and idempotency keys."""

from __future__ import annotations

import hashlib
import random
import re

from attrs import define

from hornbeamreach.exceptions import RefusedError
from hornbeamreach.records.acceptor import MAX_CLOCK_SKEW_MS
from hornbeamreach.verdict import Reason

TOKEN_BITS = 64
IDEMPOTENCY_KEY = re.compile(r"^(\d{13})-([A-Za-z0-9_-]{4,64})$")
JOB_ID = re.compile(r"^([a-z0-9][a-z0-9_-]{0,62})\.(\d{13})\.([a-z0-9]{8,64})$")
DERIVED_TOKEN_CHARS = 24


@define(frozen=True, kw_only=True)
class JobId:
    """Hold the parts of a job's id: where the job is recorded, and when the id was issued."""

    data_center: str
    issued_ms: int
    text: str


def hash_key(key: str) -> str:
    """Return the hash by which a team's key is looked up."""
    return hashlib.sha256(key.encode()).hexdigest()


def new_token(rng: random.Random) -> str:
    """Return a random token."""
    return f"{rng.getrandbits(TOKEN_BITS):016x}"


def new_job_id(data_center: str, wall_ms: int, rng: random.Random) -> str:
    """Return the id of a job that has no idempotency key."""
    return f"{data_center}.{wall_ms:013d}.{new_token(rng)}"


def derive_job_id(data_center: str, team: str, queue: str, idempotency_key: str) -> str:
    """Return the job id shared by a team's submissions to a queue with the same key."""
    issued = idempotency_key.partition("-")[0]
    digest = hashlib.sha256(f"{team}\n{queue}\n{idempotency_key}".encode()).hexdigest()
    return f"{data_center}.{issued}.{digest[:DERIVED_TOKEN_CHARS]}"


def parse_job_id(text: str) -> JobId:
    """Parse a job id; raise RefusedError if it is malformed."""
    match = JOB_ID.match(text)
    if match is None:
        raise RefusedError(Reason.UNKNOWN_JOB, f"{text!r} is not the id of a job")
    return JobId(data_center=match[1], issued_ms=int(match[2]), text=text)


def check_idempotency_key(key: str, wall_ms: int, retention_ms: int) -> int:
    """Return when a key was issued; raise RefusedError if it is malformed or too old.

    The time in the key allows its record to be deleted after the retention: an older key
    is refused, so its request can't run again.
    """
    match = IDEMPOTENCY_KEY.match(key)
    if match is None:
        detail = (
            "Idempotency-Key: give the Unix time in milliseconds, a dash and a token of 4 to "
            "64 letters, digits, '_' or '-', such as 1764820000000-a1b2c3"
        )
        raise RefusedError(Reason.MALFORMED, detail)
    issued_ms = int(match[1])
    if issued_ms > wall_ms + MAX_CLOCK_SKEW_MS:
        raise RefusedError(Reason.MALFORMED, "the Idempotency-Key was issued in the future")
    if issued_ms < wall_ms - retention_ms:
        detail = f"the Idempotency-Key is older than {retention_ms} ms and is not run again"
        raise RefusedError(Reason.TOO_OLD, detail)
    return issued_ms
