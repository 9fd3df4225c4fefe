"""Reference to the bundle that a node has in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Bundle

SwapListener = Callable[["Bundle"], None]


class InForce:
    """Holds the bundle in force, which is only replaced by a higher version."""

    def __init__(self) -> None:
        self._bundle: Bundle | None = None
        self._changed = trio.Event()
        self._listeners: list[SwapListener] = []

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force, or None before the first one."""
        return self._bundle

    @property
    def version(self) -> int:
        """Version in force, 0 before the first one."""
        return self._bundle.version if self._bundle is not None else 0

    def add_swap_listener(self, listener: SwapListener) -> None:
        """Register a listener that is called with each bundle that comes into force."""
        self._listeners.append(listener)

    def swap(self, bundle: Bundle) -> bool:
        """Bring a verified, validated bundle into force.

        Returns
        -------
        bool
            False when the version is not higher than the one in force.
        """
        if bundle.version <= self.version:
            return False
        self._bundle = bundle
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        for listener in self._listeners:
            listener(bundle)
        return True

    async def wait_for_version(self, version: int) -> None:
        """Wait until this version or a higher one is in force."""
        while self.version < version:
            await self._changed.wait()
