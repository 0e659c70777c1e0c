"""Registries of interchangeable policies, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from hornbeamreach.exceptions import InvalidInputError

T = TypeVar("T")


class Registry(Generic[T]):
    """Map names from the settings to implementations."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under a name."""

        def decorate(target: T) -> T:
            if name in self.entries:
                raise InvalidInputError(f"{self.kind} {name!r} is registered twice")
            self.entries[name] = target
            return target

        return decorate

    def get(self, name: str) -> T:
        """Return the implementation of a name; raise InvalidInputError if there is none."""
        try:
            return self.entries[name]
        except KeyError:
            known = ", ".join(sorted(self.entries))
            raise InvalidInputError(f"unknown {self.kind} {name!r}; known: {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.entries))
