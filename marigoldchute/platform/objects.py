"""Objects of the platform's store, decoded so that a malformed one hides no other."""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

import msgspec

from marigoldchute.errors import PlatformError
from marigoldchute.objectstore.messages import decode_response, malformed_error
from marigoldchute.util.json_parts import split_array, split_object

MAX_REVISION = 2**63 - 1
MAX_ERROR_LENGTH = 200
READ_METHOD = "GET"

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
# The store's revision begins above 0.
Position = Annotated[int, msgspec.Meta(ge=1, le=MAX_REVISION)]

_T = TypeVar("_T")


class Metadata(msgspec.Struct, frozen=True):
    """Name and revision of an object."""

    name: str
    revision: Revision = 0
    # A deleted object is kept until this list is empty; this project sets none.
    finalizers: list[str] = []
    deleting: bool = False


class Object(msgspec.Struct, frozen=True):
    """One object."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class MalformedObject(Object, frozen=True):
    """Object of which a part could not be decoded and is None; never on the wire."""

    error: str = ""


class ObjectPage(msgspec.Struct, frozen=True):
    """Objects of a kind, up to the store's revision ``at``."""

    items: list[Object]
    at: Position
    more: Any = False


class Event(msgspec.Struct, frozen=True):
    """Change of one object."""

    object: Object
    deleted: bool = False


class EventPage(msgspec.Struct, frozen=True):
    """Changes of a kind, up to the store's revision ``at``."""

    events: list[Event]
    at: Position


def decode_page(body: bytes, method: str) -> ObjectPage:
    """Decode a list, which may hold ``MalformedObject`` items.

    Raises
    ------
    PlatformError
        The list itself is malformed.
    """
    try:
        return decode_response(body, ObjectPage, method)
    except PlatformError:
        parts = _split_response(body)
    items = [_decode_parts(text) for text in _split_list(parts.get("items", b"[]"))]
    at = decode_response(parts.get("at", b""), Position, method)
    more = decode_response(parts.get("more", b"false"), Any, method)
    return ObjectPage([item for item in items if item.metadata.name], at, more)


def decode_events(body: bytes, method: str) -> EventPage:
    """Decode changes, which may be of a ``MalformedObject``.

    Raises
    ------
    PlatformError
        The list of changes itself is malformed.
    """
    try:
        return decode_response(body, EventPage, method)
    except PlatformError:
        parts = _split_response(body)
    at = decode_response(parts.get("at", b""), Position, method)
    events = [_decode_event(text) for text in _split_list(parts.get("events", b"[]"))]
    return EventPage([event for event in events if event.object.metadata.name], at)


def decode_object(body: bytes, method: str) -> Object:
    """Decode one object, a ``MalformedObject`` if a part cannot be decoded.

    Raises
    ------
    PlatformError
        Not even the name of the object can be decoded.
    """
    try:
        return decode_response(body, Object, method)
    except PlatformError as exc:
        item = _decode_parts(body)
        if not item.metadata.name:
            raise exc
        return item


def _decode_event(text: bytes) -> Event:
    try:
        members = split_object(text)
    except ValueError:
        members = {}
    deleted, _ = _decode_part(members.get("deleted", b"false"), bool, False)
    return Event(_decode_parts(members.get("object", b"{}")), deleted)


def _decode_parts(text: bytes) -> MalformedObject:
    """Decode an object part by part; the parts that cannot be decoded are None."""
    try:
        members = split_object(text)
        metadata_members = split_object(members.get("metadata", b"{}"))
    except ValueError as exc:
        return MalformedObject(Metadata(""), error=str(exc))
    name, name_error = _decode_part(metadata_members.get("name", b'""'), str, "")
    revision, revision_error = _decode_part(
        metadata_members.get("revision", b"0"), Revision, 0
    )
    deleting, _ = _decode_part(metadata_members.get("deleting", b"false"), bool, False)
    spec, spec_error = _decode_part(members.get("spec", b"null"), Any, None)
    status, status_error = _decode_part(members.get("status", b"null"), Any, None)
    errors = {
        "name": name_error,
        "revision": revision_error,
        "spec": spec_error,
        "status": status_error,
    }
    error = "; ".join(f"{part}: {text}" for part, text in errors.items() if text)
    metadata = Metadata(name, revision, deleting=deleting)
    return MalformedObject(metadata, spec, status, error[:MAX_ERROR_LENGTH])


def _decode_part(text: bytes, cls: Any, default: _T) -> tuple[_T, str]:
    """Return a decoded value, or the default and why it cannot be decoded."""
    try:
        return decode_response(text, cls, READ_METHOD), ""
    except PlatformError as exc:
        return default, exc.message


def _split_response(body: bytes) -> dict[str, bytes]:
    try:
        return split_object(body)
    except ValueError as exc:
        raise malformed_error(str(exc)) from exc


def _split_list(text: bytes) -> list[bytes]:
    try:
        return split_array(text)
    except ValueError as exc:
        raise malformed_error(str(exc)) from exc
