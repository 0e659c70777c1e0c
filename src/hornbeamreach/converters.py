"""Strict structuring of plain data into attrs classes, with the key's path in errors."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from types import UnionType
from typing import Any, TypeVar, Union, get_args, get_origin

import attrs
import cattrs
from cattrs.errors import ClassValidationError, ForbiddenExtraKeysError, IterableValidationError

from hornbeamreach.exceptions import InvalidInputError

T = TypeVar("T")

strict_converter = cattrs.Converter(forbid_extra_keys=True)


def _structure_scalar(value: Any, kind: type) -> Any:
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not kind:
        raise ValueError(f"{value!r} is not of type {kind.__name__}")
    return value


for _kind in (int, float, str, bool):
    strict_converter.register_structure_hook(_kind, _structure_scalar)


def structure(data: Any, kind: type[T], *, source: str = "", error: type[InvalidInputError]) -> T:
    """Structure plain data strictly; raise `error` with the path of the invalid key."""
    try:
        return strict_converter.structure(data, kind)
    except (ClassValidationError, IterableValidationError) as exc:
        first = next(_errors(exc, ()))
        raise error(first.message, path=".".join(first.location), source=source) from None
    except (ValueError, TypeError) as exc:
        raise error(str(exc), source=source) from None


@attrs.define(frozen=True, kw_only=True)
class StructuringError:
    """Describe an invalid value; `location` holds the keys that lead to it."""

    location: tuple[str, ...]
    message: str


def structuring_errors(data: Any, kind: type) -> list[StructuringError]:
    """List the errors for which plain data can't be structured.

    Of the validators of one object, only the first that fails is listed.
    """
    try:
        strict_converter.structure(data, kind)
    except (ClassValidationError, IterableValidationError, ValueError, TypeError) as exc:
        return list(_errors(exc, ()))
    return []


def _errors(exc: BaseException, location: tuple[str, ...]) -> Iterator[StructuringError]:
    if isinstance(exc, ForbiddenExtraKeysError):
        for extra in sorted(exc.extra_fields):
            yield StructuringError(location=(*location, extra), message="unknown key")
    elif isinstance(exc, (ClassValidationError, IterableValidationError)):
        for inner in exc.exceptions:
            yield from _errors(inner, (*location, *_location_from_notes(inner)))
    elif isinstance(exc, KeyError):
        yield StructuringError(location=location, message="missing")
    elif isinstance(exc, (AttributeError, TypeError)):
        # cattrs raises these where it expects a table or a list and finds another type.
        yield StructuringError(location=location, message="not of the expected type")
    else:
        name = getattr(exc, "field", "")
        yield StructuringError(location=(*location, name) if name else location, message=str(exc))


def _location_from_notes(exc: BaseException) -> tuple[str, ...]:
    for note in getattr(exc, "__notes__", []):
        name = getattr(note, "name", None)
        if name is None:
            name = getattr(note, "index", None)
        return () if name is None else (str(name),)
    return ()


def unwrap_optional(kind: Any) -> type:
    """Return the type inside an optional annotation, or the type itself."""
    if get_origin(kind) in (Union, UnionType):
        return next(arg for arg in get_args(kind) if arg is not type(None))
    return kind


def to_plain(value: Any) -> Any:
    """Convert attrs instances, enums and containers to plain data for JSON."""
    if attrs.has(type(value)):
        return {
            field.name: to_plain(getattr(value, field.name)) for field in attrs.fields(type(value))
        }
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {str(key): to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [to_plain(item) for item in value]
    return value
