"""Settings of every process, derived from the deployment section of an example file."""

from __future__ import annotations

import hashlib
import socket
from pathlib import Path

from attrs import define, field

from hornbeamreach.converters import structure
from hornbeamreach.exceptions import TableError
from hornbeamreach.settings import (
    ControlSettings,
    EntrySettings,
    LinkSettings,
    choose_witnesses,
)
from hornbeamreach.tables.declared import DeclaredTable
from hornbeamreach.tables.table_file import DEPLOYMENT_KEY, load_table, load_toml

LOOPBACK = "127.0.0.1"


@define(frozen=True, kw_only=True)
class Deployment:
    """Hold the numbers of processes and endpoints of an example."""

    minions_per_service: int
    slots: int
    connections: int
    # Number of entry VMs by data centre; the first of each has a disk and a control replica.
    entries: dict[str, int]


@define(frozen=True, kw_only=True)
class Secrets:
    """Hold the credentials of one fleet."""

    link: str = field(repr=False)
    operator: str = field(repr=False)
    endpoint: str = field(repr=False)


@define(kw_only=True)
class FleetPlan:
    """Hold an example's declared table and the settings of every process."""

    table: DeclaredTable
    deployment: Deployment
    control: dict[str, ControlSettings]
    entries: dict[str, EntrySettings]
    platforms: dict[str, str]

    def entries_of(self, data_center: str) -> list[EntrySettings]:
        """Return the settings of a data centre's entry processes."""
        return [
            settings
            for settings in self.entries.values()
            if settings.process.data_center == data_center
        ]


def sha256(text: str) -> str:
    """Return the SHA-256 digest of a text in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


class PortAllocator:
    """Allocate loopback addresses with free ports; each port stays bound until `release`."""

    def __init__(self) -> None:
        self.listeners: list[socket.socket] = []

    def address(self) -> str:
        """Return an address that has not been allocated before."""
        listener = socket.socket()
        listener.bind((LOOPBACK, 0))
        self.listeners.append(listener)
        return f"{LOOPBACK}:{listener.getsockname()[1]}"

    def release(self) -> None:
        """Close the sockets, so that the processes can listen on the ports."""
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()


def load_deployment(path: str | Path) -> Deployment:
    """Read the deployment section of an example file.

    Raises:
        TableError: the section is missing or malformed.
    """
    data = load_toml(path)
    if DEPLOYMENT_KEY not in data:
        raise TableError("missing", path=DEPLOYMENT_KEY, source=str(path))
    return structure(data[DEPLOYMENT_KEY], Deployment, source=str(path), error=TableError)


def plan_fleet(
    path: str | Path, *, ports: PortAllocator, data_folder: str | Path, secrets: Secrets
) -> FleetPlan:
    """Build the settings of every process of an example."""
    deployment = load_deployment(path)
    names = {
        data_center: [f"{data_center}-e{number}" for number in range(1, count + 1)]
        for data_center, count in deployment.entries.items()
    }
    links = {entry: ports.address() for entries in names.values() for entry in entries}
    replicas = {f"{data_center}-c1": ports.address() for data_center in names}
    platforms = {data_center: ports.address() for data_center in names}
    control = {
        replica: ControlSettings(
            process=LinkSettings(
                id=replica,
                data_center=replica.partition("-")[0],
                link_address=address,
                http_address=ports.address(),
                link_secret=secrets.link,
            ),
            data_folder=str(Path(data_folder) / replica),
            operator_credential_sha256=sha256(secrets.operator),
            replicas=replicas,
        )
        for replica, address in replicas.items()
    }
    groups = {
        data_center: {entry: links[entry] for entry in names[data_center]} for data_center in names
    }
    witnesses = choose_witnesses(groups)
    entries = {
        entry: EntrySettings(
            process=LinkSettings(
                id=entry,
                data_center=data_center,
                link_address=links[entry],
                http_address=ports.address(),
                link_secret=secrets.link,
            ),
            control=replicas,
            operator_credential_sha256=sha256(secrets.operator),
            endpoint_credential_sha256=sha256(secrets.endpoint),
            peers=groups[data_center],
            witness=witnesses.get(data_center, {}),
            witness_of={
                other: {**groups[other], **witness}
                for other, witness in witnesses.items()
                if entry in witness
            },
            remote={
                other: [links[peer] for peer in names[other]]
                for other in names
                if other != data_center
            },
            platform_url=f"http://{platforms[data_center]}",
            data_folder=str(Path(data_folder) / entry) if entry.endswith("-e1") else None,
        )
        for data_center in names
        for entry in names[data_center]
    }
    return FleetPlan(
        table=load_table(path),
        deployment=deployment,
        control=control,
        entries=entries,
        platforms=platforms,
    )
