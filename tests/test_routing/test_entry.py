"""What the entry node charges and tells, over a link of its own making."""

from __future__ import annotations

import unittest

import trio

from marigoldchute.errors import NotRunError, RequestError, ResultCode
from marigoldchute.routing.call import Call
from marigoldchute.routing.failure import truthful
from marigoldchute.routing.messages import ENCODER, ResponseHead


class FakeStream:
    """Stream on which the owner's answer has arrived."""

    def __init__(self, head: ResponseHead, chunks: list[bytes], whole: bool) -> None:
        self._head = ENCODER.encode(head)
        self._chunks = chunks
        self._whole = whole

    async def receive_head(self) -> bytes:
        return self._head

    def take_whole(self) -> bytes | None:
        return b"".join(self._chunks) if self._whole else None

    async def receive(self) -> bytes | None:
        await trio.lowlevel.checkpoint()
        return self._chunks.pop(0) if self._chunks else None


class FakeResponder:
    def __init__(self) -> None:
        self.body = b""
        self.finished = False

    async def send_whole(
        self, status: int, block: bytes, has_length: bool, body: bytes
    ) -> None:
        self.body += body
        self.finished = True

    async def start_block(
        self, status: int, block: bytes, has_length: bool, body: bytes
    ) -> None:
        self.body += body

    async def send(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.finished = True


def make_call() -> Call:
    call = Call.__new__(Call)
    call.responder = FakeResponder()
    call.link_bytes = 0
    call.maybe_run = False
    return call


class LinkBytesTest(unittest.TestCase):
    def test_the_bytes_of_an_answer_are_counted_however_it_arrives(self) -> None:
        for whole in (False, True):
            call = make_call()
            head = ResponseHead(200, b"a: b\r\n", True)
            stream = FakeStream(head, [b"12345", b"678"], whole)
            trio.run(call.pass_answer, stream)
            self.assertEqual(call.link_bytes, 6 + 8)
            self.assertEqual(call.responder.body, b"12345678")
            self.assertTrue(call.responder.finished)


class TruthTest(unittest.TestCase):
    def test_a_refusal_after_a_try_that_may_have_run_is_unknown(self) -> None:
        call = make_call()
        refusal = NotRunError("full", ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        self.assertIs(truthful(call, refusal), refusal)
        call.maybe_run = True
        told = truthful(call, refusal)
        self.assertIsInstance(told, RequestError)
        self.assertNotIsInstance(told, NotRunError)

    def test_an_owners_refusal_keeps_its_code(self) -> None:
        head = ResponseHead(503, code=ResultCode.REQUEST_NOT_RUN_DRAINING)
        with self.assertRaises(NotRunError) as caught:
            trio.run(make_call().pass_answer, FakeStream(head, [], True))
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_DRAINING)
