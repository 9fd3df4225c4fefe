"""Interface of a store of documents, each with a content and a status."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Document:
    """One document.

    Parameters
    ----------
    kind, name : str
        Kind and name of the document.
    revision : int
        Store-wide revision of its last change.
    content : Any
        Decoded content.
    status : Any
        Decoded status, None while there is none.
    deleted : bool
        Whether the document was deleted; set in changes only.
    error : str
        What of the document could not be decoded and is None here; usually empty.
    """

    kind: str
    name: str
    revision: int
    content: Any
    status: Any = None
    deleted: bool = False
    error: str = ""


@dataclasses.dataclass(frozen=True)
class DocumentPage:
    """Documents or changes, complete up to a revision of the store.

    Parameters
    ----------
    documents : tuple of Document
        In the order of the store.
    revision : int
        Revision from which a watch continues.
    transfer_s : float
        Time from the first byte of the response to its last in seconds.
    """

    documents: tuple[Document, ...]
    revision: int
    transfer_s: float = 0.0


class DocumentStore(Protocol):
    """Documents with revisions, conditional writes and watches."""

    @property
    def is_reachable(self) -> bool:
        """Whether recent calls got a response."""

    @property
    def min_latency_s(self) -> float:
        """Shortest time from a call to its response in seconds."""

    @property
    def calls(self) -> int:
        """Number of calls since the start."""

    @property
    def restorations(self) -> int:
        """Number of times that the store came back from an older copy."""

    @property
    def on_restored(self) -> list[Callable[[], None]]:
        """Listeners that are called when the store came back from an older copy."""

    async def list(
        self,
        kind: str,
        stale_allowed: bool = False,
        on_piece: Callable[[], None] | None = None,
    ) -> DocumentPage:
        """Return every document of a kind.

        Parameters
        ----------
        kind : str
            Kind to list.
        stale_allowed : bool
            Whether a list that is seconds old is acceptable; it is cheaper.
        on_piece : callable, optional
            Called with each piece of a response that arrives.
        """

    async def get(self, kind: str, name: str) -> Document:
        """Return one document or raise ``NotFoundError``."""

    async def changes(
        self,
        kind: str,
        after_revision: int,
        wait_ms: int,
        on_piece: Callable[[], None] | None = None,
    ) -> DocumentPage:
        """Wait for changes of a kind after a revision; see ``list``.

        Raises ``CompactedError`` when the store no longer holds all of them, and
        ``PlatformError`` when it is silent for the wait and the time limit of a call.
        """

    async def create(self, kind: str, name: str, content: Any) -> Document:
        """Create a document; raises ``ConflictError`` when it exists."""

    async def replace(
        self, kind: str, name: str, content: Any, expected_revision: int
    ) -> Document:
        """Replace a document's content if its revision is as expected."""

    async def write_status(
        self, kind: str, name: str, status: Any, expected_revision: int
    ) -> Document:
        """Replace a document's status if its revision is as expected.

        Raises ``ConflictError`` when the condition fails and ``UnknownOutcomeError``
        when the response was lost.
        """

    async def delete(self, kind: str, name: str) -> None:
        """Delete a document; succeeds also when it does not exist."""
