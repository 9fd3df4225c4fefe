"""Validation of request heads beyond the checks of the HTTP parser."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from marigoldchute.errors import RequestError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable

_ABSOLUTE_PREFIXES = (b"http://", b"https://")


@dataclasses.dataclass(frozen=True, slots=True)
class Framing:
    """Framing of the body of a request.

    Parameters
    ----------
    has_body : bool
        Whether body data may follow.
    expects_continue : bool
        Whether the caller waits for ``100 Continue`` before it sends its body.
    length : int
        Length of the body; 0 if it is not known.
    """

    has_body: bool
    expects_continue: bool
    length: int = 0


NO_BODY = Framing(False, False)


def check_head(http_version: str, headers: Iterable[tuple[bytes, bytes]]) -> Framing:
    """Validate the headers of a request.

    The parser already rejects conflicting lengths, folded headers and bare line feeds.
    This function rejects what the parser accepts but a backend server could interpret
    differently, and what the request path does not support.

    Parameters
    ----------
    http_version : str
        ``1.0`` or ``1.1``.
    headers : iterable of (bytes, bytes)
        Lower-case names and values.

    Returns
    -------
    Framing
        Framing of the body.

    Raises
    ------
    RequestError
        The headers are invalid or not supported.
    """
    if http_version not in ("1.0", "1.1"):
        raise _malformed_error(f"HTTP version {http_version} is not supported")
    host_count = 0
    length = None
    chunked = False
    expects_continue = False
    for name, value in headers:
        if name == b"host":
            host_count += 1
        elif name == b"content-length":
            length = value
        elif name == b"transfer-encoding":
            if value.lower() != b"chunked" or chunked or http_version == "1.0":
                raise _malformed_error("transfer encoding is not supported")
            chunked = True
        elif name == b"expect":
            expects_continue = value.lower() == b"100-continue"
    if host_count != 1 and not (host_count == 0 and http_version == "1.0"):
        raise _malformed_error("exactly one host header is required")
    has_body = chunked or (length is not None and length.strip(b"0") != b"")
    if not has_body:
        return NO_BODY
    known_length = 0 if chunked or length is None else int(length)
    return Framing(has_body, expects_continue, known_length)


def parse_target(target: bytes) -> bytes:
    """Return the origin form of a request target, or ``*`` as it is.

    Raises
    ------
    RequestError
        The target is neither ``*`` nor in origin or absolute form.
    """
    if target.startswith(b"/"):
        return target
    if target.lower().startswith(_ABSOLUTE_PREFIXES):
        _, _, rest = target.partition(b"://")
        _, slash, path = rest.partition(b"/")
        return slash + path if slash else b"/"
    if target == b"*":
        return target
    raise _malformed_error("request target is not supported")


def _malformed_error(message: str) -> RequestError:
    return RequestError(message, ResultCode.REQUEST_MALFORMED)
