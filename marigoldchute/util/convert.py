"""Conversion of decoded JSON into dataclasses, with errors that name the key path."""

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
_PATH_SUFFIX = re.compile(r" - at `(?P<path>[^`]*)`$")
_PATH_SEGMENT = re.compile(r"\.(?P<key>[A-Za-z0-9_]+)|\[(?P<index>\d+|\.\.\.)\]")


class ConversionError(ValueError):
    """A value is not allowed; the message names key path, found and expected value."""


def convert(value: Any, cls: type[T]) -> T:
    """Validate a decoded value against a dataclass and return an instance.

    Parameters
    ----------
    value : Any
        Decoded JSON.
    cls : type
        Dataclass whose fields and ``msgspec.Meta`` constraints define the valid values.

    Raises
    ------
    ConversionError
        A key is unknown or missing, or a value is not allowed.
    """
    for path, key, known in find_unknown_keys(value, cls, "$"):
        raise ConversionError(_format_unknown_key(path, key, known))
    try:
        return msgspec.convert(value, cls)
    except msgspec.ValidationError as exc:
        raise ConversionError(_format_validation_error(str(exc), value)) from exc


def find_unknown_keys(
    value: Any, cls: Any, path: str
) -> Iterator[tuple[str, str, list[str]]]:
    """Yield path, key and allowed keys for each unknown key.

    Parameters
    ----------
    value : Any
        Decoded JSON.
    cls : Any
        Expected type: a dataclass, or a tuple or union that contains one.
    path : str
        Key path of the value.
    """
    cls = _unwrap_type(cls)
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


def _unwrap_type(cls: Any) -> Any:
    """Return the type inside ``Annotated`` or an optional union."""
    while typing.get_origin(cls) is typing.Annotated:
        cls = typing.get_args(cls)[0]
    classes = [a for a in typing.get_args(cls) if dataclasses.is_dataclass(a)]
    if classes and typing.get_origin(cls) is not tuple:
        return classes[0]
    return cls


def _format_unknown_key(path: str, key: str, known: list[str]) -> str:
    similar = difflib.get_close_matches(key, known, n=1)
    hint = (
        f"did you mean {similar[0]!r}?"
        if similar
        else f"allowed are {', '.join(known)}"
    )
    return f"{path}: unknown key {key!r}; {hint}"


def _format_validation_error(message: str, value: Any) -> str:
    path_match = _PATH_SUFFIX.search(message)
    path = path_match["path"] if path_match else "$"
    text = _PATH_SUFFIX.sub("", message).replace("`", "")
    text = text[0].lower() + text[1:]
    if text.startswith("object missing required field"):
        return f"{path}: {text.replace('object missing', 'missing', 1)}"
    value_found = _value_at(value, path)
    if value_found is _NOT_FOUND or ", got " in text:
        return f"{path}: {text}"
    return f"{path}: {text}, found {_format_value(value_found, path)}"


_NOT_FOUND = object()


def _value_at(value: Any, path: str) -> Any:
    """Return the value at a key path, or ``_NOT_FOUND`` if the path is not exact."""
    for segment in _PATH_SEGMENT.finditer(path):
        key, index = segment["key"], segment["index"]
        try:
            if key is not None:
                value = value[key]
            elif index == "...":
                return _NOT_FOUND
            else:
                value = value[int(index)]
        except (KeyError, IndexError, TypeError):
            return _NOT_FOUND
    return value


def _format_value(value: Any, path: str) -> str:
    if path.rpartition(".")[2] in SECRET_KEYS:
        return "a redacted value"
    text = msgspec.json.encode(value).decode()
    if len(text) > MAX_SHOWN_LENGTH:
        return text[:MAX_SHOWN_LENGTH] + "..."
    return text
