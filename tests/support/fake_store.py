"""In-memory object store with scripted failures."""

from __future__ import annotations

from collections.abc import Callable

from marigoldchute.errors import ConflictError, NotFoundError
from marigoldchute.objectstore.api import StoredObject

Step = Callable[["FakeStore", str, bytes], None]


class FakeStore:
    """Object store that applies a write unless the next scripted step raises.

    Each step runs once before a put, in the given order; a step may write to the store.
    """

    def __init__(self, *steps: Step) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.steps = list(steps)
        self.stale_reads = 0
        self._revision = 0

    def write(self, key: str, value: bytes) -> int:
        self._revision += 1
        self.objects[key] = StoredObject(key, value, self._revision)
        return self._revision

    async def get(self, key: str) -> StoredObject:
        if self.stale_reads > 0:
            self.stale_reads -= 1
            raise NotFoundError(key)
        if key not in self.objects:
            raise NotFoundError(key)
        return self.objects[key]

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        if self.steps:
            self.steps.pop(0)(self, key, value)
        current = self.objects.get(key)
        if (current.revision if current else 0) != expected_revision:
            raise ConflictError(key)
        return self.write(key, value)

    async def delete(self, key: str, expected_revision: int) -> None:
        current = self.objects.get(key)
        if (current.revision if current else 0) != expected_revision:
            raise ConflictError(key)
        self.objects.pop(key, None)
