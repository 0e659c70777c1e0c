"""Encoding of the control state for snapshots, and its digest."""

from __future__ import annotations

import hashlib

import cbor2

from hornbeamreach.exceptions import TableError
from hornbeamreach.link.codec import wire_converter
from hornbeamreach.tables.control_state import ControlState

SNAPSHOT_FORMAT = 1


def encode_state(state: ControlState) -> bytes:
    """Encode the whole state in canonical CBOR."""
    plain = wire_converter.unstructure(state)
    return cbor2.dumps({"format": SNAPSHOT_FORMAT, "state": plain}, canonical=True)


def decode_state(data: bytes) -> ControlState:
    """Decode a state written by encode_state; raise TableError for another format."""
    decoded = cbor2.loads(data)
    if decoded.get("format") != SNAPSHOT_FORMAT:
        raise TableError(f"snapshot format {decoded.get('format')} is not {SNAPSHOT_FORMAT}")
    state = wire_converter.structure(decoded["state"], ControlState)
    # Canonical CBOR sorts by key, but answers expire in the order in which they were given.
    state.answers = dict(sorted(state.answers.items(), key=lambda item: item[1].index))
    return state


def state_digest(state: ControlState) -> str:
    """Return a digest that is the same for equal states on all replicas."""
    return hashlib.sha256(encode_state(state)).hexdigest()[:16]
