"""Request path of one hosted node inside the test process, with its HTTP server."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import (
    Bundle,
    BundleContent,
    CallerLimits,
    Customer,
    Route,
    Service,
)
from marigoldchute.events import MemoryEventLog
from marigoldchute.hosted.directory import Directory
from marigoldchute.hosted.node import POLICY
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.orders.book import OrderBook
from marigoldchute.orders.outcomes import OutcomeCounter
from marigoldchute.overlay.records import RecordTable
from marigoldchute.platform.settings import DIALECT
from marigoldchute.quota.limiter import QuotaLimiter
from marigoldchute.quota.limits import QuotaBound, make_quotas
from marigoldchute.routing.access import AccessControl
from marigoldchute.routing.entry import Entry
from marigoldchute.routing.http_server import HttpServer
from marigoldchute.routing.least_time import LeastExpectedTime
from marigoldchute.routing.owner import Owner
from marigoldchute.util.clock import Clock
from tests.support.servers import PORT, serve_script

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

CALLER_PORT = 9101
LIMITS = CallerLimits()
UPTIME_S = 3_600.0  # No request of an earlier process runs any more.
ROUTE = Route("r", "/a/", "turnos", 3_000, max_attempts=2)


class LocalPath:
    """Node with one backend server and no peers; callers connect to ``address``.

    Attributes
    ----------
    own_addresses : set of str
        Source addresses of connections that count as from the backend server.
    """

    def __init__(self, address: str) -> None:
        rng, log, table = random.Random(1), MemoryEventLog(), RecordTable()
        any_log: Any = log
        local = Member("vm", 1, 1, address, 1, "dc", "r")
        directory = Directory(local, table, any_log)
        server = BackendServer("i@1", "turnos", "v1", PORT, 16, 100)
        directory.publish_servers((server,))
        self.log = log
        self.limiter = QuotaLimiter(rng)
        self.own_addresses = {address, "127.0.0.1"}
        in_force = self.in_force = InForce()
        book = OrderBook(directory, table, any_log)
        no_links: Any = None
        self.address = address
        self.owner = Owner(directory, address, DIALECT, POLICY)
        self.entry = Entry(
            in_force,
            book,
            directory,
            no_links,
            self.owner,
            LeastExpectedTime(rng),
            OutcomeCounter(book),
            any_log,
            Clock(),
            rng,
            DIALECT,
            POLICY,
            access=AccessControl(DIALECT, any_log, self.own_addresses.__contains__),
            quota=self.limiter,
        )
        directory.on_view_changed.append(self.entry.candidate_tables.mark_stale)
        self.callers = HttpServer(self.entry.handle_external)
        self.put_in_force((ROUTE,))

    def put_in_force(
        self, routes: tuple[Route, ...], customers: tuple[Customer, ...] = ()
    ) -> None:
        """Replace the bundle in force."""
        content = BundleContent(
            (Service("turnos", "v1"),), routes, (), LIMITS, customers
        )
        self.limiter.set_quotas(make_quotas(customers, QuotaBound()))
        version: Any = _Manifest(self.in_force.version + 1)
        self.in_force.swap(Bundle(version, content))

    async def send(self, data: bytes) -> bytes:
        """Send bytes on a new connection; return all that arrives until its end."""
        stream = await trio.open_tcp_stream(self.address, CALLER_PORT)
        received = b""
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
            while piece := await stream.receive_some(65_536):
                received += piece
        await stream.aclose()
        return received


class _Manifest:
    def __init__(self, version: int) -> None:
        self.version = version


@contextlib.asynccontextmanager
async def local_path(
    script: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[LocalPath]:
    """Run a node whose backend server serves each connection with a script."""
    async with serve_script(script) as address, trio.open_nursery() as nursery:
        path = LocalPath(address)
        await nursery.start(path.owner.run)
        path.owner.running_requests.start(trio.current_time() - UPTIME_S)
        await nursery.start(path.callers.serve, address, CALLER_PORT)
        yield path
        nursery.cancel_scope.cancel()
