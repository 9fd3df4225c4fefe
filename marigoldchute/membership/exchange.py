"""Exchange of contact reports with neighbours, with the store as a fallback."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import NotFoundError, PeerError, PlatformError
from marigoldchute.link.methods import Method
from marigoldchute.membership.contact import ContactReport, boottime_clock

if TYPE_CHECKING:
    import random

    from marigoldchute.events import EventLog
    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.membership.service import Membership
    from marigoldchute.objectstore.api import ObjectStore
    from marigoldchute.overlay.overlay import Overlay

GONE_KEY_PREFIX = "gone/"
# The factors are multiples of ``fence_after_s``.
REPORT_INTERVAL_FACTOR = 0.05
NUM_REPORT_PEERS = 3
REPORT_TIMEOUT_S = 2.0
PAUSE_THRESHOLD_S = 4.0
STORE_CHECK_AFTER_FACTOR = 0.5
STORE_CHECK_INTERVAL_FACTOR = 0.25

_REPORT = msgspec.msgpack.Decoder(ContactReport)


def gone_key(name: str) -> str:
    """Return the store key of a member's gone marker.

    The marker is written before the member is declared gone.
    """
    return GONE_KEY_PREFIX + name


class ContactExchange:
    """Keeps a node's ``ContactTracker`` up to date."""

    def __init__(
        self,
        membership: Membership,
        overlay: Overlay,
        store: ObjectStore,
        handlers: Handlers,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._contact = membership.contact
        self._overlay = overlay
        self._store = store
        self._log = log
        self._rng = rng
        self._was_fenced = False
        self._last_tick_at = boottime_clock()
        handlers.register(Method.GET_CONTACT_REPORT, self._handle_get_report)

    async def run(self) -> None:
        """Request reports from neighbours and check the store until cancelled."""
        interval_s = (
            REPORT_INTERVAL_FACTOR * self._membership.contact_timeouts.fence_after_s
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._check_store_periodically)
            while True:
                self._tick(boottime_clock())
                self._request_reports(nursery)
                await trio.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    def _tick(self, now: float) -> None:
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            self._log.emit(
                "membership", "paused", "This process was paused; contacts are reset."
            )
            self._contact.reset(now)
            self._overlay.reset()
        self._last_tick_at = now
        for link in self._overlay.neighbours():
            if link.peer.data_centre == self._membership.local.data_centre:
                self._contact.record_activity(link.peer.name, now)
        self._contact.update(self._membership.data_centre_member_names(), now)
        self._membership.set_unreachable_data_centres(
            self._unreachable_data_centres(now)
        )
        self._log_fencing()

    def _unreachable_data_centres(self, now: float) -> frozenset[str]:
        """Return the other data centres without current contact with a majority."""
        local = self._membership.local.data_centre
        max_age_s = self._membership.contact_timeouts.max_contact_age_s
        return frozenset(
            data_centre
            for data_centre in {
                m.data_centre for m in self._membership.recorded_members()
            }
            if data_centre != local
            and self._contact.majority_lost_since(data_centre) < now - max_age_s
        )

    def _log_fencing(self) -> None:
        fenced = self._membership.fenced
        if fenced != self._was_fenced:
            self._was_fenced = fenced
            event, text = (
                "fenced",
                "Requests are refused: this node's membership is not confirmed.",
            )
            if not fenced:
                event, text = (
                    "unfenced",
                    "Requests are accepted: this node's membership is confirmed.",
                )
            self._log.emit("membership", event, text)

    def _request_reports(self, nursery: trio.Nursery) -> None:
        links = self._overlay.synced_neighbours()
        for link in self._rng.sample(links, min(NUM_REPORT_PEERS, len(links))):
            nursery.start_soon(self._request_report, link)

    async def _request_report(self, link: Link) -> None:
        requested_at = boottime_clock()
        try:
            body = await link.call(Method.GET_CONTACT_REPORT, b"", REPORT_TIMEOUT_S)
            report = _REPORT.decode(body)
        except (PeerError, msgspec.DecodeError):
            return
        if link.peer.data_centre == self._membership.local.data_centre:
            self._contact.record_contact(link.peer.name, requested_at)
        self._contact.apply_report(
            report, self._membership.data_centre_member_names(), requested_at
        )

    async def _handle_get_report(self, link: Link, body: bytes) -> bytes:
        report = self._contact.build_report(
            self._membership.data_centre_member_names(), boottime_clock()
        )
        return msgspec.msgpack.encode(report)

    async def _check_store_periodically(self) -> None:
        fence_after_s = self._membership.contact_timeouts.fence_after_s
        while True:
            interval_s = STORE_CHECK_INTERVAL_FACTOR * fence_after_s
            await trio.sleep(interval_s * self._rng.uniform(0.5, 1.0))
            await self.check_store(boottime_clock())

    async def check_store(self, now: float) -> None:
        """Read this node's gone marker if its latest confirmation is too old."""
        check_after_s = (
            STORE_CHECK_AFTER_FACTOR * self._membership.contact_timeouts.fence_after_s
        )
        if now - self._contact.last_confirmed_at > check_after_s:
            await self._read_gone_marker(now)

    async def _read_gone_marker(self, requested_at: float) -> None:
        local = self._membership.local
        try:
            marker = await self._store.get(gone_key(local.name))
        except NotFoundError:
            self._contact.record_store_confirmation(requested_at)
            return
        except PlatformError:
            return
        if int(marker.value) < local.incarnation:
            self._contact.record_store_confirmation(requested_at)
        else:
            self._membership.begin_incarnation(int(marker.value) + 1)
