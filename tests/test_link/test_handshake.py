"""Tests of the handshake: replacement of shared secrets, refusal with a code."""

from __future__ import annotations

import itertools
import unittest

import trio
import trio.testing

from marigoldchute.errors import AuthError, PeerError, ResultCode
from marigoldchute.link.frames import FrameDecoder
from marigoldchute.link.handshake import (
    HandshakeStream,
    PeerIdentity,
    encode_refusal,
)

OPENER = PeerIdentity("a", 1, "dc", "region")
ACCEPTOR = PeerIdentity("b", 1, "dc", "region")
OLD_SECRET, NEW_SECRET = b"old-secret-of-the-peers", b"new-secret-of-the-peers"


class _MemoryConnection:
    """Connection over a memory stream, with the methods that a handshake uses."""

    def __init__(self, stream: trio.StapledStream) -> None:  # type: ignore[type-arg]
        self.stream = stream

    async def receive(self, limit: int) -> bytes:
        return bytes(await self.stream.receive_some(limit))

    async def send(self, data: bytes) -> None:
        await self.stream.send_all(data)

    async def receive_some(self, limit: int) -> bytes:
        return await self.receive(limit)

    async def send_all(self, data: bytes) -> None:
        await self.send(data)


async def _run_handshake(
    opener_secrets: tuple[bytes, ...], acceptor_secrets: tuple[bytes, ...]
) -> list[str]:
    ours, theirs = trio.testing.memory_stream_pair()
    names: list[str] = []

    async def accept() -> None:
        handshake = HandshakeStream(_MemoryConnection(theirs), FrameDecoder())  # type: ignore[arg-type]
        names.append((await handshake.accept(ACCEPTOR, acceptor_secrets)).name)

    with trio.fail_after(2):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(accept)
            handshake = HandshakeStream(_MemoryConnection(ours), FrameDecoder())  # type: ignore[arg-type]
            names.append((await handshake.open(OPENER, opener_secrets)).name)
    return sorted(names)


class SecretsTest(unittest.TestCase):
    def test_peers_connect_at_every_step_of_a_secret_replacement(self) -> None:
        steps = [
            (OLD_SECRET,),
            (OLD_SECRET, NEW_SECRET),
            (NEW_SECRET, OLD_SECRET),
            (NEW_SECRET,),
        ]
        for before, after in itertools.pairwise(steps):
            for pair in ((before, after), (after, before), (after, after)):
                with self.subTest(pair=pair):
                    self.assertEqual(trio.run(_run_handshake, *pair), ["a", "b"])

    def test_unknown_secret_is_refused(self) -> None:
        with self.assertRaises(ExceptionGroup) as caught:
            trio.run(_run_handshake, (OLD_SECRET,), (NEW_SECRET,))
        self.assertTrue(caught.exception.subgroup(AuthError))


class RefusalTest(unittest.TestCase):
    def test_refusal_raises_an_error_with_its_code(self) -> None:
        async def body() -> ResultCode:
            ours, theirs = trio.testing.memory_stream_pair()
            await theirs.send_all(encode_refusal(ResultCode.PEER_BUSY))
            handshake = HandshakeStream(_MemoryConnection(ours), FrameDecoder())  # type: ignore[arg-type]
            try:
                await handshake.open(OPENER, (OLD_SECRET,))
            except PeerError as exc:
                return exc.code
            return ResultCode.OK

        self.assertIs(trio.run(body), ResultCode.PEER_BUSY)
