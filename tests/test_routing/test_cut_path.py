"""Responses that a backend server cuts, as callers of a mesh of processes get them."""

from __future__ import annotations

import contextlib
import unittest

import trio

from marigoldchute.standins.loopback import CALLER_PORT
from tests.support.servers import read_request
from tests.test_routing.paths import FIRST, SECOND, PathTestCase

HEAD = b"HTTP/1.1 200 OK\r\nX-Note: a\r\n"
SMALL = b"whole body"
LARGE = bytes(range(256)) * 1600  # More than a link and a connection buffer.
LINGER = (1).to_bytes(4, "little") + bytes(4)


def with_length(body: bytes, padding: bytes = b"") -> bytes:
    length = b"Content-Length: %d%s\r\n\r\n" % (len(body), padding)
    return HEAD + length + body


def in_chunks(body: bytes) -> bytes:
    half = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:])
    )
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


RESPONSES = (
    (SMALL, with_length(SMALL)),
    (SMALL, with_length(SMALL, b" ")),
    (SMALL, in_chunks(SMALL)),
    (SMALL, b"HTTP/1.1 100 Continue\r\n\r\n" + with_length(SMALL)),
    (LARGE, with_length(LARGE)),
    (LARGE, in_chunks(LARGE)),
)


def cuts_of(response: bytes) -> list[int]:
    """Return cuts in each part of a response; the last is its end."""
    body_at = response.index(b"\r\n\r\n", response.index(HEAD)) + 4
    size = len(response)
    in_head = (1, 9, 17, 20, body_at - 3, body_at - 1)
    in_body = (body_at, body_at + 1, (body_at + size) // 2, size - 6, size - 2)
    return [*in_head, *in_body, size - 1, size]


def parse_whole(data: bytes, ended: bool) -> tuple[int, bytes] | None:
    """Return the status and body of a response that is framed as whole, else None.

    Parameters
    ----------
    data : bytes
        All that the caller received.
    ended : bool
        Whether the connection was closed without an error.
    """
    head, found, body = data.partition(b"\r\n\r\n")
    if not found:
        return None
    status = int(head.split()[1])
    headers = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
    )
    if b"content-length" in headers:
        is_whole = len(body) == int(headers[b"content-length"])
        return (status, body) if is_whole else None
    if headers.get(b"transfer-encoding") != b"chunked":
        return (status, body) if ended else None
    decoded = b""
    while body:
        size_text, found, body = body.partition(b"\r\n")
        if not found:
            return None
        size = int(size_text, 16)
        if size == 0:
            return (status, decoded) if body == b"\r\n" else None
        decoded += body[:size]
        if body[size : size + 2] != b"\r\n":
            return None
        body = body[size + 2 :]
    return None


async def serve_cut(stream: trio.SocketStream) -> None:
    """Answer ``/reservas/INDEX/CUT/END`` with a part of a response and end."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while request := await read_request(stream):
            parts = request.split()[1].split(b"/")
            if len(parts) < 5:
                await stream.send_all(with_length(b"ok"))
                continue
            response = RESPONSES[int(parts[2])][1]
            cut = int(parts[3])
            await stream.send_all(response[:cut])
            if cut == len(response):
                continue
            if parts[4] == b"reset":
                await trio.sleep(0.01)
                stream.socket.setsockopt(
                    trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, LINGER
                )
            break
    await trio.aclose_forcefully(stream)


class CutPathTest(PathTestCase):
    """The scripted server is on the second VM; the first reaches it over a link."""

    async def fetch(
        self, vm_name: str, target: str, version: str
    ) -> tuple[bytes, bool]:
        """Return what a caller receives, and whether it ends without a reset."""
        address = self.mesh.vm(vm_name).address
        data = b""
        async with await trio.open_tcp_stream(address, CALLER_PORT) as stream:
            request = f"GET {target} HTTP/{version}\r\nHost: a\r\nConnection: close\r\n"
            await stream.send_all(f"{request}\r\n".encode())
            try:
                while piece := await stream.receive_some(65_536):
                    data += piece
            except trio.BrokenResourceError:
                return data, False
        return data, True

    async def check(self, vm_name: str, index: int, cut: int, end: str) -> None:
        body, response = RESPONSES[index]
        for version in ("1.1", "1.0"):
            # The cut response is a later one on a kept connection.
            await self.fetch(vm_name, "/reservas/ready", "1.1")
            target = f"/reservas/{index}/{cut}/{end}"
            received = parse_whole(*await self.fetch(vm_name, target, version))
            where = (vm_name, index, cut, end, version)
            if cut == len(response):
                self.assertEqual(received, (200, body), where)
            elif received is not None:
                self.assertEqual(received[0], 502, where)

    # Guards against a 200 with an empty or short body that is framed as whole, when the
    # backend server stops within its response.
    def test_cut_response_is_never_framed_as_whole(self) -> None:
        async def body() -> None:
            for vm_name in (SECOND, FIRST):
                for index, (_, response) in enumerate(RESPONSES):
                    for cut in cuts_of(response):
                        for end in ("close", "reset"):
                            await self.check(vm_name, index, cut, end)

        self.run_async(lambda: self.run_scripted(body, {SECOND: serve_cut}), 60)


if __name__ == "__main__":
    unittest.main()
