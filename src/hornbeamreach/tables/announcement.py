"""What an endpoint says of itself."""

from __future__ import annotations

from attrs import define


@define(frozen=True, kw_only=True)
class Announcement:
    """Hold what an endpoint says; the sequence orders what one instance of it says."""

    endpoint: str
    service: str
    address: str
    vm: str
    slots: int
    connections: int
    instance: str
    sequence: int
    leaving: bool = False
