"""Mutual authentication of the two ends of a new connection between nodes.

Each end sends a random nonce and proves that it holds a secret shared by the peers,
with an HMAC-SHA-256 over both nonces and both names. While a secret is being replaced,
the settings hold the old and the new one: an end authenticates itself with the first
secret and accepts any of them.
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
_RESULT_CODE = struct.Struct(">I")


class PeerIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one end of a connection.

    Parameters
    ----------
    name : str
        Name of the VM.
    incarnation : int
        Number of this start of the node process.
    data_centre, region : str
        Location of the VM.
    purpose : str
        ``control`` for the overlay, ``control-call`` for calls to any member or
        ``traffic`` for requests; set by the end that opened the connection.
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


def _compute_proof(secret: bytes, role: bytes, proof_parts: list[bytes]) -> bytes:
    return hmac.new(secret, b"\x00".join([role, *proof_parts]), hashlib.sha256).digest()


class HandshakeStream:
    """Exchanges the frames of the handshake on a new connection."""

    def __init__(self, stream: trio.abc.Stream, decoder: FrameDecoder) -> None:
        self._stream = stream
        self._decoder = decoder
        self.pending_frames: list[tuple[int, int, bytes]] = []

    async def _send(self, hello: _Hello) -> None:
        body = msgspec.msgpack.encode(hello)
        await self._stream.send_all(encode_frame(FrameKind.HELLO, 0, body))

    async def _receive(self) -> _Hello:
        while not self.pending_frames:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise PeerError("peer closed the connection during the handshake")
            self.pending_frames.extend(self._decoder.feed(data))
        kind, _, body = self.pending_frames.pop(0)
        if kind == FrameKind.FAILURE:
            raise PeerError("peer refused the connection", _decode_result_code(body))
        if kind != FrameKind.HELLO:
            raise PeerError(
                "peer sent a frame other than HELLO in the handshake",
                ResultCode.PEER_PROTOCOL,
            )
        try:
            return msgspec.msgpack.decode(body, type=_Hello)
        except msgspec.DecodeError as exc:
            raise PeerError(
                f"handshake is malformed: {exc}", ResultCode.PEER_PROTOCOL
            ) from exc

    async def open(
        self, local: PeerIdentity, shared_secrets: tuple[bytes, ...]
    ) -> PeerIdentity:
        """Run the handshake as the connecting end and return the peer's identity."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        await self._send(_Hello(local, nonce, b""))
        hello = await self._receive()
        names = [local.name.encode(), hello.identity.name.encode()]
        _verify_proof(
            shared_secrets, b"accept", [nonce, hello.nonce, *names], hello.proof
        )
        proof = _compute_proof(shared_secrets[0], b"open", [nonce, hello.nonce, *names])
        await self._send(_Hello(local, b"", proof))
        return hello.identity

    async def accept(
        self, local: PeerIdentity, shared_secrets: tuple[bytes, ...]
    ) -> PeerIdentity:
        """Run the handshake as the accepting end and return the peer's identity."""
        hello = await self._receive()
        nonce = secrets.token_bytes(NONCE_BYTES)
        names = [hello.identity.name.encode(), local.name.encode()]
        proof_parts = [hello.nonce, nonce, *names]
        await self._send(
            _Hello(
                local, nonce, _compute_proof(shared_secrets[0], b"accept", proof_parts)
            )
        )
        final_hello = await self._receive()
        _verify_proof(shared_secrets, b"open", proof_parts, final_hello.proof)
        return hello.identity


def encode_refusal(code: ResultCode) -> bytes:
    """Return the frame that refuses a handshake with a result code."""
    return encode_frame(FrameKind.FAILURE, 0, _RESULT_CODE.pack(code))


def _decode_result_code(body: bytes) -> ResultCode:
    try:
        return ResultCode(_RESULT_CODE.unpack(body)[0])
    except (ValueError, struct.error):
        return ResultCode.PEER_PROTOCOL


def _verify_proof(
    shared_secrets: tuple[bytes, ...],
    role: bytes,
    proof_parts: list[bytes],
    proof: bytes,
) -> None:
    for secret in shared_secrets:
        if hmac.compare_digest(_compute_proof(secret, role, proof_parts), proof):
            return
    raise AuthError("peer does not hold a shared secret")
