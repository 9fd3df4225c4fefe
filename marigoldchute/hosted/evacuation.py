"""Evacuations of data centres: their records and the topic of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from marigoldchute.errors import EvacuationError
from marigoldchute.objectstore.eras import ABSENCE_GRACE_S, era_of
from marigoldchute.overlay.records import Record, RecordKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.rejections import Rejections
    from marigoldchute.objectstore.documents import Document, DocumentPage
    from marigoldchute.overlay.records import RecordTable

# A node with a bundle that neither a peer nor the store has told of the evacuations
# serves after this time; with a path to the store it learns them sooner.
MAX_UNKNOWN_S = 4.0
MAX_NAME_LENGTH = 256
LIST_KEY = "all"  # Key of the only record of the kind ``EVACUATION_LIST``.


class _EvacuationBody(msgspec.Struct, frozen=True, array_like=True):
    is_active: bool


_EVACUATION_BODY = msgspec.msgpack.Decoder(_EvacuationBody)
_LIST_BODY = msgspec.msgpack.Decoder(list[str])


def decode_evacuation(record: Record) -> bool:
    """Return whether the data centre that a record names is evacuated."""
    return _EVACUATION_BODY.decode(record.body).is_active


def decode_list(record: Record) -> list[str]:
    """Return the data centres that a reader found evacuated."""
    return _LIST_BODY.decode(record.body)


def accepts_absence(
    evacuated_at: int, listed_at: int, era_seen_at: float, now: float
) -> bool:
    """Return whether an evacuation ends because the store no longer lists it.

    After a restoration of the store it does not end for ``ABSENCE_GRACE_S``. Keeping it
    for too long costs capacity; ending it too early sends requests where none may
    arrive.

    Parameters
    ----------
    evacuated_at : int
        Position of the store at which the evacuation was written.
    listed_at : int
        Position of the list without it.
    era_seen_at : float
        Monotonic time at which this node first read the era of the list.
    now : float
        Monotonic time in seconds.
    """
    if era_of(listed_at) <= era_of(evacuated_at):
        return True
    return now - era_seen_at >= ABSENCE_GRACE_S


class EvacuationApi(Protocol):
    """Access to the evacuations in the store."""

    @property
    def kind(self) -> str:
        """Kind of the documents."""

    def decode(self, document: Document) -> str:
        """Return the data centre that a document evacuates.

        Raises
        ------
        EvacuationError
            The document is not a valid evacuation.
        """


class EvacuationBook:
    """Replicated evacuations; implements ``routing.evacuation.Evacuations``.

    Each data centre that was evacuated has one record, ranked by the position of the
    store at which it was evacuated or found not to be. A further record says that a
    reader has read the evacuations and which it found: a node that has it knows them
    all, also when the records of single data centres arrive later.

    Parameters
    ----------
    table : RecordTable
        Replicated records.
    log : EventLog
        Event log of the process.
    is_enabled : bool
        Whether data centres can be evacuated in this mesh.

    Attributes
    ----------
    on_change : list of callable
        Called when the set of evacuated data centres changes or is first known.
    """

    def __init__(self, table: RecordTable, log: EventLog, is_enabled: bool) -> None:
        self._table = table
        self._log = log
        self._is_known = not is_enabled
        self._awaited_since: float | None = None
        self._evacuated: frozenset[str] = frozenset()
        self.on_change: list[Callable[[], None]] = []
        table.subscribe(RecordKind.EVACUATION, self._handle_record)
        table.subscribe(RecordKind.EVACUATION_LIST, self._handle_record)

    @property
    def evacuated(self) -> frozenset[str]:
        """Names of the evacuated data centres."""
        return self._evacuated

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the backend servers of a data centre get no requests."""
        return data_centre in self._evacuated

    @property
    def is_known(self) -> bool:
        """Whether the evacuations are known, or are overdue."""
        return self._is_known

    def check_overdue(self, now: float) -> None:
        """Serve without the evacuations once they are overdue.

        Parameters
        ----------
        now : float
            Monotonic time in seconds; the first call begins the wait.
        """
        if self._is_known:
            return
        if self._awaited_since is None:
            self._awaited_since = now
        if now - self._awaited_since < MAX_UNKNOWN_S:
            return
        self._is_known = True
        self._log.emit(
            "evacuation",
            "unknown",
            "Neither peers nor the store told the evacuations in "
            f"{MAX_UNKNOWN_S:g} s; requests are served.",
        )
        self._notify()

    def position(self, data_centre: str) -> int | None:
        """Return the position at which a data centre was evacuated, None if it is not.

        It is 0 for one that only the list names.
        """
        if data_centre not in self._evacuated:
            return None
        record = self._table.get(RecordKind.EVACUATION, data_centre)
        return record.rank[0] if record is not None else 0

    def publish(self, data_centre: str, position: int, is_active: bool) -> bool:
        """Publish an evacuation or its end; return whether it is the latest state."""
        body = msgspec.msgpack.encode(_EvacuationBody(is_active))
        rank = (position, int(is_active))
        return self._table.apply(Record(RecordKind.EVACUATION, data_centre, rank, body))

    def publish_list(self, position: int) -> None:
        """Publish that the evacuations were read, if the list is not up to date."""
        names = sorted(self._evacuated)
        stored = self._table.get(RecordKind.EVACUATION_LIST, LIST_KEY)
        if stored is not None and sorted(decode_list(stored)) == names:
            return
        body = msgspec.msgpack.encode(names)
        self._table.apply(
            Record(RecordKind.EVACUATION_LIST, LIST_KEY, (position, 0), body)
        )

    def _handle_record(self, record: Record) -> None:
        was_known = self._is_known
        if record.kind == RecordKind.EVACUATION_LIST:
            self._is_known = True
        evacuated = self._compute_evacuated()
        if evacuated == self._evacuated and was_known == self._is_known:
            return
        for name in sorted(evacuated - self._evacuated):
            self._log_change("started", name, "gets no requests", record)
        for name in sorted(self._evacuated - evacuated):
            self._log_change("ended", name, "gets requests again", record)
        self._evacuated = evacuated
        self._notify()

    def _compute_evacuated(self) -> frozenset[str]:
        states = {
            record.key: decode_evacuation(record)
            for record in self._table.of_kind(RecordKind.EVACUATION)
        }
        stored = self._table.get(RecordKind.EVACUATION_LIST, LIST_KEY)
        if stored is not None:
            for name in decode_list(stored):
                states.setdefault(name, True)
        return frozenset(name for name, is_active in states.items() if is_active)

    def _log_change(self, event: str, name: str, effect: str, record: Record) -> None:
        self._log.emit(
            "evacuation",
            event,
            f"Data centre {name!r} {effect}.",
            data_centre=name,
            position=record.rank[0],
        )

    def _notify(self) -> None:
        for listener in self.on_change:
            listener()


