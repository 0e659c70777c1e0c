"""Validators for attrs fields; each raises InvalidValueError with the violated rule."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
ADDRESS_PATTERN = re.compile(r"([0-9]{1,3}\.){3}[0-9]{1,3}:[0-9]{1,5}")
MAX_PORT = 65_535
MAX_OCTET = 255


class InvalidValueError(ValueError):
    """Report an invalid value with the name of its field."""

    def __init__(self, attribute: Any, message: str) -> None:
        self.field = getattr(attribute, "name", "")
        super().__init__(message)


def name(instance: Any, attribute: Any, value: Any) -> None:
    """Require a lower-case name of at most 63 characters."""
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise InvalidValueError(
            attribute, f"{value!r} is not a name: use a-z, 0-9, '.', '_', '-', at most 63"
        )


def address(instance: Any, attribute: Any, value: Any) -> None:
    """Require an IPv4 address with a port."""
    if not isinstance(value, str) or not ADDRESS_PATTERN.fullmatch(value):
        raise InvalidValueError(attribute, f"{value!r} is not an address of the form 10.0.0.1:7000")
    host, port = value.split(":")
    if int(port) > MAX_PORT or any(int(octet) > MAX_OCTET for octet in host.split(".")):
        raise InvalidValueError(attribute, f"{value!r} has an octet or port out of range")


def in_range(low: float, high: float) -> Callable[[Any, Any, Any], None]:
    """Require a number between `low` and `high`, inclusive."""

    def validate(instance: Any, attribute: Any, value: Any) -> None:
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise InvalidValueError(attribute, f"{value!r} is not a number")
        if not low <= value <= high:
            raise InvalidValueError(attribute, f"{value!r} is not between {low} and {high}")

    return validate


def one_of(*allowed: str) -> Callable[[Any, Any, Any], None]:
    """Require one of the allowed values."""

    def validate(instance: Any, attribute: Any, value: Any) -> None:
        if value not in allowed:
            raise InvalidValueError(attribute, f"{value!r} is not one of {', '.join(allowed)}")

    return validate
