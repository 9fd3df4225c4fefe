"""Conditional creates with lost responses, stale reads and other writers."""

from __future__ import annotations

import unittest

import trio

from marigoldchute.errors import PlatformError, UnknownOutcomeError
from marigoldchute.objectstore.conditional import Creation, create_once
from tests.support.fake_store import FakeStore

KEY = "verdicts/turnos-r2"


def _lost_after_write(store: FakeStore, key: str, value: bytes) -> None:
    store.write(key, value)
    raise UnknownOutcomeError("response lost")


def _lost_before_write(store: FakeStore, key: str, value: bytes) -> None:
    raise UnknownOutcomeError("request lost")


def _refused(store: FakeStore, key: str, value: bytes) -> None:
    raise PlatformError("down")


def _written_by_another(store: FakeStore, key: str, value: bytes) -> None:
    store.write(key, b"theirs")


def _create(store: FakeStore) -> Creation:
    async def run() -> Creation:
        return await create_once(store, KEY, b"mine", lambda v: v == b"mine")  # type: ignore[arg-type]

    return trio.run(run)


class CreateOnceTest(unittest.TestCase):
    def test_create_without_faults_returns_the_own_value(self) -> None:
        self.assertEqual(_create(FakeStore()), Creation(b"mine", True))

    def test_response_lost_after_the_write_returns_the_own_value(self) -> None:
        store = FakeStore(_lost_after_write)
        self.assertEqual(_create(store), Creation(b"mine", True))
        self.assertEqual(store.objects[KEY].revision, 1)

    def test_request_lost_before_the_write_is_retried(self) -> None:
        store = FakeStore(_lost_before_write)
        self.assertEqual(_create(store), Creation(b"mine", True))
        self.assertEqual(store.objects[KEY].value, b"mine")

    def test_value_of_an_earlier_writer_is_returned(self) -> None:
        self.assertEqual(
            _create(FakeStore(_written_by_another)), Creation(b"theirs", False)
        )

    def test_value_of_another_writer_is_returned_after_a_lost_request(self) -> None:
        store = FakeStore(_lost_before_write, _written_by_another)
        self.assertEqual(_create(store), Creation(b"theirs", False))

    def test_stale_read_is_retried(self) -> None:
        store = FakeStore(_lost_after_write)
        store.stale_reads = 2
        self.assertEqual(_create(store), Creation(b"mine", True))

    def test_refusal_is_not_an_unknown_outcome(self) -> None:
        with self.assertRaises(PlatformError) as caught:
            _create(FakeStore(_refused))
        self.assertNotIsInstance(caught.exception, UnknownOutcomeError)

    def test_refusal_after_a_lost_response_is_an_unknown_outcome(self) -> None:
        store = FakeStore(_lost_before_write, _refused)
        with self.assertRaises(UnknownOutcomeError):
            _create(store)

    def test_persistently_stale_reads_are_an_unknown_outcome(self) -> None:
        store = FakeStore(_lost_after_write)
        store.stale_reads = 100
        with self.assertRaises(UnknownOutcomeError):
            _create(store)
