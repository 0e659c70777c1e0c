"""Announcements by which endpoints register themselves."""

from __future__ import annotations

from attrs import define


@define(frozen=True, kw_only=True)
class Announcement:
    """Describe an endpoint; `sequence` orders the announcements of one instance."""

    endpoint: str
    service: str
    address: str
    vm: str
    slots: int
    connections: int
    instance: str
    sequence: int
    leaving: bool = False
