"""Resource usage of a node: bytes on its links, processor time and memory."""

from __future__ import annotations

import dataclasses
import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from marigoldchute.link.endpoint import LinkEndpoint

STATM_PATH = "/proc/self/statm"
TRAFFIC_PURPOSE = "traffic"


@dataclasses.dataclass(frozen=True)
class ByteTotals:
    """Bytes transferred on links since the process started.

    Parameters
    ----------
    sent, received : int
        Bytes written to and read from the connections, without TCP headers.
    """

    sent: int = 0
    received: int = 0

    def plus(self, sent: int, received: int) -> ByteTotals:
        """Return new totals with bytes added."""
        return ByteTotals(self.sent + sent, self.received + received)


@dataclasses.dataclass(frozen=True)
class NodeStats:
    """Resources that one node process has used since it started.

    Parameters
    ----------
    control_bytes_sent, control_bytes_received : int
        Bytes on control links and other links that carry no requests.
    traffic_bytes_sent, traffic_bytes_received : int
        Bytes on links that carry requests.
    links : int
        Open links of any purpose.
    members : int
        Number of known members, excluding members that are gone.
    cpu_s : float
        Processor time in seconds.
    rss : int
        Resident memory in bytes.
    uptime_s : float
        Seconds since the process started, on a monotonic clock.
    """

    control_bytes_sent: int
    control_bytes_received: int
    traffic_bytes_sent: int
    traffic_bytes_received: int
    links: int
    members: int
    cpu_s: float
    rss: int
    uptime_s: float


def collect_stats(endpoint: LinkEndpoint, members: int, uptime_s: float) -> NodeStats:
    """Return the resources that this process has used.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Endpoint that counts the bytes of the links.
    members : int
        Number of known members.
    uptime_s : float
        Seconds since the process started, on a monotonic clock.
    """
    totals = endpoint.byte_totals()
    traffic = totals.pop(TRAFFIC_PURPOSE, ByteTotals())
    return NodeStats(
        control_bytes_sent=sum(total.sent for total in totals.values()),
        control_bytes_received=sum(total.received for total in totals.values()),
        traffic_bytes_sent=traffic.sent,
        traffic_bytes_received=traffic.received,
        links=len(endpoint.links),
        members=members,
        cpu_s=time.process_time(),
        rss=_resident_bytes(),
        uptime_s=uptime_s,
    )


def _resident_bytes() -> int:
    with open(STATM_PATH, encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
