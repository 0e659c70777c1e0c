"""Frames of the link: a message with its kind and the number of its request, as CBOR."""

from __future__ import annotations

from typing import Any

import cbor2

from hornbeamreach.link.codec import DecodeError, to_tagged

NOTIFY, REQUEST, REPLY = 0, 1, 2


def encode_frame(kind: int, number: int, message: Any) -> bytes:
    """Encode a message as a frame."""
    return cbor2.dumps([kind, number, to_tagged(message)])


def decode_frame(data: Any) -> tuple[int, int, list[Any]]:
    """Return a frame's kind, request number and tagged message; raise DecodeError if malformed."""
    try:
        kind, number, tagged = cbor2.loads(data)
    except Exception as exc:
        raise DecodeError(f"not a frame: {exc!r}") from exc
    if not isinstance(kind, int) or not isinstance(number, int):
        raise DecodeError("the frame's kind or number is no integer")
    return kind, number, tagged
