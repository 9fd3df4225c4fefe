"""Conversion of decoded JSON into dataclasses with messages that name the place."""

from __future__ import annotations

import dataclasses
import difflib
import re
import typing
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")
MAX_SHOWN_LENGTH = 60
SECRET_KEYS = frozenset(("peer_secret", "admin_token", "private_key"))
_PLACE = re.compile(r" - at `(?P<path>[^`]*)`$")
_PATH_PART = re.compile(r"\.(?P<key>[A-Za-z0-9_]+)|\[(?P<index>\d+|\.\.\.)\]")


class ConversionError(ValueError):
    """A value that is not allowed; the text names key path, finding and allowance."""


def convert(value: Any, cls: type[T]) -> T:
    """Check a decoded value against a dataclass and return an instance.

    Parameters
    ----------
    value : Any
        Decoded JSON.
    cls : type
        Dataclass whose fields and ``msgspec.Meta`` constraints say what is allowed.

    Raises
    ------
    ConversionError
        A key is unknown or missing, or a value is not allowed.
    """
    for path, key, known in find_unknown_keys(value, cls, "$"):
        raise ConversionError(_unknown_key(path, key, known))
    try:
        return msgspec.convert(value, cls)
    except msgspec.ValidationError as exc:
        raise ConversionError(_describe(str(exc), value)) from exc


def find_unknown_keys(
    value: Any, cls: Any, path: str
) -> Iterator[tuple[str, str, list[str]]]:
    """Yield the path, the key and the known names for each unknown key.

    Parameters
    ----------
    value : Any
        Decoded JSON.
    cls : Any
        Type that describes it: a dataclass, or a tuple or union with one.
    path : str
        Key path of the value.
    """
    cls = _strip(cls)
    if isinstance(value, dict) and dataclasses.is_dataclass(cls):
        hints = typing.get_type_hints(cls, include_extras=True)
        for key, item in value.items():
            if key not in hints:
                yield path, key, sorted(hints)
            else:
                yield from find_unknown_keys(item, hints[key], f"{path}.{key}")
    elif isinstance(value, list) and typing.get_origin(cls) is tuple:
        for index, item in enumerate(value):
            element = typing.get_args(cls)[0]
            yield from find_unknown_keys(item, element, f"{path}[{index}]")


def _strip(cls: Any) -> Any:
    """Return the type inside ``Annotated`` and optional unions."""
    while typing.get_origin(cls) is typing.Annotated:
        cls = typing.get_args(cls)[0]
    classes = [a for a in typing.get_args(cls) if dataclasses.is_dataclass(a)]
    if classes and typing.get_origin(cls) is not tuple:
        return classes[0]
    return cls


def _unknown_key(path: str, key: str, known: list[str]) -> str:
    near = difflib.get_close_matches(key, known, n=1)
    hint = f"did you mean {near[0]!r}?" if near else f"allowed are {', '.join(known)}"
    return f"{path}: unknown key {key!r}; {hint}"


def _describe(message: str, value: Any) -> str:
    place = _PLACE.search(message)
    path = place["path"] if place else "$"
    text = _PLACE.sub("", message).replace("`", "")
    text = text[0].lower() + text[1:]
    if text.startswith("object missing required field"):
        return f"{path}: {text.replace('object missing', 'missing', 1)}"
    found = _find(value, path)
    if found is _NOTHING or ", got " in text:
        return f"{path}: {text}"
    return f"{path}: {text}, found {_show(found, path)}"


_NOTHING = object()


def _find(value: Any, path: str) -> Any:
    """Return the value at a key path, or ``_NOTHING`` when the path is not exact."""
    for part in _PATH_PART.finditer(path):
        key, index = part["key"], part["index"]
        try:
            if key is not None:
                value = value[key]
            elif index == "...":
                return _NOTHING
            else:
                value = value[int(index)]
        except (KeyError, IndexError, TypeError):
            return _NOTHING
    return value


def _show(value: Any, path: str) -> str:
    if path.rpartition(".")[2] in SECRET_KEYS:
        return "a value that is not shown"
    text = msgspec.json.encode(value).decode()
    if len(text) > MAX_SHOWN_LENGTH:
        return text[:MAX_SHOWN_LENGTH] + "..."
    return text
