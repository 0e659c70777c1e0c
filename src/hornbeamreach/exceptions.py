"""The tree of errors that the library raises."""

from __future__ import annotations

from hornbeamreach.verdict import Reason, Verdict


class HornbeamreachError(Exception):
    """Serve as the root of every error of this library."""


class InvalidInputError(HornbeamreachError):
    """Report a value at fault with its source and path."""

    def __init__(self, message: str, *, path: str = "", source: str = "") -> None:
        self.message = message
        self.path = path
        self.source = source
        super().__init__(": ".join(part for part in (source, path, message) if part))


class SettingsError(InvalidInputError):
    """Report settings that can't be used."""


class TableError(InvalidInputError):
    """Report a table, row or column that can't be used."""


class RefusedError(HornbeamreachError):
    """Refuse a request with a reason and a true verdict."""

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
    """Report a failed exchange between two of our processes."""

    verdict = Verdict.MAY_HAVE_RUN


class PeerUnreachableError(LinkError):
    """Report that a request was never sent to its peer."""

    verdict = Verdict.NOT_RUN


class PeerTimeoutError(LinkError):
    """Report that a peer did not answer in time."""


class NotLeaderError(HornbeamreachError):
    """Report that this replica can't take commands now."""

    def __init__(self, leader: str | None) -> None:
        self.leader = leader
        super().__init__(f"not the leader; the leader is {leader or 'unknown'}")


class StorageError(HornbeamreachError):
    """Report that durable state can't be read or written."""


class CorruptLogError(StorageError):
    """Report damage in the middle of the log."""


class FolderLockedError(StorageError):
    """Report a data folder that another process holds."""


class PlatformError(HornbeamreachError):
    """Report a failed call to the platform, with what may have happened."""

    def __init__(self, message: str, *, verdict: Verdict) -> None:
        self.verdict = verdict
        super().__init__(message)
