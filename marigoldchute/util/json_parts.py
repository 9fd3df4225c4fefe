"""Division of JSON text into the parts of its outermost array or object.

The parts are not decoded, so that one that no decoder accepts, such as a very deeply
nested one, does not hide the others.
"""

from __future__ import annotations

import re

import msgspec

# Strings, runs of brackets and commas; the rest of a text does not divide it.
_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]+|[\]}]+|,', re.DOTALL)
_KEY = re.compile(rb'\s*("[^"\\]*+(?:\\.[^"\\]*+)*+")\s*:', re.DOTALL)
_OPENING, _CLOSING, _QUOTE = b"[{", b"]}", b'"'


def split_array(text: bytes) -> list[bytes]:
    """Return the text of each element of an array.

    Raises
    ------
    ValueError
        The text is not an array, or ends early.
    """
    return _split(text, b"[")


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the text of each value of an object by its key.

    Members without a readable key are left out; the last one of a key counts.

    Raises
    ------
    ValueError
        The text is not an object, or ends early.
    """
    members: dict[str, bytes] = {}
    for part in _split(text, b"{"):
        match = _KEY.match(part)
        if match is None:
            continue
        try:
            key = msgspec.json.decode(match[1], type=str)
        except msgspec.DecodeError:
            continue
        members[key] = part[match.end() :]
    return members


def _split(text: bytes, opening: bytes) -> list[bytes]:
    start = len(text) - len(text.lstrip())
    if text[start : start + 1] != opening:
        raise ValueError(f"expected {opening.decode()!r}")
    parts: list[bytes] = []
    part_start = start + 1
    depth = 0
    for match in _TOKEN.finditer(text, start):
        first = text[match.start() : match.start() + 1]
        length = match.end() - match.start()
        if first == _QUOTE:
            continue
        if first in _OPENING:
            depth += length
        elif first in _CLOSING:
            if length >= depth:
                parts.append(text[part_start : match.start() + depth - 1])
                return parts if len(parts) > 1 or parts[0].strip() else []
            depth -= length
        elif depth == 1:
            parts.append(text[part_start : match.start()])
            part_start = match.end()
    raise ValueError("text ends early")
