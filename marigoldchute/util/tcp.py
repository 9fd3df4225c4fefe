"""Non-blocking TCP connections for the request path.

The system call is tried before the task waits, so that a small message costs no pass
through the scheduler. A task may only wait in ``receive`` or ``send``.
"""

from __future__ import annotations

import errno
import os
import socket
import struct
from typing import TYPE_CHECKING, Any, Protocol

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LISTEN_BACKLOG = 1024
ACCEPT_RETRY_S = 0.05
_LINGER_ZERO = struct.pack("ii", 1, 0)
_OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Transport(Protocol):
    """What a link needs of its connection."""

    async def receive(self, limit: int) -> bytes:
        """Wait for data; return at most ``limit`` bytes, or none at the end."""

    async def send(self, data: bytes | bytearray) -> None:
        """Write all data."""

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        """Write as much as fits at once; return the number of bytes."""

    def close(self) -> None:
        """Close the connection."""


class TcpConn:
    """One connection.

    Parameters
    ----------
    sock : socket.socket
        Connected socket; it is set to non-blocking.
    """

    __slots__ = ("_sock", "bytes_written", "closed")

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self.closed = False
        self.bytes_written = 0

    def fileno(self) -> int:
        """Return the file descriptor, -1 when closed."""
        return self._sock.fileno()

    @property
    def peer_address(self) -> str:
        """IP number of the other end, empty when it is not connected."""
        try:
            return str(self._sock.getpeername()[0])
        except OSError:
            return ""

    async def receive(self, limit: int) -> bytes:
        """Wait for data; return at most ``limit`` bytes, or none at the end.

        Raises
        ------
        OSError
            The connection broke.
        trio.ClosedResourceError
            The connection was closed at this end.
        """
        while True:
            if self.closed:
                raise trio.ClosedResourceError("connection was closed here")
            await trio.lowlevel.wait_readable(self._sock)
            try:
                return self._sock.recv(limit)
            except BlockingIOError:
                continue

    def receive_now(self, limit: int) -> bytes | None:
        """Return what has arrived, none at the end, or None when nothing has.

        Raises
        ------
        OSError
            The connection broke.
        """
        try:
            return self._sock.recv(limit)
        except BlockingIOError:
            return None

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        """Write as much as the kernel takes at once; return the number of bytes.

        Raises
        ------
        OSError
            The connection broke.
        """
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return 0
        self.bytes_written += sent
        return sent

    async def send(self, data: bytes | bytearray) -> None:
        """Write all data.

        Raises
        ------
        OSError
            The connection broke.
        trio.ClosedResourceError
            The connection was closed at this end.
        """
        sent = self.send_now(data)
        if sent == len(data):
            return
        with memoryview(data) as view:
            while sent < len(data):
                if self.closed:
                    raise trio.ClosedResourceError("connection was closed here")
                await trio.lowlevel.wait_writable(self._sock)
                sent += self.send_now(view[sent:])

    def is_quiet(self) -> bool:
        """Return whether the peer has neither sent anything nor closed."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def shut_down_sending(self) -> None:
        """Tell the peer that no more data follows."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection; what was written is still delivered."""
        if not self.closed:
            self.closed = True
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()

    def abort(self) -> None:
        """Reset the connection, so that the peer sees an error and not an end."""
        if not self.closed:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            self.close()


async def open_tcp(address: str, port: int, source: str) -> TcpConn:
    """Connect from a source address.

    Raises
    ------
    OSError
        The connection was not accepted.
    """
    sock = socket.socket()
    try:
        sock.setblocking(False)
        # The kernel picks the port at connect, so that ports are not used up by bind.
        sock.setsockopt(socket.IPPROTO_IP, socket.IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((source, 0))
        try:
            sock.connect((address, port))
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
            failed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if failed:
                raise OSError(failed, os.strerror(failed)) from None
        return TcpConn(sock)
    except BaseException:
        trio.lowlevel.notify_closing(sock)
        sock.close()
        raise


class TcpListener:
    """A listening socket whose connections are accepted by ``serve_tcp``.

    Attributes
    ----------
    is_open : bool
        Whether connections may still be accepted; for a moment after ``close`` too.
    """

    def __init__(self) -> None:
        self.is_open = True
        self.accept_scope = trio.CancelScope()

    def close(self) -> None:
        """Stop accepting; open connections are served to their end."""
        self.accept_scope.cancel()


async def serve_tcp(
    handler: Callable[[TcpConn], Awaitable[None]],
    address: str,
    port: int,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections and run ``handler`` for each until cancelled.

    The task status carries a ``TcpListener``.
    """
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(LISTEN_BACKLOG)
    listener = TcpListener()
    try:
        async with trio.open_nursery() as nursery:
            task_status.started(listener)
            with listener.accept_scope:
                while True:
                    await trio.lowlevel.wait_readable(sock)
                    await _accept_waiting(sock, nursery, handler)
            # What connected before the close would be reset by it.
            with trio.move_on_after(0):
                await _accept_waiting(sock, nursery, handler)
            _close_listener(sock)
            for _ in range(2):  # The last handlers begin in the first of these rounds.
                await trio.lowlevel.checkpoint()
            listener.is_open = False
    finally:
        listener.is_open = False
        _close_listener(sock)


def _close_listener(listener: socket.socket) -> None:
    if listener.fileno() != -1:
        trio.lowlevel.notify_closing(listener)
        listener.close()


async def _accept_waiting(
    listener: socket.socket,
    nursery: trio.Nursery,
    handler: Callable[[TcpConn], Awaitable[None]],
) -> None:
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        except OSError as exc:
            if exc.errno in _OUT_OF_RESOURCES:
                await trio.sleep(ACCEPT_RETRY_S)
                return
            continue  # The peer gave up before it was accepted.
        nursery.start_soon(handler, TcpConn(sock))
