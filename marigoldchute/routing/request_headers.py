"""Header lines of a request, held compactly when there are many."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from marigoldchute.routing.messages import HeaderList

# The head of an ordinary request has fewer lines than this.
MAX_LISTED_LINES = 64
LISTED_LINE_BYTES = 170  # A tuple of two bytes objects, without their content.
# Neither a name nor a value contains it; the HTTP parser rejects bare line feeds.
_SEPARATOR = b"\n"


class RequestHeaders:
    """Names and values of header lines in their order.

    Attributes
    ----------
    listed : list of (bytes, bytes)
        The last lines. The others are held as one block of bytes.
    """

    __slots__ = ("_packed", "_packed_count", "listed")

    def __init__(self) -> None:
        self.listed: HeaderList = []
        self._packed = b""
        self._packed_count = 0

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        if not self._packed:
            return iter(self.listed)
        fields = iter(self._packed.split(_SEPARATOR))
        # The block ends with a separator, behind which the last field is empty.
        return itertools.chain(zip(fields, fields, strict=False), self.listed)

    def __len__(self) -> int:
        return self._packed_count + len(self.listed)

    @property
    def held_bytes(self) -> int:
        """Memory that the lines take."""
        return len(self._packed) + LISTED_LINE_BYTES * len(self.listed)

    def may_have(self, name: bytes) -> bool:
        """Return False if no line has a name; searches quickly if there are many."""
        packed = self._packed
        if not packed:
            return True
        start = name + _SEPARATOR
        if packed.startswith(start) or _SEPARATOR + start in packed:
            return True
        return any(name == listed for listed, _ in self.listed)

    def pack(self) -> None:
        """Move the listed lines into the block."""
        self._packed_count += len(self.listed)
        lines = [b"%s\n%s\n" % line for line in self.listed]
        self._packed = b"".join([self._packed, *lines])
        self.listed.clear()
