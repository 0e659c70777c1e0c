"""Strict structuring of plain data into attrs classes, with the key's path in errors."""

from __future__ import annotations

import enum
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
        path, message = _first_error(exc, "")
        raise error(message, path=path, source=source) from None
    except (ValueError, TypeError) as exc:
        raise error(str(exc), source=source) from None


def _first_error(exc: BaseException, path: str) -> tuple[str, str]:
    if isinstance(exc, ForbiddenExtraKeysError):
        extra = sorted(exc.extra_fields)[0]
        return _join_path(path, extra), "unknown key"
    if isinstance(exc, (ClassValidationError, IterableValidationError)):
        inner = exc.exceptions[0]
        return _first_error(inner, _join_path(path, _location_from_notes(inner)))
    if isinstance(exc, KeyError):
        return _join_path(path, str(exc.args[0])), "missing"
    return _join_path(path, getattr(exc, "field", "")), str(exc)


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path and name else path or name


def _location_from_notes(exc: BaseException) -> str:
    for note in getattr(exc, "__notes__", []):
        name = getattr(note, "name", None)
        if name is None:
            name = getattr(note, "index", "")
        return str(name)
    return ""


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
