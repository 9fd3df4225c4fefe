"""Synchronization with the newest version before a joining node serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import PeerError
from marigoldchute.link.methods import Method

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.link.handlers import Handlers
    from marigoldchute.link.link import Link
    from marigoldchute.overlay.overlay import Overlay

POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.0
REQUIRED_PEER_COUNT = 3
SYNC_TIMEOUT_S = 1.0
STORE_RESPONDER = "/store"  # Not a member: their names contain no slash.


class _ManifestResponse(msgspec.Struct, frozen=True, array_like=True):
    """Response of a member to a joining node.

    Parameters
    ----------
    synchronized : bool
        Whether the responding member is itself synchronized.
    member_count : int
        Number of members in its member list, including unreachable ones.
    manifest : bytes
        Newest manifest that it has; empty for none.
    """

    synchronized: bool
    member_count: int
    manifest: bytes


_MANIFEST_RESPONSE = msgspec.msgpack.Decoder(_ManifestResponse)


class InitialSync:
    """Requests the newest manifest of several peers before any comes into force.

    A node is synchronized once ``REQUIRED_PEER_COUNT`` synchronized peers have
    responded, or all others in a smaller mesh, or ``SYNC_TIMEOUT_S`` after the first
    response or manifest when no further peers respond. The first peer to respond may
    be behind, and the store may return stale data, so only in a mesh of two is a single
    response sufficient without waiting.
    """

    def __init__(
        self,
        overlay: Overlay,
        handlers: Handlers,
        newest_manifest: Callable[[], bytes],
        on_manifest: Callable[[bytes], None],
        count_members: Callable[[], int],
    ) -> None:
        self._overlay = overlay
        self._count_members = count_members
        self._reported_member_count = 0
        self._newest_manifest = newest_manifest
        self._on_manifest = on_manifest
        self._responders: set[str] = set()
        self._data_received_at: float | None = None
        self.synchronized = trio.Event()
        handlers.register(Method.GET_NEWEST_MANIFEST, self._handle_get_newest_manifest)

    def record_store_read(self) -> None:
        """Count the store as one of the responders."""
        self._responders.add(STORE_RESPONDER)

    async def run(self) -> None:
        """Request manifests until synchronized."""
        while not self.synchronized.is_set():
            links = self._overlay.neighbours()
            async with trio.open_nursery() as nursery:
                for link in links:
                    if link.peer.name not in self._responders:
                        nursery.start_soon(self._request_newest_manifest, link)
            self._update_state(trio.current_time())
            with trio.move_on_after(POLL_INTERVAL_S):
                await self.synchronized.wait()

    async def _request_newest_manifest(self, link: Link) -> None:
        try:
            response = await link.call(Method.GET_NEWEST_MANIFEST, b"", CALL_TIMEOUT_S)
            result = _MANIFEST_RESPONSE.decode(response)
        except (PeerError, msgspec.DecodeError):
            return
        if result.manifest:
            self._on_manifest(result.manifest)
        self._reported_member_count = max(
            self._reported_member_count, result.member_count
        )
        if result.synchronized:
            self._responders.add(link.peer.name)

    def _update_state(self, now: float) -> None:
        has_data = bool(self._newest_manifest() or self._responders)
        if has_data and self._data_received_at is None:
            self._data_received_at = now
        other_count = max(self._reported_member_count, self._count_members()) - 1
        required_count = min(REQUIRED_PEER_COUNT, max(1, other_count))
        timed_out = (
            self._data_received_at is not None
            and now - self._data_received_at >= SYNC_TIMEOUT_S
        )
        if len(self._responders) >= required_count or timed_out:
            self.synchronized.set()

    async def _handle_get_newest_manifest(self, link: Link, body: bytes) -> bytes:
        member_count = self._count_members()
        result = _ManifestResponse(
            self.synchronized.is_set(), member_count, self._newest_manifest()
        )
        return msgspec.msgpack.encode(result)
