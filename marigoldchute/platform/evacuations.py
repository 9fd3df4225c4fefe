"""Decoding of the platform's evacuation objects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.errors import EvacuationError
from marigoldchute.hosted.evacuation import MAX_NAME_LENGTH

if TYPE_CHECKING:
    from collections.abc import Collection

    from marigoldchute.objectstore.documents import Document


class PlatformEvacuationApi:
    """``EvacuationApi`` for the platform's evacuations.

    Parameters
    ----------
    data_centres : collection of str
        Data centres of the mesh; empty if they are not known, and then each name is
        accepted.
    """

    kind = "evacuations"

    def __init__(self, data_centres: Collection[str]) -> None:
        self._data_centres = frozenset(data_centres)

    def decode(self, document: Document) -> str:
        """Return the data centre of a document, whose content may also be absent."""
        if document.content is None and document.error:
            raise EvacuationError(f"evacuation is malformed: {document.error}")
        if document.content is not None and not isinstance(document.content, dict):
            raise EvacuationError("evacuation is malformed: its spec is no object")
        name = document.name
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise EvacuationError("name of the data centre has a wrong length")
        if self._data_centres and name not in self._data_centres:
            raise EvacuationError(f"data centre {name!r} is unknown")
        return name
