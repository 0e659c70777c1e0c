"""Where the command line finds control and the operators' credential."""

from __future__ import annotations

import os
from pathlib import Path

from attrs import define, field

from hornbeamreach import validators
from hornbeamreach.converters import structure
from hornbeamreach.exceptions import SettingsError
from hornbeamreach.tables.table_file import load_toml

PROFILE_VARIABLE = "HORNBEAMREACH_PROFILE"
DEFAULT_PROFILE = "~/.config/hornbeamreach/operator.toml"


def _addresses(instance: object, attribute: object, value: list[str]) -> None:
    if not value:
        raise ValueError("names no address")
    for address in value:
        validators.address(instance, attribute, address)


@define(frozen=True, kw_only=True)
class Profile:
    """Hold an operator's access to one fleet."""

    control: list[str] = field(validator=_addresses)
    entries: list[str] = field(validator=_addresses)
    credential: str = field(repr=False)


def load_profile() -> Profile:
    """Read the profile that the environment names, or the default one."""
    path = Path(os.environ.get(PROFILE_VARIABLE, DEFAULT_PROFILE)).expanduser()
    data = load_toml(path, error=SettingsError)
    return structure(data, Profile, source=str(path), error=SettingsError)
