"""The platform's settings file, decoded into what the programs need."""

from __future__ import annotations

from typing import Any

from attrs import define

from hornbeamreach import validators
from hornbeamreach.exceptions import InvalidInputError, SettingsError
from hornbeamreach.fleet.timing import FleetTiming
from hornbeamreach.platform import plain
from hornbeamreach.tables.table_file import load_toml

SETTINGS_VARIABLE = "HORNBEAMREACH_NODE_FILE"
MS_PER_S = 1_000
# Share of the longest lease that is granted: above two changes of the leader, 1.5 s each, and
# short, since what a dead minion ran waits for its lease to lapse.
LEASE_SHARE = 0.4


@define(frozen=True, kw_only=True)
class PlatformSettings:
    """Hold what the platform tells one process."""

    name: str
    ip: str
    data_center: str
    # Link and own-interface ports, the first two of the range for our own traffic.
    link_port: int
    own_port: int
    # Addresses that operators and minions call, of up to three control replicas.
    seeds: tuple[str, ...]
    # Whether the whole system starts for the first time, with empty disks.
    first_start: bool
    data_folder: str
    callers_address: str
    readiness_address: str
    control_address: str
    machines_address: str
    advice_address: str
    grace_ms: int
    timing: FleetTiming

    @property
    def link_address(self) -> str:
        """Return the address of this process's link."""
        return f"{self.ip}:{self.link_port}"

    @property
    def own_address(self) -> str:
        """Return the address of the product's own interface and metrics."""
        return f"{self.ip}:{self.own_port}"

    def link_of(self, control_address: str) -> str:
        """Return the link address beside a control address; ports are the same everywhere."""
        return f"{control_address.rpartition(':')[0]}:{self.link_port}"


def load_settings(path: str) -> PlatformSettings:
    """Read and check the settings file, or raise SettingsError naming the field."""
    data = load_toml(path, error=SettingsError)
    try:
        return decode_settings(data)
    except InvalidInputError as exc:
        raise SettingsError(exc.message, path=exc.path, source=path) from None


def decode_settings(data: dict[str, Any]) -> PlatformSettings:
    """Decode the settings; fields that are not known are passed over."""
    ports = plain.items(data, "internal-port-range", required=True)
    if len(ports) != 2 or not all(isinstance(port, int) for port in ports) or ports[1] <= ports[0]:
        raise InvalidInputError("not a first and a last port", path="internal-port-range")
    addresses = plain.table(data, "bind-addresses")
    bounds = plain.table(data, "bounds")
    return PlatformSettings(
        name=plain.text(data, "node-name"),
        ip=plain.text(data, "ip"),
        data_center=plain.text(data, "zone"),
        link_port=ports[0],
        own_port=ports[0] + 1,
        seeds=tuple(_seeds(data)),
        first_start=plain.flag(data, "bootstrap"),
        data_folder=plain.text(data, "data-dir", ""),
        callers_address=_address(addresses, "frontend"),
        readiness_address=_address(addresses, "readiness"),
        control_address=_address(addresses, "control"),
        machines_address=_address(plain.table(data, "cloud-api"), "address"),
        advice_address=_address(data, "advice"),
        grace_ms=int(plain.number(bounds, "grace-s", 6) * MS_PER_S),
        timing=_timing(bounds),
    )


def _seeds(data: dict[str, Any]) -> list[str]:
    seeds = plain.texts(data, "seeds")
    if not seeds:
        raise InvalidInputError("names no control replica", path="seeds")
    for seed in seeds:
        _check_address(seed, "seeds")
    return seeds


def _address(data: dict[str, Any], name: str) -> str:
    value = plain.text(data, name, "")
    if value:
        _check_address(value, name)
    return value


def _check_address(value: str, path: str) -> None:
    try:
        validators.address(None, None, value)
    except ValueError as exc:
        raise InvalidInputError(str(exc), path=path) from None


def _timing(bounds: dict[str, Any]) -> FleetTiming:
    longest_ms = plain.whole(bounds, "hold-max-ms", 10_000)
    return FleetTiming(
        lease_ms=int(longest_ms * LEASE_SHARE),
        ended_job_retention_ms=int(plain.number(bounds, "status_s", 120) * MS_PER_S * 1.1),
    )
