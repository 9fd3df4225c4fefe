"""Tests of byte counts and error reports of an entry node, with a fake stream."""

from __future__ import annotations

import types
import unittest

import trio

from marigoldchute.errors import NotRunError, RequestError, ResultCode
from marigoldchute.routing.call import Call
from marigoldchute.routing.failure import error_to_report
from marigoldchute.routing.messages import ENCODER, ResponseHead


class FakeStream:
    """Stream on which an owner's response has arrived."""

    def __init__(self, head: ResponseHead, chunks: list[bytes], whole: bool) -> None:
        self._head = ENCODER.encode(head)
        self._chunks = chunks
        self._whole = whole

    async def receive_head(self) -> bytes:
        return self._head

    def pop_complete_data(self) -> bytes | None:
        return b"".join(self._chunks) if self._whole else None

    async def receive(self) -> bytes | None:
        await trio.lowlevel.checkpoint()
        return self._chunks.pop(0) if self._chunks else None


class FakeResponder:
    def __init__(self) -> None:
        self.body = b""
        self.finished = False

    async def send_complete(
        self, status: int, block: bytes, has_length: bool, body: bytes
    ) -> None:
        self.body += body
        self.finished = True

    async def start_encoded(
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
    call.may_have_run = False
    call.retained_error = None
    call.req = types.SimpleNamespace()
    return call


class LinkBytesTest(unittest.TestCase):
    def test_response_bytes_are_counted_for_whole_and_streamed_bodies(self) -> None:
        for whole in (False, True):
            call = make_call()
            head = ResponseHead(200, b"a: b\r\n", True)
            stream = FakeStream(head, [b"12345", b"678"], whole)
            trio.run(call.forward_response, stream)
            self.assertEqual(call.link_bytes, 6 + 8)
            self.assertEqual(call.responder.body, b"12345678")
            self.assertTrue(call.responder.finished)


class ErrorReportTest(unittest.TestCase):
    def test_refusal_after_attempt_that_may_have_run_is_unknown(self) -> None:
        call = make_call()
        refusal = NotRunError("full", ResultCode.REQUEST_NOT_RUN_OVERLOADED)
        self.assertIs(error_to_report(call, refusal), refusal)
        call.may_have_run = True
        reported = error_to_report(call, refusal)
        self.assertIsInstance(reported, RequestError)
        self.assertNotIsInstance(reported, NotRunError)

    def test_body_that_stopped_on_its_way_to_a_server_is_not_reported_as_not_run(
        self,
    ) -> None:
        """Status 408 promises that the request has not run and never will."""
        call = make_call()
        stopped = RequestError("stopped", ResultCode.REQUEST_SENDER_TIMEOUT)
        self.assertIs(error_to_report(call, stopped), stopped)
        call.may_have_run = True
        reported = error_to_report(call, stopped)
        self.assertEqual(reported.code, ResultCode.REQUEST_OUTCOME_UNKNOWN)

    def test_refusal_by_owner_keeps_its_code(self) -> None:
        head = ResponseHead(503, code=ResultCode.REQUEST_NOT_RUN_DRAINING)
        with self.assertRaises(NotRunError) as caught:
            trio.run(make_call().forward_response, FakeStream(head, [], True))
        self.assertEqual(caught.exception.code, ResultCode.REQUEST_NOT_RUN_DRAINING)
