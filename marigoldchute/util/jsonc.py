"""Parser for JSON with comments."""

from __future__ import annotations

import json
from typing import Any

import json5

from marigoldchute.errors import ResultCode, SettingsError


def loads(text: str, source: str) -> Any:
    """Parse JSON with comments.

    Parameters
    ----------
    text : str
        Document to parse.
    source : str
        File name for the error message.

    Returns
    -------
    Any
        Decoded value.

    Raises
    ------
    SettingsError
        The text is not JSON with comments; the message names file and line.
    """
    try:
        return json.loads(text, object_pairs_hook=_reject_duplicate_keys)
    except json.JSONDecodeError:
        pass  # The slower json5 parser accepts comments and describes syntax errors.
    except _DuplicateKeyError as exc:
        raise SettingsError(f"{source}: {exc}", ResultCode.SETTINGS_UNREADABLE) from exc
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        detail = str(exc).replace("<string>:", "line ")
        raise SettingsError(
            f"{source}: {detail}", ResultCode.SETTINGS_UNREADABLE
        ) from exc


class _DuplicateKeyError(Exception):
    pass


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) == len(pairs):
        return value
    keys = [key for key, _ in pairs]
    duplicate = next(key for key in keys if keys.count(key) > 1)
    raise _DuplicateKeyError(f"duplicate key {duplicate!r} in an object")


def load_file(path: str) -> Any:
    """Read and parse a file of JSON with comments.

    Parameters
    ----------
    path : str
        File name.

    Returns
    -------
    Any
        Decoded value.

    Raises
    ------
    SettingsError
        The file cannot be read or parsed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as exc:
        raise SettingsError(
            f"{path}: {exc.strerror}", ResultCode.SETTINGS_UNREADABLE
        ) from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(
            f"{path}: not UTF-8 at byte {exc.start}", ResultCode.SETTINGS_UNREADABLE
        ) from exc
    return loads(text, path)
