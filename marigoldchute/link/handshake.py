"""Mutual authentication when a connection between nodes opens.

Both ends send a random nonce and prove with HMAC-SHA-256 over both nonces and both
names that they hold a shared secret of the peers. While a secret is replaced, both are
in the settings: the first proves, any is accepted.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import struct
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.errors import AuthError, PeerError, ResultCode
from marigoldchute.link.frames import FrameDecoder, FrameKind, encode_frame

if TYPE_CHECKING:
    import trio

HANDSHAKE_TIMEOUT_S = 5.0
NONCE_BYTES = 16
RECEIVE_BYTES = 65536
_CODE = struct.Struct(">I")


class PeerIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Who is at the other end.

    Parameters
    ----------
    name : str
        Name of the VM.
    incarnation : int
        Start of the node process.
    data_centre, region : str
        Place of the VM.
    purpose : str
        ``control`` or ``traffic``, set by the end that opened the connection.
    """

    name: str
    incarnation: int
    data_centre: str
    region: str
    purpose: str = "control"


class _Hello(msgspec.Struct, frozen=True, array_like=True):
    identity: PeerIdentity
    nonce: bytes
    proof: bytes


def _prove(secret: bytes, role: bytes, parts: list[bytes]) -> bytes:
    return hmac.new(secret, b"\x00".join([role, *parts]), hashlib.sha256).digest()


class HandshakeStream:
    """Exchanges the frames of the handshake on a fresh connection."""

    def __init__(self, stream: trio.abc.Stream, decoder: FrameDecoder) -> None:
        self._stream = stream
        self._decoder = decoder
        self.pending: list[tuple[int, int, bytes]] = []

    async def _send(self, hello: _Hello) -> None:
        body = msgspec.msgpack.encode(hello)
        await self._stream.send_all(encode_frame(FrameKind.HELLO, 0, body))

    async def _receive(self) -> _Hello:
        while not self.pending:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise PeerError("peer closed the connection in the handshake")
            self.pending.extend(self._decoder.feed(data))
        kind, _, body = self.pending.pop(0)
        if kind == FrameKind.FAILURE:
            raise PeerError("peer refused the connection", _decode_code(body))
        if kind != FrameKind.HELLO:
            raise PeerError("peer skipped the handshake", ResultCode.PEER_PROTOCOL)
        try:
            return msgspec.msgpack.decode(body, type=_Hello)
        except msgspec.DecodeError as exc:
            raise PeerError(f"bad handshake: {exc}", ResultCode.PEER_PROTOCOL) from exc

    async def open(self, local: PeerIdentity, keys: tuple[bytes, ...]) -> PeerIdentity:
        """Run the handshake as the end that connected; return the peer's identity."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        await self._send(_Hello(local, nonce, b""))
        hello = await self._receive()
        names = [local.name.encode(), hello.identity.name.encode()]
        _check(keys, b"accept", [nonce, hello.nonce, *names], hello.proof)
        proof = _prove(keys[0], b"open", [nonce, hello.nonce, *names])
        await self._send(_Hello(local, b"", proof))
        return hello.identity

    async def accept(
        self, local: PeerIdentity, keys: tuple[bytes, ...]
    ) -> PeerIdentity:
        """Run the handshake as the end that listened; return the peer's identity."""
        hello = await self._receive()
        nonce = secrets.token_bytes(NONCE_BYTES)
        names = [hello.identity.name.encode(), local.name.encode()]
        parts = [hello.nonce, nonce, *names]
        await self._send(_Hello(local, nonce, _prove(keys[0], b"accept", parts)))
        last = await self._receive()
        _check(keys, b"open", parts, last.proof)
        return hello.identity


def encode_refusal(code: ResultCode) -> bytes:
    """Return the frame that refuses a handshake."""
    return encode_frame(FrameKind.FAILURE, 0, _CODE.pack(code))


def _decode_code(body: bytes) -> ResultCode:
    try:
        return ResultCode(_CODE.unpack(body)[0])
    except (ValueError, struct.error):
        return ResultCode.PEER_PROTOCOL


def _check(
    keys: tuple[bytes, ...], role: bytes, parts: list[bytes], proof: bytes
) -> None:
    for secret in keys:
        if hmac.compare_digest(_prove(secret, role, parts), proof):
            return
    raise AuthError("peer does not hold a shared secret")
