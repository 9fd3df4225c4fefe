"""Limits of a bundle, and checks of single values against them."""

from __future__ import annotations

import re

from marigoldchute.errors import BundleError, ResultCode

MAX_SERVICES = 1000
MAX_ROUTES = 10_000
MAX_MOVES = 200
MAX_CUSTOMERS = 100_000
MAX_CUSTOMER_NAME_LENGTH = 255
MAX_QUOTA = 1e9  # Requests, or requests per second.
MAX_STEPS = 50
MAX_DEPENDENCIES = 100
MAX_METHODS = 20
MAX_NAME_LENGTH = 63
MAX_PATH_LENGTH = 512
MAX_CHUNKS = 2000
MAX_CHUNK_BYTES = 256_000
MAX_CONTENT_BYTES = 32_000_000
MAX_MANIFEST_BYTES = 256_000
MAX_TIMEOUT_MS = 600_000
MAX_ATTEMPTS = 10
MAX_PRIORITY = 2
MAX_HOLD_MS = 7 * 24 * 3_600_000
MAX_WALL_CLOCK_MS = 10**14
MAX_SLOW_RATIO = 100.0
MAX_FALSE_ALARM = 0.5

_NAME = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}")
_TOKEN = re.compile(rf"[A-Za-z0-9!#$%&'*+.^_`|~-]{{1,{MAX_NAME_LENGTH}}}")
_PATH = re.compile(rf"/[!-\"$->@-~]{{0,{MAX_PATH_LENGTH - 1}}}")


def is_name(text: str) -> bool:
    """Return whether a text is valid as a name, see ``check_name``."""
    return _NAME.fullmatch(text) is not None


def check_name(path: str, name: str) -> None:
    """Raise an error for a name that is empty, too long or has invalid characters.

    Parameters
    ----------
    path : str
        Key path for the error message, such as ``$.services[0].name``.
    name : str
        Name of letters, digits, dots, underscores and hyphens, which must start with
        a letter or digit.
    """
    if not is_name(name):
        raise _out_of_range(
            path,
            f"{name[:80]!r} is not a name of 1 to {MAX_NAME_LENGTH} letters, digits "
            "and ._- that starts with a letter or digit",
        )


def check_customer_name(path: str, name: str) -> None:
    """Raise an error for a customer name that cannot be the value of a header."""
    is_value = name.isprintable() and name == name.strip() and name != ""
    if not is_value or len(name) > MAX_CUSTOMER_NAME_LENGTH:
        raise _out_of_range(
            path,
            f"{name[:80]!r} is not a name of 1 to {MAX_CUSTOMER_NAME_LENGTH} printable "
            "characters without spaces at its ends",
        )


def check_token(path: str, text: str) -> None:
    """Raise an error unless a method or header name is an HTTP token."""
    if _TOKEN.fullmatch(text) is None:
        raise _out_of_range(path, f"{text[:80]!r} is not an HTTP token")


def check_path_prefix(path: str, prefix: str) -> None:
    """Raise an error for a path prefix that no request can match."""
    if not prefix.startswith("/"):
        raise _out_of_range(path, f"{prefix[:80]!r} does not start with '/'")
    if _PATH.fullmatch(prefix) is None:
        raise _out_of_range(
            path,
            f"{prefix[:80]!r} is longer than {MAX_PATH_LENGTH} characters or has "
            "spaces, '?', '#' or characters that must be percent-encoded",
        )


def check_range(path: str, value: float, low: float, high: float) -> None:
    """Raise an error for NaN or a number outside a closed range."""
    if not low <= value <= high:
        raise _out_of_range(path, f"{value} is not between {low} and {high}")


def check_count(path: str, count: int, limit: int) -> None:
    """Raise an error when there are more items than the limit."""
    if count > limit:
        raise BundleError(
            f"{path}: {count} items, the limit is {limit}", ResultCode.BUNDLE_TOO_LARGE
        )


def check_size(subject: str, size: int, limit: int) -> None:
    """Raise an error when there are more bytes than the limit."""
    if size > limit:
        raise BundleError(
            f"{subject} has {size} bytes, the limit is {limit}",
            ResultCode.BUNDLE_TOO_LARGE,
        )


def _out_of_range(path: str, detail: str) -> BundleError:
    return BundleError(f"{path}: {detail}", ResultCode.BUNDLE_VALUE_OUT_OF_RANGE)
