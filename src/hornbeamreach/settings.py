"""Settings of the daemons, loaded from TOML."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from attrs import define, field

from hornbeamreach import validators
from hornbeamreach.converters import structure
from hornbeamreach.exceptions import SettingsError
from hornbeamreach.systems.replica_limits import DEFAULT_DISK_MB, DEFAULT_MEMORY_MB
from hornbeamreach.tables.table_file import load_toml

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")
MIN_SECRET_LENGTH = 16
# Bounds of the settings of memory and disk.
MIN_SIZE_MB = 64
MAX_SIZE_MB = 1_000_000
KIB = 1024
MIB = 1024 * KIB


def _check_secret(instance: Any, attribute: Any, value: str) -> None:
    if len(value) < MIN_SECRET_LENGTH:
        raise validators.InvalidValueError(
            attribute, f"is shorter than {MIN_SECRET_LENGTH} characters"
        )


def _check_sha256(instance: Any, attribute: Any, value: str) -> None:
    if len(value) != 64 or any(digit not in "0123456789abcdef" for digit in value):
        raise validators.InvalidValueError(attribute, "is not a SHA-256 in lower-case hex")


def _check_addresses(instance: Any, attribute: Any, value: dict[str, str]) -> None:
    for key, item in value.items():
        validators.name(instance, attribute, key)
        validators.address(instance, attribute, item)


@define(frozen=True, kw_only=True)
class LogSettings:
    """Set the level and format of log lines."""

    level: str = field(default="INFO", validator=validators.one_of(*LOG_LEVELS))
    json: bool = False


@define(frozen=True, kw_only=True)
class LinkSettings:
    """Hold the id, data centre, addresses and link secret of this process."""

    id: str = field(validator=validators.name)
    data_center: str = field(validator=validators.name)
    link_address: str = field(validator=validators.address)
    http_address: str = field(validator=validators.address)
    link_secret: str = field(validator=_check_secret, repr=False)


@define(frozen=True, kw_only=True)
class ControlSettings:
    """Configure one control replica."""

    process: LinkSettings
    data_folder: str
    operator_credential_sha256: str = field(validator=_check_sha256, repr=False)
    # The initial members, used at the group's first start; later the log defines the members.
    replicas: dict[str, str] = field(validator=_check_addresses)
    # Wait to be added to an existing group instead of forming one.
    join: bool = False
    # Registered policy that moves VMs between pools.
    mover: str = "payback"
    # A snapshot replaces the log after this many entries, or when it takes a share of the memory or
    # of the disk.
    snapshot_every: int = field(default=2_000, validator=validators.in_range(10, 1_000_000))
    memory_mb: int = field(
        default=DEFAULT_MEMORY_MB, validator=validators.in_range(MIN_SIZE_MB, MAX_SIZE_MB)
    )
    disk_mb: int = field(
        default=DEFAULT_DISK_MB, validator=validators.in_range(MIN_SIZE_MB, MAX_SIZE_MB)
    )
    log: LogSettings = field(factory=LogSettings)

    def __attrs_post_init__(self) -> None:
        known = self.replicas.get(self.process.id)
        if not self.join and known != self.process.link_address:
            raise ValueError(
                f"replicas must name {self.process.id} with its link_address "
                f"{self.process.link_address}"
            )


@define(frozen=True, kw_only=True)
class HttpLimits:
    """Limit callers' requests and the responses to them."""

    max_body_bytes: int = field(default=MIB, validator=validators.in_range(1, 64 * MIB))
    max_header_bytes: int = field(default=16 * KIB, validator=validators.in_range(KIB, 256 * KIB))
    max_answer_bytes: int = field(default=8 * MIB, validator=validators.in_range(1, 64 * MIB))
    max_deadline_ms: int = field(default=30_000, validator=validators.in_range(1, 30_000))


@define(frozen=True, kw_only=True)
class PolicySettings:
    """Select registered policies by name."""

    routing: str = "least_loaded_of_two"
    share: str = "max_min"
    placement: str = "rack_spread"


@define(frozen=True, kw_only=True)
class EntrySettings:
    """Configure one entry process."""

    process: LinkSettings
    control: dict[str, str] = field(validator=_check_addresses)
    operator_credential_sha256: str = field(validator=_check_sha256, repr=False)
    endpoint_credential_sha256: str = field(validator=_check_sha256, repr=False)
    # The entry processes of this data centre, including this one.
    peers: dict[str, str] = field(validator=_check_addresses)
    # A process of another data centre that stores records as a member of this data centre's
    # group, for a data centre with two entry VMs.
    witness: dict[str, str] = field(factory=dict, validator=_check_addresses)
    # Record groups of other data centres that have this process as their witness.
    witness_of: dict[str, dict[str, str]] = field(factory=dict)
    # Entry processes of the other data centres, by data centre.
    remote: dict[str, list[str]] = field(factory=dict)
    platform_url: str = field(factory=str)
    data_folder: str | None = None
    record_retention_ms: int = field(
        default=24 * 3_600_000, validator=validators.in_range(60_000, 30 * 24 * 3_600_000)
    )
    # Of the process. Callers' connections use a part of it.
    memory_mb: int = field(
        default=DEFAULT_MEMORY_MB, validator=validators.in_range(MIN_SIZE_MB, MAX_SIZE_MB)
    )
    limits: HttpLimits = field(factory=HttpLimits)
    policy: PolicySettings = field(factory=PolicySettings)
    log: LogSettings = field(factory=LogSettings)

    def __attrs_post_init__(self) -> None:
        if self.peers.get(self.process.id) != self.process.link_address:
            raise ValueError(
                f"peers must name {self.process.id} with its link_address "
                f"{self.process.link_address}"
            )
        if self.platform_url and not self.platform_url.startswith(("http://", "https://")):
            raise ValueError(f"platform_url {self.platform_url!r} is not an HTTP URL")
        for data_center, group in self.witness_of.items():
            validators.name(self, None, data_center)
            _check_addresses(self, None, group)
            if group.get(self.process.id) != self.process.link_address:
                raise ValueError(
                    f"witness_of.{data_center} must name {self.process.id} with its link_address"
                )
        for data_center, addresses in self.remote.items():
            validators.name(self, None, data_center)
            for address in addresses:
                validators.address(self, None, address)


def choose_witnesses(groups: dict[str, dict[str, str]]) -> dict[str, dict[str, str]]:
    """Return the witness of each data centre whose record group needs one.

    `groups` maps each data centre to the addresses of its entry processes. A group with an even
    number of members gets the first process of the largest other data centre.
    """
    witnesses: dict[str, dict[str, str]] = {}
    for data_center, group in groups.items():
        others = sorted(
            (name for name in groups if name != data_center), key=lambda n: (-len(groups[n]), n)
        )
        if len(group) % 2 == 0 and others:
            witness_group = groups[others[0]]
            first = min(witness_group)
            witnesses[data_center] = {first: witness_group[first]}
    return witnesses


SETTINGS_CLASSES: dict[str, type] = {"control": ControlSettings, "entry": EntrySettings}


def load_settings(path: str | Path, kind: str) -> Any:
    """Load a daemon's settings file; raise SettingsError if it is invalid."""
    data = load_toml(path, error=SettingsError)
    return structure(data, SETTINGS_CLASSES[kind], source=str(path), error=SettingsError)


def detect_kind(path: str | Path) -> str:
    """Return the kind of a TOML file: `control`, `entry` or `table`."""
    data = load_toml(path, error=SettingsError)
    if "process" not in data:
        return "table"
    return "control" if "replicas" in data else "entry"
