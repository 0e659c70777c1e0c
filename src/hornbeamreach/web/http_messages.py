"""Heads of HTTP/1.1 messages: encoding with validation, and errors of received ones."""

from __future__ import annotations

import functools
import re

BAD_REQUEST = 400
HEADERS_TOO_LARGE = 431
NOT_IMPLEMENTED = 501
CHUNKED = b"chunked"
TRANSFER_ENCODING = b"transfer-encoding"
CONTENT_LENGTH = b"content-length"
SUPPORTED_VERSIONS = frozenset(("1.0", "1.1"))
# RFC 9110: a name is a token; a value has no CR, LF or NUL, and no white space at its ends.
NAME_PATTERN = re.compile(rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]+")
VALUE_PATTERN = re.compile(rb"(?:[^\x00\s]+(?:[ \t]+[^\x00\s]+)*)?")
# Most header lines of a process repeat: constant ones, lengths and minions' names.
CACHED_LINES = 4_096

Headers = tuple[tuple[bytes, bytes], ...]


class MalformedMessageError(Exception):
    """Report a received message that can't be parsed, with the status of the response to it."""

    def __init__(self, detail: str, status: int = BAD_REQUEST) -> None:
        super().__init__(detail)
        self.status = status


class InvalidHeadError(ValueError):
    """Report a head that must not be sent, as the peer would read it as something else."""


@functools.lru_cache(CACHED_LINES)
def encode_header(name: bytes, value: bytes) -> bytes:
    """Return a header line; raise InvalidHeadError for a name or value that isn't valid."""
    if not NAME_PATTERN.fullmatch(name) or not VALUE_PATTERN.fullmatch(value):
        raise InvalidHeadError(f"invalid header {name!r}: {value[:100]!r}")
    return b"%s: %s\r\n" % (name, value)


def check_transfer_encoding(value: bytes) -> None:
    """Raise MalformedMessageError for any coding but `chunked` alone.

    llhttp accepts further codings, whose content nothing here decodes.
    """
    if value.strip().lower() != CHUNKED:
        raise MalformedMessageError("unsupported transfer coding", NOT_IMPLEMENTED)
