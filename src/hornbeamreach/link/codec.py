"""CBOR encoding of typed messages, tagged with their registered names."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import cbor2
from cattrs.preconf.cbor2 import make_converter

from hornbeamreach.exceptions import HornbeamreachError
from hornbeamreach.registry import Registry

T = TypeVar("T", bound=type)

wire_types: Registry[type] = Registry("wire type")
_wire_names: dict[type, str] = {}
wire_converter = make_converter()


class DecodeError(HornbeamreachError):
    """Report data that is not a known message."""


def wire_type(name: str) -> Callable[[T], T]:
    """Return a decorator that registers an attrs class under its name on the wire."""

    def decorate(cls: T) -> T:
        wire_types.register(name)(cls)
        _wire_names[cls] = name
        return cls

    return decorate


def wire_name(message: Any) -> str:
    """Return the name of a message's type on the wire."""
    return _wire_names[type(message)]


def to_tagged(message: Any) -> list[Any]:
    """Convert a message to its wire name and unstructured fields."""
    return [_wire_names[type(message)], wire_converter.unstructure(message)]


def from_tagged(tagged: list[Any]) -> Any:
    """Build a message from its wire name and fields; raise DecodeError if invalid."""
    try:
        name, fields = tagged
        return wire_converter.structure(fields, wire_types.entries[name])
    except Exception as exc:
        raise DecodeError(f"not a message: {exc!r}") from exc


def encode(message: Any) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(to_tagged(message))


def decode(data: bytes) -> Any:
    """Decode a CBOR message; raise DecodeError if invalid."""
    try:
        tagged = cbor2.loads(data)
    except (cbor2.CBORDecodeError, EOFError, ValueError) as exc:
        raise DecodeError(f"not CBOR: {exc}") from exc
    return from_tagged(tagged)
