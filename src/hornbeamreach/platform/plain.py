"""Checked reading of decoded JSON and TOML."""

from __future__ import annotations

from typing import Any

import orjson

from hornbeamreach.exceptions import InvalidInputError

# Above any amount that a deployment names; keeps sums far from the limits of an int64.
MAX_NUMBER = 1 << 53


def decode_json(body: bytes) -> dict[str, Any]:
    """Decode a JSON object, or raise InvalidInputError."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise InvalidInputError(f"not JSON: {exc}") from None
    if not isinstance(value, dict):
        raise InvalidInputError("not a JSON object")
    return value


def text(data: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a text field."""
    value = data.get(name, default)
    if not isinstance(value, str):
        raise InvalidInputError("not a text", path=name)
    return value


def whole(data: dict[str, Any], name: str, default: int | None = None, *, least: int = 0) -> int:
    """Return a whole number of at least `least`; a fraction without remainder counts."""
    value = data.get(name, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidInputError("not a whole number", path=name)
    if not least <= value <= MAX_NUMBER:
        raise InvalidInputError(f"{value} is out of range", path=name)
    return value


def number(data: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a number of at least 0."""
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidInputError("not a number", path=name)
    if not 0 <= value <= MAX_NUMBER:
        raise InvalidInputError(f"{value} is out of range", path=name)
    return float(value)


def flag(data: dict[str, Any], name: str, default: bool = False) -> bool:
    """Return a yes or no."""
    value = data.get(name, default)
    if not isinstance(value, bool):
        raise InvalidInputError("not true or false", path=name)
    return value


def items(data: dict[str, Any], name: str, *, required: bool = False) -> list[Any]:
    """Return a list; a missing one is empty unless it is required."""
    value = data.get(name, None if required else [])
    if not isinstance(value, list):
        raise InvalidInputError("not a list", path=name)
    return value


def texts(data: dict[str, Any], name: str) -> list[str]:
    """Return a list of texts."""
    found = items(data, name)
    if not all(isinstance(item, str) for item in found):
        raise InvalidInputError("not a list of texts", path=name)
    return found


def table(data: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a table; a missing one is empty."""
    value = data.get(name, {})
    if not isinstance(value, dict):
        raise InvalidInputError("not a table", path=name)
    return value
