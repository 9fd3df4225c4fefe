"""Metrics of a hosted node over HTTP."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.admin.metrics import NodeSnapshot
    from marigoldchute.membership.model import Member
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder

METRICS_PATH = b"/metrics"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class MetricsPage:
    """Serves the metrics in the Prometheus text format.

    Parameters
    ----------
    snapshot : callable
        Returns the current values.
    """

    def __init__(self, snapshot: Callable[[], NodeSnapshot]) -> None:
        self._snapshot = snapshot

    async def handle(self, req: HttpRequest, responder: HttpResponder) -> None:
        """Handle one request."""
        status, body = 404, b""
        if req.target == METRICS_PATH:
            # Imported on the first request, because most nodes never receive one.
            from marigoldchute.admin.metrics import render_metrics

            status, body = 200, render_metrics(self._snapshot())
        headers = [
            (b"content-type", CONTENT_TYPE),
            (b"content-length", str(len(body)).encode()),
        ]
        await responder.start(status, headers, body)
        await responder.finish()


def count_states(members: tuple[Member, ...]) -> dict[str, int]:
    """Return the number of members by state."""
    counts = collections.Counter(member.state.name.lower() for member in members)
    return dict(counts)
