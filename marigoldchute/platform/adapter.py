"""Implementation of ``HostAdapter`` for the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.platform.bundle import PlatformBundleApi
from marigoldchute.platform.control import ControlApi
from marigoldchute.platform.evacuations import PlatformEvacuationApi
from marigoldchute.platform.orders import PlatformOrderApi
from marigoldchute.platform.settings import DIALECT
from marigoldchute.platform.store import PlatformDocumentStore

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from marigoldchute.events import EventLog
    from marigoldchute.hosted.node_entry import Leave
    from marigoldchute.hosted.registry import LocalRegistry
    from marigoldchute.hosted.settings import Endpoint, HostedSettings
    from marigoldchute.routing.http_server import RequestHandler
    from marigoldchute.util.clock import Clock


class PlatformAdapter:
    """``HostAdapter`` for the platform: its store, bundles, orders and control API.

    Parameters
    ----------
    cfg : HostedSettings
        Settings of the node.
    rng : random.Random
        Source of jitter.
    log : EventLog, optional
        Event log of the process.
    """

    dialect = DIALECT

    def __init__(
        self, cfg: HostedSettings, rng: random.Random, log: EventLog | None = None
    ) -> None:
        self.store = PlatformDocumentStore(cfg.store, rng, cfg.address, log)
        self.bundles = PlatformBundleApi()
        self.orders = PlatformOrderApi(self.store)
        data_centres = cfg.region_by_data_centre.keys()
        self.evacuations = PlatformEvacuationApi(
            {*data_centres, cfg.data_centre} if data_centres else ()
        )

    def control_handlers(
        self,
        registry: LocalRegistry,
        backend: Callable[[], Endpoint],
        is_ready: Callable[[], bool],
        clock: Clock,
        store_leave: Callable[[Leave], Awaitable[bool]],
    ) -> tuple[RequestHandler, RequestHandler]:
        """Return the handlers of the control address and of the readiness address."""
        api = ControlApi(registry, backend, is_ready, clock, store_leave)
        return api.handle_control, api.handle_readiness
