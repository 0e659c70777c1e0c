"""Replacement of the values for which a parser refuses a whole JSON document.

One row of another writer may be nested too deeply, or hold a number or text that no parser takes.
The other rows of the document still hold.
"""

from __future__ import annotations

import math
import re

import orjson

# Far above what the platform sends, and far below what the parser takes.
MAX_DEPTH = 64
MAX_NUMBER_CHARACTERS = 40
# Pruning takes some ms for each 10 KB, and lists of 500 ends take 50 KB.
MAX_BYTES = 512 * 1024
PLAIN_TEXT = re.compile(rb"[\x20-\x5b\x5d-\x7e]*")
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[{]|[\]}]|-?[0-9][0-9.eE+-]*+', re.DOTALL)


def prune_json(body: bytes) -> bytes:
    """Replace values nested deeper than MAX_DEPTH, and unreadable numbers and texts.

    A text may be a key, so it is replaced by an empty text, any other value by null. A body over
    MAX_BYTES is returned unchanged.
    """
    if len(body) > MAX_BYTES:
        return body
    kept: list[bytes] = []
    depth = position = 0
    for token in TOKEN.finditer(body):
        text = token[0]
        if text in b"[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(body[position : token.start()])
        elif text in b"]}":
            if depth == MAX_DEPTH + 1:
                kept.append(b"null")
                position = token.end()
            depth -= 1
        elif depth <= MAX_DEPTH and not _is_readable(text):
            kept += [body[position : token.start()], b'""' if text[:1] == b'"' else b"null"]
            position = token.end()
    if depth <= MAX_DEPTH:
        kept.append(body[position:])
    return b"".join(kept)


def _is_readable(text: bytes) -> bool:
    if text[:1] == b'"':
        if PLAIN_TEXT.fullmatch(text):
            return True
        try:
            orjson.loads(text)
        except orjson.JSONDecodeError:
            return False
        return True
    if len(text) > MAX_NUMBER_CHARACTERS:
        return False
    try:
        return math.isfinite(float(text))
    except ValueError:
        # Malformed rather than too large; the parser decides.
        return True
