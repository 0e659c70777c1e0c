"""Exceptions of this library."""

from __future__ import annotations

from hornbeamreach.verdict import Reason, Verdict


class HornbeamreachError(Exception):
    """Serve as the base class of all exceptions of this library."""


class InvalidInputError(HornbeamreachError):
    """Report an invalid value with its source and path."""

    def __init__(self, message: str, *, path: str = "", source: str = "") -> None:
        self.message = message
        self.path = path
        self.source = source
        super().__init__(": ".join(part for part in (source, path, message) if part))


class SettingsError(InvalidInputError):
    """Report invalid settings."""


class TableError(InvalidInputError):
    """Report an invalid table, row or column."""


class RefusedError(HornbeamreachError):
    """Refuse a request with a reason and a verdict on whether it may have run."""

    def __init__(
        self,
        reason: Reason,
        detail: str,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_ms: int | None = None,
    ) -> None:
        self.reason = reason
        self.detail = detail
        self.verdict = verdict
        self.retry_after_ms = retry_after_ms
        super().__init__(f"{reason.value}: {detail}")


class LinkError(HornbeamreachError):
    """Report a failed request between two processes of the system."""

    verdict = Verdict.MAY_HAVE_RUN


class PeerUnreachableError(LinkError):
    """Report that a request was not sent, because its peer is unreachable."""

    verdict = Verdict.NOT_RUN


class PeerTimeoutError(LinkError):
    """Report that a peer did not respond in time."""


class NotLeaderError(HornbeamreachError):
    """Report that this replica is not the leader and can't accept commands."""

    def __init__(self, leader: str | None, *, term: int = 0) -> None:
        self.leader = leader
        # Term that the replica is in; 0 if it doesn't tell.
        self.term = term
        super().__init__(f"not the leader; the leader is {leader or 'unknown'}")


class StorageError(HornbeamreachError):
    """Report that durable state can't be read or written."""


class DiskFullError(StorageError):
    """Report that the disk has no room for a snapshot; what is stored is as it was."""


class CorruptLogError(StorageError):
    """Report corruption before the end of the log."""


class FolderLockedError(StorageError):
    """Report a data folder that another process has locked."""


class PlatformError(HornbeamreachError):
    """Report a failed call to the platform, with a verdict on whether it may have run."""

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        self.verdict = verdict
        super().__init__(message)
