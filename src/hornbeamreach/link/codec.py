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
_names: dict[type, str] = {}
wire_converter = make_converter()


class DecodeError(HornbeamreachError):
    """Report bytes that are no known message."""


def wire_type(name: str) -> Callable[[T], T]:
    """Return a decorator that gives an attrs class its name on the wire."""

    def decorate(cls: T) -> T:
        wire_types.register(name)(cls)
        _names[cls] = name
        return cls

    return decorate


def to_tagged(message: Any) -> list[Any]:
    """Turn a message into its name and plain fields."""
    return [_names[type(message)], wire_converter.unstructure(message)]


def from_tagged(tagged: list[Any]) -> Any:
    """Build a message from its name and plain fields."""
    try:
        name, fields = tagged
        return wire_converter.structure(fields, wire_types.entries[name])
    except Exception as exc:
        raise DecodeError(f"not a message: {exc!r}") from exc


def encode(message: Any) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(to_tagged(message))


def decode(data: bytes) -> Any:
    """Decode CBOR into a message, or raise DecodeError."""
    try:
        tagged = cbor2.loads(data)
    except (cbor2.CBORDecodeError, EOFError, ValueError) as exc:
        raise DecodeError(f"not CBOR: {exc}") from exc
    return from_tagged(tagged)
