"""Settings of the daemons, decoded from the platform's settings file."""

from __future__ import annotations

from typing import Any

from attrs import define

from hornbeamreach import validators
from hornbeamreach.exceptions import InvalidInputError, SettingsError
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.platform import fields
from hornbeamreach.tables.table_file import load_toml

SETTINGS_VARIABLE = "HORNBEAMREACH_NODE_FILE"
MS_PER_S = 1_000
# Granted part of the longest lease: longer than two leader changes, 1.5 s each, but short, since
# the runs of a dead minion can't restart before its lease lapses.
LEASE_FRACTION = 0.4


@define(frozen=True, kw_only=True)
class PlatformSettings:
    """Hold the settings that the platform gives one process."""

    name: str
    ip: str
    data_center: str
    # The first two ports of the range for internal traffic: the link, and the metrics.
    link_port: int
    metrics_port: int
    # For datagrams between control replicas; 0 if the range has only two ports.
    heartbeat_port: int
    # Addresses of up to three control replicas, for operators and minions.
    seeds: tuple[str, ...]
    # Whether the whole system starts for the first time, on empty disks.
    first_start: bool
    data_folder: str
    callers_address: str
    readiness_address: str
    control_address: str
    vm_service_address: str
    admission_address: str
    grace_ms: int
    timing: FleetTiming
    # What the process may use of its VM's memory and disk; 0 if that isn't stated.
    memory_mb: int = 0
    disk_mb: int = 0
    # How many descriptors the process may have open; 0 if that isn't stated.
    max_descriptors: int = 0

    @property
    def link_address(self) -> str:
        """Return the address of this process's link."""
        return f"{self.ip}:{self.link_port}"

    @property
    def metrics_address(self) -> str:
        """Return the address that serves this process's metrics."""
        return f"{self.ip}:{self.metrics_port}"

    def link_address_of(self, control_address: str) -> str:
        """Return the link address of a control replica; every process uses the same link port."""
        return f"{control_address.rpartition(':')[0]}:{self.link_port}"


def load_settings(path: str) -> PlatformSettings:
    """Load the settings file; raise SettingsError with the field if it is invalid."""
    data = load_toml(path, error=SettingsError)
    try:
        return decode_settings(data)
    except InvalidInputError as exc:
        raise SettingsError(exc.message, path=exc.path, source=path) from None


def decode_settings(data: dict[str, Any]) -> PlatformSettings:
    """Decode the settings; ignore unknown fields."""
    ports = fields.items(data, "internal-port-range", required=True)
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports) or ports[1] <= ports[0]:
        raise InvalidInputError("not a first and a last port", path="internal-port-range")
    addresses = fields.table(data, "bind-addresses")
    bounds = fields.table(data, "bounds")
    limits = fields.table(data, "limits")
    return PlatformSettings(
        name=fields.string(data, "node-name"),
        ip=fields.string(data, "ip"),
        data_center=fields.string(data, "zone"),
        link_port=ports[0],
        metrics_port=ports[0] + 1,
        heartbeat_port=ports[0] + 2 if ports[0] + 2 <= ports[1] else 0,
        seeds=tuple(_decode_seeds(data)),
        first_start=fields.boolean(data, "bootstrap"),
        data_folder=fields.string(data, "data-dir", ""),
        callers_address=_optional_address(addresses, "frontend"),
        readiness_address=_optional_address(addresses, "readiness"),
        control_address=_optional_address(addresses, "control"),
        vm_service_address=_optional_address(fields.table(data, "cloud-api"), "address"),
        admission_address=_optional_address(data, "advice"),
        grace_ms=int(fields.number(bounds, "grace-s", 6) * MS_PER_S),
        timing=_decode_timing(bounds),
        memory_mb=int(fields.number(limits, "memory-mb", 0)),
        disk_mb=int(fields.number(limits, "disk-mb", 0)),
        max_descriptors=int(fields.number(limits, "max-fds", 0)),
    )


def _decode_seeds(data: dict[str, Any]) -> list[str]:
    seeds = fields.strings(data, "seeds")
    if not seeds:
        raise InvalidInputError("names no control replica", path="seeds")
    for seed in seeds:
        _check_address(seed, "seeds")
    return seeds


def _optional_address(data: dict[str, Any], name: str) -> str:
    value = fields.string(data, name, "")
    if value:
        _check_address(value, name)
    return value


def _check_address(value: str, path: str) -> None:
    try:
        validators.address(None, None, value)
    except ValueError as exc:
        raise InvalidInputError(str(exc), path=path) from None


def _decode_timing(bounds: dict[str, Any]) -> FleetTiming:
    max_lease_ms = fields.integer(bounds, "hold-max-ms", 10_000)
    return FleetTiming(
        lease_ms=int(max_lease_ms * LEASE_FRACTION),
        max_lease_ms=max_lease_ms,
        ended_job_retention_ms=int(fields.number(bounds, "status_s", 120) * MS_PER_S * 1.1),
        remote_factor=fields.number(bounds, "remote-factor", 1.0),
    )
