"""Positions in a store that may come back from an older copy.

Each restoration begins a new era, in which the store assigns revisions again. A
position is a revision together with its era, as one integer that never goes back. In
era 0, that of a store without eras, positions are revisions.
"""

from __future__ import annotations

from marigoldchute.errors import PlatformError, ResultCode

ERA_SHIFT = 40
MAX_ERA_REVISION = (1 << ERA_SHIFT) - 1
MAX_ERA = (1 << 23) - 1  # Positions stay below 2**63.
# What a restored store lacks is taken for deleted only after this time, within which
# its writers write again what was lost.
ABSENCE_GRACE_S = 30.0


def make_position(era: int, revision: int) -> int:
    """Return the position of a revision; 0, which is no revision, stays 0.

    Raises
    ------
    PlatformError
        The revision is too large for an era.
    """
    if not era or not revision:
        return revision
    if revision > MAX_ERA_REVISION:
        raise PlatformError(
            f"revision {revision} of the store is too large",
            ResultCode.STORE_ANSWER_MALFORMED,
        )
    return era << ERA_SHIFT | revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> ERA_SHIFT


def revision_of(position: int) -> int:
    """Return the revision of a position within its era."""
    return position & MAX_ERA_REVISION


class EraTracker:
    """The newest era of which this node has received a response.

    Attributes
    ----------
    known : int or None
        Newest era; None before the first response.
    restorations : int
        Number of times that a newer era followed a known one.
    """

    def __init__(self) -> None:
        self.known: int | None = None
        self.restorations = 0

    def record(self, era: int | None) -> tuple[int, bool]:
        """Record the era of a response.

        Parameters
        ----------
        era : int or None
            Era that the response states; None if it is missing or malformed.

        Returns
        -------
        tuple of int and bool
            The era of the response, and whether a newer era follows a known one.
        """
        if era is None:
            era = self.known or 0
        is_restored = self.known is not None and era > self.known
        self.known = max(era, self.known or 0)
        self.restorations += is_restored
        return era, is_restored

    def find_revision(self, position: int) -> int | None:
        """Return the revision to send for a position; None if it is of another era."""
        if self.known == 0:
            return position
        if era_of(position) != (self.known or 0):
            return None
        return revision_of(position)
