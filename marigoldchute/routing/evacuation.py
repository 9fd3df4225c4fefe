"""Data centres whose backend servers get no requests, as the request path sees them."""

from __future__ import annotations

from typing import Protocol


class Evacuations(Protocol):
    """Source of the evacuated data centres."""

    @property
    def is_known(self) -> bool:
        """Whether the evacuations are known, so that requests may be sent."""

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the backend servers of a data centre get no requests."""


class NoEvacuations:
    """``Evacuations`` of a mesh in which no data centre can be evacuated."""

    is_known = True

    def is_evacuated(self, data_centre: str) -> bool:
        """Return False."""
        return False


NO_EVACUATIONS = NoEvacuations()
