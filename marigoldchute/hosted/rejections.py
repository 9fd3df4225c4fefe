"""Memory of rejected documents, so that each is logged once per revision."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.objectstore.documents import Document

MAX_REMEMBERED = 1_000


class Rejections:
    """Revisions of the documents that were rejected, by kind and name.

    Attributes
    ----------
    count : int
        Number of rejections since the start, each revision counted once.
    """

    def __init__(self) -> None:
        self._revisions: dict[tuple[str, str], int] = {}
        self.count = 0

    def is_new(self, document: Document) -> bool:
        """Return whether this revision was not rejected before, and remember it."""
        key = (document.kind, document.name)
        if self._revisions.get(key) == document.revision:
            return False
        self._revisions.pop(key, None)
        self._revisions[key] = document.revision
        if len(self._revisions) > MAX_REMEMBERED:
            del self._revisions[next(iter(self._revisions))]
        self.count += 1
        return True
