"""Files under one data folder that count only once they are synced."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol

from hornbeamreach.exceptions import FolderLockedError, StorageError

LOCK_NAME = "lock"


class Disk(Protocol):
    """Store named files; nothing is durable before sync returns."""

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, creating it if needed."""

    def sync(self, name: str) -> None:
        """Return once everything appended to a file is durable."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size and make that durable."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content as a whole, durably or not at all."""

    def close(self) -> None:
        """Let go of the folder."""


class FileDisk:
    """Keep files in a folder that only one process may hold."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.files: dict[str, int] = {}
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock_file = os.open(self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as exc:
            raise StorageError(f"can't open data folder {folder}: {exc.strerror}") from exc
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock_file)
            raise FolderLockedError(f"another process holds the data folder {folder}") from None

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

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
        """Cut a file to a size and make that durable."""
        descriptor = self._open(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file's content as a whole, durably or not at all."""
        self._close(name)
        temporary = self.folder / f"{name}.tmp"
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.folder / name)
        self._sync_folder()

    def close(self) -> None:
        """Let go of the folder."""
        for name in list(self.files):
            self._close(name)
        with contextlib.suppress(OSError):
            os.close(self.lock_file)

    def _open(self, name: str) -> int:
        if name not in self.files:
            path = self.folder / name
            is_new = not path.exists()
            self.files[name] = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            if is_new:
                self._sync_folder()
        return self.files[name]

    def _close(self, name: str) -> None:
        descriptor = self.files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
