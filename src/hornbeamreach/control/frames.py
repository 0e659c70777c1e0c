"""Checksummed frames, the format of every file in a data folder."""

from __future__ import annotations

import struct
import zlib
from typing import Any

import cbor2

from hornbeamreach.control.disk import Disk
from hornbeamreach.exceptions import CorruptLogError

FRAME_MAGIC = b"HBF1"
HEADER = struct.Struct(">4sII")


def encode_frame(value: Any) -> bytes:
    """Encode a value as one frame: magic, length, CRC-32 and CBOR."""
    payload = cbor2.dumps(value)
    return HEADER.pack(FRAME_MAGIC, len(payload), zlib.crc32(payload)) + payload


def _frame_end(data: bytes, start: int) -> int | None:
    if len(data) - start < HEADER.size:
        return None
    magic, length, checksum = HEADER.unpack_from(data, start)
    end = start + HEADER.size + length
    if magic != FRAME_MAGIC or end > len(data):
        return None
    if zlib.crc32(data[start + HEADER.size : end]) != checksum:
        return None
    return end


def decode_frames(data: bytes, name: str) -> tuple[list[Any], int]:
    """Return the values of all intact frames and the offset at which the last one ends.

    A corrupt tail is left out. A corrupt frame before an intact one can't come from an
    interrupted write and raises CorruptLogError.
    """
    values = []
    position = 0
    while position < len(data):
        end = _frame_end(data, position)
        if end is None:
            _check_torn_tail(data, position, name)
            break
        values.append(cbor2.loads(data[position + HEADER.size : end]))
        position = end
    return values, position


def _check_torn_tail(data: bytes, position: int, name: str) -> None:
    candidate = data.find(FRAME_MAGIC, position + 1)
    while candidate != -1:
        if _frame_end(data, candidate) is not None:
            raise CorruptLogError(
                f"{name} is damaged at byte {position}, before a whole record at {candidate}; "
                "restore the data folder or replace this replica"
            )
        candidate = data.find(FRAME_MAGIC, candidate + 1)


def load_frames(disk: Disk, name: str) -> list[Any]:
    """Return a file's values, truncating a torn tail durably; raise CorruptLogError if damaged."""
    data = disk.read(name)
    if data is None:
        return []
    values, end = decode_frames(data, name)
    if end < len(data):
        disk.truncate(name, end)
    return values
