"""Non-blocking TCP connections for the request path.

Writes attempt the system call before they wait, so that a small message needs no pass
through the scheduler. Tasks wait only in ``receive`` and ``send``.
"""

from __future__ import annotations

import errno
import os
import select
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
    """Interface of the connection under a link."""

    async def receive(self, limit: int) -> bytes:
        """Wait for data and return up to ``limit`` bytes, or empty bytes at the end."""

    async def send(self, data: bytes | bytearray) -> None:
        """Write all data."""

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        """Write as much as possible without waiting; return the number of bytes."""

    def close(self) -> None:
        """Close the connection."""


class TcpConn:
    """TCP connection over a non-blocking socket.

    The kernel reports an error of the connection once, to the first call in either
    direction, and the regular end to later reads. Therefore an error is kept, and later
    reads fail with it instead of returning the end.

    Parameters
    ----------
    sock : socket.socket
        Connected socket; it is switched to non-blocking mode.

    Attributes
    ----------
    closed : bool
        Whether this end has closed the connection.
    bytes_written : int
        Bytes that the kernel has accepted for sending.
    unsent_bytes : int
        Size of the data of which a part waits for the peer to read.
    """

    __slots__ = ("_errno", "_sock", "bytes_written", "closed", "unsent_bytes")

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._errno: int | None = None
        self.closed = False
        self.bytes_written = 0
        self.unsent_bytes = 0

    def fileno(self) -> int:
        """Return the file descriptor, or -1 if the socket is closed."""
        return self._sock.fileno()

    @property
    def peer_address(self) -> str:
        """IP address of the peer, or an empty string if not connected."""
        try:
            return str(self._sock.getpeername()[0])
        except OSError:
            return ""

    async def receive(self, limit: int) -> bytes:
        """Wait for data and return up to ``limit`` bytes, or empty bytes at the end.

        Raises
        ------
        OSError
            The connection failed.
        trio.ClosedResourceError
            This end has closed the connection.
        """
        while True:
            if self.closed:
                raise trio.ClosedResourceError("connection was closed at this end")
            await trio.lowlevel.wait_readable(self._sock)
            data = self.receive_now(limit)
            if data is not None:
                return data

    def receive_now(self, limit: int) -> bytes | None:
        """Return received data, empty bytes at the end, or None if there is none yet.

        Raises
        ------
        OSError
            The connection failed.
        """
        try:
            data = self._sock.recv(limit)
        except BlockingIOError:
            return None
        except OSError as exc:
            self._errno = exc.errno
            raise
        if not data and self._errno is not None:
            raise OSError(self._errno, os.strerror(self._errno))
        return data

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        """Write as much as the kernel accepts without waiting; return the byte count.

        Raises
        ------
        OSError
            The connection failed.
        """
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as exc:
            self._errno = exc.errno
            raise
        self.bytes_written += sent
        return sent

    async def send(self, data: bytes | bytearray) -> None:
        """Write all data.

        Raises
        ------
        OSError
            The connection failed.
        trio.ClosedResourceError
            This end has closed the connection.
        """
        sent = self.send_now(data)
        if sent == len(data):
            return
        self.unsent_bytes += len(data)
        try:
            await self._send_rest(data, sent)
        finally:
            self.unsent_bytes -= len(data)

    async def _send_rest(self, data: bytes | bytearray, sent: int) -> None:
        with memoryview(data) as view:
            while sent < len(data):
                if self.closed:
                    raise trio.ClosedResourceError("connection was closed at this end")
                await trio.lowlevel.wait_writable(self._sock)
                sent += self.send_now(view[sent:])

    def is_idle(self) -> bool:
        """Return whether no data is pending and the peer has not closed."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError as exc:
            self._errno = exc.errno
            return False
        return False

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed its direction or the connection."""
        poller = select.poll()
        poller.register(self._sock, select.POLLRDHUP)
        return bool(poller.poll(0))

    def send_eof(self) -> None:
        """Shut down the sending side, so that the peer reads the end of the data."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection; data already written is still delivered."""
        if not self.closed:
            self.closed = True
            trio.lowlevel.notify_closing(self._sock)
            self._sock.close()

    def abort(self) -> None:
        """Reset the connection, so that the peer reads an error instead of the end."""
        if not self.closed:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            self.close()


async def open_tcp(address: str, port: int, source: str) -> TcpConn:
    """Open a connection from a source address.

    Raises
    ------
    OSError
        The connection could not be established.
    """
    sock = socket.socket()
    try:
        sock.setblocking(False)
        # The kernel picks the port at connect, so that bind does not use up ports.
        sock.setsockopt(socket.IPPROTO_IP, socket.IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((source, 0))
        try:
            sock.connect((address, port))
        except BlockingIOError:
            await trio.lowlevel.wait_writable(sock)
            error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error_code:
                raise OSError(error_code, os.strerror(error_code)) from None
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
        Whether connections may still be accepted; stays true after ``close`` until the
        pending connections are accepted.
    accept_scope : trio.CancelScope
        Scope of the accept loop.
    """

    def __init__(self) -> None:
        self.is_open = True
        self.accept_scope = trio.CancelScope()

    def close(self) -> None:
        """Stop accepting connections; open ones are served until they end."""
        self.accept_scope.cancel()


async def serve_tcp(
    handler: Callable[[TcpConn], Awaitable[None]],
    address: str,
    port: int,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections and run ``handler`` for each until cancelled.

    The value of ``task_status.started`` is a ``TcpListener``.
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
                    await _accept_pending(sock, nursery, handler)
            # Closing the socket would reset connections that are not accepted yet.
            with trio.move_on_after(0):
                await _accept_pending(sock, nursery, handler)
            _close_listener(sock)
            for _ in range(2):  # The last handlers start during the first checkpoint.
                await trio.lowlevel.checkpoint()
            listener.is_open = False
    finally:
        listener.is_open = False
        _close_listener(sock)


def _close_listener(listener: socket.socket) -> None:
    if listener.fileno() != -1:
        trio.lowlevel.notify_closing(listener)
        listener.close()


async def _accept_pending(
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
            continue  # The peer closed the connection before it was accepted.
        nursery.start_soon(handler, TcpConn(sock))
