"""JSON with comments."""

from __future__ import annotations

from typing import Any

import json5

from marigoldchute.errors import ResultCode, SettingsError


def loads(text: str, source: str) -> Any:
    """Parse JSON with comments.

    Parameters
    ----------
    text : str
        Document.
    source : str
        File name for the error message.

    Returns
    -------
    Any
        Decoded value.

    Raises
    ------
    SettingsError
        The text is not JSON with comments; names the file and line.
    """
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        raise SettingsError(f"{source}: {exc}", ResultCode.SETTINGS_UNREADABLE) from exc


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
    return loads(text, path)
