"""Settings file that may change at any time, with or without a signal."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from marigoldchute.errors import SettingsError
from marigoldchute.platform.settings import read_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.settings import HostedSettings


class SettingsFile:
    """Applies a settings file whenever it has changed.

    Parameters
    ----------
    path : str
        Path of the file.
    apply : callable
        Called with the settings that were read.
    log : EventLog
        Event log of the process.
    """

    def __init__(
        self, path: str, apply: Callable[[HostedSettings], None], log: EventLog
    ) -> None:
        self._path = path
        self._apply = apply
        self._log = log
        self._state: tuple[int, int, int] | None = None

    def refresh(self) -> None:
        """Read the file if it was replaced or written since it was read last.

        This is one system call if it was not, so that it can precede each use of a
        setting that has to be current.
        """
        if self._read_state() != self._state:
            self.read()

    def read(self) -> None:
        """Read the file; one that is invalid is logged and changes nothing."""
        self._state = self._read_state()
        try:
            cfg = read_settings(self._path)
        except SettingsError as exc:
            self._log.emit(
                "node", "reload_failed", f"{exc.message}.", code=exc.code.value
            )
            return
        self._apply(cfg)

    def _read_state(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size
