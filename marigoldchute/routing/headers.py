"""Selection of the headers that are forwarded from one connection to the next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.routing.dialect import DEFAULT_DIALECT
from marigoldchute.routing.request_headers import MAX_LISTED_LINES

if TYPE_CHECKING:
    from collections.abc import Iterable

CODE_HEADER = b"marigoldchute-code"
OUTCOME_HEADER = b"marigoldchute-outcome"

HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
    }
)
MAX_DEADLINE_DIGITS = 9
_IGNORED_CONNECTION_OPTIONS = frozenset(
    {b"content-length", b"host", b"close", b"keep-alive"}
)


def encode_request_headers(
    headers: Iterable[tuple[bytes, bytes]],
    mesh_headers: frozenset[bytes] = DEFAULT_DIALECT.mesh_request_headers,
) -> bytes:
    """Encode the end-to-end headers of a request.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Lower-case names and values as received.
    mesh_headers : frozenset of bytes
        Names of headers that the mesh sets itself.

    Returns
    -------
    bytes
        Header lines, each ended by CR LF.
    """
    dropped = HOP_HEADERS | mesh_headers
    for name, value in headers:
        if name == b"connection":
            dropped = dropped | _connection_options(value)
    kept = [pair for pair in headers if pair[0] not in dropped]
    if len(kept) > MAX_LISTED_LINES:
        # Spaces that the caller did not send could exceed a backend server's limit.
        return b"".join([b"%s:%s\r\n" % pair for pair in kept])
    return b"".join([b"%s: %s\r\n" % pair for pair in kept])


def _connection_options(value: bytes) -> frozenset[bytes]:
    names = {token.strip().lower() for token in value.split(b",")}
    return frozenset(names - _IGNORED_CONNECTION_OPTIONS)


def parse_deadline_ms(value: bytes | None) -> int | None:
    """Return the milliseconds of a deadline header, or None when it is not valid."""
    if value is None or not value.isdigit() or len(value) > MAX_DEADLINE_DIGITS:
        return None
    return int(value)
