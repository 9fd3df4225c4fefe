"""Handshake: replacement of secrets by overlap, refusals with a code."""

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

A = PeerIdentity("a", 1, "dc", "region")
B = PeerIdentity("b", 1, "dc", "region")
OLD, NEW = b"old-secret-of-the-peers", b"new-secret-of-the-peers"


class _Connection:
    """What a handshake needs of a connection, over a memory stream."""

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


async def _shake(opener: tuple[bytes, ...], acceptor: tuple[bytes, ...]) -> list[str]:
    ours, theirs = trio.testing.memory_stream_pair()
    names: list[str] = []

    async def accept() -> None:
        end = HandshakeStream(_Connection(theirs), FrameDecoder())  # type: ignore[arg-type]
        names.append((await end.accept(B, acceptor)).name)

    with trio.fail_after(2):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(accept)
            end = HandshakeStream(_Connection(ours), FrameDecoder())  # type: ignore[arg-type]
            names.append((await end.open(A, opener)).name)
    return sorted(names)


class SecretsTest(unittest.TestCase):
    def test_every_step_of_a_replacement_lets_peers_connect(self) -> None:
        steps = [(OLD,), (OLD, NEW), (NEW, OLD), (NEW,)]
        for before, after in itertools.pairwise(steps):
            for pair in ((before, after), (after, before), (after, after)):
                with self.subTest(pair=pair):
                    self.assertEqual(trio.run(_shake, *pair), ["a", "b"])

    def test_unknown_secret_is_refused(self) -> None:
        with self.assertRaises(ExceptionGroup) as caught:
            trio.run(_shake, (OLD,), (NEW,))
        self.assertTrue(caught.exception.subgroup(AuthError))


class RefusalTest(unittest.TestCase):
    def test_refusal_carries_its_code(self) -> None:
        async def body() -> ResultCode:
            ours, theirs = trio.testing.memory_stream_pair()
            await theirs.send_all(encode_refusal(ResultCode.PEER_BUSY))
            end = HandshakeStream(_Connection(ours), FrameDecoder())  # type: ignore[arg-type]
            try:
                await end.open(A, (OLD,))
            except PeerError as exc:
                return exc.code
            return ResultCode.OK

        self.assertIs(trio.run(body), ResultCode.PEER_BUSY)
