"""Interface of the platform's object API."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CREATE_ONLY = 0
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One object of the store.

    Parameters
    ----------
    key : str
        Slash-separated name.
    value : bytes
        Content, at most ``MAX_VALUE_BYTES``.
    revision : int
        Store-wide revision of the last write; rises with each write.
    """

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True)
class WatchEvent:
    """A change reported by a watch; ``value`` is None when the object was deleted."""

    key: str
    value: bytes | None
    revision: int


class ObjectStore(Protocol):
    """Object API with revisions, conditional writes and watches."""

    async def get(self, key: str) -> StoredObject:
        """Return one object or raise ``NotFoundError``."""

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return every object under a prefix, in key order."""

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        """Write if the object's revision is as expected; return the new revision.

        ``CREATE_ONLY`` expects that the object does not exist. Raises
        ``ConflictError`` when the condition fails and ``UnknownOutcomeError``
        when the response was lost.
        """

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete if the object's revision is as expected."""

    def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the current objects under a prefix, then every later change.

        Resumes after lost connections, relists after gaps and never ends.
        """
