"""HTTP client of the object API against the store stand-in and its faults."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import trio

from marigoldchute.errors import (
    ConflictError,
    NotFoundError,
    PlatformError,
    ResultCode,
    UnknownOutcomeError,
)
from marigoldchute.objectstore.api import CREATE_ONLY
from marigoldchute.objectstore.client import HttpObjectStore
from marigoldchute.objectstore.conditional import Creation, create_once
from marigoldchute.standins.store import MAX_READS_PER_S, Store, StoreFaults
from tests.support.stores import served_store

Body = Callable[[Store, HttpObjectStore], Awaitable[None]]


class _StoreTestCase(unittest.TestCase):
    def run_with(self, body: Body, **settings: float) -> None:
        async def run() -> None:
            with trio.fail_after(20):
                async with served_store(**settings) as (store, client):  # type: ignore[arg-type]
                    await body(store, client)

        trio.run(run)

    async def assert_code(self, code: ResultCode, call: Awaitable[object]) -> None:
        with self.assertRaises(PlatformError) as caught:
            await call
        self.assertEqual(caught.exception.code, code)


class ClientTest(_StoreTestCase):
    def test_write_with_another_revision_conflicts(self) -> None:
        async def body(store: Store, client: HttpObjectStore) -> None:
            with self.assertRaises(NotFoundError):
                await client.get("a b/ü?")
            first = await client.put("a b/ü?", b"1", CREATE_ONLY)
            with self.assertRaises(ConflictError):
                await client.put("a b/ü?", b"2", CREATE_ONLY)
            second = await client.put("a b/ü?", b"2", first)
            self.assertEqual((await client.get("a b/ü?")).value, b"2")
            with self.assertRaises(ConflictError):
                await client.delete("a b/ü?", first)
            await client.delete("a b/ü?", second)
            self.assertEqual(await client.list("a"), [])

        self.run_with(body)

    def test_lost_response_is_resolved_by_reading_back(self) -> None:
        async def body(store: Store, client: HttpObjectStore) -> None:
            for name in ("lose_replies", "lose_requests"):
                store.set_faults(StoreFaults(**{name: 1}))
                with self.assertRaises(UnknownOutcomeError):
                    await client.put(f"plain/{name}", b"1", CREATE_ONLY)
                store.set_faults(StoreFaults(**{name: 2}))
                creation = await create_once(client, name, b"me", lambda v: v == b"me")
                self.assertEqual(creation, Creation(b"me", True))

        self.run_with(body)

    def test_call_beyond_the_budget_is_refused_with_its_code(self) -> None:
        async def body(store: Store, client: HttpObjectStore) -> None:
            for _ in range(3):
                await client.list("")
            await self.assert_code(ResultCode.STORE_BUDGET_SPENT, client.list(""))
            self.assertEqual(store.meter.counts.read, 3)

        self.run_with(body, calls_per_s=0.1, burst_calls=3.0)

    def test_store_that_is_down_opens_the_circuit(self) -> None:
        async def body(store: Store, client: HttpObjectStore) -> None:
            store.set_faults(StoreFaults(down=True))
            codes = set()
            until = trio.current_time() + 1.5
            while trio.current_time() < until:
                with self.assertRaises(PlatformError) as caught:
                    await client.list("")
                codes.add(caught.exception.code)
                await trio.sleep(0.01)
            self.assertIn(ResultCode.STORE_CIRCUIT_OPEN, codes)
            self.assertLess(store.meter.counts.read, 15)
            self.assertFalse(client.is_reachable)
            store.set_faults(StoreFaults())
            with trio.fail_after(6):
                while not client.is_reachable:
                    try:
                        await client.list("")
                    except PlatformError:
                        await trio.sleep(0.05)

        self.run_with(body, timeout_ms=300)

    def test_call_to_a_slow_store_times_out(self) -> None:
        async def body(store: Store, client: HttpObjectStore) -> None:
            store.set_faults(StoreFaults(delay_ms=5000))
            with trio.fail_after(1.5):
                await self.assert_code(ResultCode.STORE_UNAVAILABLE, client.list(""))
                with self.assertRaises(UnknownOutcomeError):
                    await client.put("a", b"1", CREATE_ONLY)

        self.run_with(body, timeout_ms=300)

    def test_truncated_response_is_retried(self) -> None:
        async def body(store: Store, client: HttpObjectStore) -> None:
            await client.put("a", b"1", CREATE_ONLY)
            store.set_faults(StoreFaults(cut_answers=1))
            self.assertEqual((await client.get("a")).value, b"1")
            store.set_faults(StoreFaults(cut_answers=1000))
            code = ResultCode.STORE_ANSWER_MALFORMED
            await self.assert_code(code, client.get("a"))

        self.run_with(body, timeout_ms=300)

    def test_calls_above_the_rate_are_refused_and_counted(self) -> None:
        async def body(store: Store, client: HttpObjectStore) -> None:
            now = int(trio.current_time()) + 0.5
            admitted = [store.meter.admit(False, True, now) for _ in range(2100)]
            self.assertEqual(sum(admitted), MAX_READS_PER_S)
            self.assertEqual(store.meter.counts.refused, 100)
            self.assertEqual(store.meter.counts.watch, 2100)

        self.run_with(body)


class WatchOverHttpTest(_StoreTestCase):
    def test_compacted_log_is_relisted(self) -> None:
        async def body(store: Store, client: HttpObjectStore) -> None:
            await client.put("a/1", b"1", CREATE_ONLY)
            await client.put("a/2", b"2", CREATE_ONLY)
            watch = client.watch("a/")
            seen = [(await anext(watch)).key for _ in range(2)]
            self.assertEqual(seen, ["a/1", "a/2"])
            store.write("a/3", b"3", 0)
            store.write("a/1", None, 1)
            store.set_faults(StoreFaults(compact=True))
            found = {(e.key, e.value) for e in [await anext(watch) for _ in range(3)]}
            self.assertEqual(found, {("a/2", b"2"), ("a/3", b"3"), ("a/1", None)})
            await client.put("a/4", b"4", CREATE_ONLY)
            self.assertEqual((await anext(watch)).key, "a/4")
            await watch.aclose()  # type: ignore[attr-defined]

        self.run_with(body)

    def test_stale_store_reports_no_deletion_and_the_watch_continues(self) -> None:
        async def body(store: Store, client: HttpObjectStore) -> None:
            for number in range(3):
                await client.put(f"a/{number}", b"1", CREATE_ONLY)
            watch = client.watch("a/")
            for _ in range(3):
                await anext(watch)
            store.set_faults(StoreFaults(stale_revisions=2))
            await trio.sleep(2.5)
            store.set_faults(StoreFaults())
            await client.put("a/new", b"1", CREATE_ONLY)
            with trio.fail_after(6):
                while (event := await anext(watch)).key != "a/new":
                    self.assertIsNotNone(event.value)
            await watch.aclose()  # type: ignore[attr-defined]

        self.run_with(body)
