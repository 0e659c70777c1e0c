"""Operator profile: addresses and credential for the command line."""

from __future__ import annotations

import os
from pathlib import Path

from attrs import define, field

from hornbeamreach import validators
from hornbeamreach.converters import structure
from hornbeamreach.exceptions import SettingsError
from hornbeamreach.tables.table_file import load_toml

PROFILE_VARIABLE = "HORNBEAMREACH_PROFILE"
DEFAULT_PROFILE_PATH = "~/.config/hornbeamreach/operator.toml"


def _check_addresses(instance: object, attribute: object, value: list[str]) -> None:
    if not value:
        raise ValueError("names no address")
    for address in value:
        validators.address(instance, attribute, address)


@define(frozen=True, kw_only=True)
class Profile:
    """Hold the addresses and the credential of one fleet."""

    control: list[str] = field(validator=_check_addresses)
    entries: list[str] = field(validator=_check_addresses)
    credential: str = field(repr=False)


def load_profile() -> Profile:
    """Load the profile named by the environment, or the default one."""
    path = Path(os.environ.get(PROFILE_VARIABLE, DEFAULT_PROFILE_PATH)).expanduser()
    data = load_toml(path, error=SettingsError)
    return structure(data, Profile, source=str(path), error=SettingsError)
