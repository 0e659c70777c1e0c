"""Durable files in a data folder that one process at a time may open."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol

from hornbeamreach.exceptions import FolderLockedError, StorageError

LOCK_FILE_NAME = "lock"
TEMPORARY_SUFFIX = ".tmp"


class Disk(Protocol):
    """Store named files; appended data is durable only once `sync` returns."""

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if the file does not exist."""

    def size(self, name: str) -> int:
        """Return a file's size in bytes, 0 if the file does not exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, creating it if needed."""

    def sync(self, name: str) -> None:
        """Return once everything appended to a file is durable."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes, durably."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and durably."""

    def close(self) -> None:
        """Close all files and unlock the folder."""


class FileDisk:
    """Keep files in a folder that is locked against other processes.

    Raises FolderLockedError if another process has locked the folder, and StorageError if it
    can't be opened.
    """

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.descriptors: dict[str, int] = {}
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock_descriptor = os.open(
                self.folder / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT, 0o600
            )
        except OSError as exc:
            raise StorageError(f"can't open data folder {folder}: {exc.strerror}") from exc
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock_descriptor)
            raise FolderLockedError(f"another process holds the data folder {folder}") from None
        # What an interrupted replacement has left takes room that a full disk lacks.
        for leftover in self.folder.glob(f"*{TEMPORARY_SUFFIX}"):
            leftover.unlink(missing_ok=True)

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if the file does not exist."""
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def size(self, name: str) -> int:
        """Return a file's size in bytes, 0 if the file does not exist."""
        try:
            return (self.folder / name).stat().st_size
        except FileNotFoundError:
            return 0

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, creating it if needed."""
        descriptor = self._open(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, name: str) -> None:
        """Return once everything appended to a file is durable."""
        os.fsync(self._open(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes, durably."""
        descriptor = self._open(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content atomically and durably."""
        self._close(name)
        temporary = self.folder / f"{name}{TEMPORARY_SUFFIX}"
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
        except OSError:
            temporary.unlink(missing_ok=True)
            raise
        os.replace(temporary, self.folder / name)
        self._sync_folder()

    def close(self) -> None:
        """Close all files and unlock the folder."""
        for name in list(self.descriptors):
            self._close(name)
        with contextlib.suppress(OSError):
            os.close(self.lock_descriptor)

    def _open(self, name: str) -> int:
        if name not in self.descriptors:
            path = self.folder / name
            is_new = not path.exists()
            self.descriptors[name] = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            if is_new:
                self._sync_folder()
        return self.descriptors[name]

    def _close(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
