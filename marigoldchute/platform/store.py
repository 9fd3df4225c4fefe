"""Implementation of ``DocumentStore`` for the platform's store."""

from __future__ import annotations

import functools
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec

from marigoldchute.errors import (
    CompactedError,
    ConflictError,
    NotFoundError,
    PlatformError,
    ResultCode,
    UnknownOutcomeError,
)
from marigoldchute.objectstore.caller import StoreCaller
from marigoldchute.objectstore.documents import Document, DocumentPage
from marigoldchute.objectstore.eras import (
    MAX_ERA,
    EraTracker,
    era_of,
    make_position,
)
from marigoldchute.objectstore.messages import decode_response, malformed_error
from marigoldchute.platform.objects import (
    READ_METHOD,
    MalformedObject,
    Object,
    decode_events,
    decode_object,
    decode_page,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from marigoldchute.events import EventLog
    from marigoldchute.objectstore.settings import StoreSettings

JSON_CONTENT_TYPE = "application/json"
MAX_LISTED_DOCUMENTS = 100_000
# Increases by one when the store comes back from an older copy.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 7

_decode_written = functools.partial(decode_response, cls=Object)


class PlatformDocumentStore:
    """``DocumentStore`` that uses the platform's HTTP protocol.

    Revisions are positions to the rest of the code, see ``objectstore.eras``. A watch
    from, or a condition on, a position of another era than the newest one known is not
    sent: its bare revision belongs to another change in this era.

    Parameters
    ----------
    settings : StoreSettings
        Address, call budget and timeout.
    rng : random.Random
        Source of back-off jitter.
    local_address : str
        IP address from which connections are opened.
    log : EventLog, optional
        Event log of the process, for large and slow responses and for new eras.

    Attributes
    ----------
    on_restored : list of callable
        Called when the store has come back from an older copy.
    """

    def __init__(
        self,
        settings: StoreSettings,
        rng: random.Random,
        local_address: str,
        log: EventLog | None = None,
    ) -> None:
        self._caller = StoreCaller(
            settings, rng, local_address, log, self._record_response
        )
        self._log = log
        self._eras = EraTracker()
        self._response_era = 0
        self.on_restored: list[Callable[[], None]] = []

    @property
    def is_reachable(self) -> bool:
        """Whether recent calls got a response."""
        return self._caller.is_reachable

    @property
    def min_latency_s(self) -> float:
        """Shortest response time of a call in seconds."""
        return self._caller.min_latency_s

    @property
    def calls(self) -> int:
        """Number of calls since the start."""
        return self._caller.calls

    @property
    def era(self) -> int:
        """Newest era of which a response was received, 0 before the first one."""
        return self._eras.known or 0

    @property
    def restorations(self) -> int:
        """Number of times that the store came back from an older copy."""
        return self._eras.restorations

    def _record_response(self, headers: Sequence[tuple[bytes, bytes]]) -> None:
        before = self.era
        self._response_era, is_restored = self._eras.record(_parse_era(headers))
        if not is_restored:
            return
        if self._log is not None:
            self._log.emit(
                "store",
                "restored",
                f"The store came back from an older copy, in era {self.era}.",
                era=self.era,
                era_before=before,
            )
        for listener in self.on_restored:
            listener()

    def _decode_read(
        self, body: bytes, method: str, decode: Callable[..., Any]
    ) -> tuple[int, Any]:
        """Return the era of a response and its decoded body."""
        if self._response_era < self.era:
            raise PlatformError("response is of an older era of the store")
        return self._response_era, decode(body, method=method)

    def _decode_watch(self, body: bytes, method: str, era: int) -> tuple[int, Any]:
        if self._response_era != era:
            raise CompactedError("the store came back from an older copy")
        return era, decode_events(body, method)

    def _decode_write(
        self,
        body: bytes,
        method: str,
        decode: Callable[..., Any],
        era: int | None = None,
    ) -> tuple[int, Any]:
        """Decode the response to a write, which is conditional if it has an era."""
        if self._response_era != (self.era if era is None else era):
            raise UnknownOutcomeError("the store came back from an older copy")
        if self._response_era < self.era:
            raise UnknownOutcomeError("the write was made in an older era of the store")
        return self._response_era, decode(body, method=method)

    def _expected_revision(self, position: int) -> int:
        revision = self._eras.find_revision(position)
        if revision is None:
            raise ConflictError("the document was read in another era of the store")
        return revision

    async def list(
        self,
        kind: str,
        stale_allowed: bool = False,
        on_piece: Callable[[], None] | None = None,
    ) -> DocumentPage:
        """Return all documents of a kind."""
        documents: dict[str, Document] = {}
        query = {"allow_stale": "1"} if stale_allowed else {}
        revision = 0
        transfer_s = 0.0
        decode = functools.partial(self._decode_read, decode=decode_page)
        while True:
            (era, page), page_s = await self._caller.call_timed(
                decode, "GET", _path(kind, **query), on_piece=on_piece
            )
            transfer_s += page_s
            # Changes between two pages are found by a watch from the first one.
            revision = revision or make_position(era, page.at)
            if era_of(revision) != era_of(make_position(era, page.at)):
                raise PlatformError("the store came back from an older copy")
            count = len(documents)
            for item in page.items:
                documents[item.metadata.name] = _to_document(kind, item, era)
            if not page.more or not page.items:
                return DocumentPage(tuple(documents.values()), revision, transfer_s)
            if len(documents) == count or len(documents) > MAX_LISTED_DOCUMENTS:
                raise PlatformError(
                    f"list of {kind!r} does not end", ResultCode.STORE_ANSWER_MALFORMED
                )
            query["after"] = page.items[-1].metadata.name

    async def get(self, kind: str, name: str) -> Document:
        """Return a document; raise ``NotFoundError`` when it does not exist."""
        decode_item = functools.partial(_decode_named, decode=decode_object, name=name)
        decode = functools.partial(self._decode_read, decode=decode_item)
        era, item = await self._caller.call(decode, "GET", _path(kind, name))
        return _to_document(kind, item, era)

    async def changes(
        self,
        kind: str,
        after_revision: int,
        wait_ms: int,
        on_piece: Callable[[], None] | None = None,
    ) -> DocumentPage:
        """Wait for and return the changes of a kind after a revision."""
        bare_revision = self._eras.find_revision(after_revision)
        if bare_revision is None:
            raise CompactedError("the position is of another era of the store")
        path = _path(kind, watch=str(bare_revision), wait_ms=str(wait_ms))
        decode = functools.partial(self._decode_watch, era=self.era)
        (era, page), transfer_s = await self._caller.call_timed(
            decode, "GET", path, wait_ms=wait_ms, on_piece=on_piece
        )
        documents = tuple(
            _to_document(kind, event.object, era, event.deleted)
            for event in page.events
        )
        return DocumentPage(documents, make_position(era, page.at), transfer_s)

    async def create(self, kind: str, name: str, content: Any) -> Document:
        """Create a document; raise ``ConflictError`` when it exists."""
        body = {"metadata": {"name": name}, "spec": content}
        return await self._write(kind, name, "POST", _path(kind), body)

    async def replace(
        self, kind: str, name: str, content: Any, expected_revision: int
    ) -> Document:
        """Replace a document's content if its revision is the expected one."""
        revision = self._expected_revision(expected_revision)
        body = {"metadata": {"name": name, "revision": revision}, "spec": content}
        path = _path(kind, name)
        return await self._write(kind, name, "PUT", path, body, self.era)

    async def write_status(
        self, kind: str, name: str, status: Any, expected_revision: int
    ) -> Document:
        """Replace a document's status if its revision is the expected one."""
        revision = self._expected_revision(expected_revision)
        body = {"metadata": {"name": name, "revision": revision}, "status": status}
        path = _path(kind, name) + "/status"
        return await self._write(kind, name, "PUT", path, body, self.era)

    async def delete(self, kind: str, name: str) -> None:
        """Delete a document if it exists."""
        decode = functools.partial(self._decode_write, decode=_ignore_body)
        try:
            await self._caller.call(decode, "DELETE", _path(kind, name), b"")
        except NotFoundError:
            return

    async def _write(
        self,
        kind: str,
        name: str,
        method: str,
        path: str,
        body: Any,
        era: int | None = None,
    ) -> Document:
        data = msgspec.json.encode(body)
        decode_item = functools.partial(
            _decode_named, decode=_decode_written, name=name
        )
        decode = functools.partial(self._decode_write, decode=decode_item, era=era)
        written_era, written = await self._caller.call(
            decode, method, path, data, content_type=JSON_CONTENT_TYPE
        )
        return _to_document(kind, written, written_era)


def _parse_era(headers: Sequence[tuple[bytes, bytes]]) -> int | None:
    """Return the era that a response states; None if it is missing or malformed."""
    values = {value.strip() for name, value in headers if name.lower() == ERA_HEADER}
    if len(values) != 1:
        return None
    (value,) = values
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return None
    era = int(value)
    return era if era <= MAX_ERA else None


def _decode_named(
    body: bytes, method: str, decode: Callable[..., Object], name: str
) -> Object:
    """Decode an object; one of another name is a response to another call.

    Raises
    ------
    UnknownOutcomeError
        The response to a write is malformed or has another name.
    PlatformError
        The response to a read is malformed or has another name.
    """
    item = decode(body, method=method)
    if item.metadata.name == name:
        return item
    if method != READ_METHOD:
        raise UnknownOutcomeError("response of the store has another name")
    raise malformed_error("another name")


def _path(kind: str, name: str = "", **query: str) -> str:
    path = f"/api/objects/{urllib.parse.quote(kind, safe='')}"
    if name:
        path += f"/{urllib.parse.quote(name, safe='')}"
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def _to_document(kind: str, item: Object, era: int, deleted: bool = False) -> Document:
    metadata = item.metadata
    return Document(
        kind,
        metadata.name,
        make_position(era, metadata.revision),
        item.spec,
        item.status,
        deleted or metadata.deleting,
        item.error if isinstance(item, MalformedObject) else "",
    )


def _ignore_body(body: bytes, method: str) -> None:
    """Ignore the response body of a deletion; only its status matters."""
