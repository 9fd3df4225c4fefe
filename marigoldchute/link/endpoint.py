"""Endpoint that opens and accepts links between nodes."""

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
FLUSH_POLL_INTERVAL_S = 0.01
MAX_CONCURRENT_HANDSHAKES = 64
MAX_ACCEPTED_CONTROL_LINKS = 128
CONTROL_PURPOSE = "control"


class LinkEndpoint:
    """Opens links to peers and accepts links that peers open.

    Parameters
    ----------
    local : PeerIdentity
        Identity of this node.
    bind_address : str
        IP address of this VM, also the source address of outgoing connections.
    secrets : tuple of bytes
        Secrets shared by the peers. This node authenticates itself with the first
        one and accepts any of them from a peer.
    handlers : Handlers
        Handlers for the calls and streams of peers.
    clock : HybridClock
        Clock whose timestamps the heartbeats carry.
    heartbeat_ms : int
        Interval between heartbeats.
    on_link : callable
        Called with each accepted link before the link starts to run.
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
        self._handshake_count = 0
        self._closed_link_totals: dict[str, ByteTotals] = {}

    def begin_incarnation(self, incarnation: int) -> None:
        """Switch to a new incarnation and close all links but those for traffic."""
        local = self.local
        self.local = PeerIdentity(
            local.name, incarnation, local.data_centre, local.region
        )
        for link in tuple(self.links):
            if link.purpose != TRAFFIC_PURPOSE:
                link.close()

    def byte_totals(self) -> dict[str, ByteTotals]:
        """Return the byte totals by purpose, including links that have closed."""
        totals = dict(self._closed_link_totals)
        for link in self.links:
            previous = totals.get(link.purpose, ByteTotals())
            totals[link.purpose] = previous.plus(link.bytes_sent, link.bytes_received)
        return totals

    async def connect(self, address: str, port: int, purpose: str) -> Link:
        """Open a link, which the caller must then drive with ``run_link``.

        Parameters
        ----------
        address : str
            IP address of the peer.
        port : int
            TCP port on which the peer accepts links.
        purpose : str
            ``control``, ``control-call`` or ``traffic``.

        Returns
        -------
        Link
            The open link.

        Raises
        ------
        PeerError
            The connection was not established in time, or the handshake failed.
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
        raise PeerError(
            f"timeout in the handshake with {address}:{port}", ResultCode.PEER_TIMEOUT
        )

    async def _open_socket(self, address: str, port: int) -> trio.SocketStream:
        sock = trio.socket.socket()
        try:
            await sock.bind((self._bind_address, 0))
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await sock.connect((address, port))
        except ConnectionRefusedError as exc:
            sock.close()
            raise PeerError(
                f"{address}:{port} refused the connection", ResultCode.PEER_REFUSED
            ) from exc
        except (OSError, OverflowError, trio.TooSlowError) as exc:
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
            raise PeerError("connection closed during the handshake") from exc
        return self._create_link(stream, decoder, handshake, peer, purpose, True)

    def _create_link(
        self,
        stream: trio.SocketStream,
        decoder: FrameDecoder,
        handshake: HandshakeStream,
        peer: PeerIdentity,
        purpose: str,
        is_initiator: bool,
    ) -> Link:
        sock = socket.socket(fileno=stream.socket.detach())
        return Link(
            TcpConn(sock),
            decoder,
            peer,
            purpose,
            is_initiator,
            self._handlers,
            self._clock,
            self._heartbeat_ms,
            handshake.pending_frames,
        )

    async def run_link(self, link: Link) -> None:
        """Drive a link until it closes and add its bytes to the totals."""
        self.links.add(link)
        try:
            await link.run()
        finally:
            self.links.discard(link)
            previous = self._closed_link_totals.get(link.purpose, ByteTotals())
            sent, received = link.bytes_sent, link.bytes_received
            self._closed_link_totals[link.purpose] = previous.plus(sent, received)

    async def flush(self) -> None:
        """Wait until all queued frames of every link are written, or time out."""
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            while any(link.pending_bytes for link in self.links):
                await trio.sleep(FLUSH_POLL_INTERVAL_S)

    async def serve(
        self, port: int, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept links on a TCP port and send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_heartbeats)
            await trio.serve_tcp(
                self._handle_connection,
                port,
                host=self._bind_address,
                backlog=LISTEN_BACKLOG,
                task_status=task_status,
            )

    async def _send_heartbeats(self) -> None:
        # One task serves all links, because waking a task per link costs more than
        # sending the few bytes of a heartbeat.
        while True:
            due_at = trio.current_time() + self._heartbeat_ms / 1000
            await trio.sleep_until(due_at)
            now = trio.current_time()
            for link in tuple(self.links):
                link.check_heartbeat(now, now - due_at)

    async def _handle_connection(self, stream: trio.SocketStream) -> None:
        if (
            self._handshake_count >= MAX_CONCURRENT_HANDSHAKES
            or self._is_control_link_limit_reached()
        ):
            await _refuse_connection(stream)
            return
        self._handshake_count += 1
        try:
            link = await self._accept_link(stream)
        finally:
            self._handshake_count -= 1
        if link is not None:
            self._on_link(link)
            await self.run_link(link)

    def _is_control_link_limit_reached(self) -> bool:
        accepted = [
            link
            for link in self.links
            if not link.is_initiator and link.purpose == CONTROL_PURPOSE
        ]
        return len(accepted) >= MAX_ACCEPTED_CONTROL_LINKS

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
        return self._create_link(stream, decoder, handshake, peer, peer.purpose, False)


async def _refuse_connection(stream: trio.SocketStream) -> None:
    """Refuse a connection with the result code ``PEER_BUSY``."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.send_all(encode_refusal(ResultCode.PEER_BUSY))
    await trio.aclose_forcefully(stream)
