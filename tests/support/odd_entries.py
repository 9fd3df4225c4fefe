"""Entries that another writer could leave in the store."""

from __future__ import annotations

DEEP = b"[" * 50_000 + b"]" * 50_000
# JSON texts of the content of an entry, which no decoder may stumble over.
ODD_CONTENTS = (
    DEEP,
    b'{"address": ' + DEEP + b', "peer_port": 7600}',
    b'{"address": "10.0.0.9", "peer_port": 1e999}',
    b'{"address": "10.0.0.9", "peer_port": ' + b"7" * 5_000 + b"}",
    b'{"address": "10.0.0.9", "peer_port": 0}',
    b'{"address": "10.0.0.9", "peer_port": -1}',
    b'{"address": "10.0.0.9", "peer_port": 70000}',
    b'{"address": "10.0.0.9", "peer_port": 7600.5}',
    b'{"address": "10.0.0.9", "peer_port": "7600"}',
    b'{"address": "nowhere.example", "peer_port": 7600}',
    b'{"address": "\\u0000", "peer_port": 7600}',
    b'{"address": "' + b"x" * 300_000 + b'", "peer_port": 7600}',
    b'{"address": ["10.0.0.9"], "peer_port": 7600}',
    b'{"address": "\xff\xfe", "peer_port": 7600}',
    b"[]",
    b"null",
    b'"text"',
    b"-1e999",
)


def make_object(
    name: str, content: bytes, revision: bytes = b"5", status: bytes = b"null"
) -> bytes:
    """Return the JSON text of an object as the platform's store sends it."""
    return (
        b'{"metadata": {"name": "%s", "revision": %s, "finalizers": []}, "spec": %s,'
        b' "status": %s}' % (name.encode(), revision, content, status)
    )


def make_page(*objects: bytes, at: bytes = b"9", more: bytes = b"false") -> bytes:
    """Return the JSON text of a list of objects."""
    return b'{"more": %s, "items": [%s], "at": %s}' % (more, b", ".join(objects), at)


def make_events(*objects: bytes, deleted: bytes = b"false", at: bytes = b"9") -> bytes:
    """Return the JSON text of changes of objects."""
    events = [b'{"deleted": %s, "object": %s}' % (deleted, item) for item in objects]
    return b'{"at": %s, "events": [%s]}' % (at, b",".join(events))
