"""Which headers pass from one connection to the next."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.routing.messages import HeaderList

DEADLINE_HEADER = b"marigoldchute-deadline-ms"
REQUEST_ID_HEADER = b"marigoldchute-request-id"
CODE_HEADER = b"marigoldchute-code"
OUTCOME_HEADER = b"marigoldchute-outcome"
NOT_RUN_HEADER = b"marigoldchute-not-run"

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
_OWN_REQUEST_HEADERS = frozenset({DEADLINE_HEADER, REQUEST_ID_HEADER})
_DROPPED = HOP_HEADERS | _OWN_REQUEST_HEADERS
_NEVER_NOMINATED = frozenset({b"content-length", b"host", b"close", b"keep-alive"})


def request_block(headers: HeaderList) -> bytes:
    """Encode the end-to-end headers of a request.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Lower-case names and values as received.

    Returns
    -------
    bytes
        Header lines, each ended by CR LF.
    """
    dropped = _DROPPED
    for name, value in headers:
        if name == b"connection":
            dropped = dropped | _nominated(value)
    return b"".join(
        [b"%s: %s\r\n" % pair for pair in headers if pair[0] not in dropped]
    )


def _nominated(value: bytes) -> frozenset[bytes]:
    names = {token.strip().lower() for token in value.split(b",")}
    return frozenset(names - _NEVER_NOMINATED)


def parse_deadline_ms(value: bytes | None) -> int | None:
    """Return the milliseconds of a deadline header, or None when it holds none."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return int(value)
