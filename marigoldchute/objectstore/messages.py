"""Responses of the object API, JSON over HTTP (docs/STORE-PROTOCOL.md)."""

from __future__ import annotations

import base64
import binascii
from typing import TypeVar

import msgspec

from marigoldchute.errors import (
    CompactedError,
    ConflictError,
    NotFoundError,
    PlatformError,
    ResultCode,
    UnknownOutcomeError,
)
from marigoldchute.objectstore.api import StoredObject, WatchEvent

_T = TypeVar("_T")
_NOT_RUN_STATUSES = (429, 503)


class Item(msgspec.Struct, frozen=True):
    """One object; ``value`` is base64, or null for a deleted object."""

    key: str
    value: str | None
    revision: int

    def to_object(self) -> StoredObject:
        """Return the item as an object; it must have a value."""
        if self.value is None:
            raise malformed_error(f"{self.key} has no value")
        return StoredObject(self.key, _decode_value(self.value), self.revision)

    def to_event(self) -> WatchEvent:
        """Return the item as a change."""
        value = None if self.value is None else _decode_value(self.value)
        return WatchEvent(self.key, value, self.revision)


class Items(msgspec.Struct, frozen=True):
    """Objects or changes, complete up to a revision of the store."""

    items: list[Item]
    revision: int


class Written(msgspec.Struct, frozen=True):
    """Revision that a write produced."""

    revision: int


def decode_response(body: bytes, cls: type[_T], method: str) -> _T:
    """Decode a response.

    Raises
    ------
    UnknownOutcomeError
        The response to a write is malformed or truncated: the outcome is unknown.
    PlatformError
        The response to a read is malformed or truncated.
    """
    try:
        return msgspec.json.decode(body, type=cls)
    except (msgspec.DecodeError, RecursionError) as exc:
        if method != "GET":
            raise UnknownOutcomeError(
                f"response of the store is malformed: {exc}"
            ) from exc
        raise malformed_error(str(exc)) from exc


def raise_for_status(method: str, path: str, status: int, content: bytes) -> None:
    """Raise the error for an HTTP status of 300 or higher."""
    if status < 300:
        return
    detail = content.decode(errors="replace")[:200]
    if status == 404:
        raise NotFoundError(f"{path} does not exist")
    if status == 409:
        raise ConflictError(f"{path} has changed: {detail}")
    if status == 410:
        raise CompactedError(
            f"{path} starts before the oldest entry of the store's log"
        )
    if status == 413:
        raise PlatformError(f"{path}: {detail}", ResultCode.STORE_VALUE_TOO_LARGE)
    if status == 429:
        raise PlatformError(
            "call exceeds the rate limit of the store", ResultCode.STORE_THROTTLED
        )
    if method != "GET" and status not in _NOT_RUN_STATUSES:
        raise UnknownOutcomeError(f"store returned {status} to a write: {detail}")
    raise PlatformError(f"store returned {status}: {detail}")


def _decode_value(value: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as exc:
        raise malformed_error(f"value is not base64: {exc}") from exc


def malformed_error(detail: str) -> PlatformError:
    """Return the error for a response that cannot be decoded."""
    return PlatformError(
        f"response of the store is malformed: {detail}",
        ResultCode.STORE_ANSWER_MALFORMED,
    )
