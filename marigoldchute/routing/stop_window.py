"""Requests that a node still takes after it was told to stop."""

from __future__ import annotations

import dataclasses

from marigoldchute.errors import NotRunError, ResultCode

# Between the computation of a remaining time and its check lies the way to the owner,
# or a pause of the process.
MAX_TRANSFER_S = 0.1


@dataclasses.dataclass(frozen=True)
class StopWindow:
    """Time that a stopping node has left for requests.

    A request that may last longer than its node is not taken: it would end without a
    response, and its caller could not tell whether it ran. What counts is the time that
    the request may take, not the time that such requests usually take.

    Parameters
    ----------
    notice_until : float
        Monotonic time in seconds until which callers cannot know that the node stops.
        Until then each request is taken, with a deadline before the end of the node.
    ends_at : float
        Monotonic time in seconds at which the last response has to be complete.
    """

    notice_until: float
    ends_at: float

    def limit_deadline(
        self, deadline: float, now: float, is_nested: bool = False
    ) -> float:
        """Return the deadline for a request of a caller.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds at which the request ends at the latest.
        now : float
            Monotonic time in seconds.
        is_nested : bool
            Whether a request that runs on the VM waits for this one. It ends before
            the node, and its work is lost if the call is refused.

        Raises
        ------
        NotRunError
            The request may last longer than the node.
        """
        if deadline <= self.ends_at:
            return deadline
        if now < self.ends_at and (is_nested or now < self.notice_until):
            return self.ends_at
        raise self._refusal(now)

    def check_fits(self, deadline: float, now: float) -> None:
        """Check that a request of another node ends before this one does.

        The other node can send it elsewhere at once, so that there is no notice.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds at which the request ends at the latest.
        now : float
            Monotonic time in seconds.

        Raises
        ------
        NotRunError
            The request may last longer than the node.
        """
        if deadline > self.ends_at + MAX_TRANSFER_S:
            raise self._refusal(now)

    def _refusal(self, now: float) -> NotRunError:
        return NotRunError(
            "node stops before the request has to end",
            ResultCode.REQUEST_NOT_RUN_DRAINING,
            max(0.0, self.ends_at - now),
        )
