"""Type-checked access to the fields of decoded JSON and TOML."""

from __future__ import annotations

import re
from typing import Any

import orjson

from hornbeamreach.exceptions import InvalidInputError
from hornbeamreach.platform.json_pruning import prune_json

# Above any amount in a deployment, and low enough that sums stay far from the int64 limit.
MAX_NUMBER = 1 << 53
HOST_LABEL = "[0-9A-Za-z-]{1,63}"
ADDRESS_PATTERN = re.compile(rf"{HOST_LABEL}(?:\.{HOST_LABEL})*:([0-9]{{1,5}})")
MAX_PORT = 65_535


def decode_json(body: bytes) -> dict[str, Any]:
    """Decode a JSON object; raise InvalidInputError if the body is anything else."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise InvalidInputError(f"not JSON: {exc}") from None
    if not isinstance(value, dict):
        raise InvalidInputError("not a JSON object")
    return value


def decode_rows(body: bytes) -> dict[str, Any]:
    """Decode a JSON object whose rows come from several writers, with odd values replaced.

    Raise InvalidInputError if the body is no object even so.
    """
    try:
        return decode_json(body)
    except InvalidInputError:
        return decode_json(prune_json(body))


def string(data: dict[str, Any], name: str, default: str | None = None) -> str:
    """Return a string field."""
    value = data.get(name, default)
    if not isinstance(value, str):
        raise InvalidInputError("not a text", path=name)
    return value


def address(data: dict[str, Any], name: str) -> str:
    """Return a host and port that a connection can be opened to."""
    value = string(data, name)
    match = ADDRESS_PATTERN.fullmatch(value)
    if match is None or not 0 < int(match[1]) <= MAX_PORT:
        raise InvalidInputError("not a host and port", path=name)
    return value


def integer(
    data: dict[str, Any], name: str, default: int | None = None, *, minimum: int = 0
) -> int:
    """Return an integer of at least `minimum`; a float with an integral value is accepted."""
    value = data.get(name, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidInputError("not a whole number", path=name)
    if not minimum <= value <= MAX_NUMBER:
        raise InvalidInputError(f"{value} is out of range", path=name)
    return value


def number(data: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a non-negative number as a float."""
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidInputError("not a number", path=name)
    if not 0 <= value <= MAX_NUMBER:
        raise InvalidInputError(f"{value} is out of range", path=name)
    return float(value)


def boolean(data: dict[str, Any], name: str, default: bool = False) -> bool:
    """Return a boolean field."""
    value = data.get(name, default)
    if not isinstance(value, bool):
        raise InvalidInputError("not true or false", path=name)
    return value


def items(data: dict[str, Any], name: str, *, required: bool = False) -> list[Any]:
    """Return a list; if it is missing and not required, return an empty one."""
    value = data.get(name, None if required else [])
    if not isinstance(value, list):
        raise InvalidInputError("not a list", path=name)
    return value


def strings(data: dict[str, Any], name: str) -> list[str]:
    """Return a list of strings; if it is missing, return an empty one."""
    found = items(data, name)
    if not all(isinstance(item, str) for item in found):
        raise InvalidInputError("not a list of texts", path=name)
    return found


def table(data: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a table; if it is missing, return an empty one."""
    value = data.get(name, {})
    if not isinstance(value, dict):
        raise InvalidInputError("not a table", path=name)
    return value
