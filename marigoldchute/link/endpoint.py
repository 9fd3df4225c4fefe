"""Opening and accepting links."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.errors import AuthError, PeerError, ResultCode
from marigoldchute.link.frames import FrameDecoder
from marigoldchute.link.handshake import (
    HANDSHAKE_TIMEOUT_S,
    HandshakeStream,
    PeerIdentity,
    encode_refusal,
)
from marigoldchute.link.link import Link
from marigoldchute.link.stats import TRAFFIC_PURPOSE, ByteTotals
from marigoldchute.util.tcp import TcpConn

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.events import HybridClock
    from marigoldchute.link.handlers import Handlers

CONNECT_TIMEOUT_S = 2.0
LISTEN_BACKLOG = 1024
FLUSH_TIMEOUT_S = 2.0
FLUSH_POLL_S = 0.01
MAX_HANDSHAKES = 64
MAX_CONTROL_LINKS = 128
CONTROL_PURPOSE = "control"


class LinkEndpoint:
    """Opens links to peers and accepts theirs.

    Parameters
    ----------
    local : PeerIdentity
        Who this node is.
    bind_address : str
        IP number of this VM, also the source of outgoing connections.
    secrets : tuple of bytes
        Shared secrets of the peers; the first proves, any is accepted.
    handlers : Handlers
        What to do with calls and streams of peers.
    clock : HybridClock
        Clock carried by heartbeats.
    heartbeat_ms : int
        Interval between heartbeats.
    on_link : callable
        Called with each accepted link before it runs.
    """

    def __init__(
        self,
        local: PeerIdentity,
        bind_address: str,
        secrets: tuple[bytes, ...],
        handlers: Handlers,
        clock: HybridClock,
        heartbeat_ms: int,
        on_link: Callable[[Link], None],
    ) -> None:
        self.local = local
        self.links: set[Link] = set()
        self._bind_address = bind_address
        self._secrets = secrets
        self._handlers = handlers
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self._on_link = on_link
        self._handshakes = 0
        self._ended_totals: dict[str, ByteTotals] = {}

    def begin_incarnation(self, incarnation: int) -> None:
        """Go on under another incarnation and close the control links of this one."""
        local = self.local
        self.local = PeerIdentity(
            local.name, incarnation, local.data_centre, local.region
        )
        for link in tuple(self.links):
            if link.purpose != TRAFFIC_PURPOSE:
                link.close()

    def byte_totals(self) -> dict[str, ByteTotals]:
        """Return the bytes of all links, ended ones included, by purpose."""
        totals = dict(self._ended_totals)
        for link in self.links:
            held = totals.get(link.purpose, ByteTotals())
            totals[link.purpose] = held.plus(link.bytes_sent, link.bytes_received)
        return totals

    async def connect(self, address: str, port: int, purpose: str) -> Link:
        """Open a link; the caller must then drive it with ``run``.

        Parameters
        ----------
        address : str
            IP number of the peer.
        port : int
            Its TCP port for peers.
        purpose : str
            ``control`` or ``traffic``.

        Returns
        -------
        Link
            Open link.

        Raises
        ------
        PeerError
            No connection in time, or the handshake failed.
        AuthError
            The peer does not hold the shared secret.
        """
        with trio.move_on_after(CONNECT_TIMEOUT_S + HANDSHAKE_TIMEOUT_S):
            stream = await self._open_socket(address, port)
            try:
                return await self._open_link(stream, purpose)
            except BaseException:
                await trio.aclose_forcefully(stream)
                raise
        raise PeerError(f"no handshake with {address}:{port}", ResultCode.PEER_TIMEOUT)

    async def _open_socket(self, address: str, port: int) -> trio.SocketStream:
        sock = trio.socket.socket()
        try:
            await sock.bind((self._bind_address, 0))
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await sock.connect((address, port))
        except ConnectionRefusedError as exc:
            sock.close()
            raise PeerError(
                f"{address}:{port} refuses connections", ResultCode.PEER_REFUSED
            ) from exc
        except (OSError, trio.TooSlowError) as exc:
            sock.close()
            raise PeerError(f"cannot connect to {address}:{port}: {exc}") from exc
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def _open_link(self, stream: trio.SocketStream, purpose: str) -> Link:
        decoder = FrameDecoder()
        handshake = HandshakeStream(stream, decoder)
        local = self.local
        identity = PeerIdentity(
            local.name, local.incarnation, local.data_centre, local.region, purpose
        )
        try:
            peer = await handshake.open(identity, self._secrets)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise PeerError("connection ended in the handshake") from exc
        return self._make_link(stream, decoder, handshake, peer, purpose, True)

    def _make_link(
        self,
        stream: trio.SocketStream,
        decoder: FrameDecoder,
        handshake: HandshakeStream,
        peer: PeerIdentity,
        purpose: str,
        opened_here: bool,
    ) -> Link:
        sock = socket.socket(fileno=stream.socket.detach())
        return Link(
            TcpConn(sock),
            decoder,
            peer,
            purpose,
            opened_here,
            self._handlers,
            self._clock,
            self._heartbeat_ms,
            handshake.pending,
        )

    async def run_link(self, link: Link) -> None:
        """Drive a link until it ends and keep count of it."""
        self.links.add(link)
        try:
            await link.run()
        finally:
            self.links.discard(link)
            held = self._ended_totals.get(link.purpose, ByteTotals())
            sent, received = link.bytes_sent, link.bytes_received
            self._ended_totals[link.purpose] = held.plus(sent, received)

    async def flush(self) -> None:
        """Wait until what was sent on every link has been written."""
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            while any(link.pending_bytes for link in self.links):
                await trio.sleep(FLUSH_POLL_S)

    async def serve(
        self, port: int, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept links on a TCP port and send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_heartbeats)
            await trio.serve_tcp(
                self._accept,
                port,
                host=self._bind_address,
                backlog=LISTEN_BACKLOG,
                task_status=task_status,
            )

    async def _send_heartbeats(self) -> None:
        # One task for all links: a wake-up for each link costs more than its bytes.
        while True:
            await trio.sleep(self._heartbeat_ms / 1000)
            now = trio.current_time()
            for link in tuple(self.links):
                link.beat(now)

    async def _accept(self, stream: trio.SocketStream) -> None:
        if self._handshakes >= MAX_HANDSHAKES or self._is_full():
            await _refuse(stream)
            return
        self._handshakes += 1
        try:
            link = await self._accept_link(stream)
        finally:
            self._handshakes -= 1
        if link is not None:
            self._on_link(link)
            await self.run_link(link)

    def _is_full(self) -> bool:
        accepted = [
            link
            for link in self.links
            if not link.opened_here and link.purpose == CONTROL_PURPOSE
        ]
        return len(accepted) >= MAX_CONTROL_LINKS

    async def _accept_link(self, stream: trio.SocketStream) -> Link | None:
        decoder = FrameDecoder()
        handshake = HandshakeStream(stream, decoder)
        peer = None
        with (
            contextlib.suppress(
                PeerError,
                AuthError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ),
            trio.move_on_after(HANDSHAKE_TIMEOUT_S),
        ):
            peer = await handshake.accept(self.local, self._secrets)
        if peer is None:
            await trio.aclose_forcefully(stream)
            return None
        return self._make_link(stream, decoder, handshake, peer, peer.purpose, False)


async def _refuse(stream: trio.SocketStream) -> None:
    """Tell a peer that no further link is taken, with a numbered code."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.send_all(encode_refusal(ResultCode.PEER_BUSY))
    await trio.aclose_forcefully(stream)