class EvacuationTopic:
    """Writes the evacuations of the store to the replicated records.

    Parameters
    ----------
    api : EvacuationApi
        Evacuations in the store.
    book : EvacuationBook
        Replicated evacuations.
    rejections : Rejections
        Documents that were rejected.
    log : EventLog
        Event log of the process.
    """

    def __init__(
        self,
        api: EvacuationApi,
        book: EvacuationBook,
        rejections: Rejections,
        log: EventLog,
    ) -> None:
        self.kind = api.kind
        self._api = api
        self._book = book
        self._rejections = rejections
        self._log = log
        self._present: set[str] = set()
        self._era = -1
        self._era_seen_at = 0.0

    def applied_revision(self) -> int:
        """Return 0: a reader begins with a list, as it must know what is absent."""
        return 0

    def apply_page(self, page: DocumentPage, is_full_list: bool) -> None:
        """Publish the evacuations of a page, and the end of those that are absent."""
        now = trio.current_time()
        if era_of(page.revision) != self._era:
            self._era, self._era_seen_at = era_of(page.revision), now
        if is_full_list:
            self._present.clear()
        for document in page.documents:
            if document.deleted:
                self._present.discard(document.name)
            else:
                # A malformed one changes nothing, so it does not end an evacuation.
                self._present.add(document.name)
                self._apply_document(document)
        self._end_absent(page.revision, now)
        self._book.publish_list(page.revision)

    def _apply_document(self, document: Document) -> None:
        try:
            name = self._api.decode(document)
        except EvacuationError as exc:
            if self._rejections.is_new(document):
                self._log.emit(
                    "evacuation",
                    "malformed",
                    f"An evacuation was rejected: {exc.message}.",
                    document=document.name[:MAX_NAME_LENGTH],
                    revision=document.revision,
                    code=exc.code.value,
                )
            return
        self._book.publish(name, document.revision, True)

    def _end_absent(self, position: int, now: float) -> None:
        """End the evacuations that the store does not hold at a position.

        All are compared with each page: a record of another reader may arrive after
        this node has read that its document is gone.
        """
        for name in sorted(self._book.evacuated - self._present):
            evacuated_at = self._book.position(name) or 0
            if evacuated_at < position and accepts_absence(
                evacuated_at, position, self._era_seen_at, now
            ):
                self._book.publish(name, position, False)
