"""Creates whose replies are lost, late or crossed."""

from __future__ import annotations

import unittest

import trio

from marigoldchute.errors import PlatformError, UnknownOutcomeError
from marigoldchute.objectstore.conditional import Creation, create_once
from tests.support.fake_store import FakeStore

KEY = "verdicts/turnos-r2"


def _lost_after_write(store: FakeStore, key: str, value: bytes) -> None:
    store.write(key, value)
    raise UnknownOutcomeError("reply lost")


def _lost_before_write(store: FakeStore, key: str, value: bytes) -> None:
    raise UnknownOutcomeError("request lost")


def _refused(store: FakeStore, key: str, value: bytes) -> None:
    raise PlatformError("down")


def _other_writes(store: FakeStore, key: str, value: bytes) -> None:
    store.write(key, b"theirs")


def _create(store: FakeStore) -> Creation:
    async def run() -> Creation:
        return await create_once(store, KEY, b"mine", lambda v: v == b"mine")  # type: ignore[arg-type]

    return trio.run(run)


class CreateOnceTest(unittest.TestCase):
    def test_plain_create(self) -> None:
        self.assertEqual(_create(FakeStore()), Creation(b"mine", True))

    def test_reply_lost_after_the_write(self) -> None:
        store = FakeStore(_lost_after_write)
        self.assertEqual(_create(store), Creation(b"mine", True))
        self.assertEqual(store.objects[KEY].revision, 1)

    def test_request_lost_before_the_write_is_sent_again(self) -> None:
        store = FakeStore(_lost_before_write)
        self.assertEqual(_create(store), Creation(b"mine", True))
        self.assertEqual(store.objects[KEY].value, b"mine")

    def test_other_writer_wins(self) -> None:
        self.assertEqual(_create(FakeStore(_other_writes)), Creation(b"theirs", False))

    def test_other_writer_wins_after_a_lost_request(self) -> None:
        store = FakeStore(_lost_before_write, _other_writes)
        self.assertEqual(_create(store), Creation(b"theirs", False))

    def test_answer_from_the_past_is_read_again(self) -> None:
        store = FakeStore(_lost_after_write)
        store.hidden_reads = 2
        self.assertEqual(_create(store), Creation(b"mine", True))

    def test_refusal_is_not_an_unknown_outcome(self) -> None:
        with self.assertRaises(PlatformError) as caught:
            _create(FakeStore(_refused))
        self.assertNotIsInstance(caught.exception, UnknownOutcomeError)

    def test_refusal_after_a_lost_reply_stays_unknown(self) -> None:
        store = FakeStore(_lost_before_write, _refused)
        with self.assertRaises(UnknownOutcomeError):
            _create(store)

    def test_store_that_hides_the_object_for_long_leaves_it_unknown(self) -> None:
        store = FakeStore(_lost_after_write)
        store.hidden_reads = 100
        with self.assertRaises(UnknownOutcomeError):
            _create(store)
