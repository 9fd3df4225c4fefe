"""Topic of the store that carries bundles."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from marigoldchute.errors import BundleError, MoveError
from marigoldchute.hosted.catalog import make_snapshot

if TYPE_CHECKING:
    from marigoldchute.bundle.model import BundleContent
    from marigoldchute.events import EventLog
    from marigoldchute.hosted.catalog import Catalog
    from marigoldchute.hosted.rejections import Rejections
    from marigoldchute.objectstore.documents import Document, DocumentPage


class BundleApi(Protocol):
    """Access to the bundle in the store."""

    @property
    def kind(self) -> str:
        """Kind of the bundle's document."""

    @property
    def name(self) -> str:
        """Name of the bundle's document."""

    def decode(self, document: Document) -> tuple[int, BundleContent]:
        """Return the version and the content of a document.

        Raises
        ------
        BundleError
            The document does not hold a valid bundle.
        """


class BundleTopic:
    """Applies bundles from the store to the catalog.

    Parameters
    ----------
    api : BundleApi
        Bundle in the store.
    catalog : Catalog
        Catalog of this node.
    rejections : Rejections
        Documents that were rejected.
    log : EventLog
        Event log of the process.
    """

    def __init__(
        self,
        api: BundleApi,
        catalog: Catalog,
        rejections: Rejections,
        log: EventLog,
    ) -> None:
        self.kind = api.kind
        self._rejections = rejections
        self._api = api
        self._catalog = catalog
        self._log = log

    def applied_revision(self) -> int:
        """Return the revision of the bundle in force."""
        return self._catalog.revision

    def apply_page(self, page: DocumentPage, is_full_list: bool) -> None:
        """Apply the newest valid bundle of a page."""
        documents = [
            document
            for document in page.documents
            if document.name == self._api.name and not document.deleted
        ]
        for document in sorted(documents, key=lambda item: -item.revision):
            if self._apply_document(document):
                return

    def _apply_document(self, document: Document) -> bool:
        try:
            version, content = self._api.decode(document)
            snapshot = make_snapshot(document.revision, version, content)
            self._catalog.apply(snapshot, "the store")
        except (BundleError, MoveError) as exc:
            if not self._rejections.is_new(document):
                return False
            self._log.emit(
                "catalog",
                "refused",
                f"The bundle of revision {document.revision} was rejected: "
                f"{exc.message}.",
                revision=document.revision,
                code=exc.code.value,
            )
            return False
        return True
